//! Reclaims VMs of busy pools for long-running tasks that find no worker.
//!
//! While a flood of finite tasks keeps all VMs of the fleet busy, no VM becomes idle, and long-running tasks of other pools
//! would wait for the end of the flood. So a VM is drained for each such task; its finite tasks run to their end.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::sched::{
    demand::{MIN_VMS, PoolDemand},
    event::{VmRow, VmState},
    scheduler::Scheduler,
    worker::WorkerKey,
};

/// A VM whose tasks don't end within this time gets new ones again.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Drain of a VM that moves to another pool.
#[derive(Clone, Debug)]
pub(super) struct PoolDrain {
    to: ServiceId,
    since: Instant,
}

impl Scheduler {
    /// Starts to drain a VM for the unplaced tasks of a pool, unless enough VMs drain for it already.
    pub(super) fn reclaim(&mut self, demands: &BTreeMap<ServiceId, PoolDemand>, to: &ServiceId) {
        if !self.policies.reclaim || demands[to].unplaced <= self.pool_drains_for(to) {
            return;
        }
        let Some((vm, key)) = self.choose_reclaim(demands, to) else { return };
        info!(
            target: "decision",
            "vm={vm} worker={} choice=reclaim to={to} runs={} epoch={}",
            self.workers[key].id, self.workers[key].runs.len(), self.epoch
        );
        self.begin_pool_drain(vm, key, to);
    }

    /// Number of VMs that drain for a pool.
    pub(super) fn pool_drains_for(&self, to: &ServiceId) -> usize {
        self.pools.drains.values().filter(|drain| drain.to == *to).count()
    }

    /// Starts no new tasks on a VM, which moves to `to` once it is empty.
    pub(super) fn begin_pool_drain(&mut self, vm: VmId, key: WorkerKey, to: &ServiceId) {
        self.workers[key].vm_draining = true;
        self.pools.drains.insert(vm, PoolDrain { to: to.clone(), since: self.now.mono });
    }

    /// The VM with the fewest tasks, all of them finite, in the pool with the highest coverage.
    fn choose_reclaim(
        &self,
        demands: &BTreeMap<ServiceId, PoolDemand>,
        to: &ServiceId,
    ) -> Option<(VmId, WorkerKey)> {
        let candidate = |row: &VmRow| {
            let demand = demands.get(&row.pool).filter(|demand| demand.pool_size > MIN_VMS)?;
            let key = self.drainable_worker(row)?;
            let rank = (std::cmp::Reverse(demand.coverage()), self.workers[key].runs.len());
            Some((rank, row.vm.clone(), key))
        };
        let others = self.vms.values().filter(|row| row.pool != *to);
        let best = others.filter_map(candidate).min_by_key(|(rank, ..)| *rank);
        best.map(|(_, vm, key)| (vm, key))
    }

    /// The worker on a VM that may be drained for another pool: it takes tasks, and runs only finite ones.
    pub(super) fn drainable_worker(&self, row: &VmRow) -> Option<WorkerKey> {
        let stays =
            row.state == VmState::Up && !self.is_moving(&row.vm) && !self.is_in_wave(&row.vm);
        let id = row.worker.as_ref().filter(|_| stays)?;
        let key = *self.worker_keys.get(id)?;
        let worker = &self.workers[key];
        let usable = worker.accepts_tasks(self.now.mono) && !self.hosts_long_running(worker);
        usable.then_some(key)
    }

    /// Moves the VMs that are empty, and ends drains that take too long or whose VM is taken by a wave or another move.
    pub(super) fn update_pool_drains(&mut self) {
        let now = self.now.mono;
        for (vm, drain) in self.pools.drains.clone() {
            let row = self.vms.get(&vm);
            let key = row.and_then(|row| self.worker_keys.get(row.worker.as_ref()?)).copied();
            let Some(key) = key.filter(|_| !self.is_in_wave(&vm) && !self.is_moving(&vm)) else {
                self.pools.drains.remove(&vm);
                continue;
            };
            let worker = &mut self.workers[key];
            if worker.runs_known() && worker.runs.is_empty() && worker.has_durable_ends() {
                self.pools.drains.remove(&vm);
                self.move_vm(vm, &drain.to);
            } else if now > drain.since + DRAIN_TIMEOUT {
                worker.vm_draining = false;
                self.pools.drains.remove(&vm);
            }
        }
    }
}
