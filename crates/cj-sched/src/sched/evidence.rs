//! Decides that runs and lives of workers have ended, from a closed list of evidence.
//!
//! An answer to a call that takes a VM off is none: the platform answers "done" also when an earlier call did it, and the
//! VM may run another life since. A life that is ended too early has its tasks started a second time while they still run.

use std::time::Instant;

use cj_types::VmId;
use derive_more::Display;
use log::info;

use crate::sched::{
    event::{VmRow, VmState, WorkerId},
    scheduler::Scheduler,
    work::TaskRef,
    worker::WorkerKey,
};

/// What shows that a life of a worker is over.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum IncarnationEvidence {
    /// The worker registered itself with a later start.
    #[display("registered with a later start")]
    Registered,
    /// The worker's listing has another start.
    #[display("listed with another start")]
    Listed,
    /// Another life answers at the worker's address.
    #[display("another life answers")]
    OtherIncarnation,
    /// The worker is silent, and no running VM in a later list of VMs names it.
    #[display("no running VM names it")]
    NotInVmList,
    /// The VM was called off, and a list of VMs that was asked for after the answer doesn't have the worker on it.
    #[display("its VM was taken off")]
    ShutDown,
}

/// What shows that a run is over although no end of it was listed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum RunEvidence {
    /// The worker's life is over.
    #[display("life over")]
    IncarnationEnded,
    /// The last lease that the worker can hold has ended.
    #[display("lease ended")]
    LeaseExpired,
    /// A listing that was asked for after the last answer about the run doesn't name it.
    #[display("not listed")]
    NotListed,
}

/// One life of a worker. An unanswered call may have been carried out long before it is answered, and the VM may run
/// another life by then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    worker: WorkerId,
    started_at: Option<u64>,
}

/// A VM whose move or maintenance was answered as done.
#[derive(Clone, Debug)]
pub(super) struct VmShutdown {
    /// The life on it when the call was decided.
    incarnation: Incarnation,
    answered: Instant,
}

impl Scheduler {
    /// The life of the worker on a VM.
    pub(super) fn incarnation_on(&self, vm: &VmId) -> Option<Incarnation> {
        let worker = self.vms.get(vm)?.worker.clone()?;
        let key = self.worker_keys.get(&worker);
        let started_at = key.and_then(|key| self.workers[*key].started_at);
        Some(Incarnation { worker, started_at })
    }

    /// Notes that the platform calls a VM taken off. What ran there counts as running until the next list of VMs.
    pub(super) fn expect_shutdown(&mut self, vm: &VmId, incarnation: Option<Incarnation>) {
        let Some(incarnation) = incarnation else { return };
        if let Some(key) = self.current_worker(&incarnation) {
            let worker = &mut self.workers[key];
            worker.vm_draining = true;
            if worker.runs.is_empty() {
                worker.next_listing = None;
            }
        }
        self.shutdowns.insert(vm.clone(), VmShutdown { incarnation, answered: self.now.mono });
    }

    /// Reads from a list of VMs, asked for at `sent`, which lives ended by calls that were answered before.
    pub(super) fn confirm_shutdowns(&mut self, sent: Instant) {
        let settled: Vec<_> =
            self.shutdowns.extract_if(.., |_, shutdown| shutdown.answered <= sent).collect();
        for (vm, VmShutdown { incarnation, .. }) in settled {
            let stays = |row: &VmRow| {
                row.state == VmState::Up && row.worker == Some(incarnation.worker.clone())
            };
            if self.vms.get(&vm).is_some_and(stays) {
                self.resume_on(&vm, &incarnation);
            } else if let Some(key) = self.current_worker(&incarnation) {
                self.end_incarnation(key, None, IncarnationEvidence::ShutDown);
                let worker = &mut self.workers[key];
                worker.registered = false;
                worker.next_listing = None;
            }
        }
    }

    /// The worker of a life that isn't known to be over.
    fn current_worker(&self, incarnation: &Incarnation) -> Option<WorkerKey> {
        let key = *self.worker_keys.get(&incarnation.worker)?;
        (self.workers[key].started_at == incarnation.started_at).then_some(key)
    }

    /// A VM that was taken off earlier than the call runs on, and takes tasks again.
    fn resume_on(&mut self, vm: &VmId, incarnation: &Incarnation) {
        self.drop_move(vm);
        let Some(key) = self.current_worker(incarnation) else { return };
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        info!(target: "decision", "vm={vm} worker={} choice=go_on runs={}", worker.id, worker.runs.len());
        worker.vm_draining = false;
        worker.list_by(now);
    }

    /// The life of a worker is over: its runs are gone.
    pub(super) fn end_incarnation(
        &mut self,
        key: WorkerKey,
        started_at: Option<u64>,
        evidence: IncarnationEvidence,
    ) {
        let worker = &mut self.workers[key];
        let runs = worker.runs.clone();
        info!(
            target: "decision",
            "worker={} choice=end_life runs={} cause=\"{evidence}\"", worker.id, runs.len()
        );
        worker.begin_incarnation(started_at, self.now.mono);
        for at in runs {
            if started_at.is_some() && self.may_still_start(at) {
                self.stop_run(at);
            } else {
                self.mark_lost(at, RunEvidence::IncarnationEnded);
            }
        }
    }

    /// A run is gone without a listed end.
    pub(super) fn mark_lost(&mut self, at: TaskRef, evidence: RunEvidence) {
        let id = self.jobs[at.job].task_id(at);
        info!(target: "decision", "task={id} run={} choice=lose cause=\"{evidence}\"", self.task(at).last_run);
        self.remember_start(at);
        self.release(at);
        self.stop_gang(at);
        self.retire(at.job);
    }
}
