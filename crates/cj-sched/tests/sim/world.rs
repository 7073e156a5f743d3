//! Virtual time, a store, workers, and one or more schedulers that own the fleet or did so before.

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

use crate::logs::Logs;
use cj_standin::{task_checks::TaskChecks, task_worker::TaskWorker};

/// Wall-clock time at the start.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Time after which a call without an answer is given up, in ms.
const CALL_LIMIT: u64 = 800;

/// Chances of faults of single calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// The call is lost.
    pub(crate) lost: f64,
    /// It is carried out and its answer is lost.
    pub(crate) unanswered: f64,
    /// It is carried out seconds later, and its answer is lost.
    pub(crate) late: f64,
    /// A task fails.
    pub(crate) failing: f64,
}

pub(crate) enum Effect {
    Arrive {
        owner: usize,
        action: Action,
        sent: u64,
        answered: bool,
    },
    Reply {
        owner: usize,
        event: Event,
    },
    Poll {
        owner: usize,
    },
    /// The owner reads the overflow log.
    Read {
        owner: usize,
    },
    /// The owner with this fencing token marks the overflow log.
    Mark {
        epoch: u64,
    },
    Store {
        owner: usize,
        number: u64,
        records: Vec<Record>,
    },
}

struct Timed {
    at: u64,
    order: u64,
    effect: Effect,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A VM that is off.
#[derive(Clone)]
struct Off {
    vm: VmId,
    pool: ServiceId,
    until: u64,
    state: VmState,
}

pub(crate) struct Owner {
    pub(crate) scheduler: Scheduler,
    pub(crate) epoch: u64,
    pub(crate) active: bool,
    /// It can reach the store.
    pub(crate) connected: bool,
    pub(crate) confirmed: u64,
    /// What it has read.
    pub(crate) book: JobIndex,
    /// Records of the overflow log that it has read.
    pub(crate) read: usize,
}

/// The simulated fleet.
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) workers: Vec<TaskWorker>,
    pub(crate) book: JobIndex,
    pub(crate) checks: TaskChecks,
    pub(crate) faults: Faults,
    pub(crate) steps: u64,
    pub(crate) logs: Logs,
    pub(crate) base: Instant,
    pub(crate) owners: Vec<Owner>,
    queue: BinaryHeap<Reverse<Timed>>,
    order: u64,
    pub(crate) config: Rc<FleetConfig>,
    /// VMs that are off, with the time at which their new worker begins.
    off: Vec<Off>,
    pub(crate) wave: Option<WaveSpec>,
    /// VMs whose maintenance for the wave has begun.
    maintained: HashSet<VmId>,
    /// The wave was reported as completed.
    pub(crate) completed: bool,
    /// Run times of tasks in ms; those of others are drawn around their estimates.
    pub(crate) truth: HashMap<TaskId, u64>,
    /// Time in ms that VMs were in pools other than the spare one, over all VMs.
    pub(crate) held_ms: u64,
    /// Policies of the schedulers that take over from now on.
    pub(crate) policies: Policies,
}

pub(crate) fn service(name: &str) -> ServiceId {
    ServiceId::try_from(name).unwrap()
}

pub(crate) fn resources(cores: u32, memory: u32) -> Resources {
    Resources { cores: Millicores(cores), memory: Mebibytes(memory), accelerators: Accelerators(0) }
}

/// A step of `count` equal tasks.
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
    };
    let pool = |name: &str, spare| (service(name), Pool { rejects_overload: false, spare });
    FleetConfig {
        version: Version(1),
        queues: vec![queue("red"), queue("blue")],
        pools: [pool("red", false), pool("blue", false), pool("spare", true)].into(),
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        crate::show_decisions();
        World {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: Vec::new(),
            book: JobIndex::default(),
            checks: TaskChecks::default(),
            faults: Faults::default(),
            steps: 0,
            logs: Logs::new(seed),
            base: Instant::now(),
            owners: Vec::new(),
            queue: BinaryHeap::new(),
            order: 0,
            config: Rc::new(config()),
            off: Vec::new(),
            wave: None,
            maintained: HashSet::new(),
            completed: false,
            truth: HashMap::new(),
            held_ms: 0,
            policies: Policies::default(),
        }
    }

    pub(crate) fn add_worker(&mut self, id: &str, name: &str, rack: &str) {
        let worker = TaskWorker::new(id, &service(name), rack, resources(16_000, 64_000), self.now);
        self.workers.push(worker);
        let last = self.workers.len() - 1;
        self.report(last);
    }

    pub(crate) fn clocks(&self) -> Now {
        Now {
            mono: self.base + Duration::from_millis(self.now),
            wall: UnixMillis(EPOCH_MS + self.now),
        }
    }

    pub(crate) fn schedule(&mut self, delay: u64, effect: Effect) {
        self.order += 1;
        let timed = Timed { at: self.now + delay, order: self.order, effect };
        self.queue.push(Reverse(timed));
    }

    pub(crate) fn tell(&mut self, event: &Event) {
        for owner in 0..self.owners.len() {
            if self.owners[owner].active && self.owners[owner].connected {
                self.schedule(2, Effect::Reply { owner, event: event.clone() });
            }
        }
    }

    /// The owner can't reach the store any more.
    pub(crate) fn cut_owner(&mut self) {
        if let Some(last) = self.owners.last_mut() {
            last.connected = false;
        }
    }

    fn report(&mut self, index: usize) {
        let event = Event::Registered(self.workers[index].report());
        self.tell(&event);
    }

    pub(crate) fn vm_rows(&self) -> Vec<VmRow> {
        let is_off = |vm: &VmId| self.off.iter().any(|off| off.vm == *vm);
        let rows = self.workers.iter().filter(|worker| !is_off(&worker.vm)).map(TaskWorker::vm_row);
        let moves = self.off.iter().map(|off| VmRow {
            vm: off.vm.clone(),
            pool: off.pool.clone(),
            state: off.state,
            labels: Vec::new(),
            capacity: resources(16_000, 64_000),
            worker: None,
        });
        rows.chain(moves).collect()
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.workers[index].crash();
        let id = self.workers[index].id.clone();
        self.tell(&Event::Unregistered(id));
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let vm = &self.workers[index].vm;
        // The VM's next worker begins when the VM is back.
        if !self.off.iter().any(|off| off.vm == *vm) {
            self.workers[index].restart(self.now);
            self.report(index);
        }
    }

    pub(crate) fn drain(&mut self, index: usize) {
        self.workers[index].draining = true;
        self.report(index);
    }

    /// Runs for some time.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.queue.peek().is_some_and(|next| next.0.at <= end) {
            let Reverse(timed) = self.queue.pop().unwrap();
            self.count_held(timed.at);
            self.now = timed.at;
            self.steps += 1;
            self.advance_workers();
            self.carry_out(timed.effect);
        }
        self.count_held(end);
        self.now = end;
        self.advance_workers();
    }

    fn count_held(&mut self, until: u64) {
        let held = self.workers.iter().filter(|worker| worker.service.as_str() != "spare").count();
        self.held_ms += held as u64 * (until - self.now);
    }

    fn advance_workers(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            for task in self.workers[index].advance(now) {
                self.checks.note_done(task, &self.workers[index]);
            }
        }
        let arrived: Vec<_> = self.off.iter().filter(|off| off.until <= now).cloned().collect();
        self.off.retain(|off| off.until > now);
        for Off { vm, pool, .. } in arrived {
            let index = self.workers.iter().position(|worker| worker.vm == vm).unwrap();
            self.order += 1;
            let id = format!("{pool}-{}", self.order);
            let rack = self.workers[index].rack.clone();
            let capacity = self.workers[index].capacity;
            let fresh = TaskWorker::new(&id, &pool, &rack, capacity, now);
            self.workers[index] = fresh.on_vm(vm);
            self.report(index);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Poll { owner } => self.poll(owner),
            Effect::Read { owner } => self.read_overflow(owner),
            Effect::Mark { epoch } => self.mark_overflow(epoch),
            Effect::Reply { owner, event } => {
                let now = self.clocks();
                if self.owners[owner].active {
                    self.owners[owner].scheduler.handle(event, now);
                    self.act(owner);
                }
            }
            Effect::Arrive { owner, action, sent, answered } => {
                let give_up = unanswered(&action, self.base + Duration::from_millis(sent));
                let event = self.arrive(owner, action, sent);
                match (event, give_up) {
                    _ if !answered => {}
                    (Some(event), _) => self.schedule(2, Effect::Reply { owner, event }),
                    // The worker ended while the call was on its way.
                    (None, Some(event)) => {
                        self.schedule(CALL_LIMIT, Effect::Reply { owner, event })
                    }
                    (None, None) => {}
                }
            }
            Effect::Store { owner, number, records } => self.store(owner, number, records),
        }
    }

    fn poll(&mut self, owner: usize) {
        if !self.owners[owner].active {
            return;
        }
        if self.owners[owner].connected && self.owners[owner].epoch == self.book.epoch() {
            self.owners[owner].confirmed = self.now;
        } else if self.owners[owner].connected {
            self.owners[owner].active = false;
            return;
        }
        if self.rng.random_bool(0.05) && self.owners[owner].connected {
            let vms = Event::VmsListed(self.clocks().mono, self.vm_rows());
            self.schedule(5, Effect::Reply { owner, event: vms });
        }
        self.act(owner);
        self.schedule(25, Effect::Poll { owner });
    }

    pub(crate) fn act(&mut self, owner: usize) {
        let now = self.clocks();
        let confirmed = self.base + Duration::from_millis(self.owners[owner].confirmed);
        self.owners[owner].scheduler.set_ownership(OwnershipLease::from_heartbeat(confirmed));
        for action in self.owners[owner].scheduler.poll(now) {
            match action {
                Action::StepDown => {
                    self.owners[owner].active = false;
                    return;
                }
                Action::Write(number, records) => {
                    self.schedule(6, Effect::Store { owner, number, records });
                }
                other => self.send(owner, other),
            }
        }
    }

    fn store(&mut self, owner: usize, number: u64, records: Vec<Record>) {
        let state = &self.owners[owner];
        if !state.active {
            return;
        }
        if !state.connected {
            return self.schedule(200, Effect::Store { owner, number, records });
        }
        if state.epoch < self.book.epoch() {
            self.owners[owner].active = false;
            return;
        }
        for record in records {
            self.write(Log::Jobs, record);
        }
        self.schedule(3, Effect::Reply { owner, event: Event::Written(number) });
    }

    fn send(&mut self, owner: usize, action: Action) {
        let Some(unanswered) = unanswered(&action, self.clocks().mono) else { return };
        let (sent, delay) = (self.now, self.rng.random_range(1..6));
        let roll: f64 = self.rng.random();
        let Faults { lost, unanswered: silent, late, .. } = self.faults;
        let give_up = Effect::Reply { owner, event: unanswered };
        if roll < lost {
            self.schedule(CALL_LIMIT, give_up);
        } else if roll < lost + silent {
            self.schedule(CALL_LIMIT, give_up);
            self.schedule(delay, Effect::Arrive { owner, action, sent, answered: false });
        } else if roll < lost + silent + late {
            self.schedule(CALL_LIMIT, give_up);
            let delay = self.rng.random_range(1_000..9_000);
            self.schedule(delay, Effect::Arrive { owner, action, sent, answered: false });
        } else if target(&action).is_some_and(|target| !self.reaches(target)) {
            self.schedule(CALL_LIMIT, give_up);
        } else {
            self.schedule(delay, Effect::Arrive { owner, action, sent, answered: true });
        }
    }

    fn reaches(&self, target: &Target) -> bool {
        let worker = self.workers.iter().find(|worker| worker.id == target.worker);
        worker.is_some_and(|worker| worker.alive && worker.cut_until <= self.now)
    }

    fn arrive(&mut self, owner: usize, action: Action, sent: u64) -> Option<Event> {
        let (now, token) = (self.now, self.owners[owner].epoch);
        let late = now - sent > CALL_LIMIT;
        let sent = self.base + Duration::from_millis(sent);
        match action {
            Action::Start(target, order) => {
                let index = self.find(&target.worker)?;
                let worker = self.workers[index].clone();
                let lasting = order.submission.spec.steps[order.task.step as usize].long_running;
                let estimate = order.submission.spec.steps[order.task.step as usize].estimate;
                let spread = self.rng.random_range(0.5..1.6);
                let guess = (estimate.as_millis() as f64 * spread) as u64 + 1;
                let run_ms =
                    (!lasting).then(|| self.truth.get(&order.task).copied().unwrap_or(guess));
                let fails = self.rng.random_bool(self.faults.failing);
                let result = self.workers[index].start(&order, token, now, run_ms, fails);
                if result == Ok(true) {
                    self.checks.start(&order, &worker, &self.others(index), now, late);
                }
                let answer = answer(result.map(drop));
                Some(Event::Started(target.worker, order.task, order.run, answer))
            }
            Action::Stop(target, task, run) => {
                let index = self.find(&target.worker)?;
                let result = self.workers[index].stop(task, run, token, now);
                Some(Event::Stopped(target.worker, task, run, answer(result)))
            }
            Action::List { target, lease_end: deadline, acknowledged: seen, .. } => {
                let index = self.find(&target.worker)?;
                let listed = match self.workers[index].list(token, seen, deadline, now) {
                    Ok((listing, told)) => {
                        self.checks.acknowledge(&self.workers[index], &told);
                        ListAnswer::Listed(listing)
                    }
                    Err(refusal) => ListAnswer::Refused(refusal),
                };
                Some(Event::Listed(target.worker, sent, listed))
            }
            Action::MoveVm(vm, pool) => {
                let index = self.workers.iter().position(|worker| worker.vm == vm)?;
                if !self.workers[index].alive {
                    return Some(Event::Moved(vm, VmAnswer::NotUp));
                }
                if self.workers[index].service == pool {
                    return Some(Event::Moved(vm, VmAnswer::Done));
                }
                self.crash(index);
                let (until, state) = (now + 1_500, VmState::Moving);
                self.off.push(Off { vm: vm.clone(), pool, until, state });
                Some(Event::Moved(vm, VmAnswer::Done))
            }
            Action::MaintainVm(vm, wave) => Some(self.maintain(vm, wave, late)),
            Action::ReportWave { completed, .. } => {
                self.completed |= completed;
                None
            }
            _ => None,
        }
    }

    fn maintain(&mut self, vm: VmId, wave: u64, late: bool) -> Event {
        let index = self.workers.iter().position(|worker| worker.vm == vm).unwrap();
        if !self.workers[index].alive {
            return Event::Maintained(vm, wave, VmAnswer::NotUp);
        }
        if self.maintained.contains(&vm) {
            return Event::Maintained(vm, wave, VmAnswer::Done);
        }
        self.maintained.insert(vm.clone());
        let cap = self.wave.as_ref().map_or(0, |order| order.cap);
        let off = self.off.iter().filter(|off| off.state == VmState::Maintenance).count() as u32;
        assert!(off < cap, "{vm} goes off at {} beside {off} others", self.now);
        // A call that was held up and carried out late is no fault of its sender.
        if !late {
            self.checks.interrupt(&self.workers[index], &self.workers, &self.book);
        }
        let (pool, until) = (self.workers[index].service.clone(), self.now + 2_000);
        self.crash(index);
        self.off.push(Off { vm: vm.clone(), pool, until, state: VmState::Maintenance });
        Event::Maintained(vm, wave, VmAnswer::Done)
    }

    /// An operator orders the maintenance of all VMs.
    pub(crate) fn order_wave(&mut self, cap: u32) {
        let vms = self.workers.iter().map(|worker| worker.vm.clone()).collect();
        let order = WaveSpec { number: 1, vms, duration: Duration::from_secs(30), cap };
        self.wave = Some(order.clone());
        self.tell(&Event::Wave(order, Default::default()));
    }

    fn others(&self, index: usize) -> Vec<TaskWorker> {
        let others = self.workers.iter().enumerate().filter(|(other, _)| *other != index);
        others.map(|(_, worker)| worker.clone()).collect()
    }

    fn find(&self, id: &WorkerId) -> Option<usize> {
        let reachable = |worker: &TaskWorker| worker.alive && worker.cut_until <= self.now;
        self.workers.iter().position(|worker| worker.id == *id && reachable(worker))
    }
}

fn answer(result: Result<(), Refusal>) -> CommandAnswer {
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

/// What the scheduler hears when a call isn't answered.
fn unanswered(action: &Action, sent: Instant) -> Option<Event> {
    let none = CommandAnswer::Unanswered;
    match action {
        Action::Start(target, order) => {
            Some(Event::Started(target.worker.clone(), order.task, order.run, none))
        }
        Action::Stop(target, task, run) => {
            Some(Event::Stopped(target.worker.clone(), *task, *run, none))
        }
        Action::List { target, .. } => {
            Some(Event::Listed(target.worker.clone(), sent, ListAnswer::Unanswered))
        }
        Action::MoveVm(vm, _) => Some(Event::Moved(vm.clone(), VmAnswer::Unanswered)),
        Action::MaintainVm(vm, wave) => {
            Some(Event::Maintained(vm.clone(), *wave, VmAnswer::Unanswered))
        }
        Action::ReportWave { .. } => Some(Event::Unregistered(WorkerId("none".into()))),
        _ => None,
    }
}
