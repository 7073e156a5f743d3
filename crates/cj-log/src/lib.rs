//! Client side of the platform's append-only log: the log service interface, its HTTP client, the group-commit writer
//! and the replica that folds the stream of one region into a state.

pub mod clock;
mod follow;
mod history;
pub mod http;
pub mod memory;
pub mod replica;
pub mod service;
mod settings_copies;
mod snapshots;
pub mod source;
pub mod ticks;
pub mod writer;

pub use cj_http::is_unsent;
pub use clock::RuntimeClock;
pub use http::HttpLog;
pub use memory::{InjectedFaults, MemoryLog};
pub use replica::{IsOwner, Lag, ProposalOutcome, Replica, ReplicaFault, ReplicaOptions};
pub use service::{LogService, ReadPage};
pub use settings_copies::SETTINGS_COPY_KEY;
pub use source::{RecordSource, RelayPage};
