//! Repair of failed VMs in order of harm, and the limit on VMs that are taken out of rotation.

use std::collections::BTreeSet;

use compact_str::format_compact;

use cj_fold::{Vm, VmPhase, rules};
use cj_record::{Entry, Purpose};
use cj_types::{UnixMillis, VmId};

use crate::{
    Notice,
    health::margin_text,
    limits,
    plan::Plan,
    view::{Fleet, PoolView, is_failed},
};

/// Plans repairs; pools closest to their availability budget, or furthest below it, come first.
pub(crate) fn repair(fleet: &Fleet<'_>, plan: &mut Plan) {
    let mut pools: Vec<&PoolView<'_>> = fleet.pools.values().collect();
    pools.sort_by_key(|p| (p.margin(), p.settings.precedence, p.id));
    let repairing =
        fleet.state.vms.values().filter(|vm| is_failed(vm) && vm.phase.op().is_some()).count();
    let mut left = limits::MAX_REPAIRS.saturating_sub(repairing);
    let mut trials = trials(fleet);
    for pool in pools {
        let near = fleet.window_near(pool.id, |wave| wave.drain_limit + wave.reboot_limit);
        let mut out = pool.counts.out;
        for (id, vm, since) in waiting(pool) {
            if plan.concerns(id) {
                continue;
            }
            if take_out(fleet, pool, id, vm, &mut out, plan) {
                continue;
            }
            if near {
                continue;
            }
            if let Some(domain) = fleet.down.domain(vm) {
                if !trials.insert(domain) {
                    continue;
                }
                plan.notices.push(Notice::DomainDown { domain: domain.into() });
            }
            if left == 0 {
                return;
            }
            left -= 1;
            let entry = Entry::Drain {
                vm: id.clone(),
                generation: vm.generation,
                purpose: Purpose::Repair,
            };
            let age = fleet.now.since(since).as_secs();
            plan.push(entry, format_compact!("failed {age} s ago; {}", margin_text(pool)));
        }
    }
}

/// Domains that are down and in which a repair is under way already.
fn trials<'a>(fleet: &Fleet<'a>) -> BTreeSet<&'a str> {
    let repairing = fleet.state.vms.values().filter(|vm| is_failed(vm) && vm.phase.op().is_some());
    repairing.filter_map(|vm| fleet.down.domain(vm)).collect()
}

/// Failed VMs of a pool that wait for a repair, oldest first.
fn waiting<'a>(pool: &PoolView<'a>) -> Vec<(&'a VmId, &'a Vm, UnixMillis)> {
    let mut waiting: Vec<_> = pool
        .vms
        .iter()
        .filter_map(|(id, vm)| match vm.phase {
            VmPhase::Failed { since } => Some((*id, *vm, since)),
            _ => None,
        })
        .collect();
    waiting.sort_by_key(|(id, _, since)| (*since, *id));
    waiting
}

/// True when the VM failed repeatedly by itself. Failures of a whole rack or data centre say nothing about one VM.
fn is_repeated(fleet: &Fleet<'_>, vm: &Vm) -> bool {
    fleet.recent_failures(vm) >= rules::REPEATED_FAILURES && fleet.down.domain(vm).is_none()
}

fn take_out_limit(pool: &PoolView<'_>) -> u32 {
    (pool.vms.len() / rules::OUT_OF_ROTATION_DIVISOR).max(1) as u32
}

/// True when the VM failed repeatedly and its pool's limit allows to take it out.
pub(crate) fn may_take_out(fleet: &Fleet<'_>, vm: &Vm) -> bool {
    let pool = fleet.pools.get(&vm.pool);
    is_repeated(fleet, vm) && pool.is_some_and(|p| p.counts.out < take_out_limit(p))
}

/// Takes a VM that failed repeatedly out of rotation, within the limit of its pool. Returns false when the VM should be
/// repaired instead.
fn take_out(
    fleet: &Fleet<'_>,
    pool: &PoolView<'_>,
    id: &VmId,
    vm: &Vm,
    out: &mut u32,
    plan: &mut Plan,
) -> bool {
    if !is_repeated(fleet, vm) {
        return false;
    }
    let limit = take_out_limit(pool);
    if *out >= limit {
        let pool = pool.id.clone();
        plan.notices.push(Notice::TakeOutLimit { vm: id.clone(), pool, out: *out });
        return false;
    }
    *out += 1;
    let entry = Entry::TakeOut { vm: id.clone(), generation: vm.generation };
    let count = fleet.recent_failures(vm);
    plan.push(entry, format_compact!("failed {count} times within a day; {out} of {limit} out"));
    true
}
