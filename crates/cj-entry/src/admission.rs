//! Refuses jobs that a pool can't do in time.
//!
//! Answers bursts that ask for several times what a pool holds: a job whose turn would come after its result is of use is
//! refused at once, with the time after which the backlog will have shrunk, so that its caller can decide and the jobs
//! that were accepted are done in time.

use std::time::Duration;

use cj_sched::{
    JobSpec,
    record::{OwnerHeartbeat, ServiceLoad},
};
use cj_types::ServiceId;

/// A job is refused when its turn would come after this multiple of its latency objective.
const WAIT_FACTOR: f64 = 8.0;

/// Shortest time after which a refused caller is asked to return.
const RETRY_LEAST: Duration = Duration::from_secs(1);

/// Longest time after which a refused caller is asked to return.
const RETRY_MOST: Duration = Duration::from_secs(10);

/// Whether to take a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
    beat: Option<&OwnerHeartbeat>,
    service: &ServiceId,
    spec: &JobSpec,
    objective: Duration,
) -> Verdict {
    if spec.is_long_running() || spec.schedule.is_some() {
        return Verdict::Accept;
    }
    let load = beat.and_then(|beat| beat.load.iter().find(|(name, _)| name == service));
    let Some((_, load)) = load else { return Verdict::Accept };
    let wait = backlog_time(load);
    let limit = objective.mul_f64(WAIT_FACTOR);
    if wait <= limit {
        return Verdict::Accept;
    }
    Verdict::Refuse((wait - limit).clamp(RETRY_LEAST, RETRY_MOST))
}
