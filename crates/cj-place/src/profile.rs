//! Observed usage and run times per service and class.

use std::time::Duration;

use hdrhistogram::Histogram;

use cj_types::{Accelerators, Mebibytes, Millicores, Resources};

/// Samples before observations replace the declared values.
const MIN_SAMPLES: u64 = 8;
/// Samples per window. Two windows are kept, so that a profile follows a change of the work.
const WINDOW: u64 = 512;
/// Samples between two computations of the quantiles.
const REFRESH: u64 = 16;
/// Factor on declared values before anything was observed. Larger factors idle workers, smaller ones overload them while
/// a service is new.
const UNKNOWN_FACTOR: u32 = 3;
/// Scale of the recorded ratio of used to declared.
const RATIO_SCALE: u64 = 1000;

/// Which expectation of a quantity is meant.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Level {
    /// Median.
    Typical,
    /// 90th percentile.
    High,
}

/// Quantiles over the last one to two windows. They are computed once per [`REFRESH`] samples, because a scan of the open
/// jobs asks for them per job.
struct Window {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    p50: u64,
    p90: u64,
}

impl Window {
    fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, u64::from(u32::MAX), 2).expect("constant");
        Window { current: empty(), previous: empty(), p50: 0, p90: 0 }
    }

    fn record(&mut self, value: u64) {
        self.current.saturating_record(value.max(1));
        let samples = self.current.len();
        if samples <= MIN_SAMPLES || samples.is_multiple_of(REFRESH) {
            (self.p50, self.p90) = (self.quantile(0.5), self.quantile(0.9));
        }
        if samples >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    fn len(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    /// The larger of the quantiles of both windows while the current one is short, so that growth shows at once.
    fn quantile(&self, q: f64) -> u64 {
        let of = |h: &Histogram<u32>| if h.is_empty() { 0 } else { h.value_at_quantile(q) };
        if self.current.len() < MIN_SAMPLES {
            of(&self.previous).max(of(&self.current))
        } else {
            of(&self.current)
        }
    }

    fn at(&self, level: Level) -> u64 {
        if level == Level::Typical { self.p50 } else { self.p90 }
    }

    /// Ratio of p90 to p50: how well the median predicts a value.
    fn spread(&self) -> f64 {
        self.p90 as f64 / self.p50.max(1) as f64
    }
}

/// Predicts a quantity from its declared value.
struct Predictor {
    observed: Window,
    ratio: Window,
}

impl Predictor {
    fn new() -> Self {
        Predictor { observed: Window::new(), ratio: Window::new() }
    }

    fn record(&mut self, used: u32, declared: u32) {
        self.observed.record(used.into());
        if declared > 0 {
            self.ratio.record(u64::from(used) * RATIO_SCALE / u64::from(declared));
        }
    }

    /// Expected value. Declared values help when the ratio of used to declared varies less than the used values
    /// themselves.
    fn at(&self, level: Level, declared: u32) -> u32 {
        if self.observed.len() < MIN_SAMPLES {
            return declared.saturating_mul(UNKNOWN_FACTOR);
        }
        let by_ratio = declared > 0
            && self.ratio.len() >= MIN_SAMPLES
            && self.ratio.spread() < self.observed.spread();
        let value = if by_ratio {
            u64::from(declared) * self.ratio.at(level) / RATIO_SCALE
        } else {
            self.observed.at(level)
        };
        u32::try_from(value).unwrap_or(u32::MAX)
    }
}

/// What is known about one service and class.
pub(crate) struct Profile {
    cores: Predictor,
    memory: Predictor,
    /// Run times in milliseconds.
    runs: Predictor,
}

impl Profile {
    pub(crate) fn new() -> Self {
        Profile { cores: Predictor::new(), memory: Predictor::new(), runs: Predictor::new() }
    }

    pub(crate) fn record_usage(&mut self, used: Resources, declared: Resources) {
        self.cores.record(used.cores.0, declared.cores.0);
        self.memory.record(used.memory.0, declared.memory.0);
    }

    pub(crate) fn record_run(&mut self, ran: Duration, declared_ms: u32) {
        self.runs.record(u32::try_from(ran.as_millis()).unwrap_or(u32::MAX), declared_ms);
    }

    /// True when usage was observed often enough to overrule declared values.
    pub(crate) fn is_known(&self) -> bool {
        self.cores.observed.len() >= MIN_SAMPLES
    }

    /// Expected demand. Accelerators are whole devices and count as declared.
    pub(crate) fn demand(&self, level: Level, declared: Resources) -> Resources {
        Resources {
            cores: Millicores(self.cores.at(level, declared.cores.0)),
            memory: Mebibytes(self.memory.at(level, declared.memory.0)),
            accelerators: Accelerators(declared.accelerators.0),
        }
    }

    /// Median run time.
    pub(crate) fn run(&self, declared_ms: u32) -> Duration {
        Duration::from_millis(self.runs.at(Level::Typical, declared_ms).into())
    }
}

/// Demand expected of a service and class that were never observed.
pub(crate) fn unknown_demand(declared: Resources) -> Resources {
    Resources {
        cores: Millicores(declared.cores.0.saturating_mul(UNKNOWN_FACTOR)),
        memory: Mebibytes(declared.memory.0.saturating_mul(UNKNOWN_FACTOR)),
        accelerators: declared.accelerators,
    }
}
