//! Takes a VM from a busy pool for a lasting task that finds no worker.
//!
//! Answers floods of finite tasks that keep all VMs of the fleet busy: no VM gets idle then, and lasting tasks of another pool
//! would wait for the end of the flood. A VM is emptied for each such task; its
//! finite tasks run to their end.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::sched::{
    event::{VmRow, VmState},
    need::{LEAST_VMS, Need},
    scheduler::Scheduler,
    worker::WorkerKey,
};

/// A VM whose tasks don't end within this time takes new ones again.
const RECLAIM_LIMIT: Duration = Duration::from_secs(4);

/// A VM that is emptied for another pool.
#[derive(Clone, Debug)]
pub(super) struct Reclaim {
    to: ServiceId,
    since: Instant,
}

impl Scheduler {
    /// Begins to empty a VM for the stuck tasks of a pool, unless enough are being emptied for it.
    pub(super) fn reclaim(&mut self, needs: &BTreeMap<ServiceId, Need>, to: &ServiceId) {
        if !self.policies.reclaim || needs[to].stuck <= self.emptied_for(to) {
            return;
        }
        let Some((vm, key)) = self.reclaimable(needs, to) else { return };
        info!(
            target: "decision",
            "vm={vm} worker={} choice=reclaim to={to} runs={} epoch={}",
            self.workers[key].id, self.workers[key].runs.len(), self.epoch
        );
        self.begin_emptying(vm, key, to);
    }

    /// VMs that are being emptied for a pool.
    pub(super) fn emptied_for(&self, to: &ServiceId) -> usize {
        self.pools.reclaims.values().filter(|reclaim| reclaim.to == *to).count()
    }

    /// Lets no new task start on a VM, which moves to `to` once it is empty.
    pub(super) fn begin_emptying(&mut self, vm: VmId, key: WorkerKey, to: &ServiceId) {
        self.workers[key].vm_draining = true;
        self.pools.reclaims.insert(vm, Reclaim { to: to.clone(), since: self.now.mono });
    }

    /// The VM with the fewest tasks, all of them finite, of the pool that has the largest share of what it needs.
    fn reclaimable(
        &self,
        needs: &BTreeMap<ServiceId, Need>,
        to: &ServiceId,
    ) -> Option<(VmId, WorkerKey)> {
        let free = |row: &&VmRow| {
            row.state == VmState::Up && !self.is_moving(&row.vm) && !self.is_in_wave(&row.vm)
        };
        let candidate = |row: &VmRow| {
            let need = needs.get(&row.pool).filter(|need| need.size > LEAST_VMS)?;
            let key = *self.worker_keys.get(row.worker.as_ref()?)?;
            let worker = &self.workers[key];
            let usable = worker.accepts_tasks(self.now.mono) && !self.hosts_lasting(worker);
            let rank = (std::cmp::Reverse(need.share()), worker.runs.len());
            usable.then(|| (rank, row.vm.clone(), key))
        };
        let others = self.vms.values().filter(free).filter(|row| row.pool != *to);
        let best = others.filter_map(candidate).min_by_key(|(rank, ..)| *rank);
        best.map(|(_, vm, key)| (vm, key))
    }

    /// Moves the VMs that are empty, and gives up those that don't get empty.
    pub(super) fn settle_reclaims(&mut self) {
        let now = self.now.mono;
        for (vm, reclaim) in self.pools.reclaims.clone() {
            let row = self.vms.get(&vm);
            let key = row.and_then(|row| self.worker_keys.get(row.worker.as_ref()?)).copied();
            let Some(key) = key.filter(|_| !self.is_in_wave(&vm) && !self.is_moving(&vm)) else {
                self.pools.reclaims.remove(&vm);
                continue;
            };
            let worker = &mut self.workers[key];
            if worker.runs_known() && worker.runs.is_empty() && worker.has_durable_ends() {
                self.pools.reclaims.remove(&vm);
                self.move_vm(vm, &reclaim.to);
            } else if now > reclaim.since + RECLAIM_LIMIT {
                worker.vm_draining = false;
                self.pools.reclaims.remove(&vm);
            }
        }
    }
}
