//! Durable records. Each has a key, and the latest record of a key holds the complete state of that key, so that a node
//! can start from the latest record of each key.

use std::{fmt, str::FromStr, time::Duration};

use cj_types::{AccountId, Error, Millicores, NodeId, Result, ServiceId, UnixMillis, VmId};
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::{
    job::{JobKey, JobSpec},
    load_report::LoadReport,
    run_times::RunTimes,
};

/// Key under which a record is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// The accepted submission of a job.
    Submission(JobKey),
    /// Progress of one occurrence of a job.
    Progress(JobKey, u32),
    /// The caller's cancellation of a job.
    Cancel(JobKey),
    /// Progress of a maintenance wave.
    Wave(u64),
    /// The heartbeat of the owner.
    Owner,
    /// Learned run times.
    RunTimes,
    /// The load that the owner publishes for admission. Earlier releases skip the record.
    Load,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordKey::Submission(job) => write!(f, "j{job}"),
            RecordKey::Progress(job, occurrence) => write!(f, "p{job}.{occurrence}"),
            RecordKey::Cancel(job) => write!(f, "c{job}"),
            RecordKey::Wave(number) => write!(f, "w{number}"),
            RecordKey::Owner => f.write_str("owner"),
            RecordKey::RunTimes => f.write_str("run-times"),
            RecordKey::Load => f.write_str("load"),
        }
    }
}

impl FromStr for RecordKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::decode("record key", text);
        match text {
            "owner" => return Ok(RecordKey::Owner),
            "run-times" => return Ok(RecordKey::RunTimes),
            "load" => return Ok(RecordKey::Load),
            _ => {}
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

/// A job that a node accepted, with the settings of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Name of the queue.
    pub queue: CompactString,
    /// Service whose VMs run the job.
    pub service: ServiceId,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job has failed.
    pub max_attempts: u32,
    /// Latency objective, counted from `received_at`.
    pub objective: Duration,
    /// When the node received the submission.
    pub received_at: UnixMillis,
    /// The job.
    pub spec: JobSpec,
    /// The account that the job belongs to. Records of earlier releases end before this field.
    pub account: Option<AccountId>,
}

/// Final state of an occurrence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Not final yet.
    #[default]
    Open,
    /// All tasks are done.
    Completed,
    /// A task reached its maximum number of failed runs, or crashes the workers that start it.
    Failed,
}

/// Progress of the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// One bit for each task, the lowest bit of a byte first: set when the task is done.
    pub done: Vec<u8>,
    /// Failed runs by task; tasks without failures are left out.
    pub failures: Vec<Failures>,
}

/// Failed runs of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// Index of the task in its step.
    pub index: u32,
    /// Numbers of the failed runs. A worker reports an end until it is acknowledged, also to later owners, and reports
    /// of different workers arrive in any order; a mere count would count some ends twice or not at all.
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

/// Progress of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// A task has started.
    pub started: bool,
    /// Final state.
    pub outcome: Outcome,
    /// When the outcome became final.
    pub decided_at: UnixMillis,
    /// Progress by step.
    pub steps: Vec<StepProgress>,
    /// Runs that may have crashed their workers; tasks without such runs are left out. Records of earlier releases end
    /// before this field, and earlier releases ignore it.
    pub crashes: Vec<CrashedRuns>,
}

/// Runs of one task that may have crashed their workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRuns {
    /// Number of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
    /// Numbers of the runs.
    pub runs: Vec<u64>,
}

/// Progress of a maintenance wave. A request is recorded before its command is sent, because the command may be carried
/// out at any time after that, also under a later owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// VMs whose maintenance was or will be requested.
    pub requested: Vec<VmId>,
    /// VMs whose maintenance has begun.
    pub begun: Vec<VmId>,
}

/// Load of one service, published by the owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Processor capacity of its workers that take tasks, in millicores.
    pub capacity: u64,
    /// Work that waits or runs, in millicores times milliseconds.
    pub backlog: u64,
}

/// Heartbeat of the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerHeartbeat {
    /// Fencing token of the ownership.
    pub epoch: u64,
    /// The owner's node.
    pub node: NodeId,
    /// Processor capacity of the node.
    pub cores: Millicores,
    /// The node gives up ownership, so that another may take over at once.
    pub released: bool,
    /// Load by service.
    pub load: Vec<(ServiceId, ServiceLoad)>,
}

/// A record with its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Submission(JobKey, Box<Submission>),
    /// Progress of an occurrence.
    Progress(JobKey, u32, Progress),
    /// The caller cancelled a job.
    Cancel(JobKey, UnixMillis),
    /// Progress of a maintenance wave.
    Wave(u64, WaveProgress),
    /// Heartbeat of the owner.
    Owner(OwnerHeartbeat),
    /// Learned run times.
    RunTimes(RunTimes),
    /// Load for the admission of jobs.
    Load(Box<LoadReport>),
    /// The record of the key is dropped.
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
            Record::RunTimes(_) => RecordKey::RunTimes,
            Record::Load(_) => RecordKey::Load,
            Record::Drop(key) => *key,
        }
    }

    /// Key as text.
    pub fn key_text(&self) -> CompactString {
        format_compact!("{}", self.key())
    }
}
