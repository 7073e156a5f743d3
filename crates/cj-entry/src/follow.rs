//! Follows a keyed topic: reads the newest record of each key, then each further record in order.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use cj_types::Clock;
use log::{info, warn};

use crate::platform::{Platform, RawRecord, StoreError, Topic};

/// Longest wait of a read for a record.
const READ_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// What is known of a topic may be used for this long. Callers have to find a job within 3 s of its acceptance.
pub const MAX_READ_AGE: Duration = Duration::from_millis(2_600);

/// What a follower hands on.
#[derive(Debug)]
pub enum Update<'a> {
    /// A record. `in_order` is false for one of the newest records of the keys.
    Record {
        /// The record.
        record: &'a RawRecord,
        /// All records since the last one were read.
        in_order: bool,
    },
    /// The newest records of all keys were read.
    Loaded,
}

/// State of a followed topic.
#[derive(Debug, Default)]
pub struct FollowState {
    /// The newest records were read at least once.
    loaded: Cell<bool>,
    /// All records before this time are known.
    caught_up_at: Cell<Option<Instant>>,
    /// Offset of the next record.
    next: Cell<u64>,
    /// The last read failed.
    read_failed: Cell<bool>,
}

impl FollowState {
    /// True once the topic was read as a whole.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Forgets what was read.
    pub(crate) fn reset(&self) {
        self.loaded.set(false);
        self.caught_up_at.set(None);
        self.next.set(0);
        self.read_failed.set(false);
    }

    /// Offset of the next record.
    pub fn next(&self) -> u64 {
        self.next.get()
    }

    /// True while the topic is known to be read up to date.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = self.caught_up_at.get().map(|at| now.saturating_duration_since(at));
        self.loaded.get() && age.is_some_and(|age| age < MAX_READ_AGE)
    }

    /// Time since all records were known; `None` when they never were.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.caught_up_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// True when all records before `moment` are known.
    pub(crate) fn is_read_until(&self, moment: Instant) -> bool {
        self.loaded.get() && self.caught_up_at.get().is_some_and(|at| at >= moment)
    }

    /// True while reads are answered.
    pub fn is_reachable(&self) -> bool {
        !self.read_failed.get()
    }

    /// Takes note of a read. `Ok` has the time before which all records are known, if the read reached the end.
    fn record_read(&self, topic: Topic, result: Result<Option<Instant>, &StoreError>) {
        match result {
            Ok(caught_up_at) => {
                self.caught_up_at.set(caught_up_at.or(self.caught_up_at.get()));
                if self.read_failed.replace(false) {
                    info!(target: "link", "topic={topic} choice=regained next={}", self.next.get());
                }
            }
            Err(error) => {
                if !self.read_failed.replace(true) {
                    warn!(target: "link", "topic={topic} choice=lost next={} cause=\"{error}\"", self.next.get());
                }
            }
        }
    }
}

/// Follows a topic until the task is dropped. `pause` waits between two reads, and lets records gather.
pub async fn follow<P, C, W, F>(
    platform: &P,
    clock: &C,
    topic: Topic,
    state: &FollowState,
    pause: W,
    mut apply: F,
) where
    P: Platform,
    C: Clock,
    W: AsyncFn(),
    F: FnMut(Update<'_>),
{
    loop {
        match load(platform, topic, &mut apply).await {
            Ok(end) => {
                state.next.set(end);
                state.loaded.set(true);
                // Records may have been added while the pages were read: only the next read reaches the end.
                state.record_read(topic, Ok(None));
                apply(Update::Loaded);
            }
            Err(error) => {
                state.record_read(topic, Err(&error));
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        tail(platform, clock, topic, state, &pause, &mut apply).await;
    }
}

/// Reads the newest records. Returns the offset from which all later ones have to be read.
pub(crate) async fn load<P, F>(platform: &P, topic: Topic, apply: &mut F) -> Result<u64, StoreError>
where
    P: Platform,
    F: FnMut(Update<'_>),
{
    let mut after = None;
    let mut end = None;
    loop {
        let page = platform.newest(topic, after.as_deref()).await?;
        // Later pages may hold later records, so the end of the first page counts.
        end.get_or_insert(page.end);
        for record in &page.records {
            apply(Update::Record { record, in_order: false });
        }
        after = page.after;
        if after.is_none() {
            return Ok(end.unwrap_or_default());
        }
    }
}

/// Reads further records until some are gone.
async fn tail<P, C, W, F>(
    platform: &P,
    clock: &C,
    topic: Topic,
    state: &FollowState,
    pause: &W,
    apply: &mut F,
) where
    P: Platform,
    C: Clock,
    W: AsyncFn(),
    F: FnMut(Update<'_>),
{
    loop {
        let sent = clock.now();
        match platform.read(topic, state.next.get(), READ_WAIT).await {
            Ok(page) => {
                for record in &page.records {
                    apply(Update::Record { record, in_order: true });
                }
                state.next.set(page.next);
                // An answer without records was made when the wait ended; others may have been on their way for long.
                let caught_up_at = if page.records.is_empty() { clock.now() } else { sent };
                let reached = page.next >= page.end;
                state.record_read(topic, Ok(reached.then_some(caught_up_at)));
                if reached {
                    pause().await;
                }
            }
            Err(StoreError::Gap(first)) => {
                warn!(target: "link", "topic={topic} choice=reload next={} first={first}", state.next.get());
                return;
            }
            Err(error) => {
                state.record_read(topic, Err(&error));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
