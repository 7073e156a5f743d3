//! The load that an owner publishes for the admission of jobs: what each pool has, what is on its way, and what waits.
//!
//! It is a record of its own, because the bodies of [`OwnerHeartbeat`](crate::record::OwnerHeartbeat) and of
//! [`ServiceLoad`](crate::record::ServiceLoad) can't grow while different releases run side by side.

use std::time::Duration;

use cj_types::{AccountId, ServiceId, rendezvous};
use serde::{Deserialize, Serialize};

/// Most bands of waiting work of a pool.
pub const MAX_BANDS: usize = 8;

/// Most groups of arriving capacity of a pool.
pub const MAX_ARRIVALS: usize = 4;

/// Most accounts of a pool.
pub const MAX_POOL_ACCOUNTS: usize = 32;

/// Most accounts of a report, over all pools. It bounds the size of the report at 42 pools and 82 accounts.
pub const MAX_ACCOUNTS: usize = 128;

/// Latest start of the band of work that is late already.
pub const LATE: u32 = u32::MAX;

/// Load of the pools of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Fencing token of the ownership.
    pub epoch: u64,
    /// Time for which the ownership has lasted, in ms.
    pub owned_ms: u32,
    /// Time from when the load was taken until it was published, in ms.
    pub age_ms: u32,
    /// Pools by service. If there are many, those that have ample room are left out.
    pub pools: Vec<(ServiceId, PoolLoad)>,
}

/// Load of a pool. Work is in millicores times seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Processors that finite tasks use or can use, without those of overdue runs, in millicores.
    pub capacity: u32,
    /// The free part of `capacity`, as far as tasks like the smallest waiting one fit in, in millicores.
    pub free: u32,
    /// Processors for which ready tasks wait, in millicores.
    pub asked: u32,
    /// Capacity of the VMs that are moving to the pool, by arrival.
    pub arriving: Vec<ArrivingCapacity>,
    /// Capacity of parked spares and of idle VMs of other pools that the pool can have, in millicores.
    pub obtainable: u32,
    /// Work of the jobs that arrived of late, in millicores times seconds for each second.
    pub arrival_rate: u32,
    /// Learned run times.
    pub run_times: PoolRunTimes,
    /// Waiting work by latest start, the most urgent first.
    pub waiting: Vec<WaitingBand>,
    /// Work of the accounts that waits and can be in time, the account with the most first.
    pub accounts: Vec<AccountLoad>,
}

/// Capacity of VMs that arrive at about the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArrivingCapacity {
    /// Time from when the load was taken until the last of them arrives, in ms.
    pub after_ms: u32,
    /// Processors, in millicores.
    pub cores: u32,
}

/// Work that waits, from the latest start of the band before up to `latest_start_ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingBand {
    /// Priority of its queues; 0 is the highest.
    pub priority: u32,
    /// Latest start of the last of its jobs, in ms from when the load was taken; [`LATE`] for jobs that are late.
    pub latest_start_ms: u32,
    /// The work.
    pub work: u32,
}

/// Waiting work of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLoad {
    /// Digest of the name of the account; see [`account_digest`].
    pub account: u32,
    /// Weight of the account, in hundredths.
    pub weight: u32,
    /// The work.
    pub work: u32,
}

/// Learned run times of the steps of a pool's jobs, as geometric means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRunTimes {
    /// Mean estimate of the callers, in ms; 0 if no step is known.
    pub estimate_ms: u32,
    /// Mean expected run time of a task, in ms.
    pub task_ms: u32,
    /// Mean expected run time of the longest task of a step, in ms.
    pub step_ms: u32,
    /// Change of the expected run time with the estimate, on logarithmic scales, in percent.
    pub slope_percent: u32,
}

impl PoolRunTimes {
    /// Expected run times of a task of a step with this estimate, and of the longest task of the step. Without learned run
    /// times, the estimate.
    pub fn of_step(&self, estimate: Duration) -> (Duration, Duration) {
        if self.estimate_ms == 0 {
            return (estimate, estimate);
        }
        let slope = f64::from(self.slope_percent.min(100)) / 100.0;
        let ratio = (estimate.as_secs_f64() * 1e3).max(1.0) / f64::from(self.estimate_ms);
        let time = |ms: u32| {
            let ms = f64::from(ms) * ratio.powf(slope);
            Duration::from_secs_f64(ms.clamp(1.0, f64::from(u32::MAX)) / 1e3)
        };
        (time(self.task_ms), time(self.step_ms))
    }
}

/// Digest by which a report names an account: it takes less room than the name.
pub fn account_digest(account: &AccountId) -> u32 {
    rendezvous::weight(account.as_str().as_bytes(), b"load") as u32
}

/// An amount for a field of a report; one that doesn't fit counts as the largest.
pub(crate) fn saturated<T>(amount: T) -> u32
where
    T: TryInto<u32>,
{
    amount.try_into().unwrap_or(u32::MAX)
}
