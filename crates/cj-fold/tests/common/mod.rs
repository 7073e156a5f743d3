//! A small region for tests: two offices, three pools, one wave.
#![allow(dead_code)] // Each test file uses a part of it.

use std::{collections::BTreeMap, sync::LazyLock};

use cj_fold::{Applied, State, Verdict, Vm};
use cj_record::*;
use cj_types::*;
use compact_str::CompactString;
use ed25519_dalek::SigningKey;

/// 2026-11-02T12:00:00Z.
pub(crate) const NOON: u64 = 1_793_620_800_000;

/// Settings in force in every test region. Pool `proofs` has 4 VMs, `long` 2 and `reserve` 3.
const VALUES: &str = "
class/urgent idempotent=yes must_not_drop=yes task=no deadline=2s share=60% cap=100% urgency=0
class/batch idempotent=no must_not_drop=yes task=yes deadline=8h share=10% cap=50% urgency=3
team/prints quota=50% weight=2
team/recipes quota=50% weight=1
pool/proofs classes=urgent,batch min_available=2 owner=prints borrows=reserve hysteresis=30s target=4
pool/long classes=batch min_available=1 owner=recipes target=2
pool/reserve spare=yes min_available=1 owner=recipes hysteresis=30s target=3
wave/night domain=rack drain_limit=5m reboot_limit=10m pools=proofs forbidden=18:00-19:00 start=2026-11-01T00:00:00Z
";

#[derive(Clone)]
pub(crate) struct TestRegion {
    pub(crate) state: State,
    pub(crate) records: Vec<Vec<u8>>,
    pub(crate) now: u64,
    writers: BTreeMap<&'static str, u64>,
}

pub(crate) fn id<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = Error>,
{
    text.parse().unwrap()
}

pub(crate) fn key(office: &str) -> SigningKey {
    SigningKey::from_bytes(blake3::hash(office.as_bytes()).as_bytes())
}

pub(crate) fn empty() -> State {
    let public = |office: &str| vec![key(office).verifying_key().to_bytes()];
    State::new(["north", "south"].map(|office| (id(office), public(office))).into())
}

pub(crate) fn path(text: &str) -> SettingPath {
    text.parse().unwrap()
}

pub(crate) fn facts(vm: &str, pool: &str, rack: &str, centre: &str) -> Entry {
    let capacity = Resources { cores: Millicores(64_000), ..Resources::default() };
    Entry::Register(VmFacts {
        vm: id(vm),
        address: "10.0.0.1:80".into(),
        pool: id(pool),
        rack: id(rack),
        centre: id(centre),
        kind: VmKind::Worker,
        capacity,
        boot: BootId(1),
    })
}

pub(crate) fn submit(job: &str, class: &str, pool: &str) -> Submit {
    Submit {
        job: id(job),
        service: id("printing"),
        class: id(class),
        team: id("prints"),
        pool: id(pool),
        body_hash: [1; 32],
        payload: vec![7],
        idempotent: class == "urgent",
        task: false,
        deadline: UnixMillis(NOON + 60_000),
        demand: Resources::default(),
        run_ms: 1000,
        claim: None,
    }
}

impl TestRegion {
    /// A region at noon with the settings above and all VMs active.
    pub(crate) fn new() -> TestRegion {
        // Verifying signatures is slow in unoptimised builds, so all tests start from a clone of one region.
        static INITIAL: LazyLock<TestRegion> = LazyLock::new(|| TestRegion::at(NOON));
        INITIAL.clone()
    }

    pub(crate) fn empty() -> TestRegion {
        TestRegion { state: empty(), records: Vec::new(), now: NOON, writers: BTreeMap::new() }
    }

    pub(crate) fn at(now: u64) -> TestRegion {
        let mut region = TestRegion { now, ..TestRegion::empty() };
        for line in VALUES.lines().filter(|line| !line.is_empty()) {
            let mut words = line.split(' ');
            let object = words.next().unwrap();
            for word in words {
                let (key, value) = word.split_once('=').unwrap();
                let verdict = region.publish(&format!("north/{object}/{key}"), Some(value));
                assert_eq!(verdict, None, "{object} {word}");
            }
        }
        for (vm, pool, rack, centre) in [
            ("p1", "proofs", "r1", "d1"),
            ("p2", "proofs", "r1", "d1"),
            ("p3", "proofs", "r2", "d1"),
            ("p4", "proofs", "r3", "d2"),
            ("l1", "long", "r1", "d1"),
            ("l2", "long", "r2", "d1"),
            ("s1", "reserve", "r1", "d1"),
            ("s2", "reserve", "r2", "d1"),
            ("s3", "reserve", "r3", "d2"),
        ] {
            region.accept(facts(vm, pool, rack, centre));
        }
        region
    }

    /// Offset of the next record, which is also the token or operation id that its entries get.
    pub(crate) fn next(&self) -> u64 {
        self.state.next.0
    }

    pub(crate) fn apply(&mut self, record: Vec<u8>) -> Applied {
        let applied = self.state.apply(self.state.next, &record);
        self.records.push(record);
        applied
    }

    pub(crate) fn batch(&mut self, node: &'static str, entries: Vec<Entry>) -> Vec<Verdict> {
        let seq = self.writers.entry(node).or_default();
        *seq += 1;
        let record = batch(node, 1, *seq, self.now, entries);
        match self.apply(record) {
            Applied::Batch { verdicts, .. } => verdicts,
            other => panic!("not folded: {other:?}"),
        }
    }

    /// Proposes one entry as node `n1`; returns the reason if it is rejected.
    pub(crate) fn propose(&mut self, entry: Entry) -> Result<(), CompactString> {
        self.propose_as("n1", entry)
    }

    pub(crate) fn propose_as(
        &mut self,
        node: &'static str,
        entry: Entry,
    ) -> Result<(), CompactString> {
        match self.batch(node, vec![entry]).remove(0) {
            Verdict::Rejected { reason } => Err(reason),
            _ => Ok(()),
        }
    }

    pub(crate) fn accept(&mut self, entry: Entry) {
        let shown = format!("{entry:?}");
        assert_eq!(self.propose(entry), Ok(()), "{shown}");
    }

    /// Advances fold time by `secs` seconds, in steps of at most a minute, the most that one batch can advance it.
    pub(crate) fn advance_time(&mut self, secs: u64) {
        for step in (0..secs).step_by(60) {
            self.now += 1000 * (secs - step).min(60);
            self.accept(Entry::Tick);
        }
    }

    pub(crate) fn setting_record(&self, path_text: &str, value: Option<&str>) -> SettingRecord {
        let path = path(path_text);
        let expected = self.state.settings.get(&path).map_or(Version(0), |s| s.version);
        SettingRecord { path, value: value.map(Into::into), expected, nonce: 1 }
    }

    /// Publishes one setting; returns the reason if it is rejected.
    pub(crate) fn publish(&mut self, path: &str, value: Option<&str>) -> Option<CompactString> {
        let record = self.setting_record(path, value);
        let signer = key(record.path.office.as_str());
        let payload = SignedSetting::sign(&record, &signer).unwrap().encode().unwrap();
        self.copy_setting(payload)
    }

    pub(crate) fn copy_setting(&mut self, payload: Vec<u8>) -> Option<CompactString> {
        let offset = self.state.settings_next;
        self.accept(Entry::SettingsCopy { offset, payload });
        self.state.verdicts.back().unwrap().rejected.clone()
    }

    pub(crate) fn vm(&self, vm: &str) -> &Vm {
        &self.state.vms[&id(vm)]
    }

    pub(crate) fn drain(&self, vm: &str, purpose: Purpose) -> Entry {
        Entry::Drain { vm: id(vm), generation: self.vm(vm).generation, purpose }
    }

    pub(crate) fn health(&self, vm: &str, healthy: bool) -> Entry {
        let generation = self.vm(vm).generation;
        Entry::Health { vm: id(vm), generation, healthy, boot: None }
    }

    pub(crate) fn move_entry(&self, vm: &str, to: &str) -> Entry {
        let Vm { generation, pool, .. } = self.vm(vm).clone();
        Entry::Move { vm: id(vm), generation, from: pool, to: id(to) }
    }
}

pub(crate) fn batch(
    node: &str,
    incarnation: u64,
    seq: u64,
    at: u64,
    entries: Vec<Entry>,
) -> Vec<u8> {
    let writer = NodeIncarnation { node: id(node), incarnation: Incarnation(incarnation) };
    let header = BatchHeader { writer, seq: Sequence(seq), at: UnixMillis(at) };
    Batch { header, entries }.encode().unwrap()
}
