//! Single decisions: events in, orders out, without a world around.

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

const WALL: u64 = 1_700_000_000_000;

/// A scheduler of one service whose workers are listed.
pub(crate) struct Bench {
    pub(crate) scheduler: Scheduler,
    pub(crate) base: Instant,
    pub(crate) ms: u64,
    pub(crate) workers: Vec<WorkerId>,
    pub(crate) rows: Vec<VmRow>,
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
    };
    let pool = (service("red"), Pool { rejects_overload: true, spare: false });
    Rc::new(FleetConfig { version: Version(1), queues: vec![queue], pools: [pool].into() })
}

impl Bench {
    /// `racks` has the rack of each worker; each has 8 cores.
    pub(crate) fn new(racks: &[&str], advice: Option<Advice>) -> Self {
        Bench::with_book(&JobIndex::default(), racks, advice)
    }

    /// An owner that finds these jobs recorded.
    pub(crate) fn with_book(book: &JobIndex, racks: &[&str], advice: Option<Advice>) -> Self {
        let base = Instant::now();
        let now = Now { mono: base, wall: UnixMillis(WALL) };
        let scheduler = Scheduler::new(1, Limits::default(), config(advice), book, base, now);
        let mut bench = Bench { scheduler, base, ms: 0, workers: Vec::new(), rows: Vec::new() };
        let rows = racks.iter().enumerate().map(|(n, rack)| VmRow {
            vm: VmId::try_from(format!("vm-{n}").as_str()).unwrap(),
            pool: service("red"),
            state: VmState::Up,
            labels: vec!["a".into(), (*rack).into()],
            capacity: resources(8_000, 64_000),
            worker: Some(WorkerId(format!("w{n}").into())),
        });
        for (n, rack) in racks.iter().enumerate() {
            let id = WorkerId(format!("w{n}").into());
            bench.workers.push(id.clone());
            bench.tell(Event::Registered(WorkerRegistration {
                id,
                started_at: Some(1),
                service: service("red"),
                address: "127.0.0.1:1".into(),
                capacity: resources(8_000, 64_000),
                labels: vec!["a".into(), (*rack).into()],
                draining: false,
                remaining: None,
            }));
        }
        bench.rows = rows.collect();
        let rows = Event::VmsListed(base, bench.rows.clone());
        bench.tell(rows);
        for n in 0..racks.len() {
            bench.list(n, Vec::new());
        }
        bench
    }

    pub(crate) fn now(&self) -> Now {
        let passed = Duration::from_millis(self.ms);
        Now { mono: self.base + passed, wall: UnixMillis(WALL) + passed }
    }

    pub(crate) fn tell(&mut self, event: Event) {
        let now = self.now();
        self.scheduler.handle(event, now);
    }

    pub(crate) fn list(&mut self, worker: usize, running: Vec<RunRow>) {
        let listing =
            Listing { started_at: Some(1), clock: 1_000 + self.ms, running, ended: Vec::new() };
        let sent = self.now().mono;
        self.tell(Event::Listed(self.workers[worker].clone(), sent, ListAnswer::Listed(listing)));
    }

    pub(crate) fn list_all(&mut self) {
        let rows = self.rows.clone();
        self.tell(Event::VmsListed(self.now().mono, rows));
        for n in 0..self.workers.len() {
            self.list(n, Vec::new());
        }
    }

    /// Lists the end of a run.
    pub(crate) fn end(&mut self, worker: usize, order: &StartCommand, how: EndKind) {
        let ended = EndRow {
            number: 1,
            task: order.task,
            run: order.run,
            kind: how,
            checkpoint: "".into(),
        };
        let listing = Listing {
            started_at: Some(1),
            clock: 1_000 + self.ms,
            running: Vec::new(),
            ended: vec![ended],
        };
        let sent = self.now().mono;
        self.tell(Event::Listed(self.workers[worker].clone(), sent, ListAnswer::Listed(listing)));
    }

    pub(crate) fn submit(&mut self, key: u64, steps: Vec<StepSpec>, schedule: Option<Schedule>) {
        self.submit_recorded(key, steps, schedule, Vec::new());
    }

    pub(crate) fn submit_recorded(
        &mut self,
        key: u64,
        steps: Vec<StepSpec>,
        schedule: Option<Schedule>,
        recorded: Vec<Progress>,
    ) {
        let submission = Rc::new(submission(steps, schedule));
        self.tell(Event::Submitted { job: JobKey(key), submission, fresh: true, recorded });
    }

    /// Lets time pass, and returns what is to be done then.
    pub(crate) fn after(&mut self, ms: u64) -> Vec<Action> {
        self.ms += ms;
        let now = self.now();
        self.scheduler.set_ownership(OwnershipLease::from_heartbeat(now.mono));
        self.scheduler.poll(now)
    }
}

pub(crate) fn submission(steps: Vec<StepSpec>, schedule: Option<Schedule>) -> Submission {
    Submission {
        queue: "red".into(),
        service: service("red"),
        priority: 0,
        max_attempts: 2,
        objective: Duration::from_secs(3),
        received_at: UnixMillis(WALL),
        spec: JobSpec { text: String::new(), steps, schedule },
    }
}

pub(crate) fn starts(actions: &[Action]) -> Vec<(&Target, &StartCommand)> {
    let mut found = Vec::new();
    for action in actions {
        if let Action::Start(target, order) = action {
            found.push((target, order));
        }
    }
    found
}

/// Guards against a gang of which some members wait in vain: all start with one run number, or none.
#[test]
fn gangs_start_whole() {
    let gang = |count| StepSpec { gang: true, colocated: true, ..step(count, 4_000, 500) };
    let mut bench = Bench::new(&["r1", "r1", "r2"], None);
    bench.submit(1, vec![gang(7)], None);
    let actions = bench.after(200);
    assert!(starts(&actions).is_empty(), "there is room for six");
    bench.submit(2, vec![gang(4)], None);
    let actions = bench.after(200);
    let started = starts(&actions);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(_, order)| order.run == started[0].1.run));
    assert!(started.iter().all(|(target, _)| target.worker.0 != "w2"), "one rack has room for all");
}

/// Guards against starts on workers that the policy doesn't allow.
#[test]
fn steps_wait_for_advice() {
    let advice =
        Advice { base: Duration::ZERO, per_vm: Duration::ZERO, validity: Duration::from_secs(3) };
    let mut bench = Bench::new(&["r1", "r1", "r2"], Some(advice));
    bench.submit(1, vec![step(2, 1_000, 500)], None);
    let actions = bench.after(200);
    assert!(starts(&actions).is_empty());
    let asked = actions.iter().find_map(|action| match action {
        Action::Advise(key, workers) => Some((*key, workers.len())),
        _ => None,
    });
    let (key, named) = asked.expect("the policy service is asked");
    assert_eq!(named, 3);
    let good = vec![Ticket { worker: bench.workers[1].clone(), ticket: "t".into() }];
    bench.tell(Event::Advised(key, AdviceAnswer::Granted(good, Duration::from_secs(3))));
    let actions = bench.after(200);
    let started = starts(&actions);
    assert_eq!(started.len(), 2);
    let allowed = |(target, order): &(&Target, &StartCommand)| {
        target.worker.0 == "w1" && order.ticket.as_deref() == Some("t")
    };
    assert!(started.iter().all(allowed));
}

/// Guards against occurrences that start before they are due.
#[test]
fn occurrences_wait_for_their_time() {
    let mut bench = Bench::new(&["r1"], None);
    let schedule =
        Schedule { count: 2, start: UnixMillis(WALL + 1_000), interval: Duration::from_secs(2) };
    bench.submit(1, vec![step(1, 1_000, 500)], Some(schedule));
    assert!(starts(&bench.after(900)).is_empty());
    let actions = bench.after(200);
    assert_eq!(starts(&actions).len(), 1);
    assert!(starts(&bench.after(1_800)).is_empty());
    let actions = bench.after(200);
    assert_eq!(starts(&actions)[0].1.task.occurrence, 1);
}

/// Guards against tasks far from their data, without the label they need, and more of them on one worker than allowed.
#[test]
fn placement_keeps_to_labels_racks_and_spread() {
    let mut bench = Bench::new(&["r1", "r2", "r2"], None);
    bench.submit(1, vec![StepSpec { affinity: Some("r2".into()), ..step(2, 1_000, 500) }], None);
    let actions = bench.after(200);
    assert!(starts(&actions).iter().all(|(target, _)| target.worker.0 != "w0"));
    bench.submit(2, vec![StepSpec { requires: Some("gpu".into()), ..step(1, 1_000, 500) }], None);
    assert!(starts(&bench.after(200)).is_empty());
    bench.submit(3, vec![StepSpec { spread: Some(1), ..step(4, 1_000, 500) }], None);
    let actions = bench.after(200);
    let mut used: Vec<_> =
        starts(&actions).iter().map(|(target, _)| target.worker.clone()).collect();
    used.sort();
    used.dedup();
    assert_eq!((starts(&actions).len(), used.len()), (3, 3));
}

/// Plays neighbours whose disturbance grows and ends. Guards against serving tasks that stay above their target because of
/// tasks that fill, and against tasks that stay paced afterwards.
#[test]
fn tasks_that_fill_are_paced_and_released() {
    let mut bench = Bench::new(&["r1"], None);
    let serving = StepSpec {
        long_running: true,
        target: Some(Duration::from_millis(100)),
        ..step(1, 2_000, 0)
    };
    let filling = StepSpec { long_running: true, best_effort: true, ..step(1, 8_000, 0) };
    bench.submit(1, vec![serving], None);
    bench.submit(2, vec![filling], None);
    let actions = bench.after(200);
    let orders: Vec<(WorkerId, StartCommand)> =
        starts(&actions).iter().map(|(t, o)| (t.worker.clone(), (*o).clone())).collect();
    assert_eq!(orders.len(), 2);
    for (worker, order) in &orders {
        bench.tell(Event::Started(worker.clone(), order.task, order.run, CommandAnswer::Done));
    }
    let rows = |tail: u32| -> Vec<RunRow> {
        let row = |order: &StartCommand| RunRow {
            task: order.task,
            run: order.run,
            checkpoint: Default::default(),
            percent: 100,
            sample: if order.task.job == JobKey(1) { tail } else { 4_000 },
        };
        orders.iter().map(|(_, order)| row(order)).collect()
    };
    let paces = |actions: &[Action]| -> Vec<u8> {
        let pace = |action: &Action| match action {
            Action::Pace(_, task, _, percent) => {
                assert_eq!(task.job, JobKey(2), "only tasks that fill are paced");
                Some(*percent)
            }
            _ => None,
        };
        actions.iter().filter_map(pace).collect()
    };
    bench.list(0, rows(180));
    assert_eq!(paces(&bench.after(100)), [50]);
    bench.list(0, rows(180));
    assert_eq!(paces(&bench.after(1_000)), [25]);
    let mut last = 25;
    for _ in 0..8 {
        bench.list(0, rows(20));
        let paced = paces(&bench.after(1_700));
        last = paced.last().copied().unwrap_or(last);
    }
    assert_eq!(last, 100);
}

/// Plays a worker that is full of finite tasks. Guards against lasting tasks that wait for room that never comes.
#[test]
fn lasting_tasks_make_room() {
    let mut bench = Bench::new(&["r1"], None);
    bench.submit(1, vec![step(4, 2_000, 60_000)], None);
    assert_eq!(starts(&bench.after(200)).len(), 4);
    bench.submit(2, vec![StepSpec { long_running: true, ..step(1, 2_000, 0) }], None);
    let mut stopped = HashSet::new();
    for _ in 0..20 {
        for action in bench.after(100) {
            if let Action::Stop(_, task, _) = action {
                stopped.insert(task);
            }
        }
    }
    assert_eq!(stopped.len(), 1, "one task gives way");
}

/// Guards against tasks that are run again when their submission is read after a takeover, and after the progress that an
/// earlier owner recorded.
#[test]
fn recorded_tasks_of_a_late_submission_stay_done() {
    let mut bench = Bench::new(&["x"], None);
    let mut done = StepProgress::default();
    done.set_done(0);
    done.set_done(2);
    let recorded = Progress { started: true, steps: vec![done], ..Progress::default() };
    bench.submit_recorded(1, vec![step(3, 1_000, 500)], None, vec![recorded]);
    let actions = bench.after(30);
    let started: Vec<u32> = starts(&actions).iter().map(|(_, order)| order.task.index).collect();
    assert_eq!(started, [1]);
}

/// Guards against a job that is run again because its submission was read before the records that follow it: the owner finds
/// the job completed when it begins, and hears of the submission afterwards.
#[test]
fn completed_jobs_stay_closed_when_their_submission_is_heard_of_late() {
    let mut book = JobIndex::default();
    let accepted = submission(vec![step(1, 1_000, 500)], None);
    book.apply(Log::Jobs, 1, Record::Submission(JobKey(1), Box::new(accepted.clone())), true);
    let completed = Progress { outcome: Outcome::Completed, ..Progress::default() };
    book.apply(Log::Jobs, 2, Record::Progress(JobKey(1), 0, completed), true);
    let mut bench = Bench::with_book(&book, &["x"], None);
    bench.submit(1, accepted.spec.steps, None);
    assert!(starts(&bench.after(200)).is_empty());
}

/// Guards against a task that is run again because its VM was moved before its end was durable: the list of ends goes with the
/// worker, and the next owner finds nothing of it.
#[test]
fn vms_stay_until_the_ends_of_their_tasks_are_durable() {
    let mut bench = Bench::new(&["r1", "r2", "r3", "r4"], None);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    bench.tell(Event::Config(Rc::new(with_spare)));
    bench.submit(1, vec![StepSpec { spread: Some(1), ..step(4, 1_000, 500) }], None);
    let actions = bench.after(200);
    let orders: Vec<(WorkerId, StartCommand)> =
        starts(&actions).iter().map(|(t, o)| (t.worker.clone(), (*o).clone())).collect();
    assert_eq!(orders.len(), 4);
    for (worker, order) in &orders {
        bench.tell(Event::Started(worker.clone(), order.task, order.run, CommandAnswer::Done));
    }
    for (worker, order) in &orders {
        let number = bench.workers.iter().position(|id| id == worker).unwrap();
        bench.end(number, order, EndKind::Done);
    }
    let mut batches = Vec::new();
    let mut moved = HashSet::new();
    for round in 0..120 {
        let durable = round >= 60;
        if durable {
            let written: Vec<u64> = std::mem::take(&mut batches);
            written.into_iter().for_each(|batch| bench.tell(Event::Written(batch)));
        }
        for action in bench.after(100) {
            match action {
                Action::Write(batch, _) => batches.push(batch),
                Action::MoveVm(vm, _) => {
                    assert!(durable, "the ends aren't durable");
                    moved.insert(vm);
                }
                _ => {}
            }
        }
        bench.list_all();
    }
    assert_eq!(moved.len(), 2, "idle VMs are parked once the ends are durable");
}

/// Plays a pool whose VMs are full of lasting tasks but for one, which is full of finite ones. Guards against a lasting task that
/// waits for room on the VM where the least is missing, although nothing there can give way.
#[test]
fn lasting_tasks_make_room_where_finite_ones_give_way() {
    let mut bench = Bench::new(&["r1", "r2"], None);
    let lasting = |count, cores| StepSpec { long_running: true, ..step(count, cores, 0) };
    bench.submit(1, vec![lasting(1, 5_000)], None);
    assert_eq!(starts(&bench.after(200)).len(), 1);
    bench.submit(2, vec![StepSpec { spread: Some(4), ..step(8, 2_000, 60_000) }], None);
    let actions = bench.after(200);
    assert_eq!(starts(&actions).len(), 5, "one beside the lasting task, four on the other VM");
    bench.submit(3, vec![lasting(1, 6_000)], None);
    let mut stopped = HashSet::new();
    for _ in 0..20 {
        for action in bench.after(100) {
            if let Action::Stop(target, task, _) = action {
                stopped.insert((target.worker, task));
            }
        }
    }
    assert_eq!(stopped.len(), 3, "{stopped:?}");
    let hosts: HashSet<&WorkerId> = stopped.iter().map(|(worker, _)| worker).collect();
    assert_eq!(hosts.len(), 1);
}
