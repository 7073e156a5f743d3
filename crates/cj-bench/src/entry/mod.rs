//! Entry nodes on a simulated platform, in virtual time.

pub mod cells;
mod fleet;
mod platform;
pub mod recover;
mod store;
pub mod succession;
pub mod takeover;
