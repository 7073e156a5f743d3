//! Connects the router, which does no I/O, with the tasks that wait for its decisions.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc};

use cj_fold::State;
use cj_route::{Action, Admission, Completion, PoolView, Refusal, Request, Router, Ticket};
use cj_types::VmId;

use crate::context::sleep;

/// A decision of the router about one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RouterDecision {
    /// Send the request to this upstream.
    Send(VmId),
    /// Answer the caller finally.
    GiveUp {
        /// Why.
        reason: Refusal,
        /// False when no attempt can have run.
        may_have_run: bool,
        /// When a retry is useful.
        retry_after: Duration,
    },
}

/// The router and the requests that wait for it.
#[derive(Clone)]
pub struct Dispatcher {
    inner: Rc<Inner>,
}

struct Inner {
    router: RefCell<Router>,
    waiters: RefCell<SecondaryMap<Ticket, mpsc::UnboundedSender<RouterDecision>>>,
    changed: Notify,
    now: Box<dyn Fn() -> Instant>,
}

/// A request in the router. Dropping it cancels the request, so that a caller that hangs up frees its place.
pub(super) struct Admitted {
    dispatcher: Dispatcher,
    ticket: Ticket,
    decisions: mpsc::UnboundedReceiver<RouterDecision>,
}

impl Admitted {
    /// The next decision; `None` never comes before a final one.
    pub(super) async fn next_decision(&mut self) -> Option<RouterDecision> {
        self.decisions.recv().await
    }

    /// Reports how an attempt ended.
    pub(super) fn complete(&self, result: Completion) {
        let inner = &self.dispatcher.inner;
        let actions = inner.router.borrow_mut().complete(self.ticket, result, (inner.now)());
        self.dispatcher.deliver(actions);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let inner = &self.dispatcher.inner;
        inner.waiters.borrow_mut().remove(self.ticket);
        let actions = inner.router.borrow_mut().cancel(self.ticket, (inner.now)());
        self.dispatcher.deliver(actions);
    }
}

impl Dispatcher {
    /// Creates a dispatcher for a router; `now` is the monotonic clock.
    pub fn new<N>(router: Router, now: N) -> Self
    where
        N: Fn() -> Instant + 'static,
    {
        let waiters = RefCell::new(SecondaryMap::new());
        let (router, changed, now) = (RefCell::new(router), Notify::new(), Box::new(now));
        Dispatcher { inner: Rc::new(Inner { router, waiters, changed, now }) }
    }

    /// Offers a request. Fails with the reason and the time after which a retry is useful.
    pub(super) fn offer(&self, request: Request) -> Result<Admitted, (Refusal, Duration)> {
        let admission = self.inner.router.borrow_mut().offer(request, (self.inner.now)());
        let (tx, decisions) = mpsc::unbounded_channel();
        let ticket = match admission {
            Admission::Refused { reason, retry_after } => return Err((reason, retry_after)),
            Admission::Dispatch { ticket, upstream } => {
                let _ = tx.send(RouterDecision::Send(upstream));
                ticket
            }
            Admission::Queued { ticket } => ticket,
        };
        self.inner.waiters.borrow_mut().insert(ticket, tx);
        self.inner.changed.notify_one();
        Ok(Admitted { dispatcher: self.clone(), ticket, decisions })
    }

    /// Takes a new view of the fleet.
    pub fn update_view(&self, view: PoolView) {
        let now = (self.inner.now)();
        self.inner.router.borrow_mut().update(view, now);
        let actions = self.inner.router.borrow_mut().poll(now);
        self.deliver(actions);
    }

    /// Requests of this node that an upstream is working on.
    pub fn in_flight(&self, upstream: &VmId) -> usize {
        self.inner.router.borrow().in_flight(upstream)
    }

    /// Requests of this node in flight on each VM in an operation. Others are left out: nobody asks for them, and the
    /// report has to stay small.
    pub fn in_flight_during_operations(&self, state: &State) -> BTreeMap<VmId, u32> {
        let router = self.inner.router.borrow();
        let in_operation = state.vms.iter().filter(|(_, vm)| vm.phase.op().is_some());
        let counts = in_operation.map(|(vm, _)| (vm, router.in_flight(vm)));
        counts.filter(|(_, n)| *n > 0).map(|(vm, n)| (vm.clone(), n as u32)).collect()
    }

    /// Polls the router whenever something is due.
    pub async fn run(self) {
        const LONGEST_SLEEP: Duration = Duration::from_secs(1);
        loop {
            let due = self.inner.router.borrow().next_poll();
            let delay =
                due.map_or(LONGEST_SLEEP, |at| at.saturating_duration_since((self.inner.now)()));
            tokio::select! {
                () = sleep(delay.min(LONGEST_SLEEP)) => {}
                () = self.inner.changed.notified() => {}
            }
            let actions = self.inner.router.borrow_mut().poll((self.inner.now)());
            self.deliver(actions);
        }
    }

    fn deliver(&self, actions: Vec<Action>) {
        let waiters = self.inner.waiters.borrow();
        for action in actions {
            let (ticket, decision) = match action {
                Action::Dispatch { ticket, upstream, .. }
                | Action::Retry { ticket, upstream, .. } => {
                    (ticket, RouterDecision::Send(upstream))
                }
                Action::GiveUp { ticket, reason, may_have_run, retry_after } => {
                    (ticket, RouterDecision::GiveUp { reason, may_have_run, retry_after })
                }
            };
            if let Some(tx) = waiters.get(ticket) {
                let _ = tx.send(decision);
            }
        }
    }
}
