//! The initial reconciliation of a service: from then on the owner knows all runs that earlier owners started there.

use std::collections::BTreeSet;

use cj_types::ServiceId;
use log::info;

use crate::sched::{
    event::{VmRow, VmState},
    scheduler::Scheduler,
    worker::Worker,
};

impl Scheduler {
    /// True when the initial reconciliation of a service is done: none of its workers can run tasks of earlier owners that are
    /// unknown to this owner. It counts only once no other owner can have acted before it: a worker that is gone may be one whose
    /// ends the next owner has read.
    pub(super) fn is_reconciled(&mut self, service: &ServiceId) -> bool {
        if !self.reconciled.contains_key(service) && self.knows_all_runs(service) {
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

    /// Logs how many workers keep the initial reconciliation of a service open.
    pub(super) fn log_unreconciled(&self, service: &ServiceId) {
        if self.reconciled.contains_key(service) {
            return;
        }
        let workers = || self.workers.values().filter(|worker| worker.service == *service);
        let unlisted = workers().filter(|worker| !worker.is_reconciled() && !worker.known_shutdown);
        let open = workers().filter(|worker| worker.has_unknown_runs());
        let left = self.lease_horizon.saturating_duration_since(self.now.mono);
        info!(
            target: "decision",
            "pool={service} choice=reconcile unlisted={} open={} lease_left_ms={} epoch={}",
            unlisted.count(), open.count(), left.as_millis(), self.epoch
        );
    }

    /// True when all workers of a service are listed, or the leases of earlier owners have ended.
    fn knows_all_runs(&self, service: &ServiceId) -> bool {
        let unknown = |worker: &Worker| {
            worker.service == *service && !worker.runs_known() && !worker.known_shutdown
        };
        let unregistered = |row: &VmRow| {
            let runs = row.pool == *service && row.state == VmState::Up;
            let worker = row.worker.as_ref().filter(|_| runs);
            worker.is_some_and(|id| !self.worker_keys.contains_key(id))
        };
        let all_listed = self.vms_known
            && !self.workers.values().any(unknown)
            && !self.vms.values().any(unregistered);
        // What a worker left open is settled once its leases have lapsed.
        let open = |worker: &Worker| {
            worker.service == *service && worker.has_unknown_runs() && !self.has_lapsed(worker)
        };
        all_listed || (self.is_lease_over(self.lease_horizon) && !self.workers.values().any(open))
    }
}
