//! Counters and histograms of an entry node.

use std::sync::atomic::{AtomicI64, AtomicU64};

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

/// Labels of an answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerLabels {
    /// What was asked: submit, status, cancel or waiting.
    pub request: &'static str,
    /// What was answered.
    pub outcome: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers.
    pub answers: Family<AnswerLabels, Counter>,
    /// Seconds from the head of a request to its answer.
    pub latency: Histogram,
    /// Starts ordered.
    pub starts: Counter<u64, AtomicU64>,
    /// Times that this node became the owner.
    pub takeovers: Counter<u64, AtomicU64>,
    /// Cells that this node owns.
    pub owned_cells: Gauge<i64, AtomicI64>,
    /// Version of the configuration in force.
    pub config_version: Gauge<i64, AtomicI64>,
    /// Log lines that were dropped because the output was full.
    dropped_lines: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("copperjunction");
        let metrics = Metrics {
            answers: Family::default(),
            latency: Histogram::new(exponential_buckets(0.001, 2.0, 13)),
            starts: Counter::default(),
            takeovers: Counter::default(),
            owned_cells: Gauge::default(),
            config_version: Gauge::default(),
            dropped_lines: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Answers to callers", metrics.answers.clone());
        registry.register("latency_seconds", "Time to the answer", metrics.latency.clone());
        registry.register("starts_ordered", "Starts ordered", metrics.starts.clone());
        registry.register(
            "takeovers",
            "Times this node became the owner",
            metrics.takeovers.clone(),
        );
        registry.register("is_owner", "Cells that this node owns", metrics.owned_cells.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            metrics.config_version.clone(),
        );
        registry.register("log_lines_dropped", "Log lines dropped", metrics.dropped_lines.clone());
        Metrics { registry, ..metrics }
    }
}

impl Metrics {
    /// Notes how many log lines were dropped so far.
    pub fn set_dropped_lines(&self, lines: u64) {
        self.dropped_lines.set(lines as i64);
    }

    /// The metrics in the text format.
    pub fn render(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(error) => format!("# cannot write the metrics: {error}\n"),
        }
    }
}
