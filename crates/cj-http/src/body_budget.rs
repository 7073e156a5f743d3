//! A budget of bytes for the bodies of all requests that a process is receiving or answering.

use std::{
    cell::{Cell, RefCell},
    mem,
    rc::Rc,
    task::Waker,
    time::Duration,
};

use slab::Slab;
use tokio::time::Instant;

/// Bodies up to this size may use the whole budget; larger ones leave [`SMALL_BODIES_DIVISOR`] of it free for them.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// One part in this many of the budget is kept for small bodies.
const SMALL_BODIES_DIVISOR: usize = 4;

/// A buffer grows to twice its size up to this step, and by this step from then on.
const MAX_GROWTH_BYTES: usize = 32 << 10;

/// First capacity of a buffer.
const MIN_CAPACITY: usize = 1 << 10;

/// Minimum time between two log lines about refused bodies.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Limits the memory for request bodies. Clones share the same budget.
///
/// A body is charged with the capacity of its buffer as its bytes arrive, and until its request ends. When the budget is
/// used up, the largest body that is still being received is refused and its buffer freed, so that large bodies which
/// stay incomplete don't keep small ones out.
#[derive(Clone)]
pub struct BodyBudget {
    inner: Rc<Inner>,
}

struct Inner {
    /// Maximum number of bytes.
    limit: usize,
    used: Cell<usize>,
    bodies: RefCell<Slab<Rc<Body>>>,
    refused: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

#[derive(Default)]
struct Body {
    /// Number of bytes that are charged.
    charged: Cell<usize>,
    buffer: RefCell<Vec<u8>>,
    state: Cell<BodyState>,
    /// Woken when the body is refused.
    reader: Cell<Option<Waker>>,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum BodyState {
    #[default]
    Receiving,
    Complete,
    Refused,
}

/// The budget is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverBudget;

/// The body of one request. The bytes are given back when it is dropped.
pub(crate) struct ChargedBody {
    budget: Rc<Inner>,
    key: usize,
    body: Rc<Body>,
}

impl Default for BodyBudget {
    fn default() -> Self {
        BodyBudget::new(usize::MAX)
    }
}

impl BodyBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let inner = Inner {
            limit,
            used: Cell::default(),
            bodies: RefCell::default(),
            refused: Cell::default(),
            logged_at: Cell::default(),
        };
        BodyBudget { inner: Rc::new(inner) }
    }

    /// Number of bytes in use.
    pub fn used(&self) -> usize {
        self.inner.used.get()
    }

    /// Number of bodies refused so far.
    pub fn refused(&self) -> u64 {
        self.inner.refused.get()
    }

    pub(crate) fn start_body(&self) -> ChargedBody {
        let body = Rc::<Body>::default();
        let key = self.inner.bodies.borrow_mut().insert(body.clone());
        ChargedBody { budget: self.inner.clone(), key, body }
    }
}

impl Inner {
    /// Maximum number of bytes in use when a body of this size is charged.
    fn limit_for(&self, size: usize) -> usize {
        let kept = if size > SMALL_BODY_BYTES { self.limit / SMALL_BODIES_DIVISOR } else { 0 };
        self.limit - kept
    }

    /// Charges a body that grows to `size`. Refuses larger ones until there is room.
    fn charge(&self, body: &Body, size: usize) -> Result<(), OverBudget> {
        let added = size - body.charged.get();
        while self.used.get().saturating_add(added) > self.limit_for(size) {
            let largest = self.largest_incomplete().filter(|other| other.charged.get() > size);
            match largest {
                Some(other) => self.refuse(&other),
                None => {
                    self.refuse(body);
                    return Err(OverBudget);
                }
            }
        }
        self.used.set(self.used.get() + added);
        body.charged.set(size);
        Ok(())
    }

    fn largest_incomplete(&self) -> Option<Rc<Body>> {
        let bodies = self.bodies.borrow();
        let incomplete =
            bodies.iter().map(|(_, body)| body).filter(|b| b.state.get() == BodyState::Receiving);
        incomplete.max_by_key(|body| body.charged.get()).cloned()
    }

    /// Refuses a body that is being received, and frees its buffer.
    fn refuse(&self, body: &Body) {
        body.state.set(BodyState::Refused);
        drop(mem::take(&mut *body.buffer.borrow_mut()));
        self.give_back(body);
        if let Some(reader) = body.reader.take() {
            reader.wake();
        }
        self.refused.set(self.refused.get() + 1);
        let now = Instant::now();
        if self.logged_at.get().is_none_or(|at| now - at >= LOG_INTERVAL) {
            self.logged_at.set(Some(now));
            log::warn!(
                target: "process", "choice=refuse_body reason=memory total={} used={} limit={}",
                self.refused.get(), self.used.get(), self.limit
            );
        }
    }

    fn give_back(&self, body: &Body) {
        self.used.set(self.used.get() - body.charged.replace(0));
    }
}

impl ChargedBody {
    /// Appends a part of a body of at most `max_size` bytes.
    ///
    /// # Errors
    ///
    /// [`OverBudget`] when this body is refused.
    pub(crate) fn append(&self, part: &[u8], max_size: usize) -> Result<(), OverBudget> {
        if self.is_refused() {
            return Err(OverBudget);
        }
        let (length, capacity) = {
            let buffer = self.body.buffer.borrow();
            (buffer.len() + part.len(), buffer.capacity())
        };
        if length > capacity {
            let grown = capacity + capacity.clamp(MIN_CAPACITY, MAX_GROWTH_BYTES);
            let size = grown.min(max_size).max(length);
            self.budget.charge(&self.body, size)?;
            let mut buffer = self.body.buffer.borrow_mut();
            let added = size - buffer.len();
            buffer.reserve_exact(added);
        }
        self.body.buffer.borrow_mut().extend_from_slice(part);
        Ok(())
    }

    /// Charges `bytes` beside the buffer.
    ///
    /// # Errors
    ///
    /// [`OverBudget`] when there is no room for them.
    pub(crate) fn add(&self, bytes: usize) -> Result<(), OverBudget> {
        self.budget.charge(&self.body, self.body.charged.get() + bytes)
    }

    /// True when the body was refused in favour of a smaller one.
    pub(crate) fn is_refused(&self) -> bool {
        self.body.state.get() == BodyState::Refused
    }

    /// Wakes the reader when the body is refused.
    pub(crate) fn set_reader(&self, waker: &Waker) {
        self.body.reader.set(Some(waker.clone()));
    }

    /// The complete body. It stays charged.
    pub(crate) fn complete(&self) -> Vec<u8> {
        self.body.state.set(BodyState::Complete);
        self.body.reader.take();
        mem::take(&mut *self.body.buffer.borrow_mut())
    }
}

impl Drop for ChargedBody {
    fn drop(&mut self) {
        self.budget.give_back(&self.body);
        self.budget.bodies.borrow_mut().remove(self.key);
    }
}
