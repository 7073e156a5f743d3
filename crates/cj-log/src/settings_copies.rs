//! Copies the records of the `settings` stream into the region stream.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use futures::future::{join, join_all};
use log::{error, warn};
use tokio::sync::Notify;

use cj_fold::{State, rules::MAX_SETTING_BYTES};
use cj_record::{Entry, SignedSetting};
use cj_types::{Clock, Error, ErrorKind, Offset, StreamId};
use ed25519_dalek::VerifyingKey;

use crate::{
    follow::{LONG_POLL_WAIT, MAX_READ_BYTES, SuspectRecord, in_sequence},
    replica::Replica,
    service::LogService,
    writer::backoff,
};

const SETTINGS_STREAM: &str = "settings";
/// Rendezvous key: the node that owns it proposes copies first.
pub const SETTINGS_COPY_KEY: &[u8] = b"settings-copy";
/// Time after which nodes other than the rendezvous owner propose a copy that is still missing.
const NON_OWNER_DELAY: Duration = Duration::from_millis(500);
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of copies proposed at once.
const MAX_COPIES: usize = 64;
const REREAD_DELAY: Duration = Duration::from_millis(20);

/// Records of the `settings` stream that aren't copied into the region stream yet, with the time they were read.
#[derive(Default)]
struct PendingCopies {
    records: RefCell<BTreeMap<Offset, (Vec<u8>, Instant)>>,
    added: Notify,
}

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Follows the `settings` stream and proposes copies until the replica stops.
    pub(crate) async fn copy_settings(&self) {
        let pending = PendingCopies::default();
        join(self.read_settings(&pending), self.propose_copies(&pending)).await;
    }

    async fn read_settings(&self, pending: &PendingCopies) {
        let stream: StreamId = SETTINGS_STREAM.parse().expect("a valid stream name");
        let mut suspect = SuspectRecord::default();
        let mut failures = 0;
        let mut next = Offset(0);
        loop {
            next = next.max(self.state.borrow().settings_next);
            let read = self.log.read(&stream, next, MAX_READ_BYTES, LONG_POLL_WAIT).await;
            match read.and_then(|page| in_sequence(next, page)) {
                Ok(page) => {
                    failures = 0;
                    for (offset, bytes) in page.records {
                        // A record damaged in transit and copied as such would permanently take the place of a valid
                        // setting.
                        let unverified = !has_valid_signature(&self.state.borrow(), &bytes);
                        if unverified && !suspect.is_confirmed(offset, &bytes) {
                            sleep(REREAD_DELAY).await;
                            break;
                        }
                        let received = self.clock.now();
                        pending.records.borrow_mut().insert(offset, (bytes, received));
                        next = offset.next();
                    }
                    pending.added.notify_one();
                }
                Err(Error { kind: ErrorKind::Gap { oldest, .. }, .. }) => {
                    // Records that no node copied in time are lost, but another node may still hold them.
                    error!("settings records {next} to {oldest} are no longer retained");
                    sleep(LONG_POLL_WAIT).await;
                }
                Err(error) => {
                    if failures == 0 {
                        warn!("reading {stream} failed: {error}");
                    }
                    let delay = backoff(&mut *self.rng.borrow_mut(), failures);
                    failures = (failures + 1).min(10);
                    sleep(delay).await;
                }
            }
        }
    }

    async fn propose_copies(&self, pending: &PendingCopies) {
        loop {
            let (copies, wait) = self.due_copies(pending);
            if copies.is_empty() {
                // The rendezvous owner can change without a notification, so the check is repeated.
                let _ = timeout(wait, pending.added.notified()).await;
                continue;
            }
            join_all(copies.into_iter().map(|entry| self.propose(entry, PROPOSAL_TIMEOUT))).await;
            if self.fault().is_some() || self.is_stopping() {
                sleep(NON_OWNER_DELAY).await;
            }
        }
    }

    /// Copies to propose now, and the time until the next check when there are none.
    fn due_copies(&self, pending: &PendingCopies) -> (Vec<Entry>, Duration) {
        let now = self.clock.now();
        let settings_next = self.state.borrow().settings_next;
        let mut records = pending.records.borrow_mut();
        *records = records.split_off(&settings_next);
        let delay = if (self.options.is_owner)(SETTINGS_COPY_KEY) {
            Duration::ZERO
        } else {
            NON_OWNER_DELAY
        };
        let due = |received: Instant| now.saturating_duration_since(received) >= delay;
        let consecutive = records.iter().zip(settings_next.0..);
        let copies = consecutive
            .take_while(|((offset, (_, received)), expected)| {
                offset.0 == *expected && due(*received)
            })
            .take(MAX_COPIES)
            .map(|((offset, (bytes, _)), _)| copy_entry(*offset, bytes));
        let wait = if records.is_empty() { LONG_POLL_WAIT } else { NON_OWNER_DELAY / 4 };
        (copies.collect(), wait)
    }
}

/// Entry that copies a record. A record above the fold's size limit doesn't fit into a batch either, so its copy is
/// empty and the fold rejects it.
fn copy_entry(offset: Offset, bytes: &[u8]) -> Entry {
    let payload = if bytes.len() > MAX_SETTING_BYTES { Vec::new() } else { bytes.to_vec() };
    Entry::SettingsCopy { offset, payload }
}

fn has_valid_signature(state: &State, bytes: &[u8]) -> bool {
    let Ok(signed) = SignedSetting::decode(bytes) else { return false };
    let keys = state.keys.get(&signed.office).into_iter().flatten();
    keys.filter_map(|key| VerifyingKey::from_bytes(key).ok()).any(|key| signed.verify(&key).is_ok())
}
