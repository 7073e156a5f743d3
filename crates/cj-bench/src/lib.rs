//! Benchmarks behind `copperjunction bench`. Each file holds one benchmark and returns a JSON report.

pub mod append;
pub mod fold;
pub mod membership;
pub mod settings;
mod virtual_time;

use cj_types::Result;

/// Options common to all benchmarks; each benchmark uses those that apply to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Seed of the pseudo-random generator.
    pub seed: u64,
    /// Number of workers, where the size can be chosen.
    pub workers: Option<u32>,
    /// Number of entry nodes, where the size can be chosen.
    pub nodes: Option<u32>,
}

/// A benchmark: takes the options, returns its report.
pub type Benchmark = fn(&Options) -> Result<serde_json::Value>;

/// All benchmarks by the name used on the command line.
pub const BENCHMARKS: &[(&str, Benchmark)] = &[
    ("append", append::run),
    ("fold", fold::run),
    ("membership", membership::run),
    ("settings", settings::run),
];
