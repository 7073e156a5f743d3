//! In-memory index of all jobs of a cell, built on every node from the records in the store.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use cj_types::UnixMillis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    account::Access,
    job::JobKey,
    record::{Outcome, OwnerHeartbeat, Progress, Record, RecordKey, Submission, WaveProgress},
    run_times::RunTimes,
};

/// Number of overflow logs.
pub const OVERFLOW_LOGS: u8 = 3;

/// One of the logs that hold the records of a cell.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Log {
    /// The owner's records, and the submissions and cancellations of callers.
    #[display("jobs")]
    Jobs,
    /// Overflow log for submissions and cancellations while [`Log::Jobs`] is slow, numbered from 0 and below
    /// [`OVERFLOW_LOGS`]. An owner's record in it only marks where that ownership begins.
    #[display("overflow-{_0}")]
    Overflow(u8),
}

impl Log {
    /// Bit in a set of overflow logs; 0 for [`Log::Jobs`].
    fn bit(self) -> u8 {
        match self {
            Log::Jobs => 0,
            Log::Overflow(number) => 1 << number,
        }
    }
}

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task reached its maximum number of failed runs, or crashes the workers that start it.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// True when the state can't change any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}

/// Progress of an occurrence, with the offset of its record.
#[derive(Clone, Debug, Default)]
struct VersionedProgress {
    offset: u64,
    progress: Progress,
}

/// A job with its recorded progress.
#[derive(Clone, Debug, Default)]
pub struct JobEntry {
    submission: Option<Rc<Submission>>,
    progress: Vec<VersionedProgress>,
    /// When the caller cancelled the job.
    pub cancelled: Option<UnixMillis>,
    /// Epoch of the owner at the submission's position in its log; 0 when that isn't known.
    pub epoch: u64,
    /// Set of the overflow logs that hold records of the job, one bit for each.
    overflow_logs: u8,
}

impl JobEntry {
    /// The submission. It may be missing at first, since the records of a job may be read in any order.
    pub fn submission(&self) -> Option<&Rc<Submission>> {
        self.submission.as_ref()
    }

    /// True if a caller with this access may see the job.
    pub fn is_visible_to(&self, access: &Access) -> bool {
        let submission = self.submission.as_ref();
        submission.is_some_and(|job| access.allows(&job.queue, job.account.as_ref()))
    }

    /// Progress of an occurrence, if any is recorded.
    pub fn progress(&self, occurrence: u32) -> Option<&Progress> {
        self.progress.get(occurrence as usize).map(|versioned| &versioned.progress)
    }

    /// Recorded progress of the occurrences, by number; default values where none is recorded.
    pub fn recorded(&self) -> Vec<Progress> {
        self.progress.iter().map(|versioned| versioned.progress.clone()).collect()
    }

    /// State of the job. A job that completed before its cancellation took effect stays completed.
    pub fn state(&self) -> JobState {
        let expected = self.submission.as_ref().map_or(1, |s| s.spec.occurrences()) as usize;
        let outcomes = || self.progress.iter().map(|versioned| versioned.progress.outcome);
        if outcomes().any(|outcome| outcome == Outcome::Failed) {
            return JobState::Failed;
        }
        if outcomes().filter(|&outcome| outcome == Outcome::Completed).count() >= expected {
            return JobState::Completed;
        }
        if self.cancelled.is_some() {
            return JobState::Cancelled;
        }
        if self.progress.iter().any(|versioned| versioned.progress.started) {
            return JobState::Running;
        }
        JobState::Queued
    }

    /// When the state became final.
    pub fn ended_at(&self) -> Option<UnixMillis> {
        if !self.state().is_final() {
            return None;
        }
        let decided = self.progress.iter().map(|versioned| versioned.progress.decided_at).max();
        decided.max(self.cancelled)
    }

    /// Keys of the job's records that may be dropped now. Those in the overflow logs are dropped first: if they were
    /// read again without the ones in [`Log::Jobs`], the job would count as new.
    fn droppable_keys(&self, job: JobKey) -> Vec<(Log, RecordKey)> {
        let caller_keys = [RecordKey::Submission(job), RecordKey::Cancel(job)];
        let overflows =
            (0..OVERFLOW_LOGS).map(Log::Overflow).filter(|log| self.overflow_logs & log.bit() != 0);
        let overflow_keys: Vec<_> =
            overflows.flat_map(|log| caller_keys.map(move |key| (log, key))).collect();
        if !overflow_keys.is_empty() {
            return overflow_keys;
        }
        let mut keys = vec![RecordKey::Submission(job)];
        keys.extend(self.cancelled.map(|_| RecordKey::Cancel(job)));
        keys.extend((0..self.progress.len()).map(|n| RecordKey::Progress(job, n as u32)));
        keys.into_iter().map(|key| (Log::Jobs, key)).collect()
    }
}

/// The owner according to its last record.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Its last heartbeat.
    pub heartbeat: OwnerHeartbeat,
    /// Offset of the record.
    pub offset: u64,
}

/// The effect of a record on the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A job was added.
    Submitted(JobKey),
    /// The caller cancelled a job.
    Cancelled(JobKey),
    /// A job made progress.
    Progressed(JobKey),
    /// The owner sent a heartbeat.
    Owner,
    /// Nothing that other parts have to react to.
    Unchanged,
}

/// All jobs, the maintenance waves and the owner, as given by the records applied so far.
#[derive(Clone, Debug, Default)]
pub struct JobIndex {
    jobs: HashMap<JobKey, JobEntry>,
    /// Jobs whose state isn't final.
    open: BTreeSet<JobKey>,
    waves: HashMap<u64, WaveProgress>,
    owner: Option<Owner>,
    /// Learned run times, with the offset of their record.
    run_times: Option<(u64, Rc<RunTimes>)>,
    ownership_starts: [OwnershipStart; OVERFLOW_LOGS as usize],
}

/// Position in an overflow log at which the latest ownership begins.
#[derive(Clone, Copy, Debug, Default)]
struct OwnershipStart {
    epoch: u64,
    offset: u64,
}

impl JobIndex {
    /// Applies a record of a log. `in_order` is true when all records of the log since the last applied one were read,
    /// and false for a read of the latest record of each key, which has no order. A record older than the known one of
    /// its key has no effect. Records of different logs may be applied in any order.
    pub fn apply(&mut self, log: Log, offset: u64, record: Record, in_order: bool) -> Change {
        match record {
            Record::Submission(job, submission) => {
                let epoch = if in_order { self.epoch_at(log, offset) } else { 0 };
                self.add_submission(log, job, *submission, epoch)
            }
            Record::Progress(job, number, progress) => {
                self.update_progress(job, number, offset, progress)
            }
            Record::Cancel(job, at) => self.add_cancellation(log, job, at),
            Record::Wave(number, progress) => {
                self.waves.insert(number, progress);
                Change::Unchanged
            }
            Record::Owner(heartbeat) => match log {
                Log::Jobs => self.update_owner(offset, heartbeat),
                Log::Overflow(number) => self.set_ownership_start(number, offset, heartbeat.epoch),
            },
            Record::RunTimes(mut run_times) => {
                let known = self.run_times.as_ref();
                if log == Log::Jobs && known.is_none_or(|(known, _)| *known <= offset) {
                    run_times.truncate();
                    self.run_times = Some((offset, Rc::new(run_times)));
                }
                Change::Unchanged
            }
            Record::Drop(RecordKey::Submission(job)) => {
                self.remove_job(log, job);
                Change::Unchanged
            }
            // The load is used for admission, not for the state of jobs.
            Record::Load(_) | Record::Drop(_) => Change::Unchanged,
        }
    }

    /// Epoch of the owner at an offset of a log; 0 when that isn't known.
    fn epoch_at(&self, log: Log, offset: u64) -> u64 {
        let (epoch, start) = match log {
            Log::Jobs => {
                self.owner.as_ref().map_or((0, 0), |owner| (owner.heartbeat.epoch, owner.offset))
            }
            Log::Overflow(number) => {
                let start = self.ownership_starts[usize::from(number)];
                (start.epoch, start.offset)
            }
        };
        if offset > start { epoch } else { 0 }
    }

    fn add_submission(
        &mut self,
        log: Log,
        job: JobKey,
        submission: Submission,
        epoch: u64,
    ) -> Change {
        let entry = self.jobs.entry(job).or_default();
        entry.overflow_logs |= log.bit();
        if entry.submission.is_some() {
            return Change::Unchanged;
        }
        entry.submission = Some(Rc::new(submission));
        entry.epoch = epoch;
        if !entry.state().is_final() {
            self.open.insert(job);
        }
        Change::Submitted(job)
    }

    fn set_ownership_start(&mut self, number: u8, offset: u64, epoch: u64) -> Change {
        let start = &mut self.ownership_starts[usize::from(number)];
        if epoch > start.epoch {
            *start = OwnershipStart { epoch, offset };
        }
        Change::Unchanged
    }

    fn remove_job(&mut self, log: Log, job: JobKey) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        entry.overflow_logs &= !log.bit();
        // Only final jobs are dropped. One that appears open was read again from an overflow log after its records in
        // [`Log::Jobs`] were dropped.
        if log == Log::Jobs || !entry.state().is_final() {
            self.jobs.remove(&job);
            self.open.remove(&job);
        }
    }

    fn update_progress(
        &mut self,
        job: JobKey,
        number: u32,
        offset: u64,
        progress: Progress,
    ) -> Change {
        let entry = self.jobs.entry(job).or_default();
        let at = number as usize;
        if entry.progress.len() <= at {
            entry.progress.resize(at + 1, VersionedProgress::default());
        }
        if entry.progress[at].offset > offset {
            return Change::Unchanged;
        }
        entry.progress[at] = VersionedProgress { offset, progress };
        if entry.state().is_final() {
            self.open.remove(&job);
        }
        Change::Progressed(job)
    }

    fn add_cancellation(&mut self, log: Log, job: JobKey, at: UnixMillis) -> Change {
        let entry = self.jobs.entry(job).or_default();
        entry.overflow_logs |= log.bit();
        if entry.cancelled.is_some() {
            return Change::Unchanged;
        }
        entry.cancelled = Some(at);
        self.open.remove(&job);
        Change::Cancelled(job)
    }

    fn update_owner(&mut self, offset: u64, heartbeat: OwnerHeartbeat) -> Change {
        let known = self.owner.as_ref();
        if known
            .is_some_and(|owner| owner.offset > offset || owner.heartbeat.epoch > heartbeat.epoch)
        {
            return Change::Unchanged;
        }
        self.owner = Some(Owner { heartbeat, offset });
        Change::Owner
    }

    /// The last owner with a recorded heartbeat.
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Fencing token of the last owner; 0 when there is none.
    pub fn epoch(&self) -> u64 {
        self.owner.as_ref().map_or(0, |owner| owner.heartbeat.epoch)
    }

    /// Highest fencing token in any of the logs.
    pub fn last_epoch(&self) -> u64 {
        self.ownership_starts.iter().map(|start| start.epoch).fold(self.epoch(), u64::max)
    }

    /// True if the start of this ownership, or of a later one, has been read in an overflow log. All submissions in it that
    /// earlier owners may have acted on have been read, too.
    pub fn has_ownership_start(&self, number: u8, epoch: u64) -> bool {
        self.ownership_starts[usize::from(number)].epoch >= epoch
    }

    /// A job whose submission is known.
    pub fn job(&self, job: JobKey) -> Option<&JobEntry> {
        self.jobs.get(&job).filter(|entry| entry.submission.is_some())
    }

    /// All jobs whose submission is known.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &JobEntry)> {
        let known = self.jobs.iter().filter(|(_, entry)| entry.submission.is_some());
        known.map(|(&job, entry)| (job, entry))
    }

    /// Jobs that aren't final.
    pub fn open_jobs(&self) -> impl Iterator<Item = (JobKey, &JobEntry)> {
        self.open.iter().filter_map(|&job| Some((job, self.job(job)?)))
    }

    /// Progress of a maintenance wave.
    pub fn wave(&self, number: u64) -> WaveProgress {
        self.waves.get(&number).cloned().unwrap_or_default()
    }

    /// The latest record of learned run times.
    pub fn run_times(&self) -> Option<&RunTimes> {
        self.run_times.as_ref().map(|(_, run_times)| &**run_times)
    }

    /// Number of accepted jobs of a queue that are still queued: none of their tasks has started.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let waits = |entry: &&JobEntry| {
            let named = entry.submission.as_ref().is_some_and(|s| s.queue == queue);
            named && entry.state() == JobState::Queued
        };
        self.open_jobs().map(|(_, entry)| entry).filter(waits).count()
    }

    /// Keys to drop of jobs that have been final for longer than `retention`, for at most `max_jobs` jobs.
    pub fn expired_keys(
        &self,
        now: UnixMillis,
        retention: Duration,
        max_jobs: usize,
    ) -> Vec<(Log, RecordKey)> {
        let old = |entry: &JobEntry| entry.ended_at().is_some_and(|at| now.since(at) > retention);
        let jobs = self.jobs().filter(|(_, entry)| old(entry)).take(max_jobs);
        jobs.flat_map(|(job, entry)| entry.droppable_keys(job)).collect()
    }
}
