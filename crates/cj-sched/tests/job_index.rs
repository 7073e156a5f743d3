//! The job index built from records of several logs. An owner record in an overflow log is only a marker: the owner's later
//! records in that log follow it.

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
        account: None,
    };
    Record::Submission(JOB, Box::new(submission))
}

fn heartbeat(epoch: u64) -> Record {
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

fn expired_records(job_index: &JobIndex) -> Vec<(Log, RecordKey)> {
    job_index.expired_keys(UnixMillis(500_000), Duration::from_secs(150), 10)
}

/// Guards against a job that counts as new although an earlier owner may have started it: the owner's marker in one log does
/// not cover submissions in another log.
#[test]
fn a_submission_is_new_only_after_the_owner_marker_in_its_own_log() {
    let mut job_index = JobIndex::default();
    job_index.apply(Log::Jobs, 0, heartbeat(3), true);
    job_index.apply(OVERFLOW, 0, submission(), true);
    assert_eq!(job_index.job(JOB).unwrap().epoch, 0);

    let mut job_index = JobIndex::default();
    job_index.apply(Log::Jobs, 0, heartbeat(3), true);
    job_index.apply(OVERFLOW, 0, heartbeat(3), true);
    job_index.apply(OVERFLOW, 1, submission(), true);
    assert_eq!(job_index.job(JOB).unwrap().epoch, 3);
}

/// Guards against applying an owner marker to submissions at lower offsets. This happens when the newest record of each key
/// is read first.
#[test]
fn an_owner_marker_does_not_apply_to_earlier_offsets() {
    let mut job_index = JobIndex::default();
    job_index.apply(OVERFLOW, 9, heartbeat(3), false);
    job_index.apply(OVERFLOW, 8, submission(), true);
    assert_eq!(job_index.job(JOB).unwrap().epoch, 0);
}

/// Guards against an owner that keeps starting submissions after a later owner has marked the overflow log.
#[test]
fn an_owner_marker_reveals_a_later_owner_but_is_no_heartbeat() {
    let mut job_index = JobIndex::default();
    job_index.apply(Log::Jobs, 0, heartbeat(3), true);
    assert_eq!(job_index.apply(OVERFLOW, 0, heartbeat(4), true), Change::Unchanged);
    assert_eq!((job_index.epoch(), job_index.last_epoch()), (3, 4));
}

/// Guards against a completed job that looks new because its submission is read from an overflow log after its progress.
#[test]
fn progress_may_be_read_before_the_submission() {
    let mut job_index = JobIndex::default();
    job_index.apply(Log::Jobs, 0, completed(), true);
    assert!(job_index.job(JOB).is_none());
    job_index.apply(OVERFLOW, 0, submission(), true);
    let entry = job_index.job(JOB).unwrap();
    assert_eq!((entry.state(), entry.recorded().len()), (JobState::Completed, 1));
    assert_eq!(job_index.open_jobs().count(), 0);
}

/// Guards against a job that runs again because its submission in an overflow log is kept longer than its progress records.
#[test]
fn overflow_log_records_are_dropped_first() {
    let mut job_index = JobIndex::default();
    job_index.apply(Log::Jobs, 0, submission(), true);
    job_index.apply(OVERFLOW, 0, submission(), true);
    job_index.apply(Log::Jobs, 1, completed(), true);
    let first = expired_records(&job_index);
    assert!(!first.is_empty() && first.iter().all(|(log, _)| *log == OVERFLOW));
    for (_, key) in first {
        job_index.apply(OVERFLOW, 2, Record::Drop(key), true);
    }
    let second = expired_records(&job_index);
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|(log, _)| *log == Log::Jobs));
    for (_, key) in second {
        job_index.apply(Log::Jobs, 3, Record::Drop(key), true);
    }
    assert!(job_index.job(JOB).is_none());
}

/// Guards against a dropped job that is reopened on a node which reads its submission in an overflow log after the drop.
#[test]
fn a_dropped_job_that_is_read_again_is_removed_by_the_next_drop() {
    let mut job_index = JobIndex::default();
    job_index.apply(Log::Jobs, 0, Record::Drop(RecordKey::Submission(JOB)), true);
    job_index.apply(OVERFLOW, 0, submission(), true);
    job_index.apply(OVERFLOW, 1, Record::Drop(RecordKey::Submission(JOB)), true);
    assert!(job_index.job(JOB).is_none());
    assert_eq!(job_index.open_jobs().count(), 0);
}
