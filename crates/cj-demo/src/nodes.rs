//! Handles to the entry nodes under test: starts, kills, pauses and stops them.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures::future::LocalBoxFuture;
use rand::{Rng, seq::IndexedRandom};

use cj_types::Result;

/// A running entry node.
pub struct NodeHandle {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Terminates the node without a graceful shutdown.
    pub kill: Box<dyn FnOnce()>,
    /// Suspends the node's execution for the given time.
    pub pause: Box<dyn Fn(Duration)>,
    /// Shuts the node down gracefully.
    pub stop: Box<dyn FnOnce() -> LocalBoxFuture<'static, ()>>,
}

/// State of one node, over all its starts.
struct NodeSlot {
    handle: Option<NodeHandle>,
    starts: u64,
    paused_until: Instant,
}

/// A node since a particular start, and its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRef {
    /// Index of the node.
    pub index: usize,
    /// Start number, from 1; a restarted node has a higher one.
    pub start: u64,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

type StartNode = Rc<dyn Fn(usize) -> LocalBoxFuture<'static, Result<NodeHandle>>>;

/// All entry nodes.
pub struct Nodes {
    start_node: StartNode,
    slots: RefCell<Vec<NodeSlot>>,
    restarts: Cell<u64>,
}

impl Nodes {
    /// Starts `count` nodes.
    ///
    /// # Errors
    ///
    /// A node doesn't start.
    pub async fn start(count: usize, start_node: StartNode) -> Result<Rc<Self>> {
        let nodes = Nodes { start_node, slots: RefCell::default(), restarts: Cell::new(0) };
        let now = Instant::now();
        let starts = (0..count).map(|index| (nodes.start_node)(index));
        for handle in futures::future::join_all(starts).await {
            let slot = NodeSlot { handle: Some(handle?), starts: 1, paused_until: now };
            nodes.slots.borrow_mut().push(slot);
        }
        Ok(Rc::new(nodes))
    }

    /// Running nodes, including paused ones.
    pub fn running(&self) -> Vec<NodeRef> {
        let slots = self.slots.borrow();
        let running = slots.iter().enumerate().filter_map(|(index, slot)| {
            let handle = slot.handle.as_ref()?;
            let (callers, operators) = (handle.callers, handle.operators);
            Some(NodeRef { index, start: slot.starts, callers, operators })
        });
        running.collect()
    }

    /// Running nodes that aren't paused.
    pub fn responsive(&self) -> Vec<NodeRef> {
        let now = Instant::now();
        let slots = self.slots.borrow();
        let is_responsive = |node: &NodeRef| slots[node.index].paused_until <= now;
        self.running().into_iter().filter(is_responsive).collect()
    }

    /// Picks a random running node, other than `avoid` if possible.
    pub fn pick<R>(&self, rng: &mut R, avoid: Option<usize>) -> Option<NodeRef>
    where
        R: Rng,
    {
        let running = self.running();
        let others: Vec<&NodeRef> = running.iter().filter(|n| Some(n.index) != avoid).collect();
        others.choose(rng).map(|node| **node).or_else(|| running.first().copied())
    }

    /// Terminates a node without a graceful shutdown.
    pub fn kill(&self, index: usize) {
        let handle = self.slots.borrow_mut()[index].handle.take();
        if let Some(handle) = handle {
            (handle.kill)();
        }
    }

    /// Suspends a node for the given time.
    pub fn pause(&self, index: usize, time: Duration) {
        let slot = &mut self.slots.borrow_mut()[index];
        if let Some(handle) = &slot.handle {
            slot.paused_until = Instant::now() + time;
            (handle.pause)(time);
        }
    }

    /// Starts a killed node again.
    ///
    /// # Errors
    ///
    /// The node doesn't start.
    pub async fn restart(&self, index: usize) -> Result<()> {
        if self.slots.borrow()[index].handle.is_some() {
            return Ok(());
        }
        let handle = (self.start_node)(index).await?;
        let slot = &mut self.slots.borrow_mut()[index];
        slot.handle = Some(handle);
        slot.starts += 1;
        self.restarts.set(self.restarts.get() + 1);
        Ok(())
    }

    /// Shuts down all nodes gracefully. Returns the number of nodes that took longer than `limit`.
    pub async fn stop(&self, limit: Duration) -> u64 {
        let handles: Vec<NodeHandle> =
            self.slots.borrow_mut().iter_mut().filter_map(|slot| slot.handle.take()).collect();
        let stops = handles.into_iter().map(|handle| tokio::time::timeout(limit, (handle.stop)()));
        let stopped = futures::future::join_all(stops).await;
        stopped.iter().filter(|result| result.is_err()).count() as u64
    }
}
