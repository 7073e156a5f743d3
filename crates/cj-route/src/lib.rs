//! Routing decisions of an entry node: admission, queues, retries and the choice of an upstream.
//!
//! The crate does no I/O: the caller passes the time to every call and carries out the returned [`Action`]s. A ticket
//! ends exactly once: by a `Done` completion, by [`Action::GiveUp`] or by [`Router::cancel`].

mod budget;
mod options;
mod queue;
mod router;
mod slots;
mod times;
mod types;
mod upstreams;
mod view;

pub use options::{Options, Selection};
pub use router::Router;
pub use types::*;
pub use view::*;
