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
pub(super) const COMMAND_LIFETIME: Duration = Duration::from_secs(15);

/// A run that is over for this owner, but whose start command went unanswered.
pub(super) struct UnansweredStart {
    worker: WorkerId,
    task: TaskId,
    run: u64,
    over_at: Instant,
    charge: Option<Charge>,
    /// When its stop is sent to the present incarnation of the worker.
    stop_due: Option<Instant>,
}

impl UnansweredStart {
    fn is_expired(&self, now: Instant) -> bool {
        now >= self.over_at + COMMAND_LIFETIME
    }
}

impl Scheduler {
    /// True when a start command for the run went unanswered. A later incarnation under the same id would carry it out,
    /// since it has no state of the earlier one; only a stop that it answers rules that out.
    pub(super) fn may_still_start(&self, at: TaskRef) -> bool {
        let placement = self.task(at).placement();
        placement.is_some_and(|p| p.stage == Stage::Starting || p.start_pending || p.unanswered > 0)
    }

    /// Remembers a run that is over for this owner, if its start command may still be carried out. Until then it is charged with
    /// `charge`.
    pub(super) fn remember_start(&mut self, at: TaskRef, charge: Option<Charge>) {
        if !self.may_still_start(at) {
            return;
        }
        let task = self.jobs[at.job].task_id(at);
        let Some(placement) = self.task(at).placement() else { return };
        let Some(worker) = self.workers.get(placement.worker) else { return };
        let (worker, run, over_at) = (worker.id.clone(), placement.run, self.now.mono);
        if let Some(charge) = charge {
            self.ledger.charge(charge);
            self.ledger.add_unconfirmed(charge.account);
        }
        let start = UnansweredStart { worker, task, run, over_at, charge, stop_due: None };
        self.unanswered_starts.push(start);
    }

    /// Stops the unanswered starts on a new incarnation of a worker: it then refuses these runs, also when their start
    /// commands arrive later.
    pub(super) fn stop_unanswered_starts(&mut self, key: WorkerKey) {
        let (id, now) = (self.workers[key].id.clone(), self.now.mono);
        for start in self.unanswered_starts.iter_mut().filter(|start| start.worker == id) {
            start.stop_due = Some(now);
        }
        self.send_due_stops();
    }

    /// Sends the stops of unanswered starts that are due.
    pub(super) fn send_due_stops(&mut self) {
        let now = self.now.mono;
        let mut due = Vec::new();
        for start in &mut self.unanswered_starts {
            if start.stop_due.take_if(|at| *at <= now).is_some() {
                due.push((start.worker.clone(), start.task, start.run));
            }
        }
        for (worker, task, run) in due {
            if let Some(&key) = self.worker_keys.get(&worker) {
                self.stop_orphan(key, task, run);
            }
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
        let stop_due = (answer != CommandAnswer::Done).then_some(repeat_at);
        let is_stopped = |start: &&mut UnansweredStart| {
            (&start.worker, &start.task, start.run) == (worker, task, run)
        };
        for start in self.unanswered_starts.iter_mut().filter(is_stopped) {
            start.stop_due = stop_due;
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
