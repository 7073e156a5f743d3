//! Simulates the load that a policy is made for, with the policy and without it, and compares the results for callers. A policy
//! that gains too little on its own load fails.

use std::{collections::HashMap, time::Duration};

use cj_sched::{JobKey, JobState, StepSpec, TaskId, sched::Policies};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::world::{World, resources, step};

/// Number of seeds over which results are averaged.
const SEEDS: u64 = 6;

/// Time between two samples of the states of jobs.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// Objective for the completion of a job, in multiples of the run time of its longest task; same as in the simulated queues.
const OBJECTIVE_STRETCH: f64 = 1.6;

/// Constant part of the objective, added to the multiple of the run time.
const OBJECTIVE_BASE_MS: f64 = 600.0;

/// Submits jobs to a simulated fleet and counts those that complete on time.
struct Workload {
    world: World,
    rng: Pcg64Mcg,
    next_key: u64,
    /// Open jobs by key: time of submission and run time of the longest task, in ms.
    open_jobs: HashMap<u64, (u64, u64)>,
    on_time: usize,
    late: usize,
}

/// Size of the jobs of a queue: each is one step of `tasks` tasks with the same demand.
#[derive(Clone, Copy)]
struct JobShape {
    queue: &'static str,
    tasks: u32,
    /// Demand of a task in millicores.
    cores: u32,
    /// Mean run time of a task.
    task_ms: f64,
    /// Largest deviation of a job's run time from the mean, as a share of the mean.
    work_spread: f64,
    /// Lower and upper bound of the estimate, in multiples of the run time.
    estimate_ratios: (f64, f64),
    checkpoints: bool,
}

/// Jobs of tasks that run for 0.6 s on average, with rough estimates.
const SHORT_JOBS: JobShape = JobShape {
    queue: "red",
    tasks: 5,
    cores: 2_000,
    task_ms: 600.0,
    work_spread: 0.5,
    estimate_ratios: (0.4, 2.5),
    checkpoints: false,
};

impl Workload {
    fn new(seed: u64, policies: Policies) -> Self {
        let mut world = World::new(seed);
        world.policies = policies;
        let rng = rand::SeedableRng::seed_from_u64(seed ^ 0x5eed);
        let open_jobs = HashMap::new();
        Workload { world, rng, next_key: 1, open_jobs, on_time: 0, late: 0 }
    }

    fn add_workers(&mut self, pool: &str, count: usize) {
        for n in 0..count {
            self.world.add_worker(&format!("{pool}{n}"), pool, &format!("rack-{}", n % 4));
        }
    }

    fn submit(&mut self, shape: JobShape) {
        let key = self.next_key;
        self.next_key += 1;
        let work =
            shape.task_ms * self.rng.random_range(1.0 - shape.work_spread..1.0 + shape.work_spread);
        let (from, to) = shape.estimate_ratios;
        let ratio = self.rng.random_range(from.ln()..to.ln()).exp();
        let mut longest = 0;
        for index in 0..shape.tasks {
            let ms = (work * self.rng.random_range(0.8..1.2)) as u64;
            let task = TaskId { job: JobKey(key), occurrence: 0, step: 0, index };
            self.world.run_times.insert(task, ms);
            longest = longest.max(ms);
        }
        let estimate = Duration::from_millis((work * ratio) as u64);
        let spec = StepSpec {
            estimate,
            checkpoints: shape.checkpoints,
            ..step(shape.tasks, shape.cores, 0)
        };
        self.world.submit(key, shape.queue, vec![spec]);
        self.open_jobs.insert(key, (self.world.now, longest));
    }

    /// Submits jobs at a steady mean rate for `ms`.
    fn arrive(&mut self, shape: JobShape, per_s: f64, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.submit(shape);
            let gap = 1_000.0 / per_s * self.rng.random_range(0.2..1.8);
            self.run_for(gap as u64);
        }
    }

    /// Runs the simulation for `ms`, and counts the jobs that complete.
    fn run_for(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.world.run_for(SAMPLE_INTERVAL_MS.min(end - self.world.now));
            let now = self.world.now;
            let job_index = &self.world.job_index;
            let state = |key: &u64| job_index.job(JobKey(*key)).map(|entry| entry.state());
            let done: Vec<u64> = self
                .open_jobs
                .keys()
                .copied()
                .filter(|key| state(key) == Some(JobState::Completed))
                .collect();
            for key in done {
                let (submitted_at, longest_ms) = self.open_jobs.remove(&key).unwrap();
                let objective = (longest_ms as f64 * OBJECTIVE_STRETCH + OBJECTIVE_BASE_MS) as u64;
                if now - submitted_at <= objective { self.on_time += 1 } else { self.late += 1 }
            }
        }
    }

    /// Share of all submitted jobs that completed on time.
    fn on_time_share(&self) -> f64 {
        self.on_time as f64 / (self.next_key - 1) as f64
    }
}

/// Mean of a measurement over the seeds.
fn mean<F>(measure: F) -> f64
where
    F: Fn(u64) -> f64,
{
    (0..SEEDS).map(measure).sum::<f64>() / SEEDS as f64
}

/// All policies but the one of this name.
fn policies_without(name: &str) -> Policies {
    name.parse().unwrap()
}

/// Guards against an overload that makes every job late, as it does when jobs run in order of submission: the queue requests half
/// more than its pool can run.
#[test]
fn rank_completes_more_jobs_on_time_under_overload() {
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 6);
            workload.add_workers("blue", 2);
            workload.world.take_over(false);
            workload.run_for(300);
            workload.arrive(SHORT_JOBS, 24.0, 6_000);
            workload.run_for(10_000);
            workload.on_time_share()
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("rank")));
    assert!(with > without + 0.15, "on time: {with:.3} with, {without:.3} without");
}

/// Guards against ranking by the callers' estimates alone. All estimates are five to ten times too long, so that every job would
/// seem to have time, and the queue requests half more than its pool can run.
#[test]
fn learned_run_times_complete_more_jobs_on_time_than_estimates() {
    let long = JobShape { estimate_ratios: (5.0, 10.0), ..SHORT_JOBS };
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 6);
            workload.add_workers("blue", 2);
            workload.world.take_over(false);
            workload.run_for(300);
            workload.arrive(long, 8.0, 4_000);
            workload.arrive(long, 24.0, 6_000);
            workload.run_for(10_000);
            workload.on_time_share()
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("learn")));
    assert!(with > without + 0.02, "on time: {with:.3} with, {without:.3} without");
}

/// Guards against VMs that a queue can't give back because its last long tasks are spread over all of them, when the demand of
/// another queue rises.
#[test]
fn compaction_frees_vms_for_another_queue() {
    let long = JobShape {
        queue: "blue",
        tasks: 3,
        cores: 3_000,
        task_ms: 12_000.0,
        work_spread: 0.5,
        estimate_ratios: (0.7, 1.5),
        checkpoints: true,
    };
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 2);
            workload.add_workers("blue", 10);
            workload.world.take_over(false);
            workload.run_for(300);
            // The short tasks spread the long ones over all VMs.
            let short = JobShape { task_ms: 1_500.0, tasks: 12, cores: 1_500, ..long };
            for _ in 0..7 {
                workload.submit(long);
                workload.submit(short);
                workload.submit(short);
            }
            workload.run_for(3_500);
            let (on_time_before, key_before) = (workload.on_time, workload.next_key);
            workload.arrive(SHORT_JOBS, 14.0, 5_000);
            workload.run_for(2_000);
            (workload.on_time - on_time_before) as f64 / (workload.next_key - key_before) as f64
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("compact")));
    assert!(with > without + 0.05, "on time: {with:.3} with, {without:.3} without");
}

/// Guards against VMs that are each held for a single long-running task. There are only long-running tasks, and the pools are
/// larger than they need.
#[test]
fn packing_uses_fewer_vms_for_long_running_tasks() {
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 8);
            workload.add_workers("blue", 8);
            workload.world.add_worker("s0", "spare", "rack-9");
            workload.world.take_over(false);
            workload.run_for(300);
            for (key, queue) in [(1, "red"), (2, "red"), (3, "blue")] {
                let long_running =
                    StepSpec { long_running: true, spread: Some(2), ..step(5, 1_000, 0) };
                workload.world.submit(key, queue, vec![long_running]);
            }
            workload.run_for(30_000);
            workload.world.pool_vm_ms as f64 / 1_000.0
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("pack")));
    assert!(with < without * 0.8, "VM seconds: {with:.0} with, {without:.0} without");
}

/// Guards against jobs that are late because VMs are requested only once tasks wait: a quiet queue rises within a second.
#[test]
fn forecast_completes_more_jobs_on_time_when_a_queue_rises() {
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 2);
            workload.add_workers("blue", 2);
            workload.add_workers("spare", 12);
            workload.world.take_over(false);
            workload.run_for(3_000);
            workload.arrive(SHORT_JOBS, 2.0, 2_000);
            workload.arrive(SHORT_JOBS, 10.0, 500);
            workload.arrive(SHORT_JOBS, 22.0, 2_500);
            workload.run_for(6_000);
            workload.on_time_share()
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("foresee")));
    assert!(with > without + 0.01, "on time: {with:.3} with, {without:.3} without");
}

/// Guards against tasks that keep going to a worker which fails every run; it is one of five.
#[test]
fn quarantine_avoids_failing_workers() {
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 5);
            workload.add_workers("blue", 2);
            workload.world.workers[1].fails_all = true;
            workload.world.take_over(false);
            workload.run_for(300);
            workload.arrive(SHORT_JOBS, 8.0, 10_000);
            workload.run_for(6_000);
            workload.on_time_share()
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("quarantine")));
    assert!(with > without + 0.02, "on time: {with:.3} with, {without:.3} without");
}

/// Time in s until all long-running tasks of a queue run that are submitted while a flood of finite tasks keeps all VMs busy.
fn long_running_start_s(policies: Policies) -> f64 {
    mean(|seed| {
        let mut workload = Workload::new(seed, policies);
        workload.add_workers("red", 4);
        workload.add_workers("blue", 2);
        workload.add_workers("spare", 4);
        workload.world.take_over(false);
        workload.run_for(300);
        for key in 500..503 {
            workload.world.submit(key, "red", vec![step(100, 4_000, 2_500)]);
            workload.world.submit(key + 100, "blue", vec![step(20, 7_000, 2_500)]);
        }
        workload.run_for(2_000);
        let start = workload.world.now;
        let demand = resources(5_000, 1_000);
        let long_running =
            StepSpec { long_running: true, spread: Some(1), demand, ..step(4, 0, 0) };
        workload.world.submit(700, "blue", vec![long_running]);
        let running = |world: &World| {
            let runs =
                world.workers.iter().filter(|worker| worker.alive).flat_map(|w| w.runs.keys());
            runs.filter(|task| task.job == JobKey(700)).count()
        };
        while running(&workload.world) < 4 && workload.world.now < start + 30_000 {
            workload.run_for(100);
        }
        (workload.world.now - start) as f64 / 1_000.0
    })
}

/// Guards against long-running tasks that wait until a flood of finite tasks is over.
#[test]
fn reclaim_starts_long_running_tasks_during_a_flood() {
    // Draining VMs for balance helps such tasks too, so reclaim is measured without it.
    let with = long_running_start_s(policies_without("balance"));
    let without = long_running_start_s(policies_without("balance,reclaim"));
    assert!(with < without - 0.3, "seconds: {with:.1} with, {without:.1} without");
    let both = long_running_start_s(Policies::default());
    assert!(both < with + 0.3, "seconds: {both:.1} with both, {with:.1} with reclaim alone");
}

/// Share of the jobs of a light account that complete on time while another account floods the same pool. The flood arrives at
/// once and again and again, at ten times the rate of the light account.
fn light_account_on_time(policies: Policies) -> f64 {
    mean(|seed| {
        let mut workload = Workload::new(seed, policies);
        workload.add_workers("red", 6);
        workload.add_workers("blue", 2);
        // The caps are far above what the pool has.
        workload.world.set_accounts(1_000);
        workload.world.take_over(false);
        workload.run_for(300);
        let (mut light, mut flood) = (1, 2);
        for _ in 0..30 {
            workload.open_jobs.retain(|key, _| key % 4 == 1);
            workload.next_key = light;
            workload.submit(SHORT_JOBS);
            for _ in 0..10 {
                workload.next_key = flood;
                workload.submit(SHORT_JOBS);
                // The account of a job follows from its key.
                flood += 4;
            }
            light += 4;
            workload.open_jobs.retain(|key, _| key % 4 == 1);
            workload.run_for(300);
        }
        workload.run_for(8_000);
        workload.on_time as f64 / 30.0
    })
}

/// Guards against an account whose callers are served late because another account floods the pool that they share.
#[test]
fn shares_protect_a_light_account_from_a_flood() {
    let with = light_account_on_time(Policies::default());
    let without = light_account_on_time(policies_without("share"));
    assert!(with > without + 0.1, "on time: {with:.3} with, {without:.3} without");
    assert!(with > 0.8, "on time: {with:.3}");
}

/// Guards against a pool that keeps all VMs for a backlog that is late anyway, while fresh jobs of another queue wait.
#[test]
fn balance_serves_a_queue_while_another_is_flooded() {
    let fresh = JobShape { queue: "blue", ..SHORT_JOBS };
    let measure = |policies: Policies| {
        mean(|seed| {
            let mut workload = Workload::new(seed, policies);
            workload.add_workers("red", 8);
            workload.add_workers("blue", 2);
            workload.world.take_over(false);
            workload.run_for(300);
            for _ in 0..150 {
                workload.submit(SHORT_JOBS);
            }
            workload.run_for(1_000);
            workload.open_jobs.clear();
            let before = workload.on_time;
            workload.arrive(fresh, 8.0, 6_000);
            workload.run_for(6_000);
            (workload.on_time - before) as f64 / (workload.next_key - 151) as f64
        })
    };
    let (with, without) = (measure(Policies::default()), measure(policies_without("balance")));
    assert!(with > without + 0.05, "on time: {with:.3} with, {without:.3} without");
}
