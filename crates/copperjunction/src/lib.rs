//! Fleet capacity and maintenance manager: the library behind the operator command line and the entry daemon.

pub mod client;
pub mod commands;
pub mod output;

pub use cj_fold as fold;
pub use cj_node as node;
pub use cj_settings as settings;
pub use cj_types as types;
