//! Learns run times from runs that ended, and predicts those of others.

use std::{collections::HashMap, time::Duration};

use cj_types::Resources;
use compact_str::CompactString;

use super::{
    prediction::{PredictionCounts, RunBasis, StepKind, StepTimes},
    ratios::{RatioHistogram, RatioTable},
    regression::{Regression, bare_estimate, from_ln, ln_seconds, longest_time},
    state::{MAX_QUEUE_NAME, MAX_QUEUES, MAX_SHAPES, QueueState, RunTimes, ShapeKey, ShapeState},
};

/// Assumed spread of the ratios for steps of which no task has ended, as the standard deviation of their logarithms.
const FRESH_DEVIATION: f32 = 0.5;

/// The same for steps of which some tasks have ended. The longest of 20 to 100 tasks then takes 1.6 to 1.9 times the mean.
const BEGUN_DEVIATION: f32 = 0.25;

/// A histogram with its table.
#[derive(Clone, Debug)]
struct Ratios {
    histogram: RatioHistogram,
    table: RatioTable,
}

impl Ratios {
    fn new(histogram: RatioHistogram, prior: &RatioTable) -> Self {
        let table = histogram.table(prior);
        Ratios { histogram, table }
    }

    fn observe(&mut self, log: f32, complete: bool, prior: &RatioTable) {
        if complete {
            self.histogram.observe(log);
        } else {
            self.histogram.observe_beyond(log, &self.table);
        }
        self.table = self.histogram.table(prior);
    }
}

/// Distributions by whether some task of the step has ended.
#[derive(Clone, Copy)]
struct Priors<'a> {
    fresh: &'a RatioTable,
    begun: &'a RatioTable,
}

/// What was learned of some steps.
#[derive(Clone, Debug)]
struct Learned {
    regression: Regression,
    fresh: Ratios,
    begun: Ratios,
    /// Number of the last observation.
    observed: u64,
}

impl Learned {
    fn restore(state: &ShapeState, priors: Priors<'_>, observed: u64) -> Self {
        Learned {
            regression: Regression::restore(&state.regression),
            fresh: Ratios::new(RatioHistogram::restore(&state.fresh), priors.fresh),
            begun: Ratios::new(RatioHistogram::restore(&state.begun), priors.begun),
            observed,
        }
    }

    fn state(&self) -> ShapeState {
        ShapeState {
            regression: self.regression.state(),
            fresh: self.fresh.histogram.state(),
            begun: self.begun.histogram.state(),
        }
    }

    fn priors(&self) -> Priors<'_> {
        Priors { fresh: &self.fresh.table, begun: &self.begun.table }
    }

    fn observe(&mut self, run: &Observation, priors: Priors<'_>) {
        self.regression.observe(run.estimate, run.length, run.weight);
        let (ratios, prior) = if run.begun {
            (&mut self.begun, priors.begun)
        } else {
            (&mut self.fresh, priors.fresh)
        };
        if let Some(ratio) = run.ratio {
            ratios.observe(ratio, run.complete, prior);
        }
        self.observed = run.number;
    }
}

/// An ended run, in natural logarithms.
struct Observation {
    number: u64,
    estimate: Duration,
    /// Run time on a worker of average speed.
    length: f32,
    /// Weight of `length`.
    weight: f32,
    /// Ratio to the expected run time; `None` if nothing was expected.
    ratio: Option<f32>,
    begun: bool,
    /// The task is done; otherwise it would have taken longer.
    complete: bool,
}

/// What was learned of a queue.
#[derive(Clone, Debug)]
struct QueueModel {
    all: Learned,
    shapes: Vec<(ShapeKey, Learned)>,
    counts: PredictionCounts,
}

impl QueueModel {
    fn restore(state: &QueueState, priors: Priors<'_>, observed: u64) -> Self {
        let all = Learned::restore(&state.all, priors, observed);
        let mut shapes: Vec<(ShapeKey, Learned)> = Vec::new();
        for (key, shape) in state.shapes.iter().take(MAX_SHAPES) {
            if shapes.iter().all(|(known, _)| known != key) {
                shapes.push((*key, Learned::restore(shape, all.priors(), observed)));
            }
        }
        QueueModel { all, shapes, counts: PredictionCounts::default() }
    }

    fn shape(&self, demand: Resources) -> Option<&Learned> {
        let key = ShapeKey::from(demand);
        self.shapes.iter().find(|(known, _)| *known == key).map(|(_, learned)| learned)
    }

    fn observe(&mut self, demand: Resources, run: &Observation, priors: Priors<'_>) {
        self.all.observe(run, priors);
        let (priors, shapes) = (self.all.priors(), &mut self.shapes);
        let index = shape_index(shapes, ShapeKey::from(demand), priors);
        shapes[index].1.observe(run, priors);
    }
}

/// Index of a shape, which is added if it isn't known: in place of the one that was observed longest ago if there are too many.
fn shape_index(shapes: &mut Vec<(ShapeKey, Learned)>, key: ShapeKey, priors: Priors<'_>) -> usize {
    if let Some(index) = shapes.iter().position(|(known, _)| *known == key) {
        return index;
    }
    if shapes.len() >= MAX_SHAPES {
        let oldest = (0..shapes.len()).min_by_key(|index| shapes[*index].1.observed);
        shapes.swap_remove(oldest.unwrap_or(0));
    }
    shapes.push((key, Learned::restore(&ShapeState::default(), priors, 0)));
    shapes.len() - 1
}

/// Run times learned by one owner.
#[derive(Clone, Debug)]
pub struct RunTimeModel {
    queues: HashMap<CompactString, QueueModel>,
    fresh_prior: RatioTable,
    begun_prior: RatioTable,
    /// Number of the last observation.
    observations: u64,
    /// Counts of queues that were dropped.
    dropped: PredictionCounts,
}

impl Default for RunTimeModel {
    fn default() -> Self {
        RunTimeModel {
            queues: HashMap::new(),
            fresh_prior: RatioTable::log_normal(FRESH_DEVIATION),
            begun_prior: RatioTable::log_normal(BEGUN_DEVIATION),
            observations: 0,
            dropped: PredictionCounts::default(),
        }
    }
}

impl RunTimeModel {
    /// Restores a recorded model. Values that aren't valid count as unknown or are limited.
    pub fn restore(state: &RunTimes) -> Self {
        let mut model = RunTimeModel::default();
        let valid = |queue: &&QueueState| queue.name.len() <= MAX_QUEUE_NAME;
        for queue in state.queues.iter().filter(valid).take(MAX_QUEUES) {
            if !model.queues.contains_key(&queue.name) {
                let restored = QueueModel::restore(queue, model.priors(), 0);
                model.queues.insert(queue.name.clone(), restored);
            }
        }
        model
    }

    /// The state to be recorded.
    pub fn state(&self) -> RunTimes {
        let mut queues: Vec<_> = self.queues.iter().collect();
        queues.retain(|(name, _)| name.len() <= MAX_QUEUE_NAME);
        queues.sort_by_key(|(name, queue)| (std::cmp::Reverse(queue.all.observed), *name));
        let to_state = |(name, queue): (&CompactString, &QueueModel)| {
            let mut shapes: Vec<_> = queue.shapes.iter().collect();
            shapes.sort_by_key(|(_, learned)| std::cmp::Reverse(learned.observed));
            let shapes = shapes.into_iter().map(|(key, learned)| (*key, learned.state()));
            QueueState { name: name.clone(), all: queue.all.state(), shapes: shapes.collect() }
        };
        RunTimes { queues: queues.into_iter().map(to_state).collect() }
    }

    /// Number of runs learned from since the model was made.
    pub fn observations(&self) -> u64 {
        self.observations
    }

    fn priors(&self) -> Priors<'_> {
        Priors { fresh: &self.fresh_prior, begun: &self.begun_prior }
    }

    /// What was learned that concerns a step.
    pub fn step_times(&self, step: &StepKind<'_>) -> StepTimes<'_> {
        let queue = self.queues.get(step.queue);
        let Some(queue) = queue else { return self.unlearned_times(step) };
        let prior = bare_estimate(step.estimate);
        let expected = queue.all.regression.predict(step.estimate, prior);
        let (learned, expected) = match queue.shape(step.demand) {
            Some(shape) => (shape, shape.regression.predict(step.estimate, expected)),
            None => (&queue.all, expected),
        };
        StepTimes {
            siblings: step.siblings,
            expected,
            mean: expected.map_or(Duration::ZERO, from_ln),
            fresh: &learned.fresh.table,
            begun: &learned.begun.table,
        }
    }

    /// The same from the estimate alone, with the spread that is assumed without observations.
    pub fn unlearned_times(&self, step: &StepKind<'_>) -> StepTimes<'_> {
        StepTimes {
            siblings: step.siblings,
            expected: bare_estimate(step.estimate),
            mean: step.estimate.min(longest_time()),
            fresh: &self.fresh_prior,
            begun: &self.begun_prior,
        }
    }

    /// Learns from a finished run, and counts whether it ended within the predicted quantiles.
    pub fn observe(&mut self, step: &StepKind<'_>, basis: &RunBasis, took: Duration) {
        let log = ln_seconds(took);
        self.learn(
            step,
            Observation {
                estimate: step.estimate,
                length: log - basis.slowness,
                weight: 1.0,
                ratio: Some(log - basis.centre),
                begun: basis.begun,
                complete: true,
                number: 0,
            },
        );
        if let Some(queue) = self.queues.get_mut(step.queue) {
            queue.counts.count(basis, took);
        }
    }

    /// Learns from a finished run for which nothing could be predicted.
    pub fn observe_unpredicted(&mut self, step: &StepKind<'_>, took: Duration) {
        self.learn(
            step,
            Observation {
                estimate: step.estimate,
                length: ln_seconds(took),
                weight: 1.0,
                ratio: None,
                begun: false,
                complete: true,
                number: 0,
            },
        );
    }

    /// Learns from a run that was given up after `elapsed`: its task would have taken at least that long. It counts for the
    /// mean as far as most runs would have ended by then, with the time that it is expected to take in all.
    pub fn observe_unfinished(&mut self, step: &StepKind<'_>, basis: &RunBasis, elapsed: Duration) {
        let log = ln_seconds(elapsed) - basis.centre;
        let times = self.step_times(step);
        let table = if basis.begun { times.begun } else { times.fresh };
        let ratio = log.exp();
        let whole = ratio + table.mean_left(ratio);
        let run = Observation {
            estimate: step.estimate,
            length: basis.centre - basis.slowness + whole.max(f32::MIN_POSITIVE).ln(),
            weight: table.share_within(log).clamp(0.0, 1.0),
            ratio: Some(log),
            begun: basis.begun,
            complete: false,
            number: 0,
        };
        self.learn(step, run);
    }

    fn learn(&mut self, step: &StepKind<'_>, run: Observation) {
        self.observations += 1;
        let run = Observation { number: self.observations, ..run };
        if !self.queues.contains_key(step.queue) {
            self.add_queue(step.queue);
        }
        let priors = Priors { fresh: &self.fresh_prior, begun: &self.begun_prior };
        if let Some(queue) = self.queues.get_mut(step.queue) {
            queue.observe(step.demand, &run, priors);
        }
    }

    /// Adds a queue, in place of the one that was observed longest ago if there are too many.
    fn add_queue(&mut self, name: &str) {
        if self.queues.len() >= MAX_QUEUES {
            let oldest = self.queues.iter().min_by_key(|(name, queue)| (queue.all.observed, *name));
            if let Some(name) = oldest.map(|(name, _)| name.clone())
                && let Some(queue) = self.queues.remove(&name)
            {
                self.dropped = self.dropped.plus(queue.counts);
            }
        }
        let queue = QueueModel::restore(&QueueState::default(), self.priors(), 0);
        self.queues.insert(name.into(), queue);
    }

    /// Counts of finished runs by queue.
    pub fn counts(&self) -> impl Iterator<Item = (&CompactString, &PredictionCounts)> {
        self.queues.iter().map(|(name, queue)| (name, &queue.counts))
    }

    /// Counts of finished runs of all queues.
    pub fn total_counts(&self) -> PredictionCounts {
        self.counts().fold(self.dropped, |sum, (_, counts)| sum.plus(*counts))
    }
}
