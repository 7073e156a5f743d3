//! Follower of a replica: reads the region stream from the log, or from a peer while the log is behind, and folds it.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use futures::future::LocalBoxFuture;
use log::{debug, info, warn};

use cj_fold::Applied;
use cj_record::Batch;
use cj_types::{Clock, Error, ErrorKind, Offset, Result, StreamId};

use crate::{
    replica::{Replica, ReplicaFault},
    service::{LogService, ReadPage},
    source::{RecordSource, RelayPage},
    writer::backoff,
};

/// Maximum bytes of one read.
pub(crate) const MAX_READ_BYTES: usize = 256 * 1024;
/// Longest wait of one read. An idle stream costs one small call per interval of this length.
pub(crate) const LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// Time for which a record reported by a peer may be missing before the peer is asked for it.
const RELAY_DELAY: Duration = Duration::from_millis(300);
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Identical reads of an undecodable record after which it counts as corrupt in the log rather than in transit.
const CORRUPT_READS: u32 = 3;
const REREAD_DELAY: Duration = Duration::from_millis(20);

/// An undecodable or unverified record, and how many reads in a row returned the same bytes.
#[derive(Debug, Default)]
pub(crate) struct SuspectRecord {
    record: Option<(Offset, Vec<u8>)>,
    reads: u32,
}

impl SuspectRecord {
    /// Counts this read; true once [`CORRUPT_READS`] reads in a row returned the same bytes.
    pub(crate) fn is_confirmed(&mut self, offset: Offset, bytes: &[u8]) -> bool {
        let repeated = self.record.as_ref().is_some_and(|(o, b)| *o == offset && b == bytes);
        if !repeated {
            self.record = Some((offset, bytes.to_vec()));
            self.reads = 0;
        }
        self.reads += 1;
        self.reads >= CORRUPT_READS
    }
}

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Reads the log and folds the records until a gap is found.
    pub(crate) async fn follow(&self) {
        while !matches!(self.fault(), Some(ReplicaFault::Gap { .. })) {
            self.read_once(LONG_POLL_WAIT).await;
        }
        // Never returns, so that the other tasks keep running and the node can report the gap.
        std::future::pending::<()>().await;
    }

    /// Reads and folds one page. Waits for a back-off delay when the read fails.
    pub(crate) async fn read_once(&self, wait: Duration) {
        let from = self.state.borrow().next;
        let read = self.log.read(&self.stream, from, MAX_READ_BYTES, wait).await;
        match read.and_then(|page| in_sequence(from, page)) {
            Ok(page) => {
                self.record_read(page.end);
                let complete = self.fold_log(&page.records);
                if !complete {
                    sleep(REREAD_DELAY).await;
                }
            }
            Err(Error { kind: ErrorKind::Gap { oldest, .. }, .. }) => self.handle_gap(from, oldest),
            Err(error) => self.handle_read_error(&error).await,
        }
    }

    fn record_read(&self, end: Offset) {
        let mut progress = self.progress.get();
        progress.reachable = true;
        progress.last_read = self.clock.now();
        progress.end = progress.end.max(end);
        self.progress.set(progress);
    }

    fn handle_gap(&self, wanted: Offset, oldest: u64) {
        // A peer may have supplied the records meanwhile.
        if self.state.borrow().next == wanted {
            self.fail(ReplicaFault::Gap { wanted, oldest: Offset(oldest) });
        }
    }

    async fn handle_read_error(&self, error: &Error) {
        let mut progress = self.progress.get();
        if progress.reachable {
            warn!("reading {} failed: {error}", self.stream);
        }
        progress.reachable = false;
        self.progress.set(progress);
        let outage_secs = self.clock.now().saturating_duration_since(progress.last_read).as_secs();
        let delay = backoff(&mut *self.rng.borrow_mut(), outage_secs.min(4) as u32);
        sleep(delay).await;
    }

    /// Folds records of the log. Returns false when a record has to be read again.
    fn fold_log(&self, records: &[(Offset, Vec<u8>)]) -> bool {
        for (offset, bytes) in records {
            let next = self.state.borrow().next;
            if *offset < next {
                self.check_relayed(*offset, bytes);
                continue;
            }
            let damaged = Batch::decode(bytes).is_err();
            if damaged && !self.suspect.borrow_mut().is_confirmed(*offset, bytes) {
                debug!("record {offset} can't be decoded; reading it again");
                return false;
            }
            self.fold(*offset, bytes);
        }
        true
    }

    /// Compares a record of the log with the one that a peer supplied while the read was in progress. If they differ,
    /// this replica has diverged.
    fn check_relayed(&self, offset: Offset, bytes: &[u8]) {
        let same = self.history.borrow().record(offset).is_none_or(|known| known == bytes);
        if !same && Batch::decode(bytes).is_ok() {
            self.fail(ReplicaFault::Diverged(offset));
        }
    }

    fn fold(&self, offset: Offset, bytes: &[u8]) {
        let now = self.clock.now();
        let (applied, hash, behind) = {
            let mut state = self.state.borrow_mut();
            let applied = state.apply(offset, bytes);
            (applied, state.hash, state.behind)
        };
        self.history.borrow_mut().push(bytes, hash);
        let mut progress = self.progress.get();
        progress.last_fold = now;
        progress.end = progress.end.max(offset.next());
        if let Applied::Corrupt { reason } = &applied {
            warn!("record {offset} of {} skipped: {reason}", self.stream);
        }
        if self.is_own_batch(&applied) {
            progress.last_own = now;
        }
        self.progress.set(progress);
        self.writer.borrow_mut().handle_folded(offset, &applied, now);
        if behind {
            self.fail(ReplicaFault::Behind);
        }
        self.changed.notify_waiters();
        self.writer_wake.notify_one();
    }

    fn is_own_batch(&self, applied: &Applied) -> bool {
        matches!(applied, Applied::Batch { writer, .. } if writer == self.writer.borrow().node())
    }

    /// Fetches records from peers that report them while the log doesn't return them in time.
    ///
    /// This is safe because a peer forwards the bytes that it read from the log itself, over an authenticated
    /// connection; because they are folded only at the next offset; and because the peer's state hash at that offset
    /// has to equal this replica's, which shows that both have folded the same prefix. The next comparison of state
    /// hashes would still detect a wrong record and stop this replica's proposals.
    pub(crate) async fn follow_peers(&self) {
        let Some(source) = &self.options.peer_source else { return };
        let mut missing_since = None;
        let mut known_next = self.state.borrow().next;
        loop {
            sleep(RELAY_CHECK_INTERVAL).await;
            let now = self.clock.now();
            let next = self.state.borrow().next;
            if source.applied_offset() <= next
                || matches!(self.fault(), Some(ReplicaFault::Diverged(_)))
            {
                missing_since = None;
                continue;
            }
            if next != known_next {
                // The offset advanced without records from a peer, so the log is answering.
                known_next = next;
                missing_since = None;
            }
            let since = *missing_since.get_or_insert(now);
            if now.saturating_duration_since(since) < RELAY_DELAY {
                continue;
            }
            let fetch = timeout(RELAY_TIMEOUT, source.records(&self.stream, next, MAX_READ_BYTES));
            if let Ok(Some(page)) = fetch.await
                && self.fold_relayed(next, &page)
            {
                // Counts as the known offset, so the next fetch follows without delay until the log itself makes
                // progress.
                known_next = self.state.borrow().next;
            }
        }
    }

    fn fold_relayed(&self, from: Offset, page: &RelayPage) -> bool {
        let (next, hash) = {
            let state = self.state.borrow();
            (state.next, state.hash)
        };
        if next != from || page.before != hash {
            info!("ignored records from a peer that don't continue this state at offset {next}");
            return false;
        }
        for (offset, bytes) in &page.records {
            if *offset != self.state.borrow().next {
                break;
            }
            self.fold(*offset, bytes);
        }
        true
    }
}

impl<L, C> RecordSource for Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    fn records<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> LocalBoxFuture<'a, Option<RelayPage>> {
        let available =
            *stream == self.stream && !matches!(self.fault(), Some(ReplicaFault::Diverged(_)));
        let page = available.then(|| self.history.borrow().page(from, max_bytes)).flatten();
        Box::pin(std::future::ready(page))
    }

    fn applied_offset(&self) -> Offset {
        self.state.borrow().next
    }
}

/// Checks that a page starts at `from` and has consecutive offsets, and that the stream still extends to `from`.
pub(crate) fn in_sequence(from: Offset, page: ReadPage) -> Result<ReadPage> {
    if page.end < from {
        return Err(Error::decode(
            "page of records",
            "the stream ends before an offset that was read earlier",
        ));
    }
    let expected = (from.0..).map(Offset);
    if page.records.iter().zip(expected).any(|((offset, _), expected)| *offset != expected) {
        return Err(Error::decode("page of records", "record offsets are not consecutive"));
    }
    Ok(page)
}
