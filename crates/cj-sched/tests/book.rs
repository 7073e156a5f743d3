//! The fold of records that come from several logs.

use std::time::Duration;

use cj_sched::{
    JobIndex, JobKey, JobSpec, JobState, Log, Progress, Record, RecordKey, StepSpec, Submission,
    job_index::Change,
    record::{Outcome, OwnerHeartbeat},
};
use cj_types::{Millicores, NodeId, ServiceId, UnixMillis};

const OVERFLOW: Log = Log::Overflow(1);
const JOB: JobKey = JobKey(7);

fn submission() -> Record {
    let submission = Submission {
        queue: "q".into(),
        service: ServiceId::try_from("s").unwrap(),
        priority: 0,
        max_attempts: 2,
        objective: Duration::from_secs(1),
        received_at: UnixMillis(1_000),
        spec: JobSpec { text: String::new(), steps: vec![StepSpec::default()], schedule: None },
    };
    Record::Submission(JOB, Box::new(submission))
}

fn beat(epoch: u64) -> Record {
    Record::Owner(OwnerHeartbeat {
        epoch,
        node: NodeId::try_from("n1").unwrap(),
        cores: Millicores(250),
        released: false,
        load: Vec::new(),
    })
}

fn completed() -> Record {
    let outcome = Outcome::Completed;
    Record::Progress(
        JOB,
        0,
        Progress { started: true, outcome, decided_at: UnixMillis(2_000), ..Default::default() },
    )
}

fn drops(book: &JobIndex) -> Vec<(Log, RecordKey)> {
    book.expired_keys(UnixMillis(500_000), Duration::from_secs(150), 10)
}

/// Guards against a job that is taken for new although an earlier owner may have started it: the mark of the owner in one
/// log says nothing about the records of another.
#[test]
fn a_submission_is_new_only_after_the_mark_in_its_own_log() {
    let mut book = JobIndex::default();
    book.apply(Log::Jobs, 0, beat(3), true);
    book.apply(OVERFLOW, 0, submission(), true);
    assert_eq!(book.job(JOB).unwrap().epoch, 0);

    let mut book = JobIndex::default();
    book.apply(Log::Jobs, 0, beat(3), true);
    book.apply(OVERFLOW, 0, beat(3), true);
    book.apply(OVERFLOW, 1, submission(), true);
    assert_eq!(book.job(JOB).unwrap().epoch, 3);
}

/// Guards against a mark among the newest records of the keys that is applied to submissions before it.
#[test]
fn a_mark_says_nothing_of_earlier_offsets() {
    let mut book = JobIndex::default();
    book.apply(OVERFLOW, 9, beat(3), false);
    book.apply(OVERFLOW, 8, submission(), true);
    assert_eq!(book.job(JOB).unwrap().epoch, 0);
}

/// Guards against an earlier owner that goes on with submissions of a later one.
#[test]
fn a_mark_tells_of_a_later_owner_but_is_no_heartbeat() {
    let mut book = JobIndex::default();
    book.apply(Log::Jobs, 0, beat(3), true);
    assert_eq!(book.apply(OVERFLOW, 0, beat(4), true), Change::Unchanged);
    assert_eq!((book.epoch(), book.last_epoch()), (3, 4));
}

/// Guards against a completed job that looks new because its submission is read after its progress.
#[test]
fn progress_may_be_read_before_the_submission() {
    let mut book = JobIndex::default();
    book.apply(Log::Jobs, 0, completed(), true);
    assert!(book.job(JOB).is_none());
    book.apply(OVERFLOW, 0, submission(), true);
    let entry = book.job(JOB).unwrap();
    assert_eq!((entry.state(), entry.recorded().len()), (JobState::Completed, 1));
    assert_eq!(book.open_jobs().count(), 0);
}

/// Guards against a job that runs again because its submission outlives the records of its progress.
#[test]
fn the_records_of_overflow_logs_are_dropped_first() {
    let mut book = JobIndex::default();
    book.apply(Log::Jobs, 0, submission(), true);
    book.apply(OVERFLOW, 0, submission(), true);
    book.apply(Log::Jobs, 1, completed(), true);
    let first = drops(&book);
    assert!(!first.is_empty() && first.iter().all(|(log, _)| *log == OVERFLOW));
    for (_, key) in first {
        book.apply(OVERFLOW, 2, Record::Drop(key), true);
    }
    let second = drops(&book);
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|(log, _)| *log == Log::Jobs));
    for (_, key) in second {
        book.apply(Log::Jobs, 3, Record::Drop(key), true);
    }
    assert!(book.job(JOB).is_none());
}

/// Guards against a dropped job that is open again on a node which reads an overflow log late.
#[test]
fn a_job_that_is_read_again_after_its_drop_is_gone_with_the_next_drop() {
    let mut book = JobIndex::default();
    book.apply(Log::Jobs, 0, Record::Drop(RecordKey::Submission(JOB)), true);
    book.apply(OVERFLOW, 0, submission(), true);
    book.apply(OVERFLOW, 1, Record::Drop(RecordKey::Submission(JOB)), true);
    assert!(book.job(JOB).is_none());
    assert_eq!(book.open_jobs().count(), 0);
}
