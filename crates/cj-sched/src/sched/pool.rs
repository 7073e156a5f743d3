//! Pool sizes: moves idle VMs to pools where tasks wait, and returns VMs that no pool needs to the spare pool.
//!
//! Queues have their peaks of demand at different times: each pool keeps the VMs for its long-running tasks and for its
//! small load between peaks, and the other VMs follow the demand. A VM in the spare pool is powered off and costs nothing,
//! and a move costs about as much as a second of a VM in a pool. So a VM returns to the spare pool only after it was idle
//! for a while, and goes straight to another pool if tasks wait there.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::sched::{
    demand::{PoolDemand, least_covered},
    event::{VmRow, VmState},
    forecast::DemandForecast,
    ledger::CapRoom,
    reclaim::PoolDrain,
    scheduler::Scheduler,
    vm_move::VmMove,
    work::{Job, JobSlot},
    worker::WorkerKey,
};

/// Shortest time between two plans of the pool sizes.
const PLAN_INTERVAL: Duration = Duration::from_millis(80);

/// An idle VM that its pool doesn't need returns to the spare pool after this time: a move back costs as much.
const RETURN_DELAY: Duration = Duration::from_millis(2_000);

/// An idle VM beyond the recent peak of its pool returns to the spare pool after this time: it was requested for a rise of
/// demand that didn't come.
const EXCESS_RETURN_DELAY: Duration = Duration::from_millis(800);

/// An idle VM that its pool doesn't need may move to another pool after this time.
const LEND_DELAY: Duration = Duration::from_millis(300);

/// A long-running task that waits this long counts as unplaced: its pool is too small.
const UNPLACED_AFTER: Duration = Duration::from_millis(500);

/// Window over which the peak requirement of a pool counts: while demand is high, the requirement still falls for a moment
/// now and then.
const RECENT_WINDOW: Duration = Duration::from_millis(1_500);

/// Shortest time between two log lines about a pool size.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// State of the planning of pool sizes.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolPlan {
    pub(super) moves: BTreeMap<VmId, VmMove>,
    /// VMs that drain for another pool.
    pub(super) drains: BTreeMap<VmId, PoolDrain>,
    idle_since: HashMap<WorkerKey, Instant>,
    planned_at: Option<Instant>,
    reported_at: Option<Instant>,
    forecasts: HashMap<ServiceId, DemandForecast>,
    /// VMs that each pool required within the recent window, with the time of the plan.
    required: HashMap<ServiceId, VecDeque<(Instant, usize)>>,
}

impl Scheduler {
    /// Adds a submitted job to the demand forecast of its service.
    pub(super) fn record_arrival(&mut self, job: &Job) {
        let work = self.open_work(job);
        if work > 0 {
            let service = self.service_of(&job.submission).clone();
            let stay = self.expected_stay(job);
            let forecast = self.pools.forecasts.entry(service).or_default();
            forecast.record_arrival(work, stay, self.now.mono);
        }
    }

    /// Plans the pool sizes if a plan is due, and requests the moves that follow from it.
    pub(super) fn plan_pools(&mut self) {
        let now = self.now.mono;
        let recent = self.pools.planned_at.is_some_and(|at| now < at + PLAN_INTERVAL);
        if recent || !self.vms_known || !self.is_sole_owner() {
            return;
        }
        self.pools.planned_at = Some(now);
        self.update_moves();
        self.update_pool_drains();
        self.track_idle();
        self.update_busy_times();
        let Some(spare_pool) = self.config.spare_pool().cloned() else { return };
        let mut demands = self.demands(&spare_pool);
        self.record_requirements(&mut demands);
        let mut spares = self.spares(&spare_pool);
        self.report_pools(&demands, spares.len());
        // The target of a pool with unplaced tasks always exceeds its size, so targets are computed only once. Work that can still
        // be in time comes first, in all pools.
        let targets = [PoolDemand::target_in_time, PoolDemand::target].map(|target| {
            let targets = demands.iter().map(|(service, demand)| (service.clone(), target(demand)));
            targets.collect::<BTreeMap<_, _>>()
        });
        for targets in targets {
            self.fill_pools(&mut demands, &mut spares, targets);
        }
        let surplus: Vec<VmId> = demands.values().flat_map(returnable).collect();
        for vm in surplus {
            self.move_vm(vm, &spare_pool);
        }
    }

    /// Requests VMs for the pools below their targets.
    fn fill_pools(
        &mut self,
        demands: &mut BTreeMap<ServiceId, PoolDemand>,
        spares: &mut Vec<VmId>,
        mut targets: BTreeMap<ServiceId, usize>,
    ) {
        while let Some(service) = least_covered(demands, &targets) {
            match self.take_idle_vm(demands, &service).or_else(|| spares.pop()) {
                Some(vm) => {
                    self.move_vm(vm, &service);
                    demands.entry(service).and_modify(|demand| demand.pool_size += 1);
                }
                None => {
                    if !self.compact_for(demands, &service) {
                        self.reclaim(demands, &service);
                    }
                    self.balance(demands, &service);
                    // Other pools may still take VMs from this one.
                    targets.remove(&service);
                }
            }
        }
    }

    fn report_pools(&mut self, demands: &BTreeMap<ServiceId, PoolDemand>, spares: usize) {
        let now = self.now.mono;
        if self.pools.reported_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return;
        }
        self.pools.reported_at = Some(now);
        for (service, demand) in demands {
            self.log_unreconciled(service);
            let pool_workers = || self.workers.values().filter(|worker| worker.service == *service);
            let used: u32 = pool_workers().map(|worker| worker.used.cores.0).sum();
            let long_running =
                pool_workers().filter(|worker| self.hosts_long_running(worker)).count();
            // In this line, `lasting` counts VMs with long-running tasks, `foreseen_m` is the forecast in millicores, and
            // `parked` counts the powered-off spares.
            info!(
                target: "decision",
                "pool={service} vms={} target={} lasting={long_running} idle={} used_m={used} wanted_m={} foreseen_m={} vm_m={} parked={spares} epoch={}",
                demand.pool_size, demand.target(), demand.idle.len(), demand.cores as u32, demand.forecast as u32, demand.vm_capacity.cores.0, self.epoch
            );
        }
    }

    fn track_idle(&mut self) {
        let now = self.now.mono;
        for (key, worker) in &self.workers {
            if worker.runs.is_empty() {
                self.pools.idle_since.entry(key).or_insert(now);
            } else {
                self.pools.idle_since.remove(&key);
            }
        }
        let workers = &self.workers;
        self.pools.idle_since.retain(|key, _| workers.contains_key(*key));
    }

    /// Records how many VMs each pool requires now, and fills in its recent peak.
    fn record_requirements(&mut self, demands: &mut BTreeMap<ServiceId, PoolDemand>) {
        let now = self.now.mono;
        for (service, demand) in demands {
            let required = self.pools.required.entry(service.clone()).or_default();
            required.push_back((now, demand.required_now()));
            while required.front().is_some_and(|(at, _)| now > *at + RECENT_WINDOW) {
                required.pop_front();
            }
            demand.recent_vms = required.iter().map(|(_, vms)| *vms).max().unwrap_or_default();
        }
    }

    /// Demand and size of all pools but the spare pool.
    fn demands(&mut self, spare_pool: &ServiceId) -> BTreeMap<ServiceId, PoolDemand> {
        let mut demands: BTreeMap<ServiceId, PoolDemand> = BTreeMap::new();
        for (service, _) in self.config.pools.iter().filter(|(service, _)| *service != spare_pool) {
            demands.entry(service.clone()).or_default();
        }
        for row in self.vms.values() {
            let pool = self.pools.moves.get(&row.vm).map_or(&row.pool, |moving| &moving.to);
            let Some(demand) = demands.get_mut(pool) else { continue };
            demand.vm_capacity.cores = demand.vm_capacity.cores.max(row.capacity.cores);
            demand.vm_capacity.memory = demand.vm_capacity.memory.max(row.capacity.memory);
            if row.state == VmState::Down || self.is_in_wave(&row.vm) || self.is_leaving(row) {
                continue;
            }
            demand.pool_size += 1;
            demand.idle.extend(self.idle_vm(row));
        }
        let mut room = CapRoom::default();
        for slot in self.jobs.keys() {
            self.add_demand(slot, &mut demands, &mut room);
        }
        let (now, move_time) = (self.now.mono, self.limits.move_time);
        for (service, forecast) in
            self.pools.forecasts.iter_mut().filter(|_| self.policies.forecast)
        {
            if let Some(demand) = demands.get_mut(service) {
                let known = demand.cores - demand.long_running;
                demand.forecast = forecast.demand(known, move_time, now);
            }
        }
        let fleet_size = self.vms.values().filter(|row| row.state != VmState::Down).count();
        // Tasks that don't use an idle VM of their pool wait for something that more VMs don't provide.
        for demand in demands.values_mut() {
            demand.fleet_size = fleet_size;
            if demand.idle.iter().any(|(_, _, idle)| *idle > UNPLACED_AFTER) {
                demand.unplaced = 0;
            }
        }
        // The VMs that are moving to a pool may be all that it lacks.
        for moving in self.pools.moves.values() {
            if let Some(demand) = demands.get_mut(&moving.to) {
                demand.unplaced = demand.unplaced.saturating_sub(1);
            }
        }
        demands
    }

    /// True if the worker on a VM is draining, so that its pool is about to lose the VM.
    fn is_leaving(&self, row: &VmRow) -> bool {
        let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
        key.is_some_and(|key| self.workers[*key].draining)
    }

    /// The VM with its worker and idle time, if it may leave its pool.
    fn idle_vm(&self, row: &VmRow) -> Option<(VmId, WorkerKey, Duration)> {
        if row.state != VmState::Up || self.pools.moves.contains_key(&row.vm) {
            return None;
        }
        let key = *self.worker_keys.get(row.worker.as_ref()?)?;
        let worker = &self.workers[key];
        let free = worker.runs_known()
            && worker.missed_listings == 0
            && !worker.vm_draining
            && worker.runs.is_empty()
            && worker.has_durable_ends();
        let since =
            self.pools.idle_since.get(&key).filter(|_| free && worker.service == row.pool)?;
        Some((row.vm.clone(), key, self.now.mono.saturating_duration_since(*since)))
    }

    /// Adds the demand of a job to that of its pool, without the tasks that the cap of its account holds back.
    fn add_demand(
        &self,
        slot: JobSlot,
        demands: &mut BTreeMap<ServiceId, PoolDemand>,
        room: &mut CapRoom,
    ) {
        let job = &self.jobs[slot];
        let Some(demand) = demands.get_mut(self.service_of(&job.submission)) else { return };
        if job.is_over() {
            return;
        }
        for occurrence in &job.occurrences {
            if !occurrence.is_open_and_due(self.now.wall) {
                continue;
            }
            for (number, step) in occurrence.steps.iter().enumerate() {
                let spec = job.step_spec(number as u32);
                if step.is_done() {
                    continue;
                }
                let ready = occurrence.is_ready(number as u32) || spec.long_running;
                let waiting = match job.account {
                    _ if !ready => 0,
                    None => step.idle.len(),
                    Some(_) => {
                        let fits = |_: &&u32| room.take(&self.ledger, job.account, spec.demand);
                        step.idle.iter().take_while(fits).count()
                    }
                };
                let waiting = waiting as f32;
                let tasks = step.placed.len() as f32 + waiting;
                let per_task = spec.allocation();
                let cores = per_task.cores.0 as f32;
                demand.cores += cores * tasks;
                demand.late += if job.in_time { 0.0 } else { cores * waiting };
                demand.long_running += if spec.long_running { cores * tasks } else { 0.0 };
                demand.memory += per_task.memory.0 as f32 * tasks;
                if spec.long_running {
                    let unplaced = |index: &&u32| {
                        let idle_since = step.tasks[**index as usize].idle_since;
                        self.now.mono.saturating_duration_since(idle_since) > UNPLACED_AFTER
                    };
                    demand.unplaced += step.idle.iter().filter(unplaced).count();
                }
                demand.spread_vms = demand.spread_vms.max(vms_for_spread(job, number));
            }
        }
    }

    /// Powered-off spares that can be moved. Those that are due for maintenance come first and are taken last, since their
    /// maintenance costs nothing while they are powered off.
    pub(super) fn spares(&self, spare_pool: &ServiceId) -> Vec<VmId> {
        let free = |row: &&VmRow| {
            let parked = match self.pools.moves.get(&row.vm) {
                None => row.state == VmState::Up,
                Some(moving) => self.counts_as_parked(moving),
            };
            row.pool == *spare_pool && parked && !self.is_in_wave(&row.vm)
        };
        let mut vms: Vec<VmId> = self.vms.values().filter(free).map(|row| row.vm.clone()).collect();
        vms.sort_by_cached_key(|vm| (!self.is_maintenance_due(vm), vm.clone()));
        vms
    }

    /// Takes an idle VM from the pool, other than `to`, with the largest surplus.
    fn take_idle_vm(
        &self,
        demands: &mut BTreeMap<ServiceId, PoolDemand>,
        to: &ServiceId,
    ) -> Option<VmId> {
        // Waiting tasks take precedence over forecast ones.
        let waiting =
            demands.get(to).is_some_and(|demand| demand.required_now() > demand.pool_size);
        let surplus = |demand: &PoolDemand| {
            if waiting {
                demand.pool_size.saturating_sub(demand.required_now())
            } else {
                demand.surplus()
            }
        };
        let can_lend = |demand: &PoolDemand| {
            surplus(demand) > 0 && demand.idle.iter().any(|(_, _, idle)| *idle >= LEND_DELAY)
        };
        let lending =
            demands.iter_mut().filter(|(service, demand)| *service != to && can_lend(demand));
        let (_, demand) = lending.max_by_key(|(_, demand)| surplus(demand))?;
        let longest = demand.idle.iter().enumerate().max_by_key(|(_, (_, _, idle))| *idle)?.0;
        demand.pool_size -= 1;
        Some(demand.idle.swap_remove(longest).0)
    }
}

/// Idle VMs that a pool doesn't need and that have been idle long enough to return to the spare pool.
fn returnable(demand: &PoolDemand) -> Vec<VmId> {
    let mut idle: Vec<_> = demand.idle.iter().collect();
    idle.sort_by_key(|(_, _, idle)| std::cmp::Reverse(*idle));
    let excess = demand.pool_size.saturating_sub(demand.recent_vms);
    let delay =
        |position: usize| if position < excess { EXCESS_RETURN_DELAY } else { RETURN_DELAY };
    let surplus = idle.into_iter().take(demand.surplus()).enumerate();
    let returned = surplus.filter(|(position, (_, _, idle))| *idle >= delay(*position));
    returned.map(|(_, (vm, _, _))| vm.clone()).collect()
}

/// VMs that a long-running step requires because its spread limits how many of its tasks share one.
fn vms_for_spread(job: &Job, step: usize) -> usize {
    let spec = job.step_spec(step as u32);
    match spec.spread {
        Some(most) if spec.long_running => spec.count.div_ceil(most.max(1)) as usize,
        _ => 0,
    }
}
