//! The load that the owner publishes for the admission of jobs; see [`LoadReport`].
//!
//! It says which work goes first, so that a node can tell what a new job would wait for: work that can still be in time by
//! its latest start, as in [`rank`](super::rank), and late work apart. Its size is bounded, and making it takes time in
//! proportion to the backlog.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cj_types::{AccountId, Millicores, Resources, ServiceId};

use crate::{
    account::Weight,
    load_report::{
        AccountLoad, ArrivingCapacity, LATE, LoadReport, MAX_ACCOUNTS, MAX_ARRIVALS, MAX_BANDS,
        MAX_POOL_ACCOUNTS, PoolLoad, PoolRunTimes, WaitingBand, account_digest, saturated,
    },
    sched::{
        demand::MIN_VMS,
        rank::Timeliness,
        scheduler::Scheduler,
        work::{Job, TaskRef},
        worker::Worker,
    },
};

/// Times over which arrivals count for the arrival rate, which is the higher one. The short one follows a rise. The long one covers
/// several reports: nodes that all accept after a load and all refuse after the next make the arrivals of one report say
/// little about those of the next.
const ARRIVAL_WINDOWS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_000)];

/// A run that takes longer than this multiple of the expected time doesn't count as capacity: it may go on for several times as
/// long, and frees no room meanwhile.
const OVERDUE_FACTOR: u32 = 2;

/// Parts into which all work is divided; the other bands are for changes of priority and for late work.
const EVEN_BANDS: u128 = MAX_BANDS as u128 - 3;

/// Pools with ample room are left out if there are more pools than this.
const MAX_UNLOADED_POOLS: usize = 8;

/// Work that waits, of one occurrence, in millicores times milliseconds.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    priority: u32,
    latest_start_ms: u32,
    work: u64,
}

/// What the load of a pool is made from.
#[derive(Clone, Debug, Default)]
struct PoolSums<'a> {
    waiting: Vec<Waiting>,
    /// Processors for which ready tasks wait, in millicores.
    asked: u64,
    /// Least that these tasks ask for, by resource.
    smallest: Option<Resources>,
    /// Work of the jobs that arrived within each of [`ARRIVAL_WINDOWS`], in millicores times milliseconds.
    arrived: [u64; 2],
    /// Waiting work by account of the jobs that can be in time, in millicores times milliseconds.
    accounts: HashMap<&'a AccountId, u64>,
    run_times: RunTimeFit,
    /// Processors in use by finite tasks that aren't overdue, in millicores.
    used: u64,
    /// Free processors in which a waiting task fits, in millicores.
    free: u64,
    /// Capacities of the idle VMs, in millicores.
    idle_vms: Vec<u64>,
    arriving: Vec<ArrivingCapacity>,
}

impl Scheduler {
    /// The load of all pools of the cell, for the admission of jobs.
    pub fn load_report(&self) -> LoadReport {
        let mut pools: BTreeMap<&ServiceId, PoolSums<'_>> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.is_over()) {
            self.add_waiting(job, pools.entry(self.service_of(&job.submission)).or_default());
        }
        let takes_tasks =
            |worker: &&Worker| worker.registered && !worker.draining && !worker.vm_draining;
        for worker in self.workers.values().filter(takes_tasks) {
            self.add_worker(worker, pools.entry(&worker.service).or_default());
        }
        self.add_arrivals(&mut pools);
        let with_accounts = pools.values().filter(|pool| !pool.accounts.is_empty()).count();
        let accounts = (MAX_ACCOUNTS / with_accounts.max(1)).min(MAX_POOL_ACCOUNTS);
        let all = pools.len() <= MAX_UNLOADED_POOLS;
        let published = pools.iter().filter(|(_, pool)| all || !pool.has_ample_room());
        let load = |(service, pool): (&&ServiceId, &PoolSums<'_>)| {
            let obtainable = self.obtainable(service, &pools);
            let load = PoolLoad {
                obtainable: saturated(obtainable),
                accounts: self.account_loads(pool, accounts),
                ..pool.load()
            };
            ((*service).clone(), load)
        };
        LoadReport {
            epoch: self.epoch,
            owned_ms: saturated(
                self.now.mono.saturating_duration_since(self.owner_since).as_millis(),
            ),
            age_ms: 0,
            pools: published.map(load).collect(),
        }
    }

    /// Adds the waiting work of a job.
    fn add_waiting<'a>(&self, job: &'a Job, pool: &mut PoolSums<'a>) {
        let wall = self.now.wall;
        let age = wall.since(job.submission.received_at);
        for (number, occurrence) in job.occurrences.iter().enumerate() {
            if !occurrence.is_open_and_due(wall) {
                continue;
            }
            let mut work: u64 = 0;
            for (number, step) in occurrence.steps.iter().enumerate() {
                let number = number as u32;
                let spec = job.step_spec(number);
                if spec.long_running || spec.estimate.is_zero() || step.is_done() {
                    continue;
                }
                let expected = self.expected_run_time(job, number, step);
                if step.ended.runs == 0 {
                    let longest = self.longest_run_time(job, number, step, spec.count);
                    pool.run_times.add(spec.estimate, expected, longest);
                }
                let demand = spec.allocation();
                let task = u64::from(demand.cores.0).saturating_mul(expected.as_millis() as u64);
                let idle = step.idle.len() as u64;
                work = work.saturating_add(idle.saturating_mul(task));
                let arrived = pool.arrived.iter_mut().zip(ARRIVAL_WINDOWS);
                for (sum, _) in arrived.filter(|(_, window)| job.fresh && age < *window) {
                    *sum = sum.saturating_add(u64::from(spec.count).saturating_mul(task));
                }
                if idle > 0 && occurrence.is_ready(number) {
                    pool.asked += idle * u64::from(demand.cores.0);
                    pool.smallest = Some(pool.smallest.map_or(demand, |s| s.at_most(demand)));
                }
            }
            if work == 0 {
                continue;
            }
            let (rank, _) = self.rank_of(job, number as u32);
            let in_time = rank.timeliness == Timeliness::InTime;
            let latest_start_ms = match in_time {
                true => saturated(rank.latest_start().since(wall).as_millis()).min(LATE - 1),
                false => LATE,
            };
            let priority = job.submission.priority;
            pool.waiting.push(Waiting { priority, latest_start_ms, work });
            if let Some(account) = job.submission.account.as_ref().filter(|_| in_time) {
                let sum = pool.accounts.entry(account).or_default();
                *sum = sum.saturating_add(work);
            }
        }
    }

    /// Adds the capacity of a worker that takes tasks.
    fn add_worker(&self, worker: &Worker, pool: &mut PoolSums<'_>) {
        let on_time = worker.runs.iter().filter(|at| self.is_within_expected_time(**at));
        let cores = |at: &TaskRef| self.jobs[at.job].step_spec(at.step).allocation().cores.0;
        pool.used += on_time.map(|at| u64::from(cores(at))).sum::<u64>();
        pool.free += usable(worker.free(), pool.smallest);
        if worker.runs.is_empty() && worker.accepts_tasks(self.now.mono) {
            pool.idle_vms.push(u64::from(worker.capacity.cores.0));
        }
    }

    /// True for a run of a finite task that isn't overdue; see [`OVERDUE_FACTOR`].
    fn is_within_expected_time(&self, at: TaskRef) -> bool {
        let job = &self.jobs[at.job];
        let Some(placed) =
            self.task(at).placement().filter(|_| !job.step_spec(at.step).long_running)
        else {
            return false;
        };
        let taken = self.now.mono.saturating_duration_since(placed.started_at);
        taken <= self.expected_run_time(job, at.step, job.step(at)) * OVERDUE_FACTOR
    }

    /// Adds the capacity of the VMs that are moving to a pool and whose workers haven't registered yet.
    fn add_arrivals<'a>(&'a self, pools: &mut BTreeMap<&'a ServiceId, PoolSums<'_>>) {
        for (vm, to, off_since) in self.moving_vms() {
            let is_spare = self.config.pools.get(to).is_some_and(|pool| pool.spare);
            let Some(row) = self.vms.get(vm).filter(|_| !is_spare) else { continue };
            let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
            let registered = key.is_some_and(|key| {
                let worker = &self.workers[*key];
                worker.registered && worker.service == *to
            });
            if !registered {
                let at = off_since + self.limits.move_time;
                let after_ms = saturated(at.saturating_duration_since(self.now.mono).as_millis());
                let arriving = ArrivingCapacity { after_ms, cores: row.capacity.cores.0 };
                pools.entry(to).or_default().arriving.push(arriving);
            }
        }
    }

    /// Capacity that a pool can have from parked spares, and from idle VMs of pools in which no task waits, in millicores.
    /// Pools that lack room share it.
    fn obtainable(&self, service: &ServiceId, pools: &BTreeMap<&ServiceId, PoolSums<'_>>) -> u64 {
        let Some(spare_pool) = self.config.spare_pool() else { return 0 };
        let spares = self.spares(spare_pool);
        let spares = spares.iter().filter_map(|vm| self.vms.get(vm));
        let mut cores: u64 = spares.map(|row| u64::from(row.capacity.cores.0)).sum();
        let others =
            || pools.iter().filter(|(other, _)| **other != service && **other != spare_pool);
        for (_, pool) in others().filter(|(_, pool)| pool.asked == 0) {
            cores += pool.idle_vms.iter().skip(MIN_VMS).sum::<u64>();
        }
        let lacking = others().filter(|(_, pool)| pool.asked > pool.free).count() as u64;
        cores / (lacking + 1)
    }

    /// The accounts with the most waiting work in a pool.
    fn account_loads(&self, pool: &PoolSums<'_>, most: usize) -> Vec<AccountLoad> {
        let load = |(account, work): (&&AccountId, &u64)| {
            let weight = self.config.account(account).map_or(Weight::DEFAULT, |found| found.weight);
            AccountLoad {
                account: account_digest(account),
                weight: (weight.value() * 100.0).max(1.0) as u32,
                work: saturated(work / 1_000),
            }
        };
        let mut loads: Vec<AccountLoad> = pool.accounts.iter().map(load).collect();
        loads.sort_by_key(|load| (std::cmp::Reverse(load.work), load.account));
        loads.truncate(most);
        loads
    }
}

impl PoolSums<'_> {
    /// True if jobs find room in the pool until the next report.
    fn has_ample_room(&self) -> bool {
        self.waiting.is_empty() && self.free >= self.used
    }

    /// The load without the fields that depend on other pools or on the configuration.
    fn load(&self) -> PoolLoad {
        let rates = self.arrived.iter().zip(ARRIVAL_WINDOWS);
        let rates = rates.map(|(work, window)| work / window.as_millis() as u64);
        PoolLoad {
            capacity: saturated(self.used + self.free),
            free: saturated(self.free),
            asked: saturated(self.asked),
            arriving: group_arrivals(self.arriving.clone()),
            arrival_rate: saturated(rates.max().unwrap_or_default()),
            run_times: self.run_times.means(),
            waiting: bands(self.waiting.clone()),
            ..PoolLoad::default()
        }
    }
}

/// Free processors that tasks like the smallest waiting one can use, in millicores: what is left over on many VMs is room
/// for none.
fn usable(free: Resources, smallest: Option<Resources>) -> u64 {
    let Some(task) = smallest.filter(|task| task.cores > Millicores(0)) else {
        return u64::from(free.cores.0);
    };
    let by_cores = free.cores.0 / task.cores.0;
    let by_memory = free.memory.0.checked_div(task.memory.0).unwrap_or(u32::MAX);
    u64::from(by_cores.min(by_memory)) * u64::from(task.cores.0)
}

/// Waiting work by priority and latest start, in bands of about the same work. What exceeds [`MAX_BANDS`] is added to the last
/// one, which is the least urgent.
fn bands(mut waiting: Vec<Waiting>) -> Vec<WaitingBand> {
    waiting.sort_by_key(|waiting| (waiting.priority, waiting.latest_start_ms));
    let total = waiting.iter().fold(0u64, |sum, waiting| sum.saturating_add(waiting.work));
    let mut bands: Vec<Waiting> = Vec::with_capacity(MAX_BANDS);
    let (mut before, mut last_part) = (0u64, 0);
    for next in waiting {
        // The part of all work that the middle of this work falls in.
        let middle = before.saturating_add(next.work / 2);
        let part = u128::from(middle) * EVEN_BANDS / u128::from(total.max(1));
        before = before.saturating_add(next.work);
        let is_late = next.latest_start_ms == LATE;
        let joins = |band: &Waiting| {
            let is_alike =
                band.priority == next.priority && (band.latest_start_ms == LATE) == is_late;
            is_alike && (part == last_part || is_late)
        };
        let is_full = bands.len() == MAX_BANDS;
        match bands.last_mut() {
            Some(band) if is_full || joins(band) => {
                let work = band.work.saturating_add(next.work);
                *band = Waiting { work, ..next };
            }
            _ => bands.push(next),
        }
        last_part = part;
    }
    let published = |band: Waiting| WaitingBand {
        priority: band.priority,
        latest_start_ms: band.latest_start_ms,
        work: saturated(band.work / 1_000),
    };
    bands.into_iter().map(published).collect()
}

/// Arrivals in at most [`MAX_ARRIVALS`] groups, each with the time of its last one.
fn group_arrivals(mut arriving: Vec<ArrivingCapacity>) -> Vec<ArrivingCapacity> {
    arriving.sort_by_key(|arriving| arriving.after_ms);
    let size = arriving.len().div_ceil(MAX_ARRIVALS).max(1);
    let group = |group: &[ArrivingCapacity]| ArrivingCapacity {
        after_ms: group.last().map_or(0, |last| last.after_ms),
        cores: group.iter().fold(0, |sum, arriving| sum.saturating_add(arriving.cores)),
    };
    arriving.chunks(size).map(group).collect()
}

/// Sums for the expected run times as a function of the estimates: a regression of natural logarithms of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct RunTimeFit {
    count: f64,
    estimate: f64,
    task: f64,
    /// Of the longest tasks of the steps.
    step: f64,
    estimate_squared: f64,
    product: f64,
}

impl RunTimeFit {
    /// Adds a step with the expected run times of a task and of its longest task.
    fn add(&mut self, estimate: Duration, task: Duration, step: Duration) {
        let ln = |time: Duration| (time.as_secs_f64() * 1e3).max(1.0).ln();
        let (x, y) = (ln(estimate), ln(task));
        self.count += 1.0;
        self.estimate += x;
        self.task += y;
        self.step += ln(step);
        self.estimate_squared += x * x;
        self.product += x * y;
    }

    /// The geometric means, and the slope of the regression.
    fn means(&self) -> PoolRunTimes {
        if self.count < 1.0 {
            return PoolRunTimes::default();
        }
        let mean = |sum: f64| sum / self.count;
        let ms = |sum: f64| mean(sum).exp().round() as u32;
        let variance = mean(self.estimate_squared) - mean(self.estimate).powi(2);
        let covariance = mean(self.product) - mean(self.estimate) * mean(self.task);
        // Steps with the same estimate don't show whether estimates predict anything.
        let slope = if variance < 1e-6 { 1.0 } else { covariance / variance };
        PoolRunTimes {
            estimate_ms: ms(self.estimate).max(1),
            task_ms: ms(self.task),
            step_ms: ms(self.step),
            slope_percent: (slope.clamp(0.0, 1.0) * 100.0).round() as u32,
        }
    }
}
