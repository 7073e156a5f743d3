//! The state of learned run times as it is recorded.
//!
//! A decoded state may hold any values: it is checked when a model is restored from it.

use cj_types::Resources;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Most queues whose run times are kept.
pub const MAX_QUEUES: usize = 64;

/// Most shapes of steps of a queue whose run times are kept. With these, a queue takes at most 1 KiB.
pub const MAX_SHAPES: usize = 6;

/// Longest name of a queue in bytes that is recorded.
pub const MAX_QUEUE_NAME: usize = 64;

/// Number of bins of a histogram of ratios.
pub const BINS: usize = 48;

/// Learned run times of all queues of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunTimes {
    /// The queues, those observed last first.
    pub queues: Vec<QueueState>,
}

impl RunTimes {
    /// Removes what is beyond the limits, so that nodes don't hold an oversized record.
    pub fn truncate(&mut self) {
        self.queues.retain(|queue| queue.name.len() <= MAX_QUEUE_NAME);
        self.queues.truncate(MAX_QUEUES);
        self.queues.shrink_to_fit();
        for queue in &mut self.queues {
            queue.shapes.truncate(MAX_SHAPES);
            queue.shapes.shrink_to_fit();
            queue.all.truncate();
            queue.shapes.iter_mut().for_each(|(_, shape)| shape.truncate());
        }
    }
}

/// Learned run times of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueState {
    /// Name of the queue.
    pub name: CompactString,
    /// All steps of the queue.
    pub all: ShapeState,
    /// Steps by shape, those observed last first.
    pub shapes: Vec<(ShapeKey, ShapeState)>,
}

/// Shape of a step: the resources that a task requests, as the numbers of their binary digits. Demands that differ by less than a
/// factor of two are mostly alike, so that queues whose demands vary have few shapes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShapeKey {
    cores: u8,
    memory: u8,
    accelerators: u8,
}

impl From<Resources> for ShapeKey {
    fn from(demand: Resources) -> Self {
        let digits = |amount: u32| (u32::BITS - amount.leading_zeros()) as u8;
        ShapeKey {
            cores: digits(demand.cores.0),
            memory: digits(demand.memory.0),
            accelerators: digits(demand.accelerators.0),
        }
    }
}

/// Learned run times of the steps of one shape.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShapeState {
    /// Expected run time by estimate.
    pub regression: RegressionState,
    /// Ratios for steps of which no task had ended.
    pub fresh: RatioState,
    /// Ratios for steps of which some tasks had ended.
    pub begun: RatioState,
}

impl ShapeState {
    fn truncate(&mut self) {
        for ratios in [&mut self.fresh, &mut self.begun] {
            if ratios.bins.len() > BINS {
                *ratios = RatioState::default();
            }
        }
    }
}

/// Regression of run times on estimates, both in natural logarithms of seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RegressionState {
    /// Number of observations.
    pub count: f32,
    /// Mean of the estimates.
    pub mean_estimate: f32,
    /// Mean of the run times.
    pub mean_actual: f32,
    /// Variance of the estimates.
    pub variance: f32,
    /// Covariance of the estimates and the run times.
    pub covariance: f32,
}

/// Histogram of the ratios of actual to expected run times.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RatioState {
    /// Number of observations.
    pub weight: f32,
    /// Number of empty bins before the first of `bins`.
    pub skipped: u8,
    /// Share of each bin relative to the fullest one, which has 255. Empty bins at both ends are left out.
    pub bins: Vec<u8>,
}
