//! Ends of runs that workers report, and what they tell about the workers.

use log::info;

use crate::sched::{
    event::{EndKind, EndRow},
    scheduler::Scheduler,
    settings::{QUARANTINE_FAILURES, QUARANTINE_TIME},
    work::{Placement, TaskRef},
    worker::WorkerKey,
};

impl Scheduler {
    /// Processes a reported end of a run.
    pub(super) fn read_end(&mut self, key: WorkerKey, row: EndRow) {
        let Some(at) = self.find_task(&row.task) else { return };
        info!(
            target: "decision",
            "task={} run={} worker={} end={:?} number={}",
            row.task, row.run, self.workers[key].id, row.kind, row.number
        );
        let current =
            self.task(at).placement().filter(|p| p.worker == key && p.run == row.run).cloned();
        if let Some(placement) = &current {
            self.observe_end(key, at, placement, row.kind);
            self.remember_start(at, None);
            self.release(at);
        }
        if !row.checkpoint.is_empty() {
            self.task_mut(at).checkpoint = row.checkpoint.clone();
        }
        let task = self.task_mut(at);
        task.last_run = task.last_run.max(row.run);
        match row.kind {
            EndKind::Done => self.finish_task(at),
            EndKind::Failed => self.fail_task(at, row.run, key),
            _ => {}
        }
        if row.kind != EndKind::Done && current.is_some() {
            self.stop_gang(at);
        }
        self.retire(at.job);
    }

    /// Updates the failure count and the run time statistics of the worker from the end of a run.
    fn observe_end(&mut self, key: WorkerKey, at: TaskRef, placement: &Placement, kind: EndKind) {
        let job = &self.jobs[at.job];
        let spec = job.step_spec(at.step);
        if spec.long_running {
            return;
        }
        if kind != EndKind::Done {
            self.learn_stopped(at, placement);
        }
        match kind {
            EndKind::Done => {
                self.workers[key].failures = 0;
                if !placement.resumed {
                    self.observe_run_time(key, at, placement);
                }
            }
            EndKind::Failed => {
                self.workers[key].failures += 1;
                if self.workers[key].failures >= QUARANTINE_FAILURES {
                    self.quarantine(key);
                }
            }
            _ => {}
        }
    }

    /// Updates the run time statistics of the worker, the queue and the step from a whole run of a task.
    fn observe_run_time(&mut self, key: WorkerKey, at: TaskRef, placement: &Placement) {
        let took = self.now.mono.saturating_duration_since(placement.started_at);
        let job = &self.jobs[at.job];
        let expected = self.expected_run_time(job, at.step, job.step(at));
        self.workers[key].observe(took, expected);
        self.learn_finished(key, at, placement, took);
        self.jobs[at.job].step_mut(at).total_time += took;
    }

    pub(super) fn quarantine(&mut self, key: WorkerKey) {
        if !self.policies.quarantine {
            return;
        }
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        let known = worker.quarantined_until.is_some_and(|until| now < until);
        worker.quarantined_until = Some(now + QUARANTINE_TIME);
        if !known {
            info!(target: "decision", "worker={} choice=quarantine failures={}", worker.id, worker.failures);
        }
    }
}
