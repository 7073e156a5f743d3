//! In-memory log with fault injection, for tests and benchmarks.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use cj_types::{Error, ErrorKind, Offset, Result, StreamId};

use crate::service::{LogService, ReadPage};

const SERVICE: &str = "memory log";
/// Time after which an unanswered call fails.
const DOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Faults injected into the calls of one handle. Probabilities range from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InjectedFaults {
    /// Appends get no response and have no effect.
    pub append_down: bool,
    /// Reads get no response.
    pub read_down: bool,
    /// Delay of every read and every append; for an append, half of it before and half after it takes effect.
    pub delay: Duration,
    /// Probability that an append is refused without effect.
    pub refuse: f64,
    /// Probability that an append gets no response and has no effect.
    pub lose_request: f64,
    /// Probability that an append takes effect and gets no response.
    pub lose_response: f64,
    /// Probability that an append is acknowledged but not stored.
    pub lose_acknowledged: f64,
    /// Probability that an append is stored a second time after `duplicate_delay`.
    pub duplicate: f64,
    /// Delay of the duplicate.
    pub duplicate_delay: Duration,
    /// Probability that a record of a page is corrupted in transit.
    pub corrupt: f64,
    /// Probability that a page arrives truncated and can't be decoded.
    pub truncate: f64,
}

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Vec<u8>>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}

/// Duplicate of a record that is stored later.
struct DelayedRecord {
    due: Instant,
    stream: StreamId,
    record: Vec<u8>,
}

struct Shared {
    streams: RefCell<BTreeMap<StreamId, Stream>>,
    delayed: RefCell<Vec<DelayedRecord>>,
    rng: RefCell<Pcg64Mcg>,
    appended: Notify,
    append_count: Cell<u64>,
    read_bytes: Cell<u64>,
    /// Shortest time between two appends; zero without a rate limit.
    append_interval: Cell<Duration>,
    /// Time of the latest append that the rate limit has scheduled.
    last_turn: Cell<Option<Instant>>,
    /// Records retained per stream; all of them when `None`.
    retention: Cell<Option<u64>>,
}

/// In-memory log. Clones share the streams and the injected faults; [`MemoryLog::new_handle`] returns a handle on the
/// same streams with faults of its own.
#[derive(Clone)]
pub struct MemoryLog {
    shared: Rc<Shared>,
    faults: Rc<RefCell<InjectedFaults>>,
}

impl MemoryLog {
    /// Creates an empty log; `seed` seeds the random choice of faulty calls.
    pub fn new(seed: u64) -> Self {
        let shared = Shared {
            streams: RefCell::default(),
            delayed: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            appended: Notify::new(),
            append_count: Cell::new(0),
            read_bytes: Cell::new(0),
            append_interval: Cell::default(),
            last_turn: Cell::default(),
            retention: Cell::default(),
        };
        MemoryLog { shared: Rc::new(shared), faults: Rc::default() }
    }

    /// Returns a handle on the same streams without faults, whose faults are set separately.
    pub fn new_handle(&self) -> Self {
        MemoryLog { shared: self.shared.clone(), faults: Rc::default() }
    }

    /// Replaces the faults of this handle and its clones.
    pub fn set_faults(&self, faults: InjectedFaults) {
        *self.faults.borrow_mut() = faults;
    }

    /// Limits the appends of all handles together to `per_second`; further appends wait.
    pub fn set_append_rate(&self, per_second: u32) {
        self.shared.append_interval.set(Duration::from_secs(1) / per_second.max(1));
    }

    /// Retains only the newest `records` records of each stream.
    pub fn set_retention(&self, records: u64) {
        self.shared.retention.set(Some(records));
    }

    /// Drops the records before `oldest`.
    pub fn trim(&self, stream: &StreamId, oldest: Offset) {
        let mut streams = self.shared.streams.borrow_mut();
        let stream = streams.entry(stream.clone()).or_default();
        while stream.oldest < oldest.0 && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Drops the records from `end` on, like a log that lost its newest data.
    pub fn drop_tail(&self, stream: &StreamId, end: Offset) {
        let mut streams = self.shared.streams.borrow_mut();
        let stream = streams.entry(stream.clone()).or_default();
        stream.records.truncate(end.0.saturating_sub(stream.oldest) as usize);
    }

    /// Stores a record immediately, without injected faults.
    pub fn store(&self, stream: &StreamId, record: Vec<u8>) -> Offset {
        let shared = &self.shared;
        shared.append_count.set(shared.append_count.get() + 1);
        let mut streams = shared.streams.borrow_mut();
        let stream = streams.entry(stream.clone()).or_default();
        let offset = stream.end();
        stream.records.push_back(record);
        if let Some(keep) = shared.retention.get() {
            while stream.records.len() as u64 > keep {
                stream.records.pop_front();
                stream.oldest += 1;
            }
        }
        shared.appended.notify_waiters();
        Offset(offset)
    }

    /// All retained records of a stream.
    pub fn records(&self, stream: &StreamId) -> Vec<(Offset, Vec<u8>)> {
        let streams = self.shared.streams.borrow();
        let Some(stream) = streams.get(stream) else { return Vec::new() };
        (stream.oldest..).map(Offset).zip(stream.records.iter().cloned()).collect()
    }

    /// Number of records stored so far, in all streams.
    pub fn append_count(&self) -> u64 {
        self.shared.append_count.get()
    }

    /// Bytes of records returned by reads so far.
    pub fn read_bytes(&self) -> u64 {
        self.shared.read_bytes.get()
    }

    fn should_inject(&self, probability: f64) -> bool {
        probability > 0.0 && self.shared.rng.borrow_mut().random_bool(probability.min(1.0))
    }

    fn store_delayed(&self) {
        let now = Instant::now();
        let due = |record: &mut DelayedRecord| record.due <= now;
        let ready: Vec<DelayedRecord> =
            self.shared.delayed.borrow_mut().extract_if(.., due).collect();
        for delayed in ready {
            self.store(&delayed.stream, delayed.record);
        }
    }

    async fn wait_turn(&self) {
        let shared = &self.shared;
        if shared.append_interval.get().is_zero() {
            return;
        }
        let now = Instant::now();
        let turn =
            shared.last_turn.get().map_or(now, |at| at.max(now)) + shared.append_interval.get();
        shared.last_turn.set(Some(turn));
        sleep_until(turn).await;
    }

    fn page(&self, stream: &StreamId, from: Offset, max_bytes: usize) -> Result<ReadPage> {
        let streams = self.shared.streams.borrow();
        let Some(found) = streams.get(stream) else { return Ok(ReadPage::default()) };
        if from.0 < found.oldest {
            return Err(gap_error(stream, from, Offset(found.oldest)));
        }
        let mut page = ReadPage {
            oldest: Offset(found.oldest),
            end: Offset(found.end()),
            records: Vec::new(),
        };
        let mut bytes = 0;
        for (record, offset) in
            found.records.iter().skip((from.0 - found.oldest) as usize).zip(from.0..)
        {
            bytes += record.len();
            if bytes > max_bytes && !page.records.is_empty() {
                break;
            }
            page.records.push((Offset(offset), record.clone()));
        }
        Ok(page)
    }

    fn corrupt_records(&self, page: &mut ReadPage) {
        let probability = self.faults.borrow().corrupt;
        for (_, record) in &mut page.records {
            if !record.is_empty() && self.should_inject(probability) {
                let mut rng = self.shared.rng.borrow_mut();
                let at = rng.random_range(0..record.len());
                record[at] ^= rng.random_range(1..=255u8);
            }
        }
    }
}

/// Error for records that are no longer retained.
pub(crate) fn gap_error(stream: &StreamId, wanted: Offset, oldest: Offset) -> Error {
    let kind =
        ErrorKind::Gap { stream: stream.as_str().into(), wanted: wanted.0, oldest: oldest.0 };
    Error::new(kind, "restart the node so that it loads the newest snapshot")
}

fn unanswered(reason: &str) -> Error {
    let kind = ErrorKind::Unanswered { service: SERVICE, reason: reason.into() };
    Error::new(kind, "check that the log is reachable")
}

impl LogService for MemoryLog {
    async fn append(&self, stream: &StreamId, record: Vec<u8>) -> Result<Offset> {
        let faults = self.faults.borrow().clone();
        if faults.append_down {
            sleep(DOWN_TIMEOUT).await;
            return Err(unanswered("the log is down"));
        }
        sleep(faults.delay / 2).await;
        if self.should_inject(faults.refuse) {
            let kind = ErrorKind::Refused { service: SERVICE, reason: "overloaded".into() };
            return Err(Error::new(kind, "retry later"));
        }
        if self.should_inject(faults.lose_request) {
            sleep(DOWN_TIMEOUT).await;
            return Err(unanswered("the request was lost"));
        }
        self.wait_turn().await;
        self.store_delayed();
        if self.should_inject(faults.lose_acknowledged) {
            let streams = self.shared.streams.borrow();
            return Ok(Offset(streams.get(stream).map_or(0, Stream::end)));
        }
        let offset = self.store(stream, record.clone());
        if self.should_inject(faults.duplicate) {
            let due = Instant::now() + faults.duplicate_delay;
            self.shared.delayed.borrow_mut().push(DelayedRecord {
                due,
                stream: stream.clone(),
                record,
            });
        }
        sleep(faults.delay / 2).await;
        if self.should_inject(faults.lose_response) {
            sleep(DOWN_TIMEOUT).await;
            return Err(unanswered("the response was lost"));
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: &StreamId,
        from: Offset,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<ReadPage> {
        let deadline = Instant::now() + wait;
        let delay = self.faults.borrow().delay;
        sleep(delay).await;
        loop {
            if self.faults.borrow().read_down {
                sleep(DOWN_TIMEOUT).await;
                return Err(unanswered("the log is down"));
            }
            let appended = self.shared.appended.notified();
            self.store_delayed();
            let mut page = self.page(stream, from, max_bytes)?;
            let waiting = page.records.is_empty() && Instant::now() < deadline;
            if waiting {
                // The page is read again after a notification as well as after the timeout, as it may have changed
                // meanwhile.
                let _ = timeout_at(deadline, appended).await;
                continue;
            }
            let truncate = self.faults.borrow().truncate;
            if self.should_inject(truncate) {
                return Err(Error::decode("page of records", "truncated"));
            }
            self.corrupt_records(&mut page);
            let bytes: usize = page.records.iter().map(|(_, r)| r.len()).sum();
            self.shared.read_bytes.set(self.shared.read_bytes.get() + bytes as u64);
            return Ok(page);
        }
    }
}
