//! What is asked of a model of run times, what it predicts, and how well predictions held.

use std::time::Duration;

use cj_types::Resources;

use super::{
    ratios::RatioTable,
    regression::{from_ln, ln_seconds, longest_time},
};

/// Weight of the expected run time beside those of ended tasks of the same step: these say far more.
const STEP_PRIOR_WEIGHT: f32 = 0.2;

/// The quantiles whose calibration is counted.
pub const CALIBRATED_QUANTILES: [f32; 2] = [0.5, 0.9];

/// Ended tasks of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Siblings {
    /// Number of whole runs.
    pub runs: u32,
    /// Sum of the natural logarithms of their run times in seconds, on a worker of average speed.
    pub log_sum: f32,
}

impl Siblings {
    /// Adds a whole run on a worker whose run times are longer by `slowness`, a natural logarithm.
    pub fn add(&mut self, took: Duration, slowness: f32) {
        self.runs += 1;
        self.log_sum += ln_seconds(took) - slowness;
    }

    /// Mean of the natural logarithms of the run times.
    pub fn mean_log(&self) -> Option<f32> {
        (self.runs > 0).then(|| self.log_sum / self.runs as f32)
    }
}

/// What is known of the tasks of a step.
#[derive(Clone, Copy, Debug)]
pub struct StepKind<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Resources of a task.
    pub demand: Resources,
    /// The caller's estimate.
    pub estimate: Duration,
    /// Ended tasks of the step.
    pub siblings: Siblings,
}

/// What was learned that concerns a step, found once for all predictions about it.
#[derive(Clone, Copy, Debug)]
pub struct StepTimes<'a> {
    pub(super) siblings: Siblings,
    /// Expected run time by the estimate and the shape of the step, in natural logarithms of seconds; `None` if nothing is known.
    pub(super) expected: Option<f32>,
    /// The same as a time; 0 if nothing is known.
    pub(super) mean: Duration,
    /// Ratios to the expected run time for steps of which no task has ended.
    pub(super) fresh: &'a RatioTable,
    /// The same for steps of which some tasks have ended.
    pub(super) begun: &'a RatioTable,
}

impl<'a> StepTimes<'a> {
    /// Expected run time by the estimate and the shape of the step; ended tasks of the step aren't considered.
    pub fn expected(&self) -> Duration {
        self.mean
    }

    /// Predicted distribution of the run time of a task of the step.
    pub fn predict(&self) -> Prediction<'a> {
        let Siblings { runs, log_sum } = self.siblings;
        if runs == 0 {
            return Prediction { centre: self.expected, begun: false, table: self.fresh };
        }
        let weight = self.expected.map_or(0.0, |_| STEP_PRIOR_WEIGHT);
        let sum = log_sum + self.expected.unwrap_or(0.0) * weight;
        Prediction { centre: Some(sum / (runs as f32 + weight)), begun: true, table: self.begun }
    }

    /// Ratio of the longest of `count` tasks of the step to the mean: the median of the longest. The tasks share the factor
    /// by which the estimate of their step is wrong, so it is that of steps of which some tasks have ended.
    pub fn longest_ratio(&self, count: u32) -> f32 {
        self.begun.longest(count)
    }
}

/// Predicted distribution of the run time of a task.
#[derive(Clone, Copy, Debug)]
pub struct Prediction<'a> {
    /// Expected run time, in natural logarithms of seconds; `None` if nothing is known.
    pub(super) centre: Option<f32>,
    /// Some task of the step has ended.
    pub(super) begun: bool,
    /// Ratios to the expected run time.
    pub(super) table: &'a RatioTable,
}

impl Prediction<'_> {
    /// The prediction for a worker whose run times are longer by `slowness`, a natural logarithm.
    pub fn on_worker(self, slowness: f32) -> Self {
        Prediction { centre: self.centre.map(|centre| centre + slowness), ..self }
    }

    /// Time that this share of the runs doesn't exceed; 0 if nothing is known.
    pub fn quantile(&self, quantile: f32) -> Duration {
        let ratio = self.table.quantile(quantile);
        self.centre.map_or(Duration::ZERO, |centre| from_ln(centre).mul_f32(ratio))
    }

    /// Mean time until the end of a run that has lasted for `elapsed`, if runs take `mean` on average.
    pub fn remaining(&self, mean: Duration, elapsed: Duration) -> Duration {
        let centre = mean.as_secs_f32() / self.table.mean().max(f32::MIN_POSITIVE);
        if centre <= 0.0 {
            return Duration::ZERO;
        }
        let left = self.table.mean_left(elapsed.as_secs_f32() / centre);
        Duration::try_from_secs_f32(centre * left).unwrap_or(longest_time())
    }

    /// What is kept of the prediction until the run ends.
    pub fn basis(&self, slowness: f32) -> Option<RunBasis> {
        let centre = self.centre?;
        let limits = CALIBRATED_QUANTILES.map(|quantile| self.quantile(quantile));
        Some(RunBasis { centre, begun: self.begun, slowness, limits })
    }
}

/// What was predicted for a run at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunBasis {
    /// Expected run time, in natural logarithms of seconds.
    pub(super) centre: f32,
    /// Some task of the step had ended.
    pub(super) begun: bool,
    /// Slowness of the worker, as a natural logarithm.
    pub slowness: f32,
    /// The predicted [`CALIBRATED_QUANTILES`].
    limits: [Duration; 2],
}

/// How many finished runs ended within and beyond each of the [`CALIBRATED_QUANTILES`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PredictionCounts {
    /// Runs that ended within the quantile.
    pub within: [u64; 2],
    /// Runs that took longer.
    pub beyond: [u64; 2],
}

impl PredictionCounts {
    /// Counts a finished run.
    pub(super) fn count(&mut self, basis: &RunBasis, took: Duration) {
        for (index, limit) in basis.limits.iter().enumerate() {
            let counts = if took <= *limit { &mut self.within } else { &mut self.beyond };
            counts[index] += 1;
        }
    }

    /// Number of runs.
    pub fn runs(&self) -> u64 {
        self.within[0] + self.beyond[0]
    }

    /// Share of the runs that ended within each quantile; `None` without runs.
    pub fn shares(&self) -> Option<[f64; 2]> {
        let total = self.runs();
        (total > 0).then(|| self.within.map(|within| within as f64 / total as f64))
    }

    /// What was counted since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let less = |now: [u64; 2], then: [u64; 2]| {
            [now[0].saturating_sub(then[0]), now[1].saturating_sub(then[1])]
        };
        PredictionCounts {
            within: less(self.within, earlier.within),
            beyond: less(self.beyond, earlier.beyond),
        }
    }

    /// The sum of two counts.
    pub fn plus(self, other: Self) -> Self {
        let sum = |one: [u64; 2], two: [u64; 2]| [one[0] + two[0], one[1] + two[1]];
        PredictionCounts {
            within: sum(self.within, other.within),
            beyond: sum(self.beyond, other.beyond),
        }
    }
}
