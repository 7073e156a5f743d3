//! Entries of a batch. Each entry takes effect only if its precondition holds at the offset of its batch.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cj_types::{
    BootId, ClassId, DataCentreId, Generation, JobId, Offset, OpId, PoolId, RackId, Resources,
    ServiceId, TeamId, Token, UnixMillis, VmId, WaveId,
};

/// One proposed change of the shared state.
///
/// The number of a kind in the log is the position of its variant, so variants are only ever added, before
/// [`Entry::Unknown`]. A change of the fields of a kind needs a new kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub enum Entry {
    /// Carries only the time of its batch.
    Tick,
    /// Copies record `offset` of the `settings` stream into the region stream.
    SettingsCopy {
        /// Offset in the `settings` stream.
        offset: Offset,
        /// The record as read, signature included; it may be undecodable.
        payload: Vec<u8>,
    },
    /// Submits a job under its caller's idempotency key.
    Submit(Submit),
    /// Starts attempt `attempt` of a queued job on `target`.
    Claim {
        /// The job.
        job: JobId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Where it is going to run.
        target: VmId,
        /// Length of the lease in milliseconds of fold time.
        lease_ms: u32,
    },
    /// Extends the lease of a claim by its holder.
    Renew {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
        /// New length of the lease in milliseconds from now.
        lease_ms: u32,
    },
    /// Reports the outcome of a claim by its holder.
    Finish {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
        /// What came of the attempt.
        outcome: Outcome,
    },
    /// Declares that the lease of a claim has ended without an outcome.
    Expire {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
    },
    /// Settles a job whose outcome is unknown, by evidence.
    Resolve {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
        /// What the evidence shows.
        outcome: Outcome,
        /// Where the evidence comes from.
        evidence: Evidence,
    },
    /// Cancels a job at its caller's wish.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Adds a VM or updates the facts that the platform states about it.
    Register(VmFacts),
    /// Starts to drain a VM for a planned act.
    Drain {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
        /// Why it drains.
        purpose: Purpose,
    },
    /// States that nothing is in flight on a draining VM any more.
    Drained {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
    },
    /// Asks for permission to reboot a drained VM.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
    },
    /// States that a VM came back from its reboot.
    Rebooted {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
        /// Boot id seen after the reboot; it differs from the one before.
        boot: BootId,
    },
    /// Moves a drained VM, or an idle VM of a spare pool, to another pool.
    Move {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
        /// Pool that it leaves.
        from: PoolId,
        /// Pool that it joins.
        to: PoolId,
    },
    /// Gives up a drain and returns the VM to service.
    Undrain {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
    },
    /// Reports a VM as failed or as healthy again, after a direct probe.
    Health {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
        /// False when the VM failed.
        healthy: bool,
        /// Boot id at the probe, when it answered.
        boot: Option<BootId>,
    },
    /// Takes a VM that fails repeatedly out of rotation.
    TakeOut {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
    },
    /// Returns a VM that was taken out of rotation.
    PutBack {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
    },
    /// Removes a VM that the platform has removed or replaced.
    Remove {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
    },
    /// An entry kind of a later version. It is kept as bytes; a node that meets one stops deciding.
    #[serde(skip)]
    Unknown {
        /// Number of the kind.
        kind: u16,
        /// Encoded body.
        body: Vec<u8>,
    },
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submit {
    /// Caller and idempotency key.
    pub job: JobId,
    /// Service that runs it.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Team whose quota it uses.
    pub team: TeamId,
    /// Pool it runs in.
    pub pool: PoolId,
    /// Hash of the whole request body.
    pub body_hash: [u8; 32],
    /// Body or reference, at most 4 KiB; empty when the claim rides along and the body stays with the entry node.
    pub payload: Vec<u8>,
    /// False when it must run at most once.
    pub idempotent: bool,
    /// True when it runs as a task on a worker, false when it is a request to a minion.
    pub task: bool,
    /// Latest useful time of completion.
    pub deadline: UnixMillis,
    /// Declared demand.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u32,
    /// Claims the job at once: target and lease in milliseconds.
    pub claim: Option<(VmId, u32)>,
}

/// What came of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran. Holds the answer, at most 4 KiB.
    Done {
        /// Status code of the answer.
        status: u16,
        /// Answer body.
        answer: Vec<u8>,
    },
    /// It certainly did not run.
    NotRun {
        /// Why.
        reason: CompactString,
    },
    /// It started and failed.
    Failed {
        /// Why.
        reason: CompactString,
    },
    /// The holder can't tell whether it ran.
    Unknown {
        /// Why.
        reason: CompactString,
    },
}

/// Source of the evidence that settles an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// Task list of the worker, read after the lease had ended.
    TaskList,
    /// Explicit answer of the upstream about the idempotency key.
    UpstreamAnswer,
    /// Decision of an operator.
    Operator,
}

/// Kind of VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VmKind {
    /// Serves requests of one service.
    Minion,
    /// Runs tasks.
    Worker,
}

/// Facts about a VM that the platform states.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmFacts {
    /// The VM.
    pub vm: VmId,
    /// `ip:port` of its service.
    pub address: CompactString,
    /// Pool it joins when it is new; ignored for a known VM.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub centre: DataCentreId,
    /// Minion or worker.
    pub kind: VmKind,
    /// Total resources.
    pub capacity: Resources,
    /// Boot id.
    pub boot: BootId,
}

/// Why a VM drains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// Reboot as part of a wave.
    Wave(WaveId),
    /// Move to another pool.
    Move(PoolId),
    /// Reboot to repair it.
    Repair,
}
