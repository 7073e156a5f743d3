//! Operations under way: the next step of each, or its end when it must not go on.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use compact_str::CompactString;

use cj_fold::{Vm, VmPhase, rules};
use cj_record::{Entry, Purpose};
use cj_types::{OpId, PoolId, UnixMillis, VmId};

use crate::{
    Notice, Probe,
    health::{margin_text, probed_boot},
    limits,
    plan::Plan,
    view::{Fleet, Member},
};

impl Fleet<'_> {
    /// Drain limit of the operation on a VM.
    pub(crate) fn drain_limit(&self, purpose: &Purpose) -> Duration {
        match purpose {
            Purpose::Wave(wave) => self.state.fleet.waves.get(wave).map(|w| w.drain_limit),
            _ => None,
        }
        .unwrap_or(limits::DRAIN_LIMIT)
    }

    /// Time that a reboot may take in a pool; the fold accepts no failure report before.
    pub(crate) fn reboot_limit(&self, pool: &PoolId) -> Duration {
        let limits = self.covering(pool).map(|w| w.reboot_limit);
        limits.max().unwrap_or(rules::DEFAULT_REBOOT_LIMIT)
    }
}

/// Plans the next step of every operation under way.
pub(crate) fn advance(fleet: &Fleet<'_>, plan: &mut Plan) {
    let ended = ended(fleet);
    for (id, vm) in &fleet.state.vms {
        if fleet.suspects.contains_key(id) {
            continue;
        }
        if let Some(op) = recovered(fleet, id, vm) {
            plan.push(Entry::Undrain { vm: id.clone(), op }, "answers again before its repair");
            continue;
        }
        match (&vm.phase, ended.get(id)) {
            (VmPhase::Draining { op, .. } | VmPhase::Drained { op, .. }, Some(reason)) => {
                plan.push(Entry::Undrain { vm: id.clone(), op: *op }, reason.clone());
                if !drain(vm).is_some_and(|(purpose, _)| is_wave(purpose)) {
                    plan.keep(&vm.pool);
                }
            }
            (VmPhase::Draining { op, purpose, since }, None) => {
                drain_step(fleet, id, *op, purpose, *since, plan);
            }
            (VmPhase::Drained { op, purpose, .. }, None) => {
                drained_step(fleet, id, vm, *op, purpose, plan);
            }
            (VmPhase::Rebooting { op, since, .. }, _) => {
                reboot_step(fleet, id, vm, *op, *since, plan);
            }
            _ => {}
        }
    }
}

fn drain_step(
    fleet: &Fleet<'_>,
    id: &VmId,
    op: OpId,
    purpose: &Purpose,
    since: UnixMillis,
    plan: &mut Plan,
) {
    let dead = |p: Probe| *purpose == Purpose::Repair && !p.healthy;
    let reason = if fleet.is_idle(id) {
        Some("nothing in flight on any live node")
    } else {
        // Work on a VM that a probe shows as dead is lost already; waiting for its timeouts only delays the repair.
        let probe = fleet.evidence.probe(id, since, fleet.now);
        probe.is_some_and(dead).then_some("a probe shows that the VM is down")
    };
    if let Some(reason) = reason {
        plan.push(Entry::Drained { vm: id.clone(), op }, reason);
        return;
    }
    let (taken, limit) = (fleet.now.since(since), fleet.drain_limit(purpose));
    if taken > limit {
        plan.notices.push(Notice::DrainOverLimit { vm: id.clone(), op, taken, limit });
    }
}

fn drained_step(
    fleet: &Fleet<'_>,
    id: &VmId,
    vm: &Vm,
    op: OpId,
    purpose: &Purpose,
    plan: &mut Plan,
) {
    if let Purpose::Move(to) = purpose {
        let (vm_id, to, from) = (id.clone(), to.clone(), vm.pool.clone());
        let entry = Entry::Move { vm: vm_id, generation: vm.generation, from, to };
        plan.push(entry, "drained and no longer needed in its pool");
        return;
    }
    if fleet.window_near(&vm.pool, |wave| wave.reboot_limit) {
        return;
    }
    // A VM that restarted by itself while it drained would pass for rebooted at once, and the call would then hit a VM
    // in service. A working VM therefore has to show its known boot id first.
    let probe = fleet.evidence.probe(id, UnixMillis(0), fleet.now);
    let ready = match purpose {
        Purpose::Repair => probe.is_none_or(|p| !p.healthy),
        _ => probe.is_some_and(|p| p.healthy && p.boot == Some(vm.boot)),
    };
    if ready {
        plan.push(Entry::Reboot { vm: id.clone(), op }, "drained; budget and windows hold");
    }
}

fn reboot_step(
    fleet: &Fleet<'_>,
    id: &VmId,
    vm: &Vm,
    op: OpId,
    since: UnixMillis,
    plan: &mut Plan,
) {
    let boot = probed_boot(fleet, id, since).filter(|b| *b != vm.boot);
    if let Some(boot) = boot {
        plan.push(Entry::Rebooted { vm: id.clone(), op, boot }, "the boot id changed");
        return;
    }
    let (taken, limit) = (fleet.now.since(since), fleet.reboot_limit(&vm.pool));
    if taken > limit {
        plan.notices.push(Notice::RebootOverLimit { vm: id.clone(), op, taken, limit });
    }
}

/// Operation of a failed VM that answers again before its reboot.
fn recovered(fleet: &Fleet<'_>, id: &VmId, vm: &Vm) -> Option<OpId> {
    let (VmPhase::Draining { op, purpose: Purpose::Repair, since }
    | VmPhase::Drained { op, purpose: Purpose::Repair, since }) = &vm.phase
    else {
        return None;
    };
    fleet.evidence.probe(id, *since, fleet.now).is_some_and(|p| p.healthy).then_some(*op)
}

/// Drains that have to end without their act, with the reason.
fn ended<'a>(fleet: &Fleet<'a>) -> BTreeMap<&'a VmId, CompactString> {
    let mut ended = BTreeMap::new();
    for pool in fleet.pools.values() {
        let mut drains: Vec<(Member<'a>, (&Purpose, UnixMillis))> =
            pool.vms.iter().filter_map(|m| Some((*m, drain(m.1)?))).collect();
        drains.sort_by_key(|((id, _), (purpose, since))| (is_wave(purpose), Reverse(*since), *id));
        let breach = pool.breach();
        let lacking = pool.deficit();
        let mut returned = 0;
        for ((id, vm), (purpose, _)) in drains {
            let reason = if returned < breach {
                CompactString::from("the availability budget is broken: ") + &margin_text(pool)
            } else if !is_wave(purpose) && returned < lacking {
                "the pool needs the VM again".into()
            } else if let Some(reason) = withdrawn(fleet, id, vm, purpose) {
                reason.into()
            } else {
                continue;
            };
            returned += 1;
            ended.insert(id, reason);
        }
    }
    ended
}

/// Purpose and start of a drain that takes a working VM out of service.
fn drain(vm: &Vm) -> Option<(&Purpose, UnixMillis)> {
    match &vm.phase {
        VmPhase::Draining { purpose, since, .. } | VmPhase::Drained { purpose, since, .. } => {
            (*purpose != Purpose::Repair).then_some((purpose, *since))
        }
        _ => None,
    }
}

fn is_wave(purpose: &Purpose) -> bool {
    matches!(purpose, Purpose::Wave(_))
}

/// Why the act that a VM drains for is not allowed or not wanted any more.
fn withdrawn(fleet: &Fleet<'_>, id: &VmId, vm: &Vm, purpose: &Purpose) -> Option<&'static str> {
    let restarted = probed_boot(fleet, id, vm.maintained).is_some_and(|boot| boot != vm.boot);
    match purpose {
        Purpose::Wave(id) => match fleet.state.fleet.waves.get(id) {
            None => Some("the wave was removed"),
            Some(wave) if !wave.pools.contains(&vm.pool) => Some("the pool left the wave"),
            Some(_) if fleet.window_near(&vm.pool, |wave| wave.reboot_limit) => {
                Some("a forbidden window starts before the reboot would end")
            }
            Some(_) => restarted.then_some("restarted without a plan while it drained"),
        },
        Purpose::Move(to) => {
            (!fleet.pools.contains_key(to)).then_some("the pool it drains for was removed")
        }
        Purpose::Repair => None,
    }
}
