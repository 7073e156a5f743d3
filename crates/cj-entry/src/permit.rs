//! The permission to give orders, asked once more right before an order leaves the process.
//!
//! Between a decision and the socket an order waits for its turn, for a connection, or for a process that is paused, and
//! another node may own the cell by then. What is left between the check and the wire is the write to the socket, and what
//! the network holds up.

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

/// An owner whose loop didn't run for this long was paused: it sends nothing before its next acknowledged heartbeat.
pub(crate) const PAUSE_LIMIT: Duration = Duration::from_millis(900);

/// What an order is sent with.
#[derive(Clone)]
pub struct Permit {
    /// Fencing token of the owner that decided on the order.
    pub token: u64,
    check: Rc<dyn Fn() -> bool>,
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit").field("token", &self.token).finish_non_exhaustive()
    }
}

impl Permit {
    /// A permit that holds while `check` says so.
    pub fn new<F>(token: u64, check: F) -> Self
    where
        F: Fn() -> bool + 'static,
    {
        Permit { token, check: Rc::new(check) }
    }

    /// True when the order may leave now. An order that may not is dropped; it was not sent.
    pub fn may_send(&self) -> bool {
        (self.check)()
    }
}

/// What bounds the time in which an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// The receiver refuses the tokens of earlier owners.
    Fenced,
    /// The receiver may carry out the order of an earlier owner.
    Sole,
}

/// The permission of one ownership.
pub(crate) struct Authority<C> {
    cell: CellId,
    token: u64,
    clock: C,
    /// `None` once the ownership is over or needs to be confirmed.
    permission: Cell<Option<OwnershipLease>>,
    /// When the owner's loop last ran.
    ran: Cell<Instant>,
}

impl<C> Authority<C>
where
    C: Clock + Clone + 'static,
{
    pub(crate) fn new(cell: CellId, token: u64, clock: C, permission: OwnershipLease) -> Rc<Self> {
        let ran = Cell::new(clock.now());
        Rc::new(Authority { cell, token, clock, permission: Cell::new(Some(permission)), ran })
    }

    /// Notes that the owner's loop runs. Returns for how long it didn't.
    pub(crate) fn note_run(&self) -> Duration {
        let now = self.clock.now();
        now.saturating_duration_since(self.ran.replace(now))
    }

    /// Takes a permission into use, or takes it away.
    pub(crate) fn set(&self, permission: Option<OwnershipLease>) {
        self.permission.set(permission);
    }

    /// A permit for one order.
    pub(crate) fn permit(self: &Rc<Self>, reach: Reach) -> Permit {
        let authority = self.clone();
        Permit::new(self.token, move || authority.allows(reach))
    }

    fn allows(&self, reach: Reach) -> bool {
        let now = self.clock.now();
        let idle = now.saturating_duration_since(self.ran.get());
        let cause = if idle > PAUSE_LIMIT {
            "paused"
        } else {
            match self.permission.get() {
                None => "not confirmed",
                Some(permission) if now < until(permission, reach) => return true,
                Some(_) => "expired",
            }
        };
        warn!(
            target: "decision",
            "cell={} choice=drop_order epoch={} reach={reach:?} cause=\"{cause}\" idle_ms={}",
            self.cell, self.token, idle.as_millis()
        );
        false
    }
}

fn until(permission: OwnershipLease, reach: Reach) -> Instant {
    match reach {
        Reach::Fenced => permission.fenced_until,
        Reach::Sole => permission.sole_until,
    }
}
