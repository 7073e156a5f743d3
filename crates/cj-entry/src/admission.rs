//! Refuses jobs that a pool can't do in time.
//!
//! Answers bursts that ask for several times what a pool holds: a job whose turn would come after its result is of use is
//! refused at once, with the time after which the backlog will have shrunk, so that its caller can decide and the jobs
//! that were accepted are done in time.

use std::time::Duration;

use cj_sched::{
    JobSpec,
    record::{OwnerBeat, ServiceLoad},
};
use cj_types::ServiceId;

/// A job is refused when its turn would come after this multiple of its latency objective.
const MAX_WAIT_FACTOR: f64 = 8.0;

/// Shortest time after which a refused caller is asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is asked to return.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Whether to take a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Take it.
    Accept,
    /// Refuse it; the caller may return after this time.
    Refuse(Duration),
}

/// Time that a service needs for its backlog.
pub fn backlog_time(load: &ServiceLoad) -> Duration {
    if load.capacity == 0 {
        return Duration::ZERO;
    }
    Duration::from_millis(load.backlog / load.capacity)
}

/// Decides on a job with the load that the owner published. Without a published load every job is taken.
pub fn admit(
    heartbeat: Option<&OwnerBeat>,
    service: &ServiceId,
    spec: &JobSpec,
    objective: Duration,
) -> AdmissionDecision {
    if spec.is_lasting() || spec.schedule.is_some() {
        return AdmissionDecision::Accept;
    }
    let load =
        heartbeat.and_then(|heartbeat| heartbeat.load.iter().find(|(name, _)| name == service));
    let Some((_, load)) = load else { return AdmissionDecision::Accept };
    let wait = backlog_time(load);
    let limit = objective.mul_f64(MAX_WAIT_FACTOR);
    if wait <= limit {
        return AdmissionDecision::Accept;
    }
    AdmissionDecision::Refuse((wait - limit).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
}
