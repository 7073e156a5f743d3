//! Single decisions of the scheduler: events go in, actions come out, without a simulated fleet.

use std::{
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Advice, Event, FleetConfig, JobIndex, JobKey, JobSpec, Log, Pool, Progress, Queue,
    Record, Schedule, Scheduler, StepProgress, StepSpec, Submission,
    record::Outcome,
    sched::{
        AdviceAnswer, CommandAnswer, EndKind, EndRow, Limits, ListAnswer, Listing, Now,
        OwnershipLease, RunRow, StartCommand, Target, Ticket, VmRow, VmState, WorkerId,
        WorkerRegistration,
    },
};
use cj_types::{UnixMillis, Version, VmId};

use crate::world::{resources, service, step};

/// Wall-clock time at the start of a test, in Unix ms.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A scheduler of one service with workers that have all been listed once. The test plays the workers and the platform.
pub(crate) struct Harness {
    pub(crate) scheduler: Scheduler,
    pub(crate) start: Instant,
    pub(crate) elapsed_ms: u64,
    pub(crate) workers: Vec<WorkerId>,
    pub(crate) vm_rows: Vec<VmRow>,
}

pub(crate) fn config(advice: Option<Advice>) -> Rc<FleetConfig> {
    let queue = Queue {
        name: "red".into(),
        host: "host".into(),
        prefix: "/red/".into(),
        service: service("red"),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target: Duration::from_millis(600),
        advice,
        public: false,
    };
    let pool = (service("red"), Pool { rejects_overload: true, spare: false });
    Rc::new(FleetConfig {
        version: Version(1),
        queues: vec![queue],
        pools: [pool].into(),
        accounts: None,
    })
}

impl Harness {
    /// Adds one worker of 8 cores for each entry of `racks`, which names its rack.
    pub(crate) fn new(racks: &[&str], advice: Option<Advice>) -> Self {
        Harness::with_job_index(&JobIndex::default(), racks, advice)
    }

    /// A new owner that takes over with these jobs.
    pub(crate) fn with_job_index(
        job_index: &JobIndex,
        racks: &[&str],
        advice: Option<Advice>,
    ) -> Self {
        let mut harness = Harness::unlisted(job_index, racks, advice, Duration::ZERO);
        for n in 0..racks.len() {
            harness.list_worker(n, Vec::new());
        }
        harness
    }

    /// A new owner that has read all submissions and hasn't listed its workers yet. Earlier owners have sent their last commands after
    /// `ownership_horizon`.
    pub(crate) fn unlisted(
        job_index: &JobIndex,
        racks: &[&str],
        advice: Option<Advice>,
        ownership_horizon: Duration,
    ) -> Self {
        let mut harness = Harness::catching_up(job_index, racks, advice, ownership_horizon);
        harness.scheduler.set_submissions_read();
        harness
    }

    /// As [`Self::unlisted`], but earlier owners may have read records of callers that this one hasn't.
    pub(crate) fn catching_up(
        job_index: &JobIndex,
        racks: &[&str],
        advice: Option<Advice>,
        ownership_horizon: Duration,
    ) -> Self {
        let start = Instant::now();
        let now = Now { mono: start, wall: UnixMillis(START_UNIX_MS) };
        let horizon = start + ownership_horizon;
        let scheduler =
            Scheduler::new(1, Limits::default(), config(advice), job_index, horizon, now);
        let mut harness =
            Harness { scheduler, start, elapsed_ms: 0, workers: Vec::new(), vm_rows: Vec::new() };
        let rows = racks.iter().enumerate().map(|(n, rack)| VmRow {
            vm: VmId::try_from(format!("vm-{n}").as_str()).unwrap(),
            pool: service("red"),
            state: VmState::Up,
            labels: vec!["a".into(), (*rack).into()],
            capacity: resources(8_000, 64_000),
            worker: Some(WorkerId(format!("w{n}").into())),
        });
        for (n, rack) in racks.iter().enumerate() {
            harness.workers.push(WorkerId(format!("w{n}").into()));
            harness.register(n, rack, 8_000);
        }
        harness.vm_rows = rows.collect();
        let rows = Event::VmsListed(start, harness.vm_rows.clone());
        harness.handle(rows);
        harness
    }

    /// Registers a worker with this capacity in millicores.
    pub(crate) fn register(&mut self, worker: usize, rack: &str, cores: u32) {
        self.register_incarnation(worker, rack, cores, 1);
    }

    /// Registers a later incarnation of a worker.
    pub(crate) fn register_start(&mut self, worker: usize, started_at: u64) {
        self.register_incarnation(worker, "r0", 8_000, started_at);
    }

    /// Registers a worker of 8 cores with these labels.
    pub(crate) fn register_labels(&mut self, worker: usize, labels: &[&str]) {
        let labels = labels.iter().map(|label| (*label).into()).collect();
        let registration = self.registration(worker, "r0", 8_000, 1);
        self.handle(Event::Registered(WorkerRegistration { labels, ..registration }));
    }

    fn register_incarnation(&mut self, worker: usize, rack: &str, cores: u32, started_at: u64) {
        self.handle(Event::Registered(self.registration(worker, rack, cores, started_at)));
    }

    pub(crate) fn registration(
        &self,
        worker: usize,
        rack: &str,
        cores: u32,
        started_at: u64,
    ) -> WorkerRegistration {
        WorkerRegistration {
            id: self.workers[worker].clone(),
            started_at: Some(started_at),
            service: service("red"),
            address: "127.0.0.1:1".into(),
            capacity: resources(cores, 64_000),
            labels: vec!["a".into(), rack.into()],
            draining: false,
            remaining: None,
        }
    }

    pub(crate) fn now(&self) -> Now {
        let passed = Duration::from_millis(self.elapsed_ms);
        Now { mono: self.start + passed, wall: UnixMillis(START_UNIX_MS) + passed }
    }

    /// Passes an event to the scheduler at the current time.
    pub(crate) fn handle(&mut self, event: Event) {
        let now = self.now();
        self.scheduler.handle(event, now);
    }

    /// Answers a listing of a worker with these runs and no ends.
    pub(crate) fn list_worker(&mut self, worker: usize, running: Vec<RunRow>) {
        let listing = Listing {
            started_at: Some(1),
            clock: 1_000 + self.elapsed_ms,
            running,
            ended: Vec::new(),
            ends_complete: true,
        };
        let sent = self.now().mono;
        self.handle(Event::Listed(self.workers[worker].clone(), sent, ListAnswer::Listed(listing)));
    }

    /// Lists all VMs, and all workers without runs.
    pub(crate) fn list_all(&mut self) {
        let rows = self.vm_rows.clone();
        self.handle(Event::VmsListed(self.now().mono, rows));
        for n in 0..self.workers.len() {
            self.list_worker(n, Vec::new());
        }
    }

    /// Answers a listing of an incarnation of a worker without runs and ends.
    pub(crate) fn list_started(&mut self, worker: usize, started_at: u64) {
        let listing = Listing {
            started_at: Some(started_at),
            clock: 1_000 + self.elapsed_ms,
            ends_complete: true,
            ..Listing::default()
        };
        let sent = self.now().mono;
        self.handle(Event::Listed(self.workers[worker].clone(), sent, ListAnswer::Listed(listing)));
    }

    /// Answers a listing of a worker with the end of a run.
    pub(crate) fn list_end(&mut self, worker: usize, command: &StartCommand, kind: EndKind) {
        let ended =
            EndRow { number: 1, task: command.task, run: command.run, kind, checkpoint: "".into() };
        let listing = Listing {
            started_at: Some(1),
            clock: 1_000 + self.elapsed_ms,
            running: Vec::new(),
            ended: vec![ended],
            ends_complete: true,
        };
        let sent = self.now().mono;
        self.handle(Event::Listed(self.workers[worker].clone(), sent, ListAnswer::Listed(listing)));
    }

    pub(crate) fn submit(&mut self, key: u64, steps: Vec<StepSpec>, schedule: Option<Schedule>) {
        self.submit_with_progress(key, steps, schedule, Vec::new());
    }

    pub(crate) fn submit_with_progress(
        &mut self,
        key: u64,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
        recorded: Vec<Progress>,
    ) {
        let submission = Rc::new(submission(steps, schedule));
        self.handle(Event::Submitted { job: JobKey(key), submission, fresh: true, recorded });
    }

    /// Advances time by `ms`, then returns the scheduler's actions.
    pub(crate) fn poll_after(&mut self, ms: u64) -> Vec<Action> {
        self.elapsed_ms += ms;
        let now = self.now();
        self.scheduler.set_ownership(OwnershipLease::from_heartbeat(now.mono));
        self.scheduler.poll(now)
    }

    /// As [`Self::poll_after`], without a new heartbeat of the owner.
    pub(crate) fn poll_unconfirmed(&mut self, ms: u64) -> Vec<Action> {
        self.elapsed_ms += ms;
        self.scheduler.poll(self.now())
    }
}

pub(crate) fn submission(steps: Vec<StepSpec>, schedule: Option<Schedule>) -> Submission {
    Submission {
        queue: "red".into(),
        service: service("red"),
        priority: 0,
        max_attempts: 2,
        objective: Duration::from_secs(3),
        received_at: UnixMillis(START_UNIX_MS),
        spec: JobSpec { text: String::new(), steps, schedule },
        account: None,
    }
}

/// The row of a run in a listing, just after its start.
pub(crate) fn run_row(command: &StartCommand) -> RunRow {
    RunRow { task: command.task, run: command.run, checkpoint: "".into(), percent: 1, sample: 0 }
}

/// The start commands among actions, each with its target.
pub(crate) fn starts(actions: &[Action]) -> Vec<(&Target, &StartCommand)> {
    let mut found = Vec::new();
    for action in actions {
        if let Action::Start(target, command) = action {
            found.push((target, command));
        }
    }
    found
}

/// Guards against a gang that starts only in part. Either all members start, with the same run number, or none does.
#[test]
fn gangs_start_all_members_or_none() {
    let gang = |count| StepSpec { gang: true, colocated: true, ..step(count, 4_000, 500) };
    let mut harness = Harness::new(&["r1", "r1", "r2"], None);
    harness.submit(1, vec![gang(7)], None);
    let actions = harness.poll_after(200);
    assert!(starts(&actions).is_empty(), "there is room for six");
    harness.submit(2, vec![gang(4)], None);
    let actions = harness.poll_after(200);
    let started = starts(&actions);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(_, command)| command.run == started[0].1.run));
    assert!(started.iter().all(|(target, _)| target.worker.0 != "w2"), "one rack has room for all");
}

/// Guards against a gang that runs more often than its queue allows, because its runs fail at different members.
#[test]
fn failed_runs_of_a_gang_count_together() {
    let mut harness = Harness::new(&["r1", "r1"], None);
    harness.submit(1, vec![StepSpec { gang: true, ..step(2, 5_000, 500) }], None);
    for attempt in 1..=2 {
        let actions = harness.poll_after(200);
        let started = starts(&actions);
        assert_eq!(started.len(), 2, "attempt {attempt} of two");
        for (index, (target, command)) in started.into_iter().enumerate() {
            let done = CommandAnswer::Done;
            let worker = target.worker.clone();
            harness.handle(Event::Started(worker.clone(), command.task, command.run, done));
            let kind = if index + 1 == attempt { EndKind::Failed } else { EndKind::GangBroken };
            let (task, run) = (command.task, command.run);
            let ended =
                vec![EndRow { number: attempt as u64, task, run, kind, checkpoint: "".into() }];
            let clock = 1_000 + harness.elapsed_ms;
            let listing = Listing {
                started_at: Some(1),
                clock,
                ended,
                ends_complete: true,
                ..Listing::default()
            };
            let sent = harness.now().mono;
            harness.handle(Event::Listed(worker, sent, ListAnswer::Listed(listing)));
        }
    }
    assert!(starts(&harness.poll_after(200)).is_empty(), "a third attempt");
}

/// Guards against starts on workers that the policy service hasn't allowed.
#[test]
fn steps_wait_for_advice() {
    let advice =
        Advice { base: Duration::ZERO, per_vm: Duration::ZERO, validity: Duration::from_secs(3) };
    let mut harness = Harness::new(&["r1", "r1", "r2"], Some(advice));
    harness.submit(1, vec![step(2, 1_000, 500)], None);
    let actions = harness.poll_after(200);
    assert!(starts(&actions).is_empty());
    let request = actions.iter().find_map(|action| match action {
        Action::Advise(key, workers) => Some((*key, workers.clone())),
        _ => None,
    });
    let (key, named) = request.expect("the policy service receives a request");
    assert_eq!(named.len(), 3);
    let tickets = vec![Ticket { worker: harness.workers[1].clone(), ticket: "t".into() }];
    let answer = AdviceAnswer::Granted(tickets, Duration::from_secs(3));
    harness.handle(Event::Advised(key, named, answer));
    let actions = harness.poll_after(200);
    let started = starts(&actions);
    assert_eq!(started.len(), 2);
    let allowed = |(target, command): &(&Target, &StartCommand)| {
        target.worker.0 == "w1" && command.ticket.as_deref() == Some("t")
    };
    assert!(started.iter().all(allowed));
}

/// Guards against occurrences that start before they are due.
#[test]
fn occurrences_start_when_due() {
    let mut harness = Harness::new(&["r1"], None);
    let schedule = Schedule {
        count: 2,
        start: UnixMillis(START_UNIX_MS + 1_000),
        interval: Duration::from_secs(2),
    };
    harness.submit(1, vec![step(1, 1_000, 500)], Some(schedule));
    assert!(starts(&harness.poll_after(900)).is_empty());
    let actions = harness.poll_after(200);
    assert_eq!(starts(&actions).len(), 1);
    assert!(starts(&harness.poll_after(1_800)).is_empty());
    let actions = harness.poll_after(200);
    assert_eq!(starts(&actions)[0].1.task.occurrence, 1);
}

/// Guards against tasks outside the rack of their affinity or without a required label, and against more tasks of a step on a
/// worker than its spread allows.
#[test]
fn placement_respects_labels_racks_and_spread() {
    let mut harness = Harness::new(&["r1", "r2", "r2"], None);
    harness.submit(1, vec![StepSpec { affinity: Some("r2".into()), ..step(2, 1_000, 500) }], None);
    let actions = harness.poll_after(200);
    assert!(starts(&actions).iter().all(|(target, _)| target.worker.0 != "w0"));
    harness.submit(2, vec![StepSpec { requires: Some("gpu".into()), ..step(1, 1_000, 500) }], None);
    assert!(starts(&harness.poll_after(200)).is_empty());
    harness.submit(3, vec![StepSpec { spread: Some(1), ..step(4, 1_000, 500) }], None);
    let actions = harness.poll_after(200);
    let mut used: Vec<_> =
        starts(&actions).iter().map(|(target, _)| target.worker.clone()).collect();
    used.sort();
    used.dedup();
    assert_eq!((starts(&actions).len(), used.len()), (3, 3));
}

/// Guards against serving tasks that stay above their latency target because of best-effort tasks (`fills`) on the same worker,
/// and against best-effort tasks that stay paced after the disturbance has ended.
#[test]
fn best_effort_tasks_are_paced_and_released() {
    let mut harness = Harness::new(&["r1"], None);
    let serving = StepSpec {
        long_running: true,
        target: Some(Duration::from_millis(100)),
        ..step(1, 2_000, 0)
    };
    let best_effort = StepSpec { long_running: true, best_effort: true, ..step(1, 8_000, 0) };
    harness.submit(1, vec![serving], None);
    harness.submit(2, vec![best_effort], None);
    let actions = harness.poll_after(200);
    let commands: Vec<(WorkerId, StartCommand)> = starts(&actions)
        .iter()
        .map(|(target, command)| (target.worker.clone(), (*command).clone()))
        .collect();
    assert_eq!(commands.len(), 2);
    for (worker, command) in &commands {
        harness.handle(Event::Started(
            worker.clone(),
            command.task,
            command.run,
            CommandAnswer::Done,
        ));
    }
    let rows = |tail: u32| -> Vec<RunRow> {
        let row = |command: &StartCommand| RunRow {
            task: command.task,
            run: command.run,
            checkpoint: Default::default(),
            percent: 100,
            sample: if command.task.job == JobKey(1) { tail } else { 4_000 },
        };
        commands.iter().map(|(_, command)| row(command)).collect()
    };
    let paces = |actions: &[Action]| -> Vec<u8> {
        let pace = |action: &Action| match action {
            Action::Pace(_, task, _, percent, _) => {
                assert_eq!(task.job, JobKey(2), "only best-effort tasks are paced");
                Some(*percent)
            }
            _ => None,
        };
        actions.iter().filter_map(pace).collect()
    };
    harness.list_worker(0, rows(180));
    assert_eq!(paces(&harness.poll_after(100)), [50]);
    harness.list_worker(0, rows(180));
    assert_eq!(paces(&harness.poll_after(1_000)), [25]);
    let mut last = 25;
    for _ in 0..8 {
        harness.list_worker(0, rows(20));
        let paced = paces(&harness.poll_after(1_700));
        last = paced.last().copied().unwrap_or(last);
    }
    assert_eq!(last, 100);
}

/// Guards against a long-running task that starves on a worker full of finite tasks.
#[test]
fn long_running_tasks_preempt_finite_tasks() {
    let mut harness = Harness::new(&["r1"], None);
    harness.submit(1, vec![step(4, 2_000, 60_000)], None);
    assert_eq!(starts(&harness.poll_after(200)).len(), 4);
    harness.submit(2, vec![StepSpec { long_running: true, ..step(1, 2_000, 0) }], None);
    let mut stopped = HashSet::new();
    for _ in 0..20 {
        for action in harness.poll_after(100) {
            if let Action::Stop(_, task, ..) = action {
                stopped.insert(task);
            }
        }
    }
    assert_eq!(stopped.len(), 1, "one task is preempted");
}

/// Guards against running completed tasks again. The owner reads the submission only after its takeover, and after the progress
/// that an earlier owner recorded.
#[test]
fn recorded_progress_of_a_late_submission_is_kept() {
    let mut harness = Harness::new(&["x"], None);
    let mut done = StepProgress::default();
    done.set_done(0);
    done.set_done(2);
    let recorded = Progress { started: true, steps: vec![done], ..Progress::default() };
    harness.submit_with_progress(1, vec![step(3, 1_000, 500)], None, vec![recorded]);
    let actions = harness.poll_after(30);
    let started: Vec<u32> =
        starts(&actions).iter().map(|(_, command)| command.task.index).collect();
    assert_eq!(started, [1]);
}

/// Guards against running a completed job again. The job index of a new owner has the job as completed, and the event for its
/// submission arrives afterwards, since it was read before the records that follow it.
#[test]
fn completed_jobs_stay_completed_when_their_submission_is_read_late() {
    let mut job_index = JobIndex::default();
    let accepted = submission(vec![step(1, 1_000, 500)], None);
    job_index.apply(Log::Jobs, 1, Record::Submission(JobKey(1), Box::new(accepted.clone())), true);
    let completed = Progress { outcome: Outcome::Completed, ..Progress::default() };
    job_index.apply(Log::Jobs, 2, Record::Progress(JobKey(1), 0, completed), true);
    let mut harness = Harness::with_job_index(&job_index, &["x"], None);
    harness.submit(1, accepted.spec.steps, None);
    assert!(starts(&harness.poll_after(200)).is_empty());
}

/// Guards against running a task again because its VM was moved before the end of the task was durable. The worker's list of ends
/// is lost with the worker, so the next owner finds no trace of the run.
#[test]
fn vms_stay_in_their_pool_until_task_ends_are_durable() {
    let mut harness = Harness::new(&["r1", "r2", "r3", "r4"], None);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(with_spare)));
    harness.submit(1, vec![StepSpec { spread: Some(1), ..step(4, 1_000, 500) }], None);
    let actions = harness.poll_after(200);
    let commands: Vec<(WorkerId, StartCommand)> = starts(&actions)
        .iter()
        .map(|(target, command)| (target.worker.clone(), (*command).clone()))
        .collect();
    assert_eq!(commands.len(), 4);
    for (worker, command) in &commands {
        harness.handle(Event::Started(
            worker.clone(),
            command.task,
            command.run,
            CommandAnswer::Done,
        ));
    }
    for (worker, command) in &commands {
        let number = harness.workers.iter().position(|id| id == worker).unwrap();
        harness.list_end(number, command, EndKind::Done);
    }
    let mut batches = Vec::new();
    let mut moved = HashSet::new();
    for round in 0..120 {
        let durable = round >= 60;
        if durable {
            let written: Vec<u64> = std::mem::take(&mut batches);
            written.into_iter().for_each(|batch| harness.handle(Event::Written(batch)));
        }
        for action in harness.poll_after(100) {
            match action {
                Action::Write(batch, _) => batches.push(batch),
                Action::MoveVm(vm, ..) => {
                    assert!(durable, "the ends aren't durable");
                    moved.insert(vm);
                }
                _ => {}
            }
        }
        harness.list_all();
    }
    assert_eq!(moved.len(), 2, "idle VMs move to the spare pool once the ends are durable");
}

/// Guards against a long-running task that waits for the VM which lacks the least, although nothing there can be preempted. One
/// VM has a long-running task that takes most of it, the other is full of finite tasks.
#[test]
fn long_running_tasks_preempt_where_finite_tasks_run() {
    let mut harness = Harness::new(&["r1", "r2"], None);
    let long_running = |count, cores| StepSpec { long_running: true, ..step(count, cores, 0) };
    harness.submit(1, vec![long_running(1, 5_000)], None);
    assert_eq!(starts(&harness.poll_after(200)).len(), 1);
    harness.submit(2, vec![StepSpec { spread: Some(4), ..step(8, 2_000, 60_000) }], None);
    let actions = harness.poll_after(200);
    assert_eq!(starts(&actions).len(), 5, "one beside the long-running task, four on the other VM");
    harness.submit(3, vec![long_running(1, 6_000)], None);
    let mut stopped = HashSet::new();
    for _ in 0..20 {
        for action in harness.poll_after(100) {
            if let Action::Stop(target, task, ..) = action {
                stopped.insert((target.worker, task));
            }
        }
    }
    assert_eq!(stopped.len(), 3, "{stopped:?}");
    let hosts: HashSet<&WorkerId> = stopped.iter().map(|(worker, _)| worker).collect();
    assert_eq!(hosts.len(), 1);
}
