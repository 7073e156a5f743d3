//! The owner's view of a worker.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use cj_types::{Resources, ServiceId, VmId};
use compact_str::CompactString;
use slotmap::new_key_type;

use crate::{
    job::{StepSpec, TaskId},
    sched::{
        call_history::{CallHistory, ListingRequest},
        event::{Target, WorkerId, WorkerRegistration},
        learn::Slowness,
        ledger::Charge,
        settings::{MIN_CLOCK_RATE, RUN_LEASE},
        work::TaskRef,
    },
};

new_key_type! {
    /// Key of a worker in the scheduler's state.
    pub(super) struct WorkerKey;
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    /// When the answer with the reading arrived.
    pub(super) at: Instant,
    /// The reading, in ms.
    pub(super) value: u64,
}

/// A worker, as known from its registration and its listings.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) id: WorkerId,
    pub(super) service: ServiceId,
    pub(super) address: CompactString,
    pub(super) capacity: Resources,
    pub(super) labels: Vec<CompactString>,
    /// The worker announced that it is about to leave; it gets no new tasks.
    pub(super) draining: bool,
    /// Earliest time at which it leaves.
    pub(super) leaves_at: Option<Instant>,
    /// When its present incarnation became known.
    pub(super) known_since: Instant,
    /// It is registered at present.
    pub(super) registered: bool,
    /// Start of its process, in Unix milliseconds; it identifies the incarnation.
    pub(super) started_at: Option<u64>,
    pub(super) clock: Option<ClockReading>,
    /// When it first answered under this owner's fencing token; since then it carries out no commands of earlier owners.
    pub(super) reconciled_at: Option<Instant>,
    /// VM that a list of VMs last named it on.
    pub(super) vm: Option<VmId>,
    /// Consecutive lists of VMs without a running VM that names it.
    pub(super) unnamed_lists: u8,
    /// Its last listing named a task whose submission this owner may not have read yet.
    pub(super) unread_submission: bool,
    /// Its last listing named only the oldest of its ends, so a run that isn't listed may be among the others.
    pub(super) unlisted_ends: bool,
    pub(super) used: Resources,
    pub(super) runs: Vec<TaskRef>,
    /// Number of runs there that belong to no task. They use capacity until they end, so it gets no new tasks before.
    pub(super) orphan_runs: usize,
    /// What these runs are charged to.
    pub(super) orphans: Vec<Charge>,
    /// Stops of such runs whose answers are outstanding.
    pub(super) orphan_stops: HashSet<(TaskId, u64)>,
    /// Ends up to this number are processed.
    pub(super) ends_processed: u64,
    /// The effects of the ends up to this number are durable.
    pub(super) ends_durable: u64,
    /// Ends up to this number have been acknowledged.
    pub(super) ends_acknowledged: u64,
    /// The request for a listing that is unanswered.
    pub(super) listing: Option<ListingRequest>,
    /// Calls that a later incarnation may carry out.
    pub(super) calls: CallHistory,
    /// Until then an acknowledgement that was meant for an earlier incarnation may make this one forget ends that nobody has read,
    /// so it gets no finite tasks.
    pub(super) late_ack_until: Option<Instant>,
    /// When the next listing is due; `None` if none is needed.
    pub(super) next_listing: Option<Instant>,
    /// Time by which every lease that this owner granted to the worker, or may have taken over, has ended.
    pub(super) lease_end: Option<Instant>,
    /// Time by which the leases have ended that it may hold by calls meant for an earlier incarnation. It concerns only runs there.
    pub(super) foreign_lease_end: Option<Instant>,
    /// When it last answered.
    pub(super) last_answer: Option<Instant>,
    /// This owner moved or maintained its VM when all runs there were known, and a list of VMs showed the worker gone.
    pub(super) known_shutdown: bool,
    /// Consecutive requests for a listing without an answer.
    pub(super) missed_listings: u32,
    /// It gets no new tasks until then.
    pub(super) paused_until: Option<Instant>,
    /// Until then it gets new tasks only when no other worker can take them.
    pub(super) quarantined_until: Option<Instant>,
    /// When its runs are expected to have ended; `None` without runs.
    pub(super) busy_until: Option<Instant>,
    /// Consecutive failed runs.
    pub(super) failures: u32,
    /// Its VM is being drained for a move or for maintenance, so it gets no new tasks.
    pub(super) vm_draining: bool,
    /// A wave still has to maintain its VM.
    pub(super) maintenance_due: bool,
    /// It is reserved for a long-running task until then.
    pub(super) reserved_until: Option<Instant>,
    /// It is kept free until then for a task that may have crashed workers.
    pub(super) isolated_until: Option<Instant>,
    /// Moving average of its run times in multiples of the expected ones; above 1 it is slower than other workers.
    pub(super) slowness: f32,
    /// How much longer its runs take than others of the same steps.
    pub(super) run_slowness: Slowness,
    /// Queues of which the policy service last allowed a step on it.
    pub(super) allowed_queues: Vec<CompactString>,
    /// Percentage of their speed to which best-effort tasks on it are limited.
    pub(super) pace: u8,
    /// When `pace` last changed.
    pub(super) pace_changed: Option<Instant>,
}

/// Longest time that an answer with a reading of the clock is under way.
const CLOCK_SLACK: Duration = Duration::from_secs(1);

/// Weight of a new observation in a worker's slowness.
const SLOWNESS_GAIN: f32 = 0.25;

impl Worker {
    pub(super) fn new(registration: WorkerRegistration, now: Instant) -> Self {
        let mut worker = Worker {
            id: registration.id.clone(),
            service: registration.service.clone(),
            address: registration.address.clone(),
            capacity: registration.capacity,
            labels: Vec::new(),
            draining: false,
            leaves_at: None,
            known_since: now,
            registered: true,
            started_at: None,
            clock: None,
            reconciled_at: None,
            vm: None,
            unnamed_lists: 0,
            unread_submission: false,
            unlisted_ends: false,
            used: Resources::default(),
            runs: Vec::new(),
            orphan_runs: 0,
            orphans: Vec::new(),
            orphan_stops: HashSet::new(),
            ends_processed: 0,
            ends_durable: 0,
            ends_acknowledged: 0,
            listing: None,
            calls: CallHistory::default(),
            late_ack_until: None,
            next_listing: Some(now),
            lease_end: None,
            foreign_lease_end: None,
            last_answer: None,
            known_shutdown: false,
            missed_listings: 0,
            paused_until: None,
            quarantined_until: None,
            busy_until: None,
            failures: 0,
            vm_draining: false,
            maintenance_due: false,
            reserved_until: None,
            isolated_until: None,
            slowness: 1.0,
            run_slowness: Slowness::default(),
            allowed_queues: Vec::new(),
            pace: 100,
            pace_changed: None,
        };
        worker.update(registration, now);
        worker
    }

    /// Applies a registration.
    pub(super) fn update(&mut self, registration: WorkerRegistration, now: Instant) {
        self.service = registration.service;
        self.address = registration.address;
        self.capacity = registration.capacity;
        self.labels = registration.labels;
        self.draining = registration.draining;
        self.leaves_at = registration.remaining.map(|remaining| now + remaining);
        self.registered = true;
    }

    /// Resets the state that belongs to the previous incarnation. `longest` is the longest time that a lease lasts from when a
    /// worker accepts it.
    pub(super) fn begin_incarnation(
        &mut self,
        started_at: Option<u64>,
        now: Instant,
        longest: Duration,
    ) {
        if let Some(listing) = self.listing {
            self.calls.miss_listing(listing, now);
        }
        self.expect_late_calls(now, longest);
        self.started_at = started_at;
        self.known_since = now;
        self.unnamed_lists = 0;
        self.known_shutdown = false;
        self.clock = None;
        self.orphan_runs = 0;
        self.orphan_stops.clear();
        self.ends_processed = 0;
        self.ends_durable = 0;
        self.ends_acknowledged = 0;
        self.lease_end = None;
        self.reconciled_at = None;
        self.unread_submission = false;
        self.unlisted_ends = false;
        self.failures = 0;
        self.pace = 100;
        self.vm_draining = false;
        self.reserved_until = None;
        self.isolated_until = None;
        self.missed_listings = 0;
        self.next_listing = Some(now);
    }

    /// Time by which the leases of the runs there have ended.
    pub(super) fn last_lease_end(&self) -> Option<Instant> {
        let foreign = self.foreign_lease_end.filter(|_| !self.runs.is_empty());
        self.lease_end.max(foreign)
    }

    /// Allows for calls that were meant for an earlier incarnation.
    pub(super) fn expect_late_calls(&mut self, now: Instant, longest: Duration) {
        self.late_ack_until = self.calls.late_ack_until();
        self.foreign_lease_end = self.calls.foreign_lease_end(now, longest);
    }

    pub(super) fn target(&self) -> Target {
        Target { worker: self.id.clone(), address: self.address.clone() }
    }

    /// Grants a lease with a command sent now. It lasts at most until `limit`, and for at most `max_lease`, also on a slow clock:
    /// the next owner counts on that. Returns its end in ms on the worker's clock, or `None` when that clock isn't known, and
    /// extends `lease_end`.
    pub(super) fn grant_lease(
        &mut self,
        now: Instant,
        limit: Instant,
        max_lease: Duration,
    ) -> Option<u64> {
        let clock = self.clock?;
        self.calls.grant(now);
        let lease = RUN_LEASE.min(max_lease).min(limit.saturating_duration_since(now));
        let end = now + lease;
        let span = end.saturating_duration_since(clock.at).mul_f64(MIN_CLOCK_RATE);
        self.lease_end = Some(self.lease_end.map_or(end, |known| known.max(end)));
        Some(clock.value.saturating_add(span.as_millis() as u64))
    }

    /// True while finite tasks may be started on it as far as their ends are concerned.
    pub(super) fn keeps_ends(&self, now: Instant) -> bool {
        self.late_ack_until.is_none_or(|until| until <= now)
    }

    /// True if an answer to a command sent at `sent` was given by the incarnation that listed its runs last: the clock in it, in
    /// ms, is where that of this incarnation must be. The clock of a later one has begun anew.
    pub(super) fn has_clock(&self, clock: u64, sent: Instant, now: Instant) -> bool {
        let Some(known) = self.clock else { return false };
        let ms = |duration: Duration| duration.as_millis() as u64;
        let earliest = match sent.checked_duration_since(known.at) {
            Some(passed) => known.value.saturating_add(ms(passed.mul_f64(MIN_CLOCK_RATE))),
            None => known.value.saturating_sub(ms(known.at - sent)),
        };
        let passed = now.saturating_duration_since(known.at) + CLOCK_SLACK;
        (earliest..=known.value.saturating_add(ms(passed))).contains(&clock)
    }

    /// True when all its ends are listed and their effects are durable. Its VM may be moved or maintained only then, because
    /// the list of ends is lost with the worker.
    pub(super) fn has_durable_ends(&self) -> bool {
        !self.unlisted_ends && self.ends_processed <= self.ends_durable
    }

    /// Free capacity.
    pub(super) fn free(&self) -> Resources {
        self.capacity.minus(self.used)
    }

    /// True when all runs on it, and all ends that aren't acknowledged, are known to this owner.
    pub(super) fn runs_known(&self) -> bool {
        self.is_reconciled() && !self.has_unknown_runs()
    }

    /// True when it has answered under this owner's fencing token.
    pub(super) fn is_reconciled(&self) -> bool {
        self.reconciled_at.is_some()
    }

    /// True when its last listing left open what became of some runs.
    pub(super) fn has_unknown_runs(&self) -> bool {
        self.unread_submission || self.unlisted_ends
    }

    /// True while it is kept free for a task that may have crashed workers.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.isolated_until.is_some_and(|until| now < until)
    }

    /// True when it may get new tasks.
    pub(super) fn accepts_tasks(&self, now: Instant) -> bool {
        self.registered
            && self.runs_known()
            && !self.draining
            && !self.vm_draining
            && self.missed_listings == 0
            && self.orphan_runs == 0
            && self.clock.is_some()
            && self.paused_until.is_none_or(|until| until <= now)
    }

    /// True if it has the label that the step requires, if any.
    pub(super) fn has_label_for(&self, spec: &StepSpec) -> bool {
        spec.requires.as_ref().is_none_or(|label| self.labels.contains(label))
    }

    /// The rack, which is the last label.
    pub(super) fn rack(&self) -> Option<&CompactString> {
        self.labels.last()
    }

    /// Makes the next listing due at `at` at the latest.
    pub(super) fn list_by(&mut self, at: Instant) {
        self.next_listing = Some(self.next_listing.map_or(at, |known| known.min(at)));
    }

    /// Updates the slowness from a run that took `actual` instead of `expected`.
    pub(super) fn observe(&mut self, actual: Duration, expected: Duration) {
        let ratio = actual.as_secs_f32() / expected.as_secs_f32().max(0.05);
        let ratio = ratio.clamp(0.2, 10.0);
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness);
    }
}
