//! Plain types shared by every crate of copperjunction: ids, quantities, the clock and the error type.

pub mod clock;
pub mod error;
pub mod ids;
pub mod quantities;
pub mod rendezvous;

pub use clock::{Clock, ManualClock, SystemClock, UnixMillis};
pub use error::{Error, ErrorKind, Result};
pub use ids::*;
pub use quantities::*;
