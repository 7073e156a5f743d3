//! The shared state of a region: everything that nodes agree on.

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

/// Shared state as of one offset of the region stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to fold.
    pub next: Offset,
    /// Fold time.
    pub now: UnixMillis,
    /// Chained hash over all folded records and their verdicts.
    pub hash: [u8; 32],
    /// True once an entry kind of a later version was met; such a node must not decide.
    pub behind: bool,
    /// Next offset of the `settings` stream to be copied.
    pub settings_next: Offset,
    /// Settings values in force.
    pub settings: BTreeMap<SettingPath, SettingValue>,
    /// Checked view of `settings`.
    pub fleet: FleetSettings,
    /// Public keys of the offices (32 bytes each), with rotated keys.
    pub keys: BTreeMap<OfficeId, Vec<[u8; 32]>>,
    /// Recent verdicts on settings records, by their offset in the `settings` stream.
    pub verdicts: VecDeque<SettingVerdict>,
    /// Writers and their last batch.
    pub writers: BTreeMap<NodeIncarnation, Writer>,
    /// Writers that were forgotten, oldest first. A late copy of their first batch must not count as a new one.
    pub forgotten: VecDeque<NodeIncarnation>,
    /// Jobs, ended ones included until their retention ends. They are boxed because nodes of the map are half empty when
    /// keys ascend, as those of a caller's jobs do.
    pub jobs: BTreeMap<JobId, Box<Job>>,
    /// VMs.
    pub vms: BTreeMap<VmId, Vm>,
    /// Spare VM time used by loans that were returned or billed so far, by borrowing team. [`State::lent_total`] adds
    /// the running ones.
    pub lent: BTreeMap<TeamId, Duration>,
    /// Moves of spare VMs to and from a borrower, by borrowing team.
    pub lent_moves: BTreeMap<TeamId, u64>,
    /// Recent decisions, oldest first, for `explain`.
    pub history: VecDeque<Decision>,
    /// Counters of folded and skipped records.
    pub counters: Counters,
    /// Data derived from the fields above.
    #[serde(skip)]
    pub(crate) index: Index,
}

/// A settings value in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingValue {
    /// The value; `None` after a removal.
    pub value: Option<CompactString>,
    /// Version, from 1.
    pub version: Version,
    /// Offset in the `settings` stream that set it.
    pub offset: Offset,
}

/// Verdict on one settings record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingVerdict {
    /// Offset in the `settings` stream.
    pub offset: Offset,
    /// Path, when the record could be decoded.
    pub path: Option<SettingPath>,
    /// Reason of a rejection, or `None` when it's in force.
    pub rejected: Option<CompactString>,
}

/// A writer of batches.
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
    /// Body or reference.
    pub payload: Vec<u8>,
    /// False when it must run at most once.
    pub idempotent: bool,
    /// True when it runs as a task on a worker.
    pub task: bool,
    /// Latest useful time of completion.
    pub deadline: UnixMillis,
    /// Declared demand.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u32,
    /// Fold time of the submission.
    pub submitted: UnixMillis,
    /// Attempts claimed so far.
    pub attempts: u32,
    /// Targets on which an attempt failed, with the reason.
    pub failures: Vec<(VmId, CompactString)>,
    /// Where it stands.
    pub phase: JobPhase,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Accepted, not started.
    Queued,
    /// Claimed by a node; it may be running.
    Claimed(Claim),
    /// Ran; the answer is kept.
    Done {
        /// Fold time of the end.
        at: UnixMillis,
        /// Status code of the answer.
        status: u16,
        /// Answer body.
        answer: Vec<u8>,
    },
    /// Cancelled before it ran.
    Cancelled {
        /// Fold time of the end.
        at: UnixMillis,
    },
    /// Given up with evidence; needs an operator.
    Parked {
        /// Fold time of the end.
        at: UnixMillis,
        /// Why.
        reason: CompactString,
    },
    /// May or may not have run; waits for evidence.
    OutcomeUnknown {
        /// The claim whose outcome is unknown.
        claim: Claim,
        /// Why.
        reason: CompactString,
    },
}

/// The right of one node to run one attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Node that holds it.
    pub holder: NodeIncarnation,
    /// Fencing token: offset of the record that granted it.
    pub token: Token,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Where it runs.
    pub target: VmId,
    /// Fold time at which the lease ends.
    pub until: UnixMillis,
    /// True when the caller asked to cancel it.
    pub cancel: bool,
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// `ip:port` of its service.
    pub address: CompactString,
    /// The one pool it belongs to.
    pub pool: PoolId,
    /// Pool it was lent from, while it's borrowed.
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
    /// Counts changes of pool or phase.
    pub generation: Generation,
    /// What it is doing.
    pub phase: VmPhase,
    /// Fold time of the last completed reboot.
    pub maintained: UnixMillis,
    /// Fold time of the last move.
    pub moved: UnixMillis,
    /// Pool that it left at the last move.
    pub previous: Option<PoolId>,
    /// Fold time up to which its loan is billed, while it's borrowed.
    pub billed: UnixMillis,
    /// Fold times of recent failures.
    pub failures: Vec<UnixMillis>,
}

/// What a VM is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmPhase {
    /// In service.
    Active,
    /// Takes no new work.
    Draining {
        /// The operation.
        op: OpId,
        /// Why.
        purpose: Purpose,
        /// Fold time at which the drain started.
        since: UnixMillis,
    },
    /// Nothing in flight any more.
    Drained {
        /// The operation.
        op: OpId,
        /// Why.
        purpose: Purpose,
        /// Fold time at which the drain started.
        since: UnixMillis,
    },
    /// Has permission to reboot.
    Rebooting {
        /// The operation.
        op: OpId,
        /// Why.
        purpose: Purpose,
        /// Fold time of the permission.
        since: UnixMillis,
    },
    /// Failed without a plan.
    Failed {
        /// Fold time of the report.
        since: UnixMillis,
    },
    /// Taken out after repeated failures.
    OutOfRotation {
        /// Fold time of the decision.
        since: UnixMillis,
    },
}

impl VmPhase {
    /// True when the VM may get new work.
    pub fn is_active(&self) -> bool {
        matches!(self, VmPhase::Active)
    }

    /// Operation in progress.
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
    /// Entries that took effect.
    pub accepted: u64,
    /// Entries whose precondition failed.
    pub rejected: u64,
    /// Batches ignored as copies.
    pub duplicates: u64,
    /// Records that could not be decoded.
    pub corrupt: u64,
    /// Entries of unknown kinds.
    pub unknown: u64,
}

/// One recorded decision, for `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Offset of the record.
    pub offset: Offset,
    /// Fold time.
    pub at: UnixMillis,
    /// Node that proposed it.
    pub node: NodeIncarnation,
    /// Job or VM concerned.
    pub subject: CompactString,
    /// What was decided, in words.
    pub text: CompactString,
}

/// What became of one entry, or of a whole record that was skipped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Took effect at this offset.
    Accepted {
        /// Offset of the batch.
        offset: Offset,
    },
    /// The job exists already with the same body; nothing changed.
    Existing {
        /// The job.
        job: JobId,
    },
    /// Precondition failed; nothing changed.
    Rejected {
        /// Why.
        reason: CompactString,
    },
}

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A batch and the verdict on each of its entries.
    Batch {
        /// Writer of the batch.
        writer: NodeIncarnation,
        /// Its sequence number.
        seq: Sequence,
        /// One verdict per entry, in order.
        verdicts: Vec<Verdict>,
    },
    /// A copy or a withdrawn batch; nothing changed.
    Ignored {
        /// Writer of the batch.
        writer: NodeIncarnation,
        /// Its sequence number.
        seq: Sequence,
    },
    /// Could not be decoded.
    Corrupt {
        /// Why.
        reason: CompactString,
    },
}

impl Job {
    /// True when nothing more will happen to the job without an operator or new evidence.
    pub fn is_ended(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Done { .. } | JobPhase::Cancelled { .. } | JobPhase::Parked { .. }
        )
    }
}
