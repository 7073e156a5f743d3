//! Forbidden windows and failure-domain rules of the waves that include a pool.

use std::time::Duration;

use compact_str::{CompactString, format_compact};

use cj_record::Purpose;
use cj_settings::{DomainRule, WaveSettings};
use cj_types::{PoolId, VmId, WaveId};

use super::{EntrySource, reject};
use crate::{
    rules::DEFAULT_REBOOT_LIMIT,
    state::{State, Vm, VmPhase},
};

impl State {
    fn waves_including<'a>(
        &'a self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (&'a WaveId, &'a WaveSettings)> {
        self.fleet.waves.iter().filter(|(_, wave)| wave.pools.contains(pool))
    }

    /// Checks that an operation that takes up to `duration(wave)` overlaps no forbidden window of a wave that includes
    /// the pool. The checked period starts at fold time, and its end is computed from the later of fold time and the
    /// proposer's clock: fold time may lag after an outage, and the operation must not run into a window because of
    /// that.
    pub(super) fn check_windows<F>(
        &self,
        source: EntrySource<'_>,
        pool: &PoolId,
        duration: F,
    ) -> Result<(), CompactString>
    where
        F: Fn(&WaveSettings) -> Duration,
    {
        let latest = self.now.max(source.at);
        for (id, wave) in self.waves_including(pool) {
            let end = latest + duration(wave);
            if wave.forbidden.iter().any(|window| window.overlaps(self.now, end)) {
                return reject(format_compact!("a forbidden window of wave `{id}` is too near"));
            }
        }
        Ok(())
    }

    /// Longest reboot limit of the waves that include the pool, or the default.
    pub(super) fn reboot_limit(&self, pool: &PoolId) -> Duration {
        let limits = self.waves_including(pool).map(|(_, wave)| wave.reboot_limit);
        limits.max().unwrap_or(DEFAULT_REBOOT_LIMIT)
    }

    /// Checks that all VMs of the pool in planned operations are in the failure domain of `vm`. Repairs are exempt,
    /// since they take no working VM out of service.
    pub(super) fn check_failure_domain(&self, id: &VmId, vm: &Vm) -> Result<(), CompactString> {
        let Some(rule) =
            self.waves_including(&vm.pool).map(|(_, wave)| wave.domain).max_by_key(strictness)
        else {
            return Ok(());
        };
        let disrupted =
            self.members(&vm.pool).filter(|(other, v)| *other != id && in_planned_operation(v));
        for (other, other_vm) in disrupted {
            let same_domain = match rule {
                DomainRule::Any => true,
                DomainRule::Rack => other_vm.centre == vm.centre && other_vm.rack == vm.rack,
                DomainRule::DataCentre => other_vm.centre == vm.centre,
            };
            if !same_domain {
                return reject(format_compact!("VM `{other}` of another failure domain is busy"));
            }
        }
        Ok(())
    }
}

/// Rank of a rule by strictness. The rack rule is the strictest, since a rack is the smallest domain.
fn strictness(rule: &DomainRule) -> u8 {
    match rule {
        DomainRule::Any => 0,
        DomainRule::DataCentre => 1,
        DomainRule::Rack => 2,
    }
}

/// Whether a working VM is out of service for a planned operation.
fn in_planned_operation(vm: &Vm) -> bool {
    match &vm.phase {
        VmPhase::Draining { purpose, .. }
        | VmPhase::Drained { purpose, .. }
        | VmPhase::Rebooting { purpose, .. } => *purpose != Purpose::Repair,
        _ => false,
    }
}
