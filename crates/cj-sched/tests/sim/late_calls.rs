//! Calls and answers that arrive only after the worker that they concern has started again under the same id.

use std::rc::Rc;

use cj_sched::{
    Action, Event, Pool,
    sched::{
        CommandAnswer, EndKind, ListAnswer, Listing, RunRow, Target, VmAnswer, VmRow, VmState,
    },
};

use crate::{
    decisions::{Harness, config, starts},
    network::{Lost, Peer},
    world::{World, service, step},
};

/// Guards against a task that runs twice because a list of VMs, requested while its worker was down, ends the incarnation that
/// the worker has begun since.
#[test]
fn a_list_of_vms_from_before_an_incarnation_does_not_end_it() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.poll_after(2_000);
    let requested = harness.now().mono;
    let down = |row: &VmRow| VmRow { state: VmState::Down, worker: None, ..row.clone() };
    let rows = harness.vm_rows.iter().map(down).collect();
    harness.poll_after(500);
    for worker in 0..2 {
        harness.register_start(worker, 2);
        harness.list_started(worker, 2);
    }
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let (id, done) = (target.worker.clone(), CommandAnswer::Done);
    let other = harness.workers.iter().position(|known| *known != id).unwrap();
    let (task, run) = (command.task, command.run);
    harness.handle(Event::Started(id.clone(), task, run, done));
    harness.poll_after(600);
    let running = vec![RunRow { task, run, checkpoint: "".into(), percent: 1, sample: 0 }];
    let clock = 1_000 + harness.elapsed_ms;
    let (started_at, ends_complete) = (Some(2), true);
    let listing = Listing { started_at, clock, running, ends_complete, ..Listing::default() };
    harness.handle(Event::Listed(id.clone(), harness.now().mono, ListAnswer::Listed(listing)));
    harness.poll_after(100);
    harness.handle(Event::Listed(id, harness.now().mono, ListAnswer::Unanswered));
    harness.handle(Event::VmsListed(requested, rows));
    for _ in 0..20 {
        harness.list_started(other, 2);
        assert!(starts(&harness.poll_after(50)).is_empty());
    }
}

/// Guards against a task that runs twice because the stop of its unanswered start, sent once to the next incarnation of the
/// worker, is lost.
#[test]
fn an_unanswered_start_is_stopped_until_the_next_incarnation_answers() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let (id, task, run) = (target.worker.clone(), command.task, command.run);
    let worker = harness.workers.iter().position(|known| *known == id).unwrap();
    harness.handle(Event::Started(id.clone(), task, run, CommandAnswer::Unanswered));
    harness.poll_after(800);
    harness.handle(Event::Listed(id.clone(), harness.now().mono, ListAnswer::Unanswered));
    let rows = harness.vm_rows.iter().enumerate().map(|(index, row)| VmRow {
        worker: row.worker.clone().filter(|_| index != worker),
        ..row.clone()
    });
    harness.handle(Event::VmsListed(harness.now().mono, rows.collect()));
    harness.poll_after(100);
    harness.register_start(worker, 2);
    harness.list_started(worker, 2);
    let stops = |actions: &[Action]| {
        let stop =
            |action: &&Action| matches!(action, Action::Stop(target, ..) if target.worker == id);
        actions.iter().filter(stop).count()
    };
    assert_eq!(stops(&harness.poll_after(10)), 1);
    harness.handle(Event::Stopped(id.clone(), task, run, CommandAnswer::Unanswered));
    let repeated: usize = (0..20).map(|_| stops(&harness.poll_after(100))).sum();
    assert!(repeated > 0, "the stop isn't repeated");
}

/// Guards against the move of a VM that ends tasks there: the command was repeated because it went unanswered, and the tasks were
/// started on an incarnation that began after the VM had been drained.
#[test]
fn an_unanswered_move_is_not_repeated_while_the_next_incarnation_has_tasks() {
    let mut harness = Harness::new(&["r1", "r2", "r3", "r4"], None);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(with_spare)));
    let moved = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::MoveVm(vm, ..) => Some(vm.clone()),
            _ => None,
        })
    };
    let moving = (0..100).find_map(|_| {
        harness.list_all();
        moved(&harness.poll_after(100))
    });
    let vm = moving.expect("idle VMs move to the spare pool");
    let worker = harness.vm_rows.iter().position(|row| row.vm == vm).unwrap();
    harness.handle(Event::Moved(vm.clone(), service("spare"), VmAnswer::Unanswered));
    harness.register_start(worker, 2);
    harness.list_started(worker, 2);
    harness.submit(1, vec![step(4, 8_000, 60_000)], None);
    let mut has_task = false;
    for _ in 0..40 {
        let actions = harness.poll_after(100);
        assert!(!has_task || moved(&actions) != Some(vm.clone()));
        let on_worker = |(target, _): &(&Target, _)| target.worker == harness.workers[worker];
        has_task |= starts(&actions).iter().any(on_worker);
    }
}

/// Guards against a task that runs twice because a listing acknowledges its end unread: the numbers of the ends are those of an
/// earlier incarnation, and the owner hasn't noticed that the worker has started anew.
#[test]
fn ends_of_an_unnoticed_incarnation_are_not_acknowledged() {
    let mut world = World::new(1);
    world.add_worker("r0", "red", "rack-0");
    world.take_over(false);
    world.run_for(100);
    world.submit(1, "red", vec![step(3, 1_000, 300)]);
    world.run_for(3_000);
    world.network.cut(0, Peer::Registrations, Lost::Calls, u64::MAX);
    world.crash(0);
    world.restart(0);
    world.submit(2, "red", vec![step(3, 1_000, 30)]);
    world.run_for(5_000);
    assert_eq!(world.checks.starts, 6);
}

/// Guards against a task that runs again after it was done, because the first of its two start commands is carried out by the next
/// incarnation of the worker.
#[test]
fn a_repeated_start_is_stopped_on_the_next_incarnation_after_the_run_is_done() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(1, 1_000, 60_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let (id, command) = (target.worker.clone(), command.clone());
    let started = |answer| Event::Started(id.clone(), command.task, command.run, answer);
    harness.handle(started(CommandAnswer::Unanswered));
    assert_eq!(starts(&harness.poll_after(10)).len(), 1, "the start is repeated");
    harness.handle(started(CommandAnswer::Done));
    harness.list_end(0, &command, EndKind::Done);
    harness.poll_after(1_000);
    harness.register_start(0, 2);
    let is_stop = |action: &Action| matches!(action, Action::Stop(_, task, run, _) if *task == command.task && *run == command.run);
    assert!(harness.poll_after(10).iter().any(is_stop));
}
