//! Entries of a batch: the changes that nodes propose. Each entry takes effect only if its precondition holds in the
//! state at the offset of its batch.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cj_types::{
    BootId, ClassId, DataCentreId, Generation, JobId, Offset, OpId, PoolId, RackId, Resources,
    ServiceId, TeamId, Token, UnixMillis, VmId, WaveId,
};

/// One proposed change of the shared state.
///
/// In the log, the kind of an entry is the index of its variant. New variants are therefore added only at the end, just
/// before [`Entry::Unknown`], and a change of the fields of a kind needs a new kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub enum Entry {
    /// Changes nothing by itself; it is proposed so that the time of its batch advances fold time.
    Tick,
    /// Copies record `offset` of the `settings` stream into the region stream.
    SettingsCopy {
        /// Offset in the `settings` stream.
        offset: Offset,
        /// The record as read, including its signature. It may be undecodable.
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
        /// VM on which the attempt runs.
        target: VmId,
        /// Length of the lease in milliseconds of fold time.
        lease_ms: u32,
    },
    /// Extends the lease of a claim; proposed by its holder.
    Renew {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
        /// New length of the lease in milliseconds, from the current fold time.
        lease_ms: u32,
    },
    /// Reports the outcome of a claimed attempt; proposed by the holder of the claim.
    Finish {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// States that the lease of a claim has ended without a reported outcome.
    Expire {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
    },
    /// Sets the outcome of a job whose outcome is unknown, based on evidence.
    Resolve {
        /// The job.
        job: JobId,
        /// Token of the claim.
        token: Token,
        /// Outcome shown by the evidence.
        outcome: Outcome,
        /// Source of the evidence.
        evidence: Evidence,
    },
    /// Cancels a job at its caller's request.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Adds a VM, or updates what the platform reports about it.
    Register(VmFacts),
    /// Starts to drain a VM for a planned operation.
    Drain {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
        /// Operation that the drain prepares.
        purpose: Purpose,
    },
    /// States that no work is in flight on a draining VM any more.
    Drained {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
    },
    /// Starts the reboot of a drained VM. Rejected while the pool's availability budget or a forbidden window excludes
    /// it.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
    },
    /// States that a VM is up again after its reboot.
    Rebooted {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
        /// Boot id after the reboot, which differs from the one before.
        boot: BootId,
    },
    /// Moves a drained VM, or an idle VM of a spare pool, to another pool.
    Move {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
        /// Pool that the VM leaves.
        from: PoolId,
        /// Pool that the VM joins.
        to: PoolId,
    },
    /// Ends a drain without its operation. The VM is active again, or failed if it was drained for a repair.
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
        /// Boot id at the time of the probe, if the VM answered.
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
    /// Removes a VM that the platform has deleted or replaced.
    Remove {
        /// The VM.
        vm: VmId,
        /// Generation that the proposer saw.
        generation: Generation,
    },
    /// An entry of a later software version: its kind is unknown, or its body doesn't match the kind. It is kept as
    /// bytes, and a node that reads one stops proposing.
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
    /// Id of the job: caller and idempotency key.
    pub job: JobId,
    /// Service that runs the job.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Team whose quota the job uses.
    pub team: TeamId,
    /// Pool in which the job runs.
    pub pool: PoolId,
    /// Hash of the complete request body.
    pub body_hash: [u8; 32],
    /// Body or a reference to it, at most 4 KiB. Empty when `claim` is set and the entry node keeps the body.
    pub payload: Vec<u8>,
    /// True when the job may safely run more than once; otherwise it is run at most once.
    pub idempotent: bool,
    /// True when the job runs as a task on a worker, false when it is a request to a minion.
    pub task: bool,
    /// Latest time at which completion is still useful.
    pub deadline: UnixMillis,
    /// Declared resource demand.
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u32,
    /// Claim made together with the submission: target VM and length of the lease in milliseconds.
    pub claim: Option<(VmId, u32)>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The attempt ran to its end and returned an answer of at most 4 KiB.
    Done {
        /// Status code of the answer.
        status: u16,
        /// Answer body.
        answer: Vec<u8>,
    },
    /// The attempt certainly did not run.
    NotRun {
        /// Why.
        reason: CompactString,
    },
    /// The attempt started and failed.
    Failed {
        /// Why.
        reason: CompactString,
    },
    /// The holder of the claim can't tell whether the attempt ran.
    Unknown {
        /// Why.
        reason: CompactString,
    },
}

/// Source of the evidence about an unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// Task list of the worker, read after the lease had ended.
    TaskList,
    /// Explicit answer of the upstream to a query for the idempotency key.
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

/// Attributes of a VM as reported by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmFacts {
    /// The VM.
    pub vm: VmId,
    /// `ip:port` of its service.
    pub address: CompactString,
    /// Pool that a new VM joins; ignored for a VM that is already known.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub centre: DataCentreId,
    /// Minion or worker.
    pub kind: VmKind,
    /// Total resources of the VM.
    pub capacity: Resources,
    /// Boot id of the last start of the VM.
    pub boot: BootId,
}

/// Operation for which a VM is drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// Reboot as part of a wave.
    Wave(WaveId),
    /// Move to another pool.
    Move(PoolId),
    /// Reboot to repair it.
    Repair,
}
