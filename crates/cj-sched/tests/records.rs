//! Encoding of records: they round-trip, and decoding arbitrary bytes never panics.

use cj_sched::{
    JobIndex, JobKey, Log, Progress, Record, RecordKey, StepProgress, codec,
    record::{CrashedRuns, Failures, Outcome, OwnerHeartbeat, ServiceLoad, WaveProgress},
    run_times::{
        BINS, MAX_QUEUES, MAX_SHAPES, QueueState, RatioState, RunTimes, ShapeKey, ShapeState,
    },
};
use cj_types::{Millicores, NodeId, ServiceId, UnixMillis, VmId};
use quickcheck::quickcheck;

fn assert_round_trip(record: &Record) {
    let value = codec::encode(record);
    assert_eq!(&codec::decode(&record.key_text(), &value).unwrap(), record);
}

/// Learned run times of this many queues with the same number of shapes.
fn run_times(name: &str, count: usize) -> RunTimes {
    let shape = ShapeState {
        fresh: RatioState { weight: 2.0, skipped: 0, bins: vec![255; BINS] },
        ..ShapeState::default()
    };
    let shapes = vec![(ShapeKey::default(), shape.clone()); count];
    RunTimes { queues: vec![QueueState { name: name.into(), all: shape, shapes }; count] }
}

/// Guards against learned run times that are replaced by older ones or by those of another log, and against nodes that hold an
/// oversized record.
#[test]
fn the_latest_run_times_count_within_their_limits() {
    let mut index = JobIndex::default();
    assert_eq!(index.run_times(), None);
    let mut apply = |log, offset, run_times| {
        index.apply(log, offset, Record::RunTimes(run_times), false);
        index.run_times().unwrap().clone()
    };
    assert_eq!(apply(Log::Jobs, 5, run_times("b", 2)), run_times("b", 2));
    assert_eq!(apply(Log::Jobs, 4, run_times("a", 1)), run_times("b", 2));
    assert_eq!(apply(Log::Overflow(0), 9, run_times("a", 1)), run_times("b", 2));
    let kept = apply(Log::Jobs, 6, run_times("c", 1_000));
    assert_eq!((kept.queues.len(), kept.queues[0].shapes.len()), (MAX_QUEUES, MAX_SHAPES));
}

#[test]
fn records_round_trip() {
    let mut step = StepProgress::default();
    step.set_done(9);
    step.failures.push(Failures { index: 3, runs: vec![7, 8] });
    assert!(step.is_done(9) && !step.is_done(8));
    let progress = Progress {
        started: true,
        outcome: Outcome::Failed,
        decided_at: UnixMillis(5),
        steps: vec![step],
        crashes: vec![CrashedRuns { step: 1, index: 4, runs: vec![9] }],
    };
    assert_round_trip(&Record::Progress(JobKey(17), 2, progress));
    assert_round_trip(&Record::Cancel(JobKey(17), UnixMillis(6)));
    let vms = vec![VmId::try_from("m-1").unwrap()];
    assert_round_trip(&Record::Wave(3, WaveProgress { requested: vms.clone(), begun: vms }));
    let load = vec![(ServiceId::try_from("s").unwrap(), ServiceLoad { capacity: 1, backlog: 2 })];
    let node = NodeId::try_from("n").unwrap();
    assert_round_trip(&Record::Owner(OwnerHeartbeat {
        epoch: 4,
        node,
        cores: Millicores(250),
        released: true,
        load,
    }));
    assert_round_trip(&Record::Drop(RecordKey::Cancel(JobKey(1))));
    assert_round_trip(&Record::RunTimes(run_times("red", 3)));
    assert_eq!(Record::Drop(RecordKey::RunTimes).key_text(), "run-times");
}

/// Guards against progress that is lost when owners of this and of the earlier release take turns.
#[test]
fn progress_is_read_across_releases() {
    /// The fields of the earlier release.
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    struct EarlierProgress {
        started: bool,
        outcome: Outcome,
        decided_at: UnixMillis,
        steps: Vec<StepProgress>,
    }
    let mut step = StepProgress::default();
    step.set_done(2);
    let earlier = EarlierProgress {
        started: true,
        outcome: Outcome::Open,
        decided_at: UnixMillis(5),
        steps: vec![step.clone()],
    };
    let read = codec::decode("p0000000000000011.0", &codec::to_bytes(&earlier)).unwrap();
    let mut progress = Progress {
        started: true,
        decided_at: UnixMillis(5),
        steps: vec![step],
        ..Progress::default()
    };
    assert_eq!(read, Record::Progress(JobKey(17), 0, progress.clone()));

    progress.crashes.push(CrashedRuns { step: 0, index: 1, runs: vec![7, 8] });
    let written = codec::encode(&Record::Progress(JobKey(17), 0, progress));
    assert_eq!(codec::from_bytes::<EarlierProgress>(&written).unwrap(), earlier);
}

quickcheck! {
    /// Guards against a node that panics on a record of another writer.
    fn any_bytes_decode_or_return_an_error(key: String, value: Vec<u8>) -> bool {
        let _ = codec::decode(&key, &value);
        ["run-times", "owner", "j00000000000000aa", "p00000000000000aa.0", "c00000000000000aa", "w1"]
            .iter()
            .all(|key| codec::decode(key, &value).is_ok() || !value.is_empty())
    }

    /// Guards against keys of jobs and tasks that differ after they were written to the store or sent to a worker.
    fn keys_round_trip(job: u64, occurrence: u32, step: u32, index: u32) -> bool {
        let key = RecordKey::Progress(JobKey(job), occurrence);
        let task = cj_sched::TaskId { job: JobKey(job), occurrence, step, index };
        key.to_string().parse() == Ok(key) && task.to_string().parse() == Ok(task)
    }
}
