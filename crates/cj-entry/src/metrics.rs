//! Metrics of an entry node.

use std::{
    sync::atomic::{AtomicI64, AtomicU64},
    time::Duration,
};

use cj_sched::run_times::{CALIBRATED_QUANTILES, PredictionCounts};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Labels of the counter of answers to callers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// Kind of request: submit, status, cancel or waiting.
    pub request: &'static str,
    /// Outcome of the request.
    pub outcome: &'static str,
}

/// Labels of the counter of predicted run times.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PredictionLabels {
    /// The predicted quantile: 0.5 or 0.9.
    pub quantile: &'static str,
    /// Whether the run ended within it or beyond it.
    pub result: &'static str,
}

/// Label values of the quantiles whose calibration is counted.
const QUANTILE_LABELS: [&str; CALIBRATED_QUANTILES.len()] = ["0.5", "0.9"];

/// Label of the counter of refused submissions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Why the submission was refused.
    pub reason: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Number of answers to callers.
    pub answers: Family<AnswerLabels, Counter>,
    /// Number of refused submissions.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Seconds from the receipt of a request's head to the answer.
    pub latency: Histogram,
    /// Number of start commands.
    pub starts: Counter<u64, AtomicU64>,
    /// Finished runs by whether they ended within the predicted quantiles of their run times.
    run_time_predictions: Family<PredictionLabels, Counter>,
    /// How often this node became the owner of a cell.
    pub takeovers: Counter<u64, AtomicU64>,
    /// Number of cells that this node owns.
    pub owned_cells: Gauge<i64, AtomicI64>,
    /// Number of jobs that an owner on this node held back in favour of other accounts.
    pub account_deferrals: Counter<u64, AtomicU64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<i64, AtomicI64>,
    /// Seconds since the operator's topic was last read completely; -1 before the first read.
    config_age: Gauge<f64, AtomicU64>,
    /// Bytes in use for the bodies of requests.
    body_bytes: Gauge<i64, AtomicI64>,
    /// Number of bodies refused for want of memory.
    refused_bodies: Gauge<i64, AtomicI64>,
    /// Number of log lines dropped because the output was too slow.
    dropped_lines: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("copperjunction");
        let metrics = Metrics {
            answers: Family::default(),
            refusals: Family::default(),
            latency: Histogram::new(exponential_buckets(0.001, 2.0, 13)),
            starts: Counter::default(),
            run_time_predictions: Family::default(),
            takeovers: Counter::default(),
            owned_cells: Gauge::default(),
            account_deferrals: Counter::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            body_bytes: Gauge::default(),
            refused_bodies: Gauge::default(),
            dropped_lines: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Answers to callers", metrics.answers.clone());
        registry.register("refusals", "Refused submissions", metrics.refusals.clone());
        registry.register("latency_seconds", "Time to the answer", metrics.latency.clone());
        registry.register("starts_ordered", "Starts ordered", metrics.starts.clone());
        registry.register(
            "run_time_predictions",
            "Finished runs within and beyond the predicted quantiles of their run times",
            metrics.run_time_predictions.clone(),
        );
        registry.register(
            "takeovers",
            "Times this node became the owner",
            metrics.takeovers.clone(),
        );
        registry.register("is_owner", "Cells that this node owns", metrics.owned_cells.clone());
        registry.register(
            "account_deferrals",
            "Jobs held back in favour of other accounts",
            metrics.account_deferrals.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            metrics.config_version.clone(),
        );
        registry.register(
            "config_age_seconds",
            "Time since the configuration was last read",
            metrics.config_age.clone(),
        );
        registry.register("body_bytes", "Bytes of request bodies", metrics.body_bytes.clone());
        registry.register(
            "bodies_refused",
            "Bodies refused for want of memory",
            metrics.refused_bodies.clone(),
        );
        registry.register("log_lines_dropped", "Log lines dropped", metrics.dropped_lines.clone());
        Metrics { registry, ..metrics }
    }
}

impl Metrics {
    /// Sets the bytes in use for the bodies of requests, and the number of bodies refused so far.
    pub fn set_bodies(&self, bytes: usize, refused: u64) {
        self.body_bytes.set(bytes as i64);
        self.refused_bodies.set(refused as i64);
    }

    /// Adds finished runs that ended within and beyond the predicted quantiles.
    pub fn count_predictions(&self, counts: &PredictionCounts) {
        for (index, quantile) in QUANTILE_LABELS.into_iter().enumerate() {
            for (result, runs) in [("within", counts.within), ("beyond", counts.beyond)] {
                let labels = PredictionLabels { quantile, result };
                self.run_time_predictions.get_or_create(&labels).inc_by(runs[index]);
            }
        }
    }

    /// Sets the number of log lines dropped so far.
    pub fn set_dropped_lines(&self, lines: u64) {
        self.dropped_lines.set(lines as i64);
    }

    /// Sets the time since the operator's topic was last read completely; `None` if it never was.
    pub fn set_config_age(&self, age: Option<Duration>) {
        self.config_age.set(age.map_or(-1.0, |age| age.as_secs_f64()));
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(error) => format!("# cannot write the metrics: {error}\n"),
        }
    }
}
