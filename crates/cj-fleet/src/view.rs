//! Per-pool summary of the recorded state, combined with the failures that one node has observed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cj_fold::{State, Vm, VmPhase, rules};
use cj_record::Purpose;
use cj_settings::{DomainRule, PoolSettings, WaveSettings};
use cj_types::{DataCentreId, PoolId, RackId, UnixMillis, VmId, WaveId};

use crate::{Evidence, limits, list_diff::ListDiff};

/// A VM and its id.
pub(crate) type Member<'a> = (&'a VmId, &'a Vm);

/// Number of a pool's VMs by condition.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// In service and not suspected to have failed.
    pub(crate) active: u32,
    /// In service, but suspected to have failed.
    pub(crate) suspected: u32,
    /// Draining or drained, for a wave.
    pub(crate) draining: u32,
    /// Rebooting, for a wave.
    pub(crate) rebooting: u32,
    /// Failed, and expected to return soon by a repair in place.
    pub(crate) repairing: u32,
    /// Taken out of rotation.
    pub(crate) out_of_rotation: u32,
}

/// One pool with its settings and members.
pub(crate) struct PoolView<'a> {
    pub(crate) id: &'a PoolId,
    pub(crate) settings: &'a PoolSettings,
    pub(crate) vms: Vec<Member<'a>>,
    pub(crate) counts: Counts,
    /// Number of active VMs that may still be taken out of service within the availability budget; every proposal that
    /// takes one lowers it.
    pub(crate) allowed_disruptions: u32,
    /// Number of VMs that are draining in other pools in order to move to this one.
    pub(crate) arriving: u32,
    /// Number of borrowed VMs that this plan moves out of the pool.
    pub(crate) departing: u32,
    /// Number of VMs that the pool needs: its target, or the observed demand if that is higher.
    pub(crate) demand: u32,
    /// Strictest failure-domain rule of the waves that include the pool.
    pub(crate) domain_rule: DomainRule,
    /// Failure domain in which planned operations take VMs out of service, or `None` if there are none.
    pub(crate) disrupted_domain: Option<FailureDomain<'a>>,
}

impl<'a> PoolView<'a> {
    /// Whether the failure-domain rule allows a planned operation on the VM.
    pub(crate) fn allows_disruption(&self, vm: &Vm) -> bool {
        self.disrupted_domain.is_none_or(|domain| domain == failure_domain(self.domain_rule, vm))
    }

    /// Accounts for a planned operation on an active VM.
    pub(crate) fn reserve(&mut self, vm: &'a Vm) {
        self.allowed_disruptions -= 1;
        self.disrupted_domain = Some(failure_domain(self.domain_rule, vm));
    }

    /// Number of VMs by which recorded failures break the availability budget. Suspected VMs count as active here:
    /// suspicions, which an incomplete list may have caused, stop new operations but cancel no drain and cause no loan.
    pub(crate) fn budget_shortfall(&self) -> u32 {
        let Counts { active, suspected, .. } = self.counts;
        self.settings.min_available.saturating_sub(active + suspected)
    }

    /// Number of VMs that the pool lacks. While the availability budget holds, VMs in a wave and failed VMs expected
    /// back from a repair in place don't count as lacking: repairs within the budget's slack are preferred to loans.
    pub(crate) fn deficit(&self) -> u32 {
        let Counts { active, suspected, draining, rebooting, repairing, .. } = self.counts;
        let present = active + suspected + draining + rebooting + repairing;
        let lacking = self.demand.saturating_sub(present);
        lacking.max(self.budget_shortfall())
    }

    /// Number of VMs above the demand, not counting VMs that are expected back from a repair.
    pub(crate) fn surplus(&self) -> u32 {
        let Counts { active, draining, rebooting, .. } = self.counts;
        (active + draining + rebooting).saturating_sub(self.demand)
    }

    /// Number of active VMs above the availability budget; negative when the budget is broken.
    pub(crate) fn budget_margin(&self) -> i64 {
        i64::from(self.counts.active) - i64::from(self.settings.min_available)
    }
}

/// Input of the planner's rules: the state, the observations, and summaries of both.
pub(crate) struct FleetView<'a> {
    pub(crate) state: &'a State,
    pub(crate) evidence: &'a Evidence,
    pub(crate) now: UnixMillis,
    pub(crate) pools: BTreeMap<&'a PoolId, PoolView<'a>>,
    pub(crate) list_diff: ListDiff<'a>,
    /// VMs in service that appear to have failed according to a probe or the list.
    pub(crate) suspects: BTreeMap<&'a VmId, Suspicion>,
    /// Racks and data centres in which all VMs have failed.
    pub(crate) down_domains: DownDomains<'a>,
}

/// Reason to suspect that a VM has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// A direct probe failed.
    Probe,
    /// The VM is missing from the platform's list.
    List,
}

/// Failure domains in which all VMs have failed, either recorded or shown by a probe.
#[derive(Debug, Default)]
pub(crate) struct DownDomains<'a> {
    racks: BTreeSet<&'a RackId>,
    centres: BTreeSet<&'a DataCentreId>,
}

impl<'a> DownDomains<'a> {
    fn new(state: &'a State, suspects: &BTreeMap<&VmId, Suspicion>) -> Self {
        let is_confirmed_failed =
            |(id, vm): (&VmId, &Vm)| is_failed(vm) || suspects.get(id) == Some(&Suspicion::Probe);
        if !state.vms.iter().any(is_confirmed_failed) {
            return DownDomains::default();
        }
        let mut racks: BTreeMap<&RackId, (u32, u32)> = BTreeMap::new();
        let mut centres: BTreeMap<&DataCentreId, (u32, u32)> = BTreeMap::new();
        let in_rotation = state.vms.iter().filter(|(_, vm)| !is_out_of_rotation(vm));
        for (id, vm) in in_rotation {
            let failed = is_confirmed_failed((id, vm));
            for (total, failed_count) in
                [racks.entry(&vm.rack).or_default(), centres.entry(&vm.centre).or_default()]
            {
                *total += 1;
                *failed_count += u32::from(failed);
            }
        }
        DownDomains { racks: fully_failed(racks), centres: fully_failed(centres) }
    }

    /// Returns the failed data centre or rack that contains the VM, if any.
    pub(crate) fn containing(&self, vm: &'a Vm) -> Option<&'a str> {
        let centre = self.centres.get(&vm.centre).map(|c| c.as_str());
        centre.or_else(|| self.racks.get(&vm.rack).map(|r| r.as_str()))
    }
}

/// Returns the domains with more than one VM in which all VMs have failed.
fn fully_failed<D>(counts: BTreeMap<&D, (u32, u32)>) -> BTreeSet<&D>
where
    D: Ord,
{
    let failed = counts.into_iter().filter(|(_, (total, failed))| *total > 1 && total == failed);
    failed.map(|(domain, _)| domain).collect()
}

/// Whether the VM has failed and is not back in service yet, repair included.
pub(crate) fn is_failed(vm: &Vm) -> bool {
    let repair = matches!(
        &vm.phase,
        VmPhase::Draining { purpose: Purpose::Repair, .. }
            | VmPhase::Drained { purpose: Purpose::Repair, .. }
            | VmPhase::Rebooting { purpose: Purpose::Repair, .. }
    );
    repair || matches!(vm.phase, VmPhase::Failed { .. })
}

fn is_out_of_rotation(vm: &Vm) -> bool {
    matches!(vm.phase, VmPhase::OutOfRotation { .. })
}

impl<'a> FleetView<'a> {
    pub(crate) fn new(state: &'a State, evidence: &'a Evidence, now: UnixMillis) -> Self {
        let list_diff = ListDiff::new(state, &evidence.listed);
        let suspects: BTreeMap<_, _> = state
            .vms
            .iter()
            .filter_map(|(id, vm)| Some((id, suspicion(id, vm, evidence, &list_diff, now)?)))
            .collect();
        let down_domains = DownDomains::new(state, &suspects);
        let mut fleet = FleetView {
            state,
            evidence,
            now,
            pools: BTreeMap::new(),
            list_diff,
            suspects,
            down_domains,
        };
        fleet.pools = fleet.summarise();
        fleet
    }

    fn summarise(&self) -> BTreeMap<&'a PoolId, PoolView<'a>> {
        let empty_view = |(id, settings): (&'a PoolId, &'a PoolSettings)| {
            let demand = self.evidence.demand.get(id).copied().unwrap_or(0);
            let demand = settings.target.max(demand);
            let (vms, counts, domain_rule) =
                (Vec::new(), Counts::default(), strictest_rule(self.waves_including(id)));
            (
                id,
                PoolView {
                    id,
                    settings,
                    vms,
                    counts,
                    allowed_disruptions: 0,
                    arriving: 0,
                    departing: 0,
                    demand,
                    domain_rule,
                    disrupted_domain: None,
                },
            )
        };
        let mut pools: BTreeMap<_, _> = self.state.fleet.pools.iter().map(empty_view).collect();
        for (id, vm) in &self.state.vms {
            if let Some(pool) = move_target(vm).and_then(|to| pools.get_mut(to)) {
                pool.arriving += 1;
            }
            if let Some(pool) = pools.get_mut(&vm.pool) {
                pool.vms.push((id, vm));
                self.count(&mut pool.counts, id, vm);
                if in_planned_operation(vm) {
                    pool.disrupted_domain = Some(failure_domain(pool.domain_rule, vm));
                }
            }
        }
        for pool in pools.values_mut() {
            pool.allowed_disruptions =
                pool.counts.active.saturating_sub(pool.settings.min_available);
        }
        pools
    }

    fn count(&self, counts: &mut Counts, id: &VmId, vm: &'a Vm) {
        let field = match &vm.phase {
            VmPhase::Active if !self.suspects.contains_key(id) => &mut counts.active,
            VmPhase::Active => &mut counts.suspected,
            VmPhase::Draining { purpose: Purpose::Wave(_), .. }
            | VmPhase::Drained { purpose: Purpose::Wave(_), .. } => &mut counts.draining,
            VmPhase::Rebooting { purpose: Purpose::Wave(_), .. } => &mut counts.rebooting,
            VmPhase::OutOfRotation { .. } => &mut counts.out_of_rotation,
            _ if is_failed(vm) && self.is_repair_expected(vm) => &mut counts.repairing,
            _ => return,
        };
        *field += 1;
    }

    /// Whether a repair in place is expected to return the failed VM soon.
    fn is_repair_expected(&self, vm: &'a Vm) -> bool {
        let last = vm.failures.last().copied().unwrap_or_default();
        let recent = self.now.since(last) <= limits::EXPECTED_REPAIR_TIME;
        recent && self.recent_failures(vm) < 2 && self.down_domains.containing(vm).is_none()
    }

    /// Number of failures of a VM within [`rules::FAILURE_WINDOW`].
    pub(crate) fn recent_failures(&self, vm: &Vm) -> usize {
        let is_recent = |at: &&UnixMillis| self.now.since(**at) <= rules::FAILURE_WINDOW;
        vm.failures.iter().filter(is_recent).count()
    }

    /// Whether no live node has anything in flight on the VM and no recorded job is claimed on it.
    pub(crate) fn is_idle(&self, id: &VmId) -> bool {
        self.evidence.in_flight.get(id) == Some(&0) && !self.is_claimed(id)
    }

    /// Whether no work is known on the VM. Unlike [`Self::is_idle`] it accepts an unknown number in flight, which is
    /// sufficient for VMs of a spare pool, since they get no work.
    pub(crate) fn has_no_known_work(&self, id: &VmId) -> bool {
        self.evidence.in_flight.get(id).is_none_or(|n| *n == 0) && !self.is_claimed(id)
    }

    fn is_claimed(&self, id: &VmId) -> bool {
        self.state.claim_count(id) > 0
    }

    /// Started waves that include the pool.
    pub(crate) fn started_waves(
        &self,
        pool: &PoolId,
    ) -> impl Iterator<Item = (&'a WaveId, &'a WaveSettings)> {
        let (state, now, pool) = (self.state, self.now, pool.clone());
        state.fleet.waves.iter().filter(move |(_, w)| w.start <= now && w.pools.contains(&pool))
    }

    /// Waves that include the pool, started or not. Their forbidden windows and failure-domain rules apply to all
    /// planned operations.
    pub(crate) fn waves_including(&self, pool: &PoolId) -> impl Iterator<Item = &'a WaveSettings> {
        let (state, pool) = (self.state, pool.clone());
        state.fleet.waves.values().filter(move |w| w.pools.contains(&pool))
    }

    /// Whether an operation that starts now and takes up to `duration(wave)` would overlap a forbidden window of a wave
    /// that includes the pool.
    pub(crate) fn overlaps_window<F>(&self, pool: &PoolId, duration: F) -> bool
    where
        F: Fn(&WaveSettings) -> Duration,
    {
        self.waves_including(pool).any(|wave| {
            let end = self.now + duration(wave) + limits::WINDOW_MARGIN;
            wave.forbidden.iter().any(|w| w.overlaps(self.now, end))
        })
    }
}

/// Strictest failure-domain rule of several waves. The rack rule is the strictest, since a rack is the smallest domain.
fn strictest_rule<'a, I>(waves: I) -> DomainRule
where
    I: Iterator<Item = &'a WaveSettings>,
{
    let rank = |rule: &DomainRule| match rule {
        DomainRule::Any => 0,
        DomainRule::DataCentre => 1,
        DomainRule::Rack => 2,
    };
    waves.map(|w| w.domain).max_by_key(rank).unwrap_or(DomainRule::Any)
}

/// Failure domain of a VM under a rule. Under [`DomainRule::Any`] all VMs share one domain.
pub(crate) fn failure_domain(rule: DomainRule, vm: &Vm) -> FailureDomain<'_> {
    match rule {
        DomainRule::Any => (None, None),
        DomainRule::Rack => (Some(&vm.centre), Some(&vm.rack)),
        DomainRule::DataCentre => (Some(&vm.centre), None),
    }
}

/// Data centre and rack; `None` for a part that the rule ignores.
pub(crate) type FailureDomain<'a> = (Option<&'a DataCentreId>, Option<&'a RackId>);

/// Pool that a draining VM is to move to.
fn move_target(vm: &Vm) -> Option<&PoolId> {
    match &vm.phase {
        VmPhase::Draining { purpose: Purpose::Move(to), .. }
        | VmPhase::Drained { purpose: Purpose::Move(to), .. } => Some(to),
        _ => None,
    }
}

/// Whether a working VM is out of service for a planned operation.
fn in_planned_operation(vm: &Vm) -> bool {
    vm.phase.op().is_some() && !is_failed(vm)
}

/// Fold time of the last reboot or move, or zero if there was none.
fn last_change(vm: &Vm) -> UnixMillis {
    vm.maintained.max(vm.moved)
}

/// Whether the platform's list must reflect the VM's last change by now. The registration time of a VM isn't recorded,
/// so a VM that has not changed since its registration needs a probe.
pub(crate) fn list_reflects_change(vm: &Vm, now: UnixMillis) -> bool {
    vm.generation.0 > 1 && now.since(last_change(vm)) > limits::MAX_LIST_LAG
}

fn suspicion(
    id: &VmId,
    vm: &Vm,
    evidence: &Evidence,
    list_diff: &ListDiff<'_>,
    now: UnixMillis,
) -> Option<Suspicion> {
    let in_service = match &vm.phase {
        VmPhase::Active => true,
        VmPhase::Draining { purpose, .. } | VmPhase::Drained { purpose, .. } => {
            *purpose != Purpose::Repair
        }
        _ => false,
    };
    if !in_service {
        return None;
    }
    let changed = last_change(vm);
    match evidence.probe(id, changed, now) {
        Some(probe) => (!probe.healthy).then_some(Suspicion::Probe),
        None => {
            // The platform may omit draining VMs from its list of live VMs.
            let list_applies = vm.phase.is_active() && list_reflects_change(vm, now);
            (list_applies && list_diff.is_missing(id)).then_some(Suspicion::List)
        }
    }
}
