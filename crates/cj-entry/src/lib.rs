//! The entry node: follows the store, answers callers, and runs the scheduler while it owns the fleet.
//!
//! Every node follows the topic of the jobs, so each can answer for every job without asking another node. One node at a
//! time owns the fleet and gives orders to workers; see [`owner`].

pub mod admission;
mod claim;
mod clock;
mod dispatch;
mod feeds;
pub mod follow;
pub mod front;
pub mod logging;
pub mod metrics;
mod node;
mod outbox;
mod overflow;
pub mod owner;
mod platform;
mod writer;

pub use clock::BootClock;
pub use node::{EntryNode, EntrySettings};
pub use platform::{
    Guard, JOBS, Newest, OperatorChange, Page, Platform, RawRecord, RegistryChange, StoreError,
    Topic,
};
