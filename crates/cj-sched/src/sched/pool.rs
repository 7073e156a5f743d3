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
    event::{Action, VmAnswer, VmRow, VmState},
    evidence::Incarnation,
    forecast::DemandForecast,
    ledger::CapRoom,
    reclaim::PoolDrain,
    scheduler::Scheduler,
    watch::CommandGuard,
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

/// Time after which an unanswered command to move a VM is repeated.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(900);

/// A VM counts as arrived this long after its move time at the latest.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(1_500);

/// A VM that moved to the spare pool counts as parked this long after its move time: answers are under way for a while.
const PARK_MARGIN: Duration = Duration::from_millis(100);

/// A VM move that was requested.
#[derive(Clone, Debug)]
struct Move {
    from: ServiceId,
    to: ServiceId,
    sent: Instant,
    /// Keeps the newest command wanted.
    guard: CommandGuard,
    /// Incarnation that the move ends.
    incarnation: Option<Incarnation>,
    /// When it took effect.
    done_at: Option<Instant>,
}

/// State of the planning of pool sizes.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolPlan {
    moves: BTreeMap<VmId, Move>,
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

    /// Removes moves that took effect long enough ago, and repeats the commands for unanswered ones.
    fn update_moves(&mut self) {
        let now = self.now.mono;
        let longest = self.limits.move_time + ARRIVAL_MARGIN;
        let (vms, requested) = (&self.vms, self.vms_requested);
        self.pools.moves.retain(|vm, moving| {
            let up = vms.get(vm).is_none_or(|row| {
                row.state == VmState::Up && row.pool == moving.to && row.worker.is_some()
            });
            let waited = moving.done_at.map(|done| now.saturating_duration_since(done));
            // A list of VMs from before the answer may show the VM where it was.
            let listed = moving.done_at.is_some_and(|done| requested > done);
            let arrived = |waited| waited > longest || (up && waited > self.limits.move_time);
            !(listed && waited.is_some_and(arrived))
        });
        let is_due =
            |moving: &Move| moving.done_at.is_none() && now > moving.sent + COMMAND_RETRY_INTERVAL;
        let moves = self.pools.moves.iter().filter(|(_, moving)| is_due(moving));
        let due: Vec<_> = moves.map(|(vm, moving)| (vm.clone(), moving.clone())).collect();
        for (vm, moving) in due {
            self.repeat_move(vm, moving);
        }
    }

    /// Repeats the command for an unanswered move if nothing runs on the VM. Its worker may have started anew and got tasks since
    /// the move was decided; the move is dropped then.
    fn repeat_move(&mut self, vm: VmId, moving: Move) {
        let Some(row) = self.vms.get(&vm) else { return };
        let worker = row.worker.as_ref().filter(|_| row.pool == moving.from);
        let is_empty = match worker.map(|id| self.worker_keys.get(id).copied()) {
            None => true,
            Some(None) => self.is_lease_over(self.lease_horizon),
            Some(Some(key)) if !self.workers[key].runs.is_empty() => {
                info!(target: "decision", "vm={vm} worker={} choice=stay cause=\"tasks run there\"", self.workers[key].id);
                return self.abort_move(&vm);
            }
            Some(Some(key)) => {
                self.workers[key].vm_draining = true;
                self.is_confirmed_empty(key, moving.sent) && self.workers[key].has_durable_ends()
            }
        };
        if !is_empty {
            return;
        }
        let repeated = Move { sent: self.now.mono, guard: CommandGuard::default(), ..moving };
        let watch = repeated.guard.watch();
        self.actions.push(Action::MoveVm(vm.clone(), repeated.to.clone(), watch));
        self.pools.moves.insert(vm, repeated);
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

    /// True if a VM that this owner moved to the spare pool has been off for its move time. The list of VMs may show it as moving for
    /// seconds; the platform refuses to move it again if it still is.
    fn counts_as_parked(&self, moving: &Move) -> bool {
        let done_at = moving.done_at.filter(|_| self.policies.handover);
        done_at.is_some_and(|done| self.now.mono > done + self.limits.move_time + PARK_MARGIN)
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

    /// Requests the move of a VM to another pool; its worker gets no new tasks.
    pub(super) fn move_vm(&mut self, vm: VmId, to: &ServiceId) {
        let now = self.now.mono;
        let Some(row) = self.vms.get(&vm) else { return };
        let from = row.pool.clone();
        let incarnation = self.incarnation_on(&vm);
        if let Some(&key) = row.worker.as_ref().and_then(|id| self.worker_keys.get(id)) {
            self.workers[key].vm_draining = true;
        }
        info!(target: "decision", "vm={vm} choice=move from={from} to={to} epoch={}", self.epoch);
        let guard = CommandGuard::default();
        let watch = guard.watch();
        self.pools.moves.insert(
            vm.clone(),
            Move { from, to: to.clone(), sent: now, guard, incarnation, done_at: None },
        );
        self.actions.push(Action::MoveVm(vm, to.clone(), watch));
    }

    /// Handles the answer to a command that moves a VM to `pool`. Only the first definite answer to a move that is still wanted counts:
    /// a repeated command is refused while the VM moves, and an answer may come after the VM got another destination.
    pub(super) fn moved(&mut self, vm: &VmId, pool: &ServiceId, answer: VmAnswer) {
        let now = self.now.mono;
        info!(target: "decision", "vm={vm} choice=move to={pool} answer={answer:?}");
        if answer == VmAnswer::Fenced {
            return self.step_down_now();
        }
        let open = |moving: &&mut Move| moving.to == *pool && moving.done_at.is_none();
        let Some(moving) = self.pools.moves.get_mut(vm).filter(open) else { return };
        match answer {
            VmAnswer::Done => {
                moving.done_at = Some(now);
                let incarnation = moving.incarnation.clone();
                if let Some(row) = self.vms.get_mut(vm) {
                    row.pool = moving.to.clone();
                    row.state = VmState::Moving;
                    row.worker = None;
                }
                self.expect_shutdown(vm, incarnation);
            }
            VmAnswer::NotUp | VmAnswer::NotInWave | VmAnswer::Invalid => self.abort_move(vm),
            VmAnswer::Fenced | VmAnswer::RetryLater | VmAnswer::Unanswered => {}
        }
    }

    /// Drops a move that the platform refused; the worker may get tasks again.
    fn abort_move(&mut self, vm: &VmId) {
        let Some(moving) = self.pools.moves.remove(vm) else { return };
        let worker = self.vms.get(vm).filter(|row| row.pool == moving.from);
        let worker = worker.and_then(|row| row.worker.as_ref());
        if let Some(&key) = worker.and_then(|id| self.worker_keys.get(id)) {
            self.workers[key].vm_draining = false;
        }
    }

    /// Drops a move that had no effect.
    pub(super) fn drop_move(&mut self, vm: &VmId) {
        self.pools.moves.remove(vm);
    }

    /// The VMs that are moving, each with its new pool and the time since which it is off: that of the command until that is answered.
    pub(super) fn moving_vms(&self) -> impl Iterator<Item = (&VmId, &ServiceId, Instant)> {
        let off_since = |moving: &Move| moving.done_at.unwrap_or(moving.sent);
        self.pools.moves.iter().map(move |(vm, moving)| (vm, &moving.to, off_since(moving)))
    }

    /// True while any VM is moving.
    pub(super) fn has_moves(&self) -> bool {
        !self.pools.moves.is_empty()
    }

    /// The VMs that this owner has sent to a pool, and when it sent them. A VM stays among them until some time after its
    /// arrival.
    pub(super) fn sent_to<'a>(
        &'a self,
        pool: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a VmId, Instant)> {
        let moves = self.pools.moves.iter().filter(move |(_, moving)| moving.to == *pool);
        moves.map(|(vm, moving)| (vm, moving.sent))
    }

    /// True while the VM is moving to another pool.
    pub(super) fn is_moving(&self, vm: &VmId) -> bool {
        self.pools.moves.contains_key(vm)
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
