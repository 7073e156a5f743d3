//! Learns how long the tasks of a queue take, from their estimates and their run times.
//!
//! Answers estimates that are far off, each step of a job by a factor of its own: the run times of a queue lie closer together than
//! its estimates, so an estimate counts only as far as it told the run times of earlier steps. Once a task of a step has
//! ended, its run time says more about the others than any estimate.

use std::time::Duration;

use cj_types::UnixMillis;

use crate::sched::{
    scheduler::Scheduler,
    work::{Job, Phase, Placement, Stage, Step, TaskRef},
};

/// Observations that the first impression of a queue weighs.
const PRIOR: f32 = 8.0;

/// Weight of a new observation once many were made; about the last hundred count.
const GAIN: f32 = 0.01;

/// Shortest time that is told apart, in s.
const LEAST_S: f32 = 0.02;

/// Run times of a queue, as a line in logarithms of seconds through the means of estimates and run times.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimator {
    count: f32,
    /// Mean of the estimates, and of the run times.
    estimate: f32,
    actual: f32,
    /// Variance of the estimates, and their covariance with the run times.
    variance: f32,
    covariance: f32,
}

fn log(time: Duration) -> f32 {
    time.as_secs_f32().max(LEAST_S).ln()
}

impl Estimator {
    /// Learns from a task that was estimated to take `estimate` and took `actual`.
    pub(super) fn observe(&mut self, estimate: Duration, actual: Duration) {
        self.count += 1.0;
        let gain = GAIN.max(1.0 / self.count);
        let (x, y) = (log(estimate), log(actual));
        let (dx, dy) = (x - self.estimate, y - self.actual);
        self.estimate += gain * dx;
        self.actual += gain * dy;
        self.variance += gain * (dx * (x - self.estimate) - self.variance);
        self.covariance += gain * (dx * (y - self.actual) - self.covariance);
    }

    /// How long a task is expected to take.
    pub(super) fn expect(&self, estimate: Duration) -> Duration {
        if self.count < 1.0 {
            return estimate;
        }
        let trust = self.count / (self.count + PRIOR);
        let slope = (self.covariance / self.variance.max(0.01)).clamp(0.0, 1.0);
        let slope = 1.0 + trust * (slope - 1.0);
        let shift = trust * (self.actual - self.estimate);
        let log = self.estimate + shift + slope * (log(estimate) - self.estimate);
        Duration::from_secs_f32(log.clamp(-4.0, 12.0).exp())
    }
}

/// Expected time of the longest of `count` tasks that take `mean` each.
pub(super) fn longest(mean: Duration, count: u32) -> Duration {
    mean.mul_f32(1.0 + SPREAD * (count.max(1) as f32).ln().sqrt())
}

/// Spread of the run times in a step: the longest of `n` tasks takes this times the root of `ln n` more than the mean.
const SPREAD: f32 = 0.35;

/// Time of an occurrence, without any waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Expected time of what is left.
    pub(super) left: Duration,
    /// When the latency objective ends, which the operator gives in multiples of the whole time.
    pub(super) due: UnixMillis,
}

impl Scheduler {
    /// Expected run time of a task of a step.
    pub(super) fn expected(&self, job: &Job, step: u32, known: &Step) -> Duration {
        let estimate = job.step_spec(step).estimate;
        if !self.policies.learn {
            return estimate;
        }
        let estimator = self.estimators.get(&job.submission.queue);
        let guess = estimator.map_or(estimate, |estimator| estimator.expect(estimate));
        (known.total_time + guess) / (known.completed_runs + 1)
    }

    /// Expected time until a run ends, from its progress so far, else from the other tasks of its step.
    pub(super) fn time_left(&self, at: TaskRef, placed: &Placement) -> Duration {
        let job = &self.jobs[at.job];
        let known = &job.occurrences[at.occurrence as usize].steps[at.step as usize];
        self.run_left(placed, || self.expected(job, at.step, known))
    }

    fn run_left<F>(&self, placed: &Placement, expected: F) -> Duration
    where
        F: Fn() -> Duration,
    {
        let now = self.now.mono;
        let open = f32::from(100 - placed.percent.min(100));
        let (from, since) = placed.first_progress.unwrap_or((placed.percent, placed.progress_at));
        let gained = placed.percent.saturating_sub(from);
        let whole = if gained > 0 {
            let took = placed.progress_at.saturating_duration_since(since);
            took.mul_f32(open / f32::from(gained))
        } else {
            expected().mul_f32(open / 100.0)
        };
        whole.saturating_sub(now.saturating_duration_since(placed.progress_at))
    }

    /// Expected time of what is left of a step.
    fn step_left(&self, job: &Job, number: u32, step: &Step) -> Duration {
        let expected = self.expected(job, number, step);
        let mut idle = 0;
        let mut running = Duration::ZERO;
        for task in &step.tasks {
            match &task.phase {
                Phase::Idle => idle += 1,
                Phase::Placed(placed) if placed.stage == Stage::Running => {
                    running = running.max(self.run_left(placed, || expected));
                }
                Phase::Placed(_) => running = running.max(expected),
                Phase::Done => {}
            }
        }
        if idle == 0 { running } else { running.max(longest(expected, idle)) }
    }

    /// Forecast of an occurrence of a job.
    pub(super) fn forecast(&self, job: &Job, occurrence: u32) -> Forecast {
        let steps = &job.occurrences[occurrence as usize].steps;
        let spec = &job.submission.spec;
        let left = spec.critical_path_by(|n, _| self.step_left(job, n as u32, &steps[n]));
        let whole = spec.critical_path_by(|n, step| {
            longest(self.expected(job, n as u32, &steps[n]), step.count)
        });
        let queue = self.config.queue(&job.submission.queue);
        let objective = queue.map_or(job.submission.objective, |queue| {
            whole.mul_f32(queue.stretch.max(1.0)) + queue.target
        });
        Forecast { left, due: job.latency_start(occurrence) + objective }
    }
}
