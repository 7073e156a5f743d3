//! Estimates how long tasks, steps and jobs take, from the learned run times of their queues.
//!
//! Once a task of a step has ended, its run time says more about the others than any estimate.

use std::{cell::OnceCell, time::Duration};

use cj_types::UnixMillis;

use crate::{
    run_times::Prediction,
    sched::{
        learn::step_kind,
        scheduler::Scheduler,
        step::Step,
        work::{Job, Placement, Stage, TaskRef},
    },
};

/// The estimate of an occurrence with at most this many steps is made anew each time.
const MAX_FRESH_STEPS: usize = 32;

/// How long the estimate of a larger occurrence is kept, for each of its steps: making it takes about a hundredth of this.
const ESTIMATE_LIFETIME_PER_STEP: Duration = Duration::from_micros(50);

/// Estimated times of an occurrence, without any waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimeEstimate {
    /// Expected time of the remaining work.
    pub(super) remaining: Duration,
    /// End of the latency objective, which the operator sets as a multiple of the whole expected time.
    pub(super) deadline: UnixMillis,
}

impl Scheduler {
    /// Expected run time of a task of a step.
    pub(super) fn expected_run_time(&self, job: &Job, step: u32, state: &Step) -> Duration {
        let kind = step_kind(job, step, state);
        if !self.policies.learn {
            return kind.estimate;
        }
        (state.total_time + self.learning.model.expected(&kind)) / (state.ended.runs + 1)
    }

    /// Time that this share of the runs of tasks of a step doesn't exceed.
    pub(super) fn run_time_quantile(
        &self,
        job: &Job,
        step: u32,
        state: &Step,
        quantile: f32,
    ) -> Duration {
        self.predict(job, step, state).quantile(quantile)
    }

    /// Expected run time of the longest of `count` tasks of a step that take `mean` on average.
    fn longest_of(
        &self,
        job: &Job,
        step: u32,
        state: &Step,
        mean: Duration,
        count: u32,
    ) -> Duration {
        let model = &self.learning.model;
        let ratio = match self.policies.learn {
            true => model.longest_ratio(&step_kind(job, step, state), count),
            false => model.unlearned_longest_ratio(count),
        };
        mean.mul_f32(ratio)
    }

    /// Expected time until a run ends: from its progress so far, or else from the run times of its step and the time that it has
    /// taken.
    pub(super) fn remaining_run_time(&self, at: TaskRef, placed: &Placement) -> Duration {
        let job = &self.jobs[at.job];
        let state = job.step(at);
        let prediction = || self.predict(job, at.step, state);
        self.remaining_of_run(placed, || self.expected_run_time(job, at.step, state), prediction)
    }

    fn remaining_of_run<'a, F, G>(&self, placed: &Placement, expected: F, prediction: G) -> Duration
    where
        F: Fn() -> Duration,
        G: Fn() -> Prediction<'a>,
    {
        let elapsed = self.now.mono.saturating_duration_since(placed.progress_at);
        let open_percent = f32::from(100 - placed.percent.min(100));
        let (from, since) = placed.first_progress.unwrap_or((placed.percent, placed.progress_at));
        let gained = placed.percent.saturating_sub(from);
        if gained > 0 {
            let took = placed.progress_at.saturating_duration_since(since);
            return took.mul_f32(open_percent / f32::from(gained)).saturating_sub(elapsed);
        }
        let open = expected().mul_f32(open_percent / 100.0);
        if !self.policies.learn {
            return open.saturating_sub(elapsed);
        }
        let slowness = self.relative_slowness(placed.worker).exp();
        prediction().remaining(open.mul_f32(slowness), elapsed)
    }

    /// Expected time of the remaining work of a step.
    fn remaining_of_step(&self, job: &Job, number: u32, step: &Step) -> Duration {
        let expected = self.expected_run_time(job, number, step);
        let prediction = OnceCell::new();
        let mut running = Duration::ZERO;
        for placed in step.placed_tasks().filter_map(|task| task.placement()) {
            let predict = || *prediction.get_or_init(|| self.predict(job, number, step));
            let remaining = match placed.stage {
                Stage::Running => self.remaining_of_run(placed, || expected, predict),
                _ => expected,
            };
            running = running.max(remaining);
        }
        let idle = step.idle.len() as u32;
        match idle {
            0 => running,
            _ => running.max(self.longest_of(job, number, step, expected, idle)),
        }
    }

    /// Estimates the remaining time and the deadline of an occurrence of a job. The estimate of a large occurrence is kept
    /// for a while.
    pub(super) fn estimate_occurrence(&self, job: &Job, occurrence: u32) -> TimeEstimate {
        let state = &job.occurrences[occurrence as usize];
        let now = self.now.mono;
        let lifetime = ESTIMATE_LIFETIME_PER_STEP * state.steps.len() as u32;
        if let Some((made, estimate)) = state.estimate.get()
            && now.saturating_duration_since(made) < lifetime
        {
            return estimate;
        }
        let estimate = self.make_estimate(job, occurrence);
        let keeps = state.steps.len() > MAX_FRESH_STEPS;
        state.estimate.set(keeps.then_some((now, estimate)));
        estimate
    }

    fn make_estimate(&self, job: &Job, occurrence: u32) -> TimeEstimate {
        let steps = &job.occurrences[occurrence as usize].steps;
        let spec = &job.submission.spec;
        self.count_examined(spec.steps.len());
        let remaining =
            spec.critical_path_by(|n, _| self.remaining_of_step(job, n as u32, &steps[n]));
        let whole = spec.critical_path_by(|n, step| {
            let mean = self.expected_run_time(job, n as u32, &steps[n]);
            self.longest_of(job, n as u32, &steps[n], mean, step.count)
        });
        let queue = self.config.queue(&job.submission.queue);
        let objective = queue.map_or(job.submission.objective, |queue| {
            whole.mul_f32(queue.stretch.max(1.0)) + queue.target
        });
        TimeEstimate { remaining, deadline: job.latency_start(occurrence) + objective }
    }
}
