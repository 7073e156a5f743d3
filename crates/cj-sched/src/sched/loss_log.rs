//! Log lines of the decisions that give up runs: each names the age of the owner's last acknowledged heartbeat and what
//! the decision rests on.

use std::{fmt::Display, time::Instant};

use log::info;

use crate::sched::{
    evidence::{IncarnationEvidence, RunEvidence},
    scheduler::Scheduler,
    work::TaskRef,
    worker::WorkerKey,
};

impl Scheduler {
    /// Logs that the leases of an unresponsive worker have ended.
    pub(super) fn log_lapse(&self, key: WorkerKey) {
        let worker = &self.workers[key];
        info!(
            target: "decision",
            "worker={} choice=lapse runs={} {}", worker.id, worker.runs.len(), self.loss_basis(key)
        );
    }

    /// Logs that the incarnation of a worker has ended.
    pub(super) fn log_end_life(&self, key: WorkerKey, evidence: IncarnationEvidence) {
        let worker = &self.workers[key];
        info!(
            target: "decision",
            "worker={} choice=end_life runs={} cause=\"{evidence}\" {}",
            worker.id, worker.runs.len(), self.loss_basis(key)
        );
    }

    /// Logs that a run is given up. What a lost worker is judged by is in the line of the worker before it.
    pub(super) fn log_loss(&self, at: TaskRef, evidence: RunEvidence) {
        let Some(placement) = self.task(at).placement() else { return };
        let worker = &self.workers[placement.worker];
        let basis = match evidence {
            RunEvidence::IncarnationEnded => String::new(),
            RunEvidence::LeaseExpired => {
                format!(" lease_ended_ms={}", self.since(worker.last_lease_end()))
            }
            RunEvidence::NotListed => {
                format!(" command_age_ms={}", self.since(Some(placement.command_at)))
            }
        };
        info!(
            target: "decision",
            "task={} run={} worker={} choice=lose cause={evidence} epoch={} heartbeat_age_ms={}{basis}",
            self.jobs[at.job].task_id(at), placement.run, worker.id, self.epoch, self.heartbeat_age()
        );
    }

    /// What is known of a worker and of this ownership when its runs are given up.
    fn loss_basis(&self, key: WorkerKey) -> String {
        let worker = &self.workers[key];
        format!(
            "epoch={} heartbeat_age_ms={} missed_listings={} listing_age_ms={} lease_ended_ms={} vms_age_ms={}",
            self.epoch,
            self.heartbeat_age(),
            worker.missed_listings,
            self.since(worker.last_answer),
            self.since(worker.last_lease_end()),
            self.since(self.vms_known.then_some(self.vms_requested)),
        )
    }

    /// Time since `at` in ms, negative before it; `none` without `at`.
    fn since(&self, at: Option<Instant>) -> impl Display + use<> {
        let now = self.now.mono;
        at.map_or_else(
            || "none".to_owned(),
            |at| match now.checked_duration_since(at) {
                Some(past) => past.as_millis().to_string(),
                None => format!("-{}", (at - now).as_millis()),
            },
        )
    }
}
