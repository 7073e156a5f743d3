//! Accounting of borrowed spare VMs per team.

use std::{collections::BTreeMap, time::Duration};

use cj_types::{PoolId, TeamId, VmId};

use crate::state::{State, Vm};

impl State {
    /// Spare VM time used by each borrowing team up to fold time, including VMs that are still borrowed.
    pub fn lent_total(&self) -> BTreeMap<TeamId, Duration> {
        let mut total = self.lent.clone();
        for vm in self.vms.values().filter(|vm| vm.home.is_some()) {
            if let Some(pool) = self.fleet.pools.get(&vm.pool) {
                *total.entry(pool.owner.clone()).or_default() += self.now.since(vm.billed);
            }
        }
        total
    }

    /// Bills the owner of the pool that a borrowed VM leaves, and counts moves to and from a borrowing pool.
    pub(super) fn account_move(&mut self, id: &VmId, from: &PoolId, to: &PoolId) {
        let spare = |pool: &PoolId| self.fleet.pools.get(pool).is_some_and(|p| p.spare);
        let owner = |pool: &PoolId| self.fleet.pools.get(pool).map(|p| p.owner.clone());
        let borrowed = self.vms.get(id).is_some_and(|vm| vm.home.is_some());
        let borrower = match (borrowed, spare(from) && !spare(to)) {
            (true, _) => owner(from),
            (false, true) => owner(to),
            (false, false) => None,
        };
        if borrowed {
            self.bill(id);
        }
        if let Some(team) = borrower {
            *self.lent_moves.entry(team).or_default() += 1;
        }
    }

    /// Bills all VMs that a pool has borrowed to its current owner, before the owner changes.
    pub(super) fn bill_pool(&mut self, pool: &PoolId) {
        let borrowed = self.members(pool).filter(|(_, vm)| vm.home.is_some());
        let ids: Vec<VmId> = borrowed.map(|(id, _)| id.clone()).collect();
        ids.iter().for_each(|id| self.bill(id));
    }

    /// Bills the pool's owner for a borrowed VM, from the last billing up to fold time.
    pub(super) fn bill(&mut self, id: &VmId) {
        let now = self.now;
        let Some(Vm { pool, billed, .. }) = self.vms.get_mut(id) else {
            return;
        };
        if let Some(settings) = self.fleet.pools.get(pool) {
            *self.lent.entry(settings.owner.clone()).or_default() += now.since(*billed);
            *billed = now;
        }
    }
}
