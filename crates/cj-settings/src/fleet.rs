//! Published settings of the fleet as checked types.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use cj_types::{ClassId, OfficeId, Percent, PoolId, ServiceId, TeamId, UnixMillis, WaveId};

/// All published settings in force.
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
    /// Availability budget: number of VMs that planned acts must leave active.
    pub min_available: u32,
    /// Number of VMs that the pool wants; it may borrow from a spare pool when it has fewer active ones.
    pub target: u32,
    /// Classes of work that the pool accepts.
    pub classes: Vec<ClassId>,
    /// True for a spare pool, which lends its VMs.
    pub spare: bool,
    /// Spare pool that it may borrow from.
    pub borrows: Option<PoolId>,
    /// Precedence when several pools want to borrow; lower goes first.
    pub precedence: u32,
    /// Shortest time between a move and the move that undoes it.
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
    /// Longest useful time from arrival to answer.
    pub deadline: Duration,
    /// True when a request may safely run more than once.
    pub idempotent: bool,
    /// True when accepted work must never be dropped.
    pub must_not_drop: bool,
    /// True when the work runs as a task on a worker, false when it is a request to a minion.
    pub task: bool,
    /// Guaranteed share of a pool's slots.
    pub share: Percent,
    /// Largest share of a pool's slots.
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
    /// Largest share of a class that the team may use while others wait.
    pub quota: Percent,
    /// Weight in fair queueing.
    pub weight: u32,
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Office that owns the service.
    pub office: OfficeId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Concurrent requests per minion.
    pub slots: u32,
    /// Connections per minion, over all entry nodes.
    pub connections: u32,
}

/// Settings of one maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSettings {
    /// Office that owns the wave.
    pub office: OfficeId,
    /// Pools whose VMs are rebooted.
    pub pools: Vec<PoolId>,
    /// Earliest start; VMs that were rebooted later than this are done.
    pub start: UnixMillis,
    /// Daily windows in which no VM may be draining or rebooting.
    pub forbidden: Vec<DailyWindow>,
    /// Longest expected drain.
    pub drain_limit: Duration,
    /// Longest expected reboot.
    pub reboot_limit: Duration,
    /// Only one failure domain of this kind at a time per pool.
    pub domain: DomainRule,
}

/// A daily window in UTC; it wraps past midnight when `from` is later than `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DailyWindow {
    /// Start, seconds after midnight.
    pub from: u32,
    /// End, seconds after midnight, exclusive.
    pub to: u32,
}

impl DailyWindow {
    const DAY_SECS: u64 = 86_400;

    /// True when any moment of `start..=end` lies in the window.
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
        // The span may reach into the window of the day before, the same day or the day after.
        [0, Self::DAY_SECS, 2 * Self::DAY_SECS].iter().any(|shift| {
            let (first, last) = (first + Self::DAY_SECS, last + Self::DAY_SECS);
            first < to + shift && from + shift <= last
        })
    }
}

/// Failure-domain rule of a wave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DomainRule {
    /// Any VMs at the same time.
    Any,
    /// VMs of one rack at a time per pool.
    #[default]
    Rack,
    /// VMs of one data centre at a time per pool.
    DataCentre,
}
