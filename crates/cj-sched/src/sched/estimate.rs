//! Estimates how long tasks, steps and jobs take, from the learned run times of their queues.
//!
//! Once a task of a step has ended, its run time says more about the others than any estimate.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::{
    run_times::{Prediction, StepTimes},
    sched::{
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
        self.mean_run_time(&self.step_times(job, step, state), state)
    }

    /// Mean run time of the tasks of a step: that of the ended ones, with the expected time as one more.
    fn mean_run_time(&self, times: &StepTimes<'_>, state: &Step) -> Duration {
        if !self.policies.learn {
            return times.expected();
        }
        (state.total_time + times.expected()) / (state.ended.runs + 1)
    }

    /// Expected run time of the longest of `count` tasks of a step.
    pub(super) fn longest_run_time(
        &self,
        job: &Job,
        step: u32,
        state: &Step,
        count: u32,
    ) -> Duration {
        let times = self.step_times(job, step, state);
        self.mean_run_time(&times, state).mul_f32(times.longest_ratio(count))
    }

    /// Time that this share of the runs of tasks of a step doesn't exceed.
    pub(super) fn run_time_quantile(
        &self,
        job: &Job,
        step: u32,
        state: &Step,
        quantile: f32,
    ) -> Duration {
        self.step_times(job, step, state).predict().quantile(quantile)
    }

    /// Expected time until a run ends: from its progress so far, or else from the run times of its step and the time that it has
    /// taken.
    pub(super) fn remaining_run_time(&self, at: TaskRef, placed: &Placement) -> Duration {
        let job = &self.jobs[at.job];
        let state = job.step(at);
        let times = self.step_times(job, at.step, state);
        self.remaining_of_run(placed, self.mean_run_time(&times, state), times.predict())
    }

    /// As [`Self::remaining_run_time`], for a step whose tasks take `mean`, with the `prediction` for one of them.
    fn remaining_of_run(
        &self,
        placed: &Placement,
        mean: Duration,
        prediction: Prediction<'_>,
    ) -> Duration {
        let elapsed = self.now.mono.saturating_duration_since(placed.progress_at);
        let open_percent = f32::from(100 - placed.percent.min(100));
        let (from, since) = placed.first_progress.unwrap_or((placed.percent, placed.progress_at));
        let gained = placed.percent.saturating_sub(from);
        if gained > 0 {
            let took = placed.progress_at.saturating_duration_since(since);
            return took.mul_f32(open_percent / f32::from(gained)).saturating_sub(elapsed);
        }
        let open = mean.mul_f32(open_percent / 100.0);
        if !self.policies.learn {
            return open.saturating_sub(elapsed);
        }
        let slowness = self.relative_slowness(placed.worker).exp();
        prediction.remaining(open.mul_f32(slowness), elapsed)
    }

    /// Expected time of the remaining work of a step, and of all of its work.
    fn times_of_step(&self, job: &Job, number: u32, step: &Step) -> [Duration; 2] {
        let times = self.step_times(job, number, step);
        let mean = self.mean_run_time(&times, step);
        let prediction = times.predict();
        let mut running = Duration::ZERO;
        for placed in step.placed_tasks().filter_map(|task| task.placement()) {
            let remaining = match placed.stage {
                Stage::Running => self.remaining_of_run(placed, mean, prediction),
                _ => mean,
            };
            running = running.max(remaining);
        }
        let (idle, count) = (step.idle.len() as u32, job.step_spec(number).count);
        let whole = mean.mul_f32(times.longest_ratio(count));
        let waiting = match idle {
            0 => Duration::ZERO,
            _ if idle == count => whole,
            _ => mean.mul_f32(times.longest_ratio(idle)),
        };
        [running.max(waiting), whole]
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

    /// Expected time from the submission of a job to its end, without any waiting.
    pub(super) fn expected_stay(&self, job: &Job) -> Duration {
        let Some(occurrence) = job.occurrences.first() else { return Duration::ZERO };
        job.submission
            .spec
            .critical_path_by(|n, _| self.expected_run_time(job, n as u32, &occurrence.steps[n]))
    }

    fn make_estimate(&self, job: &Job, occurrence: u32) -> TimeEstimate {
        let steps = &job.occurrences[occurrence as usize].steps;
        let spec = &job.submission.spec;
        self.count_examined(spec.steps.len());
        let [remaining, whole] =
            spec.critical_paths_by(|n, _| self.times_of_step(job, n as u32, &steps[n]));
        let queue = self.config.queue(&job.submission.queue);
        let objective = queue.map_or(job.submission.objective, |queue| queue.objective_of(whole));
        TimeEstimate { remaining, deadline: job.latency_start(occurrence) + objective }
    }
}
