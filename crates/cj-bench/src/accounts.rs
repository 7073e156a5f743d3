//! Time of the scheduler's placement passes while jobs of many accounts wait for a full pool, with the order by accounts and
//! without it.

use std::time::Duration;

use cj_sched::StepSpec;
use cj_types::{AccountId, Result};
use compact_str::format_compact;
use serde_json::{Value, json};

use crate::{
    Options,
    waiting::{Fleet, resources},
};

/// Numbers of accounts: a deployment of 20, the largest one, and far more.
const ACCOUNTS: [u64; 3] = [20, 82, 1_000];

/// Default number of workers, each with 64 cores.
const WORKERS: u32 = 90;

/// Jobs that are submitted at once, eight times what the pool holds.
const JOBS: u64 = 3_000;

/// Polls with a full pool. They take 1 s of virtual time, less than any run.
const POLLS: u32 = 40;

fn step() -> StepSpec {
    StepSpec {
        count: 8,
        demand: resources(2_000, 1_024),
        estimate: Duration::from_secs(2),
        ..StepSpec::default()
    }
}

fn measure(workers: u32, accounts: u64, without: &str) -> Result<Value> {
    let mut fleet = Fleet::new(workers);
    fleet.scheduler.set_policies(without.parse()?);
    for key in 0..JOBS {
        // Every other job belongs to the same account, so that the order by accounts differs from that by rank.
        let number = if key % 2 == 0 { 0 } else { key / 2 % accounts };
        let name = format_compact!("account-{number}");
        fleet.submit(key, Some(AccountId::try_from(name.as_str())?), vec![step()]);
    }
    let (first, started) = fleet.poll();
    let mut times: Vec<Duration> = (0..POLLS).map(|_| fleet.poll().0).collect();
    times.sort();
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    let mean = times.iter().sum::<Duration>() / POLLS;
    Ok(json!({
        "started": started, "first_pass_ms": ms(first), "mean_ms": ms(mean),
        "max_ms": ms(times.last().copied().unwrap_or_default()),
        "deferrals": fleet.scheduler.account_deferrals(),
    }))
}

/// Measures polls with 20, 82 and 1,000 accounts.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let workers = options.workers.unwrap_or(WORKERS);
    let mut report = json!({ "workers": workers, "jobs": JOBS, "polls": POLLS });
    for accounts in ACCOUNTS {
        for (name, without) in [("fair", ""), ("without_fair", "fair")] {
            report[name][accounts.to_string()] = measure(workers, accounts, without)?;
        }
    }
    Ok(report)
}
