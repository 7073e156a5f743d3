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

/// An owner that may have been replaced starts tasks only on workers that answered this recently: a worker that has started anew
/// since has seen no fencing token. Answers of busy workers may be held back for 1 s.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_200);

/// Such an owner lists a worker again once its last answer is this old.
const RELIST_AGE: Duration = Duration::from_millis(900);

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
    /// Sets the ownership lease. An expired one doesn't say that no other node has taken over until now.
    pub fn set_ownership(&mut self, lease: OwnershipLease) {
        let known = self.ownership.sole_until;
        let sole_until = lease.heartbeat_at.map_or(known, |_| lease.sole_until);
        self.ownership = OwnershipLease { sole_until, ..lease };
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
        self.vms_requested = self.owner_since;
        self.vms_known = false;
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

    /// True if no other owner can have acted by `at`, so that what this owner knew at that time held for all owners.
    pub(super) fn was_sole_owner(&self, at: Instant) -> bool {
        at < self.ownership.sole_until
    }

    /// True if a node that takes over starts older tasks only once this worker refuses the commands of this owner. It knows a
    /// worker that answered while this owner was the only one; one that started later may be listed by this owner alone.
    pub(super) fn is_known_to_successor(&self, worker: &Worker) -> bool {
        let answered_lately =
            worker.last_answer.is_some_and(|at| self.now.mono < at + MAX_ANSWER_AGE);
        worker.reconciled_at.is_some_and(|at| self.was_sole_owner(at))
            && (self.is_sole_owner() || answered_lately)
    }

    /// Lists the workers that may get tasks again while another node may have taken over.
    pub(super) fn relist_workers(&mut self) {
        if self.is_sole_owner() || !self.may_command() {
            return;
        }
        let now = self.now.mono;
        for worker in self.workers.values_mut() {
            let is_old = worker.last_answer.is_some_and(|at| now >= at + RELIST_AGE);
            if is_old && worker.accepts_tasks(now) {
                worker.list_by(now);
            }
        }
    }

    /// True if no other owner can have read how the lost runs of a task ended. Evidence such as a new incarnation of the worker shows
    /// that a run is over, but not whether it was done.
    pub(super) fn is_loss_final(&self, task: &Task) -> bool {
        task.lost_at.is_none_or(|at| self.was_sole_owner(at))
    }

    /// True when leases that end at `end` have ended, whichever owner granted them. A later end than `sole_until` proves nothing:
    /// another owner may have taken over and extended them.
    pub(super) fn is_lease_over(&self, end: Instant) -> bool {
        end < self.now.mono && self.was_sole_owner(end)
    }

    /// True when a worker is unresponsive and all its leases have ended.
    pub(super) fn has_lapsed(&self, worker: &Worker) -> bool {
        let unresponsive = worker.missed_listings > 0 || !worker.is_reconciled();
        unresponsive && worker.last_lease_end().is_none_or(|end| self.is_lease_over(end))
    }
}
