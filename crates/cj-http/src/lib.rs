//! HTTP server shared by the daemons: a single-threaded listener with graceful shutdown, reading of bodies, and
//! what errors of the HTTP client say.

mod body;
mod client;
mod listener;

pub use body::{BodyError, read_body};
pub use client::is_unsent;
pub use listener::{Listener, Shutdown};
