//! What the end of a run means for its task and job: done, failed, or given up.

use log::info;

use crate::{
    record::Outcome,
    sched::{
        scheduler::Scheduler,
        work::{Phase, TaskRef},
        worker::WorkerKey,
    },
};

impl Scheduler {
    /// Marks a finite task as done, and its occurrence as completed after the last one.
    pub(super) fn finish_task(&mut self, at: TaskRef) {
        let spec = self.jobs[at.job].step_spec(at.step);
        if spec.long_running || self.task(at).is_done() {
            return;
        }
        // The end of one member completes the whole gang.
        let members = if spec.gang { 0..spec.count } else { at.index..at.index + 1 };
        for index in members {
            self.mark_done(TaskRef { index, ..at });
        }
        self.mark_changed(at);
        let occurrence = self.jobs[at.job].occurrence_mut(at);
        if occurrence.outcome == Outcome::Open && occurrence.is_done() {
            occurrence.outcome = Outcome::Completed;
            occurrence.decided_at = self.now.wall;
            let job = self.jobs[at.job].key;
            info!(target: "decision", "job={job} occurrence={} choice=completed", at.occurrence);
            self.write.expedite();
        }
        self.place_due = true;
    }

    fn mark_done(&mut self, at: TaskRef) {
        if let Some(placement) = self.task(at).placement().cloned() {
            let id = self.jobs[at.job].task_id(at);
            self.release(at);
            // Members of a gang end together; another run of a single task is no longer needed.
            if !self.jobs[at.job].step_spec(at.step).gang {
                self.stop_orphan(placement.worker, id, placement.run);
            }
        }
        self.jobs[at.job].set_phase(at, Phase::Done);
    }

    /// Counts a failed run of a task, and fails the occurrence and its job after too many. The failed runs of a gang count together,
    /// whichever members failed.
    pub(super) fn fail_task(&mut self, at: TaskRef, run: u64, key: WorkerKey) {
        let max_attempts = self.jobs[at.job].submission.max_attempts;
        let spec = self.jobs[at.job].step_spec(at.step);
        let (long_running, gang) = (spec.long_running, spec.gang);
        let task = self.task_mut(at);
        task.avoid = Some(key);
        if long_running || task.is_done() || task.failed_runs.contains(&run) {
            return;
        }
        task.failed_runs.push(run);
        let failures =
            if gang { self.jobs[at.job].step(at).failed_runs() } else { task.failed_runs.len() };
        self.mark_changed(at);
        if failures >= max_attempts as usize {
            self.fail_occurrence(at, "attempts", failures);
        }
    }

    /// Fails the occurrence of a task and its job, unless it is decided already. `count` is the number of the task's
    /// `cause`, such as failed attempts.
    pub(super) fn fail_occurrence(&mut self, at: TaskRef, cause: &str, count: usize) {
        let occurrence = self.jobs[at.job].occurrence_mut(at);
        if occurrence.outcome != Outcome::Open {
            return;
        }
        occurrence.outcome = Outcome::Failed;
        occurrence.decided_at = self.now.wall;
        let job = self.jobs[at.job].key;
        info!(target: "decision", "job={job} choice=failed {cause}={count}");
        self.mark_changed(at);
        self.write.expedite();
        self.stop_job(at.job);
    }

    /// Marks an occurrence as changed, where an acknowledgement waits for the write.
    pub(super) fn mark_changed(&mut self, at: TaskRef) {
        let occurrence = self.jobs[at.job].occurrence_mut(at);
        occurrence.dirty = true;
        self.write.schedule(at.job, at.occurrence, self.now.mono, true);
    }
}
