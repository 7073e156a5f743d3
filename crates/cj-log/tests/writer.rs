//! Tests of the group-commit writer with injected faults of the log.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{SECOND, committed_entries, entry, options, run, start};
use futures::future::join_all;
use quickcheck::{Gen, QuickCheck};
use tokio::time::sleep;

use cj_log::{InjectedFaults, MemoryLog, ProposalOutcome};

const MS: Duration = Duration::from_millis(1);

fn faults() -> Vec<(&'static str, InjectedFaults)> {
    let none = InjectedFaults::default();
    let duplicate = InjectedFaults { duplicate: 0.5, duplicate_delay: 3 * SECOND, ..none.clone() };
    vec![
        ("none", none.clone()),
        ("slow", InjectedFaults { delay: 700 * MS, ..none.clone() }),
        ("refused", InjectedFaults { refuse: 0.4, ..none.clone() }),
        ("call lost", InjectedFaults { lose_request: 0.4, ..none.clone() }),
        ("answer lost", InjectedFaults { lose_response: 0.4, ..none.clone() }),
        ("every answer lost", InjectedFaults { lose_response: 1.0, ..none.clone() }),
        (
            "answer lost while reads are down",
            InjectedFaults { lose_response: 0.6, read_down: true, ..none.clone() },
        ),
        ("acknowledged and forgotten", InjectedFaults { lose_acknowledged: 0.3, ..none.clone() }),
        ("late copies", duplicate.clone()),
        ("corrupt pages", InjectedFaults { corrupt: 0.2, ..none.clone() }),
        ("truncated pages", InjectedFaults { truncate: 0.3, ..none }),
        (
            "all at once",
            InjectedFaults {
                delay: 100 * MS,
                refuse: 0.1,
                lose_request: 0.1,
                lose_response: 0.2,
                lose_acknowledged: 0.1,
                corrupt: 0.1,
                truncate: 0.1,
                ..duplicate
            },
        ),
    ]
}

/// Proposes from three nodes at once, ends the faults and compares every outcome with the batches in the log.
fn check(faults: &InjectedFaults, seed: u64, limit: Duration) -> Result<(), String> {
    run(async {
        let log = MemoryLog::new(seed);
        let nodes =
            join_all((1..=3).map(|n| start(&log, options(&format!("n{n}"), seed * 10 + n)))).await;
        log.set_faults(faults.clone());
        let mut answers = BTreeMap::new();
        for round in 0..8 {
            let proposals = nodes
                .iter()
                .enumerate()
                .flat_map(|(n, node)| (0..5).map(move |i| (format!("{n}-{round}-{i}"), node)));
            let proposed = proposals.map(|(key, node)| async move {
                let answer = node.propose(entry(&key), limit).await;
                (key, answer)
            });
            answers.extend(join_all(proposed).await);
            sleep(50 * MS).await;
        }
        log.set_faults(InjectedFaults::default());
        // Time for batches in flight and delayed duplicates to reach the log.
        sleep(60 * SECOND).await;
        join_all(nodes.iter().map(|n| n.propose(entry("last"), 10 * SECOND))).await;
        let hashes: Vec<_> = nodes.iter().map(|n| (n.state().next, n.state().hash)).collect();
        if hashes.iter().any(|h| *h != hashes[0]) || nodes.iter().any(|n| n.fault().is_some()) {
            return Err(format!("states differ: {hashes:?}"));
        }
        let committed = committed_entries(&log);
        for (key, answer) in answers {
            let count = committed.get(&key).copied().unwrap_or(0);
            let allowed = match answer {
                ProposalOutcome::Decided { .. } => count == 1,
                ProposalOutcome::Withdrawn => count == 0,
                ProposalOutcome::Pending => count <= 1,
            };
            if !allowed {
                return Err(format!("{key} answered {answer:?} and is ordered {count} times"));
            }
        }
        Ok(())
    })
}

/// Guards against lost and duplicated entries, and against entries reported as withdrawn that took effect.
#[test]
fn answers_match_the_order_under_every_fault() {
    for (name, faults) in faults() {
        for (seed, limit) in [(1, 400 * MS), (2, SECOND), (3, 5 * SECOND), (4, 30 * SECOND)] {
            if let Err(problem) = check(&faults, seed, limit) {
                panic!("{name}, seed {seed}, limit {limit:?}: {problem}");
            }
        }
    }
}

/// Like the test above, with random combinations of faults.
#[test]
fn answers_match_the_order_under_drawn_faults() {
    fn holds(draw: (u8, u8, u8, u8, u8, u8), seed: u8, limit: u16) -> bool {
        let share = |x: u8| f64::from(x) / 512.0;
        let faults = InjectedFaults {
            refuse: share(draw.0),
            lose_request: share(draw.1),
            lose_response: share(draw.2),
            lose_acknowledged: share(draw.3),
            duplicate: share(draw.4),
            duplicate_delay: 2 * SECOND,
            corrupt: share(draw.5) / 2.0,
            ..InjectedFaults::default()
        };
        let limit = 200 * MS + MS * u32::from(limit % 8000);
        check(&faults, u64::from(seed), limit).map_err(|e| eprintln!("{e}")).is_ok()
    }
    let rng = Gen::from_size_and_seed(256, 20_261_204);
    QuickCheck::new()
        .rng(rng)
        .tests(40)
        .quickcheck(holds as fn((u8, u8, u8, u8, u8, u8), u8, u16) -> bool);
}

/// While the log is down, a proposer must get a correct outcome within its limit: an entry that was never sent is
/// withdrawn, and one that may have been sent stays pending.
#[test]
fn log_down_answers_within_the_limit() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(InjectedFaults { append_down: true, ..InjectedFaults::default() });
        let begin = tokio::time::Instant::now();
        let (first, second) = tokio::join!(node.propose(entry("sent"), SECOND), async {
            sleep(100 * MS).await;
            node.propose(entry("queued"), SECOND).await
        });
        assert_eq!((first, second), (ProposalOutcome::Pending, ProposalOutcome::Withdrawn));
        assert!(begin.elapsed() <= 1200 * MS);
        log.set_faults(InjectedFaults::default());
        sleep(20 * SECOND).await;
        let outcome = node.propose(entry("later"), SECOND).await;
        assert!(matches!(outcome, ProposalOutcome::Decided { .. }));
        assert_eq!(committed_entries(&log).get("queued"), None);
    });
}

/// Refused appends store nothing, so their proposals must be withdrawn without a record in the log.
#[test]
fn refused_appends_are_withdrawn_without_a_record() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        let appends = log.append_count();
        log.set_faults(InjectedFaults { refuse: 1.0, ..InjectedFaults::default() });
        assert_eq!(node.propose(entry("x"), SECOND).await, ProposalOutcome::Withdrawn);
        assert_eq!(log.append_count(), appends);
    });
}

/// Guards against an unbounded queue: a burst while the log is slow must not exhaust the memory of the node.
#[test]
fn full_queue_withdraws_at_once() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(InjectedFaults { delay: 10 * SECOND, ..InjectedFaults::default() });
        let keys: Vec<String> = (0..6000).map(|i| format!("k{i}")).collect();
        let answers = join_all(keys.iter().map(|k| node.propose(entry(k), 600 * SECOND))).await;
        let withdrawn = answers.iter().filter(|a| **a == ProposalOutcome::Withdrawn).count() as u64;
        assert_eq!(withdrawn, node.writer_stats().overflowed);
        assert!(withdrawn > 1000, "{withdrawn} withdrawn");
        let decided =
            answers.iter().filter(|a| matches!(a, ProposalOutcome::Decided { .. })).count();
        assert_eq!(decided as u64 + withdrawn, 6000);
    });
}

/// Waiting entries must be grouped into batches that stay within the limits on entries and bytes.
#[test]
fn batches_group_entries_within_limits() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(InjectedFaults { delay: 100 * MS, ..InjectedFaults::default() });
        let before = log.append_count();
        let keys: Vec<String> = (0..1000).map(|i| format!("k{i}")).collect();
        join_all(keys.iter().map(|k| node.propose(entry(k), 60 * SECOND))).await;
        let batches = log.append_count() - before;
        assert!((4..=6).contains(&batches), "{batches} batches");
        assert_eq!(committed_entries(&log).len(), 1000);
        let records = log.records(&common::region());
        assert!(records.iter().all(|(_, r)| r.len() <= cj_record::MAX_BATCH_BYTES));
    });
}

/// An idle node must keep its incarnation alive in the fold. A node that couldn't append for a day must join again
/// under a new incarnation, because the fold ignores all batches of the old one.
#[test]
fn dropped_incarnation_joins_again() {
    for (cut_off, joins_again) in [(false, false), (true, true)] {
        run(async {
            let log = MemoryLog::new(5);
            let handle = log.new_handle();
            let (a, b) =
                (start(&handle, options("a", 1)).await, start(&log, options("b", 2)).await);
            let before = a.node();
            handle.set_faults(InjectedFaults { append_down: cut_off, ..InjectedFaults::default() });
            for minute in 0..1500 {
                sleep(60 * SECOND).await;
                b.propose(entry(&format!("b{minute}")), SECOND).await;
            }
            handle.set_faults(InjectedFaults::default());
            sleep(10 * SECOND).await;
            assert!(matches!(
                a.propose(entry("a"), 5 * SECOND).await,
                ProposalOutcome::Decided { .. }
            ));
            assert_eq!(a.node() != before, joins_again);
        });
    }
}

/// Proposals that are queued when the node stops must still reach the log.
#[test]
fn stop_flushes_the_queue() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(InjectedFaults { delay: 200 * MS, ..InjectedFaults::default() });
        let (first, second) = (entry("1"), entry("2"));
        let answers = tokio::join!(
            node.propose(first, 10 * SECOND),
            async {
                sleep(50 * MS).await;
                node.propose(second, 10 * SECOND).await
            },
            async {
                sleep(100 * MS).await;
                node.stop();
            }
        );
        assert!(matches!(answers.0, ProposalOutcome::Decided { .. }));
        assert!(matches!(answers.1, ProposalOutcome::Decided { .. }));
        assert_eq!(node.propose(entry("3"), SECOND).await, ProposalOutcome::Withdrawn);
    });
}
