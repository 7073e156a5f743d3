//! Recent records and state hashes, kept to serve peers that can't read the log and to compare states with peers.

use std::collections::VecDeque;

use cj_types::Offset;

use crate::source::RelayPage;

/// Maximum bytes of records kept for peers. At 12 KB/s this covers more than a minute.
const MAX_BYTES: usize = 1024 * 1024;
/// Maximum number of state hashes kept. Peers whose offset is at most this far behind can be compared.
const MAX_HASHES: usize = 4096;

/// Recent records and state hashes of a replica.
#[derive(Debug)]
pub(crate) struct History {
    next: Offset,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
    /// State hashes before each of the last records; the last element is the hash at `next`.
    hashes: VecDeque<[u8; 32]>,
}

impl History {
    pub(crate) fn new(next: Offset, hash: [u8; 32]) -> Self {
        History { next, records: VecDeque::new(), bytes: 0, hashes: VecDeque::from([hash]) }
    }

    /// Adds the record at the next offset and the state hash after it.
    pub(crate) fn push(&mut self, record: &[u8], hash: [u8; 32]) {
        self.next = self.next.next();
        self.bytes += record.len();
        self.records.push_back(record.to_vec());
        self.hashes.push_back(hash);
        while self.bytes > MAX_BYTES || self.records.len() >= MAX_HASHES {
            self.bytes -= self.records.pop_front().map_or(0, |r| r.len());
        }
        while self.hashes.len() > MAX_HASHES {
            self.hashes.pop_front();
        }
    }

    /// State hash before the record at `offset`, if it is still kept.
    pub(crate) fn hash_at(&self, offset: Offset) -> Option<[u8; 32]> {
        let back = self.next.0.checked_sub(offset.0)? as usize;
        let index = (self.hashes.len() - 1).checked_sub(back)?;
        Some(self.hashes[index])
    }

    /// The record at `offset`, if it is still kept.
    pub(crate) fn record(&self, offset: Offset) -> Option<&[u8]> {
        let back = self.next.0.checked_sub(offset.0)? as usize;
        let index = self.records.len().checked_sub(back)?;
        self.records.get(index).map(Vec::as_slice)
    }

    /// Records from `from` on: at most `max_bytes`, but at least one. `None` when the record at `from` isn't kept.
    pub(crate) fn page(&self, from: Offset, max_bytes: usize) -> Option<RelayPage> {
        let mut page = RelayPage { before: self.hash_at(from)?, records: Vec::new() };
        let mut bytes = 0;
        let mut offset = from;
        while let Some(record) = self.record(offset) {
            bytes += record.len();
            if bytes > max_bytes && !page.records.is_empty() {
                break;
            }
            page.records.push((offset, record.to_vec()));
            offset = offset.next();
        }
        Some(page).filter(|p| !p.records.is_empty())
    }
}
