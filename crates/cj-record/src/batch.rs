//! The unit of append: a batch of entries with its writer, sequence number, time and checksum.

use serde::{Deserialize, Serialize};

use cj_types::{Error, NodeIncarnation, Result, Sequence, UnixMillis};

use crate::entry::Entry;

/// Largest encoded batch in bytes; the platform's log refuses larger records.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;

const MAGIC: [u8; 2] = *b"cj";
const FORMAT_VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;

/// Writer, number and time of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchHeader {
    /// The writer.
    pub writer: NodeIncarnation,
    /// Number of the batch within the writer's incarnation, from 1.
    pub seq: Sequence,
    /// Wall-clock time of the writer.
    pub at: UnixMillis,
}

/// A batch of entries. A batch without entries withdraws every earlier batch of its writer that is not in the log yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Writer, number and time.
    pub header: BatchHeader,
    /// Entries, applied in order.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// Encodes the batch. Fails when it's larger than [`MAX_BATCH_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(FORMAT_VERSION);
        let body = postcard::to_stdvec(self).map_err(|e| Error::decode("batch", e.to_string()))?;
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(Error::decode("batch", "larger than 64 KiB"));
        }
        Ok(bytes)
    }

    /// Decodes a batch. Fails on a foreign, truncated or corrupt record, or one of another format version.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let invalid = |problem: &str| Error::decode("batch", problem);
        let rest = bytes.strip_prefix(&MAGIC).ok_or_else(|| invalid("foreign record"))?;
        let (version, rest) = rest.split_first().ok_or_else(|| invalid("truncated header"))?;
        if *version != FORMAT_VERSION {
            return Err(invalid("unsupported format version"));
        }
        let (sum, body) =
            rest.split_at_checked(CHECKSUM_BYTES).ok_or_else(|| invalid("truncated header"))?;
        if crc32fast::hash(body).to_le_bytes() != *sum {
            return Err(invalid("checksum mismatch"));
        }
        postcard::from_bytes(body).map_err(|e| invalid(&e.to_string()))
    }
}
