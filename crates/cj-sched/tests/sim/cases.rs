//! Faults that were found once, each as a short course of events.

use cj_sched::{JobKey, JobState, StepSpec};
use cj_standin::task_worker::TaskWorker;

use crate::world::{Faults, World, resources, step};

fn state(world: &World, key: u64) -> JobState {
    world.book.job(JobKey(key)).unwrap().state()
}

fn small(seed: u64) -> World {
    let mut world = World::new(seed);
    for n in 0..4 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 2));
    }
    add_blue(&mut world);
    world.take_over(false);
    world.run(100);
    world
}

/// The least size of the other pool, so that it borrows nothing.
fn add_blue(world: &mut World) {
    world.add_worker("b0", "blue", "rack-0");
    world.add_worker("b1", "blue", "rack-1");
}

fn lasting(count: u32, spread: u32) -> StepSpec {
    let base = step(count, 2_000, 0);
    StepSpec { long_running: true, spread: Some(spread), max_unavailable: Some(1), ..base }
}

fn running(world: &World, key: u64) -> usize {
    let runs = world.workers.iter().filter(|worker| worker.alive).flat_map(|w| w.runs.keys());
    runs.filter(|task| task.job == JobKey(key)).count()
}

/// A job of two steps runs to its end without faults.
#[test]
fn completes_a_job() {
    let mut world = small(1);
    let second = StepSpec { after: vec![0], ..step(2, 2_000, 300) };
    world.submit(1, "red", vec![step(4, 1_000, 500), second]);
    world.run(4_000);
    assert_eq!(state(&world, 1), JobState::Completed);
}

/// Guards against leases of a silent worker that never end: its listings must not renew them.
#[test]
fn restarts_lasting_tasks_of_a_silent_worker() {
    let mut world = small(2);
    world.submit(1, "red", vec![lasting(3, 1)]);
    world.run(1_000);
    assert_eq!(running(&world, 1), 3);
    let busy = world.workers.iter().position(|worker| !worker.runs.is_empty()).unwrap();
    world.workers[busy].cut_until = u64::MAX;
    world.run(9_000);
    let seen = |worker: &&cj_standin::task_worker::TaskWorker| worker.cut_until == 0;
    let reachable: usize = world.workers.iter().filter(seen).map(|worker| worker.runs.len()).sum();
    assert_eq!(reachable, 3);
}

/// Guards against failed runs that are not counted when a new owner reads their ends in another order.
#[test]
fn counts_failures_across_a_takeover() {
    for seed in 0..20 {
        let mut world = small(seed);
        world.faults = Faults { failing: 1.0, ..Faults::default() };
        world.submit(1, "red", vec![step(1, 1_000, 400)]);
        // The owner sees the failures but can't write them.
        world.run(60);
        world.cut_owner();
        world.run(2_300);
        world.take_over(false);
        world.run(12_000);
        assert_eq!(state(&world, 1), JobState::Failed, "seed {seed}");
        assert_eq!(world.checks.failures(JobKey(1)), 3, "seed {seed}");
    }
}

/// Guards against tasks that run on after their job was cancelled, also when the owner changes meanwhile.
#[test]
fn stops_cancelled_jobs_across_a_takeover() {
    let mut world = small(4);
    world.submit(1, "red", vec![lasting(3, 2)]);
    world.run(1_000);
    world.take_over(true);
    world.run(10);
    world.cancel(1);
    world.run(3_000);
    assert_eq!(running(&world, 1), 0);
    assert_eq!(state(&world, 1), JobState::Cancelled);
}

/// Guards against pools that are too small for the spread of a lasting step.
#[test]
fn grows_a_pool_for_lasting_tasks() {
    let mut world = World::new(5);
    for n in 0..2 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{n}"));
    }
    for n in 0..3 {
        world.add_worker(&format!("s{n}"), "spare", &format!("rack-{n}"));
    }
    add_blue(&mut world);
    world.take_over(false);
    world.submit(1, "red", vec![lasting(4, 1)]);
    world.run(6_000);
    assert_eq!(running(&world, 1), 4);
}

/// Guards against a new owner that doesn't count the VMs which an earlier one took off for the same wave.
#[test]
fn keeps_the_cap_of_a_wave_across_takeovers() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        for n in 0..12 {
            world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 3));
        }
        add_blue(&mut world);
        world.take_over(false);
        world.submit(1, "red", vec![lasting(4, 1)]);
        world.run(1_500);
        world.order_wave(1);
        for _ in 0..4 {
            let pause = 1_500 + seed * 37;
            world.run(pause);
            world.take_over(seed % 2 == 0);
        }
        world.run(60_000);
        assert!(world.completed, "seed {seed}");
    }
}

/// Guards against idle VMs that stay in their pools, where they are paid for.
#[test]
fn parks_idle_vms() {
    let mut world = small(6);
    world.add_worker("s0", "spare", "rack-9");
    world.run(8_000);
    let red = world.workers.iter().filter(|worker| worker.service.as_str() == "red").count();
    assert_eq!(red, 2);
}

/// Workers of the pool "red" after jobs arrive at these times, in ms, that its two VMs can run at once.
fn grown(arrivals: &[u64]) -> usize {
    let mut world = small(2);
    for n in 0..8 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    world.run(3_000);
    let begun = world.now;
    for (key, at) in arrivals.iter().enumerate() {
        let wait = begun + at - world.now;
        world.run(wait);
        world.submit(key as u64 + 1, "red", vec![step(2, 2_000, 1_000)]);
    }
    world.run(300);
    world.workers.iter().filter(|worker| worker.service.as_str() == "red" || !worker.alive).count()
}

/// Guards against VMs that are called for only by the tasks that already wait, when a queue begins to rise.
#[test]
fn a_rising_queue_gets_vms_before_its_tasks_wait() {
    assert!(grown(&[0, 850, 1_000, 1_100, 1_200, 1_250]) > 2);
}

/// Guards against VMs that are moved for a steady queue, or for two jobs that come together by chance.
#[test]
fn a_steady_queue_keeps_its_vms() {
    assert_eq!(grown(&[0, 300, 600, 900, 1_200, 1_500]), 2);
    assert_eq!(grown(&[0, 2_000, 2_010]), 2);
}

/// Plays a flood of finite tasks that keeps all VMs of the fleet busy. Guards against lasting tasks of another queue that wait for
/// a VM until the flood is over.
#[test]
fn a_flood_leaves_a_vm_for_lasting_tasks() {
    let mut world = small(3);
    for n in 0..6 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    world.submit(1, "red", vec![step(120, 8_000, 1_500)]);
    world.run(2_500);
    world.submit(2, "blue", vec![lasting(4, 1)]);
    world.run(6_000);
    assert_eq!(running(&world, 2), 4);
    assert_eq!(state(&world, 1), JobState::Running, "the flood goes on");
}

/// Plays two queues that each ask for more than the fleet has. Guards against the VMs of the fleet going to the one that asks for
/// more.
#[test]
fn floods_share_the_fleet() {
    let mut world = small(4);
    for n in 0..8 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    world.submit(1, "red", vec![step(200, 8_000, 700)]);
    world.submit(2, "blue", vec![step(100, 8_000, 700)]);
    world.run(4_000);
    let vms = |name: &str| {
        world
            .workers
            .iter()
            .filter(|worker| worker.alive && worker.service.as_str() == name)
            .count()
    };
    assert!(vms("blue") >= 4, "red {}, blue {}", vms("red"), vms("blue"));
}

/// Guards against a pool that takes all parked VMs because one lasting task doesn't fit into the room that is left on several.
#[test]
fn a_stuck_task_gets_one_vm() {
    let mut world = small(2);
    for n in 0..8 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    let large = || StepSpec { demand: resources(8_500, 1_000), ..lasting(1, 1) };
    for key in 1..=5 {
        world.submit(key, "red", vec![large()]);
    }
    world.run(2_500);
    let red = |worker: &TaskWorker| worker.service.as_str() == "red";
    assert_eq!(world.workers.iter().filter(|worker| red(worker)).count(), 5);
    assert!((1..=5).all(|key| running(&world, key) == 1));
}
