//! Observed service times per service and class.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Longest recorded service time in microseconds (1 hour); longer ones are recorded as this.
const MAX_MICROS: u64 = 3_600_000_000;
/// Samples per window. Two windows are kept, so that quantiles follow a change within this many requests.
const WINDOW_SAMPLES: u64 = 512;
/// Samples between two computations of the quantiles, which cost about as much as ten decisions.
const REFRESH_SAMPLES: u64 = 64;
/// Service time assumed before the first answer; short, so that no request is refused without a measurement.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(1);

/// Time without an answer after which a request may be sent although the estimate says that it can't finish in time.
/// Only answers correct an estimate, so refusing every request would keep a wrong one forever.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Quantiles and mean over the last one to two windows of samples.
pub(crate) struct ServiceTimes {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    pub(crate) mean: Duration,
    pub(crate) p50: Duration,
    pub(crate) p90: Duration,
    pub(crate) p99: Duration,
    /// Time of the last answer or probe.
    updated_at: Option<Instant>,
}

impl ServiceTimes {
    pub(crate) fn new() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("constant bounds");
        ServiceTimes {
            current: empty(),
            previous: empty(),
            mean: INITIAL_ESTIMATE,
            p50: INITIAL_ESTIMATE,
            p90: INITIAL_ESTIMATE,
            p99: INITIAL_ESTIMATE,
            updated_at: None,
        }
    }

    /// Returns true, and counts a probe, when a request should be sent to correct an estimate that no answer or probe
    /// has updated for [`PROBE_INTERVAL`].
    pub(crate) fn try_probe(&mut self, now: Instant) -> bool {
        let due =
            self.updated_at.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
        if due {
            self.updated_at = Some(now);
        }
        due
    }

    /// Records the service time of a complete answer.
    pub(crate) fn record(&mut self, time: Duration, now: Instant) {
        self.updated_at = Some(now);
        self.current.saturating_record((time.as_micros() as u64).clamp(1, MAX_MICROS));
        let samples = self.current.len();
        let early = self.previous.is_empty() && samples.is_power_of_two();
        if early || samples.is_multiple_of(REFRESH_SAMPLES) {
            self.update_quantiles();
        }
        if samples >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    fn update_quantiles(&mut self) {
        let mut all = self.previous.clone();
        if all.add(&self.current).is_err() {
            return;
        }
        let at = |q| Duration::from_micros(all.value_at_quantile(q));
        (self.p50, self.p90, self.p99) = (at(0.5), at(0.9), at(0.99));
        self.mean = Duration::from_micros(all.mean() as u64).max(Duration::from_micros(1));
    }
}
