//! Input and output of placement: usage reports, choices and relief.

use std::time::Duration;

use compact_str::CompactString;

use cj_types::{ClassId, JobId, Resources, ServiceId, UnixMillis, VmId};

/// Usage of one worker as reported by the platform, with a delay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The worker.
    pub vm: VmId,
    /// Time of the measurement.
    pub measured_at: UnixMillis,
    /// Usage of the whole worker.
    pub used: Resources,
    /// Tasks on it.
    pub tasks: Vec<TaskUsage>,
}

/// Usage of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskUsage {
    /// Job that it runs.
    pub job: JobId,
    /// Service of the job.
    pub service: ServiceId,
    /// Class of the job.
    pub class: ClassId,
    /// Urgency of the class; 0 is the most urgent.
    pub urgency: u32,
    /// Usage of the task.
    pub used: Resources,
    /// Demand declared by its caller.
    pub declared: Resources,
    /// False when it must not be started again. Such a task is never stopped for relief.
    pub idempotent: bool,
    /// Time since its start.
    pub run_time: Duration,
    /// Last relief step applied to it.
    pub last_relief: Option<ReliefStep>,
}

/// A relief step, mildest first. Log lines contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReliefStep {
    /// Slow it down.
    Throttle,
    /// Make it save its progress.
    Checkpoint,
    /// Stop it.
    Stop,
}

/// Relief for one task of an overloaded worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relief {
    /// The worker.
    pub vm: VmId,
    /// The job.
    pub job: JobId,
    /// Step to apply.
    pub step: ReliefStep,
    /// Reason.
    pub reason: CompactString,
}

/// Placement decision for one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Start it on this worker.
    Target {
        /// The worker.
        vm: VmId,
        /// Reason.
        reason: CompactString,
        /// Workers that were considered, the best first.
        candidates: Vec<VmId>,
    },
    /// No worker has room now.
    Wait {
        /// Reason.
        reason: CompactString,
    },
    /// No worker of the pool could ever hold it, or it failed on several healthy workers. Logged as `impossible`.
    Unplaceable {
        /// Reason.
        reason: CompactString,
    },
}
