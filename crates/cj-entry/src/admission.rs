//! Refuses jobs that a pool can't run in time.
//!
//! This handles bursts of several times the capacity of a pool. A job that would finish too late to be of use is
//! refused at once, with the time after which the backlog will have shrunk. The caller can then decide what to do, and
//! accepted jobs finish in time.

use std::time::Duration;

use cj_sched::{
    JobSpec,
    record::{OwnerHeartbeat, ServiceLoad},
};
use cj_types::ServiceId;

/// A job is refused when its expected wait exceeds this multiple of its latency objective.
const MAX_WAIT_FACTOR: f64 = 8.0;

/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time after which a refused caller may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Whether to accept a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Accept the job.
    Accept,
    /// Refuse the job; the caller may retry after this time.
    Refuse(Duration),
}

/// Time that a service needs to work off its backlog; zero if it has no capacity.
pub fn backlog_time(load: &ServiceLoad) -> Duration {
    if load.capacity == 0 {
        return Duration::ZERO;
    }
    Duration::from_millis(load.backlog / load.capacity)
}

/// Decides on a job by the load that the owner published. Without a published load, and if the job is long-running or
/// scheduled, it is accepted.
pub fn admit(
    heartbeat: Option<&OwnerHeartbeat>,
    service: &ServiceId,
    spec: &JobSpec,
    objective: Duration,
) -> AdmissionDecision {
    if spec.is_long_running() || spec.schedule.is_some() {
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
