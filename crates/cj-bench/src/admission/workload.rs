//! Jobs, configuration and results of the simulated surges.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use cj_sched::{
    Account, AccountCap, Accounts, FleetConfig, JobSpec, Pool, Queue, StepSpec, Submission, Weight,
};
use cj_types::{
    Accelerators, AccountId, Mebibytes, Millicores, Resources, ServiceId, UnixMillis, Version,
};
use serde_json::{Value, json};

/// VMs at first in the pool, and powered-off spares.
pub(super) const VMS: (usize, usize) = (4, 40);

/// Processors of a VM, in millicores.
pub(super) const VM_CORES: u32 = 8_000;

/// Run time of a task on average, in ms.
pub(super) const TASK_MS: f64 = 700.0;

/// Share of tasks that run seven times as long.
pub(super) const STRAGGLERS: f64 = 0.03;

/// Duration of a surge, which rises and falls linearly, and of the simulation, in ms.
pub(super) const SURGE_MS: u64 = 8_500;
pub(super) const TOTAL_MS: u64 = 26_000;

/// When the first surge begins. Another one follows after [`SURGE_GAP_MS`].
pub(super) const FIRST_SURGE_MS: u64 = 3_000;
pub(super) const SURGE_GAP_MS: u64 = 11_000;

/// Tasks of a step, each of one core.
pub(super) const TASKS: u32 = 8;

/// Accounts of the callers; the first one sends ten times as much in a flood.
pub(super) const ACCOUNTS: u32 = 20;

/// Demand of a simulated surge.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// Mean demand during the surge, in multiples of the capacity of the fleet.
    pub(super) demand: f64,
    /// One account sends ten times as much as planned, on top.
    pub(super) flood: bool,
}

impl Load {
    /// Mean number of new jobs in a second.
    pub(super) fn arrivals_per_s(self, now: u64) -> f64 {
        let since = |from: u64| now.checked_sub(from).filter(|passed| *passed < SURGE_MS);
        let surge = since(FIRST_SURGE_MS).or_else(|| since(FIRST_SURGE_MS + SURGE_GAP_MS));
        let height = surge.map_or(0.05, |passed| {
            let half = SURGE_MS as f64 / 2.0;
            2.0 * (1.0 - (passed as f64 - half).abs() / half)
        });
        let capacity = (VMS.0 + VMS.1) as f64 * f64::from(VM_CORES) / 1e3;
        let work = f64::from(TASKS) * TASK_MS / 1e3 * 1.6 * (1.0 + STRAGGLERS * 6.0);
        let flood = if self.flood { 1.0 + 9.0 / f64::from(ACCOUNTS) } else { 1.0 };
        self.demand * height * flood * capacity / work
    }
}

/// Numbers of jobs by result, of all accounts and of all but the flooding one.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) counts: BTreeMap<&'static str, [u32; 2]>,
}

impl Outcome {
    pub(super) fn count(&mut self, result: &'static str, account: u32) {
        let counts = self.counts.entry(result).or_default();
        counts[0] += 1;
        counts[1] += u32::from(account != 0);
    }

    pub(super) fn add(&mut self, other: &Outcome) {
        for (result, counts) in &other.counts {
            let sums = self.counts.entry(result).or_default();
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
    }

    pub(super) fn report(&self) -> Value {
        let of = |n: usize| self.counts.iter().map(move |(result, counts)| (*result, counts[n]));
        json!({ "all": of(0).collect::<BTreeMap<_, _>>(), "others": of(1).collect::<BTreeMap<_, _>>() })
    }
}

/// A call, and its attempts so far.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) key: u64,
    pub(super) account: u32,
    pub(super) first_at: u64,
    pub(super) attempts: u32,
    pub(super) submission: Rc<Submission>,
}

/// An accepted job that hasn't ended.
#[derive(Clone, Debug)]
pub(super) struct OpenJob {
    pub(super) account: u32,
    pub(super) accepted_at: u64,
    pub(super) objective_ms: u64,
    pub(super) open_tasks: u32,
}

pub(super) fn resources(cores: u32) -> Resources {
    Resources { cores: Millicores(cores), memory: Mebibytes(cores), accelerators: Accelerators(0) }
}

pub(super) fn service(pool: u32) -> ServiceId {
    ServiceId::try_from(format!("pool-{pool:02}").as_str()).expect("valid name")
}

pub(super) fn spare_pool() -> ServiceId {
    ServiceId::try_from("spare").expect("valid name")
}

pub(super) fn account_id(account: u32) -> AccountId {
    AccountId::try_from(format!("account-{account:02}").as_str()).expect("valid name")
}

/// A job of this many steps, one after the other, with this estimate.
pub(super) fn job_spec(estimate_ms: u64, steps: u32) -> JobSpec {
    let step = |number: u32| StepSpec {
        count: TASKS,
        demand: resources(1_000),
        estimate: Duration::from_millis(estimate_ms),
        after: (0..number).rev().take(1).collect(),
        ..StepSpec::default()
    };
    JobSpec { text: String::new(), steps: (0..steps).map(step).collect(), schedule: None }
}

/// The submission of a job that arrives at the start.
pub(super) fn submission(pool: u32, account: Option<u32>, spec: JobSpec) -> Rc<Submission> {
    Rc::new(Submission {
        queue: service(pool).as_str().into(),
        service: service(pool),
        priority: 0,
        max_attempts: 3,
        objective: spec.critical_path().mul_f32(1.6) + Duration::from_millis(600),
        received_at: UnixMillis(0),
        spec,
        account: account.map(account_id),
    })
}

pub(super) fn config(pools: u32) -> FleetConfig {
    let queue = |pool: u32| Queue {
        name: service(pool).as_str().into(),
        host: "host".into(),
        prefix: "/".into(),
        service: service(pool),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target: Duration::from_millis(600),
        advice: None,
        public: false,
    };
    let mut accounts = Accounts::default();
    for account in 0..ACCOUNTS {
        let (id, weight, cap) = (account_id(account), Weight::DEFAULT, AccountCap::UNLIMITED);
        accounts.add(Account { id, weight, cap }, []).expect("distinct names");
    }
    let pool = |spare| Pool { rejects_overload: true, spare };
    let spare = (spare_pool(), pool(true));
    FleetConfig {
        version: Version(1),
        queues: (0..pools).map(queue).collect(),
        pools: (0..pools).map(|n| (service(n), pool(false))).chain([spare]).collect(),
        accounts: Some(accounts),
    }
}
