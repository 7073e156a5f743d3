//! Runs the fleet planner: gathers evidence about the VMs, proposes the planner's changes to the log, and calls VM
//! control for the changes that the log has accepted.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use cj_fleet::{Evidence, Probe, plan_with_notices};
use cj_fold::{JobPhase, State, VmPhase};
use cj_log::{LogService, ProposalOutcome};
use cj_record::VmFacts;
use cj_types::{Clock, OpId, PoolId, VmId};

use crate::{
    context::{NodeContext, sleep},
    platform::{ListedState, ListedVm},
};

/// Pause between two planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Key whose rendezvous owner runs the planner. It does no harm if another node runs it as well.
const PLANNER_KEY: &[u8] = b"fleet-planner";
/// Most VMs probed per round.
const MAX_PROBES_PER_ROUND: usize = 64;

/// Limit on the traffic of reading the VM list, in bytes per second: a quarter of a node's budget for control traffic,
/// so that the rest covers the log and the heartbeats.
const LIST_BYTES_PER_S: f64 = 3_000.0;

/// The VM list as last read from VM control, and the time of the next read.
#[derive(Default)]
struct VmList {
    vms: Vec<ListedVm>,
    next_read: Option<Instant>,
}

impl VmList {
    /// Reads the list if a read is due. The larger the list, the longer the pause until the next read.
    async fn refresh<L, C>(&mut self, node: &NodeContext<L, C>)
    where
        L: LogService,
        C: Clock + 'static,
    {
        if self.next_read.is_some_and(|at| node.now() < at) {
            return;
        }
        match node.vm_control.list().await {
            Ok((vms, bytes)) => {
                self.vms = vms;
                let pause = Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S);
                self.next_read = Some(node.now() + pause);
            }
            Err(e) => {
                log::info!(target: "decision", "vm list not read: {e}");
                self.vms.clear();
            }
        }
    }
}

/// Calls to VM control that have succeeded, so that they are repeated only by another owner of the planner.
/// VMs drained by one batch share an operation id.
#[derive(Default)]
struct IssuedCommands {
    drains: BTreeSet<(VmId, OpId)>,
    reboots: BTreeSet<(VmId, OpId)>,
    /// Generation of the VM when it was last assigned to a pool or undrained.
    changed_at: BTreeMap<VmId, u64>,
}

/// Plans and executes changes of the fleet until the node stops.
pub async fn run_fleet_planner<L, C>(node: Rc<NodeContext<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let issued = RefCell::new(IssuedCommands::default());
    let mut notices = BTreeSet::new();
    let mut list = VmList::default();
    loop {
        sleep(PLAN_INTERVAL).await;
        if node.shutdown.begun() || !node.replica.lag().reachable || !node.owns(PLANNER_KEY) {
            continue;
        }
        list.refresh(&node).await;
        let listed = &list.vms;
        gather_evidence(&node, listed).await;
        propose_changes(&node, &mut notices).await;
        execute_commands(&node, &issued, listed).await;
    }
}

/// Updates the planner's evidence from the VM list, probes, the peers' reports and the replicated state.
async fn gather_evidence<L, C>(node: &NodeContext<L, C>, listed: &[ListedVm])
where
    L: LogService,
    C: Clock + 'static,
{
    let candidates = vms_to_probe(&node.replica.state(), listed);
    let probes = candidates.iter().take(MAX_PROBES_PER_ROUND).map(|vm| probe_vm(node, vm));
    let probed: Vec<ProbeResult> =
        futures::future::join_all(probes).await.into_iter().flatten().collect();
    let on_vms: BTreeMap<VmId, u32> =
        probed.iter().filter_map(|p| Some((p.vm.clone(), p.in_flight?))).collect();
    let probes = probed.into_iter().map(|p| (p.vm, p.probe));
    let mut evidence = node.evidence.borrow_mut();
    evidence.probes.extend(probes);
    let now = node.clock.wall();
    evidence.probes.retain(|_, p| now.since(p.at) <= cj_fleet::PROBE_MAX_AGE);
    evidence.listed =
        listed.iter().filter(|l| l.state != ListedState::Down).map(VmFacts::from).collect();
    evidence.in_flight = count_in_flight(node, &on_vms);
    evidence.demand = vm_demand(&node.replica.state());
}

/// VMs whose current state is needed: those that are not active, and those that the list reports as not live, with
/// another boot id, or not at all.
fn vms_to_probe(state: &State, listed: &[ListedVm]) -> Vec<VmId> {
    let by_id: BTreeMap<&VmId, &ListedVm> = listed.iter().map(|l| (&l.vm, l)).collect();
    let needs_probe = |id: &VmId, vm: &cj_fold::Vm| {
        !vm.phase.is_active()
            || by_id.get(id).is_none_or(|l| l.state != ListedState::Live || l.boot != vm.boot)
    };
    state.vms.iter().filter(|(id, vm)| needs_probe(id, vm)).map(|(id, _)| id.clone()).collect()
}

/// Result of a probe, with the number of requests or tasks in flight on the VM if it was reported.
struct ProbeResult {
    vm: VmId,
    probe: Probe,
    in_flight: Option<u32>,
}

/// Probes one VM. Returns `None` if VM control does not answer, which is no evidence about the VM.
async fn probe_vm<L, C>(node: &NodeContext<L, C>, vm: &VmId) -> Option<ProbeResult>
where
    L: LogService,
    C: Clock + 'static,
{
    let started = node.clock.wall();
    match node.vm_control.probe(vm).await {
        Ok(found) => {
            let healthy = found.listed.state != ListedState::Down;
            let probe = Probe { at: started, healthy, boot: Some(found.listed.boot) };
            Some(ProbeResult { vm: vm.clone(), probe, in_flight: Some(found.in_flight) })
        }
        Err(e) if e.is_unanswered() => None,
        Err(_) => {
            let probe = Probe { at: started, healthy: false, boot: None };
            Some(ProbeResult { vm: vm.clone(), probe, in_flight: None })
        }
    }
}

/// Number of requests and tasks in flight on each VM with a drain or reboot under way. A VM is left out while some live
/// node may not have applied its drain yet. It is also left out when the VM itself was not probed in this round,
/// because a paused node doesn't report what it has in flight.
fn count_in_flight<L, C>(
    node: &NodeContext<L, C>,
    on_vms: &BTreeMap<VmId, u32>,
) -> BTreeMap<VmId, u32>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let view = node.peers.view();
    let live = view.live(node.now());
    let mut counts = BTreeMap::new();
    for (id, vm) in &state.vms {
        let Some(op) = vm.phase.op() else { continue };
        if live.iter().any(|p| p.report.applied.0 <= op.0) {
            continue;
        }
        let Some(on_vm) = on_vms.get(id) else { continue };
        let own = node.dispatcher.in_flight(id) as u32;
        let others: u32 = live.iter().filter_map(|p| p.report.in_flight.get(id)).sum();
        counts.insert(id.clone(), own + others + on_vm);
    }
    for (_, job) in state.open_jobs() {
        let target = match &job.phase {
            JobPhase::Claimed(claim) => &claim.target,
            JobPhase::OutcomeUnknown { claim, .. } if job.task => &claim.target,
            _ => continue,
        };
        if let Some(count) = counts.get_mut(target) {
            *count += 1;
        }
    }
    counts
}

/// Number of VMs that the open tasks of each pool would fill, running and queued ones together.
fn vm_demand(state: &State) -> BTreeMap<PoolId, u32> {
    let mut cores: BTreeMap<&PoolId, u64> = BTreeMap::new();
    for (_, job) in state.open_jobs().filter(|(_, j)| j.task) {
        *cores.entry(&job.pool).or_default() += u64::from(job.demand.cores.0);
    }
    let mut demand = BTreeMap::new();
    for (pool, required) in cores {
        let per_vm =
            state.active_vms(pool).map(|(_, vm)| u64::from(vm.capacity.cores.0)).max().unwrap_or(0);
        if per_vm > 0 {
            demand
                .insert(pool.clone(), u32::try_from(required.div_ceil(per_vm)).unwrap_or(u32::MAX));
        }
    }
    demand
}

/// Plans, logs new notices, and proposes the planned changes to the log.
async fn propose_changes<L, C>(node: &NodeContext<L, C>, notices: &mut BTreeSet<String>)
where
    L: LogService,
    C: Clock + 'static,
{
    let planned = {
        let state = node.replica.state();
        let evidence: &Evidence = &node.evidence.borrow();
        plan_with_notices(&state, evidence, node.clock.wall())
    };
    for notice in &planned.notices {
        let text = notice.to_string();
        if !notices.contains(&text) {
            log::warn!(target: "decision", "fleet notice={text:?}");
        }
    }
    *notices = planned.notices.iter().map(ToString::to_string).collect();
    let proposals = planned.proposals.into_iter().map(|p| async move {
        let text = format!("{:?}", p.entry);
        node.metrics.fleet_actions.inc();
        let result = node.propose(p.entry, PROPOSAL_TIMEOUT).await;
        match &result {
            ProposalOutcome::Decided { offset, verdict } => {
                log::info!(target: "decision", "fleet offset={offset} verdict={verdict:?} reason={:?} entry={text}", p.reason);
            }
            other => log::info!(target: "decision", "fleet undecided={other:?} reason={:?} entry={text}", p.reason),
        }
    });
    futures::future::join_all(proposals).await;
}

/// A command to VM control about one VM.
enum VmCommand {
    Drain(VmId, OpId),
    Reboot(VmId, OpId),
    /// With the generation of the VM.
    Undrain(VmId, u64),
    /// With the generation of the VM and its new pool.
    Assign(VmId, u64, PoolId),
}

async fn execute_commands<L, C>(
    node: &NodeContext<L, C>,
    issued: &RefCell<IssuedCommands>,
    listed: &[ListedVm],
) where
    L: LogService,
    C: Clock + 'static,
{
    let commands = due_commands(&node.replica.state(), &issued.borrow(), listed);
    for command in commands {
        node.metrics.fleet_actions.inc();
        let result = match &command {
            VmCommand::Drain(vm, op) => node.vm_control.drain(vm, *op).await,
            VmCommand::Reboot(vm, op) => {
                if !is_current_reboot(&node.replica.state(), vm, *op) {
                    continue;
                }
                node.vm_control.reboot(vm, *op).await
            }
            VmCommand::Undrain(vm, change_number) => {
                node.vm_control.undrain(vm, *change_number).await
            }
            VmCommand::Assign(vm, change_number, pool) => {
                node.vm_control.assign(vm, *change_number, pool).await
            }
        };
        match (result, command) {
            (Ok(()), VmCommand::Drain(vm, op)) => {
                log::info!(target: "decision", "vm={vm} op={op} drain called");
                issued.borrow_mut().drains.insert((vm, op));
            }
            (Ok(()), VmCommand::Reboot(vm, op)) => {
                log::info!(target: "decision", "vm={vm} op={op} reboot called");
                issued.borrow_mut().reboots.insert((vm, op));
            }
            (Ok(()), VmCommand::Undrain(vm, change_number)) => {
                log::info!(target: "decision", "vm={vm} undrain called");
                issued.borrow_mut().changed_at.insert(vm, change_number);
            }
            (Ok(()), VmCommand::Assign(vm, change_number, pool)) => {
                log::info!(target: "decision", "vm={vm} assigned pool={pool}");
                issued.borrow_mut().changed_at.insert(vm, change_number);
            }
            (
                Err(e),
                VmCommand::Drain(vm, _)
                | VmCommand::Reboot(vm, _)
                | VmCommand::Undrain(vm, _)
                | VmCommand::Assign(vm, ..),
            ) => {
                log::info!(target: "decision", "vm={vm} call to VM control failed: {e}");
            }
        }
    }
}

/// Commands that the replicated state calls for and that were not issued yet.
fn due_commands(state: &State, issued: &IssuedCommands, listed: &[ListedVm]) -> Vec<VmCommand> {
    let mut commands = Vec::new();
    for (id, vm) in &state.vms {
        match &vm.phase {
            VmPhase::Draining { op, .. } if !issued.drains.contains(&(id.clone(), *op)) => {
                commands.push(VmCommand::Drain(id.clone(), *op))
            }
            VmPhase::Rebooting { op, .. } if !issued.reboots.contains(&(id.clone(), *op)) => {
                commands.push(VmCommand::Reboot(id.clone(), *op))
            }
            _ => {}
        }
    }
    for listed in listed {
        let Some(vm) = state.vms.get(&listed.vm) else { continue };
        // The list lags, so a call that succeeded at this generation may not be visible in it yet.
        if issued.changed_at.get(&listed.vm) == Some(&vm.generation.0) {
            continue;
        }
        if vm.phase.is_active() && listed.state == ListedState::Leaving && vm.pool == listed.pool {
            commands.push(VmCommand::Undrain(listed.vm.clone(), vm.generation.0));
        }
        if vm.pool != listed.pool {
            commands.push(VmCommand::Assign(listed.vm.clone(), vm.generation.0, vm.pool.clone()));
        }
    }
    commands
}

/// True if this reboot is still the VM's current operation. Checked right before the call.
fn is_current_reboot(state: &State, vm: &VmId, op: OpId) -> bool {
    let phase = state.vms.get(vm).map(|v| &v.phase);
    matches!(phase, Some(VmPhase::Rebooting { op: current, .. }) if *current == op)
}
