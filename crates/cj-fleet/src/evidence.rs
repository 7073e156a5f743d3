//! What one node has observed outside the log.

use std::{collections::BTreeMap, time::Duration};

use cj_record::VmFacts;
use cj_types::{BootId, PoolId, UnixMillis, VmId};

/// Probes older than this are not used: the VM may have changed since.
pub const PROBE_MAX_AGE: Duration = Duration::from_secs(30);

/// Observations of one node that decisions rest on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Requests and tasks in flight per VM, summed over all live nodes. A VM without an entry has an unknown number in
    /// flight; only an explicit zero lets a drain end.
    pub in_flight: BTreeMap<VmId, u32>,
    /// Results of direct probes.
    pub probes: BTreeMap<VmId, Probe>,
    /// VMs that the work waiting for each pool could use now; pools without an entry need their target only.
    pub demand: BTreeMap<PoolId, u32>,
    /// VMs that the platform's list reports as live or leaving: a VM whose drain was given up stays listed as leaving for
    /// a while. The list lags; an empty list states nothing.
    pub listed: Vec<VmFacts>,
}

/// Result of a direct probe of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// When the probe ended.
    pub at: UnixMillis,
    /// True when the VM answered and reported itself live.
    pub healthy: bool,
    /// Boot id, when the VM or the platform stated one.
    pub boot: Option<BootId>,
}

impl Evidence {
    /// The probe of a VM, unless it's too old or was made before `after`.
    pub fn probe(&self, vm: &VmId, after: UnixMillis, now: UnixMillis) -> Option<Probe> {
        let probe = self.probes.get(vm).copied()?;
        (probe.at >= after && now.since(probe.at) <= PROBE_MAX_AGE).then_some(probe)
    }
}
