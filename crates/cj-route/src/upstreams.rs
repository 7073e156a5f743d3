//! Upstreams of a pool: slots in use, reported load, outlier ejection and the choice between them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use cj_types::{DataCentreId, RackId, VmId};

use crate::{
    options::Selection,
    slots,
    view::{PoolEntry, PoolView},
};

/// Age up to which a reported load is used. With 500 ms, twice as many borrowed slots are refused under bursts.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(50);
/// Slots that a borrowing node leaves free for the nodes that own them. With 1, several nodes see the same free slot
/// and ten times as many requests are refused under bursts.
const BORROW_HEADROOM: u32 = 2;
/// Random draws from the free list for a request that avoids an upstream, so that another failure domain is likely
/// found.
const AVOID_CANDIDATES: usize = 8;
/// Failures in a row after which an upstream is compared with its peers.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Smoothing factor of the failure rate and of the slowness per attempt.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Failure rate at which an upstream is compared with its peers. When the peers reach it themselves, none is ejected
/// for failures.
const FAILURE_RATE_THRESHOLD: f64 = 0.3;
/// An upstream is ejected when its failure rate exceeds the peers' rate times this factor plus the margin.
const PEER_FACTOR: f64 = 2.0;
const PEER_MARGIN: f64 = 0.2;
/// Slowness, absolute and relative to the peers, at which an upstream is ejected, and attempts needed to measure it.
const SLOW_FACTOR: f64 = 4.0;
const MIN_SLOW_SAMPLES: u32 = 30;
/// Duration of the first ejection; doubles with each further one up to the longest.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(5);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(80);
/// Time for which an outlier gets no requests when no more upstreams may be ejected. Its slots then fail no more
/// requests than they would serve.
const PAUSE_TIME: Duration = Duration::from_millis(250);
/// Successes in a row that end the probation after an ejection; until then the upstream gets one request at a time.
const PROBATION_SUCCESSES: u32 = 3;
/// Age at which the rates of the peers are computed again.
const PEER_RATES_LIFETIME: Duration = Duration::from_millis(10);
/// One in this many peers has to be healthy for a comparison. With the median, a failure of half the pool would go
/// undetected.
const HEALTHY_DIVISOR: usize = 3;
/// Attempts after which a peer is included in the comparison. Four failures in a row exceed [`FAILURE_RATE_THRESHOLD`],
/// so a failure of all peers is detected.
const MIN_PEER_SAMPLES: u32 = 4;
/// Peers needed for a comparison, besides the compared upstream.
const MIN_PEERS: usize = 2;

slotmap::new_key_type! {
    pub(crate) struct UpstreamKey;
}

pub(crate) struct Upstream {
    pub(crate) vm: VmId,
    pub(crate) centre: DataCentreId,
    rack: RackId,
    /// True while it gets no new work and only finishes what is in flight.
    pub(crate) leaving: bool,
    pub(crate) in_flight: usize,
    /// Slots that this node may use.
    slot_limit: usize,
    /// Position in the free list.
    free_index: Option<usize>,
    /// Busy slots by the last report.
    reported_busy: u32,
    reported_at: Option<Instant>,
    /// Attempts started since the last report.
    sent_since: u32,
    failure_rate: f64,
    /// Smoothed ratio of its service times to the mean of the service and class.
    slowness: f64,
    samples: u32,
    /// Failures since the last success.
    failure_streak: u32,
    ejected_until: Option<Instant>,
    /// True when it is only paused for [`PAUSE_TIME`] and doesn't count as ejected.
    paused: bool,
    ejections: u32,
    /// Successes that it still needs to end its probation.
    probation: u32,
}

impl Upstream {
    /// Slots that this node may use now.
    fn usable(&self) -> usize {
        if self.leaving || self.ejected_until.is_some() {
            0
        } else if self.probation > 0 {
            self.slot_limit.min(1)
        } else {
            self.slot_limit
        }
    }

    /// Busy slots by the last report and the attempts sent since, or `None` when the report is too old.
    fn reported_load(&self, now: Instant) -> Option<u32> {
        let age = now.saturating_duration_since(self.reported_at?);
        (age <= LOAD_REPORT_LIFETIME).then_some(self.reported_busy + self.sent_since)
    }

    /// Slots in use by this node, or by all nodes when a recent report says more.
    fn load(&self, now: Instant) -> f64 {
        let own = self.in_flight as f64;
        self.reported_load(now).map_or(own, |load| own.max(f64::from(load)))
    }

    /// Rank for a request that avoids `avoid`, the lowest first: another data centre, another rack, another VM, then
    /// itself.
    fn domain_rank(&self, avoid: Option<&Upstream>) -> u32 {
        match avoid {
            None => 0,
            Some(avoid) if avoid.vm == self.vm => 3,
            Some(avoid) if avoid.rack == self.rack => 2,
            Some(avoid) if avoid.centre == self.centre => 1,
            Some(_) => 0,
        }
    }
}

/// Result of an attempt as it affects the health of an upstream.
pub(crate) enum HealthSample {
    /// Complete answer; holds the ratio of its service time to the mean.
    Success(f64),
    /// Explicit refusal because the slots are busy: neither a success nor a failure.
    Busy,
    /// No connection, no answer or an error.
    Failure,
}

/// A chosen upstream and the ones it was compared with.
pub(crate) struct Chosen {
    pub(crate) key: UpstreamKey,
    pub(crate) candidates: Vec<UpstreamKey>,
    pub(crate) borrowed: bool,
}

/// Criteria by which an upstream is chosen for a request.
pub(crate) struct Criteria<'a> {
    pub(crate) avoid: Option<&'a VmId>,
    pub(crate) centre: &'a DataCentreId,
    pub(crate) may_borrow: bool,
}

/// Upstreams of one pool.
pub(crate) struct Upstreams {
    selection: Selection,
    /// Concurrent requests per upstream, over all nodes.
    slots: usize,
    /// Connections that this node may open to one upstream.
    connections: usize,
    all: SlotMap<UpstreamKey, Upstream>,
    index: HashMap<VmId, UpstreamKey>,
    /// Upstreams that are not leaving.
    members: Vec<UpstreamKey>,
    /// Upstreams with a free slot in this node's share.
    free: Vec<UpstreamKey>,
    capacity: usize,
    ejected: usize,
    any_paused: bool,
    /// Time of the last result of [`Upstreams::peer_rates()`], and the result.
    peer_rates: Option<(Instant, Option<(f64, f64)>)>,
}

impl Upstreams {
    pub(crate) fn new(selection: Selection) -> Self {
        Upstreams {
            selection,
            slots: 0,
            connections: 0,
            all: SlotMap::with_key(),
            index: HashMap::new(),
            members: Vec::new(),
            free: Vec::new(),
            capacity: 0,
            ejected: 0,
            any_paused: false,
            peer_rates: None,
        }
    }

    /// Slots that this node may use without borrowing: its share of the upstreams that accept work.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// True when an upstream accepts new work, now or after its ejection.
    pub(crate) fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    pub(crate) fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.all.get(key)
    }

    pub(crate) fn find(&self, vm: &VmId) -> Option<&Upstream> {
        self.index.get(vm).and_then(|&key| self.all.get(key))
    }

    /// True while an ejected or paused upstream is to be readmitted.
    pub(crate) fn any_ejected(&self) -> bool {
        self.ejected > 0 || self.any_paused
    }

    /// Applies a new view. Upstreams that it doesn't list are leaving.
    pub(crate) fn update(&mut self, view: &PoolView, entry: Option<&PoolEntry>) {
        for upstream in self.all.values_mut() {
            upstream.leaving = true;
        }
        if let Some(entry) = entry {
            self.slots = entry.slots as usize;
            let nodes = view.node_count.max(1);
            self.connections = (entry.connections / nodes).max(1) as usize;
            let mut sorted: Vec<_> = entry.upstreams.iter().collect();
            sorted.sort_by(|a, b| a.vm.cmp(&b.vm));
            let node = (u64::from(view.node_index % nodes), u64::from(nodes));
            let count = sorted.len() as u64;
            for (rank, listed) in sorted.iter().enumerate() {
                let key = self.get_or_insert(&listed.vm, &listed.centre, &listed.rack);
                let share = slots::slot_share(
                    self.selection,
                    entry.slots.into(),
                    (rank as u64, count),
                    node,
                );
                let upstream = &mut self.all[key];
                upstream.centre = listed.centre.clone();
                upstream.rack = listed.rack.clone();
                upstream.leaving = listed.leaving;
                upstream.slot_limit = (share as usize).min(self.connections);
            }
            self.ensure_slot(node.0 as usize);
        }
        self.all.retain(|_, u| !u.leaving || u.in_flight > 0);
        self.index.retain(|_, key| self.all.contains_key(*key));
        let mut members: Vec<_> =
            self.all.iter().filter(|(_, u)| !u.leaving).map(|(k, _)| k).collect();
        members.sort_by(|a, b| self.all[*a].vm.cmp(&self.all[*b].vm));
        self.members = members;
        self.peer_rates = None;
        self.rebuild_free_list();
    }

    /// Lets a node without a share use one slot. A pool with fewer slots than nodes leaves some nodes without a share;
    /// the upstream refuses requests beyond its slots.
    fn ensure_slot(&mut self, index: usize) {
        let active: Vec<_> = self.all.iter().filter(|(_, u)| !u.leaving).map(|(k, _)| k).collect();
        if !active.is_empty() && active.iter().all(|&k| self.all[k].slot_limit == 0) {
            self.all[active[index % active.len()]].slot_limit = 1;
        }
    }

    fn get_or_insert(&mut self, vm: &VmId, centre: &DataCentreId, rack: &RackId) -> UpstreamKey {
        if let Some(&key) = self.index.get(vm) {
            return key;
        }
        let key = self.all.insert(Upstream {
            vm: vm.clone(),
            centre: centre.clone(),
            rack: rack.clone(),
            leaving: false,
            in_flight: 0,
            slot_limit: 0,
            free_index: None,
            reported_busy: 0,
            reported_at: None,
            sent_since: 0,
            failure_rate: 0.0,
            slowness: 1.0,
            samples: 0,
            failure_streak: 0,
            ejected_until: None,
            paused: false,
            ejections: 0,
            probation: 0,
        });
        self.index.insert(vm.clone(), key);
        key
    }

    /// Rebuilds the free list, and counts the capacity and the ejected upstreams again.
    fn rebuild_free_list(&mut self) {
        self.free.clear();
        self.capacity = 0;
        self.ejected = 0;
        self.any_paused = false;
        for (key, upstream) in &mut self.all {
            self.capacity += upstream.usable();
            let ejected = upstream.ejected_until.is_some() && !upstream.paused;
            self.ejected += usize::from(ejected && !upstream.leaving);
            self.any_paused |= upstream.paused;
            upstream.free_index = None;
            if upstream.in_flight < upstream.usable() {
                upstream.free_index = Some(self.free.len());
                self.free.push(key);
            }
        }
    }

    /// Adds an upstream to the free list or removes it, after its slots in use have changed.
    fn update_free_list(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.all.get_mut(key) else {
            return;
        };
        let has_room = upstream.in_flight < upstream.usable();
        match (has_room, upstream.free_index) {
            (true, None) => {
                upstream.free_index = Some(self.free.len());
                self.free.push(key);
            }
            (false, Some(at)) => {
                upstream.free_index = None;
                self.free.swap_remove(at);
                if let Some(&moved) = self.free.get(at) {
                    self.all[moved].free_index = Some(at);
                }
            }
            _ => {}
        }
    }

    /// Chooses an upstream with a free slot, borrowed if need be, or returns `None`.
    pub(crate) fn choose(
        &self,
        criteria: &Criteria<'_>,
        rng: &mut Pcg64Mcg,
        now: Instant,
    ) -> Option<Chosen> {
        if !self.free.is_empty() {
            return Some(self.choose_free(criteria, rng, now));
        }
        let may_borrow = self.selection == Selection::Borrowing && criteria.may_borrow;
        may_borrow.then(|| self.borrow(rng, now)).flatten()
    }

    /// Chooses the best of a few random upstreams with a free slot in this node's share.
    fn choose_free(&self, criteria: &Criteria<'_>, rng: &mut Pcg64Mcg, now: Instant) -> Chosen {
        let avoid = criteria.avoid.and_then(|vm| self.find(vm));
        let draws = if avoid.is_some() { AVOID_CANDIDATES } else { 2 };
        let mut candidates: Vec<UpstreamKey> = if self.free.len() <= draws {
            self.free.clone()
        } else {
            (0..draws).map(|_| self.free[rng.random_range(0..self.free.len())]).collect()
        };
        candidates.dedup();
        let rank = |key: &UpstreamKey| {
            let upstream = &self.all[*key];
            let far = upstream.centre != *criteria.centre;
            (upstream.domain_rank(avoid), upstream.load(now), far)
        };
        let key = *candidates
            .iter()
            .min_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("loads are finite"))
            .expect("the free list is not empty");
        Chosen { key, candidates, borrowed: false }
    }

    /// Chooses a slot beyond this node's share that recent answers report as free. A wrong guess costs one refusal,
    /// which proves that the request did not run.
    fn borrow(&self, rng: &mut Pcg64Mcg, now: Instant) -> Option<Chosen> {
        if self.members.is_empty() {
            return None;
        }
        let slots = self.slots as u32;
        let draw = |rng: &mut Pcg64Mcg| self.members[rng.random_range(0..self.members.len())];
        let candidates = vec![draw(rng), draw(rng)];
        let usable_load = |key: &UpstreamKey| {
            let upstream = &self.all[*key];
            let healthy = upstream.ejected_until.is_none() && upstream.probation == 0;
            let load = upstream.reported_load(now)?;
            let fits = load + BORROW_HEADROOM < slots
                && upstream.in_flight < self.connections.min(self.slots);
            (healthy && fits).then_some(load)
        };
        let best = candidates.iter().filter_map(|k| usable_load(k).map(|load| (load, *k)));
        let (_, key) = best.min_by_key(|(load, _)| *load)?;
        Some(Chosen { key, candidates, borrowed: true })
    }

    /// Counts an attempt that is sent to an upstream.
    pub(crate) fn start(&mut self, key: UpstreamKey) {
        let upstream = &mut self.all[key];
        assert!(!upstream.leaving, "a leaving upstream gets no new requests");
        upstream.in_flight += 1;
        upstream.sent_since += 1;
        assert!(
            upstream.in_flight <= self.slots,
            "attempts in flight at an upstream are at most its slots"
        );
        self.update_free_list(key);
    }

    /// Counts the end of an attempt.
    pub(crate) fn finish(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.all.get_mut(key) else {
            return;
        };
        upstream.in_flight -= 1;
        if upstream.leaving && upstream.in_flight == 0 {
            self.index.remove(&upstream.vm);
            self.all.remove(key);
            return;
        }
        self.update_free_list(key);
    }

    /// Records the busy slots that an answer reports.
    pub(crate) fn record_load(&mut self, key: UpstreamKey, load: u32, now: Instant) {
        if let Some(upstream) = self.all.get_mut(key) {
            (upstream.reported_busy, upstream.reported_at, upstream.sent_since) =
                (load, Some(now), 0);
        }
    }

    /// Records the health of an attempt. Returns true when the upstream is ejected.
    pub(crate) fn record_health(
        &mut self,
        key: UpstreamKey,
        sample: HealthSample,
        now: Instant,
    ) -> bool {
        let Some(upstream) = self.all.get_mut(key) else {
            return false;
        };
        let on_probation = upstream.probation > 0;
        if !matches!(sample, HealthSample::Busy) {
            upstream.samples = upstream.samples.saturating_add(1);
        }
        match sample {
            HealthSample::Busy => return false,
            HealthSample::Success(slowness) => {
                upstream.failure_streak = 0;
                upstream.failure_rate *= 1.0 - SMOOTHING_FACTOR;
                upstream.slowness += SMOOTHING_FACTOR * (slowness - upstream.slowness);
                upstream.probation = upstream.probation.saturating_sub(1);
                if upstream.probation == 0 && on_probation {
                    self.rebuild_free_list();
                }
            }
            HealthSample::Failure => {
                upstream.failure_streak += 1;
                let weight = if on_probation { 1.0 } else { SMOOTHING_FACTOR };
                upstream.failure_rate += weight * (1.0 - upstream.failure_rate);
            }
        }
        self.is_outlier(key, now) && self.eject(key, now)
    }

    fn is_outlier(&mut self, key: UpstreamKey, now: Instant) -> bool {
        let upstream = &self.all[key];
        if upstream.leaving || upstream.ejected_until.is_some() {
            return false;
        }
        let (rate, slowness, samples) =
            (upstream.failure_rate, upstream.slowness, upstream.samples);
        let failing = upstream.failure_streak >= CONSECUTIVE_FAILURES
            || (upstream.failure_streak > 0 && upstream.probation > 0)
            || rate >= FAILURE_RATE_THRESHOLD;
        let slow = samples >= MIN_SLOW_SAMPLES && slowness >= SLOW_FACTOR;
        if !failing && !slow {
            return false;
        }
        let Some((peer_rate, peer_slowness)) = self.peer_rates(now) else {
            return false;
        };
        let worse =
            peer_rate < FAILURE_RATE_THRESHOLD && rate > PEER_FACTOR * peer_rate + PEER_MARGIN;
        (failing && worse) || (slow && slowness > SLOW_FACTOR * peer_slowness)
    }

    /// Failure rate and slowness that a third of the upstreams with enough attempts don't exceed, or `None` when they
    /// are too few.
    fn peer_rates(&mut self, now: Instant) -> Option<(f64, f64)> {
        if let Some((at, rates)) = self.peer_rates
            && now.saturating_duration_since(at) < PEER_RATES_LIFETIME
        {
            return rates;
        }
        let peers = self.members.iter().map(|&k| &self.all[k]);
        let peers: Vec<_> = peers.filter(|u| u.samples >= MIN_PEER_SAMPLES).collect();
        let healthy = |value: fn(&Upstream) -> f64| {
            let mut values: Vec<f64> = peers.iter().map(|u| value(u)).collect();
            let position = values.len() / HEALTHY_DIVISOR;
            *values.select_nth_unstable_by(position, f64::total_cmp).1
        };
        let enough = peers.len() > MIN_PEERS;
        let rates = enough.then(|| (healthy(|u| u.failure_rate), healthy(|u| u.slowness)));
        self.peer_rates = Some((now, rates));
        rates
    }

    /// Ejects an upstream and returns true. Once a third of the pool is ejected, an outlier is only paused. It gets
    /// that pause because an upstream that fails fast is always free and would attract most of the requests.
    fn eject(&mut self, key: UpstreamKey, now: Instant) -> bool {
        let at_limit = self.ejected >= self.members.len() / 3;
        let upstream = &mut self.all[key];
        if at_limit {
            upstream.paused = true;
            upstream.ejected_until = Some(now + PAUSE_TIME);
            self.rebuild_free_list();
            return false;
        }
        let duration =
            MIN_EJECTION_TIME.saturating_mul(1 << upstream.ejections.min(4)).min(MAX_EJECTION_TIME);
        upstream.ejected_until = Some(now + duration);
        upstream.ejections += 1;
        self.rebuild_free_list();
        true
    }

    /// Readmits upstreams whose ejection or pause is over, on probation.
    pub(crate) fn readmit(&mut self, now: Instant) {
        if !self.any_ejected() {
            return;
        }
        for upstream in self.all.values_mut() {
            if upstream.ejected_until.is_some_and(|until| until <= now) {
                upstream.ejected_until = None;
                upstream.paused = false;
                upstream.probation = PROBATION_SUCCESSES;
                (upstream.failure_streak, upstream.failure_rate) = (0, 0.0);
                (upstream.samples, upstream.slowness) = (0, 1.0);
            }
        }
        self.peer_rates = None;
        self.rebuild_free_list();
    }

    /// Compares the values that are kept incrementally with a recount.
    pub(crate) fn check_invariants(&self) {
        let capacity: usize = self.all.values().map(Upstream::usable).sum();
        assert_eq!(capacity, self.capacity, "capacity");
        for (key, upstream) in &self.all {
            let listed = upstream.free_index.is_some_and(|at| self.free[at] == key);
            assert_eq!(listed, upstream.in_flight < upstream.usable(), "free list");
            assert!(
                !upstream.leaving || upstream.in_flight > 0,
                "an idle leaving upstream is removed"
            );
        }
        assert_eq!(self.free.len(), self.all.values().filter(|u| u.free_index.is_some()).count());
    }
}
