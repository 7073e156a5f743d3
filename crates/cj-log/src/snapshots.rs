//! Snapshots: loads the newest one at start-up and writes new ones well before retention removes the records.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use log::{info, warn};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use cj_fold::{State, snapshot};
use cj_types::{Clock, Error, ErrorKind, Offset, Result, StreamId};

use crate::{
    follow::{MAX_READ_BYTES, in_sequence},
    replica::{Replica, ReplicaOptions, stream_id},
    service::{LogService, ReadPage},
    writer::backoff,
};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);
const SNAPSHOT_KEY: &[u8] = b"snapshot";
/// Attempts to append one piece. After the last one the snapshot stays incomplete, and readers skip it.
const MAX_ATTEMPTS: u32 = 8;

/// Result of reading the snapshot stream at start-up.
pub(crate) struct LoadedSnapshot {
    pub(crate) state: Option<State>,
    pub(crate) end: Offset,
}

/// Snapshots of the region as this node last saw them: the offset that they cover, when the newest was written, and the
/// end of the snapshot stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotProgress {
    covered: Offset,
    written_at: Instant,
    end: Offset,
}

impl SnapshotProgress {
    pub(crate) fn new(covered: Offset, end: Offset, now: Instant) -> Self {
        SnapshotProgress { covered, written_at: now, end }
    }
}

/// Loads the newest complete and valid snapshot. Incomplete and invalid ones are skipped.
pub(crate) async fn load<L>(log: &L, options: &ReplicaOptions) -> Result<LoadedSnapshot>
where
    L: LogService,
{
    let stream = stream_id("snapshot", &options.region)?;
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut assembler = snapshot::Assembler::default();
    let mut newest: Option<State> = None;
    let mut next = Offset(0);
    let mut failures = 0;
    loop {
        match read_page(log, &stream, next, MAX_READ_BYTES).await {
            Ok((from, page)) if page.records.is_empty() => {
                return Ok(LoadedSnapshot { state: newest, end: from });
            }
            Ok((from, page)) => {
                failures = 0;
                next = Offset(from.0 + page.records.len() as u64);
                for (_, piece) in &page.records {
                    let complete = assembler.push(piece);
                    let later = |state: &State| newest.as_ref().is_none_or(|n| n.next < state.next);
                    if let Some(state) = complete.filter(later) {
                        newest = Some(state);
                    }
                }
            }
            Err(error) => {
                warn!("reading {stream} failed: {error}");
                sleep(backoff(&mut rng, failures)).await;
                failures += 1;
            }
        }
    }
}

/// Reads from `from` on, or from the oldest retained record if that is later. Returns the offset it read from.
async fn read_page<L>(
    log: &L,
    stream: &StreamId,
    from: Offset,
    max_bytes: usize,
) -> Result<(Offset, ReadPage)>
where
    L: LogService,
{
    let mut from = from;
    loop {
        match log.read(stream, from, max_bytes, Duration::ZERO).await {
            Err(Error { kind: ErrorKind::Gap { oldest, .. }, .. }) if oldest > from.0 => {
                from = Offset(oldest);
            }
            read => return Ok((from, in_sequence(from, read?)?)),
        }
    }
}

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Writes snapshots when they are due, until the replica stops.
    pub(crate) async fn write_snapshots(&self) {
        let Ok(stream) = stream_id("snapshot", &self.options.region) else { return };
        loop {
            sleep(CHECK_INTERVAL).await;
            if !self.is_snapshot_due() || self.fault().is_some() || self.is_stopping() {
                continue;
            }
            let written = match self.has_new_pieces(&stream).await {
                Ok(true) => Ok(()),
                Ok(false) => self.write_snapshot(&stream).await,
                Err(error) => Err(error),
            };
            if let Err(error) = written {
                warn!("snapshot not written: {error}");
                let delay = backoff(&mut *self.rng.borrow_mut(), MAX_ATTEMPTS);
                sleep(delay).await;
            }
        }
    }

    /// Nodes other than the rendezvous owner wait for half an interval more, so that usually only the owner writes.
    fn is_snapshot_due(&self) -> bool {
        let progress = self.snapshots.get();
        let records = self.state.borrow().next.0.saturating_sub(progress.covered.0);
        let age = self.clock.now().saturating_duration_since(progress.written_at);
        let (due_records, due_age) = (self.options.snapshot_records, self.options.snapshot_age);
        if (self.options.is_owner)(SNAPSHOT_KEY) {
            records >= due_records || (records > 0 && age >= due_age)
        } else {
            records >= due_records + due_records / 2
                || (records > 0 && age >= due_age + due_age / 2)
        }
    }

    /// True when another node has written pieces since the last check; its snapshot then counts for this interval. If
    /// it is incomplete, the next one comes a whole interval later, which the retention of the log has to allow for.
    async fn has_new_pieces(&self, stream: &StreamId) -> Result<bool> {
        let end = self.snapshots.get().end;
        // A limit of one byte still returns one record and the end of the stream.
        let (_, page) = read_page(&self.log, stream, end, 1).await?;
        let new = page.end > end;
        if new {
            self.record_snapshot(page.end);
        }
        Ok(new)
    }

    fn record_snapshot(&self, end: Offset) {
        let covered = self.state.borrow().next;
        self.snapshots.set(SnapshotProgress::new(covered, end, self.clock.now()));
    }

    async fn write_snapshot(&self, stream: &StreamId) -> Result<()> {
        let (covered, pieces) = {
            let state = self.state.borrow();
            (state.next, snapshot::encode(&state))
        };
        let count = pieces.len();
        let mut end = self.snapshots.get().end;
        for piece in pieces {
            end = end.max(self.append_piece(stream, piece).await?.next());
        }
        self.snapshots.set(SnapshotProgress::new(covered, end, self.clock.now()));
        info!("wrote a snapshot up to offset {covered} in {count} pieces");
        Ok(())
    }

    /// Appends one piece. Unanswered calls are retried, because a duplicate piece has no effect.
    async fn append_piece(&self, stream: &StreamId, piece: Vec<u8>) -> Result<Offset> {
        let mut attempts = 0;
        loop {
            match self.log.append(stream, piece.clone()).await {
                Err(error) if attempts + 1 >= MAX_ATTEMPTS => return Err(error),
                Err(_) => {
                    let delay = backoff(&mut *self.rng.borrow_mut(), attempts);
                    sleep(delay).await;
                    attempts += 1;
                }
                result => return result,
            }
        }
    }
}
