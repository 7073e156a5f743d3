//! What all nodes know of the cells: the layout, and the owners as their heartbeats describe them.
//!
//! Only the owner and a few other nodes of a large fleet follow a cell. The others learn from this topic whom to ask about
//! its jobs, how loaded it is, and that it has no owner. Nothing here proves an ownership; the logs of the cell do.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cj_sched::{codec, record::OwnerHeartbeat};
use cj_types::{Error, NodeId, Result};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::layout::{CellId, Layout};

/// Key of the layout.
const LAYOUT: &str = "layout";

/// A node that announced to take over a cell has this time before others try.
const BID_TIME: Duration = Duration::from_millis(3_500);

/// Heartbeat of a cell's owner for the nodes that don't follow the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellBeat {
    /// The owner and its load.
    pub owner: OwnerHeartbeat,
    /// Where it answers questions of other nodes, `ip:port`.
    pub address: CompactString,
    /// Jobs of which no task has begun, by queue.
    pub waiting: Vec<(CompactString, u32)>,
    /// Waves of which the cell has no VM left to maintain.
    pub waves: Vec<u64>,
}

/// A record about the cells.
#[derive(Clone, Debug, PartialEq)]
pub enum CellRecord {
    /// How the fleet is divided.
    Layout(Layout),
    /// A cell has an owner.
    Beat(CellId, CellBeat),
    /// A node is about to take over a cell that it doesn't follow yet.
    Bid(CellId, NodeId),
}

impl CellRecord {
    /// The record as it is appended: its key and its value.
    pub fn entry(&self) -> (CompactString, Vec<u8>) {
        match self {
            CellRecord::Layout(layout) => (LAYOUT.into(), codec::to_bytes(layout)),
            CellRecord::Beat(cell, beat) => (format_compact!("b{cell}"), codec::to_bytes(beat)),
            CellRecord::Bid(cell, node) => (format_compact!("t{cell}"), codec::to_bytes(node)),
        }
    }

    /// Reads a record from its key and value.
    ///
    /// # Errors
    ///
    /// An unknown key, another format, or a body that can't be read.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self> {
        if key == LAYOUT {
            return codec::from_bytes(value).map(CellRecord::Layout);
        }
        let wrong = || Error::decode("cell record", key);
        let (kind, cell) = key.split_at_checked(1).ok_or_else(wrong)?;
        let cell = CellId(cell.parse().map_err(|_| wrong())?);
        match kind {
            "b" => Ok(CellRecord::Beat(cell, codec::from_bytes(value)?)),
            "t" => Ok(CellRecord::Bid(cell, codec::from_bytes(value)?)),
            _ => Err(wrong()),
        }
    }
}

/// A heartbeat, and when it was read.
#[derive(Clone, Debug)]
struct Heard {
    beat: CellBeat,
    at: Instant,
}

/// What is known of the owners of all cells.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    beats: BTreeMap<CellId, Heard>,
    bids: BTreeMap<CellId, (NodeId, Instant)>,
}

impl Roster {
    /// Takes note of a heartbeat, unless a later owner was heard of.
    pub fn hear(&mut self, cell: CellId, beat: CellBeat, now: Instant) {
        let known = self.beats.get(&cell).map_or(0, |heard| heard.beat.owner.epoch);
        if beat.owner.epoch >= known {
            self.beats.insert(cell, Heard { beat, at: now });
        }
    }

    /// Takes note of a node that is about to take over a cell.
    pub fn note_bid(&mut self, cell: CellId, node: NodeId, now: Instant) {
        self.bids.insert(cell, (node, now));
    }

    /// True while another node is about to take over the cell.
    pub fn is_bid_for(&self, cell: CellId, own: &NodeId, now: Instant) -> bool {
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < BID_TIME;
        self.bids.get(&cell).is_some_and(|(node, at)| node != own && fresh(at))
    }

    /// The last heartbeat of the cell's owner.
    pub fn beat(&self, cell: CellId) -> Option<&CellBeat> {
        self.beats.get(&cell).map(|heard| &heard.beat)
    }

    /// Time since the cell's owner was heard of; `None` when it has none.
    pub fn silence(&self, cell: CellId, now: Instant) -> Option<Duration> {
        let heard = self.beats.get(&cell).filter(|heard| !heard.beat.owner.released)?;
        Some(now.saturating_duration_since(heard.at))
    }

    /// Whether each of the cells has no VM left to maintain for a wave.
    pub fn done_with(&self, wave: u64, cells: u16) -> Vec<bool> {
        let done = |cell| self.beat(cell).is_some_and(|beat| beat.waves.contains(&wave));
        (0..cells).map(CellId).map(done).collect()
    }

    /// Waiting jobs of a queue in the cells; `None` when a cell's owner wasn't heard of for `limit`.
    pub fn waiting(&self, queue: &str, cells: u16, now: Instant, limit: Duration) -> Option<usize> {
        let mut sum = 0;
        for cell in (0..cells).map(CellId) {
            let heard = self.beats.get(&cell)?;
            if now.saturating_duration_since(heard.at) > limit {
                return None;
            }
            let own = heard.beat.waiting.iter().find(|(name, _)| name == queue);
            sum += own.map_or(0, |(_, count)| *count as usize);
        }
        Some(sum)
    }
}
