//! Takeovers of a cell: the time until the next owner has called all workers.

use std::time::Duration;

use cj_types::{Millicores, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Map, Value, json};

use super::{fleet::Site, platform::Condition};
use crate::{
    Options,
    virtual_time::{self, Durations},
};

/// Number of takeovers for each kind of fault.
const TRIALS: u64 = 20;

/// Default number of entry nodes.
const NODES: u32 = 7;

/// Default number of workers.
const WORKERS: u32 = 24;

/// Processor time of a node.
const NODE_CORES: Millicores = Millicores(250);

/// Time between two submissions.
const JOB_GAP: Duration = Duration::from_millis(60);

/// Estimated run time of most tasks.
const TASK_ESTIMATE: Duration = Duration::from_millis(500);

/// Estimated run time of the tasks of long jobs, which outlast the replacement of the owner.
const LONG_TASK_ESTIMATE: Duration = Duration::from_secs(4);

/// Share of long jobs.
const LONG_SHARE: f64 = 0.1;

/// Number of tasks of a job.
const JOB_TASKS: u32 = 4;

/// Minimum time under load before the fault.
const WARM_UP: Duration = Duration::from_secs(4);

/// Duration of the fault; jobs continue to arrive.
const FAULT_DURATION: Duration = Duration::from_secs(7);

/// Last part of the fault, in which a replaced owner should no longer append.
const QUIET_PERIOD: Duration = Duration::from_secs(3);

/// Time for all jobs to end after the last submission.
const SETTLE: Duration = Duration::from_secs(15);

/// Time between two checks whether all workers were called.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault of the owner.
#[derive(Clone, Copy)]
enum Fault {
    /// The owner shuts down.
    Planned,
    /// The owner's process or network gets this condition.
    Broken(Condition),
}

const FAULTS: &[(&str, Fault)] = &[
    ("planned", Fault::Planned),
    ("kill", Fault::Broken(Condition::Killed)),
    ("freeze", Fault::Broken(Condition::Frozen)),
    ("cut", Fault::Broken(Condition::Cut)),
    ("store_refused", Fault::Broken(Condition::Refused)),
];

/// Measurements of one takeover.
struct Outcome {
    /// Time until another owner had called all workers; `None` if that didn't happen during the fault.
    took: Option<Duration>,
    lapsed: f64,
    calls: u64,
    /// Appends that the replaced owner attempted during [`QUIET_PERIOD`].
    stale_appends: u64,
    doubled: usize,
    lost: usize,
}

/// Removes the owner by each kind of fault, under a steady load. Times are in ms from the fault until another owner has called
/// all workers. `lapsed_core_s` is the work of runs whose lease expired, and `store_calls` is the number of calls of all nodes
/// during the fault, both as means per takeover. `stale_appends` counts the appends that a replaced owner still attempts long
/// after the takeover.
///
/// # Errors
///
/// Fails if the runtime can't be started.
pub fn run(options: &Options) -> Result<Value> {
    let mut report = Map::new();
    for (name, fault) in FAULTS {
        let outcomes: Result<Vec<Outcome>> = (0..TRIALS)
            .map(|trial| virtual_time::run(simulate(*fault, options, options.seed * 1_000 + trial)))
            .collect();
        report.insert((*name).to_owned(), summary(&outcomes?));
    }
    Ok(Value::Object(report))
}

fn summary(outcomes: &[Outcome]) -> Value {
    let mut times = Durations::new();
    outcomes.iter().filter_map(|outcome| outcome.took).for_each(|took| times.add(took));
    let trials = outcomes.len() as f64;
    json!({
        "p50_ms": times.millis(0.5),
        "p99_ms": times.millis(0.99),
        "lapsed_core_s": outcomes.iter().map(|outcome| outcome.lapsed).sum::<f64>() / trials,
        "stale_appends": outcomes.iter().map(|outcome| outcome.stale_appends).sum::<u64>(),
        "store_calls": outcomes.iter().map(|outcome| outcome.calls).sum::<u64>() as f64 / trials,
        "doubled": outcomes.iter().map(|outcome| outcome.doubled).sum::<usize>(),
        "lost": outcomes.iter().map(|outcome| outcome.lost).sum::<usize>(),
        "trials": outcomes.len(),
        "never": outcomes.iter().filter(|outcome| outcome.took.is_none()).count(),
    })
}

async fn simulate(fault: Fault, options: &Options, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::new(options.workers.unwrap_or(WORKERS), seed);
    for _ in 0..options.nodes.unwrap_or(NODES) {
        site.add_node(NODE_CORES);
    }
    let warm_up = WARM_UP + Duration::from_millis(rng.random_range(0..1_000));
    load(&site, &mut rng, warm_up).await;
    let Some(owner) = site.owner() else {
        let lost = site.unfinished();
        return Outcome { took: None, lapsed: 0.0, calls: 0, stale_appends: 0, doubled: 0, lost };
    };
    let (begun, calls, epoch) = (tokio::time::Instant::now(), site.store_calls(), site.epoch());
    match fault {
        Fault::Planned => site.peers[owner].node.begin_shutdown(),
        Fault::Broken(condition) => site.peers[owner].link.set(condition),
    }
    let fleet = site.fleet.clone();
    let takeover = tokio::task::spawn_local(async move {
        while !fleet.borrow().all_workers_called(epoch + 1) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        begun.elapsed()
    });
    load(&site, &mut rng, FAULT_DURATION - QUIET_PERIOD).await;
    let appends = site.peers[owner].link.appends.get();
    load(&site, &mut rng, QUIET_PERIOD).await;
    let stale_appends = site.peers[owner].link.appends.get() - appends;
    let calls = site.store_calls() - calls;
    let took = if takeover.is_finished() { takeover.await.ok() } else { None };
    if matches!(fault, Fault::Broken(condition) if condition != Condition::Killed) {
        site.peers[owner].link.set(Condition::Healthy);
    }
    tokio::time::sleep(SETTLE).await;
    let fleet = site.fleet.borrow();
    let (lapsed, doubled) = (fleet.lapsed_seconds(), fleet.doubled());
    Outcome { took, lapsed, calls, stale_appends, doubled, lost: site.unfinished() }
}

/// Submits jobs at a steady rate for this duration.
async fn load(site: &Site, rng: &mut Pcg64Mcg, duration: Duration) {
    let end = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < end {
        let long = rng.random_bool(LONG_SHARE);
        site.submit(JOB_TASKS, if long { LONG_TASK_ESTIMATE } else { TASK_ESTIMATE });
        tokio::time::sleep(JOB_GAP).await;
    }
}
