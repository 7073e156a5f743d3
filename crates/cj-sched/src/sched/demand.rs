//! What each pool needs and has, and which one gets the next VM.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{Resources, ServiceId, VmId};

use crate::sched::worker::WorkerKey;

/// Least VMs of a pool: one may be lost or in maintenance while the other takes work.
pub(super) const MIN_VMS: usize = 2;

/// Share of a VM's processors that tasks fill in practice.
const USABLE_SHARE: f32 = 0.8;

/// Steps in which the shares of pools are compared.
const COVERAGE_SCALE: usize = 1_000;

/// Stuck lasting tasks that one more VM is expected to take.
const UNPLACED_PER_VM: usize = 2;

/// What a pool needs and has.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolDemand {
    /// Processors for running and waiting tasks, in thousandths of a core.
    pub(super) cores: f32,
    /// Memory for the same tasks, in MiB.
    pub(super) memory: f32,
    /// Capacity of one VM.
    pub(super) vm_capacity: Resources,
    /// Processors for finite tasks that are foreseen, in thousandths of a core.
    pub(super) forecast: f32,
    /// Processors for lasting tasks.
    pub(super) long_running: f32,
    /// Lasting tasks that have found no worker for a while, less the VMs on their way to the pool.
    pub(super) unplaced: usize,
    /// VMs that the lasting tasks need because of their spread.
    pub(super) spread_vms: usize,
    /// VMs in the pool or on their way to it.
    pub(super) pool_size: usize,
    /// Most VMs that its tasks needed lately.
    pub(super) recent_vms: usize,
    /// Idle VMs that may leave.
    pub(super) idle: Vec<(VmId, WorkerKey, Duration)>,
}

impl PoolDemand {
    /// VMs for the tasks that run and wait.
    pub(super) fn required_now(&self) -> usize {
        self.vms_for(self.cores)
    }

    /// VMs for these tasks and the ones that are foreseen.
    pub(super) fn target(&self) -> usize {
        self.vms_for(self.cores.max(self.long_running + self.forecast))
    }

    fn vms_for(&self, cores: f32) -> usize {
        let share = |amount: f32, vm_capacity: u32| {
            (amount / (vm_capacity as f32 * USABLE_SHARE).max(1.0)).ceil() as usize
        };
        let cores = share(cores, self.vm_capacity.cores.0);
        let memory = share(self.memory, self.vm_capacity.memory.0);
        let grown = if self.unplaced > 0 {
            self.pool_size + self.unplaced.div_ceil(UNPLACED_PER_VM)
        } else {
            0
        };
        cores.max(memory).max(self.spread_vms).max(MIN_VMS).max(grown)
    }

    /// How much it has of what it needs, in thousandths.
    pub(super) fn coverage(&self) -> usize {
        self.pool_size * COVERAGE_SCALE / self.target()
    }

    /// VMs beyond those that its tasks needed lately.
    pub(super) fn recent_surplus(&self) -> usize {
        self.pool_size.saturating_sub(self.recent_vms.max(self.required_now()))
    }

    pub(super) fn surplus(&self) -> usize {
        self.pool_size.saturating_sub(self.target())
    }
}

/// The pool that gets the next VM: one with a lasting task that finds no worker, else the one that has the least share of what
/// it needs. So pools that want more than the fleet has share it, and none waits until another has all.
pub(super) fn least_covered(
    demands: &BTreeMap<ServiceId, PoolDemand>,
    targets: &BTreeMap<ServiceId, usize>,
) -> Option<ServiceId> {
    let lacking = targets.iter().filter(|(service, target)| demands[*service].pool_size < **target);
    let rank = |(service, target): &(&ServiceId, &usize)| {
        let demand = &demands[*service];
        (demand.unplaced == 0, demand.pool_size * COVERAGE_SCALE / **target)
    };
    lacking.min_by_key(rank).map(|(service, _)| service.clone())
}
