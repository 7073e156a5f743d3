//! Random schedules of submissions, faults and takeovers. The promises are checked at each start and acknowledgement.

use cj_sched::StepSpec;
use rand::Rng;

use crate::world::{Faults, World, step};

/// Seeds that are run in CI.
const SEEDS: u64 = 24;

/// Jobs of a seed.
const JOBS: u64 = 60;

/// Time in ms for the jobs of a seed that wait behind lasting ones to end.
const SETTLE_MS: u64 = 60_000;

/// Least events over all seeds.
const LEAST_STEPS: u64 = 100_000;

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

fn disturb(world: &mut World) {
    let index = world.rng.random_range(0..world.workers.len());
    match world.rng.random_range(0..10) {
        0 if world.workers[index].alive => world.crash(index),
        1 if !world.workers[index].alive && world.workers[index].service.as_str() != "spare" => {
            world.restart(index);
        }
        2 => world.workers[index].cut_until = world.now + world.rng.random_range(500..9_000),
        3 => world.take_over(true),
        4 => world.take_over(false),
        5 => {
            world.cut_owner();
            world.run(2_500);
            world.take_over(false);
        }
        7 if world.workers[index].alive => world.drain(index),
        6 => world.workers[index].broken = world.rng.random_bool(0.3),
        _ => {}
    }
}

/// Plays a day of some jobs. Some records of callers go to an overflow log if `overflows` is set.
fn play(seed: u64, overflows: bool, jobs: u64) -> World {
    let mut world = World::new(seed);
    world.logs.overflows = overflows;
    log::info!(target: "sim", "seed={seed} begins");
    world.faults = Faults { lost: 0.01, unanswered: 0.02, late: 0.02, failing: 0.02 };
    for n in 0..5 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 3));
        world.add_worker(&format!("b{n}"), "blue", &format!("rack-{}", n % 3));
    }
    for worker in &mut world.workers {
        worker.rate = 0.985;
    }
    world.add_worker("s0", "spare", "rack-4");
    world.add_worker("s1", "spare", "rack-4");
    world.take_over(false);
    for key in 0..jobs {
        if key == 10 && seed.is_multiple_of(2) {
            world.order_wave(2);
        }
        submit(&mut world, key);
        if world.rng.random_bool(0.1) {
            let older = world.rng.random_range(0..=key);
            world.cancel(older);
        }
        let pause = world.rng.random_range(20..900);
        world.run(pause);
        if world.rng.random_bool(0.3) {
            disturb(&mut world);
        }
    }
    settle(&mut world, SETTLE_MS * jobs.div_ceil(JOBS));
    world
}

/// Ends all faults, cancels the lasting jobs, which may hold all VMs, and gives the others time to end, in ms.
fn settle(world: &mut World, ms: u64) {
    let lasts = |entry: &cj_sched::JobEntry| entry.submission().unwrap().spec.is_long_running();
    let lasting: Vec<_> =
        world.book.jobs().filter(|(_, entry)| lasts(entry)).map(|(key, _)| key.0).collect();
    for key in lasting {
        world.cancel(key);
    }
    world.faults = Faults::default();
    for index in 0..world.workers.len() {
        world.workers[index].cut_until = 0;
        world.workers[index].broken = false;
        if !world.workers[index].alive {
            world.run(1_600);
        }
        if !world.workers[index].alive {
            world.restart(index);
        }
    }
    world.take_over(true);
    world.run(ms);
}

fn check_end(world: &World, seed: u64) {
    for (key, entry) in world.book.jobs() {
        let state = entry.state();
        assert!(state.is_final(), "seed {seed}: job {key} is {state}");
    }
}

/// Guards against doubled, lost, unordered and unlimited runs under lost, late and repeated messages, crashes, cuts,
/// broken workers, and owners that are killed, cut off or go on after a takeover.
#[test]
fn keeps_the_promises_under_random_faults() {
    let mut steps = 0;
    for seed in 0..SEEDS {
        let world = play(seed, false, JOBS);
        check_end(&world, seed);
        assert!(world.checks.starts > 50, "seed {seed}: {} starts", world.checks.starts);
        steps += world.steps;
    }
    assert!(steps >= LEAST_STEPS, "{steps} events");
}

/// Guards against doubled and lost runs when submissions and cancellations are read late, and apart from the owner's records.
#[test]
fn keeps_the_promises_while_overflow_logs_are_read_late() {
    for seed in 0..SEEDS {
        let world = play(seed, true, JOBS);
        check_end(&world, seed);
        assert!(world.checks.starts > 50, "seed {seed}: {} starts", world.checks.starts);
    }
}

/// Runs the seeds FROM..TO of the environment variable SIM_SEEDS, for longer searches by hand. SIM_JOBS is the number of jobs of
/// each; 2,000 make more than 100,000 events.
#[test]
fn keeps_the_promises_for_chosen_seeds() {
    let Ok(range) = std::env::var("SIM_SEEDS") else { return };
    let (from, to) = range.split_once("..").expect("SIM_SEEDS is FROM..TO");
    let jobs = std::env::var("SIM_JOBS").map_or(JOBS, |jobs| jobs.parse().unwrap());
    for seed in from.parse::<u64>().unwrap()..to.parse::<u64>().unwrap() {
        for overflows in [false, true] {
            let world = play(seed, overflows, jobs);
            check_end(&world, seed);
            println!("seed {seed}, overflows {overflows}: {} events", world.steps);
        }
    }
}
