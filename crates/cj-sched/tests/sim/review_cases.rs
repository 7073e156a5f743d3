//! Decisions that rest on what an owner did or read itself, while another owner may act or may have acted.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, JobIndex, JobKey, JobSpec, Pool, Schedule, TaskId,
    sched::{
        CommandAnswer, ListAnswer, Listing, OWNERSHIP_LEASE, OwnershipLease, RunRow, StartCommand,
        VmRow, VmState, WorkerId, WorkerRegistration,
    },
};
use cj_types::UnixMillis;

use crate::{
    decisions::{Harness, config, run_row, starts, submission},
    network::{Lost, Peer},
    world::{World, resources, service, step},
};

/// Wall-clock time at the start of a harness, in Unix ms.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Interval between two polls, in ms.
const POLL_INTERVAL_MS: u64 = 50;

/// Lowest rate of a worker's clock.
const SLOW_CLOCK: f64 = 0.98;

/// Longest lease that a worker accepts, in ms on its own clock.
const MAX_LEASE_MS: f64 = 10_000.0;

/// Time after the first record of a new owner at which it takes all leases of earlier owners for ended, as in `cj-entry`.
const LEASE_HORIZON_MS: u64 = 8_650;

/// Polls without a heartbeat since `last`.
fn poll_cut_off(harness: &mut Harness, last: Instant, ms: u64) -> Vec<Action> {
    harness.elapsed_ms += ms;
    let now = harness.now();
    harness.scheduler.set_ownership(OwnershipLease::from_heartbeat(last));
    harness.scheduler.poll(now)
}

/// An owner with two workers and a run of a task on one of them. Returns the number of that worker.
fn owner_with_run() -> (Harness, usize, StartCommand) {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let worker = harness.workers.iter().position(|id| *id == target.worker).unwrap();
    let (id, command) = (target.worker.clone(), command.clone());
    let answer = CommandAnswer::Done;
    harness.handle(Event::Started(id, command.task, command.run, answer));
    // The run is listed for long enough that it doesn't count as the cause of a crash.
    for _ in 0..60 {
        harness.list_worker(worker, vec![run_row(&command)]);
        harness.list_worker(1 - worker, Vec::new());
        harness.poll_after(POLL_INTERVAL_MS);
    }
    (harness, worker, command)
}

/// Checks that an owner that was cut off starts nothing for the rest of the time in which it sends commands.
fn assert_no_start(harness: &mut Harness, last: Instant, other: usize) {
    while harness.now().mono < last + OWNERSHIP_LEASE {
        harness.list_worker(other, Vec::new());
        let actions = poll_cut_off(harness, last, POLL_INTERVAL_MS);
        assert!(
            starts(&actions).is_empty(),
            "a start {:?} after the last heartbeat",
            harness.now().mono - last
        );
    }
}

/// Guards against a start after an end as done that the next owner has acknowledged before the worker started anew.
#[test]
fn replaced_owner_starts_no_task_of_a_worker_that_started_anew() {
    let (mut harness, worker, _) = owner_with_run();
    let last = harness.now().mono;
    poll_cut_off(&mut harness, last, 3_000);
    harness.list_started(worker, 2);
    assert_no_start(&mut harness, last, 1 - worker);
}

/// Guards against a start after an end as done that the next owner has acknowledged before it moved the VM.
#[test]
fn replaced_owner_starts_no_task_of_a_worker_that_no_vm_names() {
    let (mut harness, worker, _) = owner_with_run();
    let last = harness.now().mono;
    poll_cut_off(&mut harness, last, 3_000);
    let (id, now) = (harness.workers[worker].clone(), harness.now().mono);
    harness.handle(Event::Listed(id, now, ListAnswer::Unanswered));
    let mut rows = harness.vm_rows.clone();
    rows[worker].state = VmState::Moving;
    rows[worker].worker = None;
    harness.handle(Event::VmsListed(now, rows));
    assert_no_start(&mut harness, last, 1 - worker);
}

/// Guards against a run that outlasts the lease horizon of the next owner because a slow clock was read long ago.
#[test]
fn lease_on_a_slow_clock_that_was_read_long_ago_ends_before_the_lease_horizon() {
    let mut harness = Harness::new(&["r0"], None);
    for _ in 0..300 {
        harness.poll_after(1_000);
    }
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let command = starts(&actions)[0].1;
    let clock = 1_000.0 + harness.elapsed_ms as f64 * SLOW_CLOCK;
    let lease = (command.lease_end as f64 - clock).min(MAX_LEASE_MS) / SLOW_CLOCK;
    // The heartbeat of this owner was sent just now.
    assert!(lease <= LEASE_HORIZON_MS as f64, "the run may last for {lease} ms");
}

/// Guards against a second run on the new service of a queue while the first goes on where the queue led before.
#[test]
fn new_owner_waits_for_workers_of_the_earlier_service_of_a_queue() {
    let horizon = Duration::from_millis(LEASE_HORIZON_MS);
    let mut harness = Harness::unlisted(&JobIndex::default(), &["r0"], None, horizon);
    let mut moved = (*config(None)).clone();
    moved.version = cj_types::Version(2);
    moved.queues[0].service = service("blue");
    moved.pools.insert(service("blue"), Pool { rejects_overload: true, spare: false });
    harness.handle(Event::Config(Rc::new(moved)));
    harness.workers.push(WorkerId("w1".into()));
    harness.handle(Event::Registered(WorkerRegistration {
        id: WorkerId("w1".into()),
        started_at: Some(1),
        service: service("blue"),
        address: "127.0.0.1:1".into(),
        capacity: resources(8_000, 64_000),
        labels: vec!["a".into(), "r1".into()],
        draining: false,
        remaining: None,
    }));
    let mut rows = harness.vm_rows.clone();
    rows.push(VmRow {
        vm: "vm-1".try_into().unwrap(),
        pool: service("blue"),
        worker: Some(WorkerId("w1".into())),
        ..rows[0].clone()
    });
    harness.handle(Event::VmsListed(harness.now().mono, rows));
    let submission = Rc::new(submission(vec![step(1, 1_000, 60_000)], None));
    let (job, recorded) = (JobKey(1), Vec::new());
    harness.handle(Event::Submitted { job, submission, fresh: false, recorded });
    harness.list_worker(1, Vec::new());
    while harness.elapsed_ms < 5_000 {
        let actions = harness.poll_after(POLL_INTERVAL_MS);
        assert!(starts(&actions).is_empty(), "w0 may run the task, and wasn't listed");
        harness.list_worker(1, Vec::new());
    }
}

/// Guards against the loss of a run that was adopted after the lease horizon, while its lease goes on.
#[test]
fn run_adopted_after_the_lease_horizon_is_not_lost_at_the_first_missed_listing() {
    let mut harness = Harness::unlisted(&JobIndex::default(), &["r0", "r1"], None, Duration::ZERO);
    let task = TaskId { job: JobKey(1), occurrence: 0, step: 0, index: 0 };
    harness.elapsed_ms = 20_000;
    harness.submit_unread(1);
    let run = RunRow { task, run: 5, checkpoint: "".into(), percent: 1, sample: 0 };
    harness.list_worker(0, vec![run]);
    let id = harness.workers[0].clone();
    let now = harness.now().mono;
    harness.handle(Event::Listed(id, now, ListAnswer::Unanswered));
    for _ in 0..40 {
        harness.list_worker(1, Vec::new());
        let actions = harness.poll_after(POLL_INTERVAL_MS);
        assert!(
            starts(&actions).is_empty(),
            "{} ms after the adoption",
            harness.elapsed_ms - 20_000
        );
    }
}

impl Harness {
    /// Submits a job with one task that an earlier owner may have started.
    fn submit_unread(&mut self, key: u64) {
        let submission = Rc::new(submission(vec![step(1, 1_000, 60_000)], None));
        let (job, recorded) = (JobKey(key), Vec::new());
        self.handle(Event::Submitted { job, submission, fresh: false, recorded });
    }
}

/// Guards against a start of an older task on the word of a list of VMs that misses a worker on which the earlier owner, still
/// the only one, started the task after that list was requested.
#[test]
fn new_owner_needs_a_list_of_vms_requested_after_earlier_owners_stopped_acting_alone() {
    let horizon = Duration::from_millis(LEASE_HORIZON_MS);
    let mut harness = Harness::unlisted(&JobIndex::default(), &["r0"], None, horizon);
    harness.scheduler.begin_at(harness.start + Duration::from_millis(1_300));
    harness.submit_unread(1);
    harness.elapsed_ms = 1_300;
    harness.list_worker(0, Vec::new());
    assert!(starts(&harness.poll_after(10)).is_empty(), "the list of VMs is 1.3 s old");
    harness.elapsed_ms += 600;
    harness.list_all();
    assert_eq!(starts(&harness.poll_after(10)).len(), 1, "a later list names no other worker");
}

/// Guards against two runs of an occurrence: the next owner has listed the idle worker, which then started anew under its id, and
/// the replaced owner, which doesn't know that, sends it the start once the occurrence is due.
#[test]
fn replaced_owner_starts_no_due_occurrence_on_a_worker_that_started_anew_unnoticed() {
    let mut world = World::new(1);
    for n in 0..2 {
        world.add_worker(&format!("w{n}"), "red", "r0");
    }
    world.take_over(false);
    world.run_for(3_000);
    let due = UnixMillis(START_UNIX_MS + world.now + 4_000);
    let schedule = Schedule { count: 1, start: due, interval: Duration::from_secs(60) };
    let spec = JobSpec {
        text: String::new(),
        steps: vec![step(1, 1_000, 30_000)],
        schedule: Some(schedule),
    };
    world.submit_spec(1, "red", spec);
    world.run_for(500);
    for peer in [Peer::Appends, Peer::JobReads, Peer::Registrations, Peer::VmList] {
        world.network.cut(0, peer, Lost::Calls, u64::MAX);
    }
    world.run_for(1_400);
    world.take_over(false);
    world.run_for(1_000);
    // Both idle workers crash and are back at once, so that their next incarnations have seen no fencing token.
    for worker in 0..2 {
        world.crash_for(worker, 100);
    }
    // The replaced owner reaches one of them, the next one the other.
    world.network.cut(0, Peer::Worker(1), Lost::Calls, u64::MAX);
    world.network.cut(1, Peer::Worker(0), Lost::Calls, u64::MAX);
    world.run_for(6_000);
}

/// Guards against a start after an end as done that the next owner has acknowledged: the worker then started anew, and only the
/// replaced owner reaches its next incarnation.
#[test]
fn replaced_owner_starts_no_completed_task_of_a_worker_that_started_anew() {
    let mut world = World::new(1);
    for n in 0..2 {
        world.add_worker(&format!("w{n}"), "red", "r0");
    }
    world.take_over(false);
    world.run_for(100);
    let task = TaskId { job: JobKey(1), occurrence: 0, step: 0, index: 0 };
    world.run_times.insert(task, 2_500);
    world.submit(1, "red", vec![step(1, 1_000, 2_500)]);
    world.run_for(1_000);
    let busy = world.workers.iter().position(|worker| !worker.runs.is_empty()).unwrap();
    world.disconnect_owner();
    let restart_at = world.now + 2_500;
    world.network.cut(0, Peer::Worker(busy), Lost::Calls, restart_at);
    world.network.cut(1, Peer::Worker(1 - busy), Lost::Calls, u64::MAX);
    world.run_for(world.claimable_at() - world.now);
    world.take_over(false);
    world.run_for(restart_at - world.now);
    world.network.cut(1, Peer::Worker(busy), Lost::Calls, u64::MAX);
    world.crash_for(busy, 100);
    world.run_for(4_000);
}

/// Answers a listing of an incarnation of a worker, without ends.
fn list_incarnation(harness: &mut Harness, worker: usize, started_at: u64, running: Vec<RunRow>) {
    let listing = Listing {
        started_at: Some(started_at),
        clock: 1_000 + harness.elapsed_ms,
        running,
        ended: Vec::new(),
        ends_complete: true,
    };
    let (id, sent) = (harness.workers[worker].clone(), harness.now().mono);
    harness.handle(Event::Listed(id, sent, ListAnswer::Listed(listing)));
}

/// Passes a list of VMs on which the VM of a worker is down.
fn list_vm_down(harness: &mut Harness, worker: usize, sent: Instant) {
    let mut rows = harness.vm_rows.clone();
    rows[worker].state = VmState::Down;
    rows[worker].worker = None;
    harness.handle(Event::VmsListed(sent, rows));
}

/// Guards against a second run because a list of VMs that was requested before the worker started anew arrives after it. Found
/// by the simulation of cuts with seed 126.
#[test]
fn late_list_of_vms_does_not_end_an_incarnation_that_answered_after_its_request() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.poll_after(1_000);
    let requested = harness.now().mono;
    harness.poll_after(500);
    for worker in 0..2 {
        list_incarnation(&mut harness, worker, 2, Vec::new());
    }
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let worker = harness.workers.iter().position(|id| *id == target.worker).unwrap();
    let answer = CommandAnswer::Done;
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, answer));
    for _ in 0..20 {
        list_incarnation(&mut harness, worker, 2, vec![run_row(command)]);
        harness.poll_after(POLL_INTERVAL_MS);
    }
    let now = harness.now().mono;
    harness.handle(Event::Listed(target.worker.clone(), now, ListAnswer::Unanswered));
    list_vm_down(&mut harness, worker, requested);
    for _ in 0..20 {
        list_incarnation(&mut harness, 1 - worker, 2, Vec::new());
        assert!(starts(&harness.poll_after(POLL_INTERVAL_MS)).is_empty(), "the run goes on");
    }
}

/// Guards against a start that is carried out late by the next incarnation of a worker, because the stop that would have ruled it
/// out was lost. Found by the simulation of cuts with seed 189.
#[test]
fn unanswered_stop_of_a_start_that_may_come_late_is_repeated() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let worker = harness.workers.iter().position(|id| *id == target.worker).unwrap();
    let started = |answer| Event::Started(target.worker.clone(), command.task, command.run, answer);
    harness.handle(started(CommandAnswer::Unanswered));
    assert_eq!(starts(&harness.poll_after(10)).len(), 1, "the start is repeated");
    harness.handle(started(CommandAnswer::Done));
    for _ in 0..20 {
        harness.list_worker(worker, vec![run_row(command)]);
        harness.poll_after(POLL_INTERVAL_MS);
    }
    let now = harness.now().mono;
    harness.handle(Event::Listed(target.worker.clone(), now, ListAnswer::Unanswered));
    harness.elapsed_ms += 1_000;
    let now = harness.now().mono;
    list_vm_down(&mut harness, worker, now);
    harness.poll_after(500);
    harness.register_start(worker, 2);
    let is_stop = |action: &Action| matches!(action, Action::Stop(_, task, run, _) if *task == command.task && *run == command.run);
    assert!(harness.poll_after(10).iter().any(is_stop));
    let answer = CommandAnswer::Unanswered;
    harness.handle(Event::Stopped(target.worker.clone(), command.task, command.run, answer));
    let mut repeated = false;
    for _ in 0..60 {
        list_incarnation(&mut harness, worker, 2, Vec::new());
        repeated |= harness.poll_after(POLL_INTERVAL_MS).iter().any(is_stop);
    }
    assert!(repeated, "the next incarnation may still carry the start out");
}

/// Guards against a second run by a new owner whose lease horizon a lease outlasts: the earlier owner granted it late in its own
/// time, from an old reading of a slow clock.
#[test]
fn run_on_an_idle_worker_with_a_slow_clock_ends_before_the_next_owner_starts_it() {
    let mut world = World::new(1);
    for n in 0..2 {
        world.add_worker(&format!("w{n}"), "red", "r0");
        world.workers[n].clock_rate = SLOW_CLOCK;
    }
    world.take_over(false);
    world.run_for(300_000);
    let due = UnixMillis(START_UNIX_MS + world.now + 6_500);
    let schedule = Schedule { count: 1, start: due, interval: Duration::from_secs(60) };
    let steps = vec![step(1, 1_000, 60_000)];
    let spec = JobSpec { text: String::new(), steps, schedule: Some(schedule) };
    let task = TaskId { job: JobKey(1), occurrence: 0, step: 0, index: 0 };
    world.run_times.insert(task, 60_000);
    world.submit_spec(1, "red", spec);
    world.run_for(500);
    world.disconnect_owner();
    world.network.cut(0, Peer::Worker(1), Lost::Calls, u64::MAX);
    world.network.cut(1, Peer::Worker(0), Lost::Calls, u64::MAX);
    world.run_for(world.claimable_at() - world.now);
    world.take_over(false);
    world.run_for(22_000);
    assert_eq!(world.checks.starts, 2, "the next owner starts the task again");
}

/// Guards against a second run after a takeover, on the service to which the configuration has moved the queue, while the first
/// goes on a worker of the earlier service that the new owner doesn't reach.
#[test]
fn task_whose_queue_moved_to_another_service_runs_once_after_a_takeover() {
    let mut world = World::new(1);
    world.add_worker("w0", "red", "r0");
    world.add_worker("w1", "blue", "r0");
    world.take_over(false);
    world.run_for(100);
    let task = TaskId { job: JobKey(1), occurrence: 0, step: 0, index: 0 };
    world.run_times.insert(task, 60_000);
    world.submit(1, "red", vec![step(1, 1_000, 60_000)]);
    world.run_for(1_000);
    let mut moved = (*world.config).clone();
    moved.version = cj_types::Version(2);
    moved.queues[0].service = service("blue");
    world.config = Rc::new(moved);
    world.notify_owners(&Event::Config(world.config.clone()));
    world.run_for(1_000);
    assert_eq!(world.checks.starts, 1);
    world.network.cut(1, Peer::Worker(0), Lost::Calls, world.now + 4_000);
    world.take_over(true);
    world.run_for(4_000);
    assert_eq!(world.checks.starts, 1);
}

/// Guards against a second run after a single missed listing where no VM management service is configured: the owner then gets
/// empty lists of VMs.
#[test]
fn empty_list_of_vms_ends_no_incarnation() {
    let (mut harness, worker, _) = owner_with_run();
    harness.poll_after(1_000);
    let (id, now) = (harness.workers[worker].clone(), harness.now().mono);
    harness.handle(Event::Listed(id, now, ListAnswer::Unanswered));
    harness.handle(Event::VmsListed(now, Vec::new()));
    for _ in 0..20 {
        harness.list_worker(1 - worker, Vec::new());
        assert!(starts(&harness.poll_after(POLL_INTERVAL_MS)).is_empty(), "the run goes on");
    }
}

/// Guards against a new owner that takes an empty list of VMs for the whole fleet, and so starts older tasks before it has read
/// the registrations of all workers.
#[test]
fn new_owner_with_an_empty_list_of_vms_waits_for_its_lease_horizon() {
    let horizon = Duration::from_millis(LEASE_HORIZON_MS);
    let mut harness = Harness::unlisted(&JobIndex::default(), &[], None, horizon);
    harness.submit_unread(1);
    harness.poll_after(10);
    for worker in 0..2 {
        harness.workers.push(WorkerId(format!("w{worker}").into()));
        harness.register(worker, "r0", 8_000);
    }
    while harness.elapsed_ms < 5_000 {
        harness.list_worker(1, Vec::new());
        let actions = harness.poll_after(POLL_INTERVAL_MS);
        assert!(starts(&actions).is_empty(), "w0 may run the task, and wasn't listed");
    }
}
