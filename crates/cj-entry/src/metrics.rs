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
    pub orders: Counter<u64, AtomicU64>,
    /// Times that this node became the owner.
    pub takeovers: Counter<u64, AtomicU64>,
    /// Cells that this node owns.
    pub owner: Gauge<i64, AtomicI64>,
    /// Version of the configuration in force.
    pub config: Gauge<i64, AtomicI64>,
    /// Log lines that were dropped because the output was full.
    dropped: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("copperjunction");
        let metrics = Metrics {
            answers: Family::default(),
            latency: Histogram::new(exponential_buckets(0.001, 2.0, 13)),
            orders: Counter::default(),
            takeovers: Counter::default(),
            owner: Gauge::default(),
            config: Gauge::default(),
            dropped: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register("answers", "Answers to callers", metrics.answers.clone());
        registry.register("latency_seconds", "Time to the answer", metrics.latency.clone());
        registry.register("starts_ordered", "Starts ordered", metrics.orders.clone());
        registry.register(
            "takeovers",
            "Times this node became the owner",
            metrics.takeovers.clone(),
        );
        registry.register("is_owner", "Cells that this node owns", metrics.owner.clone());
        registry.register("config_version", "Configuration in force", metrics.config.clone());
        registry.register("log_lines_dropped", "Log lines dropped", metrics.dropped.clone());
        Metrics { registry, ..metrics }
    }
}

impl Metrics {
    /// Notes how many log lines were dropped so far.
    pub fn set_dropped(&self, lines: u64) {
        self.dropped.set(lines as i64);
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
