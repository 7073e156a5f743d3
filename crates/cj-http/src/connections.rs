//! The open connections of a listener, at most a fixed number.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use slab::Slab;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use crate::connection::Activity;

/// Time between two searches for a connection to close while all are at work.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// The open connections.
pub(crate) struct Connections {
    slots: Arc<Semaphore>,
    open: Rc<RefCell<Slab<Rc<Activity>>>>,
}

/// A connection that counts as open until it is dropped.
pub(crate) struct OpenConnection {
    open: Rc<RefCell<Slab<Rc<Activity>>>>,
    key: usize,
    _slot: OwnedSemaphorePermit,
}

impl Connections {
    pub(crate) fn new(max_connections: usize) -> Self {
        Connections { slots: Arc::new(Semaphore::new(max_connections)), open: Rc::default() }
    }

    /// Room for a connection that has been accepted. When all is taken, the connection that has been idle for the longest
    /// time is closed.
    pub(crate) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = self.slots.clone().try_acquire_owned() {
            return Some(permit);
        }
        loop {
            self.close_longest_idle();
            let slot = self.slots.clone().acquire_owned();
            if let Ok(permit) = tokio::time::timeout(SEARCH_INTERVAL, slot).await {
                return permit.ok();
            }
        }
    }

    pub(crate) fn insert(
        &self,
        activity: Rc<Activity>,
        slot: OwnedSemaphorePermit,
    ) -> OpenConnection {
        let key = self.open.borrow_mut().insert(activity);
        OpenConnection { open: self.open.clone(), key, _slot: slot }
    }

    fn close_longest_idle(&self) {
        let now = Instant::now();
        let open = self.open.borrow();
        let idle =
            open.iter().filter_map(|(_, activity)| Some((activity.idle_since(now)?, activity)));
        if let Some((_, activity)) = idle.min_by_key(|(since, _)| *since) {
            activity.close();
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(self.key);
    }
}
