//! HTTP parts shared by the daemons: a single-threaded listener with graceful shutdown, bounded reading of request bodies
//! within a budget for the process, and classification of client errors.

mod body;
mod body_budget;
mod client;
mod connection;
mod connections;
mod listener;
mod shutdown;

pub use body::{BodyError, charge_request, read_body};
pub use body_budget::BodyBudget;
pub use client::is_unsent;
pub use listener::Listener;
pub use shutdown::Shutdown;
