//! Usage of the spare pool per borrowing team.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use cj_fold::State;
use cj_types::{TeamId, UnixMillis};

/// Usage of the spare pool by one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// VM time used, summed over all borrowed VMs.
    pub lent: Duration,
    /// Number of VMs currently borrowed.
    pub borrowed: u32,
    /// Number of moves of spare VMs to and from the team's pools.
    pub moves: u64,
}

/// Number of borrowed VMs per team at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// Fold time.
    pub at: UnixMillis,
    /// Number of borrowed VMs by team; teams without any are omitted.
    pub borrowed: BTreeMap<TeamId, u32>,
}

/// Returns the usage of the spare pool per team up to fold time, including VMs that are still borrowed.
pub fn usage(state: &State) -> BTreeMap<TeamId, TeamUsage> {
    let mut teams: BTreeMap<TeamId, TeamUsage> = BTreeMap::new();
    for (team, lent) in state.lent_total() {
        teams.entry(team).or_default().lent = lent;
    }
    for (team, borrowed) in borrowed(state) {
        teams.entry(team).or_default().borrowed = borrowed;
    }
    for (team, moves) in &state.lent_moves {
        teams.entry(team.clone()).or_default().moves = *moves;
    }
    teams
}

/// Records changes in the number of borrowed VMs over time, for reports.
#[derive(Clone, Debug, Default)]
pub struct UsageLog {
    samples: Vec<UsageSample>,
}

impl UsageLog {
    /// Adds a sample if the number of borrowed VMs has changed. To miss no change, call it after every folded record.
    pub fn observe(&mut self, state: &State) {
        let sample = UsageSample { at: state.now, borrowed: borrowed(state) };
        if self.samples.last().is_none_or(|last| last.borrowed != sample.borrowed) {
            self.samples.push(sample);
        }
    }

    /// Samples taken at each change of the number of borrowed VMs, oldest first.
    pub fn samples(&self) -> &[UsageSample] {
        &self.samples
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
