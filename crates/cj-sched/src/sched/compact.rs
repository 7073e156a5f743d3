//! Compaction: drains VMs with few tasks so that other pools can have them.
//!
//! When demand falls after a peak and run times have long tails, the last tasks are spread over many VMs, one or two on
//! each, and a pool can only give up idle VMs. Tasks that save checkpoints are stopped there and resume on other VMs of the
//! pool: they lose no work, only the time that the stop and the restart take. So a VM is drained only if its tasks would
//! hold it for longer than that, if none of them makes its job miss its objective because of it, and if the other VMs of the
//! pool have room.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{Resources, ServiceId, VmId};
use log::info;

use crate::sched::{
    demand::PoolDemand,
    event::{VmRow, VmState},
    scheduler::Scheduler,
    work::{Stage, TaskRef},
    worker::WorkerKey,
};

/// Time beyond the stop and the restore until a stopped task runs again: its end is listed, and its start is sent.
const RESTART_OVERHEAD: Duration = Duration::from_millis(300);

/// A pool may drain one VM at once, and one more for every this many VMs that it has.
const VMS_PER_DRAIN: usize = 4;

/// A VM is drained for another pool only if its tasks would hold it for at least this much longer than the drain takes.
const MIN_TIME_SAVED: Duration = Duration::from_millis(800);

/// Longest expected time to drain a VM, in which the tasks that can't move have to end.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// A task on a VM, as input to [`choose_vm`].
#[derive(Clone, Debug)]
pub(super) struct VmTask {
    pub(super) at: TaskRef,
    pub(super) demand: Resources,
    /// Expected time until it ends; `None` for long-running tasks.
    pub(super) remaining: Option<Duration>,
    /// It can be stopped and resumed on another VM, and its job doesn't miss its objective because of that.
    pub(super) movable: bool,
}

/// A VM of a pool and its tasks, as input to [`choose_vm`].
#[derive(Clone, Debug)]
pub(super) struct VmLoad {
    pub(super) key: WorkerKey,
    pub(super) free: Resources,
    /// It may be drained.
    pub(super) drainable: bool,
    pub(super) tasks: Vec<VmTask>,
}

impl VmLoad {
    /// How much sooner the VM is empty if its movable tasks are stopped, which takes `stop`; `None` if it can't be drained or
    /// isn't empty any sooner.
    fn time_saved(&self, stop: Duration) -> Option<Duration> {
        if !self.drainable || self.tasks.is_empty() {
            return None;
        }
        let stays = |task: &&VmTask| !task.movable;
        let longest_staying = self
            .tasks
            .iter()
            .filter(stays)
            .map(|task| task.remaining.unwrap_or(Duration::MAX))
            .max();
        let drain_time = longest_staying.unwrap_or_default().max(stop);
        if drain_time > MAX_DRAIN_TIME {
            return None;
        }
        let last = self.tasks.iter().map(|task| task.remaining.unwrap_or(Duration::MAX)).max()?;
        last.checked_sub(drain_time).filter(|saved| !saved.is_zero())
    }

    /// Processors of the tasks that have to move, in millicores.
    fn cores_to_move(&self) -> u32 {
        self.tasks.iter().filter(|task| task.movable).map(|task| task.demand.cores.0).sum()
    }
}

/// The VM to drain next: of those that save at least `min_saved` and whose movable tasks fit on the others, the one with the
/// fewest processors to move.
pub(super) fn choose_vm(
    loads: &[VmLoad],
    stop: Duration,
    min_saved: Duration,
) -> Option<WorkerKey> {
    let saves_enough =
        |load: &&VmLoad| load.time_saved(stop).is_some_and(|saved| saved >= min_saved);
    let mut candidates: Vec<&VmLoad> = loads.iter().filter(saves_enough).collect();
    candidates.sort_by_key(|load| load.cores_to_move());
    candidates.into_iter().find(|load| has_room(loads, load)).map(|load| load.key)
}

/// True if the movable tasks of a VM fit on the others, by best fit with the largest task first.
fn has_room(loads: &[VmLoad], drained: &VmLoad) -> bool {
    let others = loads.iter().filter(|other| other.key != drained.key);
    let mut room: Vec<Resources> = others.map(|other| other.free).collect();
    let mut demands: Vec<Resources> =
        drained.tasks.iter().filter(|task| task.movable).map(|task| task.demand).collect();
    demands.sort_by_key(|demand| std::cmp::Reverse(demand.cores));
    demands.into_iter().all(|demand| {
        let fitting = room.iter_mut().filter(|free| demand.fits(**free));
        let Some(best) = fitting.min_by_key(|free| free.cores) else { return false };
        *best = best.minus(demand);
        true
    })
}

impl Scheduler {
    /// Starts to drain a VM for `to`, trying the pools with the largest surplus first. Returns false if there is none.
    pub(super) fn compact_for(
        &mut self,
        demands: &BTreeMap<ServiceId, PoolDemand>,
        to: &ServiceId,
    ) -> bool {
        if !self.policies.compact {
            return false;
        }
        let missing = demands[to].required_now().saturating_sub(demands[to].pool_size);
        if missing <= self.pool_drains_for(to) {
            return false;
        }
        let mut pools: Vec<_> = demands.iter().filter(|(service, _)| *service != to).collect();
        pools.sort_by_key(|(_, demand)| std::cmp::Reverse(demand.recent_surplus()));
        pools.into_iter().any(|(service, demand)| self.compact(service, demand, to, MIN_TIME_SAVED))
    }

    fn compact(
        &mut self,
        from: &ServiceId,
        demand: &PoolDemand,
        to: &ServiceId,
        min_saved: Duration,
    ) -> bool {
        let draining = self.pool_drains_from(from);
        let surplus = demand.recent_surplus();
        let max_drains = 1 + demand.pool_size / VMS_PER_DRAIN;
        if surplus <= draining || draining >= max_drains {
            return false;
        }
        let loads = self.vm_loads(from);
        let Some(key) = choose_vm(&loads, self.restart_time(), min_saved) else { return false };
        let Some(vm) = self.vm_of(key) else { return false };
        let runs: Vec<TaskRef> = loads
            .iter()
            .filter(|load| load.key == key)
            .flat_map(|load| &load.tasks)
            .filter(|task| task.movable)
            .map(|task| task.at)
            .collect();
        info!(
            target: "decision",
            "vm={vm} worker={} choice=compact to={to} runs={} moved={} epoch={}",
            self.workers[key].id, self.workers[key].runs.len(), runs.len(), self.epoch
        );
        self.begin_pool_drain(vm, key, to);
        for at in runs {
            self.stop_run(at);
        }
        true
    }

    /// Time from the command to stop a task until it runs elsewhere.
    fn restart_time(&self) -> Duration {
        self.limits.stop_time + self.limits.restore_time + RESTART_OVERHEAD
    }

    /// Number of VMs of a pool that drain for others.
    pub(super) fn pool_drains_from(&self, from: &ServiceId) -> usize {
        let in_pool = |vm: &&VmId| self.vms.get(*vm).is_some_and(|row| row.pool == *from);
        self.pools.drains.keys().filter(in_pool).count()
    }

    fn vm_of(&self, key: WorkerKey) -> Option<VmId> {
        let id = &self.workers[key].id;
        self.vms.values().find(|row| row.worker.as_ref() == Some(id)).map(|row| row.vm.clone())
    }

    /// The VMs of a pool that accept tasks, with what runs on them.
    fn vm_loads(&self, service: &ServiceId) -> Vec<VmLoad> {
        let now = self.now.mono;
        let usable = |row: &&VmRow| {
            row.pool == *service && row.state == VmState::Up && !self.is_moving(&row.vm)
        };
        let rows = self.vms.values().filter(usable);
        let to_load = |row: &VmRow| {
            let key = *self.worker_keys.get(row.worker.as_ref()?)?;
            let worker = &self.workers[key];
            let quarantined = worker.quarantined_until.is_some_and(|until| now < until);
            let reserved = worker.reserved_until.is_some_and(|until| now < until);
            (worker.accepts_tasks(now) && !quarantined).then(|| VmLoad {
                key,
                free: worker.free(),
                drainable: !reserved && !self.is_in_wave(&row.vm),
                tasks: worker.runs.iter().filter_map(|at| self.vm_task(*at)).collect(),
            })
        };
        rows.filter_map(to_load).collect()
    }

    fn vm_task(&self, at: TaskRef) -> Option<VmTask> {
        let job = &self.jobs[at.job];
        let spec = job.step_spec(at.step);
        let placed = self.task(at).placement()?;
        let remaining = (!spec.long_running).then(|| self.remaining_run_time(at, placed));
        let movable = match remaining {
            Some(remaining) => {
                spec.checkpoints
                    && !spec.gang
                    && placed.stage == Stage::Running
                    && self.tolerates_restart(at, remaining)
            }
            None => false,
        };
        Some(VmTask { at, demand: spec.allocation(), remaining, movable })
    }

    /// True if the job of a task that ends in `remaining` meets its objective even if the task is moved, or misses it anyway.
    fn tolerates_restart(&self, at: TaskRef, remaining: Duration) -> bool {
        let job = &self.jobs[at.job];
        let estimate = self.estimate_occurrence(job, at.occurrence);
        let (deadline, end) =
            (estimate.deadline, self.now.wall + estimate.remaining.max(remaining));
        end > deadline || end + self.restart_time() <= deadline
    }
}
