//! Workloads of both organisations as open-loop arrival processes.

use std::time::Duration;

use compact_str::CompactString;

use cj_types::{CallerId, ClassId, Resources, ServiceId, TeamId};

/// Load of a queue during its burst, as a multiple of its mean.
const BURST_FACTOR: f64 = 5.0;

/// Load of a queue between its bursts, as a multiple of its mean.
const TROUGH_FACTOR: f64 = 0.05;

/// What a workload does to its upstreams.
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

/// How urgent a workload is; floods choose by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Flooded by `flood-most`.
    Most,
    /// Never flooded.
    Middle,
    /// Flooded by `flood-least`.
    Least,
}

/// Work of one kind from one caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Name in the report.
    pub name: CompactString,
    /// Service asked for.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Who asks.
    pub caller: CallerId,
    /// Team whose quota is used.
    pub team: TeamId,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Completions per second that the workload's pool can reach; a flood is a multiple of it.
    pub capacity: f64,
    /// Time in which an answer is useful.
    pub deadline: Duration,
    /// True when it may run more than once.
    pub idempotent: bool,
    /// True when accepted work must end in a known state.
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

    /// Arrivals per second at `elapsed`. With `bursts`, each of `count` workloads in turn bursts for `burst`.
    pub fn rate_at(&self, elapsed: Duration, index: usize, count: usize, burst: Duration) -> f64 {
        if burst.is_zero() || count == 0 {
            return self.rate;
        }
        let bursting = (elapsed.as_secs_f64() / burst.as_secs_f64()) as usize % count;
        self.rate * if bursting == index { BURST_FACTOR } else { TROUGH_FACTOR }
    }
}
