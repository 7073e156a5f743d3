//! Records supplied by a peer while the log can't be read.

use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use cj_types::{Offset, StreamId};

/// Consecutive records of one stream as a peer read them from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPage {
    /// State hash of the peer before the first record; zero for streams that aren't folded.
    pub before: [u8; 32],
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// Supplies records that were read from the log before. A replica serves its recent records through it, and the
/// membership relay fetches those of a peer through it.
pub trait RecordSource {
    /// Records of `stream` from `from` on, at most `max_bytes` of them but at least one; `None` when the source doesn't
    /// hold the record at `from`.
    fn records<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> LocalBoxFuture<'a, Option<RelayPage>>;

    /// Highest offset of the region stream that the source is known to have folded up to.
    fn applied_offset(&self) -> Offset;
}
