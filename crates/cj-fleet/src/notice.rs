//! Situations that the planner reports and leaves to operators.

use std::time::Duration;

use derive_more::Display;

use cj_types::{OpId, PoolId, VmId, WaveId};

/// Something that needs attention but must not be forced.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Notice {
    /// A drain takes longer than its limit.
    #[display("{vm}: drain {op} has taken {} s, limit {} s", elapsed.as_secs(), limit.as_secs())]
    DrainOverLimit {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
        /// Time since the drain started.
        elapsed: Duration,
        /// Limit of the wave.
        limit: Duration,
    },
    /// A reboot takes longer than its limit.
    #[display("{vm}: reboot {op} has taken {} s, limit {} s", elapsed.as_secs(), limit.as_secs())]
    RebootOverLimit {
        /// The VM.
        vm: VmId,
        /// The operation.
        op: OpId,
        /// Time since the permission.
        elapsed: Duration,
        /// Limit of the wave.
        limit: Duration,
    },
    /// Many VMs of a pool are missing from the list, and no probe confirms it.
    #[display("pool {pool}: {missing} of {size} VMs are missing from the list; waiting for probes")]
    ImplausibleList {
        /// The pool.
        pool: PoolId,
        /// VMs missing from the list without a probe.
        missing: u32,
        /// VMs of the pool.
        size: u32,
    },
    /// A rack or data centre is down; repairs of its VMs wait for one trial.
    #[display("{domain}: all VMs failed; one of them is repaired first")]
    DomainDown {
        /// Rack or data centre.
        domain: String,
    },
    /// A VM fails repeatedly, but too many VMs of its pool are out of rotation already.
    #[display(
        "{vm}: failed repeatedly, but pool {pool} has {out_of_rotation} VMs out of rotation already"
    )]
    OutOfRotationLimit {
        /// The VM.
        vm: VmId,
        /// Its pool.
        pool: PoolId,
        /// VMs out of rotation.
        out_of_rotation: u32,
    },
    /// A pool lacks VMs that the spare pool can't provide.
    #[display("pool {pool}: {missing} VMs missing and no suitable spare VM")]
    UncoveredDeficit {
        /// The pool.
        pool: PoolId,
        /// VMs that remain missing.
        missing: u32,
    },
    /// A pool can't take part in a wave, since its availability budget is its size.
    #[display("pool {pool}: wave {wave} can't start, all {size} VMs have to be available")]
    NoSlack {
        /// The pool.
        pool: PoolId,
        /// The wave.
        wave: WaveId,
        /// VMs of the pool.
        size: u32,
    },
    /// The platform lists a VM under a pool that no setting names.
    #[display("{vm}: pool {pool} isn't set up")]
    UnknownPool {
        /// The VM.
        vm: VmId,
        /// The pool.
        pool: PoolId,
    },
}
