//! Helpers shared by the tests of the log: a runtime with virtual time, and replicas on one in-memory log.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::{collections::BTreeMap, future::Future, rc::Rc, time::Duration};

use cj_fold::{Applied, State};
use cj_log::{MemoryLog, Replica, ReplicaOptions, RuntimeClock};
use cj_record::{Batch, Entry};
use cj_types::{Incarnation, JobId, NodeIncarnation, StreamId, UnixMillis};

pub type Node = Rc<Replica<MemoryLog, RuntimeClock>>;

pub const START: UnixMillis = UnixMillis(1_700_000_000_000);
pub const SECOND: Duration = Duration::from_secs(1);

/// Runs a future with virtual time: sleeps end at once, in the order of their deadlines.
pub fn run<F: Future>(future: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

pub fn region() -> StreamId {
    "region-north".parse().unwrap()
}

pub fn snapshots() -> StreamId {
    "snapshot-north".parse().unwrap()
}

pub fn settings() -> StreamId {
    "settings".parse().unwrap()
}

pub fn options(name: &str, incarnation: u64) -> ReplicaOptions {
    let incarnation = Incarnation(incarnation);
    let node = NodeIncarnation { node: name.parse().unwrap(), incarnation };
    ReplicaOptions::new(node, "north".parse().unwrap())
}

/// Starts a replica and runs it in the background.
pub async fn start(log: &MemoryLog, options: ReplicaOptions) -> Node {
    let node = Replica::start(log.clone(), RuntimeClock::new(START), options).await.unwrap();
    tokio::task::spawn_local(node.clone().run());
    node
}

pub fn job(key: &str) -> JobId {
    JobId { caller: "tester".parse().unwrap(), key: key.parse().unwrap() }
}

/// An entry identified by its key. The fold rejects it, but it still has a position in the log.
pub fn entry(key: &str) -> Entry {
    Entry::Cancel { job: job(key) }
}

/// Folds the region stream from its start and counts how often each key is part of a batch that took effect.
pub fn committed_entries(log: &MemoryLog) -> BTreeMap<String, usize> {
    let mut state = State::new(BTreeMap::new());
    let mut counts = BTreeMap::new();
    for (offset, record) in log.records(&region()) {
        let Applied::Batch { .. } = state.apply(offset, &record) else { continue };
        for entry in Batch::decode(&record).unwrap().entries {
            if let Entry::Cancel { job } = entry {
                *counts.entry(job.key.to_string()).or_default() += 1;
            }
        }
    }
    counts
}
