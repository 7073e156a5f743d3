//! The entry point of the planner.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use cj_fold::{State, rules};
use cj_record::Entry;
use cj_types::{PoolId, UnixMillis, VmId};

use crate::{Evidence, Notice, health, ops, repair, spare, view::FleetView, wave};

/// An entry to propose, with the reason in words.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The entry.
    pub entry: Entry,
    /// Why, for logs and `explain`.
    pub reason: CompactString,
}

/// Proposals and notices of one planning round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Entries to propose, in order of importance.
    pub proposals: Vec<Proposal>,
    /// Situations for operators.
    pub notices: Vec<Notice>,
    affected: BTreeSet<VmId>,
    gained: BTreeMap<PoolId, u32>,
}

impl Plan {
    /// Adds a proposal. At most one proposal per VM is made in a round.
    pub(crate) fn push(&mut self, entry: Entry, reason: impl Into<CompactString>) {
        if let Some(vm) = affected_vm(&entry) {
            debug_assert!(!self.affected.contains(vm), "two proposals for {vm}");
            self.affected.insert(vm.clone());
        }
        self.proposals.push(Proposal { entry, reason: reason.into() });
    }

    /// True when a proposal of this round concerns the VM.
    pub(crate) fn affects(&self, vm: &VmId) -> bool {
        self.affected.contains(vm)
    }

    /// Notes that the pool gets a VM at once: a loan, or one that was leaving and stays.
    pub(crate) fn record_gain(&mut self, pool: &PoolId) {
        *self.gained.entry(pool.clone()).or_default() += 1;
    }

    /// VMs that the pool gets at once.
    pub(crate) fn gained(&self, pool: &PoolId) -> u32 {
        self.gained.get(pool).copied().unwrap_or(0)
    }
}

/// VM that a fleet entry concerns, or `None` for other entries.
pub fn affected_vm(entry: &Entry) -> Option<&VmId> {
    match entry {
        Entry::Register(facts) => Some(&facts.vm),
        Entry::Drain { vm, .. }
        | Entry::Drained { vm, .. }
        | Entry::Reboot { vm, .. }
        | Entry::Rebooted { vm, .. }
        | Entry::Move { vm, .. }
        | Entry::Undrain { vm, .. }
        | Entry::Health { vm, .. }
        | Entry::TakeOut { vm, .. }
        | Entry::PutBack { vm, .. }
        | Entry::Remove { vm, .. } => Some(vm),
        _ => None,
    }
}

/// Plans the next acts for the fleet. The result depends only on the arguments.
pub fn plan(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<Proposal> {
    plan_with_notices(state, evidence, now).proposals
}

/// Like [`plan`], with the notices for operators.
///
/// The order of the rules is their precedence: unplanned failures consume the availability budgets first, deficits are
/// covered, operations under way go on, failed VMs are repaired, and what is left goes to waves. Returns of borrowed
/// VMs come last: their drain would occupy the failure domain that a wave could use.
pub fn plan_with_notices(state: &State, evidence: &Evidence, now: UnixMillis) -> Plan {
    let mut plan = Plan::default();
    if state.behind {
        return plan;
    }
    // After an outage of the log, fold time follows in steps. Ages and limits mean nothing until it has caught up.
    if now.since(state.now) > rules::MAX_STEP {
        plan.push(Entry::Tick, "fold time lags behind the clock");
        return plan;
    }
    let mut fleet = FleetView::new(state, evidence, now);
    health::report(&fleet, &mut plan);
    ops::cancel_unneeded_moves(&fleet, &mut plan);
    spare::lend_spares(&mut fleet, &mut plan);
    ops::advance_operations(&fleet, &mut plan);
    repair::repair(&fleet, &mut plan);
    wave::start_drains(&mut fleet, &mut plan);
    spare::return_borrowed(&mut fleet, &mut plan);
    health::register(&fleet, &mut plan);
    plan
}

/// Names the VMs that have to be probed before the next plan.
pub fn required_probes(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<VmId> {
    health::required_probes(&FleetView::new(state, evidence, now))
}
