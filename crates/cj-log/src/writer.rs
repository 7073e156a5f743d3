//! Group commit: collects proposals into batches and keeps one batch in flight until it is read back or withdrawn. The
//! core does no I/O; its driver appends the batches and passes the results in.

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

use crate::replica::ProposalOutcome;

/// Maximum entries of one batch.
pub const MAX_BATCH_ENTRIES: usize = 256;
/// Maximum proposals waiting for a batch; further ones are withdrawn at once.
pub const MAX_QUEUED: usize = 4096;
/// Maximum bytes of proposals waiting for a batch; the memory of a node is limited to 64 MB.
pub const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Space for magic, version, checksum, header with the longest node id, and the number of entries.
const HEADER_BYTES: usize = 128;
const MAX_ENTRIES_BYTES: usize = MAX_BATCH_BYTES - HEADER_BYTES;
/// Longest wait of a queued proposal for others to share its batch.
const MAX_LINGER: Duration = Duration::from_millis(50);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which an acknowledged batch that wasn't read back is sent again. It doubles with every attempt, because
/// resending doesn't help while the log can't be read.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_READ_BACK_TIMEOUT: Duration = Duration::from_secs(30);

/// Next action of the driver of [`WriterCore`].
#[derive(Debug, PartialEq)]
pub enum WriterAction {
    /// Append these bytes and pass the result to [`WriterCore::handle_append_result`] with this call number.
    Send(u64, Vec<u8>),
    /// Wait until this time or the next event.
    Wait(Instant),
    /// Wait for the next event.
    Idle,
}

/// Counters of a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterStats {
    /// Appends sent, resends included.
    pub sent: u64,
    /// Batches read back.
    pub batches: u64,
    /// Entries of the batches read back.
    pub entries: u64,
    /// Withdrawals sent.
    pub withdrawals: u64,
    /// Proposals withdrawn because the queue was full.
    pub overflowed: u64,
}

#[derive(Debug)]
struct QueuedProposal {
    entry: Entry,
    bytes: usize,
    queued_at: Instant,
    /// Time at which the writer starts to withdraw its batch.
    withdraw_at: Instant,
    deadline: Instant,
    /// `None` once the outcome was reported.
    reply: Option<oneshot::Sender<ProposalOutcome>>,
}

impl QueuedProposal {
    fn respond(&mut self, outcome: ProposalOutcome) {
        if let Some(reply) = self.reply.take() {
            // The proposer may have dropped its future; the outcome is discarded then.
            let _ = reply.send(outcome);
        }
    }
}

/// Progress of the batch in flight, or of its withdrawal.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// To be sent at this time.
    Ready { at: Instant },
    /// Sent, without a response yet.
    Sending,
    /// Acknowledged with this offset, but not read back yet.
    Acked { offset: Offset, at: Instant },
}

#[derive(Debug)]
struct InFlightBatch {
    seq: Sequence,
    bytes: Vec<u8>,
    proposals: Vec<QueuedProposal>,
    /// Time of the first send.
    sent: Option<Instant>,
    /// Number of resends, counted from the withdrawal if there is one.
    attempts: u32,
    /// True when the batch may be in the log: some send of it wasn't answered with a refusal.
    may_exist: bool,
    /// Sequence number and bytes of the empty batch that withdraws this one.
    withdrawal: Option<(Sequence, Vec<u8>)>,
    stage: Stage,
    /// Number of the latest append call.
    call: u64,
}

/// Smoothed and least time in seconds from sending a batch to reading it back.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    smoothed: f64,
    min: f64,
}

impl Latency {
    /// Factor by which the least latency rises with every sample, so that a log that became permanently slower isn't
    /// mistaken for one with a queue. At 30 batches per second it doubles in about a minute.
    const MIN_RISE_FACTOR: f64 = 1.0004;
    const QUEUE_FACTOR: f64 = 4.0;

    fn observe(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        if self.min == 0.0 {
            (self.smoothed, self.min) = (sample, sample);
        }
        self.smoothed += (sample - self.smoothed) / 8.0;
        self.min = (self.min * Self::MIN_RISE_FACTOR).min(sample);
    }

    /// Time to wait for further proposals: a multiple of the queueing time of the log, which is the smoothed latency
    /// minus the least one. This lowers the append rate when the log is near its capacity, which other regions share,
    /// and adds no delay otherwise.
    fn linger(&self) -> Duration {
        let queueing = self.smoothed - self.min;
        if queueing < self.min {
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
    /// Earliest time of the next join after the fold ignored one.
    join_after: Option<Instant>,
    join_attempts: u32,
    queue: VecDeque<QueuedProposal>,
    queued_bytes: usize,
    in_flight: Option<InFlightBatch>,
    latency: Latency,
    call_count: u64,
    rng: Pcg64Mcg,
    stopping: bool,
    group_commit: bool,
    stats: WriterStats,
}

impl WriterCore {
    /// Creates the writer of one incarnation. Its first batch, without entries, is the join.
    pub fn new(node: NodeIncarnation, seed: u64) -> Self {
        WriterCore {
            node,
            next_seq: Sequence(1),
            joined: false,
            join_after: None,
            join_attempts: 0,
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: None,
            latency: Latency::default(),
            call_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            stopping: false,
            group_commit: true,
            stats: WriterStats::default(),
        }
    }

    /// Appends one record per proposal, as a baseline for benchmarks.
    pub fn disable_group_commit(&mut self) {
        self.group_commit = false;
    }

    /// The node with its current incarnation in the log. The incarnation changes when the fold has dropped the earlier
    /// one.
    pub fn node(&self) -> &NodeIncarnation {
        &self.node
    }

    /// True once the join of the current incarnation was read back.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// True when nothing is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Counters since the creation of the writer.
    pub fn stats(&self) -> WriterStats {
        self.stats
    }

    /// From now on, sends queued proposals without waiting for more.
    pub fn flush(&mut self) {
        self.stopping = true;
    }

    /// Queues a proposal; the receiver gets its outcome within `limit`. Fails when the queue is full or the entry
    /// doesn't fit into a batch; the entry has no effect then.
    pub fn push(
        &mut self,
        entry: Entry,
        limit: Duration,
        now: Instant,
    ) -> Result<oneshot::Receiver<ProposalOutcome>> {
        let bytes = postcard::to_stdvec(&entry).map_or(usize::MAX, |b| b.len());
        if bytes > MAX_ENTRIES_BYTES {
            return Err(Error::decode("entry", "exceeds the maximum batch size"));
        }
        if self.queue.len() >= MAX_QUEUED || self.queued_bytes + bytes > MAX_QUEUED_BYTES {
            self.stats.overflowed += 1;
            let kind = cj_types::ErrorKind::Failed("the queue of proposals is full".into());
            return Err(Error::new(kind, "retry later"));
        }
        let (reply, receiver) = oneshot::channel();
        // Half of the limit is left for the withdrawal to be read back.
        let withdraw_at = now + limit / 2;
        let reply = Some(reply);
        self.queued_bytes += bytes;
        self.queue.push_back(QueuedProposal {
            entry,
            bytes,
            queued_at: now,
            withdraw_at,
            deadline: now + limit,
            reply,
        });
        Ok(receiver)
    }

    /// Updates the writer to the time `now` and returns the next action of the driver.
    pub fn poll(&mut self, now: Instant, wall: UnixMillis) -> WriterAction {
        self.answer_expired(now);
        if self.in_flight.is_none() && !self.start_batch(now, wall) {
            return self.next_batch_action(now);
        }
        self.start_withdrawal(now, wall);
        let Some(batch) = &mut self.in_flight else { return WriterAction::Wait(now) };
        if batch.read_back_deadline().is_some_and(|deadline| deadline <= now) {
            batch.attempts += 1;
            batch.stage = Stage::Ready { at: now };
        }
        match batch.stage {
            Stage::Ready { at } if at <= now => {
                self.call_count += 1;
                self.stats.sent += 1;
                batch.call = self.call_count;
                batch.stage = Stage::Sending;
                batch.sent.get_or_insert(now);
                let bytes = batch.withdrawal.as_ref().map_or(&batch.bytes, |(_, bytes)| bytes);
                WriterAction::Send(self.call_count, bytes.clone())
            }
            _ => self.in_flight_action(),
        }
    }

    /// Handles the result of an append. Results of calls other than the latest one are ignored.
    pub fn handle_append_result(&mut self, call: u64, result: &Result<Offset>, now: Instant) {
        let Some(batch) = self.in_flight.as_mut().filter(|f| f.call == call) else { return };
        match result {
            Ok(offset) => {
                batch.may_exist = true;
                batch.stage = Stage::Acked { offset: *offset, at: now };
            }
            Err(error) => {
                batch.may_exist |= error.is_unanswered();
                let at = now + backoff(&mut self.rng, batch.attempts);
                batch.attempts += 1;
                batch.stage = Stage::Ready { at };
            }
        }
    }

    /// Handles the result of folding a record. Must be called for every record, in order.
    pub fn handle_folded(&mut self, offset: Offset, applied: &Applied, now: Instant) {
        match applied {
            Applied::Batch { writer, seq, verdicts } if *writer == self.node => {
                self.handle_read_back(offset, *seq, verdicts, now);
            }
            Applied::Ignored { writer, seq } if *writer == self.node => {
                self.handle_ignored(*seq, now)
            }
            _ => {}
        }
        self.resend_if_lost(offset, now);
    }

    /// Ends all proposals because the replica must not propose any more: queued ones are withdrawn, and those in flight
    /// are reported as pending.
    pub fn abandon(&mut self) {
        self.queue.iter_mut().for_each(|p| p.respond(ProposalOutcome::Withdrawn));
        self.queue.clear();
        self.queued_bytes = 0;
        for mut proposal in self.in_flight.take().map(|f| f.proposals).unwrap_or_default() {
            proposal.respond(ProposalOutcome::Pending);
        }
    }

    /// Reports the outcome of proposals whose deadline has passed: queued ones are withdrawn, those in flight pending.
    fn answer_expired(&mut self, now: Instant) {
        // Proposals have different deadlines, so the whole queue is scanned; its length is bounded.
        let queued_bytes = &mut self.queued_bytes;
        self.queue.retain_mut(|p| {
            if p.deadline <= now {
                p.respond(ProposalOutcome::Withdrawn);
                *queued_bytes -= p.bytes;
            }
            p.deadline > now
        });
        let in_flight = self.in_flight.iter_mut().flat_map(|f| &mut f.proposals);
        in_flight.filter(|p| p.deadline <= now).for_each(|p| p.respond(ProposalOutcome::Pending));
    }

    /// Puts the join or a batch of queued proposals in flight. Returns false when there is nothing to send yet.
    fn start_batch(&mut self, now: Instant, wall: UnixMillis) -> bool {
        if !self.joined {
            if self.join_after.is_some_and(|at| now < at) {
                return false;
            }
            self.set_in_flight(Vec::new(), now, wall);
            return true;
        }
        let Some(first) = self.queue.front() else { return false };
        if now < first.queued_at + self.linger() {
            return false;
        }
        let max_entries = if self.group_commit { MAX_BATCH_ENTRIES } else { 1 };
        let mut proposals = Vec::new();
        let mut room = MAX_ENTRIES_BYTES;
        while let Some(next) = self.queue.front()
            && proposals.len() < max_entries
            && next.bytes <= room
        {
            room -= next.bytes;
            self.queued_bytes -= next.bytes;
            proposals.extend(self.queue.pop_front());
        }
        self.set_in_flight(proposals, now, wall);
        true
    }

    fn linger(&self) -> Duration {
        let full =
            self.queue.len() >= MAX_BATCH_ENTRIES || self.queued_bytes >= MAX_ENTRIES_BYTES / 2;
        if full || self.stopping || !self.group_commit {
            return Duration::ZERO;
        }
        self.latency.linger()
    }

    fn set_in_flight(&mut self, proposals: Vec<QueuedProposal>, now: Instant, wall: UnixMillis) {
        let entries = proposals.iter().map(|p| p.entry.clone()).collect();
        let (seq, bytes) = self.encode(entries, wall);
        self.in_flight = Some(InFlightBatch {
            seq,
            bytes,
            proposals,
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

    /// Starts to withdraw the batch in flight when one of its proposals has reached its withdrawal time and the batch
    /// isn't acknowledged. A batch without entries, sent later, withdraws the batch unless it is in the log by then.
    fn start_withdrawal(&mut self, now: Instant, wall: UnixMillis) {
        let Some(batch) = &self.in_flight else { return };
        let due = batch.proposals.iter().any(|p| p.withdraw_at <= now);
        // An acknowledged batch is most likely in the log, where a later withdrawal has no effect on it.
        let acked = matches!(batch.stage, Stage::Acked { .. });
        if !due || acked || batch.withdrawal.is_some() {
            return;
        }
        if !batch.may_exist && matches!(batch.stage, Stage::Ready { .. }) {
            // Every send was refused, so the batch can't appear in the log.
            let proposals = self.in_flight.take().map(|f| f.proposals).unwrap_or_default();
            return self.handle_withdrawn(proposals, now);
        }
        let withdrawal = self.encode(Vec::new(), wall);
        self.stats.withdrawals += 1;
        if let Some(batch) = &mut self.in_flight {
            batch.withdrawal = Some(withdrawal);
            batch.attempts = 0;
            batch.stage = Stage::Ready { at: now };
        }
    }

    /// Handles proposals that certainly had no effect: those that still have time are queued again, the others are
    /// reported as withdrawn.
    fn handle_withdrawn(&mut self, proposals: Vec<QueuedProposal>, now: Instant) {
        for mut proposal in proposals.into_iter().rev() {
            if proposal.withdraw_at <= now || proposal.reply.is_none() {
                proposal.respond(ProposalOutcome::Withdrawn);
            } else {
                self.queued_bytes += proposal.bytes;
                self.queue.push_front(proposal);
            }
        }
    }

    fn handle_read_back(
        &mut self,
        offset: Offset,
        seq: Sequence,
        verdicts: &[Verdict],
        now: Instant,
    ) {
        let Some(batch) = self.in_flight.take_if(|f| f.seq == seq || f.is_withdrawal(seq)) else {
            return;
        };
        if batch.seq != seq {
            return self.handle_withdrawn(batch.proposals, now);
        }
        self.joined = true;
        self.join_attempts = 0;
        self.stats.batches += 1;
        self.stats.entries += batch.proposals.len() as u64;
        if let Some(sent) = batch.sent
            && batch.attempts == 0
        {
            self.latency.observe(now.saturating_duration_since(sent));
        }
        assert_eq!(batch.proposals.len(), verdicts.len(), "one verdict per entry of a batch");
        for (mut proposal, verdict) in batch.proposals.into_iter().zip(verdicts) {
            proposal.respond(ProposalOutcome::Decided { offset, verdict: verdict.clone() });
        }
    }

    /// The fold ignores a batch in flight only when it has dropped this incarnation, so none of its batches can take
    /// effect any more. The writer joins again under a new incarnation. The fold also ignores the join of a node whose
    /// clock is a day behind, which is why joins are retried with a back-off.
    fn handle_ignored(&mut self, seq: Sequence, now: Instant) {
        let Some(batch) = self.in_flight.take_if(|f| f.seq == seq || f.is_withdrawal(seq)) else {
            return;
        };
        self.handle_withdrawn(batch.proposals, now);
        self.node.incarnation = Incarnation(self.rng.random());
        self.next_seq = Sequence(1);
        self.joined = false;
        self.join_after = Some(now + backoff(&mut self.rng, self.join_attempts));
        self.join_attempts += 1;
    }

    /// Sends an acknowledged batch again when the fold has passed its offset without reading it back: the log has lost
    /// it.
    fn resend_if_lost(&mut self, folded: Offset, now: Instant) {
        if let Some(batch) = &mut self.in_flight
            && let Stage::Acked { offset, .. } = batch.stage
            && offset <= folded
        {
            let at = now + backoff(&mut self.rng, batch.attempts);
            batch.attempts += 1;
            batch.stage = Stage::Ready { at };
        }
    }

    /// Next action while no batch is in flight.
    fn next_batch_action(&self, now: Instant) -> WriterAction {
        let limit = self.queue.iter().map(|p| p.deadline).min();
        let start = if self.joined {
            self.queue.front().map(|first| first.queued_at + self.linger())
        } else {
            self.join_after
        };
        let next = limit.into_iter().chain(start).min();
        next.map_or(WriterAction::Idle, |at| WriterAction::Wait(at.max(now)))
    }

    /// Next action while a batch is in flight and nothing is to be sent now.
    fn in_flight_action(&self) -> WriterAction {
        let Some(batch) = &self.in_flight else { return WriterAction::Idle };
        let stage = match batch.stage {
            Stage::Ready { at } => Some(at),
            Stage::Sending => None,
            Stage::Acked { .. } => batch.read_back_deadline(),
        };
        let acked = matches!(batch.stage, Stage::Acked { .. });
        let open = batch.proposals.iter().filter(|p| p.reply.is_some());
        let due = open.clone().map(|p| p.withdraw_at).min();
        let due = due.filter(|_| batch.withdrawal.is_none() && !acked);
        let limit = open.map(|p| p.deadline).chain(self.queue.iter().map(|p| p.deadline)).min();
        let next = [stage, due, limit].into_iter().flatten().min();
        next.map_or(WriterAction::Idle, WriterAction::Wait)
    }
}

impl InFlightBatch {
    fn read_back_deadline(&self) -> Option<Instant> {
        let Stage::Acked { at, .. } = self.stage else { return None };
        let limit = READ_BACK_TIMEOUT * 2u32.pow(self.attempts.min(10));
        Some(at + limit.min(MAX_READ_BACK_TIMEOUT))
    }

    fn is_withdrawal(&self, seq: Sequence) -> bool {
        self.withdrawal.as_ref().is_some_and(|(withdrawal, _)| *withdrawal == seq)
    }
}

/// Delay of an exponential back-off, with a jitter of up to half the delay so that nodes don't retry simultaneously.
pub(crate) fn backoff<R>(rng: &mut R, attempts: u32) -> Duration
where
    R: Rng,
{
    let full = (MIN_BACKOFF * 2u32.pow(attempts.min(10))).min(MAX_BACKOFF);
    full.mul_f64(rng.random_range(0.5..=1.0))
}
