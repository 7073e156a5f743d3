//! What all parts of a node share.

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
    platform::{VmControl, Workers},
    upstream::Upstreams,
    work::Dispatcher,
};

/// Parts of a running node.
pub struct Shared<L, C> {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Clock.
    pub clock: C,
    /// Replica of the region's state.
    pub replica: Rc<Replica<L, C>>,
    /// Live peers.
    pub peers: Rc<Membership<C>>,
    /// Router with the requests that wait or run.
    pub dispatcher: Dispatcher,
    /// Placement of tasks.
    pub placer: RefCell<Placer>,
    /// Client of the minions.
    pub upstreams: Upstreams,
    /// Client of the workers.
    pub workers: Workers,
    /// Client of VM control.
    pub control: VmControl,
    /// Last observations of the fleet.
    pub evidence: RefCell<Evidence>,
    /// Offset of the state that the router's view was built from.
    pub routed: Cell<Offset>,
    /// Metrics.
    pub metrics: Metrics,
    /// Shutdown of the caller address.
    pub shutdown: Shutdown,
    /// Jobs that a connection of this node is working on; the driver leaves them alone.
    pub attended: RefCell<BTreeSet<JobId>>,
    /// Claims of this process under which a request was sent; any other claim of this process certainly didn't run.
    pub sent: RefCell<BTreeSet<(JobId, Token)>>,
}

impl<L, C> Shared<L, C>
where
    L: LogService,
    C: Clock + 'static,
{
    /// Id of this node.
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

    /// Address of a VM.
    pub fn address_of(&self, vm: &VmId) -> Option<CompactString> {
        self.replica.state().vms.get(vm).map(|v| v.address.clone())
    }
}

/// Waits for `delay` on the runtime's timer.
pub async fn sleep(delay: Duration) {
    actix_rt::time::sleep(delay).await;
}
