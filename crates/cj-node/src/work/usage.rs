//! Reads the usage reports of the workers that this node owns, feeds them to task placement and relieves overloaded
//! workers.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use compact_str::CompactString;

use cj_fold::{Claim, Job, JobPhase, State};
use cj_log::LogService;
use cj_place::{Relief, ReliefStep, TaskUsage, UsageReport};
use cj_types::{Clock, JobId, VmId};

use crate::{
    context::{NodeContext, sleep},
    platform::{ListedTask, ListedUsage},
};

/// Pause between two rounds; usage reports lag by about as much.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Most workers read per round. Larger fleets take several rounds, so that the traffic per node stays bounded.
const MAX_WORKERS_PER_ROUND: usize = 32;

/// Last relief step applied to each job.
type AppliedRelief = BTreeMap<JobId, ReliefStep>;

/// Reads usage reports and relieves overloaded workers until the node stops.
pub async fn watch_usage<L, C>(node: Rc<NodeContext<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut applied = AppliedRelief::new();
    let mut last: Option<VmId> = None;
    loop {
        sleep(POLL_INTERVAL).await;
        if node.shutdown.begun() {
            continue;
        }
        let workers = next_workers(&node, last.as_ref());
        last = workers.last().map(|(vm, _)| vm.clone());
        let reads = workers.iter().map(|(vm, address)| read_report(&node, vm, address, &applied));
        let reports: Vec<UsageReport> =
            futures::future::join_all(reads).await.into_iter().flatten().collect();
        let relief = {
            let mut placer = node.placer.borrow_mut();
            reports.iter().for_each(|report| placer.observe(report));
            placer.relieve(&reports)
        };
        for step in relief {
            apply_relief(&node, &step, &mut applied).await;
        }
        let state = node.replica.state();
        applied.retain(|job, _| state.jobs.get(job).is_some_and(|j| !j.is_ended()));
    }
}

/// The next workers with tasks that this node owns, in order of id after the last one read.
fn next_workers<L, C>(node: &NodeContext<L, C>, last: Option<&VmId>) -> Vec<(VmId, CompactString)>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let with_tasks: BTreeSet<&VmId> =
        state.open_jobs().filter_map(|(_, job)| task_worker(job)).collect();
    let owned = with_tasks.into_iter().filter(|vm| node.owns(vm.as_str().as_bytes()));
    let mut owned: Vec<&VmId> = owned.collect();
    let start = last.map_or(0, |last| owned.partition_point(|vm| *vm <= last));
    let start = start.min(owned.len());
    owned.rotate_left(start);
    let selected = owned.into_iter().take(MAX_WORKERS_PER_ROUND);
    selected.filter_map(|vm| Some((vm.clone(), state.vms.get(vm)?.address.clone()))).collect()
}

fn task_worker(job: &Job) -> Option<&VmId> {
    match &job.phase {
        JobPhase::Claimed(Claim { target, .. }) if job.task => Some(target),
        _ => None,
    }
}

async fn read_report<L, C>(
    node: &NodeContext<L, C>,
    vm: &VmId,
    address: &str,
    applied: &AppliedRelief,
) -> Option<UsageReport>
where
    L: LogService,
    C: Clock + 'static,
{
    let usage = node.workers.usage(address).await.ok()?;
    let tasks = node.workers.tasks(address).await.ok()?;
    Some(build_report(&node.replica.state(), vm, &usage, &tasks, applied))
}

fn build_report(
    state: &State,
    vm: &VmId,
    usage: &ListedUsage,
    listed: &[ListedTask],
    applied: &AppliedRelief,
) -> UsageReport {
    let run_times: BTreeMap<&str, u64> =
        listed.iter().map(|t| (t.task.as_str(), t.ran_ms)).collect();
    let task = |used: &crate::platform::ListedTaskUsage| {
        let id: JobId = used.task.parse().ok()?;
        let job = state.jobs.get(&id)?;
        Some(TaskUsage {
            service: job.service.clone(),
            class: job.class.clone(),
            urgency: state.fleet.classes.get(&job.class).map_or(0, |c| c.urgency),
            used: used.used,
            declared: job.demand,
            idempotent: job.idempotent,
            run_time: Duration::from_millis(
                run_times.get(used.task.as_str()).copied().unwrap_or_default(),
            ),
            last_relief: applied.get(&id).copied(),
            job: id,
        })
    };
    let tasks = usage.tasks.iter().filter_map(task).collect();
    UsageReport { vm: vm.clone(), measured_at: usage.at, used: usage.used, tasks }
}

async fn apply_relief<L, C>(node: &NodeContext<L, C>, relief: &Relief, applied: &mut AppliedRelief)
where
    L: LogService,
    C: Clock + 'static,
{
    let Some((address, token)) = claim_of(&node.replica.state(), relief) else { return };
    let name = relief.job.to_string();
    let call_result = match relief.step {
        ReliefStep::Throttle => node.workers.throttle(&address, &name, token).await,
        ReliefStep::Checkpoint => node.workers.checkpoint(&address, &name, token).await,
        ReliefStep::Stop => node.workers.stop(&address, &name, token).await,
    };
    let result = call_result.map_or_else(|e| e.to_string(), |()| "done".into());
    log::info!(
        target: "decision",
        "job={} worker={} relief={:?} reason={:?} result={result:?}",
        relief.job, relief.vm, relief.step, relief.reason,
    );
    applied.insert(relief.job.clone(), relief.step);
}

fn claim_of(state: &State, relief: &Relief) -> Option<(CompactString, cj_types::Token)> {
    let JobPhase::Claimed(claim) = &state.jobs.get(&relief.job)?.phase else { return None };
    let vm = state.vms.get(&relief.vm).filter(|_| claim.target == relief.vm)?;
    Some((vm.address.clone(), claim.token))
}
