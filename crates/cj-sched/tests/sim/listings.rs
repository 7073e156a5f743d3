//! Listings that name only a part of the ends of a worker.

use std::time::Duration;

use cj_sched::{
    Action, Event, JobKey, JobState, TaskId,
    sched::{CommandAnswer, EndKind, EndRow, ListAnswer, Listing, StartCommand},
};

use crate::{
    decisions::{Harness, starts},
    world::{World, step},
};

/// Number of tasks of the job; all fit on the workers at once.
const TASKS: u32 = 24;

/// Number of ends that a worker lists at most.
const LISTED_ENDS: usize = 4;

/// Two workers that run all tasks of a job while the store accepts no writes for `outage_ms`.
fn world_with_outage(seed: u64, outage_ms: u64) -> World {
    let mut world = World::new(seed);
    for n in 0..2 {
        world.add_worker(&format!("r{n}"), "red", "rack-0");
        world.add_worker(&format!("b{n}"), "blue", "rack-0");
    }
    world.max_listed_ends = Some(LISTED_ENDS);
    world.take_over(false);
    world.run_for(100);
    world.submit(1, "red", vec![step(TASKS, 1_000, 400)]);
    world.run_for(200);
    world.append_ms = outage_ms;
    world
}

fn assert_completed(world: &World, seed: u64) {
    let state = world.job_index.job(JobKey(1)).unwrap().state();
    assert_eq!(state, JobState::Completed, "seed {seed}");
}

/// Guards against tasks that are started again although they are done, because their ends are beyond those that a listing
/// names while the store is down.
#[test]
fn ends_beyond_a_cut_listing_start_no_task_again() {
    for seed in 0..10 {
        let mut world = world_with_outage(seed, 4_000);
        world.run_for(4_000);
        world.append_ms = 6;
        world.run_for(10_000);
        assert_completed(&world, seed);
        assert_eq!(world.checks.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// Guards against a new owner that takes a worker as reconciled after a cut listing, and starts tasks whose ends it hasn't
/// seen.
#[test]
fn cut_listing_reconciles_no_worker_for_a_new_owner() {
    for seed in 0..10 {
        let mut world = world_with_outage(seed, 60_000);
        world.run_for(2_500);
        world.append_ms = 6;
        world.take_over(true);
        world.run_for(12_000);
        assert_completed(&world, seed);
        assert_eq!(world.checks.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// Guards against a job that waits for ever for the ends of a worker that was cut off after a cut listing.
#[test]
fn cut_off_worker_with_unlisted_ends_holds_no_job_back() {
    for seed in 0..10 {
        let mut world = world_with_outage(seed, 60_000);
        world.run_for(2_500);
        world.append_ms = 1_000;
        world.take_over(true);
        world.run_for(150);
        world.workers[0].unreachable_until = u64::MAX;
        world.append_ms = 6;
        world.run_for(25_000);
        assert_completed(&world, seed);
    }
}

/// The listing of a worker with six ends that names the first two of them and no run.
fn cut_listing(harness: &Harness, commands: &[StartCommand]) -> Listing {
    let end = |(index, command): (usize, &StartCommand)| EndRow {
        number: index as u64 + 1,
        task: command.task,
        run: command.run,
        kind: EndKind::Done,
        checkpoint: "".into(),
    };
    Listing {
        started_at: Some(1),
        clock: 1_000 + harness.elapsed_ms,
        running: Vec::new(),
        ended: commands.iter().take(2).enumerate().map(end).collect(),
        ends_complete: false,
    }
}

/// Guards against tasks that count as hung, and are stopped, because the listings of their worker are cut before their ends.
#[test]
fn tasks_with_unlisted_ends_do_not_count_as_hung() {
    let mut harness = Harness::new(&["r0"], None);
    harness.submit(1, vec![step(6, 1_000, 200)], None);
    let actions = harness.poll_after(10);
    let commands: Vec<_> = starts(&actions).iter().map(|(_, command)| (*command).clone()).collect();
    assert_eq!(commands.len(), 6);
    for command in &commands {
        let (worker, done) = (harness.workers[0].clone(), CommandAnswer::Done);
        harness.handle(Event::Started(worker, command.task, command.run, done));
    }
    let mut stopped: Vec<TaskId> = Vec::new();
    for _ in 0..200 {
        let sent = harness.now().mono + Duration::from_millis(1);
        let listing = ListAnswer::Listed(cut_listing(&harness, &commands));
        let actions = harness.poll_after(100);
        harness.handle(Event::Listed(harness.workers[0].clone(), sent, listing));
        stopped.extend(actions.iter().filter_map(|action| match action {
            Action::Stop(_, task, ..) => Some(*task),
            _ => None,
        }));
    }
    assert_eq!(stopped, []);
}
