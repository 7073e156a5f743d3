//! Refuses jobs that a pool can't run in time.
//!
//! This handles bursts of several times the capacity of a pool. A job that would finish too late to be of use is
//! refused at once, with the time after which the backlog will have shrunk. The caller can then decide what to do, and
//! accepted jobs finish in time.
//!
//! A job is refused when it isn't expected to end within its objective; see [`expected_end`]. A late job that ends within three
//! times its objective has about a fourteenth of the value of one in time, and a refused one has none. Still, refusing it
//! pays: the rule applies only when the pool lacks room, and while work waits there, the room that a late job takes once it has
//! started is room that jobs in time lack. It would have to displace fewer than one in fourteen of them to be worth
//! accepting. While the pool has free room, nothing is displaced, and every job is accepted.

use std::time::Duration;

use cj_sched::{
    JobKey, JobSpec,
    record::{OwnerHeartbeat, ServiceLoad},
};
use cj_types::{ServiceId, rendezvous};

use crate::expected_end::{ExpectedEnd, JobRequest, PoolView, expected_end};

/// A job is refused when its expected wait exceeds this multiple of its latency objective.
const MAX_WAIT_FACTOR: f64 = 8.0;

/// A job is refused when it is less likely than this to end within its objective. At one half, as many refused jobs would have
/// been in time as accepted ones are late, if both are near the limit.
const MIN_LIKELIHOOD: f64 = 0.5;

/// Width of the range of a Retry-After, as a share of it, so that callers that were refused together return apart.
const RETRY_JITTER: f64 = 0.5;

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

/// Decides on a job by its expected end. `None` if the load doesn't tell it.
pub fn admit_by_end(
    view: &PoolView<'_>,
    key: JobKey,
    job: &JobRequest<'_>,
) -> Option<(AdmissionDecision, ExpectedEnd)> {
    let expected = expected_end(view, job)?;
    let in_time = expected.likelihood >= MIN_LIKELIHOOD;
    let decision = if expected.has_room || in_time {
        AdmissionDecision::Accept
    } else {
        AdmissionDecision::Refuse(retry_after(
            key,
            expected.wait.saturating_sub(expected.longest_wait),
        ))
    };
    Some((decision, expected))
}

/// When a refused caller may retry: when the work that goes first will have shrunk enough, after `excess`, give or take a jitter
/// that depends on the id of its job.
fn retry_after(key: JobKey, excess: Duration) -> Duration {
    let random = rendezvous::weight(&key.0.to_be_bytes(), b"retry") as f64 / u64::MAX as f64;
    let after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    after.mul_f64(1.0 + RETRY_JITTER * (random - 0.5)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
