//! `membership`: three ways to know the live nodes, by bytes per second and node and by the time to detect a stopped node.
//!
//! The nodes run in this process under virtual time with the real view, gossip core and message encoding. Bytes are those
//! of the encoded messages, sent and received; framing by tarpc and TCP is not counted, so the number of messages is given
//! too.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::{Value, json};

use cj_member::{
    Gossip, Report, ViewOptions,
    wire::{self, Answer, Request},
};
use cj_record::{BatchHeader, MAX_BATCH_BYTES};
use cj_types::{Error, Incarnation, NodeIncarnation, Offset, Result, Sequence, UnixMillis};

use crate::{Options, append::round, virtual_time::Durations};

const SIZES: [u32; 3] = [9, 100, 400];
const INTERVAL: Duration = Duration::from_millis(500);
const MISSED: u32 = 4;
/// Gossip delays reports by several rounds, so more of them may be missing; the least value without a false suspicion is
/// used.
const GOSSIP_MISSED: [u32; 6] = [4, 8, 12, 16, 24, 32];
const STEP: Duration = Duration::from_millis(10);
const WARM_UP: Duration = Duration::from_secs(10);
const STEADY: Duration = Duration::from_secs(10);
const DETECT_LIMIT: Duration = Duration::from_secs(120);
const STOPS: u32 = 5;
/// Draining upstreams whose in-flight counts a report carries.
const DRAINING: u32 = 4;
/// Share of the log's 300 appends a second that heartbeats may take.
const LOG_APPENDS_PER_S: f64 = 60.0;
/// Time from appending a heartbeat to reading it on every node.
const LOG_DELAY: Duration = Duration::from_millis(20);
const KEY: wire::PeerKey = [1; 32];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    AllToAll,
    Gossip,
    Log,
}

#[derive(Clone, Copy, Default)]
struct Traffic {
    bytes: u64,
    messages: u64,
    appends: u64,
}

impl Traffic {
    /// Counts a message at its sender and at its receiver.
    fn count(&mut self, bytes: usize) {
        self.bytes += 2 * bytes as u64;
        self.messages += 2;
    }
}

#[derive(Clone)]
struct Fleet {
    way: Way,
    nodes: Vec<Gossip>,
    running: Vec<bool>,
    next: Vec<Duration>,
    interval: Duration,
    in_log: Vec<(Duration, usize, Report)>,
    base: Instant,
    now: Duration,
    traffic: Traffic,
    rng: Pcg64Mcg,
}

/// Compares all-to-all heartbeats, gossip and heartbeats through the log at 9, 100 and 400 nodes.
pub fn run(options: &Options) -> Result<Value> {
    let sizes = options.nodes.map_or(SIZES.to_vec(), |n| vec![n]);
    let mut rows = Vec::new();
    for size in sizes {
        for way in [Way::AllToAll, Way::Gossip, Way::Log] {
            rows.push(measure(way, size, options.seed)?);
        }
    }
    Ok(json!({ "interval_ms": INTERVAL.as_millis() as u64, "rows": rows }))
}

fn measure(way: Way, size: u32, seed: u64) -> Result<Value> {
    let candidates: &[u32] = if way == Way::Gossip { &GOSSIP_MISSED } else { &[MISSED] };
    let mut last = None;
    for missed in candidates {
        let mut fleet = Fleet::new(way, size, *missed, seed)?;
        let false_suspicions = fleet.steady()?;
        let row = fleet.report(*missed, false_suspicions)?;
        last = Some(row);
        if false_suspicions == 0 {
            break;
        }
    }
    last.ok_or_else(|| Error::invalid("fleet", "no candidate", "give at least one"))
}

impl Fleet {
    fn new(way: Way, size: u32, missed: u32, seed: u64) -> Result<Self> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let by_log = Duration::from_secs_f64(f64::from(size) / LOG_APPENDS_PER_S);
        let interval = if way == Way::Log { INTERVAL.max(by_log) } else { INTERVAL };
        let options = ViewOptions { interval, missed, ..ViewOptions::default() };
        let (base, now) = (Instant::now(), Duration::ZERO);
        let reports = (0..size).map(report).collect::<Result<Vec<_>>>()?;
        let mut nodes: Vec<Gossip> =
            reports.iter().map(|r| Gossip::new(r.clone(), options)).collect();
        for node in &mut nodes {
            node.merge(reports.clone(), base);
        }
        let next = nodes.iter().map(|_| interval.mul_f64(rng.random())).collect();
        let running = vec![true; nodes.len()];
        let (traffic, in_log) = (Traffic::default(), Vec::new());
        Ok(Fleet { way, nodes, running, next, interval, in_log, base, now, traffic, rng })
    }

    /// Runs without failures; returns how often a running node was suspected.
    fn steady(&mut self) -> Result<u64> {
        let warm_up = self.now + WARM_UP;
        while self.now < warm_up {
            self.step()?;
        }
        self.traffic = Traffic::default();
        let end = self.now + STEADY;
        let mut suspicions = 0;
        while self.now < end {
            self.step()?;
            if self.now.as_millis().is_multiple_of(INTERVAL.as_millis()) {
                suspicions += self.false_suspicions();
            }
        }
        Ok(suspicions)
    }

    fn false_suspicions(&self) -> u64 {
        let now = self.base + self.now;
        let missing = |g: &Gossip| self.nodes.len() - 1 - g.view.live(now).len();
        self.nodes.iter().map(missing).sum::<usize>() as u64
    }

    fn report(&mut self, missed: u32, false_suspicions: u64) -> Result<Value> {
        let traffic = self.traffic;
        let mut detected = Durations::new();
        let mut undetected = 0;
        for _ in 0..STOPS {
            let mut fleet = self.clone();
            fleet.rng = Pcg64Mcg::seed_from_u64(self.rng.random());
            match fleet.stop_one()? {
                Some(times) => times.into_iter().for_each(|t| detected.add(t)),
                None => undetected += 1,
            }
        }
        let seconds = STEADY.as_secs_f64();
        let size = self.nodes.len() as f64;
        Ok(json!({
            "nodes": self.nodes.len(),
            "way": format!("{:?}", self.way),
            "interval_ms": self.interval.as_millis() as u64,
            "missed": missed,
            "bytes_per_s_per_node": round(traffic.bytes as f64 / seconds / size),
            "messages_per_s_per_node": round(traffic.messages as f64 / seconds / size),
            "log_appends_per_s": round(traffic.appends as f64 / seconds),
            "detection_p50_ms": round(detected.millis(0.5)),
            "detection_max_ms": round(detected.millis(1.0)),
            "undetected": undetected,
            "false_suspicions": false_suspicions,
        }))
    }

    /// Stops a node and waits until all others suspect it.
    fn stop_one(mut self) -> Result<Option<Vec<Duration>>> {
        let phase = self.now + INTERVAL.mul_f64(self.rng.random());
        while self.now < phase {
            self.step()?;
        }
        let stopped = self.rng.random_range(0..self.nodes.len());
        let id = self.nodes[stopped].view.own().node.node.clone();
        self.running[stopped] = false;
        let begin = self.now;
        let mut times = vec![None; self.nodes.len()];
        while self.now < begin + DETECT_LIMIT && times.iter().flatten().count() + 1 < times.len() {
            self.step()?;
            let now = self.base + self.now;
            for (i, time) in
                times.iter_mut().enumerate().filter(|(i, t)| *i != stopped && t.is_none())
            {
                let peer = self.nodes[i].view.peer(&id);
                if peer.is_none_or(|p| self.nodes[i].view.is_suspect(p, now)) {
                    *time = Some(self.now - begin);
                }
            }
        }
        let times: Vec<Duration> = times.into_iter().flatten().collect();
        Ok(Some(times).filter(|t| t.len() + 1 == self.nodes.len()))
    }

    fn step(&mut self) -> Result<()> {
        self.now += STEP;
        self.read_log();
        for i in 0..self.nodes.len() {
            if self.next[i] > self.now {
                continue;
            }
            self.next[i] += self.interval;
            if self.running[i] {
                self.nodes[i].view.tick(self.base + self.now);
                self.beat(i)?;
            }
        }
        Ok(())
    }

    fn beat(&mut self, node: usize) -> Result<()> {
        match self.way {
            Way::AllToAll => self.call_all(node),
            Way::Gossip => self.gossip(node),
            Way::Log => self.append(node),
        }
    }

    fn call_all(&mut self, node: usize) -> Result<()> {
        let now = self.base + self.now;
        // Nodes are numbered in the order of their ids, so the address of a peer is its index.
        let due: Vec<usize> =
            self.nodes[node].view.due(now).map(|p| p.report.address.port() as usize).collect();
        for peer in due {
            let report = self.nodes[node].view.own().clone();
            let request = Request::Heartbeat { report: report.clone(), addresses_hash: 0 };
            let sealed = wire::authenticate_request(&KEY, &request)?;
            self.traffic.count(size(&sealed)?);
            if !self.running[peer] {
                continue;
            }
            self.nodes[peer].view.receive(report, now);
            let report = self.nodes[peer].view.own().clone();
            let answer = Answer::Heartbeat { report: report.clone(), addresses: Vec::new() };
            self.traffic.count(size(&wire::authenticate_answer(&KEY, &sealed.tag, &answer)?)?);
            self.nodes[node].view.receive(report, now);
        }
        Ok(())
    }

    /// Exchanges version vectors with one random peer.
    fn gossip(&mut self, node: usize) -> Result<()> {
        let now = self.base + self.now;
        let peer = self.rng.random_range(0..self.nodes.len() - 1);
        let peer = if peer >= node { peer + 1 } else { peer };
        let versions = self.nodes[node].versions();
        self.traffic.count(size(&versions)? + tag_bytes());
        if !self.running[peer] {
            return Ok(());
        }
        let difference = self.nodes[peer].compare(&versions);
        self.traffic.count(size(&difference)? + tag_bytes());
        let wanted = self.nodes[node].select(&difference.requested);
        self.traffic.count(size(&wanted)? + tag_bytes());
        self.nodes[node].merge(difference.reports, now);
        self.nodes[peer].merge(wanted, now);
        Ok(())
    }

    fn append(&mut self, node: usize) -> Result<()> {
        let report = self.nodes[node].view.own().clone();
        let (seq, at) = (Sequence(report.counter), UnixMillis(self.now.as_millis() as u64));
        let header = BatchHeader { writer: report.node.clone(), seq, at };
        let bytes = size(&header)? + size(&report)?;
        assert!(bytes <= MAX_BATCH_BYTES, "a heartbeat fits into one record");
        self.traffic.appends += 1;
        self.traffic.messages += 1;
        self.traffic.bytes += bytes as u64;
        self.in_log.push((self.now + LOG_DELAY, bytes, report));
        Ok(())
    }

    fn read_log(&mut self) {
        let due = |r: &mut (Duration, usize, Report)| r.0 <= self.now;
        let read: Vec<_> = self.in_log.extract_if(.., due).collect();
        let now = self.base + self.now;
        for (_, bytes, report) in read {
            for (node, running) in self.nodes.iter_mut().zip(&self.running) {
                if *running {
                    self.traffic.bytes += bytes as u64;
                    node.view.receive(report.clone(), now);
                }
            }
        }
    }
}

fn report(number: u32) -> Result<Report> {
    let in_flight = (0..DRAINING)
        .map(|n| Ok((format!("minion-{n}").parse()?, 3 + n)))
        .collect::<Result<BTreeMap<_, _>>>()?;
    let node = NodeIncarnation {
        node: format!("entry-{number:03}").parse()?,
        incarnation: Incarnation(u64::MAX / 3 + u64::from(number)),
    };
    let address = ([127, 0, 0, 1], number as u16).into();
    Ok(Report {
        counter: 100_000,
        applied: Offset(5_000_000),
        settings: Offset(40_000),
        hash_at: Offset(5_000_000),
        hash: [7; 32],
        in_flight,
        ..Report::new("kartica".into(), node, address, "dc-1".parse()?)
    })
}

fn tag_bytes() -> usize {
    wire::Tag::default().len()
}

fn size<T>(message: &T) -> Result<usize>
where
    T: Serialize,
{
    let encoded = postcard::to_stdvec(message);
    encoded.map(|b| b.len()).map_err(|e| Error::decode("message", e.to_string()))
}
