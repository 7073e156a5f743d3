//! What a node says about itself in a heartbeat.

use std::{collections::BTreeMap, net::SocketAddr};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cj_types::{DataCentreId, NodeIncarnation, Offset, VmId};

/// Version of the protocol between entry nodes. Nodes ignore heartbeats of other versions.
pub const PROTOCOL_VERSION: u16 = 1;

/// What a node says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Protocol version.
    pub protocol: u16,
    /// Name of the cluster; nodes of other clusters are ignored.
    pub cluster: CompactString,
    /// The node and its process start.
    pub node: NodeIncarnation,
    /// Number of the report within the incarnation, from 1. A lower number than the last one is a late copy.
    pub counter: u64,
    /// Address of its peer interface.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: DataCentreId,
    /// Next offset of the region stream that it is going to fold.
    pub applied: Offset,
    /// Next offset of the `settings` stream that it is going to fold.
    pub settings: Offset,
    /// Offset of `hash`.
    pub hash_at: Offset,
    /// State hash before the record at `hash_at`.
    pub hash: [u8; 32],
    /// Requests in flight per upstream; upstreams without any are left out. Only draining and leaving upstreams are needed:
    /// counts for all of them would exceed a node's share of the network.
    pub in_flight: BTreeMap<VmId, u32>,
    /// True when the node can read the log and its state agrees with its peers'. A node that can't decide owns nothing, or
    /// its jobs would wait for it.
    pub deciding: bool,
    /// True when the node shuts down; it gets no ownership any more.
    pub leaving: bool,
}

impl Report {
    /// The first report of a process start: nothing is folded or in flight yet.
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
