//! Histogram of the ratios of actual to expected run times, and a table from which quantiles are read.
//!
//! The bins have equal widths in the inverse hyperbolic sine of the logarithm of the ratio: they are fine around 1, where the
//! ratios lie once other tasks of the step have ended, and proportional to the logarithm further out.

use std::{cell::OnceCell, sync::LazyLock};

use super::state::{BINS, RatioState};

/// Logarithm of the greatest ratio; greater ones count as this. It is a factor of 55.
const MAX_LOG: f32 = 4.0;

/// Logarithm of the ratio below which the bins have about equal widths.
const FINE_LOG: f32 = 0.15;

/// Most observations that a histogram counts. Tasks of a step share its factor, so these are a few dozen steps.
const MAX_WEIGHT: f32 = 200.0;

/// Most observations that a restored histogram counts as, so that about a hundred new ones outweigh it.
const MAX_RESTORED_WEIGHT: f32 = 100.0;

/// Weight of the distribution that is assumed without observations, as a number of these.
const PRIOR_WEIGHT: f32 = 6.0;

/// A run that has taken longer than nearly all others is expected to need this share of its time so far.
const OVERDUE_SHARE: f32 = 0.25;

/// Share of runs at least as long below which a run counts as longer than nearly all others.
const OVERDUE_BELOW: f32 = 0.002;

/// Numbers of tasks, as powers of two from 1, for which the ratio of the longest is kept; a job has at most 100,000 tasks.
const LONGEST_COUNTS: usize = 18;

/// Ratios at the edges of the bins.
static EDGES: LazyLock<[f32; BINS + 1]> =
    LazyLock::new(|| std::array::from_fn(|edge| log_at(edge as f32).exp()));

/// Half of the range that the bins cover, in inverse hyperbolic sines.
fn half_range() -> f32 {
    static HALF_RANGE: LazyLock<f32> = LazyLock::new(|| (MAX_LOG / FINE_LOG).asinh());
    *HALF_RANGE
}

/// Logarithm of the ratio at a position, in bins.
fn log_at(position: f32) -> f32 {
    let share = position * 2.0 / BINS as f32 - 1.0;
    FINE_LOG * (share * half_range()).sinh()
}

/// Bin of the logarithm of a ratio, and the share of the bin below it.
fn position(log: f32) -> (usize, f32) {
    let share = (log / FINE_LOG).asinh() / half_range();
    let position = ((share + 1.0) / 2.0 * BINS as f32).clamp(0.0, BINS as f32);
    let bin = (position as usize).min(BINS - 1);
    (bin, position - bin as f32)
}

/// Distribution of ratios, from which quantiles and means are read without going over the bins.
#[derive(Clone, Debug)]
pub(super) struct RatioTable {
    /// By edge, the share of ratios beyond it.
    beyond: [f32; BINS + 1],
    /// By edge, the sum of the ratios beyond it, times their shares.
    sum_beyond: [f32; BINS + 1],
    /// By power of two, the median of the longest of so many; every step that waits asks for it in each pass.
    longest: OnceCell<[f32; LONGEST_COUNTS]>,
}

impl RatioTable {
    /// The table of these shares of the bins, which needn't add up to 1.
    fn new(shares: &[f32; BINS]) -> Self {
        let total: f32 = shares.iter().sum();
        let (mut beyond, mut sum_beyond) = ([0.0; BINS + 1], [0.0; BINS + 1]);
        for bin in (0..BINS).rev() {
            let share = shares[bin] / total.max(f32::MIN_POSITIVE);
            beyond[bin] = beyond[bin + 1] + share;
            sum_beyond[bin] = sum_beyond[bin + 1] + share * (EDGES[bin] + EDGES[bin + 1]) / 2.0;
        }
        RatioTable { beyond, sum_beyond, longest: OnceCell::new() }
    }

    /// Log-normal distribution around 1 with this standard deviation of the logarithm.
    pub(super) fn log_normal(deviation: f32) -> Self {
        let share = |bin: usize| {
            let (low, high) = (log_at(bin as f32), log_at(bin as f32 + 1.0));
            let z = (low + high) / 2.0 / deviation;
            (high - low) * (-z * z / 2.0).exp()
        };
        RatioTable::new(&std::array::from_fn(share))
    }

    /// Share of the ratios in a bin.
    fn share(&self, bin: usize) -> f32 {
        self.beyond[bin] - self.beyond[bin + 1]
    }

    /// The ratio that this share of the runs doesn't exceed.
    pub(super) fn quantile(&self, quantile: f32) -> f32 {
        let quantile = if quantile.is_nan() { 1.0 } else { quantile.clamp(0.0, 1.0) };
        let left = 1.0 - quantile;
        let bin = self.beyond.partition_point(|beyond| *beyond > left).clamp(1, BINS) - 1;
        let share = self.share(bin).max(f32::MIN_POSITIVE);
        let part = ((self.beyond[bin] - left) / share).clamp(0.0, 1.0);
        log_at(bin as f32 + part).exp()
    }

    /// Median of the greatest of `count` ratios, at least 1; interpolated between powers of two.
    pub(super) fn longest(&self, count: u32) -> f32 {
        let of_power = |power: usize| self.quantile(0.5_f32.powf(0.5_f32.powi(power as i32)));
        let longest = self.longest.get_or_init(|| std::array::from_fn(of_power));
        let count = count.max(1);
        let power = (count.ilog2() as usize).min(LONGEST_COUNTS - 1);
        let next = (power + 1).min(LONGEST_COUNTS - 1);
        let base = (1_u32 << power) as f32;
        let part = (count as f32 / base - 1.0).min(1.0);
        (longest[power] + part * (longest[next] - longest[power])).max(1.0)
    }

    /// Share of the runs whose ratio has at most this logarithm.
    pub(super) fn share_within(&self, log: f32) -> f32 {
        let (bin, part) = position(log);
        1.0 - self.beyond[bin] + part * self.share(bin)
    }

    /// Mean of the ratios.
    pub(super) fn mean(&self) -> f32 {
        self.sum_beyond[0]
    }

    /// Mean of what is left of the ratio of a run that has reached `ratio`.
    pub(super) fn mean_left(&self, ratio: f32) -> f32 {
        if ratio <= EDGES[0] {
            return self.mean() - ratio;
        }
        let (bin, part) = position(ratio.ln());
        let open = self.share(bin) * (1.0 - part);
        let beyond = self.beyond[bin + 1] + open;
        if beyond < OVERDUE_BELOW {
            return OVERDUE_SHARE * ratio;
        }
        let sum = self.sum_beyond[bin + 1] + open * (ratio + EDGES[bin + 1].max(ratio)) / 2.0;
        (sum / beyond - ratio).max(0.0)
    }
}

/// Observed ratios.
#[derive(Clone, Debug)]
pub(super) struct RatioHistogram {
    weights: [f32; BINS],
    total: f32,
}

impl Default for RatioHistogram {
    fn default() -> Self {
        RatioHistogram { weights: [0.0; BINS], total: 0.0 }
    }
}

impl RatioHistogram {
    /// Restores a recorded histogram; an empty one if it has too many bins or an invalid weight.
    pub(super) fn restore(state: &RatioState) -> Self {
        let sum: f32 = state.bins.iter().map(|share| f32::from(*share)).sum();
        let skipped = usize::from(state.skipped);
        let valid =
            skipped + state.bins.len() <= BINS && (0.0..f32::INFINITY).contains(&state.weight);
        if !valid || sum <= 0.0 {
            return RatioHistogram::default();
        }
        let total = state.weight.min(MAX_RESTORED_WEIGHT);
        let share = |bin: usize| bin.checked_sub(skipped).and_then(|index| state.bins.get(index));
        let weights = std::array::from_fn(|bin| {
            share(bin).map_or(0.0, |share| f32::from(*share) / sum * total)
        });
        RatioHistogram { weights, total }
    }

    /// The state to be recorded.
    pub(super) fn state(&self) -> RatioState {
        if self.total <= 0.0 {
            return RatioState::default();
        }
        let most = self.weights.iter().copied().fold(f32::MIN_POSITIVE, f32::max);
        let share = |weight: &f32| (weight / most * 255.0).round() as u8;
        let bins: Vec<u8> = self.weights.iter().map(share).collect();
        let is_used = |share: &u8| *share > 0;
        let first = bins.iter().position(is_used).unwrap_or(0);
        let last = bins.iter().rposition(is_used).unwrap_or(0);
        RatioState { weight: self.total, skipped: first as u8, bins: bins[first..=last].to_vec() }
    }

    /// Makes room for one more observation.
    fn decay(&mut self) {
        self.total += 1.0;
        if self.total > MAX_WEIGHT {
            let rest = (MAX_WEIGHT - 1.0) / (self.total - 1.0);
            self.weights.iter_mut().for_each(|weight| *weight *= rest);
            self.total = MAX_WEIGHT;
        }
    }

    /// Learns from a run whose ratio has this logarithm.
    pub(super) fn observe(&mut self, log: f32) {
        self.decay();
        self.weights[position(log).0] += 1.0;
    }

    /// Learns from a run whose ratio would have been beyond this: its weight is spread over the bins beyond, in proportion to
    /// their shares in `table`.
    pub(super) fn observe_beyond(&mut self, log: f32, table: &RatioTable) {
        self.decay();
        let (bin, part) = position(log);
        let open = table.share(bin) * (1.0 - part);
        let beyond = table.beyond[bin + 1] + open;
        if beyond < OVERDUE_BELOW {
            self.weights[(bin + 1).min(BINS - 1)] += 1.0;
            return;
        }
        self.weights[bin] += open / beyond;
        for later in bin + 1..BINS {
            self.weights[later] += table.share(later) / beyond;
        }
    }

    /// Distribution of the ratios, given the one that is assumed without observations.
    pub(super) fn table(&self, prior: &RatioTable) -> RatioTable {
        let share = |bin: usize| self.weights[bin] + PRIOR_WEIGHT * prior.share(bin).max(0.0);
        RatioTable::new(&std::array::from_fn(share))
    }
}
