//! Commands that are withdrawn before they are sent, and stops that aren't sent twice.

use cj_sched::{
    Action, Event, JobKey, StepSpec, TaskId,
    sched::{CommandAnswer, EndKind, ListAnswer, RunRow, StartCommand, WorkerId},
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

fn row(command: &StartCommand) -> RunRow {
    RunRow { task: command.task, run: command.run, checkpoint: "".into(), percent: 100, sample: 0 }
}

/// A long-running task whose start commands went unanswered as often as they are sent.
fn unanswered_start() -> (Harness, (WorkerId, StartCommand)) {
    let mut harness = Harness::new(&["r0"], None);
    let lasting = StepSpec { long_running: true, max_unavailable: Some(1), ..step(1, 1_000, 0) };
    harness.submit(1, vec![lasting], None);
    let start = started(&mut harness).remove(0);
    answer_start(&mut harness, &start, CommandAnswer::Unanswered);
    let repeated = started(&mut harness).remove(0);
    assert_eq!(repeated.1.run, start.1.run);
    answer_start(&mut harness, &repeated, CommandAnswer::Unanswered);
    (harness, start)
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

/// Guards against the stop of a task that is at work: its start commands were carried out, only their answers were lost.
#[test]
fn run_with_unanswered_starts_is_kept_if_listed() {
    let (mut harness, start) = unanswered_start();
    assert_eq!(stops(&harness.poll_after(10)), [], "stopped before it is known to be missing");
    harness.list_worker(0, vec![row(&start.1)]);
    for _ in 0..20 {
        assert_eq!(stops(&harness.poll_after(100)), []);
        harness.list_worker(0, vec![row(&start.1)]);
    }
}

/// Guards against the stop of a task that is at work: its start command was carried out late, while its stop went
/// unanswered.
#[test]
fn run_that_starts_late_is_kept() {
    let (mut harness, start) = unanswered_start();
    harness.poll_after(10);
    harness.list_worker(0, Vec::new());
    let actions = harness.poll_after(10);
    assert_eq!(stops(&actions), [(start.1.task, true)]);
    answer_stop(&mut harness, &start, CommandAnswer::Unanswered);
    for _ in 0..20 {
        let actions = harness.poll_after(100);
        assert_eq!(stops(&actions), [], "a stop goes out only after a listing without the run");
        assert!(starts(&actions).is_empty());
    }
    harness.list_worker(0, vec![row(&start.1)]);
    for _ in 0..20 {
        assert_eq!(stops(&harness.poll_after(100)), []);
        harness.list_worker(0, vec![row(&start.1)]);
    }
}

/// Guards against a run with unanswered starts that goes on after its job was cancelled.
#[test]
fn cancelled_run_with_unanswered_starts_is_stopped() {
    let (mut harness, start) = unanswered_start();
    harness.handle(Event::Cancelled(JobKey(1)));
    assert_eq!(stops(&harness.poll_after(10)), [(start.1.task, true)]);
    answer_stop(&mut harness, &start, CommandAnswer::Unanswered);
    harness.list_worker(0, vec![row(&start.1)]);
    let repeated: usize = (0..10).map(|_| stops(&harness.poll_after(100)).len()).sum();
    assert_eq!(repeated, 1);
}

/// Guards against a worker that never answers and keeps a task whose start went unanswered for ever.
#[test]
fn unanswered_start_ends_with_the_lease() {
    let (mut harness, start) = unanswered_start();
    let mut again = Vec::new();
    for _ in 0..200 {
        let sent = harness.now().mono;
        harness.handle(Event::Listed(start.0.clone(), sent, ListAnswer::Unanswered));
        let actions = harness.poll_after(100);
        again.extend(starts(&actions).iter().map(|(_, command)| command.run));
    }
    harness.list_worker(0, Vec::new());
    again.extend(starts(&harness.poll_after(500)).iter().map(|(_, command)| command.run));
    assert!(again.iter().any(|run| *run > start.1.run), "{again:?}");
}

/// Guards against a task that is started again elsewhere while the new life of its worker may still carry out its first
/// start: the leases of the earlier life say nothing about that.
#[test]
fn start_that_a_new_incarnation_may_carry_out_is_settled_first() {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.submit(1, vec![step(1, 1_000, 500)], None);
    let start = started(&mut harness).remove(0);
    let worker = harness.workers.iter().position(|id| *id == start.0).unwrap();
    harness.register_start(worker, 2);
    let mut stopped = 0;
    for _ in 0..30 {
        let actions = poll_and_write(&mut harness);
        harness.list_worker(1 - worker, Vec::new());
        stopped += stops(&actions).len();
        assert!(starts(&actions).is_empty(), "the first start isn't settled");
    }
    assert_eq!(stopped, 1);
    answer_start(&mut harness, &start, CommandAnswer::Unanswered);
    answer_stop(&mut harness, &start, CommandAnswer::Done);
    poll_and_write(&mut harness);
    harness.list_started(worker, 2);
    let mut again = 0;
    for _ in 0..30 {
        harness.list_worker(1 - worker, Vec::new());
        again += starts(&poll_and_write(&mut harness)).len();
    }
    assert_eq!(again, 1, "the new incarnation refuses the first start");
}

/// Advances time, makes what is written durable, and returns the actions.
fn poll_and_write(harness: &mut Harness) -> Vec<Action> {
    let actions = harness.poll_after(100);
    for action in &actions {
        if let Action::Write(number, _) = action {
            harness.handle(Event::Written(*number));
        }
    }
    actions
}
