//! A small region: one pool of workers and two classes of tasks.

use cj_fold::{Applied, Job, State, Verdict};
use cj_place::{TaskUsage, UsageReport};
use cj_record::*;
use cj_types::*;
use ed25519_dalek::SigningKey;

const SETTINGS: &str = "
class/urgent idempotent=yes must_not_drop=yes task=yes deadline=60s share=50% cap=100% urgency=0
class/batch idempotent=no must_not_drop=yes task=yes deadline=8h share=10% cap=100% urgency=3
team/prints quota=100% weight=1
pool/cards classes=urgent,batch min_available=1 owner=prints target=4
";

pub(crate) fn id<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = Error>,
{
    text.parse().unwrap()
}

pub(crate) fn size(cores: u32, gib: u32, accelerators: u32) -> Resources {
    Resources {
        cores: Millicores(cores * 1000),
        memory: Mebibytes(gib * 1024),
        accelerators: Accelerators(accelerators),
    }
}

pub(crate) struct TestRegion {
    pub(crate) state: State,
    pub(crate) now: UnixMillis,
    seq: u64,
}

impl TestRegion {
    /// Workers `w0`, `w1`, ... of 16 cores and 64 GiB, two to a rack.
    pub(crate) fn new(workers: usize) -> TestRegion {
        let key = SigningKey::from_bytes(&[7; 32]);
        let keys = [(id("north"), vec![key.verifying_key().to_bytes()])].into();
        let now = UnixMillis(1_793_620_800_000);
        let mut region = TestRegion { state: State::new(keys), now, seq: 0 };
        for line in SETTINGS.lines().filter(|l| !l.is_empty()) {
            let (object, words) = line.split_once(' ').unwrap();
            for (name, value) in words.split(' ').map(|w| w.split_once('=').unwrap()) {
                let path = id(&format!("north/{object}/{name}"));
                let record = SettingRecord {
                    path,
                    value: Some(value.into()),
                    expected: Version(0),
                    nonce: 1,
                };
                let payload = SignedSetting::sign(&record, &key).unwrap().encode().unwrap();
                let offset = region.state.settings_next;
                region.put(Entry::SettingsCopy { offset, payload });
            }
        }
        for index in 0..workers {
            region.add_worker(index, size(16, 64, 0));
        }
        region
    }

    pub(crate) fn add_worker(&mut self, index: usize, capacity: Resources) {
        self.put(Entry::Register(VmFacts {
            vm: id(&format!("w{index}")),
            address: "10.0.0.1:80".into(),
            pool: id("cards"),
            rack: id(&format!("r{}", index / 2)),
            centre: id("d1"),
            kind: VmKind::Worker,
            capacity,
            boot: BootId(1),
        }));
    }

    pub(crate) fn put(&mut self, entry: Entry) {
        self.seq += 1;
        let writer = NodeIncarnation { node: id("n1"), incarnation: Incarnation(1) };
        let header = BatchHeader { writer, seq: Sequence(self.seq), at: self.now };
        let record = Batch { header, entries: vec![entry.clone()] }.encode().unwrap();
        let Applied::Batch { verdicts, .. } = self.state.apply(self.state.next, &record) else {
            panic!("not folded");
        };
        assert!(!matches!(verdicts[0], Verdict::Rejected { .. }), "{entry:?}: {verdicts:?}");
    }

    /// Advances the time in ticks of up to 30 s, longer than the interval between two scans of the placer.
    pub(crate) fn advance(&mut self, secs: u64) {
        for _ in 0..secs.div_ceil(30) {
            self.now = UnixMillis(self.now.0 + secs.min(30) * 1000);
            self.put(Entry::Tick);
        }
    }

    pub(crate) fn submit(&mut self, job: &str, demand: Resources) {
        self.submit_as(job, "urgent", "printing", demand);
    }

    pub(crate) fn submit_as(&mut self, job: &str, class: &str, service: &str, demand: Resources) {
        self.put(Entry::Submit(Submit {
            job: id(job),
            service: id(service),
            class: id(class),
            team: id("prints"),
            pool: id("cards"),
            body_hash: [job.len() as u8; 32],
            payload: vec![1],
            idempotent: class == "urgent",
            task: true,
            deadline: UnixMillis(self.now.0 + 3_600_000),
            demand,
            run_ms: 60_000,
            claim: None,
        }));
    }

    pub(crate) fn job(&self, job: &str) -> &Job {
        &self.state.jobs[&id::<JobId>(job)]
    }

    /// Claims a job for a worker and returns the token.
    pub(crate) fn claim(&mut self, job: &str, target: &VmId) -> Token {
        let token = Token(self.state.next.0);
        let attempt = self.job(job).attempts + 1;
        let lease_ms = 3_600_000;
        self.put(Entry::Claim { job: id(job), attempt, target: target.clone(), lease_ms });
        token
    }

    pub(crate) fn finish(&mut self, job: &str, token: Token, done: bool) {
        let outcome = if done {
            Outcome::Done { status: 200, answer: Vec::new() }
        } else {
            Outcome::Failed { reason: "exit 1".into() }
        };
        self.put(Entry::Finish { job: id(job), token, outcome });
    }

    /// A report of one worker with one task of the given usage for each job.
    pub(crate) fn report(&self, vm: &str, tasks: &[(&str, Resources)]) -> UsageReport {
        let task = |(job, used): &(&str, Resources)| {
            let state = self.job(job);
            TaskUsage {
                job: id(job),
                service: state.service.clone(),
                class: state.class.clone(),
                urgency: if state.class.as_str() == "urgent" { 0 } else { 3 },
                used: *used,
                declared: state.demand,
                idempotent: state.idempotent,
                run_time: std::time::Duration::from_secs(40),
                last_relief: None,
            }
        };
        let sum = |total: Resources, (_, used): &(&str, Resources)| total.plus(*used);
        UsageReport {
            vm: id(vm),
            measured_at: self.now,
            used: tasks.iter().fold(Resources::default(), sum),
            tasks: tasks.iter().map(task).collect(),
        }
    }
}
