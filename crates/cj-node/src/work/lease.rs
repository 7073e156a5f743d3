//! The holder's own view of a lease, on the monotonic clock.

use std::time::{Duration, Instant};

/// A lease as its holder may rely on it: it counts from before the claim was proposed, so it ends no later than the
/// recorded one when the clocks run at the same rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    proposed_at: Instant,
    duration: Duration,
}

/// Part of a lease in which its holder no longer acts, for clocks that run at slightly different rates.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);

impl Lease {
    /// A lease proposed at `from`.
    pub(super) fn new(proposed_at: Instant, duration: Duration) -> Self {
        Lease { proposed_at, duration }
    }

    /// Length in milliseconds for the record.
    pub(super) fn duration_ms(&self) -> u32 {
        u32::try_from(self.duration.as_millis()).unwrap_or(u32::MAX)
    }

    /// True while the holder may still act.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.proposed_at) + SAFETY_MARGIN < self.duration
    }
}
