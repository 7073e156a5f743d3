//! Forbidden windows and failure domains of the waves that cover a pool.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use cj_record::Purpose;
use cj_settings::{DomainRule, WaveSettings};
use cj_types::{PoolId, VmId, WaveId};

use super::{Source, reject};
use crate::{
    rules::DEFAULT_REBOOT_LIMIT,
    state::{State, Vm, VmPhase},
};

impl State {
    fn waves_of<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a WaveId, &'a WaveSettings)> {
        self.fleet.waves.iter().filter(|(_, wave)| wave.pools.contains(pool))
    }

    /// Checks that an act that takes up to `limit(wave)` avoids the forbidden windows of every wave that covers the
    /// pool. The span starts at fold time and ends after the later of fold time and the proposer's time: fold time may
    /// lag after an outage, and a window must not be entered because of that.
    pub(super) fn check_windows<F>(
        &self,
        source: Source<'_>,
        pool: &PoolId,
        limit: F,
    ) -> Result<(), CompactString>
    where
        F: Fn(&WaveSettings) -> Duration,
    {
        let latest = self.now.max(source.at);
        for (id, wave) in self.waves_of(pool) {
            let end = latest + limit(wave);
            if wave.forbidden.iter().any(|window| window.overlaps(self.now, end)) {
                return reject(format_compact!("a forbidden window of wave `{id}` is too near"));
            }
        }
        Ok(())
    }

    /// Longest reboot that the waves of the pool expect.
    pub(super) fn reboot_limit(&self, pool: &PoolId) -> Duration {
        let limits = self.waves_of(pool).map(|(_, wave)| wave.reboot_limit);
        limits.max().unwrap_or(DEFAULT_REBOOT_LIMIT)
    }

    /// Checks that all VMs of the pool in a planned act share the failure domain of `vm`. Repairs don't count, since
    /// they take no working VM out of service.
    pub(super) fn check_domain(&self, id: &VmId, vm: &Vm) -> Result<(), CompactString> {
        let Some(rule) = self.waves_of(&vm.pool).map(|(_, wave)| wave.domain).max_by_key(rank)
        else {
            return Ok(());
        };
        let planned = self.members(&vm.pool).filter(|(other, v)| *other != id && is_planned(v));
        for (other, busy) in planned {
            let same = match rule {
                DomainRule::Any => true,
                DomainRule::Rack => busy.centre == vm.centre && busy.rack == vm.rack,
                DomainRule::DataCentre => busy.centre == vm.centre,
            };
            if !same {
                return reject(format_compact!("VM `{other}` of another failure domain is busy"));
            }
        }
        Ok(())
    }
}

/// A rack is the smaller domain, so its rule is the stricter one.
fn rank(rule: &DomainRule) -> u8 {
    match rule {
        DomainRule::Any => 0,
        DomainRule::DataCentre => 1,
        DomainRule::Rack => 2,
    }
}

fn is_planned(vm: &Vm) -> bool {
    match &vm.phase {
        VmPhase::Draining { purpose, .. }
        | VmPhase::Drained { purpose, .. }
        | VmPhase::Rebooting { purpose, .. } => *purpose != Purpose::Repair,
        _ => false,
    }
}
