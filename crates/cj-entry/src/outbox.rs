//! Groups the appends of a node's callers.
//!
//! The store takes the appends of a topic one after the other. When it is slow, appends of single records queue up there
//! until they time out; one append at a time with all that waits keeps the queue as short as there are nodes. With many
//! nodes that is still too long, so a node whose appends are slow goes over to one of a few overflow logs. They are not
//! used otherwise, since every node has to read them all.

use std::{
    cell::{Cell, RefCell},
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use cj_sched::{Log, OVERFLOW_LOGS};
use cj_types::{Clock, NodeId};
use compact_str::CompactString;
use log::{info, warn};
use tokio::sync::{Notify, oneshot};

use crate::{
    layout::CellId,
    platform::{Guard, Platform, StoreError, Topic},
};

/// Most records in one append.
const BATCH_RECORDS: usize = 200;

/// Pause before an append without an answer is repeated.
const RETRY: Duration = Duration::from_millis(100);

/// An append that isn't answered within this time shows that the store is out of reach: further callers are refused.
const STALLED: Duration = Duration::from_millis(1_300);

/// Least time for the answer to an append of callers. All nodes append to one topic: when the store is slow, repetitions of
/// all of them only make its queue longer.
const CALLER_PATIENCE: Duration = Duration::from_millis(1_200);

/// Least time for the answer to an append of the owner, of which there is one. Its heartbeats must not be late.
pub(crate) const OWNER_PATIENCE: Duration = Duration::from_millis(600);

/// Most time for the answer to an append.
const MOST_PATIENCE: Duration = Duration::from_millis(2_200);

/// An append is given up after this multiple of the time that the last one took.
const PATIENCE_FACTOR: u32 = 4;

/// Makes an append that may safely be repeated, and gives it up when its answer seems lost: waiting longer only delays the
/// repetition. It waits for `patience` at first. `tries` counts the ones before that weren't answered; each doubles the
/// time, in case the store is slow.
pub(crate) async fn append_once<P>(
    platform: &P,
    topic: Topic,
    records: &[(CompactString, Vec<u8>)],
    guard: Guard,
    patience: Duration,
    tries: u32,
) -> Result<u64, StoreError>
where
    P: Platform,
{
    let limit = (patience * 2_u32.pow(tries.min(3))).min(MOST_PATIENCE);
    let call = platform.append(topic, records, guard);
    let late = || StoreError::Unanswered(CompactString::const_new("given up"));
    tokio::time::timeout(limit, call).await.unwrap_or_else(|_| Err(late()))
}

/// Time for the answer to an append, at least `least`, where the last one took `latency`.
pub(crate) fn patience(least: Duration, latency: Duration) -> Duration {
    (latency * PATIENCE_FACTOR).clamp(least, MOST_PATIENCE)
}

/// A node whose last append took longer than this uses its overflow log.
const OVERFLOW_LATENCY: Duration = Duration::from_millis(250);

/// A node returns to the log of jobs once an append to its overflow log took less than this.
const RETURN_LATENCY: Duration = Duration::from_millis(60);

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Appended {
    /// The record is durable.
    Durable,
    /// Nothing was stored.
    Refused,
    /// An answer is missing; the record may become durable later.
    Unknown,
}

struct Waiting {
    record: (CompactString, Vec<u8>),
    done: oneshot::Sender<Appended>,
}

/// Records that wait for their append. A repeated append of any of them changes nothing.
pub struct Outbox {
    /// The cell whose jobs the records are about.
    cell: CellId,
    /// Log for records while the log of jobs is slow.
    overflow: Log,
    /// Log for the next append.
    log: Cell<Log>,
    waiting: RefCell<Vec<Waiting>>,
    pushed: Notify,
    /// When the append on its way was first sent.
    sent: Cell<Option<Instant>>,
    /// How long the last answered append took.
    latency: Cell<Duration>,
    /// When that was noted.
    noted: Cell<Option<Instant>>,
}

impl Outbox {
    /// An outbox without records. The node's name decides which overflow log it uses.
    pub fn new(node: &NodeId, cell: CellId) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        Outbox {
            cell,
            overflow: Log::Overflow((hasher.finish() % u64::from(OVERFLOW_LOGS)) as u8),
            log: Cell::new(Log::Jobs),
            waiting: RefCell::default(),
            pushed: Notify::new(),
            sent: Cell::default(),
            latency: Cell::default(),
            noted: Cell::default(),
        }
    }

    /// Takes note of how long an append took, or has waited for an answer, and decides on the log of the next one.
    fn note_latency(&self, latency: Duration, now: Instant) {
        self.latency.set(latency);
        self.noted.set(Some(now));
        let log = self.log.get();
        let next = match log {
            Log::Jobs if latency > OVERFLOW_LATENCY => self.overflow,
            Log::Overflow(_) if latency < RETURN_LATENCY => Log::Jobs,
            _ => return,
        };
        self.log.set(next);
        info!(target: "decision", "cell={} choice=change_log from={log} to={next} latency_ms={}", self.cell, latency.as_millis());
    }

    /// True when an append has waited for its answer for long.
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        self.sent.get().is_some_and(|sent| now.saturating_duration_since(sent) > STALLED)
    }

    /// When the last append was answered, and how long it took.
    pub(crate) fn last_append(&self) -> (Option<Instant>, Duration) {
        (self.noted.get(), self.latency.get())
    }

    /// Queues a record. The receiver hears what became of it, when the store has told.
    pub(crate) fn push(&self, record: (CompactString, Vec<u8>)) -> oneshot::Receiver<Appended> {
        let (done, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(Waiting { record, done });
        self.pushed.notify_one();
        receiver
    }

    /// Appends what waits, until the task is dropped.
    pub(crate) async fn run<P, C>(&self, platform: &P, clock: &C)
    where
        P: Platform,
        C: Clock,
    {
        loop {
            if self.waiting.borrow().is_empty() {
                self.pushed.notified().await;
                continue;
            }
            let batch: Vec<Waiting> = {
                let mut waiting = self.waiting.borrow_mut();
                let most = waiting.len().min(BATCH_RECORDS);
                waiting.drain(..most).collect()
            };
            self.append(platform, clock, batch).await;
        }
    }

    /// Appends a batch, repeatedly while someone waits and the store doesn't tell what became of it.
    async fn append<P, C>(&self, platform: &P, clock: &C, batch: Vec<Waiting>)
    where
        P: Platform,
        C: Clock,
    {
        let records: Vec<_> = batch.iter().map(|waiting| waiting.record.clone()).collect();
        self.sent.set(Some(clock.now()));
        let mut unanswered = 0;
        let outcome = loop {
            let sent = clock.now();
            let patience = patience(CALLER_PATIENCE, self.latency.get());
            let topic = Topic::Jobs(self.cell, self.log.get());
            let answer =
                append_once(platform, topic, &records, Guard::None, patience, unanswered).await;
            let took = clock.now().saturating_duration_since(sent);
            match answer {
                Ok(_) => {
                    self.note_latency(took, clock.now());
                    break Appended::Durable;
                }
                Err(StoreError::Unanswered(cause)) => {
                    self.note_latency(took.max(self.latency.get()), clock.now());
                    unanswered += 1;
                    warn!(target: "link", "choice=append_again records={} cause=\"{cause}\"", records.len());
                }
                // An earlier append may still be carried out, so this refusal doesn't say that nothing is stored.
                Err(_) if unanswered > 0 => {}
                Err(cause) => {
                    warn!(target: "link", "choice=refuse records={} cause=\"{cause}\"", records.len());
                    break Appended::Refused;
                }
            }
            if batch.iter().all(|waiting| waiting.done.is_closed()) {
                break Appended::Unknown;
            }
            tokio::time::sleep(RETRY).await;
        };
        self.sent.set(None);
        for waiting in batch {
            // A caller whose time has passed doesn't listen any more.
            let _ = waiting.done.send(outcome);
        }
    }
}
