//! Owners that fail every few seconds during a maintenance wave, among nodes of which few have the processor time of an owner.

use std::{rc::Rc, time::Duration};

use cj_types::{Millicores, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::{
    fleet::Site,
    platform::{Condition, Link},
};
use crate::{Options, virtual_time};

/// Number of simulated runs.
const TRIALS: u64 = 6;

/// Number of nodes with the processor time of an owner.
const STRONG_NODES: usize = 4;

/// Default number of nodes without it.
const WEAK_NODES: u32 = 10;

const STRONG_CORES: Millicores = Millicores(500);
const WEAK_CORES: Millicores = Millicores(120);

/// Default number of workers.
const WORKERS: u32 = 40;

/// Maximum number of VMs off for the wave at once.
const WAVE_CAP: u32 = 3;

/// Number of faults in a run.
const FAULTS: u32 = 10;

/// Duration of a fault. A later owner has requested the maintenance of the same VMs by its end.
const FAULT_DURATION: Duration = Duration::from_millis(4_200);

/// Range of the time between the starts of two faults, in ms.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 1_900..4_600;

/// Time under load before the first fault.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time for all jobs to end after the last submission.
const SETTLE: Duration = Duration::from_secs(30);

/// Time between two submissions.
const JOB_GAP: Duration = Duration::from_millis(50);

/// Estimated run time of a task.
const TASK_ESTIMATE: Duration = Duration::from_millis(600);

/// Number of tasks of a job.
const JOB_TASKS: u32 = 4;

/// Results of a run.
#[derive(Default)]
struct Outcome {
    doubled: usize,
    lost: usize,
    stale_commands: usize,
    weak_owners: usize,
    takeovers: u64,
    maintained: usize,
}

/// Freezes or cuts off the owner every few seconds; half of the faults freeze it between its decision on a maintenance command
/// and the sending. `doubled` counts tasks that completed twice, `lost` accepted jobs that aren't completed, `stale_calls`
/// commands for a VM that arrive after one of a later owner, `weak_owners` the faults at which a weak node was the owner, and
/// `maintained` the maintained VMs; all are sums over the runs.
///
/// # Errors
///
/// Fails if the runtime can't be started.
pub fn run(options: &Options) -> Result<Value> {
    let mut sum = Outcome::default();
    for trial in 0..TRIALS {
        let outcome = virtual_time::run(simulate(options, options.seed * 1_000 + trial))?;
        sum.doubled += outcome.doubled;
        sum.lost += outcome.lost;
        sum.stale_commands += outcome.stale_commands;
        sum.weak_owners += outcome.weak_owners;
        sum.takeovers += outcome.takeovers;
        sum.maintained += outcome.maintained;
    }
    Ok(json!({
        "doubled": sum.doubled,
        "lost": sum.lost,
        "stale_calls": sum.stale_commands,
        "weak_owners": sum.weak_owners,
        "takeovers": sum.takeovers,
        "maintained": sum.maintained,
        "trials": TRIALS,
    }))
}

async fn simulate(options: &Options, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::new(options.workers.unwrap_or(WORKERS), seed);
    for _ in 0..STRONG_NODES {
        site.add_node(STRONG_CORES);
    }
    for _ in 0..options.nodes.unwrap_or(WEAK_NODES) {
        site.add_node(WEAK_CORES);
    }
    load(&site, WARM_UP).await;
    site.fleet.borrow_mut().request_wave(WAVE_CAP);
    let mut weak_owners = 0;
    for _ in 0..FAULTS {
        if let Some(&owner) = site.owners().first() {
            weak_owners += usize::from(owner >= STRONG_NODES);
            let fault = rng.random_range(0..4);
            tokio::task::spawn_local(inject_fault(site.peers[owner].link.clone(), fault));
        }
        load(&site, Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS))).await;
    }
    tokio::time::sleep(SETTLE).await;
    let fleet = site.fleet.borrow();
    Outcome {
        doubled: fleet.doubled(),
        lost: site.unfinished(),
        stale_commands: fleet.maintenance.stale_commands,
        weak_owners,
        takeovers: site.peers.iter().map(|peer| peer.node.metrics.takeovers.get()).sum(),
        maintained: fleet.maintenance.maintained.len(),
    }
}

/// Applies a fault to a node, and removes it after [`FAULT_DURATION`].
async fn inject_fault(link: Rc<Link>, fault: u32) {
    match fault {
        0 => link.set(Condition::Cut),
        1 => link.set(Condition::Frozen),
        _ => link.freeze_before_send.set(true),
    }
    tokio::time::sleep(FAULT_DURATION).await;
    link.freeze_before_send.set(false);
    link.set(Condition::Healthy);
}

/// Submits jobs at a steady rate for this duration.
async fn load(site: &Site, duration: Duration) {
    let end = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < end {
        site.submit(JOB_TASKS, TASK_ESTIMATE);
        tokio::time::sleep(JOB_GAP).await;
    }
}
