//! The platform's store: topics of records, appended under a condition or a fencing token.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
};

use cj_entry::{Guard, NewestPage, Page, RawRecord, StoreError, Topic};
use compact_str::CompactString;
use tokio::sync::Notify;

/// Maximum number of records in a page of newest records.
const PAGE_RECORDS: usize = 500;

/// Maximum size of the records in one answer to a read, unless the first one is larger.
const READ_BYTES: usize = 256 * 1024;

#[derive(Default)]
struct Log {
    records: Vec<RawRecord>,
    /// Fencing token of the last owner that appended, and the expected number of its next append.
    owner: (u64, u64),
}

/// All topics.
#[derive(Default)]
pub(super) struct Store {
    logs: RefCell<HashMap<Topic, Log>>,
    /// Notified when records are appended.
    pub(super) appended: Notify,
    /// Number of bytes of the records read so far.
    pub(super) read_bytes: Cell<u64>,
}

impl Store {
    pub(super) fn append(
        &self,
        topic: Topic,
        records: &[(CompactString, Vec<u8>)],
        guard: Guard,
    ) -> Result<u64, StoreError> {
        let mut logs = self.logs.borrow_mut();
        let log = logs.entry(topic).or_default();
        let end = log.records.len() as u64;
        match guard {
            Guard::None => {}
            Guard::End(expected) if expected != end => return Err(StoreError::Moved(end)),
            Guard::End(_) => {}
            Guard::Owner { epoch, .. } if epoch < log.owner.0 => return Err(StoreError::Fenced),
            Guard::Owner { epoch, sequence } if epoch == log.owner.0 && sequence != log.owner.1 => {
                return Err(StoreError::Sequence(log.owner.1));
            }
            Guard::Owner { epoch, sequence } => log.owner = (epoch, sequence + 1),
        }
        for (key, value) in records {
            let offset = log.records.len() as u64;
            let value = value.clone().into();
            log.records.push(RawRecord { offset, key: key.clone(), value });
        }
        self.appended.notify_waiters();
        Ok(end)
    }

    pub(super) fn read(&self, topic: Topic, from: u64) -> Page {
        let logs = self.logs.borrow();
        let all = logs.get(&topic).map_or(&[][..], |log| &log.records);
        let mut records = Vec::new();
        let mut bytes = 0;
        for record in all.iter().skip(from as usize) {
            bytes += record.key.len() + record.value.len();
            if bytes > READ_BYTES && !records.is_empty() {
                break;
            }
            records.push(record.clone());
        }
        self.count(&records);
        Page { next: from + records.len() as u64, records, end: all.len() as u64 }
    }

    pub(super) fn newest(&self, topic: Topic, after: Option<&str>) -> NewestPage {
        let logs = self.logs.borrow();
        let all = logs.get(&topic).map_or(&[][..], |log| &log.records);
        let mut keys: BTreeMap<&str, &RawRecord> = BTreeMap::new();
        for record in all {
            keys.insert(&record.key, record);
        }
        let later = keys.into_values().filter(|record| after.is_none_or(|key| *record.key > *key));
        let mut records: Vec<RawRecord> = later.take(PAGE_RECORDS + 1).cloned().collect();
        let more = records.len() > PAGE_RECORDS;
        records.truncate(PAGE_RECORDS);
        self.count(&records);
        let after = records.last().filter(|_| more).map(|record| record.key.clone());
        NewestPage { records, after, end: all.len() as u64 }
    }

    fn count(&self, records: &[RawRecord]) {
        let bytes: usize = records.iter().map(|record| record.key.len() + record.value.len()).sum();
        self.read_bytes.set(self.read_bytes.get() + bytes as u64);
    }
}
