//! View of the live peers, built from heartbeats. No I/O.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cj_types::{NodeId, NodeIncarnation, rendezvous};

use crate::report::{PROTOCOL_VERSION, Report};

/// Part of an interval after which a peer is due for a heartbeat again.
const DUE_AFTER_INTERVALS: f64 = 0.6;

/// Options of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewOptions {
    /// Interval between heartbeats.
    pub interval: Duration,
    /// Missed heartbeats after which a peer is suspected and owns nothing.
    pub missed: u32,
    /// Time after which a silent peer is forgotten.
    pub forget_after: Duration,
}

impl Default for ViewOptions {
    fn default() -> Self {
        ViewOptions {
            interval: Duration::from_millis(500),
            missed: 4,
            forget_after: Duration::from_secs(600),
        }
    }
}

/// A peer as last heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its newest report.
    pub report: Report,
    /// When the newest report came.
    pub received_at: Instant,
}

/// What a view made of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// A node or process start that wasn't known.
    Joined,
    /// A newer report of a known process start.
    Updated,
    /// An older report or one of an earlier process start.
    Stale,
    /// Another cluster, another protocol version or this node itself.
    Foreign,
}

/// Live peers and what they report.
#[derive(Clone, Debug)]
pub struct PeerView {
    own: Report,
    options: ViewOptions,
    peers: BTreeMap<NodeId, Peer>,
    /// Earlier process starts; a late report of one must not replace its successor.
    earlier_incarnations: BTreeMap<NodeIncarnation, Instant>,
    last_tick: Option<Instant>,
}

impl PeerView {
    /// Creates a view that knows only this node.
    pub fn new(own: Report, options: ViewOptions) -> Self {
        PeerView {
            own,
            options,
            peers: BTreeMap::new(),
            earlier_incarnations: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// This node's own report.
    pub fn own(&self) -> &Report {
        &self.own
    }

    /// This node's own report, to be updated before it is sent.
    pub fn own_mut(&mut self) -> &mut Report {
        &mut self.own
    }

    /// Takes a report in.
    pub fn receive(&mut self, report: Report, now: Instant) -> Received {
        let own = &self.own;
        let foreign = report.protocol != PROTOCOL_VERSION
            || report.cluster != own.cluster
            || report.node.node == own.node.node;
        if foreign {
            return Received::Foreign;
        }
        if self.earlier_incarnations.contains_key(&report.node) {
            return Received::Stale;
        }
        let node = report.node.node.clone();
        let received = match self.peers.get(&node).map(|p| &p.report) {
            Some(known) if known.node == report.node => {
                if report.counter <= known.counter {
                    return Received::Stale;
                }
                Received::Updated
            }
            Some(known) => {
                self.earlier_incarnations.insert(known.node.clone(), now);
                Received::Joined
            }
            None => Received::Joined,
        };
        self.peers.insert(node, Peer { report, received_at: now });
        received
    }

    /// Peers heard of recently that aren't leaving, by node id; this node isn't among them.
    pub fn live(&self, now: Instant) -> Vec<&Peer> {
        self.peers.values().filter(|p| !p.report.leaving && !self.is_suspect(p, now)).collect()
    }

    /// The peer with this id, unless it's forgotten.
    pub fn peer(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Rendezvous owner of a key among the live nodes that can decide, this one included.
    pub fn owner(&self, key: &[u8], now: Instant) -> NodeId {
        let mut live = self.live(now);
        live.retain(|p| p.report.deciding);
        let eligible = self.own.deciding && !self.own.leaving;
        let own = (eligible || live.is_empty()).then_some(&self.own);
        let nodes: Vec<&NodeId> =
            live.iter().map(|p| &p.report).chain(own).map(|r| &r.node.node).collect();
        let owner = rendezvous::owner(key, nodes.iter().map(|n| n.as_str()));
        let found = nodes.iter().find(|n| Some(n.as_str()) == owner);
        found.map_or_else(|| self.own.node.node.clone(), |n| (*n).clone())
    }

    /// True when too many heartbeats of the peer were missed.
    pub fn is_suspect(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_duration_since(peer.received_at)
            > self.options.interval * self.options.missed
    }

    /// Peers to send a heartbeat to: all that weren't heard of in the last part of an interval. An exchange carries both
    /// reports, so one per pair and interval is enough.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let recent = self.options.interval.mul_f64(DUE_AFTER_INTERVALS);
        self.peers.values().filter(move |p| now.saturating_duration_since(p.received_at) >= recent)
    }

    /// All peers that aren't forgotten, suspected and leaving ones included.
    pub fn known(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Starts a heartbeat interval: numbers the own report and forgets peers that were silent for long. When this
    /// node was paused, the silence was its own; peers get the time of the pause before they are suspected.
    pub fn tick(&mut self, now: Instant) {
        let ViewOptions { interval, forget_after, .. } = self.options;
        let gap = self.last_tick.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
        self.last_tick = Some(now);
        self.own.counter += 1;
        if gap > interval * 2 {
            let pause = gap - interval;
            self.peers.values_mut().for_each(|p| p.received_at = now.min(p.received_at + pause));
        }
        self.peers.retain(|_, p| now.saturating_duration_since(p.received_at) <= forget_after);
        self.earlier_incarnations
            .retain(|_, at| now.saturating_duration_since(*at) <= forget_after);
    }
}
