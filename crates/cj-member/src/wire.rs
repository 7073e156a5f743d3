//! Messages between entry nodes, their encoding and their authentication by a keyed hash.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use cj_log::RelayPage;
use cj_types::{Error, Offset, Result, StreamId};

use crate::report::Report;

/// Key shared by the nodes of a cluster.
pub type PeerKey = [u8; 32];

/// Length of the truncated keyed hash that is sent, in bytes.
const TAG_BYTES: usize = 16;

/// Truncated keyed hash of a message.
pub type Tag = [u8; TAG_BYTES];

/// Largest frame in bytes; it has to hold a page of records and its framing.
pub const MAX_FRAME_BYTES: usize = 512 * 1024;

/// A message with its keyed hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthenticatedMessage {
    /// Keyed hash over the direction, the tag of the request (zero in a request) and the body.
    pub tag: Tag,
    /// Encoded message.
    pub body: Vec<u8>,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Exchanges reports.
    Heartbeat {
        /// Report of the sender.
        report: Report,
        /// Hash of the addresses known to the sender.
        addresses_hash: u64,
    },
    /// Requests records that the sender can't read from the log.
    Records {
        /// Random number that makes each request unique.
        nonce: u64,
        /// Stream of the records.
        stream: StreamId,
        /// Offset of the first requested record.
        from: Offset,
        /// Limit on the size of the records, in bytes.
        max_bytes: u32,
    },
}

/// Answer of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Answers a heartbeat.
    Heartbeat {
        /// Report of the answering node.
        report: Report,
        /// Addresses known to the answering node, if they differ from those known to the sender of the request.
        addresses: Vec<SocketAddr>,
    },
    /// The records, if the answering node has them.
    Records(Option<RelayPage>),
    /// The request came from another cluster or could not be authenticated.
    Refused,
}

/// Encodes a request and adds its keyed hash. The tag of the request is hashed into its answer.
pub fn authenticate_request(key: &PeerKey, request: &Request) -> Result<AuthenticatedMessage> {
    authenticate(key, b"request", &Tag::default(), request)
}

/// Verifies and decodes a request. Fails when its keyed hash is wrong or the body is malformed.
pub fn verify_request(key: &PeerKey, message: &AuthenticatedMessage) -> Result<Request> {
    verify(key, b"request", &Tag::default(), message)
}

/// Encodes the answer to the request with the tag `request` and adds its keyed hash.
pub fn authenticate_answer(
    key: &PeerKey,
    request: &Tag,
    answer: &Answer,
) -> Result<AuthenticatedMessage> {
    authenticate(key, b"answer", request, answer)
}

/// Verifies and decodes the answer to the request with the tag `request`. Fails when its keyed hash is wrong or the
/// body is malformed.
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
    // Both sides are compared as `blake3::Hash`, whose comparison takes constant time.
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
