//! The operators' configuration as the scheduler uses it.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{ServiceId, Version};
use compact_str::CompactString;

/// How a queue asks which VMs may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Fixed time of a call.
    pub base: Duration,
    /// Additional time for each VM named in a call.
    pub per_vm: Duration,
    /// How long a ticket stays valid.
    pub validity: Duration,
}

/// A queue of jobs. The pool of `service` runs them.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name, unique within the configuration.
    pub name: CompactString,
    /// Host that requests for the queue name.
    pub host: CompactString,
    /// Start of the path of requests for the queue.
    pub prefix: CompactString,
    /// Service whose VMs run the jobs.
    pub service: ServiceId,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Latency objective of a job in multiples of its chain of work.
    pub stretch: f32,
    /// Addition to the latency objective.
    pub target: Duration,
    /// Set when a policy outside the system allows only some VMs for a step.
    pub advice: Option<Advice>,
}

/// A pool: the VMs of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The VMs refuse tasks that don't fit.
    pub rejects_overload: bool,
    /// The VMs are off until they are moved to another pool.
    pub spare: bool,
}

/// One version of the configuration. Versions only rise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version given by the operator.
    pub version: Version,
    /// All queues.
    pub queues: Vec<Queue>,
    /// All pools by service.
    pub pools: BTreeMap<ServiceId, Pool>,
}

impl FleetConfig {
    /// The queue whose host matches and whose prefix is the longest that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |queue: &&Queue| queue.host == host && path.starts_with(&*queue.prefix);
        self.queues.iter().filter(matching).max_by_key(|queue| queue.prefix.len())
    }

    /// The queue called `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// The pool that lends its VMs.
    pub fn spare_pool(&self) -> Option<&ServiceId> {
        self.pools.iter().find(|(_, pool)| pool.spare).map(|(service, _)| service)
    }
}
