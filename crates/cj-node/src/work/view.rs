//! Builds the router's view of the fleet from the replicated state.

use std::collections::BTreeMap;

use cj_fold::{State, Vm};
use cj_record::VmKind;
use cj_route::{PoolEntry, PoolView, Upstream};
use cj_types::VmId;

/// The pools of minions with their upstreams, for the node with this index among `nodes` live nodes.
pub fn pool_view(state: &State, index: u32, nodes: u32) -> PoolView {
    let fleet = &state.fleet;
    let mut pools: BTreeMap<_, PoolEntry> = BTreeMap::new();
    for (id, service) in &fleet.services {
        let Some(settings) = fleet.pools.get(&service.pool) else { continue };
        let pool = pools.entry(service.pool.clone()).or_default();
        pool.classes.clone_from(&settings.classes);
        pool.services.push(id.clone());
        // A pool that serves several services gets the smallest of their limits; 0 means that no limit is set yet.
        let smaller_limit =
            |current: u32, limit: u32| if current == 0 { limit } else { current.min(limit) };
        pool.slots = smaller_limit(pool.slots, service.slots);
        pool.connections = smaller_limit(pool.connections, service.connections);
    }
    for (id, vm) in state.vms.iter().filter(|(_, vm)| vm.kind == VmKind::Minion) {
        if let Some(pool) = pools.get_mut(&vm.pool) {
            pool.upstreams.push(to_upstream(id, vm));
        }
    }
    PoolView {
        pools,
        classes: fleet.classes.clone(),
        teams: fleet.teams.clone(),
        node_index: index,
        node_count: nodes,
    }
}

fn to_upstream(id: &VmId, vm: &Vm) -> Upstream {
    Upstream {
        vm: id.clone(),
        centre: vm.centre.clone(),
        rack: vm.rack.clone(),
        leaving: !vm.phase.is_active(),
    }
}
