//! The load that the owner publishes for the admission of jobs.

use std::{rc::Rc, time::Duration};

use cj_sched::{
    Account, AccountCap, Accounts, Event, FleetConfig, JobKey, JobSpec, Pool, Queue, Record,
    StepSpec, Submission, Weight, codec,
    load_report::{LATE, MAX_ACCOUNTS, MAX_BANDS, MAX_POOL_ACCOUNTS, PoolLoad, account_digest},
    sched::{VmRow, VmState},
};
use cj_types::{AccountId, Version, VmId};

use crate::{
    decisions::{Harness, config, starts},
    world::{resources, service, step},
};

/// A scheduler with two workers of 8 cores in the pool `red`.
fn harness() -> Harness {
    let mut harness = Harness::new(&["r0", "r1"], None);
    harness.poll_after(10);
    harness
}

/// Submits a job of the queue and service `red`, or of another service, at the present time.
fn submit(harness: &mut Harness, key: u64, owner: Option<&str>, pool: &str, spec: StepSpec) {
    let now = harness.now();
    let submission = Submission {
        queue: if pool == "red" { "red".into() } else { "none".into() },
        service: service(pool),
        priority: 0,
        max_attempts: 2,
        objective: Duration::from_secs(3),
        received_at: now.wall,
        spec: JobSpec { text: String::new(), steps: vec![spec], schedule: None },
        account: owner.map(|name| AccountId::try_from(name).unwrap()),
    };
    let (job, submission) = (JobKey(key), Rc::new(submission));
    harness.handle(Event::Submitted { job, submission, fresh: true, recorded: Vec::new() });
}

fn load(harness: &Harness, pool: &str) -> PoolLoad {
    let report = harness.scheduler.load_report();
    let found = report.pools.into_iter().find(|(name, _)| *name == service(pool));
    found.expect("the pool is published").1
}

/// Guards against capacity that long-running tasks have, room in which no waiting task fits, and work that runs already, being
/// taken for capacity, room and waiting work.
#[test]
fn capacity_room_and_waiting_work() {
    let mut harness = harness();
    let long_running = StepSpec { long_running: true, ..step(1, 5_000, 0) };
    harness.submit(1, vec![long_running], None);
    assert_eq!(starts(&harness.poll_after(10)).len(), 1);
    let idle = load(&harness, "red");
    assert_eq!((idle.capacity, idle.free, idle.asked), (11_000, 11_000, 0));
    assert!(idle.waiting.is_empty());
    // One worker has room for 2 tasks, the other one for 1, and 1 core is left over on each.
    submit(&mut harness, 2, None, "red", step(5, 3_500, 2_000));
    assert_eq!(starts(&harness.poll_after(10)).len(), 2);
    let full = load(&harness, "red");
    assert_eq!((full.capacity, full.free, full.asked), (7_000, 0, 3 * 3_500));
    let work: u32 = full.waiting.iter().map(|band| band.work).sum();
    assert_eq!(work, 3 * 3_500 * 2);
    assert_eq!(full.arrival_rate, 2 * 5 * 3_500 * 2, "in half a second");
    assert_eq!(full.run_times.of_step(Duration::from_secs(2)).0.as_secs(), 2);
}

/// Guards against nodes that take all waiting work for urgent: it is listed by latest start, and late work apart.
#[test]
fn waiting_work_is_listed_by_latest_start() {
    let mut harness = harness();
    submit(&mut harness, 1, None, "red", step(16, 1_000, 30_000));
    harness.poll_after(10);
    submit(&mut harness, 2, None, "red", step(4, 1_000, 1_000));
    submit(&mut harness, 3, None, "red", step(4, 1_000, 8_000));
    harness.poll_after(10);
    let in_time = load(&harness, "red").waiting;
    let work: Vec<u32> = in_time.iter().map(|band| band.work).collect();
    assert_eq!(work, [4_000, 32_000]);
    assert!(in_time[0].latest_start_ms < in_time[1].latest_start_ms);
    harness.poll_after(1_500);
    let later = load(&harness, "red").waiting;
    let late: Vec<u32> =
        later.iter().filter(|band| band.latest_start_ms == LATE).map(|band| band.work).collect();
    assert_eq!(late, [4_000], "the shorter job can't be in time any more");
}

/// Guards against nodes that refuse jobs at the beginning of a rise, because they don't know which VMs are on their way and which
/// can be had.
#[test]
fn vms_on_their_way_and_spares_are_published() {
    let mut harness = harness();
    let base = config(None);
    let spare = (service("spare"), Pool { rejects_overload: true, spare: true });
    let pools = base.pools.clone().into_iter().chain([spare]).collect();
    let configured = FleetConfig { version: Version(2), pools, ..(*base).clone() };
    harness.handle(Event::Config(Rc::new(configured)));
    let spares = (0..40).map(|n| VmRow {
        vm: VmId::try_from(format!("spare-{n:02}").as_str()).unwrap(),
        pool: service("spare"),
        state: VmState::Up,
        labels: vec!["a".into(), "r0".into()],
        capacity: resources(8_000, 64_000),
        worker: None,
    });
    harness.vm_rows.extend(spares);
    let rows = Event::VmsListed(harness.now().mono, harness.vm_rows.clone());
    harness.handle(rows);
    assert_eq!(load(&harness, "red").obtainable, 40 * 8_000);
    submit(&mut harness, 1, None, "red", step(60, 1_000, 2_000));
    for _ in 0..5 {
        harness.poll_after(50);
    }
    let rising = load(&harness, "red");
    let arriving: u32 = rising.arriving.iter().map(|arriving| arriving.cores).sum();
    assert!(arriving >= 44_000, "{arriving} millicores for the waiting tasks");
    assert_eq!(arriving + rising.obtainable, 40 * 8_000);
    assert!(rising.arriving.iter().all(|arriving| (1_000..=1_500).contains(&arriving.after_ms)));
    assert!(rising.arriving.len() <= 4);
}

/// Guards against a load that grows with the numbers of jobs and accounts, and against accounts with the most work being left
/// out.
#[test]
fn the_size_is_bounded() {
    let mut harness = harness();
    let mut accounts = Accounts::default();
    for n in 0..82 {
        let id = AccountId::try_from(format!("account-{n}").as_str()).unwrap();
        let weight = Weight::try_from(2.5).unwrap();
        accounts.add(Account { id, weight, cap: AccountCap::UNLIMITED }, []).unwrap();
    }
    let base = config(None);
    let queues: Vec<Queue> = base.queues.clone();
    let configured =
        FleetConfig { version: Version(2), queues, accounts: Some(accounts), ..(*base).clone() };
    harness.handle(Event::Config(Rc::new(configured)));
    let mut key = 0;
    for pool in 0..42 {
        let pool = if pool == 0 { "red".to_owned() } else { format!("service-{pool:02}") };
        for account in 0..82 {
            key += 1;
            let count = if account == 17 { 200 } else { 40 };
            let owner = format!("account-{account}");
            submit(&mut harness, key, Some(&owner), &pool, step(count, 1_000, 700 + account));
        }
    }
    let report = harness.scheduler.load_report();
    assert_eq!(report.pools.len(), 42);
    let mut named = 0;
    for (service, pool) in &report.pools {
        assert!(pool.waiting.len() <= MAX_BANDS && pool.accounts.len() <= MAX_POOL_ACCOUNTS);
        named += pool.accounts.len();
        let flood = AccountId::try_from("account-17").unwrap();
        assert_eq!(pool.accounts[0].account, account_digest(&flood), "{service}");
        assert_eq!(pool.accounts[0].weight, 250);
    }
    assert!(named <= MAX_ACCOUNTS);
    let size = codec::encode(&Record::Load(Box::new(report))).len();
    assert!(size < 8_000, "{size} bytes");
    let four = Record::Load(Box::new(harness.scheduler.load_report()));
    let Record::Load(mut report) = four else { unreachable!("just made") };
    report.pools.truncate(4);
    let size = codec::encode(&Record::Load(report)).len();
    assert!(size < 1_000, "{size} bytes for 4 pools");
}

/// Guards against a load of a corrupt record that stops a node.
#[test]
fn corrupt_loads_are_refused() {
    let mut harness = harness();
    submit(&mut harness, 1, Some("a"), "red", step(60, 1_000, 2_000));
    let record = Record::Load(Box::new(harness.scheduler.load_report()));
    let (key, value) = codec::entry(&record);
    assert_eq!(codec::decode(&key, &value).unwrap(), record);
    for at in 0..value.len() {
        assert!(codec::decode(&key, &value[..at]).is_err() || at == 0, "cut after {at} bytes");
        let mut changed = value.clone();
        changed[at] ^= 0xff;
        // It is refused or leads to other values; it must not panic.
        let _ = codec::decode(&key, &changed);
    }
}
