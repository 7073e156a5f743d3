//! Time of the scheduler's placement passes and of placement queries while a job of many tasks waits for room.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Event, FleetConfig, JobIndex, JobKey, JobSpec, Pool, Queue, Scheduler, StepSpec, Submission,
    sched::{
        Action, CommandAnswer, Limits, ListAnswer, Listing, MAX_NAMED_STEPS, Now, OwnershipLease,
        PlacementQuery, WorkerId, WorkerRegistration,
    },
};
use cj_types::{
    Accelerators, AccountId, Mebibytes, Millicores, Resources, Result, UnixMillis, Version,
};
use serde_json::{Value, json};

use crate::Options;

/// Numbers of waiting tasks.
const SIZES: [u32; 4] = [100, 1_000, 10_000, 100_000];

/// Default number of workers.
const WORKERS: u32 = 8;

/// Virtual time between two polls of the scheduler.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Number of polls with full workers.
const POLLS: u32 = 400;

/// Number of placement queries with full workers.
const QUERIES: u32 = 20;

/// Processors of a worker and of a task, in millicores.
const WORKER_CORES: u32 = 64_000;
const TASK_CORES: u32 = 2_000;

/// A scheduler whose workers answer each command at once, and end no run.
pub(crate) struct Fleet {
    pub(crate) scheduler: Scheduler,
    start: Instant,
    elapsed: Duration,
}

pub(crate) fn resources(cores: u32, memory: u32) -> Resources {
    Resources { cores: Millicores(cores), memory: Mebibytes(memory), accelerators: Accelerators(0) }
}

fn config() -> FleetConfig {
    let service: cj_types::ServiceId = "red".parse().expect("valid name");
    let queue = Queue {
        name: "red".into(),
        host: "host".into(),
        prefix: "/red/".into(),
        service: service.clone(),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target: Duration::from_millis(600),
        advice: None,
        public: false,
    };
    let pool = Pool { rejects_overload: true, spare: false };
    FleetConfig {
        version: Version(1),
        queues: vec![queue],
        pools: [(service, pool)].into(),
        accounts: None,
    }
}

impl Fleet {
    pub(crate) fn new(workers: u32) -> Self {
        let (start, elapsed) = (Instant::now(), Duration::ZERO);
        let now = Now { mono: start, wall: UnixMillis(0) };
        let (limits, index) = (Limits::default(), JobIndex::default());
        let scheduler = Scheduler::new(1, limits, Rc::new(config()), &index, start, now);
        let mut fleet = Fleet { scheduler, start, elapsed };
        for number in 0..workers {
            fleet.handle(Event::Registered(WorkerRegistration {
                id: WorkerId(compact_str::format_compact!("w{number}")),
                started_at: Some(1),
                service: "red".parse().expect("valid name"),
                address: "127.0.0.1:1".into(),
                capacity: resources(WORKER_CORES, 262_144),
                labels: vec!["a".into(), compact_str::format_compact!("r{}", number % 2)],
                draining: false,
                remaining: None,
            }));
        }
        fleet.poll();
        fleet
    }

    fn now(&self) -> Now {
        let wall = UnixMillis(0) + self.elapsed;
        Now { mono: self.start + self.elapsed, wall }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        self.scheduler.handle(event, now);
    }

    /// Polls the scheduler once and answers its commands. Returns the processor time of the poll and the number of starts.
    pub(crate) fn poll(&mut self) -> (Duration, usize) {
        self.elapsed += POLL_INTERVAL;
        let now = self.now();
        self.scheduler.set_ownership(OwnershipLease::from_heartbeat(now.mono));
        let began = Instant::now();
        let actions = self.scheduler.poll(now);
        let took = began.elapsed();
        let mut starts = 0;
        for action in actions {
            match action {
                Action::Start(target, command) => {
                    starts += 1;
                    let (task, run) = (command.task, command.run);
                    self.handle(Event::Started(target.worker, task, run, CommandAnswer::Done));
                }
                // Only the first listing of a worker is answered; runs without listings go on.
                Action::List { target, .. } if self.elapsed <= POLL_INTERVAL * 2 => {
                    let listing = Listing {
                        started_at: Some(1),
                        clock: 1_000,
                        ends_complete: true,
                        ..Listing::default()
                    };
                    let answer = ListAnswer::Listed(listing);
                    self.handle(Event::Listed(target.worker, now.mono, answer));
                }
                Action::Write(number, _) => self.handle(Event::Written(number)),
                _ => {}
            }
        }
        (took, starts)
    }

    /// Submits a job, of this account if it belongs to one.
    pub(crate) fn submit(&mut self, key: u64, account: Option<AccountId>, steps: Vec<StepSpec>) {
        let submission = Submission {
            queue: "red".into(),
            service: "red".parse().expect("valid name"),
            priority: 0,
            max_attempts: 3,
            objective: Duration::from_secs(4),
            received_at: UnixMillis(0),
            spec: JobSpec { text: String::new(), steps, schedule: None },
            account,
        };
        let (job, submission) = (JobKey(key), Rc::new(submission));
        self.handle(Event::Submitted { job, submission, fresh: true, recorded: Vec::new() });
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        demand: resources(TASK_CORES, 1_024),
        estimate: Duration::from_secs(600),
        ..StepSpec::default()
    }
}

/// Mean time of a placement query for a job with these first steps.
fn query_time(scheduler: &Scheduler, steps: Vec<StepSpec>) -> Duration {
    let spec = JobSpec { text: String::new(), steps, schedule: None };
    let query = PlacementQuery { queue: "red".into(), account: None, spec };
    let began = Instant::now();
    for _ in 0..QUERIES {
        std::hint::black_box(scheduler.explain_placement(&query));
    }
    began.elapsed() / QUERIES
}

fn measure(workers: u32, steps: Vec<StepSpec>) -> Value {
    let mut fleet = Fleet::new(workers);
    fleet.submit(1, None, steps);
    let (first, started) = fleet.poll();
    let mut times: Vec<Duration> = (0..POLLS).map(|_| fleet.poll().0).collect();
    times.sort();
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let mean = times.iter().sum::<Duration>() / POLLS;
    json!({
        "started": started, "first_pass_ms": ms(first), "mean_ms": ms(mean),
        "max_ms": ms(times.last().copied().unwrap_or_default()),
        "query_ms": ms(query_time(&fleet.scheduler, vec![step(8)])),
        "query_many_steps_ms": ms(query_time(&fleet.scheduler, vec![step(8); MAX_NAMED_STEPS])),
    })
}

/// Measures polls with full workers, for tasks that wait in one step and in as many steps.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let workers = options.workers.unwrap_or(WORKERS);
    let mut report = json!({ "workers": workers, "polls": POLLS });
    for size in SIZES {
        report["one_step"][size.to_string()] = measure(workers, vec![step(size)]);
        let steps = (0..size).map(|_| step(1)).collect();
        report["many_steps"][size.to_string()] = measure(workers, steps);
    }
    Ok(report)
}
