//! Encoding of records: a version byte, then the body in postcard format. An empty value drops the key.

use cj_types::{Error, Result};
use compact_str::CompactString;
use serde::{Serialize, de::DeserializeOwned};

use crate::record::{Record, RecordKey};

/// First byte of each value. It changes when the fields of a record change.
const FORMAT_VERSION: u8 = 1;

/// The key and the value under which a record is appended to a log.
pub fn entry(record: &Record) -> (CompactString, Vec<u8>) {
    (record.key_text(), encode(record))
}

/// The value of a record; empty for a dropped key.
pub fn encode(record: &Record) -> Vec<u8> {
    match record {
        Record::Submission(_, body) => to_bytes(body),
        Record::Progress(_, _, body) => to_bytes(body),
        Record::Cancel(_, at) => to_bytes(at),
        Record::Wave(_, progress) => to_bytes(progress),
        Record::Owner(body) => to_bytes(body),
        Record::RunTimes(body) => to_bytes(body),
        Record::Load(body) => to_bytes(body),
        Record::Drop(_) => Vec::new(),
    }
}

/// Encodes a body, preceded by the version byte.
pub fn to_bytes<T>(body: &T) -> Vec<u8>
where
    T: Serialize,
{
    let encoded = postcard::to_extend(body, vec![FORMAT_VERSION]);
    encoded.expect("writing to a vector doesn't fail")
}

/// Decodes a record from its key and value.
///
/// # Errors
///
/// Fails for an invalid key, another format version, or a body that can't be decoded.
pub fn decode(key: &str, value: &[u8]) -> Result<Record> {
    let key: RecordKey = key.parse()?;
    if value.is_empty() {
        return Ok(Record::Drop(key));
    }
    match key {
        RecordKey::Submission(job) => {
            Ok(Record::Submission(job, Box::new(decode_extended(value)?)))
        }
        RecordKey::Progress(job, number) => {
            Ok(Record::Progress(job, number, decode_extended(value)?))
        }
        RecordKey::Cancel(job) => Ok(Record::Cancel(job, from_bytes(value)?)),
        RecordKey::Wave(number) => Ok(Record::Wave(number, from_bytes(value)?)),
        RecordKey::Owner => Ok(Record::Owner(from_bytes(value)?)),
        RecordKey::RunTimes => Ok(Record::RunTimes(from_bytes(value)?)),
        RecordKey::Load => Ok(Record::Load(Box::new(from_bytes(value)?))),
    }
}

/// Decodes a body to which a field was added at the end. A value of an earlier release lacks that field, whose absent or empty
/// value is encoded as 0.
fn decode_extended<T>(value: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    from_bytes(value).or_else(|error| from_bytes(&[value, &[0]].concat()).map_err(|_| error))
}

/// Decodes a body that is preceded by the version byte.
///
/// # Errors
///
/// Fails for another format version, or a body that can't be decoded.
pub fn from_bytes<T>(value: &[u8]) -> Result<T>
where
    T: DeserializeOwned,
{
    let Some((format, body)) = value.split_first() else {
        return Err(Error::decode("record", "the value is empty"));
    };
    if *format != FORMAT_VERSION {
        return Err(Error::decode("record", format!("unsupported format version {format}")));
    }
    postcard::from_bytes(body).map_err(|e| Error::decode("record", e.to_string()))
}
