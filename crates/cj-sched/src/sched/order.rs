//! Orders that are withdrawn while they wait to be sent.
//!
//! The scheduler keeps an [`OrderGuard`] for each order that it may withdraw, and the order carries an [`OrderWatch`]. The
//! sender asks the watch last, after all waiting for a slot and for a connection.

use std::rc::{Rc, Weak};

/// Keeps an order wanted. Dropping it withdraws the order, which has no effect once the order was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderGuard(Rc<()>);

impl OrderGuard {
    pub(super) fn watch(&self) -> OrderWatch {
        OrderWatch(Some(Rc::downgrade(&self.0)))
    }
}

/// Tells whether an order is still wanted.
#[derive(Clone, Debug, Default)]
pub struct OrderWatch(Option<Weak<()>>);

impl OrderWatch {
    /// A watch of an order that is never withdrawn.
    pub fn always() -> Self {
        OrderWatch(None)
    }

    /// False once the order was withdrawn.
    pub fn is_wanted(&self) -> bool {
        self.0.as_ref().is_none_or(|guard| guard.strong_count() > 0)
    }
}
