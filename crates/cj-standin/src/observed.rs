//! Counters of what the stand-ins saw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use cj_types::{PoolId, VmId};

/// Runs of one job key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Runs that began from the start of the work.
    pub starts: u32,
    /// Runs that continued from a checkpoint.
    pub resumed: u32,
    /// Runs that reached their end.
    pub ends: u32,
}

/// Availability of one pool over time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAvailability {
    /// Budget of the pool.
    pub min_available: u32,
    /// Lowest number of live VMs seen.
    pub lowest: u32,
    /// Time since the start in milliseconds and number of live VMs, recorded at every change.
    pub available: Vec<(u64, u32)>,
}

/// A planned action that left a pool below its budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Time since the start in milliseconds.
    pub at_ms: u64,
    /// The pool.
    pub pool: PoolId,
    /// The VM taken out.
    pub vm: VmId,
    /// Live VMs left.
    pub available: u32,
    /// True when a VM of the pool had failed so recently that the planner may not have known.
    pub unnoticed_failure: bool,
}

/// Everything that the stand-ins saw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Observed {
    /// Runs by job key. A request without `x-job-key` is entered by [`crate::body_key`].
    pub executions: BTreeMap<String, Execution>,
    /// Requests and tasks cut off by a reboot.
    pub cut_off_in_flight: u64,
    /// Requests and tasks cut off by a kill.
    pub cut_by_failure: u64,
    /// Requests whose connection was closed by the requester before the answer.
    pub abandoned: u64,
    /// New work that arrived at a VM that had been leaving for more than [`crate::LEAVING_BOUND`].
    pub late_to_leaving: u64,
    /// Work that a VM refused because it was leaving, within or after the bound.
    pub refused_leaving: u64,
    /// Requests refused because no slot was free, and tasks refused for lack of room.
    pub refused_full: u64,
    /// Tasks refused for an older token, an ended lease or as a duplicate.
    pub fenced: u64,
    /// VMs that were in two pools: overlapping assignments to different pools, or work of the former pool's service
    /// that arrived later than [`crate::LEAVING_BOUND`] after the assignment.
    pub vm_in_two_pools: u64,
    /// Planned actions that left a pool below its budget.
    pub breaches: Vec<Breach>,
    /// Changes of a VM's pool.
    pub moves: u64,
    /// Drains accepted.
    pub drains: u64,
    /// Drains given up.
    pub undrains: u64,
    /// Reboots accepted.
    pub reboots: u64,
    /// Repeated operations answered with the first result.
    pub repeated_ops: u64,
    /// Availability by pool.
    pub pools: BTreeMap<PoolId, PoolAvailability>,
    /// Pool of each VM at the end.
    pub assignments: BTreeMap<VmId, PoolId>,
    /// Faults injected by name.
    pub faults_injected: BTreeMap<String, u64>,
    /// Appends that took effect.
    pub log_appends: u64,
    /// Size of the appended records in bytes.
    pub log_bytes: u64,
    /// Appends whose answer was withheld.
    pub lost_answers: u64,
}

impl Observed {
    /// Planned actions that left a pool below its budget although no recent failure excuses them.
    pub fn budget_breaches(&self) -> u64 {
        self.breaches.iter().filter(|breach| !breach.unnoticed_failure).count() as u64
    }

    /// Number of faults injected.
    pub fn fault_count(&self) -> u64 {
        self.faults_injected.values().sum()
    }
}
