//! The lease of a claim as its holder tracks it, on the monotonic clock.

use std::time::{Duration, Instant};

/// The lease that the holder of a claim relies on. It is counted from before the claim was proposed, so it ends no
/// later than the recorded lease, provided that the clocks run at the same rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    proposed_at: Instant,
    duration: Duration,
}

/// The holder stops acting this long before the end of the lease, because clocks run at slightly different rates.
const SAFETY_MARGIN: Duration = Duration::from_millis(500);

impl Lease {
    /// A lease that is counted from `proposed_at`.
    pub(super) fn new(proposed_at: Instant, duration: Duration) -> Self {
        Lease { proposed_at, duration }
    }

    /// Duration in milliseconds, as written to the log.
    pub(super) fn duration_ms(&self) -> u32 {
        u32::try_from(self.duration.as_millis()).unwrap_or(u32::MAX)
    }

    /// True while the holder may still act.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.proposed_at) + SAFETY_MARGIN < self.duration
    }
}
