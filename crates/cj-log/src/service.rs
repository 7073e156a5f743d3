//! Interface to the platform's log service.

use std::{future::Future, time::Duration};

use serde::{Deserialize, Serialize};

use cj_types::{Offset, Result, StreamId};

/// A page of records of one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    /// Oldest offset still retained.
    pub oldest: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// The platform's log. Implemented by the HTTP client and by the in-memory log for tests and benchmarks.
pub trait LogService {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`cj_types::ErrorKind::Unanswered`] when the record may still appear in the stream, and
    /// [`cj_types::ErrorKind::Refused`] when it certainly won't.
    fn append(&self, stream: &StreamId, record: Vec<u8>) -> impl Future<Output = Result<Offset>>;

    /// Reads records from `from` on: at most `max_bytes`, but at least one record if there is one. Waits up to `wait`
    /// for the first record.
    ///
    /// # Errors
    ///
    /// [`cj_types::ErrorKind::Gap`] when `from` is no longer retained.
    fn read(
        &self,
        stream: &StreamId,
        from: Offset,
        max_bytes: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadPage>>;
}
