//! Idle spare VM time of the shared spare pool, relative to a fixed reserve per service at the same goodput retention.
//!
//! Five services burst in turn to 5 times their mean load, now and then two at once, and fall to a twentieth of it in
//! between. Work that isn't served within its deadline is lost. The planner moves spare VMs through the real fold; a VM
//! serves its new pool after an assignment time. The fixed reserve is always in service.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

use cj_fleet::{UsageSample, plan, usage};
use cj_types::{Error, ErrorKind, PoolId, Result, UnixMillis};

use crate::{
    Options,
    fleet::{Faults, Layout, PoolLayout, Run},
    usage_svg::usage_svg,
};

const SERVICES: u32 = 5;

/// VMs of each service.
const BASE: u32 = 8;

/// Mean load of a service in VMs; a burst exceeds the service's own VMs by half.
const MEAN: f64 = 2.4;
const BURST: f64 = 5.0 * MEAN;
const QUIET: f64 = MEAN / 20.0;

/// Burst length in seconds.
const BURST_SECS: std::ops::Range<u64> = 10..40;

/// Share of bursts during which a second service bursts as well.
const OVERLAP: f64 = 0.1;

/// Seconds after which work is lost, and seconds that a moved VM needs before it serves.
const DEADLINE: u64 = 10;
const ASSIGN: Duration = Duration::from_secs(3);

/// Share of the offered work that has to be served in time.
const PROMISE: f64 = 0.99;

/// Hysteresis of the pools.
const HYSTERESIS: Duration = Duration::from_secs(30);

/// Length of a run in seconds.
const SECONDS: u64 = 2 * 3600;

const START: UnixMillis = UnixMillis(1_800_014_400_000);

/// Load per second and service.
type Load = Vec<[f64; SERVICES as usize]>;

/// Result of serving a load.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    offered: f64,
    in_time: f64,
    /// Idle VM-seconds of the reserve.
    idle: f64,
}

impl Served {
    fn retention(&self) -> f64 {
        self.in_time / self.offered
    }
}

/// Result of a run with the spare pool.
struct Shared {
    served: Served,
    report: Value,
    samples: Vec<UsageSample>,
}

/// Finds the smallest spare pool that keeps the promise, and the smallest fixed reserve per service that retains as
/// much goodput.
pub fn run(options: &Options) -> Result<Value> {
    let load = load(options.seed);
    let (spares, shared, sizes) = smallest(&load, options.seed)?;
    let kept = shared.served.retention();
    let reserves: Vec<(u32, Served)> = (0..=BASE).map(|r| (r, fixed(&load, r))).collect();
    let equal = reserves.iter().find(|(_, served)| served.retention() >= kept);
    let (reserve, fixed) = equal.ok_or_else(missed)?;
    let below = reserves.iter().rev().find(|(_, served)| served.retention() < kept);
    let table =
        reserves.iter().map(|(r, s)| json!({ "per_service": r, "retention": s.retention() }));
    Ok(json!({
        "seed": options.seed,
        "targets": { "buffer_ratio": 0.5, "retention": PROMISE },
        "buffer_ratio": shared.served.idle / fixed.idle,
        // Against the next smaller reserve, which retains less than the spare pool does.
        "buffer_ratio_to_smaller": below.map(|(_, served)| shared.served.idle / served.idle),
        "retention": kept,
        "spare_vms": spares,
        "idle_vm_seconds": shared.served.idle,
        "fixed": {
            "per_service": reserve,
            "vms": reserve * SERVICES,
            "retention": fixed.retention(),
            "idle_vm_seconds": fixed.idle,
        },
        "run": shared.report,
        "spare_sizes": sizes,
        "fixed_sizes": table.collect::<Vec<_>>(),
        "seconds": SECONDS,
    }))
}

/// The chart of the run with the smallest spare pool, as an SVG document.
pub fn chart(options: &Options) -> Result<String> {
    let (_, shared, _) = smallest(&load(options.seed), options.seed)?;
    usage_svg(&shared.samples, START + Duration::from_secs(SECONDS))
}

/// The smallest spare pool that keeps the promise, its run, and the retention of all sizes tried.
fn smallest(load: &Load, seed: u64) -> Result<(u32, Shared, Vec<Value>)> {
    let mut sizes = Vec::new();
    for spares in 1..=SERVICES * BASE / 2 {
        let shared = shared(load, spares, seed)?;
        let retention = shared.served.retention();
        sizes.push(json!({ "spare_vms": spares, "retention": retention }));
        if retention >= PROMISE {
            return Ok((spares, shared, sizes));
        }
    }
    Err(missed())
}

fn missed() -> Error {
    let kind = ErrorKind::Failed("no reserve keeps the goodput promise".into());
    Error::new(kind, "run again with another seed and compare the retention")
}

/// Bursts of the services in turn.
fn load(seed: u64) -> Load {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut load = Load::new();
    let mut turn = 0;
    while (load.len() as u64) < SECONDS {
        let length = rng.random_range(BURST_SECS);
        let second = rng.random_bool(OVERLAP).then(|| rng.random_range(0..SERVICES as usize));
        for _ in 0..length {
            let mut now = [QUIET; SERVICES as usize];
            now[turn] = BURST;
            second.into_iter().for_each(|service| now[service] = BURST);
            load.push(now);
        }
        turn = (turn + 1) % SERVICES as usize;
    }
    load.truncate(SECONDS as usize);
    load
}

/// Work of one service that waits, oldest first.
#[derive(Clone, Debug, Default)]
struct Queue {
    waiting: VecDeque<(u64, f64)>,
}

impl Queue {
    fn arrive(&mut self, now: u64, work: f64) {
        self.waiting.push_back((now + DEADLINE, work));
    }

    /// Drops late work and serves up to `capacity`; returns the work served.
    fn serve(&mut self, now: u64, capacity: f64) -> f64 {
        while self.waiting.front().is_some_and(|(deadline, _)| *deadline <= now) {
            self.waiting.pop_front();
        }
        let mut left = capacity;
        while left > 0.0
            && let Some((_, work)) = self.waiting.front_mut()
        {
            let done = work.min(left);
            left -= done;
            *work -= done;
            if *work <= 0.0 {
                self.waiting.pop_front();
            }
        }
        capacity - left
    }

    fn backlog(&self) -> f64 {
        self.waiting.iter().map(|(_, work)| work).sum()
    }
}

/// Serves the load with a reserve of fixed size per service.
fn fixed(load: &Load, reserve: u32) -> Served {
    let mut queues = vec![Queue::default(); SERVICES as usize];
    let mut total = Served::default();
    for (now, loads) in load.iter().enumerate() {
        for (queue, work) in queues.iter_mut().zip(loads) {
            queue.arrive(now as u64, *work);
            let done = queue.serve(now as u64, f64::from(BASE + reserve));
            total.offered += work;
            total.in_time += done;
            total.idle += f64::from(reserve) - (done - f64::from(BASE)).max(0.0);
        }
    }
    total
}

/// Serves the load with a spare pool that the planner lends from.
fn shared(load: &Load, spares: u32, seed: u64) -> Result<Shared> {
    let pool = |count, size, slack, spare| PoolLayout { count, size, slack, spare };
    let layout = Layout {
        pools: vec![pool(SERVICES, BASE, 2, false), pool(1, spares, spares, true)],
        hysteresis: HYSTERESIS,
        ..Layout::small()
    };
    let faults = Faults { drain: Duration::from_secs(2), ..Faults::default() };
    let mut run = Run::new(&layout, faults, 1, START, seed)?;
    let pools: Vec<PoolId> =
        run.state.fleet.pools.iter().filter(|(_, p)| !p.spare).map(|(id, _)| id.clone()).collect();
    let mut queues = vec![Queue::default(); pools.len()];
    let mut total = Served::default();
    for (now, loads) in load.iter().enumerate() {
        let serving = serving(&run);
        let mut busy = 0.0;
        for ((pool, queue), work) in pools.iter().zip(&mut queues).zip(loads) {
            queue.arrive(now as u64, *work);
            // New work waits for the plan, so that the demand includes the backlog.
            let wanted = work + queue.backlog() / DEADLINE as f64;
            run.demand.insert(pool.clone(), wanted.ceil() as u32);
            let done = queue.serve(now as u64, f64::from(serving.get(pool).copied().unwrap_or(0)));
            total.offered += work;
            total.in_time += done;
            busy += (done - f64::from(BASE)).max(0.0);
        }
        total.idle += f64::from(spares) - busy;
        run.step_until(plan, START + Duration::from_secs(now as u64 + 1))?;
    }
    let teams: BTreeMap<String, Value> = usage(&run.state)
        .into_iter()
        .map(|(team, u)| {
            let lent = u.lent.as_secs_f64();
            (team.to_string(), json!({ "lent_vm_seconds": lent, "moves": u.moves }))
        })
        .collect();
    let audit = &run.audit;
    let report = json!({
        "teams": teams,
        "lends": audit.lends,
        "moves_on_or_back": audit.returns,
        "deficits": audit.deficits,
        "moves_ratio": (audit.lends + audit.returns) as f64 / audit.deficits.max(1) as f64,
        "hasty_moves": audit.hasty_moves,
        "budget_breaches": audit.budget_breaches,
    });
    Ok(Shared { served: total, report, samples: run.usage.samples().to_vec() })
}

/// VMs in service per pool, without those that were moved less than the assignment time ago.
fn serving(run: &Run) -> BTreeMap<PoolId, u32> {
    let mut serving = BTreeMap::new();
    for vm in run.state.vms.values() {
        if vm.phase.is_active() && run.now >= vm.moved + ASSIGN {
            *serving.entry(vm.pool.clone()).or_default() += 1;
        }
    }
    serving
}
