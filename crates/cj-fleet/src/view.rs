//! The state of the fleet summed up per pool.

use std::collections::BTreeMap;

use cj_fold::{State, Vm, VmPhase};
use cj_settings::PoolSettings;
use cj_types::{PoolId, VmId};

/// One pool with its settings and members.
pub(crate) struct PoolView<'a> {
    pub(crate) settings: &'a PoolSettings,
    pub(crate) vms: Vec<(&'a VmId, &'a Vm)>,
    pub(crate) active: u32,
}

impl PoolView<'_> {
    /// Number of active VMs that planned acts may still take.
    pub(crate) fn slack(&self) -> u32 {
        self.active.saturating_sub(self.settings.min_available)
    }
}

/// Pools by name. Pools without settings are left out: nothing may be planned for them.
pub(crate) fn pools(state: &State) -> BTreeMap<&PoolId, PoolView<'_>> {
    let mut pools: BTreeMap<&PoolId, PoolView<'_>> = state
        .fleet
        .pools
        .iter()
        .map(|(id, settings)| (id, PoolView { settings, vms: Vec::new(), active: 0 }))
        .collect();
    for (id, vm) in &state.vms {
        if let Some(pool) = pools.get_mut(&vm.pool) {
            pool.active += u32::from(matches!(vm.phase, VmPhase::Active));
            pool.vms.push((id, vm));
        }
    }
    pools
}
