//! What a node spends for control: processor time, memory, traffic and appends, from the real fold, planner, routing view
//! and heartbeat code, each measured alone and multiplied by how often a node runs it.

use std::{collections::BTreeMap, hint::black_box, time::Instant};

use serde_json::{Value, json};

use cj_fleet::{Evidence, plan_with_notices};
use cj_member::Report;
use cj_node::work::pool_view;
use cj_record::{Entry, SettingRecord, SignedSetting, VmFacts};
use cj_types::{JOB_BUCKETS, NodeId, Offset, Result, VmId, rendezvous};

use crate::{
    Options,
    fold::{Memory, Region, fold, measure_memory, slope},
};

/// Stated limits of a node for control.
const CPU_LIMIT_PERCENT: f64 = 3.9;
const MEMORY_LIMIT_MB: f64 = 64.0;
const NET_LIMIT_BYTES: f64 = 12_000.0;

const DAY_SECS: f64 = 86_400.0;
/// Settings changes a day at the design capacity.
const SETTINGS_PER_DAY: f64 = 12_000.0;
/// Failed and restarted or replaced VMs a day at 3,000 workers.
const CHANGED_VMS_PER_DAY: f64 = 24.0 + 490.0;
const DESIGN_WORKERS: f64 = 3_000.0;
/// Every VM is maintained once in this many days.
const MAINTENANCE_DAYS: f64 = 28.0;
/// Records of one maintenance: drain, drained, reboot, rebooted.
const RECORDS_PER_MAINTENANCE: f64 = 4.0;
/// Records of one failure or replacement: failed, repaired or removed, registered, healthy.
const RECORDS_PER_CHANGE: f64 = 4.0;
/// Ticks a second while something waits for time.
const TICKS_PER_S: f64 = 1.0;
/// Recorded jobs a second, an assumption: the users state no rate. Each takes three entries.
const JOBS_PER_S: f64 = 0.5;
const ENTRIES_PER_JOB: f64 = 3.0;

/// Plans a second on the node that owns the planner.
const PLANS_PER_S: f64 = 4.0;
/// Rebuilds of the routing view a second: one per folded record, at most one per 50 ms.
const MAX_VIEWS_PER_S: f64 = 20.0;
/// Most looks of the job driver a second, and the part of the time that one may take, as set in the daemon.
const MAX_DRIVES_PER_S: f64 = 5.0;
const DRIVE_SHARE: f64 = 1.0 / 50.0;
/// Heartbeat exchanges a second with each peer; one exchange carries both reports.
const HEARTBEATS_PER_S: f64 = 2.0;
/// Seal, lengths and TCP headers of one message, both ways.
const MESSAGE_OVERHEAD_BYTES: f64 = 240.0;
/// Bytes a second that reading the VM list may take, as set in the daemon.
const LIST_BYTES_PER_S: f64 = 3_000.0;

/// Measures at three sizes, and with three numbers of nodes at the largest.
pub fn run(options: &Options) -> Result<Value> {
    let workers = options.workers.unwrap_or(DESIGN_WORKERS as u32);
    let nodes = options.nodes.unwrap_or(9);
    let sizes = [(workers / 64).max(42), (workers / 4).max(42), workers];
    // Memory comes first, and nothing is freed in between: reused memory would hide the growth.
    let memory: Vec<Memory> =
        sizes.iter().map(|n| measure_memory(*n, options.seed)).collect::<Result<_>>()?;
    let mut points = Vec::new();
    for (size, memory) in sizes.iter().zip(&memory) {
        points.push(measure(*size, nodes, options.seed, memory.state / 1e6)?);
    }
    let largest = points.last().cloned().unwrap_or_default();
    let by_nodes: Vec<Value> = [nodes, nodes * 3, nodes * 9]
        .iter()
        .map(|n| {
            let point = Point { nodes: *n, ..largest.clone() };
            json!({ "nodes": n, "cpu_percent": point.cpu(), "net_bytes_per_s": point.net() })
        })
        .collect();
    let line = |value: fn(&Point) -> f64| {
        let line: Vec<(f64, f64)> =
            points.iter().map(|p| (f64::from(p.workers), value(p))).collect();
        slope(&line)
    };
    Ok(json!({
        "benchmark": "control",
        "seed": options.seed,
        "workers": workers,
        "nodes": nodes,
        "assumed_jobs_per_s": JOBS_PER_S,
        "cpu_percent": largest.cpu(),
        "cpu_percent_limit": CPU_LIMIT_PERCENT,
        "rss_mb": largest.memory_mb,
        "rss_mb_limit": MEMORY_LIMIT_MB,
        "net_bytes_per_s": largest.net(),
        "net_bytes_per_s_limit": NET_LIMIT_BYTES,
        "appends_per_s": largest.records(),
        "owner_extra_cpu_percent": largest.owner_cpu(),
        "owner_extra_net_bytes_per_s": LIST_BYTES_PER_S,
        "parts": largest.parts(),
        "slope_per_worker": {
            "cpu_percent": line(Point::cpu),
            "rss_mb": line(|p| p.memory_mb),
            "net_bytes_per_s": line(Point::net),
            "appends_per_s": line(Point::records),
        },
        "at": points.iter().map(Point::parts).collect::<Vec<_>>(),
        "by_nodes": by_nodes,
    }))
}

/// Costs at one size: seconds of processor time of one run of each part, and bytes.
#[derive(Clone, Default)]
struct Point {
    workers: u32,
    nodes: u32,
    fold_s: f64,
    setting_s: f64,
    plan_s: f64,
    view_s: f64,
    drive_s: f64,
    heartbeat_s: f64,
    heartbeat_bytes: f64,
    record_bytes: f64,
    setting_bytes: f64,
    memory_mb: f64,
}

impl Point {
    /// Records a second that the region's stream takes, settings copies included.
    fn records(&self) -> f64 {
        let scale = f64::from(self.workers) / DESIGN_WORKERS;
        let maintained = f64::from(self.workers) / MAINTENANCE_DAYS * RECORDS_PER_MAINTENANCE;
        let changed = CHANGED_VMS_PER_DAY * scale * RECORDS_PER_CHANGE;
        let fleet = (maintained + changed + SETTINGS_PER_DAY) / DAY_SECS;
        fleet + TICKS_PER_S + JOBS_PER_S * ENTRIES_PER_JOB
    }

    /// Percent of a core on every node.
    fn cpu(&self) -> f64 {
        let peers = f64::from(self.nodes.saturating_sub(1));
        let settings = SETTINGS_PER_DAY / DAY_SECS;
        let seconds = self.records() * self.fold_s
            + settings * self.setting_s
            + self.records().min(MAX_VIEWS_PER_S) * self.view_s
            + (MAX_DRIVES_PER_S * self.drive_s).min(DRIVE_SHARE)
            + peers * HEARTBEATS_PER_S * self.heartbeat_s;
        100.0 * seconds
    }

    /// Percent of a core that the owner of the planner spends besides.
    fn owner_cpu(&self) -> f64 {
        100.0 * PLANS_PER_S * self.plan_s
    }

    /// Bytes a second of every node: the region's stream and the heartbeats.
    fn net(&self) -> f64 {
        let peers = f64::from(self.nodes.saturating_sub(1));
        let settings = SETTINGS_PER_DAY / DAY_SECS;
        // A settings record is read from the settings stream and again as a copy.
        let stream = self.records() * self.record_bytes + 2.0 * settings * self.setting_bytes;
        let exchange = 2.0 * self.heartbeat_bytes + MESSAGE_OVERHEAD_BYTES;
        // Each pair exchanges once per interval, so a node takes part in one exchange per peer.
        stream + peers * HEARTBEATS_PER_S * exchange
    }

    fn parts(&self) -> Value {
        json!({
            "workers": self.workers,
            "nodes": self.nodes,
            "cpu_percent": self.cpu(),
            "rss_mb": self.memory_mb,
            "net_bytes_per_s": self.net(),
            "appends_per_s": self.records(),
            "fold_us": self.fold_s * 1e6,
            "setting_us": self.setting_s * 1e6,
            "plan_ms": self.plan_s * 1e3,
            "view_ms": self.view_s * 1e3,
            "drive_ms": self.drive_s * 1e3,
            "drive_interval_ms": 1e3 / (DRIVE_SHARE / self.drive_s).min(MAX_DRIVES_PER_S),
            "heartbeat_us": self.heartbeat_s * 1e6,
            "heartbeat_bytes": self.heartbeat_bytes,
            "record_bytes": self.record_bytes,
            "setting_bytes": self.setting_bytes,
        })
    }
}

fn measure(workers: u32, nodes: u32, seed: u64, memory_mb: f64) -> Result<Point> {
    const RECORDS: u32 = 30_000;
    let (mut region, settings_rate) = Region::filled(workers, seed)?;
    let records = region.job_records(RECORDS);
    let record_bytes = records.iter().map(Vec::len).sum::<usize>() as f64 / f64::from(RECORDS);
    let plan_s = per_run(20, || {
        black_box(plan(&region));
    });
    let view_s = per_run(20, || drop(black_box(pool_view(&region.state, 0, nodes))));
    let drive_s = per_run(5, || {
        black_box(owned_jobs(&region, nodes));
    });
    let report = report(&region)?;
    let heartbeat_bytes = postcard_len(&report)?;
    let key = [7; 32];
    let heartbeat_s = per_run(2_000, || {
        let bytes = postcard::to_stdvec(&report).unwrap_or_default();
        let tag = blake3::keyed_hash(&key, &bytes);
        let known: Option<Report> = postcard::from_bytes(&bytes).ok();
        drop(black_box((tag, known)));
    });
    let started = Instant::now();
    fold(&mut region.state, &records);
    let fold_s = started.elapsed().as_secs_f64() / f64::from(RECORDS);
    Ok(Point {
        workers,
        nodes,
        fold_s,
        setting_s: 1.0 / settings_rate.max(1.0),
        plan_s,
        view_s,
        drive_s,
        heartbeat_s,
        heartbeat_bytes,
        record_bytes,
        setting_bytes: setting_len()?,
        memory_mb,
    })
}

fn per_run<F>(runs: u32, mut work: F) -> f64
where
    F: FnMut(),
{
    let started = Instant::now();
    (0..runs).for_each(|_| work());
    started.elapsed().as_secs_f64() / f64::from(runs)
}

fn plan(region: &Region) -> usize {
    let facts = |(id, vm): (&VmId, &cj_fold::Vm)| VmFacts {
        vm: id.clone(),
        address: vm.address.clone(),
        pool: vm.pool.clone(),
        rack: vm.rack.clone(),
        centre: vm.centre.clone(),
        kind: vm.kind,
        capacity: vm.capacity,
        boot: vm.boot,
    };
    let listed = region.state.vms.iter().map(facts).collect();
    let evidence = Evidence { listed, ..Evidence::default() };
    plan_with_notices(&region.state, &evidence, region.state.now).proposals.len()
}

/// The driver's look at the open jobs: which of them this node owns.
fn owned_jobs(region: &Region, nodes: u32) -> usize {
    let names: Vec<String> = (1..=nodes).map(|n| format!("entry-{n}")).collect();
    let owned: [bool; JOB_BUCKETS] = std::array::from_fn(|bucket| {
        let members = names.iter().map(String::as_str);
        rendezvous::owner(format!("jobs-{bucket}").as_bytes(), members) == Some(names[0].as_str())
    });
    region.state.open_jobs().filter(|(id, _)| owned[id.bucket()]).count()
}

fn report(region: &Region) -> Result<Report> {
    /// Draining VMs with requests of the node in flight.
    const DRAINING: usize = 4;
    let node: NodeId = "entry-1".parse()?;
    let in_flight: BTreeMap<VmId, u32> =
        region.state.vms.keys().take(DRAINING).map(|vm| (vm.clone(), 3)).collect();
    let node = cj_types::NodeIncarnation { node, incarnation: cj_types::Incarnation(u64::MAX / 3) };
    let address = std::net::SocketAddr::from(([10, 0, 1, 5], 7001));
    Ok(Report {
        counter: 100_000,
        applied: region.state.next,
        settings: Offset(12_000),
        hash_at: region.state.next,
        hash: region.state.hash,
        in_flight,
        ..Report::new("kartica".into(), node, address, "dc-1".parse()?)
    })
}

fn postcard_len(report: &Report) -> Result<f64> {
    let bytes = postcard::to_stdvec(report);
    let failed = |e: postcard::Error| cj_types::Error::decode("report", e.to_string());
    bytes.map(|b| b.len() as f64).map_err(failed)
}

fn setting_len() -> Result<f64> {
    let record = SettingRecord {
        path: "capacity/pool/separations/min_available".parse()?,
        value: Some("36".into()),
        expected: cj_types::Version(7),
        nonce: u64::MAX / 3,
    };
    let key = ed25519_dalek::SigningKey::from_bytes(&[7; 32]);
    let payload = SignedSetting::sign(&record, &key)?.encode()?;
    let entry = Entry::SettingsCopy { offset: Offset(12_000), payload };
    let bytes = postcard::to_stdvec(&entry);
    bytes.map(|b| b.len() as f64).map_err(|e| cj_types::Error::decode("entry", e.to_string()))
}
