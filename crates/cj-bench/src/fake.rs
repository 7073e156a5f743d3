//! A virtual clock with callers, upstreams and a network delay around real routers. Shared by the routing benchmarks.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use compact_str::format_compact;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use cj_route::{
    Action, Admission, Completion, PoolEntry, PoolView, Request, Router, Ticket, Upstream,
};
use cj_settings::{ClassSettings, TeamSettings};
use cj_types::{Percent, PoolId, VmId};

/// One-way delay between an entry node and an upstream in microseconds.
const NET_MICROS: u64 = 1_500;
/// Time after which an attempt without an answer counts as failed, in microseconds.
const ATTEMPT_LIMIT_MICROS: u64 = 1_000_000;

/// What decides on requests: a router or a baseline.
pub(crate) trait Front {
    fn offer(&mut self, request: Request, now: Instant) -> Admission;
    fn complete(&mut self, ticket: Ticket, result: Completion, now: Instant) -> Vec<Action>;
    fn poll(&mut self, now: Instant) -> Vec<Action>;
    fn next_poll(&self) -> Option<Instant>;
}

impl Front for Router {
    fn offer(&mut self, request: Request, now: Instant) -> Admission {
        Router::offer(self, request, now)
    }

    fn complete(&mut self, ticket: Ticket, result: Completion, now: Instant) -> Vec<Action> {
        Router::complete(self, ticket, result, now)
    }

    fn poll(&mut self, now: Instant) -> Vec<Action> {
        Router::poll(self, now)
    }

    fn next_poll(&self) -> Option<Instant> {
        Router::next_poll(self)
    }
}

/// A stream of similar requests.
#[derive(Clone)]
pub(crate) struct Source {
    pub(crate) service: String,
    pub(crate) class: &'static str,
    pub(crate) team: &'static str,
    /// Mean service time in microseconds; service times are exponential above a third of the mean.
    pub(crate) service_micros: u64,
    pub(crate) deadline: Duration,
    /// Highest rate per second.
    pub(crate) peak: f64,
    /// Part of the peak rate at a time in microseconds.
    pub(crate) shape: Shape,
    /// How often callers repeat a refused or failed request, with a new deadline.
    pub(crate) repeats: u32,
}

/// Rate over time.
#[derive(Clone, Copy)]
pub(crate) enum Shape {
    /// The peak rate all the time.
    Steady,
    /// Every `period` microseconds, the peak rate during the turn `turn` of `turns`, `low` of it otherwise.
    Turns { period: u64, turn: u64, turns: u64, low: f64 },
}

impl Shape {
    fn at(self, time: u64) -> f64 {
        match self {
            Shape::Steady => 1.0,
            Shape::Turns { period, turn, turns, low } => {
                if time % period * turns / period == turn {
                    1.0
                } else {
                    low
                }
            }
        }
    }
}

/// Results of one source in the measured time.
pub(crate) struct Tally {
    pub(crate) offered: u64,
    /// Complete answers within the deadline.
    pub(crate) good: u64,
    pub(crate) refused: u64,
    /// Time that its attempts held slots of upstreams in microseconds.
    pub(crate) busy: u64,
    /// Time from arrival to the start at an upstream in microseconds; a request that never starts counts with its
    /// whole deadline.
    pub(crate) start: Histogram<u64>,
    /// In-deadline answers by the second in which they came.
    pub(crate) per_second: Vec<u64>,
}

impl Tally {
    fn new(seconds: u64) -> Self {
        Tally {
            offered: 0,
            good: 0,
            refused: 0,
            busy: 0,
            start: Histogram::new(3).expect("constant precision"),
            per_second: vec![0; seconds as usize + 1],
        }
    }
}

/// How an upstream fails.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Never answers.
    Silent,
    /// Answers at once with an error that doesn't prove that the request did not run.
    Refusing,
    /// Works for the whole service time and then answers with an error.
    Wasting,
}

struct FakeUpstream {
    slots: u32,
    busy: u32,
    /// Fault and the times in microseconds between which it lasts.
    fault: Option<(Fault, u64, u64)>,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Repeat(usize),
    Reach { call: usize, vm: VmId },
    Free { call: usize, vm: VmId, ok: bool },
    Answer { call: usize, result: Option<u32>, ok: bool },
    Poll(usize),
}

struct Call {
    source: usize,
    front: usize,
    ticket: Ticket,
    arrived: u64,
    deadline: u64,
    /// Service time in microseconds.
    took: u64,
    repeats: u32,
    started: bool,
}

/// The fake world.
pub(crate) struct Fake<F> {
    pub(crate) fronts: Vec<F>,
    pub(crate) tallies: Vec<Tally>,
    /// Time spent in the fronts.
    pub(crate) spent: Duration,
    pub(crate) offers: u64,
    pub(crate) attempts: u64,
    /// Attempts refused for lack of room.
    pub(crate) overruns: u64,
    sources: Vec<Source>,
    upstreams: BTreeMap<VmId, FakeUpstream>,
    /// Highest number of concurrent attempts per front and upstream: the connections that a pool of them keeps.
    peaks: BTreeMap<(usize, VmId), (u32, u32)>,
    calls: Vec<Call>,
    open: Vec<HashMap<Ticket, usize>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
    polls: Vec<Option<u64>>,
    /// One generator per source, so that a flood doesn't change the other arrivals.
    rngs: Vec<Pcg64Mcg>,
    base: Instant,
    warm_up: u64,
    end: u64,
}

impl<F> Fake<F>
where
    F: Front,
{
    /// `warm_up` and `end` in seconds; requests that arrive before the warm-up is over aren't tallied.
    pub(crate) fn new(
        fronts: Vec<F>,
        pools: &BTreeMap<PoolId, PoolEntry>,
        sources: Vec<Source>,
        (warm_up, end): (u64, u64),
        seed: u64,
    ) -> Self {
        let upstreams = pools.values().flat_map(|p| {
            let fake = |slots| FakeUpstream { slots, busy: 0, fault: None };
            p.upstreams.iter().map(move |u| (u.vm.clone(), fake(p.slots)))
        });
        let mut fake = Fake {
            tallies: sources.iter().map(|_| Tally::new(end)).collect(),
            spent: Duration::ZERO,
            offers: 0,
            attempts: 0,
            overruns: 0,
            upstreams: upstreams.collect(),
            peaks: BTreeMap::new(),
            calls: Vec::new(),
            open: fronts.iter().map(|_| HashMap::new()).collect(),
            events: BinaryHeap::new(),
            next_event: 0,
            polls: vec![None; fronts.len()],
            rngs: sources.iter().map(|s| source_rng(seed, s)).collect(),
            base: Instant::now(),
            warm_up: warm_up * 1_000_000,
            end: end * 1_000_000,
            fronts,
            sources,
        };
        for source in 0..fake.sources.len() {
            fake.schedule_arrival(source, 0);
        }
        fake
    }

    /// Makes some upstreams fail between two times in seconds.
    pub(crate) fn fail_upstreams(&mut self, count: usize, fault: Fault, (from, to): (u64, u64)) {
        for upstream in self.upstreams.values_mut().take(count) {
            upstream.fault = Some((fault, from * 1_000_000, to * 1_000_000));
        }
    }

    /// Runs to the end.
    pub(crate) fn run(&mut self) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            // Late answers still count; new arrivals end with the run.
            match event {
                Event::Arrive(source) if time < self.end => self.arrive(source, time),
                Event::Arrive(_) => {}
                Event::Repeat(call) => self.repeat(call, time),
                Event::Reach { call, vm } => self.reach(call, &vm, time),
                Event::Free { call, vm, ok } => self.free(call, &vm, ok, time),
                Event::Answer { call, result, ok } => self.answer(call, result, ok, time),
                Event::Poll(front) => self.poll(front, time),
            }
        }
    }

    /// Connections per upstream over all fronts: mean and maximum.
    pub(crate) fn connections(&self) -> (f64, u32) {
        let mut sums: BTreeMap<&VmId, u32> = BTreeMap::new();
        for ((_, vm), (_, peak)) in &self.peaks {
            *sums.entry(vm).or_default() += peak;
        }
        let total: u32 = sums.values().sum();
        let mean = f64::from(total) / self.upstreams.len().max(1) as f64;
        (mean, sums.values().copied().max().unwrap_or_default())
    }

    fn push(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event, event)));
    }

    fn at(&self, time: u64) -> Instant {
        self.base + Duration::from_micros(time)
    }

    fn schedule_arrival(&mut self, source: usize, mut time: u64) {
        let (peak, shape) = (self.sources[source].peak, self.sources[source].shape);
        if peak <= 0.0 {
            return;
        }
        // Thinning: draws at the peak rate and keeps each draw with the probability of the shape.
        while time < self.end {
            time += exponential(&mut self.rngs[source], 1e6 / peak).max(1.0) as u64;
            if self.rngs[source].random::<f64>() < shape.at(time) {
                self.push(time, Event::Arrive(source));
                return;
            }
        }
    }

    fn arrive(&mut self, source: usize, time: u64) {
        self.schedule_arrival(source, time);
        let front = self.rngs[source].random_range(0..self.fronts.len());
        let mean = self.sources[source].service_micros as f64;
        let took = mean / 3.0 + exponential(&mut self.rngs[source], mean * 2.0 / 3.0);
        let deadline = time + self.sources[source].deadline.as_micros() as u64;
        let ticket = Ticket::default();
        let repeats = self.sources[source].repeats;
        let arrived = time;
        self.calls.push(Call {
            source,
            front,
            ticket,
            arrived,
            deadline,
            took: took as u64,
            repeats,
            started: false,
        });
        if time >= self.warm_up {
            self.tallies[source].offered += 1;
        }
        self.offer(self.calls.len() - 1, time);
    }

    fn repeat(&mut self, call: usize, time: u64) {
        let entry = &mut self.calls[call];
        entry.front = (entry.front + 1) % self.fronts.len();
        let deadline = self.sources[entry.source].deadline;
        entry.deadline = time + deadline.as_micros() as u64;
        self.offer(call, time);
    }

    fn offer(&mut self, call: usize, time: u64) {
        let entry = &self.calls[call];
        let source = &self.sources[entry.source];
        let request = Request {
            id: format_compact!("{call}"),
            service: source.service.parse().expect("valid name"),
            class: source.class.parse().expect("valid name"),
            team: source.team.parse().expect("valid name"),
            deadline: self.at(entry.deadline),
            idempotent: true,
            centre: "dc-0".parse().expect("valid name"),
            avoid: None,
        };
        let (front, now) = (entry.front, self.at(time));
        let began = Instant::now();
        let admission = self.fronts[front].offer(request, now);
        self.spent += began.elapsed();
        self.offers += 1;
        match admission {
            Admission::Dispatch { ticket, upstream } => {
                self.calls[call].ticket = ticket;
                self.open[front].insert(ticket, call);
                self.send(call, upstream, time);
            }
            Admission::Queued { ticket } => {
                self.calls[call].ticket = ticket;
                self.open[front].insert(ticket, call);
            }
            Admission::Refused { retry_after, .. } => self.fail(call, retry_after, time),
        }
        self.schedule_poll(front, time);
    }

    /// The caller gets a refusal or a failure.
    fn fail(&mut self, call: usize, retry_after: Duration, time: u64) {
        let entry = &mut self.calls[call];
        if entry.repeats > 0 {
            entry.repeats -= 1;
            self.push(time + retry_after.as_micros() as u64, Event::Repeat(call));
            return;
        }
        let (source, tallied) = (entry.source, entry.arrived >= self.warm_up);
        let started = entry.started;
        if tallied {
            let tally = &mut self.tallies[source];
            tally.refused += 1;
            if !started {
                let whole = self.sources[source].deadline.as_micros() as u64;
                tally.start.record(whole).expect("fits");
            }
        }
    }

    fn send(&mut self, call: usize, vm: VmId, time: u64) {
        self.attempts += 1;
        let front = self.calls[call].front;
        let (now, peak) = self.peaks.entry((front, vm.clone())).or_default();
        *now += 1;
        *peak = (*peak).max(*now);
        self.push(time + NET_MICROS, Event::Reach { call, vm });
    }

    fn reach(&mut self, call: usize, vm: &VmId, time: u64) {
        let upstream = &self.upstreams[vm];
        let fault = upstream.fault.filter(|(_, from, to)| (*from..*to).contains(&time));
        if let Some((kind @ (Fault::Silent | Fault::Refusing), ..)) = fault {
            self.note_end(call, vm);
            let delay = if kind == Fault::Silent { ATTEMPT_LIMIT_MICROS } else { NET_MICROS };
            self.push(time + delay, Event::Answer { call, result: None, ok: false });
            return;
        }
        if upstream.busy >= upstream.slots {
            self.overruns += 1;
            let result = Some(upstream.busy);
            self.note_end(call, vm);
            self.push(time + NET_MICROS, Event::Answer { call, result, ok: false });
            return;
        }
        let entry = &mut self.calls[call];
        if !entry.started {
            entry.started = true;
            if entry.arrived >= self.warm_up {
                let waited = time - NET_MICROS - entry.arrived;
                self.tallies[entry.source].start.record(waited.max(1)).expect("fits");
            }
        }
        let took = entry.took;
        if entry.arrived >= self.warm_up {
            self.tallies[entry.source].busy += took;
        }
        self.upstreams.get_mut(vm).expect("known").busy += 1;
        self.push(time + took, Event::Free { call, vm: vm.clone(), ok: fault.is_none() });
    }

    fn free(&mut self, call: usize, vm: &VmId, ok: bool, time: u64) {
        let upstream = self.upstreams.get_mut(vm).expect("known");
        upstream.busy -= 1;
        let result = ok.then_some(upstream.busy);
        self.note_end(call, vm);
        self.push(time + NET_MICROS, Event::Answer { call, result, ok });
    }

    fn note_end(&mut self, call: usize, vm: &VmId) {
        let key = (self.calls[call].front, vm.clone());
        self.peaks.get_mut(&key).expect("started").0 -= 1;
    }

    fn answer(&mut self, call: usize, load: Option<u32>, ok: bool, time: u64) {
        let entry = &self.calls[call];
        let (front, ticket) = (entry.front, entry.ticket);
        let result = match (ok, load) {
            (true, _) => Completion::Done { load },
            (false, Some(_)) => Completion::NotRun { load },
            (false, None) => Completion::Failed,
        };
        if ok {
            self.open[front].remove(&ticket);
            if time <= entry.deadline && entry.arrived >= self.warm_up {
                let tally = &mut self.tallies[entry.source];
                tally.good += 1;
                if let Some(second) = tally.per_second.get_mut((time / 1_000_000) as usize) {
                    *second += 1;
                }
            }
        }
        let now = self.at(time);
        let began = Instant::now();
        let actions = self.fronts[front].complete(ticket, result, now);
        self.spent += began.elapsed();
        self.act(front, actions, time);
    }

    fn poll(&mut self, front: usize, time: u64) {
        if self.polls[front] != Some(time) {
            return;
        }
        self.polls[front] = None;
        let now = self.at(time);
        let began = Instant::now();
        let actions = self.fronts[front].poll(now);
        self.spent += began.elapsed();
        self.act(front, actions, time);
    }

    fn act(&mut self, front: usize, actions: Vec<Action>, time: u64) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, upstream, .. }
                | Action::Retry { ticket, upstream, .. } => {
                    let call = self.open[front][&ticket];
                    self.send(call, upstream, time);
                }
                Action::GiveUp { ticket, retry_after, .. } => {
                    let call = self.open[front].remove(&ticket).expect("open");
                    self.fail(call, retry_after, time);
                }
            }
        }
        self.schedule_poll(front, time);
    }

    fn schedule_poll(&mut self, front: usize, time: u64) {
        let Some(at) = self.fronts[front].next_poll() else {
            return;
        };
        let at = at.saturating_duration_since(self.base).as_micros() as u64 + 1;
        let at = at.max(time + 1);
        if self.polls[front].is_none_or(|planned| planned > at) {
            self.polls[front] = Some(at);
            self.push(at, Event::Poll(front));
        }
    }
}

fn source_rng(seed: u64, source: &Source) -> Pcg64Mcg {
    let key = [source.service.as_str(), source.class, source.team].join("/");
    Pcg64Mcg::seed_from_u64(cj_types::rendezvous::weight(key.as_bytes(), &seed.to_le_bytes()))
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    -rng.random::<f64>().max(1e-12).ln() * mean
}

/// A class of the benchmarks.
pub(crate) fn class(urgency: u32, share: u32, deadline: Duration) -> ClassSettings {
    ClassSettings {
        office: "office".parse().expect("valid name"),
        urgency,
        deadline,
        idempotent: true,
        must_not_drop: false,
        task: false,
        share: Percent(share),
        cap: Percent(100),
    }
}

/// A team without a quota.
pub(crate) fn team() -> TeamSettings {
    TeamSettings { office: "office".parse().expect("valid name"), quota: Percent(100), weight: 1 }
}

/// A view with `pools` pools of `count` upstreams each; pool `p` serves service `s-p`.
pub(crate) fn view(
    (pools, count, slots): (usize, usize, u32),
    classes: &[(&'static str, ClassSettings)],
    nodes: u32,
) -> PoolView {
    let pool = |p: usize| {
        let upstream = |i: usize| Upstream {
            vm: format!("vm-{p:02}-{i:04}").parse().expect("valid name"),
            centre: format!("dc-{}", i % 4).parse().expect("valid name"),
            rack: format!("rack-{}", i / 4).parse().expect("valid name"),
            leaving: false,
        };
        PoolEntry {
            classes: classes.iter().map(|(n, _)| n.parse().expect("valid name")).collect(),
            services: vec![format!("s-{p}").parse().expect("valid name")],
            upstreams: (0..count).map(upstream).collect(),
            slots,
            connections: 64,
        }
    };
    PoolView {
        pools: (0..pools).map(|p| (format!("pool-{p}").parse().expect("valid"), pool(p))).collect(),
        classes: classes.iter().map(|(n, c)| (n.parse().expect("valid"), c.clone())).collect(),
        teams: ["a", "b", "c"].map(|t| (t.parse().expect("valid name"), team())).into(),
        node_index: 0,
        node_count: nodes,
    }
}

/// Routers of all nodes.
pub(crate) fn routers(view: &PoolView, options: cj_route::Options, seed: u64) -> Vec<Router> {
    let router = |index: u32| {
        let rng = Pcg64Mcg::seed_from_u64(seed + 1000 + u64::from(index));
        let mut router = Router::with_options(rng, options);
        router.update(PoolView { node_index: index, ..view.clone() }, Instant::now());
        router
    };
    (0..view.node_count).map(router).collect()
}
