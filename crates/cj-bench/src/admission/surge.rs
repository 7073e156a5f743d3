//! A surge of jobs on one pool in virtual time: the owner's scheduler, workers, VMs that move, and callers that retry at nodes
//! which decide on the loads that they have read.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

use cj_entry::{
    admission::{AdmissionDecision, admit, admit_by_end},
    expected_end::{JobAccount, JobDemand, JobRequest, PoolView},
    load_view::{AcceptedJob, LoadView},
};
use cj_sched::{
    Action, Event, JobIndex, JobKey, LoadReport, Queue, Scheduler, Submission, TaskId,
    load_report::account_digest,
    record::OwnerHeartbeat,
    sched::{
        CommandAnswer, Limits, ListAnswer, Now, OwnershipLease, Policies, VmAnswer, VmRow, VmState,
    },
};
use cj_standin::task_worker::TaskWorker;
use cj_types::{Millicores, NodeId, ServiceId, UnixMillis, VmId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::workload::{
    ACCOUNTS, Call, Load, OpenJob, Outcome, STRAGGLERS, TASK_MS, TASKS, TOTAL_MS, VM_CORES, VMS,
    account_id, config, job_spec, resources, service, spare_pool, submission,
};

/// Virtual time between two steps of the simulation, in ms.
const TICK_MS: u64 = 10;

/// Entry nodes.
const NODES: usize = 39;

/// Time between two loads, and longest time until a node has read one, in ms.
const REPORT_MS: u64 = 150;
const READ_MS: u64 = 200;

/// Time from the acceptance of a job until its owner has read it, in ms.
const SUBMIT_MS: u64 = 30;

/// A caller retries up to this many times, within this time of its first attempt.
const RETRIES: u32 = 4;
const RETRY_MS: u64 = 3_000;

/// Time between two lists of VMs, in ms.
const VM_LIST_MS: u64 = 500;

/// A listing that a worker holds back.
struct HeldListing {
    worker: usize,
    acknowledged: u64,
    lease_end: Option<u64>,
    sent: Instant,
    due: u64,
}

/// The owner, the workers and the nodes of a cell.
pub(super) struct Site {
    pub(super) scheduler: Scheduler,
    start: Instant,
    now: u64,
    /// For the calls, which are the same whatever the nodes decide.
    rng: Pcg64Mcg,
    /// For the nodes that calls reach, and for delays.
    node_rng: Pcg64Mcg,
    queues: Vec<Queue>,
    admits: bool,
    workers: Vec<TaskWorker>,
    /// VMs that are moving, with their new pool and the time of their arrival.
    moving: Vec<(usize, ServiceId, u64)>,
    listings: Vec<HeldListing>,
    events: Vec<Event>,
    nodes: Vec<LoadView>,
    /// Loads on their way to nodes.
    reports: Vec<(u64, usize, LoadReport)>,
    heartbeat: OwnerHeartbeat,
    /// Run times by task, in ms.
    run_times: HashMap<TaskId, u64>,
    open: HashMap<u64, OpenJob>,
    next_key: u64,
    outcome: Outcome,
}

impl Site {
    /// A site whose VMs are all up, with this many pools, of which the first one has VMs.
    pub(super) fn new(seed: u64, pools: u32, admits: bool, key_base: u64) -> Self {
        let start = Instant::now();
        let now = Now { mono: start, wall: UnixMillis(0) };
        let config = config(pools);
        let queues = config.queues.clone();
        let (limits, index) = (Limits::default(), JobIndex::default());
        let mut scheduler = Scheduler::new(1, limits, Rc::new(config), &index, start, now);
        scheduler.set_submissions_read();
        scheduler.set_policies(Policies { admit: admits, ..Policies::default() });
        let worker = |n: usize| {
            let pool = if n < VMS.0 { service(0) } else { spare_pool() };
            let rack = format!("rack-{}", n % 4);
            let mut worker =
                TaskWorker::new(&format!("w{n}"), &pool, &rack, resources(VM_CORES), 0);
            worker.alive = n < VMS.0;
            worker
        };
        let node = NodeId::try_from("owner").expect("valid name");
        let (cores, load) = (Millicores(500), Vec::new());
        let mut site = Site {
            scheduler,
            start,
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            node_rng: Pcg64Mcg::seed_from_u64(!seed),
            queues,
            admits,
            workers: (0..VMS.0 + VMS.1).map(worker).collect(),
            moving: Vec::new(),
            listings: Vec::new(),
            events: Vec::new(),
            nodes: vec![LoadView::default(); NODES],
            reports: Vec::new(),
            heartbeat: OwnerHeartbeat { epoch: 1, node, cores, released: false, load },
            run_times: HashMap::new(),
            open: HashMap::new(),
            next_key: key_base << 32 | 1,
            outcome: Outcome::default(),
        };
        for n in 0..VMS.0 {
            let registration = site.workers[n].registration();
            site.handle(Event::Registered(registration));
        }
        site.list_vms();
        site.handle_events();
        site
    }

    fn clocks(&self) -> Now {
        let passed = Duration::from_millis(self.now);
        Now { mono: self.start + passed, wall: UnixMillis(0) + passed }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clocks();
        self.scheduler.handle(event, now);
    }

    fn handle_events(&mut self) {
        for event in std::mem::take(&mut self.events) {
            self.handle(event);
        }
    }

    fn list_vms(&mut self) {
        let row = |worker: &TaskWorker| VmRow { state: VmState::Up, ..worker.vm_row() };
        let mut rows: Vec<VmRow> = self.workers.iter().map(row).collect();
        for (n, pool, _) in &self.moving {
            rows[*n] = VmRow {
                pool: pool.clone(),
                state: VmState::Moving,
                worker: None,
                ..rows[*n].clone()
            };
        }
        let sent = self.clocks().mono;
        self.events.push(Event::VmsListed(sent, rows));
    }

    pub(super) fn submit(&mut self, job: JobKey, submission: Rc<Submission>) {
        self.handle(Event::Submitted { job, submission, fresh: true, recorded: Vec::new() });
    }

    /// Runs the simulation and returns what became of the jobs.
    pub(super) fn run(mut self, load: Load) -> Outcome {
        let mut calls: BTreeMap<u64, Vec<Call>> = BTreeMap::new();
        let mut accepted: BTreeMap<u64, Vec<Call>> = BTreeMap::new();
        while self.now < TOTAL_MS {
            self.now += TICK_MS;
            self.advance();
            for _ in 0..self.arrivals(load) {
                let call = self.new_call(load);
                calls.entry(self.now).or_default().push(call);
            }
            while let Some(due) = calls.first_entry().filter(|due| *due.key() <= self.now) {
                for mut call in due.remove() {
                    match self.decide(&call) {
                        AdmissionDecision::Accept => {
                            call = self.accept(call);
                            accepted.entry(self.now + SUBMIT_MS).or_default().push(call);
                        }
                        AdmissionDecision::Refuse(after) => {
                            let again_at =
                                self.now + after.as_millis().div_ceil(1_000) as u64 * 1_000;
                            call.attempts += 1;
                            if call.attempts > RETRIES || again_at > call.first_at + RETRY_MS {
                                self.outcome.count("refused", call.account);
                            } else {
                                calls.entry(again_at).or_default().push(call);
                            }
                        }
                    }
                }
            }
            while let Some(due) = accepted.first_entry().filter(|due| *due.key() <= self.now) {
                for call in due.remove() {
                    self.submit(JobKey(call.key), call.submission);
                }
            }
            self.poll();
            if self.now.is_multiple_of(REPORT_MS) {
                self.publish();
            }
        }
        for job in self.open.values() {
            self.outcome.count("useless", job.account);
        }
        self.outcome
    }

    /// Number of new jobs in this step of the simulation.
    fn arrivals(&mut self, load: Load) -> u32 {
        let expected = load.arrivals_per_s(self.now) * TICK_MS as f64 / 1e3;
        expected as u32 + u32::from(self.rng.random_bool(expected.fract()))
    }

    fn new_call(&mut self, load: Load) -> Call {
        let steps = if self.rng.random_bool(0.6) { 2 } else { 1 };
        let error = self.rng.random_range(-0.9..0.9f64).exp();
        let mut spec = job_spec(0, steps);
        for step in &mut spec.steps {
            let error = error * self.rng.random_range(-0.3..0.3f64).exp();
            step.estimate = Duration::from_millis((TASK_MS * error) as u64);
        }
        let senders = if load.flood { ACCOUNTS + 9 } else { ACCOUNTS };
        let sender = self.rng.random_range(0..senders);
        let account = if sender < ACCOUNTS { sender } else { 0 };
        let key = self.next_key;
        self.next_key += 1;
        let submission = submission(0, Some(account), spec);
        Call { key, account, first_at: self.now, attempts: 0, submission }
    }

    /// Decides as a node that has read the loads published up to some time ago.
    fn decide(&mut self, call: &Call) -> AdmissionDecision {
        let (now, queue) = (self.clocks().mono, &self.queues[0]);
        let spec = &call.submission.spec;
        let by_backlog =
            || admit(Some(&self.heartbeat), &queue.service, spec, call.submission.objective);
        if !self.admits {
            return by_backlog();
        }
        let node = self.node_rng.random_range(0..NODES);
        let digest = account_digest(&account_id(call.account));
        let account = Some(JobAccount { digest, weight: 1.0 });
        let view = &mut self.nodes[node];
        let Some((load, age)) = view.pool(&queue.service, 1, now) else { return by_backlog() };
        let demand = JobDemand::new(spec, &load.run_times);
        let accepted = view.accepted_since(&queue.service, age, now);
        let move_time = Limits::default().move_time;
        let pool = PoolView { load, age, accepted, move_time };
        let (stretch, target) = (queue.stretch, queue.target);
        let request = JobRequest { spec, priority: 0, stretch, target, account };
        let decided = admit_by_end(&pool, JobKey(call.key), &request);
        let decision = decided.map_or_else(by_backlog, |(decision, _)| decision);
        if decision == AdmissionDecision::Accept {
            let job = AcceptedJob { account, work: demand.work, cores: demand.first_cores };
            view.add_accepted(queue.service.clone(), job, now);
        }
        decision
    }

    /// Draws the run times of an accepted job.
    fn accept(&mut self, call: Call) -> Call {
        // The same whether and when the job is accepted.
        let mut rng = Pcg64Mcg::seed_from_u64(call.key);
        let mut path_ms = 0;
        let steps = call.submission.spec.steps.len() as u32;
        for step in 0..steps {
            let mut longest = 0;
            for index in 0..TASKS {
                let factor = if rng.random_bool(STRAGGLERS) { 7.0 } else { 1.0 };
                let ms = (TASK_MS * factor * rng.random_range(0.8..1.2)) as u64;
                longest = longest.max(ms);
                let task = TaskId { job: JobKey(call.key), occurrence: 0, step, index };
                self.run_times.insert(task, ms);
            }
            path_ms += longest;
        }
        let objective_ms = path_ms * 8 / 5 + 600;
        let open = OpenJob {
            account: call.account,
            accepted_at: self.now,
            objective_ms,
            open_tasks: steps * TASKS,
        };
        self.open.insert(call.key, open);
        let received_at = self.clocks().wall;
        let submission = Rc::new(Submission { received_at, ..(*call.submission).clone() });
        Call { submission, ..call }
    }

    /// Applies the ends of runs, the arrivals of VMs and the answers that are due.
    fn advance(&mut self) {
        for n in 0..self.workers.len() {
            for task in self.workers[n].advance(self.now) {
                self.run_times.remove(&task);
                self.end_task(task);
            }
        }
        let (arrived, moving) =
            std::mem::take(&mut self.moving).into_iter().partition(|(.., at)| *at <= self.now);
        self.moving = moving;
        for (n, pool, _) in arrived {
            let vm: VmId = self.workers[n].vm.clone();
            let (id, rack) = (format!("w{n}-{}", self.now), self.workers[n].rack.clone());
            let mut worker = TaskWorker::new(&id, &pool, &rack, resources(VM_CORES), self.now);
            worker.alive = pool != spare_pool();
            self.workers[n] = worker.with_vm(vm);
            if self.workers[n].alive {
                self.events.push(Event::Registered(self.workers[n].registration()));
            }
        }
        if self.now.is_multiple_of(VM_LIST_MS) {
            self.list_vms();
        }
        let mut held = Vec::new();
        for listing in std::mem::take(&mut self.listings) {
            let worker = &mut self.workers[listing.worker];
            let has_ends = worker.ended_runs.iter().any(|row| row.number > listing.acknowledged);
            if listing.due > self.now && !has_ends {
                held.push(listing);
                continue;
            }
            let HeldListing { acknowledged, lease_end, sent, .. } = listing;
            let answer = match worker.list(1, acknowledged, lease_end, self.now) {
                Ok((listing, _)) => ListAnswer::Listed(listing),
                Err(refusal) => ListAnswer::Refused(refusal),
            };
            self.events.push(Event::Listed(worker.id.clone(), sent, answer));
        }
        self.listings = held;
        for (due, node, report) in std::mem::take(&mut self.reports) {
            if due <= self.now {
                let now = self.clocks().mono;
                self.nodes[node].record(report, now);
            } else {
                self.reports.push((due, node, report));
            }
        }
        self.handle_events();
    }

    fn end_task(&mut self, task: TaskId) {
        let key = task.job.0;
        let Some(job) = self.open.get_mut(&key) else { return };
        job.open_tasks -= 1;
        if job.open_tasks > 0 {
            return;
        }
        let took = self.now - job.accepted_at;
        let result = match took {
            _ if took <= job.objective_ms => "in_time",
            _ if took <= job.objective_ms * 3 => "late",
            _ => "useless",
        };
        self.outcome.count(result, job.account);
        self.open.remove(&key);
    }

    fn poll(&mut self) {
        let now = self.clocks();
        self.scheduler.set_ownership(OwnershipLease::from_heartbeat(now.mono));
        for action in self.scheduler.poll(now) {
            self.execute(action, now.mono);
        }
    }

    fn execute(&mut self, action: Action, sent: Instant) {
        let position = |id| self.workers.iter().position(|worker| worker.alive && worker.id == id);
        match action {
            Action::Start(target, command) => {
                let Some(n) = position(target.worker.clone()) else { return };
                let run_ms = self.run_times.get(&command.task).copied();
                let answer = match self.workers[n].start(&command, 1, self.now, run_ms, false) {
                    Ok(_) => CommandAnswer::Done,
                    Err(refusal) => CommandAnswer::Refused(refusal),
                };
                let event = Event::Started(target.worker, command.task, command.run, answer);
                self.events.push(event);
            }
            Action::Stop(target, task, run, _) => {
                let Some(n) = position(target.worker.clone()) else { return };
                let answer = match self.workers[n].stop(task, run, 1, self.now) {
                    Ok(()) => CommandAnswer::Done,
                    Err(refusal) => CommandAnswer::Refused(refusal),
                };
                self.events.push(Event::Stopped(target.worker, task, run, answer));
            }
            Action::List { target, lease_end, acknowledged, wait } => {
                let Some(worker) = position(target.worker) else { return };
                let due = self.now + wait.as_millis() as u64;
                self.listings.push(HeldListing { worker, acknowledged, lease_end, sent, due });
            }
            Action::MoveVm(vm, pool, _) => {
                let Some(n) = self.workers.iter().position(|worker| worker.vm == vm) else {
                    return;
                };
                if self.workers[n].alive {
                    self.events.push(Event::Unregistered(self.workers[n].id.clone()));
                    self.workers[n].crash();
                }
                self.listings.retain(|listing| listing.worker != n);
                self.moving.push((n, pool.clone(), self.now + 1_500));
                self.events.push(Event::Moved(vm, pool, VmAnswer::Done));
            }
            Action::Write(number, _) => self.events.push(Event::Written(number)),
            _ => {}
        }
    }

    /// Publishes the load to the nodes, each of which reads it some time later.
    fn publish(&mut self) {
        self.heartbeat.load = self.scheduler.load();
        let report = self.scheduler.load_report();
        for node in 0..NODES {
            let due = self.now + 20 + self.node_rng.random_range(0..READ_MS);
            self.reports.push((due, node, report.clone()));
        }
    }
}
