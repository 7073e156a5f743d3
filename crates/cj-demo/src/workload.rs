//! Description of a workload and its open-loop arrival rate.

use std::time::Duration;

use compact_str::CompactString;

use cj_types::{CallerId, ClassId, Resources, ServiceId, TeamId};

/// Arrival rate of a workload during its burst, as a multiple of its mean rate.
const BURST_FACTOR: f64 = 5.0;

/// Arrival rate of a workload between its bursts, as a multiple of its mean rate.
const TROUGH_FACTOR: f64 = 0.05;

/// Kind of the work of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A request to a minion.
    Request,
    /// A task on a worker.
    Task {
        /// Declared run time.
        run: Duration,
        /// Declared resources.
        resources: Resources,
    },
}

/// Urgency of a workload; determines which faults flood it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Flooded by `flood-most`.
    Most,
    /// Never flooded.
    Middle,
    /// Flooded by `flood-least`.
    Least,
}

/// A stream of similar work from one caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Name in the report.
    pub name: CompactString,
    /// Requested service.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Caller that sends the work.
    pub caller: CallerId,
    /// Team whose quota is charged.
    pub team: TeamId,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Maximum completions per second of the workload's pool; the rate of a flood is a multiple of it.
    pub capacity: f64,
    /// Time within which an answer is useful.
    pub deadline: Duration,
    /// True when the work may run more than once.
    pub idempotent: bool,
    /// True when accepted work must reach a known final state.
    pub must_not_drop: bool,
    /// Request or task.
    pub kind: WorkKind,
    /// Urgency.
    pub urgency: Urgency,
}

impl Workload {
    /// True when each request is recorded in the log before it runs.
    pub fn is_recorded(&self) -> bool {
        !self.idempotent || self.must_not_drop
    }

    /// Arrivals per second at `elapsed`. Each of the `count` workloads in turn has a burst of the duration `burst`; zero
    /// means a constant rate.
    pub fn rate_at(&self, elapsed: Duration, index: usize, count: usize, burst: Duration) -> f64 {
        if burst.is_zero() || count == 0 {
            return self.rate;
        }
        let bursting = (elapsed.as_secs_f64() / burst.as_secs_f64()) as usize % count;
        self.rate * if bursting == index { BURST_FACTOR } else { TROUGH_FACTOR }
    }
}
