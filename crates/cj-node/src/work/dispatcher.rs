//! Connects the router, which does no I/O, to the async tasks that wait for its decisions.

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
    /// Stop trying and answer the caller.
    GiveUp {
        /// Reason for the answer.
        reason: Refusal,
        /// False when it is certain that no attempt ran.
        may_have_run: bool,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Owns the router and delivers its decisions to the waiting requests.
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

/// A request that the router has admitted. Dropping it cancels the request, so that a caller that disconnects frees its
/// queue place or slot.
pub(super) struct Admitted {
    dispatcher: Dispatcher,
    ticket: Ticket,
    decisions: mpsc::UnboundedReceiver<RouterDecision>,
}

impl Admitted {
    /// Waits for the next decision. Returns `None` only after a final one.
    pub(super) async fn next_decision(&mut self) -> Option<RouterDecision> {
        self.decisions.recv().await
    }

    /// Reports the result of an attempt to the router.
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
    /// Creates a dispatcher for a router; `now` reads the monotonic clock.
    pub fn new<N>(router: Router, now: N) -> Self
    where
        N: Fn() -> Instant + 'static,
    {
        let waiters = RefCell::new(SecondaryMap::new());
        let (router, changed, now) = (RefCell::new(router), Notify::new(), Box::new(now));
        Dispatcher { inner: Rc::new(Inner { router, waiters, changed, now }) }
    }

    /// Submits a request to the router.
    ///
    /// # Errors
    ///
    /// The reason of the refusal and the time after which the caller should retry.
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

    /// Replaces the router's view of the fleet and acts on the decisions that follow from it.
    pub fn update_view(&self, view: PoolView) {
        let now = (self.inner.now)();
        self.inner.router.borrow_mut().update(view, now);
        let actions = self.inner.router.borrow_mut().poll(now);
        self.deliver(actions);
    }

    /// Number of requests that this node has in flight on an upstream.
    pub fn in_flight(&self, upstream: &VmId) -> usize {
        self.inner.router.borrow().in_flight(upstream)
    }

    /// Number of requests that this node has in flight on each VM with a drain or reboot under way. VMs without an
    /// operation or without requests are left out: these counts are not needed, and the heartbeat report has to stay
    /// small.
    pub fn in_flight_during_operations(&self, state: &State) -> BTreeMap<VmId, u32> {
        let router = self.inner.router.borrow();
        let in_operation = state.vms.iter().filter(|(_, vm)| vm.phase.op().is_some());
        let counts = in_operation.map(|(vm, _)| (vm, router.in_flight(vm)));
        counts.filter(|(_, n)| *n > 0).map(|(vm, n)| (vm.clone(), n as u32)).collect()
    }

    /// Polls the router whenever its next poll is due or a request was added.
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

    /// Passes decisions to the requests that they concern; requests that were dropped meanwhile are skipped.
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
