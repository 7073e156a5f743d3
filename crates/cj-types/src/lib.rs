//! Basic types shared by all crates: ids, quantities, the clock, the error type and rendezvous hashing.

pub mod clock;
pub mod error;
pub mod ids;
pub mod quantities;
pub mod rendezvous;

pub use clock::{Clock, ManualClock, SystemClock, UnixMillis};
pub use error::{Error, ErrorKind, Result};
pub use ids::*;
pub use quantities::*;
