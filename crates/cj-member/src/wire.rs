//! Messages between entry nodes and their authentication.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use cj_log::RelayPage;
use cj_types::{Error, Offset, Result, StreamId};

use crate::report::Report;

/// Key shared by the nodes of a cluster.
pub type PeerKey = [u8; 32];

/// Bytes of the keyed hash that are sent.
const TAG_BYTES: usize = 16;

/// Keyed hash of a message.
pub type Tag = [u8; TAG_BYTES];

/// Largest frame in bytes: a page of records and its framing.
pub const MAX_FRAME_BYTES: usize = 512 * 1024;

/// A message with its keyed hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthenticatedMessage {
    /// Keyed hash over direction, request and body.
    pub tag: Tag,
    /// Encoded message.
    pub body: Vec<u8>,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// The sender's report.
    Heartbeat {
        /// Report of the sender.
        report: Report,
        /// Hash of the addresses that the sender knows.
        addresses_hash: u64,
    },
    /// Asks for records that the sender can't read from the log.
    Records {
        /// Random number that tells two requests apart.
        nonce: u64,
        /// Stream.
        stream: StreamId,
        /// First offset wanted.
        from: Offset,
        /// Most bytes of records.
        max_bytes: u32,
    },
}

/// Answer of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The answering node's report.
    Heartbeat {
        /// Report of the answering node.
        report: Report,
        /// Addresses of live nodes, when they differ from those that the asking node knows.
        addresses: Vec<SocketAddr>,
    },
    /// Records, when the answering node holds them.
    Records(Option<RelayPage>),
    /// The request was of another cluster or could not be authenticated.
    Refused,
}

/// Seals a request. The returned tag is part of the hash of its answer.
pub fn authenticate_request(key: &PeerKey, request: &Request) -> Result<AuthenticatedMessage> {
    authenticate(key, b"request", &Tag::default(), request)
}

/// Opens a request. Fails when its keyed hash is wrong.
pub fn verify_request(key: &PeerKey, message: &AuthenticatedMessage) -> Result<Request> {
    verify(key, b"request", &Tag::default(), message)
}

/// Seals the answer to the request with the tag `request`.
pub fn authenticate_answer(
    key: &PeerKey,
    request: &Tag,
    answer: &Answer,
) -> Result<AuthenticatedMessage> {
    authenticate(key, b"answer", request, answer)
}

/// Opens the answer to the request with the tag `request`. Fails when its keyed hash is wrong.
pub fn verify_answer(
    key: &PeerKey,
    request: &Tag,
    message: &AuthenticatedMessage,
) -> Result<Answer> {
    verify(key, b"answer", request, message)
}

fn authenticate<T>(
    key: &PeerKey,
    direction: &[u8],
    request: &Tag,
    content: &T,
) -> Result<AuthenticatedMessage>
where
    T: Serialize,
{
    let encoded = postcard::to_stdvec(content);
    let body = encoded.map_err(|e| Error::decode("peer message", e.to_string()))?;
    Ok(AuthenticatedMessage { tag: keyed_hash(key, direction, request, &body), body })
}

fn verify<T>(
    key: &PeerKey,
    direction: &[u8],
    request: &Tag,
    message: &AuthenticatedMessage,
) -> Result<T>
where
    T: DeserializeOwned,
{
    let expected = keyed_hash(key, direction, request, &message.body);
    // Hashes of the blake3 crate compare in constant time.
    let (mut own, mut theirs) = ([0; 32], [0; 32]);
    own[..TAG_BYTES].copy_from_slice(&expected);
    theirs[..TAG_BYTES].copy_from_slice(&message.tag);
    if blake3::Hash::from(own) != blake3::Hash::from(theirs) {
        return Err(Error::decode("peer message", "the keyed hash doesn't match the peer key"));
    }
    postcard::from_bytes(&message.body).map_err(|e| Error::decode("peer message", e.to_string()))
}

fn keyed_hash(key: &PeerKey, direction: &[u8], request: &Tag, body: &[u8]) -> Tag {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(direction).update(request).update(body);
    let mut tag = Tag::default();
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
    tag
}
