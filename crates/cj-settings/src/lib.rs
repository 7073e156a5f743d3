//! Checked settings: the node's own INI file and the published settings of the fleet.

pub mod fleet;

pub use fleet::*;
