//! Maintenance waves: selects the VMs that start to drain.

use std::{cmp::Reverse, collections::BTreeMap};

use compact_str::format_compact;

use cj_fold::Vm;
use cj_record::{Entry, Purpose};
use cj_settings::WaveSettings;
use cj_types::{PoolId, WaveId};

use crate::{
    Notice,
    plan::Plan,
    view::{FailureDomain, FleetView, Member, PoolView, failure_domain},
};

/// Starts as many drains as the availability budgets, forbidden windows and failure-domain rules allow.
pub(crate) fn start_drains(fleet: &mut FleetView<'_>, plan: &mut Plan) {
    let ids: Vec<PoolId> = fleet.pools.keys().map(|id| (*id).clone()).collect();
    for id in ids {
        if fleet.overlaps_window(&id, |wave| wave.drain_limit + wave.reboot_limit) {
            continue;
        }
        for (name, wave) in fleet.started_waves(&id).collect::<Vec<_>>() {
            let started = start_pool(fleet, &fleet.pools[&id], name, wave, plan);
            if let Some(pool) = fleet.pools.get_mut(&id) {
                started.into_iter().for_each(|vm| pool.reserve(vm));
            }
        }
    }
}

fn start_pool<'a>(
    fleet: &FleetView<'a>,
    pool: &PoolView<'a>,
    name: &WaveId,
    wave: &WaveSettings,
    plan: &mut Plan,
) -> Vec<&'a Vm> {
    if pool.allowed_disruptions == 0 {
        let size = pool.vms.len() as u32;
        let due = pool.vms.iter().any(|(_, vm)| vm.maintained < wave.start);
        if due && size <= pool.settings.min_available {
            let (pool, wave) = (pool.id.clone(), name.clone());
            plan.notices.push(Notice::NoSlack { pool, wave, size });
        }
        return Vec::new();
    }
    let mut members = select_domain(&due_members(fleet, pool, wave, plan), pool);
    // Start with the VMs that have the most work in flight: a domain is finished only when its last VM is back.
    members.sort_by_key(|(id, _)| (Reverse(fleet.evidence.in_flight.get(*id).copied()), *id));
    members.truncate(pool.allowed_disruptions as usize);
    let (active, min) = (pool.counts.active, pool.settings.min_available);
    for (id, vm) in &members {
        let purpose = Purpose::Wave(name.clone());
        let entry = Entry::Drain { vm: (*id).clone(), generation: vm.generation, purpose };
        let place = format_compact!("{}/{}", vm.centre, vm.rack);
        plan.push(entry, format_compact!("wave {name} in {place}: {active} active, budget {min}"));
    }
    members.into_iter().map(|(_, vm)| vm).collect()
}

/// VMs of the pool that the wave still has to reboot and may drain now, by failure domain.
fn due_members<'a>(
    fleet: &FleetView<'a>,
    pool: &PoolView<'a>,
    wave: &WaveSettings,
    plan: &Plan,
) -> BTreeMap<FailureDomain<'a>, Vec<Member<'a>>> {
    // A borrowed VM that the pool is about to return is rebooted in its home pool.
    let returns_home = |vm: &Vm| {
        pool.surplus() > 0 && vm.home.as_ref().is_some_and(|home| wave.pools.contains(home))
    };
    let mut due: BTreeMap<FailureDomain<'a>, Vec<Member<'a>>> = BTreeMap::new();
    for (id, vm) in &pool.vms {
        if vm.phase.is_active()
            && pool.allows_disruption(vm)
            && vm.maintained < wave.start
            && !returns_home(vm)
            && !fleet.suspects.contains_key(id)
            && !plan.affects(id)
        {
            due.entry(failure_domain(pool.domain_rule, vm)).or_default().push((id, vm));
        }
    }
    due
}

/// Selects the failure domain to continue with and returns its VMs. If no domain is in progress, this is the one that
/// uses most of the disruptions allowed now. Among equals, a domain comes first if its last, partial round of drains
/// fits into the allowed disruptions: while failures reduce them, this is the time for the round that would later leave
/// part of the slack unused. Domains with only borrowed VMs come last, since these VMs may be returned before.
fn select_domain<'a>(
    due: &BTreeMap<FailureDomain<'a>, Vec<Member<'a>>>,
    pool: &PoolView<'a>,
) -> Vec<Member<'a>> {
    let size = pool.vms.len() as u32;
    let slack = size.saturating_sub(pool.settings.min_available).max(1);
    let rank = |vms: &Vec<Member<'a>>| {
        let size = vms.len() as u32;
        let remainder = size % slack;
        let borrowed = vms.iter().all(|(_, vm)| vm.home.is_some());
        (
            borrowed,
            Reverse(size.min(pool.allowed_disruptions)),
            remainder == 0 || remainder > pool.allowed_disruptions,
            size,
        )
    };
    due.values().min_by_key(|vms| rank(vms)).cloned().unwrap_or_default()
}
