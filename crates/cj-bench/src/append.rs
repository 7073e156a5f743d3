//! `append`: group commit against one record per append, on a log that takes 300 appends a second.

use std::{cell::RefCell, rc::Rc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};

use cj_log::{InjectedFaults, MemoryLog, ProposalOutcome, Replica, ReplicaOptions, RuntimeClock};
use cj_record::Entry;
use cj_types::{Incarnation, JobId, NodeIncarnation, Result};

use crate::{
    Options,
    virtual_time::{self, Durations, START},
};

const DEFAULT_NODES: u32 = 9;
const CAPACITY: u32 = 300;
const OFFERED: [u32; 3] = [50, 200, 500];
/// Round trip to the log without any queue.
const ROUND_TRIP: Duration = Duration::from_millis(3);
const RUN: Duration = Duration::from_secs(60);
const LIMIT: Duration = Duration::from_secs(30);

type Node = Rc<Replica<MemoryLog, RuntimeClock>>;

#[derive(Default)]
struct Answers {
    decided: u64,
    withdrawn: u64,
    pending: u64,
}

struct Measured {
    delays: Durations,
    answers: Answers,
}

/// Measures entries per append and the time from proposing an entry to its read-back.
pub fn run(options: &Options) -> Result<Value> {
    let nodes = options.nodes.unwrap_or(DEFAULT_NODES);
    let mut rows = Vec::new();
    for offered in OFFERED {
        for group in [true, false] {
            let row = virtual_time::run(measure(options.seed, nodes, offered, group))??;
            rows.push(row);
        }
    }
    Ok(json!({
        "nodes": nodes,
        "log_appends_per_s": CAPACITY,
        "log_round_trip_ms": ROUND_TRIP.as_millis() as u64,
        "seconds": RUN.as_secs(),
        "rows": rows,
    }))
}

async fn measure(seed: u64, count: u32, offered: u32, group: bool) -> Result<Value> {
    let log = MemoryLog::new(seed);
    let mut nodes = Vec::new();
    for n in 0..count {
        nodes.push(start(&log, seed, n, group).await?);
    }
    log.set_append_rate(CAPACITY);
    log.set_faults(InjectedFaults { delay: ROUND_TRIP, ..InjectedFaults::default() });
    let before = log.append_count();
    let answers = Answers::default();
    let measured = Rc::new(RefCell::new(Measured { delays: Durations::new(), answers }));
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = Instant::now() + RUN;
    let mut number = 0;
    let mut arrival = Instant::now();
    while arrival < end {
        // Exponential gaps between arrivals. The timer rounds up to milliseconds, so the gaps are added up here.
        let gap = -(1.0 - rng.random::<f64>()).ln() / f64::from(offered);
        arrival += Duration::from_secs_f64(gap);
        sleep_until(arrival).await;
        let node = nodes[rng.random_range(0..nodes.len())].clone();
        number += 1;
        spawn_local(propose(node, entry(number)?, measured.clone()));
    }
    let appends = log.append_count() - before;
    sleep(LIMIT + RUN).await;
    let measured = measured.borrow();
    let (sent, entries) = nodes.iter().fold((0, 0), |(sent, entries), node| {
        let stats = node.writer_stats();
        (sent + stats.batches - 1, entries + stats.entries)
    });
    Ok(json!({
        "offered_per_s": offered,
        "way": if group { "group commit" } else { "one record per append" },
        "entries_per_append": round(entries as f64 / sent.max(1) as f64),
        "appends_per_s": round(appends as f64 / RUN.as_secs_f64()),
        "delay_p50_ms": round(measured.delays.millis(0.5)),
        "delay_p99_ms": round(measured.delays.millis(0.99)),
        "decided": measured.answers.decided,
        "withdrawn": measured.answers.withdrawn,
        "pending": measured.answers.pending,
    }))
}

async fn start(log: &MemoryLog, seed: u64, number: u32, group: bool) -> Result<Node> {
    let incarnation = Incarnation(seed.wrapping_mul(1000) + u64::from(number) + 1);
    let node = NodeIncarnation { node: format!("entry-{number}").parse()?, incarnation };
    let options = ReplicaOptions::new(node, "north".parse()?);
    let replica = Replica::start(log.clone(), RuntimeClock::new(START), options).await?;
    if !group {
        replica.disable_group_commit();
    }
    spawn_local(replica.clone().run());
    Ok(replica)
}

fn entry(number: u64) -> Result<Entry> {
    let job = JobId { caller: "bench".parse()?, key: number.to_string().parse()? };
    Ok(Entry::Cancel { job })
}

async fn propose(node: Node, entry: Entry, measured: Rc<RefCell<Measured>>) {
    let begin = Instant::now();
    let answer = node.propose(entry, LIMIT).await;
    let mut measured = measured.borrow_mut();
    match answer {
        ProposalOutcome::Decided { .. } => {
            measured.answers.decided += 1;
            measured.delays.add(begin.elapsed());
        }
        ProposalOutcome::Withdrawn => measured.answers.withdrawn += 1,
        ProposalOutcome::Pending => measured.answers.pending += 1,
    }
}

/// Rounds to two decimals.
pub(crate) fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
