//! Decides, from a fixed set of evidence, that an incarnation of a worker or a run has ended.
//!
//! A worker that has started again under its id carries out the commands that were meant for its former incarnation. So which
//! incarnation has answered a command isn't known until the worker says something of itself that is dated after the answer.
//!
//! The answer to a command that moves or maintains a VM is no evidence: the platform answers "done" also when an
//! earlier command had done it, and the VM may run another incarnation since. Ending an incarnation too early would
//! start its tasks a second time while they still run.

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

/// Evidence of the end of an incarnation of a worker. Log lines print the `display` texts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum IncarnationEvidence {
    /// The worker registered with a later start time.
    #[display("registered with a later start")]
    Registered,
    /// The worker's listing has another start time.
    #[display("listed with another start")]
    Listed,
    /// Another worker answers at its address, to a request sent at this time.
    #[display("another life answers")]
    OtherIncarnation(Instant),
    /// The worker is unresponsive, and no running VM in a later list of VMs, requested at this time, names it: its VM is on that
    /// list, or the list before didn't name it either.
    #[display("no running VM names it")]
    NotInVmList(Instant),
    /// The VM's move or maintenance was answered as done, and a list of VMs requested after that answer, at this time, no
    /// longer has the worker on it.
    #[display("its VM was taken off")]
    ShutDown(Instant),
}

impl IncarnationEvidence {
    /// Time from which on the worker can't have carried out a command in any incarnation that has ended. `None` if the next
    /// incarnation may have carried out commands before: its first listing tells.
    fn over_since(self) -> Option<Instant> {
        match self {
            IncarnationEvidence::Registered | IncarnationEvidence::Listed => None,
            IncarnationEvidence::OtherIncarnation(at)
            | IncarnationEvidence::NotInVmList(at)
            | IncarnationEvidence::ShutDown(at) => Some(at),
        }
    }
}

/// Evidence that a run is over although its end was not listed. Log lines print the `display` texts, which need no quotes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum RunEvidence {
    /// The worker's incarnation has ended.
    #[display("life_over")]
    IncarnationEnded,
    /// The last lease that the worker can hold has expired.
    #[display("lease_ended")]
    LeaseExpired,
    /// A listing requested after the last answer to a command for the run doesn't name it.
    #[display("not_listed")]
    NotListed,
}

/// One process of a worker between its start and its end. A pending VM command is kept with the incarnation that it
/// is meant for: it may have been carried out long before it is answered, and the VM may run another incarnation by
/// then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Incarnation {
    worker: WorkerId,
    started_at: Option<u64>,
}

/// A VM whose move or maintenance was answered as done.
#[derive(Clone, Debug)]
pub(super) struct VmShutdown {
    /// The incarnation on it when the command was decided.
    incarnation: Incarnation,
    /// When the command was answered.
    answered: Instant,
}

impl Scheduler {
    /// The incarnation of the worker on a VM.
    pub(super) fn incarnation_on(&self, vm: &VmId) -> Option<Incarnation> {
        let worker = self.vms.get(vm)?.worker.clone()?;
        let key = self.worker_keys.get(&worker);
        let started_at = key.and_then(|key| self.workers[*key].started_at);
        Some(Incarnation { worker, started_at })
    }

    /// Records that the platform reported a VM's move or maintenance as done. The runs there count as running until the
    /// next list of VMs.
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

    /// Determines from a list of VMs, requested at `sent`, which incarnations have ended through commands answered
    /// before. A list that lacks a VM by mistake doesn't tell.
    pub(super) fn confirm_shutdowns(&mut self, sent: Instant) {
        let mut shutdowns = std::mem::take(&mut self.shutdowns);
        let tells = |vm: &VmId| self.vms.contains_key(vm) || self.is_gone(vm);
        let is_settled =
            |vm: &VmId, shutdown: &mut VmShutdown| shutdown.answered <= sent && tells(vm);
        let settled: Vec<_> = shutdowns.extract_if(.., is_settled).collect();
        self.shutdowns = shutdowns;
        for (vm, VmShutdown { incarnation, .. }) in settled {
            let stays = |row: &VmRow| {
                row.state == VmState::Up && row.worker == Some(incarnation.worker.clone())
            };
            if self.vms.get(&vm).is_some_and(stays) {
                self.resume_on(&vm, &incarnation);
            } else if let Some(key) = self.current_worker(&incarnation) {
                let runs_known = self.workers[key].runs_known();
                self.end_incarnation(key, None, IncarnationEvidence::ShutDown(sent));
                let worker = &mut self.workers[key];
                worker.known_shutdown = runs_known;
                worker.registered = false;
                worker.next_listing = None;
            }
        }
    }

    /// The worker of an incarnation that isn't known to have ended.
    fn current_worker(&self, incarnation: &Incarnation) -> Option<WorkerKey> {
        let key = *self.worker_keys.get(&incarnation.worker)?;
        (self.workers[key].started_at == incarnation.started_at).then_some(key)
    }

    /// Lets a VM take tasks again when it still runs, because an earlier command than the answered one had been
    /// carried out.
    fn resume_on(&mut self, vm: &VmId, incarnation: &Incarnation) {
        self.drop_move(vm);
        let Some(key) = self.current_worker(incarnation) else { return };
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        info!(target: "decision", "vm={vm} worker={} choice=go_on runs={}", worker.id, worker.runs.len());
        worker.vm_draining = false;
        worker.list_by(now);
    }

    /// Ends the incarnation of a worker. Its runs are lost, but for those that the next one may have started: a listing or the
    /// end of the longest lease decides about them. `started_at` is the start of the next one, if known.
    pub(super) fn end_incarnation(
        &mut self,
        key: WorkerKey,
        started_at: Option<u64>,
        evidence: IncarnationEvidence,
    ) {
        self.refund_orphans(key);
        let worker = &self.workers[key];
        let planned = matches!(evidence, IncarnationEvidence::ShutDown(_))
            || worker.draining
            || worker.vm_draining;
        let outlives = |at: &TaskRef| self.may_outlive(*at, evidence);
        let (kept, ended): (Vec<_>, Vec<_>) = worker.runs.iter().copied().partition(outlives);
        let suspects: Vec<_> = ended.iter().filter_map(|at| self.suspect_of(*at)).collect();
        self.log_end_life(key, evidence);
        let (now, longest) = (self.now.mono, self.limits.longest_lease());
        let is_pending =
            |at: &TaskRef| self.task(*at).placement().is_some_and(|placed| placed.start_pending);
        let starts_pending = kept.iter().chain(&ended).any(is_pending);
        let worker = &mut self.workers[key];
        if starts_pending {
            worker.calls.miss_grant(now);
        }
        let vm = worker.vm.clone();
        worker.begin_incarnation(started_at, now, longest);
        for at in kept {
            self.keep_for_next(at, planned);
        }
        for at in ended {
            if started_at.is_some() && self.may_still_start(at) {
                self.stop_run(at);
            } else {
                self.mark_lost(at, RunEvidence::IncarnationEnded);
            }
        }
        if !planned {
            self.record_crash(vm.as_ref(), &suspects);
        }
        if started_at.is_some() {
            self.stop_unanswered_starts(key);
        }
    }

    /// True if the start of a run was answered, and the incarnation that ended isn't known to be the one that answered.
    fn may_outlive(&self, at: TaskRef, evidence: IncarnationEvidence) -> bool {
        let Some(placement) = self.task(at).placement() else { return false };
        let Some(answered) = placement.start_answered else { return false };
        let is_later = evidence.over_since().is_none_or(|since| answered >= since);
        !placement.in_life && !self.may_still_start(at) && is_later
    }

    /// Keeps a run that the next incarnation may have started. Its absence from a listing shows then that it ended with the
    /// incarnation before; `planned` tells that that one didn't crash.
    fn keep_for_next(&mut self, at: TaskRef, planned: bool) {
        let id = self.jobs[at.job].task_id(at);
        let Some(placement) = self.task_mut(at).placement_mut() else { return };
        placement.outlived = !planned;
        info!(target: "decision", "task={id} run={} choice=keep cause=answered_by_unknown_life", placement.run);
    }

    /// Records that a run ended without a listed end; its task becomes idle.
    pub(super) fn mark_lost(&mut self, at: TaskRef, evidence: RunEvidence) {
        self.log_loss(at, evidence);
        self.learn_lost(at);
        self.remember_start(at, self.charge_of(at));
        self.task_mut(at).lost_at = Some(self.now.mono);
        self.release(at);
        self.stop_gang(at);
        self.retire(at.job);
    }
}
