//! HTTP front end: listener, request parsing and responses.

mod answer;
mod error_body;
mod request;

pub use cj_http::{Listener, Shutdown};

pub use answer::{Answer, OutcomeKind};
pub(crate) use error_body::ErrorBodyStream;
pub use request::{JobPath, MAX_RECORDED_BYTES, WorkRequest, read_body};
