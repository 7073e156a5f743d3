//! Random schedules of submissions, faults and takeovers. The scheduler's guarantees are checked at each start, acknowledgement
//! and interruption.

use cj_sched::StepSpec;
use rand::Rng;

use crate::world::{Faults, World, step};

/// Number of seeds that each test runs, in CI too.
const SEEDS: u64 = 24;

/// Number of jobs per seed.
const JOBS: u64 = 60;

/// Time for the finite jobs of a seed to end after the long-running ones were cancelled.
const SETTLE_MS: u64 = 60_000;

/// Minimum number of simulated events over all seeds, so that the test covers enough.
const MIN_EVENTS: u64 = 100_000;

fn random_step(world: &mut World, after: Vec<u32>) -> StepSpec {
    let count = world.rng.random_range(1..8);
    let (cores, ms) = (world.rng.random_range(500..5_000), world.rng.random_range(50..1_500));
    let spread = world.rng.random_bool(0.3).then(|| world.rng.random_range(1..4));
    StepSpec { after, spread, ..step(count, cores, ms) }
}

fn submit(world: &mut World, key: u64) {
    let name = if world.rng.random_bool(0.5) { "red" } else { "blue" };
    let mut steps = vec![random_step(world, Vec::new())];
    if world.rng.random_bool(0.5) {
        steps.push(random_step(world, vec![0]));
    }
    if world.rng.random_bool(0.1) {
        steps = vec![StepSpec { long_running: true, max_unavailable: Some(1), ..steps.remove(0) }];
    }
    world.submit(key, name, steps);
}

/// Injects a random fault or takeover, or nothing.
fn inject_fault(world: &mut World) {
    let index = world.rng.random_range(0..world.workers.len());
    match world.rng.random_range(0..10) {
        0 if world.workers[index].alive => world.crash(index),
        1 if !world.workers[index].alive && world.workers[index].service.as_str() != "spare" => {
            world.restart(index);
        }
        2 => {
            world.workers[index].unreachable_until = world.now + world.rng.random_range(500..9_000)
        }
        3 => world.take_over(true),
        4 => world.take_over(false),
        5 => {
            world.disconnect_owner();
            world.run_for(2_500);
            world.take_over(false);
        }
        7 if world.workers[index].alive => world.drain(index),
        6 => world.workers[index].fails_all = world.rng.random_bool(0.3),
        8 if world.config.accounts.is_some() => {
            let percent = [40, 100, 150][world.rng.random_range(0..3)];
            world.set_accounts(percent);
        }
        _ => {}
    }
}

/// What a random schedule includes besides faults and takeovers.
#[derive(Clone, Copy, Default)]
struct Conditions {
    /// Some records of callers go to an overflow log.
    use_overflow: bool,
    /// Most jobs belong to accounts with changing caps.
    use_accounts: bool,
    /// Listings name few ends, and writes take long now and then, so that ends gather on the workers.
    cut_listings: bool,
    /// No two maintenance waves name the same VM.
    without_overlaps: bool,
}

/// Number of ends that a worker lists at most if listings are cut.
const CUT_LISTED_ENDS: usize = 3;

/// Simulates this number of jobs under random faults.
fn simulate(seed: u64, conditions: Conditions, jobs: u64) -> World {
    let Conditions { use_overflow, use_accounts, cut_listings, without_overlaps } = conditions;
    let mut world = World::new(seed);
    world.logs.use_overflow = use_overflow;
    if use_accounts {
        world.set_accounts(100);
    }
    log::info!(target: "sim", "seed={seed} begins");
    world.faults = Faults::few();
    for n in 0..5 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 3));
        world.add_worker(&format!("b{n}"), "blue", &format!("rack-{}", n % 3));
    }
    for worker in &mut world.workers {
        worker.clock_rate = 0.985;
    }
    world.add_worker("s0", "spare", "rack-4");
    world.add_worker("s1", "spare", "rack-4");
    if cut_listings {
        world.max_listed_ends = Some(CUT_LISTED_ENDS);
    }
    world.take_over(false);
    for key in 0..jobs {
        if key == 10 && seed.is_multiple_of(2) {
            world.start_wave(2);
        }
        if seed.is_multiple_of(4) && !without_overlaps {
            world.start_overlapping_wave(key, 2);
        }
        submit(&mut world, key);
        if world.rng.random_bool(0.1) {
            let job = world.rng.random_range(0..=key);
            world.cancel(job);
        }
        let pause = world.rng.random_range(20..900);
        world.run_for(pause);
        if world.rng.random_bool(0.3) {
            inject_fault(&mut world);
        }
        if cut_listings {
            world.append_ms = if world.rng.random_bool(0.2) { 3_000 } else { 6 };
        }
    }
    settle(&mut world, SETTLE_MS * jobs.div_ceil(JOBS));
    world
}

/// Ends all faults, cancels the long-running jobs, since they may hold all VMs, and gives the others `ms` to end.
fn settle(world: &mut World, ms: u64) {
    world.cancel_long_running();
    world.faults = Faults::default();
    world.append_ms = 6;
    for index in 0..world.workers.len() {
        world.workers[index].unreachable_until = 0;
        world.workers[index].fails_all = false;
        if !world.workers[index].alive {
            world.run_for(1_600);
        }
        if !world.workers[index].alive {
            world.restart(index);
        }
    }
    if world.config.accounts.is_some() {
        // With the usual cap, the tasks of the small account run one after the other, which may take longer than `ms`.
        world.set_accounts(400);
    }
    world.take_over(true);
    world.run_for(ms);
}

fn assert_all_jobs_final(world: &World, seed: u64) {
    for (key, entry) in world.job_index.jobs() {
        let state = entry.state();
        assert!(state.is_final(), "seed {seed}: job {key} is {state}");
    }
}

/// Guards against duplicate, lost, out-of-order and excess runs under lost, delayed and repeated messages, crashes, network cuts,
/// broken workers, and owners that are killed, cut off or still active after a takeover.
#[test]
fn keeps_guarantees_under_random_faults() {
    let mut event_count = 0;
    for seed in 0..SEEDS {
        let world = simulate(seed, Conditions::default(), JOBS);
        assert_all_jobs_final(&world, seed);
        assert!(world.checks.starts > 50, "seed {seed}: {} starts", world.checks.starts);
        event_count += world.event_count;
    }
    assert!(event_count >= MIN_EVENTS, "{event_count} events");
}

/// Guards against duplicate and lost runs when submissions and cancellations are read late, from another log than the owner's
/// records.
#[test]
fn keeps_guarantees_while_overflow_logs_are_read_late() {
    for seed in 0..SEEDS {
        let overflow = Conditions { use_overflow: true, ..Conditions::default() };
        let world = simulate(seed, overflow, JOBS);
        assert_all_jobs_final(&world, seed);
        assert!(world.checks.starts > 50, "seed {seed}: {} starts", world.checks.starts);
    }
}

/// Guards against tasks that run again although they are done, because the listings of their workers are cut before their
/// ends.
#[test]
fn keeps_guarantees_while_listings_are_cut() {
    for seed in 0..SEEDS {
        let cut = Conditions { cut_listings: true, ..Conditions::default() };
        let world = simulate(seed, cut, JOBS);
        assert_all_jobs_final(&world, seed);
        assert!(world.checks.starts > 50, "seed {seed}: {} starts", world.checks.starts);
    }
}

/// Guards against accounts that have more running than their caps allow, and against jobs that caps hold back for ever: under
/// takeovers, delayed and unanswered orders, restarted workers, and caps that fall below what is running.
#[test]
fn keeps_caps_of_accounts() {
    for seed in 0..SEEDS {
        let use_overflow = seed.is_multiple_of(3);
        let conditions = Conditions { use_overflow, use_accounts: true, ..Conditions::default() };
        let world = simulate(seed, conditions, JOBS);
        assert_all_jobs_final(&world, seed);
        assert!(world.checks.starts > 50, "seed {seed}: {} starts", world.checks.starts);
    }
}

/// Guards against a new owner that starts tasks of an account although a worker runs tasks of the same account whose submission
/// the owner hasn't read yet.
#[test]
fn counts_runs_of_unread_submissions_under_every_cap() {
    let conditions = Conditions {
        use_overflow: true,
        use_accounts: true,
        cut_listings: false,
        without_overlaps: true,
    };
    let world = simulate(288, conditions, JOBS);
    assert_all_jobs_final(&world, 288);
}

/// Runs the seeds of the environment variable SIM_SEEDS, given as FROM..TO, for longer searches by hand; does nothing without it.
/// SIM_JOBS is the number of jobs per seed; 2,000 jobs make more than 100,000 events.
#[test]
fn keeps_guarantees_for_chosen_seeds() {
    let Ok(range) = std::env::var("SIM_SEEDS") else { return };
    let (from, to) = range.split_once("..").expect("SIM_SEEDS is FROM..TO");
    let jobs = std::env::var("SIM_JOBS").map_or(JOBS, |jobs| jobs.parse().unwrap());
    for seed in from.parse::<u64>().unwrap()..to.parse::<u64>().unwrap() {
        for number in 0..8 {
            let conditions = Conditions {
                use_overflow: number & 1 != 0,
                use_accounts: number & 2 != 0,
                cut_listings: number & 4 != 0,
                without_overlaps: false,
            };
            let world = simulate(seed, conditions, jobs);
            assert_all_jobs_final(&world, seed);
            println!("seed {seed}, conditions {number}: {} events", world.event_count);
        }
    }
}
