//! Follows a keyed topic: reads the newest record of each key, then all further records in order.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use cj_types::Clock;
use log::{info, warn};

use crate::platform::{Platform, RawRecord, StoreError, Topic};

/// Longest time that a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(1_500);

/// Longest time that a read of the operator's topic waits. It is shorter because the time of the last answer limits which
/// requests may be answered, and a lost answer is noticed only after the wait.
const OPERATOR_READ_WAIT: Duration = Duration::from_millis(800);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// How long after the last complete read a topic counts as up to date. It is below 3 s because callers have to find a
/// job within 3 s of its acceptance.
pub const MAX_READ_AGE: Duration = Duration::from_millis(2_600);

/// What a follower passes on.
#[derive(Debug)]
pub enum Update<'a> {
    /// A record of the topic.
    Record {
        /// The record.
        record: &'a RawRecord,
        /// True if all records since the previous one were read; false for one of the newest records of the keys, which
        /// are loaded first.
        in_order: bool,
    },
    /// The newest records of all keys were read.
    Loaded,
}

/// How far a topic has been read.
#[derive(Debug, Default)]
pub struct FollowState {
    /// The newest records were read at least once.
    loaded: Cell<bool>,
    /// All records appended before this time have been read.
    caught_up_at: Cell<Option<Instant>>,
    /// Offset of the next record to read.
    next: Cell<u64>,
    /// The last read failed.
    read_failed: Cell<bool>,
}

impl FollowState {
    /// True once the newest records of all keys were read.
    pub fn is_loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Resets to the state before the first read.
    pub(crate) fn reset(&self) {
        self.loaded.set(false);
        self.caught_up_at.set(None);
        self.next.set(0);
        self.read_failed.set(false);
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next.get()
    }

    /// True while the topic was read completely less than [`MAX_READ_AGE`] ago.
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = self.caught_up_at.get().map(|at| now.saturating_duration_since(at));
        self.loaded.get() && age.is_some_and(|age| age < MAX_READ_AGE)
    }

    /// Time since the topic was last read completely; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.caught_up_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Time before which all records have been read; `None` before the first complete read.
    pub(crate) fn read_until(&self) -> Option<Instant> {
        self.caught_up_at.get()
    }

    /// True when all records appended before `moment` have been read.
    pub(crate) fn is_read_until(&self, moment: Instant) -> bool {
        self.loaded.get() && self.caught_up_at.get().is_some_and(|at| at >= moment)
    }

    /// False if the last read failed.
    pub fn is_reachable(&self) -> bool {
        !self.read_failed.get()
    }

    /// Records the result of a read. `Ok` holds the time before which all records were read, if the read reached the
    /// end of the topic.
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

/// Follows a topic until the task is dropped. `pause` runs after each read that reaches the end, so that records gather
/// before the next one.
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
                // Records may have been appended while the pages were read; only the next read reaches the end.
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

/// Reads the newest records of all keys. Returns the offset from which to read all later records.
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

/// How long a read waits for new records, if the topic was last read completely `age` ago. After a gap it doesn't wait, so
/// that an empty topic counts as up to date again at once.
fn read_wait(topic: Topic, age: Option<Duration>) -> Duration {
    let wait = if topic == Topic::Operator { OPERATOR_READ_WAIT } else { READ_WAIT };
    if age.is_some_and(|age| age < wait) { wait } else { Duration::ZERO }
}

/// Reads further records in order, until the store no longer retains the next one.
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
        let wait = read_wait(topic, state.age(sent));
        match platform.read(topic, state.next.get(), wait).await {
            Ok(page) => {
                for record in &page.records {
                    apply(Update::Record { record, in_order: true });
                }
                state.next.set(page.next);
                // Any answer may have been on its way for long. An empty one was made at the end of the wait, so it counts
                // up to then; one with records counts only up to the time of the request.
                let waited = if page.records.is_empty() { wait } else { Duration::ZERO };
                let caught_up_at = (sent + waited).min(clock.now());
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
