//! What other work keeps while one class or two classes flood a pool at 10 times its capacity.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use slotmap::SlotMap;

use cj_route::{Action, Admission, Completion, PoolView, Request, Ticket};
use cj_settings::TeamSettings;
use cj_types::{Percent, Result, VmId};

use crate::{
    Options,
    fake::{self, Fake, Front, Shape, Source},
};

const UPSTREAMS: usize = 12;
const SLOTS: u32 = 8;
const NODES: u32 = 9;
/// Warm-up and end of a run in seconds.
const TIMES: (u64, u64) = (5, 35);
/// Flood in multiples of the capacity of the pool.
const FLOOD: f64 = 10.0;
/// Demand of a class without a flood, as a part of its guaranteed share.
const DEMAND: f64 = 0.75;
/// Class, guaranteed share in percent, deadline in ms and mean service time in ms, the most urgent first.
const CLASSES: [(&str, u32, u64, u64); 4] = [
    ("urgent", 35, 3_000, 100),
    ("prompt", 25, 4_000, 120),
    ("standard", 25, 6_000, 150),
    ("background", 15, 20_000, 200),
];
/// Team, and its quota in percent, which is also its weight. Each of the usual teams demands 37.5% of its class. That is
/// 17% below its quota: a slot is also held for the round trip (3%), and a node's share may be 6% below the mean.
const TEAMS: [(&str, u32); 3] = [("a", 45), ("b", 45), ("flood", 10)];
const MOST: usize = 0;
const LEAST: usize = 3;

/// One queue for all nodes, which knows every slot: better informed than any real front.
struct Baseline {
    /// Waiting tickets, by urgency under strict priority.
    queues: BTreeMap<u32, VecDeque<Ticket>>,
    tickets: SlotMap<Ticket, (Instant, Option<VmId>)>,
    free: Vec<VmId>,
    strict: bool,
}

impl Baseline {
    fn new(view: &PoolView, strict: bool) -> Self {
        let pools = view.pools.values();
        let vms = pools.flat_map(|p| p.upstreams.iter().map(|u| (u.vm.clone(), p.slots)));
        let free = vms.flat_map(|(vm, slots)| vec![vm; slots as usize]).collect();
        Baseline { queues: BTreeMap::new(), tickets: SlotMap::with_key(), free, strict }
    }
}

impl Front for Baseline {
    fn offer(&mut self, request: Request, _now: Instant) -> Admission {
        let order = |class: &str| CLASSES.iter().position(|c| c.0 == class).unwrap_or_default();
        let urgency = if self.strict { order(request.class.as_str()) as u32 } else { 0 };
        if let Some(vm) = self.free.pop() {
            let ticket = self.tickets.insert((request.deadline, Some(vm.clone())));
            return Admission::Dispatch { ticket, upstream: vm };
        }
        let ticket = self.tickets.insert((request.deadline, None));
        self.queues.entry(urgency).or_default().push_back(ticket);
        Admission::Queued { ticket }
    }

    fn complete(&mut self, ticket: Ticket, _result: Completion, now: Instant) -> Vec<Action> {
        let Some((_, Some(vm))) = self.tickets.remove(ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        while let Some(ticket) = self.queues.values_mut().find_map(VecDeque::pop_front) {
            let (deadline, upstream) = &mut self.tickets[ticket];
            let remaining = deadline.saturating_duration_since(now);
            // Both baselines drop what has expired; without that, nothing ends in time under a flood.
            if remaining.is_zero() {
                self.tickets.remove(ticket);
                actions.push(Action::GiveUp {
                    ticket,
                    reason: cj_route::Refusal::Deadline,
                    may_have_run: false,
                    retry_after: Duration::ZERO,
                });
                continue;
            }
            *upstream = Some(vm.clone());
            actions.push(Action::Dispatch { ticket, upstream: vm, remaining });
            return actions;
        }
        self.free.push(vm);
        actions
    }

    fn poll(&mut self, _now: Instant) -> Vec<Action> {
        Vec::new()
    }

    fn next_poll(&self) -> Option<Instant> {
        None
    }
}

fn sources(floods: &[usize]) -> Vec<Source> {
    let slots = (UPSTREAMS as f64) * f64::from(SLOTS);
    let source = |(index, &(class, share, deadline, service)): (usize, &(_, u32, u64, u64))| {
        let capacity = slots / (service as f64 / 1e3);
        let usual = |team| Source {
            service: "s-0".into(),
            class,
            team,
            service_micros: service * 1000,
            deadline: Duration::from_millis(deadline),
            peak: capacity * f64::from(share) / 100.0 * DEMAND / 2.0,
            shape: Shape::Steady,
            repeats: 0,
        };
        let flood = Source { peak: FLOOD * capacity, ..usual("flood") };
        let flood = floods.contains(&index).then_some(flood);
        [usual("a"), usual("b")].into_iter().chain(flood)
    };
    CLASSES.iter().enumerate().flat_map(source).collect()
}

fn classes() -> Vec<(&'static str, cj_settings::ClassSettings)> {
    let class = |(urgency, &(name, share, deadline, _)): (usize, &(_, u32, u64, u64))| {
        (name, fake::class(urgency as u32, share, Duration::from_millis(deadline)))
    };
    CLASSES.iter().enumerate().map(class).collect()
}

fn team(quota: u32) -> TeamSettings {
    TeamSettings { quota: Percent(quota), weight: quota, ..fake::team() }
}

/// In-deadline answers per class of the teams within their quota, and p99.9 of the start of urgent work in ms.
struct Outcome {
    good: Vec<f64>,
    /// In-deadline answers per request of the teams within their quota.
    goodput: f64,
    /// Used part of all slots by class and team.
    shares: BTreeMap<String, f64>,
    urgent_start: f64,
}

fn outcome<F>(mut fake: Fake<F>, sources: &[Source]) -> Outcome
where
    F: Front,
{
    fake.run();
    let mut good = vec![0.0; CLASSES.len()];
    let mut offered = 0.0;
    let slot_micros = UPSTREAMS as f64 * f64::from(SLOTS) * (TIMES.1 - TIMES.0) as f64 * 1e6;
    let shares = fake.tallies.iter().zip(sources).map(|(tally, source)| {
        (format!("{}/{}", source.class, source.team), tally.busy as f64 / slot_micros)
    });
    let shares = shares.collect();
    let mut start = Histogram::<u64>::new(3).expect("constant precision");
    for (tally, source) in fake.tallies.iter().zip(sources).filter(|(_, s)| s.team != "flood") {
        let class = CLASSES.iter().position(|c| c.0 == source.class).expect("listed");
        good[class] += tally.good as f64;
        offered += tally.offered as f64;
        if class == MOST {
            start.add(&tally.start).expect("same bounds");
        }
    }
    let goodput = good.iter().sum::<f64>() / offered;
    Outcome { good, goodput, shares, urgent_start: start.value_at_quantile(0.999) as f64 / 1e3 }
}

fn measure<F, M>(make: M, seed: u64) -> Value
where
    F: Front,
    M: Fn() -> (Vec<F>, PoolView),
{
    let run = |floods: &[usize]| {
        let (fronts, view) = make();
        let sources = sources(floods);
        outcome(Fake::new(fronts, &view.pools, sources.clone(), TIMES, seed), &sources)
    };
    let plain = run(&[]);
    let mut report = json!({ "goodput_without_flood": plain.goodput });
    let mut worst_start = plain.urgent_start;
    for (name, floods) in
        [("least_urgent", vec![LEAST]), ("most_urgent", vec![MOST]), ("both", vec![MOST, LEAST])]
    {
        let flooded = run(&floods);
        let others = (0..CLASSES.len()).filter(|c| !floods.contains(c));
        let sum = |o: &Outcome| others.clone().map(|c| o.good[c]).sum::<f64>();
        let worst = others.clone().map(|c| flooded.good[c] / plain.good[c]);
        report[name] = json!({
            "retention": sum(&flooded) / sum(&plain),
            "slot_shares": &flooded.shares,
            "worst_class_retention": worst.fold(f64::INFINITY, f64::min),
            "same_class_other_team_retention":
                floods.iter().map(|&c| flooded.good[c] / plain.good[c]).collect::<Vec<_>>(),
        });
        report[name]["urgent_start_p999_ms"] = json!(flooded.urgent_start);
        worst_start = worst_start.max(flooded.urgent_start);
    }
    report["urgent_start_p999_ms"] = json!(worst_start);
    report
}

/// Measures retention under floods with the router and with two baselines.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let mut view = fake::view((1, UPSTREAMS, SLOTS), &classes(), options.nodes.unwrap_or(NODES));
    view.teams =
        TEAMS.iter().map(|(name, quota)| (name.parse().expect("valid"), team(*quota))).collect();
    let route = || {
        let routers = fake::routers(&view, cj_route::Options::default(), options.seed);
        (routers, view.clone())
    };
    let baseline = |strict| {
        let view = &view;
        move || (vec![Baseline::new(view, strict)], view.clone())
    };
    let mut report = measure(route, options.seed);
    report["fifo"] = measure(baseline(false), options.seed);
    report["strict"] = measure(baseline(true), options.seed);
    Ok(report)
}
