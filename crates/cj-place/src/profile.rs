//! Observed usage and run times per service and class.

use std::time::Duration;

use hdrhistogram::Histogram;

use cj_types::{Accelerators, Mebibytes, Millicores, Resources};

/// Samples before observations replace the declared values.
const MIN_SAMPLES: u64 = 8;
/// Samples per window. Two windows are kept, so that a profile follows a change of the workload.
const WINDOW_SAMPLES: u64 = 512;
/// Samples between two computations of the quantiles.
const REFRESH_SAMPLES: u64 = 16;
/// Factor on declared values until enough was observed. Larger factors leave workers idle, smaller ones overload them
/// while a service is new.
const UNOBSERVED_FACTOR: u32 = 3;
/// Scale of the recorded ratio of used to declared.
const RATIO_SCALE: u64 = 1000;

/// Quantile of an expected quantity.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Quantile {
    /// Median.
    Median,
    /// 90th percentile.
    P90,
}

/// Quantiles over the last one to two windows. They are computed once per [`REFRESH_SAMPLES`] samples, because a scan
/// of the open jobs reads them for every job.
struct RollingQuantiles {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    p50: u64,
    p90: u64,
}

impl RollingQuantiles {
    fn new() -> Self {
        let empty =
            || Histogram::new_with_bounds(1, u64::from(u32::MAX), 2).expect("constant bounds");
        RollingQuantiles { current: empty(), previous: empty(), p50: 0, p90: 0 }
    }

    fn record(&mut self, value: u64) {
        self.current.saturating_record(value.max(1));
        let samples = self.current.len();
        if samples <= MIN_SAMPLES || samples.is_multiple_of(REFRESH_SAMPLES) {
            (self.p50, self.p90) = (self.quantile(0.5), self.quantile(0.9));
        }
        if samples >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    fn len(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// The larger of the quantiles of both windows while the current one has few samples, so that growth takes effect
    /// at once.
    fn quantile(&self, q: f64) -> u64 {
        let of = |h: &Histogram<u32>| if h.is_empty() { 0 } else { h.value_at_quantile(q) };
        if self.current.len() < MIN_SAMPLES {
            of(&self.previous).max(of(&self.current))
        } else {
            of(&self.current)
        }
    }

    fn value(&self, quantile: Quantile) -> u64 {
        if quantile == Quantile::Median { self.p50 } else { self.p90 }
    }

    /// Ratio of p90 to p50: how well the median predicts a value.
    fn spread(&self) -> f64 {
        self.p90 as f64 / self.p50.max(1) as f64
    }
}

/// Predicts a quantity from observed values and its declared value.
struct Predictor {
    observed: RollingQuantiles,
    ratio: RollingQuantiles,
}

impl Predictor {
    fn new() -> Self {
        Predictor { observed: RollingQuantiles::new(), ratio: RollingQuantiles::new() }
    }

    fn record(&mut self, used: u32, declared: u32) {
        self.observed.record(used.into());
        if declared > 0 {
            self.ratio.record(u64::from(used) * RATIO_SCALE / u64::from(declared));
        }
    }

    /// Expected value. The declared value is used when the ratio of used to declared varies less than the used values
    /// themselves.
    fn predict(&self, quantile: Quantile, declared: u32) -> u32 {
        if self.observed.len() < MIN_SAMPLES {
            return declared.saturating_mul(UNOBSERVED_FACTOR);
        }
        let by_ratio = declared > 0
            && self.ratio.len() >= MIN_SAMPLES
            && self.ratio.spread() < self.observed.spread();
        let value = if by_ratio {
            u64::from(declared) * self.ratio.value(quantile) / RATIO_SCALE
        } else {
            self.observed.value(quantile)
        };
        u32::try_from(value).unwrap_or(u32::MAX)
    }
}

/// Observed usage and run times of one service and class.
pub(crate) struct Profile {
    cores: Predictor,
    memory: Predictor,
    /// Run times in milliseconds.
    run_times: Predictor,
}

impl Profile {
    pub(crate) fn new() -> Self {
        Profile { cores: Predictor::new(), memory: Predictor::new(), run_times: Predictor::new() }
    }

    pub(crate) fn record_usage(&mut self, used: Resources, declared: Resources) {
        self.cores.record(used.cores.0, declared.cores.0);
        self.memory.record(used.memory.0, declared.memory.0);
    }

    pub(crate) fn record_run(&mut self, ran: Duration, declared_ms: u32) {
        self.run_times.record(u32::try_from(ran.as_millis()).unwrap_or(u32::MAX), declared_ms);
    }

    /// True when usage was observed often enough to replace declared values.
    pub(crate) fn is_observed(&self) -> bool {
        self.cores.observed.len() >= MIN_SAMPLES
    }

    /// Expected demand. Accelerators are whole devices and count as declared.
    pub(crate) fn demand(&self, quantile: Quantile, declared: Resources) -> Resources {
        Resources {
            cores: Millicores(self.cores.predict(quantile, declared.cores.0)),
            memory: Mebibytes(self.memory.predict(quantile, declared.memory.0)),
            accelerators: Accelerators(declared.accelerators.0),
        }
    }

    /// Median run time.
    pub(crate) fn median_run_time(&self, declared_ms: u32) -> Duration {
        Duration::from_millis(self.run_times.predict(Quantile::Median, declared_ms).into())
    }
}

/// Demand expected of a service and class that were never observed.
pub(crate) fn unobserved_demand(declared: Resources) -> Resources {
    Resources {
        cores: Millicores(declared.cores.0.saturating_mul(UNOBSERVED_FACTOR)),
        memory: Mebibytes(declared.memory.0.saturating_mul(UNOBSERVED_FACTOR)),
        accelerators: declared.accelerators,
    }
}
