//! A fake append-only log: streams of records with offsets, limited retention and a limited append rate.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use cj_types::{Offset, StreamId};

use crate::{
    faults::Faults,
    http::{Call, Handler, Reply, lock},
};

/// Maximum size of a record in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Maximum duration of a long poll.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Page size in bytes when a read doesn't state one.
const DEFAULT_MAX_BYTES: u64 = 1 << 20;

/// Limits of the log.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Number of records retained per stream.
    pub retention: usize,
    /// Maximum number of appends per second over all streams; further ones are delayed.
    pub append_rate: u32,
    /// Seed of the random choice of appends whose answer is lost.
    pub seed: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        LogOptions { retention: 100_000, append_rate: 400, seed: 1 }
    }
}

/// A page of consecutive records of one stream; encoded with postcard on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Offset of the oldest record still kept.
    pub oldest: Offset,
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: Offset,
}

#[derive(Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Bytes>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn retain_newest(&mut self, count: usize) {
        let dropped = self.records.len().saturating_sub(count);
        self.records.drain(..dropped);
        self.oldest += dropped as u64;
    }

    fn page(&self, from: u64, max_bytes: usize) -> ReadPage {
        let mut page =
            ReadPage { oldest: Offset(self.oldest), end: Offset(self.end()), records: Vec::new() };
        let mut size = 0;
        let skipped = from.saturating_sub(self.oldest) as usize;
        for (index, record) in self.records.iter().enumerate().skip(skipped) {
            size += record.len();
            if size > max_bytes && !page.records.is_empty() {
                break;
            }
            page.records.push((Offset(self.oldest + index as u64), record.to_vec()));
        }
        page
    }
}

struct Shared {
    streams: BTreeMap<StreamId, Stream>,
    next_append: Instant,
    rng: Pcg64Mcg,
    appends: u64,
    bytes: u64,
    lost_answers: u64,
}

/// The log's state, shared between its HTTP handler and the platform's handle.
#[derive(Clone)]
pub struct Log {
    shared: Arc<Mutex<Shared>>,
    changed: Arc<watch::Sender<u64>>,
    options: Arc<LogOptions>,
    faults: Faults,
}

impl Log {
    /// Creates an empty log.
    pub fn new(options: LogOptions, faults: Faults) -> Self {
        let shared = Shared {
            streams: BTreeMap::new(),
            next_append: Instant::now(),
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            appends: 0,
            bytes: 0,
            lost_answers: 0,
        };
        Log {
            shared: Arc::new(Mutex::new(shared)),
            changed: Arc::new(watch::Sender::new(0)),
            options: Arc::new(options),
            faults,
        }
    }

    /// HTTP handler of the log.
    pub fn handler(&self) -> Handler {
        let log = self.clone();
        Arc::new(move |call| Box::pin(log.clone().answer(call)))
    }

    /// Number of appends carried out.
    pub fn appends(&self) -> u64 {
        lock(&self.shared).appends
    }

    /// Total size of all appended records in bytes.
    pub fn bytes(&self) -> u64 {
        lock(&self.shared).bytes
    }

    /// Number of appends carried out without an answer.
    pub fn lost_answers(&self) -> u64 {
        lock(&self.shared).lost_answers
    }

    /// Truncates each stream to its newest `count` records.
    pub fn retain_newest(&self, count: usize) {
        lock(&self.shared).streams.values_mut().for_each(|stream| stream.retain_newest(count));
    }

    /// Wakes waiting long polls, after an append or when an outage starts or ends.
    pub(crate) fn wake_readers(&self) {
        self.changed.send_modify(|version| *version += 1);
    }

    async fn answer(self, call: Call) -> Option<Reply> {
        let delay = self.faults.read(|active| active.log_delay);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.is_down() {
            return None;
        }
        let segments = call.segments();
        let stream = match segments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
            ["v1", "streams", name, "records"] => StreamId::try_from(name),
            _ => return Some(Reply::error(StatusCode::NOT_FOUND, "no such path")),
        };
        let Ok(stream) = stream else {
            return Some(Reply::error(StatusCode::BAD_REQUEST, "invalid stream name"));
        };
        match call.method {
            Method::POST => self.append(stream, call.body).await,
            Method::GET => self.read(stream, &call).await,
            _ => Some(Reply::error(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST")),
        }
    }

    fn is_down(&self) -> bool {
        self.faults.read(|active| active.log_down)
    }

    async fn append(&self, stream: StreamId, record: Bytes) -> Option<Reply> {
        if record.is_empty() || record.len() > MAX_RECORD_BYTES {
            let reason = "a record has 1 byte to 64 KiB";
            return Some(Reply::error(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        let append_at = self.reserve_append_time();
        tokio::time::sleep_until(append_at.into()).await;
        if self.is_down() {
            return None;
        }
        let lost_percent = self.faults.read(|active| active.lost_percent);
        let (offset, lost) = {
            let mut shared = lock(&self.shared);
            shared.appends += 1;
            shared.bytes += record.len() as u64;
            let lost = lost_percent > 0 && shared.rng.random_range(0..100) < lost_percent;
            shared.lost_answers += u64::from(lost);
            let stream = shared.streams.entry(stream).or_default();
            let offset = stream.end();
            stream.records.push_back(record);
            stream.retain_newest(self.options.retention);
            (offset, lost)
        };
        self.wake_readers();
        (!lost).then(|| Reply::json(StatusCode::OK, &Appended { offset: Offset(offset) }))
    }

    /// Reserves the time of the next append, so that the total rate stays within the limit.
    fn reserve_append_time(&self) -> Instant {
        let mut shared = lock(&self.shared);
        let append_at = shared.next_append.max(Instant::now());
        shared.next_append = append_at + Duration::from_secs(1) / self.options.append_rate.max(1);
        append_at
    }

    async fn read(&self, stream: StreamId, call: &Call) -> Option<Reply> {
        let from = call.number("from", 0);
        let max_bytes = call.number("max_bytes", DEFAULT_MAX_BYTES) as usize;
        let wait = Duration::from_millis(call.number("wait_ms", 0)).min(MAX_WAIT);
        let deadline = tokio::time::Instant::now() + wait;
        let mut changes = self.changed.subscribe();
        loop {
            if self.is_down() {
                return None;
            }
            let page = {
                let mut shared = lock(&self.shared);
                shared.streams.entry(stream.clone()).or_default().page(from, max_bytes)
            };
            if from < page.oldest.0 {
                let body = serde_json::json!({ "oldest": page.oldest, "end": page.end });
                return Some(Reply::json(StatusCode::GONE, &body));
            }
            if !page.records.is_empty() || tokio::time::Instant::now() >= deadline {
                let body = postcard::to_stdvec(&page).unwrap_or_default();
                return Some(Reply::new(StatusCode::OK, body));
            }
            let _ = tokio::time::timeout_at(deadline, changes.changed()).await;
        }
    }
}
