//! The spare pool: lends VMs to pools with a deficit, and returns them.

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
    view::{FleetView, Member, PoolView, is_failed},
};

/// Lends spare VMs to pools with a deficit, in order of precedence. Among pools of equal precedence, each VM goes to
/// the one that lacks most.
pub(crate) fn lend_spares(fleet: &mut FleetView<'_>, plan: &mut Plan) {
    // A pool whose listed VMs are not yet registered only appears to have a deficit; a VM lent now would go straight
    // back.
    let unregistered = &fleet.list_diff.unregistered;
    if unregistered.iter().any(|facts| fleet.pools.contains_key(&facts.pool)) {
        return;
    }
    let deficit = |pool: &PoolView<'_>| {
        let arriving = plan.gained(pool.id) + pool.arriving;
        let missing = pool.deficit().saturating_sub(arriving);
        (missing > 0).then(|| (pool.settings.precedence, Reverse(missing), pool.id.clone()))
    };
    let borrowers = fleet.pools.values().filter(|p| !p.settings.spare);
    let mut deficits: BTreeSet<_> = borrowers.filter_map(deficit).collect();
    while let Some((precedence, Reverse(missing), id)) = deficits.pop_first() {
        if !lend_vm(fleet, &id, missing, plan) && !transfer_vm(fleet, &id, missing, plan) {
            plan.notices.push(Notice::UncoveredDeficit { pool: id, missing });
        } else if missing > 1 {
            deficits.insert((precedence, Reverse(missing - 1), id));
        }
    }
}

fn lend_vm(fleet: &mut FleetView<'_>, to: &PoolId, missing: u32, plan: &mut Plan) -> bool {
    let Some(source) = fleet.pools[to].settings.borrows.clone() else { return false };
    let Some((id, vm)) = best_spare(fleet, to, &source, plan) else { return false };
    let (generation, from) = (vm.generation, source.clone());
    let entry = Entry::Move { vm: id.clone(), generation, from, to: to.clone() };
    plan.push(entry, format_compact!("{to} lacks {missing} VMs; rack {} is unaffected", vm.rack));
    plan.record_gain(to);
    if let Some(source) = fleet.pools.get_mut(&source) {
        source.allowed_disruptions -= 1;
    }
    true
}

/// For each rack of a pool: the number of its VMs there, and whether one of them has failed or is suspected.
fn rack_usage<'a>(fleet: &FleetView<'a>, pool: &PoolView<'a>) -> BTreeMap<&'a RackId, (u32, bool)> {
    let mut racks: BTreeMap<&RackId, (u32, bool)> = BTreeMap::new();
    for (id, vm) in &pool.vms {
        let (count, failed) = racks.entry(&vm.rack).or_default();
        *count += 1;
        *failed |= is_failed(vm) || fleet.suspects.contains_key(id);
    }
    racks
}

/// Selects the spare VM to lend: idle, of the pool's kind, outside the racks in which the pool has failures, and in the
/// rack with the fewest VMs of the pool.
fn best_spare<'a>(
    fleet: &FleetView<'a>,
    to: &PoolId,
    source: &PoolId,
    plan: &Plan,
) -> Option<Member<'a>> {
    let (to, source) = (fleet.pools.get(to)?, fleet.pools.get(source)?);
    if source.allowed_disruptions == 0 {
        return None;
    }
    let racks = rack_usage(fleet, to);
    let is_suitable = |(id, vm): &&Member<'a>| {
        can_join(fleet, to, &racks, vm)
            && fleet.has_no_known_work(id)
            && !fleet.suspects.contains_key(id)
            && !plan.affects(id)
    };
    let count = |vm: &Vm| racks.get(&vm.rack).map_or(0, |r| r.0);
    let members = source.vms.iter().filter(is_suitable);
    members.min_by_key(|(id, vm)| (count(vm), Reverse(vm.maintained), vm.moved, *id)).copied()
}

/// Whether the VM may join the pool: it is active, of the pool's kind, in a rack without failures of the pool, and did
/// not leave that pool within the hysteresis time.
fn can_join(
    fleet: &FleetView<'_>,
    to: &PoolView<'_>,
    racks: &BTreeMap<&RackId, (u32, bool)>,
    vm: &Vm,
) -> bool {
    vm.phase.is_active()
        && to.vms.first().is_none_or(|(_, member)| member.kind == vm.kind)
        && !racks.get(&vm.rack).is_some_and(|r| r.1)
        && !reverts_last_move(fleet, vm, to.id)
}

/// Whether a move to the pool would revert the VM's last move within the longer hysteresis time of the two pools.
fn reverts_last_move(fleet: &FleetView<'_>, vm: &Vm, to: &PoolId) -> bool {
    let hysteresis = |id: &PoolId| fleet.pools.get(id).map(|p| p.settings.hysteresis);
    let longest = hysteresis(&vm.pool).max(hysteresis(to)).unwrap_or_default();
    vm.previous.as_ref() == Some(to) && fleet.now < vm.moved + longest
}

/// Moves a borrowed VM directly from a pool that no longer needs it, for when the spare pool has no suitable VM. This
/// replaces a return and a new loan by one move.
fn transfer_vm(fleet: &mut FleetView<'_>, to: &PoolId, missing: u32, plan: &mut Plan) -> bool {
    let borrower = &fleet.pools[to];
    let Some(source) = borrower.settings.borrows.as_ref() else { return false };
    let racks = rack_usage(fleet, borrower);
    let donors = fleet.pools.values().filter(|p| {
        let window_near =
            || fleet.overlaps_window(p.id, |wave| wave.drain_limit + wave.reboot_limit);
        p.id != to
            && !p.settings.spare
            && p.surplus() > p.departing
            && p.allowed_disruptions > 0
            && !window_near()
    });
    let transfers = donors.flat_map(|donor| {
        returnable(fleet, donor, plan)
            .filter(|(_, vm, home)| *home == source && can_join(fleet, borrower, &racks, vm))
            .map(|(id, vm, _)| (donor.id, id, vm))
            .next()
    });
    let Some((donor, id, vm)) = transfers.min_by_key(|(_, id, vm)| (vm.moved, *id)) else {
        return false;
    };
    let purpose = Purpose::Move(to.clone());
    let entry = Entry::Drain { vm: id.clone(), generation: vm.generation, purpose };
    plan.push(
        entry,
        format_compact!("{to} lacks {missing} VMs and {donor} has more than it needs"),
    );
    if let Some(donor) = fleet.pools.get_mut(donor) {
        donor.reserve(vm);
        donor.departing += 1;
    }
    true
}

/// Starts drains that return borrowed VMs to the spare pool, once their pool no longer needs them and the hysteresis
/// time has passed.
pub(crate) fn return_borrowed(fleet: &mut FleetView<'_>, plan: &mut Plan) {
    let ids: Vec<PoolId> = fleet.pools.keys().map(|id| (*id).clone()).collect();
    for id in ids {
        while let Some((vm_id, vm, home)) = next_return(fleet, &fleet.pools[&id], plan) {
            let purpose = Purpose::Move(home.clone());
            let entry = Entry::Drain { vm: vm_id.clone(), generation: vm.generation, purpose };
            let demand = fleet.pools[&id].demand;
            plan.push(
                entry,
                format_compact!("{id} needs {demand} VMs and has more; back to {home}"),
            );
            if let Some(pool) = fleet.pools.get_mut(&id) {
                pool.reserve(vm);
                pool.departing += 1;
            }
        }
    }
}

fn next_return<'a>(
    fleet: &FleetView<'a>,
    pool: &PoolView<'a>,
    plan: &Plan,
) -> Option<(&'a VmId, &'a Vm, &'a PoolId)> {
    if pool.allowed_disruptions == 0
        || pool.surplus() <= pool.departing
        || fleet.overlaps_window(pool.id, |wave| wave.drain_limit + wave.reboot_limit)
    {
        return None;
    }
    let past_hysteresis = |vm: &Vm| fleet.now >= vm.moved + pool.settings.hysteresis;
    let mut vms = returnable(fleet, pool, plan);
    vms.find(|(_, vm, home)| past_hysteresis(vm) && !reverts_last_move(fleet, vm, home))
}

/// Borrowed VMs that the failure-domain rule allows to drain, those with the least work in flight first.
fn returnable<'a>(
    fleet: &FleetView<'a>,
    pool: &PoolView<'a>,
    plan: &Plan,
) -> impl Iterator<Item = (&'a VmId, &'a Vm, &'a PoolId)> {
    let is_returnable = |(id, vm): &&Member<'a>| {
        vm.phase.is_active()
            && pool.allows_disruption(vm)
            && !fleet.suspects.contains_key(id)
            && !plan.affects(id)
    };
    let mut vms: Vec<(u32, UnixMillis, &VmId, &Vm, &PoolId)> = pool
        .vms
        .iter()
        .filter(is_returnable)
        .filter_map(|(id, vm)| {
            let home = vm.home.as_ref().filter(|h| fleet.pools.contains_key(h))?;
            let in_flight = fleet.evidence.in_flight.get(*id).copied().unwrap_or(u32::MAX);
            Some((in_flight, vm.moved, *id, *vm, home))
        })
        .collect();
    vms.sort_by_key(|(in_flight, moved, id, ..)| (*in_flight, *moved, *id));
    vms.into_iter().map(|(_, _, id, vm, home)| (id, vm, home))
}
