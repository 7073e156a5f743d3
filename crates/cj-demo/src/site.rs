//! The site of the demonstration: pools, VMs, workloads and settings of both organisations on one platform.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use ed25519_dalek::SigningKey;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use cj_record::SettingPath;
use cj_standin::PlatformOptions;
use cj_types::{Accelerators, Mebibytes, Millicores, OfficeId, Resources, Result};

use crate::workload::{Urgency, WorkKind, Workload};

/// Mean service time of the minions; long, so that a flood exceeds the capacity at a moderate request rate.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Mean service time of reconciliations, which are slow.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(400);

/// Declared run time of a separation.
const SEPARATION_RUN: Duration = Duration::from_millis(800);

/// Concurrent requests per minion.
const SLOTS: u32 = 4;

/// Maximum number of connections per minion over all entry nodes.
const CONNECTIONS: u32 = 64;

/// Mean load as a share of the capacity, such that a burst to five times the mean exceeds the capacity.
const MEAN_LOAD: f64 = 0.3;

/// Declared processors and memory of a separation.
const SEPARATION: Resources =
    Resources { cores: Millicores(8000), memory: Mebibytes(32_768), accelerators: Accelerators(0) };

/// Resources of a worker of Kartica Skupna Tiskarna.
const WORKER: Resources = Resources {
    cores: Millicores(64_000),
    memory: Mebibytes(262_144),
    accelerators: Accelerators(0),
};

/// An operators' office with the key that signs its settings.
#[derive(Clone, Debug)]
pub struct Office {
    /// Id.
    pub id: OfficeId,
    /// Signing key.
    pub key: SigningKey,
}

impl Office {
    /// Public key, for the settings files of the nodes.
    pub fn public_key(&self) -> [u8; 32] {
        self.key.verifying_key().to_bytes()
    }
}

/// Number of VMs per pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteSize {
    /// Minions per service.
    pub minions: usize,
    /// Workers in the pool of separations.
    pub workers: usize,
    /// Workers in the spare pool.
    pub spare: usize,
    /// Number of VMs per pool that planned actions may take out of service at the same time.
    pub slack: usize,
}

impl SiteSize {
    /// 33 VMs, small enough for a laptop.
    pub const SMALL: SiteSize = SiteSize { minions: 5, workers: 6, spare: 2, slack: 1 };
    /// The sizes in section 1 of `docs/design.md`.
    pub const FULL: SiteSize = SiteSize { minions: 10, workers: 40, spare: 8, slack: 2 };
}

/// A settings path and its value.
pub type SettingValue = (SettingPath, CompactString);

/// The pools, workloads and settings of both organisations on one platform.
#[derive(Clone, Debug)]
pub struct Site {
    /// Options of the platform; ports and delays may be changed before it's started.
    pub platform: PlatformOptions,
    /// Workloads of both organisations.
    pub workloads: Vec<Workload>,
    /// Both offices.
    pub offices: Vec<Office>,
    /// Settings that define the workloads and pools, in the order of publication.
    pub settings: Vec<SettingValue>,
    /// Settings of a maintenance wave over all pools, published during the demonstration.
    pub wave_settings: Vec<SettingValue>,
}

/// Description of a workload, from which its class, service, pool and arrivals are derived. `office` is an index into
/// [`OFFICES`]; `rank` is the urgency in the settings.
struct WorkloadSpec {
    name: &'static str,
    office: usize,
    idempotent: bool,
    must_not_drop: bool,
    urgency: Urgency,
    rank: u32,
    deadline_ms: u64,
    service_time: Duration,
    task: bool,
}

const fn workload_spec(
    name: &'static str,
    office: usize,
    rules: (bool, bool),
    urgency: Urgency,
    rank: u32,
    deadline_ms: u64,
) -> WorkloadSpec {
    let (idempotent, must_not_drop) = rules;
    let service_time = SERVICE_TIME;
    WorkloadSpec {
        name,
        office,
        idempotent,
        must_not_drop,
        urgency,
        rank,
        deadline_ms,
        service_time,
        task: false,
    }
}

const WORKLOAD_SPECS: [WorkloadSpec; 6] = [
    workload_spec("proofs", 0, (true, false), Urgency::Most, 0, 2_000),
    WorkloadSpec {
        task: true,
        ..workload_spec("separations", 0, (false, true), Urgency::Least, 3, 600_000)
    },
    workload_spec("tallies", 1, (true, true), Urgency::Most, 0, 2_000),
    workload_spec("yields", 1, (true, false), Urgency::Middle, 1, 2_000),
    workload_spec("readings", 1, (false, false), Urgency::Middle, 2, 5_000),
    WorkloadSpec {
        service_time: SLOW_SERVICE_TIME,
        ..workload_spec("reconciliations", 1, (true, true), Urgency::Least, 3, 600_000)
    },
];

const OFFICES: [&str; 2] = ["kartica", "saltangsverket"];
const TEAMS: [&str; 2] = ["houses", "pans"];
const ZONES: [&[&str]; 2] = [&["k1", "k2", "k3", "k4"], &["s1", "s2", "s3"]];
const SPARE_POOL: &str = "presses-spare";
const WORKER_POOL: &str = "presses";

impl Site {
    /// Creates the site. The offices' keys are derived from the seed.
    ///
    /// # Errors
    ///
    /// A name is invalid.
    pub fn new(size: SiteSize, seed: u64) -> Result<Site> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut offices = Vec::new();
        for name in OFFICES {
            let mut secret = [0; 32];
            rng.fill_bytes(&mut secret);
            offices.push(Office { id: name.parse()?, key: SigningKey::from_bytes(&secret) });
        }
        let mut platform =
            PlatformOptions { slots: SLOTS, service_time: SERVICE_TIME, ..Default::default() };
        let mut workloads = Vec::new();
        let mut settings = Vec::new();
        for (office, team) in offices.iter().zip(TEAMS) {
            push_settings(
                &mut settings,
                office,
                "team",
                team,
                &[("quota", "100%"), ("weight", "1")],
            )?;
        }
        for spec in &WORKLOAD_SPECS {
            let min = |count: usize| (count - size.slack.min(count)) as u32;
            let zones = ZONES[spec.office];
            platform = if spec.task {
                platform
                    .with_workers(WORKER_POOL, size.workers, min(size.workers), zones, WORKER)?
                    .with_workers(SPARE_POOL, size.spare, 0, zones, WORKER)?
            } else {
                platform.with_minions(
                    spec.name,
                    spec.name,
                    size.minions,
                    min(size.minions),
                    zones,
                )?
            };
            platform.service_times.insert(spec.name.parse()?, spec.service_time);
            workloads.push(build_workload(spec, size)?);
            push_workload_settings(&mut settings, spec, &offices[spec.office], size)?;
        }
        let wave_settings = wave_settings(&offices)?;
        Ok(Site { platform, workloads, offices, settings, wave_settings })
    }
}

fn build_workload(spec: &WorkloadSpec, size: SiteSize) -> Result<Workload> {
    let (shape, capacity) = if spec.task {
        let shape = WorkKind::Task { run: SEPARATION_RUN, resources: SEPARATION };
        let per_worker = f64::from(WORKER.cores.0 / SEPARATION.cores.0);
        (shape, size.workers as f64 * per_worker / SEPARATION_RUN.as_secs_f64())
    } else {
        let slots = size.minions as f64 * f64::from(SLOTS);
        (WorkKind::Request, slots / spec.service_time.as_secs_f64())
    };
    // Recorded work gets a low rate, since each of its runs needs log appends and their total rate is limited.
    let rate = if spec.idempotent && !spec.must_not_drop { capacity * MEAN_LOAD } else { 8.0 };
    Ok(Workload {
        name: spec.name.into(),
        service: spec.name.parse()?,
        class: spec.name.parse()?,
        caller: format!("{}-{}", OFFICES[spec.office], spec.name).parse()?,
        team: TEAMS[spec.office].parse()?,
        rate: rate.min(capacity * MEAN_LOAD),
        capacity,
        deadline: Duration::from_millis(spec.deadline_ms),
        idempotent: spec.idempotent,
        must_not_drop: spec.must_not_drop,
        kind: shape,
        urgency: spec.urgency,
    })
}

fn push_workload_settings(
    settings: &mut Vec<SettingValue>,
    spec: &WorkloadSpec,
    office: &Office,
    size: SiteSize,
) -> Result<()> {
    let yes_no = |value: bool| if value { "yes" } else { "no" };
    let (deadline, rank) =
        (format_compact!("{}ms", spec.deadline_ms), spec.rank.to_compact_string());
    let class = [
        ("cap", "100%"),
        ("deadline", deadline.as_str()),
        ("idempotent", yes_no(spec.idempotent)),
        ("must_not_drop", yes_no(spec.must_not_drop)),
        ("share", "50%"),
        ("task", yes_no(spec.task)),
        ("urgency", rank.as_str()),
    ];
    push_settings(settings, office, "class", spec.name, &class)?;
    let pool = if spec.task { WORKER_POOL } else { spec.name };
    let count = if spec.task { size.workers } else { size.minions };
    let (min, target) = ((count - size.slack).to_compact_string(), count.to_compact_string());
    let team = TEAMS[spec.office];
    let mut values = vec![
        ("classes", spec.name),
        ("hysteresis", "20s"),
        ("min_available", min.as_str()),
        ("owner", team),
        ("target", target.as_str()),
    ];
    if spec.task {
        let spare = size.spare.to_compact_string();
        let spare = [("min_available", "0"), ("owner", team), ("spare", "yes"), ("target", &spare)];
        push_settings(settings, office, "pool", SPARE_POOL, &spare)?;
        values.insert(0, ("borrows", SPARE_POOL));
    }
    push_settings(settings, office, "pool", pool, &values)?;
    let (slots, connections) = (SLOTS.to_compact_string(), CONNECTIONS.to_compact_string());
    let service = [("connections", connections.as_str()), ("pool", pool), ("slots", &slots)];
    push_settings(settings, office, "service", spec.name, &service)
}

fn wave_settings(offices: &[Office]) -> Result<Vec<SettingValue>> {
    let mut settings = Vec::new();
    for (index, office) in offices.iter().enumerate() {
        let own = WORKLOAD_SPECS.iter().filter(|spec| spec.office == index);
        let pools: Vec<&str> =
            own.map(|spec| if spec.task { WORKER_POOL } else { spec.name }).collect();
        let pools = pools.join(", ");
        let values = [
            ("domain", "rack"),
            ("drain_limit", "10s"),
            ("pools", pools.as_str()),
            ("reboot_limit", "10s"),
            ("start", "2020-01-01T00:00:00Z"),
        ];
        push_settings(&mut settings, office, "wave", &format!("{}-wave", office.id), &values)?;
    }
    Ok(settings)
}

fn push_settings(
    settings: &mut Vec<SettingValue>,
    office: &Office,
    kind: &str,
    name: &str,
    values: &[(&str, &str)],
) -> Result<()> {
    for (key, value) in values {
        let path: SettingPath = format!("{}/{kind}/{name}/{key}", office.id).parse()?;
        settings.push((path, (*value).into()));
    }
    Ok(())
}
