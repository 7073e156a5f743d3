//! Types of the published settings of the fleet.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use cj_types::{ClassId, OfficeId, Percent, PoolId, ServiceId, TeamId, UnixMillis, WaveId};

/// All published settings that are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSettings {
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolSettings>,
    /// Classes of work by name.
    pub classes: BTreeMap<ClassId, ClassSettings>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSettings>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSettings>,
    /// Maintenance waves by name.
    pub waves: BTreeMap<WaveId, WaveSettings>,
}

/// Settings of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSettings {
    /// Office that owns the pool.
    pub office: OfficeId,
    /// Availability budget: number of VMs that planned operations must leave active.
    pub min_available: u32,
    /// Target number of VMs. With fewer active VMs, the pool may borrow from a spare pool.
    pub target: u32,
    /// Classes of work that the pool accepts.
    pub classes: Vec<ClassId>,
    /// True for a spare pool, which lends its VMs.
    pub spare: bool,
    /// Spare pool that this pool may borrow from.
    pub borrows: Option<PoolId>,
    /// Precedence among several pools that need to borrow; lower values go first.
    pub precedence: u32,
    /// Shortest time between a move of a VM and the move back.
    pub hysteresis: Duration,
    /// Team that is billed for borrowed VMs.
    pub owner: TeamId,
}

/// Settings of one class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassSettings {
    /// Office that owns the class.
    pub office: OfficeId,
    /// Urgency; 0 is the most urgent.
    pub urgency: u32,
    /// Longest time from arrival to answer for which the answer is still useful.
    pub deadline: Duration,
    /// True when a request may safely run more than once.
    pub idempotent: bool,
    /// True when accepted work must never be dropped.
    pub must_not_drop: bool,
    /// True when the work runs as tasks on workers, false when it is requests to minions.
    pub task: bool,
    /// Guaranteed share of a pool's slots.
    pub share: Percent,
    /// Maximum share of a pool's slots.
    pub cap: Percent,
}

impl ClassSettings {
    /// True when each request has to be recorded in the log before it runs.
    pub fn requires_record(&self) -> bool {
        !self.idempotent || self.must_not_drop
    }
}

/// Settings of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSettings {
    /// Office that owns the team.
    pub office: OfficeId,
    /// Maximum share of a class that the team may use while other teams wait.
    pub quota: Percent,
    /// Weight in fair queueing.
    pub weight: u32,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Office that owns the service.
    pub office: OfficeId,
    /// Pool that serves the service.
    pub pool: PoolId,
    /// Maximum concurrent requests per minion.
    pub slots: u32,
    /// Maximum connections per minion, over all entry nodes.
    pub connections: u32,
}

/// Settings of one maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSettings {
    /// Office that owns the wave.
    pub office: OfficeId,
    /// Pools whose VMs are rebooted.
    pub pools: Vec<PoolId>,
    /// Earliest start of the wave. VMs that were rebooted after this time are complete.
    pub start: UnixMillis,
    /// Daily windows in which no VM may be draining or rebooting.
    pub forbidden: Vec<DailyWindow>,
    /// Longest expected drain.
    pub drain_limit: Duration,
    /// Longest expected reboot.
    pub reboot_limit: Duration,
    /// Kind of failure domain of which only one at a time is in maintenance per pool.
    pub domain: DomainRule,
}

/// A daily time window in UTC. It extends past midnight when `to` isn't later than `from`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DailyWindow {
    /// Start, seconds after midnight.
    pub from: u32,
    /// End, seconds after midnight, exclusive.
    pub to: u32,
}

impl DailyWindow {
    const DAY_SECS: u64 = 86_400;

    /// True when any time in `start..=end` is in the window.
    pub fn overlaps(self, start: UnixMillis, end: UnixMillis) -> bool {
        if end.since(start) >= Duration::from_secs(Self::DAY_SECS) {
            return true;
        }
        let first = start.0 / 1000 % Self::DAY_SECS;
        let last = first + end.since(start).as_millis().div_ceil(1000) as u64;
        let (from, mut to) = (u64::from(self.from), u64::from(self.to));
        if to <= from {
            to += Self::DAY_SECS;
        }
        // The time span may overlap the window of the day before, of the same day or of the day after.
        [0, Self::DAY_SECS, 2 * Self::DAY_SECS].iter().any(|shift| {
            let (first, last) = (first + Self::DAY_SECS, last + Self::DAY_SECS);
            first < to + shift && from + shift <= last
        })
    }
}

/// Which VMs of a pool a wave may take out of service at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DomainRule {
    /// Any VMs.
    Any,
    /// Only VMs of the same rack.
    #[default]
    Rack,
    /// Only VMs of the same data centre.
    DataCentre,
}
