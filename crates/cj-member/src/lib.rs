//! Membership of the entry nodes: heartbeats, the view of live peers and the relay of records to cut-off nodes.
//!
//! Messages between nodes carry a keyed hash, so that only holders of the peer key can send them. They aren't encrypted:
//! whoever reads the network sees reports and records. A recorded heartbeat can be replayed to a node that restarted
//! since, which then lists a stopped node as live until it misses its next heartbeats; ownership derived from that is only
//! wasteful. Answers are bound to their request and can't be replayed. Holders of the key are trusted.

pub mod gossip;
pub mod membership;
pub mod report;
pub mod view;
pub mod wire;

pub use gossip::Gossip;
pub use membership::{Membership, MembershipOptions};
pub use report::{PROTOCOL_VERSION, Report};
pub use view::{Peer, PeerView, Received, ViewOptions};
