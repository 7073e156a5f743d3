//! Observations that one node makes outside the log: probes, the platform's VM list and work in flight.

use std::{collections::BTreeMap, time::Duration};

use cj_record::VmFacts;
use cj_types::{BootId, PoolId, UnixMillis, VmId};

/// Maximum age of a probe result. Older results are ignored, since the VM may have changed in the meantime.
pub const PROBE_MAX_AGE: Duration = Duration::from_secs(30);

/// Observations of one node, the planner's input besides the shared state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Number of requests and tasks in flight per VM, summed over all live nodes. For a VM without an entry the number
    /// is unknown; only an explicit zero allows a drain to complete.
    pub in_flight: BTreeMap<VmId, u32>,
    /// Latest direct probe of each VM.
    pub probes: BTreeMap<VmId, Probe>,
    /// Number of VMs that the open work of each pool could use now. A pool without an entry needs only its target.
    pub demand: BTreeMap<PoolId, u32>,
    /// VMs that the platform lists as live or leaving. Leaving VMs are included because a VM whose drain was cancelled
    /// stays listed as leaving for a while. The list lags behind; an empty list carries no information.
    pub listed: Vec<VmFacts>,
}

/// Result of a direct probe of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Time of the probe.
    pub at: UnixMillis,
    /// Whether the VM answered and did not report itself as down.
    pub healthy: bool,
    /// Boot id, if the VM or the platform reported one.
    pub boot: Option<BootId>,
}

impl Evidence {
    /// Returns the latest probe of a VM, unless it is older than [`PROBE_MAX_AGE`] or was made before `after`.
    pub fn probe(&self, vm: &VmId, after: UnixMillis, now: UnixMillis) -> Option<Probe> {
        let probe = self.probes.get(vm).copied()?;
        (probe.at >= after && now.since(probe.at) <= PROBE_MAX_AGE).then_some(probe)
    }
}
