//! Sequence numbers of batches and fold time. Guards against a lost or late batch that takes effect after its
//! withdrawal.

mod common;

use cj_fold::Applied;
use cj_record::*;
use cj_types::*;
use common::*;

const HOUR: u64 = 3_600_000;

fn is_folded(applied: Applied) -> bool {
    match applied {
        Applied::Batch { .. } => true,
        Applied::Ignored { .. } => false,
        Applied::Corrupt { reason } => panic!("{reason}"),
    }
}

/// Applies batches given as (incarnation, sequence number, time, expected), where `expected` is whether the batch is
/// folded.
#[track_caller]
fn check(region: &mut TestRegion, batches: &[(u64, u64, u64, bool)]) {
    for (number, (incarnation, seq, at, expected)) in batches.iter().enumerate() {
        let record = batch("m", *incarnation, *seq, *at, vec![Entry::Tick]);
        assert_eq!(is_folded(region.apply(record)), *expected, "batch {number}");
    }
    region.state.check_invariants().unwrap();
}

#[test]
fn each_batch_is_folded_once() {
    let mut region = TestRegion::new();
    check(
        &mut region,
        &[
            (1, 2, NOON, false), // unknown incarnation
            (1, 1, NOON, true),
            (1, 1, NOON, false),
            (1, 2, NOON, true),
            (1, 4, NOON, true), // withdrawal of 3
            (1, 3, NOON, false),
            (2, 1, NOON, true), // restart
            (1, 5, NOON, true), // the previous incarnation still sends queued batches
        ],
    );
    assert_eq!(region.state.counters.duplicates, 3);
}

#[test]
fn a_withdrawn_batch_never_takes_effect() {
    let mut region = TestRegion::new();
    region.batch("n2", vec![]);
    let lost = batch("n2", 1, 2, NOON, vec![Entry::Submit(submit("cook/1", "batch", "proofs"))]);
    assert!(is_folded(region.apply(batch("n2", 1, 3, NOON, vec![]))));
    assert!(!is_folded(region.apply(lost)));
    assert!(region.state.jobs.is_empty());
}

#[test]
fn silent_writers_are_removed_and_their_late_batches_ignored() {
    let mut region = TestRegion::new();
    check(&mut region, &[(1, 1, NOON, true), (2, 1, NOON + 48 * HOUR, true)]);
    region.advance_time(24 * 3600);
    let now = region.now;
    check(&mut region, &[(1, 2, now, true)]);
    region.advance_time(24 * 3600 + 60);
    // The second writer's clock is two days fast; its batches arrive as late as those of the first writer.
    let late = [
        (1, 3, now, false),
        (1, 1, NOON, false),
        (2, 1, NOON + 48 * HOUR, false),
        (2, 2, NOON + 49 * HOUR, false),
    ];
    check(&mut region, &late);
    region.advance_time(2 * 3600);
    assert!(region.state.writers.keys().all(|w| w.node.as_str() != "m"));
    check(&mut region, &late);
    let pieces = cj_fold::snapshot::encode(&region.state);
    let mut assembler = cj_fold::snapshot::Assembler::default();
    region.state = pieces.iter().find_map(|piece| assembler.push(piece)).unwrap();
    check(&mut region, &late);
}

/// A node with a fast clock advances fold time; nodes with the correct time must still be able to join.
#[test]
fn a_fast_clock_does_not_exclude_other_nodes() {
    let mut region = TestRegion::new();
    region.advance_time(48 * 3600);
    check(&mut region, &[(1, 1, NOON, true), (1, 2, NOON, true)]);
}

#[test]
fn a_fast_clock_advances_fold_time_by_at_most_a_minute() {
    let mut region = TestRegion::new();
    check(&mut region, &[(1, 1, NOON + 365 * 24 * HOUR, true)]);
    assert_eq!(region.state.now, UnixMillis(NOON + 60_000));
    check(&mut region, &[(1, 2, NOON - HOUR, true)]);
    assert_eq!(region.state.now, UnixMillis(NOON + 60_000));
}

#[test]
fn unknown_entry_kinds_do_not_affect_the_rest_of_the_batch() {
    let mut region = TestRegion::new();
    let job = || Entry::Submit(submit("cook/1", "batch", "proofs"));
    let later = Entry::Unknown { kind: 900, body: vec![1, 2, 3] };
    let verdicts = region.batch("n1", vec![later, job()]);
    assert!(matches!(verdicts[0], cj_fold::Verdict::Rejected { .. }));
    assert!(matches!(verdicts[1], cj_fold::Verdict::Accepted { .. }));
    assert!(region.state.behind);
    assert!(cj_fold::snapshot::encode(&region.state).is_empty());
}

/// A reader that skips records or reads them again must not change the state.
#[test]
fn records_out_of_order_change_nothing() {
    let mut region = TestRegion::new();
    let before = region.state.clone();
    for offset in [before.next.0 - 1, before.next.0 + 1] {
        let applied = region.state.apply(Offset(offset), &batch("m", 1, 1, NOON, vec![]));
        assert!(matches!(applied, Applied::Corrupt { .. }));
    }
    assert_eq!(region.state, before);
}

/// Nodes detect a different history by comparing hashes, even if the states are equal otherwise.
#[test]
fn the_hash_covers_offset_record_and_verdicts() {
    let region = TestRegion::new();
    let hash = |records: &[&[u8]]| {
        let mut state = region.state.clone();
        for record in records {
            state.apply(state.next, record);
        }
        state.hash
    };
    let tick = batch("m", 1, 1, NOON, vec![Entry::Tick]);
    let foreign: &[u8] = b"foreign";
    let histories: [&[&[u8]]; 6] =
        [&[], &[&tick], &[foreign], &[b"other"], &[&tick, foreign], &[foreign, &tick]];
    let hashes = std::collections::BTreeSet::from(histories.map(hash));
    assert_eq!(hashes.len(), histories.len());
}
