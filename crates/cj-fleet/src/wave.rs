//! Maintenance waves: drain, reboot and return each VM of the wave's pools.

use std::collections::BTreeMap;

use compact_str::format_compact;

use cj_fold::{State, Vm, VmPhase};
use cj_record::{Entry, Purpose};
use cj_types::{PoolId, UnixMillis, VmId};

use crate::{Evidence, Proposal, view::PoolView};

/// Next steps of the operations that are under way.
pub(crate) fn continue_ops(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<Proposal> {
    state.vms.iter().filter_map(|(id, vm)| next_step(id, vm, evidence, now)).collect()
}

fn next_step(id: &VmId, vm: &Vm, evidence: &Evidence, now: UnixMillis) -> Option<Proposal> {
    match &vm.phase {
        VmPhase::Draining { op, .. } if evidence.in_flight.get(id) == Some(&0) => {
            let entry = Entry::Drained { vm: id.clone(), op: *op };
            Some(Proposal::new(entry, "nothing in flight on any live node"))
        }
        VmPhase::Drained { op, purpose: Purpose::Wave(_) | Purpose::Repair, .. } => {
            let entry = Entry::Reboot { vm: id.clone(), op: *op };
            Some(Proposal::new(entry, "drained"))
        }
        VmPhase::Rebooting { op, since, .. } => {
            let boot = evidence.probe(id, *since, now).filter(|p| p.healthy)?.boot?;
            let entry = Entry::Rebooted { vm: id.clone(), op: *op, boot };
            (boot != vm.boot).then(|| Proposal::new(entry, "the boot id changed"))
        }
        _ => None,
    }
}

/// Drains that start now, one VM per pool at a time.
pub(crate) fn start_drains(
    state: &State,
    pools: &BTreeMap<&PoolId, PoolView<'_>>,
    now: UnixMillis,
) -> Vec<Proposal> {
    let mut proposals = Vec::new();
    for (name, wave) in state.fleet.waves.iter().filter(|(_, w)| w.start <= now) {
        let end = now + wave.drain_limit + wave.reboot_limit;
        if wave.forbidden.iter().any(|w| w.overlaps(now, end)) {
            continue;
        }
        for pool in wave.pools.iter().filter_map(|p| pools.get(p)) {
            if pool.slack() == 0 || pool.vms.iter().any(|(_, vm)| vm.phase.op().is_some()) {
                continue;
            }
            let due = |vm: &Vm| vm.phase.is_active() && vm.maintained < wave.start;
            let Some((id, vm)) = pool.vms.iter().find(|(_, vm)| due(vm)) else { continue };
            let entry = Entry::Drain {
                vm: (*id).clone(),
                generation: vm.generation,
                purpose: Purpose::Wave(name.clone()),
            };
            let reason = format_compact!("wave {name}: {} VMs above the budget", pool.slack());
            proposals.push(Proposal::new(entry, reason));
        }
    }
    proposals
}
