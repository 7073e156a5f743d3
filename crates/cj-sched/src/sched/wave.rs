//! Maintenance waves: empties VMs in turn and takes them off for their maintenance.
//!
//! Unplanned failures come first: a lasting task is stopped only while enough others of its step are at work, and at most
//! `cap` VMs of a wave are off at once.

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use cj_types::{ServiceId, VmId};
use log::info;

use crate::{
    record::{Record, WaveProgress},
    sched::{
        event::{Action, VmAnswer, VmRow, VmState, WaveOrder, WorkerId},
        evidence::{Life, LifeEvidence},
        scheduler::Scheduler,
        work::{Stage, TaskRef},
        worker::{Worker, WorkerKey},
    },
};

/// A VM with finite tasks that can't be saved is taken off after this time all the same.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(9);

/// Finite tasks that save checkpoints are stopped after this time.
const CHECKPOINT_STOP_DELAY: Duration = Duration::from_millis(1_500);

/// Time between two calls for the same VM.
const CALL_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// VMs that are emptied ahead of those that may be off.
const DRAIN_AHEAD: usize = 2;

/// A worker that was heard of this long before the list of VMs was asked for is on it, if its VM runs.
const VM_LIST_LAG: Duration = Duration::from_millis(500);

/// Calls of an earlier owner have taken effect this long after the begin of an ownership.
const TAKEOVER_CALL_DELAY: Duration = Duration::from_millis(1_000);

/// At most one in this many VMs of a pool is emptied or off at once.
const POOL_DIVISOR: usize = 4;

/// What is being done to a VM.
#[derive(Clone, Debug)]
enum VmStage {
    /// It gets no new tasks and loses those it has.
    Draining(Instant),
    /// The note of the call for its maintenance is being written with this batch.
    Recording(u64),
    /// The call for its maintenance is on its way or unanswered; it ends this life.
    Calling(Instant, Option<Life>),
    /// Its maintenance began.
    InMaintenance(Instant),
}

/// A wave that isn't completed.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    spec: WaveOrder,
    progress: WaveProgress,
    /// Most VMs that may be off at once.
    cap: usize,
    stages: BTreeMap<VmId, VmStage>,
    reported: bool,
}

impl Wave {
    fn is_begun(&self, vm: &VmId) -> bool {
        self.progress.begun.contains(vm)
    }

    /// True while the VM is emptied or off for the wave.
    pub(super) fn is_busy(&self, vm: &VmId) -> bool {
        self.stages.contains_key(vm)
    }

    /// VMs of the wave, `except` one, that are off or may be.
    fn unavailable(&self, rows: &BTreeMap<VmId, VmRow>, except: &VmId) -> usize {
        let in_stage = |vm: &VmId| {
            matches!(
                self.stages.get(vm),
                Some(VmStage::Recording(_) | VmStage::Calling(..) | VmStage::InMaintenance(_))
            )
        };
        let called = |vm: &VmId| self.progress.called.contains(vm) && !self.is_begun(vm);
        let in_maintenance =
            |vm: &VmId| rows.get(vm).is_some_and(|row| row.state == VmState::Maintenance);
        let counts =
            |vm: &&VmId| *vm != except && (in_stage(vm) || called(vm) || in_maintenance(vm));
        self.spec.vms.iter().filter(counts).count()
    }
}

impl Scheduler {
    pub(super) fn add_wave(&mut self, spec: WaveOrder, progress: WaveProgress) {
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
        self.waves.push(Wave { spec, progress, cap, stages, reported: false });
    }

    /// Bounds the VMs that may be off at once for a wave, where several schedulers share its cap.
    pub fn set_wave_cap(&mut self, number: u64, cap: u32) {
        let wave = self.waves.iter_mut().find(|wave| wave.spec.number == number);
        if let Some(wave) = wave {
            wave.cap = cap as usize;
        }
    }

    /// True while the list of VMs has to be kept up to date: a wave runs, or tasks are on a worker that is silent.
    pub fn needs_vm_list(&self) -> bool {
        let unresolved =
            |worker: &Worker| !worker.swept || (worker.misses > 0 && !worker.runs.is_empty());
        let expects = !self.waves.is_empty() || self.has_moves() || !self.taken_off.is_empty();
        expects || self.workers.values().any(unresolved)
    }

    pub(super) fn update_vms(&mut self, sent: Instant, rows: Vec<VmRow>) {
        self.vms = rows.into_iter().map(|row| (row.vm.clone(), row)).collect();
        self.vms_known = true;
        self.vms_sent = sent;
        self.settle_taken_off(sent);
        self.record_maintained();
        self.end_replaced_incarnations(sent);
        self.place_due = true;
    }

    /// A VM in maintenance whose call a wave noted has begun it, whoever called and whether the answer came. The answer to an
    /// earlier owner may not have become durable.
    fn record_maintained(&mut self) {
        let now = self.now.mono;
        let in_maintenance =
            |vm: &VmId| self.vms.get(vm).is_some_and(|row| row.state == VmState::Maintenance);
        let open = |wave: &Wave, vm: &VmId| wave.progress.called.contains(vm) && !wave.is_begun(vm);
        let mut found = Vec::new();
        for (index, wave) in self.waves.iter().enumerate() {
            let called = wave.progress.called.iter();
            found.extend(
                called
                    .filter(|vm| open(wave, vm) && in_maintenance(vm))
                    .map(|vm| (vm.clone(), index)),
            );
        }
        // With calls of two waves open, the state doesn't say which of them was carried out.
        let single = |vm: &VmId| self.waves.iter().filter(|wave| open(wave, vm)).count() == 1;
        found.retain(|(vm, _)| single(vm));
        for (vm, index) in found {
            let wave = &mut self.waves[index];
            let number = wave.spec.number;
            info!(target: "decision", "wave={number} vm={vm} choice=begun cause=\"listed in maintenance\"");
            wave.stages.insert(vm.clone(), VmStage::InMaintenance(now));
            wave.progress.begun.push(vm);
            let record = Record::Wave(number, wave.progress.clone());
            self.write.add(record, now);
        }
    }

    /// Silent workers that no running VM names any more are gone, whatever their leases say.
    fn end_replaced_incarnations(&mut self, sent: Instant) {
        let up = self.vms.values().filter(|row| row.state == VmState::Up);
        let alive: HashSet<WorkerId> = up.filter_map(|row| row.worker.clone()).collect();
        let silent = |worker: &Worker| worker.misses > 0 || !worker.swept;
        let named =
            |worker: &Worker| alive.contains(&worker.id) || worker.known + VM_LIST_LAG > sent;
        let gone: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| silent(worker) && !named(worker))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.end_life(key, None, LifeEvidence::Unnamed);
            if let Some(worker) = self.workers.remove(key) {
                self.worker_index.remove(&worker.id);
            }
        }
    }

    pub(super) fn run_waves(&mut self) {
        if !self.vms_known || !self.may_order() {
            return;
        }
        for mut wave in std::mem::take(&mut self.waves) {
            self.finish_maintenance(&mut wave);
            self.start_drains(&mut wave);
            self.advance_stages(&mut wave);
            if !self.report_wave(&mut wave) {
                self.waves.push(wave);
            }
        }
    }

    /// VMs that are back count as done.
    fn finish_maintenance(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let back = |vm: &VmId, since: Instant| {
            let row = self.vms.get(vm);
            let up = row.is_none_or(|row| row.state == VmState::Up);
            up && now.saturating_duration_since(since)
                > self.limits.maintenance_time + CALL_RETRY_INTERVAL
        };
        wave.stages.retain(
            |vm, stage| !matches!(stage, VmStage::InMaintenance(since) if back(vm, *since)),
        );
    }

    /// Picks the VMs to empty next, at most a share of each pool.
    fn start_drains(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let most = if wave.cap == 0 { 0 } else { wave.cap + DRAIN_AHEAD };
        let mut busy: BTreeMap<ServiceId, usize> = BTreeMap::new();
        for row in self.vms.values() {
            let taken = wave.stages.contains_key(&row.vm) || row.state != VmState::Up;
            *busy.entry(row.pool.clone()).or_default() += usize::from(taken);
        }
        let mut waiting: Vec<&VmRow> = wave
            .spec
            .vms
            .iter()
            .filter(|vm| !wave.is_begun(vm) && !wave.stages.contains_key(*vm))
            .filter_map(|vm| self.vms.get(vm))
            .filter(|row| row.state == VmState::Up && !self.is_moving(&row.vm))
            .collect();
        // A VM that an earlier owner called for may be back from its maintenance: the call that tells goes first, while the
        // new life there is still empty. Lasting tasks leave their VMs one after the other, so those take longest.
        waiting.sort_by_key(|row| {
            let called = wave.progress.called.contains(&row.vm);
            (!called, !self.has_long_running(row), self.run_count(row))
        });
        let mut chosen = Vec::new();
        for row in waiting {
            let size = self.vms.values().filter(|other| other.pool == row.pool).count();
            let taken = busy.entry(row.pool.clone()).or_default();
            if wave.stages.len() + chosen.len() < most && *taken < (size / POOL_DIVISOR).max(1) {
                *taken += 1;
                chosen.push(row.vm.clone());
            }
        }
        for vm in chosen {
            info!(target: "decision", "wave={} vm={vm} choice=empty", wave.spec.number);
            wave.stages.insert(vm, VmStage::Draining(now));
        }
    }

    /// True while a VM is emptied or off for a wave.
    pub(super) fn is_in_wave(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|wave| wave.is_busy(vm))
    }

    /// True when a wave has still to maintain the VM.
    pub(super) fn is_maintenance_due(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|wave| wave.spec.vms.contains(vm) && !wave.is_begun(vm))
    }

    /// Workers whose VMs are due for the maintenance of a wave.
    pub(super) fn maintenance_due_workers(&self) -> HashSet<WorkerKey> {
        let due =
            self.waves.iter().flat_map(|wave| wave.spec.vms.iter().filter(|vm| !wave.is_begun(vm)));
        let workers = due.filter_map(|vm| self.vms.get(vm)?.worker.as_ref());
        workers.filter_map(|id| self.worker_index.get(id)).copied().collect()
    }

    fn has_long_running(&self, row: &VmRow) -> bool {
        let key = row.worker.as_ref().and_then(|id| self.worker_index.get(id));
        key.is_some_and(|key| self.hosts_long_running(&self.workers[*key]))
    }

    fn run_count(&self, row: &VmRow) -> usize {
        let key = row.worker.as_ref().and_then(|id| self.worker_index.get(id));
        key.map_or(0, |key| self.workers[*key].runs.len())
    }

    fn advance_stages(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        // Calls of an earlier owner may have taken effect just before this ownership began.
        let settled = self.vms_sent > self.begun + TAKEOVER_CALL_DELAY && self.is_sole();
        let vms: Vec<_> =
            wave.stages.iter().map(|(vm, stage)| (vm.clone(), stage.clone())).collect();
        for (vm, stage) in vms {
            let room = settled && wave.unavailable(&self.vms, &vm) < wave.cap;
            match stage {
                VmStage::Draining(since) => {
                    if self.drain_vm(&vm, since) && room {
                        let batch = self.record_call(wave, &vm);
                        wave.stages.insert(vm, VmStage::Recording(batch));
                    }
                }
                VmStage::Recording(batch) if self.write.is_durable(batch) && self.is_sole() => {
                    info!(target: "decision", "wave={} vm={vm} choice=maintain", wave.spec.number);
                    self.actions.push(Action::MaintainVm(vm.clone(), wave.spec.number));
                    let life = self.life_on(&vm);
                    wave.stages.insert(vm, VmStage::Calling(now, life));
                }
                VmStage::Calling(sent, life)
                    if self.is_sole()
                        && now.saturating_duration_since(sent) > CALL_RETRY_INTERVAL
                        && self.drain_vm(&vm, sent) =>
                {
                    self.actions.push(Action::MaintainVm(vm.clone(), wave.spec.number));
                    wave.stages.insert(vm, VmStage::Calling(now, life));
                }
                VmStage::Recording(_) | VmStage::Calling(..) | VmStage::InMaintenance(_) => {}
            }
        }
    }

    /// Notes that the maintenance of a VM will be called for. Returns the batch of the note.
    fn record_call(&mut self, wave: &mut Wave, vm: &VmId) -> u64 {
        if !wave.progress.called.contains(vm) {
            wave.progress.called.push(vm.clone());
        }
        let record = Record::Wave(wave.spec.number, wave.progress.clone());
        self.write.add(record, self.now.mono)
    }

    /// Empties the worker of a VM. Returns true when nothing runs there.
    fn drain_vm(&mut self, vm: &VmId, since: Instant) -> bool {
        let Some(row) = self.vms.get(vm) else { return true };
        if row.state != VmState::Up {
            return false;
        }
        let Some(id) = row.worker.as_ref() else { return true };
        let Some(&key) = self.worker_index.get(id) else {
            // Tasks of an earlier owner may run on a worker that isn't known yet.
            return self.now.mono > self.horizon;
        };
        self.workers[key].evacuating = true;
        if self.workers[key].runs.is_empty() {
            return self.is_confirmed_empty(key, since) && self.workers[key].has_durable_ends();
        }
        let waited = self.now.mono.saturating_duration_since(since);
        for at in self.workers[key].runs.clone() {
            let spec = self.jobs[at.job].step_spec(at.step);
            let stop_at_checkpoint = spec.checkpoints && waited > CHECKPOINT_STOP_DELAY;
            let long_running = spec.lasting;
            if (long_running && self.may_interrupt(at)) || stop_at_checkpoint {
                self.stop_run(at);
            }
        }
        let long_running = |at: &TaskRef| self.jobs[at.job].step_spec(at.step).lasting;
        let worker = &self.workers[key];
        waited > DRAIN_TIMEOUT && worker.has_durable_ends() && !worker.runs.iter().any(long_running)
    }

    /// True when a worker without runs has answered since then, so that no other life runs on its VM.
    fn is_confirmed_empty(&mut self, key: WorkerKey, since: Instant) -> bool {
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        let answered = worker.is_known() && worker.answered.is_some_and(|at| at > since);
        if !answered && worker.misses == 0 {
            worker.list_by(now);
        }
        answered || (!worker.swept && now > self.horizon)
    }

    /// True when no orders of an earlier owner can still take tasks of this service out of work, and this owner's last
    /// heartbeat is recent enough that no other owner gives such orders.
    fn is_takeover_settled(&mut self, at: TaskRef) -> bool {
        let now = self.now.mono;
        let service = self.service_of(&self.jobs[at.job].submission).clone();
        let settled = self.limits.stop * 2 + CALL_RETRY_INTERVAL;
        let swept = self.is_swept(&service)
            && self.swept.get(&service).is_some_and(|since| now > *since + settled);
        swept && self.is_sole()
    }

    /// True when the system may take this lasting task out of work: fewer than the allowed number of its step are away.
    pub(super) fn may_interrupt(&mut self, at: TaskRef) -> bool {
        if !self.is_takeover_settled(at) {
            return false;
        }
        let Some(allowed) = self.jobs[at.job].step_spec(at.step).disruptable else { return true };
        let step = &self.jobs[at.job].occurrences[at.occurrence as usize].steps[at.step as usize];
        let unavailable = |(index, task): (usize, &super::work::Task)| {
            let available = task.placed().is_some_and(|placed| {
                let worker = &self.workers[placed.worker];
                let responsive = worker.misses == 0 && !worker.draining;
                placed.stage == Stage::Running && placed.percent == 100 && responsive
            });
            index != at.index as usize && !available
        };
        (step.tasks.iter().enumerate().filter(|task| unavailable(*task)).count() as u32) < allowed
    }

    pub(super) fn maintained(&mut self, vm: &VmId, number: u64, answer: VmAnswer) {
        let now = self.now.mono;
        let Some(wave) = self.waves.iter_mut().find(|wave| wave.spec.number == number) else {
            return;
        };
        info!(target: "decision", "wave={number} vm={vm} answer={answer:?}");
        match answer {
            VmAnswer::Done => {
                let stage = wave.stages.insert(vm.clone(), VmStage::InMaintenance(now));
                if !wave.is_begun(vm) {
                    wave.progress.begun.push(vm.clone());
                }
                let record = Record::Wave(number, wave.progress.clone());
                self.write.add(record, now);
                if let Some(VmStage::Calling(_, life)) = stage {
                    self.expect_taken_off(vm, life);
                }
            }
            VmAnswer::Fenced => self.step_down_now(),
            VmAnswer::Invalid => {
                wave.stages.remove(vm);
                wave.progress.begun.push(vm.clone());
            }
            VmAnswer::Busy => {
                wave.stages.insert(vm.clone(), VmStage::Draining(now));
            }
            VmAnswer::Later | VmAnswer::Unanswered => {}
        }
    }

    /// Reports the state of a wave. Returns true when it is completed.
    fn report_wave(&mut self, wave: &mut Wave) -> bool {
        let completed =
            wave.spec.vms.iter().all(|vm| wave.is_begun(vm) || !self.vms.contains_key(vm))
                && wave.stages.is_empty();
        if completed || !wave.reported {
            wave.reported = true;
            self.actions.push(Action::ReportWave { wave: wave.spec.number, completed });
        }
        completed
    }
}
