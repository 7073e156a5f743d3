//! State and components that the tasks of a node share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use compact_str::CompactString;

use cj_fleet::Evidence;
use cj_log::{LogService, ProposalOutcome, Replica};
use cj_member::Membership;
use cj_place::Placer;
use cj_record::Entry;
use cj_settings::NodeSettings;
use cj_types::{Clock, JOB_BUCKETS, JobId, NodeId, Offset, Token, VmId};

use crate::{
    http::Shutdown,
    metrics::Metrics,
    platform::{VmControlClient, WorkerClient},
    upstream::UpstreamClient,
    work::Dispatcher,
};

/// State and components of a running node.
pub struct NodeContext<L, C> {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Source of monotonic and wall clock time.
    pub clock: C,
    /// Replica of the region's state.
    pub replica: Rc<Replica<L, C>>,
    /// Membership: the live peers and their reports.
    pub peers: Rc<Membership<C>>,
    /// Router with its waiting and running requests.
    pub dispatcher: Dispatcher,
    /// Chooses workers for tasks.
    pub placer: RefCell<Placer>,
    /// Client of the minions.
    pub upstreams: UpstreamClient,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Client of VM control.
    pub vm_control: VmControlClient,
    /// Latest evidence about the VMs of the fleet, for the planner.
    pub evidence: RefCell<Evidence>,
    /// Offset of the state that the router's view was built from.
    pub routed_offset: Cell<Offset>,
    /// Metrics.
    pub metrics: Metrics,
    /// Shutdown of the listener for callers.
    pub shutdown: Shutdown,
    /// Jobs that a task of this node is processing; the driver skips them.
    pub active_jobs: RefCell<BTreeSet<JobId>>,
    /// Claims of this process whose request was sent and whose outcome is not recorded yet. A request under any other
    /// open claim of this process certainly did not run.
    pub sent_claims: RefCell<BTreeSet<(JobId, Token)>>,
}

impl<L, C> NodeContext<L, C>
where
    L: LogService,
    C: Clock + 'static,
{
    /// Id of this node, from its settings.
    pub fn id(&self) -> &NodeId {
        &self.settings.node
    }

    /// Monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// True when this node is the rendezvous owner of `key` among the live nodes.
    pub fn owns(&self, key: &[u8]) -> bool {
        self.peers.view().owner(key, self.now()) == *self.id()
    }

    /// Proposes an entry to the log and waits up to `limit` for the decision.
    pub async fn propose(&self, entry: Entry, limit: Duration) -> ProposalOutcome {
        self.metrics.proposals.inc();
        self.replica.propose(entry, limit).await
    }

    /// For each bucket of jobs, whether this node owns it.
    pub fn owned_buckets(&self) -> [bool; JOB_BUCKETS] {
        std::array::from_fn(|bucket| self.owns(format!("jobs-{bucket}").as_bytes()))
    }

    /// `ip:port` of a VM, if the VM is registered.
    pub fn address_of(&self, vm: &VmId) -> Option<CompactString> {
        self.replica.state().vms.get(vm).map(|v| v.address.clone())
    }
}

/// Sleeps on the timer of the async runtime.
pub async fn sleep(delay: Duration) {
    actix_rt::time::sleep(delay).await;
}
