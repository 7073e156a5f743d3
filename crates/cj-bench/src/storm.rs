//! Goodput around an outage of upstreams, with and without the retry budget.

use std::time::Duration;

use serde_json::{Value, json};

use cj_types::Result;

use crate::{
    Options,
    fake::{self, Fake, Fault, Shape, Source},
};

const UPSTREAMS: usize = 12;
const SLOTS: u32 = 8;
const NODES: u32 = 9;
/// Demand as a part of the capacity.
const DEMAND: f64 = 0.75;
const SERVICE_MS: u64 = 100;
const DEADLINE: Duration = Duration::from_secs(3);
/// Times in seconds: start of the measurement, of the outage, its end, and the end.
const FROM: u64 = 5;
const OUTAGE: (u64, u64) = (15, 25);
const END: u64 = 45;
/// How often callers repeat a failed request by themselves.
const REPEATS: u32 = 2;

fn measure(ratio: Option<f64>, (fault, count): (Fault, usize), options: &Options) -> Value {
    let classes = [("urgent", fake::class(0, 100, DEADLINE))];
    let nodes = options.nodes.unwrap_or(NODES);
    let view = fake::view((1, UPSTREAMS, SLOTS), &classes, nodes);
    let settings = cj_route::Options { retry_ratio: ratio, ..cj_route::Options::default() };
    let routers = fake::routers(&view, settings, options.seed);
    let capacity = UPSTREAMS as f64 * f64::from(SLOTS) / (SERVICE_MS as f64 / 1e3);
    let source = Source {
        service: "s-0".into(),
        class: "urgent",
        team: "a",
        service_micros: SERVICE_MS * 1000,
        deadline: DEADLINE,
        peak: capacity * DEMAND,
        shape: Shape::Steady,
        repeats: REPEATS,
    };
    let rate = source.peak;
    let mut fake = Fake::new(routers, &view.pools, vec![source], (FROM, END), options.seed);
    fake.fail_upstreams(count, fault, OUTAGE);
    fake.run();
    let seconds = &fake.tallies[0].per_second;
    let goodput = |from: u64, to: u64| {
        let sum: u64 = seconds[from as usize..to as usize].iter().sum();
        sum as f64 / ((to - from) as f64 * rate)
    };
    let before = goodput(FROM, OUTAGE.0);
    let recovered = (OUTAGE.1..END).find(|&s| goodput(s, s + 1) >= 0.95 * before);
    json!({
        "before": before,
        "during": goodput(OUTAGE.0, OUTAGE.1),
        "after": goodput(OUTAGE.1 + 5, END),
        "recovered_after_s": recovered.map(|s| s - OUTAGE.1),
        "attempts": fake.attempts,
    })
}

/// Measures outages of half and of all upstreams.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let mut report = json!({});
    let ratio = cj_route::Options::default().retry_ratio;
    let faults =
        [("silent", Fault::Silent), ("refusing", Fault::Refusing), ("wasting", Fault::Wasting)];
    for (name, fault) in faults {
        for (part, count) in [("half", UPSTREAMS / 2), ("all", UPSTREAMS)] {
            report[name][part]["budget"] = measure(ratio, (fault, count), options);
            report[name][part]["no_budget"] = measure(None, (fault, count), options);
        }
    }
    Ok(report)
}
