//! Expected run time as a function of the estimate.
//!
//! Estimates are far off, each step of a job by a factor of its own, and the run times of a queue lie closer together than
//! its estimates. So an estimate counts only as far as estimates predicted the run times of earlier steps.

use std::time::Duration;

use super::state::RegressionState;

/// Weight of the prior, as a number of observations: after this many, the learned values count as much.
const PRIOR_WEIGHT: f32 = 8.0;

/// Weight of a new observation once many were made: about the last hundred count.
const MIN_GAIN: f32 = 0.01;

/// Most observations that a restored state counts as, so that a hundred new ones outweigh it.
const MAX_RESTORED_COUNT: f32 = 50.0;

/// Shorter times count as this many seconds.
const MIN_SECONDS: f32 = 0.02;

/// Range of run times, in natural logarithms of seconds: 18 ms to 45 hours.
const LOG_RANGE: (f32, f32) = (-4.0, 12.0);

/// The longest run time in whole seconds.
const LONGEST_SECONDS: u64 = 162_754;

/// An estimate counts as at most this many standard deviations from the mean, and [`MIN_DEVIATION`] more, so that single absurd
/// estimates spoil neither their own predictions nor those of others.
const MAX_DEVIATIONS: f32 = 3.0;

/// Deviation from the mean estimate, in natural logarithms, that is always allowed.
const MIN_DEVIATION: f32 = 1.0;

/// Further deviation that is allowed after one observation, less after more: the mean isn't known well yet.
const EARLY_DEVIATION: f32 = 8.0;

/// Least variance of the estimates that a slope is derived from.
const MIN_VARIANCE: f32 = 0.01;

/// Greatest variance of a restored state: the square of the range of run times.
const MAX_VARIANCE: f32 = 256.0;

/// A time in natural logarithms of seconds, within the range of run times.
pub(crate) fn ln_seconds(time: Duration) -> f32 {
    time.as_secs_f32().max(MIN_SECONDS).ln().min(LOG_RANGE.1)
}

/// Inverse of [`ln_seconds`].
pub(super) fn from_ln(log: f32) -> Duration {
    Duration::from_secs_f32(log.clamp(LOG_RANGE.0, LOG_RANGE.1).exp())
}

/// Longest run time that is predicted.
pub(super) fn longest_time() -> Duration {
    Duration::from_secs(LONGEST_SECONDS)
}

/// Linear regression of the run times on the estimates, in natural logarithms of seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Regression(RegressionState);

impl Regression {
    /// Restores a recorded regression. One with values out of range counts as unknown.
    pub(super) fn restore(state: &RegressionState) -> Self {
        let RegressionState { count, mean_estimate, mean_actual, variance, covariance } = *state;
        let times = LOG_RANGE.0..=LOG_RANGE.1;
        let valid = (0.0..f32::INFINITY).contains(&count)
            && times.contains(&mean_estimate)
            && times.contains(&mean_actual)
            && (0.0..=MAX_VARIANCE).contains(&variance)
            && (-MAX_VARIANCE..=MAX_VARIANCE).contains(&covariance);
        if !valid {
            return Regression::default();
        }
        Regression(RegressionState { count: count.min(MAX_RESTORED_COUNT), ..*state })
    }

    pub(super) fn state(&self) -> RegressionState {
        self.0
    }

    /// Deviation of an estimate from the mean. One of 0 says nothing.
    fn deviation(&self, estimate: Duration) -> f32 {
        if estimate.is_zero() || self.0.count <= 0.0 {
            return 0.0;
        }
        let limit = MAX_DEVIATIONS * self.0.variance.max(0.0).sqrt()
            + MIN_DEVIATION
            + EARLY_DEVIATION / self.0.count.max(1.0);
        (ln_seconds(estimate) - self.0.mean_estimate).clamp(-limit, limit)
    }

    /// Learns from a task that was estimated to take `estimate` and took `actual`, in natural logarithms of seconds. A `weight`
    /// below 1 is for a run time that is only partly known.
    pub(super) fn observe(&mut self, estimate: Duration, actual: f32, weight: f32) {
        let dx = self.deviation(estimate);
        let state = &mut self.0;
        if state.count <= 0.0 {
            let mean = if estimate.is_zero() { actual } else { ln_seconds(estimate) };
            *state = RegressionState {
                count: weight,
                mean_estimate: mean,
                mean_actual: actual,
                ..RegressionState::default()
            };
            return;
        }
        state.count += weight;
        let gain = MIN_GAIN.max(1.0 / state.count).min(1.0) * weight;
        let dy = actual - state.mean_actual;
        state.mean_estimate += gain * dx;
        state.mean_actual += gain * dy;
        let rest = (1.0 - gain) * dx;
        state.variance += gain * (dx * rest - state.variance);
        state.covariance += gain * (rest * dy - state.covariance);
    }

    /// Expected run time of a task with this estimate, in natural logarithms of seconds, if `prior` is expected without what was
    /// learned. `prior` is `None` if nothing is expected.
    pub(super) fn predict(&self, estimate: Duration, prior: Option<f32>) -> Option<f32> {
        let RegressionState { count, mean_actual, variance, covariance, .. } = self.0;
        if count <= 0.0 {
            return prior;
        }
        let slope = (covariance / variance.max(MIN_VARIANCE)).clamp(0.0, 1.0);
        let learned = mean_actual + slope * self.deviation(estimate);
        let trust = count / (count + PRIOR_WEIGHT);
        let log = prior.map_or(learned, |prior| prior + trust * (learned - prior));
        Some(log.clamp(LOG_RANGE.0, LOG_RANGE.1))
    }
}

/// What an estimate alone tells of the run time, in natural logarithms of seconds: nothing, if it is 0.
pub(super) fn bare_estimate(estimate: Duration) -> Option<f32> {
    (!estimate.is_zero()).then(|| ln_seconds(estimate))
}
