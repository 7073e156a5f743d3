//! Random histories of several proposers with duplicates, lost and late batches, withdrawals, restarts and undecodable
//! records. Guards against a fold that differs between nodes, or that breaks an invariant under an unusual
//! interleaving.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cj_fold::{Applied, JobPhase, State, Verdict, VmPhase, snapshot};
use cj_record::*;
use cj_types::*;
use common::*;
use quickcheck::{Gen, QuickCheck};
use rand::{
    Rng, SeedableRng,
    seq::{IndexedMutRandom, IndexedRandom, SliceRandom},
};
use rand_pcg::Pcg64;

const RECORDS: usize = 400;
const NODES: [&str; 3] = ["a", "b", "c"];
const VMS: [&str; 9] = ["p1", "p2", "p3", "p4", "l1", "l2", "s1", "s2", "s3"];
const POOLS: [&str; 3] = ["proofs", "long", "reserve"];

struct Proposer {
    node: &'static str,
    incarnation: u64,
    seq: u64,
}

/// Generates the records of one history.
struct HistoryGenerator {
    rng: Pcg64,
    proposers: Vec<Proposer>,
    /// Batches sent so far. The log may deliver any of them later, for the first time or again.
    sent: Vec<Vec<u8>>,
    now: u64,
}

impl HistoryGenerator {
    fn new(seed: u64) -> HistoryGenerator {
        let proposers = NODES.map(|node| Proposer { node, incarnation: 1, seq: 0 });
        let rng = Pcg64::seed_from_u64(seed);
        HistoryGenerator { rng, proposers: proposers.into(), sent: Vec::new(), now: NOON }
    }

    fn next(&mut self, state: &State) -> Vec<u8> {
        self.now += self.rng.random_range(0..10_000);
        match self.rng.random_range(0..100) {
            0..75 => self.send(state),
            75..85 if !self.sent.is_empty() => self.sent.choose(&mut self.rng).unwrap().clone(),
            85..92 => {
                // The batch is lost for now; only a late delivery can append it to the log.
                let lost = self.send(state);
                self.sent.push(lost);
                self.withdraw()
            }
            92..96 => {
                let proposer = self.proposers.choose_mut(&mut self.rng).unwrap();
                (proposer.incarnation, proposer.seq) = (proposer.incarnation + 1, 0);
                self.withdraw()
            }
            _ => (0..self.rng.random_range(0..60)).map(|_| self.rng.random()).collect(),
        }
    }

    fn withdraw(&mut self) -> Vec<u8> {
        self.make_batch(Vec::new())
    }

    fn send(&mut self, state: &State) -> Vec<u8> {
        let count = self.rng.random_range(1..4);
        let entries = (0..count).map(|_| self.entry(state)).collect();
        self.make_batch(entries)
    }

    fn make_batch(&mut self, entries: Vec<Entry>) -> Vec<u8> {
        // One batch in a hundred has a random time.
        let at = if self.rng.random_ratio(1, 100) { self.rng.random() } else { self.now };
        let proposer = self.proposers.choose_mut(&mut self.rng).unwrap();
        proposer.seq += 1;
        let record = batch(proposer.node, proposer.incarnation, proposer.seq, at, entries);
        self.sent.push(record.clone());
        record
    }

    /// Generates an entry that is plausible for the state, so that many are accepted.
    fn entry(&mut self, state: &State) -> Entry {
        let rng = &mut self.rng;
        let vm: VmId = id(VMS.choose(rng).unwrap());
        let current = &state.vms[&vm];
        let (generation, op) = (current.generation, current.phase.op().unwrap_or(OpId(1)));
        let pool: PoolId = id(POOLS.choose(rng).unwrap());
        let job: JobId = id(&format!("cook/{}", rng.random_range(0..20)));
        let (token, attempt) = match state.jobs.get(&job) {
            Some(j) => match &j.phase {
                JobPhase::Claimed(c) | JobPhase::OutcomeUnknown { claim: c, .. } => (c.token, 0),
                _ => (Token(1), j.attempts + 1),
            },
            None => (Token(1), 1),
        };
        let reason = "random".into();
        let outcome = match rng.random_range(0..4) {
            0 => Outcome::Done { status: 200, answer: vec![1] },
            1 => Outcome::NotRun { reason },
            2 => Outcome::Failed { reason },
            _ => Outcome::Unknown { reason },
        };
        match rng.random_range(0..20) {
            0 => Entry::Tick,
            19 => self.setting(state),
            1 | 2 => {
                let class = ["urgent", "batch"].choose(rng).unwrap();
                let claim = rng.random_bool(0.5).then_some((vm, 20_000));
                Entry::Submit(Submit { claim, ..submit(&job.to_string(), class, "proofs") })
            }
            3 | 4 => Entry::Claim { job, attempt, target: vm, lease_ms: 20_000 },
            5 => Entry::Renew { job, token, lease_ms: 20_000 },
            6 | 7 => Entry::Finish { job, token, outcome },
            8 => Entry::Expire { job, token },
            9 => Entry::Resolve { job, token, outcome, evidence: Evidence::TaskList },
            10 => Entry::Cancel { job },
            11 => {
                let purposes = [Purpose::Wave(id("night")), Purpose::Move(pool), Purpose::Repair];
                Entry::Drain { vm, generation, purpose: purposes.choose(rng).unwrap().clone() }
            }
            12 => Entry::Drained { vm, op },
            13 => Entry::Reboot { vm, op },
            14 => Entry::Rebooted { vm, op, boot: BootId(rng.random_range(1..9)) },
            15 => Entry::Move { vm, generation, from: current.pool.clone(), to: pool },
            16 => Entry::Undrain { vm, op },
            17 => Entry::Health { vm, generation, healthy: rng.random_bool(0.7), boot: None },
            _ => Entry::TakeOut { vm, generation },
        }
    }
}

impl HistoryGenerator {
    /// Generates a settings record, which in some cases is stale, signed by another office, invalid or corrupt.
    fn setting(&mut self, state: &State) -> Entry {
        const VALUES: [(&str, Option<&str>); 10] = [
            ("north/pool/proofs/min_available", Some("1")),
            ("north/pool/proofs/min_available", Some("3")),
            ("north/pool/proofs/min_available", Some("9")),
            ("north/pool/proofs/owner", Some("recipes")),
            ("north/pool/long/target", None),
            ("north/pool/reserve/hysteresis", Some("0s")),
            ("north/wave/night/start", None),
            ("north/wave/night/start", Some("2026-11-01T00:00:00Z")),
            ("north/class/batch/share", Some("20%")),
            ("south/pool/proofs/target", Some("1")),
        ];
        let rng = &mut self.rng;
        let (text, value) = *VALUES.choose(rng).unwrap();
        let path = path(text);
        let version = state.settings.get(&path).map_or(0, |s| s.version.0);
        let expected = Version(version + u64::from(rng.random_ratio(1, 10)));
        let signer = if rng.random_ratio(1, 10) { "south" } else { path.office.as_str() };
        let signer = key(signer);
        let record = SettingRecord { path, value: value.map(Into::into), expected, nonce: 0 };
        let mut payload = SignedSetting::sign(&record, &signer).unwrap().encode().unwrap();
        if rng.random_ratio(1, 10) {
            let position = rng.random_range(0..payload.len());
            payload[position] ^= 1;
        }
        let ahead = u64::from(rng.random_ratio(1, 10));
        Entry::SettingsCopy { offset: Offset(state.settings_next.0 + ahead), payload }
    }
}

/// Checks the guarantees of the design independently of the fold's own checks: batches count once and in sequence,
/// non-idempotent jobs run at most once, budgets hold and accepted jobs are kept.
#[derive(Default)]
struct Oracle {
    /// Last folded batch of each writer. Earlier ones that arrive after it are withdrawn.
    folded: BTreeMap<NodeIncarnation, Sequence>,
    /// Non-idempotent jobs with an attempt that may have had effect.
    started: BTreeSet<JobId>,
    accepted: BTreeMap<JobId, UnixMillis>,
}

impl Oracle {
    fn observe(&mut self, before: &State, state: &State, record: &[u8], applied: &Applied) {
        let Applied::Batch { writer, seq, verdicts } = applied else {
            assert_eq!(before.jobs, state.jobs);
            assert_eq!(before.vms, state.vms);
            return;
        };
        let last = self.folded.insert(writer.clone(), *seq);
        assert!(last.is_none_or(|last| last < *seq), "{writer}: {seq} after {last:?}");
        let entries = Batch::decode(record).unwrap().entries;
        let mut failed = false;
        for (entry, verdict) in entries.iter().zip(verdicts) {
            if matches!(verdict, Verdict::Accepted { .. }) {
                failed |= matches!(entry, Entry::Health { healthy: false, .. });
                self.accept(entry, state);
            }
        }
        for pool in POOLS.map(id::<PoolId>) {
            let (was, is) = (before.active_count(&pool), state.active_count(&pool));
            let min = state.fleet.pools.get(&pool).map_or(0, |p| p.min_available);
            assert!(is >= min || is >= was || failed, "budget of {pool}: {was} to {is}");
        }
        for job in self.accepted.keys() {
            assert!(state.jobs.contains_key(job), "{job} was lost");
        }
    }

    fn accept(&mut self, entry: &Entry, state: &State) {
        match entry {
            Entry::Submit(submit) => {
                self.accepted.insert(submit.job.clone(), state.now);
                if submit.claim.is_some() {
                    self.start(&submit.job, submit.idempotent);
                }
            }
            Entry::Claim { job, .. } => self.start(job, state.jobs[job].idempotent),
            Entry::Finish { job, outcome, .. } | Entry::Resolve { job, outcome, .. } => {
                if matches!(outcome, Outcome::NotRun { .. }) {
                    self.started.remove(job);
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, job: &JobId, idempotent: bool) {
        assert!(idempotent || self.started.insert(job.clone()), "{job} may run twice");
    }
}

fn replay(mut state: State, records: &[Vec<u8>]) -> State {
    for record in records {
        state.apply(state.next, record);
    }
    state
}

/// Restores a snapshot from its pieces, shuffled with pieces of an older incomplete snapshot and a corrupt piece.
fn restore(rng: &mut Pcg64, older: &State, state: &State) -> State {
    let mut incomplete = snapshot::encode(older);
    incomplete.pop();
    let mut pieces = snapshot::encode(state);
    let mut corrupt = pieces[0].clone();
    let position = rng.random_range(0..corrupt.len());
    corrupt[position] ^= 1 << rng.random_range(0..8);
    pieces.extend(incomplete);
    pieces.push(corrupt);
    pieces.shuffle(rng);
    let mut assembler = snapshot::Assembler::default();
    pieces.iter().filter_map(|piece| assembler.push(piece)).last().expect("complete snapshot")
}

fn check_history(seed: u64) {
    let mut region = TestRegion::new();
    let start = region.state.clone();
    region.records.clear();
    let mut history = HistoryGenerator::new(seed);
    let mut oracle = Oracle::default();
    let mut snapshots = Vec::new();
    let (mut proposed, mut accepted) = (0, 0);
    for number in 0..RECORDS {
        let record = history.next(&region.state);
        let before = region.state.clone();
        let applied = region.apply(record.clone());
        oracle.observe(&before, &region.state, &record, &applied);
        if let Applied::Batch { verdicts, .. } = &applied {
            proposed += verdicts.len();
            accepted += verdicts.iter().filter(|v| matches!(v, Verdict::Accepted { .. })).count();
        }
        if number % 20 == 0 {
            region.state.check_invariants().unwrap();
            snapshots.push((number + 1, region.state.clone()));
        }
    }
    assert!(
        accepted * 10 > proposed,
        "{accepted} of {proposed} accepted: too few for a useful history"
    );
    region.state.check_invariants().unwrap();
    assert_eq!(replay(start.clone(), &region.records), region.state);
    for _ in 0..3 {
        let (folded, state) = snapshots.choose(&mut history.rng).unwrap();
        let restored = restore(&mut history.rng, &start, state);
        assert_eq!(restored, *state);
        let end = replay(restored, &region.records[*folded..]);
        assert_eq!((end.hash, &end), (region.state.hash, &region.state));
        end.check_invariants().unwrap();
    }
}

#[test]
fn random_histories_fold_identically_and_keep_the_invariants() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 3))
        .tests(40)
        .quickcheck(check_history as fn(u64));
}

/// The random histories must reach every phase of jobs and VMs; otherwise the other tests would not cover them.
#[test]
fn random_histories_reach_every_phase() {
    let mut reached = BTreeSet::new();
    for seed in 0..20 {
        let mut region = TestRegion::new();
        let mut history = HistoryGenerator::new(seed);
        for _ in 0..RECORDS {
            let record = history.next(&region.state);
            region.apply(record);
            reached.extend(region.state.vms.values().map(|vm| match vm.phase {
                VmPhase::Active => "active",
                VmPhase::Draining { .. } => "draining",
                VmPhase::Drained { .. } => "drained",
                VmPhase::Rebooting { .. } => "rebooting",
                VmPhase::Failed { .. } => "failed",
                VmPhase::OutOfRotation { .. } => "out of rotation",
            }));
            reached.extend(region.state.jobs.values().map(|job| match job.phase {
                JobPhase::Queued => "queued",
                JobPhase::Claimed(_) => "claimed",
                JobPhase::Done { .. } => "done",
                JobPhase::Cancelled { .. } => "cancelled",
                JobPhase::Parked { .. } => "parked",
                JobPhase::OutcomeUnknown { .. } => "unknown",
            }));
            if region.state.vms.values().any(|vm| vm.home.is_some()) {
                reached.insert("lent");
            }
        }
    }
    assert_eq!(reached.len(), 13, "{reached:?}");
}

/// The snapshot stream may contain arbitrary bytes.
#[test]
fn arbitrary_pieces_never_panic_or_complete() {
    fn push(bytes: Vec<u8>, position: usize, value: u8) {
        let mut assembler = snapshot::Assembler::default();
        assert!(assembler.push(&bytes).is_none());
        let mut piece = snapshot::encode(&empty()).remove(0);
        let position = position % piece.len();
        let changed = piece[position] != value;
        piece[position] = value;
        assert_eq!(assembler.push(&piece).is_none(), changed, "changed at {position}");
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 5)).tests(1000);
    check.quickcheck(push as fn(Vec<u8>, usize, u8));
}

#[test]
fn only_the_newest_complete_snapshot_is_returned() {
    let mut region = TestRegion::new();
    let older = snapshot::encode(&region.state);
    region.advance_time(60);
    let newer = snapshot::encode(&region.state);
    assert!(newer.iter().all(|piece| piece.len() <= snapshot::MAX_PIECE_BYTES));
    let mut assembler = snapshot::Assembler::default();
    let states: Vec<State> = newer.iter().chain(&older).filter_map(|p| assembler.push(p)).collect();
    assert_eq!(states, [region.state]);
}

/// A piece with a corrupt count or hash in its header must not make the assembler drop the valid pieces that follow.
#[test]
fn a_corrupt_piece_does_not_hide_valid_ones() {
    let region = TestRegion::new();
    let pieces = snapshot::encode(&region.state);
    for position in 0..60 {
        let mut corrupt = pieces[0].clone();
        corrupt[position] ^= 1;
        let mut assembler = snapshot::Assembler::default();
        assert_eq!(assembler.push(&corrupt), None);
        let state = pieces.iter().filter_map(|piece| assembler.push(piece)).last();
        assert_eq!(state.as_ref(), Some(&region.state), "changed at {position}");
    }
}
