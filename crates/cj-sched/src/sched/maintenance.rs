//! Evidence that the maintenance of a VM has begun for a wave.
//!
//! Several waves may name a VM. Each is due a maintenance of its own, so that of one wave never counts for another:
//!
//! - The answer "done" names the wave and proves that its maintenance has begun, by this command or by an earlier one, of any owner.
//!   The VM may be back from it.
//! - The answer that the VM isn't part of the wave proves that there is nothing to do.
//! - An answer that says nothing else, such as that the command isn't valid, proves nothing: the command is repeated while the list of
//!   VMs has the VM.
//! - The answer that the VM isn't up proves that this command had no effect. The VM may be off for another wave.
//! - A recorded request without an answer, also of an earlier owner, may be carried out at any time. It proves nothing, and counts
//!   against the cap of the wave until a repeated command is answered.
//! - The list of VMs doesn't tell for which wave a VM is off, and is as old as its request. It tells when a command can be repeated:
//!   nothing runs on a VM in maintenance, so that needs no drain.

use cj_types::VmId;
use log::{info, warn};

use crate::{
    record::Record,
    sched::{
        event::{VmAnswer, VmState},
        scheduler::Scheduler,
        wave::{VmStage, Wave},
    },
};

impl Wave {
    /// True if the VM may be off for this wave: its maintenance was answered as done and the VM isn't back, or a command for it was
    /// recorded and isn't answered.
    fn may_keep_off(&self, vm: &VmId) -> bool {
        let in_maintenance = matches!(self.stages.get(vm), Some(VmStage::InMaintenance(_)));
        in_maintenance || (self.progress.requested.contains(vm) && !self.is_begun(vm))
    }
}

impl Scheduler {
    /// Handles the answer to [`Action::MaintainVm`](crate::sched::event::Action::MaintainVm).
    pub(super) fn maintained(&mut self, vm: &VmId, number: u64, answer: VmAnswer) {
        info!(target: "decision", "wave={number} vm={vm} answer={answer:?}");
        match answer {
            VmAnswer::Done => self.begin_maintenance(vm, number),
            VmAnswer::Fenced => self.step_down_now(),
            VmAnswer::NotInWave => self.exclude_from_wave(vm, number),
            VmAnswer::NotUp => self.drain_again(vm, number),
            VmAnswer::Invalid => {
                warn!(target: "decision", "wave={number} vm={vm} choice=repeat cause=\"invalid command\"");
            }
            VmAnswer::RetryLater | VmAnswer::Unanswered => {}
        }
    }

    /// Records that the maintenance of a VM has begun for a wave. An answer to a repeated command changes nothing more.
    fn begin_maintenance(&mut self, vm: &VmId, number: u64) {
        let now = self.now.mono;
        let listed = self.incarnation_on(vm);
        let Some(wave) = self.wave_mut(number).filter(|wave| !wave.is_begun(vm)) else { return };
        let stage = wave.stages.insert(vm.clone(), VmStage::InMaintenance(now));
        wave.progress.begun.push(vm.clone());
        let record = Record::Wave(number, wave.progress.clone());
        self.write.add(record, now);
        let ended = match stage {
            Some(VmStage::Requested(_, incarnation, _)) => incarnation,
            _ => listed,
        };
        self.expect_shutdown(vm, ended);
    }

    /// Drops a VM from a wave that doesn't ask for its maintenance.
    fn exclude_from_wave(&mut self, vm: &VmId, number: u64) {
        let Some(wave) = self.wave_mut(number) else { return };
        wave.stages.remove(vm);
        if !wave.is_begun(vm) {
            wave.progress.begun.push(vm.clone());
        }
        self.end_drain(vm);
    }

    /// Drains a VM again once it is up. An answer to an earlier command than the last one doesn't concern a VM whose maintenance has
    /// begun.
    fn drain_again(&mut self, vm: &VmId, number: u64) {
        let now = self.now.mono;
        let Some(wave) = self.wave_mut(number) else { return };
        if let Some(stage @ VmStage::Requested(..)) = wave.stages.get_mut(vm) {
            *stage = VmStage::Draining(now);
        }
    }

    /// Lets the worker on a VM take tasks again, unless another wave drains it.
    fn end_drain(&mut self, vm: &VmId) {
        let worker = self.vms.get(vm).and_then(|row| row.worker.as_ref());
        let key = worker.and_then(|id| self.worker_keys.get(id)).copied();
        if let Some(key) = key.filter(|_| !self.is_in_wave(vm) && !self.is_moving(vm)) {
            self.workers[key].vm_draining = false;
        }
    }

    /// True if another wave's command for the VM is under way, or was carried out too recently for the list of VMs to show it.
    pub(super) fn is_claimed(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|other| match other.stages.get(vm) {
            Some(VmStage::Recording(_) | VmStage::Requested(..)) => true,
            Some(VmStage::InMaintenance(since)) => *since >= self.vms_requested,
            Some(VmStage::Draining(_)) | None => false,
        })
    }

    /// True if a VM is listed in maintenance, and no other wave is known that may be the reason. A command for it needs no drain
    /// then: it is refused, or confirms that the maintenance has begun.
    pub(super) fn is_off_for_unknown_wave(&self, vm: &VmId) -> bool {
        let is_off = self.vms.get(vm).is_some_and(|row| row.state == VmState::Maintenance);
        is_off && !self.waves.iter().any(|other| other.may_keep_off(vm))
    }

    /// True if the VM may go off for `wave` without exceeding the cap of any wave that names it. `self.waves` holds the other waves.
    pub(super) fn has_wave_room(&self, wave: &Wave, vm: &VmId) -> bool {
        let waves = || self.waves.iter().chain([wave]);
        let is_listed =
            |vm: &VmId| self.vms.get(vm).is_some_and(|row| row.state == VmState::Maintenance);
        let may_be_off = |other: &&VmId| {
            *other != vm && (is_listed(other) || waves().any(|wave| wave.may_keep_off(other)))
        };
        let mut naming = waves().filter(|wave| wave.spec.vms.contains(vm));
        naming.all(|wave| wave.spec.vms.iter().filter(may_be_off).count() < wave.cap)
    }

    fn wave_mut(&mut self, number: u64) -> Option<&mut Wave> {
        self.waves.iter_mut().find(|wave| wave.spec.number == number)
    }
}
