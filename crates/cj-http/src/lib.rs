//! HTTP parts shared by the daemons: a single-threaded listener with graceful shutdown, bounded reading of request bodies,
//! and classification of client errors.

mod body;
mod client;
mod connection;
mod listener;
mod shutdown;

pub use body::{BodyError, read_body};
pub use client::is_unsent;
pub use listener::Listener;
pub use shutdown::Shutdown;
