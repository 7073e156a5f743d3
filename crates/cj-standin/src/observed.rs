//! Counters and events that the fakes record, for checks of invariants.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use cj_types::{PoolId, VmId};

/// Runs of one job key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Runs that started without a checkpoint.
    pub starts: u32,
    /// Runs that continued from a checkpoint.
    pub resumed: u32,
    /// Runs that completed or failed at their end.
    pub ends: u32,
}

/// Availability of one pool over time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAvailability {
    /// Availability budget of the pool.
    pub min_available: u32,
    /// Lowest number of live VMs so far.
    pub lowest: u32,
    /// Time since the platform's start in milliseconds and number of live VMs, recorded at every change.
    pub available: Vec<(u64, u32)>,
}

/// A planned action that left a pool below its availability budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Time since the platform's start in milliseconds.
    pub at_ms: u64,
    /// The pool below its budget.
    pub pool: PoolId,
    /// The VM that the action took out of service.
    pub vm: VmId,
    /// Number of VMs left live.
    pub available: u32,
    /// True when a VM of the pool had failed so recently that the planner may not have detected it.
    pub unnoticed_failure: bool,
}

/// Everything that the fakes of one platform recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Observed {
    /// Runs by job key. A request without `x-job-key` is recorded under [`crate::body_key`].
    pub executions: BTreeMap<String, Execution>,
    /// Requests and tasks aborted by a reboot.
    pub cut_off_in_flight: u64,
    /// Requests and tasks aborted by a kill.
    pub cut_by_failure: u64,
    /// Requests whose client closed the connection before the answer.
    pub abandoned: u64,
    /// Requests and tasks that arrived at a VM after it had been leaving for more than [`crate::LEAVING_GRACE`].
    pub late_to_leaving: u64,
    /// Requests and tasks refused because the VM was leaving, within or after the grace period.
    pub refused_leaving: u64,
    /// Requests refused because no slot was free, and tasks refused for lack of capacity.
    pub refused_full: u64,
    /// Task starts refused as fenced: an outdated token, an expired lease, a duplicate, or a task that is still active.
    pub fenced: u64,
    /// Violations of the rule that a VM is in one pool: overlapping assignments to different pools, or requests for
    /// another pool's service later than [`crate::LEAVING_GRACE`] after an assignment.
    pub vm_in_two_pools: u64,
    /// Planned actions that left a pool below its availability budget.
    pub breaches: Vec<Breach>,
    /// Changes of a VM's pool.
    pub moves: u64,
    /// Drains accepted.
    pub drains: u64,
    /// Drains cancelled.
    pub undrains: u64,
    /// Reboots accepted.
    pub reboots: u64,
    /// Repeated operations that got the stored result.
    pub repeated_ops: u64,
    /// Availability by pool.
    pub pools: BTreeMap<PoolId, PoolAvailability>,
    /// Current pool of each VM.
    pub assignments: BTreeMap<VmId, PoolId>,
    /// Number of faults injected, by fault name.
    pub faults_injected: BTreeMap<String, u64>,
    /// Appends carried out.
    pub log_appends: u64,
    /// Total size of the appended records in bytes.
    pub log_bytes: u64,
    /// Appends carried out without an answer.
    pub lost_answers: u64,
}

impl Observed {
    /// Number of planned actions that left a pool below its budget, without those explained by a recent failure in the
    /// pool.
    pub fn budget_breaches(&self) -> u64 {
        self.breaches.iter().filter(|breach| !breach.unnoticed_failure).count() as u64
    }

    /// Total number of faults injected.
    pub fn fault_count(&self) -> u64 {
        self.faults_injected.values().sum()
    }
}
