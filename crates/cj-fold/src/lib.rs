//! Deterministic fold of a region's log into the shared state. Nodes that fold the same records get the same state.

pub mod apply;
pub mod check;
mod index;
pub mod rules;
pub mod snapshot;
pub mod state;

pub use state::*;
