//! Membership of the entry nodes: heartbeats, the view of live peers and the relay of records to cut-off nodes.

pub mod report;
pub mod view;

pub use report::{PROTOCOL_VERSION, Report};
pub use view::{Peer, PeerView, Received, ViewOptions};
