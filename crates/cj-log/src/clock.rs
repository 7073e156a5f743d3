//! A clock that follows the runtime's timer.

use std::time::{Duration, Instant};

use cj_types::{Clock, UnixMillis};

/// Clock in step with the sleeps of the runtime. Under a paused runtime it moves with the virtual time, so that tests
/// and benchmarks are deterministic.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeClock {
    base: Instant,
    start: UnixMillis,
}

impl RuntimeClock {
    /// Starts now, at the given wall-clock time. Call it inside the runtime.
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
