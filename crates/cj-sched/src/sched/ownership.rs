//! How long an owner may act, counted from its last acknowledged heartbeat.

use std::time::{Duration, Instant};

use crate::sched::scheduler::Scheduler;

/// Orders to workers and leases end within this time after the owner's last acknowledged heartbeat was sent.
pub const OWNERSHIP_LEASE: Duration = Duration::from_millis(8_000);

/// An owner that wasn't heard of for this long has lost its ownership to whoever claims it.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1_300);

/// A call that nobody fences leaves this long before another owner can act.
const SEND_MARGIN: Duration = Duration::from_millis(200);

/// A call is decided this long before its permission ends, so that it can be sent.
const DECISION_MARGIN: Duration = Duration::from_millis(200);

/// An owner whose tenure ends within this time gives no more orders: they might arrive after the end.
const LEASE_MARGIN: Duration = Duration::from_millis(1_000);

/// Until when the owner of a cell may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLease {
    /// Orders whose receivers refuse the tokens of earlier owners.
    pub fenced_until: Instant,
    /// Calls whose receivers may not look at tokens: no other node can have taken over before.
    pub sole_until: Instant,
}

impl OwnershipLease {
    /// The permission that follows from a heartbeat that was first sent at `sent`.
    pub fn from_heartbeat(sent: Instant) -> Self {
        OwnershipLease {
            fenced_until: sent + OWNERSHIP_LEASE,
            sole_until: sent + OWNER_TIMEOUT - SEND_MARGIN,
        }
    }

    /// No permission from `now` on.
    pub fn expired(now: Instant) -> Self {
        OwnershipLease { fenced_until: now, sole_until: now }
    }
}

impl Scheduler {
    /// Takes a new permission into use.
    pub fn set_ownership(&mut self, lease: OwnershipLease) {
        self.ownership = lease;
    }

    /// True while orders may be given to workers, which know the highest fencing token.
    pub(super) fn may_command(&self) -> bool {
        self.now.mono + LEASE_MARGIN < self.ownership.fenced_until
    }

    /// True while no other node can have taken over.
    pub(super) fn is_sole_owner(&self) -> bool {
        self.now.mono + DECISION_MARGIN < self.ownership.sole_until
    }

    /// True while VMs may be moved.
    pub(super) fn may_move_vms(&self) -> bool {
        if self.limits.vm_fencing {
            self.now.mono + LEASE_MARGIN * 2 <= self.ownership.fenced_until
        } else {
            self.is_sole_owner()
        }
    }
}
