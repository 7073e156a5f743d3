//! Marks jobs that a connection of this node is working on.

use std::rc::Rc;

use cj_types::JobId;

use crate::context::NodeContext;

/// Keeps the driver away from a job while it exists.
pub(super) struct JobGuard<L, C> {
    node: Rc<NodeContext<L, C>>,
    job: JobId,
}

impl<L, C> JobGuard<L, C> {
    /// Marks the job.
    pub(super) fn new(node: Rc<NodeContext<L, C>>, job: JobId) -> Self {
        node.active_jobs.borrow_mut().insert(job.clone());
        JobGuard { node, job }
    }
}

impl<L, C> Drop for JobGuard<L, C> {
    fn drop(&mut self) {
        self.node.active_jobs.borrow_mut().remove(&self.job);
    }
}
