//! Service that each account got of late in each pool.
//!
//! Service is the share of the pool's room for finite tasks that an account uses, summed up over time and decaying: it is
//! measured from the runs and not from estimates, so wrong estimates don't change it. Accounts that got nothing for a while
//! are dropped. The state isn't stored; the next owner starts without it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use cj_types::ServiceId;

use crate::sched::{ledger::AccountSlot, share::PoolShares};

/// Service counts with a weight that falls to 1/e in this time: it outlasts the gaps between the jobs of an account, and ends
/// within a surge of 8.5 s.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// What runs counts as service for this time ahead, about the run time of a task, so that accounts that start much at once
/// wait at once.
const COMMITTED_TIME: Duration = Duration::from_secs(1);

/// Less service than this isn't kept, in seconds of the whole pool.
const NEGLIGIBLE_SERVICE: f32 = 0.001;

/// Shortest time between two lines about a pool.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Recent service of all accounts, in seconds of the whole pool.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountService {
    pools: HashMap<ServiceId, HashMap<AccountSlot, f32>>,
    updated_at: Option<Instant>,
    /// When a deferral in each pool was last logged.
    logged: HashMap<ServiceId, Instant>,
    /// Number of jobs whose tasks were passed over in favour of another account.
    pub(super) deferrals: u64,
}

impl AccountService {
    /// Adds what the accounts used since the last update.
    pub(super) fn update(&mut self, now: Instant, pools: &HashMap<ServiceId, PoolShares>) {
        let before = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(before).as_secs_f32();
        let decay = (-elapsed / DECAY_TIME.as_secs_f32()).exp();
        let counted = DECAY_TIME.as_secs_f32() * (1.0 - decay);
        self.pools.values_mut().flat_map(HashMap::values_mut).for_each(|served| *served *= decay);
        for (pool, shares) in pools {
            let mut running = shares.running_shares().peekable();
            if running.peek().is_none() {
                continue;
            }
            let accounts = self.pools.entry(pool.clone()).or_default();
            for (account, share) in running {
                *accounts.entry(account).or_default() += share * counted;
            }
        }
        self.pools.retain(|_, accounts| {
            accounts.retain(|_, served| *served > NEGLIGIBLE_SERVICE);
            !accounts.is_empty()
        });
        self.logged.retain(|_, at| now.saturating_duration_since(*at) < LOG_INTERVAL);
    }

    /// Recent service of an account with what its runs are about to use, in seconds of the whole pool.
    pub(super) fn served(
        &self,
        pool: &ServiceId,
        shares: &PoolShares,
        account: AccountSlot,
    ) -> f32 {
        let served = self.pools.get(pool).and_then(|accounts| accounts.get(&account));
        let committed = shares.running_share(account) * COMMITTED_TIME.as_secs_f32();
        served.copied().unwrap_or_default() + committed
    }

    /// True if a deferral in the pool may be logged now; it counts as logged then.
    pub(super) fn begin_log(&mut self, pool: &ServiceId, now: Instant) -> bool {
        let is_due = !self.logged.contains_key(pool);
        if is_due {
            self.logged.insert(pool.clone(), now);
        }
        is_due
    }
}
