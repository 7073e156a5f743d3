//! Planner of the fleet: maintenance waves, repairs, moves between pools and the spare pool.
//!
//! [`plan()`] reads the shared state and one node's observations and returns proposals. It has no side effects. A
//! proposal may be stale by the time its record is folded, for example because two nodes proposed at the same time; the
//! fold checks the preconditions again and has the final say.

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
