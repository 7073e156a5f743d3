//! Client accounts in the simulation: caps that change, and the check that no start exceeds them.

use std::{collections::HashMap, rc::Rc};

use cj_sched::{Account, AccountCap, Accounts, Event, FleetConfig, Submission, TaskId, Weight};
use cj_types::{AccountId, Resources, Version};

use crate::world::World;

/// Usage above the cap that the platform tolerates, in percent of the cap.
const OVERAGE_PERCENT: u64 = 10;

/// Time after a change of the configuration in which either version may be in force, in ms.
const CHANGE_MS: u64 = 1_000;

/// Caps of the accounts in millicores; 0 means no limit. The largest random task needs 5,000.
const CAPS: [(&str, u64); 3] = [("small", 6_000), ("large", 30_000), ("free", 0)];

/// The caps in force, and those before the last change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caps {
    previous: Option<Accounts>,
    changed_at: u64,
    /// Accounts of the jobs that have one of their own choice, by key.
    pub(crate) assigned: HashMap<u64, AccountId>,
}

/// The account of a job, by its key; every fourth job belongs to none.
fn account_of(key: u64) -> Option<AccountId> {
    let (name, _) = CAPS.get(key as usize % 4)?;
    Some(AccountId::try_from(*name).unwrap())
}

fn accounts(percent: u64) -> Accounts {
    let mut accounts = Accounts::default();
    for (name, cores) in CAPS {
        let cap = AccountCap::from_limits(cores * percent / 100, 0, 0);
        let id = AccountId::try_from(name).unwrap();
        accounts.add(Account { id, weight: Weight::DEFAULT, cap }, []).unwrap();
    }
    accounts
}

impl World {
    /// Puts accounts into force whose caps are this percentage of the usual ones. Jobs that are submitted from now on belong
    /// to accounts.
    pub(crate) fn set_accounts(&mut self, percent: u64) {
        self.put_accounts(accounts(percent));
    }

    /// Account that a job with this key belongs to once accounts are in force.
    pub(crate) fn account_of_job(&self, key: u64) -> Option<AccountId> {
        self.caps.assigned.get(&key).cloned().or_else(|| account_of(key))
    }

    /// Puts accounts into force.
    pub(crate) fn put_accounts(&mut self, accounts: Accounts) {
        let version = Version(self.config.version.0 + 1);
        self.caps.previous = self.config.accounts.clone();
        self.caps.changed_at = self.now;
        let accounts = Some(accounts);
        self.config = Rc::new(FleetConfig { version, accounts, ..(*self.config).clone() });
        self.notify_owners(&Event::Config(self.config.clone()));
    }

    /// Checks that a run that was just started doesn't exceed the cap of its account by more than the tolerated share and
    /// one task.
    pub(crate) fn check_cap(&self, task: TaskId, submission: &Submission) {
        let Some(id) = &submission.account else { return };
        let running = self.workers.iter().filter(|worker| worker.alive).flat_map(|w| w.runs.keys());
        let own = running.filter_map(|run| {
            let entry = self.job_index.job(run.job)?;
            let other = entry.submission()?;
            (other.account.as_ref() == Some(id)).then(|| other.spec.steps[run.step as usize].demand)
        });
        let used = own.fold(Resources::default(), Resources::plus).cores.0;
        let demand = submission.spec.steps[task.step as usize].demand.cores.0;
        let changing = self.now < self.caps.changed_at + CHANGE_MS;
        let previous = self.caps.previous.as_ref().filter(|_| changing);
        let caps = [self.config.accounts.as_ref(), previous].into_iter().flatten();
        let cap =
            caps.filter_map(|accounts| accounts.get(id)).map(|a| a.cap.limits().cores.0).max();
        let cap = u64::from(cap.expect("the account is configured"));
        let most = cap + cap * OVERAGE_PERCENT / 100 + u64::from(demand);
        assert!(u64::from(used) <= most, "{task} at {}: {id} uses {used} of {cap}", self.now);
    }
}
