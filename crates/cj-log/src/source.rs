//! Interface for records supplied by a peer while the log can't be read.

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use cj_types::{Offset, StreamId};

/// Consecutive records of one stream as a peer read them from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPage {
    /// State hash of the peer before it folded the first record; all zero for streams that aren't folded.
    pub before: [u8; 32],
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// Supplies records that were read from the log earlier. A replica serves its recent records through this trait, and
/// the membership relay fetches the records of a peer through it.
pub trait RecordSource {
    /// Records of `stream` from `from` on, at most `max_bytes` of them but at least one; `None` when the source doesn't
    /// hold the record at `from`.
    fn records<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> LocalBoxFuture<'a, Option<RelayPage>>;

    /// Highest applied offset of the region stream that the source reports: all earlier records are folded there.
    fn applied_offset(&self) -> Offset;
}
