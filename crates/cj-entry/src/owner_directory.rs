//! What all nodes know about the cells: the layout, and the owners according to their heartbeats.
//!
//! Only the owner and a few other nodes of a large fleet follow a cell. The others learn from the cells topic which
//! node to ask about its jobs, how loaded the cell is, and whether it has an owner. The directory doesn't prove an
//! ownership; the logs of the cell do.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cj_sched::{LoadReport, codec, record::OwnerHeartbeat};
use cj_types::{Error, NodeId, Result};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::layout::{CellId, Layout};

/// Key of the layout record.
const LAYOUT: &str = "layout";

/// How long the candidacy of a node keeps other nodes from announcing theirs.
const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Heartbeat of a cell's owner for the nodes that don't follow the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellHeartbeat {
    /// The owner and its load.
    pub owner: OwnerHeartbeat,
    /// Address for requests of other nodes, `ip:port`.
    pub address: CompactString,
    /// Number of jobs without a started task, by queue.
    pub waiting: Vec<(CompactString, u32)>,
    /// Waves of which the cell has no VM left to maintain.
    pub completed_waves: Vec<u64>,
}

/// A record of the cells topic.
#[derive(Clone, Debug, PartialEq)]
pub enum CellRecord {
    /// How the fleet is divided into cells.
    Layout(Layout),
    /// Heartbeat of the owner of a cell.
    Heartbeat(CellId, CellHeartbeat),
    /// A node is about to take over a cell that it doesn't follow yet.
    Candidacy(CellId, NodeId),
    /// Load of a cell for the admission of jobs. Earlier releases skip the record.
    Load(CellId, LoadReport),
}

impl CellRecord {
    /// Encodes the record as key and value.
    pub fn entry(&self) -> (CompactString, Vec<u8>) {
        match self {
            CellRecord::Layout(layout) => (LAYOUT.into(), codec::to_bytes(layout)),
            CellRecord::Heartbeat(cell, heartbeat) => {
                (format_compact!("b{cell}"), codec::to_bytes(heartbeat))
            }
            CellRecord::Candidacy(cell, node) => {
                (format_compact!("t{cell}"), codec::to_bytes(node))
            }
            CellRecord::Load(cell, report) => (format_compact!("l{cell}"), codec::to_bytes(report)),
        }
    }

    /// Decodes a record from its key and value.
    ///
    /// # Errors
    ///
    /// An unknown key, another format version, or a malformed body.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self> {
        if key == LAYOUT {
            return codec::from_bytes(value).map(CellRecord::Layout);
        }
        let invalid = || Error::decode("cell record", key);
        let (kind, cell) = key.split_at_checked(1).ok_or_else(invalid)?;
        let cell = CellId(cell.parse().map_err(|_| invalid())?);
        match kind {
            "b" => Ok(CellRecord::Heartbeat(cell, codec::from_bytes(value)?)),
            "t" => Ok(CellRecord::Candidacy(cell, codec::from_bytes(value)?)),
            "l" => Ok(CellRecord::Load(cell, codec::from_bytes(value)?)),
            _ => Err(invalid()),
        }
    }
}

/// A heartbeat, and when it was read.
#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    heartbeat: CellHeartbeat,
    received_at: Instant,
}

/// The last heartbeats and candidacies of all cells.
#[derive(Clone, Debug, Default)]
pub struct OwnerDirectory {
    heartbeats: BTreeMap<CellId, ReceivedHeartbeat>,
    candidacies: BTreeMap<CellId, (NodeId, Instant)>,
}

impl OwnerDirectory {
    /// Records a heartbeat, unless one of a later owner was read.
    pub fn record_heartbeat(&mut self, cell: CellId, heartbeat: CellHeartbeat, now: Instant) {
        let known = self.heartbeats.get(&cell).map_or(0, |received| received.heartbeat.owner.epoch);
        if heartbeat.owner.epoch >= known {
            self.heartbeats.insert(cell, ReceivedHeartbeat { heartbeat, received_at: now });
        }
    }

    /// Records that a node is about to take over a cell.
    pub fn record_candidacy(&mut self, cell: CellId, node: NodeId, now: Instant) {
        self.candidacies.insert(cell, (node, now));
    }

    /// True while a node other than `own` is about to take over the cell.
    pub fn has_other_candidate(&self, cell: CellId, own: &NodeId, now: Instant) -> bool {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < CANDIDACY_TIMEOUT;
        self.candidacies.get(&cell).is_some_and(|(node, at)| node != own && fresh(at))
    }

    /// The last heartbeat of the cell's owner.
    pub fn heartbeat(&self, cell: CellId) -> Option<&CellHeartbeat> {
        self.heartbeats.get(&cell).map(|received| &received.heartbeat)
    }

    /// Time since the last heartbeat of the cell's owner was read; `None` if the cell has no owner.
    pub fn heartbeat_age(&self, cell: CellId, now: Instant) -> Option<Duration> {
        let received =
            self.heartbeats.get(&cell).filter(|received| !received.heartbeat.owner.released)?;
        Some(now.saturating_duration_since(received.received_at))
    }

    /// Whether each of the cells has no VM left to maintain for a wave.
    pub fn cells_completed(&self, wave: u64, cells: u16) -> Vec<bool> {
        let done = |cell| {
            self.heartbeat(cell).is_some_and(|heartbeat| heartbeat.completed_waves.contains(&wave))
        };
        (0..cells).map(CellId).map(done).collect()
    }

    /// Number of waiting jobs of a queue in all cells; `None` if the last heartbeat of any of them is older than
    /// `limit`.
    pub fn waiting(&self, queue: &str, cells: u16, now: Instant, limit: Duration) -> Option<usize> {
        let mut sum = 0;
        for cell in (0..cells).map(CellId) {
            let received = self.heartbeats.get(&cell)?;
            if now.saturating_duration_since(received.received_at) > limit {
                return None;
            }
            let own = received.heartbeat.waiting.iter().find(|(name, _)| name == queue);
            sum += own.map_or(0, |(_, count)| *count as usize);
        }
        Some(sum)
    }
}
