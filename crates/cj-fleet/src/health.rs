//! Registering VMs, and reporting them as failed or healthy.

use compact_str::format_compact;

use cj_fold::{Vm, VmPhase};
use cj_record::{Entry, Purpose, VmFacts};
use cj_types::{BootId, UnixMillis, VmId};

use crate::{
    Notice, limits,
    plan::Plan,
    view::{Fleet, PoolView, Suspicion},
};

/// Registers VMs that the platform lists and the state doesn't know, and takes over changed facts.
pub(crate) fn register(fleet: &Fleet<'_>, plan: &mut Plan) {
    let mut left = limits::MAX_REGISTERS;
    for facts in fleet.listed.values() {
        if left == 0 {
            break;
        }
        left -= usize::from(register_vm(fleet, facts, plan));
    }
}

fn register_vm(fleet: &Fleet<'_>, facts: &VmFacts, plan: &mut Plan) -> bool {
    let Some(vm) = fleet.state.vms.get(&facts.vm) else {
        if !fleet.pools.contains_key(&facts.pool) {
            let (vm, pool) = (facts.vm.clone(), facts.pool.clone());
            plan.notices.push(Notice::PoolUnknown { vm, pool });
            return false;
        }
        plan.push(Entry::Register(facts.clone()), "listed by the platform and not known yet");
        return true;
    };
    let same = vm.address == facts.address
        && vm.rack == facts.rack
        && vm.centre == facts.centre
        && vm.kind == facts.kind
        && vm.capacity == facts.capacity;
    let settled = fleet.now.since(vm.maintained.max(vm.moved)) > limits::LIST_LAG;
    if same || !settled || !vm.phase.is_active() || plan.concerns(&facts.vm) {
        return false;
    }
    plan.push(Entry::Register(facts.clone()), "the platform states other facts than recorded");
    true
}

/// Reports VMs as failed or healthy.
pub(crate) fn report(fleet: &Fleet<'_>, plan: &mut Plan) {
    for pool in fleet.pools.values() {
        let missing = missing(fleet, pool);
        let doubted = list_doubted(missing, pool.vms.len());
        if doubted {
            let size = pool.vms.len() as u32;
            plan.notices.push(Notice::ListDoubted { pool: pool.id.clone(), missing, size });
        }
        for (id, vm) in &pool.vms {
            report_vm(fleet, id, vm, doubted, plan);
        }
    }
}

fn missing(fleet: &Fleet<'_>, pool: &PoolView<'_>) -> u32 {
    let by_list = |id: &VmId| fleet.suspects.get(id) == Some(&Suspicion::List);
    pool.vms.iter().filter(|(id, _)| by_list(id)).count() as u32
}

/// More than a third of a pool, and more than two VMs, missing at once is taken for a lost report.
fn list_doubted(missing: u32, size: usize) -> bool {
    missing > 2 && missing as usize * 3 > size
}

fn report_vm(fleet: &Fleet<'_>, id: &VmId, vm: &Vm, doubted: bool, plan: &mut Plan) {
    let mut push = |healthy: bool, boot: Option<BootId>, reason: &str| {
        let generation = vm.generation;
        plan.push(Entry::Health { vm: id.clone(), generation, healthy, boot }, reason);
    };
    match (fleet.suspects.get(id), &vm.phase) {
        (Some(Suspicion::Probe), _) => push(false, None, "a direct probe failed"),
        (Some(Suspicion::List), _) if !doubted => {
            push(false, None, "missing from the platform's list");
        }
        (_, VmPhase::Failed { since }) => {
            let probe = fleet.evidence.probe(id, *since, fleet.now);
            if let Some(probe) = probe.filter(|p| p.healthy) {
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

/// Boot id stated by a successful probe after `after`.
pub(crate) fn probed_boot(fleet: &Fleet<'_>, id: &VmId, after: UnixMillis) -> Option<BootId> {
    fleet.evidence.probe(id, after, fleet.now).filter(|p| p.healthy)?.boot
}

/// Names the VMs whose probes the next plan needs.
pub(crate) fn wanted_probes(fleet: &Fleet<'_>) -> Vec<VmId> {
    let wanted = |id: &VmId, vm: &Vm| {
        fleet.suspects.contains_key(id)
            || match vm.phase {
                VmPhase::Rebooting { .. }
                | VmPhase::Failed { .. }
                | VmPhase::Drained { .. }
                | VmPhase::Draining { purpose: Purpose::Repair, .. } => true,
                VmPhase::Active => fleet.listed.get(id).is_some_and(|f| f.boot != vm.boot),
                _ => false,
            }
    };
    let vms = fleet.state.vms.iter().filter(|(id, vm)| wanted(id, vm));
    vms.map(|(id, _)| id.clone()).collect()
}

/// Reason text shared by the rules that act on budgets.
pub(crate) fn margin_text(pool: &PoolView<'_>) -> compact_str::CompactString {
    let min = pool.settings.min_available;
    format_compact!("{} of {} VMs active, budget {min}", pool.counts.active, pool.vms.len())
}
