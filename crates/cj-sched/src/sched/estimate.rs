//! Learns how long the tasks of a queue take, from their estimates and their run times.
//!
//! Estimates are far off, each step of a job by a factor of its own, and the run times of a queue lie closer together than
//! its estimates. So an estimate counts only as far as estimates predicted the run times of earlier steps. Once a task of a
//! step has ended, its run time says more about the others than any estimate.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::sched::{
    scheduler::Scheduler,
    step::Step,
    work::{Job, Placement, Stage, TaskRef},
};

/// Weight of the bare estimates, as a number of observations: after this many, the learned values count as much.
const PRIOR_WEIGHT: f32 = 8.0;

/// Weight of a new observation once many were made: about the last hundred count.
const MIN_GAIN: f32 = 0.01;

/// Shorter times count as this many seconds.
const MIN_SECONDS: f32 = 0.02;

/// Linear regression of the run times of a queue on their estimates, in natural logarithms of seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTimeEstimator {
    count: f32,
    /// Means of the estimates and of the run times.
    mean_estimate: f32,
    mean_actual: f32,
    /// Variance of the estimates, and their covariance with the run times.
    variance: f32,
    covariance: f32,
}

fn ln_seconds(time: Duration) -> f32 {
    time.as_secs_f32().max(MIN_SECONDS).ln()
}

impl RunTimeEstimator {
    /// Learns from a task that was estimated to take `estimate` and took `actual`.
    pub(super) fn observe(&mut self, estimate: Duration, actual: Duration) {
        self.count += 1.0;
        let gain = MIN_GAIN.max(1.0 / self.count);
        let (x, y) = (ln_seconds(estimate), ln_seconds(actual));
        let (dx, dy) = (x - self.mean_estimate, y - self.mean_actual);
        self.mean_estimate += gain * dx;
        self.mean_actual += gain * dy;
        self.variance += gain * (dx * (x - self.mean_estimate) - self.variance);
        self.covariance += gain * (dx * (y - self.mean_actual) - self.covariance);
    }

    /// Expected run time of a task with this estimate.
    pub(super) fn predict(&self, estimate: Duration) -> Duration {
        if self.count < 1.0 {
            return estimate;
        }
        let trust = self.count / (self.count + PRIOR_WEIGHT);
        let slope = (self.covariance / self.variance.max(0.01)).clamp(0.0, 1.0);
        let slope = 1.0 + trust * (slope - 1.0);
        let shift = trust * (self.mean_actual - self.mean_estimate);
        let log = self.mean_estimate + shift + slope * (ln_seconds(estimate) - self.mean_estimate);
        Duration::from_secs_f32(log.clamp(-4.0, 12.0).exp())
    }
}

/// Expected run time of the longest of `count` tasks that take `mean` on average.
pub(super) fn longest_of(mean: Duration, count: u32) -> Duration {
    mean.mul_f32(1.0 + SPREAD * (count.max(1) as f32).ln().sqrt())
}

/// Spread of the run times in a step: the longest of `n` tasks takes `1 + SPREAD * sqrt(ln n)` times the mean.
const SPREAD: f32 = 0.35;

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
        let estimate = job.step_spec(step).estimate;
        if !self.policies.learn {
            return estimate;
        }
        let estimator = self.estimators.get(&job.submission.queue);
        let predicted = estimator.map_or(estimate, |estimator| estimator.predict(estimate));
        (state.total_time + predicted) / (state.completed_runs + 1)
    }

    /// Expected time until a run ends, from its progress so far, or else from the expected run time of its step.
    pub(super) fn remaining_run_time(&self, at: TaskRef, placed: &Placement) -> Duration {
        let job = &self.jobs[at.job];
        let state = job.step(at);
        self.remaining_of_run(placed, || self.expected_run_time(job, at.step, state))
    }

    fn remaining_of_run<F>(&self, placed: &Placement, expected: F) -> Duration
    where
        F: Fn() -> Duration,
    {
        let now = self.now.mono;
        let open_percent = f32::from(100 - placed.percent.min(100));
        let (from, since) = placed.first_progress.unwrap_or((placed.percent, placed.progress_at));
        let gained = placed.percent.saturating_sub(from);
        let whole = if gained > 0 {
            let took = placed.progress_at.saturating_duration_since(since);
            took.mul_f32(open_percent / f32::from(gained))
        } else {
            expected().mul_f32(open_percent / 100.0)
        };
        whole.saturating_sub(now.saturating_duration_since(placed.progress_at))
    }

    /// Expected time of the remaining work of a step.
    fn remaining_of_step(&self, job: &Job, number: u32, step: &Step) -> Duration {
        let expected = self.expected_run_time(job, number, step);
        let mut running = Duration::ZERO;
        for placed in step.placed_tasks().filter_map(|task| task.placement()) {
            let remaining = match placed.stage {
                Stage::Running => self.remaining_of_run(placed, || expected),
                _ => expected,
            };
            running = running.max(remaining);
        }
        let idle = step.idle.len() as u32;
        if idle == 0 { running } else { running.max(longest_of(expected, idle)) }
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
        let remaining =
            spec.critical_path_by(|n, _| self.remaining_of_step(job, n as u32, &steps[n]));
        let whole = spec.critical_path_by(|n, step| {
            longest_of(self.expected_run_time(job, n as u32, &steps[n]), step.count)
        });
        let queue = self.config.queue(&job.submission.queue);
        let objective = queue.map_or(job.submission.objective, |queue| {
            whole.mul_f32(queue.stretch.max(1.0)) + queue.target
        });
        TimeEstimate { remaining, deadline: job.latency_start(occurrence) + objective }
    }
}
