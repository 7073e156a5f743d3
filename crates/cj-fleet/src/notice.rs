//! Conditions that the planner reports to operators and does not resolve by itself.

use std::time::Duration;

use derive_more::Display;

use cj_types::{OpId, PoolId, VmId, WaveId};

/// A condition that needs an operator's attention. The planner takes no forced action on it.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Notice {
    /// A drain has exceeded its time limit.
    #[display("{vm}: drain {op} has taken {} s, limit {} s", elapsed.as_secs(), limit.as_secs())]
    DrainOverLimit {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
        /// Time since the start of the drain.
        elapsed: Duration,
        /// Limit of the wave.
        limit: Duration,
    },
    /// A reboot has exceeded its time limit.
    #[display("{vm}: reboot {op} has taken {} s, limit {} s", elapsed.as_secs(), limit.as_secs())]
    RebootOverLimit {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
        /// Time since the reboot was recorded as allowed.
        elapsed: Duration,
        /// Limit of the wave.
        limit: Duration,
    },
    /// So many VMs of a pool are missing from the list that the list is not trusted until probes confirm the failures.
    #[display("pool {pool}: {missing} of {size} VMs are missing from the list; waiting for probes")]
    ImplausibleList {
        /// The pool.
        pool: PoolId,
        /// Number of VMs missing from the list.
        missing: u32,
        /// Total number of VMs in the pool.
        size: u32,
    },
    /// All VMs of a rack or data centre have failed. One VM is repaired first, as a trial; the others wait for the
    /// result.
    #[display("{domain}: all VMs failed; one of them is repaired first")]
    DomainDown {
        /// Id of the rack or data centre.
        domain: String,
    },
    /// A VM fails repeatedly, but its pool has reached the limit of VMs out of rotation.
    #[display(
        "{vm}: failed repeatedly, but pool {pool} has {out_of_rotation} VMs out of rotation already"
    )]
    OutOfRotationLimit {
        /// The VM.
        vm: VmId,
        /// Its pool.
        pool: PoolId,
        /// Number of VMs of the pool that are out of rotation.
        out_of_rotation: u32,
    },
    /// A pool has a deficit that the spare pool can't cover.
    #[display("pool {pool}: {missing} VMs missing and no suitable spare VM")]
    UncoveredDeficit {
        /// The pool.
        pool: PoolId,
        /// Number of VMs still missing.
        missing: u32,
    },
    /// A pool can't take part in a wave, because its availability budget requires all of its VMs.
    #[display("pool {pool}: wave {wave} can't start, all {size} VMs have to be available")]
    NoSlack {
        /// The pool.
        pool: PoolId,
        /// The wave.
        wave: WaveId,
        /// Total number of VMs in the pool.
        size: u32,
    },
    /// The platform lists a VM in a pool that has no settings.
    #[display("{vm}: pool {pool} isn't set up")]
    UnknownPool {
        /// The VM.
        vm: VmId,
        /// The pool.
        pool: PoolId,
    },
}
