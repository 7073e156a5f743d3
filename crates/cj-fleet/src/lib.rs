//! Planner of maintenance waves, repairs, moves and the spare pool.
//!
//! [`plan`] reads the shared state and the evidence of one node and returns proposals. It has no side effects. A
//! proposal may be out of date when its record is folded, for example because two nodes proposed at once: the
//! preconditions of the fold decide.

mod evidence;
mod health;
mod limits;
mod list_diff;
mod notice;
mod ops;
mod plan;
mod repair;
mod spare;
mod usage;
mod view;
mod wave;

pub use evidence::{Evidence, PROBE_MAX_AGE, Probe};
pub use notice::Notice;
pub use plan::{Plan, Proposal, affected_vm, plan, plan_with_notices, required_probes};
pub use usage::{TeamUsage, UsageLog, UsageSample, usage};
