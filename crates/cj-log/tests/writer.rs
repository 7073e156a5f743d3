//! The group-commit writer under faults of the log.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{SECOND, entry, options, ordered, run, start};
use futures::future::join_all;
use quickcheck::{Gen, QuickCheck};
use tokio::time::sleep;

use cj_log::{Faults, MemoryLog, Proposed};

const MS: Duration = Duration::from_millis(1);

fn faults() -> Vec<(&'static str, Faults)> {
    let none = Faults::default();
    let duplicate = Faults { duplicate: 0.5, duplicate_after: 3 * SECOND, ..none.clone() };
    vec![
        ("none", none.clone()),
        ("slow", Faults { delay: 700 * MS, ..none.clone() }),
        ("refused", Faults { refuse: 0.4, ..none.clone() }),
        ("call lost", Faults { lose_call: 0.4, ..none.clone() }),
        ("answer lost", Faults { lose_answer: 0.4, ..none.clone() }),
        ("every answer lost", Faults { lose_answer: 1.0, ..none.clone() }),
        (
            "answer lost while reads are down",
            Faults { lose_answer: 0.6, read_down: true, ..none.clone() },
        ),
        ("acknowledged and forgotten", Faults { forget: 0.3, ..none.clone() }),
        ("late copies", duplicate.clone()),
        ("corrupt pages", Faults { corrupt: 0.2, ..none.clone() }),
        ("truncated pages", Faults { truncate: 0.3, ..none }),
        (
            "all at once",
            Faults {
                delay: 100 * MS,
                refuse: 0.1,
                lose_call: 0.1,
                lose_answer: 0.2,
                forget: 0.1,
                corrupt: 0.1,
                truncate: 0.1,
                ..duplicate
            },
        ),
    ]
}

/// Proposes from three nodes at once, heals the log and compares every answer with the order in the log.
fn check(faults: &Faults, seed: u64, limit: Duration) -> Result<(), String> {
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
        log.set_faults(Faults::default());
        // Batches in flight and late copies reach the log in this time.
        sleep(60 * SECOND).await;
        join_all(nodes.iter().map(|n| n.propose(entry("last"), 10 * SECOND))).await;
        let hashes: Vec<_> = nodes.iter().map(|n| (n.state().next, n.state().hash)).collect();
        if hashes.iter().any(|h| *h != hashes[0]) || nodes.iter().any(|n| n.fault().is_some()) {
            return Err(format!("states differ: {hashes:?}"));
        }
        let ordered = ordered(&log);
        for (key, answer) in answers {
            let count = ordered.get(&key).copied().unwrap_or(0);
            let allowed = match answer {
                Proposed::Decided { .. } => count == 1,
                Proposed::Withdrawn => count == 0,
                Proposed::Pending => count <= 1,
            };
            if !allowed {
                return Err(format!("{key} answered {answer:?} and is ordered {count} times"));
            }
        }
        Ok(())
    })
}

/// Guards against lost and doubled entries and against false withdrawals.
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

/// As above, with drawn combinations of faults.
#[test]
fn answers_match_the_order_under_drawn_faults() {
    fn holds(draw: (u8, u8, u8, u8, u8, u8), seed: u8, limit: u16) -> bool {
        let share = |x: u8| f64::from(x) / 512.0;
        let faults = Faults {
            refuse: share(draw.0),
            lose_call: share(draw.1),
            lose_answer: share(draw.2),
            forget: share(draw.3),
            duplicate: share(draw.4),
            duplicate_after: 2 * SECOND,
            corrupt: share(draw.5) / 2.0,
            ..Faults::default()
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

/// A proposer must get an answer within its limit when the log is down, and only a true one: what was never sent is
/// withdrawn, what may have been sent stays pending.
#[test]
fn log_down_answers_within_the_limit() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(Faults { append_down: true, ..Faults::default() });
        let begin = tokio::time::Instant::now();
        let (first, second) = tokio::join!(node.propose(entry("sent"), SECOND), async {
            sleep(100 * MS).await;
            node.propose(entry("queued"), SECOND).await
        });
        assert_eq!((first, second), (Proposed::Pending, Proposed::Withdrawn));
        assert!(begin.elapsed() <= 1200 * MS);
        log.set_faults(Faults::default());
        sleep(20 * SECOND).await;
        let key = node.propose(entry("later"), SECOND).await;
        assert!(matches!(key, Proposed::Decided { .. }));
        assert_eq!(ordered(&log).get("queued"), None);
    });
}

/// Refused appends leave nothing behind, so the withdrawal needs no record in the log.
#[test]
fn refused_appends_are_withdrawn_without_a_record() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        let appends = log.appends();
        log.set_faults(Faults { refuse: 1.0, ..Faults::default() });
        assert_eq!(node.propose(entry("x"), SECOND).await, Proposed::Withdrawn);
        assert_eq!(log.appends(), appends);
    });
}

/// The queue is bounded: a burst while the log is slow must not take a node's memory.
#[test]
fn full_queue_withdraws_at_once() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(Faults { delay: 10 * SECOND, ..Faults::default() });
        let keys: Vec<String> = (0..6000).map(|i| format!("k{i}")).collect();
        let answers = join_all(keys.iter().map(|k| node.propose(entry(k), 600 * SECOND))).await;
        let withdrawn = answers.iter().filter(|a| **a == Proposed::Withdrawn).count() as u64;
        assert_eq!(withdrawn, node.writer_stats().overflowed);
        assert!(withdrawn > 1000, "{withdrawn} withdrawn");
        let decided = answers.iter().filter(|a| matches!(a, Proposed::Decided { .. })).count();
        assert_eq!(decided as u64 + withdrawn, 6000);
    });
}

/// Batches keep to their limits and group waiting entries.
#[test]
fn batches_group_entries_within_limits() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(Faults { delay: 100 * MS, ..Faults::default() });
        let before = log.appends();
        let keys: Vec<String> = (0..1000).map(|i| format!("k{i}")).collect();
        join_all(keys.iter().map(|k| node.propose(entry(k), 60 * SECOND))).await;
        let batches = log.appends() - before;
        assert!((4..=6).contains(&batches), "{batches} batches");
        assert_eq!(ordered(&log).len(), 1000);
        let records = log.dump(&common::region());
        assert!(records.iter().all(|(_, r)| r.len() <= cj_record::MAX_BATCH_BYTES));
    });
}

/// A silent node must keep its incarnation known, and one that could not must join anew instead of proposing into the
/// void.
#[test]
fn dropped_incarnation_joins_again() {
    for (cut_off, joins_again) in [(false, false), (true, true)] {
        run(async {
            let log = MemoryLog::new(5);
            let handle = log.handle();
            let (a, b) =
                (start(&handle, options("a", 1)).await, start(&log, options("b", 2)).await);
            let before = a.node();
            handle.set_faults(Faults { append_down: cut_off, ..Faults::default() });
            for minute in 0..1500 {
                sleep(60 * SECOND).await;
                b.propose(entry(&format!("b{minute}")), SECOND).await;
            }
            handle.set_faults(Faults::default());
            sleep(10 * SECOND).await;
            assert!(matches!(a.propose(entry("a"), 5 * SECOND).await, Proposed::Decided { .. }));
            assert_eq!(a.node() != before, joins_again);
        });
    }
}

/// What is queued when the node stops still reaches the log.
#[test]
fn stop_flushes_the_queue() {
    run(async {
        let log = MemoryLog::new(5);
        let node = start(&log, options("a", 1)).await;
        log.set_faults(Faults { delay: 200 * MS, ..Faults::default() });
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
        assert!(matches!(answers.0, Proposed::Decided { .. }));
        assert!(matches!(answers.1, Proposed::Decided { .. }));
        assert_eq!(node.propose(entry("3"), SECOND).await, Proposed::Withdrawn);
    });
}
