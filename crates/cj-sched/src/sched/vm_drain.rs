//! Drains a VM for its maintenance: stops the tasks there that may be interrupted, and tells when the VM is empty.
//!
//! Unplanned failures take precedence: a long-running task is stopped only while enough others of its step are available.

use std::time::{Duration, Instant};

use cj_types::VmId;

use crate::sched::{
    event::VmState,
    scheduler::Scheduler,
    wave::COMMAND_RETRY_INTERVAL,
    work::{Stage, Task, TaskRef},
    worker::WorkerKey,
};

/// A VM on which only finite tasks are left goes into maintenance after draining for this long, even if they still run.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(9);

/// Finite tasks that save checkpoints are stopped after their VM has drained for this long.
const CHECKPOINT_STOP_DELAY: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Drains the worker of a VM. Returns true if nothing runs there, or if only finite tasks do and the drain has timed out or is
    /// `urgent`.
    pub(super) fn drain_vm(&mut self, vm: &VmId, since: Instant, urgent: bool) -> bool {
        let Some(row) = self.vms.get(vm) else { return false };
        if row.state != VmState::Up {
            return false;
        }
        let Some(id) = row.worker.as_ref() else { return true };
        let Some(&key) = self.worker_keys.get(id) else {
            // Tasks that an earlier owner started may run on a worker that isn't known yet.
            return self.is_lease_over(self.lease_horizon);
        };
        self.workers[key].vm_draining = true;
        if self.workers[key].runs.is_empty() {
            return self.is_confirmed_empty(key, since) && self.workers[key].has_durable_ends();
        }
        let waited = self.now.mono.saturating_duration_since(since);
        for at in self.workers[key].runs.clone() {
            let spec = self.jobs[at.job].step_spec(at.step);
            let stop_at_checkpoint = spec.checkpoints && waited > CHECKPOINT_STOP_DELAY;
            let long_running = spec.long_running;
            if (long_running && self.may_interrupt(at)) || stop_at_checkpoint {
                self.stop_run(at);
            }
        }
        let long_running = |at: &TaskRef| self.jobs[at.job].step_spec(at.step).long_running;
        let worker = &self.workers[key];
        let ends_drain = urgent || waited > DRAIN_TIMEOUT;
        ends_drain && worker.has_durable_ends() && !worker.runs.iter().any(long_running)
    }

    /// True if a worker without runs has answered after `since`, so that no other incarnation runs on its VM.
    pub(super) fn is_confirmed_empty(&mut self, key: WorkerKey, since: Instant) -> bool {
        let now = self.now.mono;
        let leases_over = self.is_lease_over(self.lease_horizon);
        let worker = &mut self.workers[key];
        let answered = worker.runs_known() && worker.last_answer.is_some_and(|at| at > since);
        if !answered && worker.missed_listings == 0 {
            worker.list_by(now);
        }
        answered || (!worker.is_reconciled() && leases_over)
    }

    /// True if no command of an earlier owner can still interrupt tasks of this service, and this owner's last heartbeat is
    /// recent enough that no other owner sends such commands.
    fn is_takeover_settled(&mut self, at: TaskRef) -> bool {
        let now = self.now.mono;
        let service = self.service_of(&self.jobs[at.job].submission).clone();
        let delay = self.limits.stop_time * 2 + COMMAND_RETRY_INTERVAL;
        let reconciled = self.is_reconciled(&service)
            && self.reconciled.get(&service).is_some_and(|since| now > *since + delay);
        reconciled && self.is_sole_owner()
    }

    /// True if the scheduler may interrupt this long-running task: fewer than the allowed number of other tasks of its step
    /// are unavailable.
    pub(super) fn may_interrupt(&mut self, at: TaskRef) -> bool {
        if !self.is_takeover_settled(at) {
            return false;
        }
        let Some(allowed) = self.jobs[at.job].step_spec(at.step).max_unavailable else {
            return true;
        };
        let step = self.jobs[at.job].step(at);
        let unavailable = |(index, task): (usize, &Task)| {
            let available = task.placement().is_some_and(|placed| {
                let worker = &self.workers[placed.worker];
                let responsive = worker.missed_listings == 0 && !worker.draining;
                placed.stage == Stage::Running && placed.percent == 100 && responsive
            });
            index != at.index as usize && !available
        };
        (step.tasks.iter().enumerate().filter(|task| unavailable(*task)).count() as u32) < allowed
    }
}
