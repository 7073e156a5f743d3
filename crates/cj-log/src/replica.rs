//! Replica of one region: the folded state, the follower that feeds it and the writer that proposes changes.

use std::{
    cell::{Ref, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::sync::Notify;

use cj_fold::{State, Verdict};
use cj_record::Entry;
use cj_types::{Clock, Error, Incarnation, NodeIncarnation, OfficeId, Offset, RegionId, Result};

use crate::{service::LogService, source::RecordSource};

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
    log: L,
    clock: C,
    options: ReplicaOptions,
    state: RefCell<State>,
    changed: Notify,
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
    /// [`cj_types::ErrorKind::Unanswered`] when the log didn't answer within the start limit.
    pub async fn start(_log: L, _clock: C, _options: ReplicaOptions) -> Result<Rc<Self>> {
        Err(Error::decode("snapshot", "start-up isn't available yet"))
    }

    /// Follows the log and sends proposals until [`Replica::stop`].
    pub async fn run(self: Rc<Self>) {
        let _ = (&self.log, &self.clock);
    }

    /// The folded state. Don't hold it across an await.
    pub fn state(&self) -> Ref<'_, State> {
        self.state.borrow()
    }

    /// Resolves after the next folded record.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Proposes an entry and waits up to `limit` for the outcome.
    pub async fn propose(&self, _entry: Entry, _limit: Duration) -> Proposed {
        Proposed::Withdrawn
    }

    /// Sends what is queued, then ends [`Replica::run`].
    pub fn stop(&self) {}

    /// Whether the log is reachable, and how far the replica is.
    pub fn lag(&self) -> Lag {
        let applied = self.state.borrow().next;
        Lag { reachable: false, age: Duration::ZERO, applied, end: applied }
    }

    /// This node as the log knows it.
    pub fn node(&self) -> NodeIncarnation {
        self.options.node.clone()
    }

    /// Why the replica refuses to propose, if it does.
    pub fn fault(&self) -> Option<Fault> {
        None
    }
}
