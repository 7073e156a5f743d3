//! Order in which steps get room.
//!
//! Answers bursts that ask for several times what a pool holds: a job that can still meet its latency objective goes
//! before one that can't, since its caller gains most, and the one that has to begin first goes first. A job counts
//! as in time only with a reserve: in a backlog the next one in turn always has the least time left, and without a
//! reserve all of them would end just too late. Of the late ones, the one that is least late goes first: it may be in time
//! all the same, since run times are uncertain.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::sched::{estimate::Forecast, work::Job};

/// A late job is still of some use to its caller up to this multiple of its objective.
const LATE_FACTOR: u32 = 3;

/// A job is taken to end in time when this multiple of its expected time is left.
const MARGIN: f32 = 1.35;

/// Head start of a job of which tasks have run: to finish it frees its caller and wastes no work.
const STARTED_BONUS: Duration = Duration::from_millis(1_500);

/// What a job can still bring its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Prospect {
    /// Meets its objective, or runs for good.
    InTime,
    /// Late, but of use.
    Late,
    /// Of little use; it has to be done all the same.
    Overdue,
}

/// Sort key: lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: u32,
    pub(super) prospect: Prospect,
    /// Latest begin of what is left; before or after the latest begins of others, by the prospect.
    order: i64,
}

/// Rank of an occurrence of a job.
pub(super) fn rank(job: &Job, occurrence: u32, forecast: Forecast, wall: UnixMillis) -> Rank {
    let priority = job.submission.priority;
    if job.submission.spec.is_long_running() {
        return in_order(job);
    }
    let bonus =
        if job.occurrences[occurrence as usize].started { STARTED_BONUS } else { Duration::ZERO };
    let begin = (forecast.due - forecast.left - bonus).0 as i64;
    let prospect = prospect(job, occurrence, forecast, wall);
    let order = if prospect == Prospect::Late { -begin } else { begin };
    Rank { priority, prospect, order }
}

/// Rank by the order of submissions alone.
pub(super) fn in_order(job: &Job) -> Rank {
    let (priority, order) = (job.submission.priority, job.submission.received_at.0 as i64);
    Rank { priority, prospect: Prospect::InTime, order }
}

fn prospect(job: &Job, occurrence: u32, forecast: Forecast, wall: UnixMillis) -> Prospect {
    let due = forecast.due;
    let end = wall + forecast.left.mul_f32(MARGIN);
    let last = due + due.since(job.latency_start(occurrence)) * (LATE_FACTOR - 1);
    if end <= due {
        Prospect::InTime
    } else if end <= last {
        Prospect::Late
    } else {
        Prospect::Overdue
    }
}
