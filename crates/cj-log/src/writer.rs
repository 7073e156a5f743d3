//! Group commit: collects proposals into batches and keeps one batch in flight until its order is known. No I/O.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use cj_fold::{Applied, Verdict};
use cj_record::{Batch, BatchHeader, Entry, MAX_BATCH_BYTES};
use cj_types::{Error, Incarnation, NodeIncarnation, Offset, Result, Sequence, UnixMillis};

use crate::replica::Proposed;

/// Most entries of one batch.
pub const MAX_BATCH_ENTRIES: usize = 256;
/// Most proposals waiting for a batch; further ones are withdrawn at once.
pub const MAX_QUEUED: usize = 4096;
/// Most bytes of proposals waiting for a batch; the memory of a node is limited to 64 MB.
pub const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Room for magic, version, checksum, header with the longest node id, and the count of entries.
const HEADER_BYTES: usize = 128;
const MAX_ENTRY_BYTES: usize = MAX_BATCH_BYTES - HEADER_BYTES;
const MAX_LINGER: Duration = Duration::from_millis(50);
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which an acknowledged batch that wasn't read back is sent again; it doubles with every attempt, because
/// resending doesn't help while reading is down.
const READ_BACK_LIMIT: Duration = Duration::from_secs(1);
const MAX_READ_BACK_LIMIT: Duration = Duration::from_secs(30);

/// What the driver of the core does next.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Append these bytes and hand the result to [`WriterCore::answered`] under this number.
    Send(u64, Vec<u8>),
    /// Nothing to do until this time or the next event.
    Wait(Instant),
    /// Nothing to do until the next event.
    Idle,
}

/// Counters of a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterStats {
    /// Appends sent, resends included.
    pub sent: u64,
    /// Batches read back.
    pub batches: u64,
    /// Entries of these batches.
    pub entries: u64,
    /// Withdrawals sent.
    pub withdrawals: u64,
    /// Proposals withdrawn because the queue was full.
    pub overflowed: u64,
}

#[derive(Debug)]
struct Waiting {
    entry: Entry,
    bytes: usize,
    queued: Instant,
    /// When the writer starts to withdraw it.
    due: Instant,
    limit: Instant,
    reply: Option<oneshot::Sender<Proposed>>,
}

impl Waiting {
    fn answer(&mut self, proposed: Proposed) {
        if let Some(reply) = self.reply.take() {
            // The proposer may have gone away; nobody needs the answer then.
            let _ = reply.send(proposed);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    Ready { at: Instant },
    Sending,
    Acked { offset: Offset, at: Instant },
}

#[derive(Debug)]
struct Flight {
    seq: Sequence,
    bytes: Vec<u8>,
    waiting: Vec<Waiting>,
    sent: Option<Instant>,
    attempts: u32,
    /// True once a send of the batch wasn't certainly refused.
    may_exist: bool,
    withdrawal: Option<(Sequence, Vec<u8>)>,
    stage: Stage,
    call: u64,
}

/// Smoothed time from sending a batch to reading it back.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    smoothed: f64,
    least: f64,
}

impl Latency {
    /// The least latency rises slowly, so that a log that became slower for good isn't taken for a queue.
    /// At 30 batches a second it doubles in about a minute.
    const RISE: f64 = 1.0004;
    const QUEUE_FACTOR: f64 = 4.0;

    fn observe(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        if self.least == 0.0 {
            (self.smoothed, self.least) = (sample, sample);
        }
        self.smoothed += (sample - self.smoothed) / 8.0;
        self.least = (self.least * Self::RISE).min(sample);
    }

    /// Waits for a multiple of the time that the log lets batches queue beyond its least latency. This lowers the rate of
    /// appends when the log is near its capacity, which other regions share, and adds nothing otherwise.
    fn linger(&self) -> Duration {
        let queueing = self.smoothed - self.least;
        if queueing < self.least {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(queueing * Self::QUEUE_FACTOR).min(MAX_LINGER)
    }
}

/// The group-commit writer of one stream.
#[derive(Debug)]
pub struct WriterCore {
    node: NodeIncarnation,
    next_seq: Sequence,
    joined: bool,
    /// Time before which a refused join isn't repeated.
    join_after: Option<Instant>,
    joins: u32,
    queue: VecDeque<Waiting>,
    queued_bytes: usize,
    flight: Option<Flight>,
    latency: Latency,
    calls: u64,
    rng: Pcg64Mcg,
    stopping: bool,
    group: bool,
    stats: WriterStats,
}

impl WriterCore {
    /// Creates the writer of one process start. Its first batch is the join.
    pub fn new(node: NodeIncarnation, seed: u64) -> Self {
        WriterCore {
            node,
            next_seq: Sequence(1),
            joined: false,
            join_after: None,
            joins: 0,
            queue: VecDeque::new(),
            queued_bytes: 0,
            flight: None,
            latency: Latency::default(),
            calls: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            stopping: false,
            group: true,
            stats: WriterStats::default(),
        }
    }

    /// Appends one record per proposal, as a base line for measurements.
    pub fn without_groups(&mut self) {
        self.group = false;
    }

    /// The writer as the log knows it. The incarnation changes when the fold has dropped the earlier one.
    pub fn node(&self) -> &NodeIncarnation {
        &self.node
    }

    /// True once the join was read back.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// True when nothing is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.flight.is_none()
    }

    /// Counters since the start.
    pub fn stats(&self) -> WriterStats {
        self.stats
    }

    /// Sends what is queued without waiting for more.
    pub fn flush(&mut self) {
        self.stopping = true;
    }

    /// Queues a proposal. Fails when the queue is full or the entry doesn't fit into a batch; it never takes effect then.
    pub fn push(
        &mut self,
        entry: Entry,
        limit: Duration,
        now: Instant,
    ) -> Result<oneshot::Receiver<Proposed>> {
        let bytes = postcard::to_stdvec(&entry).map_or(usize::MAX, |b| b.len());
        if bytes > MAX_ENTRY_BYTES {
            return Err(Error::decode("entry", "larger than a batch"));
        }
        if self.queue.len() >= MAX_QUEUED || self.queued_bytes + bytes > MAX_QUEUED_BYTES {
            self.stats.overflowed += 1;
            let kind = cj_types::ErrorKind::Failed("the queue of proposals is full".into());
            return Err(Error::new(kind, "retry later"));
        }
        let (reply, receiver) = oneshot::channel();
        // Half of the limit is left for the order of the withdrawal to become known.
        let due = now + limit / 2;
        let reply = Some(reply);
        self.queued_bytes += bytes;
        self.queue.push_back(Waiting { entry, bytes, queued: now, due, limit: now + limit, reply });
        Ok(receiver)
    }

    /// Does what is due at `now` and says what to do next.
    pub fn poll(&mut self, now: Instant, wall: UnixMillis) -> Step {
        self.answer_overdue(now);
        if self.flight.is_none() && !self.start_flight(now, wall) {
            return self.next_start(now);
        }
        self.start_withdrawal(now, wall);
        let Some(flight) = &mut self.flight else { return Step::Wait(now) };
        if flight.read_back_end().is_some_and(|end| end <= now) {
            flight.attempts += 1;
            flight.stage = Stage::Ready { at: now };
        }
        match flight.stage {
            Stage::Ready { at } if at <= now => {
                self.calls += 1;
                self.stats.sent += 1;
                flight.call = self.calls;
                flight.stage = Stage::Sending;
                flight.sent.get_or_insert(now);
                let bytes = flight.withdrawal.as_ref().map_or(&flight.bytes, |(_, bytes)| bytes);
                Step::Send(self.calls, bytes.clone())
            }
            _ => self.next_event(),
        }
    }

    /// Takes the result of an append.
    pub fn answered(&mut self, call: u64, result: &Result<Offset>, now: Instant) {
        let Some(flight) = self.flight.as_mut().filter(|f| f.call == call) else { return };
        match result {
            Ok(offset) => {
                flight.may_exist = true;
                flight.stage = Stage::Acked { offset: *offset, at: now };
            }
            Err(error) => {
                flight.may_exist |= error.is_unanswered();
                let at = now + backoff(&mut self.rng, flight.attempts);
                flight.attempts += 1;
                flight.stage = Stage::Ready { at };
            }
        }
    }

    /// Takes the result of folding a record. Call it for every record, in order.
    pub fn folded(&mut self, offset: Offset, applied: &Applied, now: Instant) {
        match applied {
            Applied::Batch { writer, seq, verdicts } if *writer == self.node => {
                self.read_back(offset, *seq, verdicts, now);
            }
            Applied::Ignored { writer, seq } if *writer == self.node => self.ignored(*seq, now),
            _ => {}
        }
        self.check_lost(offset, now);
    }

    /// Ends all proposals because the replica must not decide any more: queued ones are withdrawn, and the order of those
    /// in flight stays open.
    pub fn abandon(&mut self) {
        self.queue.iter_mut().for_each(|w| w.answer(Proposed::Withdrawn));
        self.queue.clear();
        self.queued_bytes = 0;
        for mut waiting in self.flight.take().map(|f| f.waiting).unwrap_or_default() {
            waiting.answer(Proposed::Pending);
        }
    }

    fn answer_overdue(&mut self, now: Instant) {
        // Limits differ, so every entry is looked at; the queue is bounded.
        let queued_bytes = &mut self.queued_bytes;
        self.queue.retain_mut(|w| {
            if w.limit <= now {
                w.answer(Proposed::Withdrawn);
                *queued_bytes -= w.bytes;
            }
            w.limit > now
        });
        let flying = self.flight.iter_mut().flat_map(|f| &mut f.waiting);
        flying.filter(|w| w.limit <= now).for_each(|w| w.answer(Proposed::Pending));
    }

    fn start_flight(&mut self, now: Instant, wall: UnixMillis) -> bool {
        if !self.joined {
            if self.join_after.is_some_and(|at| now < at) {
                return false;
            }
            self.launch(Vec::new(), now, wall);
            return true;
        }
        let Some(first) = self.queue.front() else { return false };
        if now < first.queued + self.linger() {
            return false;
        }
        let most = if self.group { MAX_BATCH_ENTRIES } else { 1 };
        let mut waiting = Vec::new();
        let mut room = MAX_ENTRY_BYTES;
        while let Some(next) = self.queue.front()
            && waiting.len() < most
            && next.bytes <= room
        {
            room -= next.bytes;
            self.queued_bytes -= next.bytes;
            waiting.extend(self.queue.pop_front());
        }
        self.launch(waiting, now, wall);
        true
    }

    fn linger(&self) -> Duration {
        let full =
            self.queue.len() >= MAX_BATCH_ENTRIES || self.queued_bytes >= MAX_ENTRY_BYTES / 2;
        if full || self.stopping || !self.group {
            return Duration::ZERO;
        }
        self.latency.linger()
    }

    fn launch(&mut self, waiting: Vec<Waiting>, now: Instant, wall: UnixMillis) {
        let entries = waiting.iter().map(|w| w.entry.clone()).collect();
        let (seq, bytes) = self.encode(entries, wall);
        self.flight = Some(Flight {
            seq,
            bytes,
            waiting,
            sent: None,
            attempts: 0,
            may_exist: false,
            withdrawal: None,
            stage: Stage::Ready { at: now },
            call: 0,
        });
    }

    fn encode(&mut self, entries: Vec<Entry>, wall: UnixMillis) -> (Sequence, Vec<u8>) {
        let seq = self.next_seq;
        self.next_seq = seq.next();
        let header = BatchHeader { writer: self.node.clone(), seq, at: wall };
        let bytes = Batch { header, entries }.encode();
        (seq, bytes.expect("the entries of a batch are chosen to fit"))
    }

    /// Withdraws a batch when one of its proposals is due and its order isn't known.
    fn start_withdrawal(&mut self, now: Instant, wall: UnixMillis) {
        let Some(flight) = &self.flight else { return };
        let due = flight.waiting.iter().any(|w| w.due <= now);
        // An acknowledged batch is most likely in the log; a withdrawal behind it would decide nothing.
        let acked = matches!(flight.stage, Stage::Acked { .. });
        if !due || acked || flight.withdrawal.is_some() {
            return;
        }
        if !flight.may_exist && matches!(flight.stage, Stage::Ready { .. }) {
            // Every send was refused, so the batch can't appear in the log.
            let waiting = self.flight.take().map(|f| f.waiting).unwrap_or_default();
            return self.withdrawn(waiting, now);
        }
        let withdrawal = self.encode(Vec::new(), wall);
        self.stats.withdrawals += 1;
        if let Some(flight) = &mut self.flight {
            flight.withdrawal = Some(withdrawal);
            flight.attempts = 0;
            flight.stage = Stage::Ready { at: now };
        }
    }

    /// Answers proposals that certainly took no effect, and queues those again that still have time.
    fn withdrawn(&mut self, waiting: Vec<Waiting>, now: Instant) {
        for mut waiting in waiting.into_iter().rev() {
            if waiting.due <= now || waiting.reply.is_none() {
                waiting.answer(Proposed::Withdrawn);
            } else {
                self.queued_bytes += waiting.bytes;
                self.queue.push_front(waiting);
            }
        }
    }

    fn read_back(&mut self, offset: Offset, seq: Sequence, verdicts: &[Verdict], now: Instant) {
        let Some(flight) = self.flight.take_if(|f| f.seq == seq || f.is_withdrawal(seq)) else {
            return;
        };
        if flight.seq != seq {
            return self.withdrawn(flight.waiting, now);
        }
        self.joined = true;
        self.joins = 0;
        self.stats.batches += 1;
        self.stats.entries += flight.waiting.len() as u64;
        if let Some(sent) = flight.sent
            && flight.attempts == 0
        {
            self.latency.observe(now.saturating_duration_since(sent));
        }
        assert_eq!(flight.waiting.len(), verdicts.len(), "one verdict per entry of a batch");
        for (mut waiting, verdict) in flight.waiting.into_iter().zip(verdicts) {
            waiting.answer(Proposed::Decided { offset, verdict: verdict.clone() });
        }
    }

    /// The fold ignores a batch in flight only when it has dropped this incarnation, so none of its batches can take
    /// effect. The writer joins again under a new one. It also ignores the join of a node whose clock is a day behind, which
    /// is why joins are repeated with a back-off.
    fn ignored(&mut self, seq: Sequence, now: Instant) {
        let Some(flight) = self.flight.take_if(|f| f.seq == seq || f.is_withdrawal(seq)) else {
            return;
        };
        self.withdrawn(flight.waiting, now);
        self.node.incarnation = Incarnation(self.rng.random());
        self.next_seq = Sequence(1);
        self.joined = false;
        self.join_after = Some(now + backoff(&mut self.rng, self.joins));
        self.joins += 1;
    }

    /// An acknowledged batch that isn't at its offset was lost by the log, and is sent again.
    fn check_lost(&mut self, folded: Offset, now: Instant) {
        if let Some(flight) = &mut self.flight
            && let Stage::Acked { offset, .. } = flight.stage
            && offset <= folded
        {
            let at = now + backoff(&mut self.rng, flight.attempts);
            flight.attempts += 1;
            flight.stage = Stage::Ready { at };
        }
    }

    fn next_start(&self, now: Instant) -> Step {
        let limit = self.queue.iter().map(|w| w.limit).min();
        let start = if self.joined {
            self.queue.front().map(|first| first.queued + self.linger())
        } else {
            self.join_after
        };
        let next = limit.into_iter().chain(start).min();
        next.map_or(Step::Idle, |at| Step::Wait(at.max(now)))
    }

    fn next_event(&self) -> Step {
        let Some(flight) = &self.flight else { return Step::Idle };
        let stage = match flight.stage {
            Stage::Ready { at } => Some(at),
            Stage::Sending => None,
            Stage::Acked { .. } => flight.read_back_end(),
        };
        let acked = matches!(flight.stage, Stage::Acked { .. });
        let open = flight.waiting.iter().filter(|w| w.reply.is_some());
        let due = open.clone().map(|w| w.due).min();
        let due = due.filter(|_| flight.withdrawal.is_none() && !acked);
        let limit = open.map(|w| w.limit).chain(self.queue.iter().map(|w| w.limit)).min();
        let next = [stage, due, limit].into_iter().flatten().min();
        next.map_or(Step::Idle, Step::Wait)
    }
}

impl Flight {
    fn read_back_end(&self) -> Option<Instant> {
        let Stage::Acked { at, .. } = self.stage else { return None };
        let limit = READ_BACK_LIMIT * 2u32.pow(self.attempts.min(10));
        Some(at + limit.min(MAX_READ_BACK_LIMIT))
    }

    fn is_withdrawal(&self, seq: Sequence) -> bool {
        self.withdrawal.as_ref().is_some_and(|(withdrawal, _)| *withdrawal == seq)
    }
}

/// Exponential back-off with jitter of half the delay, so that nodes don't resend at the same moment.
pub(crate) fn backoff<R>(rng: &mut R, attempts: u32) -> Duration
where
    R: Rng,
{
    let full = (FIRST_BACKOFF * 2u32.pow(attempts.min(10))).min(MAX_BACKOFF);
    full.mul_f64(rng.random_range(0.5..=1.0))
}
