//! The router: tracks each request from its offer to its end, and decides when and where it is sent.

mod dispatch;
mod inspect;
mod timers;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    fmt,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use cj_types::{ClassId, PoolId, ServiceId, VmId};

use crate::{
    budget::RetryBudget,
    options::Options,
    queue::ClassQueue,
    times::ServiceTimes,
    types::{Action, Admission, Completion, Counters, Refusal, Request, Ticket},
    upstreams::{Chosen, Criteria, HealthSample, UpstreamKey, Upstreams},
    view::PoolView,
};

/// Attempts per request, the first one included.
const MAX_ATTEMPTS: u32 = 3;
/// Mean wait before the first retry; doubles with each further one.
const RETRY_BACKOFF: Duration = Duration::from_millis(10);
/// Shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// `retry_after` of a refusal that only a change of the fleet can resolve.
const FLEET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Limit of queued requests per class and pool; bounds the memory when deadlines are long.
const MAX_WAITING: usize = 1 << 17;
/// A queue delay above the class's deadline divided by this counts as overload.
const DELAY_TARGET_DIVISOR: u32 = 10;
/// Interval at which queues are checked for a loss of slots.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of its slots that a class must have lost since the last check before its queued requests are checked again.
const SLOT_LOSS_THRESHOLD: f64 = 0.2;
/// Outdated timers that the heap may hold, beyond one per waiting ticket, before it is compacted.
const STALE_TIMER_SLACK: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Backoff,
    Running { upstream: UpstreamKey, started_at: Instant, borrowed: bool },
}

/// A request that has not ended. `pool`, `class`, `team` and `service` are indices into the lists of the router.
struct TicketEntry {
    request: Request,
    pool: usize,
    class: usize,
    team: usize,
    service: usize,
    /// Expected service time in seconds, as charged to the team.
    cost: f64,
    queued_at: Instant,
    attempts: u32,
    may_have_run: bool,
    /// False once an upstream refused a borrowed slot.
    may_borrow: bool,
    stage: Stage,
    /// Time of the valid timer; other timers of this ticket in the heap are outdated.
    timer: Option<Instant>,
}

struct Pool {
    id: PoolId,
    classes: Vec<ClassQueue>,
    class_index: HashMap<ClassId, usize>,
    upstreams: Upstreams,
    budget: RetryBudget,
}

struct Service {
    pool: Option<usize>,
    /// Pool in which `times` were observed.
    measured_pool: usize,
    /// Service times by class index of that pool.
    times: Vec<ServiceTimes>,
}

impl Service {
    fn times(&mut self, class: usize) -> &mut ServiceTimes {
        while self.times.len() <= class {
            self.times.push(ServiceTimes::new());
        }
        &mut self.times[class]
    }
}

/// Admits requests, queues them and chooses their upstreams.
pub struct Router {
    rng: Pcg64Mcg,
    options: Options,
    view: PoolView,
    pools: Vec<Pool>,
    pool_index: BTreeMap<PoolId, usize>,
    services: Vec<Service>,
    service_index: HashMap<ServiceId, usize>,
    tickets: SlotMap<Ticket, TicketEntry>,
    /// Tickets that wait in a queue or for the end of their backoff.
    waiting: usize,
    timers: BinaryHeap<Reverse<(Instant, Ticket)>>,
    /// Actions to be returned by the next call that returns any.
    pending: Vec<Action>,
    last_check: Option<Instant>,
    counters: Counters,
}

impl Router {
    /// Creates a router without pools. A seeded `rng` makes its choices reproducible.
    pub fn new(rng: Pcg64Mcg) -> Self {
        Router::with_options(rng, Options::default())
    }

    /// Creates a router with the given options.
    pub fn with_options(rng: Pcg64Mcg, options: Options) -> Self {
        Router {
            rng,
            options,
            view: PoolView::default(),
            pools: Vec::new(),
            pool_index: BTreeMap::new(),
            services: Vec::new(),
            service_index: HashMap::new(),
            tickets: SlotMap::with_key(),
            waiting: 0,
            timers: BinaryHeap::new(),
            pending: Vec::new(),
            last_check: None,
            counters: Counters::default(),
        }
    }

    /// Replaces the view of the fleet. Leaving upstreams get no new work from now on. Requests that the new view can't
    /// serve are given up by the next [`Router::poll`].
    pub fn update(&mut self, view: PoolView, now: Instant) {
        self.view = view;
        for id in self.view.pools.keys() {
            if !self.pool_index.contains_key(id) {
                self.pool_index.insert(id.clone(), self.pools.len());
                self.pools.push(Pool {
                    id: id.clone(),
                    classes: Vec::new(),
                    class_index: HashMap::new(),
                    upstreams: Upstreams::new(self.options.selection),
                    budget: RetryBudget::new(self.options.retry_ratio),
                });
            }
        }
        for pool in &mut self.pools {
            let entry = self.view.pools.get(&pool.id);
            pool.upstreams.update(&self.view, entry);
            pool.upstreams.readmit(now);
            update_classes(pool, &self.view);
        }
        self.update_services();
        self.give_up_unservable();
        self.last_check = None;
    }

    fn update_services(&mut self) {
        for service in &mut self.services {
            service.pool = None;
        }
        for (id, entry) in &self.view.pools {
            let pool = self.pool_index[id];
            for service in &entry.services {
                let index =
                    *self.service_index.entry(service.clone()).or_insert(self.services.len());
                if index == self.services.len() {
                    self.services.push(Service {
                        pool: None,
                        measured_pool: pool,
                        times: Vec::new(),
                    });
                }
                let entry = &mut self.services[index];
                entry.pool = Some(pool);
                // Service times are indexed by the classes of the pool, so those of another pool don't apply.
                if entry.measured_pool != pool {
                    entry.measured_pool = pool;
                    entry.times.clear();
                }
            }
        }
    }

    /// Gives up the waiting requests of classes that are no longer accepted and of pools without upstreams.
    fn give_up_unservable(&mut self) {
        let mut unservable = Vec::new();
        for pool in &self.pools {
            for class in &pool.classes {
                let reason = if !class.accepted {
                    Refusal::ClassNotAccepted
                } else if !pool.upstreams.has_members() {
                    Refusal::NoUpstream
                } else {
                    continue;
                };
                let teams = class.active().iter().flat_map(|&t| class.teams[t].tickets());
                unservable.extend(teams.filter(|&t| self.is_queued(t)).map(|t| (t, reason)));
            }
        }
        for (ticket, reason) in unservable {
            let action = self.give_up_waiting(ticket, reason, FLEET_RETRY_AFTER);
            self.pending.extend(action);
        }
    }

    /// Admits, queues or refuses a request. A refused request did not run and never will.
    pub fn offer(&mut self, request: Request, now: Instant) -> Admission {
        let known = self.service_index.get(&request.service).copied();
        let Some((service, pool)) = known.and_then(|s| Some((s, self.services[s].pool?))) else {
            return self.refuse(&request, Refusal::UnknownService, FLEET_RETRY_AFTER);
        };
        let classes = &self.pools[pool].class_index;
        let class = classes.get(&request.class).copied();
        let Some(class) = class.filter(|&c| self.pools[pool].classes[c].accepted) else {
            return self.refuse(&request, Refusal::ClassNotAccepted, FLEET_RETRY_AFTER);
        };
        if !self.pools[pool].upstreams.has_members() {
            return self.refuse(&request, Refusal::NoUpstream, FLEET_RETRY_AFTER);
        }
        let view = &self.view;
        let queue = &mut self.pools[pool].classes[class];
        let team = queue.ensure_team(
            &request.team,
            || weight_and_quota(view.teams.get(&request.team)),
            now,
        );
        queue.advance_idle_team(team);
        let times = self.services[service].times(class);
        let (mean, p50) = (times.mean.as_secs_f64(), times.p50);
        let remaining = request.deadline.saturating_duration_since(now);
        let infeasible = remaining < p50 && !self.services[service].times(class).try_probe(now);
        if remaining.is_zero() || infeasible {
            return self.refuse(&request, Refusal::Deadline, MIN_RETRY_AFTER);
        }
        let entry = TicketEntry {
            request,
            pool,
            class,
            team,
            service,
            cost: mean,
            queued_at: now,
            attempts: 0,
            may_have_run: false,
            may_borrow: true,
            stage: Stage::Waiting,
            timer: None,
        };
        match self.next_class(pool, now) {
            // No request of the pool is waiting for a slot that this class may use.
            None if self.is_below_cap(pool, class) => {
                let criteria = criteria(&entry);
                let upstreams = &self.pools[pool].upstreams;
                if let Some(chosen) = upstreams.choose(&criteria, &mut self.rng, now) {
                    return self.admit(entry, chosen, now);
                }
                self.enqueue(entry, now)
            }
            _ => self.enqueue(entry, now),
        }
    }

    fn admit(&mut self, entry: TicketEntry, chosen: Chosen, now: Instant) -> Admission {
        self.pools[entry.pool].budget.deposit();
        let ticket = self.tickets.insert(entry);
        let upstream = self.start(ticket, &chosen, "free slot", now);
        Admission::Dispatch { ticket, upstream }
    }

    /// Queues a request if it can finish before its deadline.
    fn enqueue(&mut self, mut entry: TicketEntry, now: Instant) -> Admission {
        let (pool, class, team) = (entry.pool, entry.class, entry.team);
        let queue = &self.pools[pool].classes[class];
        if queue.waiting >= MAX_WAITING {
            return self.refuse(&entry.request, Refusal::QueueFull, FLEET_RETRY_AFTER);
        }
        let slots = self.expected_slots(pool, class);
        let wait = Duration::from_secs_f64((queue.work_ahead(team) + entry.cost) / slots);
        // Under overload the estimate of the wait is least accurate, so the p99 of the service times is used.
        let overloaded = queue.team_overloaded(team, now);
        let times = self.services[entry.service].times(class);
        let service = if overloaded { times.p99 } else { times.p90 };
        let remaining = entry.request.deadline.saturating_duration_since(now);
        if wait + service > remaining {
            let excess = (wait + service).saturating_sub(remaining);
            let retry_after = self.jitter((wait + excess).max(MIN_RETRY_AFTER));
            return self.refuse(&entry.request, Refusal::Deadline, retry_after);
        }
        self.pools[pool].budget.deposit();
        entry.stage = Stage::Waiting;
        let cost = entry.cost;
        let ticket = self.tickets.insert(entry);
        self.waiting += 1;
        self.pools[pool].classes[class].push(team, ticket, cost, false);
        self.counters.queued += 1;
        self.arm_expiry(ticket);
        if log::log_enabled!(target: "decision", log::Level::Info) {
            let id = &self.tickets[ticket].request.id;
            log::info!(target: "decision", "request={id} choice=queue reason=\"no slot is free\" wait_ms={}", wait.as_millis());
        }
        Admission::Queued { ticket }
    }

    /// Handles the result of an attempt. A result for a ticket that is unknown or has no attempt in flight is counted
    /// and has no other effect.
    pub fn complete(&mut self, ticket: Ticket, result: Completion, now: Instant) -> Vec<Action> {
        let running = self.tickets.get(ticket).map(|e| e.stage);
        let Some(Stage::Running { upstream, started_at, borrowed }) = running else {
            self.counters.late_completions += 1;
            return Vec::new();
        };
        let mut actions = std::mem::take(&mut self.pending);
        let elapsed = now.saturating_duration_since(started_at);
        let pool = self.tickets[ticket].pool;
        self.release(ticket, upstream, started_at, now);
        let sample = self.health_sample(ticket, result, elapsed, now);
        let upstreams = &mut self.pools[pool].upstreams;
        if let Completion::Done { load: Some(load) } | Completion::NotRun { load: Some(load) } =
            result
        {
            upstreams.record_load(upstream, load, now);
        }
        if upstreams.record_health(upstream, sample, now) {
            self.counters.ejections += 1;
            let vm = upstreams.get(upstream).map(|u| u.vm.as_str()).unwrap_or_default();
            log::warn!(target: "decision", "upstream={vm} choice=eject reason=\"fails more than its peers\"");
        }
        match result {
            Completion::Done { .. } => {
                self.tickets.remove(ticket);
                self.counters.done += 1;
            }
            Completion::NotRun { load: Some(_) } if borrowed => {
                self.requeue_without_borrowing(ticket, now, &mut actions);
            }
            Completion::NotRun { .. } | Completion::Failed => {
                actions.extend(self.retry(ticket, result, upstream, now));
            }
        }
        self.dispatch(pool, now, &mut actions);
        actions
    }

    /// Returns the health sample of an attempt and records its service time.
    fn health_sample(
        &mut self,
        ticket: Ticket,
        result: Completion,
        elapsed: Duration,
        now: Instant,
    ) -> HealthSample {
        let entry = &self.tickets[ticket];
        match result {
            Completion::Done { .. } => {
                let times = self.services[entry.service].times(entry.class);
                let mean = times.mean;
                times.record(elapsed, now);
                HealthSample::Success(elapsed.as_secs_f64() / mean.as_secs_f64())
            }
            Completion::NotRun { load: Some(_) } => {
                self.counters.busy_rejections += 1;
                HealthSample::Busy
            }
            Completion::NotRun { load: None } | Completion::Failed => HealthSample::Failure,
        }
    }

    /// Requeues a request that was refused on a borrowed slot. The refusal proves that it did not run, and from now on
    /// it waits for a slot of this node's share, so it isn't charged to the retry budget.
    fn requeue_without_borrowing(
        &mut self,
        ticket: Ticket,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.tickets[ticket].may_borrow = false;
        self.waiting += 1;
        self.requeue(ticket, now, actions);
    }

    /// Schedules another attempt, or ends the ticket.
    fn retry(
        &mut self,
        ticket: Ticket,
        result: Completion,
        upstream: UpstreamKey,
        now: Instant,
    ) -> Option<Action> {
        let backoff = {
            let attempts = self.tickets[ticket].attempts;
            self.jitter(RETRY_BACKOFF * (1 << attempts.saturating_sub(1).min(6)))
        };
        let entry = &mut self.tickets[ticket];
        let pool = &mut self.pools[entry.pool];
        entry.may_have_run |= result == Completion::Failed;
        if let Some(failed) = pool.upstreams.get(upstream) {
            entry.request.avoid = Some(failed.vm.clone());
        }
        let p50 = self.services[entry.service].times(entry.class).p50;
        let remaining = entry.request.deadline.saturating_duration_since(now);
        let may_repeat = entry.request.idempotent || !entry.may_have_run;
        let max_attempts = MAX_ATTEMPTS + u32::from(!entry.may_borrow);
        let refusal = if !may_repeat || entry.attempts >= max_attempts {
            Some(Refusal::Failed)
        } else if remaining <= backoff + p50 {
            Some(Refusal::Deadline)
        } else if !pool.upstreams.has_members() {
            Some(Refusal::NoUpstream)
        } else if !pool.budget.try_withdraw() {
            Some(Refusal::RetryBudget)
        } else {
            None
        };
        if let Some(reason) = refusal {
            let retry_after = self.jitter(MIN_RETRY_AFTER * 2);
            return self.give_up(ticket, reason, retry_after);
        }
        entry.stage = Stage::Backoff;
        self.waiting += 1;
        self.arm(ticket, now + backoff);
        None
    }

    /// Cancels a ticket in amortised constant time. An answer that still arrives counts as late. A ticket that has
    /// ended is left as it is.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Action> {
        let Some(entry) = self.tickets.get(ticket) else {
            return Vec::new();
        };
        self.counters.cancelled += 1;
        let pool = entry.pool;
        match entry.stage {
            Stage::Waiting | Stage::Backoff => {
                self.leave_queue(ticket);
                self.tickets.remove(ticket);
                std::mem::take(&mut self.pending)
            }
            Stage::Running { upstream, started_at, .. } => {
                self.release(ticket, upstream, started_at, now);
                self.tickets.remove(ticket);
                let mut actions = std::mem::take(&mut self.pending);
                self.dispatch(pool, now, &mut actions);
                actions
            }
        }
    }

    /// Returns the actions that are due. To be called after [`Router::update`] and at the time given by
    /// [`Router::next_poll`].
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        self.fire_timers(now, &mut actions);
        let due = self.last_check.is_none_or(|at| now >= at + QUEUE_CHECK_INTERVAL);
        if due {
            self.last_check = Some(now);
            for pool in 0..self.pools.len() {
                self.pools[pool].upstreams.readmit(now);
                self.recheck_queues(pool, now, &mut actions);
            }
        }
        for pool in 0..self.pools.len() {
            self.dispatch(pool, now, &mut actions);
        }
        actions
    }
}

/// Criteria by which an upstream is chosen for a request.
fn criteria(entry: &TicketEntry) -> Criteria<'_> {
    let Request { avoid, centre, .. } = &entry.request;
    Criteria { avoid: avoid.as_ref(), centre, may_borrow: entry.may_borrow }
}

/// Applies the class settings. Guaranteed shares that add up to more than the pool are scaled down to it.
fn update_classes(pool: &mut Pool, view: &PoolView) {
    for class in &mut pool.classes {
        class.accepted = false;
        class.share = 0.0;
    }
    let Some(entry) = view.pools.get(&pool.id) else {
        return;
    };
    let settings = entry.classes.iter().filter_map(|id| Some((id, view.classes.get(id)?)));
    let sum: u32 = settings.clone().map(|(_, s)| s.share.0).sum();
    for (id, settings) in settings {
        let index = *pool.class_index.entry(id.clone()).or_insert(pool.classes.len());
        if index == pool.classes.len() {
            pool.classes.push(ClassQueue::new(id.clone()));
        }
        let class = &mut pool.classes[index];
        class.accepted = true;
        class.urgency = settings.urgency;
        class.share = f64::from(settings.share.0) / f64::from(sum.max(100));
        class.cap = f64::from(settings.cap.0.min(100)) / 100.0;
        class.delay_target = settings.deadline / DELAY_TARGET_DIVISOR;
        for team in &mut class.teams {
            (team.weight, team.quota) = weight_and_quota(view.teams.get(&team.id));
        }
    }
}

/// Weight and quota of a team; 1 and the whole class without settings.
fn weight_and_quota(settings: Option<&cj_settings::TeamSettings>) -> (f64, f64) {
    settings.map_or((1.0, 1.0), |s| (f64::from(s.weight.max(1)), f64::from(s.quota.0) / 100.0))
}

/// Writes the candidates of a decision as a list for the log.
struct CommaSeparated(Vec<VmId>);

impl fmt::Display for CommaSeparated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{name}")?;
        }
        Ok(())
    }
}
