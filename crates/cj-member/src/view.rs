//! The view of the live peers that a node builds from heartbeats, and the ownership derived from it. Does no I/O.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cj_types::{NodeId, NodeIncarnation, rendezvous};

use crate::report::{PROTOCOL_VERSION, Report};

/// A peer is due for a heartbeat when it was silent for this fraction of the heartbeat interval.
const DUE_AFTER_INTERVALS: f64 = 0.6;

/// Options of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewOptions {
    /// Interval between heartbeats.
    pub interval: Duration,
    /// Number of missed heartbeats after which a peer is suspected to have failed and owns nothing.
    pub missed: u32,
    /// Time after which a silent peer is removed from the view.
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

/// A known peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its newest report.
    pub report: Report,
    /// Time at which the newest report was received; moved forward after a pause of this node.
    pub received_at: Instant,
}

/// Result of receiving a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The node or its incarnation was not known yet.
    Joined,
    /// A newer report of a known incarnation.
    Updated,
    /// An old report, a copy, or a report of an earlier incarnation; it was ignored.
    Stale,
    /// From another cluster, another protocol version or this node itself; it was ignored.
    Foreign,
}

/// The known peers with their newest reports.
#[derive(Clone, Debug)]
pub struct PeerView {
    own: Report,
    options: ViewOptions,
    peers: BTreeMap<NodeId, Peer>,
    /// Earlier incarnations of known nodes and when they were replaced. A delayed report of one of them must not
    /// replace the report of its successor.
    earlier_incarnations: BTreeMap<NodeIncarnation, Instant>,
    last_tick: Option<Instant>,
}

impl PeerView {
    /// Creates a view without any peers.
    pub fn new(own: Report, options: ViewOptions) -> Self {
        PeerView {
            own,
            options,
            peers: BTreeMap::new(),
            earlier_incarnations: BTreeMap::new(),
            last_tick: None,
        }
    }

    /// The report of this node.
    pub fn own(&self) -> &Report {
        &self.own
    }

    /// The report of this node, for updates before it is sent.
    pub fn own_mut(&mut self) -> &mut Report {
        &mut self.own
    }

    /// Adds the report of a peer to the view if it is new.
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

    /// Peers that are neither suspected nor leaving, in order of node id. This node is not included.
    pub fn live(&self, now: Instant) -> Vec<&Peer> {
        self.peers.values().filter(|p| !p.report.leaving && !self.is_suspect(p, now)).collect()
    }

    /// The known peer with this id.
    pub fn peer(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    /// Rendezvous owner of a key among the live nodes that report `deciding`, this one included. If there is none, this
    /// node.
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

    /// True when the peer has missed too many heartbeats.
    pub fn is_suspect(&self, peer: &Peer, now: Instant) -> bool {
        now.saturating_duration_since(peer.received_at)
            > self.options.interval * self.options.missed
    }

    /// Peers to send a heartbeat to: all that sent no report within the last part of an interval. A heartbeat exchange
    /// carries the reports of both sides, so one exchange per pair and interval is enough.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let recent = self.options.interval.mul_f64(DUE_AFTER_INTERVALS);
        self.peers.values().filter(move |p| now.saturating_duration_since(p.received_at) >= recent)
    }

    /// All known peers, suspected and leaving ones included.
    pub fn known(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Starts a heartbeat interval: increments the number of this node's report and removes peers that were silent for
    /// too long. If this node was paused, it could not receive heartbeats, so the duration of the pause is not counted
    /// as silence of its peers.
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
