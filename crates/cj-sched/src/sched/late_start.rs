//! Start commands that went unanswered and may still be carried out by a later incarnation of the worker.

use std::time::{Duration, Instant};

use crate::{
    job::TaskId,
    sched::{
        event::{CommandAnswer, WorkerId},
        ledger::Charge,
        scheduler::Scheduler,
        settings::STOP_RETRY_INTERVAL,
        work::{Stage, TaskRef},
        worker::WorkerKey,
    },
};

/// A command that went unanswered is carried out within this time or never.
const COMMAND_LIFETIME: Duration = Duration::from_secs(15);

/// A lost run whose start command went unanswered.
pub(super) struct UnansweredStart {
    worker: WorkerId,
    task: TaskId,
    run: u64,
    lost_at: Instant,
    charge: Option<Charge>,
    /// When its stop is sent again to the present incarnation, after one that may not have been carried out.
    stop_again_at: Option<Instant>,
}

impl UnansweredStart {
    fn is_expired(&self, now: Instant) -> bool {
        now >= self.lost_at + COMMAND_LIFETIME
    }
}

impl Scheduler {
    /// True when a start command for the run went unanswered. A later incarnation under the same id would carry it out,
    /// since it has no state of the earlier one; only a stop that it answers rules that out.
    pub(super) fn may_still_start(&self, at: TaskRef) -> bool {
        let placement = self.task(at).placement();
        placement.is_some_and(|p| p.stage == Stage::Starting || p.start_pending || p.unanswered > 0)
    }

    /// Remembers a run that is being lost, if its start command may still be carried out.
    pub(super) fn remember_start(&mut self, at: TaskRef) {
        let charge = self.charge_of(at).filter(|_| self.may_still_start(at));
        if let Some(charge) = charge {
            self.ledger.charge(charge);
            self.ledger.add_unconfirmed(charge.account);
        }
        self.remember_charged(at, charge);
    }

    /// Remembers a run with a listed end, if its start command was sent again: the next incarnation may carry out the other one.
    pub(super) fn remember_ended_start(&mut self, at: TaskRef) {
        self.remember_charged(at, None);
    }

    fn remember_charged(&mut self, at: TaskRef, charge: Option<Charge>) {
        let now = self.now.mono;
        if !self.may_still_start(at) {
            return;
        }
        let task = self.jobs[at.job].task_id(at);
        let Some(placement) = self.task(at).placement() else { return };
        let Some(worker) = self.workers.get(placement.worker) else { return };
        let (worker, run) = (worker.id.clone(), placement.run);
        let stop_again_at = None;
        let start = UnansweredStart { worker, task, run, lost_at: now, charge, stop_again_at };
        self.unanswered_starts.push(start);
    }

    /// Stops the unanswered starts on a new incarnation of a worker: it then refuses these runs, also when their start
    /// commands arrive later.
    pub(super) fn stop_unanswered_starts(&mut self, key: WorkerKey) {
        let id = self.workers[key].id.clone();
        let stops: Vec<_> = self
            .unanswered_starts
            .iter()
            .filter(|start| start.worker == id)
            .map(|start| (start.task, start.run))
            .collect();
        for (task, run) in stops {
            self.stop_orphan(key, task, run);
        }
    }

    /// Records the answer to the stop of an unanswered start. Without a confirmation the start may still be carried out, so the stop
    /// is repeated.
    pub(super) fn late_start_stopped(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u64,
        answer: CommandAnswer,
    ) {
        let repeat_at = self.now.mono + STOP_RETRY_INTERVAL;
        let stop_again_at = (answer != CommandAnswer::Done).then_some(repeat_at);
        for start in &mut self.unanswered_starts {
            if start.worker == *worker && start.task == *task && start.run == run {
                start.stop_again_at = stop_again_at;
            }
        }
    }

    /// Repeats the stops of unanswered starts that weren't confirmed.
    pub(super) fn retry_late_stops(&mut self) {
        let now = self.now.mono;
        let mut due = Vec::new();
        for start in &mut self.unanswered_starts {
            if start.stop_again_at.is_some_and(|at| at <= now) {
                start.stop_again_at = None;
                due.push((start.worker.clone(), start.task, start.run));
            }
        }
        for (worker, task, run) in due {
            if let Some(&key) = self.worker_keys.get(&worker) {
                self.stop_orphan(key, task, run);
            }
        }
    }

    /// Stops counting lost runs whose start commands can no longer be carried out.
    pub(super) fn refund_late_starts(&mut self) {
        let now = self.now.mono;
        let expired = self.unanswered_starts.extract_if(.., |start| start.is_expired(now));
        for charge in expired.filter_map(|start| start.charge) {
            self.ledger.refund(charge);
            self.ledger.confirm(charge.account);
        }
    }
}
