//! Access to the platform's append-only log: the service interface, its client, the group-commit writer and the replica
//! of one region's state.

pub mod clock;
mod copies;
mod follow;
mod history;
pub mod http;
pub mod memory;
pub mod replica;
pub mod service;
mod snapshots;
pub mod source;
pub mod ticks;
pub mod writer;

pub use cj_http::is_unsent;
pub use clock::RuntimeClock;
pub use copies::COPY_KEY;
pub use http::HttpLog;
pub use memory::{Faults, MemoryLog};
pub use replica::{Fault, IsOwner, Lag, Proposed, Replica, ReplicaOptions};
pub use service::{LogService, ReadPage};
pub use source::{RecordSource, RelayPage};
