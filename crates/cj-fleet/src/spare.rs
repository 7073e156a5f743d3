//! The spare pool: lending VMs to pools with a deficit, and returning them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::format_compact;

use cj_fold::Vm;
use cj_record::{Entry, Purpose};
use cj_types::{PoolId, RackId, UnixMillis, VmId};

use crate::{
    Notice,
    ops::window_near,
    plan::Plan,
    view::{Fleet, Member, PoolView, is_failed},
};

/// Lends spare VMs to pools with a deficit, by precedence. Pools of equal precedence take turns, the one that lacks
/// most first.
pub(crate) fn lend(fleet: &mut Fleet<'_>, plan: &mut Plan) {
    let mut needs: BTreeSet<(u32, Reverse<u32>, PoolId)> = fleet
        .pools
        .values()
        .filter(|p| !p.settings.spare)
        .map(|p| {
            (p.settings.precedence, Reverse(p.deficit().saturating_sub(plan.kept(p.id))), p.id)
        })
        .filter(|(_, deficit, _)| deficit.0 > 0)
        .map(|(precedence, deficit, id)| (precedence, deficit, id.clone()))
        .collect();
    while let Some((precedence, Reverse(missing), id)) = needs.pop_first() {
        if !lend_one(fleet, &id, missing, plan) {
            plan.notices.push(Notice::DeficitOpen { pool: id, missing });
        } else if missing > 1 {
            needs.insert((precedence, Reverse(missing - 1), id));
        }
    }
}

fn lend_one(fleet: &mut Fleet<'_>, to: &PoolId, missing: u32, plan: &mut Plan) -> bool {
    let Some(source) = fleet.pools[to].settings.borrows.as_ref() else { return false };
    let Some((id, vm)) = candidate(fleet, to, source, plan) else { return false };
    let entry = Entry::Move {
        vm: id.clone(),
        generation: vm.generation,
        from: source.clone(),
        to: to.clone(),
    };
    plan.push(entry, format_compact!("{to} lacks {missing} VMs; rack {} is unaffected", vm.rack));
    if let Some(source) = fleet.pools.get_mut(source) {
        source.free -= 1;
    }
    true
}

/// The spare VM that suits a pool best: idle, of the pool's kind, outside the racks in which the pool has failures, and
/// in the rack with the fewest VMs of the pool.
fn candidate<'a>(
    fleet: &Fleet<'a>,
    to: &PoolId,
    source: &PoolId,
    plan: &Plan,
) -> Option<Member<'a>> {
    let (to, source) = (fleet.pools.get(to)?, fleet.pools.get(source)?);
    if source.free == 0 {
        return None;
    }
    let kind = to.vms.first().map(|(_, vm)| vm.kind);
    let mut racks: BTreeMap<&RackId, (u32, bool)> = BTreeMap::new();
    for (id, vm) in &to.vms {
        let (count, failed) = racks.entry(&vm.rack).or_default();
        *count += 1;
        *failed |= is_failed(vm) || fleet.suspects.contains_key(id);
    }
    let rack = |vm: &Vm| racks.get(&vm.rack).copied().unwrap_or_default();
    let suits = |(id, vm): &&Member<'a>| {
        vm.phase.is_active()
            && kind.is_none_or(|k| k == vm.kind)
            && !rack(vm).1
            && fleet.now.since(vm.moved) >= source.settings.hysteresis
            && fleet.is_unused(id)
            && !fleet.suspects.contains_key(id)
            && !plan.concerns(id)
    };
    let members = source.vms.iter().filter(suits);
    members.min_by_key(|(id, vm)| (rack(vm).0, vm.moved, *id)).copied()
}

/// Starts to return borrowed VMs that their pool no longer needs, once the hysteresis time has passed.
pub(crate) fn give_back(fleet: &mut Fleet<'_>, plan: &mut Plan) {
    let ids: Vec<PoolId> = fleet.pools.keys().map(|id| (*id).clone()).collect();
    for id in ids {
        let pool = &fleet.pools[&id];
        let count = pool.surplus().min(pool.free) as usize;
        if count == 0 || window_near(fleet, &id, longest_drain(fleet, &id)) {
            continue;
        }
        let entries: Vec<_> = returnable(fleet, pool, plan)
            .take(count)
            .map(|(id, vm, home)| {
                let (vm_id, generation) = (id.clone(), vm.generation);
                let purpose = Purpose::Move(home.clone());
                (Entry::Drain { vm: vm_id, generation, purpose }, home.clone())
            })
            .collect();
        let wanted = pool.wanted;
        if let Some(pool) = fleet.pools.get_mut(&id) {
            pool.free -= entries.len() as u32;
        }
        for (entry, home) in entries {
            let reason = format_compact!("{id} needs {wanted} VMs and has more; back to {home}");
            plan.push(entry, reason);
        }
    }
}

/// Borrowed VMs of a pool that may go back, those that drain fastest first.
fn returnable<'a>(
    fleet: &Fleet<'a>,
    pool: &PoolView<'a>,
    plan: &Plan,
) -> impl Iterator<Item = (&'a VmId, &'a Vm, &'a PoolId)> {
    let mut vms: Vec<(u32, UnixMillis, &VmId, &Vm, &PoolId)> = pool
        .vms
        .iter()
        .filter(|(id, vm)| {
            vm.phase.is_active()
                && fleet.now.since(vm.moved) >= pool.settings.hysteresis
                && !fleet.suspects.contains_key(id)
                && !plan.concerns(id)
        })
        .filter_map(|(id, vm)| {
            let home = vm.home.as_ref().filter(|h| fleet.pools.contains_key(h))?;
            let busy = fleet.evidence.in_flight.get(*id).copied().unwrap_or(u32::MAX);
            Some((busy, vm.moved, *id, *vm, home))
        })
        .collect();
    vms.sort_by_key(|(busy, moved, id, ..)| (*busy, *moved, *id));
    vms.into_iter().map(|(_, _, id, vm, home)| (id, vm, home))
}

/// Longest drain limit of the waves that include a pool.
fn longest_drain(fleet: &Fleet<'_>, pool: &PoolId) -> Duration {
    let waves = fleet.state.fleet.waves.values().filter(|w| w.pools.contains(pool));
    waves.map(|w| w.drain_limit).max().unwrap_or_default()
}
