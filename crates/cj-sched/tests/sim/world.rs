//! Discrete-event simulation of a fleet: virtual time, the store's logs, workers, and the schedulers of the current and earlier
//! owners.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{
    Action, Event, FleetConfig, JobIndex, Log, Pool, Queue, Record, Scheduler, StepSpec, TaskId,
    sched::{
        CommandAnswer, ListAnswer, Now, OwnershipLease, Policies, Refusal, Target, VmAnswer, VmRow,
        VmState, WaveSpec, WorkerId,
    },
};
use cj_types::{
    Accelerators, Mebibytes, Millicores, Resources, ServiceId, UnixMillis, Version, VmId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{accounts::Caps, logs::Logs};
use cj_standin::{task_checks::TaskChecks, task_worker::TaskWorker};

/// Wall-clock time at the start of the simulation, in Unix ms.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Time after which the sender of an unanswered call gets a timeout.
const CALL_TIMEOUT_MS: u64 = 800;

/// Probabilities of faults, each from 0 to 1; the first three apply to each call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The call is lost before it is executed.
    pub(crate) lost_call: f64,
    /// The call is executed and its answer is lost.
    pub(crate) lost_answer: f64,
    /// The call is executed seconds later, and its answer is lost.
    pub(crate) delayed_call: f64,
    /// A started run of a task fails.
    pub(crate) failed_run: f64,
}

/// An event of the simulation. `owner` is an index into [`World::owners`].
pub(crate) enum SimEvent {
    /// A call of the owner reaches the worker or the platform. `sent` is in ms; the answer is lost unless `answered`.
    Call { owner: usize, action: Action, sent: u64, answered: bool },
    /// The owner's scheduler receives an event.
    Notify { owner: usize, event: Event },
    /// The owner confirms its ownership and polls its scheduler, every 25 ms.
    Poll { owner: usize },
    /// The owner reads the overflow log up to its end.
    ReadOverflow { owner: usize },
    /// The owner with this fencing token writes its marker into the overflow log.
    MarkOverflow { epoch: u64 },
    /// The worker at this index starts again.
    Restart { worker: usize },
    /// The owner's batch of records with this number reaches the store.
    Append { owner: usize, number: u64, records: Vec<Record> },
}

/// An event in the queue, ordered by time and then by the sequence in which it was scheduled.
struct QueuedEvent {
    at: u64,
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A VM that is off for a move or for maintenance.
#[derive(Clone)]
struct OfflineVm {
    vm: VmId,
    /// Pool of its next worker.
    pool: ServiceId,
    /// When its next worker starts, in ms.
    back_at: u64,
    state: VmState,
}

/// A node that owns the fleet or owned it before.
pub(crate) struct Owner {
    pub(crate) scheduler: Scheduler,
    pub(crate) epoch: u64,
    /// It runs and has not learned of a later owner.
    pub(crate) active: bool,
    /// It can reach the store, and receives notifications.
    pub(crate) connected: bool,
    /// When it last confirmed its ownership with the store, in ms.
    pub(crate) confirmed_at: u64,
    /// Jobs from the records that it has read.
    pub(crate) job_index: JobIndex,
    /// Number of records of the overflow log that it has read.
    pub(crate) overflow_read: usize,
}

/// The simulated fleet. Times are in ms since the start of the simulation.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) workers: Vec<TaskWorker>,
    /// Jobs from all records in the logs, without delay.
    pub(crate) job_index: JobIndex,
    pub(crate) checks: TaskChecks,
    pub(crate) faults: Faults,
    /// Number of events that were dispatched.
    pub(crate) event_count: u64,
    pub(crate) logs: Logs,
    /// Monotonic time at the start of the simulation.
    pub(crate) start: Instant,
    pub(crate) owners: Vec<Owner>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
    pub(crate) config: Rc<FleetConfig>,
    offline: Vec<OfflineVm>,
    pub(crate) wave: Option<WaveSpec>,
    /// VMs whose maintenance in the wave has begun.
    maintained: HashSet<VmId>,
    /// An owner reported the wave as completed.
    pub(crate) wave_completed: bool,
    /// Actual run times of tasks, in ms. Those of other tasks are drawn at random around their estimates.
    pub(crate) run_times: HashMap<TaskId, u64>,
    /// Time that VMs spent in pools other than the spare pool, summed over all VMs, in ms.
    pub(crate) pool_vm_ms: u64,
    /// Caps before the last change of the configuration.
    pub(crate) caps: Caps,
    /// Policies of the schedulers of later takeovers.
    pub(crate) policies: Policies,
    /// Time until an owner's records reach the store, in ms.
    pub(crate) append_ms: u64,
    /// Number of ends that workers list at most, if not the usual one.
    pub(crate) max_listed_ends: Option<usize>,
    /// Tasks that crash the workers that start them, with the number of their starts so far.
    pub(crate) deadly: HashMap<TaskId, u32>,
}

pub(crate) fn service(name: &str) -> ServiceId {
    ServiceId::try_from(name).unwrap()
}

pub(crate) fn resources(cores: u32, memory: u32) -> Resources {
    Resources { cores: Millicores(cores), memory: Mebibytes(memory), accelerators: Accelerators(0) }
}

/// A step of `count` equal tasks, each with `cores` in millicores and an estimated run time of `ms`.
pub(crate) fn step(count: u32, cores: u32, ms: u64) -> StepSpec {
    StepSpec {
        count,
        demand: resources(cores, 1_000),
        estimate: Duration::from_millis(ms),
        ..StepSpec::default()
    }
}

fn config() -> FleetConfig {
    let queue = |name: &str| Queue {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        service: service(name),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target: Duration::from_millis(600),
        advice: None,
        public: false,
    };
    let pool = |name: &str, spare| (service(name), Pool { rejects_overload: false, spare });
    FleetConfig {
        version: Version(1),
        queues: vec![queue("red"), queue("blue")],
        pools: [pool("red", false), pool("blue", false), pool("spare", true)].into(),
        accounts: None,
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        crate::init_log();
        World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: Vec::new(),
            job_index: JobIndex::default(),
            checks: TaskChecks::default(),
            faults: Faults::default(),
            event_count: 0,
            logs: Logs::new(seed),
            start: Instant::now(),
            owners: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            config: Rc::new(config()),
            offline: Vec::new(),
            wave: None,
            maintained: HashSet::new(),
            wave_completed: false,
            run_times: HashMap::new(),
            pool_vm_ms: 0,
            caps: Caps::default(),
            policies: Policies::default(),
            append_ms: 6,
            max_listed_ends: None,
            deadly: HashMap::new(),
        }
    }

    pub(crate) fn add_worker(&mut self, id: &str, name: &str, rack: &str) {
        let worker = TaskWorker::new(id, &service(name), rack, resources(16_000, 64_000), self.now);
        self.workers.push(worker);
        let last = self.workers.len() - 1;
        self.report_worker(last);
    }

    pub(crate) fn clocks(&self) -> Now {
        Now {
            mono: self.start + Duration::from_millis(self.now),
            wall: UnixMillis(START_UNIX_MS + self.now),
        }
    }

    pub(crate) fn schedule(&mut self, delay: u64, event: SimEvent) {
        self.sequence += 1;
        let queued = QueuedEvent { at: self.now + delay, sequence: self.sequence, event };
        self.queue.push(Reverse(queued));
    }

    /// Sends an event to all owners that are active and connected.
    pub(crate) fn notify_owners(&mut self, event: &Event) {
        for owner in 0..self.owners.len() {
            if self.owners[owner].active && self.owners[owner].connected {
                self.schedule(2, SimEvent::Notify { owner, event: event.clone() });
            }
        }
    }

    /// Cuts the latest owner off from the store and from notifications.
    pub(crate) fn disconnect_owner(&mut self) {
        if let Some(last) = self.owners.last_mut() {
            last.connected = false;
        }
    }

    fn report_worker(&mut self, index: usize) {
        let event = Event::Registered(self.workers[index].registration());
        self.notify_owners(&event);
    }

    pub(crate) fn vm_rows(&self) -> Vec<VmRow> {
        let is_off = |vm: &VmId| self.offline.iter().any(|off| off.vm == *vm);
        let rows = self.workers.iter().filter(|worker| !is_off(&worker.vm)).map(TaskWorker::vm_row);
        let offline = self.offline.iter().map(|off| VmRow {
            vm: off.vm.clone(),
            pool: off.pool.clone(),
            state: off.state,
            labels: Vec::new(),
            capacity: resources(16_000, 64_000),
            worker: None,
        });
        rows.chain(offline).collect()
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.workers[index].crash();
        let id = self.workers[index].id.clone();
        self.notify_owners(&Event::Unregistered(id));
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let vm = &self.workers[index].vm;
        // The next worker of a VM that is off starts when the VM is back.
        if !self.offline.iter().any(|off| off.vm == *vm) {
            self.workers[index].restart(self.now);
            self.report_worker(index);
        }
    }

    pub(crate) fn drain(&mut self, index: usize) {
        self.workers[index].draining = true;
        self.report_worker(index);
    }

    /// Dispatches the events of the next `ms` of virtual time.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Reverse(queued) = self.queue.pop().unwrap();
            self.add_pool_time(queued.at);
            self.now = queued.at;
            self.event_count += 1;
            self.advance_workers();
            self.dispatch(queued.event);
        }
        self.add_pool_time(end);
        self.now = end;
        self.advance_workers();
    }

    fn add_pool_time(&mut self, until: u64) {
        let in_pools =
            self.workers.iter().filter(|worker| worker.service.as_str() != "spare").count();
        self.pool_vm_ms += in_pools as u64 * (until - self.now);
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            for task in self.workers[index].advance(now) {
                self.checks.record_done(task, &self.workers[index]);
            }
        }
        let back: Vec<_> = self.offline.iter().filter(|off| off.back_at <= now).cloned().collect();
        self.offline.retain(|off| off.back_at > now);
        for OfflineVm { vm, pool, .. } in back {
            let index = self.workers.iter().position(|worker| worker.vm == vm).unwrap();
            self.sequence += 1;
            let id = format!("{pool}-{}", self.sequence);
            let rack = self.workers[index].rack.clone();
            let capacity = self.workers[index].capacity;
            let replacement = TaskWorker::new(&id, &pool, &rack, capacity, now);
            self.workers[index] = replacement.with_vm(vm);
            self.report_worker(index);
        }
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::Poll { owner } => self.poll_owner(owner),
            SimEvent::ReadOverflow { owner } => self.read_overflow(owner),
            SimEvent::MarkOverflow { epoch } => self.mark_overflow(epoch),
            SimEvent::Notify { owner, event } => {
                let now = self.clocks();
                if self.owners[owner].active {
                    self.owners[owner].scheduler.handle(event, now);
                    self.run_actions(owner);
                }
            }
            SimEvent::Call { owner, action, sent, answered } => {
                let timeout = timeout_event(&action, self.start + Duration::from_millis(sent));
                let event = self.execute_call(owner, action, sent);
                match (event, timeout) {
                    _ if !answered => {}
                    (Some(event), _) => self.schedule(2, SimEvent::Notify { owner, event }),
                    // The worker ended or became unreachable while the call was in flight.
                    (None, Some(event)) => {
                        self.schedule(CALL_TIMEOUT_MS, SimEvent::Notify { owner, event })
                    }
                    (None, None) => {}
                }
            }
            SimEvent::Restart { worker } => self.restart(worker),
            SimEvent::Append { owner, number, records } => {
                self.append_records(owner, number, records)
            }
        }
    }

    fn poll_owner(&mut self, owner: usize) {
        if !self.owners[owner].active {
            return;
        }
        if self.owners[owner].connected && self.owners[owner].epoch == self.job_index.epoch() {
            self.owners[owner].confirmed_at = self.now;
        } else if self.owners[owner].connected {
            self.owners[owner].active = false;
            return;
        }
        if self.rng.random_bool(0.05) && self.owners[owner].connected {
            let vms = Event::VmsListed(self.clocks().mono, self.vm_rows());
            self.schedule(5, SimEvent::Notify { owner, event: vms });
        }
        self.run_actions(owner);
        self.schedule(25, SimEvent::Poll { owner });
    }

    /// Polls the owner's scheduler and starts its actions.
    pub(crate) fn run_actions(&mut self, owner: usize) {
        let now = self.clocks();
        let confirmed = self.start + Duration::from_millis(self.owners[owner].confirmed_at);
        self.owners[owner].scheduler.set_ownership(OwnershipLease::from_heartbeat(confirmed));
        for action in self.owners[owner].scheduler.poll(now) {
            match action {
                Action::StepDown => {
                    self.owners[owner].active = false;
                    return;
                }
                Action::Write(number, records) => {
                    let delay = self.append_ms;
                    self.schedule(delay, SimEvent::Append { owner, number, records });
                }
                other => self.send_call(owner, other),
            }
        }
    }

    fn append_records(&mut self, owner: usize, number: u64, records: Vec<Record>) {
        let state = &self.owners[owner];
        if !state.active {
            return;
        }
        if !state.connected {
            return self.schedule(200, SimEvent::Append { owner, number, records });
        }
        if state.epoch < self.job_index.epoch() {
            self.owners[owner].active = false;
            return;
        }
        for record in records {
            self.append(Log::Jobs, record);
        }
        self.schedule(3, SimEvent::Notify { owner, event: Event::Written(number) });
    }

    /// Sends a call, with the faults that are drawn for it.
    fn send_call(&mut self, owner: usize, action: Action) {
        let Some(timeout) = timeout_event(&action, self.clocks().mono) else { return };
        let (sent, delay) = (self.now, self.rng.random_range(1..6));
        let roll: f64 = self.rng.random();
        let Faults { lost_call, lost_answer, delayed_call, .. } = self.faults;
        let timeout = SimEvent::Notify { owner, event: timeout };
        if roll < lost_call {
            self.schedule(CALL_TIMEOUT_MS, timeout);
        } else if roll < lost_call + lost_answer {
            self.schedule(CALL_TIMEOUT_MS, timeout);
            self.schedule(delay, SimEvent::Call { owner, action, sent, answered: false });
        } else if roll < lost_call + lost_answer + delayed_call {
            self.schedule(CALL_TIMEOUT_MS, timeout);
            let delay = self.rng.random_range(1_000..9_000);
            self.schedule(delay, SimEvent::Call { owner, action, sent, answered: false });
        } else if target(&action).is_some_and(|target| !self.is_reachable(target)) {
            self.schedule(CALL_TIMEOUT_MS, timeout);
        } else {
            self.schedule(delay, SimEvent::Call { owner, action, sent, answered: true });
        }
    }

    fn is_reachable(&self, target: &Target) -> bool {
        let worker = self.workers.iter().find(|worker| worker.id == target.worker);
        worker.is_some_and(|worker| worker.alive && worker.unreachable_until <= self.now)
    }

    /// Executes a call and returns its answer; `None` if the worker is not reachable or the action has no answer.
    fn execute_call(&mut self, owner: usize, action: Action, sent: u64) -> Option<Event> {
        let (now, token) = (self.now, self.owners[owner].epoch);
        let delayed = now - sent > CALL_TIMEOUT_MS;
        let sent = self.start + Duration::from_millis(sent);
        match action {
            Action::Start(target, command) => {
                let index = self.find_reachable(&target.worker)?;
                let worker = self.workers[index].clone();
                let long_running =
                    command.submission.spec.steps[command.task.step as usize].long_running;
                let estimate = command.submission.spec.steps[command.task.step as usize].estimate;
                let spread = self.rng.random_range(0.5..1.6);
                let default_ms = (estimate.as_millis() as f64 * spread) as u64 + 1;
                let run_ms = (!long_running)
                    .then(|| self.run_times.get(&command.task).copied().unwrap_or(default_ms));
                let fails = self.rng.random_bool(self.faults.failed_run);
                let result = self.workers[index].start(&command, token, now, run_ms, fails);
                if result == Ok(true) {
                    self.check_cap(command.task, &command.submission);
                    self.checks.check_start(
                        &command,
                        &worker,
                        &self.other_workers(index),
                        now,
                        delayed,
                    );
                }
                if result == Ok(true) && self.crash_on_start(index, command.task) {
                    return None;
                }
                let answer = command_answer(result.map(drop));
                Some(Event::Started(target.worker, command.task, command.run, answer))
            }
            Action::Stop(target, task, run, _) => {
                let index = self.find_reachable(&target.worker)?;
                let result = self.workers[index].stop(task, run, token, now);
                Some(Event::Stopped(target.worker, task, run, command_answer(result)))
            }
            Action::List { target, lease_end, acknowledged, .. } => {
                let index = self.find_reachable(&target.worker)?;
                if let Some(count) = self.max_listed_ends {
                    self.workers[index].max_listed_ends = count;
                }
                let listed = match self.workers[index].list(token, acknowledged, lease_end, now) {
                    Ok((listing, acknowledged_ends)) => {
                        self.checks.acknowledge(&self.workers[index], &acknowledged_ends);
                        ListAnswer::Listed(listing)
                    }
                    Err(refusal) => ListAnswer::Refused(refusal),
                };
                Some(Event::Listed(target.worker, sent, listed))
            }
            Action::MoveVm(vm, pool, _) => {
                let index = self.workers.iter().position(|worker| worker.vm == vm)?;
                if !self.workers[index].alive {
                    return Some(Event::Moved(vm, VmAnswer::NotUp));
                }
                if self.workers[index].service == pool {
                    return Some(Event::Moved(vm, VmAnswer::Done));
                }
                self.crash(index);
                let (back_at, state) = (now + 1_500, VmState::Moving);
                self.offline.push(OfflineVm { vm: vm.clone(), pool, back_at, state });
                Some(Event::Moved(vm, VmAnswer::Done))
            }
            Action::MaintainVm(vm, wave, _) => Some(self.maintain(vm, wave, delayed)),
            Action::ReportWave { completed, .. } => {
                self.wave_completed |= completed;
                None
            }
            _ => None,
        }
    }

    /// Crashes the worker if it has started a deadly task; it is back after 3 s. Returns true if the start isn't answered.
    fn crash_on_start(&mut self, worker: usize, task: TaskId) -> bool {
        let Some(starts) = self.deadly.get_mut(&task) else { return false };
        *starts += 1;
        self.crash_for(worker, 3_000);
        self.rng.random_bool(0.5)
    }

    /// Crashes a worker, which starts again after `ms`.
    pub(crate) fn crash_for(&mut self, worker: usize, ms: u64) {
        self.crash(worker);
        self.schedule(ms, SimEvent::Restart { worker });
    }

    fn maintain(&mut self, vm: VmId, wave: u64, delayed: bool) -> Event {
        let index = self.workers.iter().position(|worker| worker.vm == vm).unwrap();
        if !self.workers[index].alive {
            return Event::Maintained(vm, wave, VmAnswer::NotUp);
        }
        if self.maintained.contains(&vm) {
            return Event::Maintained(vm, wave, VmAnswer::Done);
        }
        self.maintained.insert(vm.clone());
        let cap = self.wave.as_ref().map_or(0, |wave| wave.cap);
        let off =
            self.offline.iter().filter(|off| off.state == VmState::Maintenance).count() as u32;
        assert!(
            off < cap,
            "maintenance of {vm} at {} ms began while {off} VMs were off, cap {cap}",
            self.now
        );
        // A call that was delayed in flight may break the limit through no fault of its sender.
        if !delayed {
            self.checks.check_interruption(&self.workers[index], &self.workers, &self.job_index);
        }
        let (pool, back_at) = (self.workers[index].service.clone(), self.now + 2_000);
        self.crash(index);
        self.offline.push(OfflineVm { vm: vm.clone(), pool, back_at, state: VmState::Maintenance });
        Event::Maintained(vm, wave, VmAnswer::Done)
    }

    /// Starts a maintenance wave over all VMs, with at most `cap` VMs off at a time.
    pub(crate) fn start_wave(&mut self, cap: u32) {
        let vms = self.workers.iter().map(|worker| worker.vm.clone()).collect();
        let wave = WaveSpec { number: 1, vms, duration: Duration::from_secs(30), cap };
        self.wave = Some(wave.clone());
        self.notify_owners(&Event::Wave(wave, Default::default()));
    }

    fn other_workers(&self, index: usize) -> Vec<TaskWorker> {
        let others = self.workers.iter().enumerate().filter(|(other, _)| *other != index);
        others.map(|(_, worker)| worker.clone()).collect()
    }

    fn find_reachable(&self, id: &WorkerId) -> Option<usize> {
        let reachable = |worker: &TaskWorker| worker.alive && worker.unreachable_until <= self.now;
        self.workers.iter().position(|worker| worker.id == *id && reachable(worker))
    }
}

fn command_answer(result: Result<(), Refusal>) -> CommandAnswer {
    result.map_or_else(CommandAnswer::Refused, |()| CommandAnswer::Done)
}

fn target(action: &Action) -> Option<&Target> {
    match action {
        Action::Start(target, _) | Action::Stop(target, ..) | Action::Pace(target, ..) => {
            Some(target)
        }
        Action::List { target, .. } => Some(target),
        _ => None,
    }
}

/// Event that the scheduler receives if a call is not answered in time; `None` for actions that are not calls.
fn timeout_event(action: &Action, sent: Instant) -> Option<Event> {
    let unanswered = CommandAnswer::Unanswered;
    match action {
        Action::Start(target, command) => {
            Some(Event::Started(target.worker.clone(), command.task, command.run, unanswered))
        }
        Action::Stop(target, task, run, _) => {
            Some(Event::Stopped(target.worker.clone(), *task, *run, unanswered))
        }
        Action::List { target, .. } => {
            Some(Event::Listed(target.worker.clone(), sent, ListAnswer::Unanswered))
        }
        Action::MoveVm(vm, ..) => Some(Event::Moved(vm.clone(), VmAnswer::Unanswered)),
        Action::MaintainVm(vm, wave, _) => {
            Some(Event::Maintained(vm.clone(), *wave, VmAnswer::Unanswered))
        }
        Action::ReportWave { .. } => Some(Event::Unregistered(WorkerId("none".into()))),
        _ => None,
    }
}
