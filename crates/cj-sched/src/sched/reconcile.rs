//! The initial reconciliation of a service: from then on the owner knows all runs that earlier owners started there.

use std::collections::BTreeSet;

use cj_types::ServiceId;
use derive_more::Display;
use log::info;

use crate::sched::{
    event::{VmState, WorkerId},
    scheduler::Scheduler,
    worker::Worker,
};

/// Number of workers that a log line names at most.
const MAX_NAMED_WORKERS: usize = 8;

/// Why the runs that earlier owners started in a service are known. Log lines print the `display` texts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Reconciliation {
    /// All workers are listed or gone.
    #[display("listed")]
    WorkersListed,
    /// Some workers aren't listed, and the leases of their runs have ended.
    #[display("leases_ended")]
    LeasesEnded,
}

impl Scheduler {
    /// True when the initial reconciliation of a service is done: none of its workers can run tasks of earlier owners that are
    /// unknown to this owner. It counts only once no other owner can have acted before it: a worker that is gone may be one whose
    /// ends the next owner has read.
    pub(super) fn is_reconciled(&mut self, service: &ServiceId) -> bool {
        if !self.reconciled.contains_key(service)
            && let Some(cause) = self.reconciliation_of(service)
        {
            self.log_reconciled(service, cause);
            self.reconciled.insert(service.clone(), self.now.mono);
        }
        self.reconciled.get(service).is_some_and(|at| self.was_sole_owner(*at))
    }

    /// True when the initial reconciliation of all services is done.
    pub(super) fn is_fleet_reconciled(&mut self) -> bool {
        let pools = self.vms.values().map(|row| &row.pool);
        let services: BTreeSet<&ServiceId> =
            self.workers.values().map(|worker| &worker.service).chain(pools).collect();
        let services: Vec<ServiceId> = services.into_iter().cloned().collect();
        services.iter().all(|service| self.is_reconciled(service))
    }

    /// Logs what keeps the older tasks of a service waiting.
    pub(super) fn log_unreconciled(&self, service: &ServiceId) {
        if self.reconciled.contains_key(service) && !self.may_lack_records() {
            return;
        }
        let open = self.workers.values().filter(|worker| worker.service == *service);
        let open = open.filter(|worker| worker.has_unknown_runs());
        let left = self.lease_horizon.saturating_duration_since(self.now.mono);
        info!(
            target: "decision",
            "pool={service} choice=reconcile unlisted={} open={} lease_left_ms={} records_read={} epoch={}",
            self.unlisted_in(service).count(), open.count(), left.as_millis(), !self.may_lack_records(), self.epoch
        );
    }

    /// Workers of a service that may run tasks of earlier owners and that this owner hasn't listed.
    fn unlisted_in(&self, service: &ServiceId) -> impl Iterator<Item = &WorkerId> {
        let of_service = self.workers.values().filter(move |worker| worker.service == *service);
        let unlisted =
            of_service.filter(|worker| !worker.is_reconciled() && !worker.known_shutdown);
        unlisted.map(|worker| &worker.id).chain(self.unregistered_in(service))
    }

    /// Workers on running VMs of a service's pool that aren't registered.
    fn unregistered_in(&self, service: &ServiceId) -> impl Iterator<Item = &WorkerId> {
        let rows = self.vms.values();
        let running = rows.filter(move |row| row.pool == *service && row.state == VmState::Up);
        let workers = running.filter_map(|row| row.worker.as_ref());
        workers.filter(|id| !self.worker_keys.contains_key(*id))
    }

    /// Logs why all runs of a service are known, and the workers that weren't listed for it.
    fn log_reconciled(&self, service: &ServiceId, cause: Reconciliation) {
        let unlisted: Vec<&str> = self.unlisted_in(service).map(|id| id.0.as_str()).collect();
        let named = unlisted.len().min(MAX_NAMED_WORKERS);
        info!(
            target: "decision",
            "pool={service} choice=reconciled cause={cause} unlisted={} workers={} epoch={}",
            unlisted.len(), unlisted[..named].join(","), self.epoch
        );
    }

    /// Why all runs of a service are known: all workers are listed, or the leases of earlier owners have ended. `None` while
    /// some may be unknown.
    fn reconciliation_of(&self, service: &ServiceId) -> Option<Reconciliation> {
        let unknown = |worker: &Worker| {
            worker.service == *service && !worker.runs_known() && !worker.known_shutdown
        };
        let all_listed = self.vms_known
            && !self.workers.values().any(unknown)
            && self.unregistered_in(service).next().is_none();
        // What a worker left open is settled once its leases have lapsed.
        let open = |worker: &Worker| {
            worker.service == *service && worker.has_unknown_runs() && !self.has_lapsed(worker)
        };
        if all_listed {
            return Some(Reconciliation::WorkersListed);
        }
        let leases_ended =
            self.is_lease_over(self.lease_horizon) && !self.workers.values().any(open);
        leases_ended.then_some(Reconciliation::LeasesEnded)
    }
}
