//! Access to the platform's append-only log: the service interface, the group-commit writer and the replica of one
//! region's state.

pub mod replica;
pub mod service;
pub mod source;

pub use replica::{Fault, IsOwner, Lag, Proposed, Replica, ReplicaOptions};
pub use service::{LogService, ReadPage};
pub use source::{RecordSource, RelayPage};
