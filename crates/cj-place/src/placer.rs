//! The placer.

use std::collections::BTreeMap;

use cj_fold::{Job, JobPhase, State};
use cj_record::VmKind;
use cj_types::{Resources, UnixMillis, VmId};

use crate::types::{Choice, Relief, UsageReport};

/// Chooses workers for jobs.
#[derive(Default)]
pub struct Placer {
    reports: BTreeMap<VmId, UsageReport>,
}

impl Placer {
    /// Creates a placer without observations.
    pub fn new() -> Self {
        Placer::default()
    }

    /// Chooses the worker for a job of the pool named in it.
    pub fn choose(&self, state: &State, job: &Job, _now: UnixMillis) -> Choice {
        let mut used: BTreeMap<&VmId, Resources> = BTreeMap::new();
        for other in state.jobs.values() {
            if let JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. } = &other.phase
            {
                let sum = used.entry(&claim.target).or_default();
                *sum = sum.plus(other.demand);
            }
        }
        let mut possible = false;
        for (id, vm) in &state.vms {
            if vm.pool != job.pool || vm.kind != VmKind::Worker {
                continue;
            }
            possible |= job.demand.fits(vm.capacity);
            let free = vm.capacity.minus(used.get(id).copied().unwrap_or_default());
            if vm.phase.is_active() && job.demand.fits(free) {
                let (vm, reason) = (id.clone(), "first fit".into());
                return Choice::Target { candidates: vec![vm.clone()], vm, reason };
            }
        }
        if possible {
            Choice::Wait { reason: "no worker has room".into() }
        } else {
            Choice::Impossible { reason: "no worker of the pool can hold the demand".into() }
        }
    }

    /// Takes a usage report.
    pub fn observe(&mut self, usage: &UsageReport) {
        self.reports.insert(usage.vm.clone(), usage.clone());
    }

    /// Relief for overloaded workers, least urgent tasks first.
    pub fn relieve(&self, _usage: &[UsageReport]) -> Vec<Relief> {
        Vec::new()
    }
}
