//! Orders that are withdrawn before they are sent, and stops that aren't sent twice.

use cj_sched::{
    Action, Event, JobKey, TaskId,
    sched::{CommandAnswer, EndKind, RunRow, StartCommand, WorkerId},
};

use crate::{
    decisions::{Harness, starts},
    world::step,
};

/// Commands that a harness was told to start, each with its worker.
fn started(harness: &mut Harness) -> Vec<(WorkerId, StartCommand)> {
    let actions = harness.poll_after(10);
    let owned = |(target, command): (&cj_sched::sched::Target, &StartCommand)| {
        (target.worker.clone(), command.clone())
    };
    starts(&actions).into_iter().map(owned).collect()
}

fn answer_start(harness: &mut Harness, start: &(WorkerId, StartCommand), answer: CommandAnswer) {
    let (worker, command) = start;
    harness.handle(Event::Started(worker.clone(), command.task, command.run, answer));
}

fn answer_stop(harness: &mut Harness, start: &(WorkerId, StartCommand), answer: CommandAnswer) {
    let (worker, command) = start;
    harness.handle(Event::Stopped(worker.clone(), command.task, command.run, answer));
}

/// Tasks that are told to stop, with whether each stop is still wanted.
fn stops(actions: &[Action]) -> Vec<(TaskId, bool)> {
    let stop = |action: &Action| match action {
        Action::Stop(_, task, _, watch) => Some((*task, watch.is_wanted())),
        _ => None,
    };
    actions.iter().filter_map(stop).collect()
}

/// Guards against starts of a cancelled job that wait for their turn and are sent seconds later.
#[test]
fn cancelling_withdraws_starts() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(3, 1_000, 500)], None);
    let commands = started(&mut harness);
    assert!(commands.iter().all(|(_, command)| command.watch.is_wanted()));
    harness.handle(Event::Cancelled(JobKey(1)));
    assert!(commands.iter().all(|(_, command)| !command.watch.is_wanted()));
    let actions = harness.poll_after(10);
    assert_eq!(stops(&actions).len(), 3);
    for command in &commands {
        answer_start(&mut harness, command, CommandAnswer::NotSent);
    }
    assert!(stops(&actions).iter().all(|(_, wanted)| !wanted), "the worker doesn't know the runs");
}

/// Guards against a second run of a task that starts after the end of the first one was read.
#[test]
fn end_of_an_earlier_run_withdraws_the_next_start() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 500)], None);
    let first = started(&mut harness).remove(0);
    answer_start(&mut harness, &first, CommandAnswer::Done);
    harness.poll_after(10);
    let worker = harness.workers.iter().position(|id| *id == first.0).unwrap();
    harness.list_worker(worker, Vec::new());
    let second = started(&mut harness).remove(0);
    assert!(second.1.watch.is_wanted());
    harness.list_end(worker, &first.1, EndKind::Done);
    assert!(!second.1.watch.is_wanted(), "the task is done");
}

/// Guards against repeated stops that pile up while the answer to the first one is outstanding.
#[test]
fn stop_is_repeated_only_after_its_answer() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(1, 1_000, 500)], None);
    let start = started(&mut harness).remove(0);
    answer_start(&mut harness, &start, CommandAnswer::Done);
    harness.handle(Event::Cancelled(JobKey(1)));
    let sent = |harness: &mut Harness| -> usize {
        (0..20).map(|_| stops(&harness.poll_after(100)).len()).sum()
    };
    assert_eq!(sent(&mut harness), 1);
    answer_stop(&mut harness, &start, CommandAnswer::NotSent);
    assert_eq!(sent(&mut harness), 1);
}

/// Guards against a stop for each listing of a run that belongs to no task.
#[test]
fn orphan_is_stopped_once_at_a_time() {
    let mut harness = Harness::new(&["r0"], None);
    harness.handle(Event::Ended(JobKey(9)));
    let task = TaskId { job: JobKey(9), occurrence: 0, step: 0, index: 0 };
    let orphan = RunRow { task, run: 1, checkpoint: "".into(), percent: 50, sample: 0 };
    let mut sent = 0;
    for _ in 0..5 {
        harness.list_worker(0, vec![orphan.clone()]);
        sent += stops(&harness.poll_after(100)).len();
    }
    assert_eq!(sent, 1);
    let worker = harness.workers[0].clone();
    harness.handle(Event::Stopped(worker, task, 1, CommandAnswer::Unanswered));
    harness.list_worker(0, vec![orphan]);
    assert_eq!(stops(&harness.poll_after(100)).len(), 1);
}
