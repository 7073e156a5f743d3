//! Balances pools that together require more than the fleet has.
//!
//! While tasks of a pool wait, its VMs don't become idle, so a pool at its peak would keep all it has until its last task has
//! started, and the pool whose peak begins would wait. So VMs of the pool that has most of what it requires are drained for
//! the one that has least. Their tasks run to their end, and the VM whose tasks end first goes first.
//! Waiting tasks of jobs that will be late anyway don't count: a pool gets VMs for what its callers can still gain.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::sched::{
    demand::{MIN_VMS, PoolDemand},
    scheduler::Scheduler,
    worker::WorkerKey,
};

/// A VM is drained while the share of its requirement that its pool has exceeds that of the other pool by this factor.
/// Draining costs about two seconds of a VM, so small differences aren't worth it.
const MIN_RATIO: f32 = 2.5;

/// A pool drains at most one VM in this many at once.
const VMS_PER_DRAIN: usize = 5;

/// VMs that are drained for one pool in one plan.
const MAX_DRAINS_PER_PLAN: usize = 4;

/// A VM whose tasks are expected to hold it for longer isn't drained.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// What a pool requires and has, as input to [`choose_donor`].
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolState {
    /// VMs for the running tasks, and the waiting ones of jobs that can still be in time.
    pub(super) required: usize,
    /// VMs in the pool, or moving or draining to it, without those that drain for other pools.
    pub(super) size: usize,
    /// VMs that the pool keeps in any case.
    pub(super) min_size: usize,
    /// VMs that drain for other pools.
    pub(super) draining: usize,
}

impl PoolState {
    /// Share of the required VMs that the pool has.
    fn coverage(&self) -> f32 {
        self.size as f32 / self.required.max(1) as f32
    }

    fn can_give(&self) -> bool {
        self.size > self.min_size && self.draining < 1 + (self.size + self.draining) / VMS_PER_DRAIN
    }
}

/// The pool that gives a VM to one in the state `to`: the one with the highest coverage, if that is high enough.
pub(super) fn choose_donor<'a, I>(to: PoolState, others: I) -> Option<&'a ServiceId>
where
    I: Iterator<Item = (&'a ServiceId, PoolState)>,
{
    if to.size >= to.required {
        return None;
    }
    let giving = others.filter(|(_, state)| state.can_give());
    let best = giving.max_by(|(_, a), (_, b)| a.coverage().total_cmp(&b.coverage()));
    best.filter(|(_, state)| state.coverage() > to.coverage() * MIN_RATIO).map(|(id, _)| id)
}

impl Scheduler {
    /// Starts to drain VMs of other pools for a pool with waiting tasks that no idle VM is left for.
    pub(super) fn balance(&mut self, demands: &BTreeMap<ServiceId, PoolDemand>, to: &ServiceId) {
        if !self.policies.balance {
            return;
        }
        for _ in 0..MAX_DRAINS_PER_PLAN {
            let others = demands.iter().filter(|(service, _)| *service != to);
            let states =
                others.map(|(service, demand)| (service, self.pool_state(service, demand)));
            let Some(from) = choose_donor(self.pool_state(to, &demands[to]), states) else {
                return;
            };
            let Some((vm, key)) = self.soonest_empty(from) else { return };
            info!(
                target: "decision",
                "vm={vm} worker={} choice=balance from={from} to={to} runs={} epoch={}",
                self.workers[key].id, self.workers[key].runs.len(), self.epoch
            );
            self.begin_pool_drain(vm, key, to);
        }
    }

    fn pool_state(&self, service: &ServiceId, demand: &PoolDemand) -> PoolState {
        let draining = self.pool_drains_from(service);
        PoolState {
            required: demand.required_in_time(),
            size: (demand.pool_size + self.pool_drains_for(service)).saturating_sub(draining),
            min_size: demand.spread_vms.max(MIN_VMS),
            draining,
        }
    }

    /// The VM of a pool whose tasks are expected to end first.
    fn soonest_empty(&self, from: &ServiceId) -> Option<(VmId, WorkerKey)> {
        let rows = self.vms.values().filter(|row| row.pool == *from);
        let candidates = rows.filter_map(|row| {
            let key = self.drainable_worker(row)?;
            let runs = self.workers[key].runs.iter();
            let remaining = runs.filter_map(|&at| {
                let placed = self.task(at).placement()?;
                Some(self.remaining_run_time(at, placed))
            });
            let drain_time = remaining.max().unwrap_or_default();
            (drain_time <= MAX_DRAIN_TIME).then_some((drain_time, &row.vm, key))
        });
        let (_, vm, key) = candidates.min_by_key(|(drain_time, ..)| *drain_time)?;
        Some((vm.clone(), key))
    }
}
