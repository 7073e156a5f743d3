//! The entry daemon: HTTP front end for callers and operators, wired to the shared state, the router and the planners.

pub mod http;
pub mod logging;
pub mod metrics;
pub mod platform;
pub mod upstream;
