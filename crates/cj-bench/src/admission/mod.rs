//! Admission by expected end: time of a decision, size of what the owner publishes, and what callers get in a surge.

mod surge;
mod workload;

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use cj_entry::{
    admission::admit_by_end,
    expected_end::{JobAccount, JobRequest, PoolView},
    load_view::{AcceptedJob, AcceptedWork},
};
use cj_sched::{JobKey, Record, codec};
use cj_types::Result;
use serde_json::{Value, json};

use crate::Options;
use surge::Site;
use workload::{Load, Outcome, job_spec, submission};

/// Numbers of waiting jobs of a load.
const JOBS: [u32; 3] = [10, 100, 1_000];

/// Numbers of accounts with waiting jobs.
const ACCOUNTS: [u32; 3] = [0, 20, 82];

/// Numbers of pools.
const POOLS: [u32; 2] = [4, 42];

/// Decisions that are timed together.
const DECISIONS: u32 = 20_000;

/// Jobs that the node has accepted since the load was taken.
const ACCEPTED: u32 = 30;

/// Surges by their mean demand in multiples of the capacity of the fleet.
const SURGES: [f64; 4] = [0.6, 1.0, 1.6, 2.4];

/// Seeds of the simulated surges.
const SEEDS: u64 = 3;

/// Times the owner's load and a node's decision.
fn measure(jobs: u32, accounts: u32, pools: u32) -> Value {
    let mut site = Site::new(1, pools, true, 0);
    for number in 0..jobs * pools {
        let account = (accounts > 0).then(|| number / pools % accounts);
        let pool = number % pools;
        site.submit(JobKey(u64::from(number) + 1), submission(pool, account, job_spec(700, 1)));
    }
    let began = Instant::now();
    let report = site.scheduler.load_report();
    let load_us = began.elapsed().as_secs_f64() * 1e6;
    let bytes = codec::encode(&Record::Load(Box::new(report.clone()))).len();
    let Some((_, load)) = report.pools.first() else { return Value::Null };
    let mut accepted = AcceptedWork::default();
    for number in 0..ACCEPTED {
        let account = Some(JobAccount { digest: number, weight: 1.0 });
        accepted.add(&AcceptedJob { account, work: 5_600.0, cores: 8_000.0 });
    }
    let age = Duration::from_millis(200);
    let view = PoolView { load, age, accepted, move_time: Duration::from_millis(1_500) };
    let spec = job_spec(700, 1);
    let account = Some(JobAccount { digest: 3, weight: 1.0 });
    let target = Duration::from_millis(600);
    let request = JobRequest { spec: &spec, priority: 0, stretch: 1.6, target, account };
    let began = Instant::now();
    for number in 0..DECISIONS {
        black_box(admit_by_end(black_box(&view), JobKey(u64::from(number)), &request));
    }
    let decision_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS);
    json!({
        "jobs_per_pool": jobs, "accounts": accounts, "pools": pools, "decision_us": decision_us,
        "load_us": load_us, "bytes": bytes,
    })
}

/// Measures decisions and loads, and simulates surges with and without admission by expected end.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let mut rows = Vec::new();
    for pools in POOLS {
        for jobs in JOBS {
            rows.extend(ACCOUNTS.iter().map(|accounts| measure(jobs, *accounts, pools)));
        }
    }
    let mut surges = Vec::new();
    for flood in [false, true] {
        for demand in SURGES {
            for admit in [false, true] {
                let mut sum = Outcome::default();
                for seed in options.seed..options.seed + SEEDS {
                    sum.add(&Site::new(seed, 1, admit, seed).run(Load { demand, flood }));
                }
                let outcome = sum.report();
                surges.push(json!({
                    "demand": demand, "flood": flood, "admit": admit, "outcome": outcome,
                }));
            }
        }
    }
    Ok(json!({ "decisions": rows, "surges": surges }))
}
