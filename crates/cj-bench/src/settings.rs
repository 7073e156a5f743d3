//! `settings`: time until a published setting is in force on all nodes while one of them is cut off from the log.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use ed25519_dalek::SigningKey;
use futures::future::LocalBoxFuture;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

use cj_log::{
    InjectedFaults, MemoryLog, RecordSource, RelayPage, Replica, ReplicaOptions, RuntimeClock,
    SETTINGS_COPY_KEY,
};
use cj_member::{PeerView, Report, ViewOptions};
use cj_record::{SettingRecord, SignedSetting};
use cj_types::{
    Clock, Incarnation, NodeIncarnation, Offset, Result, StreamId, Version, rendezvous,
};

use crate::{
    Options,
    append::round,
    virtual_time::{self, Durations, START},
};

const DEFAULT_NODES: u32 = 9;
const LOG_DELAY: Duration = Duration::from_millis(5);
const PEER_DELAY: Duration = Duration::from_millis(2);
/// Length of one outage of the cut-off node and of the time between two.
const OUTAGE: Duration = Duration::from_secs(60);
const BETWEEN: Duration = Duration::from_secs(30);
const OUTAGES: u32 = 10;
/// Design capacity: 12,000 settings changes a day are one in 7.2 s.
const MEAN_GAP: Duration = Duration::from_millis(7200);
const SAMPLE: Duration = Duration::from_millis(100);

type Node = Rc<Replica<MemoryLog, RuntimeClock>>;

/// Peers of one node in this process: their reports come with real heartbeat intervals, records with a delay.
struct Peers {
    view: RefCell<PeerView>,
    clock: RuntimeClock,
    nodes: RefCell<BTreeMap<String, Node>>,
    relay: Cell<bool>,
}

impl RecordSource for Peers {
    fn records<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> LocalBoxFuture<'a, Option<RelayPage>> {
        Box::pin(async move {
            sleep(PEER_DELAY).await;
            let peer = self.furthest()?;
            let page = peer.records(stream, from, max_bytes).await;
            sleep(PEER_DELAY).await;
            page
        })
    }

    fn applied_offset(&self) -> Offset {
        if !self.relay.get() {
            return Offset(0);
        }
        let view = self.view.borrow();
        let live = view.live(self.clock.now());
        live.iter().map(|p| p.report.applied).max().unwrap_or_default()
    }
}

impl Peers {
    fn furthest(&self) -> Option<Node> {
        let view = self.view.borrow();
        let live = view.live(self.clock.now());
        let peer = live.iter().max_by_key(|p| p.report.applied)?;
        self.nodes.borrow().get(peer.report.node.node.as_str()).cloned()
    }
}

struct Run {
    in_force: Durations,
    late: u64,
    published: u64,
    stale: Duration,
}

/// Measures settings propagation with one node cut off from the log, with and without the relay.
pub fn run(options: &Options) -> Result<Value> {
    let nodes = options.nodes.unwrap_or(DEFAULT_NODES);
    let mut rows = Vec::new();
    let names: Vec<String> = (0..nodes).map(|n| format!("entry-{n}")).collect();
    let owner = rendezvous::owner(SETTINGS_COPY_KEY, names.iter().map(String::as_str));
    let owner = names.iter().position(|n| Some(n.as_str()) == owner).unwrap_or(0);
    let other = (owner + 1) % names.len();
    let cases = [
        ("none", None, true),
        ("the owner of copies", Some(owner), true),
        ("another node", Some(other), true),
        ("the owner of copies", Some(owner), false),
        ("another node", Some(other), false),
    ];
    for (name, cut, relay) in cases {
        let run = virtual_time::run(measure(options.seed, nodes, cut, relay))??;
        rows.push(json!({
            "cut_off": name,
            "relay": relay,
            "published": run.published,
            "in_force_on_all": run.in_force.count(),
            "p50_ms": round(run.in_force.millis(0.5)),
            "p99_ms": round(run.in_force.millis(0.99)),
            "max_ms": round(run.in_force.millis(1.0)),
            "over_3_s": run.late,
            "stale_s_of_cut_off": round(run.stale.as_secs_f64()),
        }));
    }
    let cut_s = (OUTAGE * OUTAGES).as_secs();
    Ok(json!({ "nodes": nodes, "cut_off_s": cut_s, "rows": rows }))
}

async fn measure(seed: u64, count: u32, cut: Option<usize>, relay: bool) -> Result<Run> {
    let key = SigningKey::from_bytes(&[7; 32]);
    let log = MemoryLog::new(seed);
    log.set_faults(InjectedFaults { delay: LOG_DELAY, ..InjectedFaults::default() });
    let cut_off = log.new_handle();
    cut_off.set_faults(InjectedFaults { delay: LOG_DELAY, ..InjectedFaults::default() });
    let clock = RuntimeClock::new(START);
    let (mut nodes, mut peers) = (Vec::new(), Vec::new());
    for n in 0..count {
        let handle = if cut == Some(n as usize) { cut_off.clone() } else { log.clone() };
        let (node, source) = start(handle, clock, &key, seed, n).await?;
        source.relay.set(relay);
        nodes.push(node);
        peers.push(source);
    }
    for (name, node) in nodes.iter().enumerate() {
        for peer in &peers {
            peer.nodes.borrow_mut().insert(format!("entry-{name}"), node.clone());
        }
    }
    let (beating, own) = (peers.clone(), nodes.clone());
    spawn_local(async move { beat(&beating, &own).await });
    sleep(Duration::from_secs(5)).await;
    let end = clock.now() + (OUTAGE + BETWEEN) * OUTAGES;
    if cut.is_some() {
        spawn_local(interrupt(cut_off));
    }
    publish(&log, &key, seed, &nodes, cut.unwrap_or(0), end.into()).await
}

async fn start(
    log: MemoryLog,
    clock: RuntimeClock,
    key: &SigningKey,
    seed: u64,
    number: u32,
) -> Result<(Node, Rc<Peers>)> {
    let incarnation = Incarnation(seed.wrapping_mul(1000) + u64::from(number) + 1);
    let node = NodeIncarnation { node: format!("entry-{number}").parse()?, incarnation };
    let view = PeerView::new(report(&node, number)?, ViewOptions::default());
    let source = Rc::new(Peers {
        view: RefCell::new(view),
        clock,
        nodes: RefCell::default(),
        relay: Cell::new(true),
    });
    let owners = source.clone();
    let id = node.node.clone();
    let mut options = ReplicaOptions::new(node, "north".parse()?);
    options.office_keys =
        BTreeMap::from([("north".parse()?, vec![key.verifying_key().to_bytes()])]);
    options.is_owner = Rc::new(move |key| owners.view.borrow().owner(key, clock.now()) == id);
    options.peer_source = Some(source.clone());
    let replica = Replica::start(log, clock, options).await?;
    spawn_local(replica.clone().run());
    Ok((replica, source))
}

fn report(node: &NodeIncarnation, number: u32) -> Result<Report> {
    let address = ([127, 0, 0, 1], number as u16).into();
    Ok(Report::new("bench".into(), node.clone(), address, "dc-1".parse()?))
}

/// Heartbeats: every node tells all others once per interval, at its own phase.
async fn beat(peers: &[Rc<Peers>], nodes: &[Node]) {
    let phase = ViewOptions::default().interval / peers.len() as u32;
    loop {
        for (peer, node) in peers.iter().zip(nodes) {
            sleep(phase).await;
            let now = peer.clock.now();
            let report = {
                let mut view = peer.view.borrow_mut();
                view.tick(now);
                let state = node.state();
                let own = view.own_mut();
                (own.applied, own.settings) = (state.next, state.settings_next);
                (own.hash_at, own.hash) = (state.next, state.hash);
                own.clone()
            };
            for other in peers {
                other.view.borrow_mut().receive(report.clone(), now);
            }
        }
    }
}

async fn interrupt(log: MemoryLog) {
    for _ in 0..OUTAGES {
        let down =
            InjectedFaults { read_down: true, append_down: true, ..InjectedFaults::default() };
        log.set_faults(down);
        sleep(OUTAGE).await;
        log.set_faults(InjectedFaults { delay: LOG_DELAY, ..InjectedFaults::default() });
        sleep(BETWEEN).await;
    }
}

async fn publish(
    log: &MemoryLog,
    key: &SigningKey,
    seed: u64,
    nodes: &[Node],
    cut: usize,
    end: Instant,
) -> Result<Run> {
    let mut run = Run { in_force: Durations::new(), late: 0, published: 0, stale: Duration::ZERO };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut open: VecDeque<(Offset, Instant)> = VecDeque::new();
    let stream: StreamId = "settings".parse()?;
    let mut next = Instant::now();
    let mut sampled = Instant::now();
    let last = end + OUTAGE;
    while Instant::now() < end || (!open.is_empty() && Instant::now() < last) {
        let now = Instant::now();
        if now >= next && now < end {
            let offset = log.store(&stream, signed(key, run.published)?);
            run.published += 1;
            open.push_back((offset, now));
            next = now + MEAN_GAP.mul_f64(-(1.0 - rng.random::<f64>()).ln());
        }
        let in_force = nodes.iter().map(|n| n.state().settings_next).min().unwrap_or_default();
        while let Some((_, since)) = open.pop_front_if(|(offset, _)| *offset < in_force) {
            run.in_force.add(now - since);
            run.late += u64::from(now - since > Duration::from_secs(3));
        }
        if now - sampled >= SAMPLE {
            let newest = nodes.iter().map(|n| n.state().next).max().unwrap_or_default();
            if nodes[cut].state().next < newest {
                run.stale += now - sampled;
            }
            sampled = now;
        }
        sleep(Duration::from_millis(1)).await;
    }
    run.late += open.len() as u64;
    Ok(run)
}

fn signed(key: &SigningKey, number: u64) -> Result<Vec<u8>> {
    let record = SettingRecord {
        path: "north/team/t/weight".parse()?,
        value: Some("3".into()),
        expected: Version(number),
        nonce: number,
    };
    SignedSetting::sign(&record, key)?.encode()
}
