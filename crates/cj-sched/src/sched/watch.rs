//! Commands that are withdrawn while they wait to be sent.
//!
//! The scheduler keeps a [`CommandGuard`] for each command that it may withdraw, and the command carries a
//! [`CommandWatch`]. The sender asks the watch last, after all waiting for a slot and for a connection.

use std::rc::{Rc, Weak};

/// Keeps a command wanted. Dropping it withdraws the command, which has no effect once the command was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct CommandGuard(Rc<()>);

impl CommandGuard {
    pub(super) fn watch(&self) -> CommandWatch {
        CommandWatch(Some(Rc::downgrade(&self.0)))
    }
}

/// Tells whether a command is still wanted.
#[derive(Clone, Debug, Default)]
pub struct CommandWatch(Option<Weak<()>>);

impl CommandWatch {
    /// A watch of a command that is never withdrawn.
    pub fn always() -> Self {
        CommandWatch(None)
    }

    /// False once the command was withdrawn.
    pub fn is_wanted(&self) -> bool {
        self.0.as_ref().is_none_or(|guard| guard.strong_count() > 0)
    }
}
