//! Learned run times under changes of the owner.

use std::time::Duration;

use cj_sched::{
    Action, Event, JobKey, Record, StepSpec, TaskId,
    run_times::{RunTimeModel, StepKind},
    sched::{CommandAnswer, EndKind, EndRow, ListAnswer, Listing},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    decisions::{Harness, run_row, starts},
    world::{World, step},
};

/// Jobs of two steps whose estimates are five to ten times too long, and of whose tasks 3% take seven times as long.
struct Arrivals {
    rng: Pcg64Mcg,
    next_key: u64,
}

impl Arrivals {
    fn new(seed: u64) -> Self {
        Arrivals { rng: Pcg64Mcg::seed_from_u64(seed ^ 0x1ea2), next_key: 1 }
    }

    fn submit(&mut self, world: &mut World) {
        let key = self.next_key;
        self.next_key += 1;
        let steps = (0..2).map(|number| {
            let work = self.rng.random_range(500.0..900.0);
            for index in 0..8 {
                let long = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
                let ms = work * long * self.rng.random_range(0.8..1.2);
                let task = TaskId { job: JobKey(key), occurrence: 0, step: number, index };
                world.run_times.insert(task, ms as u64);
            }
            let factor = self.rng.random_range(5.0_f64.ln()..10.0_f64.ln()).exp();
            let after = (0..number).collect();
            StepSpec { after, ..step(8, 2_000, (work * factor) as u64) }
        });
        let steps = steps.collect();
        world.submit(key, "red", steps);
    }

    /// Submits jobs for `ms`, in bursts that exceed what the workers can run at once.
    fn arrive(&mut self, world: &mut World, ms: u64) {
        let end = world.now + ms;
        while world.now < end {
            (0..4).for_each(|_| self.submit(world));
            world.run_for(1_000);
        }
    }
}

/// Shares of the runs that the latest owner saw end within the quantiles that it predicted, summed over the seeds.
fn calibration(kill: bool, warm_up_ms: u64) -> [f64; 2] {
    let mut sum = Default::default();
    for seed in 0..6 {
        let mut world = World::new(seed);
        (0..8)
            .for_each(|n| world.add_worker(&format!("red{n}"), "red", &format!("rack-{}", n % 4)));
        world.take_over(false);
        world.run_for(300);
        let mut arrivals = Arrivals::new(seed);
        arrivals.arrive(&mut world, warm_up_ms);
        let before = if kill {
            world.run_for(2_000);
            world.take_over(true);
            Default::default()
        } else {
            world.owners.last().unwrap().scheduler.run_time_counts()
        };
        arrivals.arrive(&mut world, 15_000);
        world.run_for(8_000);
        let counts = world.owners.last().unwrap().scheduler.run_time_counts();
        assert!(counts.since(&before).runs() > 400, "{counts:?}");
        sum = counts.since(&before).plus(sum);
    }
    sum.shares().unwrap()
}

fn assert_calibrated(shares: [f64; 2]) {
    let off = [(shares[0] - 0.5).abs(), (shares[1] - 0.9).abs()];
    assert!(off.iter().all(|off| *off <= 0.05), "{shares:?}");
}

/// Guards against quantiles that more or fewer runs exceed than stated, where runs are started and end as in operation.
#[test]
fn predictions_hold_after_ten_seconds() {
    assert_calibrated(calibration(false, 10_000));
}

/// Guards against an owner that predicts by the estimates alone since what its predecessor had learned is lost.
#[test]
fn predictions_hold_after_a_takeover() {
    assert_calibrated(calibration(true, 10_000));
}

/// Guards against a record that is missing, lags by more than its interval, or tells nothing of the run times.
#[test]
fn learned_run_times_are_recorded() {
    let mut world = World::new(1);
    (0..8).for_each(|n| world.add_worker(&format!("red{n}"), "red", "rack-0"));
    world.take_over(false);
    world.run_for(300);
    let mut arrivals = Arrivals::new(1);
    arrivals.arrive(&mut world, 12_000);
    let state = world.job_index.run_times().expect("a record");
    let spec = step(8, 2_000, 5_000);
    let kind = StepKind {
        queue: "red",
        demand: spec.demand,
        estimate: spec.estimate,
        siblings: Default::default(),
    };
    let expected = RunTimeModel::restore(state).step_times(&kind).expected();
    let range = Duration::from_millis(500)..Duration::from_millis(1_300);
    assert!(range.contains(&expected), "{expected:?} of an estimate of 5 s");
}

/// A worker that has finished 30 tasks in 300 ms each whose callers estimated an hour, with the actions of its owner and the time at
/// which each was requested, in ms.
fn owner_of_short_runs() -> (Harness, Vec<(u64, Action)>) {
    let mut harness = Harness::new(&["r0"], None);
    let mut all = Vec::new();
    for job in 1..=30 {
        harness.submit(job, vec![step(1, 1_000, 3_600_000)], None);
        let actions = harness.poll_after(10);
        let (target, command) = starts(&actions)[0];
        let answer = CommandAnswer::DoneAt(1_000 + harness.elapsed_ms);
        harness.handle(Event::Started(target.worker.clone(), command.task, command.run, answer));
        let ended = EndRow {
            number: job,
            task: command.task,
            run: command.run,
            kind: EndKind::Done,
            checkpoint: "".into(),
        };
        let time = harness.elapsed_ms;
        all.extend(actions.into_iter().map(|action| (time, action)));
        harness.elapsed_ms += 300;
        let listing = Listing {
            started_at: Some(1),
            clock: 1_000 + harness.elapsed_ms,
            ended: vec![ended],
            ends_complete: true,
            ..Listing::default()
        };
        let (worker, sent) = (harness.workers[0].clone(), harness.now().mono);
        harness.handle(Event::Listed(worker, sent, ListAnswer::Listed(listing)));
        let (actions, time) = (harness.poll_after(40), harness.elapsed_ms);
        for action in &actions {
            if let Action::Write(number, _) = action {
                harness.handle(Event::Written(*number));
            }
        }
        all.extend(actions.into_iter().map(|action| (time, action)));
    }
    (harness, all)
}

/// Guards against records of run times that cost the store writes of their own, or come more often than stated.
#[test]
fn run_times_are_added_to_batches_that_are_written_anyway() {
    let (_, actions) = owner_of_short_runs();
    let is_run_times = |record: &Record| matches!(record, Record::RunTimes(_));
    let mut times = Vec::new();
    for (time, action) in actions {
        let Action::Write(_, records) = action else { continue };
        if records.iter().any(is_run_times) {
            assert!(records.len() > 1, "{records:?}");
            times.push(time);
        }
    }
    assert!(times.len() >= 4, "{times:?}");
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 2_000), "{times:?}");
}

/// Guards against a task that hangs for as long as its caller estimated, although others like it take a moment.
#[test]
fn a_hanging_task_is_stopped_by_what_others_take() {
    let (mut harness, _) = owner_of_short_runs();
    harness.submit(100, vec![step(1, 1_000, 3_600_000)], None);
    let actions = harness.poll_after(10);
    let (target, command) = starts(&actions)[0];
    let answer = CommandAnswer::DoneAt(1_000 + harness.elapsed_ms);
    harness.handle(Event::Started(target.worker.clone(), command.task, command.run, answer));
    let is_stop = |action: &Action| matches!(action, Action::Stop(..));
    let stopped = (0..20).any(|_| {
        harness.poll_after(400);
        harness.list_worker(0, vec![run_row(command)]);
        harness.poll_after(100).iter().any(is_stop)
    });
    assert!(stopped, "not stopped within 10 s");
}
