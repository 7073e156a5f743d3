//! The router's view of the fleet.

use std::collections::BTreeMap;

use cj_settings::{ClassSettings, TeamSettings};
use cj_types::{ClassId, DataCentreId, PoolId, RackId, ServiceId, TeamId, VmId};

/// Pools, their upstreams and the settings that apply to them, at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolView {
    /// Pools that serve requests.
    pub pools: BTreeMap<PoolId, PoolEntry>,
    /// Class settings.
    pub classes: BTreeMap<ClassId, ClassSettings>,
    /// Team settings; a team without settings has weight 1 and no quota.
    pub teams: BTreeMap<TeamId, TeamSettings>,
    /// Index of this node among the live nodes in order of their ids, from 0.
    pub node_index: u32,
    /// Number of live nodes, this one included.
    pub node_count: u32,
}

/// One pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolEntry {
    /// Classes that it accepts.
    pub classes: Vec<ClassId>,
    /// Services that it serves; each upstream serves all of them.
    pub services: Vec<ServiceId>,
    /// Upstreams, leaving ones included.
    pub upstreams: Vec<Upstream>,
    /// Concurrent requests per upstream, over all nodes.
    pub slots: u32,
    /// Connections per upstream, over all nodes.
    pub connections: u32,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// True when it must not get new work; requests in flight may finish.
    pub leaving: bool,
}
