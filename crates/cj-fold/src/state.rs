//! The shared state of a region, which all nodes derive from the same log.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::index::Index;
use cj_record::{Purpose, SettingPath, VmKind};
use cj_settings::FleetSettings;
use cj_types::{
    BootId, ClassId, DataCentreId, Generation, JobId, NodeIncarnation, OfficeId, Offset, OpId,
    PoolId, RackId, Resources, Sequence, ServiceId, TeamId, Token, UnixMillis, Version, VmId,
};

/// Shared state of a region, up to one offset of the region stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Fold time: the clock of the state, advanced by the batches. All ages and deadlines in the state refer to it.
    pub now: UnixMillis,
    /// Chained hash over all folded records and their verdicts, to compare nodes.
    pub hash: [u8; 32],
    /// Whether an entry of an unknown kind, from a later version, was folded. The state then lacks its effect, so the
    /// node must not make decisions.
    pub behind: bool,
    /// Offset of the next record of the `settings` stream to copy.
    pub settings_next: Offset,
    /// Settings in force, including the versions of removed ones.
    pub settings: BTreeMap<SettingPath, SettingValue>,
    /// Validated and typed form of `settings`.
    pub fleet: FleetSettings,
    /// Current public keys of the offices (ed25519, 32 bytes each).
    pub keys: BTreeMap<OfficeId, Vec<[u8; 32]>>,
    /// Recent verdicts on settings records, by their offset in the `settings` stream.
    pub verdicts: VecDeque<SettingVerdict>,
    /// Known writers with their last batch.
    pub writers: BTreeMap<NodeIncarnation, Writer>,
    /// Names of removed writers, oldest first. They are kept so that a late copy of a writer's first batch isn't folded
    /// as that of a new writer.
    pub forgotten: VecDeque<NodeIncarnation>,
    /// Jobs, including ended ones until their retention time is over. Jobs are boxed because the nodes of a B-tree map
    /// are only half full if keys are inserted in ascending order, as the keys of a caller's jobs are.
    pub jobs: BTreeMap<JobId, Box<Job>>,
    /// Registered VMs.
    pub vms: BTreeMap<VmId, Vm>,
    /// Spare VM time billed so far, by borrowing team. [`State::lent_total`] adds the time of VMs that are still
    /// borrowed.
    pub lent: BTreeMap<TeamId, Duration>,
    /// Number of moves of spare VMs to and from a borrowing pool, by borrowing team.
    pub lent_moves: BTreeMap<TeamId, u64>,
    /// Recent decisions, oldest first, for `explain`.
    pub history: VecDeque<Decision>,
    /// Counters of folded and skipped records.
    pub counters: Counters,
    /// Indexes derived from the fields above.
    #[serde(skip)]
    pub(crate) index: Index,
}

/// A setting in force, or the record of its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingValue {
    /// The value; `None` after a removal.
    pub value: Option<CompactString>,
    /// Version, counted from 1.
    pub version: Version,
    /// Offset of the record in the `settings` stream.
    pub offset: Offset,
}

/// Verdict on one settings record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingVerdict {
    /// Offset in the `settings` stream.
    pub offset: Offset,
    /// Path of the setting, if the record could be decoded and its signature is valid.
    pub path: Option<SettingPath>,
    /// Reason for the rejection, or `None` if the record was accepted.
    pub rejected: Option<CompactString>,
}

/// Last folded batch of a writer, one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Highest sequence number folded.
    pub last_seq: Sequence,
    /// Fold time of that batch.
    pub last_at: UnixMillis,
}

/// A recorded job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Service that runs it.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Team whose quota it uses.
    pub team: TeamId,
    /// Pool it runs in.
    pub pool: PoolId,
    /// Hash of the request body.
    pub body_hash: [u8; 32],
    /// Request body, or a reference to it. Emptied when the job is done or cancelled.
    pub payload: Vec<u8>,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job runs as a task on a worker, not as a request to an upstream.
    pub task: bool,
    /// Time after which a result is of no use.
    pub deadline: UnixMillis,
    /// Declared resource demand.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u32,
    /// Fold time of the submission.
    pub submitted: UnixMillis,
    /// Number of attempts claimed so far.
    pub attempts: u32,
    /// Failed attempts, each with its target and the reason.
    pub failures: Vec<(VmId, CompactString)>,
    /// Current phase.
    pub phase: JobPhase,
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted; waits for its first or next attempt.
    Queued,
    /// Claimed by a node; it may be running.
    Claimed(Claim),
    /// Completed with an answer.
    Done {
        /// Fold time of the end.
        at: UnixMillis,
        /// Status code of the answer.
        status: u16,
        /// Answer body.
        answer: Vec<u8>,
    },
    /// Cancelled while no attempt was running.
    Cancelled {
        /// Fold time of the end.
        at: UnixMillis,
    },
    /// Failed and not retried; an operator has to decide on it.
    Parked {
        /// Fold time of the end.
        at: UnixMillis,
        /// Why.
        reason: CompactString,
    },
    /// The attempt may or may not have run; waits for evidence that shows which.
    OutcomeUnknown {
        /// The claim whose outcome is unknown.
        claim: Claim,
        /// Why.
        reason: CompactString,
    },
}

/// A node's claim on a job: the exclusive right to run one attempt until the lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Node that holds the claim.
    pub holder: NodeIncarnation,
    /// Fencing token: offset of the record that granted it.
    pub token: Token,
    /// Number of the attempt, counted from 1.
    pub attempt: u32,
    /// VM that runs the attempt.
    pub target: VmId,
    /// Fold time at which the lease ends.
    pub until: UnixMillis,
    /// Whether the caller requested cancellation.
    pub cancel: bool,
}

/// A registered VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// `ip:port` of its service.
    pub address: CompactString,
    /// Pool that the VM belongs to at present.
    pub pool: PoolId,
    /// Spare pool that lent the VM, while it is borrowed.
    pub home: Option<PoolId>,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub centre: DataCentreId,
    /// Minion or worker.
    pub kind: VmKind,
    /// Total resources.
    pub capacity: Resources,
    /// Last known boot id.
    pub boot: BootId,
    /// Number of the VM's current revision, counted from 1; increases with every change of its pool, phase or health.
    pub generation: Generation,
    /// Current phase.
    pub phase: VmPhase,
    /// Fold time of the last completed reboot or detected restart, or zero.
    pub maintained: UnixMillis,
    /// Fold time of the last move, or zero.
    pub moved: UnixMillis,
    /// Pool that the VM left at the last move.
    pub previous: Option<PoolId>,
    /// Fold time up to which the loan is billed, while the VM is borrowed.
    pub billed: UnixMillis,
    /// Fold times of recent failures, oldest first.
    pub failures: Vec<UnixMillis>,
}

/// Phase of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmPhase {
    /// In service.
    Active,
    /// Gets no new work; work in flight may complete.
    Draining {
        /// The operation.
        op: OpId,
        /// Purpose of the drain.
        purpose: Purpose,
        /// Fold time at which the drain started.
        since: UnixMillis,
    },
    /// No work is in flight any more.
    Drained {
        /// The operation.
        op: OpId,
        /// Purpose of the drain.
        purpose: Purpose,
        /// Fold time at which the drain started.
        since: UnixMillis,
    },
    /// May reboot, or is rebooting.
    Rebooting {
        /// The operation.
        op: OpId,
        /// Purpose of the reboot.
        purpose: Purpose,
        /// Fold time at which the reboot was recorded as allowed.
        since: UnixMillis,
    },
    /// Reported as failed.
    Failed {
        /// Fold time of the failure report.
        since: UnixMillis,
    },
    /// Taken out of rotation after repeated failures.
    OutOfRotation {
        /// Fold time of the decision.
        since: UnixMillis,
    },
}

impl VmPhase {
    /// Whether the VM may get new work.
    pub fn is_active(&self) -> bool {
        matches!(self, VmPhase::Active)
    }

    /// Id of the operation in progress, if any.
    pub fn op(&self) -> Option<OpId> {
        match self {
            VmPhase::Draining { op, .. }
            | VmPhase::Drained { op, .. }
            | VmPhase::Rebooting { op, .. } => Some(*op),
            _ => None,
        }
    }
}

/// Counters of folded and skipped records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Batches folded.
    pub batches: u64,
    /// Accepted entries, including submissions of a job that exists already.
    pub accepted: u64,
    /// Rejected entries.
    pub rejected: u64,
    /// Batches ignored as duplicates, as withdrawn, or because their writer is unknown.
    pub duplicates: u64,
    /// Records that could not be decoded.
    pub corrupt: u64,
    /// Entries of unknown kinds.
    pub unknown: u64,
}

/// A recent decision, kept for `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Offset of the record.
    pub offset: Offset,
    /// Fold time.
    pub at: UnixMillis,
    /// Node that proposed the entry.
    pub node: NodeIncarnation,
    /// Job, VM or setting that the decision applies to.
    pub subject: CompactString,
    /// Description of the decision.
    pub text: CompactString,
}

/// Result of folding one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// The entry took effect.
    Accepted {
        /// Offset of the batch.
        offset: Offset,
    },
    /// The submitted job exists already with the same body; nothing changed.
    Existing {
        /// The job.
        job: JobId,
    },
    /// A precondition of the entry does not hold; nothing changed.
    Rejected {
        /// Reason, as text for callers and operators.
        reason: CompactString,
    },
}

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A folded batch with the verdicts on its entries.
    Batch {
        /// Writer of the batch.
        writer: NodeIncarnation,
        /// Its sequence number.
        seq: Sequence,
        /// One verdict per entry, in order.
        verdicts: Vec<Verdict>,
    },
    /// A duplicate or withdrawn batch, or one of an unknown writer; no job, VM or setting changed.
    Ignored {
        /// Writer of the batch.
        writer: NodeIncarnation,
        /// Its sequence number.
        seq: Sequence,
    },
    /// The record could not be decoded, or is not the next one.
    Corrupt {
        /// Reason, as text.
        reason: CompactString,
    },
}

impl Job {
    /// Whether the job is done, cancelled or parked.
    pub fn is_ended(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Done { .. } | JobPhase::Cancelled { .. } | JobPhase::Parked { .. }
        )
    }
}
