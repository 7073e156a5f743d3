//! Takeovers of the fleet: how long until the next owner has called all workers.

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

/// Takeovers of each kind.
const TRIALS: u64 = 20;

/// Entry nodes unless the options say otherwise.
const NODES: u32 = 7;

/// Workers unless the options say otherwise.
const WORKERS: u32 = 24;

/// Processor time of a node, in thousandths of a core.
const NODE_CORES: Millicores = Millicores(250);

/// Time between two jobs.
const JOB_GAP: Duration = Duration::from_millis(60);

/// Estimated run time of most tasks.
const TASK_ESTIMATE: Duration = Duration::from_millis(500);

/// Estimated run time of the tasks of some jobs, which run on while the owner is replaced.
const LONG_TASK_ESTIMATE: Duration = Duration::from_secs(4);

/// Share of such jobs.
const LONG_SHARE: f64 = 0.1;

/// Tasks of a job.
const JOB_TASKS: u32 = 4;

/// Least time before the fault.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time that the fault lasts, and jobs go on to arrive.
const FAULT_DURATION: Duration = Duration::from_secs(7);

/// End of that time in which an owner that was replaced should be quiet.
const QUIET_PERIOD: Duration = Duration::from_secs(3);

/// Time for all jobs to end.
const SETTLE: Duration = Duration::from_secs(15);

/// Time between two looks whether all workers were called.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What happens to the owner.
#[derive(Clone, Copy)]
enum Fault {
    /// It shuts down.
    Planned,
    /// Its process or network is in this condition.
    Broken(Condition),
}

const FAULTS: &[(&str, Fault)] = &[
    ("planned", Fault::Planned),
    ("kill", Fault::Broken(Condition::Killed)),
    ("freeze", Fault::Broken(Condition::Frozen)),
    ("cut", Fault::Broken(Condition::Cut)),
    ("store_refused", Fault::Broken(Condition::Refused)),
];

/// What one takeover took.
struct Outcome {
    /// `None` when no other node called all workers in time.
    took: Option<Duration>,
    lapsed: f64,
    calls: u64,
    /// Appends that the earlier owner tried long after it was replaced.
    stale_appends: u64,
    doubled: usize,
    lost: usize,
}

/// Takes the owner away in several ways, under a steady load. Times are in ms from the fault to the first call of the last
/// worker by another owner, `lapsed_core_s` is the work of runs whose lease lapsed, `store_calls` the calls of all nodes
/// while the fault lasted, both as means of a takeover. `stale_appends` are those of an owner that can't reach the store, long
/// after it was replaced.
///
/// # Errors
///
/// The runtime can't be started.
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

/// Submits jobs for some time.
async fn load(site: &Site, rng: &mut Pcg64Mcg, duration: Duration) {
    let end = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < end {
        let long = rng.random_bool(LONG_SHARE);
        site.submit(JOB_TASKS, if long { LONG_TASK_ESTIMATE } else { TASK_ESTIMATE });
        tokio::time::sleep(JOB_GAP).await;
    }
}
