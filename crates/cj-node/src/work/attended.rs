//! Marks jobs that a connection of this node is working on.

use std::rc::Rc;

use cj_types::JobId;

use crate::shared::Shared;

/// Keeps the driver away from a job while it exists.
pub(super) struct Attended<L, C> {
    node: Rc<Shared<L, C>>,
    job: JobId,
}

impl<L, C> Attended<L, C> {
    /// Marks the job.
    pub(super) fn new(node: Rc<Shared<L, C>>, job: JobId) -> Self {
        node.attended.borrow_mut().insert(job.clone());
        Attended { node, job }
    }
}

impl<L, C> Drop for Attended<L, C> {
    fn drop(&mut self) {
        self.node.attended.borrow_mut().remove(&self.job);
    }
}
