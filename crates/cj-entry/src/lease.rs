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

use cj_sched::sched::Permission;
use cj_types::Clock;
use log::warn;

use crate::layout::CellId;

/// An owner whose loop didn't run for this long was paused: it sends nothing before its next acknowledged heartbeat.
pub(crate) const MAX_LOOP_PAUSE: Duration = Duration::from_millis(900);

/// What an order is sent with.
#[derive(Clone)]
pub struct LeaseCheck {
    /// Fencing token of the owner that decided on the order.
    pub token: u64,
    check: Rc<dyn Fn() -> bool>,
}

impl fmt::Debug for LeaseCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit").field("token", &self.token).finish_non_exhaustive()
    }
}

impl LeaseCheck {
    /// A permit that holds while `check` says so.
    pub fn new<F>(token: u64, check: F) -> Self
    where
        F: Fn() -> bool + 'static,
    {
        LeaseCheck { token, check: Rc::new(check) }
    }

    /// True when the order may leave now. An order that may not is dropped; it was not sent.
    pub fn allows_send(&self) -> bool {
        (self.check)()
    }
}

/// What bounds the time in which an order may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseBound {
    /// The receiver refuses the tokens of earlier owners.
    Fenced,
    /// The receiver may carry out the order of an earlier owner.
    Sole,
}

/// The permission of one ownership.
pub(crate) struct OwnerLease<C> {
    cell: CellId,
    token: u64,
    clock: C,
    /// `None` once the ownership is over or needs to be confirmed.
    permission: Cell<Option<Permission>>,
    /// When the owner's loop last ran.
    last_run: Cell<Instant>,
}

impl<C> OwnerLease<C>
where
    C: Clock + Clone + 'static,
{
    pub(crate) fn new(cell: CellId, token: u64, clock: C, permission: Permission) -> Rc<Self> {
        let last_run = Cell::new(clock.now());
        Rc::new(OwnerLease {
            cell,
            token,
            clock,
            permission: Cell::new(Some(permission)),
            last_run,
        })
    }

    /// Notes that the owner's loop runs. Returns for how long it didn't.
    pub(crate) fn record_run(&self) -> Duration {
        let now = self.clock.now();
        now.saturating_duration_since(self.last_run.replace(now))
    }

    /// Takes a permission into use, or takes it away.
    pub(crate) fn set(&self, permission: Option<Permission>) {
        self.permission.set(permission);
    }

    /// A permit for one order.
    pub(crate) fn check(self: &Rc<Self>, bound: LeaseBound) -> LeaseCheck {
        let lease = self.clone();
        LeaseCheck::new(self.token, move || lease.is_valid(bound))
    }

    fn is_valid(&self, bound: LeaseBound) -> bool {
        let now = self.clock.now();
        let idle = now.saturating_duration_since(self.last_run.get());
        let cause = if idle > MAX_LOOP_PAUSE {
            "paused"
        } else {
            match self.permission.get() {
                None => "not confirmed",
                Some(permission) if now < valid_until(permission, bound) => return true,
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

fn valid_until(permission: Permission, bound: LeaseBound) -> Instant {
    match bound {
        LeaseBound::Fenced => permission.fenced,
        LeaseBound::Sole => permission.sole,
    }
}
