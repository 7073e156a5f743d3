//! Empties VMs that few tasks hold, when others need them or when they can be parked.
//!
//! Answers queues whose demand comes in turns and whose run times have long tails: at the end of a turn the last tasks are spread
//! over many VMs, one or two on each, and a pool can only give back VMs that are idle. Tasks that save checkpoints are stopped there
//! and go on beside the others; they lose no work, and the time that the stop and the new start take. So a VM is emptied only
//! where its tasks would hold it for longer than that, where none of them misses its job's objective by it, and where the other
//! VMs of the pool have room.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{Resources, ServiceId, VmId};
use log::info;

use crate::sched::{
    event::{VmRow, VmState},
    need::Need,
    scheduler::Scheduler,
    work::{Stage, TaskRef},
    worker::WorkerKey,
};

/// Time beside the stop and the restore until a stopped task runs again: its end is listed, and its start ordered.
const RESTART: Duration = Duration::from_millis(300);

/// VMs of a pool that are emptied at once: one, and one more for each of this many.
const POOL_PART: usize = 4;

/// A VM is emptied for another pool when its tasks would hold it for this much longer than emptying it takes.
const LEND_GAIN: Duration = Duration::from_millis(800);

/// Longest time for the tasks that don't move to end.
const EMPTY_LIMIT: Duration = Duration::from_millis(2_500);

/// A task on a VM, as the decision sees it.
#[derive(Clone, Debug)]
pub(super) struct Held {
    pub(super) at: TaskRef,
    pub(super) demand: Resources,
    /// Expected time until it ends; `None` for lasting tasks.
    pub(super) left: Option<Duration>,
    /// It can be stopped, and goes on elsewhere in time.
    pub(super) movable: bool,
}

/// A VM of a pool, as the decision sees it.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) key: WorkerKey,
    pub(super) free: Resources,
    /// It may be emptied.
    pub(super) open: bool,
    pub(super) held: Vec<Held>,
}

impl Holder {
    /// How much sooner the VM is empty when its movable tasks are stopped, which takes `stop`; `None` when it can't be emptied.
    fn gain(&self, stop: Duration) -> Option<Duration> {
        if !self.open || self.held.is_empty() {
            return None;
        }
        let stays = |held: &&Held| !held.movable;
        let rest =
            self.held.iter().filter(stays).map(|held| held.left.unwrap_or(Duration::MAX)).max();
        let emptied = rest.unwrap_or_default().max(stop);
        if emptied > EMPTY_LIMIT {
            return None;
        }
        let last = self.held.iter().map(|held| held.left.unwrap_or(Duration::MAX)).max()?;
        last.checked_sub(emptied).filter(|gain| !gain.is_zero())
    }

    /// Processors of the tasks that have to move.
    fn moved(&self) -> u32 {
        self.held.iter().filter(|held| held.movable).map(|held| held.demand.cores.0).sum()
    }
}

/// The VM to empty next: of those that gain at least `least`, the one with the least to move, if the others have room for it.
pub(super) fn choose(holders: &[Holder], stop: Duration, least: Duration) -> Option<WorkerKey> {
    let worth = |holder: &&Holder| holder.gain(stop).is_some_and(|gain| gain >= least);
    let mut found: Vec<&Holder> = holders.iter().filter(worth).collect();
    found.sort_by_key(|holder| holder.moved());
    found.into_iter().find(|holder| has_room(holders, holder)).map(|holder| holder.key)
}

/// True when the tasks of a VM fit on the others, the largest first and each where the least room is left.
fn has_room(holders: &[Holder], emptied: &Holder) -> bool {
    let others = holders.iter().filter(|other| other.key != emptied.key);
    let mut room: Vec<Resources> = others.map(|other| other.free).collect();
    let mut moved: Vec<Resources> =
        emptied.held.iter().filter(|held| held.movable).map(|held| held.demand).collect();
    moved.sort_by_key(|demand| std::cmp::Reverse(demand.cores));
    moved.into_iter().all(|demand| {
        let fitting = room.iter_mut().filter(|free| demand.fits(**free));
        let Some(best) = fitting.min_by_key(|free| free.cores) else { return false };
        *best = best.minus(demand);
        true
    })
}

impl Scheduler {
    /// Begins to empty a VM of the pool with the largest surplus for `to`. Returns false when there is none.
    pub(super) fn compact_for(
        &mut self,
        needs: &BTreeMap<ServiceId, Need>,
        to: &ServiceId,
    ) -> bool {
        if !self.policies.compact {
            return false;
        }
        let missing = needs[to].present().saturating_sub(needs[to].size);
        if missing <= self.emptied_for(to) {
            return false;
        }
        let mut pools: Vec<_> = needs.iter().filter(|(service, _)| *service != to).collect();
        pools.sort_by_key(|(_, need)| std::cmp::Reverse(need.spare_vms()));
        pools.into_iter().any(|(service, need)| self.compact(service, need, to, LEND_GAIN))
    }

    fn compact(&mut self, from: &ServiceId, need: &Need, to: &ServiceId, least: Duration) -> bool {
        let emptied = self.emptied_of(from);
        let surplus = need.spare_vms();
        let most = 1 + need.size / POOL_PART;
        if surplus <= emptied || emptied >= most {
            return false;
        }
        let holders = self.holders(from);
        let Some(key) = choose(&holders, self.restart_time(), least) else { return false };
        let Some(vm) = self.vm_of(key) else { return false };
        let runs: Vec<TaskRef> = holders
            .iter()
            .filter(|holder| holder.key == key)
            .flat_map(|holder| &holder.held)
            .filter(|held| held.movable)
            .map(|held| held.at)
            .collect();
        info!(
            target: "decision",
            "vm={vm} worker={} choice=compact to={to} runs={} moved={} epoch={}",
            self.workers[key].id, self.workers[key].runs.len(), runs.len(), self.epoch
        );
        self.begin_emptying(vm, key, to);
        for at in runs {
            self.stop_run(at);
        }
        true
    }

    /// Time from the order to stop a task until it runs elsewhere.
    fn restart_time(&self) -> Duration {
        self.limits.stop_time + self.limits.restore_time + RESTART
    }

    /// VMs of a pool that are being emptied for others.
    fn emptied_of(&self, from: &ServiceId) -> usize {
        let own = |vm: &&VmId| self.vms.get(*vm).is_some_and(|row| row.pool == *from);
        self.pools.reclaims.keys().filter(own).count()
    }

    fn vm_of(&self, key: WorkerKey) -> Option<VmId> {
        let id = &self.workers[key].id;
        self.vms.values().find(|row| row.worker.as_ref() == Some(id)).map(|row| row.vm.clone())
    }

    /// The VMs of a pool that take tasks, with what runs there.
    fn holders(&self, service: &ServiceId) -> Vec<Holder> {
        let now = self.now.mono;
        let usable = |row: &&VmRow| {
            row.pool == *service && row.state == VmState::Up && !self.is_moving(&row.vm)
        };
        let rows = self.vms.values().filter(usable);
        let holder = |row: &VmRow| {
            let key = *self.worker_keys.get(row.worker.as_ref()?)?;
            let worker = &self.workers[key];
            let quarantined = worker.quarantined_until.is_some_and(|until| now < until);
            let reserved = worker.reserved_until.is_some_and(|until| now < until);
            (worker.accepts_tasks(now) && !quarantined).then(|| Holder {
                key,
                free: worker.free(),
                open: !reserved && !self.is_in_wave(&row.vm),
                held: worker.runs.iter().filter_map(|at| self.held(*at)).collect(),
            })
        };
        rows.filter_map(holder).collect()
    }

    fn held(&self, at: TaskRef) -> Option<Held> {
        let job = &self.jobs[at.job];
        let spec = job.step_spec(at.step);
        let placed = self.task(at).placement()?;
        let left = (!spec.long_running).then(|| self.time_left(at, placed));
        let movable = match left {
            Some(left) => {
                spec.checkpoints
                    && !spec.gang
                    && placed.stage == Stage::Running
                    && self.can_wait(at, left)
            }
            None => false,
        };
        Some(Held { at, demand: spec.allocation(), left, movable })
    }

    /// True when the job of a task that ends in `left` meets its objective also when the task is moved, or misses it anyway.
    fn can_wait(&self, at: TaskRef, left: Duration) -> bool {
        let job = &self.jobs[at.job];
        let forecast = self.forecast(job, at.occurrence);
        let (due, end) = (forecast.due, self.now.wall + forecast.left.max(left));
        end > due || end + self.restart_time() <= due
    }
}
