//! The deterministic fold of a region's log into the shared state.

pub mod state;

pub use state::*;
