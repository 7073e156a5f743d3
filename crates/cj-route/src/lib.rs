//! Routing decisions of an entry node: admission, queues and the choice of an upstream.
//!
//! The crate does no I/O: the caller passes the time to every call and carries out the returned [`Action`]s.

mod router;
mod types;
mod view;

pub use router::Router;
pub use types::*;
pub use view::*;
