//! Batches the appends of a node's callers.
//!
//! The store serialises the appends to a topic. When it is slow, appends of single records queue up there until they
//! time out. Each node therefore has one append in flight, with all pending records, which limits the queue to the
//! number of nodes. With many nodes that is still too long, so a node whose appends are slow switches to one of a few
//! overflow logs. They are not used otherwise, since every follower of the cell has to read them all.

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

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 200;

/// Delay before an unanswered append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// An append without an answer for this long shows that the store is unreachable; further callers are refused.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_300);

/// Minimum timeout of an append for callers. All nodes append to one topic, so retries of all of them would only make
/// the queue of a slow store longer.
const MIN_CALLER_APPEND_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Minimum timeout of an append by the owner. It is shorter because there is only one owner and its heartbeats must not
/// be late.
pub(crate) const MIN_OWNER_APPEND_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum timeout of an append.
const MAX_APPEND_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The timeout of an append is this multiple of the latency of the last one.
const TIMEOUT_LATENCY_FACTOR: u32 = 4;

/// Makes one attempt at an append that is safe to repeat, and gives up when the answer seems lost, since waiting longer
/// only delays the retry. The timeout is `append_timeout` at first and doubles with each of the `failed_attempts`
/// before this one, up to [`MAX_APPEND_TIMEOUT`], in case the store is slow.
pub(crate) async fn append_once<P>(
    platform: &P,
    topic: Topic,
    records: &[(CompactString, Vec<u8>)],
    guard: Guard,
    append_timeout: Duration,
    failed_attempts: u32,
) -> Result<u64, StoreError>
where
    P: Platform,
{
    let limit = (append_timeout * 2_u32.pow(failed_attempts.min(3))).min(MAX_APPEND_TIMEOUT);
    let call = platform.append(topic, records, guard);
    let timed_out = || StoreError::Unanswered(CompactString::const_new("given up"));
    tokio::time::timeout(limit, call).await.unwrap_or_else(|_| Err(timed_out()))
}

/// Timeout of an append: a multiple of the last `latency`, at least `min`.
pub(crate) fn append_timeout(min: Duration, latency: Duration) -> Duration {
    (latency * TIMEOUT_LATENCY_FACTOR).clamp(min, MAX_APPEND_TIMEOUT)
}

/// A node whose last append took longer than this switches to its overflow log.
const OVERFLOW_LATENCY: Duration = Duration::from_millis(250);

/// A node returns to the job log once an append to its overflow log took less than this.
const RETURN_LATENCY: Duration = Duration::from_millis(60);

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendOutcome {
    /// The record is durable.
    Durable,
    /// Nothing was stored.
    Refused,
    /// The result is unknown; the record may still become durable.
    Unknown,
}

struct PendingRecord {
    record: (CompactString, Vec<u8>),
    done: oneshot::Sender<AppendOutcome>,
}

/// Records waiting to be appended. All of them are idempotent: appending one again changes nothing.
pub struct Outbox {
    /// The cell whose jobs the records are about.
    cell: CellId,
    /// Log for records while the job log is slow.
    overflow: Log,
    /// Log for the next append.
    log: Cell<Log>,
    pending: RefCell<Vec<PendingRecord>>,
    pushed: Notify,
    /// When the append in flight was first sent.
    in_flight_since: Cell<Option<Instant>>,
    /// Latency of the last append, or how long it has been unanswered.
    latency: Cell<Duration>,
    /// When that latency was recorded.
    latency_at: Cell<Option<Instant>>,
}

impl Outbox {
    /// An empty outbox. The hash of the node's name selects its overflow log.
    pub fn new(node: &NodeId, cell: CellId) -> Self {
        let mut hasher = DefaultHasher::new();
        node.hash(&mut hasher);
        Outbox {
            cell,
            overflow: Log::Overflow((hasher.finish() % u64::from(OVERFLOW_LOGS)) as u8),
            log: Cell::new(Log::Jobs),
            pending: RefCell::default(),
            pushed: Notify::new(),
            in_flight_since: Cell::default(),
            latency: Cell::default(),
            latency_at: Cell::default(),
        }
    }

    /// Records the latency of an append, or how long it has been unanswered, and selects the log of the next one.
    fn record_latency(&self, latency: Duration, now: Instant) {
        self.latency.set(latency);
        self.latency_at.set(Some(now));
        let log = self.log.get();
        let next = match log {
            Log::Jobs if latency > OVERFLOW_LATENCY => self.overflow,
            Log::Overflow(_) if latency < RETURN_LATENCY => Log::Jobs,
            _ => return,
        };
        self.log.set(next);
        info!(target: "decision", "cell={} choice=change_log from={log} to={next} latency_ms={}", self.cell, latency.as_millis());
    }

    /// True when the append in flight has been unanswered for longer than [`STALL_THRESHOLD`].
    pub(crate) fn is_stalled(&self, now: Instant) -> bool {
        self.in_flight_since
            .get()
            .is_some_and(|sent| now.saturating_duration_since(sent) > STALL_THRESHOLD)
    }

    /// When the latency of the last append was recorded, and that latency.
    pub(crate) fn last_append(&self) -> (Option<Instant>, Duration) {
        (self.latency_at.get(), self.latency.get())
    }

    /// Queues a record. The receiver gets the result once it is known.
    pub(crate) fn push(
        &self,
        record: (CompactString, Vec<u8>),
    ) -> oneshot::Receiver<AppendOutcome> {
        let (done, receiver) = oneshot::channel();
        self.pending.borrow_mut().push(PendingRecord { record, done });
        self.pushed.notify_one();
        receiver
    }

    /// Appends queued records until the task is dropped.
    pub(crate) async fn run<P, C>(&self, platform: &P, clock: &C)
    where
        P: Platform,
        C: Clock,
    {
        loop {
            if self.pending.borrow().is_empty() {
                self.pushed.notified().await;
                continue;
            }
            let batch: Vec<PendingRecord> = {
                let mut pending = self.pending.borrow_mut();
                let count = pending.len().min(MAX_BATCH_RECORDS);
                pending.drain(..count).collect()
            };
            self.append(platform, clock, batch).await;
        }
    }

    /// Appends a batch, with retries until the result is known or no caller waits for it any more.
    async fn append<P, C>(&self, platform: &P, clock: &C, batch: Vec<PendingRecord>)
    where
        P: Platform,
        C: Clock,
    {
        let records: Vec<_> = batch.iter().map(|pending| pending.record.clone()).collect();
        self.in_flight_since.set(Some(clock.now()));
        let mut unanswered = 0;
        let outcome = loop {
            let sent = clock.now();
            let timeout = append_timeout(MIN_CALLER_APPEND_TIMEOUT, self.latency.get());
            let topic = Topic::Jobs(self.cell, self.log.get());
            let answer =
                append_once(platform, topic, &records, Guard::None, timeout, unanswered).await;
            let took = clock.now().saturating_duration_since(sent);
            match answer {
                Ok(_) => {
                    self.record_latency(took, clock.now());
                    break AppendOutcome::Durable;
                }
                Err(StoreError::Unanswered(cause)) => {
                    self.record_latency(took.max(self.latency.get()), clock.now());
                    unanswered += 1;
                    warn!(target: "link", "choice=append_again records={} cause=\"{cause}\"", records.len());
                }
                // An earlier attempt may still be carried out, so this refusal doesn't mean that nothing is stored.
                Err(_) if unanswered > 0 => {}
                Err(cause) => {
                    warn!(target: "link", "choice=refuse records={} cause=\"{cause}\"", records.len());
                    break AppendOutcome::Refused;
                }
            }
            if batch.iter().all(|pending| pending.done.is_closed()) {
                break AppendOutcome::Unknown;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        self.in_flight_since.set(None);
        for pending in batch {
            // Sending fails if the caller's deadline has passed and it no longer waits.
            let _ = pending.done.send(outcome);
        }
    }
}
