//! Cost and quality of the ways to divide upstream slots among entry nodes.

use std::time::Duration;

use serde_json::{Value, json};

use cj_route::Selection;
use cj_types::Result;

use crate::{
    Options,
    fake::{self, Fake, Shape, Source},
};

const SLOTS: u32 = 8;
const NODES: u32 = 9;
/// Mean load as a part of the capacity; bursts of 5 times the mean exceed it.
const MEAN_LOAD: f64 = 0.28;
const BURST: f64 = 5.0;
/// Load between the bursts, as a part of the burst: a twentieth of the mean.
const LOW: f64 = 0.05 / BURST;
const CLASSES: [(&str, u32, u64); 2] = [("urgent", 60, 3_000), ("prompt", 30, 6_000)];
const WAYS: [Selection; 4] =
    [Selection::TwoChoices, Selection::Apportioned, Selection::Subset, Selection::Borrowing];

struct Size {
    name: &'static str,
    pools: usize,
    upstreams: usize,
    /// Mean service time in ms.
    service: u64,
    /// Warm-up and end in seconds.
    times: (u64, u64),
}

const SIZES: [Size; 2] = [
    Size { name: "deployment", pools: 5, upstreams: 12, service: 100, times: (5, 45) },
    Size { name: "design_capacity", pools: 42, upstreams: 72, service: 500, times: (5, 25) },
];

/// Shape of the load.
#[derive(Clone, Copy)]
enum Load {
    /// 70% of the capacity all the time.
    Steady,
    /// Each pool in turn bursts to 5 times its mean load.
    Bursts,
}

fn sources(size: &Size, load: Load) -> Vec<Source> {
    let capacity = size.upstreams as f64 * f64::from(SLOTS) / (size.service as f64 / 1e3);
    let source = |pool: usize, (class, share, deadline): (&'static str, u32, u64)| {
        let part = f64::from(share) / CLASSES.iter().map(|c| f64::from(c.1)).sum::<f64>();
        let turn = (pool % 5) as u64;
        let (rate, shape) = match load {
            Load::Steady => (0.7, Shape::Steady),
            Load::Bursts => {
                (MEAN_LOAD * BURST, Shape::Turns { period: 20_000_000, turn, turns: 5, low: LOW })
            }
        };
        Source {
            service: format!("s-{pool}"),
            class,
            team: "a",
            service_micros: size.service * 1000,
            deadline: Duration::from_millis(deadline),
            peak: capacity * part * rate,
            shape,
            repeats: 0,
        }
    };
    (0..size.pools).flat_map(|p| CLASSES.map(|class| source(p, class))).collect()
}

fn measure(size: &Size, load: Load, selection: Selection, options: &Options) -> Value {
    let classes = CLASSES.iter().enumerate().map(|(urgency, &(name, share, deadline))| {
        (name, fake::class(urgency as u32, share, Duration::from_millis(deadline)))
    });
    let classes: Vec<_> = classes.collect();
    let nodes = options.nodes.unwrap_or(NODES);
    let view = fake::view((size.pools, size.upstreams, SLOTS), &classes, nodes);
    let settings = cj_route::Options { selection, ..cj_route::Options::default() };
    let routers = fake::routers(&view, settings, options.seed);
    let mut fake = Fake::new(routers, &view.pools, sources(size, load), size.times, options.seed);
    fake.run();
    let mut start = hdrhistogram::Histogram::<u64>::new(3).expect("constant precision");
    let (mut offered, mut good) = (0, 0);
    for tally in &fake.tallies {
        start.add(&tally.start).expect("same bounds");
        offered += tally.offered;
        good += tally.good;
    }
    let (connections, most) = fake.connections();
    json!({
        "decision_ns": fake.spent.as_nanos() as u64 / fake.offers.max(1),
        "overrun_ratio": fake.overruns as f64 / fake.attempts.max(1) as f64,
        "wait_p50_ms": start.value_at_quantile(0.5) as f64 / 1e3,
        "wait_p99_ms": start.value_at_quantile(0.99) as f64 / 1e3,
        "goodput": good as f64 / f64::from(u32::try_from(offered).unwrap_or(u32::MAX)),
        "connections_mean": connections,
        "connections_max": most,
    })
}

/// Compares the ways at the size of a deployment and at the design capacity.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let mut report = json!({});
    for size in &SIZES {
        for way in WAYS {
            let name = way.to_string();
            report[size.name][&name]["steady"] = measure(size, Load::Steady, way, options);
            report[size.name][&name]["bursts"] = measure(size, Load::Bursts, way, options);
        }
    }
    let chosen = cj_route::Options::default().selection;
    let of_chosen = report["deployment"][chosen.to_string()]["bursts"].clone();
    for key in ["decision_ns", "overrun_ratio", "wait_p99_ms"] {
        report[key] = of_chosen[key].clone();
    }
    report["chosen"] = json!(chosen.to_string());
    Ok(report)
}
