//! Following a topic: how far it counts as read, and when.

use std::time::Duration;

use cj_entry::{
    FIRST_CELL_JOBS, NewestPage, Page, StoreError,
    follow::{FollowState, Update, follow},
};
use cj_types::Clock;

use crate::platform::{FakePlatform, after, record};

fn page(from: u64, count: u64, end: u64) -> Page {
    let records = (from..from + count).map(|n| record(n, "owner", vec![1])).collect();
    Page { records, next: from + count, end }
}

fn newest(end: u64) -> NewestPage {
    NewestPage { records: vec![record(end - 1, "owner", vec![1])], after: None, end }
}

/// Follows the topic until the script ends. Returns the offsets of the records read in order, and the number of loads.
async fn run(platform: &FakePlatform, state: &FollowState) -> (Vec<u64>, usize) {
    let (mut offsets, mut loads) = (Vec::new(), 0);
    let apply = |update: Update<'_>| match update {
        Update::Record { record, in_order: true } => offsets.push(record.offset),
        Update::Record { .. } => {}
        Update::Loaded => loads += 1,
    };
    let followed = follow(platform, &platform.clock, FIRST_CELL_JOBS, state, async || (), apply);
    // A call without a scripted answer never returns, so the timeout only ends the test.
    let _ = tokio::time::timeout(Duration::from_millis(400), followed).await;
    (offsets, loads)
}

/// Guards against a 410 for a job that was accepted while the node was still reading the topic.
#[actix_rt::test]
async fn is_fresh_only_after_the_end_was_read() {
    let platform = FakePlatform::new();
    let state = FollowState::default();
    platform.newest.borrow_mut().push_back(after(2_000, Ok(newest(5))));
    run(&platform, &state).await;
    assert!(state.is_loaded());
    assert!(!state.is_fresh(platform.clock.now()), "nothing after the load was read");

    let platform = FakePlatform::new();
    let state = FollowState::default();
    platform.newest.borrow_mut().push_back(after(2_000, Ok(newest(5))));
    platform.reads.borrow_mut().push_back(after(1_000, Ok(page(5, 3, 20))));
    run(&platform, &state).await;
    assert!(!state.is_fresh(platform.clock.now()), "records up to 20 are missing");

    let platform = FakePlatform::new();
    let state = FollowState::default();
    platform.newest.borrow_mut().push_back(after(2_000, Ok(newest(5))));
    platform.reads.borrow_mut().push_back(after(10, Ok(page(5, 3, 8))));
    run(&platform, &state).await;
    assert!(state.is_fresh(platform.clock.now()));
}

/// Guards against treating records as up to date on arrival although they were on their way for long.
#[actix_rt::test]
async fn slow_answers_are_as_old_as_their_request() {
    let platform = FakePlatform::new();
    let state = FollowState::default();
    platform.newest.borrow_mut().push_back(after(10, Ok(newest(5))));
    platform.reads.borrow_mut().push_back(after(3_000, Ok(page(5, 1, 6))));
    run(&platform, &state).await;
    assert!(!state.is_fresh(platform.clock.now()));
}

/// Guards against a configuration or a job log that counts as up to date because an old empty answer arrived late.
#[actix_rt::test]
async fn empty_answers_are_as_old_as_the_end_of_their_wait() {
    let platform = FakePlatform::new();
    let state = FollowState::default();
    platform.newest.borrow_mut().push_back(after(10, Ok(newest(5))));
    platform.reads.borrow_mut().push_back(after(4_200, Ok(page(5, 0, 5))));
    run(&platform, &state).await;
    assert!(!state.is_fresh(platform.clock.now()));
}

/// Guards against skipping records: the topic has to be loaded again after a gap, and a failed read has to be retried.
#[actix_rt::test]
async fn reloads_after_a_gap_and_retries_after_an_error() {
    let platform = FakePlatform::new();
    let state = FollowState::default();
    platform.newest.borrow_mut().push_back(after(10, Ok(newest(5))));
    platform.newest.borrow_mut().push_back(after(10, Ok(newest(40))));
    platform.reads.borrow_mut().extend([
        after(10, Ok(page(5, 2, 7))),
        after(10, Err(StoreError::Unanswered("reset".into()))),
        after(10, Err(StoreError::Gap(30))),
        after(10, Ok(page(40, 1, 41))),
    ]);
    let (offsets, loads) = run(&platform, &state).await;
    assert_eq!(offsets, [5, 6, 40]);
    assert_eq!(loads, 2);
    assert!(state.is_reachable());
}
