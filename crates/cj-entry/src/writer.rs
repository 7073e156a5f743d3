//! The owner's writes to the job log: job progress and heartbeats, one append at a time.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{Log, Record, codec, record::ServiceLoad, sched::OwnershipLease};
use cj_types::{Clock, ServiceId};
use log::warn;
use tokio::sync::Notify;

use crate::{
    member::CellMember,
    outbox::{MIN_OWNER_APPEND_TIMEOUT, append_once, append_timeout},
    platform::{Guard, Platform, StoreError, Topic},
};

/// Time between two heartbeats in the job log.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Records to write.
pub(crate) struct WriteRequest {
    /// Number by which the scheduler identifies the write.
    pub(crate) number: Option<u64>,
    pub(crate) records: Vec<Record>,
}

/// Result of a write.
pub(crate) enum WriterEvent {
    /// The records of the request with this number are durable.
    Written(u64),
    /// Another owner has written.
    Deposed,
}

/// Writes the records of one ownership.
pub(crate) struct Writer<P, C> {
    pub(crate) member: Rc<CellMember<P, C>>,
    pub(crate) epoch: u64,
    requests: RefCell<VecDeque<WriteRequest>>,
    pushed: Notify,
    load: RefCell<Vec<(ServiceId, ServiceLoad)>>,
    sequence: Cell<u64>,
    /// When the last acknowledged heartbeat was first sent; `None` while the ownership has to be confirmed.
    confirmed_at: Cell<Option<Instant>>,
    /// Heartbeats that were first sent before this time don't confirm the ownership.
    confirm_after: Cell<Option<Instant>>,
    heartbeat_due: Cell<Instant>,
    /// Latency of the last answered append.
    latency: Cell<Duration>,
    /// The next append is the last one and releases the ownership.
    releasing: Cell<bool>,
}

impl<P, C> Writer<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// A writer for the ownership `epoch`, whose first heartbeat was sent at `sent`.
    pub(crate) fn new(member: Rc<CellMember<P, C>>, epoch: u64, sent: Instant) -> Rc<Self> {
        let now = member.node.clock.now();
        Rc::new(Writer {
            member,
            epoch,
            requests: RefCell::default(),
            pushed: Notify::new(),
            load: RefCell::default(),
            sequence: Cell::new(1),
            confirmed_at: Cell::new(Some(sent)),
            confirm_after: Cell::new(None),
            heartbeat_due: Cell::new(now),
            latency: Cell::default(),
            releasing: Cell::new(false),
        })
    }

    pub(crate) fn push(&self, request: WriteRequest) {
        self.requests.borrow_mut().push_back(request);
        self.pushed.notify_one();
    }

    pub(crate) fn set_load(&self, load: Vec<(ServiceId, ServiceLoad)>) {
        *self.load.borrow_mut() = load;
    }

    /// The lease from the last acknowledged heartbeat; `None` while the ownership has to be confirmed.
    pub(crate) fn lease(&self) -> Option<OwnershipLease> {
        self.confirmed_at.get().map(OwnershipLease::from_heartbeat)
    }

    /// Suspends the lease until a heartbeat sent at `now` or later is acknowledged.
    pub(crate) fn suspend_until_confirmed(&self, now: Instant) {
        self.confirmed_at.set(None);
        self.confirm_after.set(Some(now));
        self.heartbeat_due.set(now);
        self.pushed.notify_one();
    }

    fn heartbeat(&self, released: bool) -> Record {
        let load = self.load.borrow().clone();
        Record::Owner(self.member.node.owner_heartbeat(self.epoch, released, load))
    }

    /// Writes until the ownership is released, another owner takes over, or the task is dropped.
    pub(crate) async fn run<F>(&self, report: F)
    where
        F: Fn(WriterEvent),
    {
        loop {
            self.wait_for_work().await;
            let requests: Vec<WriteRequest> = self.requests.borrow_mut().drain(..).collect();
            let mut records: Vec<Record> = Vec::new();
            let numbers: Vec<u64> = requests.iter().filter_map(|request| request.number).collect();
            records.extend(requests.into_iter().flat_map(|request| request.records));
            let released = self.releasing.get();
            // In a fleet of several cells, the load is published with the heartbeats in the topic of cells.
            if !self.member.node.has_multiple_cells() {
                let report = self.member.take_load_report();
                records.extend(report.map(|report| Record::Load(Box::new(report))));
            }
            records.push(self.heartbeat(released));
            if !self.append(&records).await {
                return report(WriterEvent::Deposed);
            }
            for number in numbers {
                report(WriterEvent::Written(number));
            }
            if released {
                return;
            }
        }
    }

    /// Waits until a heartbeat is due, records are to be written, or the ownership is to be released.
    async fn wait_for_work(&self) {
        loop {
            let now = self.member.node.clock.now();
            let due = self.heartbeat_due.get();
            if self.releasing.get() || !self.requests.borrow().is_empty() || due <= now {
                return;
            }
            let _ = tokio::time::timeout(due - now, self.pushed.notified()).await;
        }
    }

    /// Appends records, with retries until the store reports a result. Returns false when another owner has written.
    async fn append(&self, records: &[Record]) -> bool {
        let encoded: Vec<_> = records.iter().map(codec::entry).collect();
        let sequence = self.sequence.get();
        let guard = Guard::Owner { epoch: self.epoch, sequence };
        let topic = Topic::Jobs(self.member.id, Log::Jobs);
        let mut unanswered = 0;
        // An unanswered attempt may have taken effect, so other nodes may have read this heartbeat since the first
        // attempt.
        let first = self.member.node.clock.now();
        loop {
            let sent = self.member.node.clock.now();
            let timeout = append_timeout(MIN_OWNER_APPEND_TIMEOUT, self.latency.get());
            let platform = &self.member.node.platform;
            match append_once(platform, topic, &encoded, guard, timeout, unanswered).await {
                Ok(_) => {
                    self.latency.set(self.member.node.clock.now().saturating_duration_since(sent));
                    self.sequence.set(sequence + 1);
                    self.confirm(first);
                    return true;
                }
                // An unanswered attempt took effect, and the store no longer keeps its answer.
                Err(StoreError::Sequence(next)) if unanswered > 0 && next == sequence + 1 => {
                    self.sequence.set(sequence + 1);
                    self.confirm(first);
                    return true;
                }
                Err(StoreError::Refused(cause)) => {
                    warn!(target: "link", "choice=write_again sequence={sequence} cause=\"{cause}\"");
                }
                Err(StoreError::Unanswered(cause)) => {
                    unanswered += 1;
                    warn!(target: "link", "choice=write_again sequence={sequence} cause=\"{cause}\"");
                }
                Err(error) => {
                    warn!(target: "decision", "choice=step_down epoch={} cause=\"{error}\"", self.epoch);
                    return false;
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn confirm(&self, sent: Instant) {
        self.heartbeat_due.set(sent + HEARTBEAT_INTERVAL);
        if self.confirm_after.get().is_none_or(|earliest| sent >= earliest) {
            self.confirmed_at.set(Some(sent));
        }
    }

    /// Writes the remaining records and releases the ownership; the writer then ends.
    pub(crate) fn release(&self) {
        self.releasing.set(true);
        self.pushed.notify_one();
    }
}
