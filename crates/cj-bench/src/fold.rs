//! Speed and size of the fold over the size of the region.

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use ed25519_dalek::SigningKey;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};

use cj_fold::{
    Applied, State, Verdict,
    snapshot::{self, Assembler},
};
use cj_record::{
    Batch, BatchHeader, Entry, Outcome, SettingPath, SettingRecord, SignedSetting, Submit, VmFacts,
    VmKind,
};
use cj_types::{
    Accelerators, BootId, Error, ErrorKind, Incarnation, Mebibytes, Millicores, NodeIncarnation,
    Offset, Resources, Result, Sequence, Token, UnixMillis, Version, VmId,
};

use crate::Options;

/// Workers of the two users, of a quarter of the design capacity, and of the design capacity.
const WORKERS: [u32; 3] = [48, 750, 3000];

/// Settings at the design capacity of 3,000 workers; smaller regions have proportionally fewer.
const SETTINGS_PER_WORKER: u32 = 4;

/// Open jobs per worker that the snapshot holds.
const JOBS_PER_WORKER: u32 = 16;

/// Largest number of pools.
const POOLS: u32 = 42;

/// Records timed per size. Three of them carry one job from submission to its answer.
const RECORDS: u32 = 150_000;

/// Records replayed after the snapshot at start-up: 30 s of a stream at 300 appends a second.
const TAIL: usize = 9_000;

/// Time between two records: 300 appends a second.
const STEP_MICROS: u64 = 3_333;

/// Start of fold time: 2026-11-02T12:00:00Z.
const START: u64 = 1_793_620_800_000;

const LEASE_MS: u32 = 60_000;

/// Runs the fold at several sizes and reports records per second, bytes per record, encoded bytes per worker, and the
/// times to write a snapshot and to start from one.
pub fn run(options: &Options) -> Result<Value> {
    let largest = options.workers.unwrap_or(WORKERS[2]);
    let sizes = match options.workers {
        Some(workers) => [workers / 64, workers / 4, workers].map(|n| n.max(1)),
        None => WORKERS,
    };
    // Memory comes first, and nothing is freed in between: reused memory would hide the growth.
    let memory: Vec<Memory> =
        sizes.iter().map(|n| measure_memory(*n, options.seed)).collect::<Result<_>>()?;
    let points: Vec<Point> =
        sizes.iter().map(|n| measure(*n, options.seed)).collect::<Result<_>>()?;
    Ok(json!({
        "benchmark": "fold",
        "seed": options.seed,
        "largest": largest,
        "jobs_per_worker": JOBS_PER_WORKER,
        "records_timed": RECORDS,
        "tail_records": TAIL,
        "records_per_s": series(&points, |p| p.rate),
        "bytes_per_record": series(&points, |p| p.record_bytes),
        "state_bytes_per_worker": series(&points, |p| p.state_bytes / f64::from(p.workers)),
        "state_bytes": series(&points, |p| p.state_bytes),
        "ended_job_bytes": series(&points, |p| p.ended_bytes),
        "state_resident_bytes": series(&memory, |p| p.state),
        "ended_job_resident_bytes": series(&memory, |p| p.ended_job),
        "settings_per_s": series(&points, |p| p.settings_rate),
        "snapshot_ms": series(&points, |p| p.snapshot.as_secs_f64() * 1e3),
        "start_ms": series(&points, |p| p.start.as_secs_f64() * 1e3),
    }))
}

/// Figures at one size.
struct Point {
    workers: u32,
    rate: f64,
    settings_rate: f64,
    record_bytes: f64,
    state_bytes: f64,
    /// Encoded bytes per job that ended, payload and answer of 64 bytes.
    ended_bytes: f64,
    snapshot: Duration,
    start: Duration,
}

/// Resident memory at one size.
pub(crate) struct Memory {
    workers: u32,
    /// Bytes of the state before the timed records.
    pub(crate) state: f64,
    /// Bytes per job that ended, payload and answer of 64 bytes.
    ended_job: f64,
    _kept: (Region, Vec<State>),
}

/// Anything measured in a region with this many workers.
trait Measured {
    fn workers(&self) -> u32;
}

impl Measured for Point {
    fn workers(&self) -> u32 {
        self.workers
    }
}

impl Measured for Memory {
    fn workers(&self) -> u32 {
        self.workers
    }
}

fn series<P, F>(points: &[P], value: F) -> Value
where
    P: Measured,
    F: Fn(&P) -> f64,
{
    let at: Vec<Value> = points
        .iter()
        .map(|p| {
            let workers = p.workers();
            json!({"workers": workers, "settings": settings_of(workers), "value": value(p)})
        })
        .collect();
    let line: Vec<(f64, f64)> = points.iter().map(|p| (f64::from(p.workers()), value(p))).collect();
    json!({"at": at, "slope_per_worker": slope(&line)})
}

/// Slope of the least-squares line.
pub(crate) fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (x, y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0 / n, y + p.1 / n));
    let (over, under) = points.iter().fold((0.0, 0.0), |(over, under), p| {
        (over + (p.0 - x) * (p.1 - y), under + (p.0 - x).powi(2))
    });
    if under == 0.0 { 0.0 } else { over / under }
}

fn settings_of(workers: u32) -> u32 {
    (workers * SETTINGS_PER_WORKER).max(POOLS * 3)
}

fn measure(workers: u32, seed: u64) -> Result<Point> {
    let (mut region, settings_rate) = Region::filled(workers, seed)?;
    region.state.check_invariants()?;

    let (pieces, snapshot) = timed(|| snapshot::encode(&region.state));
    let state_bytes = total(&pieces);

    let records = region.job_records(RECORDS);
    let record_bytes = total(&records) / records.len() as f64;
    let (started, start) = timed(|| start(&pieces, &records[..TAIL]));
    let (rejected, spent) = timed(|| fold(&mut region.state, &records));
    region.state.check_invariants()?;
    // Only jobs were added since, and nearly all of them have ended.
    let ended_bytes =
        (total(&snapshot::encode(&region.state)) - state_bytes) / f64::from(RECORDS / 3);
    let started = started.ok_or_else(|| failed("the snapshot was not complete"))?;
    if rejected > 0 || started.next > region.state.next {
        return Err(failed("an entry was rejected"));
    }
    let rate = records.len() as f64 / spent.as_secs_f64();
    Ok(Point {
        workers,
        rate,
        settings_rate,
        record_bytes,
        state_bytes,
        ended_bytes,
        snapshot,
        start,
    })
}

pub(crate) fn measure_memory(workers: u32, seed: u64) -> Result<Memory> {
    let (mut region, _) = Region::filled(workers, seed)?;
    let mut kept = Vec::new();
    let state = resident_growth(&region.state, &mut kept);
    let records = region.job_records(RECORDS);
    fold(&mut region.state, &records);
    let grown = resident_growth(&region.state, &mut kept);
    let ended_job = (grown - state) / f64::from(RECORDS / 3);
    Ok(Memory { workers, state, ended_job, _kept: (region, kept) })
}

/// Growth of the process's resident memory by a copy of the state, in bytes. Earlier copies use up freed memory.
fn resident_growth(state: &State, kept: &mut Vec<State>) -> f64 {
    const FIRST_COPIES: usize = 3;
    kept.extend((0..FIRST_COPIES).map(|_| state.clone()));
    let before = resident_bytes();
    kept.push(state.clone());
    resident_bytes() - before
}

/// Resident memory of this process, or 0 on systems that do not show it as a file.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

fn total(records: &[Vec<u8>]) -> f64 {
    records.iter().map(Vec::len).sum::<usize>() as f64
}

fn timed<T, F>(run: F) -> (T, Duration)
where
    F: FnOnce() -> T,
{
    let before = Instant::now();
    let result = black_box(run());
    (result, before.elapsed())
}

/// Loads the snapshot and replays the tail, as a starting node does.
fn start(pieces: &[Vec<u8>], tail: &[Vec<u8>]) -> Option<State> {
    let mut assembler = Assembler::default();
    let mut state = pieces.iter().filter_map(|piece| assembler.push(piece)).last()?;
    fold(&mut state, tail);
    Some(state)
}

/// Folds the records; returns the number of entries that were not accepted.
pub(crate) fn fold(state: &mut State, records: &[Vec<u8>]) -> usize {
    let rejected = |applied: Applied| match applied {
        Applied::Batch { verdicts, .. } => {
            verdicts.iter().filter(|v| !matches!(v, Verdict::Accepted { .. })).count()
        }
        _ => 1,
    };
    records.iter().map(|record| rejected(state.apply(state.next, record))).sum()
}

fn failed(problem: &str) -> Error {
    Error::new(ErrorKind::Failed(problem.into()), "this is a fault of the benchmark or the fold")
}

/// A region that one writer fills.
pub(crate) struct Region {
    pub(crate) state: State,
    key: SigningKey,
    rng: Pcg64,
    workers: u32,
    writer: NodeIncarnation,
    seq: u64,
    jobs: u32,
}

impl Region {
    fn new(workers: u32, seed: u64) -> Region {
        let mut rng = Pcg64::seed_from_u64(seed);
        let key = SigningKey::from_bytes(&rng.random());
        let keys = BTreeMap::from([(id("capacity"), vec![key.verifying_key().to_bytes()])]);
        let writer =
            NodeIncarnation { node: id("entry-1"), incarnation: Incarnation(rng.random()) };
        Region { state: State::new(keys), key, rng, workers, writer, seq: 0, jobs: 0 }
    }

    /// A region with settings, workers and open jobs. Returns also the settings folded per second.
    pub(crate) fn filled(workers: u32, seed: u64) -> Result<(Region, f64)> {
        let mut region = Region::new(workers, seed);
        let settings_rate = region.publish(settings_of(workers))?;
        region.register()?;
        region.submit_open(workers * JOBS_PER_WORKER)?;
        Ok((region, settings_rate))
    }

    pub(crate) fn record(&mut self, entries: Vec<Entry>) -> Vec<u8> {
        self.seq += 1;
        let at = UnixMillis(START + self.seq * STEP_MICROS / 1000);
        let header = BatchHeader { writer: self.writer.clone(), seq: Sequence(self.seq), at };
        Batch { header, entries }.encode().expect("entries of a benchmark fit into a batch")
    }

    fn accept(&mut self, entries: Vec<Entry>) -> Result<()> {
        let record = self.record(entries);
        match fold(&mut self.state, &[record]) {
            0 => Ok(()),
            _ => Err(failed("an entry of the preparation was rejected")),
        }
    }

    /// Publishes the pools and one class, and teams up to the number of settings. Returns settings per second.
    fn publish(&mut self, count: u32) -> Result<f64> {
        let mut values: Vec<(String, String)> = [
            ("class/batch/cap", "100%"),
            ("class/batch/deadline", "8h"),
            ("class/batch/idempotent", "no"),
            ("class/batch/must_not_drop", "yes"),
            ("class/batch/share", "100%"),
            ("class/batch/task", "yes"),
            ("class/batch/urgency", "3"),
        ]
        .map(|(path, value)| (path.into(), value.into()))
        .into();
        for pool in 0..self.pools() {
            for (key, value) in
                [("classes", "batch"), ("min_available", "0"), ("owner", "team-0"), ("target", "9")]
            {
                values.push((format!("pool/pool-{pool}/{key}"), value.into()));
            }
        }
        let rest = (count as usize).saturating_sub(values.len());
        for team in 0..rest.div_ceil(2) {
            values.push((format!("team/team-{team}/quota"), "50%".into()));
            values.push((format!("team/team-{team}/weight"), "2".into()));
        }
        let mut records = Vec::new();
        for (number, (path, value)) in values.into_iter().enumerate() {
            let path: SettingPath = format!("capacity/{path}").parse()?;
            let nonce = self.rng.random();
            let record =
                SettingRecord { path, value: Some(value.into()), expected: Version(0), nonce };
            let payload = SignedSetting::sign(&record, &self.key)?.encode()?;
            let offset = Offset(number as u64);
            records.push(self.record(vec![Entry::SettingsCopy { offset, payload }]));
        }
        let (rejected, spent) = timed(|| fold(&mut self.state, &records));
        if rejected > 0 || self.state.settings.len() != records.len() {
            return Err(failed("a setting was refused"));
        }
        Ok(records.len() as f64 / spent.as_secs_f64())
    }

    fn pools(&self) -> u32 {
        POOLS.min(self.workers)
    }

    fn vm(&self, number: u32) -> VmId {
        id(&format!("worker-{number:05}"))
    }

    fn register(&mut self) -> Result<()> {
        for number in 0..self.workers {
            let capacity = Resources {
                cores: Millicores(64_000),
                memory: Mebibytes(256 * 1024),
                accelerators: Accelerators(1),
            };
            self.accept(vec![Entry::Register(VmFacts {
                vm: self.vm(number),
                address: format!("10.{}.{}.7:7000", number / 256, number % 256).into(),
                pool: id(&format!("pool-{}", number % self.pools())),
                rack: id(&format!("rack-{}", number / 4)),
                centre: id(&format!("centre-{}", number / 4 % 4)),
                kind: VmKind::Worker,
                capacity,
                boot: BootId(1),
            })])?;
        }
        Ok(())
    }

    fn submission(&mut self) -> Submit {
        let vm = self.rng.random_range(0..self.workers);
        self.jobs += 1;
        Submit {
            job: format!("press-{}/sheet-{:09}", self.jobs % 97, self.jobs)
                .parse()
                .expect("the job id is well formed"),
            service: id("separations"),
            class: id("batch"),
            team: id("team-0"),
            pool: id(&format!("pool-{}", vm % self.pools())),
            body_hash: self.rng.random(),
            payload: vec![7; 64],
            idempotent: false,
            task: true,
            deadline: UnixMillis(START + 3_600_000),
            demand: Resources { cores: Millicores(4_000), ..Resources::default() },
            run_ms: 60_000,
            claim: Some((self.vm(vm), LEASE_MS)),
        }
    }

    fn submit_open(&mut self, count: u32) -> Result<()> {
        (0..count).try_for_each(|_| {
            let submit = self.submission();
            self.accept(vec![Entry::Submit(submit)])
        })
    }

    /// Records of jobs that are submitted with a claim, renewed once, and done. A job's records lie some jobs apart.
    pub(crate) fn job_records(&mut self, count: u32) -> Vec<Vec<u8>> {
        const APART: usize = 64;
        let mut records = Vec::new();
        let mut running = Vec::new();
        let base = self.state.next.0;
        let mut done = 0;
        while records.len() < count as usize {
            let token = Token(base + records.len() as u64);
            let submit = self.submission();
            running.push((submit.job.clone(), token));
            records.push(self.record(vec![Entry::Submit(submit)]));
            if running.len() - done > APART {
                let (job, token) = running[done].clone();
                done += 1;
                let renew = Entry::Renew { job: job.clone(), token, lease_ms: LEASE_MS };
                records.push(self.record(vec![renew]));
                let outcome = Outcome::Done { status: 200, answer: vec![7; 64] };
                records.push(self.record(vec![Entry::Finish { job, token, outcome }]));
            }
        }
        records.truncate(count as usize);
        records
    }
}

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = Error>,
{
    text.parse().expect("an id of the benchmark is well formed")
}
