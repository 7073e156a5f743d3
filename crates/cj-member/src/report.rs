//! The report about itself that a node sends in its heartbeats.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cj_types::{DataCentreId, NodeIncarnation, Offset, VmId};

/// Version of the protocol between entry nodes. Nodes ignore heartbeats of other versions.
pub const PROTOCOL_VERSION: u16 = 1;

/// Report of a node about itself. It is encoded without names, so the order of its fields is part of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Protocol version.
    pub protocol: u16,
    /// Name of the cluster; nodes of other clusters are ignored.
    pub cluster: CompactString,
    /// The node and its incarnation, which is one process of the node from start to end.
    pub node: NodeIncarnation,
    /// Number of the report within the incarnation, from 1. A number that is not higher than the last one received
    /// marks a delayed copy.
    pub counter: u64,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentreId,
    /// Offset of the next record of the region stream that the node will apply.
    pub applied: Offset,
    /// Offset of the next record of the `settings` stream that the node will apply.
    pub settings: Offset,
    /// Offset at which `hash` was taken.
    pub hash_at: Offset,
    /// Hash of the state before the record at `hash_at` was applied.
    pub hash: [u8; 32],
    /// Number of requests in flight per upstream; upstreams without any are left out. Only draining and leaving
    /// upstreams are included, because counts for all upstreams would exceed a node's network budget.
    pub in_flight: BTreeMap<VmId, u32>,
    /// True when the node can read the log and its state agrees with that of its peers. Otherwise the node owns
    /// nothing, because the jobs that it owned would have to wait.
    pub deciding: bool,
    /// True when the node is shutting down; it owns nothing from then on.
    pub leaving: bool,
}

impl Report {
    /// The first report of an incarnation: no record is applied and no request is in flight yet.
    pub fn new(
        cluster: CompactString,
        node: NodeIncarnation,
        address: SocketAddr,
        centre: DataCentreId,
    ) -> Self {
        Report {
            protocol: PROTOCOL_VERSION,
            cluster,
            node,
            counter: 0,
            address,
            centre,
            applied: Offset(0),
            settings: Offset(0),
            hash_at: Offset(0),
            hash: [0; 32],
            in_flight: BTreeMap::new(),
            deciding: true,
            leaving: false,
        }
    }
}
