//! Guard that marks a job as being processed by this node.

use std::rc::Rc;

use cj_types::JobId;

use crate::context::NodeContext;

/// Keeps the driver from acting on a job for as long as the guard exists.
pub(super) struct JobGuard<L, C> {
    node: Rc<NodeContext<L, C>>,
    job: JobId,
}

impl<L, C> JobGuard<L, C> {
    /// Adds the job to the active jobs of the node; dropping the guard removes it.
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
