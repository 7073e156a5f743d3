//! Leases of runs: how long a worker may hold them, and the runs that are given up when they have ended.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::sched::{
    evidence::RunEvidence,
    late_start::COMMAND_LIFETIME,
    scheduler::Scheduler,
    work::TaskRef,
    worker::{Worker, WorkerKey},
};

/// Largest difference between the wall clocks of two machines.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(2);

/// Time within which a command is carried out, unless that happens late.
const COMMAND_TIME: Duration = Duration::from_secs(1);

impl Scheduler {
    /// True if the run may hold a lease that was granted for another clock, and that may not have ended: the incarnation that runs
    /// it isn't known to be the one for which the leases were granted. A run whose start went unanswered most likely isn't there at
    /// all, so it isn't kept for leases that are carried out late as well.
    pub(super) fn may_hold_foreign_lease(&self, at: TaskRef) -> bool {
        let Some(placement) = self.task(at).placement() else { return false };
        if placement.in_life {
            return false;
        }
        let delay = if self.may_still_start(at) { COMMAND_TIME } else { COMMAND_LIFETIME };
        let calls = self.workers[placement.worker].calls;
        let end = calls.last_lease_end(delay, self.limits.longest_lease());
        end.is_some_and(|end| !self.is_lease_over(end))
    }

    /// Bounds the leases that an incarnation may hold by commands of earlier owners which were meant for the one before: until
    /// its first answer to this owner it has carried them out. Those for an incarnation that ended long ago have expired.
    pub(super) fn count_earlier_grants(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let Some(started_at) = self.workers[key].started_at.map(UnixMillis) else { return };
        if now >= self.owner_since + COMMAND_LIFETIME {
            return;
        }
        let age = self.now.wall.since(started_at);
        let longest = self.limits.longest_lease();
        let expired = age.saturating_sub(COMMAND_LIFETIME + CLOCK_DIFFERENCE);
        if expired < longest {
            let worker = &mut self.workers[key];
            let end = now + longest - expired;
            worker.foreign_lease_end = worker.foreign_lease_end.max(Some(end));
        }
    }

    /// Gives up the runs on unresponsive workers whose leases have ended, and removes the workers that have left.
    pub(super) fn expire_leases(&mut self) {
        if !self.may_command() {
            return;
        }
        let expired: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| self.has_lapsed(worker) && !worker.runs.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            let is_over = |at: &TaskRef| !self.may_hold_foreign_lease(*at);
            let runs: Vec<_> = self.workers[key].runs.iter().copied().filter(is_over).collect();
            if runs.is_empty() {
                continue;
            }
            self.log_lapse(key);
            for at in runs {
                self.mark_lost(at, RunEvidence::LeaseExpired);
            }
        }
        let has_left = |worker: &Worker| {
            !worker.registered && worker.runs.is_empty() && self.has_lapsed(worker)
        };
        let left: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| has_left(worker))
            .map(|(key, _)| key)
            .collect();
        let forget = self.is_lease_over(self.lease_horizon);
        for key in left {
            self.refund_orphans(key);
            if forget {
                self.forget_worker(key);
            }
        }
    }
}
