//! Regression tests: each replays a short course of events that once led to a fault.

use cj_sched::{JobKey, JobState, StepSpec};
use cj_standin::task_worker::TaskWorker;

use crate::world::{Faults, World, resources, step};

fn job_state(world: &World, key: u64) -> JobState {
    world.job_index.job(JobKey(key)).unwrap().state()
}

/// Four workers in the pool "red" on two racks, two workers in "blue", and an owner.
fn small_world(seed: u64) -> World {
    let mut world = World::new(seed);
    for n in 0..4 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 2));
    }
    add_blue_pool(&mut world);
    world.take_over(false);
    world.run_for(100);
    world
}

/// Adds the pool "blue" at its minimum size, so that it borrows no VMs.
fn add_blue_pool(world: &mut World) {
    world.add_worker("b0", "blue", "rack-0");
    world.add_worker("b1", "blue", "rack-1");
}

/// A step of long-running tasks, of which one may be disrupted at a time.
fn long_running(count: u32, spread: u32) -> StepSpec {
    let base = step(count, 2_000, 0);
    StepSpec { long_running: true, spread: Some(spread), max_unavailable: Some(1), ..base }
}

/// Number of a job's tasks that run on workers that are alive.
fn running_tasks(world: &World, key: u64) -> usize {
    let runs = world.workers.iter().filter(|worker| worker.alive).flat_map(|w| w.runs.keys());
    runs.filter(|task| task.job == JobKey(key)).count()
}

/// Guards against a job of two dependent steps that doesn't complete although nothing fails.
#[test]
fn completes_a_job() {
    let mut world = small_world(1);
    let second = StepSpec { after: vec![0], ..step(2, 2_000, 300) };
    world.submit(1, "red", vec![step(4, 1_000, 500), second]);
    world.run_for(4_000);
    assert_eq!(job_state(&world, 1), JobState::Completed);
}

/// Guards against leases of an unreachable worker that never end, because listings that it doesn't answer renew them.
#[test]
fn restarts_long_running_tasks_of_an_unreachable_worker() {
    let mut world = small_world(2);
    world.submit(1, "red", vec![long_running(3, 1)]);
    world.run_for(1_000);
    assert_eq!(running_tasks(&world, 1), 3);
    let busy = world.workers.iter().position(|worker| !worker.runs.is_empty()).unwrap();
    world.workers[busy].unreachable_until = u64::MAX;
    world.run_for(9_000);
    let is_reachable = |worker: &&TaskWorker| worker.unreachable_until == 0;
    let reachable: usize =
        world.workers.iter().filter(is_reachable).map(|worker| worker.runs.len()).sum();
    assert_eq!(reachable, 3);
}

/// Guards against failed runs that a new owner doesn't count because it reads their ends in another order.
#[test]
fn counts_failures_across_a_takeover() {
    for seed in 0..20 {
        let mut world = small_world(seed);
        world.faults = Faults { failed_run: 1.0, ..Faults::default() };
        world.submit(1, "red", vec![step(1, 1_000, 400)]);
        // The owner learns of the failures but can't write them to the store.
        world.run_for(60);
        world.disconnect_owner();
        world.run_for(2_300);
        world.take_over(false);
        world.run_for(12_000);
        assert_eq!(job_state(&world, 1), JobState::Failed, "seed {seed}");
        assert_eq!(world.checks.failures(JobKey(1)), 3, "seed {seed}");
    }
}

/// Guards against tasks that run twice because the submission of their job is in two logs: an earlier owner read it from the
/// overflow log, and a new owner, which hasn't, reads it behind its own claim in the log of jobs.
#[test]
fn a_job_in_two_logs_is_not_taken_for_new() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        world.logs.use_overflow = true;
        for n in 0..4 {
            world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 2));
        }
        add_blue_pool(&mut world);
        world.take_over(false);
        world.run_for(3_000);
        for job in 1..5 {
            world.submit(job, "red", vec![step(3, 1_000, 3_000)]);
        }
        world.run_for(1_700);
        world.take_over(true);
        for job in 1..5 {
            world.submit_again(job);
        }
        world.run_for(30_000);
        for job in 1..5 {
            assert_eq!(job_state(&world, job), JobState::Completed, "seed {seed}, job {job}");
        }
    }
}

/// Guards against tasks that keep running after their job was cancelled during a takeover.
#[test]
fn stops_cancelled_jobs_across_a_takeover() {
    let mut world = small_world(4);
    world.submit(1, "red", vec![long_running(3, 2)]);
    world.run_for(1_000);
    world.take_over(true);
    world.run_for(10);
    world.cancel(1);
    world.run_for(3_000);
    assert_eq!(running_tasks(&world, 1), 0);
    assert_eq!(job_state(&world, 1), JobState::Cancelled);
}

/// Guards against a pool that stays too small for the spread of a long-running step.
#[test]
fn grows_a_pool_for_long_running_tasks() {
    let mut world = World::new(5);
    for n in 0..2 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{n}"));
    }
    for n in 0..3 {
        world.add_worker(&format!("s{n}"), "spare", &format!("rack-{n}"));
    }
    add_blue_pool(&mut world);
    world.take_over(false);
    world.submit(1, "red", vec![long_running(4, 1)]);
    world.run_for(6_000);
    assert_eq!(running_tasks(&world, 1), 4);
}

/// Guards against more VMs in maintenance than the cap of the wave allows, because a new owner doesn't count the VMs that an
/// earlier owner switched off.
#[test]
fn keeps_the_wave_cap_across_takeovers() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        for n in 0..12 {
            world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 3));
        }
        add_blue_pool(&mut world);
        world.take_over(false);
        world.submit(1, "red", vec![long_running(4, 1)]);
        world.run_for(1_500);
        world.start_wave(1);
        for _ in 0..4 {
            let pause = 1_500 + seed * 37;
            world.run_for(pause);
            world.take_over(seed % 2 == 0);
        }
        world.run_for(60_000);
        assert!(world.completed_waves.contains(&1), "seed {seed}");
    }
}

/// Guards against idle VMs that stay in their pools, where they cost money.
#[test]
fn moves_idle_vms_to_the_spare_pool() {
    let mut world = small_world(6);
    world.add_worker("s0", "spare", "rack-9");
    world.run_for(8_000);
    let red = world.workers.iter().filter(|worker| worker.service.as_str() == "red").count();
    assert_eq!(red, 2);
}

/// Number of workers in the pool "red" or on VMs that are moving, after jobs arrived at these times, in ms. The two VMs of the
/// pool have room for all of them.
fn red_workers_after(arrivals: &[u64]) -> usize {
    let mut world = small_world(2);
    for n in 0..8 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    world.run_for(3_000);
    let start = world.now;
    for (key, arrival) in arrivals.iter().enumerate() {
        let wait = start + arrival - world.now;
        world.run_for(wait);
        world.submit(key as u64 + 1, "red", vec![step(2, 2_000, 1_000)]);
    }
    world.run_for(300);
    world.workers.iter().filter(|worker| worker.service.as_str() == "red" || !worker.alive).count()
}

/// Guards against a pool that gets VMs for a rising queue only once tasks wait, although the rise could be forecast.
#[test]
fn a_rising_queue_gets_vms_before_its_tasks_wait() {
    assert!(red_workers_after(&[0, 850, 1_000, 1_100, 1_200, 1_250]) > 2);
}

/// Guards against moving VMs for a steady queue, or for two jobs that arrive together by chance.
#[test]
fn a_steady_queue_keeps_its_vms() {
    assert_eq!(red_workers_after(&[0, 300, 600, 900, 1_200, 1_500]), 2);
    assert_eq!(red_workers_after(&[0, 2_000, 2_010]), 2);
}

/// Guards against long-running tasks that wait for a VM until a flood of finite tasks of another queue, which keeps all VMs busy,
/// is over.
#[test]
fn a_flood_leaves_vms_for_long_running_tasks() {
    let mut world = small_world(3);
    for n in 0..6 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    world.submit(1, "red", vec![step(120, 8_000, 1_500)]);
    world.run_for(2_500);
    world.submit(2, "blue", vec![long_running(4, 1)]);
    world.run_for(6_000);
    assert_eq!(running_tasks(&world, 2), 4);
    assert_eq!(job_state(&world, 1), JobState::Running, "the flood goes on");
}

/// Guards against an unfair split of the fleet: two queues each request more VMs than there are, and the one that requests more
/// gets them all.
#[test]
fn floods_share_the_fleet() {
    let mut world = small_world(4);
    for n in 0..8 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    world.submit(1, "red", vec![step(200, 8_000, 700)]);
    world.submit(2, "blue", vec![step(100, 8_000, 700)]);
    world.run_for(4_000);
    let vms = |name: &str| {
        world
            .workers
            .iter()
            .filter(|worker| worker.alive && worker.service.as_str() == name)
            .count()
    };
    assert!(vms("blue") >= 4, "red {}, blue {}", vms("red"), vms("blue"));
}

/// Guards against a pool that takes all spare VMs for one long-running task that doesn't fit into the free capacity of any of its
/// VMs.
#[test]
fn an_unplaced_task_gets_one_vm() {
    let mut world = small_world(2);
    for n in 0..8 {
        world.add_worker(&format!("s{n}"), "spare", "rack-9");
    }
    let large = || StepSpec { demand: resources(8_500, 1_000), ..long_running(1, 1) };
    for key in 1..=5 {
        world.submit(key, "red", vec![large()]);
    }
    world.run_for(2_500);
    let red = |worker: &TaskWorker| worker.service.as_str() == "red";
    assert_eq!(world.workers.iter().filter(|worker| red(worker)).count(), 5);
    assert!((1..=5).all(|key| running_tasks(&world, key) == 1));
}
