//! The owner's writes: progress and heartbeats, one append at a time.

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
    outbox::{OWNER_PATIENCE, append_once, patience},
    platform::{Guard, Platform, StoreError, Topic},
};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Pause before an append is repeated.
const RETRY: Duration = Duration::from_millis(120);

/// Records to be written.
pub(crate) struct WriteJob {
    /// Number under which the scheduler hears of the write.
    pub(crate) number: Option<u64>,
    pub(crate) records: Vec<Record>,
}

/// What became of a write.
pub(crate) enum WriterEvent {
    /// The records of the job with this number are durable.
    Written(u64),
    /// Another owner has written.
    Deposed,
}

/// Writes for one ownership.
pub(crate) struct Writer<P, C> {
    pub(crate) member: Rc<CellMember<P, C>>,
    pub(crate) epoch: u64,
    jobs: RefCell<VecDeque<WriteJob>>,
    pushed: Notify,
    load: RefCell<Vec<(ServiceId, ServiceLoad)>>,
    sequence: Cell<u64>,
    /// When the last acknowledged heartbeat was first sent.
    confirmed: Cell<Option<Instant>>,
    /// Heartbeats sent before this confirm nothing.
    not_before: Cell<Option<Instant>>,
    beat_due: Cell<Instant>,
    /// How long the last answered append took.
    latency: Cell<Duration>,
    /// The next append is the last one, and says that ownership is free.
    closing: Cell<bool>,
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
            jobs: RefCell::default(),
            pushed: Notify::new(),
            load: RefCell::default(),
            sequence: Cell::new(1),
            confirmed: Cell::new(Some(sent)),
            not_before: Cell::new(None),
            beat_due: Cell::new(now),
            latency: Cell::default(),
            closing: Cell::new(false),
        })
    }

    pub(crate) fn push(&self, job: WriteJob) {
        self.jobs.borrow_mut().push_back(job);
        self.pushed.notify_one();
    }

    pub(crate) fn set_load(&self, load: Vec<(ServiceId, ServiceLoad)>) {
        *self.load.borrow_mut() = load;
    }

    /// How long the owner may act; `None` while its ownership has to be confirmed.
    pub(crate) fn permission(&self) -> Option<OwnershipLease> {
        self.confirmed.get().map(OwnershipLease::from_heartbeat)
    }

    /// Only a heartbeat sent from now on confirms the ownership.
    pub(crate) fn hold_until_confirmed(&self, now: Instant) {
        self.confirmed.set(None);
        self.not_before.set(Some(now));
        self.beat_due.set(now);
        self.pushed.notify_one();
    }

    fn beat(&self, released: bool) -> Record {
        let load = self.load.borrow().clone();
        Record::Owner(self.member.node.beat(self.epoch, released, load))
    }

    /// Writes until it is closed, another owner takes over, or the task is dropped.
    pub(crate) async fn run<F>(&self, report: F)
    where
        F: Fn(WriterEvent),
    {
        loop {
            self.wait_for_work().await;
            let jobs: Vec<WriteJob> = self.jobs.borrow_mut().drain(..).collect();
            let mut records: Vec<Record> = Vec::new();
            let numbers: Vec<u64> = jobs.iter().filter_map(|job| job.number).collect();
            records.extend(jobs.into_iter().flat_map(|job| job.records));
            let released = self.closing.get();
            records.push(self.beat(released));
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

    /// Waits until a heartbeat is due or records are to be written.
    async fn wait_for_work(&self) {
        loop {
            let now = self.member.node.clock.now();
            let due = self.beat_due.get();
            if self.closing.get() || !self.jobs.borrow().is_empty() || due <= now {
                return;
            }
            let _ = tokio::time::timeout(due - now, self.pushed.notified()).await;
        }
    }

    /// Appends records, repeatedly until the store tells what became of them. Returns false when another owner has written.
    async fn append(&self, records: &[Record]) -> bool {
        let encoded: Vec<_> = records.iter().map(codec::entry).collect();
        let sequence = self.sequence.get();
        let guard = Guard::Owner { epoch: self.epoch, sequence };
        let topic = Topic::Jobs(self.member.id, Log::Jobs);
        let mut unanswered = 0;
        // An unanswered try may have taken effect, so others may have heard this heartbeat since the first one.
        let first = self.member.node.clock.now();
        loop {
            let sent = self.member.node.clock.now();
            let patience = patience(OWNER_PATIENCE, self.latency.get());
            let platform = &self.member.node.platform;
            match append_once(platform, topic, &encoded, guard, patience, unanswered).await {
                Ok(_) => {
                    self.latency.set(self.member.node.clock.now().saturating_duration_since(sent));
                    self.sequence.set(sequence + 1);
                    self.confirm(first);
                    return true;
                }
                // An unanswered append took effect, and its answer is no longer kept.
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
            tokio::time::sleep(RETRY).await;
        }
    }

    fn confirm(&self, sent: Instant) {
        self.beat_due.set(sent + HEARTBEAT);
        if self.not_before.get().is_none_or(|earliest| sent >= earliest) {
            self.confirmed.set(Some(sent));
        }
    }

    /// Writes what is left and that ownership is free; the writer then ends.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        self.pushed.notify_one();
    }
}
