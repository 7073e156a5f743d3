//! Chooses workers for the tasks whose turn has come.
//!
//! Answers bursts of a queue beyond what its pool holds: steps get room in the order of their [`Rank`], and a lasting task
//! that finds no room for a moment gets a worker reserved, and then makes room by preemption.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use cj_types::{Resources, ServiceId};
use compact_str::CompactString;
use log::info;

use crate::{
    job::StepSpec,
    record::Outcome,
    sched::{
        rank::{Rank, in_order, rank},
        scheduler::Scheduler,
        settings::{MAX_BLOCKED_STEPS, PREEMPTION_DELAY},
        work::{Job, JobSlot, Stage, TaskRef},
        worker::{Worker, WorkerKey},
    },
};

/// Time between two passes of placement without a cause.
const IDLE_PASS: Duration = Duration::from_millis(100);

/// Shortest time between two passes.
const PASS_GAP: Duration = Duration::from_millis(4);

/// How long a worker is kept free for a lasting task.
const RESERVATION: Duration = Duration::from_millis(1_500);

/// Workers whose slowness is in the same band, in multiples of the usual run time, are taken to be alike: single runs differ
/// by a third, and tasks have to fill up few workers so that the others can be parked.
const SLOW_BAND: f32 = 1.4;

/// Run numbers of an owner begin at its epoch shifted by this, above those of all earlier owners.
const RUN_BITS: u32 = 20;

/// A step with idle tasks whose turn has come.
struct Candidate {
    rank: Rank,
    at: TaskRef,
    service: ServiceId,
}

/// Where the tasks of one step run already.
struct StepView<'a> {
    spec: &'a StepSpec,
    service: &'a ServiceId,
    by_worker: HashMap<WorkerKey, u32>,
    tickets: Option<Vec<WorkerKey>>,
    avoid: Option<WorkerKey>,
    racks: HashMap<CompactString, u32>,
    /// Workers whose VMs are due for maintenance; only for lasting steps.
    due: HashSet<WorkerKey>,
}

/// Lower is better; compared field by field.
#[derive(PartialEq, PartialOrd)]
struct Cost {
    quarantined: bool,
    avoided: bool,
    far: bool,
    slow: u32,
    neighbours: u32,
    /// Free processors; tasks fill up workers, so that large ones find room on others, and others can be parked.
    room: u32,
}

impl Scheduler {
    /// Starts what may start and fits.
    pub(super) fn place_tasks(&mut self) {
        let now = self.now.mono;
        let waited = now.saturating_duration_since(self.placed_at);
        let due = self.place_due && waited >= PASS_GAP || waited >= IDLE_PASS;
        if !due || !self.may_command() {
            return;
        }
        self.place_due = false;
        self.placed_at = now;
        let mut candidates = self.candidates();
        candidates.sort_by_key(|candidate| candidate.rank);
        let mut blocked = HashMap::<ServiceId, usize>::new();
        for candidate in candidates {
            let full = blocked.entry(candidate.service.clone()).or_default();
            if *full < MAX_BLOCKED_STEPS && !self.place_step(candidate.at) {
                *full += 1;
            }
        }
    }

    fn candidates(&mut self) -> Vec<Candidate> {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        let mut found = Vec::new();
        for slot in slots {
            let job = &self.jobs[slot];
            if job.is_over() {
                continue;
            }
            let service = self.service_of(&job.submission).clone();
            if !job.fresh && !self.is_reconciled(&service) {
                continue;
            }
            let job = &self.jobs[slot];
            for (number, occurrence) in job.occurrences.iter().enumerate() {
                let waits = occurrence.due.is_some_and(|due| due > self.now.wall);
                if occurrence.outcome != Outcome::Open || waits {
                    continue;
                }
                for (step_number, step) in occurrence.steps.iter().enumerate() {
                    let spec = job.step_spec(step_number as u32);
                    let idle = step.tasks.iter().filter(|task| task.is_idle()).count();
                    let whole = !spec.gang || idle == step.tasks.len();
                    if idle == 0 || !whole || !occurrence.is_ready(spec) {
                        continue;
                    }
                    let (occurrence, step) = (number as u32, step_number as u32);
                    let at = TaskRef { job: slot, occurrence, step, index: 0 };
                    let rank = self.rank_of(job, occurrence);
                    found.push(Candidate { rank, at, service: service.clone() });
                }
            }
        }
        found
    }

    fn rank_of(&self, job: &Job, occurrence: u32) -> Rank {
        if !self.policies.rank {
            return in_order(job);
        }
        rank(job, occurrence, self.forecast(job, occurrence), self.now.wall)
    }

    /// Starts the idle tasks of a step. Returns false when one found no room.
    fn place_step(&mut self, at: TaskRef) -> bool {
        if self.needs_advice(at) && !self.has_tickets(at) {
            return true;
        }
        if self.jobs[at.job].step_spec(at.step).gang {
            return self.place_gang(at);
        }
        let occurrence = &self.jobs[at.job].occurrences[at.occurrence as usize];
        let tasks = &occurrence.steps[at.step as usize].tasks;
        let idle: Vec<u32> =
            (0..tasks.len()).filter(|&n| tasks[n].is_idle()).map(|n| n as u32).collect();
        for index in idle {
            let at = TaskRef { index, ..at };
            let Some(key) = self.choose(at) else {
                if self.jobs[at.job].step_spec(at.step).long_running {
                    self.make_room(at);
                }
                return false;
            };
            let run = self.next_run(at);
            self.log_start(at, key, run);
            self.start_run(at, key, run);
        }
        true
    }

    fn log_start(&self, at: TaskRef, key: WorkerKey, run: u64) {
        let job = &self.jobs[at.job];
        let worker = &self.workers[key];
        let age = worker.last_answer.map(|at| self.now.mono.saturating_duration_since(at));
        info!(
            target: "decision",
            "task={} run={run} worker={} choice=start epoch={} config={} free=\"{}\" listing_age_ms={}",
            job.task_id(at), worker.id, self.epoch, self.config.version, worker.free(),
            age.unwrap_or_default().as_millis()
        );
    }

    fn next_run(&self, at: TaskRef) -> u64 {
        (self.task(at).last_run + 1).max(self.epoch << RUN_BITS)
    }

    /// Starts all tasks of a gang or none. Their runs share one number.
    fn place_gang(&mut self, at: TaskRef) -> bool {
        let count = self.jobs[at.job].step_spec(at.step).count;
        let members = || (0..count).map(|index| TaskRef { index, ..at });
        let run = members().map(|member| self.next_run(member)).max().unwrap_or_default();
        let Some(chosen) = self.choose_gang(at, count) else { return false };
        for (member, key) in members().zip(chosen) {
            self.log_start(member, key, run);
            self.start_run(member, key, run);
        }
        true
    }

    /// Workers for all members, in one rack if the step asks for that and a rack has room.
    fn choose_gang(&self, at: TaskRef, count: u32) -> Option<Vec<WorkerKey>> {
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
            .filter(|(key, worker)| self.suits(view, *key, worker))
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

    fn step_view(&self, at: TaskRef) -> StepView<'_> {
        let job = &self.jobs[at.job];
        let spec = job.step_spec(at.step);
        let step = &job.occurrences[at.occurrence as usize].steps[at.step as usize];
        let mut by_worker = HashMap::new();
        let mut racks = HashMap::new();
        for placed in step.tasks.iter().filter_map(|task| task.placement()) {
            *by_worker.entry(placed.worker).or_default() += 1;
            let rack = self.workers.get(placed.worker).and_then(Worker::rack);
            *racks.entry(rack.cloned().unwrap_or_default()).or_default() += 1;
        }
        let tickets = self.needs_advice(at).then(|| {
            let good = &step.tickets.granted;
            let keys = good.iter().filter_map(|ticket| self.worker_keys.get(&ticket.worker));
            keys.copied().collect()
        });
        let avoid = self.task(at).avoid;
        StepView {
            spec,
            service: self.service_of(&job.submission),
            by_worker,
            tickets,
            avoid,
            racks,
            due: if spec.long_running { self.due_workers() } else { HashSet::new() },
        }
    }

    fn choose(&self, at: TaskRef) -> Option<WorkerKey> {
        let view = self.step_view(at);
        let demand = view.spec.allocation();
        let now = self.now.mono;
        let fitting = self.workers.iter().filter(|(key, worker)| {
            let reserved =
                worker.reserved_until.is_some_and(|until| now < until) && !view.spec.long_running;
            !reserved && self.suits(&view, *key, worker) && demand.fits(worker.free())
        });
        let costs = fitting.map(|(key, worker)| (self.cost(&view, key, worker), key));
        let best = costs.reduce(|best, next| if next.0 < best.0 { next } else { best });
        best.map(|(_, key)| key)
    }

    /// True when the worker may run the step, room aside.
    fn suits(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> bool {
        let spec = view.spec;
        worker.service == *view.service
            && worker.accepts_tasks(self.now.mono)
            && spec.requires.as_ref().is_none_or(|label| worker.has_label(label))
            && spec.spread.is_none_or(|most| view.by_worker.get(&key).is_none_or(|n| *n < most))
            && view.tickets.as_ref().is_none_or(|good| good.contains(&key))
    }

    fn cost(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> Cost {
        let spec = view.spec;
        let now = self.now.mono;
        let far = spec.affinity.as_ref().is_some_and(|rack| worker.rack() != Some(rack));
        let neighbours = if spec.long_running { self.lasting_cost(view, key, worker) } else { 0 };
        Cost {
            quarantined: worker.quarantined_until.is_some_and(|until| now < until),
            avoided: view.avoid == Some(key),
            far,
            slow: if self.policies.speed { (worker.slowness / SLOW_BAND) as u32 } else { 0 },
            neighbours,
            room: worker.free().cores.0,
        }
    }

    /// Cost of a worker for a lasting task. Lasting tasks share few VMs, since each VM with one stays in its pool for good; a
    /// rack holds at most half of a step, so that its loss leaves the others. A VM that is due for maintenance would interrupt
    /// them once more.
    fn lasting_cost(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> u32 {
        let same = view.by_worker.get(&key).copied().unwrap_or_default();
        let in_rack = worker.rack().and_then(|rack| view.racks.get(rack)).copied();
        let in_rack = in_rack.unwrap_or_default();
        if !self.policies.pack {
            return 64 * self.opposites(view.spec, worker) + 16 * same.min(3) + in_rack.min(15);
        }
        let due = u32::from(view.due.contains(&key));
        let crowded = u32::from(in_rack >= view.spec.count.div_ceil(2));
        let fresh = u32::from(!self.hosts_lasting(worker));
        128 * self.opposites(view.spec, worker)
            + 64 * due
            + 32 * crowded
            + 16 * fresh
            + same.min(15)
    }

    /// True when a lasting task runs on the worker, so that it stays in its pool anyway.
    pub(super) fn hosts_lasting(&self, worker: &Worker) -> bool {
        worker.runs.iter().any(|at| self.jobs[at.job].step_spec(at.step).long_running)
    }

    /// Tasks that fill beside a serving one, or serving ones beside one that fills.
    fn opposites(&self, spec: &StepSpec, worker: &Worker) -> u32 {
        let opposite = |at: &&TaskRef| {
            let other = self.jobs[at.job].step_spec(at.step);
            other.long_running && other.best_effort != spec.best_effort
        };
        worker.runs.iter().filter(opposite).count() as u32
    }

    /// Keeps the worker that is closest to room for a lasting task free of others, and preempts finite tasks of lower
    /// priority there when the task has waited for long.
    fn make_room(&mut self, at: TaskRef) {
        let now = self.now.mono;
        let waited = now.saturating_duration_since(self.task(at).idle_since);
        let Some((key, missing)) = self.closest(at) else { return };
        self.workers[key].reserved_until = Some(now + RESERVATION);
        let stopping = |run: &TaskRef| {
            self.task(*run).placement().is_some_and(|placed| placed.stage == Stage::Stopping)
        };
        if !self.policies.preempt
            || waited < PREEMPTION_DELAY
            || self.workers[key].runs.iter().any(stopping)
        {
            return;
        }
        self.preempt(at, key, missing);
    }

    /// The suitable worker where the least has to be freed, and what is missing there. Lasting tasks don't give way, so only
    /// the room of finite ones counts.
    fn closest(&self, at: TaskRef) -> Option<(WorkerKey, Resources)> {
        let view = self.step_view(at);
        let demand = view.spec.allocation();
        let suiting = self.workers.iter().filter(|(key, worker)| self.suits(&view, *key, worker));
        let missing = suiting.map(|(key, worker)| (key, demand.minus(worker.free())));
        let freeable = |(key, missing): &(WorkerKey, Resources)| {
            missing.fits(self.finite_use(&self.workers[*key]))
        };
        missing.filter(freeable).min_by_key(|(_, missing)| (missing.cores, missing.memory))
    }

    /// What the finite tasks of a worker use.
    fn finite_use(&self, worker: &Worker) -> Resources {
        let specs = worker.runs.iter().map(|at| self.jobs[at.job].step_spec(at.step));
        let finite = specs.filter(|spec| !spec.long_running).map(StepSpec::allocation);
        finite.fold(Resources::default(), Resources::plus)
    }

    /// Stops finite tasks of a worker for a lasting one.
    fn preempt(&mut self, lasting: TaskRef, key: WorkerKey, missing: Resources) {
        let priority = self.jobs[lasting.job].submission.priority;
        let mut runs: Vec<(bool, Reverse<std::time::Instant>, TaskRef)> = Vec::new();
        for &at in &self.workers[key].runs {
            let job = &self.jobs[at.job];
            let spec = job.step_spec(at.step);
            let Some(placed) = self.task(at).placement() else { continue };
            if !spec.long_running && !spec.gang && job.submission.priority >= priority {
                runs.push((!spec.checkpoints, Reverse(placed.started_at), at));
            }
        }
        if runs.is_empty() {
            return;
        }
        let id = self.jobs[lasting.job].task_id(lasting);
        info!(target: "decision", "task={id} worker={} choice=preempt missing=\"{missing}\"", self.workers[key].id);
        runs.sort_by_key(|run| (run.0, run.1));
        let mut freed = Resources::default();
        for (_, _, at) in runs {
            if missing.fits(freed) {
                break;
            }
            freed = freed.plus(self.jobs[at.job].step_spec(at.step).allocation());
            self.stop_run(at);
        }
    }
}
