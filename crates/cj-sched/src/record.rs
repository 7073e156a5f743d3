//! Durable records. Each has a key, and the newest record of a key holds all that is known under it, so that a node can
//! start from the newest record of each key.

use std::{fmt, str::FromStr, time::Duration};

use cj_types::{Error, Millicores, NodeId, Result, ServiceId, UnixMillis, VmId};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::job::{JobKey, JobSpec};

/// Key under which a record is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// The accepted submission of a job.
    Submission(JobKey),
    /// How far one occurrence of a job is.
    Progress(JobKey, u32),
    /// The caller's cancellation of a job.
    Cancel(JobKey),
    /// How far a maintenance wave is.
    Wave(u64),
    /// The heartbeat of the owner.
    Owner,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordKey::Submission(job) => write!(f, "j{job}"),
            RecordKey::Progress(job, occurrence) => write!(f, "p{job}.{occurrence}"),
            RecordKey::Cancel(job) => write!(f, "c{job}"),
            RecordKey::Wave(number) => write!(f, "w{number}"),
            RecordKey::Owner => f.write_str("owner"),
        }
    }
}

impl FromStr for RecordKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::decode("record key", text);
        if text == "owner" {
            return Ok(RecordKey::Owner);
        }
        let (kind, rest) = text.split_at_checked(1).ok_or_else(invalid)?;
        match kind {
            "j" => Ok(RecordKey::Submission(rest.parse()?)),
            "c" => Ok(RecordKey::Cancel(rest.parse()?)),
            "w" => Ok(RecordKey::Wave(rest.parse().map_err(|_| invalid())?)),
            "p" => {
                let (job, occurrence) = rest.split_once('.').ok_or_else(invalid)?;
                Ok(RecordKey::Progress(job.parse()?, occurrence.parse().map_err(|_| invalid())?))
            }
            _ => Err(invalid()),
        }
    }
}

/// A job that a node accepted, with the terms of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The queue.
    pub queue: CompactString,
    /// Service whose VMs run the job.
    pub service: ServiceId,
    /// Priority of the queue, 0 first.
    pub priority: u32,
    /// Failed runs of a task after which the job has failed.
    pub max_attempts: u32,
    /// Latency objective, from `at`.
    pub objective: Duration,
    /// When the node received the submission.
    pub received_at: UnixMillis,
    /// The job.
    pub spec: JobSpec,
}

/// Final state of an occurrence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Not final yet.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
}

/// Progress of the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// One bit for each task, lowest first: set when it is done.
    pub done: Vec<u8>,
    /// Failed runs; tasks without any are left out.
    pub failures: Vec<Failures>,
}

/// Failed runs of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Index of the task in its step.
    pub index: u32,
    /// The failed runs. A worker reports an end until it is acknowledged, also to later owners and in any order among
    /// workers, so a count alone would count some ends twice or not at all.
    pub runs: Vec<u64>,
}

impl StepProgress {
    /// True when the task at `index` is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done.get(index as usize / 8).is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Marks the task at `index` as done.
    pub fn set_done(&mut self, index: u32) {
        let at = index as usize / 8;
        if self.done.len() <= at {
            self.done.resize(at + 1, 0);
        }
        self.done[at] |= 1 << (index % 8);
    }
}

/// How far one occurrence of a job is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// A task has begun.
    pub started: bool,
    /// Final state.
    pub outcome: Outcome,
    /// When the outcome was decided.
    pub decided_at: UnixMillis,
    /// Progress by step.
    pub steps: Vec<StepProgress>,
}

/// How far a maintenance wave is. A call is noted before it is made: it may be carried out at any time after that, also
/// under a later owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose maintenance was or will be called for.
    pub requested: Vec<VmId>,
    /// VMs whose maintenance has begun.
    pub begun: Vec<VmId>,
}

/// Load of one service, published by the owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Processor capacity of its VMs that take tasks, in thousandths of a core.
    pub capacity: u64,
    /// Work that waits or runs, in thousandths of a core times milliseconds.
    pub backlog: u64,
}

/// Heartbeat of the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerHeartbeat {
    /// Fencing token of the ownership.
    pub epoch: u64,
    /// The node that owns the fleet.
    pub node: NodeId,
    /// Its processor time.
    pub cores: Millicores,
    /// The node gives up ownership; another may take over at once.
    pub released: bool,
    /// Load by service.
    pub load: Vec<(ServiceId, ServiceLoad)>,
}

/// A record with its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Submission(JobKey, Box<Submission>),
    /// An occurrence made progress.
    Progress(JobKey, u32, Progress),
    /// The caller cancelled a job.
    Cancel(JobKey, UnixMillis),
    /// How far a maintenance wave is.
    Wave(u64, WaveProgress),
    /// The owner is alive.
    Owner(OwnerHeartbeat),
    /// The key is dropped.
    Drop(RecordKey),
}

impl Record {
    /// Key of the record.
    pub fn key(&self) -> RecordKey {
        match self {
            Record::Submission(job, _) => RecordKey::Submission(*job),
            Record::Progress(job, occurrence, _) => RecordKey::Progress(*job, *occurrence),
            Record::Cancel(job, _) => RecordKey::Cancel(*job),
            Record::Wave(number, _) => RecordKey::Wave(*number),
            Record::Owner(_) => RecordKey::Owner,
            Record::Drop(key) => *key,
        }
    }

    /// Key as text.
    pub fn key_text(&self) -> CompactString {
        format_compact!("{}", self.key())
    }
}
