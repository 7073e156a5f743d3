//! Planner of maintenance waves, repairs, moves and the spare pool.
//!
//! [`plan`] reads the shared state and the evidence of one node and returns proposals. It has no side effects. A
//! proposal may be out of date when its record is folded, for example because two nodes proposed at once: the
//! preconditions of the fold decide.

mod evidence;
mod plan;
mod view;
mod wave;

pub use evidence::{Evidence, PROBE_MAX_AGE, Probe};
pub use plan::{Proposal, plan};
