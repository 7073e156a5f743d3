//! Gossip with version vectors: one of the ways to spread reports that the membership benchmark compares. No I/O.
//!
//! Two nodes compare the counters of all reports that they hold and send each other only the newer ones. The exchange is
//! described in "Friendshare" (Chiang, 2008).

use std::{collections::BTreeMap, time::Instant};

use serde::{Deserialize, Serialize};

use cj_types::{Incarnation, NodeId};

use crate::{
    report::Report,
    view::{PeerView, ViewOptions},
};

/// Version vector: process start and counter of the newest report held, by node.
pub type VersionVector = BTreeMap<NodeId, (Incarnation, u64)>;

/// Answer to a version vector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Reports that the other node lacks.
    pub reports: Vec<Report>,
    /// Nodes of which the other node has newer reports.
    pub requested: Vec<NodeId>,
}

/// A node that spreads reports by gossip. Two process starts of one node aren't ordered, so a report of the earlier one
/// that arrives first through a third node can hide its successor until it is forgotten.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// What the node knows.
    pub view: PeerView,
}

impl Gossip {
    /// Creates a node that knows only itself.
    pub fn new(own: Report, options: ViewOptions) -> Self {
        Gossip { view: PeerView::new(own, options) }
    }

    fn reports(&self) -> impl Iterator<Item = &Report> {
        self.view.known().map(|p| &p.report).chain([self.view.own()])
    }

    /// Version vector of everything the node holds.
    pub fn versions(&self) -> VersionVector {
        let version = |r: &Report| (r.node.node.clone(), (r.node.incarnation, r.counter));
        self.reports().map(version).collect()
    }

    /// Compares a peer's version vector with the own reports.
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

    /// Takes reports in.
    pub fn merge(&mut self, reports: Vec<Report>, now: Instant) {
        for report in reports {
            self.view.receive(report, now);
        }
    }
}
