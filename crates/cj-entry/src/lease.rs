//! The check right before a command leaves the process: of the ownership lease, and of whether the command is still wanted.
//!
//! Between a decision and the socket a command may wait for a free slot, for a connection, or because the process is
//! paused; another node may own the cell by then, or the job may be cancelled. After the check there is only the write to the socket and the delay
//! in the network.

use std::{
    cell::Cell,
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::sched::OwnershipLease;
use cj_types::Clock;
use log::warn;

use crate::layout::CellId;

/// An owner whose loop didn't run for this long was paused. It sends nothing before its next acknowledged heartbeat.
pub(crate) const MAX_LOOP_PAUSE: Duration = Duration::from_millis(900);

/// The fencing token of a command and the check before it is sent.
#[derive(Clone)]
pub struct SendCheck {
    /// Fencing token of the owner that decided on the command.
    pub token: u64,
    check: Rc<dyn Fn() -> bool>,
}

impl fmt::Debug for SendCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SendCheck").field("token", &self.token).finish_non_exhaustive()
    }
}

impl SendCheck {
    /// A check that allows sending while `check` returns true.
    pub fn new<F>(token: u64, check: F) -> Self
    where
        F: Fn() -> bool + 'static,
    {
        SendCheck { token, check: Rc::new(check) }
    }

    /// A check that also requires `condition`.
    pub fn and<F>(self, condition: F) -> Self
    where
        F: Fn() -> bool + 'static,
    {
        let check = self.check;
        SendCheck { token: self.token, check: Rc::new(move || condition() && check()) }
    }

    /// True while the command may be sent. If false, the command has to be dropped unsent.
    pub fn allows_send(&self) -> bool {
        (self.check)()
    }
}

/// What limits the time in which a command may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseBound {
    /// The receiver refuses the tokens of earlier owners.
    Fenced,
    /// The receiver may not know the next owner's token, so the command may be sent only while no other node can own the cell.
    Sole,
}

/// The current lease of one ownership, shared by the lease checks of its commands.
pub(crate) struct OwnerLease<C> {
    cell: CellId,
    token: u64,
    clock: C,
    /// The lease from the last acknowledged heartbeat; `None` once the ownership has ended or while it has to be confirmed.
    current: Cell<Option<OwnershipLease>>,
    /// When the owner's loop last ran.
    last_run: Cell<Instant>,
}

impl<C> OwnerLease<C>
where
    C: Clock + Clone + 'static,
{
    pub(crate) fn new(cell: CellId, token: u64, clock: C, lease: OwnershipLease) -> Rc<Self> {
        let last_run = Cell::new(clock.now());
        Rc::new(OwnerLease { cell, token, clock, current: Cell::new(Some(lease)), last_run })
    }

    /// Records that the owner's loop runs. Returns the time since its last run.
    pub(crate) fn record_run(&self) -> Duration {
        let now = self.clock.now();
        now.saturating_duration_since(self.last_run.replace(now))
    }

    /// Renews or revokes the lease.
    pub(crate) fn set(&self, lease: Option<OwnershipLease>) {
        self.current.set(lease);
    }

    /// A lease check for one command.
    pub(crate) fn check(self: &Rc<Self>, bound: LeaseBound) -> SendCheck {
        let lease = self.clone();
        SendCheck::new(self.token, move || lease.is_valid(bound))
    }

    fn is_valid(&self, bound: LeaseBound) -> bool {
        let now = self.clock.now();
        let idle = now.saturating_duration_since(self.last_run.get());
        let cause = if idle > MAX_LOOP_PAUSE {
            "paused"
        } else {
            match self.current.get() {
                None => "not confirmed",
                Some(lease) if now < valid_until(lease, bound) => return true,
                Some(_) => "expired",
            }
        };
        warn!(
            target: "decision",
            "cell={} choice=drop_order epoch={} reach={bound:?} cause=\"{cause}\" idle_ms={}",
            self.cell, self.token, idle.as_millis()
        );
        false
    }
}

fn valid_until(lease: OwnershipLease, bound: LeaseBound) -> Instant {
    match bound {
        LeaseBound::Fenced => lease.fenced_until,
        LeaseBound::Sole => lease.sole_until,
    }
}
