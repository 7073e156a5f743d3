//! Order in which steps get room.
//!
//! Answers bursts that ask for several times what a pool holds: a job that can still meet its latency objective goes
//! before one that can't, since its caller gains most; among the former the earliest objective goes first, and among the
//! latter the one that still can be of some use.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::sched::work::Job;

/// A late job is still of some use to its caller up to this multiple of its objective.
const LATE_FACTOR: u32 = 3;

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
    prospect: Prospect,
    due: UnixMillis,
}

/// Rank of an occurrence of a job. `speed` corrects the estimates of its queue.
pub(super) fn rank(job: &Job, occurrence: u32, wall: UnixMillis, speed: f32) -> Rank {
    let priority = job.submission.priority;
    if job.submission.spec.is_lasting() {
        return Rank { priority, prospect: Prospect::InTime, due: job.submission.at };
    }
    let due = job.objective_end(occurrence);
    let end = wall + job.remaining_chain(occurrence).mul_f32(speed);
    let last = due + job.submission.objective * (LATE_FACTOR - 1);
    let prospect = if end <= due {
        Prospect::InTime
    } else if end <= last {
        Prospect::Late
    } else {
        Prospect::Overdue
    };
    let bonus =
        if job.occurrences[occurrence as usize].started { STARTED_BONUS } else { Duration::ZERO };
    Rank { priority, prospect, due: due - bonus }
}
