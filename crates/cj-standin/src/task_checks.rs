//! Invariants of the scheduler, checked at each event of a simulated worker. A violation panics.

use std::collections::{HashMap, HashSet};

use cj_sched::{
    JobIndex, JobKey, TaskId,
    sched::{EndKind, EndRow, StartCommand, WorkerId},
};

use crate::task_worker::TaskWorker;

/// State of the checks.
#[derive(Debug, Default)]
pub struct TaskChecks {
    /// Completed runs by task: the worker, the start of its incarnation and the sequence number of the end.
    done: HashMap<TaskId, Vec<(WorkerId, u64, u64)>>,
    /// Ends of completed runs whose task was started again; they must never be acknowledged.
    rerun_ends: HashSet<(WorkerId, u64, u64)>,
    /// Tasks with an acknowledged end of a completed run; they must never be started again.
    acknowledged: HashSet<TaskId>,
    /// Run numbers of acknowledged failures, by task.
    failed: HashMap<TaskId, HashSet<u64>>,
    /// Number of runs started.
    pub starts: u64,
}

impl TaskChecks {
    /// Records that a run of a task completed on a worker.
    pub fn record_done(&mut self, task: TaskId, worker: &TaskWorker) {
        let number =
            worker.ended_runs.iter().rev().find(|row| row.task == task).map_or(0, |row| row.number);
        log::info!(target: "sim", "task={task} worker={} done number={number}", worker.id);
        self.done.entry(task).or_default().push((worker.id.clone(), worker.started_at, number));
    }

    /// True when a run of the task completed.
    pub fn is_done(&self, task: &TaskId) -> bool {
        self.done.contains_key(task)
    }

    /// Records acknowledged ends; the scheduler must respect them from now on.
    pub fn acknowledge(&mut self, worker: &TaskWorker, acknowledged: &[EndRow]) {
        for row in acknowledged {
            let expired = row.number <= worker.expired_through;
            match row.kind {
                EndKind::Done if !expired => {
                    let end = (worker.id.clone(), worker.started_at, row.number);
                    assert!(!self.rerun_ends.contains(&end), "{} was done and ran again", row.task);
                    self.acknowledged.insert(row.task);
                }
                EndKind::Failed if !expired => {
                    self.failed.entry(row.task).or_default().insert(row.run);
                }
                _ => {}
            }
        }
    }

    /// Checks a run that a worker is about to start. `late` marks a command that arrived late.
    pub fn check_start(
        &mut self,
        command: &StartCommand,
        worker: &TaskWorker,
        all: &[TaskWorker],
        now: u64,
        late: bool,
    ) {
        self.starts += 1;
        let task = command.task;
        log::info!(target: "sim", "at={now} task={task} run={} worker={} began late={late}", command.run, worker.id);
        let spec = &command.submission.spec;
        let step = &spec.steps[task.step as usize];
        for other in all.iter().filter(|other| other.alive) {
            let runs = other.runs.contains_key(&task);
            assert!(!runs, "{task} runs twice at {now}: on {} and on {}", other.id, worker.id);
        }
        assert!(
            step.long_running || !self.acknowledged.contains(&task),
            "{task} began at {now} on {} after its end was acknowledged",
            worker.id
        );
        for earlier in &step.after {
            for index in 0..spec.steps[*earlier as usize].count {
                let needed = TaskId { step: *earlier, index, ..task };
                assert!(self.is_done(&needed), "{task} started before {needed} was done");
            }
        }
        let failed = self.failed.get(&task).map_or(0, HashSet::len) as u32;
        assert!(
            step.long_running || failed < command.submission.max_attempts,
            "{task} started after {failed} failures"
        );
        assert_eq!(
            command.submission.service, worker.service,
            "{task} on a worker of another service"
        );
        let same = |other: &&TaskId| {
            (other.job, other.occurrence, other.step) == (task.job, task.occurrence, task.step)
        };
        let colocated = worker.runs.keys().filter(same).count() as u32;
        assert!(
            step.spread.is_none_or(|limit| colocated < limit),
            "{task}: too many tasks of its step on {}",
            worker.id
        );
        let used = worker.allocated().plus(step.allocation());
        // The sender can't know the free capacity at the time at which a delayed command is carried out.
        assert!(late || used.fits(worker.capacity), "{task} exceeds {}: {used}", worker.id);
        self.rerun_ends.extend(self.done.get(&task).into_iter().flatten().cloned());
    }

    /// Checks a command that ends everything on a worker: of each long-running step, fewer than `max_unavailable` other
    /// tasks may be unavailable.
    pub fn check_interruption(
        &self,
        worker: &TaskWorker,
        all: &[TaskWorker],
        job_index: &JobIndex,
    ) {
        for task in worker.runs.keys() {
            let Some(entry) = job_index.job(task.job).filter(|entry| entry.cancelled.is_none())
            else {
                continue;
            };
            let spec =
                &entry.submission().expect("listed jobs have one").spec.steps[task.step as usize];
            let Some(allowed) = spec.max_unavailable.filter(|_| spec.long_running) else {
                continue;
            };
            let runs = |index: &u32| {
                let other = TaskId { index: *index, ..*task };
                all.iter().any(|worker| worker.alive && worker.runs.contains_key(&other))
            };
            let unavailable =
                (0..spec.count).filter(|index| *index != task.index && !runs(index)).count();
            assert!(
                (unavailable as u32) < allowed,
                "{task} is interrupted while {unavailable} others are unavailable"
            );
        }
    }

    /// Highest number of acknowledged failures of one task of the job.
    pub fn failures(&self, job: JobKey) -> u32 {
        let of_job = self.failed.iter().filter(|(task, _)| task.job == job);
        of_job.map(|(_, runs)| runs.len() as u32).max().unwrap_or_default()
    }
}
