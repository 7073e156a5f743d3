//! Makes room for long-running tasks: reserves workers for them and preempts finite tasks there.

use std::{cmp::Reverse, time::Duration};

use cj_types::Resources;
use log::info;

use crate::{
    job::StepSpec,
    sched::{
        scheduler::Scheduler,
        settings::PREEMPTION_DELAY,
        work::{Stage, TaskRef},
        worker::{Worker, WorkerKey},
    },
};

/// How long a worker is reserved for long-running tasks.
const RESERVATION_TIME: Duration = Duration::from_millis(1_500);

impl Scheduler {
    /// Reserves the worker where the least has to be freed for a long-running task. Once the task has waited long enough,
    /// preempts finite tasks of the same or a lower priority there.
    pub(super) fn make_room(&mut self, at: TaskRef) {
        let now = self.now.mono;
        let waited = now.saturating_duration_since(self.task(at).idle_since);
        let Some((key, missing)) = self.cheapest_to_free(at) else { return };
        self.workers[key].reserved_until = Some(now + RESERVATION_TIME);
        let is_stopping = |run: &TaskRef| {
            self.task(*run).placement().is_some_and(|placed| placed.stage == Stage::Stopping)
        };
        if !self.policies.preempt
            || waited < PREEMPTION_DELAY
            || self.workers[key].runs.iter().any(is_stopping)
        {
            return;
        }
        self.preempt(at, key, missing);
    }

    /// The eligible worker where the least has to be freed, and what is missing there. Long-running tasks aren't preempted,
    /// so only what finite tasks use can be freed.
    fn cheapest_to_free(&self, at: TaskRef) -> Option<(WorkerKey, Resources)> {
        let view = self.step_view(at);
        let demand = view.spec.allocation();
        let eligible =
            self.workers.iter().filter(|(key, worker)| self.is_eligible(&view, *key, worker));
        let missing = eligible.map(|(key, worker)| (key, demand.minus(worker.free())));
        let can_free = |(key, missing): &(WorkerKey, Resources)| {
            missing.fits(self.finite_usage(&self.workers[*key]))
        };
        missing.filter(can_free).min_by_key(|(_, missing)| (missing.cores, missing.memory))
    }

    /// Resources used by the finite tasks of a worker.
    fn finite_usage(&self, worker: &Worker) -> Resources {
        let specs = worker.runs.iter().map(|at| self.jobs[at.job].step_spec(at.step));
        let finite = specs.filter(|spec| !spec.long_running).map(StepSpec::allocation);
        finite.fold(Resources::default(), Resources::plus)
    }

    /// Stops finite tasks of a worker for a long-running one: those with checkpoints first, then the most recent ones.
    fn preempt(&mut self, preemptor: TaskRef, key: WorkerKey, missing: Resources) {
        let priority = self.jobs[preemptor.job].submission.priority;
        let mut runs: Vec<(bool, Reverse<std::time::Instant>, TaskRef)> = Vec::new();
        for &at in &self.workers[key].runs {
            let job = &self.jobs[at.job];
            let spec = job.step_spec(at.step);
            let Some(placed) = self.task(at).placement() else { continue };
            if !spec.long_running && !spec.gang && job.submission.priority >= priority {
                runs.push((!spec.checkpoints, Reverse(placed.started_at), at));
            }
        }
        if runs.is_empty() {
            return;
        }
        let id = self.jobs[preemptor.job].task_id(preemptor);
        info!(target: "decision", "task={id} worker={} choice=preempt missing=\"{missing}\"", self.workers[key].id);
        runs.sort_by_key(|run| (run.0, run.1));
        let mut freed = Resources::default();
        for (_, _, at) in runs {
            if missing.fits(freed) {
                break;
            }
            freed = freed.plus(self.jobs[at.job].step_spec(at.step).allocation());
            self.stop_run(at);
        }
    }
}
