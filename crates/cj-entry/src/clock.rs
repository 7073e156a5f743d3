//! A monotonic clock that keeps running while the VM is suspended.

use std::time::{Duration, Instant};

use cj_types::{Clock, SystemClock, UnixMillis};
use nix::time::{ClockId, clock_gettime};

/// Monotonic clock that includes the time in suspension, because leases expire and other nodes keep running meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    base: Instant,
    start: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        BootClock { base: Instant::now(), start: boot_time() }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.base + boot_time().saturating_sub(self.start)
    }

    fn wall(&self) -> UnixMillis {
        SystemClock.wall()
    }
}

/// Time since the VM was booted. The clock exists on every supported kernel.
fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
