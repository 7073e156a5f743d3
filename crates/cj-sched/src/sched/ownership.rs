//! The ownership lease: how long an owner may act, counted from its last acknowledged heartbeat.

use std::time::{Duration, Instant};

use log::info;

use crate::sched::{scheduler::Scheduler, work::Task, worker::Worker};

/// Duration of the ownership lease: commands to workers, and leases of runs, end within this time after the owner's
/// last acknowledged heartbeat was sent.
pub const OWNERSHIP_LEASE: Duration = Duration::from_millis(8_000);

/// After this time without a heartbeat of the owner, another node may claim ownership.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(1_300);

/// A command whose receiver may not know the next owner's token is sent at least this long before another owner can act.
const SEND_MARGIN: Duration = Duration::from_millis(200);

/// Such a command is decided at least this long before its lease ends, so that there is time to send it.
const DECISION_MARGIN: Duration = Duration::from_millis(200);

/// An owner whose lease ends within this time sends no more commands, since they might arrive after the end.
const LEASE_MARGIN: Duration = Duration::from_millis(1_000);

/// Time until which the owner of a cell may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnershipLease {
    /// For commands whose receivers refuse the fencing tokens of earlier owners.
    pub fenced_until: Instant,
    /// For commands whose receivers may not know the token of the next owner: no other node can have taken over before this time.
    pub sole_until: Instant,
    /// When the last acknowledged heartbeat was first sent; `None` while the ownership has to be confirmed.
    pub heartbeat_at: Option<Instant>,
}

impl OwnershipLease {
    /// The lease that follows from an acknowledged heartbeat first sent at `sent`.
    pub fn from_heartbeat(sent: Instant) -> Self {
        OwnershipLease {
            fenced_until: sent + OWNERSHIP_LEASE,
            sole_until: sent + OWNER_TIMEOUT - SEND_MARGIN,
            heartbeat_at: Some(sent),
        }
    }

    /// A lease that has expired at `now`.
    pub fn expired(now: Instant) -> Self {
        OwnershipLease { fenced_until: now, sole_until: now, heartbeat_at: None }
    }
}

impl Scheduler {
    /// Sets the ownership lease.
    pub fn set_ownership(&mut self, lease: OwnershipLease) {
        self.ownership = lease;
        self.heartbeat_at = lease.heartbeat_at.unwrap_or(self.heartbeat_at);
    }

    /// Age in ms of the last acknowledged heartbeat, also while the ownership has to be confirmed.
    pub(super) fn heartbeat_age(&self) -> u128 {
        self.now.mono.saturating_duration_since(self.heartbeat_at).as_millis()
    }

    /// Logs when another node may have taken over, when no more commands are sent to workers, and when a heartbeat shows
    /// again that this is the only owner.
    pub(super) fn log_lease_change(&mut self) {
        let choice = if self.now.mono < self.ownership.sole_until {
            "sole_owner"
        } else if self.may_command() {
            "may_be_replaced"
        } else {
            "lease_expired"
        };
        if std::mem::replace(&mut self.logged_lease, choice) != choice {
            info!(
                target: "decision",
                "cell={} choice={choice} epoch={} heartbeat_age_ms={}",
                self.ledger.cell, self.epoch, self.heartbeat_age()
            );
        }
    }

    /// Sets when this owner begins to act, if that is later than its first record.
    pub fn begin_at(&mut self, at: Instant) {
        self.owner_since = self.owner_since.max(at);
    }

    /// True while commands may be sent to workers, which check fencing tokens.
    pub(super) fn may_command(&self) -> bool {
        self.now.mono + LEASE_MARGIN < self.ownership.fenced_until
    }

    /// True while no other node can have taken over. VMs are moved and maintained only then: the platform's fence of a VM rises
    /// with the next owner's first command for it, not when that owner starts tasks there.
    pub(super) fn is_sole_owner(&self) -> bool {
        self.now.mono + DECISION_MARGIN < self.ownership.sole_until
    }

    /// True if a node that takes over starts older tasks only once this worker refuses the commands of this owner. It knows a
    /// worker that answered while this owner was the only one; one that started later may be listed by this owner alone.
    pub(super) fn is_known_to_successor(&self, worker: &Worker) -> bool {
        worker.reconciled_at.is_some_and(|at| at < self.ownership.sole_until)
    }

    /// True if no other owner can have read how the lost runs of a task ended. Evidence such as a new incarnation of the worker shows
    /// that a run is over, but not whether it was done.
    pub(super) fn is_loss_final(&self, task: &Task) -> bool {
        task.lost_at.is_none_or(|at| at < self.ownership.sole_until)
    }

    /// True when leases that end at `end` have ended, whichever owner granted them. A later end than `sole_until` proves nothing:
    /// another owner may have taken over and extended them.
    pub(super) fn is_lease_over(&self, end: Instant) -> bool {
        end < self.now.mono && end < self.ownership.sole_until
    }

    /// True when a worker is unresponsive and all its leases have ended.
    pub(super) fn has_lapsed(&self, worker: &Worker) -> bool {
        let unresponsive = worker.missed_listings > 0 || !worker.is_reconciled();
        unresponsive && worker.lease_end.is_none_or(|end| self.is_lease_over(end))
    }
}
