//! Demand and size of each pool, and the choice of the pool that gets the next VM.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{Resources, ServiceId, VmId};

use crate::sched::worker::WorkerKey;

/// Fewest VMs of a pool: one may be lost or in maintenance while the other accepts work.
pub(super) const MIN_VMS: usize = 2;

/// Share of a VM's capacity that tasks fill in practice.
const USABLE_SHARE: f32 = 0.8;

/// Coverage of a pool whose size equals its target.
const COVERAGE_SCALE: usize = 1_000;

/// Unplaced long-running tasks that one more VM is expected to take.
const UNPLACED_PER_VM: usize = 2;

/// Demand and size of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolDemand {
    /// Processors for running and waiting tasks, in millicores.
    pub(super) cores: f32,
    /// The part of `cores` for waiting tasks of jobs that are expected to miss their latency objectives.
    pub(super) late: f32,
    /// Memory for all of these tasks, in MiB.
    pub(super) memory: f32,
    /// Capacity of one VM.
    pub(super) vm_capacity: Resources,
    /// Forecast processors for finite tasks, in millicores.
    pub(super) forecast: f32,
    /// Processors for long-running tasks, in millicores.
    pub(super) long_running: f32,
    /// Unplaced long-running tasks: those that have found no worker for a while, less the VMs that are moving to the pool.
    pub(super) unplaced: usize,
    /// VMs that long-running steps require because of their spread.
    pub(super) spread_vms: usize,
    /// VMs in the pool or moving to it.
    pub(super) pool_size: usize,
    /// VMs in all pools and the spare pool.
    pub(super) fleet_size: usize,
    /// Most VMs that the pool required recently.
    pub(super) recent_vms: usize,
    /// Idle VMs that may leave the pool, with their workers and idle times.
    pub(super) idle: Vec<(VmId, WorkerKey, Duration)>,
}

impl PoolDemand {
    /// VMs for the running and waiting tasks.
    pub(super) fn required_now(&self) -> usize {
        self.vms_for(self.cores)
    }

    /// VMs for the running tasks, and the waiting ones of jobs that can still meet their latency objectives.
    pub(super) fn required_in_time(&self) -> usize {
        self.vms_for(self.cores - self.late)
    }

    /// VMs for the running and waiting tasks, or for the forecast ones if these require more and the fleet has them.
    pub(super) fn target(&self) -> usize {
        self.required_now().max(self.required_by_forecast())
    }

    /// As [`Self::target`], without the waiting tasks of jobs that will be late.
    pub(super) fn target_in_time(&self) -> usize {
        self.required_in_time().max(self.required_by_forecast())
    }

    fn required_by_forecast(&self) -> usize {
        self.vms_for(self.long_running + self.forecast).min(self.fleet_size)
    }

    fn vms_for(&self, cores: f32) -> usize {
        let vms = |amount: f32, capacity: u32| {
            (amount / (capacity as f32 * USABLE_SHARE).max(1.0)).ceil() as usize
        };
        let cores = vms(cores, self.vm_capacity.cores.0);
        let memory = vms(self.memory, self.vm_capacity.memory.0);
        let grown = if self.unplaced > 0 {
            self.pool_size + self.unplaced.div_ceil(UNPLACED_PER_VM)
        } else {
            0
        };
        cores.max(memory).max(self.spread_vms).max(MIN_VMS).max(grown)
    }

    /// Size of the pool in thousandths of its target.
    pub(super) fn coverage(&self) -> usize {
        self.pool_size * COVERAGE_SCALE / self.target()
    }

    /// VMs beyond those that the pool requires now or required recently.
    pub(super) fn recent_surplus(&self) -> usize {
        self.pool_size.saturating_sub(self.recent_vms.max(self.required_now()))
    }

    /// VMs beyond the target.
    pub(super) fn surplus(&self) -> usize {
        self.pool_size.saturating_sub(self.target())
    }
}

/// The pool below its target that gets the next VM: one with an unplaced long-running task, else the one with the lowest
/// coverage. So pools that together require more than the fleet has share it, and none waits until another has all it
/// requires.
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
