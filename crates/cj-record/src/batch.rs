//! Encoding of batches. A batch is the unit of append to the log: entries with their writer, sequence number, time and
//! checksum.

use serde::{Deserialize, Serialize};

use cj_types::{Error, NodeIncarnation, Result, Sequence, UnixMillis};

use crate::entry::Entry;

/// Largest encoded batch in bytes; the platform's log refuses larger records.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;

const MAGIC: [u8; 2] = *b"cj";
const FORMAT_VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;

/// Header of a batch: writer, sequence number and time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchHeader {
    /// Node and incarnation that wrote the batch.
    pub writer: NodeIncarnation,
    /// Sequence number of the batch within the writer's incarnation, from 1.
    pub seq: Sequence,
    /// Wall-clock time of the writer when it created the batch.
    pub at: UnixMillis,
}

/// A batch of entries. Once it is in the log, earlier batches of its writer that aren't in the log yet have no effect
/// any more; a batch without entries is therefore used to withdraw them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Writer, sequence number and time.
    pub header: BatchHeader,
    /// Entries, applied in order.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// Encodes the batch as magic, format version, CRC-32 of the body and body. Fails when the result is larger than
    /// [`MAX_BATCH_BYTES`].
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

    /// Decodes a batch. Fails when the record has another magic, another format version or a wrong checksum, or is
    /// truncated.
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
