//! How long the runs on a worker are expected to keep its VM busy.
//!
//! When demand falls, a pool can only give up idle VMs, and the last tasks of a peak are spread over many of them. So a task
//! goes to a worker that is busy for as long anyway, if one has room: VMs with long-running tasks first, which stay in their
//! pool, and then those whose other tasks end later. The others become idle together.

use std::time::{Duration, Instant};

use crate::sched::{
    scheduler::Scheduler,
    work::TaskRef,
    worker::{Worker, WorkerKey},
};

/// Expected times that differ by less than this count as equal, so that tasks still go to few workers.
const BAND: Duration = Duration::from_millis(250);

/// Expected time that a long-running task keeps its worker busy.
const LONG_RUNNING_TIME: Duration = Duration::from_secs(24 * 60 * 60);

impl Worker {
    /// How much longer the worker is busy with one more task that runs for `expected`, in bands.
    pub(super) fn busy_time_added(&self, expected: Duration, now: Instant) -> u32 {
        let busy =
            self.busy_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let added = expected.saturating_sub(busy);
        added.as_millis().div_ceil(BAND.as_millis()) as u32
    }
}

impl Scheduler {
    /// Extends the busy time of a worker by a task that is about to start there.
    pub(super) fn extend_busy_time(&mut self, key: WorkerKey, at: TaskRef) {
        let end = self.now.mono + self.expected_busy_time(at);
        let worker = &mut self.workers[key];
        worker.busy_until = worker.busy_until.max(Some(end));
    }

    /// Expected time for which a task that starts now keeps its worker busy.
    pub(super) fn expected_busy_time(&self, at: TaskRef) -> Duration {
        let job = &self.jobs[at.job];
        if job.step_spec(at.step).long_running {
            return LONG_RUNNING_TIME;
        }
        self.expected_run_time(job, at.step, job.step(at))
    }

    /// Estimates anew until when each worker is busy, from the progress of its runs.
    pub(super) fn update_busy_times(&mut self) {
        let now = self.now.mono;
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let remaining =
                self.workers[key].runs.iter().map(|&at| self.remaining_busy_time(at)).max();
            self.workers[key].busy_until = remaining.map(|remaining| now + remaining);
        }
    }

    /// Expected time for which a run still keeps its worker busy; 0 for a task without a placement.
    fn remaining_busy_time(&self, at: TaskRef) -> Duration {
        if self.jobs[at.job].step_spec(at.step).long_running {
            return LONG_RUNNING_TIME;
        }
        let placed = self.task(at).placement();
        placed.map_or(Duration::ZERO, |placed| self.remaining_run_time(at, placed))
    }
}
