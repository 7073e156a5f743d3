//! Indexes derived from the state. They are updated with every change, so that folding a record needs no full scan.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cj_types::{JobId, PoolId, UnixMillis, VmId};

use crate::state::{Job, JobPhase, State, Vm};

/// Indexes of a state. All indexes compare as equal, because they follow from the other fields of the state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    pub(crate) pools: BTreeMap<PoolId, PoolIndex>,
    /// Number of claimed jobs per target VM.
    pub(crate) claims: BTreeMap<VmId, u32>,
    /// Jobs that have not ended.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Ended jobs, ordered by the time at which they ended.
    pub(crate) ended_jobs: VecDeque<(UnixMillis, JobId)>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PoolIndex {
    pub(crate) members: BTreeSet<VmId>,
    pub(crate) active: u32,
}

impl PartialEq for Index {
    fn eq(&self, _: &Index) -> bool {
        true
    }
}

impl Index {
    pub(crate) fn build(state: &State) -> Index {
        let mut index = Index::default();
        for (id, vm) in &state.vms {
            index.add_vm(id, vm);
        }
        let mut ended = Vec::new();
        for (id, job) in &state.jobs {
            match job.ended_at() {
                Some(at) => ended.push((at, id.clone())),
                None => drop(index.open_jobs.insert(id.clone())),
            }
            index.add_claim(&job.phase);
        }
        ended.sort();
        index.ended_jobs = ended.into();
        index
    }

    pub(crate) fn add_vm(&mut self, id: &VmId, vm: &Vm) {
        let pool = self.pools.entry(vm.pool.clone()).or_default();
        pool.members.insert(id.clone());
        pool.active += u32::from(vm.phase.is_active());
    }

    pub(crate) fn remove_vm(&mut self, id: &VmId, vm: &Vm) {
        let Some(pool) = self.pools.get_mut(&vm.pool) else {
            return;
        };
        pool.members.remove(id);
        pool.active -= u32::from(vm.phase.is_active());
        if pool.members.is_empty() {
            self.pools.remove(&vm.pool);
        }
    }

    pub(crate) fn add_claim(&mut self, phase: &JobPhase) {
        if let JobPhase::Claimed(claim) = phase {
            *self.claims.entry(claim.target.clone()).or_default() += 1;
        }
    }

    pub(crate) fn remove_claim(&mut self, phase: &JobPhase) {
        let JobPhase::Claimed(claim) = phase else {
            return;
        };
        if let Some(count) = self.claims.get_mut(&claim.target) {
            *count -= 1;
            if *count == 0 {
                self.claims.remove(&claim.target);
            }
        }
    }
}

impl Job {
    /// Fold time at which the job ended, or `None` if it is open.
    pub fn ended_at(&self) -> Option<UnixMillis> {
        match &self.phase {
            JobPhase::Done { at, .. } | JobPhase::Cancelled { at } => Some(*at),
            JobPhase::Parked { at, .. } => Some(*at),
            _ => None,
        }
    }
}
