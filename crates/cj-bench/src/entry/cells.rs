//! A fleet of several cells whose owners fail one after the other.

use std::time::Duration;

use cj_types::{Millicores, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::{fleet::Site, platform::Condition};
use crate::{Options, virtual_time};

/// Number of simulated runs.
const TRIALS: u64 = 6;

/// Default number of entry nodes.
const NODES: u32 = 9;

/// Default number of workers.
const WORKERS: u32 = 24;

/// Processor time of a node.
const NODE_CORES: Millicores = Millicores(250);

/// Bandwidth of a node's link in Mbit/s; it is enough for a third of the workers.
const NODE_LINK_MBPS: f64 = 0.25;

/// Number of faults in a run.
const FAULTS: u32 = 7;

/// Number of the faults in a run that kill a node for good; the other nodes recover.
const KILLS: u32 = 2;

/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_millis(2_600);

/// Time between the end of a fault and the start of the next one.
const FAULT_GAP: Duration = Duration::from_millis(900);

/// Time under load before the first fault.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time for all jobs to end after the last submission.
const SETTLE: Duration = Duration::from_secs(25);

/// Time between two submissions.
const JOB_GAP: Duration = Duration::from_millis(50);

/// Estimated run time of a task.
const TASK_ESTIMATE: Duration = Duration::from_millis(600);

/// Number of tasks of a job.
const JOB_TASKS: u32 = 4;

/// Results of a run.
#[derive(Default)]
struct Outcome {
    cells: usize,
    doubled: usize,
    lost: usize,
    without_owner: usize,
    takeovers: u64,
}

/// Lets owners of cells fail in turn under a steady load. `doubled` counts tasks that completed twice, `lost` accepted jobs
/// that aren't completed, `without_owner` cells without an owner at the end, and `takeovers` the ownerships of all cells; all
/// are sums over the runs.
///
/// # Errors
///
/// Fails if the runtime can't be started.
pub fn run(options: &Options) -> Result<Value> {
    let mut sum = Outcome::default();
    for trial in 0..TRIALS {
        let outcome = virtual_time::run(simulate(options, options.seed * 1_000 + trial))?;
        sum.cells = outcome.cells;
        sum.doubled += outcome.doubled;
        sum.lost += outcome.lost;
        sum.without_owner += outcome.without_owner;
        sum.takeovers += outcome.takeovers;
    }
    Ok(json!({
        "cells": sum.cells,
        "doubled": sum.doubled,
        "lost": sum.lost,
        "without_owner": sum.without_owner,
        "takeovers": sum.takeovers,
        "trials": TRIALS,
    }))
}

async fn simulate(options: &Options, seed: u64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site::with_links(options.workers.unwrap_or(WORKERS), seed, NODE_LINK_MBPS);
    for _ in 0..options.nodes.unwrap_or(NODES) {
        site.add_node(NODE_CORES);
    }
    load(&site, WARM_UP).await;
    for number in 0..FAULTS {
        let owners = site.owners();
        let Some(&owner) = owners.get(rng.random_range(0..owners.len().max(1))) else { continue };
        let conditions = [Condition::Frozen, Condition::Cut, Condition::Refused];
        let killed = number >= FAULTS - KILLS;
        let condition = if killed {
            Condition::Killed
        } else {
            conditions[rng.random_range(0..conditions.len())]
        };
        site.peers[owner].link.set(condition);
        load(&site, FAULT_DURATION).await;
        if !killed {
            site.peers[owner].link.set(Condition::Healthy);
        }
        load(&site, FAULT_GAP).await;
    }
    tokio::time::sleep(SETTLE).await;
    let cells = site.peers[0].node.members().len();
    let owned = site.owned_cells();
    Outcome {
        cells,
        doubled: site.fleet.borrow().doubled(),
        lost: site.unfinished(),
        without_owner: cells - owned,
        takeovers: site.peers.iter().map(|peer| peer.node.metrics.takeovers.get()).sum(),
    }
}

/// Submits jobs at a steady rate for this duration.
async fn load(site: &Site, duration: Duration) {
    let end = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < end {
        site.submit(JOB_TASKS, TASK_ESTIMATE);
        tokio::time::sleep(JOB_GAP).await;
    }
}
