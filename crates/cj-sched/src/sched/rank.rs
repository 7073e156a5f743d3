//! Order in which steps are placed.
//!
//! When jobs ask for several times what a pool holds, a job that can still meet its latency objective goes before one that
//! can't, since its caller gains most, and of those the one that has to start first goes first. A job counts as in time only
//! with a margin: in a backlog the next job always has the least time left, and without a margin all jobs would end just too
//! late. Of the late jobs, the least late goes first: it may still be in time, since run times are uncertain.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::sched::{estimate::TimeEstimate, work::Job};

/// A late job is still of some use to its caller up to this multiple of its objective.
const LATE_FACTOR: u32 = 3;

/// A job counts as in time if this multiple of its expected remaining time is left.
pub const TIME_MARGIN: f32 = 1.35;

/// Head start of a job of which tasks have run: finishing it frees its caller and wastes no work.
const STARTED_BONUS: Duration = Duration::from_millis(1_500);

/// Whether a job is expected to meet its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    /// Meets its objective, or is long-running.
    InTime,
    /// Misses its objective, but is still of use to its caller.
    Late,
    /// Too late to be of much use; it still has to be done.
    Overdue,
}

/// Sort key: lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: u32,
    pub(super) timeliness: Timeliness,
    /// Latest start of the remaining work in ms of Unix time, negated for late jobs; or the time of submission.
    order: i64,
}

impl Rank {
    /// Steps that differ in this are placed in its order, whatever their accounts have.
    pub(super) fn group(self) -> (u32, Timeliness) {
        (self.priority, self.timeliness)
    }

    /// Latest start of the remaining work of a job in time, by which such jobs are ordered.
    pub(super) fn latest_start(self) -> UnixMillis {
        UnixMillis(self.order.max(0) as u64)
    }
}

/// Rank of an occurrence of a job.
pub(super) fn rank(job: &Job, occurrence: u32, estimate: TimeEstimate, wall: UnixMillis) -> Rank {
    let priority = job.submission.priority;
    if job.submission.spec.is_long_running() {
        return submission_rank(job);
    }
    let bonus =
        if job.occurrences[occurrence as usize].started { STARTED_BONUS } else { Duration::ZERO };
    let latest_start = (estimate.deadline - estimate.remaining - bonus).0 as i64;
    let timeliness = timeliness(job, occurrence, estimate, wall);
    let order = if timeliness == Timeliness::Late { -latest_start } else { latest_start };
    Rank { priority, timeliness, order }
}

/// Rank by priority and time of submission alone.
pub(super) fn submission_rank(job: &Job) -> Rank {
    let (priority, order) = (job.submission.priority, job.submission.received_at.0 as i64);
    Rank { priority, timeliness: Timeliness::InTime, order }
}

fn timeliness(job: &Job, occurrence: u32, estimate: TimeEstimate, wall: UnixMillis) -> Timeliness {
    let deadline = estimate.deadline;
    let end = wall + estimate.remaining.mul_f32(TIME_MARGIN);
    let late_until = deadline + deadline.since(job.latency_start(occurrence)) * (LATE_FACTOR - 1);
    if end <= deadline {
        Timeliness::InTime
    } else if end <= late_until {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    }
}
