//! Start-up, following, settings copies, ticks, snapshots and the relay, tested with replicas on one in-memory log.

mod common;

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use common::{
    SECOND, START, committed_entries, entry, options, region, run, settings, snapshots, start,
};
use ed25519_dalek::SigningKey;
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use cj_fold::{State, VmPhase, snapshot};
use cj_log::{
    InjectedFaults, LogService, MemoryLog, ProposalOutcome, RecordSource, Replica, ReplicaFault,
    ReplicaOptions, RuntimeClock,
};
use cj_record::{
    Batch, BatchHeader, Entry, Purpose, SettingRecord, SignedSetting, VmFacts, VmKind,
};
use cj_types::{ErrorKind, Incarnation, NodeIncarnation, Offset, Sequence, Version};

const MS: Duration = Duration::from_millis(1);

fn foreign_batch(node: &str, entries: Vec<Entry>) -> Vec<u8> {
    let writer = NodeIncarnation { node: node.parse().unwrap(), incarnation: Incarnation(99) };
    let header = BatchHeader { writer, seq: Sequence(1), at: START };
    Batch { header, entries }.encode().unwrap()
}

fn facts(vm: String) -> VmFacts {
    VmFacts {
        vm: vm.parse().unwrap(),
        address: "192.0.2.1:80".into(),
        pool: "p".parse().unwrap(),
        rack: "r".parse().unwrap(),
        centre: "c".parse().unwrap(),
        kind: VmKind::Worker,
        capacity: Default::default(),
        boot: Default::default(),
    }
}

fn signed(key: &SigningKey, number: u64) -> Vec<u8> {
    let record = SettingRecord {
        path: "north/team/t/weight".parse().unwrap(),
        value: Some("3".into()),
        expected: Version(number),
        nonce: number,
    };
    SignedSetting::sign(&record, key).unwrap().encode().unwrap()
}

fn with_keys(mut options: ReplicaOptions, key: &SigningKey) -> ReplicaOptions {
    options.office_keys =
        BTreeMap::from([("north".parse().unwrap(), vec![key.verifying_key().to_bytes()])]);
    options
}

fn store(log: &MemoryLog, piece: Vec<u8>) {
    log.store(&snapshots(), piece);
}

async fn try_start(log: &MemoryLog, options: ReplicaOptions) -> Result<(), ErrorKind> {
    let clock = RuntimeClock::new(START);
    Replica::start(log.clone(), clock, options).await.map(drop).map_err(|e| e.kind)
}

/// Guards against decided entries that are lost when all entry nodes are replaced at once: the new node starts from a
/// snapshot, because the first records are no longer retained.
#[test]
fn all_nodes_replaced_at_once_lose_nothing() {
    run(async {
        let log = MemoryLog::new(1);
        let mut nodes = Vec::new();
        for n in 1..=3 {
            let mut options = options(&format!("n{n}"), n);
            options.snapshot_records = 20;
            nodes.push(start(&log, options).await);
        }
        let mut keys = Vec::new();
        for round in 0..40 {
            for (n, node) in nodes.iter().enumerate() {
                let key = format!("{round}-{n}");
                let answer = node.propose(entry(&key), SECOND).await;
                assert!(matches!(answer, ProposalOutcome::Decided { .. }));
                keys.push(key);
            }
            sleep(300 * MS).await;
        }
        let before = (nodes[0].state().next, nodes[0].state().hash);
        assert!(!log.records(&snapshots()).is_empty(), "a snapshot was written");
        log.trim(&region(), Offset(60));
        // The tasks of the old nodes still run, but no test code uses them any more.
        nodes.clear();
        let fresh = start(&log, options("n9", 9)).await;
        let (joined, decided) = (fresh.state().counters.batches, fresh.state().counters.rejected);
        assert_eq!((joined, decided), (before.0.0 + 1, keys.len() as u64));
        let answer = fresh.propose(entry("new"), SECOND).await;
        assert!(matches!(answer, ProposalOutcome::Decided { .. }));
        fresh.state().check_invariants().unwrap();
    });
}

/// Guards against start-up from an incomplete or corrupt snapshot, which a writer that stopped half-way leaves behind.
/// The snapshot before it has to be loaded instead.
#[test]
fn torn_and_damaged_snapshots_are_skipped() {
    let big = |name: &str| {
        let entries = (0..300).map(|i| Entry::Register(facts(format!("{name}-{i}"))));
        foreign_batch(name, entries.collect())
    };
    type Damage = fn(&mut Vec<Vec<u8>>);
    let cases: [(&str, Damage, u64); 4] = [
        ("whole", |_| {}, 3),
        ("torn", |pieces| drop(pieces.pop()), 2),
        ("damaged", |pieces| pieces[0][2000] ^= 1, 2),
        ("foreign", |pieces| pieces.iter_mut().for_each(|p| p.fill(7)), 2),
    ];
    for (name, damage, covered) in cases {
        run(async {
            let log = MemoryLog::new(1);
            let mut state = State::new(BTreeMap::new());
            let mut taken = Vec::new();
            for writer in ["w1", "w2", "w3"] {
                let record = big(writer);
                let offset = log.store(&region(), record.clone());
                state.apply(offset, &record);
                taken.push(snapshot::encode(&state));
            }
            taken[1].drain(..).for_each(|piece| store(&log, piece));
            assert!(taken[2].len() > 1, "the snapshot has several pieces");
            damage(&mut taken[2]);
            taken[2].drain(..).for_each(|piece| store(&log, piece));
            log.trim(&region(), Offset(2));
            let node = start(&log, options("a", 1)).await;
            assert_eq!(node.state().vms.len(), 900, "{name}");
            // Without the third record, only the complete third snapshot reaches the oldest retained record.
            log.trim(&region(), Offset(3));
            let started = try_start(&log, options("b", 2)).await;
            assert_eq!(started.is_ok(), covered == 3, "{name}: {started:?}");
        });
    }
}

/// A gap between the newest snapshot and the oldest retained record must be reported instead of skipped.
#[test]
fn gap_at_start_is_an_error() {
    run(async {
        let log = MemoryLog::new(1);
        let node = start(&log, options("a", 1)).await;
        for i in 0..10 {
            node.propose(entry(&i.to_string()), SECOND).await;
        }
        log.trim(&region(), Offset(5));
        let error = try_start(&log, options("b", 2)).await;
        assert!(matches!(error, Err(ErrorKind::Gap { wanted: 0, oldest: 5, .. })), "{error:?}");
    });
}

/// A replica that couldn't read the log until retention had removed records that it needs must stop proposing and
/// report the gap.
#[test]
fn gap_while_running_stops_proposals() {
    run(async {
        let log = MemoryLog::new(1);
        let handle = log.new_handle();
        let (a, b) = (start(&handle, options("a", 1)).await, start(&log, options("b", 2)).await);
        handle.set_faults(InjectedFaults { read_down: true, ..InjectedFaults::default() });
        sleep(15 * SECOND).await;
        for i in 0..10 {
            b.propose(entry(&i.to_string()), SECOND).await;
        }
        assert!(!a.lag().reachable);
        log.trim(&region(), Offset(8));
        handle.set_faults(InjectedFaults::default());
        sleep(5 * SECOND).await;
        assert!(matches!(a.fault(), Some(ReplicaFault::Gap { .. })), "{:?}", a.fault());
        assert_eq!(a.propose(entry("x"), SECOND).await, ProposalOutcome::Withdrawn);
    });
}

/// Guards against a log that lost records which a node has already folded: it must not be taken for an idle log, and no
/// proposal may be decided on it. Once other records have the lost offsets, the state hashes show the difference.
#[test]
fn forgotten_records_are_noticed() {
    run(async {
        let log = MemoryLog::new(1);
        let node = start(&log, options("a", 1)).await;
        for i in 0..10 {
            node.propose(entry(&i.to_string()), SECOND).await;
        }
        sleep(11 * SECOND).await;
        log.drop_tail(&region(), Offset(5));
        sleep(11 * SECOND).await;
        assert!(!node.lag().reachable);
        assert_eq!(node.propose(entry("x"), SECOND).await, ProposalOutcome::Pending);
        let fresh = start(&log, options("b", 2)).await;
        for i in 0..10 {
            fresh.propose(entry(&format!("b{i}")), SECOND).await;
        }
        sleep(11 * SECOND).await;
        let peers = [&fresh, &fresh].map(|n| (n.state().next, n.state().hash));
        node.compare_hashes(peers);
        assert!(matches!(node.fault(), Some(ReplicaFault::Diverged(_))), "{:?}", node.fault());
    });
}

/// When the log is down at start-up, the start must fail rather than return a node without state.
#[test]
fn start_fails_when_the_log_is_down() {
    run(async {
        let log = MemoryLog::new(1);
        log.set_faults(InjectedFaults {
            read_down: true,
            append_down: true,
            ..InjectedFaults::default()
        });
        let error = try_start(&log, options("a", 1)).await;
        assert!(matches!(error, Err(ErrorKind::Failed(_))), "{error:?}");
    });
}

/// Records that are corrupt in the log itself must be skipped by all nodes; records corrupted in transit to one node
/// must not make its state differ.
#[test]
fn corrupt_records_are_counted_alike() {
    run(async {
        let log = MemoryLog::new(3);
        log.store(&region(), b"not a record".to_vec());
        let damaged = log.new_handle();
        damaged.set_faults(InjectedFaults { corrupt: 0.3, ..InjectedFaults::default() });
        let a = start(&log, options("a", 1)).await;
        let b = start(&damaged, options("b", 2)).await;
        for i in 0..50 {
            a.propose(entry(&format!("a{i}")), 5 * SECOND).await;
            log.store(&region(), vec![i; 9]);
        }
        sleep(30 * SECOND).await;
        assert_eq!(a.state().counters.corrupt, 51);
        assert_eq!(a.state().hash, b.state().hash);
    });
}

/// A node that reads an entry of a later software version must not decide on a state that lacks its effect.
#[test]
fn unknown_entry_stops_proposals() {
    run(async {
        let log = MemoryLog::new(1);
        let node = start(&log, options("a", 1)).await;
        log.store(
            &region(),
            foreign_batch("new", vec![Entry::Unknown { kind: 900, body: vec![] }]),
        );
        sleep(SECOND).await;
        assert_eq!(node.fault(), Some(ReplicaFault::Behind));
        assert_eq!(node.propose(entry("x"), SECOND).await, ProposalOutcome::Withdrawn);
    });
}

/// A replica whose state differs from that of most nodes must stop proposing, and the others must continue.
#[test]
fn differing_hash_stops_the_minority() {
    let cases: [(&str, &[bool], bool); 6] = [
        ("alone", &[], false),
        ("one peer agrees", &[true], false),
        ("one peer differs", &[false], true),
        ("one of two differs", &[true, false], false),
        ("two of three differ", &[true, false, false], true),
        ("all differ", &[false, false], true),
    ];
    for (name, agree, stops) in cases {
        run(async {
            let log = MemoryLog::new(1);
            let node = start(&log, options("a", 1)).await;
            node.propose(entry("x"), SECOND).await;
            let (next, hash) = (node.state().next, node.state().hash);
            let far = (Offset(next.0 + 5), [1; 32]);
            let peers = agree.iter().map(|a| (next, if *a { hash } else { [0; 32] }));
            node.compare_hashes(peers.chain([far]));
            assert_eq!(node.fault().is_some(), stops, "{name}");
        });
    }
}

/// Settings must be copied into the region stream by any node, and a record corrupted in transit must not replace a
/// valid one.
#[test]
fn settings_are_copied_once_and_in_order() {
    let cases = [
        ("owner present", true, 0.0),
        ("no owner", false, 0.0),
        ("damaged reads", true, 0.5),
        ("damaged reads, no owner", false, 0.5),
    ];
    for (name, has_owner, corrupt) in cases {
        run(async {
            let key = SigningKey::from_bytes(&[7; 32]);
            let log = MemoryLog::new(11);
            let mut nodes = Vec::new();
            for n in 1..=3 {
                let mut options = with_keys(options(&format!("n{n}"), n), &key);
                options.is_owner = Rc::new(move |_| has_owner && n == 1);
                nodes.push(start(&log, options).await);
            }
            log.set_faults(InjectedFaults { corrupt, ..InjectedFaults::default() });
            for number in 0..20 {
                log.store(&settings(), signed(&key, number));
                sleep(200 * MS).await;
            }
            log.store(&settings(), b"garbage".to_vec());
            log.store(&settings(), vec![1; 60_000]);
            sleep(20 * SECOND).await;
            let state = nodes[2].state();
            assert_eq!(state.settings_next, Offset(22), "{name}");
            let path = "north/team/t/weight".parse().unwrap();
            assert_eq!(state.settings[&path].version, Version(20), "{name}");
            let rejected: Vec<_> =
                state.verdicts.iter().filter(|v| v.rejected.is_some()).map(|v| v.offset).collect();
            assert_eq!(rejected, [Offset(20), Offset(21)], "{name}");
        });
    }
}

/// Ticks must be appended only while something depends on fold time, at most once a second in the region.
#[test]
fn ticks_only_when_something_waits() {
    let drain = VmPhase::Draining {
        op: Default::default(),
        purpose: Purpose::Repair,
        since: Default::default(),
    };
    let cases = [
        ("nothing waits", VmPhase::Active, true, 0..=0),
        ("a drain waits", drain.clone(), true, 50..=60),
        ("a drain waits, no owner", drain, false, 10..=60),
    ];
    for (name, phase, has_owner, expected) in cases {
        run(async {
            let log = MemoryLog::new(1);
            let mut state = State::new(BTreeMap::new());
            state.apply(Offset(0), &foreign_batch("w", vec![Entry::Register(facts("v".into()))]));
            state.vms.values_mut().for_each(|vm| vm.phase = phase.clone());
            log.store(&region(), foreign_batch("w", vec![]));
            snapshot::encode(&state).drain(..).for_each(|piece| store(&log, piece));
            for n in 1..=3 {
                let mut options = options(&format!("n{n}"), n);
                options.is_owner = Rc::new(move |_| has_owner && n == 1);
                start(&log, options).await;
            }
            let before = log.append_count();
            sleep(60 * SECOND).await;
            let ticks = log.append_count() - before;
            assert!(expected.contains(&ticks), "{name}: {ticks} ticks in 60 s");
        });
    }
}

/// Snapshots must be written well before retention removes records, by one node per interval, and a new node must be
/// able to start from them.
#[test]
fn snapshots_keep_ahead_of_retention() {
    for has_owner in [true, false] {
        run(async {
            let log = MemoryLog::new(1);
            log.set_retention(200);
            let mut nodes = Vec::new();
            for n in 1..=3 {
                let mut options = options(&format!("n{n}"), n);
                options.snapshot_records = 50;
                options.is_owner = Rc::new(move |_| has_owner && n == 1);
                nodes.push(start(&log, options).await);
            }
            for i in 0..1000 {
                nodes[i % 3].propose(entry(&i.to_string()), SECOND).await;
                sleep(100 * MS).await;
            }
            let written = log.records(&snapshots()).len();
            assert!((1..=25).contains(&written), "{written} pieces");
            let fresh = start(&log, options("n9", 9)).await;
            assert_eq!(fresh.state().counters.rejected, 1000);
        });
    }
}

/// A node that can't reach the log must stay up to date through a peer, and agree with the log afterwards.
#[test]
fn cut_off_node_follows_a_peer() {
    run(async {
        let log = MemoryLog::new(1);
        let handle = log.new_handle();
        let peer = start(&log, options("p", 1)).await;
        let mut options = options("a", 2);
        options.peer_source = Some(peer.clone());
        let node = start(&handle, options).await;
        handle.set_faults(InjectedFaults {
            read_down: true,
            append_down: true,
            ..InjectedFaults::default()
        });
        for i in 0..20 {
            peer.propose(entry(&i.to_string()), SECOND).await;
            sleep(SECOND).await;
            assert_eq!(node.state().hash, peer.state().hash, "within a second");
        }
        assert!(node.is_caught_up());
        handle.set_faults(InjectedFaults::default());
        peer.propose(entry("after"), SECOND).await;
        let decided = timeout(30 * SECOND, node.propose(entry("own"), 20 * SECOND)).await;
        assert!(matches!(decided, Ok(ProposalOutcome::Decided { .. })), "{decided:?}");
        assert_eq!((node.fault(), node.state().hash), (None, peer.state().hash));
    });
}

type Change = fn(&mut cj_log::RelayPage);

struct AlteringSource(Rc<dyn RecordSource>, Change);

impl RecordSource for AlteringSource {
    fn records<'a>(
        &'a self,
        stream: &'a cj_types::StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> futures::future::LocalBoxFuture<'a, Option<cj_log::RelayPage>> {
        Box::pin(async move {
            let mut page = self.0.records(stream, from, max_bytes).await?;
            (self.1)(&mut page);
            Some(page)
        })
    }

    fn applied_offset(&self) -> Offset {
        self.0.applied_offset()
    }
}

/// Pages from a peer that don't continue this node's state at its next offset must not be applied.
#[test]
fn relayed_pages_out_of_sequence_are_not_applied() {
    let cases: [(&str, Change); 3] = [
        ("another history", |page| page.before = [9; 32]),
        ("later offsets", |page| page.records.iter_mut().for_each(|r| r.0 = r.0.next())),
        ("earlier offsets", |page| page.records.iter_mut().for_each(|r| r.0 = Offset(r.0.0 - 1))),
    ];
    for (name, change) in cases {
        run(async {
            let log = MemoryLog::new(1);
            let handle = log.new_handle();
            let peer = start(&log, options("p", 1)).await;
            let mut options = options("a", 2);
            options.peer_source = Some(Rc::new(AlteringSource(peer.clone(), change)));
            let node = start(&handle, options).await;
            handle.set_faults(InjectedFaults { read_down: true, ..InjectedFaults::default() });
            sleep(11 * SECOND).await;
            let before = node.state().next;
            peer.propose(entry("x"), SECOND).await;
            sleep(5 * SECOND).await;
            assert_eq!(node.state().next, before, "{name}");
        });
    }
}

/// A slow log must delay proposals without losing them.
#[test]
fn slow_log_decides_everything() {
    run(async {
        let log = MemoryLog::new(1);
        let nodes = [start(&log, options("a", 1)).await, start(&log, options("b", 2)).await];
        log.set_faults(InjectedFaults { delay: 2 * SECOND, ..InjectedFaults::default() });
        let keys: Vec<String> = (0..100).map(|i| i.to_string()).collect();
        let proposals = keys.iter().enumerate();
        let answers =
            join_all(proposals.map(|(i, k)| nodes[i % 2].propose(entry(k), 60 * SECOND))).await;
        assert!(answers.iter().all(|a| matches!(a, ProposalOutcome::Decided { .. })));
        assert!(committed_entries(&log).values().all(|count| *count == 1));
        let page = log.read(&region(), Offset(0), 1, Duration::ZERO).await.unwrap();
        assert_eq!(page.records.len(), 1, "at least one record however few bytes are asked for");
    });
}
