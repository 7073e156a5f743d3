//! Jobs that have ended, as long as runs of them that earlier owners started may still be listed.

use std::rc::Rc;

use crate::{
    job::{JobKey, TaskId},
    job_index::JobEntry,
    record::Submission,
    sched::{
        ledger::Charge, ownership::OWNERSHIP_LEASE, scheduler::Scheduler, settings::MAX_READ_LAG,
        work::Job,
    },
};

impl Scheduler {
    /// True while this owner may not have read all submissions that an earlier owner read.
    pub(super) fn is_catching_up(&self) -> bool {
        self.now.mono < self.ownership_horizon + MAX_READ_LAG
    }

    /// True while an earlier owner may have read records of callers, such as a cancellation, that this owner hasn't read.
    pub(super) fn may_lack_records(&self) -> bool {
        !self.submissions_read && self.is_catching_up()
    }

    /// Records that a job has ended, as long as runs of it that an earlier owner started may still be listed.
    pub(super) fn mark_ended(&mut self, key: JobKey, submission: Option<Rc<Submission>>) {
        if self.is_catching_up() {
            self.ended_jobs.entry(key).or_insert(submission);
        }
    }

    /// Records a job that ended before this ownership. If that was a moment ago, its runs may go on under their leases, on workers
    /// that the stops haven't reached.
    pub(super) fn add_ended_job(&mut self, key: JobKey, entry: &JobEntry) {
        self.ended_jobs.insert(key, entry.submission().cloned());
        let leases = OWNERSHIP_LEASE.max(self.limits.longest_lease());
        let recent = entry.ended_at().is_some_and(|at| at + leases > self.now.wall);
        let (true, Some(submission)) = (recent, entry.submission()) else { return };
        let progress = |number| entry.progress(number);
        let mut job = Job::new(key, submission.clone(), false, self.now.mono, progress);
        job.account = self.account_of(submission);
        self.add_unsettled(&job);
    }

    /// What a run of a task of an ended job is charged to.
    pub(super) fn charge_of_ended(&mut self, task: &TaskId) -> Option<Charge> {
        let submission = self.ended_jobs.get(&task.job)?.clone()?;
        let demand = submission.spec.steps.get(task.step as usize)?.demand;
        let account = self.account_of(&submission)?;
        Some(Charge { account, demand })
    }
}
