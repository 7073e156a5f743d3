//! Replica of one region: the folded state, the follower that feeds it and the writer that proposes changes.

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
    follow::Suspect,
    history::History,
    service::LogService,
    snapshots,
    source::RecordSource,
    writer::{Step, WriterCore, WriterStats},
};

/// Time that [`Replica::stop`] leaves for proposals in flight.
const FLUSH_LIMIT: Duration = Duration::from_secs(5);

/// Tells whether this node is the rendezvous owner of a key among the live nodes.
pub type IsOwner = Rc<dyn Fn(&[u8]) -> bool>;

/// Options of a replica.
#[derive(Clone)]
pub struct ReplicaOptions {
    /// This process start of the node.
    pub node: NodeIncarnation,
    /// Region whose stream is folded.
    pub region: RegionId,
    /// Public keys of the offices, 32 bytes each.
    pub keys: BTreeMap<OfficeId, Vec<[u8; 32]>>,
    /// True when this node is the rendezvous owner of a key among the live nodes. The owner acts first; other nodes act
    /// after a delay.
    pub owner: IsOwner,
    /// Peer that supplies records while the log can't be read.
    pub source: Option<Rc<dyn RecordSource>>,
    /// Seed of the jitter in back-off delays.
    pub seed: u64,
    /// Longest time that start-up waits for the log.
    pub start_limit: Duration,
    /// Folded records after which a snapshot is due.
    pub snapshot_records: u64,
    /// Age after which a snapshot is due when any record was folded since.
    pub snapshot_age: Duration,
}

impl ReplicaOptions {
    /// Defaults for a node of a region.
    pub fn new(node: NodeIncarnation, region: RegionId) -> Self {
        let Incarnation(seed) = node.incarnation;
        ReplicaOptions {
            node,
            region,
            keys: BTreeMap::new(),
            owner: Rc::new(|_| true),
            source: None,
            seed,
            start_limit: Duration::from_secs(30),
            snapshot_records: 20_000,
            snapshot_age: Duration::from_secs(3600),
        }
    }
}

/// Answer to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Proposed {
    /// Read back from the log.
    Decided {
        /// Offset of its batch.
        offset: Offset,
        /// What the fold made of it.
        verdict: Verdict,
    },
    /// It certainly never takes effect.
    Withdrawn,
    /// The order isn't known within the limit; the state shows the outcome later.
    Pending,
}

/// Why a replica has stopped proposing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its state hash differs from that of most peers at this offset.
    Diverged(Offset),
    /// It met an entry kind of a later version.
    Behind,
    /// Records that it needs are no longer retained.
    Gap {
        /// First offset wanted.
        wanted: Offset,
        /// Oldest offset still retained.
        oldest: Offset,
    },
}

/// How far a replica is behind the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lag {
    /// True when the last read of the log was answered.
    pub reachable: bool,
    /// Time since the last answered read.
    pub age: Duration,
    /// Offset of the next record to fold; all earlier ones are applied.
    pub applied: Offset,
    /// End of the stream as of the last answered read.
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
    pub(crate) changed: Notify,
    pub(crate) wake: Notify,
    pub(crate) progress: Cell<Progress>,
    pub(crate) snapshots: Cell<snapshots::Position>,
    pub(crate) suspect: RefCell<Suspect>,
    fault: RefCell<Option<Fault>>,
    stopping: Cell<bool>,
}

/// Times and offsets that the tasks of a replica share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) reachable: bool,
    pub(crate) read: Instant,
    pub(crate) folded: Instant,
    pub(crate) own: Instant,
    pub(crate) end: Offset,
}

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Loads the newest snapshot, replays the tail and waits until the join of this node is read back.
    ///
    /// # Errors
    ///
    /// [`cj_types::ErrorKind::Gap`] when no snapshot reaches the oldest retained record, and
    /// [`cj_types::ErrorKind::Failed`] when this took longer than the start limit.
    pub async fn start(log: L, clock: C, options: ReplicaOptions) -> Result<Rc<Self>> {
        let limit = options.start_limit;
        let started = timeout(limit, Self::load(log, clock, options)).await;
        started.unwrap_or_else(|_| {
            let problem = "the log did not answer within the start limit";
            Err(Error::new(ErrorKind::Failed(problem.into()), "check that the log is reachable"))
        })
    }

    async fn load(log: L, clock: C, options: ReplicaOptions) -> Result<Rc<Self>> {
        let stream = stream_id("region", &options.region)?;
        let loaded = snapshots::load(&log, &options).await?;
        let now = clock.now();
        let state = loaded.state.unwrap_or_else(|| State::new(options.keys.clone()));
        let progress =
            Progress { reachable: true, read: now, folded: now, own: now, end: state.next };
        let replica = Rc::new(Replica {
            log,
            stream,
            history: RefCell::new(History::new(state.next, state.hash)),
            snapshots: Cell::new(snapshots::Position::new(state.next, loaded.end, now)),
            state: RefCell::new(state),
            writer: RefCell::new(WriterCore::new(options.node.clone(), options.seed)),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            changed: Notify::new(),
            wake: Notify::new(),
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

    /// Reads until the end of the stream.
    async fn catch_up(&self) -> Result<()> {
        loop {
            self.read_once(Duration::ZERO).await;
            if let Some(Fault::Gap { wanted, oldest }) = self.fault() {
                return Err(crate::memory::gap(&self.stream, wanted, oldest));
            }
            let lag = self.lag();
            if lag.reachable && lag.applied >= lag.end {
                return Ok(());
            }
        }
    }

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
        let problem = format!("the node can't join: {:?}", self.fault());
        Err(Error::new(ErrorKind::Failed(problem.into()), "upgrade the node or restart it"))
    }

    /// Follows the log and sends proposals until [`Replica::stop`].
    pub async fn run(self: Rc<Self>) {
        let background = join5(
            self.follow(),
            self.follow_peers(),
            self.copy_settings(),
            self.tick(),
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

    /// Resolves after the next folded record.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Proposes an entry and waits up to `limit` for the outcome. Needs [`Replica::run`] to be polled. Dropping the future
    /// doesn't withdraw the entry.
    pub async fn propose(&self, entry: Entry, limit: Duration) -> Proposed {
        if self.fault.borrow().is_some() || self.stopping.get() {
            return Proposed::Withdrawn;
        }
        let pushed = self.writer.borrow_mut().push(entry, limit, self.clock.now());
        let receiver = match pushed {
            Ok(receiver) => receiver,
            Err(error) => {
                info!("proposal withdrawn: {error}");
                return Proposed::Withdrawn;
            }
        };
        self.wake.notify_one();
        receiver.await.unwrap_or(Proposed::Pending)
    }

    /// Sends what is queued, then ends [`Replica::run`].
    pub fn stop(&self) {
        self.stopping.set(true);
        self.writer.borrow_mut().flush();
        self.wake.notify_one();
    }

    /// Whether the log is reachable, and how far the replica is.
    pub fn lag(&self) -> Lag {
        let progress = self.progress.get();
        let age = self.clock.now().saturating_duration_since(progress.read);
        let applied = self.state.borrow().next;
        Lag { reachable: progress.reachable, age, applied, end: progress.end }
    }

    /// True once everything that a live peer has folded is folded here too. A new node serves nothing before.
    pub fn is_caught_up(&self) -> bool {
        let peers = self.options.source.as_ref().map_or(Offset(0), |s| s.applied());
        self.state.borrow().next >= peers
    }

    /// This node as the log knows it. The incarnation changes when the fold has dropped the earlier one.
    pub fn node(&self) -> NodeIncarnation {
        self.writer.borrow().node().clone()
    }

    /// Why the replica refuses to propose, if it does.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.borrow().clone()
    }

    /// Counters of the writer.
    pub fn writer_stats(&self) -> WriterStats {
        self.writer.borrow().stats()
    }

    /// Appends one record per proposal, as a base line for measurements.
    pub fn without_groups(&self) {
        self.writer.borrow_mut().without_groups();
    }

    /// Compares state hashes that live peers report with this replica's own at the same offsets. The replica stops
    /// proposing unless it agrees with most of the nodes, itself included.
    pub fn compare_hashes<I>(&self, peers: I)
    where
        I: IntoIterator<Item = (Offset, [u8; 32])>,
    {
        let (mut same, mut differing) = (1, Vec::new());
        for (offset, hash) in peers {
            match self.history.borrow().hash_at(offset) {
                Some(own) if own == hash => same += 1,
                Some(_) => differing.push(offset),
                None => {}
            }
        }
        if differing.len() < same {
            return;
        }
        if let Some(offset) = differing.into_iter().min() {
            self.fail(Fault::Diverged(offset));
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Stops proposing. The first fault is kept.
    pub(crate) fn fail(&self, fault: Fault) {
        if self.fault.borrow().is_some() {
            return;
        }
        error!("the replica stops proposing: {fault:?}");
        *self.fault.borrow_mut() = Some(fault);
        self.writer.borrow_mut().abandon();
        self.wake.notify_one();
        self.changed.notify_waiters();
    }

    /// Sends batches until the replica stops.
    async fn write(&self) {
        let mut calls = FuturesUnordered::new();
        let mut flush_end = None;
        loop {
            let now = self.clock.now();
            if self.stopping.get() {
                let end = *flush_end.get_or_insert(now + FLUSH_LIMIT);
                if self.writer.borrow().is_idle() || now >= end {
                    return;
                }
            }
            let step = self.next_step(now);
            let wait = match step {
                Step::Send(call, bytes) => {
                    let append = self.log.append(&self.stream, bytes);
                    calls.push(append.map(move |result| (call, result)));
                    continue;
                }
                Step::Wait(until) => until.saturating_duration_since(now),
                Step::Idle => FLUSH_LIMIT,
            };
            let wait = flush_end.map_or(wait, |end| wait.min(end.saturating_duration_since(now)));
            tokio::select! {
                Some((call, result)) = calls.next(), if !calls.is_empty() => {
                    self.writer.borrow_mut().answered(call, &result, self.clock.now());
                }
                () = self.wake.notified() => {}
                () = sleep(wait) => {}
            }
        }
    }

    fn next_step(&self, now: Instant) -> Step {
        if self.fault.borrow().is_some() {
            return Step::Idle;
        }
        self.writer.borrow_mut().poll(now, self.clock.wall())
    }
}

/// Name of a stream of a region.
pub(crate) fn stream_id(kind: &str, region: &RegionId) -> Result<StreamId> {
    format!("{kind}-{region}").parse()
}
