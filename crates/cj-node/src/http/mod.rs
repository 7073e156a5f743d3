//! HTTP front end: listener, answers and request parsing.

mod answer;
mod explained;
mod listener;
mod request;

pub use answer::{Answer, OutcomeKind};
pub use listener::{Listener, Shutdown};
pub use request::{JobPath, MAX_RECORDED_BYTES, WorkRequest, read_body};
