//! Learned run times: what the tasks of each queue take, as a distribution.
//!
//! A regression of the run times on the callers' estimates gives the centre of the distribution, and a histogram of the ratios of
//! actual to expected run times gives its quantiles, so that these are calibrated whatever the regression is worth. Both are kept
//! per queue, and per shape of step within the queue.

mod model;
mod prediction;
mod ratios;
mod regression;
mod state;

pub use model::RunTimeModel;
pub use prediction::{
    CALIBRATED_QUANTILES, Prediction, PredictionCounts, RunBasis, Siblings, StepKind, StepTimes,
};
pub(crate) use regression::ln_seconds;
pub use state::{
    BINS, MAX_QUEUE_NAME, MAX_QUEUES, MAX_SHAPES, QueueState, RatioState, RegressionState,
    RunTimes, ShapeKey, ShapeState,
};
