//! Accounts that compete for a full pool: a flood of one, weights, caps and a change of the owner.

use std::{collections::HashMap, time::Duration};

use cj_sched::{Account, AccountCap, Accounts, JobKey, JobState, StepSpec, TaskId, Weight};
use cj_types::AccountId;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    record_lines,
    world::{World, step},
};

const SAMPLE_MS: u64 = 20;

/// Tasks of a job, processors of a task in millicores, and mean run time of a task in ms.
const TASKS: u32 = 5;
const TASK_CORES: u32 = 2_000;
const TASK_MS: f64 = 600.0;

const WORKERS: u32 = 12;
const WORKER_CORES: u32 = 16_000;

/// Jobs that the pool can run in a second.
fn capacity_per_s() -> f64 {
    let cores = f64::from(WORKERS * WORKER_CORES);
    cores / (f64::from(TASKS * TASK_CORES) * TASK_MS / 1_000.0)
}

/// What happened to the jobs of an account, and what it used.
#[derive(Clone, Debug, Default)]
struct Standing {
    submitted: usize,
    on_time: usize,
    /// Processors in use, summed over the samples.
    used: u64,
}

/// A pool that accounts share.
struct SharedPool {
    world: World,
    /// Draw the arrivals and run times of each account, so that these don't depend on the load of the others.
    rngs: Vec<Pcg64Mcg>,
    next_key: u64,
    ids: Vec<AccountId>,
    results: Vec<Standing>,
    /// Open jobs by key: account, time of submission and run time of the longest task, in ms.
    open: HashMap<u64, (usize, u64, u64)>,
}

impl SharedPool {
    /// Accounts with these weights and caps in millicores; 0 is no cap.
    fn new(seed: u64, without: &str, accounts: &[(f64, u64)]) -> Self {
        let mut world = World::new(seed);
        world.policies = without.parse().unwrap();
        for n in 0..WORKERS {
            world.add_worker(&format!("red{n}"), "red", &format!("rack-{}", n % 4));
        }
        world.add_worker("blue0", "blue", "rack-0");
        world.add_worker("blue1", "blue", "rack-1");
        let mut configured = Accounts::default();
        let mut ids = Vec::new();
        for (n, (weight, cores)) in accounts.iter().enumerate() {
            let id = AccountId::try_from(format!("account-{n}").as_str()).unwrap();
            let (weight, cap) =
                (Weight::try_from(*weight).unwrap(), AccountCap::from_limits(*cores, 0, 0));
            configured.add(Account { id: id.clone(), weight, cap }, []).unwrap();
            ids.push(id);
        }
        world.put_accounts(configured);
        world.take_over(false);
        world.run_for(300);
        let rng = |n: usize| Pcg64Mcg::seed_from_u64(seed ^ 0x5eed ^ (n as u64) << 32);
        let rngs = (0..ids.len()).map(rng).collect();
        let results = vec![Standing::default(); ids.len()];
        SharedPool { world, rngs, next_key: 1, ids, results, open: HashMap::new() }
    }

    /// Submits a job of an account with random run times.
    fn submit(&mut self, account: usize) {
        let mean = TASK_MS * self.rngs[account].random_range(0.5..1.5);
        self.submit_of(account, mean);
    }

    /// Submits a job of an account whose tasks run for about `mean` ms. Returns its key.
    fn submit_of(&mut self, account: usize, mean: f64) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        let rng = &mut self.rngs[account];
        let ratio = rng.random_range(0.4_f64.ln()..2.5_f64.ln()).exp();
        let mut longest = 0;
        for index in 0..TASKS {
            let ms = (mean * rng.random_range(0.8..1.2)) as u64;
            let task = TaskId { job: JobKey(key), occurrence: 0, step: 0, index };
            self.world.run_times.insert(task, ms);
            longest = longest.max(ms);
        }
        let estimate = Duration::from_millis((mean * ratio) as u64);
        self.world.caps.assigned.insert(key, self.ids[account].clone());
        let spec = StepSpec { estimate, ..step(TASKS, TASK_CORES, 0) };
        self.world.submit(key, "red", vec![spec]);
        self.results[account].submitted += 1;
        self.open.insert(key, (account, self.world.now, longest));
        key
    }

    /// Fills the pool with jobs of the first account, but for the room of one task.
    fn fill(&mut self) {
        for _ in 0..(WORKERS * WORKER_CORES - TASK_CORES) / (TASKS * TASK_CORES) {
            self.submit(0);
        }
        self.run_for(100);
    }

    /// Number of tasks of a job that run.
    fn running(&self, key: u64) -> usize {
        let runs = self.world.workers.iter().flat_map(|worker| worker.runs.keys());
        runs.filter(|run| run.job == JobKey(key)).count()
    }

    /// Submits jobs of each account at a mean rate for `ms`.
    fn arrive(&mut self, rates: &[f64], ms: u64) {
        let end = self.world.now + ms;
        let mut next: Vec<f64> = (0..rates.len()).map(|n| self.gap(n, rates[n])).collect();
        let start = self.world.now;
        while self.world.now < end {
            let elapsed = (self.world.now - start) as f64;
            for account in 0..rates.len() {
                while next[account] <= elapsed {
                    self.submit(account);
                    next[account] += self.gap(account, rates[account]);
                }
            }
            self.run_for(SAMPLE_MS);
        }
    }

    /// Time to the next arrival in ms.
    fn gap(&mut self, account: usize, per_s: f64) -> f64 {
        1_000.0 / per_s * self.rngs[account].random_range(0.2..1.8)
    }

    fn run_for(&mut self, ms: u64) {
        let end = self.world.now + ms;
        while self.world.now < end {
            self.world.run_for(SAMPLE_MS.min(end - self.world.now));
            self.sample();
        }
    }

    /// Counts what runs, and the jobs that have completed.
    fn sample(&mut self) {
        let now = self.world.now;
        for run in self.world.workers.iter().flat_map(|worker| worker.runs.keys()) {
            let account = self.world.caps.assigned.get(&run.job.0);
            if let Some(n) = account.and_then(|id| self.ids.iter().position(|own| own == id)) {
                self.results[n].used += u64::from(TASK_CORES);
            }
        }
        let (index, results) = (&self.world.job_index, &mut self.results);
        self.open.retain(|key, (account, submitted_at, longest)| {
            let state = index.job(JobKey(*key)).map(|entry| entry.state());
            let is_done = state == Some(JobState::Completed);
            let objective = (*longest as f64 * 1.6 + 600.0) as u64;
            results[*account].on_time += usize::from(is_done && now - *submitted_at <= objective);
            !is_done
        });
    }

    /// Shares of the processors used since the last call.
    fn take_used(&mut self) -> Vec<f64> {
        let used: Vec<u64> =
            self.results.iter_mut().map(|result| std::mem::take(&mut result.used)).collect();
        let sum = used.iter().sum::<u64>().max(1) as f64;
        used.iter().map(|used| *used as f64 / sum).collect()
    }
}

const FLOOD_SEEDS: u64 = 4;

/// Shares of the jobs in time of 20 accounts whose load fills the pool, of which the first one may send ten times as much.
fn in_time_of_twenty(flood: f64, takes_over: bool) -> Vec<f64> {
    let mut sums = vec![Standing::default(); 20];
    for seed in 0..FLOOD_SEEDS {
        let mut pool = SharedPool::new(seed, "", &[(1.0, 0); 20]);
        let mut rates = [capacity_per_s() / 20.0; 20];
        rates[0] *= flood;
        if takes_over {
            pool.arrive(&rates, 20_000);
            pool.world.take_over(true);
        }
        pool.arrive(&rates, 40_000);
        pool.run_for(8_000);
        for (sum, result) in sums.iter_mut().zip(&pool.results) {
            sum.submitted += result.submitted;
            sum.on_time += result.on_time;
        }
    }
    sums.iter().map(|sum| sum.on_time as f64 / sum.submitted as f64).collect()
}

/// Asserts that the flood of the first account costs no other one more than 0.05 of its jobs in time.
fn assert_protected(takes_over: bool) {
    let quiet = in_time_of_twenty(1.0, takes_over);
    let flooded = in_time_of_twenty(10.0, takes_over);
    let losses: Vec<f64> = quiet.iter().zip(&flooded).skip(1).map(|(a, b)| a - b).collect();
    let worst = losses.iter().copied().fold(f64::MIN, f64::max);
    let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(
        worst <= 0.05,
        "lost: {worst:.3} at most, {:.3} of {:.3} on average, {losses:.3?}",
        mean(&losses),
        mean(&quiet[1..])
    );
}

/// Guards against a flood of one account that makes the jobs of others late.
#[test]
fn flood_of_one_account_costs_others_little() {
    assert_protected(false);
}

/// Guards against a new owner that lets a flood go first, since it doesn't know what the accounts got before.
#[test]
fn flood_costs_others_little_when_the_owner_changes() {
    assert_protected(true);
}

/// Guards against weights that hold only among the tasks that run at the moment. Each account alone could fill the pool.
#[test]
fn weights_hold_over_seconds() {
    let mut pool = SharedPool::new(1, "", &[(3.0, 0), (1.0, 0)]);
    let rates = [capacity_per_s(); 2];
    pool.arrive(&rates, 5_000);
    pool.take_used();
    for _ in 0..4 {
        pool.arrive(&rates, 5_000);
        let used = pool.take_used();
        assert!((used[0] - 0.75).abs() < 0.1, "{used:?}");
    }
}

/// Guards against an account that waits for seconds because it had the pool to itself before another one came.
#[test]
fn account_that_was_alone_is_not_starved() {
    let mut pool = SharedPool::new(1, "", &[(1.0, 0), (1.0, 0)]);
    pool.arrive(&[capacity_per_s() * 1.2, 0.001], 10_000);
    pool.take_used();
    for _ in 0..4 {
        pool.arrive(&[capacity_per_s() * 1.2; 2], 2_000);
        let used = pool.take_used();
        assert!(used[0] > 0.2 && used[1] > 0.2, "{used:?}");
    }
}

/// Guards against an order that costs an account something while nobody else uses the pool.
#[test]
fn lone_account_loses_nothing() {
    let on_time = |without: &str| {
        let mut pool = SharedPool::new(3, without, &[(1.0, 0)]);
        pool.arrive(&[capacity_per_s() * 1.2], 10_000);
        pool.run_for(5_000);
        pool.results[0].on_time
    };
    assert_eq!(on_time(""), on_time("fair"));
}

/// Guards against a job that is made late for another account whose job has time enough.
#[test]
fn job_in_time_keeps_its_place_before_one_that_has_time() {
    let mut pool = SharedPool::new(1, "", &[(1.0, 0), (1.0, 0)]);
    pool.fill();
    // Takes the rest of the room, so that both jobs wait.
    pool.submit(0);
    pool.run_for(40);
    let (tight, patient) = (pool.submit_of(0, TASK_MS), pool.submit_of(1, 10.0 * TASK_MS));
    // Start commands take different times, so the order of the decisions counts.
    let lines = record_lines(|| pool.run_for(1_000));
    let first = |key| {
        let task = format!("task={}.", JobKey(key));
        lines.iter().position(|line| line.starts_with(&task) && line.contains("choice=start"))
    };
    assert!(first(tight).is_some() && first(patient).is_some(), "both start within 1 s");
    assert!(first(tight) < first(patient));
    pool.run_for(15_000);
    assert_eq!(pool.results[1].on_time, 1);
}

/// Guards against a job that waits for a flood of another account after some of its tasks have started.
#[test]
fn started_job_is_finished_before_a_flood_of_another_account() {
    // By its weight, the other account is entitled to nearly all.
    let mut pool = SharedPool::new(1, "", &[(1.0, 0), (100.0, 0)]);
    pool.fill();
    let started = pool.submit_of(0, TASK_MS);
    pool.run_for(40);
    assert!((1..TASKS as usize).contains(&pool.running(started)));
    for _ in 0..200 {
        pool.submit(1);
    }
    let before = pool.results[0].on_time;
    pool.open.retain(|key, (account, ..)| *key == started || *account == 1);
    pool.run_for(4_000);
    assert_eq!(pool.results[0].on_time, before + 1);
}

/// Guards against an order that starts tasks beyond the cap of the account that it favours. The simulation checks the cap at each
/// start.
#[test]
fn caps_hold_for_favoured_accounts() {
    let cap = u64::from(WORKERS * WORKER_CORES) / 4;
    let mut pool = SharedPool::new(2, "", &[(10.0, cap), (1.0, 0)]);
    pool.arrive(&[capacity_per_s(); 2], 5_000);
    pool.take_used();
    pool.arrive(&[capacity_per_s(); 2], 5_000);
    let used = pool.take_used();
    assert!((0.15..0.3).contains(&used[0]), "{used:?}");
}

/// Guards against lines without limit about accounts that are held back, and against deferrals that nothing shows.
#[test]
fn deferrals_are_counted_and_logged_once_a_second() {
    let mut deferrals = 0;
    let lines = record_lines(|| {
        let mut pool = SharedPool::new(1, "", &[(3.0, 0), (1.0, 0)]);
        pool.arrive(&[capacity_per_s(); 2], 5_000);
        deferrals = pool.world.owners[0].scheduler.account_deferrals();
    });
    let logged = lines.iter().filter(|line| line.contains("choice=defer reason=account_share"));
    let logged = logged.count();
    assert!((1..=6).contains(&logged) && deferrals > logged as u64, "{logged} of {deferrals}");
}
