//! The [`Clock`] trait and wall-clock timestamps. Decision code takes a [`Clock`] and never reads the system time itself.

use std::{
    cell::Cell,
    fmt,
    ops::{Add, Sub},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Time elapsed since `earlier`, in whole milliseconds; zero when `earlier` is later.
    pub fn since(self, earlier: UnixMillis) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for UnixMillis {
    type Output = UnixMillis;

    fn add(self, rhs: Duration) -> UnixMillis {
        UnixMillis(self.0.saturating_add(rhs.as_millis() as u64))
    }
}

impl Sub<Duration> for UnixMillis {
    type Output = UnixMillis;

    fn sub(self, rhs: Duration) -> UnixMillis {
        UnixMillis(self.0.saturating_sub(rhs.as_millis() as u64))
    }
}

impl fmt::Display for UnixMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(time: SystemTime) -> Self {
        UnixMillis(time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64)
    }
}

/// Source of monotonic and wall-clock time.
pub trait Clock {
    /// Monotonic time, used for leases, timeouts and queue delays.
    fn now(&self) -> Instant;

    /// Wall-clock time, used only for times that are written to the log or shown to people.
    fn wall(&self) -> UnixMillis;
}

/// The operating system's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> UnixMillis {
        SystemTime::now().into()
    }
}

/// A clock that advances only by [`ManualClock::advance`]. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    base: Instant,
    start: UnixMillis,
    elapsed: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Creates a clock at the given wall-clock time.
    pub fn new(start: UnixMillis) -> Self {
        ManualClock { base: Instant::now(), start, elapsed: Rc::default() }
    }

    /// Advances both the monotonic and the wall-clock time.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }

    /// Time elapsed since the clock was created.
    pub fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.elapsed.get()
    }

    fn wall(&self) -> UnixMillis {
        self.start + self.elapsed.get()
    }
}

impl<C> Clock for Rc<C>
where
    C: Clock + ?Sized,
{
    fn now(&self) -> Instant {
        (**self).now()
    }

    fn wall(&self) -> UnixMillis {
        (**self).wall()
    }
}
