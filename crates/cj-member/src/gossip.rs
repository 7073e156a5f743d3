//! Gossip with version vectors, one of the ways to spread reports that the membership benchmark compares. Does no I/O.
//!
//! Two nodes compare the counters of all reports that they hold and send each other only the newer ones. The exchange
//! is described in "Friendshare" (Chiang, 2008).

use std::{collections::BTreeMap, time::Instant};

use serde::{Deserialize, Serialize};

use cj_types::{Incarnation, NodeId};

use crate::{
    report::Report,
    view::{PeerView, ViewOptions},
};

/// Incarnation and counter of the newest report held, by node.
pub type VersionVector = BTreeMap<NodeId, (Incarnation, u64)>;

/// Difference between the reports of a node and the version vector of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Reports that the peer lacks.
    pub reports: Vec<Report>,
    /// Nodes whose reports are newer at the peer.
    pub requested: Vec<NodeId>,
}

/// A node that spreads reports by gossip. The incarnations of a node are not ordered, so a report of an earlier
/// incarnation that arrives late through a third node can hide its successor until it is removed from the view.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The view of the peers.
    pub view: PeerView,
}

impl Gossip {
    /// Creates a node without any peers.
    pub fn new(own: Report, options: ViewOptions) -> Self {
        Gossip { view: PeerView::new(own, options) }
    }

    fn reports(&self) -> impl Iterator<Item = &Report> {
        self.view.known().map(|p| &p.report).chain([self.view.own()])
    }

    /// Version vector of all reports that the node holds, its own included.
    pub fn versions(&self) -> VersionVector {
        let version = |r: &Report| (r.node.node.clone(), (r.node.incarnation, r.counter));
        self.reports().map(version).collect()
    }

    /// Compares the version vector of a peer with the reports of this node.
    pub fn compare(&self, peer_versions: &VersionVector) -> Difference {
        let peer_lacks = |r: &&Report| match peer_versions.get(&r.node.node) {
            Some((incarnation, counter)) => {
                *incarnation == r.node.incarnation && *counter < r.counter
            }
            None => true,
        };
        let own = self.versions();
        let newer_at_peer = |(node, (incarnation, counter)): (&NodeId, &(Incarnation, u64))| {
            let known = own.get(node);
            known.is_none_or(|(i, c)| i != incarnation || c < counter).then(|| node.clone())
        };
        Difference {
            reports: self.reports().filter(peer_lacks).cloned().collect(),
            requested: peer_versions.iter().filter_map(newer_at_peer).collect(),
        }
    }

    /// Reports of the given nodes.
    pub fn select(&self, nodes: &[NodeId]) -> Vec<Report> {
        self.reports().filter(|r| nodes.contains(&r.node.node)).cloned().collect()
    }

    /// Adds reports from a peer to the view.
    pub fn merge(&mut self, reports: Vec<Report>, now: Instant) {
        for report in reports {
            self.view.receive(report, now);
        }
    }
}
