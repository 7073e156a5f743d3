//! The model of learned run times, without a scheduler.

use std::time::Duration;

use cj_sched::run_times::{
    BINS, MAX_QUEUES, MAX_SHAPES, QueueState, RatioState, RegressionState, RunTimeModel, RunTimes,
    ShapeState, Siblings, StepKind,
};
use cj_types::{Accelerators, Mebibytes, Millicores, Resources};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn cores(cores: u32) -> Resources {
    Resources { cores: Millicores(cores), memory: Mebibytes(1_000), accelerators: Accelerators(0) }
}

fn kind(queue: &str, estimate_ms: u64) -> StepKind<'_> {
    let estimate = Duration::from_millis(estimate_ms);
    StepKind { queue, demand: cores(1_000), estimate, siblings: Siblings::default() }
}

/// A queue whose estimates are wrong by a factor that differs from step to step, and of whose tasks 3% take seven times as long.
struct Load {
    model: RunTimeModel,
    rng: Pcg64Mcg,
    /// Runs that are given up before their end, as a share.
    stopped: f64,
}

impl Load {
    fn new(seed: u64) -> Self {
        Load { model: RunTimeModel::default(), rng: Pcg64Mcg::seed_from_u64(seed), stopped: 0.0 }
    }

    /// Runs the eight tasks of a step, the second half once the first half has ended.
    fn run_step(&mut self, mean_s: f64) {
        let factor = self.rng.random_range((1.0_f64 / 3.0).ln()..3.0_f64.ln()).exp();
        let length = mean_s * self.rng.random_range(0.7..1.3);
        let mut step = kind("red", (length * factor * 1e3) as u64);
        for _ in 0..2 {
            let mut ended = step.siblings;
            let runs: Vec<_> = (0..4)
                .map(|_| {
                    let long = if self.rng.random_bool(0.03) { 7.0 } else { 1.0 };
                    let took = length * long * self.rng.random_range(0.8..1.2);
                    (
                        Duration::from_secs_f64(took),
                        self.model.step_times(&step).predict().basis(0.0).unwrap(),
                    )
                })
                .collect();
            for (took, basis) in runs {
                if self.rng.random_bool(self.stopped) {
                    let share = self.rng.random_range(0.0..1.5);
                    let limit = Duration::from_secs_f64(length * share);
                    if limit < took {
                        self.model.observe_unfinished(&step, &basis, limit);
                        continue;
                    }
                }
                self.model.observe(&step, &basis, took);
                ended.add(took, 0.0);
            }
            step.siblings = ended;
        }
    }

    /// Shares of the runs of `steps` steps that ended within the predicted quantiles.
    fn calibration(&mut self, steps: usize) -> [f64; 2] {
        let before = self.model.total_counts();
        (0..steps).for_each(|_| self.run_step(1.0));
        self.model.total_counts().since(&before).shares().unwrap()
    }
}

fn assert_calibrated(shares: [f64; 2], what: &str) {
    let off = [(shares[0] - 0.5).abs(), (shares[1] - 0.9).abs()];
    assert!(off.iter().all(|off| *off <= 0.05), "{what}: {shares:?}");
}

/// Guards against quantiles that more or fewer runs exceed than stated: the tasks of a step share its factor, and some run long.
#[test]
fn quantiles_are_calibrated() {
    for seed in 0..8 {
        let mut load = Load::new(seed);
        load.calibration(60);
        assert_calibrated(load.calibration(400), "after 60 steps");
    }
}

/// Guards against a takeover that loses what was learned: the restored model is calibrated from its first prediction.
#[test]
fn a_restored_model_is_calibrated() {
    for seed in 0..8 {
        let mut load = Load::new(seed);
        load.calibration(200);
        let expected = load.model.step_times(&kind("red", 1_000)).expected().as_secs_f64();
        load.model = RunTimeModel::restore(&load.model.state());
        let restored = load.model.step_times(&kind("red", 1_000)).expected().as_secs_f64();
        assert!((restored / expected - 1.0).abs() < 0.05, "{restored} instead of {expected}");
        assert_calibrated(load.calibration(200), "after a restart");
    }
}

/// Guards against run times that seem short because the longer runs are the ones given up.
#[test]
fn runs_given_up_do_not_shorten_predictions() {
    let median = |stopped: f64| {
        let mut load = Load { stopped, ..Load::new(5) };
        load.calibration(400);
        load.model.step_times(&kind("red", 1_000)).predict().quantile(0.5).as_secs_f64()
    };
    let (whole, censored) = (median(0.0), median(0.5));
    assert!((censored / whole - 1.0).abs() < 0.15, "{censored} instead of {whole}");
}

/// Guards against a run that counts as about to end for as long as it lasts: one that has outlasted most others is one of the
/// few that take seven times as long.
#[test]
fn remaining_time_depends_on_the_elapsed_time() {
    let mut load = Load::new(3);
    load.calibration(400);
    let mut step = kind("red", 1_000);
    step.siblings.add(Duration::from_secs(1), 0.0);
    let prediction = load.model.step_times(&step).predict();
    let mean = Duration::from_millis(1_180);
    let remaining = |ms: u64| prediction.remaining(mean, Duration::from_millis(ms)).as_secs_f64();
    assert!((remaining(0) - 1.18).abs() < 0.01, "{}", remaining(0));
    assert!(remaining(900) < 0.7 && remaining(2_500) > 2.0);
    assert!(remaining(60_000) > 1.0);
}

/// Guards against absurd estimates that spoil their own predictions or those of other steps.
#[test]
fn absurd_estimates_do_no_harm() {
    let year = 365 * 24 * 3_600 * 1_000;
    let mut load = Load::new(4);
    load.calibration(100);
    let usual = load.model.step_times(&kind("red", 1_000)).expected().as_secs_f64();
    for estimate in [0, year] {
        let step = kind("red", estimate);
        let expected = load.model.step_times(&step).expected().as_secs_f64();
        assert!((0.2..20.0).contains(&expected), "{expected} for {estimate} ms");
        for _ in 0..20 {
            let basis = load.model.step_times(&step).predict().basis(0.0).unwrap();
            load.model.observe(&step, &basis, Duration::from_secs(1));
        }
    }
    let after = load.model.step_times(&kind("red", 1_000)).expected().as_secs_f64();
    assert!((0.5..2.0).contains(&(after / usual)), "{after} instead of {usual}");
    let mut unknown = RunTimeModel::default();
    assert_eq!(unknown.step_times(&kind("red", 0)).predict().quantile(0.9), Duration::ZERO);
    assert!(
        unknown.step_times(&kind("red", u64::MAX)).expected()
            < Duration::from_secs(365 * 24 * 3_600)
    );
    (0..10).for_each(|_| unknown.observe_unpredicted(&kind("red", 0), Duration::from_secs(3)));
    let learned = unknown.step_times(&kind("red", 0)).predict().quantile(0.5).as_secs_f64();
    assert!((learned - 3.0).abs() < 0.1, "{learned} without estimates");
}

fn hostile_shape(value: f32, skipped: u8, bins: Vec<u8>) -> ShapeState {
    let regression = RegressionState {
        count: value,
        mean_estimate: value,
        mean_actual: value,
        variance: value,
        covariance: value,
    };
    let ratios = RatioState { weight: value, skipped, bins };
    ShapeState { regression, fresh: ratios.clone(), begun: ratios }
}

/// Guards against a corrupt or hostile record that leads to absurd predictions, or to ones that new observations don't outweigh.
#[test]
fn hostile_states_are_outweighed() {
    let last = BINS as u8 - 1;
    let bins = [
        (0, vec![255; BINS]),
        (last, vec![255]),
        (u8::MAX, vec![255]),
        (1, vec![0; BINS]),
        (0, vec![]),
        (0, vec![7; 100_000]),
    ];
    let values =
        [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, f32::MAX, f32::MIN, -1.0, 1e-30, 11.0];
    for value in values {
        for (skipped, bins) in &bins {
            let all = hostile_shape(value, *skipped, bins.clone());
            let shapes = vec![(cores(1_000).into(), all.clone()); 3 * MAX_SHAPES];
            let queue = QueueState { name: "red".into(), all, shapes };
            let state = RunTimes { queues: vec![queue; 3 * MAX_QUEUES] };
            let mut load = Load::new(6);
            load.model = RunTimeModel::restore(&state);
            for quantile in [f32::NAN, -1.0, 0.0, 0.5, 1.0, 2.0] {
                let predicted =
                    load.model.step_times(&kind("red", 1_000)).predict().quantile(quantile);
                assert!(predicted < Duration::from_secs(365 * 24 * 3_600));
            }
            let step = kind("red", 1_000);
            let longest = Duration::from_secs(u64::MAX);
            let _ = load.model.step_times(&step).predict().remaining(longest, longest);
            assert!(
                load.model.step_times(&step).predict().remaining(Duration::ZERO, longest).is_zero()
            );
            load.calibration(100);
            let expected = load.model.step_times(&step).expected().as_secs_f64();
            assert!((0.2..5.0).contains(&expected), "{expected} s after {value} {}", bins.len());
            assert_calibrated(load.calibration(300), "after a hostile state");
        }
    }
}

/// Guards against a state that grows with the number of queues and shapes, or beyond 1 KiB a queue.
#[test]
fn state_is_bounded() {
    let mut model = RunTimeModel::default();
    for queue in 0..200 {
        let name = format!("{queue:064}");
        for shape in 0..20 {
            for ms in 1..40 {
                let step = StepKind { demand: cores(1 << shape), ..kind(&name, ms * 100) };
                let basis = model.step_times(&step).predict().basis(0.0).unwrap();
                model.observe(&step, &basis, Duration::from_millis(ms * ms));
            }
        }
    }
    let state = model.state();
    assert_eq!(state.queues.len(), MAX_QUEUES);
    assert!(state.queues.iter().all(|queue| queue.shapes.len() == MAX_SHAPES));
    for queue in &state.queues {
        let size = cj_sched::codec::to_bytes(queue).len();
        assert!(size <= 1_024, "{size} bytes");
    }
    // The counts of queues that were dropped aren't lost.
    let counts = model.total_counts();
    assert_eq!(counts.within[0] + counts.beyond[0], 200 * 20 * 39);
}
