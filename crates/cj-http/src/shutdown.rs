//! Shared state of a graceful shutdown.

use std::{cell::Cell, rc::Rc};

use tokio::sync::Notify;

/// Shared shutdown flag and count of requests in flight.
#[derive(Clone, Default)]
pub struct Shutdown {
    inner: Rc<ShutdownInner>,
}

#[derive(Default)]
struct ShutdownInner {
    stopping: Cell<bool>,
    in_flight: Cell<usize>,
    /// Notified when `stopping` is set.
    begun: Notify,
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Rc<ShutdownInner>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Shutdown {
    /// Starts the shutdown: listeners stop accepting, and end their connections once these have no request left.
    pub fn begin(&self) {
        self.inner.stopping.set(true);
        self.inner.begun.notify_waiters();
    }

    /// True once the shutdown has begun.
    pub fn begun(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight.get()
    }

    /// Resolves once the shutdown has begun.
    pub async fn wait_begun(&self) {
        let begun = self.inner.begun.notified();
        if !self.begun() {
            begun.await;
        }
    }

    pub(crate) fn track_request(&self) -> InFlightGuard {
        self.inner.in_flight.set(self.inner.in_flight.get() + 1);
        InFlightGuard(self.inner.clone())
    }
}
