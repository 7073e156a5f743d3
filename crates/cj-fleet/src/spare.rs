//! The spare pool: lending VMs to pools with a deficit, and returning them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use compact_str::format_compact;

use cj_fold::Vm;
use cj_record::{Entry, Purpose};
use cj_types::{PoolId, RackId, UnixMillis, VmId};

use crate::{
    Notice,
    plan::Plan,
    view::{Fleet, Member, PoolView, is_failed},
};

/// Lends spare VMs to pools with a deficit, by precedence. Pools of equal precedence take turns, the one that lacks
/// most first.
pub(crate) fn lend(fleet: &mut Fleet<'_>, plan: &mut Plan) {
    // While listed VMs are still to be registered, a pool only looks short; a VM lent now would go back at once.
    let unregistered = &fleet.listing.new;
    if unregistered.iter().any(|facts| fleet.pools.contains_key(&facts.pool)) {
        return;
    }
    let need = |pool: &PoolView<'_>| {
        let coming = plan.gained(pool.id) + pool.arriving;
        let missing = pool.deficit().saturating_sub(coming);
        (missing > 0).then(|| (pool.settings.precedence, Reverse(missing), pool.id.clone()))
    };
    let borrowers = fleet.pools.values().filter(|p| !p.settings.spare);
    let mut needs: BTreeSet<_> = borrowers.filter_map(need).collect();
    while let Some((precedence, Reverse(missing), id)) = needs.pop_first() {
        if !lend_one(fleet, &id, missing, plan) && !hand_over(fleet, &id, missing, plan) {
            plan.notices.push(Notice::DeficitOpen { pool: id, missing });
        } else if missing > 1 {
            needs.insert((precedence, Reverse(missing - 1), id));
        }
    }
}

fn lend_one(fleet: &mut Fleet<'_>, to: &PoolId, missing: u32, plan: &mut Plan) -> bool {
    let Some(source) = fleet.pools[to].settings.borrows.clone() else { return false };
    let Some((id, vm)) = candidate(fleet, to, &source, plan) else { return false };
    let (generation, from) = (vm.generation, source.clone());
    let entry = Entry::Move { vm: id.clone(), generation, from, to: to.clone() };
    plan.push(entry, format_compact!("{to} lacks {missing} VMs; rack {} is unaffected", vm.rack));
    plan.gain(to);
    if let Some(source) = fleet.pools.get_mut(&source) {
        source.free -= 1;
    }
    true
}

/// Racks of a pool: its number of VMs there, and whether one of them has failed.
fn racks<'a>(fleet: &Fleet<'a>, pool: &PoolView<'a>) -> BTreeMap<&'a RackId, (u32, bool)> {
    let mut racks: BTreeMap<&RackId, (u32, bool)> = BTreeMap::new();
    for (id, vm) in &pool.vms {
        let (count, failed) = racks.entry(&vm.rack).or_default();
        *count += 1;
        *failed |= is_failed(vm) || fleet.suspects.contains_key(id);
    }
    racks
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
    let racks = racks(fleet, to);
    let suits = |(id, vm): &&Member<'a>| {
        fits(fleet, to, &racks, vm)
            && fleet.is_unused(id)
            && !fleet.suspects.contains_key(id)
            && !plan.concerns(id)
    };
    let count = |vm: &Vm| racks.get(&vm.rack).map_or(0, |r| r.0);
    let members = source.vms.iter().filter(suits);
    members.min_by_key(|(id, vm)| (count(vm), Reverse(vm.maintained), vm.moved, *id)).copied()
}

/// True when the VM may join the pool: active, of the pool's kind, from an unaffected rack, and not on its way back to
/// the pool that it left a short time ago.
fn fits(
    fleet: &Fleet<'_>,
    to: &PoolView<'_>,
    racks: &BTreeMap<&RackId, (u32, bool)>,
    vm: &Vm,
) -> bool {
    vm.phase.is_active()
        && to.vms.first().is_none_or(|(_, member)| member.kind == vm.kind)
        && !racks.get(&vm.rack).is_some_and(|r| r.1)
        && !undoes(fleet, vm, to.id)
}

/// True when a move to the pool would undo the last move within the hysteresis time of either pool.
fn undoes(fleet: &Fleet<'_>, vm: &Vm, to: &PoolId) -> bool {
    let hysteresis = |id: &PoolId| fleet.pools.get(id).map(|p| p.settings.hysteresis);
    let longest = hysteresis(&vm.pool).max(hysteresis(to)).unwrap_or_default();
    vm.previous.as_ref() == Some(to) && fleet.now < vm.moved + longest
}

/// Moves a borrowed VM on from a pool that no longer needs it, when the spare pool has none left: one move in place of
/// a return and a loan.
fn hand_over(fleet: &mut Fleet<'_>, to: &PoolId, missing: u32, plan: &mut Plan) -> bool {
    let borrower = &fleet.pools[to];
    let Some(source) = borrower.settings.borrows.as_ref() else { return false };
    let racks = racks(fleet, borrower);
    let givers = fleet.pools.values().filter(|p| {
        let near = || fleet.window_near(p.id, |wave| wave.drain_limit + wave.reboot_limit);
        p.id != to && !p.settings.spare && p.surplus() > p.given && p.free > 0 && !near()
    });
    let offers = givers.flat_map(|giver| {
        returnable(fleet, giver, plan)
            .filter(|(_, vm, home)| *home == source && fits(fleet, borrower, &racks, vm))
            .map(|(id, vm, _)| (giver.id, id, vm))
            .next()
    });
    let Some((giver, id, vm)) = offers.min_by_key(|(_, id, vm)| (vm.moved, *id)) else {
        return false;
    };
    let purpose = Purpose::Move(to.clone());
    let entry = Entry::Drain { vm: id.clone(), generation: vm.generation, purpose };
    plan.push(
        entry,
        format_compact!("{to} lacks {missing} VMs and {giver} has more than it needs"),
    );
    if let Some(giver) = fleet.pools.get_mut(giver) {
        giver.take(vm);
        giver.given += 1;
    }
    true
}

/// Starts to return borrowed VMs that their pool no longer needs, once the hysteresis time has passed.
pub(crate) fn give_back(fleet: &mut Fleet<'_>, plan: &mut Plan) {
    let ids: Vec<PoolId> = fleet.pools.keys().map(|id| (*id).clone()).collect();
    for id in ids {
        while let Some((vm_id, vm, home)) = next_return(fleet, &fleet.pools[&id], plan) {
            let purpose = Purpose::Move(home.clone());
            let entry = Entry::Drain { vm: vm_id.clone(), generation: vm.generation, purpose };
            let wanted = fleet.pools[&id].wanted;
            plan.push(
                entry,
                format_compact!("{id} needs {wanted} VMs and has more; back to {home}"),
            );
            if let Some(pool) = fleet.pools.get_mut(&id) {
                pool.take(vm);
                pool.given += 1;
            }
        }
    }
}

fn next_return<'a>(
    fleet: &Fleet<'a>,
    pool: &PoolView<'a>,
    plan: &Plan,
) -> Option<(&'a VmId, &'a Vm, &'a PoolId)> {
    if pool.free == 0
        || pool.surplus() <= pool.given
        || fleet.window_near(pool.id, |wave| wave.drain_limit + wave.reboot_limit)
    {
        return None;
    }
    let settled = |vm: &Vm| fleet.now >= vm.moved + pool.settings.hysteresis;
    let mut vms = returnable(fleet, pool, plan);
    vms.find(|(_, vm, home)| settled(vm) && !undoes(fleet, vm, home))
}

/// Borrowed VMs that a pool could do without as far as the failure-domain rule goes, those that drain fastest first.
fn returnable<'a>(
    fleet: &Fleet<'a>,
    pool: &PoolView<'a>,
    plan: &Plan,
) -> impl Iterator<Item = (&'a VmId, &'a Vm, &'a PoolId)> {
    let free = |(id, vm): &&Member<'a>| {
        vm.phase.is_active()
            && pool.admits(vm)
            && !fleet.suspects.contains_key(id)
            && !plan.concerns(id)
    };
    let mut vms: Vec<(u32, UnixMillis, &VmId, &Vm, &PoolId)> = pool
        .vms
        .iter()
        .filter(free)
        .filter_map(|(id, vm)| {
            let home = vm.home.as_ref().filter(|h| fleet.pools.contains_key(h))?;
            let busy = fleet.evidence.in_flight.get(*id).copied().unwrap_or(u32::MAX);
            Some((busy, vm.moved, *id, *vm, home))
        })
        .collect();
    vms.sort_by_key(|(busy, moved, id, ..)| (*busy, *moved, *id));
    vms.into_iter().map(|(_, _, id, vm, home)| (id, vm, home))
}
