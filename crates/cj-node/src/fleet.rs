//! Runs the fleet planner: gathers evidence, proposes what the planner wants, and calls VM control for what the log has
//! permitted.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use cj_fleet::{Evidence, Probe, plan_all};
use cj_fold::{JobPhase, State, VmPhase};
use cj_log::{LogService, ProposalOutcome};
use cj_record::VmFacts;
use cj_types::{Clock, OpId, PoolId, VmId};

use crate::{
    platform::{ListedState, ListedVm},
    shared::{Shared, sleep},
};

/// Pause between two plans.
const INTERVAL: Duration = Duration::from_millis(250);
/// Limit of one proposal.
const PROPOSE_LIMIT: Duration = Duration::from_secs(5);
/// Key whose rendezvous owner runs the planner; any other node may do so without harm.
const PLANNER_KEY: &[u8] = b"fleet-planner";
/// Most VMs probed per round.
const MAX_PROBES: usize = 64;

/// Bytes per second that reading the VM list may take: a quarter of what a node may spend for control, so that the rest
/// covers the log and the heartbeats.
const LIST_BYTES_PER_S: f64 = 3_000.0;

/// The last VM list that was read, and when the next read is due.
#[derive(Default)]
struct List {
    vms: Vec<ListedVm>,
    next: Option<Instant>,
}

impl List {
    /// Reads the list when it's due. The larger it is, the less often it is read.
    async fn refresh<L, C>(&mut self, node: &Shared<L, C>)
    where
        L: LogService,
        C: Clock + 'static,
    {
        if self.next.is_some_and(|at| node.now() < at) {
            return;
        }
        match node.control.list().await {
            Ok((vms, bytes)) => {
                self.vms = vms;
                let pause = Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S);
                self.next = Some(node.now() + pause);
            }
            Err(e) => {
                log::info!(target: "decision", "vm list not read: {e}");
                self.vms.clear();
            }
        }
    }
}

/// Calls to VM control that were made already, so that they are repeated only after a change of owner.
/// VMs drained by one batch share an operation id.
#[derive(Default)]
struct Made {
    drains: BTreeSet<(VmId, OpId)>,
    reboots: BTreeSet<(VmId, OpId)>,
    /// Generation at which the VM was assigned or returned to service.
    changes: BTreeMap<VmId, u64>,
}

/// Plans and acts until the node stops.
pub async fn run_fleet<L, C>(node: Rc<Shared<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let made = RefCell::new(Made::default());
    let mut notices = BTreeSet::new();
    let mut list = List::default();
    loop {
        sleep(INTERVAL).await;
        if node.shutdown.begun() || !node.replica.lag().reachable || !node.owns(PLANNER_KEY) {
            continue;
        }
        list.refresh(&node).await;
        let listed = &list.vms;
        observe(&node, listed).await;
        propose(&node, &mut notices).await;
        act(&node, &made, listed).await;
    }
}

async fn observe<L, C>(node: &Shared<L, C>, listed: &[ListedVm])
where
    L: LogService,
    C: Clock + 'static,
{
    let suspects = suspects(&node.replica.state(), listed);
    let probes = suspects.iter().take(MAX_PROBES).map(|vm| probe(node, vm));
    let probed: Vec<Probed> =
        futures::future::join_all(probes).await.into_iter().flatten().collect();
    let busy: BTreeMap<VmId, u32> =
        probed.iter().filter_map(|p| Some((p.vm.clone(), p.in_flight?))).collect();
    let probes = probed.into_iter().map(|p| (p.vm, p.probe));
    let mut evidence = node.evidence.borrow_mut();
    evidence.probes.extend(probes);
    let now = node.clock.wall();
    evidence.probes.retain(|_, p| now.since(p.at) <= cj_fleet::PROBE_MAX_AGE);
    evidence.listed =
        listed.iter().filter(|l| l.state != ListedState::Down).map(VmFacts::from).collect();
    evidence.in_flight = in_flight(node, &busy);
    evidence.demand = demand(&node.replica.state());
}

/// VMs whose state has to be known right now: those in an operation, failed ones, and those that the list reports as not
/// live or with another boot id.
fn suspects(state: &State, listed: &[ListedVm]) -> Vec<VmId> {
    let by_id: BTreeMap<&VmId, &ListedVm> = listed.iter().map(|l| (&l.vm, l)).collect();
    let suspect = |id: &VmId, vm: &cj_fold::Vm| {
        !vm.phase.is_active()
            || by_id.get(id).is_none_or(|l| l.state != ListedState::Live || l.boot != vm.boot)
    };
    state.vms.iter().filter(|(id, vm)| suspect(id, vm)).map(|(id, _)| id.clone()).collect()
}

/// Result of a probe with what the VM itself has in flight.
struct Probed {
    vm: VmId,
    probe: Probe,
    in_flight: Option<u32>,
}

/// Probes one VM. An unanswered call to VM control says nothing about the VM.
async fn probe<L, C>(node: &Shared<L, C>, vm: &VmId) -> Option<Probed>
where
    L: LogService,
    C: Clock + 'static,
{
    let started = node.clock.wall();
    match node.control.probe(vm).await {
        Ok(found) => {
            let healthy = found.listed.state != ListedState::Down;
            let probe = Probe { at: started, healthy, boot: Some(found.listed.boot) };
            Some(Probed { vm: vm.clone(), probe, in_flight: Some(found.in_flight) })
        }
        Err(e) if e.is_unanswered() => None,
        Err(_) => {
            let probe = Probe { at: started, healthy: false, boot: None };
            Some(Probed { vm: vm.clone(), probe, in_flight: None })
        }
    }
}

/// Work in flight on each VM in an operation. A VM is left out while any live node may not have heard
/// of its drain, or when the VM itself was not asked in this round: a node that is paused doesn't
/// report what it has in flight.
fn in_flight<L, C>(node: &Shared<L, C>, busy: &BTreeMap<VmId, u32>) -> BTreeMap<VmId, u32>
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
        let Some(on_vm) = busy.get(id) else { continue };
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

/// VMs that each pool's tasks could use now: those it has plus those that its queue would fill.
fn demand(state: &State) -> BTreeMap<PoolId, u32> {
    let mut cores: BTreeMap<&PoolId, u64> = BTreeMap::new();
    for (_, job) in state.open_jobs().filter(|(_, j)| j.task) {
        *cores.entry(&job.pool).or_default() += u64::from(job.demand.cores.0);
    }
    let mut demand = BTreeMap::new();
    for (pool, wanted) in cores {
        let each =
            state.active(pool).map(|(_, vm)| u64::from(vm.capacity.cores.0)).max().unwrap_or(0);
        if each > 0 {
            demand.insert(pool.clone(), u32::try_from(wanted.div_ceil(each)).unwrap_or(u32::MAX));
        }
    }
    demand
}

async fn propose<L, C>(node: &Shared<L, C>, notices: &mut BTreeSet<String>)
where
    L: LogService,
    C: Clock + 'static,
{
    let planned = {
        let state = node.replica.state();
        let evidence: &Evidence = &node.evidence.borrow();
        plan_all(&state, evidence, node.clock.wall())
    };
    for notice in &planned.notices {
        let text = notice.to_string();
        if !notices.contains(&text) {
            log::warn!(target: "decision", "fleet notice={text:?}");
        }
    }
    *notices = planned.notices.iter().map(ToString::to_string).collect();
    let decided = planned.proposals.into_iter().map(|p| async move {
        let text = format!("{:?}", p.entry);
        node.metrics.fleet.inc();
        let result = node.propose(p.entry, PROPOSE_LIMIT).await;
        match &result {
            ProposalOutcome::Decided { offset, verdict } => {
                log::info!(target: "decision", "fleet offset={offset} verdict={verdict:?} reason={:?} entry={text}", p.reason);
            }
            other => log::info!(target: "decision", "fleet undecided={other:?} reason={:?} entry={text}", p.reason),
        }
    });
    futures::future::join_all(decided).await;
}

/// What VM control has to be told about one VM.
enum Act {
    Drain(VmId, OpId),
    Reboot(VmId, OpId),
    Undrain(VmId, u64),
    Assign(VmId, u64, PoolId),
}

async fn act<L, C>(node: &Shared<L, C>, made: &RefCell<Made>, listed: &[ListedVm])
where
    L: LogService,
    C: Clock + 'static,
{
    let acts = due(&node.replica.state(), &made.borrow(), listed);
    for act in acts {
        node.metrics.fleet.inc();
        let done = match &act {
            Act::Drain(vm, op) => node.control.drain(vm, *op).await,
            Act::Reboot(vm, op) => {
                if !may_reboot(&node.replica.state(), vm, *op) {
                    continue;
                }
                node.control.reboot(vm, *op).await
            }
            Act::Undrain(vm, change) => node.control.undrain(vm, *change).await,
            Act::Assign(vm, change, pool) => node.control.assign(vm, *change, pool).await,
        };
        match (done, act) {
            (Ok(()), Act::Drain(vm, op)) => {
                log::info!(target: "decision", "vm={vm} op={op} drain called");
                made.borrow_mut().drains.insert((vm, op));
            }
            (Ok(()), Act::Reboot(vm, op)) => {
                log::info!(target: "decision", "vm={vm} op={op} reboot called");
                made.borrow_mut().reboots.insert((vm, op));
            }
            (Ok(()), Act::Undrain(vm, change)) => {
                log::info!(target: "decision", "vm={vm} undrain called");
                made.borrow_mut().changes.insert(vm, change);
            }
            (Ok(()), Act::Assign(vm, change, pool)) => {
                log::info!(target: "decision", "vm={vm} assigned pool={pool}");
                made.borrow_mut().changes.insert(vm, change);
            }
            (
                Err(e),
                Act::Drain(vm, _) | Act::Reboot(vm, _) | Act::Undrain(vm, _) | Act::Assign(vm, ..),
            ) => {
                log::info!(target: "decision", "vm={vm} call to VM control failed: {e}");
            }
        }
    }
}

fn due(state: &State, made: &Made, listed: &[ListedVm]) -> Vec<Act> {
    let mut acts = Vec::new();
    for (id, vm) in &state.vms {
        match &vm.phase {
            VmPhase::Draining { op, .. } if !made.drains.contains(&(id.clone(), *op)) => {
                acts.push(Act::Drain(id.clone(), *op))
            }
            VmPhase::Rebooting { op, .. } if !made.reboots.contains(&(id.clone(), *op)) => {
                acts.push(Act::Reboot(id.clone(), *op))
            }
            _ => {}
        }
    }
    for listed in listed {
        let Some(vm) = state.vms.get(&listed.vm) else { continue };
        // The list lags: a call that was made at this generation may not show yet.
        if made.changes.get(&listed.vm) == Some(&vm.generation.0) {
            continue;
        }
        if vm.phase.is_active() && listed.state == ListedState::Leaving && vm.pool == listed.pool {
            acts.push(Act::Undrain(listed.vm.clone(), vm.generation.0));
        }
        if vm.pool != listed.pool {
            acts.push(Act::Assign(listed.vm.clone(), vm.generation.0, vm.pool.clone()));
        }
    }
    acts
}

/// Checked right before the call: the permission must still be the VM's current operation.
fn may_reboot(state: &State, vm: &VmId, op: OpId) -> bool {
    let phase = state.vms.get(vm).map(|v| &v.phase);
    matches!(phase, Some(VmPhase::Rebooting { op: current, .. }) if *current == op)
}
