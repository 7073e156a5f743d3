//! Shares of the accounts in a full pool: weighted dominant-resource fairness.
//!
//! While more tasks are ready than a pool has room for, each account with tasks there is entitled to a share of the pool in
//! proportion to its weight. The share that it has is that of the resource of which it uses most. Steps of accounts above
//! their share wait until those of the others are placed; what these leave is theirs again. So an account that floods a
//! pool with jobs holds back its own jobs and not those of others.

use std::collections::{HashMap, hash_map::Entry};

use cj_types::{Resources, ServiceId};

use crate::sched::{
    ledger::{AccountSlot, Charge, Ledger},
    scheduler::Scheduler,
};

/// An account counts as above its share from this multiple of it on, or from halfway between its share and the whole pool if
/// that is less. Small excesses come and go with single jobs, and to reorder jobs for them makes some miss their objectives.
const EXCESS_FACTOR: f32 = 1.8;

/// Use of one pool by account.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolShares {
    capacity: Resources,
    /// Sum of the weights of the accounts in `used`.
    weights: f32,
    /// Resources in use by the accounts that have tasks in the pool, running or ready to start.
    used: HashMap<AccountSlot, Resources>,
    /// The part of `used` for finite tasks.
    finite: HashMap<AccountSlot, Resources>,
    /// Resources in use by the long-running tasks of all jobs.
    long_running: Resources,
}

impl PoolShares {
    /// Adds a worker of the pool.
    pub(super) fn add_capacity(&mut self, capacity: Resources) {
        self.capacity = self.capacity.plus(capacity);
    }

    /// Counts an account as one that has tasks in the pool.
    pub(super) fn add_account(&mut self, ledger: &Ledger, account: AccountSlot) {
        if let Entry::Vacant(entry) = self.used.entry(account) {
            entry.insert(Resources::default());
            self.weights += ledger.usage(account).weight.value();
        }
    }

    /// Counts what a long-running task uses, whether its job belongs to an account or not.
    pub(super) fn add_long_running(&mut self, used: Resources) {
        self.long_running = self.long_running.plus(used);
    }

    /// Counts a run.
    pub(super) fn add_run(&mut self, ledger: &Ledger, run: Charge, is_finite: bool) {
        self.add_account(ledger, run.account);
        if is_finite {
            let finite = self.finite.entry(run.account).or_default();
            *finite = finite.plus(run.demand);
        }
        let used = self.used.entry(run.account).or_default();
        *used = used.plus(run.demand);
    }

    /// True if an account uses much more than its share.
    pub(super) fn is_over(&self, ledger: &Ledger, account: AccountSlot) -> bool {
        let entitled = self.entitled_share(ledger.usage(account).weight.value());
        let limit = (entitled * EXCESS_FACTOR).min((1.0 + entitled) / 2.0);
        self.used.get(&account).is_some_and(|used| dominant_share(*used, self.capacity) > limit)
    }

    /// Share of the pool's room for finite tasks that a demand takes.
    pub(super) fn share_of(&self, demand: Resources) -> f32 {
        dominant_share(demand, self.capacity.minus(self.long_running))
    }

    /// Share of the pool's room for finite tasks that those of an account use.
    pub(super) fn running_share(&self, account: AccountSlot) -> f32 {
        self.finite.get(&account).map_or(0.0, |used| self.share_of(*used))
    }

    /// Shares of all accounts with finite tasks that run.
    pub(super) fn running_shares(&self) -> impl Iterator<Item = (AccountSlot, f32)> {
        self.finite.iter().map(|(account, used)| (*account, self.share_of(*used)))
    }

    /// Share of the pool that the weight of an account entitles it to.
    pub(super) fn entitled_share(&self, weight: f32) -> f32 {
        weight / self.weights.max(f32::MIN_POSITIVE)
    }
}

/// Largest share of a resource that `used` is of `capacity`.
fn dominant_share(used: Resources, capacity: Resources) -> f32 {
    let share = |used: u32, capacity: u32| used as f32 / capacity.max(1) as f32;
    let cores = share(used.cores.0, capacity.cores.0);
    let memory = share(used.memory.0, capacity.memory.0);
    cores.max(memory).max(share(used.accelerators.0, capacity.accelerators.0))
}

impl Scheduler {
    /// Use of each pool by the accounts that have runs there.
    pub(super) fn pool_shares(&self) -> HashMap<ServiceId, PoolShares> {
        let mut pools: HashMap<ServiceId, PoolShares> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.registered) {
            if !pools.contains_key(&worker.service) {
                pools.insert(worker.service.clone(), PoolShares::default());
            }
            let Some(shares) = pools.get_mut(&worker.service) else { continue };
            shares.add_capacity(worker.capacity);
            for &at in &worker.runs {
                let spec = self.jobs[at.job].step_spec(at.step);
                if spec.long_running {
                    shares.add_long_running(spec.demand);
                }
                if let Some(run) = self.charge_of(at) {
                    shares.add_run(&self.ledger, run, !spec.long_running);
                }
            }
        }
        pools
    }
}
