//! Workers that register, start anew under their ids, or leave.

use log::info;

use crate::sched::{
    event::{WorkerId, WorkerRegistration},
    evidence::IncarnationEvidence,
    scheduler::Scheduler,
    worker::{Worker, WorkerKey},
};

impl Scheduler {
    /// Handles a registration that is new or has changed.
    pub(super) fn register_worker(&mut self, registration: WorkerRegistration) {
        let now = self.now.mono;
        self.place_due = true;
        let Some(&key) = self.worker_keys.get(&registration.id) else {
            info!(target: "decision", "worker={} choice=add service={}", registration.id, registration.service);
            let id = registration.id.clone();
            let mut worker = Worker::new(registration, now);
            worker.calls = self.departed.take(&id);
            worker.expect_late_calls(now, self.limits.longest_lease());
            let key = self.workers.insert(worker);
            self.worker_keys.insert(id, key);
            self.stop_unanswered_starts(key);
            return;
        };
        let restarted = registration
            .started_at
            .is_some_and(|start| self.workers[key].started_at.is_some_and(|known| start > known));
        if restarted {
            self.end_incarnation(key, registration.started_at, IncarnationEvidence::Registered);
        }
        let was_draining = self.workers[key].draining;
        self.workers[key].update(registration, now);
        if !self.workers[key].is_reconciled() {
            self.workers[key].list_by(now);
        }
        if self.workers[key].draining && !was_draining {
            self.stop_for_drain(key);
        }
    }

    /// Handles a registration that has expired or was removed.
    pub(super) fn unregister_worker(&mut self, id: &WorkerId) {
        if let Some(&key) = self.worker_keys.get(id) {
            self.workers[key].registered = false;
            info!(target: "decision", "worker={id} choice=unlist runs={}", self.workers[key].runs.len());
        }
    }

    /// Forgets a worker without runs, but for what a later incarnation under its id may carry out.
    pub(super) fn forget_worker(&mut self, key: WorkerKey) {
        let Some(mut worker) = self.workers.remove(key) else { return };
        self.worker_keys.remove(&worker.id);
        let (now, longest) = (self.now.mono, self.limits.longest_lease());
        if let Some(listing) = worker.listing {
            worker.calls.miss_listing(listing, now);
        }
        self.departed.insert(worker.id, worker.calls, now, longest);
    }
}
