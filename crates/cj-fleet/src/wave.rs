//! Maintenance waves: which VMs start to drain now.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use compact_str::format_compact;

use cj_fold::{Vm, VmPhase};
use cj_record::{Entry, Purpose};
use cj_settings::{DomainRule, WaveSettings};
use cj_types::{PoolId, WaveId};

use crate::{
    ops::window_near,
    plan::Plan,
    view::{Fleet, Member, PoolView},
};

/// Starts as many drains as the availability budgets, the windows and the failure-domain rules allow.
pub(crate) fn start_drains(fleet: &mut Fleet<'_>, plan: &mut Plan) {
    let ids: Vec<PoolId> = fleet.pools.keys().map(|id| (*id).clone()).collect();
    for id in ids {
        for (name, wave) in fleet.waves(&id).collect::<Vec<_>>() {
            let started = start_pool(fleet, &fleet.pools[&id], name, wave, plan);
            if let Some(pool) = fleet.pools.get_mut(&id) {
                pool.free -= started;
            }
        }
    }
}

fn start_pool(
    fleet: &Fleet<'_>,
    pool: &PoolView<'_>,
    name: &WaveId,
    wave: &WaveSettings,
    plan: &mut Plan,
) -> u32 {
    if pool.free == 0 || window_near(fleet, pool.id, wave.drain_limit + wave.reboot_limit) {
        return 0;
    }
    let due = |(id, vm): &&Member<'_>| {
        vm.phase.is_active()
            && vm.maintained < wave.start
            && !fleet.suspects.contains_key(id)
            && !plan.concerns(id)
    };
    let mut by_domain: BTreeMap<&str, Vec<Member<'_>>> = BTreeMap::new();
    for member in pool.vms.iter().filter(due) {
        by_domain.entry(domain(wave.domain, member.1)).or_default().push(*member);
    }
    let open: BTreeSet<&str> =
        pool.vms.iter().filter(|m| in_wave(m.1)).map(|m| domain(wave.domain, m.1)).collect();
    let slack = pool.vms.len() as u32 - pool.settings.min_available.min(pool.vms.len() as u32);
    let Some(chosen) = choose_domain(&by_domain, &open, pool.free, slack) else { return 0 };
    let mut members = by_domain.remove(chosen).unwrap_or_default();
    // Long drains first: a domain is finished when its last VM is back.
    members.sort_by_key(|(id, _)| (Reverse(fleet.evidence.in_flight.get(*id).copied()), *id));
    members.truncate(pool.free as usize);
    for (id, vm) in &members {
        let purpose = Purpose::Wave(name.clone());
        let entry = Entry::Drain { vm: (*id).clone(), generation: vm.generation, purpose };
        let place = if chosen.is_empty() { "any domain" } else { chosen };
        let reason = format_compact!(
            "wave {name}, {place}: {} active, budget {}",
            pool.counts.active,
            pool.settings.min_available
        );
        plan.push(entry, reason);
    }
    members.len() as u32
}

fn in_wave(vm: &Vm) -> bool {
    matches!(
        &vm.phase,
        VmPhase::Draining { purpose: Purpose::Wave(_), .. }
            | VmPhase::Drained { purpose: Purpose::Wave(_), .. }
            | VmPhase::Rebooting { purpose: Purpose::Wave(_), .. }
    )
}

fn domain(rule: DomainRule, vm: &Vm) -> &str {
    match rule {
        DomainRule::Any => "",
        DomainRule::Rack => vm.rack.as_str(),
        DomainRule::DataCentre => vm.centre.as_str(),
    }
}

/// The failure domain to work on. The one that is open goes on; otherwise the one that uses most of the free VMs now.
/// Among equals, a domain whose last round fits into the free VMs goes first: while failures hold down the number of
/// free VMs, it takes the round that would otherwise leave part of the slack unused later.
fn choose_domain<'a>(
    due: &BTreeMap<&'a str, Vec<Member<'_>>>,
    open: &BTreeSet<&'a str>,
    free: u32,
    slack: u32,
) -> Option<&'a str> {
    if open.len() > 1 {
        return None;
    }
    if let Some(domain) = open.first() {
        return due.contains_key(domain).then_some(*domain);
    }
    let rank = |domain: &&'a str, size: usize| {
        let size = size as u32;
        let rest = size % slack.max(1);
        (Reverse(size.min(free)), rest == 0 || rest > free, size, *domain)
    };
    let domains = due.iter().map(|(domain, vms)| rank(domain, vms.len()));
    domains.min().map(|(.., domain)| domain)
}
