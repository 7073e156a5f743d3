//! Placement queries: what the scheduler tells about a job, compared with what it does with it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use cj_sched::{
    Action, Event, JobIndex, JobSpec, Pool, StepSpec,
    sched::{
        Hold, MAX_NAMED_STEPS, MAX_NAMED_WORKERS, NoTimes, Obstacle, PlacementQuery,
        PlacementReport, VmAnswer, VmRow, WorkerId, WorkerRegistration,
    },
};
use cj_types::{ServiceId, VmId};

use crate::{
    decisions::{Harness, config, starts},
    world::{service, step},
};

fn query(steps: Vec<StepSpec>) -> PlacementQuery {
    let spec = JobSpec { text: String::new(), steps, schedule: None };
    PlacementQuery { queue: "red".into(), account: None, spec }
}

fn explain(harness: &Harness, steps: Vec<StepSpec>) -> PlacementReport {
    harness.scheduler.explain_placement(&query(steps)).unwrap()
}

/// Number of started tasks by step and worker.
fn started(actions: &[Action]) -> BTreeMap<(u32, String), u32> {
    let mut found = BTreeMap::new();
    for (target, command) in starts(actions) {
        *found.entry((command.task.step, target.worker.0.to_string())).or_default() += 1;
    }
    found
}

/// Number of tasks that would start by step and worker, according to a report.
fn named(report: &PlacementReport) -> BTreeMap<(u32, String), u32> {
    let shares = report.steps.iter().flat_map(|step| step.workers.iter().map(|w| (step.step, w)));
    shares.map(|(step, share)| ((step, share.worker.to_string()), share.tasks)).collect()
}

/// Guards against a report that names other workers than the next placement pass chooses, or that leaves workers out of
/// its counts.
#[test]
fn names_the_workers_that_the_next_pass_chooses() {
    let after_first = StepSpec { after: vec![0], ..step(1, 1_000, 500) };
    let cases: Vec<Vec<StepSpec>> = vec![
        vec![step(3, 1_000, 500)],
        vec![step(9, 3_000, 500)],
        vec![step(40, 2_000, 500)],
        vec![step(5, 3_000, 500), step(5, 2_000, 500), after_first],
        vec![StepSpec { spread: Some(1), ..step(3, 1_000, 500) }],
        vec![StepSpec { spread: Some(2), ..step(9, 1_000, 500) }],
        vec![StepSpec { affinity: Some("r2".into()), ..step(6, 2_000, 500) }],
        vec![StepSpec { requires: Some("r1".into()), ..step(20, 1_000, 500) }],
        vec![StepSpec { gang: true, colocated: true, ..step(5, 3_000, 500) }],
        vec![StepSpec { gang: true, ..step(9, 3_000, 500) }],
        vec![StepSpec { gang: true, ..step(20, 3_000, 500) }],
        vec![StepSpec { long_running: true, spread: Some(1), ..step(4, 1_000, 500) }],
        vec![StepSpec { best_effort: true, ..step(4, 6_000, 500) }],
        vec![step(1, 9_000, 500)],
    ];
    for steps in cases {
        let mut harness = Harness::new(&["r1", "r2", "r1", "r2", "r2"], None);
        harness.submit(1, vec![step(2, 5_000, 900), step(1, 2_000, 900)], None);
        harness.poll_after(200);
        harness.poll_after(1);
        let report = explain(&harness, steps.clone());
        harness.submit(2, steps.clone(), None);
        let actions = harness.poll_after(100);
        assert_eq!(named(&report), started(&actions), "{steps:?}");
        for step in &report.steps {
            let others: usize = step.others.values().sum();
            assert_eq!(step.chosen_workers + others, 5, "{steps:?}: {step:?}");
            assert!(!step.others.contains_key(&Obstacle::Other), "{step:?}");
            let tasks: u32 = step.workers.iter().map(|share| share.tasks).sum();
            assert_eq!(step.starting, tasks, "{step:?}");
        }
    }
}

/// Guards against a query that changes what the scheduler does: the same events with and without queries lead to the same
/// actions, loads and work.
#[test]
fn asking_changes_nothing() {
    let run = |asks: bool| {
        let mut harness = Harness::new(&["r1", "r2", "r1"], None);
        let mut seen = Vec::new();
        for key in 1..30 {
            let long_running = key % 7 == 0;
            let (count, cores) = (1 + (key % 5) as u32, 500 + 700 * (key % 4) as u32);
            let steps = vec![StepSpec { long_running, ..step(count, cores, 300) }];
            if asks {
                let steps = vec![step(1 + key as u32 * 900, 1_000, 300), steps[0].clone()];
                let gang = StepSpec { gang: true, colocated: true, ..step(3, 1_000, 300) };
                explain(&harness, steps);
                explain(&harness, vec![gang]);
            }
            harness.submit(key, steps, None);
            let actions = harness.poll_after(40);
            seen.push((started(&actions), actions.len(), harness.scheduler.load()));
        }
        (seen, harness.scheduler.examined_steps())
    };
    assert_eq!(run(true), run(false));
}

/// Guards against workers that are left out, or reported for the wrong reason.
#[test]
fn tells_what_speaks_against_the_other_workers() {
    let mut harness = Harness::new(&["r1", "r1", "r2", "r2", "r2", "r2"], None);
    let registration = |harness: &Harness, worker| harness.registration(worker, "r2", 8_000, 1);
    let draining = WorkerRegistration { draining: true, ..registration(&harness, 2) };
    harness.handle(Event::Registered(draining));
    let other = ServiceId::try_from("blue").unwrap();
    let moved = WorkerRegistration { service: other, ..registration(&harness, 3) };
    harness.handle(Event::Registered(moved));
    harness.handle(Event::Unregistered(harness.workers[4].clone()));
    harness.submit(1, vec![step(1, 7_500, 900)], None);
    harness.poll_after(200);
    let asked = StepSpec { requires: Some("r1".into()), ..step(1, 1_000, 500) };
    let report = explain(&harness, vec![asked]);
    let others = &report.steps[0].others;
    assert_eq!(others[&Obstacle::Draining], 1, "{others:?}");
    assert_eq!(others[&Obstacle::WrongService], 1, "{others:?}");
    assert_eq!(others[&Obstacle::NoRoom], 1, "{others:?}");
    assert!(others.contains_key(&Obstacle::LabelMissing), "{others:?}");
    assert_eq!(report.steps[0].workers.len(), 1);

    let unlisted = Harness::unlisted(&JobIndex::default(), &["r1"; 3], None, Duration::ZERO);
    let report = explain(&unlisted, vec![step(1, 1_000, 500)]);
    assert_eq!(report.steps[0].others[&Obstacle::NotListed], 3);
    assert_eq!(report.steps[0].hold, Some(Hold::OwnershipUnconfirmed));
    assert_eq!(report.steps[0].starting, 0);
}

/// Guards against an expected end that ignores the work before the job, and against one for a job that can never run.
#[test]
fn expects_an_end_after_the_work_before_it() {
    let mut harness = Harness::new(&["r1", "r2"], None);
    harness.poll_after(200);
    let empty = explain(&harness, vec![step(4, 1_000, 500)]);
    let expected = empty.expected.unwrap();
    assert_eq!((expected.wait_ms, expected.in_time), (0, true));
    harness.submit(1, vec![step(64, 1_000, 1_000)], None);
    harness.poll_after(200);
    let report = explain(&harness, vec![step(4, 1_000, 500)]);
    let (ahead, pool) = (report.ahead, report.pool);
    assert_eq!((pool.capacity_m, pool.free_m), (16_000, 0));
    assert_eq!((ahead.running, ahead.waiting + ahead.behind), (16_000_000, 48_000_000));
    let wait = report.expected.unwrap().wait_ms;
    assert_eq!(wait, (ahead.running + ahead.waiting) / 16_000);

    let large = explain(&harness, vec![step(1, 9_000, 500)]);
    assert_eq!((large.expected, large.no_times), (None, Some(NoTimes::TooLarge)));
    assert_eq!((large.steps[0].able_workers, large.steps[0].able_vms), (0, 0));
    let lasting = StepSpec { long_running: true, ..step(1, 1_000, 500) };
    assert_eq!(explain(&harness, vec![lasting]).no_times, Some(NoTimes::LongRunning));
    let unknown = PlacementQuery { queue: "blue".into(), ..query(vec![step(1, 1_000, 500)]) };
    assert!(harness.scheduler.explain_placement(&unknown).is_none());
}

/// Guards against VMs on their way that are left out, counted again once their workers have registered, or still counted
/// as spare.
#[test]
fn counts_the_vms_that_are_on_their_way() {
    let mut harness = Harness::new(&["r1"], None);
    let spare = ServiceId::try_from("spare").unwrap();
    let mut config = (*config(None)).clone();
    config.pools.insert(spare.clone(), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(config)));
    for n in 1..4 {
        let vm = VmId::try_from(format!("vm-{n}").as_str()).unwrap();
        let row = VmRow { vm, pool: spare.clone(), worker: None, ..harness.vm_rows[0].clone() };
        harness.vm_rows.push(row);
        harness.workers.push(WorkerId(format!("w{n}").into()));
    }
    harness.handle(Event::VmsListed(harness.now().mono, harness.vm_rows.clone()));
    let pool = |harness: &Harness| explain(harness, vec![step(1, 1_000, 500)]).pool;
    assert_eq!((pool(&harness).vms, pool(&harness).arriving, pool(&harness).spare), (1, 0, 3));
    harness.submit(1, vec![step(40, 1_000, 500)], None);
    harness.poll_after(200);
    let moved = pool(&harness);
    assert_eq!((moved.arriving, moved.arriving_m, moved.spare), (3, 24_000, 0));
    assert_eq!(moved.next_arrival_ms, Some(1_500));
    let rows = harness.vm_rows.clone();
    for row in &rows[1..] {
        harness.handle(Event::Moved(row.vm.clone(), service("red"), VmAnswer::Done));
    }
    harness.poll_after(1_000);
    assert_eq!((pool(&harness).arriving, pool(&harness).next_arrival_ms), (3, Some(500)));
    harness.register(1, "r1", 8_000);
    let some_up = pool(&harness);
    assert_eq!((some_up.workers, some_up.arriving, some_up.arriving_m), (2, 2, 16_000));
}

/// Guards against an answer that grows with the fleet or with the job, and against sums that overflow.
#[test]
fn the_answer_to_a_hostile_job_is_bounded() {
    let harness = Harness::new(&["r1"; 100], None);
    let year = Duration::from_secs(365 * 24 * 3_600);
    let huge = StepSpec { estimate: year, long_running: false, ..step(100_000, u32::MAX, 1) };
    let empty = StepSpec { estimate: Duration::ZERO, ..step(100_000, 0, 0) };
    for asked in [huge, empty, step(100_000, 1, 1)] {
        for long_running in [false, true] {
            let steps = vec![StepSpec { long_running, ..asked.clone() }; 40];
            let report = explain(&harness, steps);
            assert_eq!((report.steps.len(), report.unnamed_steps), (MAX_NAMED_STEPS, 24));
            assert!(report.steps.iter().all(|step| step.workers.len() <= MAX_NAMED_WORKERS));
        }
    }
}
