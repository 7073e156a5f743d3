//! Admission: which jobs are refused, and when their callers may retry.

use std::time::{Duration, Instant};

use cj_entry::{
    admission::{AdmissionDecision, admit, admit_by_end},
    expected_end::{JobAccount, JobRequest, PoolView},
    load_view::{AcceptedJob, AcceptedWork, LoadView},
};
use cj_sched::{
    JobKey, JobSpec, LoadReport, PoolLoad, StepSpec,
    load_report::{AccountLoad, ArrivingCapacity, LATE, PoolRunTimes, WaitingBand},
    record::{OwnerHeartbeat, ServiceLoad},
};
use cj_types::{Millicores, NodeId, Resources, ServiceId};

const OBJECTIVE: Duration = Duration::from_secs(2);

fn heartbeat(backlog_s: u64) -> OwnerHeartbeat {
    let load = ServiceLoad { capacity: 32_000, backlog: 32_000 * backlog_s * 1_000 };
    let service = ServiceId::try_from("s").unwrap();
    let node = NodeId::try_from("n").unwrap();
    OwnerHeartbeat {
        epoch: 1,
        node,
        cores: Millicores(250),
        released: false,
        load: vec![(service, load)],
    }
}

fn decide(backlog_s: u64, long_running: bool) -> AdmissionDecision {
    let step = StepSpec { count: 1, long_running, ..StepSpec::default() };
    let spec = JobSpec { text: String::new(), steps: vec![step], schedule: None };
    admit(Some(&heartbeat(backlog_s)), &ServiceId::try_from("s").unwrap(), &spec, OBJECTIVE)
}

/// A burst of several times the capacity: jobs are accepted while they can finish in time to be of use, and then
/// refused with the time after which the backlog has shrunk. Guards against refusing jobs while workers will be idle
/// after the burst.
#[test]
fn refuses_only_jobs_that_would_be_too_late() {
    assert_eq!(decide(0, false), AdmissionDecision::Accept);
    assert_eq!(decide(15, false), AdmissionDecision::Accept);
    assert_eq!(decide(19, false), AdmissionDecision::Refuse(Duration::from_secs(3)));
    assert_eq!(decide(100, false), AdmissionDecision::Refuse(Duration::from_secs(10)));
}

/// Guards against refusing long-running jobs during a burst of finite ones, although they take precedence over those.
#[test]
fn accepts_long_running_jobs_in_a_burst() {
    assert_eq!(decide(100, true), AdmissionDecision::Accept);
}

const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// Processors of the pool, in millicores.
const CAPACITY: u32 = 32_000;

fn account(digest: u32) -> JobAccount {
    JobAccount { digest, weight: 1.0 }
}

/// A pool without free room, in which this much work waits that has to start within half a second, in seconds of the pool.
fn full_pool(waiting_s: f64) -> PoolLoad {
    let work = (waiting_s * f64::from(CAPACITY)) as u32;
    let waiting = vec![WaitingBand { priority: 0, latest_start_ms: 500, work }];
    PoolLoad { capacity: CAPACITY, asked: work, waiting, ..PoolLoad::default() }
}

fn view(load: &PoolLoad) -> PoolView<'_> {
    let accepted = AcceptedWork::default();
    PoolView { load, age: Duration::ZERO, accepted, move_time: MOVE_TIME }
}

/// Decides on a job of eight tasks of a core and 0.7 s, whose owner counts it as in time up to a wait of 0.77 s.
fn decide_by_end(view: &PoolView<'_>, key: u64, owner: Option<JobAccount>) -> AdmissionDecision {
    let demand = Resources { cores: Millicores(1_000), ..Resources::default() };
    let estimate = Duration::from_millis(700);
    let step = StepSpec { count: 8, demand, estimate, ..StepSpec::default() };
    let spec = JobSpec { text: String::new(), steps: vec![step], schedule: None };
    let target = Duration::from_millis(600);
    let request = JobRequest { spec: &spec, priority: 0, stretch: 1.6, target, account: owner };
    admit_by_end(view, JobKey(key), &request).expect("the load tells").0
}

fn accepts(view: &PoolView<'_>, owner: Option<JobAccount>) -> bool {
    decide_by_end(view, 1, owner) == AdmissionDecision::Accept
}

/// Guards against jobs that are accepted and end late because more work goes first than the pool does in time, and against
/// callers that return too early, too late or all together.
#[test]
fn an_overload_refuses_jobs_that_would_be_late() {
    assert!(accepts(&view(&full_pool(0.5)), None));
    let load = full_pool(4.0);
    let after = |key| match decide_by_end(&view(&load), key, None) {
        AdmissionDecision::Refuse(after) => after,
        AdmissionDecision::Accept => panic!("job {key} is accepted"),
    };
    let mut delays: Vec<Duration> = (0..100).map(after).collect();
    delays.sort();
    // The work ahead takes 4 s, and 3.4 s until it is down to what a job can wait for.
    assert!(delays[0] > Duration::from_millis(2_500) && delays[99] < Duration::from_millis(4_300));
    assert!(delays[99] - delays[0] > Duration::from_secs(1), "{delays:?}");
    let limits = [Duration::from_secs(1), Duration::from_secs(10)];
    for (waiting_s, limit) in [(0.9, limits[0]), (1_000.0, limits[1])] {
        let load = full_pool(waiting_s);
        let AdmissionDecision::Refuse(after) = decide_by_end(&view(&load), 7, None) else {
            panic!("accepted with {waiting_s} s of work")
        };
        assert!(after >= limits[0] && after <= limits[1] && after.abs_diff(limit) < limit / 2);
    }
}

/// Guards against refusals while the pool has free room or idles soon, and for work that doesn't go first: late work, work that can
/// start later, and work of less urgent queues.
#[test]
fn only_work_that_goes_first_counts() {
    let free = PoolLoad { free: 8_000, asked: 0, ..full_pool(4.0) };
    assert!(accepts(&view(&free), None), "free room");
    for (priority, latest_start_ms) in [(0, LATE), (0, 4_000_000), (1, 500)] {
        let mut load = full_pool(4.0);
        load.waiting[0] = WaitingBand { priority, latest_start_ms, ..load.waiting[0] };
        assert!(accepts(&view(&load), None), "priority {priority}, start {latest_start_ms}");
    }
}

/// Guards against refusals at the beginning of a rise, when the VMs that will serve the jobs are on their way or can be had, and
/// against accepting what they can't serve in time.
#[test]
fn capacity_on_its_way_counts_from_its_arrival() {
    let small = PoolLoad { capacity: 8_000, ..full_pool(0.25) };
    assert!(!accepts(&view(&small), None));
    let with_arrival = |after_ms| {
        let arriving = vec![ArrivingCapacity { after_ms, cores: 40_000 }];
        PoolLoad { arriving, ..small.clone() }
    };
    assert!(accepts(&view(&with_arrival(500)), None));
    assert!(!accepts(&view(&with_arrival(3_000)), None), "they arrive too late");
    let spares = PoolLoad { obtainable: 40_000, ..small.clone() };
    assert!(!accepts(&view(&spares), None), "a move takes longer than the job can wait");
    assert!(accepts(&PoolView { move_time: Duration::from_millis(300), ..view(&spares) }, None));
    let empty = PoolLoad { capacity: 0, obtainable: 0, ..small };
    let spec =
        JobSpec { steps: vec![StepSpec { count: 1, ..StepSpec::default() }], ..JobSpec::default() };
    let request =
        JobRequest { spec: &spec, priority: 0, stretch: 1.6, target: OBJECTIVE, account: None };
    assert_eq!(admit_by_end(&view(&empty), JobKey(1), &request), None, "nothing is known to come");
}

/// Guards against refusals of other accounts' jobs during the flood of one, and against accepting the flood beyond its share.
#[test]
fn a_flood_is_not_ahead_of_other_accounts() {
    let mut load = full_pool(4.0);
    let work = load.waiting[0].work;
    load.accounts = vec![
        AccountLoad { account: 1, weight: 100, work: work - 4_000 },
        AccountLoad { account: 2, weight: 100, work: 4_000 },
    ];
    assert!(!accepts(&view(&load), Some(account(1))), "the flooding account");
    assert!(accepts(&view(&load), Some(account(2))));
    assert!(accepts(&view(&load), Some(account(3))), "an account without waiting work");
    load.accounts[0].weight = 10_000;
    assert!(
        !accepts(&view(&load), Some(account(3))),
        "the weight allows the other account that much"
    );
}

/// Guards against a node that accepts a burst on a load from before it: the jobs that it accepted since count.
#[test]
fn own_acceptances_count() {
    let load = PoolLoad { free: 16_000, asked: 0, waiting: Vec::new(), ..full_pool(0.0) };
    let mut accepted = AcceptedWork::default();
    let job = AcceptedJob { account: None, work: 5_600.0, cores: 8_000.0 };
    let mut count = 0;
    while accepts(&PoolView { accepted: accepted.clone(), ..view(&load) }, None) {
        accepted.add(&job);
        count += 1;
    }
    // 0.77 s of a pool of 32 cores are 4.4 jobs, and the free room is that for 2.
    assert!((4..=7).contains(&count), "{count} accepted");
    let arrivals = PoolLoad { arrival_rate: CAPACITY * 5, ..load };
    let aged = PoolView { age: Duration::from_millis(800), ..view(&arrivals) };
    assert!(!accepts(&aged, None), "other nodes have accepted a burst");
}

/// Guards against decisions on a load that is too old, of a new owner or of one that was replaced, or that has no such pool: nodes
/// decide by the whole backlog then.
#[test]
fn loads_that_tell_nothing_are_not_used() {
    let (now, red) = (Instant::now(), ServiceId::try_from("red").unwrap());
    let report = |epoch, owned_ms| LoadReport {
        epoch,
        owned_ms,
        age_ms: 200,
        pools: vec![(red.clone(), full_pool(1.0))],
    };
    let mut view = LoadView::default();
    assert!(view.pool(&red, 3, now).is_none(), "missing");
    view.record(report(3, 500), now);
    assert!(view.pool(&red, 3, now).is_none(), "a new owner");
    view.record(report(3, 5_000), now);
    let (_, age) = view.pool(&red, 3, now).expect("usable");
    assert!(age >= Duration::from_millis(200));
    assert!(view.pool(&red, 4, now).is_none(), "the owner was replaced");
    assert!(view.pool(&red, 3, now + Duration::from_secs(2)).is_none(), "old");
    assert!(view.pool(&ServiceId::try_from("blue").unwrap(), 3, now).is_none(), "no such pool");
    view.record(report(2, 9_000), now);
    assert!(view.pool(&red, 3, now).is_some(), "a load of an earlier owner was read late");
}

/// Guards against acceptances that count twice, once in the load and once by the node, and for other services.
#[test]
fn acceptances_before_the_load_are_forgotten() {
    let (start, red) = (Instant::now(), ServiceId::try_from("red").unwrap());
    let job = AcceptedJob { account: Some(account(5)), work: 7.0, cores: 3.0 };
    let mut view = LoadView::default();
    for ms in [0, 1_000, 1_500] {
        view.add_accepted(red.clone(), job, start + Duration::from_millis(ms));
    }
    view.add_accepted(
        ServiceId::try_from("blue").unwrap(),
        job,
        start + Duration::from_millis(1_500),
    );
    let now = start + Duration::from_millis(1_600);
    let accepted = |age_ms| view.accepted_since(&red, Duration::from_millis(age_ms), now);
    assert_eq!(accepted(700).work, 14.0);
    assert_eq!(accepted(100).of_account(5), 7.0);
    assert_eq!(accepted(0).work, 0.0);
}

/// Guards against estimates that count although they predict nothing, and against values of a corrupt load that lead to a panic.
#[test]
fn run_times_follow_estimates_as_far_as_those_are_accurate() {
    let run_times =
        PoolRunTimes { estimate_ms: 500, task_ms: 700, step_ms: 1_000, slope_percent: 0 };
    let of_step = |run_times: PoolRunTimes, ms| run_times.of_step(Duration::from_millis(ms));
    let (task, step) = (Duration::from_millis(700), Duration::from_secs(1));
    for estimate_ms in [0, 500, 365 * 86_400_000] {
        assert_eq!(of_step(run_times, estimate_ms), (task, step));
    }
    assert_eq!(
        of_step(PoolRunTimes { slope_percent: 100, ..run_times }, 1_000),
        (task * 2, step * 2)
    );
    let (most, bands) = (u32::MAX, WaitingBand { priority: 0, latest_start_ms: 5, work: u32::MAX });
    let run_times =
        PoolRunTimes { estimate_ms: 1, task_ms: most, step_ms: most, slope_percent: most };
    let accounts = vec![AccountLoad { account: 1, weight: 0, work: most }; 40];
    let load = PoolLoad { waiting: vec![bands; 3], accounts, run_times, ..full_pool(1.0) };
    let AdmissionDecision::Refuse(after) = decide_by_end(&view(&load), 1, Some(account(2))) else {
        return;
    };
    assert!(after <= Duration::from_secs(10));
}
