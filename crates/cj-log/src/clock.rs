//! A clock driven by the timer of the async runtime.

use std::time::{Duration, Instant};

use cj_types::{Clock, UnixMillis};

/// Clock that uses the time of the Tokio runtime. With paused time it follows the virtual time, which makes tests and
/// benchmarks deterministic.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    base: Instant,
    start: UnixMillis,
}

impl RuntimeClock {
    /// Creates a clock that reads `start` as its wall-clock time now. Call it inside the runtime.
    pub fn new(start: UnixMillis) -> Self {
        RuntimeClock { base: tokio::time::Instant::now().into_std(), start }
    }

    /// Time since the clock was created.
    pub fn elapsed(&self) -> Duration {
        self.now().saturating_duration_since(self.base)
    }
}

impl Clock for RuntimeClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> UnixMillis {
        self.start + self.elapsed()
    }
}
