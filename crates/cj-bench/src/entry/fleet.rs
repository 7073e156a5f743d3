//! Workers, the store, and the entry nodes of one simulated site.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use cj_entry::{
    EntryNode, EntrySettings, Guard, Topic, api::SubmitOutcome, layout::NodeCapacity, owner,
};
use cj_sched::{
    FleetConfig, JobKey, JobSpec, JobState, Pool, Queue, StepSpec, TaskId,
    sched::{
        EndKind, Limits, Listing, Policies, Refusal, StartCommand, VmAnswer, VmRow, VmState,
        WaveSpec, WorkerId, WorkerRegistration,
    },
};
use cj_standin::task_worker::TaskWorker;
use cj_types::{Accelerators, Mebibytes, Millicores, NodeId, Resources, ServiceId, Version, VmId};
use compact_str::{CompactString, format_compact};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    platform::{Condition, Link, NodeClock, NodePlatform},
    store::Store,
};

/// Cores of a worker, in thousandths.
const WORKER_CORES: Millicores = Millicores(16_000);

/// Bandwidth of a node's link in Mbit/s unless said otherwise; one cell has room on it.
const WIDE_LINK: f64 = 1_000.0;

/// Key under which the operator orders the wave.
pub(super) const WAVE_KEY: &str = "wave";

/// Time for the wave.
const WAVE: Duration = Duration::from_secs(30);

/// Most cells of a site.
const CELLS: u16 = 12;

/// Time between two tries of a caller whose job isn't accepted.
const CALLER_RETRY: Duration = Duration::from_millis(150);

/// Time that a caller waits for an answer.
const CALLER_LIMIT: Duration = Duration::from_secs(3);

/// The store, the workers, and what is counted there.
pub(super) struct Fleet {
    pub(super) store: Rc<Store>,
    pub(super) config: FleetConfig,
    pub(super) wave: Option<WaveSpec>,
    workers: Vec<TaskWorker>,
    base: tokio::time::Instant,
    rng: Pcg64Mcg,
    /// Acknowledged ends of tasks that are done.
    done: HashMap<TaskId, u32>,
    /// Core milliseconds of runs whose lease lapsed.
    lapsed: u64,
    /// Nodes by the address at which others ask them.
    peers: HashMap<CompactString, Weak<Peer>>,
    /// When the first order to start came, by fencing token.
    pub(super) ordered: HashMap<u64, tokio::time::Instant>,
    /// Maintenance of the VMs.
    pub(super) upkeep: Upkeep,
}

/// Maintenance of VMs as the platform does it. Like a platform that doesn't fence such calls, it carries out those of earlier
/// owners too.
#[derive(Default)]
pub(super) struct Upkeep {
    /// VMs that are off, with the time in ms at which they are back.
    off: HashMap<VmId, u64>,
    pub(super) maintained: HashSet<VmId>,
    /// Highest fencing token of a call, by VM.
    tokens: HashMap<VmId, u64>,
    /// Calls with a lower token than an earlier one for the same VM.
    pub(super) stale: usize,
    lives: u64,
}

fn service() -> ServiceId {
    ServiceId::try_from("red").expect("the name is valid")
}

fn queue() -> Queue {
    Queue {
        name: "red".into(),
        host: "host".into(),
        prefix: "/red/".into(),
        service: service(),
        priority: 0,
        max_attempts: 3,
        // Jobs are accepted however long the queue is.
        stretch: 1_000.0,
        target: Duration::from_millis(600),
        advice: None,
    }
}

fn resources(cores: Millicores) -> Resources {
    Resources { cores, memory: Mebibytes(64_000), accelerators: Accelerators(0) }
}

impl Fleet {
    fn new(workers: u32, seed: u64) -> Self {
        let base = tokio::time::Instant::now();
        let new = |n| {
            let rack = format!("rack-{}", n % 4);
            TaskWorker::new(&format!("w{n}"), &service(), &rack, resources(WORKER_CORES), 0)
        };
        let workers: Vec<_> = (0..workers).map(new).collect();
        let store = Rc::new(Store::default());
        let keys: Vec<_> = workers.iter().map(|w| (w.id.0.clone(), vec![1])).collect();
        let config = [("config".into(), vec![1])];
        for (topic, records) in [(Topic::Registry, &keys[..]), (Topic::Operator, &config[..])] {
            store.append(topic, records, Guard::None).expect("no condition");
        }
        let pools = [(service(), Pool { rejects_overload: false, spare: false })].into();
        let config = FleetConfig { version: Version(1), queues: vec![queue()], pools };
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (done, ordered) = (HashMap::new(), HashMap::new());
        let peers = HashMap::new();
        let upkeep = Upkeep::default();
        Fleet {
            store,
            config,
            wave: None,
            workers,
            base,
            rng,
            done,
            lapsed: 0,
            peers,
            ordered,
            upkeep,
        }
    }

    fn now(&self) -> u64 {
        (tokio::time::Instant::now() - self.base).as_millis() as u64
    }

    /// The worker, after the time that passed.
    pub(super) fn worker(&mut self, id: &WorkerId) -> Option<&mut TaskWorker> {
        let now = self.now();
        let named = |worker: &&mut TaskWorker| worker.id == *id && worker.alive;
        let worker = self.workers.iter_mut().find(named)?;
        let runs = worker.runs.clone();
        let before = worker.ended_runs.len();
        worker.advance(now);
        for row in
            worker.ended_runs[before..].iter().filter(|row| row.kind == EndKind::LeaseExpired)
        {
            let run = &runs[&row.task];
            self.lapsed += u64::from(run.demand.cores.0) * (now - run.started_at);
        }
        Some(worker)
    }

    pub(super) fn start(
        &mut self,
        id: &WorkerId,
        order: &StartCommand,
        token: u64,
    ) -> Option<Result<(), Refusal>> {
        let now = self.now();
        let estimate = order.submission.spec.steps[0].estimate;
        let run_ms = (estimate.as_millis() as f64 * self.rng.random_range(0.6..1.4)) as u64;
        self.ordered.entry(token).or_insert_with(tokio::time::Instant::now);
        let started = self.worker(id)?.start(order, token, now, Some(run_ms), false);
        Some(started.map(drop))
    }

    pub(super) fn stop(
        &mut self,
        id: &WorkerId,
        task: TaskId,
        run: u64,
        token: u64,
    ) -> Option<Result<(), Refusal>> {
        let now = self.now();
        Some(self.worker(id)?.stop(task, run, token, now))
    }

    pub(super) fn list(
        &mut self,
        id: &WorkerId,
        token: u64,
        seen: u64,
        deadline: Option<u64>,
    ) -> Option<Result<Listing, Refusal>> {
        let now = self.now();
        let listed = self.worker(id)?.list(token, seen, deadline, now);
        Some(listed.map(|(listing, told)| {
            for row in told.iter().filter(|row| row.kind == EndKind::Done) {
                *self.done.entry(row.task).or_default() += 1;
            }
            listing
        }))
    }

    pub(super) fn report(&self, key: &str) -> Option<WorkerRegistration> {
        let worker = self.workers.iter().find(|worker| worker.id.0 == key)?;
        Some(worker.registration())
    }

    /// The node that answers at an address.
    pub(super) fn peer(&self, address: &str) -> Option<Rc<Peer>> {
        self.peers.get(address)?.upgrade()
    }

    /// The list of VMs. Those whose maintenance is over run a new life.
    pub(super) fn vms(&mut self) -> Vec<VmRow> {
        self.end_maintenance();
        let off = &self.upkeep.off;
        let row = |worker: &TaskWorker| {
            let row = worker.vm_row();
            if off.contains_key(&row.vm) {
                return VmRow { state: VmState::Maintenance, worker: None, ..row };
            }
            row
        };
        self.workers.iter().map(row).collect()
    }

    /// Orders the maintenance of all VMs, at most `cap` at once.
    pub(super) fn order_wave(&mut self, cap: u32) {
        let vms = self.workers.iter().map(|worker| worker.vm.clone()).collect();
        self.wave = Some(WaveSpec { number: 1, vms, duration: WAVE, cap });
        let record = [(WAVE_KEY.into(), vec![1])];
        self.store.append(Topic::Operator, &record, Guard::None).expect("no condition");
    }

    /// Takes a VM off for its maintenance.
    pub(super) fn maintain(&mut self, vm: &VmId, token: u64) -> Option<VmAnswer> {
        let now = self.now();
        let seen = self.upkeep.tokens.entry(vm.clone()).or_default();
        self.upkeep.stale += usize::from(token < *seen);
        *seen = token.max(*seen);
        if !self.upkeep.maintained.insert(vm.clone()) {
            return Some(VmAnswer::Done);
        }
        let worker = self.workers.iter_mut().find(|worker| worker.vm == *vm)?;
        worker.crash();
        let gone = [(worker.id.0.clone(), Vec::new())];
        self.store.append(Topic::Registry, &gone, Guard::None).expect("no condition");
        let back = now + Limits::default().maintenance_time.as_millis() as u64;
        self.upkeep.off.insert(vm.clone(), back);
        Some(VmAnswer::Done)
    }

    fn end_maintenance(&mut self) {
        let now = self.now();
        for worker in &mut self.workers {
            if self.upkeep.off.get(&worker.vm).is_none_or(|back| *back > now) {
                continue;
            }
            self.upkeep.off.remove(&worker.vm);
            self.upkeep.lives += 1;
            let id = format!("w-{}", self.upkeep.lives);
            let fresh = TaskWorker::new(&id, &worker.service, &worker.rack, worker.capacity, now);
            *worker = fresh.with_vm(worker.vm.clone());
            let key = [(id.into(), vec![1])];
            self.store.append(Topic::Registry, &key, Guard::None).expect("no condition");
        }
    }

    /// True when all workers were called under a fencing token of at least `token`.
    pub(super) fn is_taken(&self, token: u64) -> bool {
        self.workers.iter().all(|worker| worker.newest_token >= token)
    }

    /// Tasks of which more than one run was acknowledged as done.
    pub(super) fn doubled(&self) -> usize {
        self.done.values().filter(|ends| **ends > 1).count()
    }

    /// Core seconds of lapsed runs.
    pub(super) fn lapsed_seconds(&self) -> f64 {
        self.lapsed as f64 / 1e6
    }
}

/// A node and its network.
pub(super) struct Peer {
    pub(super) node: Rc<EntryNode<NodePlatform, NodeClock>>,
    pub(super) link: Rc<Link>,
}

/// A simulated site.
pub(super) struct Site {
    pub(super) fleet: Rc<RefCell<Fleet>>,
    pub(super) seats: Vec<Rc<Peer>>,
    /// Bandwidth of a node's link in Mbit/s; a narrow one makes small cells.
    bandwidth: f64,
    /// Jobs that were accepted.
    accepted: Rc<RefCell<HashSet<JobKey>>>,
    submitted: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
    base: Instant,
}

impl Site {
    /// A site of workers without a node.
    pub(super) fn new(workers: u32, seed: u64) -> Self {
        Site::with_links(workers, seed, WIDE_LINK)
    }

    /// A site whose nodes have links of this bandwidth in Mbit/s.
    pub(super) fn with_links(workers: u32, seed: u64, bandwidth: f64) -> Self {
        let fleet = Rc::new(RefCell::new(Fleet::new(workers, seed)));
        Site {
            fleet,
            seats: Vec::new(),
            bandwidth,
            accepted: Rc::default(),
            submitted: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ 1)),
            base: tokio::time::Instant::now().into_std(),
        }
    }

    /// Starts a node.
    pub(super) fn add_node(&mut self, cores: Millicores) {
        let link = Link::new();
        let platform = NodePlatform { fleet: self.fleet.clone(), link: link.clone() };
        let address = format_compact!("node-{}", self.seats.len());
        let settings = EntrySettings {
            node: NodeId::try_from(format!("n{}", self.seats.len()).as_str())
                .expect("the name is valid"),
            peer_address: address.clone(),
            limits: Limits::default(),
            policies: Policies::default(),
            capacity: NodeCapacity { cores, link_mbps: self.bandwidth, max_cells: CELLS },
            retention: Duration::from_secs(150),
            seed: self.rng.borrow_mut().random(),
        };
        let node = EntryNode::new(platform, NodeClock(link.clone(), self.base), settings);
        tokio::task::spawn_local(node.clone().follow());
        tokio::task::spawn_local(owner::run(node.clone()));
        let peer = Rc::new(Peer { node, link });
        self.fleet.borrow_mut().peers.insert(address, Rc::downgrade(&peer));
        self.seats.push(peer);
    }

    /// The node that owns the fleet.
    pub(super) fn owner(&self) -> Option<usize> {
        let owns = |seat: &Rc<Peer>| seat.node.members().iter().any(|member| member.is_owned());
        self.seats.iter().position(owns)
    }

    /// Nodes that work and own a cell.
    pub(super) fn owners(&self) -> Vec<usize> {
        let owns = |number: &usize| {
            let seat = &self.seats[*number];
            let well = seat.link.condition.get() == Condition::Well;
            well && seat.node.members().iter().any(|member| member.is_owned())
        };
        (0..self.seats.len()).filter(owns).collect()
    }

    /// Number of cells that a node which works owns.
    pub(super) fn owned_cells(&self) -> usize {
        let well = self.seats.iter().filter(|s| s.link.condition.get() == Condition::Well);
        let owned = well.flat_map(|seat| seat.node.members()).filter(|member| member.is_owned());
        owned.map(|member| member.id).collect::<HashSet<_>>().len()
    }

    /// Highest fencing token that a node has read.
    pub(super) fn epoch(&self) -> u64 {
        let members = self.seats.iter().flat_map(|seat| seat.node.members());
        members.map(|member| member.job_index.borrow().epoch()).max().unwrap_or_default()
    }

    /// Submits a job of `tasks` tasks that take about `estimate`; its caller tries nodes at random until one accepts it.
    pub(super) fn submit(&self, tasks: u32, estimate: Duration) {
        self.submitted.set(self.submitted.get() + 1);
        let job = JobKey(self.submitted.get());
        let nodes: Vec<_> =
            self.seats.iter().map(|seat| (seat.node.clone(), seat.link.clone())).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.borrow_mut().random());
        let accepted = self.accepted.clone();
        let queue = queue();
        tokio::task::spawn_local(async move {
            loop {
                let (node, link) = &nodes[rng.random_range(0..nodes.len())];
                let runs = !matches!(
                    link.condition.get(),
                    Condition::Killed | Condition::Frozen | Condition::Cut
                );
                if runs {
                    let end = tokio::time::Instant::now() + CALLER_LIMIT;
                    let answer = node.submit(&queue, job, spec(tasks, estimate), end.into_std());
                    let answer = tokio::time::timeout_at(end, answer).await;
                    if answer == Ok(SubmitOutcome::Accepted) {
                        accepted.borrow_mut().insert(job);
                        return;
                    }
                }
                tokio::time::sleep(CALLER_RETRY).await;
            }
        });
    }

    /// True when all jobs that were submitted are accepted.
    pub(super) fn is_accepted(&self) -> bool {
        self.accepted.borrow().len() as u64 == self.submitted.get()
    }

    /// Accepted jobs that aren't completed, as a node that works sees them.
    pub(super) fn unfinished(&self) -> usize {
        let well = |seat: &&Rc<Peer>| seat.link.condition.get() == Condition::Well;
        let state = |seat: &Rc<Peer>, job: JobKey| {
            let member = seat.node.member_for(job).filter(|member| member.is_followed())?;
            member.job_index.borrow().job(job).map(|entry| entry.state())
        };
        let completed = |job: &JobKey| {
            let states = self.seats.iter().filter(well).find_map(|seat| state(seat, *job));
            states == Some(JobState::Completed)
        };
        self.accepted.borrow().iter().filter(|job| !completed(job)).count()
    }

    /// Calls of all nodes to the store.
    pub(super) fn store_calls(&self) -> u64 {
        self.seats.iter().map(|seat| seat.link.store_calls.get()).sum()
    }
}

fn spec(tasks: u32, estimate: Duration) -> JobSpec {
    let demand = Resources { memory: Mebibytes(500), ..resources(Millicores(1_000)) };
    let step = StepSpec { count: tasks, demand, estimate, ..StepSpec::default() };
    JobSpec { text: String::new(), steps: vec![step], schedule: None }
}
