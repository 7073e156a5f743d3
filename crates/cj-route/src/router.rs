//! The router.

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
    upstreams::{Chosen, Sample, UpstreamKey, Upstreams, Wish},
    view::PoolView,
};

/// Attempts per request, the first one included.
const MAX_ATTEMPTS: u32 = 3;
/// Mean wait before the first retry; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(10);
/// Shortest wait that a refused caller is asked for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Wait that a refused caller is asked for when only a change of the fleet helps.
const FLEET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Waiting requests per class and pool; bounds the memory when deadlines are long.
const MAX_WAITING: usize = 1 << 17;
/// Queue delay that counts as overload, as a part of the class's deadline.
const DELAY_TARGET: u32 = 10;
/// Interval between reviews of the queues.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// A queue is reviewed when its class has lost this part of its slots since the last review.
const REVIEW_LOSS: f64 = 0.2;
/// Timers that may be outdated beyond the number of waiting tickets before they are compacted.
const STALE_TIMERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Backoff,
    Running { upstream: UpstreamKey, since: Instant, borrowed: bool },
}

struct Entry {
    request: Request,
    pool: usize,
    class: usize,
    team: usize,
    service: usize,
    /// Expected service time in seconds, as charged to the team.
    cost: f64,
    queued: Instant,
    attempts: u32,
    may_have_run: bool,
    /// False once a borrowed slot turned out to be taken.
    may_borrow: bool,
    stage: Stage,
    /// The one timer that counts; others in the heap are outdated.
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
    measured: usize,
    /// By class index of the pool.
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
    tickets: SlotMap<Ticket, Entry>,
    /// Tickets that wait in a queue or for the end of their backoff.
    waiting: usize,
    timers: BinaryHeap<Reverse<(Instant, Ticket)>>,
    /// Actions that arose outside of a call that returns actions.
    pending: Vec<Action>,
    reviewed: Option<Instant>,
    counters: Counters,
}

impl Router {
    /// Creates a router that knows no pool yet. `rng` makes its choices reproducible.
    pub fn new(rng: Pcg64Mcg) -> Self {
        Router::with_options(rng, Options::default())
    }

    /// Creates a router with other than the default options.
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
            reviewed: None,
            counters: Counters::default(),
        }
    }

    /// Replaces the view of the fleet. Leaving upstreams get nothing new from here on. Requests that the new view
    /// can't serve are given up by the next [`Router::poll`].
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
        self.reviewed = None;
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
                    self.services.push(Service { pool: None, measured: pool, times: Vec::new() });
                }
                let entry = &mut self.services[index];
                entry.pool = Some(pool);
                // Service times are kept by the class index of the pool.
                if entry.measured != pool {
                    entry.measured = pool;
                    entry.times.clear();
                }
            }
        }
    }

    /// Gives up the waiting requests of classes that are no longer accepted and of pools without upstreams.
    fn give_up_unservable(&mut self) {
        let mut lost = Vec::new();
        for pool in &self.pools {
            for class in &pool.classes {
                let reason = if !class.accepted {
                    Refusal::ClassNotAccepted
                } else if !pool.upstreams.any() {
                    Refusal::NoUpstream
                } else {
                    continue;
                };
                let teams = class.active().iter().flat_map(|&t| class.teams[t].tickets());
                lost.extend(teams.filter(|&t| self.waits(t)).map(|t| (t, reason)));
            }
        }
        for (ticket, reason) in lost {
            let action = self.give_up(ticket, reason, FLEET_RETRY_AFTER);
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
        if !self.pools[pool].upstreams.any() {
            return self.refuse(&request, Refusal::NoUpstream, FLEET_RETRY_AFTER);
        }
        let view = &self.view;
        let queue = &mut self.pools[pool].classes[class];
        let team = queue.team(&request.team, || terms(view.teams.get(&request.team)), now);
        queue.wake(team);
        let times = self.services[service].times(class);
        let (mean, p50) = (times.mean.as_secs_f64(), times.p50);
        let remaining = request.deadline.saturating_duration_since(now);
        let hopeless = remaining < p50 && !self.services[service].times(class).take_probe(now);
        if remaining.is_zero() || hopeless {
            return self.refuse(&request, Refusal::Deadline, MIN_RETRY_AFTER);
        }
        let entry = Entry {
            request,
            pool,
            class,
            team,
            service,
            cost: mean,
            queued: now,
            attempts: 0,
            may_have_run: false,
            may_borrow: true,
            stage: Stage::Waiting,
            timer: None,
        };
        match self.next_class(pool, now) {
            // Nobody of the pool waits for a slot that this class may use.
            None if self.may_start(pool, class) => {
                let wish = wish(&entry);
                let upstreams = &self.pools[pool].upstreams;
                if let Some(chosen) = upstreams.choose(&wish, &mut self.rng, now) {
                    return self.admit(entry, chosen, now);
                }
                self.enqueue(entry, now)
            }
            _ => self.enqueue(entry, now),
        }
    }

    fn admit(&mut self, entry: Entry, chosen: Chosen, now: Instant) -> Admission {
        self.pools[entry.pool].budget.earn();
        let ticket = self.tickets.insert(entry);
        let upstream = self.start(ticket, &chosen, "free slot", now);
        Admission::Dispatch { ticket, upstream }
    }

    /// Queues a request if it can finish before its deadline.
    fn enqueue(&mut self, mut entry: Entry, now: Instant) -> Admission {
        let (pool, class, team) = (entry.pool, entry.class, entry.team);
        let queue = &self.pools[pool].classes[class];
        if queue.waiting >= MAX_WAITING {
            return self.refuse(&entry.request, Refusal::QueueFull, FLEET_RETRY_AFTER);
        }
        let slots = self.expected_slots(pool, class);
        let wait = Duration::from_secs_f64((queue.work_ahead(team) + entry.cost) / slots);
        // Under overload the estimate of the wait is at its worst, so the slow end of the service times counts.
        let overloaded = queue.team_overloaded(team, now);
        let times = self.services[entry.service].times(class);
        let service = if overloaded { times.p99 } else { times.p90 };
        let remaining = entry.request.deadline.saturating_duration_since(now);
        if wait + service > remaining {
            let excess = (wait + service).saturating_sub(remaining);
            let retry_after = self.jitter((wait + excess).max(MIN_RETRY_AFTER));
            return self.refuse(&entry.request, Refusal::Deadline, retry_after);
        }
        self.pools[pool].budget.earn();
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

    /// Takes the end of an attempt. A ticket that is unknown or not at an upstream is counted and has no effect.
    pub fn complete(&mut self, ticket: Ticket, result: Completion, now: Instant) -> Vec<Action> {
        let running = self.tickets.get(ticket).map(|e| e.stage);
        let Some(Stage::Running { upstream, since, borrowed }) = running else {
            self.counters.late += 1;
            return Vec::new();
        };
        let mut actions = std::mem::take(&mut self.pending);
        let took = now.saturating_duration_since(since);
        let pool = self.tickets[ticket].pool;
        self.release(ticket, upstream, since, now);
        let sample = self.sample(ticket, result, took, now);
        let upstreams = &mut self.pools[pool].upstreams;
        if let Completion::Done { load: Some(load) } | Completion::NotRun { load: Some(load) } =
            result
        {
            upstreams.report(upstream, load, now);
        }
        if upstreams.judge(upstream, sample, now) {
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
                self.wait_for_share(ticket, now, &mut actions);
            }
            Completion::NotRun { .. } | Completion::Failed => {
                actions.extend(self.retry(ticket, result, upstream, now));
            }
        }
        self.dispatch(pool, now, &mut actions);
        actions
    }

    /// Health of an attempt, and its service time.
    fn sample(
        &mut self,
        ticket: Ticket,
        result: Completion,
        took: Duration,
        now: Instant,
    ) -> Sample {
        let entry = &self.tickets[ticket];
        match result {
            Completion::Done { .. } => {
                let times = self.services[entry.service].times(entry.class);
                let usual = times.mean;
                times.record(took, now);
                Sample::Success(took.as_secs_f64() / usual.as_secs_f64())
            }
            Completion::NotRun { load: Some(_) } => {
                self.counters.overruns += 1;
                Sample::Busy
            }
            Completion::NotRun { load: None } | Completion::Failed => Sample::Failure,
        }
    }

    /// Queues a request again whose borrowed slot was taken. The refusal proves that it did not run, and from now on it
    /// waits for a slot of this node's share, so it costs no retry.
    fn wait_for_share(&mut self, ticket: Ticket, now: Instant, actions: &mut Vec<Action>) {
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
            self.jitter(BACKOFF * (1 << attempts.saturating_sub(1).min(6)))
        };
        let entry = &mut self.tickets[ticket];
        let pool = &mut self.pools[entry.pool];
        entry.may_have_run |= result == Completion::Failed;
        if let Some(failed) = pool.upstreams.get(upstream) {
            entry.request.avoid = Some(failed.vm.clone());
        }
        let p50 = self.services[entry.service].times(entry.class).p50;
        let remaining = entry.request.deadline.saturating_duration_since(now);
        let safe = entry.request.idempotent || !entry.may_have_run;
        let most = MAX_ATTEMPTS + u32::from(!entry.may_borrow);
        let refusal = if !safe || entry.attempts >= most {
            Some(Refusal::Failed)
        } else if remaining <= backoff + p50 {
            Some(Refusal::Deadline)
        } else if !pool.upstreams.any() {
            Some(Refusal::NoUpstream)
        } else if !pool.budget.spend() {
            Some(Refusal::RetryBudget)
        } else {
            None
        };
        if let Some(reason) = refusal {
            let retry_after = self.jitter(MIN_RETRY_AFTER * 2);
            return self.end(ticket, reason, retry_after);
        }
        entry.stage = Stage::Backoff;
        self.waiting += 1;
        self.arm(ticket, now + backoff);
        None
    }

    /// Ends a ticket at its caller's wish, in constant amortised time. Its answer, if one comes, counts as late. A ticket
    /// that has ended stays ended.
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
            Stage::Running { upstream, since, .. } => {
                self.release(ticket, upstream, since, now);
                self.tickets.remove(ticket);
                let mut actions = std::mem::take(&mut self.pending);
                self.dispatch(pool, now, &mut actions);
                actions
            }
        }
    }

    /// Returns everything that is due. To be called after [`Router::update`] and at [`Router::next_poll`].
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.pending);
        self.fire_timers(now, &mut actions);
        let due = self.reviewed.is_none_or(|at| now >= at + REVIEW_INTERVAL);
        if due {
            self.reviewed = Some(now);
            for pool in 0..self.pools.len() {
                self.pools[pool].upstreams.readmit(now);
                self.review(pool, now, &mut actions);
            }
        }
        for pool in 0..self.pools.len() {
            self.dispatch(pool, now, &mut actions);
        }
        actions
    }

    /// Next time at which [`Router::poll`] has something to do if nothing else happens before; `None` when no request
    /// waits and no upstream is ejected.
    pub fn next_poll(&self) -> Option<Instant> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let busy = self.waiting > 0 || self.pools.iter().any(|p| p.upstreams.any_ejected());
        let review = busy.then(|| self.reviewed.map(|at| at + REVIEW_INTERVAL)).flatten();
        [timer, review].into_iter().flatten().min()
    }

    /// Requests of this node that an upstream is working on.
    pub fn in_flight(&self, upstream: &VmId) -> usize {
        self.pools.iter().filter_map(|p| p.upstreams.find(upstream)).map(|u| u.in_flight).sum()
    }

    /// Requests that wait in a queue or for a retry.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Tickets that have not ended.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// Counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Slots that this node may count on in a pool.
    pub fn capacity(&self, pool: &PoolId) -> usize {
        self.pool_index.get(pool).map_or(0, |&p| self.pools[p].upstreams.capacity())
    }

    /// Slots of this node that a class of a pool uses now.
    pub fn in_use(&self, pool: &PoolId, class: &ClassId) -> usize {
        let pool = self.pool_index.get(pool).map(|&p| &self.pools[p]);
        let class = pool.and_then(|p| p.class_index.get(class).map(|&c| &p.classes[c]));
        class.map_or(0, |c| c.in_use)
    }

    /// Recounts everything that is kept incrementally, in time linear in the number of tickets.
    ///
    /// # Panics
    ///
    /// When an account is wrong.
    pub fn check_invariants(&self) {
        let mut waiting = 0;
        let mut running: HashMap<(usize, UpstreamKey), usize> = HashMap::new();
        for entry in self.tickets.values() {
            match entry.stage {
                Stage::Waiting | Stage::Backoff => waiting += 1,
                Stage::Running { upstream, .. } => {
                    *running.entry((entry.pool, upstream)).or_default() += 1;
                }
            }
        }
        assert_eq!(waiting, self.waiting, "waiting tickets");
        assert!(self.timers.len() <= 2 * self.waiting + STALE_TIMERS + 1, "timers are bounded");
        for (index, pool) in self.pools.iter().enumerate() {
            pool.upstreams.check();
            for class in &pool.classes {
                class.check(|t| self.waits(t));
            }
            let in_use: usize = pool.classes.iter().map(|c| c.in_use).sum();
            let of_pool = running.iter().filter(|((p, _), _)| *p == index);
            let mut sum = 0;
            for ((_, key), count) in of_pool {
                let upstream = pool.upstreams.get(*key).expect("upstreams in use are kept");
                assert_eq!(upstream.in_flight, *count, "in flight on {}", upstream.vm);
                sum += count;
            }
            assert_eq!(in_use, sum, "slots in use of {}", pool.id);
        }
    }

    fn waits(&self, ticket: Ticket) -> bool {
        self.tickets.get(ticket).is_some_and(|e| e.stage == Stage::Waiting)
    }

    fn jitter(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Slots that a class may count on: its guaranteed share, or what it has beyond that.
    fn expected_slots(&self, pool: usize, class: usize) -> f64 {
        let pool = &self.pools[pool];
        let queue = &pool.classes[class];
        let capacity = pool.upstreams.capacity() as f64;
        (queue.share * capacity).max(queue.in_use as f64).min(queue.cap * capacity).max(1.0)
    }

    fn may_start(&self, pool: usize, class: usize) -> bool {
        let pool = &self.pools[pool];
        let queue = &pool.classes[class];
        (queue.in_use as f64) < (queue.cap * pool.upstreams.capacity() as f64).floor().max(1.0)
    }

    /// Class whose request is next. Classes below their guaranteed share come first, the one furthest below it before
    /// the others. What is left goes to the most urgent class that isn't overloaded: an overloaded class would keep
    /// the slots from everybody else. Overloaded classes share the rest by their guarantees.
    fn next_class(&self, pool: usize, now: Instant) -> Option<usize> {
        let capacity = self.pools[pool].upstreams.capacity() as f64;
        let classes = &self.pools[pool].classes;
        let rank = |index: usize| {
            let class = &classes[index];
            let guaranteed = class.share * capacity;
            let used = class.in_use as f64;
            let part = if guaranteed > 0.0 { used / guaranteed } else { f64::INFINITY };
            if used < guaranteed {
                return (0, part, class.urgency, index);
            }
            match class.overloaded(now) {
                false => (1, 0.0, class.urgency, index),
                true => (2, part, class.urgency, index),
            }
        };
        let waiting = (0..classes.len()).filter(|&c| classes[c].waiting > 0);
        let ranks = waiting.filter(|&c| self.may_start(pool, c)).map(rank);
        ranks.min_by(|a, b| a.partial_cmp(b).expect("ranks are comparable")).map(|r| r.3)
    }

    /// Sends waiting requests while there is room.
    fn dispatch(&mut self, pool: usize, now: Instant, actions: &mut Vec<Action>) {
        while let Some(class) = self.next_class(pool, now) {
            let slots = self.expected_slots(pool, class);
            let tickets = &self.tickets;
            let waits = |t| tickets.get(t).is_some_and(|e| e.stage == Stage::Waiting);
            let queue = &mut self.pools[pool].classes[class];
            let team = queue.next_team(slots, now).expect("a waiting class has a waiting team");
            let ticket = queue.front(team, waits).expect("a waiting team has a ticket");
            let entry = &self.tickets[ticket];
            let remaining = entry.request.deadline.saturating_duration_since(now);
            let p50 = self.services[entry.service].times(class).p50;
            if remaining.is_zero() || remaining < p50 {
                actions.extend(self.give_up(ticket, Refusal::Deadline, MIN_RETRY_AFTER));
                continue;
            }
            let wish = wish(entry);
            let Some(chosen) = self.pools[pool].upstreams.choose(&wish, &mut self.rng, now) else {
                return;
            };
            let delay = now.saturating_duration_since(entry.queued);
            let again = entry.attempts > 0;
            self.pools[pool].classes[class].pop(team);
            self.leave_queue(ticket);
            if !again {
                self.pools[pool].classes[class].note_delay(team, delay, now);
            }
            let reason = if again { "retry" } else { "queued" };
            let upstream = self.start(ticket, &chosen, reason, now);
            actions.push(if again {
                self.counters.retries += 1;
                Action::Retry { ticket, upstream, remaining }
            } else {
                Action::Dispatch { ticket, upstream, remaining }
            });
        }
    }

    /// Accounts for an attempt that is being sent and logs the decision.
    fn start(&mut self, ticket: Ticket, chosen: &Chosen, reason: &str, now: Instant) -> VmId {
        let entry = &mut self.tickets[ticket];
        entry.attempts += 1;
        entry.stage =
            Stage::Running { upstream: chosen.key, since: now, borrowed: chosen.borrowed };
        entry.timer = None;
        let pool = &mut self.pools[entry.pool];
        pool.upstreams.start(chosen.key);
        pool.classes[entry.class].charge(entry.team, entry.cost, now);
        self.counters.dispatched += 1;
        self.counters.borrowed += u64::from(chosen.borrowed);
        let name = |key| pool.upstreams.get(key).expect("candidates exist").vm.clone();
        let upstream = name(chosen.key);
        if log::log_enabled!(target: "decision", log::Level::Info) {
            let reason = if chosen.borrowed { "borrowed slot" } else { reason };
            let candidates = Names(chosen.candidates.iter().map(|&k| name(k)).collect());
            let (id, attempt) = (&entry.request.id, entry.attempts);
            log::info!(target: "decision", "request={id} choice={upstream} attempt={attempt} reason=\"{reason}\" candidates={candidates}");
        }
        upstream
    }

    /// Accounts for the end of an attempt.
    fn release(&mut self, ticket: Ticket, upstream: UpstreamKey, since: Instant, now: Instant) {
        let used = now.saturating_duration_since(since).as_secs_f64();
        let entry = &self.tickets[ticket];
        let pool = &mut self.pools[entry.pool];
        pool.upstreams.finish(upstream);
        pool.classes[entry.class].release(entry.team, entry.cost, used, now);
    }

    /// Takes a ticket out of its queue or its backoff.
    fn leave_queue(&mut self, ticket: Ticket) {
        let entry = &mut self.tickets[ticket];
        let queued = entry.stage == Stage::Waiting;
        // A ticket that waits no more is skipped when its place in the queue comes up.
        entry.stage = Stage::Backoff;
        entry.timer = None;
        let (pool, class, team, cost) = (entry.pool, entry.class, entry.team, entry.cost);
        self.waiting -= 1;
        if queued {
            let tickets = &self.tickets;
            let waits = |t| tickets.get(t).is_some_and(|e| e.stage == Stage::Waiting);
            self.pools[pool].classes[class].forget(team, cost, waits);
        }
        self.compact_timers();
    }

    /// Ends a waiting ticket with its final answer.
    fn give_up(
        &mut self,
        ticket: Ticket,
        reason: Refusal,
        retry_after: Duration,
    ) -> Option<Action> {
        self.leave_queue(ticket);
        self.end(ticket, reason, retry_after)
    }

    fn end(&mut self, ticket: Ticket, reason: Refusal, retry_after: Duration) -> Option<Action> {
        let entry = self.tickets.remove(ticket)?;
        self.counters.given_up += 1;
        let id = &entry.request.id;
        log::info!(target: "decision", "request={id} choice=give-up reason=\"{reason}\" retry_after_ms={}", retry_after.as_millis());
        let may_have_run = entry.may_have_run;
        Some(Action::GiveUp { ticket, reason, may_have_run, retry_after })
    }

    fn refuse(&mut self, request: &Request, reason: Refusal, retry_after: Duration) -> Admission {
        self.counters.refused += 1;
        let id: &CompactString = &request.id;
        log::info!(target: "decision", "request={id} choice=refuse reason=\"{reason}\" retry_after_ms={}", retry_after.as_millis());
        Admission::Refused { reason, retry_after }
    }

    /// Sets the timer at which a waiting ticket can no longer finish in time.
    fn arm_expiry(&mut self, ticket: Ticket) {
        let entry = &self.tickets[ticket];
        let p50 = self.services[entry.service].times(entry.class).p50;
        let at = entry.request.deadline.checked_sub(p50).unwrap_or(entry.queued);
        self.arm(ticket, at);
    }

    fn arm(&mut self, ticket: Ticket, at: Instant) {
        self.tickets[ticket].timer = Some(at);
        self.timers.push(Reverse((at, ticket)));
        self.compact_timers();
    }

    /// Drops outdated timers once they outnumber the waiting tickets.
    fn compact_timers(&mut self) {
        if self.timers.len() > 2 * self.waiting + STALE_TIMERS {
            let tickets = &self.tickets;
            let counts = |at, t| tickets.get(t).is_some_and(|e: &Entry| e.timer == Some(at));
            self.timers.retain(|Reverse((at, ticket))| counts(*at, *ticket));
        }
    }

    fn fire_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(&Reverse((at, ticket))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            let current = self.tickets.get(ticket).filter(|e| e.timer == Some(at));
            match current.map(|e| e.stage) {
                Some(Stage::Waiting) => {
                    actions.extend(self.give_up(ticket, Refusal::Deadline, MIN_RETRY_AFTER));
                }
                Some(Stage::Backoff) => self.requeue(ticket, now, actions),
                Some(Stage::Running { .. }) | None => {}
            }
        }
    }

    /// Puts a ticket that has been sent before in front of its team's queue.
    fn requeue(&mut self, ticket: Ticket, now: Instant, actions: &mut Vec<Action>) {
        let entry = &mut self.tickets[ticket];
        let (pool, class, team, cost) = (entry.pool, entry.class, entry.team, entry.cost);
        entry.stage = Stage::Waiting;
        entry.queued = now;
        self.pools[pool].classes[class].push(team, ticket, cost, true);
        if self.pools[pool].classes[class].accepted && self.pools[pool].upstreams.any() {
            self.arm_expiry(ticket);
        } else {
            actions.extend(self.give_up(ticket, Refusal::NoUpstream, FLEET_RETRY_AFTER));
        }
    }

    /// Gives up what can't finish in time since its class has fewer slots than at its admission.
    fn review(&mut self, pool: usize, now: Instant, actions: &mut Vec<Action>) {
        for class in 0..self.pools[pool].classes.len() {
            let slots = self.expected_slots(pool, class);
            let queue = &mut self.pools[pool].classes[class];
            let lost = slots < queue.reviewed * (1.0 - REVIEW_LOSS);
            if lost || slots > queue.reviewed || queue.waiting == 0 {
                queue.reviewed = slots;
            }
            if !lost || queue.waiting == 0 {
                continue;
            }
            for (ticket, wait) in self.hopeless(pool, class, slots, now) {
                let retry_after = self.jitter(wait.max(MIN_RETRY_AFTER));
                actions.extend(self.give_up(ticket, Refusal::Deadline, retry_after));
            }
        }
    }

    /// Waiting tickets of a class whose expected wait and median service time exceed their deadline, with the wait.
    fn hopeless(
        &self,
        pool: usize,
        class: usize,
        slots: f64,
        now: Instant,
    ) -> Vec<(Ticket, Duration)> {
        let queue = &self.pools[pool].classes[class];
        let mut found = Vec::new();
        for &team in queue.active() {
            let mut own = 0.0;
            for ticket in queue.teams[team].tickets().filter(|&t| self.waits(t)) {
                let entry = &self.tickets[ticket];
                let wait = Duration::from_secs_f64(queue.scale(team, own) / slots);
                let times = self.services[entry.service].times.get(class);
                let p50 = times.map(|t| t.p50).unwrap_or_default();
                if now + wait + p50 > entry.request.deadline {
                    found.push((ticket, wait));
                } else {
                    own += entry.cost;
                }
            }
        }
        found
    }
}

fn wish(entry: &Entry) -> Wish<'_> {
    let Request { avoid, centre, .. } = &entry.request;
    Wish { avoid: avoid.as_ref(), centre, may_borrow: entry.may_borrow }
}

/// Takes over the class settings and brings the guarantees to at most the whole pool.
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
        class.target = settings.deadline / DELAY_TARGET;
        for team in &mut class.teams {
            (team.weight, team.quota) = terms(view.teams.get(&team.id));
        }
    }
}

/// Weight and quota of a team.
fn terms(settings: Option<&cj_settings::TeamSettings>) -> (f64, f64) {
    settings.map_or((1.0, 1.0), |s| (f64::from(s.weight.max(1)), f64::from(s.quota.0) / 100.0))
}

struct Names(Vec<VmId>);

impl fmt::Display for Names {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{name}")?;
        }
        Ok(())
    }
}
