//! A runtime whose sleeps end at once, in order, for benchmarks of protocols.

use std::{future::Future, time::Duration};

use hdrhistogram::Histogram;
use tokio::{runtime::Builder, task::LocalSet};

use cj_types::{Error, ErrorKind, Result, UnixMillis};

/// Wall-clock time at the start of a run.
pub(crate) const START: UnixMillis = UnixMillis(1_700_000_000_000);

/// Runs a future under virtual time.
pub(crate) fn run<F>(future: F) -> Result<F::Output>
where
    F: Future,
{
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.map_err(|e| {
        Error::new(ErrorKind::Io(format!("cannot start a runtime: {e}").into()), "try again")
    })?;
    Ok(LocalSet::new().block_on(&runtime, future))
}

/// Distribution of durations with microsecond resolution.
pub(crate) struct Durations(Histogram<u64>);

impl Durations {
    const MAX_MICROS: u64 = 3_600_000_000;
    const DIGITS: u8 = 3;

    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_max(Self::MAX_MICROS, Self::DIGITS);
        Durations(histogram.expect("the bounds are valid"))
    }

    pub(crate) fn add(&mut self, sample: Duration) {
        self.0.saturating_record(sample.as_micros() as u64);
    }

    pub(crate) fn count(&self) -> u64 {
        self.0.len()
    }

    /// A quantile in milliseconds.
    pub(crate) fn millis(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }
}
