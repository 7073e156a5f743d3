//! Membership of the entry nodes: heartbeats, the view of live peers, and the relay of log records to nodes that are
//! cut off from the log.
//!
//! Messages between nodes carry a keyed hash, so that only holders of the peer key can send them. They are not
//! encrypted: whoever reads the network traffic sees reports and records. A captured heartbeat can be replayed to a
//! node that restarted since, which then treats a stopped node as live until it misses its next heartbeats; the
//! ownership derived from that only wastes work. Answers are bound to their request and can't be replayed. Holders of
//! the key are trusted.

pub mod gossip;
pub mod membership;
pub mod report;
pub mod view;
pub mod wire;

pub use gossip::Gossip;
pub use membership::{Membership, MembershipOptions};
pub use report::{PROTOCOL_VERSION, Report};
pub use view::{Peer, PeerView, Received, ViewOptions};
