//! The entry node: HTTP front end for callers and operators, connected to the replicated state, the router and the
//! planners.

pub mod context;
pub mod fleet;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod platform;
pub mod refresh;
pub mod thread;
pub mod upstream;
pub mod work;

pub use node::{Addresses, Node};
pub use thread::NodeThread;
