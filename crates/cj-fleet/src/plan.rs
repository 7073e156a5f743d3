//! Entry points of the planner, and the plan that its rules fill.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use cj_fold::{State, rules};
use cj_record::Entry;
use cj_types::{PoolId, UnixMillis, VmId};

use crate::{Evidence, Notice, health, ops, repair, spare, view::FleetView, wave};

/// A log entry to propose, with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Entry to append to the log.
    pub entry: Entry,
    /// Reason in words, for log lines.
    pub reason: CompactString,
}

/// Proposals and notices of one planning round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Entries to propose, most important first.
    pub proposals: Vec<Proposal>,
    /// Conditions that operators have to know of.
    pub notices: Vec<Notice>,
    affected: BTreeSet<VmId>,
    /// Number of VMs that each pool gets immediately by this plan.
    gained: BTreeMap<PoolId, u32>,
}

impl Plan {
    /// Adds a proposal. A plan holds at most one proposal per VM.
    pub(crate) fn push(&mut self, entry: Entry, reason: impl Into<CompactString>) {
        if let Some(vm) = affected_vm(&entry) {
            debug_assert!(!self.affected.contains(vm), "two proposals for {vm}");
            self.affected.insert(vm.clone());
        }
        self.proposals.push(Proposal { entry, reason: reason.into() });
    }

    /// Whether the plan already has a proposal for the VM.
    pub(crate) fn affects(&self, vm: &VmId) -> bool {
        self.affected.contains(vm)
    }

    /// Counts a VM that the pool gets immediately: a borrowed one, or one whose drain for a move is cancelled.
    pub(crate) fn record_gain(&mut self, pool: &PoolId) {
        *self.gained.entry(pool.clone()).or_default() += 1;
    }

    /// Number of VMs that the pool gets immediately by this plan.
    pub(crate) fn gained(&self, pool: &PoolId) -> u32 {
        self.gained.get(pool).copied().unwrap_or(0)
    }
}

/// Returns the VM that a fleet entry applies to, or `None` for other entries.
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

/// Returns the proposals for the fleet. The result depends only on the arguments.
pub fn plan(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<Proposal> {
    plan_with_notices(state, evidence, now).proposals
}

/// Like [`plan()`], but also returns the notices for operators.
///
/// The rules run in order of precedence: failures are reported and use up the availability budgets first, then deficits
/// are covered, operations in progress advance, failed VMs are repaired, and waves use the rest of the budgets.
/// Borrowed VMs are returned after that, since their drains would occupy the failure domain that a wave could use.
pub fn plan_with_notices(state: &State, evidence: &Evidence, now: UnixMillis) -> Plan {
    let mut plan = Plan::default();
    if state.behind {
        return plan;
    }
    // After an outage of the log, fold time advances in limited steps. Ages and time limits are not valid until it has
    // caught up with the clock.
    if now.since(state.now) > rules::MAX_TIME_STEP {
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

/// Returns the VMs that have to be probed before the next plan.
pub fn required_probes(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<VmId> {
    health::required_probes(&FleetView::new(state, evidence, now))
}
