//! Benchmarks behind `copperjunction bench`. Each file holds one benchmark and returns a JSON report.

pub mod accounts;
pub mod added;
pub mod admission;
pub mod append;
pub mod buffer;
pub mod cancel;
pub mod control;
pub mod entry;
mod fake;
pub mod fleet;
pub mod flood;
pub mod fold;
pub mod membership;
pub mod place;
pub mod rollout;
pub mod route;
pub mod run_times;
pub mod settings;
pub mod storm;
pub mod usage_svg;
mod virtual_time;
pub mod waiting;

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
    ("accounts", accounts::run),
    ("added", added::run),
    ("admission", admission::run),
    ("append", append::run),
    ("buffer", buffer::run),
    ("cancel", cancel::run),
    ("cells", entry::cells::run),
    ("control", control::run),
    ("flood", flood::run),
    ("fold", fold::run),
    ("membership", membership::run),
    ("place", place::run),
    ("recover", entry::recover::run),
    ("rollout", rollout::run),
    ("route", route::run),
    ("run-times", run_times::run),
    ("settings", settings::run),
    ("storm", storm::run),
    ("succession", entry::succession::run),
    ("takeover", entry::takeover::run),
    ("waiting", waiting::run),
];
