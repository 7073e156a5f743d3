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
    /// What became of it, as in the `x-outcome` header.
    pub outcome: String,
}

/// Label of something counted by its phase.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PhaseLabel {
    /// Name of the phase.
    pub phase: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers.
    pub requests: Family<RequestLabels, Counter>,
    /// Seconds from the head of a request to its answer.
    pub latency: Histogram,
    /// Jobs in the shared state.
    pub jobs: Family<PhaseLabel, Gauge>,
    /// VMs in the shared state.
    pub vms: Family<PhaseLabel, Gauge>,
    /// Offset up to which the region's log is folded.
    pub applied: Gauge<i64, AtomicI64>,
    /// Offset up to which settings records are folded.
    pub settings: Gauge<i64, AtomicI64>,
    /// 1 while the log can be read, else 0.
    pub reachable: Gauge<i64, AtomicI64>,
    /// Live entry nodes, this one included.
    pub peers: Gauge<i64, AtomicI64>,
    /// Entries proposed to the log.
    pub proposals: Counter<u64, AtomicU64>,
    /// Fleet proposals and acts.
    pub fleet: Counter<u64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("copperjunction");
        let requests = Family::default();
        registry.register("requests", "Answers to callers by class and outcome", requests.clone());
        // 1 ms to about 16 s, in factors of two.
        let latency = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        registry.register("request_seconds", "Time from request to answer", latency.clone());
        let jobs = Family::default();
        registry.register("jobs", "Jobs in the shared state by phase", jobs.clone());
        let vms = Family::default();
        registry.register("vms", "VMs in the shared state by phase", vms.clone());
        let applied = Gauge::default();
        registry.register(
            "applied_offset",
            "Offset up to which the region's log is folded",
            applied.clone(),
        );
        let settings = Gauge::default();
        registry.register(
            "settings_offset",
            "Offset up to which settings are in force",
            settings.clone(),
        );
        let reachable = Gauge::default();
        registry.register("log_reachable", "1 while the log can be read", reachable.clone());
        let peers = Gauge::default();
        registry.register("live_nodes", "Live entry nodes, this one included", peers.clone());
        let proposals = Counter::default();
        registry.register("proposals", "Entries proposed to the log", proposals.clone());
        let fleet = Counter::default();
        registry.register("fleet_actions", "Fleet proposals and platform calls", fleet.clone());
        Metrics {
            registry,
            requests,
            latency,
            jobs,
            vms,
            applied,
            settings,
            reachable,
            peers,
            proposals,
            fleet,
        }
    }
}

impl Metrics {
    /// The metrics in the text exposition format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        match text::encode(&mut out, &self.registry) {
            Ok(()) => out,
            Err(_) => String::new(),
        }
    }
}
