//! Sizes of the pools: moves idle VMs to where tasks wait, and parks those that nobody needs.
//!
//! Answers queues whose demand comes in turns: each pool keeps what its lasting tasks and its small share of work between
//! the turns need, and the rest of the VMs follows the demand. A parked VM costs nothing, a move costs about as much as a
//! second of a VM in a pool, so a VM is parked only after it was idle for a while, and goes straight to another pool
//! when one has tasks waiting.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::{
    record::Outcome,
    sched::{
        event::{Action, VmAnswer, VmRow, VmState},
        evidence::Incarnation,
        need::{Need, neediest},
        reclaim::Reclaim,
        scheduler::Scheduler,
        trend::Trend,
        work::{Job, JobSlot, Phase},
        worker::WorkerKey,
    },
};

/// Time between two plans.
const PLAN_GAP: Duration = Duration::from_millis(80);

/// An idle VM that its pool doesn't need is parked after this time: a move back costs as much.
const PARK_AFTER: Duration = Duration::from_millis(2_000);

/// An idle VM beyond all that its pool needed lately is parked after this time: it was called for a rise that didn't come.
const PARK_UNUSED_AFTER: Duration = Duration::from_millis(800);

/// An idle VM that its pool doesn't need may go to another pool after this time.
const LEND_AFTER: Duration = Duration::from_millis(300);

/// Share of the waiting tasks' demand that is provided for: some of them start as running ones end.
const PROVIDED: f32 = 1.0;

/// A lasting task that waits this long shows that its pool is too small.
const STUCK_AFTER: Duration = Duration::from_millis(500);

/// Span over which the most that a pool needed counts: the need of a turn that goes on falls for a moment now and then.
const LATELY: Duration = Duration::from_millis(1_500);

/// Time between two log lines about the sizes of the pools.
const REPORT_GAP: Duration = Duration::from_secs(1);

/// Time after which an unanswered call to move a VM is repeated.
const CALL_RETRY: Duration = Duration::from_millis(900);

/// A VM that moves is taken to have arrived after its move time and this.
const ARRIVAL_RESERVE: Duration = Duration::from_millis(1_500);

/// A move that was ordered.
#[derive(Clone, Debug)]
struct Move {
    from: ServiceId,
    to: ServiceId,
    sent: Instant,
    /// The life that it is to end.
    life: Option<Incarnation>,
    /// When it took effect.
    done: Option<Instant>,
}

/// Moves on their way, and how long workers have been idle.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolPlan {
    moves: BTreeMap<VmId, Move>,
    /// VMs that are emptied for another pool.
    pub(super) reclaims: BTreeMap<VmId, Reclaim>,
    idle: HashMap<WorkerKey, Instant>,
    planned: Option<Instant>,
    reported: Option<Instant>,
    trends: HashMap<ServiceId, Trend>,
    /// VMs that the tasks of each pool needed lately, with the time.
    needed: HashMap<ServiceId, VecDeque<(Instant, usize)>>,
}

impl Scheduler {
    /// Lets the plan learn from a job that arrived.
    pub(super) fn note_arrival(&mut self, job: &Job) {
        let work = self.open_work(job);
        if work > 0 {
            let service = self.service_of(&job.submission).clone();
            let trend = self.pools.trends.entry(service).or_default();
            trend.note(work, self.limits.move_time, self.now.mono);
        }
    }

    pub(super) fn plan_pools(&mut self) {
        let now = self.now.mono;
        let planned = self.pools.planned.is_some_and(|at| now < at + PLAN_GAP);
        if planned || !self.vms_known || !self.may_move_vms() {
            return;
        }
        self.pools.planned = Some(now);
        self.settle_moves();
        self.settle_reclaims();
        self.note_idle();
        let Some(spare) = self.config.spare_pool().cloned() else { return };
        let mut needs = self.needs(&spare);
        self.note_needs(&mut needs);
        let mut parked = self.parked(&spare);
        self.report_pools(&needs, parked.len());
        // The target of a pool with stuck tasks is always more than its size, so it counts once.
        let mut targets: BTreeMap<ServiceId, usize> =
            needs.iter().map(|(service, need)| (service.clone(), need.target())).collect();
        while let Some(service) = neediest(&needs, &targets) {
            match self.lender(&mut needs, &service).or_else(|| parked.pop()) {
                Some(vm) => {
                    self.move_vm(vm, &service);
                    needs.entry(service).and_modify(|need| need.size += 1);
                }
                None => {
                    if !self.compact_for(&needs, &service) {
                        self.reclaim(&needs, &service);
                    }
                    // Another pool may still borrow from this one.
                    targets.remove(&service);
                }
            }
        }
        let surplus: Vec<VmId> = needs.values().flat_map(parkable).collect();
        for vm in surplus {
            self.move_vm(vm, &spare);
        }
    }

    fn report_pools(&mut self, needs: &BTreeMap<ServiceId, Need>, parked: usize) {
        let now = self.now.mono;
        if self.pools.reported.is_some_and(|at| now < at + REPORT_GAP) {
            return;
        }
        self.pools.reported = Some(now);
        for (service, need) in needs {
            let own = || self.workers.values().filter(|worker| worker.service == *service);
            let used: u32 = own().map(|worker| worker.used.cores.0).sum();
            let lasting = own().filter(|worker| self.hosts_lasting(worker)).count();
            info!(
                target: "decision",
                "pool={service} vms={} target={} lasting={lasting} idle={} used_m={used} wanted_m={} foreseen_m={} vm_m={} parked={parked} epoch={}",
                need.size, need.target(), need.idle.len(), need.cores as u32, need.foreseen as u32, need.unit.cores.0, self.epoch
            );
        }
    }

    /// Moves that took effect long enough ago are over; unanswered ones are repeated.
    fn settle_moves(&mut self) {
        let now = self.now.mono;
        let arrived = self.limits.move_time + ARRIVAL_RESERVE;
        let rows = &self.vms;
        self.pools.moves.retain(|vm, moving| {
            let up = rows.get(vm).is_none_or(|row| {
                row.state == VmState::Up && row.pool == moving.to && row.worker.is_some()
            });
            let waited = moving.done.map(|done| now.saturating_duration_since(done));
            !waited.is_some_and(|waited| waited > arrived || (up && waited > self.limits.move_time))
        });
        let mut again = Vec::new();
        for (vm, moving) in &mut self.pools.moves {
            if moving.done.is_none() && now > moving.sent + CALL_RETRY {
                moving.sent = now;
                again.push(Action::MoveVm(vm.clone(), moving.to.clone()));
            }
        }
        self.actions.extend(again);
    }

    fn note_idle(&mut self) {
        let now = self.now.mono;
        for (key, worker) in &self.workers {
            if worker.runs.is_empty() {
                self.pools.idle.entry(key).or_insert(now);
            } else {
                self.pools.idle.remove(&key);
            }
        }
        let workers = &self.workers;
        self.pools.idle.retain(|key, _| workers.contains_key(*key));
    }

    /// Fills in the most VMs that each pool needed lately.
    fn note_needs(&mut self, needs: &mut BTreeMap<ServiceId, Need>) {
        let now = self.now.mono;
        for (service, need) in needs {
            let needed = self.pools.needed.entry(service.clone()).or_default();
            needed.push_back((now, need.present()));
            while needed.front().is_some_and(|(at, _)| now > *at + LATELY) {
                needed.pop_front();
            }
            need.lately = needed.iter().map(|(_, vms)| *vms).max().unwrap_or_default();
        }
    }

    /// Needs of all pools but the spare one.
    fn needs(&self, spare: &ServiceId) -> BTreeMap<ServiceId, Need> {
        let mut needs: BTreeMap<ServiceId, Need> = BTreeMap::new();
        for (service, _) in self.config.pools.iter().filter(|(service, _)| *service != spare) {
            needs.entry(service.clone()).or_default();
        }
        for row in self.vms.values() {
            let pool = self.pools.moves.get(&row.vm).map_or(&row.pool, |moving| &moving.to);
            let Some(need) = needs.get_mut(pool) else { continue };
            need.unit.cores = need.unit.cores.max(row.capacity.cores);
            need.unit.memory = need.unit.memory.max(row.capacity.memory);
            if row.state == VmState::Down || self.is_in_wave(&row.vm) || self.is_leaving(row) {
                continue;
            }
            need.size += 1;
            need.idle.extend(self.idle_vm(row));
        }
        for slot in self.jobs.keys() {
            self.add_demand(slot, &mut needs);
        }
        for (service, need) in &mut needs {
            let trend = self.pools.trends.get(service).filter(|_| self.policies.foresee);
            need.foreseen = trend.map_or(0.0, |trend| trend.expected(self.now.mono));
        }
        // Tasks that don't use an idle VM of their pool need something that more VMs don't bring.
        for need in needs.values_mut() {
            if need.idle.iter().any(|(_, _, idle)| *idle > STUCK_AFTER) {
                need.stuck = 0;
            }
        }
        // The VMs on their way may be all that is missing.
        for moving in self.pools.moves.values() {
            if let Some(need) = needs.get_mut(&moving.to) {
                need.stuck = need.stuck.saturating_sub(1);
            }
        }
        needs
    }

    /// True when the worker on a VM drains, so that its pool is about to lose the VM.
    fn is_leaving(&self, row: &VmRow) -> bool {
        let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
        key.is_some_and(|key| self.workers[*key].draining)
    }

    /// The VM with its idle time, if it is free to leave its pool.
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
        let since = self.pools.idle.get(&key).filter(|_| free && worker.service == row.pool)?;
        Some((row.vm.clone(), key, self.now.mono.saturating_duration_since(*since)))
    }

    fn add_demand(&self, slot: JobSlot, needs: &mut BTreeMap<ServiceId, Need>) {
        let job = &self.jobs[slot];
        let Some(need) = needs.get_mut(self.service_of(&job.submission)) else { return };
        if job.is_over() {
            return;
        }
        for occurrence in &job.occurrences {
            let waits = occurrence.due.is_some_and(|due| due > self.now.wall);
            if occurrence.outcome != Outcome::Open || waits {
                continue;
            }
            for (number, step) in occurrence.steps.iter().enumerate() {
                let spec = job.step_spec(number as u32);
                let ready = occurrence.is_ready(spec);
                let demand = spec.allocation();
                for task in &step.tasks {
                    let share = match &task.phase {
                        Phase::Placed(_) => 1.0,
                        Phase::Idle if spec.long_running => 1.0,
                        Phase::Idle if ready => PROVIDED,
                        Phase::Idle | Phase::Done => 0.0,
                    };
                    let cores = demand.cores.0 as f32 * share;
                    need.cores += cores;
                    need.lasting += if spec.long_running { cores } else { 0.0 };
                    need.memory += demand.memory.0 as f32 * share;
                    let waited = self.now.mono.saturating_duration_since(task.idle_since);
                    let stuck = spec.long_running && task.is_idle() && waited > STUCK_AFTER;
                    need.stuck += usize::from(stuck);
                }
                need.spread = need.spread.max(spread_vms(job, number));
            }
        }
    }

    /// Parked VMs that can be moved. Those that are due for maintenance come first, and are taken last: it costs nothing while
    /// they are parked.
    fn parked(&self, spare: &ServiceId) -> Vec<VmId> {
        let free = |row: &&VmRow| {
            row.pool == *spare
                && row.state == VmState::Up
                && !self.pools.moves.contains_key(&row.vm)
                && !self.is_in_wave(&row.vm)
        };
        let mut vms: Vec<VmId> = self.vms.values().filter(free).map(|row| row.vm.clone()).collect();
        vms.sort_by_cached_key(|vm| (!self.is_due(vm), vm.clone()));
        vms
    }

    /// Takes an idle VM from the pool with the largest surplus.
    fn lender(&self, needs: &mut BTreeMap<ServiceId, Need>, to: &ServiceId) -> Option<VmId> {
        // Tasks that wait count more than tasks that are foreseen.
        let waits = needs.get(to).is_some_and(|need| need.present() > need.size);
        let surplus = |need: &Need| {
            if waits { need.size.saturating_sub(need.present()) } else { need.surplus() }
        };
        let lends = |need: &Need| {
            surplus(need) > 0 && need.idle.iter().any(|(_, _, idle)| *idle >= LEND_AFTER)
        };
        let lenders = needs.iter_mut().filter(|(service, need)| *service != to && lends(need));
        let (_, need) = lenders.max_by_key(|(_, need)| surplus(need))?;
        let longest = need.idle.iter().enumerate().max_by_key(|(_, (_, _, idle))| *idle)?.0;
        need.size -= 1;
        Some(need.idle.swap_remove(longest).0)
    }

    pub(super) fn move_vm(&mut self, vm: VmId, to: &ServiceId) {
        let now = self.now.mono;
        let Some(row) = self.vms.get(&vm) else { return };
        let from = row.pool.clone();
        let life = self.incarnation_on(&vm);
        if let Some(&key) = row.worker.as_ref().and_then(|id| self.worker_keys.get(id)) {
            self.workers[key].vm_draining = true;
        }
        info!(target: "decision", "vm={vm} choice=move from={from} to={to} epoch={}", self.epoch);
        self.pools
            .moves
            .insert(vm.clone(), Move { from, to: to.clone(), sent: now, life, done: None });
        self.actions.push(Action::MoveVm(vm, to.clone()));
    }

    pub(super) fn moved(&mut self, vm: &VmId, answer: VmAnswer) {
        let now = self.now.mono;
        info!(target: "decision", "vm={vm} choice=move answer={answer:?}");
        match answer {
            VmAnswer::Done => {
                let Some(moving) = self.pools.moves.get_mut(vm) else { return };
                moving.done = Some(now);
                let life = moving.life.clone();
                if let Some(row) = self.vms.get_mut(vm) {
                    row.pool = moving.to.clone();
                    row.state = VmState::Moving;
                    row.worker = None;
                }
                self.expect_shutdown(vm, life);
            }
            VmAnswer::Fenced => self.step_down_now(),
            VmAnswer::NotUp | VmAnswer::Invalid => self.forget_move(vm),
            VmAnswer::RetryLater | VmAnswer::Unanswered => {}
        }
    }

    fn forget_move(&mut self, vm: &VmId) {
        let Some(moving) = self.pools.moves.remove(vm) else { return };
        let worker = self.vms.get(vm).filter(|row| row.pool == moving.from);
        let worker = worker.and_then(|row| row.worker.as_ref());
        if let Some(&key) = worker.and_then(|id| self.worker_keys.get(id)) {
            self.workers[key].vm_draining = false;
        }
    }

    /// Forgets a move that had no effect.
    pub(super) fn drop_move(&mut self, vm: &VmId) {
        self.pools.moves.remove(vm);
    }

    /// True while a move is on its way.
    pub(super) fn has_moves(&self) -> bool {
        !self.pools.moves.is_empty()
    }

    /// True while the VM is on its way to another pool.
    pub(super) fn is_moving(&self, vm: &VmId) -> bool {
        self.pools.moves.contains_key(vm)
    }
}

/// Idle VMs that a pool doesn't need, long enough after they became idle.
fn parkable(need: &Need) -> Vec<VmId> {
    let mut idle: Vec<_> = need.idle.iter().collect();
    idle.sort_by_key(|(_, _, idle)| std::cmp::Reverse(*idle));
    let unused = need.size.saturating_sub(need.lately);
    let after = |rank: usize| if rank < unused { PARK_UNUSED_AFTER } else { PARK_AFTER };
    let surplus = idle.into_iter().take(need.surplus()).enumerate();
    let rested = surplus.filter(|(rank, (_, _, idle))| *idle >= after(*rank));
    rested.map(|(_, (vm, _, _))| vm.clone()).collect()
}

/// VMs that a lasting step needs because only so many of its tasks may share one.
fn spread_vms(job: &Job, step: usize) -> usize {
    let spec = job.step_spec(step as u32);
    match spec.spread {
        Some(most) if spec.long_running => spec.count.div_ceil(most.max(1)) as usize,
        _ => 0,
    }
}
