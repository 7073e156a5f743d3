//! The placer: ranks the workers of a pool for a job, and returns relief for overloaded ones.

use std::{cell::RefCell, time::Duration};

use compact_str::{CompactString, format_compact};

use cj_fold::{Job, State};
use cj_types::{JobId, Resources, UnixMillis, VmId, rendezvous};

use crate::{
    profile::Quantile,
    relief,
    table::{Pool, Worker, WorkerTable},
    types::{Choice, Relief, UsageReport},
};

/// Workers with room that a decision compares. Comparing more rarely finds a better one and costs time in large pools.
const MAX_CANDIDATES: usize = 32;
/// Candidates that a decision lists.
const MAX_LISTED_CANDIDATES: usize = 5;
/// Weight, relative to the load, of the hours (at most one) by which a job extends the use of its worker. Gathers long
/// jobs on few workers, so that the others can be drained soon.
const EXTENSION_WEIGHT: f64 = 0.25;
/// Run time after which a task shows that its worker starts tasks properly.
const HEALTHY_RUN_TIME: Duration = Duration::from_secs(30);

/// Chooses workers for jobs by observed usage, and relieves overloaded ones.
///
/// It learns run times, failures and successes from the state that [`Placer::choose`] is given.
#[derive(Default)]
pub struct Placer {
    table: RefCell<WorkerTable>,
}

impl Placer {
    /// Creates a placer without observations.
    pub fn new() -> Self {
        Placer::default()
    }

    /// Chooses a worker from the job's pool without reserving anything: for admission, or where the decision isn't
    /// carried out.
    ///
    /// [`Choice::Unplaceable`] means that no worker of the pool can hold the job, or that it failed on several healthy
    /// workers.
    pub fn choose(&self, state: &State, job: &Job, now: UnixMillis) -> Choice {
        let mut table = self.table.borrow_mut();
        table.refresh(state, now);
        let choice = decide(&table, state, job, now).choice(&table, job);
        log_choice(None, job, &choice);
        choice
    }

    /// Like [`Placer::choose`], for a queued job that is about to be claimed. The decision counts as load on the worker
    /// until the claim appears in the state, for at most 10 s.
    pub fn choose_and_reserve(
        &self,
        state: &State,
        id: &JobId,
        job: &Job,
        now: UnixMillis,
    ) -> Choice {
        let mut table = self.table.borrow_mut();
        table.refresh(state, now);
        let decision = decide(&table, state, job, now);
        let choice = decision.choice(&table, job);
        if let Decision::Ranked(indices, _) = decision {
            table.reserve(id, job, indices[0], now);
        }
        log_choice(Some(id), job, &choice);
        choice
    }

    /// Demand expected of a job by observation, which a worker should reserve for it.
    pub fn expected_demand(&self, job: &Job) -> Resources {
        self.table.borrow().profiles.expected_demand(job)
    }

    /// Records a usage report. One that isn't newer than the last of its worker is ignored.
    pub fn observe(&mut self, usage: &UsageReport) {
        let table = self.table.get_mut();
        if table.reports.get(&usage.vm).is_some_and(|last| last.measured_at >= usage.measured_at) {
            return;
        }
        for task in &usage.tasks {
            // A throttled task uses less than it needs.
            if task.last_relief.is_none() {
                let profile = table.profiles.get_mut(&task.service, &task.class);
                profile.record_usage(task.used, task.declared);
            }
            if task.run_time >= HEALTHY_RUN_TIME {
                table.health.record_success(&usage.vm, usage.measured_at);
            }
        }
        table.reports.insert(usage.vm.clone(), usage.clone());
    }

    /// Returns relief for overloaded workers: throttle, checkpoint, then stop, the least urgent tasks first. Workers
    /// that weren't in the state at the last decision are skipped, since their capacity isn't known.
    pub fn relieve(&self, usage: &[UsageReport]) -> Vec<Relief> {
        let table = self.table.borrow();
        let relief = |report: &UsageReport| {
            table.capacity(&report.vm).map(|capacity| relief::relieve(report, capacity))
        };
        usage.iter().filter_map(relief).flatten().collect()
    }

    /// True while a worker is ejected: it gets no jobs because different jobs failed on it in a row.
    pub fn is_ejected(&self, vm: &VmId, now: UnixMillis) -> bool {
        self.table.borrow().health.is_ejected(vm, now)
    }
}

enum Decision {
    /// Workers with room, the best first and at least one, and the reason.
    Ranked(Vec<usize>, CompactString),
    Wait(CompactString),
    Unplaceable(CompactString),
}

impl Decision {
    fn choice(&self, table: &WorkerTable, job: &Job) -> Choice {
        match self {
            Decision::Ranked(indices, reason) => {
                let workers = &table.pools[&job.pool].workers;
                let listed = indices.iter().take(MAX_LISTED_CANDIDATES);
                let candidates: Vec<VmId> = listed.map(|&i| workers[i].vm.clone()).collect();
                Choice::Target { vm: candidates[0].clone(), reason: reason.clone(), candidates }
            }
            Decision::Wait(reason) => Choice::Wait { reason: reason.clone() },
            Decision::Unplaceable(reason) => Choice::Unplaceable { reason: reason.clone() },
        }
    }
}

fn decide(table: &WorkerTable, state: &State, job: &Job, now: UnixMillis) -> Decision {
    if let Some(count) = table.health.poison_evidence(&job.failures, now) {
        let reason = format_compact!("it failed on {count} workers that run other jobs well");
        return Decision::Unplaceable(reason);
    }
    let expected = table.profiles.expected_demand(job);
    let Some(pool) = table.pools.get(&job.pool).filter(|p| !p.workers.is_empty()) else {
        return Decision::Wait("the pool has no workers".into());
    };
    if let Some(reason) = never_fits(table, pool, job, expected) {
        return Decision::Unplaceable(reason);
    }
    let mut ranked = rank(table, pool, state, job, expected, now);
    ranked.sort_by(|a, b| a.partial_cmp(b).expect("scores are finite"));
    if ranked.is_empty() {
        return Decision::Wait(format_compact!("no worker has room for {expected}"));
    }
    let known = table.profiles.get(&job.service, &job.class).is_some_and(|p| p.is_observed());
    let source = if known { "observed" } else { "declared" };
    let reason = format_compact!("{source} demand {expected}, rack spread, then load");
    Decision::Ranked(ranked.into_iter().map(|r| r.index).collect(), reason)
}

/// Rank of a worker for a job; lower is better, and earlier fields take precedence.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    /// True when the job has failed before and the worker has no recent success. Another failure there wouldn't show
    /// whether the job or the worker is the cause.
    unproven: bool,
    /// Accelerators that the job wouldn't use.
    unused_accelerators: u32,
    /// Tasks of the service in the rack.
    rack_tasks: u32,
    /// Load of the worker after the placement, plus the weighted extension of its use.
    score: f64,
    index: usize,
}

/// Reason why no worker of the pool can ever hold a job. Declared sizes are used only until enough usage was observed.
fn never_fits(
    table: &WorkerTable,
    pool: &Pool,
    job: &Job,
    expected: Resources,
) -> Option<CompactString> {
    let profile = table.profiles.get(&job.service, &job.class).filter(|p| p.is_observed());
    let (demand, source) = match profile {
        Some(profile) => (profile.demand(Quantile::Median, job.demand), "observed"),
        None => (job.demand, "declared"),
    };
    let fits = pool.workers.iter().any(|w| demand.fits(w.capacity));
    (!fits).then(|| {
        format_compact!(
            "no worker of the pool can hold the {source} demand {demand} (expected {expected})"
        )
    })
}

/// Ranks of workers with room, at most [`MAX_CANDIDATES`].
fn rank(
    table: &WorkerTable,
    pool: &Pool,
    state: &State,
    job: &Job,
    expected: Resources,
    now: UnixMillis,
) -> Vec<Rank> {
    let end = now + table.profiles.median_run_time(job);
    let count = pool.workers.len();
    // Different jobs start their search at different workers.
    let first =
        rendezvous::weight(job.service.as_str().as_bytes(), &job.body_hash) as usize % count;
    let mut ranked = Vec::new();
    for index in (first..count).chain(0..first) {
        let worker = &pool.workers[index];
        let member = |vm: &cj_fold::Vm| vm.phase.is_active() && vm.pool == job.pool;
        if !has_room(table, worker, job, expected, now)
            || !state.vms.get(&worker.vm).is_some_and(member)
        {
            continue;
        }
        let unused_accelerators =
            if job.demand.accelerators.0 == 0 { worker.capacity.accelerators.0 } else { 0 };
        let key = (job.service.clone(), worker.rack.clone());
        let hours = end.since(worker.busy_until).as_secs_f64() / 3600.0;
        ranked.push(Rank {
            unproven: !job.failures.is_empty() && !table.health.is_proven(&worker.vm, now),
            unused_accelerators,
            rack_tasks: pool.rack_tasks.get(&key).copied().unwrap_or_default(),
            score: load_after(worker, expected) + EXTENSION_WEIGHT * hours.min(1.0),
            index,
        });
        if ranked.len() >= MAX_CANDIDATES {
            break;
        }
    }
    ranked
}

fn has_room(
    table: &WorkerTable,
    worker: &Worker,
    job: &Job,
    expected: Resources,
    now: UnixMillis,
) -> bool {
    // An expected demand above a whole worker is capped at its capacity: the median fits, so the job may run alone.
    let expected = Resources {
        cores: expected.cores.min(worker.capacity.cores),
        memory: expected.memory.min(worker.capacity.memory),
        accelerators: expected.accelerators,
    };
    let health = &table.health;
    expected.fits(worker.capacity.minus(worker.load))
        && !job.failures.iter().any(|(vm, _)| *vm == worker.vm)
        && !health.is_ejected(&worker.vm, now)
        && health.task_limit(&worker.vm).is_none_or(|limit| worker.tasks < limit)
}

/// Highest used fraction of cores or memory after a placement.
fn load_after(worker: &Worker, expected: Resources) -> f64 {
    let part = |used: u32, more: u32, whole: u32| {
        (f64::from(used) + f64::from(more)) / f64::from(whole.max(1))
    };
    let (load, capacity) = (worker.load, worker.capacity);
    let cores = part(load.cores.0, expected.cores.0, capacity.cores.0);
    cores.max(part(load.memory.0, expected.memory.0, capacity.memory.0))
}

fn log_choice(id: Option<&JobId>, job: &Job, choice: &Choice) {
    if !log::log_enabled!(target: "decision", log::Level::Info) {
        return;
    }
    let id = id.map_or_else(|| "new".into(), |id| format_compact!("{id}"));
    let (service, class) = (&job.service, &job.class);
    match choice {
        Choice::Target { vm, reason, candidates } => {
            let names: Vec<&str> = candidates.iter().map(VmId::as_str).collect();
            let names = names.join(",");
            log::info!(target: "decision", "job={id} service={service} class={class} choice={vm} reason=\"{reason}\" candidates={names}");
        }
        Choice::Wait { reason } => {
            log::debug!(target: "decision", "job={id} service={service} class={class} choice=wait reason=\"{reason}\"");
        }
        Choice::Unplaceable { reason } => {
            log::info!(target: "decision", "job={id} service={service} class={class} choice=impossible reason=\"{reason}\"");
        }
    }
}
