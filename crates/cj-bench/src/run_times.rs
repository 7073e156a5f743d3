//! Learned run times: time per prediction, bytes of state, and calibration.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use cj_sched::{
    codec,
    run_times::{MAX_QUEUES, PredictionCounts, RunTimeModel, Siblings, StepKind},
};
use cj_types::{Accelerators, Mebibytes, Millicores, Resources, Result};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::Options;

/// Steps of each queue that are learned from before the calibration is measured.
const WARM_UP_STEPS: usize = 60;

/// Steps of each queue that the calibration is measured on.
const MEASURED_STEPS: usize = 200;

/// Tasks of a step, which run in halves.
const TASKS: usize = 8;

/// Demands of the steps of a queue, in millicores.
const DEMANDS: [u32; 4] = [500, 1_000, 2_000, 4_000];

/// Share of the tasks that take seven times as long.
const LONG_SHARE: f64 = 0.03;

/// Predictions whose time is measured.
const PREDICTIONS: u32 = 1_000_000;

/// Queues whose estimates are wrong by a factor that differs from step to step.
struct Load {
    model: RunTimeModel,
    rng: Pcg64Mcg,
    queues: Vec<String>,
    learning: Duration,
}

impl Load {
    fn new(seed: u64) -> Self {
        Load {
            model: RunTimeModel::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            queues: (0..MAX_QUEUES).map(|n| format!("queue-{n}")).collect(),
            learning: Duration::ZERO,
        }
    }

    /// Runs a step of a queue, the second half of its tasks once the first half has ended.
    fn run_step(&mut self, queue: usize) {
        let rng = &mut self.rng;
        let factor = rng.random_range((1.0_f64 / 3.0).ln()..3.0_f64.ln()).exp();
        let length = (0.7 + 0.02 * queue as f64) * rng.random_range(0.7..1.3);
        let cores = DEMANDS[rng.random_range(0..DEMANDS.len())];
        let mut step = kind(&self.queues[queue], cores, Duration::from_secs_f64(length * factor));
        for _ in 0..2 {
            let mut ended = step.siblings;
            for _ in 0..TASKS / 2 {
                let long = if rng.random_bool(LONG_SHARE) { 7.0 } else { 1.0 };
                let took = Duration::from_secs_f64(length * long * rng.random_range(0.8..1.2));
                let began = Instant::now();
                match self.model.step_times(&step).predict().basis(0.0) {
                    Some(basis) => self.model.observe(&step, &basis, took),
                    None => self.model.observe_unpredicted(&step, took),
                }
                self.learning += began.elapsed();
                ended.add(took, 0.0);
            }
            step.siblings = ended;
        }
    }

    fn run_steps(&mut self, count: usize) -> PredictionCounts {
        let before = self.model.total_counts();
        for _ in 0..count {
            (0..self.queues.len()).for_each(|queue| self.run_step(queue));
        }
        self.model.total_counts().since(&before)
    }
}

fn kind(queue: &str, cores: u32, estimate: Duration) -> StepKind<'_> {
    let demand = Resources {
        cores: Millicores(cores),
        memory: Mebibytes(1_000),
        accelerators: Accelerators(0),
    };
    StepKind { queue, demand, estimate, siblings: Siblings::default() }
}

fn calibration(counts: PredictionCounts) -> Value {
    let [half, most] = counts.shares().unwrap_or_default();
    json!({ "runs": counts.runs(), "within_50": half, "within_90": most })
}

/// Nanoseconds of one call of `predict`, with steps of different queues and demands.
fn nanoseconds<F>(load: &Load, predict: F) -> f64
where
    F: Fn(&StepKind<'_>, usize) -> Duration,
{
    let steps: Vec<_> = (0..1_000)
        .map(|n| {
            let queue = &load.queues[n % load.queues.len()];
            kind(queue, DEMANDS[n % DEMANDS.len()], Duration::from_millis(100 + n as u64))
        })
        .collect();
    let began = Instant::now();
    for n in 0..PREDICTIONS as usize {
        black_box(predict(&steps[n % steps.len()], n));
    }
    began.elapsed().as_nanos() as f64 / f64::from(PREDICTIONS)
}

/// Learns the run times of the greatest number of queues, with estimates that are off by up to three times and a share of tasks that
/// take seven times as long, and measures predictions by the result.
///
/// # Errors
///
/// None at present.
pub fn run(options: &Options) -> Result<Value> {
    let mut load = Load::new(options.seed);
    load.run_steps(WARM_UP_STEPS);
    let learned = load.run_steps(MEASURED_STEPS);
    let observations = load.model.observations();
    let learning_ns = load.learning.as_nanos() as f64 / observations as f64;
    let began = Instant::now();
    let state = load.model.state();
    let bytes = codec::to_bytes(&state).len();
    let state_ms = began.elapsed().as_secs_f64() * 1e3;
    let largest = state.queues.iter().map(|queue| codec::to_bytes(queue).len()).max();
    let mean = nanoseconds(&load, |step, _| load.model.step_times(step).expected());
    let quantile =
        nanoseconds(&load, |step, _| load.model.step_times(step).predict().quantile(0.9));
    let remaining = nanoseconds(&load, |step, n| {
        let elapsed = Duration::from_millis((n % 3_000) as u64);
        load.model.step_times(step).predict().remaining(Duration::from_secs(1), elapsed)
    });
    load.model = RunTimeModel::restore(&state);
    let restored = load.run_steps(MEASURED_STEPS);
    Ok(json!({
        "queues": state.queues.len(),
        "state_bytes": bytes, "largest_queue_bytes": largest, "state_ms": state_ms,
        "mean_ns": mean, "quantile_ns": quantile, "remaining_ns": remaining,
        "predict_and_learn_ns": learning_ns,
        "calibration": calibration(learned), "calibration_restored": calibration(restored),
    }))
}
