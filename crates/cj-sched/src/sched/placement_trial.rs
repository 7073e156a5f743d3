//! A trial placement: the workers that the tasks of a job would get, without starting them.
//!
//! The workers are chosen and compared as in a placement pass; see `worker_choice`. What earlier steps of the trial
//! take counts as used for the later ones.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cj_types::{Resources, ServiceId};
use compact_str::CompactString;

use crate::{
    job::StepSpec,
    sched::{
        placement_report::{MAX_NAMED_WORKERS, Obstacle, WorkerShare},
        scheduler::Scheduler,
        worker::{Worker, WorkerKey},
        worker_choice::{Cost, StepView},
    },
};

/// Maximum number of tasks of a long-running step that are placed in a trial: each is compared anew.
const MAX_LONG_RUNNING_TASKS: u32 = 4_096;

/// Workers that got tasks in a trial, as they would be afterwards.
#[derive(Default)]
pub(super) struct Trial {
    changed: HashMap<WorkerKey, Worker>,
}

/// Workers for the tasks of a step; the fields are those of `StepPlacement`.
pub(super) struct Chosen {
    pub(super) starting: u32,
    pub(super) workers: Vec<WorkerShare>,
    pub(super) chosen_workers: usize,
    pub(super) others: BTreeMap<Obstacle, usize>,
}

/// An eligible worker with room for a task.
struct Candidate {
    cost: Cost,
    key: WorkerKey,
}

impl Trial {
    /// A worker as it would be now in the trial.
    fn worker<'a>(&'a self, scheduler: &'a Scheduler, key: WorkerKey) -> &'a Worker {
        self.changed.get(&key).unwrap_or_else(|| &scheduler.workers[key])
    }

    /// Counts the allocation of tasks on a worker as used.
    fn use_room(&mut self, scheduler: &Scheduler, key: WorkerKey, spec: &StepSpec, tasks: u32) {
        let worker = self.changed.entry(key).or_insert_with(|| scheduler.workers[key].clone());
        worker.used = worker.used.plus(spec.allocation().times(tasks));
    }

    /// Places at most `limit` tasks of a step; of a gang all or none.
    pub(super) fn place_step(
        &mut self,
        scheduler: &Scheduler,
        spec: &StepSpec,
        service: &ServiceId,
        limit: u32,
    ) -> Chosen {
        let mut view = scheduler.unplaced_view(spec, service);
        let mut others = BTreeMap::new();
        let mut candidates = Vec::new();
        for key in scheduler.workers.keys() {
            let worker = self.worker(scheduler, key);
            match scheduler.obstacle(&view, key, worker) {
                Some(obstacle) => *others.entry(obstacle).or_default() += 1,
                None => {
                    let cost = scheduler.cost(&view, key, worker);
                    candidates.push(Candidate { cost, key });
                }
            }
        }
        candidates.sort_by(|a, b| a.cost.partial_cmp(&b.cost).unwrap_or(std::cmp::Ordering::Equal));
        let keys: Vec<WorkerKey> = candidates.iter().map(|candidate| candidate.key).collect();
        let placed = if spec.gang {
            self.place_gang(scheduler, spec, &keys, limit)
        } else if spec.long_running {
            self.place_long_running(scheduler, &mut view, candidates, limit)
        } else {
            self.choose_in_order(scheduler, spec, &keys, limit)
        };
        if spec.gang || !spec.long_running {
            for (key, tasks) in &placed {
                self.use_room(scheduler, *key, spec, *tasks);
            }
        }
        let chosen: BTreeSet<WorkerKey> = placed.iter().map(|(key, _)| *key).collect();
        for key in keys.iter().filter(|key| !chosen.contains(key)) {
            let until = scheduler.workers[*key].quarantined_until;
            let quarantined = until.is_some_and(|until| scheduler.now.mono < until);
            let obstacle = if quarantined { Obstacle::Quarantined } else { Obstacle::NotNeeded };
            *others.entry(obstacle).or_default() += 1;
        }
        let share = |(key, tasks): &(WorkerKey, u32)| WorkerShare {
            worker: scheduler.workers[*key].id.0.clone(),
            tasks: *tasks,
        };
        Chosen {
            starting: placed.iter().map(|(_, tasks)| tasks).sum(),
            workers: placed.iter().take(MAX_NAMED_WORKERS).map(share).collect(),
            chosen_workers: placed.len(),
            others,
        }
    }

    /// Fills the workers one after the other. Unlike a placement pass, it leaves out how long a task would keep its worker busy.
    fn choose_in_order(
        &self,
        scheduler: &Scheduler,
        spec: &StepSpec,
        keys: &[WorkerKey],
        limit: u32,
    ) -> Vec<(WorkerKey, u32)> {
        let mut left = limit;
        let mut placed = Vec::new();
        for key in keys {
            if left == 0 {
                break;
            }
            let tasks = tasks_with_room(spec, self.worker(scheduler, *key)).min(left);
            left -= tasks;
            placed.push((*key, tasks));
        }
        placed
    }

    /// As [`Scheduler::choose_gang`]: in the rack of the data, in one rack, or in any.
    fn place_gang(
        &self,
        scheduler: &Scheduler,
        spec: &StepSpec,
        keys: &[WorkerKey],
        limit: u32,
    ) -> Vec<(WorkerKey, u32)> {
        if limit < spec.count {
            return Vec::new();
        }
        let rack = |key: &WorkerKey| scheduler.workers[*key].rack().cloned();
        let mut racks: Vec<Option<CompactString>> = Vec::new();
        if spec.colocated || spec.affinity.is_some() {
            racks.extend(spec.affinity.iter().cloned().map(Some));
            let known: BTreeSet<CompactString> = keys.iter().filter_map(rack).collect();
            let in_order = scheduler.workers.values().filter_map(Worker::rack);
            let mut seen = BTreeSet::new();
            let distinct = in_order.filter(|rack| known.contains(*rack) && seen.insert(*rack));
            racks.extend(distinct.cloned().map(Some));
        }
        racks.push(None);
        for wanted in racks {
            let inside: Vec<WorkerKey> = keys
                .iter()
                .filter(|key| wanted.is_none() || rack(key) == wanted)
                .copied()
                .collect();
            let placed = self.choose_in_order(scheduler, spec, &inside, spec.count);
            if placed.iter().map(|(_, tasks)| tasks).sum::<u32>() == spec.count {
                return placed;
            }
        }
        Vec::new()
    }

    /// Places tasks one by one, since each makes its worker and its rack less preferable. A pass also counts the step's own
    /// tasks as long-running ones that share their VM; that isn't done here, so that steps whose spread allows several
    /// tasks on a worker use more workers than in a pass.
    fn place_long_running(
        &mut self,
        scheduler: &Scheduler,
        view: &mut StepView<'_>,
        mut candidates: Vec<Candidate>,
        limit: u32,
    ) -> Vec<(WorkerKey, u32)> {
        // The best one is the last.
        candidates.reverse();
        let mut placed: Vec<(WorkerKey, u32)> = Vec::new();
        let mut positions: HashMap<WorkerKey, usize> = HashMap::new();
        let mut left = limit.min(MAX_LONG_RUNNING_TASKS);
        while left > 0 {
            let Some(Candidate { cost, key }) = candidates.pop() else { break };
            let worker = self.worker(scheduler, key);
            let current = scheduler.cost(view, key, worker);
            if current > cost {
                // Its rack has filled up since the cost was computed.
                insert(&mut candidates, Candidate { cost: current, key });
                continue;
            }
            let rack = worker.rack().cloned().unwrap_or_default();
            left -= 1;
            let position = *positions.entry(key).or_insert_with(|| {
                placed.push((key, 0));
                placed.len() - 1
            });
            placed[position].1 += 1;
            *view.by_worker.entry(key).or_default() += 1;
            *view.by_rack.entry(rack).or_default() += 1;
            self.use_room(scheduler, key, view.spec, 1);
            let worker = self.worker(scheduler, key);
            let may_have_more = view.spec.spread.is_none_or(|most| placed[position].1 < most);
            if may_have_more && tasks_with_room(view.spec, worker) > 0 {
                let cost = scheduler.cost(view, key, worker);
                insert(&mut candidates, Candidate { cost, key });
            }
        }
        placed
    }
}

/// Inserts a candidate into a list that ends with the best one.
fn insert(candidates: &mut Vec<Candidate>, candidate: Candidate) {
    let position = candidates.partition_point(|other| other.cost > candidate.cost);
    candidates.insert(position, candidate);
}

/// Number of tasks of a step that a worker has room for, at most `spread`.
fn tasks_with_room(spec: &StepSpec, worker: &Worker) -> u32 {
    times_within(spec.allocation(), worker.free()).min(spec.spread.unwrap_or(u32::MAX))
}

/// How many times a demand fits in the free resources.
pub(super) fn times_within(demand: Resources, free: Resources) -> u32 {
    let times = |demand: u32, free: u32| free.checked_div(demand).unwrap_or(u32::MAX);
    times(demand.cores.0, free.cores.0)
        .min(times(demand.memory.0, free.memory.0))
        .min(times(demand.accelerators.0, free.accelerators.0))
}

impl Scheduler {
    /// Why a worker can't get a task of a step now; `None` if it can.
    fn obstacle(&self, view: &StepView<'_>, key: WorkerKey, worker: &Worker) -> Option<Obstacle> {
        let (now, spec) = (self.now.mono, view.spec);
        if !self.is_eligible(view, key, worker) {
            return Some(self.ineligibility(view, worker));
        }
        let reserved = worker.reserved_until.is_some_and(|until| now < until);
        if reserved && !spec.long_running && !spec.gang {
            return Some(Obstacle::Reserved);
        }
        (tasks_with_room(spec, worker) == 0).then_some(Obstacle::NoRoom)
    }

    /// Names the first condition of [`Scheduler::is_eligible`] that a worker doesn't meet.
    fn ineligibility(&self, view: &StepView<'_>, worker: &Worker) -> Obstacle {
        let (now, spec) = (self.now.mono, view.spec);
        let conditions = [
            (worker.service != *view.service, Obstacle::WrongService),
            (!worker.registered, Obstacle::Unregistered),
            (worker.draining || worker.vm_draining, Obstacle::Draining),
            (!worker.is_reconciled() || worker.clock.is_none(), Obstacle::NotListed),
            (worker.missed_listings > 0, Obstacle::Unresponsive),
            (worker.has_unknown_runs() || worker.orphan_runs > 0, Obstacle::UnknownRuns),
            (worker.paused_until.is_some_and(|until| until > now), Obstacle::Paused),
            (!self.is_known_to_successor(worker), Obstacle::UnknownToSuccessor),
            (worker.is_isolated(now), Obstacle::Isolated),
            (!worker.has_label_for(spec), Obstacle::LabelMissing),
            (!spec.long_running && !worker.keeps_ends(now), Obstacle::LateAcknowledgement),
        ];
        let unmet = conditions.iter().find(|(is_unmet, _)| *is_unmet);
        unmet.map_or(Obstacle::Other, |(_, obstacle)| *obstacle)
    }
}
