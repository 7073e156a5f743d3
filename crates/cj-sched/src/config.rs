//! The operators' configuration as the scheduler uses it.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{AccountId, ServiceId, Version};
use compact_str::CompactString;

use crate::{
    account::{Account, Accounts},
    job::JobSpec,
};

/// Timing of the policy service that a queue asks for the workers that may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Fixed duration of a call.
    pub base: Duration,
    /// Additional duration for each VM named in a call.
    pub per_vm: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// A queue of jobs, which the pool of `service` runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name, unique within the configuration.
    pub name: CompactString,
    /// Host that requests for the queue are addressed to.
    pub host: CompactString,
    /// Path prefix of requests for the queue.
    pub prefix: CompactString,
    /// Service whose VMs run the jobs.
    pub service: ServiceId,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job has failed.
    pub max_attempts: u32,
    /// Latency objective of a job, in multiples of the duration of its critical path.
    pub stretch: f32,
    /// Constant added to the latency objective.
    pub target: Duration,
    /// Set when an external policy service decides which workers may run a step.
    pub advice: Option<Advice>,
    /// Calls need no account key.
    pub public: bool,
}

impl Queue {
    /// Latency objective of a job, from the estimates of its caller.
    pub fn objective(&self, spec: &JobSpec) -> Duration {
        self.objective_of(spec.critical_path())
    }

    /// Latency objective of a job whose critical path takes this time.
    pub fn objective_of(&self, critical_path: Duration) -> Duration {
        critical_path.mul_f32(self.stretch.max(1.0)) + self.target
    }
}

/// A pool: the VMs of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The workers refuse tasks that don't fit in their free capacity.
    pub rejects_overload: bool,
    /// The pool holds powered-off spare VMs, which start when they are moved to another pool.
    pub spare: bool,
}

/// One version of the configuration. Versions only increase.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version number given by the operator.
    pub version: Version,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools by service.
    pub pools: BTreeMap<ServiceId, Pool>,
    /// The client accounts; `None` if calls need no key.
    pub accounts: Option<Accounts>,
}

impl FleetConfig {
    /// The queue for a request: of those whose host and path prefix match, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |queue: &&Queue| queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(matching).max_by_key(|queue| queue.prefix.len())
    }

    /// The account with this name.
    pub fn account(&self, id: &AccountId) -> Option<&Account> {
        self.accounts.as_ref()?.get(id)
    }

    /// The queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// The spare pool, if there is one.
    pub fn spare_pool(&self) -> Option<&ServiceId> {
        self.pools.iter().find(|(_, pool)| pool.spare).map(|(service, _)| service)
    }
}
