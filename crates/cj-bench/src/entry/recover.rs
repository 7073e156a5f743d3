//! Recovery after the loss of all nodes: the time until the first start command, by number of open jobs.

use std::time::Duration;

use cj_types::{Millicores, Result};
use serde_json::{Value, json};

use super::{fleet::Site, platform::Condition};
use crate::{Options, virtual_time};

/// Numbers of open jobs when all nodes are lost.
const OPEN_JOBS: [u32; 3] = [100, 1_000, 10_000];

/// Default number of nodes that start after the loss.
const NODES: u32 = 3;

/// Default number of workers; few, so that most jobs are open when the nodes are lost.
const WORKERS: u32 = 1;

/// Processor time of a node.
const NODE_CORES: Millicores = Millicores(250);

/// Estimated run time of a task.
const TASK_ESTIMATE: Duration = Duration::from_millis(500);

/// Number of jobs submitted together.
const BATCH_JOBS: u32 = 400;

/// Time between two batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for the first start command.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks for a start command.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Kills all nodes with 100, 1,000 and 10,000 open jobs, and starts others. Reports for each number of jobs the time in ms to
/// the first start command of the next owner, and the bytes read from the store until then.
///
/// # Errors
///
/// Fails if the runtime can't be started.
pub fn run(options: &Options) -> Result<Value> {
    let rows: Result<Vec<Value>> =
        OPEN_JOBS.iter().map(|jobs| virtual_time::run(simulate(*jobs, options))).collect();
    Ok(json!({ "recover": rows? }))
}

async fn simulate(jobs: u32, options: &Options) -> Value {
    let mut site = Site::new(options.workers.unwrap_or(WORKERS), options.seed);
    site.add_node(NODE_CORES);
    while site.owner().is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for batch in 0..jobs.div_ceil(BATCH_JOBS) {
        let count = BATCH_JOBS.min(jobs - batch * BATCH_JOBS);
        (0..count).for_each(|_| site.submit(1, TASK_ESTIMATE));
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
    while !site.is_accepted() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let (open, epoch) = (site.unfinished(), site.epoch());
    site.peers.iter().for_each(|peer| peer.link.set(Condition::Killed));
    let store = site.fleet.borrow().store.clone();
    let (begun, bytes) = (tokio::time::Instant::now(), store.read_bytes.get());
    for _ in 0..options.nodes.unwrap_or(NODES) {
        site.add_node(NODE_CORES);
    }
    let first_start = |site: &Site| {
        let fleet = site.fleet.borrow();
        fleet.first_starts.iter().find(|(token, _)| **token > epoch).map(|(_, at)| *at - begun)
    };
    while first_start(&site).is_none() && begun.elapsed() < START_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    json!({
        "open_jobs": open,
        "first_order_ms": first_start(&site).map(|took| took.as_millis() as u64),
        "read_bytes": store.read_bytes.get() - bytes,
    })
}
