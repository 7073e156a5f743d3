//! HTTP front end: listener, answers and request parsing.

mod answer;
mod explained;
mod request;

pub use cj_http::{Listener, Shutdown};

pub use answer::{Answer, OutcomeKind};
pub(crate) use explained::Explained;
pub use request::{JobPath, MAX_RECORDED_BYTES, WorkRequest, read_body};
