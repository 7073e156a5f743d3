//! Checks of the invariants over a run. The checks read the folded state and don't share code with the planner.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use cj_fold::{State, Vm, VmPhase};
use cj_record::{Entry, Purpose};
use cj_settings::DomainRule;
use cj_types::{PoolId, UnixMillis, VmId};

/// Counts of broken promises and of the acts they concern.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Planned acts that left a pool below its availability budget.
    pub budget_breaches: u64,
    /// Observations of a VM draining or rebooting for a wave within a forbidden window.
    pub window_breaches: u64,
    /// Observations of two failure domains of a pool in a wave at once.
    pub domain_breaches: u64,
    /// Moves undone within the hysteresis time.
    pub hasty_moves: u64,
    /// VMs rebooted again by a wave although the wave had rebooted them.
    pub repeated: u64,
    /// Accepted moves out of a spare pool.
    pub lends: u64,
    /// Accepted moves back.
    pub returns: u64,
    /// Sum of the deficits that arose in all pools.
    pub deficits: u64,
    deficit: BTreeMap<PoolId, u32>,
    moved: BTreeMap<VmId, (PoolId, PoolId, UnixMillis)>,
}

impl Audit {
    /// Takes in an accepted batch: the VMs concerned before it, the state after it, and its accepted entries.
    pub fn batch(&mut self, before: &BTreeMap<VmId, Vm>, after: &State, accepted: &[Entry]) {
        let mut takes: BTreeSet<&PoolId> = BTreeSet::new();
        for entry in accepted {
            match entry {
                Entry::Drain { vm, purpose, .. } if *purpose != Purpose::Repair => {
                    takes.insert(&before[vm].pool);
                    if let Purpose::Wave(wave) = purpose {
                        let done = before[vm].maintained >= after.fleet.waves[wave].start;
                        self.repeated += u64::from(done);
                    }
                }
                Entry::Move { vm, from, to, .. } => {
                    if before[vm].phase.is_active() {
                        takes.insert(from);
                    }
                    self.moved(after, vm, from, to);
                }
                _ => {}
            }
        }
        let short = |pool: &&&PoolId| {
            let min = after.fleet.pools[**pool].min_available as usize;
            let of_pool = after.vms.values().filter(|vm| vm.pool == ***pool);
            of_pool.filter(|vm| vm.phase.is_active()).count() < min
        };
        self.budget_breaches += takes.iter().filter(short).count() as u64;
    }

    fn moved(&mut self, state: &State, vm: &VmId, from: &PoolId, to: &PoolId) {
        let lend = state.fleet.pools[from].spare;
        *(if lend { &mut self.lends } else { &mut self.returns }) += 1;
        let hysteresis = state.fleet.pools[from].hysteresis;
        let undone = self.moved.insert(vm.clone(), (from.clone(), to.clone(), state.now));
        self.hasty_moves += u64::from(undone.is_some_and(|(old_from, old_to, at)| {
            old_from == *to && old_to == *from && state.now.since(at) < hysteresis
        }));
    }

    /// Takes in the state at a time.
    pub fn observe(&mut self, state: &State, now: UnixMillis, demand: &BTreeMap<PoolId, u32>) {
        let mut domains: BTreeMap<&PoolId, BTreeSet<&str>> = BTreeMap::new();
        let mut serving: BTreeMap<&PoolId, u32> = BTreeMap::new();
        for vm in state.vms.values() {
            if let Some(wave) = wave_op(vm).and_then(|wave| state.fleet.waves.get(wave)) {
                let breach = wave.forbidden.iter().any(|w| w.overlaps(now, now));
                self.window_breaches += u64::from(breach);
                let domain = match wave.domain {
                    DomainRule::Any => "",
                    DomainRule::Rack => vm.rack.as_str(),
                    DomainRule::DataCentre => vm.centre.as_str(),
                };
                domains.entry(&vm.pool).or_default().insert(domain);
            }
            let serves = vm.phase.is_active() || wave_op(vm).is_some();
            *serving.entry(&vm.pool).or_default() += u32::from(serves);
        }
        self.domain_breaches += domains.values().filter(|d| d.len() > 1).count() as u64;
        for (id, pool) in state.fleet.pools.iter().filter(|(_, p)| !p.spare) {
            let wanted = pool.target.max(demand.get(id).copied().unwrap_or(0));
            let deficit = wanted.saturating_sub(serving.get(id).copied().unwrap_or(0));
            let last = self.deficit.insert(id.clone(), deficit).unwrap_or(0);
            self.deficits += u64::from(deficit.saturating_sub(last));
        }
    }

    /// True when no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.budget_breaches == 0
            && self.window_breaches == 0
            && self.domain_breaches == 0
            && self.hasty_moves == 0
            && self.repeated == 0
    }
}

impl fmt::Display for Audit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "budget {}, window {}, domain {}, hasty moves {}, repeated {}",
            self.budget_breaches,
            self.window_breaches,
            self.domain_breaches,
            self.hasty_moves,
            self.repeated
        )
    }
}

fn wave_op(vm: &Vm) -> Option<&cj_types::WaveId> {
    match &vm.phase {
        VmPhase::Draining { purpose: Purpose::Wave(wave), .. }
        | VmPhase::Drained { purpose: Purpose::Wave(wave), .. }
        | VmPhase::Rebooting { purpose: Purpose::Wave(wave), .. } => Some(wave),
        _ => None,
    }
}
