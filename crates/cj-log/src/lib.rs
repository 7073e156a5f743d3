//! Access to the platform's append-only log: the service interface, its client, the group-commit writer and the replica
//! of one region's state.

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
