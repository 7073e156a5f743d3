//! Placement of jobs whose declared sizes are wrong by up to 10 times, on fake workers under a virtual clock.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use ed25519_dalek::SigningKey;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use cj_fold::{Applied, Job, JobPhase, State, Verdict};
use cj_place::{Choice, Placer, TaskUsage, UsageReport};
use cj_record::{
    Batch, BatchHeader, Entry, Outcome, SettingRecord, SignedSetting, Submit, VmFacts, VmKind,
};
use cj_types::{
    Accelerators, BootId, Error, ErrorKind, Incarnation, JobId, Mebibytes, Millicores,
    NodeIncarnation, Resources, Result, Sequence, Token, UnixMillis, Version, VmId,
};

use crate::Options;

const WORKERS: u32 = 48;
const LARGE: u32 = 3000;
const CORES: u32 = 64_000;
const MEMORY: u32 = 256 * 1024;
/// Length of the run in seconds.
const END: u64 = 3600;
/// End of the arrivals in seconds; what was submitted then has time to run.
const ARRIVALS_END: u64 = 3000;
/// Demand for cores as a part of the capacity.
const LOAD: f64 = 0.65;
/// Age of a usage report when it arrives, and interval between reports in seconds.
const REPORT_LAG: u64 = 5;
/// Part of the jobs that fail wherever they run.
const POISON: f64 = 0.01;
/// Time until an attempt fails in seconds, on the bad worker or by a poison job.
const FAIL_AFTER: u64 = 2;
/// Worker that fails everything.
const BAD: u32 = 17;
/// Queued jobs tried per second.
const TRIES: usize = 20;
const LEASE_MS: u32 = 3_600_000;
/// Service, cores, memory in GiB and run time in seconds, all means.
const SERVICES: [(&str, f64, f64, f64); 4] = [
    ("separations", 8.0, 24.0, 240.0),
    ("proofs", 2.0, 4.0, 20.0),
    ("indexes", 1.0, 16.0, 90.0),
    ("archives", 4.0, 48.0, 120.0),
];
const VALUES: &str = "
class/task idempotent=yes must_not_drop=yes task=yes deadline=8h share=100% cap=100% urgency=1
team/prints quota=100% weight=1
pool/cards classes=task min_available=1 owner=prints target=40
";

/// What a job really needs.
struct Truth {
    used: Resources,
    run: u64,
    poison: bool,
}

struct Running {
    job: JobId,
    token: Token,
    started: u64,
    ends: u64,
    fails: bool,
}

/// A region with one pool of workers.
struct Region {
    state: State,
    seq: u64,
    now: UnixMillis,
}

impl Region {
    fn new(workers: u32) -> Result<Region> {
        let key = SigningKey::from_bytes(&[7; 32]);
        let keys = [("north".parse()?, vec![key.verifying_key().to_bytes()])].into();
        let mut region =
            Region { state: State::new(keys), seq: 0, now: UnixMillis(1_793_620_800_000) };
        for line in VALUES.lines().filter(|l| !l.is_empty()) {
            let (object, words) = line.split_once(' ').unwrap_or_default();
            for (name, value) in words.split(' ').filter_map(|w| w.split_once('=')) {
                let path = format!("north/{object}/{name}").parse()?;
                let value = Some(value.into());
                let record = SettingRecord { path, value, expected: Version(0), nonce: 1 };
                let payload = SignedSetting::sign(&record, &key)?.encode()?;
                let offset = region.state.settings_next;
                region.put(Entry::SettingsCopy { offset, payload })?;
            }
        }
        for worker in 0..workers {
            region.put(Entry::Register(VmFacts {
                vm: name(worker)?,
                address: "10.0.0.1:80".into(),
                pool: "cards".parse()?,
                rack: format!("r{}", worker / 4).parse()?,
                centre: format!("d{}", worker % 4).parse()?,
                kind: VmKind::Worker,
                capacity: Resources {
                    cores: Millicores(CORES),
                    memory: Mebibytes(MEMORY),
                    accelerators: Accelerators(0),
                },
                boot: BootId(1),
            }))?;
        }
        Ok(region)
    }

    fn put(&mut self, entry: Entry) -> Result<()> {
        self.seq += 1;
        let writer = NodeIncarnation { node: "n1".parse()?, incarnation: Incarnation(1) };
        let header = BatchHeader { writer, seq: Sequence(self.seq), at: self.now };
        let record = Batch { header, entries: vec![entry] }.encode()?;
        match self.state.apply(self.state.next, &record) {
            Applied::Batch { verdicts, .. }
                if !matches!(verdicts[..], [Verdict::Rejected { .. }]) =>
            {
                Ok(())
            }
            other => Err(failed(&format!("not accepted: {other:?}"))),
        }
    }

    fn submit(&mut self, id: &JobId, service: &str, demand: Resources, run_ms: u32) -> Result<()> {
        let mut body_hash = [0; 32];
        body_hash[..8].copy_from_slice(&self.seq.to_le_bytes());
        self.put(Entry::Submit(Submit {
            job: id.clone(),
            service: service.parse()?,
            class: "task".parse()?,
            team: "prints".parse()?,
            pool: "cards".parse()?,
            body_hash,
            payload: vec![1],
            idempotent: true,
            task: true,
            deadline: UnixMillis(self.now.0 + 8 * 3_600_000),
            demand,
            run_ms,
            claim: None,
        }))
    }

    /// Claims a queued job and returns its token.
    fn claim(&mut self, id: &JobId, target: &VmId) -> Result<Token> {
        let token = Token(self.state.next.0);
        let attempt = self.state.jobs[id].attempts + 1;
        let (job, target) = (id.clone(), target.clone());
        self.put(Entry::Claim { job, attempt, target, lease_ms: LEASE_MS })?;
        Ok(token)
    }
}

fn name(worker: u32) -> Result<VmId> {
    format!("w{worker:04}").parse()
}

fn failed(problem: &str) -> Error {
    Error::new(ErrorKind::Failed(problem.into()), "report the seed and the benchmark")
}

/// Times in nanoseconds.
fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(|e| failed(&e.to_string()))
}

/// Chooses a worker, or says that the job waits or can never run.
type Choose<'a> = dyn FnMut(&State, &JobId, &Job, UnixMillis) -> Choice + 'a;

#[derive(Default)]
struct Figures {
    jobs: u64,
    done: u64,
    refused: u64,
    incidents: u64,
    bad_attempts: u64,
    poison: u64,
    poison_parked: u64,
    good_parked: u64,
    used_core_seconds: f64,
}

struct World {
    region: Region,
    rng: Pcg64Mcg,
    truths: BTreeMap<JobId, Truth>,
    running: BTreeMap<VmId, Vec<Running>>,
    queue: VecDeque<JobId>,
    figures: Figures,
}

impl World {
    fn new(seed: u64) -> Result<World> {
        Ok(World {
            region: Region::new(WORKERS)?,
            rng: Pcg64Mcg::seed_from_u64(seed),
            truths: BTreeMap::new(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            figures: Figures::default(),
        })
    }

    fn arrivals(&mut self, rate: f64) -> Result<()> {
        let mut at = 0.0;
        loop {
            at += -self.rng.random::<f64>().max(1e-9).ln() / rate;
            if at > 1.0 {
                return Ok(());
            }
            self.submit()?;
        }
    }

    fn submit(&mut self) -> Result<()> {
        let (service, cores, gib, run) = SERVICES[self.rng.random_range(0..SERVICES.len())];
        let mut near = |mean: f64| mean * self.rng.random_range(0.7..1.3);
        let (cores, memory, run) = (near(cores) * 1e3, near(gib) * 1024.0, near(run));
        let mut wrong = |truth: f64| truth * 10_f64.powf(self.rng.random_range(-1.0..1.0));
        let size = |cores: f64, memory: f64| Resources {
            cores: Millicores(cores as u32),
            memory: Mebibytes(memory as u32),
            accelerators: Accelerators(0),
        };
        let declared = size(wrong(cores), wrong(memory));
        let run_ms = (wrong(run) * 1e3) as u32;
        let poison = self.rng.random_bool(POISON);
        let id: JobId = format!("caller/{}", self.figures.jobs + self.figures.poison).parse()?;
        self.region.submit(&id, service, declared, run_ms)?;
        self.truths
            .insert(id.clone(), Truth { used: size(cores, memory), run: run as u64, poison });
        self.queue.push_back(id);
        if poison {
            self.figures.poison += 1
        } else {
            self.figures.jobs += 1
        }
        Ok(())
    }

    fn place(&mut self, second: u64, choose: &mut Choose<'_>) -> Result<()> {
        for _ in 0..self.queue.len().min(TRIES) {
            let Some(id) = self.queue.pop_front() else { break };
            let job = &self.region.state.jobs[&id];
            match choose(&self.region.state, &id, job, self.region.now) {
                Choice::Target { vm, .. } => self.start(id, &vm, second)?,
                Choice::Wait { .. } => self.queue.push_back(id),
                Choice::Unplaceable { .. } => {
                    self.figures.refused += u64::from(!self.truths[&id].poison);
                    self.region.put(Entry::Cancel { job: id })?;
                }
            }
        }
        Ok(())
    }

    fn start(&mut self, id: JobId, vm: &VmId, second: u64) -> Result<()> {
        let token = self.region.claim(&id, vm)?;
        let truth = &self.truths[&id];
        let bad = *vm == name(BAD)?;
        self.figures.bad_attempts += u64::from(bad);
        let fails = bad || truth.poison;
        let ends = second + if fails { FAIL_AFTER } else { truth.run.max(1) };
        let task = Running { job: id, token, started: second, ends, fails };
        self.running.entry(vm.clone()).or_default().push(task);
        Ok(())
    }

    /// Kills the newest tasks of a worker while its memory is overcommitted.
    fn kill(&mut self, vm: &VmId) -> Result<()> {
        loop {
            let tasks = self.running.entry(vm.clone()).or_default();
            let used: u32 = tasks.iter().map(|t| self.truths[&t.job].used.memory.0).sum();
            if used <= MEMORY {
                return Ok(());
            }
            self.figures.incidents += 1;
            let Some(mut task) = tasks.pop() else { return Ok(()) };
            task.fails = true;
            self.end(task)?;
        }
    }

    fn end(&mut self, task: Running) -> Result<()> {
        let outcome = if task.fails {
            Outcome::Failed { reason: "exit 1".into() }
        } else {
            Outcome::Done { status: 200, answer: Vec::new() }
        };
        self.region.put(Entry::Finish { job: task.job.clone(), token: task.token, outcome })?;
        let truth = &self.truths[&task.job];
        match self.region.state.jobs[&task.job].phase {
            JobPhase::Queued => self.queue.push_back(task.job),
            JobPhase::Parked { .. } if truth.poison => self.figures.poison_parked += 1,
            JobPhase::Parked { .. } => self.figures.good_parked += 1,
            _ => {
                self.figures.done += 1;
                self.figures.used_core_seconds +=
                    f64::from(truth.used.cores.0) / 1e3 * truth.run as f64;
            }
        }
        Ok(())
    }

    fn step(&mut self, second: u64) -> Result<()> {
        self.region.now = UnixMillis(self.region.now.0 + 1000);
        self.region.put(Entry::Tick)?;
        for vm in self.running.keys().cloned().collect::<Vec<_>>() {
            let tasks = self.running.get_mut(&vm).expect("listed");
            let (ended, rest) = std::mem::take(tasks).into_iter().partition(|t| t.ends <= second);
            *tasks = rest;
            let ended: Vec<Running> = ended;
            for task in ended {
                self.end(task)?;
            }
            self.kill(&vm)?;
        }
        Ok(())
    }

    fn reports(&self, second: u64) -> Vec<UsageReport> {
        let report = |(vm, tasks): (&VmId, &Vec<Running>)| {
            let usage = |task: &Running| {
                let job = &self.region.state.jobs[&task.job];
                TaskUsage {
                    job: task.job.clone(),
                    service: job.service.clone(),
                    class: job.class.clone(),
                    urgency: 1,
                    used: self.truths[&task.job].used,
                    declared: job.demand,
                    idempotent: true,
                    run_time: Duration::from_secs(second - task.started),
                    last_relief: None,
                }
            };
            let tasks: Vec<TaskUsage> = tasks.iter().map(usage).collect();
            let used = tasks.iter().fold(Resources::default(), |sum, t| sum.plus(t.used));
            UsageReport { vm: vm.clone(), measured_at: self.region.now, used, tasks }
        };
        self.running.iter().map(report).collect()
    }
}

/// First fit by declared size.
fn first_fit(state: &State, job: &Job) -> Choice {
    let mut used: BTreeMap<&VmId, Resources> = BTreeMap::new();
    for (_, other) in state.open_jobs() {
        if let JobPhase::Claimed(claim) = &other.phase {
            let sum = used.entry(&claim.target).or_default();
            *sum = sum.plus(other.demand);
        }
    }
    let mut possible = false;
    for (id, vm) in state.active_vms(&job.pool) {
        possible |= job.demand.fits(vm.capacity);
        let free = vm.capacity.minus(used.get(id).copied().unwrap_or_default());
        if job.demand.fits(free) {
            let candidates = vec![id.clone()];
            return Choice::Target { vm: id.clone(), reason: "first fit".into(), candidates };
        }
    }
    let reason = "declared".into();
    if possible { Choice::Wait { reason } } else { Choice::Unplaceable { reason } }
}

fn simulate(seed: u64, observed: bool) -> Result<Value> {
    let mut world = World::new(seed)?;
    let mut placer = Placer::new();
    let mut late: VecDeque<(u64, Vec<UsageReport>)> = VecDeque::new();
    let mut spent = histogram()?;
    let mean = |f: fn(&(&str, f64, f64, f64)) -> f64| {
        SERVICES.iter().map(f).sum::<f64>() / SERVICES.len() as f64
    };
    let capacity = f64::from(WORKERS) * f64::from(CORES) / 1e3;
    let rate = capacity * LOAD / mean(|s| s.1 * s.3);
    for second in 0..END {
        world.step(second)?;
        if second < ARRIVALS_END {
            world.arrivals(rate)?;
        }
        if second % REPORT_LAG == 0 {
            late.push_back((second + REPORT_LAG, world.reports(second)));
        }
        if late.front().is_some_and(|(at, _)| *at <= second) {
            let (_, reports) = late.pop_front().expect("checked");
            reports.iter().for_each(|r| placer.observe(r));
        }
        world.place(second, &mut |state, id, job, now| {
            let began = Instant::now();
            let choice = if observed {
                placer.choose_and_reserve(state, id, job, now)
            } else {
                first_fit(state, job)
            };
            spent.saturating_record(began.elapsed().as_nanos() as u64);
            choice
        })?;
    }
    let figures = &world.figures;
    Ok(json!({
        "jobs": figures.jobs,
        "completion_ratio": figures.done as f64 / figures.jobs as f64,
        "refused": figures.refused,
        "still_open": world.queue.len() + world.running.values().map(Vec::len).sum::<usize>(),
        "core_utilisation": figures.used_core_seconds / (capacity * ARRIVALS_END as f64),
        "overcommit_incidents": figures.incidents,
        "attempts_on_bad_worker": figures.bad_attempts,
        "poison_jobs": figures.poison,
        "poison_parked": figures.poison_parked,
        "good_parked": figures.good_parked,
        "decision_p50_us": spent.value_at_quantile(0.5) as f64 / 1e3,
        "decision_p99_us": spent.value_at_quantile(0.99) as f64 / 1e3,
    }))
}

/// Time per decision in a region with 8 tasks on each worker, of which every 20th decision meets a changed state.
fn decision_time(workers: u32, seed: u64) -> Result<Value> {
    const TASKS: u32 = 8;
    const DECISIONS: usize = 2000;
    let mut region = Region::new(workers)?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let demand = Resources {
        cores: Millicores(2000),
        memory: Mebibytes(4096),
        accelerators: Accelerators(0),
    };
    for n in 0..workers * TASKS {
        let id: JobId = format!("caller/{n}").parse()?;
        region.submit(&id, SERVICES[n as usize % 4].0, demand, 60_000)?;
        region.claim(&id, &name(n % workers)?)?;
    }
    let mut placer = Placer::new();
    let usage = |n: u32| -> Result<UsageReport> {
        let task = |i: u32| -> Result<TaskUsage> {
            let job: JobId = format!("caller/{}", n + i * workers).parse()?;
            let service = SERVICES[(n + i * workers) as usize % 4].0.parse()?;
            Ok(TaskUsage {
                job,
                service,
                class: "task".parse()?,
                urgency: 1,
                used: demand,
                declared: demand,
                idempotent: true,
                run_time: Duration::from_secs(60),
                last_relief: None,
            })
        };
        let tasks = (0..TASKS).map(task).collect::<Result<_>>()?;
        Ok(UsageReport { vm: name(n)?, measured_at: region.now, used: demand, tasks })
    };
    for n in 0..workers {
        placer.observe(&usage(n)?);
    }
    let mut spent = histogram()?;
    let mut total = Duration::ZERO;
    for n in 0..DECISIONS {
        let id: JobId = format!("new/{n}").parse()?;
        region.now = UnixMillis(region.now.0 + 100);
        region.submit(&id, SERVICES[rng.random_range(0..4)].0, demand, 60_000)?;
        let job = &region.state.jobs[&id];
        let began = Instant::now();
        let choice = placer.choose_and_reserve(&region.state, &id, job, region.now);
        let took = began.elapsed();
        total += took;
        spent.saturating_record(took.as_nanos() as u64);
        if let Choice::Target { vm, .. } = choice {
            region.claim(&id, &vm)?;
        }
    }
    Ok(json!({
        "mean_us": total.as_secs_f64() * 1e6 / DECISIONS as f64,
        "p50_us": spent.value_at_quantile(0.5) as f64 / 1e3,
        "p99_us": spent.value_at_quantile(0.99) as f64 / 1e3,
        "max_us": spent.max() as f64 / 1e3,
    }))
}

/// Measures placement by observed usage beside first fit by declared size.
///
/// # Errors
///
/// When the fold rejects an entry of the benchmark.
pub fn run(options: &Options) -> Result<Value> {
    let large = options.workers.unwrap_or(LARGE);
    Ok(json!({
        "observed": simulate(options.seed, true)?,
        "first_fit": simulate(options.seed, false)?,
        "decision": {
            "small": decision_time(WORKERS, options.seed)?,
            "large": decision_time(large, options.seed)?,
        },
    }))
}
