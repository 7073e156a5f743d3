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
        event::{Action, VmAnswer, VmRow, VmState, WaveSpec, WorkerId},
        evidence::{Incarnation, IncarnationEvidence},
        scheduler::Scheduler,
        work::{Stage, TaskRef},
        worker::{Worker, WorkerKey},
    },
};

/// A VM with finite tasks that can't be saved is taken off after this time all the same.
const EVACUATION_LIMIT: Duration = Duration::from_secs(9);

/// Finite tasks that save checkpoints are stopped after this time.
const CHECKPOINT_AFTER: Duration = Duration::from_millis(1_500);

/// Time between two calls for the same VM.
const CALL_RETRY: Duration = Duration::from_millis(700);

/// VMs that are emptied ahead of those that may be off.
const AHEAD: usize = 2;

/// A worker that was heard of this long before the list of VMs was asked for is on it, if its VM runs.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Calls of an earlier owner have taken effect this long after the begin of an ownership.
const TAKEOVER_CALLS: Duration = Duration::from_millis(1_000);

/// At most one in this many VMs of a pool is emptied or off at once.
const POOL_SHARE: usize = 4;

/// What is being done to a VM.
#[derive(Clone, Debug)]
enum Stand {
    /// It gets no new tasks and loses those it has.
    Emptying(Instant),
    /// The note of the call for its maintenance is being written with this batch.
    Noting(u64),
    /// The call for its maintenance is on its way or unanswered; it ends this life.
    Calling(Instant, Option<Incarnation>),
    /// Its maintenance began.
    Off(Instant),
}

/// A wave that isn't completed.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    order: WaveSpec,
    progress: WaveProgress,
    /// Most VMs that may be off at once.
    cap: usize,
    stands: BTreeMap<VmId, Stand>,
    reported: bool,
}

impl Wave {
    fn is_begun(&self, vm: &VmId) -> bool {
        self.progress.begun.contains(vm)
    }

    /// True while the VM is emptied or off for the wave.
    pub(super) fn is_busy(&self, vm: &VmId) -> bool {
        self.stands.contains_key(vm)
    }

    /// VMs of the wave, `except` one, that are off or may be.
    fn off(&self, rows: &BTreeMap<VmId, VmRow>, except: &VmId) -> usize {
        let ordered = |vm: &VmId| {
            matches!(
                self.stands.get(vm),
                Some(Stand::Noting(_) | Stand::Calling(..) | Stand::Off(_))
            )
        };
        let called = |vm: &VmId| self.progress.requested.contains(vm) && !self.is_begun(vm);
        let off = |vm: &VmId| rows.get(vm).is_some_and(|row| row.state == VmState::Maintenance);
        let counts = |vm: &&VmId| *vm != except && (ordered(vm) || called(vm) || off(vm));
        self.order.vms.iter().filter(counts).count()
    }
}

impl Scheduler {
    pub(super) fn order_wave(&mut self, order: WaveSpec, progress: WaveProgress) {
        if self.waves.iter().any(|wave| wave.order.number == order.number) {
            return;
        }
        info!(
            target: "decision",
            "wave={} choice=begin vms={} done={} cap={}",
            order.number, order.vms.len(), progress.begun.len(), order.cap
        );
        let cap = order.cap as usize;
        let stands = BTreeMap::new();
        self.waves.push(Wave { order, progress, cap, stands, reported: false });
    }

    /// Bounds the VMs that may be off at once for a wave, where several schedulers share its cap.
    pub fn set_wave_cap(&mut self, number: u64, cap: u32) {
        let wave = self.waves.iter_mut().find(|wave| wave.order.number == number);
        if let Some(wave) = wave {
            wave.cap = cap as usize;
        }
    }

    /// True while the list of VMs has to be kept up to date: a wave runs, or tasks are on a worker that is silent.
    pub fn wants_vms(&self) -> bool {
        let unsure = |worker: &Worker| {
            !worker.reconciled || (worker.missed_listings > 0 && !worker.runs.is_empty())
        };
        let expects = !self.waves.is_empty() || self.has_moves() || !self.shutdowns.is_empty();
        expects || self.workers.values().any(unsure)
    }

    pub(super) fn list_vms(&mut self, sent: Instant, rows: Vec<VmRow>) {
        self.vms = rows.into_iter().map(|row| (row.vm.clone(), row)).collect();
        self.vms_known = true;
        self.vms_requested = sent;
        self.confirm_shutdowns(sent);
        self.note_maintained();
        self.end_replaced_lives(sent);
        self.place_due = true;
    }

    /// A VM in maintenance whose call a wave noted has begun it, whoever called and whether the answer came. The answer to an
    /// earlier owner may not have become durable.
    fn note_maintained(&mut self) {
        let now = self.now.mono;
        let off = |vm: &VmId| self.vms.get(vm).is_some_and(|row| row.state == VmState::Maintenance);
        let open =
            |wave: &Wave, vm: &VmId| wave.progress.requested.contains(vm) && !wave.is_begun(vm);
        let mut found = Vec::new();
        for (index, wave) in self.waves.iter().enumerate() {
            let called = wave.progress.requested.iter();
            found.extend(
                called.filter(|vm| open(wave, vm) && off(vm)).map(|vm| (vm.clone(), index)),
            );
        }
        // With calls of two waves open, the state doesn't say which of them was carried out.
        let single = |vm: &VmId| self.waves.iter().filter(|wave| open(wave, vm)).count() == 1;
        found.retain(|(vm, _)| single(vm));
        for (vm, index) in found {
            let wave = &mut self.waves[index];
            let number = wave.order.number;
            info!(target: "decision", "wave={number} vm={vm} choice=begun cause=\"listed in maintenance\"");
            wave.stands.insert(vm.clone(), Stand::Off(now));
            wave.progress.begun.push(vm);
            let record = Record::Wave(number, wave.progress.clone());
            self.write.add(record, now);
        }
    }

    /// Silent workers that no running VM names any more are gone, whatever their leases say.
    fn end_replaced_lives(&mut self, sent: Instant) {
        let up = self.vms.values().filter(|row| row.state == VmState::Up);
        let alive: HashSet<WorkerId> = up.filter_map(|row| row.worker.clone()).collect();
        let silent = |worker: &Worker| worker.missed_listings > 0 || !worker.reconciled;
        let named =
            |worker: &Worker| alive.contains(&worker.id) || worker.first_seen + LIST_LAG > sent;
        let gone: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| silent(worker) && !named(worker))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.end_incarnation(key, None, IncarnationEvidence::NotInVmList);
            if let Some(worker) = self.workers.remove(key) {
                self.worker_keys.remove(&worker.id);
            }
        }
    }

    pub(super) fn run_waves(&mut self) {
        if !self.vms_known || !self.may_command() {
            return;
        }
        for mut wave in std::mem::take(&mut self.waves) {
            self.settle_off(&mut wave);
            self.choose_vms(&mut wave);
            self.empty_vms(&mut wave);
            if !self.report_wave(&mut wave) {
                self.waves.push(wave);
            }
        }
    }

    /// VMs that are back count as done.
    fn settle_off(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let back = |vm: &VmId, since: Instant| {
            let row = self.vms.get(vm);
            let up = row.is_none_or(|row| row.state == VmState::Up);
            up && now.saturating_duration_since(since) > self.limits.maintenance_time + CALL_RETRY
        };
        wave.stands.retain(|vm, stand| !matches!(stand, Stand::Off(since) if back(vm, *since)));
    }

    /// Picks the VMs to empty next, at most a share of each pool.
    fn choose_vms(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        let most = if wave.cap == 0 { 0 } else { wave.cap + AHEAD };
        let mut busy: BTreeMap<ServiceId, usize> = BTreeMap::new();
        for row in self.vms.values() {
            let taken = wave.stands.contains_key(&row.vm) || row.state != VmState::Up;
            *busy.entry(row.pool.clone()).or_default() += usize::from(taken);
        }
        let mut waiting: Vec<&VmRow> = wave
            .order
            .vms
            .iter()
            .filter(|vm| !wave.is_begun(vm) && !wave.stands.contains_key(*vm))
            .filter_map(|vm| self.vms.get(vm))
            .filter(|row| row.state == VmState::Up && !self.is_moving(&row.vm))
            .collect();
        // A VM that an earlier owner called for may be back from its maintenance: the call that tells goes first, while the
        // new life there is still empty. Lasting tasks leave their VMs one after the other, so those take longest.
        waiting.sort_by_key(|row| {
            let called = wave.progress.requested.contains(&row.vm);
            (!called, !self.has_lasting(row), self.runs_on(row))
        });
        let mut chosen = Vec::new();
        for row in waiting {
            let size = self.vms.values().filter(|other| other.pool == row.pool).count();
            let taken = busy.entry(row.pool.clone()).or_default();
            if wave.stands.len() + chosen.len() < most && *taken < (size / POOL_SHARE).max(1) {
                *taken += 1;
                chosen.push(row.vm.clone());
            }
        }
        for vm in chosen {
            info!(target: "decision", "wave={} vm={vm} choice=empty", wave.order.number);
            wave.stands.insert(vm, Stand::Emptying(now));
        }
    }

    /// True while a VM is emptied or off for a wave.
    pub(super) fn is_in_wave(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|wave| wave.is_busy(vm))
    }

    /// True when a wave has still to maintain the VM.
    pub(super) fn is_due(&self, vm: &VmId) -> bool {
        self.waves.iter().any(|wave| wave.order.vms.contains(vm) && !wave.is_begun(vm))
    }

    /// Workers whose VMs are due for the maintenance of a wave.
    pub(super) fn due_workers(&self) -> HashSet<WorkerKey> {
        let due = self
            .waves
            .iter()
            .flat_map(|wave| wave.order.vms.iter().filter(|vm| !wave.is_begun(vm)));
        let workers = due.filter_map(|vm| self.vms.get(vm)?.worker.as_ref());
        workers.filter_map(|id| self.worker_keys.get(id)).copied().collect()
    }

    fn has_lasting(&self, row: &VmRow) -> bool {
        let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
        key.is_some_and(|key| self.hosts_lasting(&self.workers[*key]))
    }

    fn runs_on(&self, row: &VmRow) -> usize {
        let key = row.worker.as_ref().and_then(|id| self.worker_keys.get(id));
        key.map_or(0, |key| self.workers[*key].runs.len())
    }

    fn empty_vms(&mut self, wave: &mut Wave) {
        let now = self.now.mono;
        // Calls of an earlier owner may have taken effect just before this ownership began.
        let settled =
            self.vms_requested > self.owner_since + TAKEOVER_CALLS && self.is_sole_owner();
        let vms: Vec<_> =
            wave.stands.iter().map(|(vm, stand)| (vm.clone(), stand.clone())).collect();
        for (vm, stand) in vms {
            let room = settled && wave.off(&self.vms, &vm) < wave.cap;
            match stand {
                Stand::Emptying(since) => {
                    if self.empty_vm(&vm, since) && room {
                        let batch = self.note_call(wave, &vm);
                        wave.stands.insert(vm, Stand::Noting(batch));
                    }
                }
                Stand::Noting(batch) if self.write.is_durable(batch) && self.is_sole_owner() => {
                    info!(target: "decision", "wave={} vm={vm} choice=maintain", wave.order.number);
                    self.actions.push(Action::MaintainVm(vm.clone(), wave.order.number));
                    let life = self.incarnation_on(&vm);
                    wave.stands.insert(vm, Stand::Calling(now, life));
                }
                Stand::Calling(sent, life)
                    if self.is_sole_owner()
                        && now.saturating_duration_since(sent) > CALL_RETRY
                        && self.empty_vm(&vm, sent) =>
                {
                    self.actions.push(Action::MaintainVm(vm.clone(), wave.order.number));
                    wave.stands.insert(vm, Stand::Calling(now, life));
                }
                Stand::Noting(_) | Stand::Calling(..) | Stand::Off(_) => {}
            }
        }
    }

    /// Notes that the maintenance of a VM will be called for. Returns the batch of the note.
    fn note_call(&mut self, wave: &mut Wave, vm: &VmId) -> u64 {
        if !wave.progress.requested.contains(vm) {
            wave.progress.requested.push(vm.clone());
        }
        let record = Record::Wave(wave.order.number, wave.progress.clone());
        self.write.add(record, self.now.mono)
    }

    /// Empties the worker of a VM. Returns true when nothing runs there.
    fn empty_vm(&mut self, vm: &VmId, since: Instant) -> bool {
        let Some(row) = self.vms.get(vm) else { return true };
        if row.state != VmState::Up {
            return false;
        }
        let Some(id) = row.worker.as_ref() else { return true };
        let Some(&key) = self.worker_keys.get(id) else {
            // Tasks of an earlier owner may run on a worker that isn't known yet.
            return self.now.mono > self.lease_horizon;
        };
        self.workers[key].vm_draining = true;
        if self.workers[key].runs.is_empty() {
            return self.is_found_empty(key, since) && self.workers[key].has_durable_ends();
        }
        let waited = self.now.mono.saturating_duration_since(since);
        for at in self.workers[key].runs.clone() {
            let spec = self.jobs[at.job].step_spec(at.step);
            let save = spec.checkpoints && waited > CHECKPOINT_AFTER;
            let lasting = spec.long_running;
            if (lasting && self.may_interrupt(at)) || save {
                self.stop_run(at);
            }
        }
        let lasting = |at: &TaskRef| self.jobs[at.job].step_spec(at.step).long_running;
        let worker = &self.workers[key];
        waited > EVACUATION_LIMIT && worker.has_durable_ends() && !worker.runs.iter().any(lasting)
    }

    /// True when a worker without runs has answered since then, so that no other life runs on its VM.
    fn is_found_empty(&mut self, key: WorkerKey, since: Instant) -> bool {
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        let heard = worker.runs_known() && worker.last_answer.is_some_and(|at| at > since);
        if !heard && worker.missed_listings == 0 {
            worker.list_by(now);
        }
        heard || (!worker.reconciled && now > self.lease_horizon)
    }

    /// True when no orders of an earlier owner can still take tasks of this service out of work, and this owner's last
    /// heartbeat is recent enough that no other owner gives such orders.
    fn is_settled(&mut self, at: TaskRef) -> bool {
        let now = self.now.mono;
        let service = self.service_of(&self.jobs[at.job].submission).clone();
        let settled = self.limits.stop_time * 2 + CALL_RETRY;
        let swept = self.is_reconciled(&service)
            && self.reconciled.get(&service).is_some_and(|since| now > *since + settled);
        swept && self.is_sole_owner()
    }

    /// True when the system may take this lasting task out of work: fewer than the allowed number of its step are away.
    pub(super) fn may_interrupt(&mut self, at: TaskRef) -> bool {
        if !self.is_settled(at) {
            return false;
        }
        let Some(allowed) = self.jobs[at.job].step_spec(at.step).max_unavailable else {
            return true;
        };
        let step = &self.jobs[at.job].occurrences[at.occurrence as usize].steps[at.step as usize];
        let away = |(index, task): (usize, &super::work::Task)| {
            let at_work = task.placement().is_some_and(|placed| {
                let worker = &self.workers[placed.worker];
                let sound = worker.missed_listings == 0 && !worker.draining;
                placed.stage == Stage::Running && placed.percent == 100 && sound
            });
            index != at.index as usize && !at_work
        };
        (step.tasks.iter().enumerate().filter(|task| away(*task)).count() as u32) < allowed
    }

    pub(super) fn maintained(&mut self, vm: &VmId, number: u64, answer: VmAnswer) {
        let now = self.now.mono;
        let Some(wave) = self.waves.iter_mut().find(|wave| wave.order.number == number) else {
            return;
        };
        info!(target: "decision", "wave={number} vm={vm} answer={answer:?}");
        match answer {
            VmAnswer::Done => {
                let stand = wave.stands.insert(vm.clone(), Stand::Off(now));
                if !wave.is_begun(vm) {
                    wave.progress.begun.push(vm.clone());
                }
                let record = Record::Wave(number, wave.progress.clone());
                self.write.add(record, now);
                if let Some(Stand::Calling(_, life)) = stand {
                    self.expect_shutdown(vm, life);
                }
            }
            VmAnswer::Fenced => self.step_down_now(),
            VmAnswer::Invalid => {
                wave.stands.remove(vm);
                wave.progress.begun.push(vm.clone());
            }
            VmAnswer::NotUp => {
                wave.stands.insert(vm.clone(), Stand::Emptying(now));
            }
            VmAnswer::RetryLater | VmAnswer::Unanswered => {}
        }
    }

    /// Reports the state of a wave. Returns true when it is completed.
    fn report_wave(&mut self, wave: &mut Wave) -> bool {
        let completed =
            wave.order.vms.iter().all(|vm| wave.is_begun(vm) || !self.vms.contains_key(vm))
                && wave.stands.is_empty();
        if completed || !wave.reported {
            wave.reported = true;
            self.actions.push(Action::ReportWave { wave: wave.order.number, completed });
        }
        completed
    }
}
