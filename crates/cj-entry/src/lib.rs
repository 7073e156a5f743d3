//! The entry node: reads the store, answers callers, and runs the scheduler of each cell that it owns.
//!
//! The fleet is divided into cells; a small fleet has only one, see [`layout`]. One node at a time owns a cell and
//! sends commands to its workers; see [`owner`]. If there is a single cell, all nodes follow it, so each can answer for
//! every job without asking another node. If there are several, a node follows a few of them and asks the owners of the
//! others; see [`peer`].

pub mod access;
pub mod admission;
pub mod api;
mod cancellation;
mod claim;
mod clock;
mod command_slots;
mod dispatch;
pub mod expected_end;
mod feeds;
pub mod follow;
mod heartbeat;
pub mod layout;
mod layout_agreement;
mod lease;
pub mod load_view;
mod log_context;
pub mod logging;
mod member;
pub mod metrics;
mod node;
mod outbox;
mod overflow;
pub mod owner;
pub mod owner_directory;
pub mod peer;
pub mod placement_query;
mod platform;
mod received_wave;
mod submission_check;
mod writer;

pub use clock::BootClock;
pub use command_slots::{CommandKind, CommandSlot, CommandSlots};
pub use lease::SendCheck;
pub use member::CellMember;
pub use node::{EntryNode, EntrySettings};
pub use platform::{
    FIRST_CELL_JOBS, Guard, NewestPage, OperatorChange, Page, Platform, RawRecord, RegistryChange,
    StoreError, Topic,
};
pub use received_wave::ReceivedWave;
