//! Replica of one region: the folded state, the follower that updates it and the writer that proposes changes.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use futures::{
    FutureExt, StreamExt,
    future::{join5, select},
    stream::FuturesUnordered,
};
use log::{error, info};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use cj_fold::{State, Verdict};
use cj_record::Entry;
use cj_types::{
    Clock, Error, ErrorKind, Incarnation, NodeIncarnation, OfficeId, Offset, RegionId, Result,
    StreamId,
};

use crate::{
    follow::SuspectRecord,
    history::History,
    service::LogService,
    snapshots,
    source::RecordSource,
    writer::{WriterAction, WriterCore, WriterStats},
};

/// Time after [`Replica::stop`] for queued and in-flight proposals to be read back.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns whether this node is the rendezvous owner of a key among the live nodes.
pub type IsOwner = Rc<dyn Fn(&[u8]) -> bool>;

/// Options of a replica.
#[derive(Clone)]
pub struct ReplicaOptions {
    /// The node and its incarnation, which is new with every process start.
    pub node: NodeIncarnation,
    /// Region whose stream is folded.
    pub region: RegionId,
    /// Public keys of the offices, 32 bytes each.
    pub office_keys: BTreeMap<OfficeId, Vec<[u8; 32]>>,
    /// Whether this node is the rendezvous owner of a key among the live nodes. The owner acts first; other nodes act
    /// after a delay.
    pub is_owner: IsOwner,
    /// Peer that supplies records while the log can't be read.
    pub peer_source: Option<Rc<dyn RecordSource>>,
    /// Seed of the jitter of back-off delays.
    pub seed: u64,
    /// Time after which start-up fails.
    pub start_timeout: Duration,
    /// Folded records after which a snapshot is due.
    pub snapshot_records: u64,
    /// Age of the last snapshot after which a new one is due, if any record was folded since.
    pub snapshot_age: Duration,
}

impl ReplicaOptions {
    /// Default options for a node of a region.
    pub fn new(node: NodeIncarnation, region: RegionId) -> Self {
        let Incarnation(seed) = node.incarnation;
        ReplicaOptions {
            node,
            region,
            office_keys: BTreeMap::new(),
            is_owner: Rc::new(|_| true),
            peer_source: None,
            seed,
            start_timeout: Duration::from_secs(30),
            snapshot_records: 20_000,
            snapshot_age: Duration::from_secs(3600),
        }
    }
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// Its batch was read back from the log, and the fold has accepted or rejected it.
    Decided {
        /// Offset of its batch.
        offset: Offset,
        /// Verdict of the fold.
        verdict: Verdict,
    },
    /// It has no effect and never will.
    Withdrawn,
    /// It wasn't read back within the time limit; the state shows the outcome later.
    Pending,
}

/// Why a replica has stopped proposing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaFault {
    /// Its state hash differs from that of most peers at this offset.
    Diverged(Offset),
    /// It read an entry kind of a later software version.
    Behind,
    /// Records that it needs are no longer retained.
    Gap {
        /// Offset of the first record that the replica needs.
        wanted: Offset,
        /// Oldest offset still retained.
        oldest: Offset,
    },
}

/// How far the state of a replica is behind the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// True when the last read of the log was answered.
    pub reachable: bool,
    /// Time since the last answered read.
    pub read_age: Duration,
    /// Offset of the next record to fold; all earlier ones are applied.
    pub applied: Offset,
    /// Highest known end of the stream, as of the last answered read or folded record.
    pub end: Offset,
}

/// Replica of one region's state.
pub struct Replica<L, C> {
    pub(crate) log: L,
    pub(crate) clock: C,
    pub(crate) options: ReplicaOptions,
    pub(crate) stream: StreamId,
    pub(crate) state: RefCell<State>,
    pub(crate) history: RefCell<History>,
    pub(crate) writer: RefCell<WriterCore>,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    /// Notified after every folded record and on a fault.
    pub(crate) changed: Notify,
    /// Wakes the task that sends batches.
    pub(crate) writer_wake: Notify,
    pub(crate) progress: Cell<Progress>,
    pub(crate) snapshots: Cell<snapshots::SnapshotProgress>,
    pub(crate) suspect: RefCell<SuspectRecord>,
    fault: RefCell<Option<ReplicaFault>>,
    stopping: Cell<bool>,
}

/// Times and offsets that the tasks of a replica share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// True when the last read of the log was answered.
    pub(crate) reachable: bool,
    /// Time of the last answered read.
    pub(crate) last_read: Instant,
    /// Time when the last record was folded.
    pub(crate) last_fold: Instant,
    /// Time when the last batch of this node was folded.
    pub(crate) last_own: Instant,
    /// Highest known end of the stream.
    pub(crate) end: Offset,
}

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Loads the newest snapshot, folds the later records and waits until the join of this node is read back.
    ///
    /// # Errors
    ///
    /// [`cj_types::ErrorKind::Gap`] when no snapshot reaches the oldest retained record, and
    /// [`cj_types::ErrorKind::Failed`] when this took longer than the start timeout.
    pub async fn start(log: L, clock: C, options: ReplicaOptions) -> Result<Rc<Self>> {
        let timeout_after = options.start_timeout;
        let started = timeout(timeout_after, Self::load(log, clock, options)).await;
        started.unwrap_or_else(|_| {
            let problem = "the replica did not catch up with the log within the start timeout";
            Err(Error::new(ErrorKind::Failed(problem.into()), "check that the log is reachable"))
        })
    }

    async fn load(log: L, clock: C, options: ReplicaOptions) -> Result<Rc<Self>> {
        let stream = stream_id("region", &options.region)?;
        let loaded = snapshots::load(&log, &options).await?;
        let now = clock.now();
        let state = loaded.state.unwrap_or_else(|| State::new(options.office_keys.clone()));
        let progress = Progress {
            reachable: true,
            last_read: now,
            last_fold: now,
            last_own: now,
            end: state.next,
        };
        let replica = Rc::new(Replica {
            log,
            stream,
            history: RefCell::new(History::new(state.next, state.hash)),
            snapshots: Cell::new(snapshots::SnapshotProgress::new(state.next, loaded.end, now)),
            state: RefCell::new(state),
            writer: RefCell::new(WriterCore::new(options.node.clone(), options.seed)),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            changed: Notify::new(),
            writer_wake: Notify::new(),
            progress: Cell::new(progress),
            suspect: RefCell::default(),
            fault: RefCell::default(),
            stopping: Cell::new(false),
            clock,
            options,
        });
        replica.catch_up().await?;
        replica.join().await?;
        info!("joined as {} at offset {}", replica.node(), replica.state().next);
        Ok(replica)
    }

    /// Reads and folds up to the end of the stream.
    async fn catch_up(&self) -> Result<()> {
        loop {
            self.read_once(Duration::ZERO).await;
            if let Some(ReplicaFault::Gap { wanted, oldest }) = self.fault() {
                return Err(crate::memory::gap_error(&self.stream, wanted, oldest));
            }
            let lag = self.lag();
            if lag.reachable && lag.applied >= lag.end {
                return Ok(());
            }
        }
    }

    /// Runs the follower and the writer until the join of this node is read back.
    async fn join(&self) -> Result<()> {
        let joined = async {
            while !self.writer.borrow().is_joined() && self.fault().is_none() {
                self.changed.notified().await;
            }
        };
        let (joined, follow, write) = (joined.boxed_local(), self.follow(), self.write());
        select(joined, select(follow.boxed_local(), write.boxed_local())).await;
        if self.writer.borrow().is_joined() {
            return Ok(());
        }
        let problem = format!("the node could not join the log: {:?}", self.fault());
        Err(Error::new(ErrorKind::Failed(problem.into()), "upgrade the node or restart it"))
    }

    /// Follows the log and sends proposals until [`Replica::stop`].
    pub async fn run(self: Rc<Self>) {
        let background = join5(
            self.follow(),
            self.follow_peers(),
            self.copy_settings(),
            self.append_ticks(),
            self.write_snapshots(),
        );
        select(self.write().boxed_local(), background.boxed_local()).await;
        self.stopping.set(true);
        self.writer.borrow_mut().abandon();
    }

    /// The folded state. Don't hold it across an await.
    pub fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Resolves after the next folded record or when the replica stops proposing because of a fault.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Proposes an entry and waits up to `limit` for the outcome. Requires that [`Replica::run`] is polled. Dropping
    /// the future doesn't withdraw the entry.
    pub async fn propose(&self, entry: Entry, limit: Duration) -> ProposalOutcome {
        if self.fault.borrow().is_some() || self.stopping.get() {
            return ProposalOutcome::Withdrawn;
        }
        let pushed = self.writer.borrow_mut().push(entry, limit, self.clock.now());
        let receiver = match pushed {
            Ok(receiver) => receiver,
            Err(error) => {
                info!("proposal withdrawn: {error}");
                return ProposalOutcome::Withdrawn;
            }
        };
        self.writer_wake.notify_one();
        receiver.await.unwrap_or(ProposalOutcome::Pending)
    }

    /// Sends the queued proposals, then ends [`Replica::run`]. New proposals are withdrawn.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.writer.borrow_mut().flush();
        self.writer_wake.notify_one();
    }

    /// Whether the log is reachable, and how far the replica has followed it.
    pub fn lag(&self) -> Lag {
        let progress = self.progress.get();
        let read_age = self.clock.now().saturating_duration_since(progress.last_read);
        let applied = self.state.borrow().next;
        Lag { reachable: progress.reachable, read_age, applied, end: progress.end }
    }

    /// True once this replica has folded every record that a live peer reports as applied. A new node serves no
    /// requests before that.
    pub fn is_caught_up(&self) -> bool {
        let peers = self.options.peer_source.as_ref().map_or(Offset(0), |s| s.applied_offset());
        self.state.borrow().next >= peers
    }

    /// This node with its current incarnation in the log. The incarnation changes when the fold has dropped the earlier
    /// one.
    pub fn node(&self) -> NodeIncarnation {
        self.writer.borrow().node().clone()
    }

    /// Why the replica has stopped proposing, if it has.
    pub fn fault(&self) -> Option<ReplicaFault> {
        self.fault.borrow().clone()
    }

    /// Counters of the writer.
    pub fn writer_stats(&self) -> WriterStats {
        self.writer.borrow().stats()
    }

    /// Appends one record per proposal, as a baseline for benchmarks.
    pub fn disable_group_commit(&self) {
        self.writer.borrow_mut().disable_group_commit();
    }

    /// Compares state hashes reported by live peers with this replica's hashes at the same offsets. The replica stops
    /// proposing when at least as many peers differ as agree, this replica counted among those that agree.
    pub fn compare_hashes<I>(&self, peers: I)
    where
        I: IntoIterator<Item = (Offset, [u8; 32])>,
    {
        let (mut same, mut differing) = (1, Vec::new());
        for (offset, hash) in peers {
            match self.history.borrow().hash_at(offset) {
                Some(known) if known == hash => same += 1,
                Some(_) => differing.push(offset),
                None => {}
            }
        }
        if differing.len() < same {
            return;
        }
        if let Some(offset) = differing.into_iter().min() {
            self.fail(ReplicaFault::Diverged(offset));
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Stops proposing because of `fault`. An earlier fault is kept.
    pub(crate) fn fail(&self, fault: ReplicaFault) {
        if self.fault.borrow().is_some() {
            return;
        }
        error!("the replica stops proposing: {fault:?}");
        *self.fault.borrow_mut() = Some(fault);
        self.writer.borrow_mut().abandon();
        self.writer_wake.notify_one();
        self.changed.notify_waiters();
    }

    /// Sends batches until the replica stops.
    async fn write(&self) {
        let mut calls = FuturesUnordered::new();
        let mut flush_deadline = None;
        loop {
            let now = self.clock.now();
            if self.stopping.get() {
                let deadline = *flush_deadline.get_or_insert(now + FLUSH_TIMEOUT);
                if self.writer.borrow().is_idle() || now >= deadline {
                    return;
                }
            }
            let action = self.next_action(now);
            let wait = match action {
                WriterAction::Send(call, bytes) => {
                    let append = self.log.append(&self.stream, bytes);
                    calls.push(append.map(move |result| (call, result)));
                    continue;
                }
                WriterAction::Wait(until) => until.saturating_duration_since(now),
                WriterAction::Idle => FLUSH_TIMEOUT,
            };
            let wait = flush_deadline
                .map_or(wait, |deadline| wait.min(deadline.saturating_duration_since(now)));
            tokio::select! {
                Some((call, result)) = calls.next(), if !calls.is_empty() => {
                    self.writer.borrow_mut().handle_append_result(call, &result, self.clock.now());
                }
                () = self.writer_wake.notified() => {}
                () = sleep(wait) => {}
            }
        }
    }

    fn next_action(&self, now: Instant) -> WriterAction {
        if self.fault.borrow().is_some() {
            return WriterAction::Idle;
        }
        self.writer.borrow_mut().poll(now, self.clock.wall())
    }
}

/// Id of a stream of a region: `KIND-REGION`.
pub(crate) fn stream_id(kind: &str, region: &RegionId) -> Result<StreamId> {
    format!("{kind}-{region}").parse()
}
