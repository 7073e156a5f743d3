//! Tests of the encoding of entries. They guard against a release that can't read existing records or reads them
//! differently.

use cj_record::*;
use cj_types::*;
use quickcheck::{Gen, QuickCheck};

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = Error>,
{
    text.parse().unwrap()
}

fn batch(entries: Vec<Entry>) -> Batch {
    let writer = NodeIncarnation { node: id("n1"), incarnation: Incarnation(7) };
    Batch { header: BatchHeader { writer, seq: Sequence(1), at: UnixMillis(9) }, entries }
}

/// One entry of every kind, ordered by the number of the kind.
fn every_kind() -> Vec<Entry> {
    let (vm, op, generation) = (id::<VmId>("v"), OpId(3), Generation(4));
    let (job, token, boot) = (id::<JobId>("c/k"), Token(5), BootId(6));
    let outcome = Outcome::Done { status: 200, answer: vec![1, 2] };
    let submit = Submit {
        job: job.clone(),
        service: id("s"),
        class: id("c"),
        team: id("t"),
        pool: id("p"),
        body_hash: [1; 32],
        payload: vec![1],
        idempotent: true,
        task: false,
        deadline: UnixMillis(1),
        demand: Resources::default(),
        run_ms: 1,
        claim: Some((vm.clone(), 5)),
    };
    let facts = VmFacts {
        vm: vm.clone(),
        address: "10.0.0.1:80".into(),
        pool: id("p"),
        rack: id("r"),
        centre: id("d"),
        kind: VmKind::Minion,
        capacity: Resources::default(),
        boot,
    };
    vec![
        Entry::Tick,
        Entry::SettingsCopy { offset: Offset(1), payload: vec![1] },
        Entry::Submit(submit),
        Entry::Claim { job: job.clone(), attempt: 1, target: vm.clone(), lease_ms: 5 },
        Entry::Renew { job: job.clone(), token, lease_ms: 5 },
        Entry::Finish { job: job.clone(), token, outcome: outcome.clone() },
        Entry::Expire { job: job.clone(), token },
        Entry::Resolve { job: job.clone(), token, outcome, evidence: Evidence::TaskList },
        Entry::Cancel { job },
        Entry::Register(facts),
        Entry::Drain { vm: vm.clone(), generation, purpose: Purpose::Repair },
        Entry::Drained { vm: vm.clone(), op },
        Entry::Reboot { vm: vm.clone(), op },
        Entry::Rebooted { vm: vm.clone(), op, boot },
        Entry::Move { vm: vm.clone(), generation, from: id("a"), to: id("b") },
        Entry::Undrain { vm: vm.clone(), op },
        Entry::Health { vm: vm.clone(), generation, healthy: true, boot: Some(boot) },
        Entry::TakeOut { vm: vm.clone(), generation },
        Entry::PutBack { vm: vm.clone(), generation },
        Entry::Remove { vm, generation },
    ]
}

#[test]
fn kinds_keep_their_numbers() {
    for (number, entry) in every_kind().into_iter().enumerate() {
        let bytes = postcard::to_stdvec(&entry).unwrap();
        assert_eq!(usize::from(bytes[0]), number, "{entry:?}");
        assert_eq!(postcard::from_bytes::<Entry>(&bytes).unwrap(), entry);
    }
    // Golden encoding of one entry: kind 11, body of 3 bytes, VM id of 1 byte, operation 3.
    let entry = Entry::Drained { vm: id("v"), op: OpId(3) };
    assert_eq!(postcard::to_stdvec(&entry).unwrap(), [11, 3, 1, b'v', 3]);
}

#[test]
fn later_kinds_and_bodies_are_stepped_over() {
    let later = vec![
        Entry::Unknown { kind: 20, body: vec![] },
        Entry::Unknown { kind: u16::MAX, body: vec![9; 300] },
        Entry::Unknown { kind: 11, body: vec![1, b'v', 3, 0] }, // one field more
        Entry::Unknown { kind: 11, body: vec![1, b'v'] },       // one field less
        Entry::Unknown { kind: 10, body: vec![1, b'v', 4, 3] }, // unknown purpose
    ];
    let entries: Vec<Entry> =
        later.into_iter().zip(every_kind()).flat_map(|(a, b)| [a, b]).collect();
    let batch = batch(entries);
    assert_eq!(Batch::decode(&batch.encode().unwrap()).unwrap(), batch);
}

/// Decoders must return an error for arbitrary bytes, since the log may return corrupt records.
#[test]
fn arbitrary_bytes_never_panic() {
    fn decode(bytes: Vec<u8>, place: usize, value: u8) {
        let _ = Batch::decode(&bytes);
        let _ = postcard::from_bytes::<Entry>(&bytes);
        let _ = SignedSetting::decode(&bytes);
        let mut record = batch(every_kind()).encode().unwrap();
        let (place, cut) = (place % record.len(), bytes.len() % record.len());
        assert!(Batch::decode(&record[..cut]).is_err(), "truncated to {cut}");
        let changed = record[place] != value;
        record[place] = value;
        assert_eq!(Batch::decode(&record).is_err(), changed, "changed at {place}");
        // A body with a valid checksum reaches the decoder of entries.
        let body = record[7..].to_vec();
        let _ = postcard::from_bytes::<Batch>(&body);
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(2000);
    check.quickcheck(decode as fn(Vec<u8>, usize, u8));
}
