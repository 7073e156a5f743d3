//! An owner that is cut off from the store and may have been replaced: it decides on what it did itself, while the next owner
//! acts on the workers that it reaches.

use std::{rc::Rc, time::Instant};

use cj_sched::{
    Action, Event, Pool,
    sched::{CommandAnswer, OwnershipLease, RunRow, StartCommand, WorkerId},
};

use crate::{
    decisions::{Harness, config, starts},
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
