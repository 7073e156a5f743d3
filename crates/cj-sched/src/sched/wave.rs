//! Maintenance waves: drains VMs in turn and requests their maintenance. At most `cap` VMs of a wave are in maintenance at once.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::{
    record::{Record, WaveProgress},
    sched::{
        event::{Action, VmRow, VmState, WaveSpec},
        evidence::Incarnation,
        scheduler::Scheduler,
        watch::CommandGuard,
        worker::WorkerKey,
    },
};

/// Time before the end of a wave at which VMs that still drain go into maintenance, even if finite tasks run there: the request
/// has to be recorded, sent and answered.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_200);

/// Time before the end of a wave from which on half of a pool may be draining or in maintenance at once.
const FINAL_DRAIN_PERIOD: Duration = Duration::from_secs(5);

/// Time between two maintenance commands for the same VM.
pub(super) const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// VMs that may drain in advance, beyond those that may be in maintenance at once.
const DRAIN_AHEAD: usize = 2;

/// Commands of an earlier owner have taken effect this long after the current ownership began.
const TAKEOVER_COMMAND_DELAY: Duration = Duration::from_millis(1_000);

/// At most one in this many VMs of a pool is draining or in maintenance at once.
const POOL_DIVISOR: usize = 4;

/// Stage of a VM in a wave.
#[derive(Clone, Debug)]
pub(super) enum VmStage {
    /// Since this time it gets no new tasks, and its running tasks are stopped.
    Draining(Instant),
    /// The request for its maintenance is being recorded in the write batch with this number.
    Recording(u64),
    /// The command for its maintenance was last sent at this time and isn't answered; it ends this incarnation. The guard
    /// keeps the command wanted.
    Requested(Instant, Option<Incarnation>, CommandGuard),
    /// The platform answered at this time that its maintenance has begun.
    InMaintenance(Instant),
}

/// A maintenance wave that isn't completed.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    pub(super) spec: WaveSpec,
    pub(super) progress: WaveProgress,
    /// When the maintenance of all its VMs has to have begun.
    due: Instant,
    /// Most VMs that may be in maintenance at once.
    pub(super) cap: usize,
    pub(super) stages: BTreeMap<VmId, VmStage>,
    reported: bool,
}

impl Wave {
    /// True if the maintenance of the VM has begun for this wave.
    pub(super) fn is_begun(&self, vm: &VmId) -> bool {
        self.progress.begun.contains(vm)
    }

    /// True if it ends within `time`. It is false after its end: a late wave waits for running tasks again.
    fn is_due_within(&self, time: Duration, now: Instant) -> bool {
        now < self.due && now + time >= self.due
    }

    /// True while the VM is draining or in maintenance for the wave.
    pub(super) fn is_busy(&self, vm: &VmId) -> bool {
        self.stages.contains_key(vm)
    }
}

impl Scheduler {
    /// Adds a wave that an operator requested, unless it is known already.
    pub(super) fn add_wave(&mut self, spec: WaveSpec, progress: WaveProgress) {
        if self.waves.iter().any(|wave| wave.spec.number == spec.number) {
            return;
        }
        info!(
            target: "decision",
            "wave={} choice=begin vms={} done={} cap={}",
            spec.number, spec.vms.len(), progress.begun.len(), spec.cap
        );
        let cap = spec.cap as usize;
        let stages = BTreeMap::new();
        let due = self.now.mono + spec.duration;
        self.waves.push_back(Wave { spec, progress, due, cap, stages, reported: false });
    }

    /// Sets how many VMs of a wave may be in maintenance at once, where several schedulers share the cap of the wave.
    pub fn set_wave_cap(&mut self, number: u64, cap: u32) {
        let wave = self.waves.iter_mut().find(|wave| wave.spec.number == number);
        if let Some(wave) = wave {
            wave.cap = cap as usize;
        }
    }

    /// Advances all waves and drops the completed ones.
    pub(super) fn run_waves(&mut self) {
        if !self.vms_known || !self.may_command() {
            return;
        }
        // While a wave is advanced, the queue holds the others.
        for _ in 0..self.waves.len() {
            let Some(mut wave) = self.waves.pop_front() else { break };
            self.finish_maintenance(&mut wave);
            self.confirm_requests(&mut wave);
            self.start_drains(&mut wave);
            self.advance_stages(&mut wave);
            if !self.report_wave(&mut wave) {
                self.waves.push_back(wave);
            }
        }
        self.mark_maintenance_due();
    }

    /// Marks the workers whose VMs a wave still has to maintain.
    fn mark_maintenance_due(&mut self) {
        let due = self.maintenance_due_workers();
        for (key, worker) in &mut self.workers {
            worker.maintenance_due = due.contains(&key);
        }
    }

    /// Removes the stages of VMs that are back from their maintenance, which count as done, and of VMs that are gone.
    fn finish_maintenance(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let back = |vm: &VmId, since: Instant| {
            let up = self.vms.get(vm).is_some_and(|row| row.state == VmState::Up);
            up && now.saturating_duration_since(since)
                > self.limits.maintenance_time + COMMAND_RETRY_INTERVAL
        };
        let is_over = |vm: &VmId, stage: &VmStage| {
            matches!(stage, VmStage::InMaintenance(since) if back(vm, *since)) || self.is_gone(vm)
        };
        wave.stages.retain(|vm, stage| !is_over(vm, stage));
    }

    /// Starts to drain the next VMs of a wave, at most a share of each pool at once.
    fn start_drains(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let most = if wave.cap == 0 { 0 } else { wave.cap + DRAIN_AHEAD };
        let mut busy: BTreeMap<ServiceId, usize> = BTreeMap::new();
        for row in self.vms.values() {
            let unavailable = wave.stages.contains_key(&row.vm) || row.state != VmState::Up;
            *busy.entry(row.pool.clone()).or_default() += usize::from(unavailable);
        }
        let mut waiting: Vec<&VmRow> = wave
            .spec
            .vms
            .iter()
            .filter(|vm| !wave.is_begun(vm) && !wave.stages.contains_key(*vm))
            .filter_map(|vm| self.vms.get(vm))
            .filter(|row| row.state == VmState::Up && !self.is_moving(&row.vm))
            .collect();
        // A VM whose maintenance an earlier owner requested may be back from it already. The repeated command that shows
        // this goes first, while the new incarnation there is still empty. VMs with long-running tasks come next: these tasks
        // leave one after the other, so their VMs take longest.
        waiting.sort_by_key(|row| {
            let requested = wave.progress.requested.contains(&row.vm);
            (!requested, !self.has_long_running(row), self.run_count(row))
        });
        let divisor = if wave.is_due_within(FINAL_DRAIN_PERIOD, now) { 2 } else { POOL_DIVISOR };
        let mut chosen = Vec::new();
        for row in waiting {
            let size = self.vms.values().filter(|other| other.pool == row.pool).count();
            let pool_busy = busy.entry(row.pool.clone()).or_default();
            if wave.stages.len() + chosen.len() < most && *pool_busy < (size / divisor).max(1) {
                *pool_busy += 1;
                chosen.push(row.vm.clone());
            }
        }
        for vm in chosen {
            info!(target: "decision", "wave={} vm={vm} choice=empty", wave.spec.number);
            wave.stages.insert(vm, VmStage::Draining(now));
        }
    }

    /// True while a VM is draining or in maintenance for a wave.
    pub(super) fn is_in_wave(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|wave| wave.is_busy(vm))
    }

    /// True if a wave still has to maintain the VM.
    pub(super) fn is_maintenance_due(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|wave| wave.spec.vms.contains(vm) && !wave.is_begun(vm))
    }

    /// Workers whose VMs a wave still has to maintain.
    pub(super) fn maintenance_due_workers(&self) -> HashSet<WorkerKey> {
        let due =
            self.waves.iter().flat_map(|wave| wave.spec.vms.iter().filter(|vm| !wave.is_begun(vm)));
        let workers = due.filter_map(|vm| self.vms.get(vm)?.worker.as_ref());
        workers.filter_map(|id| self.worker_keys.get(id)).copied().collect()
    }

    fn has_long_running(&self, row: &VmRow) -> bool {
        let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
        key.is_some_and(|key| self.hosts_long_running(&self.workers[*key]))
    }

    fn run_count(&self, row: &VmRow) -> usize {
        let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
        key.map_or(0, |key| self.workers[*key].runs.len())
    }

    /// Drains the VMs of a wave and requests the maintenance of those that are drained. While this is called, `self.waves` holds the
    /// other waves.
    fn advance_stages(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let vms: Vec<_> =
            wave.stages.iter().map(|(vm, stage)| (vm.clone(), stage.clone())).collect();
        for (vm, stage) in vms {
            match stage {
                VmStage::Draining(since) => {
                    let urgent = wave.is_due_within(DEADLINE_MARGIN, now);
                    if self.drain_vm(&vm, since, urgent) && self.may_request(wave, &vm) {
                        self.request_or_record(wave, vm);
                    }
                }
                VmStage::Recording(batch)
                    if self.write.is_durable(batch) && self.is_sole_owner() =>
                {
                    self.request_maintenance(wave, vm, "drained");
                }
                VmStage::Requested(sent, ..)
                    if self.is_sole_owner()
                        && now.saturating_duration_since(sent) > COMMAND_RETRY_INTERVAL
                        && (self.is_off_for_unknown_wave(&vm)
                            || self.drain_vm(&vm, sent, false)) =>
                {
                    self.request_maintenance(wave, vm, "unanswered");
                }
                VmStage::Recording(_) | VmStage::Requested(..) | VmStage::InMaintenance(_) => {}
            }
        }
    }

    /// Repeats the commands of earlier owners for VMs that are in maintenance: the answers to them may not have become durable.
    fn confirm_requests(&mut self, wave: &mut Wave) {
        let open = |vm: &&VmId| !wave.is_begun(vm) && !wave.stages.contains_key(*vm);
        let requested: Vec<_> = wave.progress.requested.iter().filter(open).cloned().collect();
        for vm in requested {
            if self.is_off_for_unknown_wave(&vm) && self.may_request(wave, &vm) {
                self.request_maintenance(wave, vm, "listed in maintenance");
            }
        }
    }

    /// True if a command for the maintenance of a drained VM may be sent now.
    fn may_request(&self, wave: &Wave, vm: &VmId) -> bool {
        // Commands of an earlier owner may have taken effect too late for an older VM list to show them.
        let settled = self.vms_requested > self.owner_since + TAKEOVER_COMMAND_DELAY;
        settled && self.is_sole_owner() && !self.is_claimed(vm) && self.has_wave_room(wave, vm)
    }

    /// Requests the maintenance of a VM, after recording the request if it isn't recorded already.
    fn request_or_record(&mut self, wave: &mut Wave, vm: VmId) {
        if wave.progress.requested.contains(&vm) {
            return self.request_maintenance(wave, vm, "drained again");
        }
        wave.progress.requested.push(vm.clone());
        let record = Record::Wave(wave.spec.number, wave.progress.clone());
        let batch = self.write.add(record, self.now.mono);
        wave.stages.insert(vm, VmStage::Recording(batch));
    }

    /// Sends the command for the maintenance of a VM. A repeated command keeps the incarnation for which the first one was meant: that
    /// one may have ended it.
    fn request_maintenance(&mut self, wave: &mut Wave, vm: VmId, cause: &str) {
        let number = wave.spec.number;
        info!(target: "decision", "wave={number} vm={vm} choice=maintain cause=\"{cause}\"");
        let (incarnation, guard) = match wave.stages.remove(&vm) {
            Some(VmStage::Requested(_, incarnation, guard)) => (incarnation, guard),
            _ => (self.incarnation_on(&vm), CommandGuard::default()),
        };
        self.actions.push(Action::MaintainVm(vm.clone(), number, guard.watch()));
        wave.stages.insert(vm, VmStage::Requested(self.now.mono, incarnation, guard));
    }

    /// Reports the state of a wave when it is new or completed. Returns true if it is completed.
    fn report_wave(&mut self, wave: &mut Wave) -> bool {
        let is_over = |vm: &VmId| wave.is_begun(vm) || self.is_gone(vm);
        let completed = wave.spec.vms.iter().all(is_over) && wave.stages.is_empty();
        if completed || !wave.reported {
            wave.reported = true;
            self.actions.push(Action::ReportWave { wave: wave.spec.number, completed });
        }
        completed
    }
}
