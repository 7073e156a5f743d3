//! The holder's own view of a lease, on the monotonic clock.

use std::time::{Duration, Instant};

/// A lease as its holder may rely on it: it counts from before the claim was proposed, so it ends no later than the
/// recorded one when the clocks run at the same rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    from: Instant,
    length: Duration,
}

/// Part of a lease in which its holder no longer acts, for clocks that run at slightly different rates.
const MARGIN: Duration = Duration::from_millis(500);

impl Lease {
    /// A lease proposed at `from`.
    pub(super) fn new(from: Instant, length: Duration) -> Self {
        Lease { from, length }
    }

    /// Length in milliseconds for the record.
    pub(super) fn millis(&self) -> u32 {
        u32::try_from(self.length.as_millis()).unwrap_or(u32::MAX)
    }

    /// True while the holder may still act.
    pub(super) fn holds(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.from) + MARGIN < self.length
    }
}
