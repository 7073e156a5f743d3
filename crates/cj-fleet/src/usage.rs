//! Use of the spare pool per borrowing team.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use cj_fold::State;
use cj_types::{PoolId, TeamId, UnixMillis, VmId};

/// Use of the spare pool by one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Spare VM time used, in VM-seconds as a duration.
    pub lent: Duration,
    /// VMs borrowed now.
    pub borrowed: u32,
    /// Moves to and from the team's pools.
    pub moves: u64,
}

/// Borrowed VMs per team at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// Fold time.
    pub at: UnixMillis,
    /// VMs borrowed by team; teams without any are left out.
    pub borrowed: BTreeMap<TeamId, u32>,
}

/// Follows the shared state and sums up the use of the spare pool per team.
#[derive(Clone, Debug, Default)]
pub struct UsageLog {
    pools: BTreeMap<VmId, PoolId>,
    moves: BTreeMap<TeamId, u64>,
    samples: Vec<UsageSample>,
}

impl UsageLog {
    /// Takes in the state. Moves between two calls are counted once per VM, so it should be called after every record.
    pub fn observe(&mut self, state: &State) {
        for (id, vm) in &state.vms {
            match self.pools.entry(id.clone()) {
                Entry::Vacant(slot) => _ = slot.insert(vm.pool.clone()),
                Entry::Occupied(mut slot) if *slot.get() != vm.pool => {
                    let from = slot.insert(vm.pool.clone());
                    for pool in [&from, &vm.pool] {
                        let borrower = state.fleet.pools.get(pool).filter(|p| !p.spare);
                        if let Some(pool) = borrower {
                            *self.moves.entry(pool.owner.clone()).or_default() += 1;
                        }
                    }
                }
                Entry::Occupied(_) => {}
            }
        }
        let sample = UsageSample { at: state.now, borrowed: borrowed(state) };
        if self.samples.last().is_none_or(|last| last.borrowed != sample.borrowed) {
            self.samples.push(sample);
        }
    }

    /// Changes of the number of borrowed VMs per team, oldest first.
    pub fn samples(&self) -> &[UsageSample] {
        &self.samples
    }

    /// Use per team up to the given state.
    pub fn report(&self, state: &State) -> BTreeMap<TeamId, TeamUsage> {
        let mut teams: BTreeMap<TeamId, TeamUsage> = BTreeMap::new();
        for (team, lent) in &state.lent {
            teams.entry(team.clone()).or_default().lent = *lent;
        }
        for (team, borrowed) in borrowed(state) {
            teams.entry(team).or_default().borrowed = borrowed;
        }
        for (team, moves) in &self.moves {
            teams.entry(team.clone()).or_default().moves = *moves;
        }
        teams
    }
}

fn borrowed(state: &State) -> BTreeMap<TeamId, u32> {
    let mut borrowed = BTreeMap::new();
    for vm in state.vms.values().filter(|vm| vm.home.as_ref().is_some_and(|h| *h != vm.pool)) {
        if let Some(pool) = state.fleet.pools.get(&vm.pool) {
            *borrowed.entry(pool.owner.clone()).or_default() += 1;
        }
    }
    borrowed
}
