//! Repair of failed VMs, most affected pools first, and removal of repeatedly failing VMs from rotation.

use std::collections::BTreeSet;

use compact_str::format_compact;

use cj_fold::{Vm, VmPhase, rules};
use cj_record::{Entry, Purpose};
use cj_types::{UnixMillis, VmId};

use crate::{
    Notice,
    health::budget_text,
    limits,
    plan::Plan,
    view::{FleetView, PoolView, is_failed},
};

/// Proposes repairs, starting with the pools that are furthest below their availability budget or closest to it.
pub(crate) fn repair(fleet: &FleetView<'_>, plan: &mut Plan) {
    let mut pools: Vec<&PoolView<'_>> = fleet.pools.values().collect();
    pools.sort_by_key(|p| (p.budget_margin(), p.settings.precedence, p.id));
    let repairing =
        fleet.state.vms.values().filter(|vm| is_failed(vm) && vm.phase.op().is_some()).count();
    let mut remaining = limits::MAX_CONCURRENT_REPAIRS.saturating_sub(repairing);
    let mut domains_in_repair = domains_in_repair(fleet);
    for pool in pools {
        let window_near =
            fleet.overlaps_window(pool.id, |wave| wave.drain_limit + wave.reboot_limit);
        let mut out_of_rotation = pool.counts.out_of_rotation;
        for (id, vm, since) in awaiting_repair(pool) {
            if plan.affects(id) {
                continue;
            }
            if take_out(fleet, pool, id, vm, &mut out_of_rotation, plan) {
                continue;
            }
            if window_near {
                continue;
            }
            if let Some(domain) = fleet.down_domains.containing(vm) {
                if !domains_in_repair.insert(domain) {
                    continue;
                }
                plan.notices.push(Notice::DomainDown { domain: domain.into() });
            }
            if remaining == 0 {
                return;
            }
            remaining -= 1;
            let entry = Entry::Drain {
                vm: id.clone(),
                generation: vm.generation,
                purpose: Purpose::Repair,
            };
            let age = fleet.now.since(since).as_secs();
            plan.push(entry, format_compact!("failed {age} s ago; {}", budget_text(pool)));
        }
    }
}

/// Failed domains in which a repair is already in progress.
fn domains_in_repair<'a>(fleet: &FleetView<'a>) -> BTreeSet<&'a str> {
    let repairing = fleet.state.vms.values().filter(|vm| is_failed(vm) && vm.phase.op().is_some());
    repairing.filter_map(|vm| fleet.down_domains.containing(vm)).collect()
}

/// Failed VMs of a pool that wait for a repair, earliest failure first.
fn awaiting_repair<'a>(pool: &PoolView<'a>) -> Vec<(&'a VmId, &'a Vm, UnixMillis)> {
    let mut awaiting_repair: Vec<_> = pool
        .vms
        .iter()
        .filter_map(|(id, vm)| match vm.phase {
            VmPhase::Failed { since } => Some((*id, *vm, since)),
            _ => None,
        })
        .collect();
    awaiting_repair.sort_by_key(|(id, _, since)| (*since, *id));
    awaiting_repair
}

/// Whether the VM failed repeatedly on its own. Failures of a whole rack or data centre don't count against one VM.
fn fails_repeatedly(fleet: &FleetView<'_>, vm: &Vm) -> bool {
    fleet.recent_failures(vm) >= rules::REPEATED_FAILURES
        && fleet.down_domains.containing(vm).is_none()
}

fn out_of_rotation_limit(pool: &PoolView<'_>) -> u32 {
    (pool.vms.len() / rules::OUT_OF_ROTATION_DIVISOR).max(1) as u32
}

/// Whether the VM failed repeatedly and the limit of its pool allows taking it out of rotation.
pub(crate) fn may_take_out(fleet: &FleetView<'_>, vm: &Vm) -> bool {
    let pool = fleet.pools.get(&vm.pool);
    fails_repeatedly(fleet, vm)
        && pool.is_some_and(|p| p.counts.out_of_rotation < out_of_rotation_limit(p))
}

/// Takes a VM that failed repeatedly out of rotation, within the limit of its pool. Returns false if the VM should be
/// repaired instead.
fn take_out(
    fleet: &FleetView<'_>,
    pool: &PoolView<'_>,
    id: &VmId,
    vm: &Vm,
    out_of_rotation: &mut u32,
    plan: &mut Plan,
) -> bool {
    if !fails_repeatedly(fleet, vm) {
        return false;
    }
    let limit = out_of_rotation_limit(pool);
    if *out_of_rotation >= limit {
        let pool = pool.id.clone();
        plan.notices.push(Notice::OutOfRotationLimit {
            vm: id.clone(),
            pool,
            out_of_rotation: *out_of_rotation,
        });
        return false;
    }
    *out_of_rotation += 1;
    let entry = Entry::TakeOut { vm: id.clone(), generation: vm.generation };
    let count = fleet.recent_failures(vm);
    plan.push(
        entry,
        format_compact!("failed {count} times within a day; {out_of_rotation} of {limit} out"),
    );
    true
}
