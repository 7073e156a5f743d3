//! Registering VMs, and reporting them as failed or healthy.

use compact_str::format_compact;

use cj_fold::{Vm, VmPhase};
use cj_record::{Entry, Purpose};
use cj_types::{BootId, UnixMillis, VmId};

use crate::{
    Notice, limits,
    plan::Plan,
    repair,
    view::{FleetView, Member, PoolView, Suspicion, is_failed},
};

/// Registers VMs that the platform lists and the state doesn't know, and takes over changed facts.
pub(crate) fn register(fleet: &FleetView<'_>, plan: &mut Plan) {
    let mut remaining = limits::MAX_REGISTRATIONS;
    for facts in &fleet.list_diff.unregistered {
        if !fleet.pools.contains_key(&facts.pool) {
            let (vm, pool) = (facts.vm.clone(), facts.pool.clone());
            plan.notices.push(Notice::UnknownPool { vm, pool });
        } else if remaining > 0 {
            remaining -= 1;
            let entry = Entry::Register((*facts).clone());
            plan.push(entry, "listed by the platform and not known yet");
        }
    }
    for (facts, vm) in fleet.list_diff.changed.iter().take(remaining) {
        let list_current = fleet.now.since(vm.maintained.max(vm.moved)) > limits::MAX_LIST_LAG;
        if list_current && vm.phase.is_active() && !plan.affects(&facts.vm) {
            let entry = Entry::Register((*facts).clone());
            plan.push(entry, "the platform states other facts than recorded");
        }
    }
}

/// Reports VMs as failed or healthy.
pub(crate) fn report(fleet: &FleetView<'_>, plan: &mut Plan) {
    for pool in fleet.pools.values() {
        let missing = count_missing(fleet, pool);
        let list_implausible = is_implausible(missing, pool.vms.len());
        if list_implausible {
            let size = pool.vms.len() as u32;
            plan.notices.push(Notice::ImplausibleList { pool: pool.id.clone(), missing, size });
        }
        for (id, vm) in &pool.vms {
            report_vm(fleet, id, vm, list_implausible, plan);
        }
    }
}

/// VMs missing from the list, when one of them has no probe. Those that are recorded as failed count too: otherwise a
/// list that loses a few VMs at every refresh would have them all reported in small numbers.
fn count_missing(fleet: &FleetView<'_>, pool: &PoolView<'_>) -> u32 {
    let by_list = |id: &VmId| fleet.suspects.get(id) == Some(&Suspicion::List);
    if !pool.vms.iter().any(|(id, _)| by_list(id)) {
        return 0;
    }
    let lost =
        |(id, vm): &&Member<'_>| by_list(id) || is_failed(vm) && fleet.list_diff.is_missing(id);
    pool.vms.iter().filter(lost).count() as u32
}

/// More than a third of a pool, and more than two VMs, missing at once is taken for a lost report.
fn is_implausible(missing: u32, size: usize) -> bool {
    missing > 2 && missing as usize * 3 > size
}

fn report_vm(fleet: &FleetView<'_>, id: &VmId, vm: &Vm, list_implausible: bool, plan: &mut Plan) {
    if !list_implausible && is_removed_by_platform(fleet, id, vm) {
        let entry = Entry::Remove { vm: id.clone(), generation: vm.generation };
        plan.push(entry, "out of service and off the platform's list for a day");
        return;
    }
    let mut push = |healthy: bool, boot: Option<BootId>, reason: &str| {
        let generation = vm.generation;
        plan.push(Entry::Health { vm: id.clone(), generation, healthy, boot }, reason);
    };
    match (fleet.suspects.get(id), &vm.phase) {
        (Some(Suspicion::Probe), _) => push(false, None, "a direct probe failed"),
        (Some(Suspicion::List), _) if !list_implausible => {
            push(false, None, "missing from the platform's list");
        }
        (_, VmPhase::Failed { since }) => {
            // A VM that keeps failing and coming back is left to be taken out.
            let take_out = repair::may_take_out(fleet, vm);
            let probe = fleet.evidence.probe(id, *since, fleet.now);
            if let Some(probe) = probe.filter(|p| p.healthy && !take_out) {
                push(true, probe.boot, "a direct probe succeeded");
            }
        }
        (None, VmPhase::Active) => {
            let boot = probed_boot(fleet, id, vm.maintained);
            if boot.is_some_and(|b| b != vm.boot) {
                push(true, boot, "restarted without a plan");
            }
        }
        (_, VmPhase::Rebooting { since, .. }) => {
            let limit = fleet.reboot_limit(&vm.pool);
            match fleet.evidence.probe(id, *since + limit, fleet.now) {
                Some(probe) if !probe.healthy => {
                    push(false, None, "did not come back within the reboot limit");
                }
                // The node that was permitted to reboot it stopped before the call. A probe returns the VM to service,
                // and the wave drains it again under a new operation.
                Some(probe) if probe.boot == Some(vm.boot) => {
                    push(false, None, "was not rebooted within the reboot limit");
                }
                _ => {}
            }
        }
        _ => {}
    }
}

/// True when the platform has most likely removed the VM: a probe fails after a long time off the list.
fn is_removed_by_platform(fleet: &FleetView<'_>, id: &VmId, vm: &Vm) -> bool {
    let (VmPhase::Failed { since } | VmPhase::OutOfRotation { since }) = vm.phase else {
        return false;
    };
    fleet.now.since(since) > limits::REMOVE_AFTER
        && fleet.list_diff.is_missing(id)
        && fleet.evidence.probe(id, since, fleet.now).is_some_and(|p| !p.healthy)
}

/// Boot id stated by a successful probe after `after`.
pub(crate) fn probed_boot(fleet: &FleetView<'_>, id: &VmId, after: UnixMillis) -> Option<BootId> {
    fleet.evidence.probe(id, after, fleet.now).filter(|p| p.healthy)?.boot
}

/// Names the VMs whose probes the next plan needs.
pub(crate) fn required_probes(fleet: &FleetView<'_>) -> Vec<VmId> {
    let required = |id: &VmId, vm: &Vm| {
        fleet.suspects.contains_key(id)
            || match vm.phase {
                VmPhase::Rebooting { .. }
                | VmPhase::Failed { .. }
                | VmPhase::OutOfRotation { .. }
                | VmPhase::Drained { .. }
                | VmPhase::Draining { purpose: Purpose::Repair, .. } => true,
                VmPhase::Active => fleet.list_diff.restarted(id),
                _ => false,
            }
    };
    let vms = fleet.state.vms.iter().filter(|(id, vm)| required(id, vm));
    vms.map(|(id, _)| id.clone()).collect()
}

/// Reason text shared by the rules that act on budgets.
pub(crate) fn budget_text(pool: &PoolView<'_>) -> compact_str::CompactString {
    let min = pool.settings.min_available;
    format_compact!("{} of {} VMs active, budget {min}", pool.counts.active, pool.vms.len())
}
