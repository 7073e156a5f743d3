//! Choice of the worker for a task: which workers may run it, and what speaks for one of them.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use cj_types::ServiceId;
use compact_str::CompactString;

use crate::{
    job::StepSpec,
    sched::{
        scheduler::Scheduler,
        work::TaskRef,
        worker::{Worker, WorkerKey},
    },
};

/// Width of a slowness band, in multiples of the usual run time. Workers in the same band count as equally fast: single run
/// times differ by a third, and tasks have to fill up few workers so that the VMs of the others can return to the spare pool.
const SLOWNESS_BAND: f32 = 1.4;

/// Constraints of a step, and where its tasks already run.
pub(super) struct StepView<'a> {
    pub(super) spec: &'a StepSpec,
    pub(super) service: &'a ServiceId,
    pub(super) by_worker: HashMap<WorkerKey, u32>,
    /// Workers with a ticket for the step; `None` if its queue needs no advice.
    allowed: Option<Vec<WorkerKey>>,
    avoid: Option<WorkerKey>,
    pub(super) by_rack: HashMap<CompactString, u32>,
    /// Workers whose VMs are due for maintenance; empty unless the step is long-running.
    due: HashSet<WorkerKey>,
    /// Expected run time of a finite task, if workers are chosen by it.
    expected: Option<Duration>,
    /// The task starts alone, so that workers kept free for such tasks are eligible too.
    isolated: bool,
}

/// Cost of placing a task on a worker. Lower is better; compared field by field.
#[derive(PartialEq, PartialOrd)]
pub(super) struct Cost {
    quarantined: bool,
    avoided: bool,
    off_rack: bool,
    slowness_band: u32,
    long_running_cost: u32,
    /// Its VM is due for maintenance, and would have to drain from a finite task once more.
    due: bool,
    /// How much longer the worker is busy with the task, in bands of time.
    busy_time: u32,
    /// Free processors in millicores. Tasks fill up workers, so that large tasks find room on others and idle VMs
    /// can return to the spare pool.
    free_cores: u32,
}

impl Scheduler {
    /// Chooses workers for all members of a gang: in one rack if the step asks for that and a rack has room, otherwise in
    /// any.
    pub(super) fn choose_gang(&self, at: TaskRef, count: u32) -> Option<Vec<WorkerKey>> {
        let view = self.step_view(at);
        let service = view.service;
        let mut racks: Vec<Option<&CompactString>> = Vec::new();
        if view.spec.colocated || view.spec.affinity.is_some() {
            racks.extend(view.spec.affinity.iter().map(Some));
            let workers = self.workers.values().filter(|worker| worker.service == *service);
            racks.extend(workers.map(Worker::rack).filter(Option::is_some));
        }
        racks.push(None);
        racks.into_iter().find_map(|rack| self.fill_gang(&view, count, rack))
    }

    fn fill_gang(
        &self,
        view: &StepView<'_>,
        count: u32,
        rack: Option<&CompactString>,
    ) -> Option<Vec<WorkerKey>> {
        let demand = view.spec.allocation();
        let mut chosen = Vec::with_capacity(count as usize);
        let mut workers: Vec<_> = self
            .workers
            .iter()
            .filter(|(key, worker)| self.is_eligible(view, *key, worker))
            .filter(|(_, worker)| rack.is_none() || worker.rack() == rack)
            .map(|(key, worker)| (self.cost(view, key, worker), key, worker.free()))
            .collect();
        workers.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        for (_, key, mut free) in workers {
            let most = view.spec.spread.unwrap_or(u32::MAX);
            let mut here = 0;
            while (chosen.len() as u32) < count && here < most && demand.fits(free) {
                free = free.minus(demand);
                here += 1;
                chosen.push(key);
            }
        }
        (chosen.len() as u32 == count).then_some(chosen)
    }

    /// As [`Self::step_view`], for a task that starts alone.
    pub(super) fn isolated_view(&self, at: TaskRef) -> StepView<'_> {
        StepView { isolated: true, ..self.step_view(at) }
    }

    pub(super) fn step_view(&self, at: TaskRef) -> StepView<'_> {
        let job = &self.jobs[at.job];
        let spec = job.step_spec(at.step);
        let step = job.step(at);
        let mut by_worker = HashMap::new();
        let mut by_rack = HashMap::new();
        // Where the other tasks of the step run matters only for these.
        let spreads = spec.spread.is_some() || spec.long_running;
        for placed in step.placed_tasks().filter_map(|task| task.placement()) {
            if !spreads {
                break;
            }
            *by_worker.entry(placed.worker).or_default() += 1;
            let rack = self.workers.get(placed.worker).and_then(Worker::rack);
            *by_rack.entry(rack.cloned().unwrap_or_default()).or_default() += 1;
        }
        let allowed = self.needs_advice(at).then(|| self.ticketed_workers(at));
        let avoid = self.task(at).avoid;
        let by_lifetime = self.policies.lifetime && !spec.long_running;
        let expected = by_lifetime.then(|| self.expected_run_time(job, at.step, step));
        let unplaced = self.unplaced_view(spec, self.service_of(&job.submission));
        StepView { by_worker, allowed, avoid, by_rack, expected, ..unplaced }
    }

    /// View of a step that has no placed tasks and needs no advice.
    pub(super) fn unplaced_view<'a>(
        &self,
        spec: &'a StepSpec,
        service: &'a ServiceId,
    ) -> StepView<'a> {
        StepView {
            spec,
            service,
            by_worker: HashMap::new(),
            allowed: None,
            avoid: None,
            by_rack: HashMap::new(),
            due: if spec.long_running { self.maintenance_due_workers() } else { HashSet::new() },
            expected: None,
            isolated: false,
        }
    }

    /// The best worker with room for a task.
    pub(super) fn choose_worker(&self, at: TaskRef) -> Option<WorkerKey> {
        let view = self.step_view(at);
        let demand = view.spec.allocation();
        let now = self.now.mono;
        let fitting = self.workers.iter().filter(|(key, worker)| {
            let reserved =
                worker.reserved_until.is_some_and(|until| now < until) && !view.spec.long_running;
            !reserved && self.is_eligible(&view, *key, worker) && demand.fits(worker.free())
        });
        let costs = fitting.map(|(key, worker)| (self.cost(&view, key, worker), key));
        let best = costs.reduce(|best, next| if next.0 < best.0 { next } else { best });
        best.map(|(_, key)| key)
    }

    /// True if the worker meets the constraints of the step, whatever its free capacity.
    pub(super) fn is_eligible(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> bool {
        let spec = view.spec;
        worker.service == *view.service
            && worker.accepts_tasks(self.now.mono)
            && self.is_known_to_successor(worker)
            && (view.isolated || !worker.is_isolated(self.now.mono))
            && (spec.long_running || worker.keeps_ends(self.now.mono))
            && worker.has_label_for(spec)
            && spec.spread.is_none_or(|most| view.by_worker.get(&key).is_none_or(|n| *n < most))
            && view.allowed.as_ref().is_none_or(|allowed| allowed.contains(&key))
    }

    pub(super) fn cost(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> Cost {
        let spec = view.spec;
        let now = self.now.mono;
        let off_rack = spec.affinity.as_ref().is_some_and(|rack| worker.rack() != Some(rack));
        let long_running_cost =
            if spec.long_running { self.long_running_cost(view, key, worker) } else { 0 };
        Cost {
            quarantined: worker.quarantined_until.is_some_and(|until| now < until),
            avoided: view.avoid == Some(key),
            off_rack,
            slowness_band: if self.policies.speed {
                (worker.slowness / SLOWNESS_BAND) as u32
            } else {
                0
            },
            long_running_cost,
            due: view.expected.is_some() && worker.maintenance_due,
            busy_time: view.expected.map_or(0, |time| worker.busy_time_added(time, now)),
            free_cores: worker.free().cores.0,
        }
    }

    /// Cost of a worker for a long-running task. Such tasks share few VMs, since a VM that hosts one never leaves its pool. A
    /// rack should hold at most half of a step, so that the other tasks survive its loss. A VM that is due for maintenance
    /// would interrupt the task once more.
    fn long_running_cost(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> u32 {
        let same_step = view.by_worker.get(&key).copied().unwrap_or_default();
        let in_rack = worker.rack().and_then(|rack| view.by_rack.get(rack)).copied();
        let in_rack = in_rack.unwrap_or_default();
        if !self.policies.pack {
            return 64 * self.conflicting_tasks(view.spec, worker)
                + 16 * same_step.min(3)
                + in_rack.min(15);
        }
        let due = u32::from(view.due.contains(&key));
        let crowded = u32::from(in_rack >= view.spec.count.div_ceil(2));
        let unshared = u32::from(!self.hosts_long_running(worker));
        128 * self.conflicting_tasks(view.spec, worker)
            + 64 * due
            + 32 * crowded
            + 16 * unshared
            + same_step.min(15)
    }

    /// True if a long-running task runs on the worker, so that its VM stays in its pool anyway.
    pub(super) fn hosts_long_running(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|at| self.jobs[at.job].step_spec(at.step).long_running)
    }

    /// Number of best-effort tasks (`fills`) on the worker if the step is serving, or of serving tasks if it is best-effort.
    fn conflicting_tasks(&self, spec: &StepSpec, worker: &Worker) -> u32 {
        let conflicts = |at: &&TaskRef| {
            let other = self.jobs[at.job].step_spec(at.step);
            other.long_running && other.best_effort != spec.best_effort
        };
        worker.runs.iter().filter(conflicts).count() as u32
    }
}
