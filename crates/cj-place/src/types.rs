//! Reports that placement works on and the decisions it returns.

use std::time::Duration;

use compact_str::CompactString;

use cj_types::{ClassId, JobId, Resources, ServiceId, UnixMillis, VmId};

/// Usage of one worker as reported by the platform; reports lag.
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
    /// Usage.
    pub used: Resources,
    /// Demand that its caller declared.
    pub declared: Resources,
    /// False when it must not be started again. Such a task is never stopped for relief.
    pub idempotent: bool,
    /// Time since its start.
    pub run_time: Duration,
    /// Relief already applied to it.
    pub last_relief: Option<ReliefStep>,
}

/// A step of relief, mildest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReliefStep {
    /// Slow it down.
    Throttle,
    /// Save its progress.
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
    /// What to do.
    pub step: ReliefStep,
    /// Why.
    pub reason: CompactString,
}

/// Decision on one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Start it here.
    Target {
        /// The worker.
        vm: VmId,
        /// Why.
        reason: CompactString,
        /// Workers that were considered, the best first.
        candidates: Vec<VmId>,
    },
    /// No worker has room now.
    Wait {
        /// Why.
        reason: CompactString,
    },
    /// No worker of the pool could ever hold it, or it fails wherever it runs.
    Unplaceable {
        /// Why.
        reason: CompactString,
    },
}
