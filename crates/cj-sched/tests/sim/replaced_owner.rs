//! An owner that is cut off from the store and may have been replaced: it decides on what it did itself, while the next owner
//! acts on the workers that it reaches.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, JobIndex, JobKey, Pool, StepSpec, TaskId,
    sched::{
        CommandAnswer, Limits, ListAnswer, Listing, OWNERSHIP_LEASE, OwnershipLease, RunRow,
        StartCommand, VmRow, VmState, WorkerId,
    },
};

use crate::{
    decisions::{Harness, config, starts, submission},
    world::{service, step},
};

/// Advances time by `ms` without a heartbeat since `last`, then returns the scheduler's actions.
fn poll_cut_off(harness: &mut Harness, last: Instant, ms: u64) -> Vec<Action> {
    harness.elapsed_ms += ms;
    let now = harness.now();
    harness.scheduler.set_ownership(OwnershipLease::from_heartbeat(last));
    harness.scheduler.poll(now)
}

fn run_row(command: &StartCommand) -> RunRow {
    RunRow { task: command.task, run: command.run, checkpoint: "".into(), percent: 1, sample: 0 }
}

/// Guards against a task that runs twice: the next owner starts it elsewhere, and the new incarnation has seen no fencing token.
#[test]
fn a_replaced_owner_starts_no_task_on_an_incarnation_that_began_after_its_last_heartbeat() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let done = CommandAnswer::Done;
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, done));
    harness.poll_after(1_000);
    harness.list_worker(0, vec![run_row(command)]);
    let last = harness.now().mono;
    poll_cut_off(&mut harness, last, 2_000);
    harness.list_started(0, 2);
    for _ in 0..40 {
        let actions = poll_cut_off(&mut harness, last, 100);
        assert!(starts(&actions).is_empty(), "{:?}", harness.now().mono - last);
    }
    assert_eq!(starts(&harness.poll_after(100)).len(), 1, "the store confirms the ownership");
}

/// Guards against a task that runs twice on a worker that joined after the next owner had listed all others.
#[test]
fn a_replaced_owner_starts_no_task_on_a_worker_that_joined_after_its_last_heartbeat() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(2, 8_000, 60_000)], None);
    assert_eq!(starts(&harness.poll_after(10)).len(), 1);
    let last = harness.now().mono;
    poll_cut_off(&mut harness, last, 1_500);
    harness.workers.push(WorkerId("w1".into()));
    harness.register(1, "r0", 8_000);
    harness.list_worker(1, Vec::new());
    for _ in 0..40 {
        let actions = poll_cut_off(&mut harness, last, 100);
        assert!(starts(&actions).is_empty(), "{:?}", harness.now().mono - last);
    }
    assert_eq!(starts(&harness.poll_after(100)).len(), 1, "the store confirms the ownership");
}

/// Guards against a task that runs twice because its start is repeated on a later incarnation under the same id.
#[test]
fn a_replaced_owner_lists_a_worker_instead_of_repeating_an_unanswered_start() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let last = harness.now().mono;
    poll_cut_off(&mut harness, last, 1_500);
    harness.list_worker(0, Vec::new());
    let unanswered = CommandAnswer::Unanswered;
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, unanswered));
    let actions = poll_cut_off(&mut harness, last, 50);
    assert!(starts(&actions).is_empty());
    assert!(actions.iter().any(|action| matches!(action, Action::List { .. })));
}

/// Guards against a move of a VM on which the next owner has started tasks. The platform's fence of a VM only rises when the next
/// owner commands that VM.
#[test]
fn a_replaced_owner_moves_no_vm_that_it_takes_for_empty() {
    let mut harness = Harness::new(&["r1", "r2", "r3", "r4"], None);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(with_spare)));
    let is_move = |action: &Action| matches!(action, Action::MoveVm(..));
    let last = harness.now().mono;
    harness.elapsed_ms += 1_200;
    harness.list_all();
    for _ in 0..60 {
        let actions = poll_cut_off(&mut harness, last, 100);
        let since = harness.now().mono - last;
        assert!(!actions.iter().any(is_move), "{since:?} after the last heartbeat");
        harness.list_all();
    }
    let mut moved = false;
    for _ in 0..40 {
        moved |= harness.poll_after(100).iter().any(is_move);
        harness.list_all();
    }
    assert!(moved, "idle VMs move once the store confirms the ownership");
}

/// Longest time that a lease which is granted now lasts on a worker that is idle for ten minutes before, with a clock of this rate.
fn longest_lease(clock_rate: f64) -> Duration {
    let mut harness = Harness::new(&["r0"], None);
    let clock = |harness: &Harness| 1_000 + (harness.elapsed_ms as f64 * clock_rate) as u64;
    for _ in 0..600 {
        let actions = harness.poll_after(1_000);
        if actions.iter().any(|action| matches!(action, Action::List { .. })) {
            let listing = Listing {
                started_at: Some(1),
                clock: clock(&harness),
                ends_complete: true,
                ..Listing::default()
            };
            let (id, sent) = (harness.workers[0].clone(), harness.now().mono);
            harness.handle(Event::Listed(id, sent, ListAnswer::Listed(listing)));
        }
    }
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(100);
    let lease_ms = starts(&actions)[0].1.lease_end - clock(&harness);
    Duration::from_millis(lease_ms).min(Limits::default().max_lease).div_f64(clock_rate)
}

/// Guards against a lease that outlasts the ownership, so that the next owner takes the run for over while it goes on.
#[test]
fn leases_on_a_slow_clock_end_with_the_ownership() {
    let lease = longest_lease(0.98);
    assert!(lease <= OWNERSHIP_LEASE, "{lease:?}");
}

/// Guards against a lease that is too short for a takeover, because it is given on a clock that was read long ago.
#[test]
fn leases_on_an_idle_worker_outlast_a_takeover() {
    let lease = longest_lease(1.0);
    assert!(lease >= Duration::from_millis(3_500), "{lease:?}");
}

/// Guards against a task that runs twice: a start that was carried out late, on an incarnation with another clock, has a lease for as
/// long as the worker accepts, however long ago the lease horizon was.
#[test]
fn a_run_that_turns_up_late_counts_until_its_longest_lease_has_ended() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.poll_after(20_000);
    harness.list_all();
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let task = TaskId { job: JobKey(1), occurrence: 0, step: 0, index: 0 };
    let run = RunRow { task, run: (1 << 20) + 1, checkpoint: "".into(), percent: 1, sample: 0 };
    harness.list_worker(0, vec![run]);
    let listed_at = harness.now().mono;
    let longest = Limits::default().max_lease;
    loop {
        let actions = harness.poll_after(100);
        let since = harness.now().mono - listed_at;
        if !starts(&actions).is_empty() {
            assert!(since > longest, "started again after {since:?}");
            return;
        }
        assert!(since < longest * 2, "it isn't started again");
        let (id, sent) = (harness.workers[0].clone(), harness.now().mono);
        harness.handle(Event::Listed(id, sent, ListAnswer::Unanswered));
        harness.list_worker(1, Vec::new());
    }
}

/// The paces that a new owner sends after it has listed these steps, one running task each, on one worker.
fn paces_after_adoption(steps: Vec<StepSpec>) -> Vec<u8> {
    let mut harness = Harness::new(&["r0"], None);
    let tasks = 0..steps.len() as u32;
    harness.submit(1, steps, None);
    let rows = tasks.map(|step| RunRow {
        task: TaskId { job: JobKey(1), occurrence: 0, step, index: 0 },
        run: 1 << 20,
        checkpoint: "".into(),
        percent: 100,
        sample: 80,
    });
    harness.list_worker(0, rows.collect());
    let pace = |action: &Action| match action {
        Action::Pace(_, _, _, percent, _) => Some(*percent),
        _ => None,
    };
    harness.poll_after(100).iter().filter_map(pace).collect()
}

/// Guards against a best-effort task that stays slowed down for good, since the earlier owner's pace isn't listed.
#[test]
fn the_pace_of_an_adopted_run_is_set_again() {
    let lasting = StepSpec { long_running: true, ..step(1, 1_000, 0) };
    let best_effort = StepSpec { best_effort: true, ..lasting.clone() };
    let serving = StepSpec { target: Some(Duration::from_millis(100)), ..lasting };
    assert_eq!(paces_after_adoption(vec![best_effort.clone()]), [100]);
    assert_eq!(paces_after_adoption(vec![best_effort, serving]), [50]);
}

/// Guards against a task that starts after it was done: the only worker that this owner hasn't listed is gone, and the next owner
/// has read its ends.
#[test]
fn a_replaced_owner_takes_no_service_for_reconciled_because_a_worker_is_gone() {
    let horizon = Duration::from_secs(9);
    let mut harness = Harness::unlisted(&JobIndex::default(), &["r0", "r1"], None, horizon);
    let submission = Rc::new(submission(vec![step(1, 1_000, 60_000)], None));
    let (job, recorded) = (JobKey(1), Vec::new());
    harness.handle(Event::Submitted { job, submission, fresh: false, recorded });
    harness.list_worker(0, Vec::new());
    assert!(starts(&harness.poll_after(100)).is_empty());
    let last = harness.now().mono;
    poll_cut_off(&mut harness, last, 2_000);
    harness.vm_rows[1] =
        VmRow { state: VmState::Moving, worker: None, ..harness.vm_rows[1].clone() };
    let rows = harness.vm_rows.clone();
    harness.handle(Event::VmsListed(harness.now().mono, rows));
    for _ in 0..40 {
        harness.list_worker(0, Vec::new());
        let actions = poll_cut_off(&mut harness, last, 100);
        assert!(starts(&actions).is_empty(), "{:?}", harness.now().mono - last);
    }
    harness.list_worker(0, Vec::new());
    assert_eq!(starts(&harness.poll_after(100)).len(), 1, "the store confirms the ownership");
}
