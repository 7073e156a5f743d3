//! Small stand-ins of the systems outside copperjunction: the append-only log, VM control, workers and upstreams.
//!
//! They keep the wire contract of section 9 of `docs/design.md`, offer fault switches, and count what they see.

pub mod faults;
pub mod http;
pub mod log;
pub mod platform;

pub use faults::{Fault, Faults};
pub use log::{LogOptions, ReadPage};
pub use platform::{Platform, PlatformOptions};
