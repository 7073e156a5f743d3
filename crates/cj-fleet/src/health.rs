//! Registration of listed VMs, and health reports: which VMs to record as failed, healthy or removed.

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

/// Registers VMs that the platform lists but the state lacks, and updates facts that have changed.
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

/// Proposes health reports, and the removal of VMs that the platform no longer has.
pub(crate) fn report(fleet: &FleetView<'_>, plan: &mut Plan) {
    for pool in fleet.pools.values() {
        let missing = count_missing(fleet, pool);
        let list_implausible = is_list_implausible(missing, pool.vms.len());
        if list_implausible {
            let size = pool.vms.len() as u32;
            plan.notices.push(Notice::ImplausibleList { pool: pool.id.clone(), missing, size });
        }
        for (id, vm) in &pool.vms {
            report_vm(fleet, id, vm, list_implausible, plan);
        }
    }
}

/// Number of the pool's VMs that are missing from the list, or 0 if probes account for all of them. VMs already
/// recorded as failed count too: otherwise a list that drops a few VMs at every refresh would get them all reported, a
/// few at a time.
fn count_missing(fleet: &FleetView<'_>, pool: &PoolView<'_>) -> u32 {
    let is_list_suspect = |id: &VmId| fleet.suspects.get(id) == Some(&Suspicion::List);
    if !pool.vms.iter().any(|(id, _)| is_list_suspect(id)) {
        return 0;
    }
    let is_missing = |(id, vm): &&Member<'_>| {
        is_list_suspect(id) || is_failed(vm) && fleet.list_diff.is_missing(id)
    };
    pool.vms.iter().filter(is_missing).count() as u32
}

/// Whether so many VMs are missing at once (more than two, and more than a third of the pool) that the list is more
/// likely to be incomplete than the VMs to have failed.
fn is_list_implausible(missing: u32, size: usize) -> bool {
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
            // A VM that fails repeatedly stays failed, so that the repair step can take it out of rotation.
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
                // The node that was to reboot the VM stopped before it made the call. Once the VM is recorded as
                // failed, a successful probe returns it to service, and the wave drains it again under a new operation.
                Some(probe) if probe.boot == Some(vm.boot) => {
                    push(false, None, "was not rebooted within the reboot limit");
                }
                _ => {}
            }
        }
        _ => {}
    }
}

/// Whether the platform has most likely removed the VM: out of service and unlisted for [`limits::REMOVE_AFTER`], and a
/// recent probe failed.
fn is_removed_by_platform(fleet: &FleetView<'_>, id: &VmId, vm: &Vm) -> bool {
    let (VmPhase::Failed { since } | VmPhase::OutOfRotation { since }) = vm.phase else {
        return false;
    };
    fleet.now.since(since) > limits::REMOVE_AFTER
        && fleet.list_diff.is_missing(id)
        && fleet.evidence.probe(id, since, fleet.now).is_some_and(|p| !p.healthy)
}

/// Boot id reported by a successful probe made at `after` or later.
pub(crate) fn probed_boot(fleet: &FleetView<'_>, id: &VmId, after: UnixMillis) -> Option<BootId> {
    fleet.evidence.probe(id, after, fleet.now).filter(|p| p.healthy)?.boot
}

/// VMs whose probe results the next plan depends on.
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

/// Describes a pool's availability budget, for the reasons of proposals.
pub(crate) fn budget_text(pool: &PoolView<'_>) -> compact_str::CompactString {
    let min = pool.settings.min_available;
    format_compact!("{} of {} VMs active, budget {min}", pool.counts.active, pool.vms.len())
}
