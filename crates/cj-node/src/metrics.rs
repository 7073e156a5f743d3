//! Prometheus metrics of a node.

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

/// Labels of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Class of work.
    pub class: String,
    /// Outcome, as in the `x-outcome` header.
    pub outcome: String,
}

/// Label of jobs or VMs that are counted by phase.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabel {
    /// Name of the phase.
    pub phase: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Responses to callers.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from the head of a request to its response.
    pub request_seconds: Histogram,
    /// Jobs in the replicated state.
    pub jobs: Family<PhaseLabel, Gauge>,
    /// VMs in the replicated state.
    pub vms: Family<PhaseLabel, Gauge>,
    /// Offset up to which the region's log is applied.
    pub applied_offset: Gauge<i64, AtomicI64>,
    /// Offset up to which settings records are applied.
    pub settings_offset: Gauge<i64, AtomicI64>,
    /// 1 while the log can be read, else 0.
    pub log_reachable: Gauge<i64, AtomicI64>,
    /// Live entry nodes, this one included.
    pub live_nodes: Gauge<i64, AtomicI64>,
    /// Entries proposed to the log.
    pub proposals: Counter<u64, AtomicU64>,
    /// Fleet proposals and calls to VM control.
    pub fleet_actions: Counter<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("copperjunction");
        let requests = Family::default();
        registry.register("requests", "Answers to callers by class and outcome", requests.clone());
        // 1 ms to about 16 s, in factors of two.
        let request_seconds = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        registry.register(
            "request_seconds",
            "Time from request to answer",
            request_seconds.clone(),
        );
        let jobs = Family::default();
        registry.register("jobs", "Jobs in the shared state by phase", jobs.clone());
        let vms = Family::default();
        registry.register("vms", "VMs in the shared state by phase", vms.clone());
        let applied_offset = Gauge::default();
        registry.register(
            "applied_offset",
            "Offset up to which the region's log is folded",
            applied_offset.clone(),
        );
        let settings_offset = Gauge::default();
        registry.register(
            "settings_offset",
            "Offset up to which settings are in force",
            settings_offset.clone(),
        );
        let log_reachable = Gauge::default();
        registry.register("log_reachable", "1 while the log can be read", log_reachable.clone());
        let live_nodes = Gauge::default();
        registry.register("live_nodes", "Live entry nodes, this one included", live_nodes.clone());
        let proposals = Counter::default();
        registry.register("proposals", "Entries proposed to the log", proposals.clone());
        let fleet_actions = Counter::default();
        registry.register(
            "fleet_actions",
            "Fleet proposals and platform calls",
            fleet_actions.clone(),
        );
        Metrics {
            registry,
            requests,
            request_seconds,
            jobs,
            vms,
            applied_offset,
            settings_offset,
            log_reachable,
            live_nodes,
            proposals,
            fleet_actions,
        }
    }
}

impl Metrics {
    /// The metrics in the text exposition format.
    pub fn encode(&self) -> String {
        let mut encoded = String::new();
        match text::encode(&mut encoded, &self.registry) {
            Ok(()) => encoded,
            Err(_) => String::new(),
        }
    }
}
