//! Operations in progress: advances each to its next phase, or cancels it when it may not continue.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use compact_str::CompactString;

use cj_fold::{Vm, VmPhase, rules};
use cj_record::{Entry, Purpose};
use cj_types::{OpId, PoolId, UnixMillis, VmId};

use crate::{
    Notice, Probe,
    health::{budget_text, probed_boot},
    limits,
    plan::Plan,
    view::{FleetView, Member, PoolView},
};

impl FleetView<'_> {
    /// Time that a drain may take before it is reported: the limit of its wave, or a default.
    pub(crate) fn drain_limit(&self, purpose: &Purpose) -> Duration {
        match purpose {
            Purpose::Wave(wave) => self.state.fleet.waves.get(wave).map(|w| w.drain_limit),
            _ => None,
        }
        .unwrap_or(limits::DEFAULT_DRAIN_LIMIT)
    }

    /// Time that a reboot in the pool may take. The fold rejects failure reports of the VM before this time has passed.
    pub(crate) fn reboot_limit(&self, pool: &PoolId) -> Duration {
        let limits = self.waves_including(pool).map(|w| w.reboot_limit);
        limits.max().unwrap_or(rules::DEFAULT_REBOOT_LIMIT)
    }
}

/// Proposes the next phase of every operation in progress.
pub(crate) fn advance_operations(fleet: &FleetView<'_>, plan: &mut Plan) {
    let cancelled = drains_to_cancel(fleet, plan);
    for (id, vm) in &fleet.state.vms {
        let rebooting = matches!(vm.phase, VmPhase::Rebooting { .. });
        if fleet.suspects.contains_key(id) || plan.affects(id) && !rebooting {
            continue;
        }
        if let Some(op) = recovered_op(fleet, id, vm) {
            plan.push(Entry::Undrain { vm: id.clone(), op }, "answers again before its repair");
            continue;
        }
        match (&vm.phase, cancelled.get(id)) {
            (VmPhase::Draining { op, .. } | VmPhase::Drained { op, .. }, Some(reason)) => {
                plan.push(Entry::Undrain { vm: id.clone(), op: *op }, reason.clone());
            }
            (VmPhase::Draining { op, purpose, since }, None) => {
                advance_draining(fleet, id, *op, purpose, *since, plan);
            }
            (VmPhase::Drained { op, purpose, .. }, None) => {
                advance_drained(fleet, id, vm, *op, purpose, plan);
            }
            (VmPhase::Rebooting { op, since, .. }, _) => {
                advance_rebooting(fleet, id, vm, *op, *since, plan);
            }
            _ => {}
        }
    }
}

fn advance_draining(
    fleet: &FleetView<'_>,
    id: &VmId,
    op: OpId,
    purpose: &Purpose,
    since: UnixMillis,
    plan: &mut Plan,
) {
    let confirms_failure = |p: Probe| *purpose == Purpose::Repair && !p.healthy;
    let reason = if fleet.is_idle(id) {
        Some("nothing in flight on any live node")
    } else {
        // If a probe shows that the VM is down, its work is lost already; waiting for the work's timeouts would only
        // delay the repair.
        let probe = fleet.evidence.probe(id, since, fleet.now);
        probe.is_some_and(confirms_failure).then_some("a probe shows that the VM is down")
    };
    if let Some(reason) = reason {
        plan.push(Entry::Drained { vm: id.clone(), op }, reason);
        return;
    }
    let (elapsed, limit) = (fleet.now.since(since), fleet.drain_limit(purpose));
    if elapsed > limit {
        plan.notices.push(Notice::DrainOverLimit { vm: id.clone(), op, elapsed, limit });
    }
}

fn advance_drained(
    fleet: &FleetView<'_>,
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
    if fleet.overlaps_window(&vm.pool, |wave| wave.reboot_limit) {
        return;
    }
    // A VM that restarted by itself during its drain would count as rebooted immediately, and the reboot call would
    // then reach a VM that is back in service. A working VM must therefore still report the recorded boot id.
    let probe = fleet.evidence.probe(id, UnixMillis(0), fleet.now);
    let ready = match purpose {
        Purpose::Repair => probe.is_none_or(|p| !p.healthy),
        _ => probe.is_some_and(|p| p.healthy && p.boot == Some(vm.boot)),
    };
    // This check includes suspected failures; the fold's own check covers only recorded ones.
    let budget_holds = *purpose == Purpose::Repair
        || fleet.pools.get(&vm.pool).is_some_and(|pool| pool.budget_margin() >= 0);
    if ready && budget_holds {
        plan.push(Entry::Reboot { vm: id.clone(), op }, "drained; budget and windows hold");
    }
}

fn advance_rebooting(
    fleet: &FleetView<'_>,
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
    let (elapsed, limit) = (fleet.now.since(since), fleet.reboot_limit(&vm.pool));
    if elapsed > limit {
        plan.notices.push(Notice::RebootOverLimit { vm: id.clone(), op, elapsed, limit });
    }
}

/// Returns the repair operation of a VM that a probe finds healthy before its reboot.
fn recovered_op(fleet: &FleetView<'_>, id: &VmId, vm: &Vm) -> Option<OpId> {
    let (VmPhase::Draining { op, purpose: Purpose::Repair, since }
    | VmPhase::Drained { op, purpose: Purpose::Repair, since }) = &vm.phase
    else {
        return None;
    };
    fleet.evidence.probe(id, *since, fleet.now).is_some_and(|p| p.healthy).then_some(*op)
}

/// Cancels drains for moves out of pools that need the VMs again. This saves a move and the drain of another VM.
pub(crate) fn cancel_unneeded_moves(fleet: &FleetView<'_>, plan: &mut Plan) {
    for pool in fleet.pools.values() {
        let leaving = planned_drains(pool).into_iter().filter(|d| !is_for_wave(d.purpose));
        let leaving = leaving.filter(|d| !fleet.suspects.contains_key(d.id));
        for drain in leaving.take(pool.deficit() as usize) {
            let entry = Entry::Undrain { vm: drain.id.clone(), op: drain.op };
            plan.push(entry, "the pool needs the VM again");
            plan.record_gain(pool.id);
        }
    }
}

/// Drains to cancel, with the reason.
fn drains_to_cancel<'a>(fleet: &FleetView<'a>, plan: &Plan) -> BTreeMap<&'a VmId, CompactString> {
    let mut cancelled = BTreeMap::new();
    for pool in fleet.pools.values() {
        // VMs that the pool gains in this plan count first: a loan restores the budget as fast as cancelling a drain
        // does, and the progress of the drain isn't lost.
        let mut shortfall = pool.budget_shortfall().saturating_sub(plan.gained(pool.id));
        for drain in planned_drains(pool) {
            let reason =
                if let Some(reason) = cancel_reason(fleet, drain.id, drain.vm, drain.purpose) {
                    reason.into()
                } else if shortfall > 0 {
                    CompactString::from("the availability budget is broken: ") + &budget_text(pool)
                } else {
                    continue;
                };
            shortfall = shortfall.saturating_sub(1);
            cancelled.insert(drain.id, reason);
        }
    }
    cancelled
}

/// Drain of a working VM, for a wave or a move.
struct Drain<'a> {
    id: &'a VmId,
    vm: &'a Vm,
    op: OpId,
    purpose: &'a Purpose,
    since: UnixMillis,
}

/// Drains of working VMs of a pool, newest first, because cancelling the newest one loses the least progress.
fn planned_drains<'a>(pool: &PoolView<'a>) -> Vec<Drain<'a>> {
    let drain = |(id, vm): &Member<'a>| match &vm.phase {
        VmPhase::Draining { op, purpose, since } | VmPhase::Drained { op, purpose, since } => {
            let (id, vm, op, since) = (*id, *vm, *op, *since);
            (*purpose != Purpose::Repair).then_some(Drain { id, vm, op, purpose, since })
        }
        _ => None,
    };
    let mut drains: Vec<Drain<'a>> = pool.vms.iter().filter_map(drain).collect();
    drains.sort_by_key(|d| (Reverse(d.since), d.id));
    drains
}

fn is_for_wave(purpose: &Purpose) -> bool {
    matches!(purpose, Purpose::Wave(_))
}

/// Reason to cancel a drain because its operation is no longer allowed or needed, or `None` to continue.
fn cancel_reason(
    fleet: &FleetView<'_>,
    id: &VmId,
    vm: &Vm,
    purpose: &Purpose,
) -> Option<&'static str> {
    let restarted = probed_boot(fleet, id, vm.maintained).is_some_and(|boot| boot != vm.boot);
    match purpose {
        Purpose::Wave(id) => match fleet.state.fleet.waves.get(id) {
            None => Some("the wave was removed"),
            Some(wave) if !wave.pools.contains(&vm.pool) => Some("the pool left the wave"),
            Some(_) if fleet.overlaps_window(&vm.pool, |wave| wave.reboot_limit) => {
                Some("a forbidden window starts before the reboot would end")
            }
            Some(_) => restarted.then_some("restarted without a plan while it drained"),
        },
        Purpose::Move(to) if !fleet.pools.contains_key(to) => {
            Some("the pool it drains for was removed")
        }
        Purpose::Move(_) => fleet
            .overlaps_window(&vm.pool, |_| Duration::ZERO)
            .then_some("a forbidden window starts before the drain has ended"),
        Purpose::Repair => None,
    }
}
