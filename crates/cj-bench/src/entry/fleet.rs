//! A simulated site: workers, the store, and entry nodes.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::{Rc, Weak},
    time::{Duration, Instant},
};

use cj_entry::{
    EntryNode, EntrySettings, Guard, Topic, access::Caller, api::SubmitOutcome,
    layout::NodeCapacity, owner,
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

/// Processor capacity of a worker.
const WORKER_CORES: Millicores = Millicores(16_000);

/// Default bandwidth of a node's link in Mbit/s; it is enough for a single cell.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;

/// Key of the operator's record that requests the wave.
pub(super) const WAVE_KEY: &str = "wave";

/// Time that the operator allows for the wave.
const WAVE_DURATION: Duration = Duration::from_secs(30);

/// Maximum number of cells of a site.
const MAX_CELLS: u16 = 12;

/// Delay before a caller submits a job again that wasn't accepted.
const CALLER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time limit for the answer to a submission.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// The store and the workers, with counters of what happened on them.
pub(super) struct Fleet {
    pub(super) store: Rc<Store>,
    pub(super) config: FleetConfig,
    pub(super) wave: Option<WaveSpec>,
    workers: Vec<TaskWorker>,
    base: tokio::time::Instant,
    rng: Pcg64Mcg,
    /// Number of acknowledged completed runs, by task.
    done: HashMap<TaskId, u32>,
    /// Work of the runs whose lease expired, in millicores times milliseconds.
    lapsed: u64,
    /// Nodes by their address for requests of other nodes.
    peers: HashMap<CompactString, Weak<Peer>>,
    /// When the first start command arrived, by fencing token.
    pub(super) first_starts: HashMap<u64, tokio::time::Instant>,
    pub(super) maintenance: Maintenance,
}

/// Maintenance of VMs. Like a platform that doesn't check fencing tokens, it also carries out commands of earlier owners.
#[derive(Default)]
pub(super) struct Maintenance {
    /// VMs in maintenance, with the time in ms at which it ends.
    off: HashMap<VmId, u64>,
    pub(super) maintained: HashSet<VmId>,
    /// Highest fencing token of a command, by VM.
    tokens: HashMap<VmId, u64>,
    /// Number of commands with a lower token than an earlier command for the same VM.
    pub(super) stale_commands: usize,
    incarnations: u64,
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
        // The objective is so long that no job is refused because of the backlog.
        stretch: 1_000.0,
        target: Duration::from_millis(600),
        advice: None,
        public: false,
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
        let config =
            FleetConfig { version: Version(1), queues: vec![queue()], pools, accounts: None };
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (done, first_starts) = (HashMap::new(), HashMap::new());
        let peers = HashMap::new();
        let maintenance = Maintenance::default();
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
            first_starts,
            maintenance,
        }
    }

    fn now(&self) -> u64 {
        (tokio::time::Instant::now() - self.base).as_millis() as u64
    }

    /// The worker, advanced to the current time; `None` if it isn't alive.
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
        command: &StartCommand,
        token: u64,
    ) -> Option<Result<(), Refusal>> {
        let now = self.now();
        let estimate = command.submission.spec.steps[0].estimate;
        let run_ms = (estimate.as_millis() as f64 * self.rng.random_range(0.6..1.4)) as u64;
        self.first_starts.entry(token).or_insert_with(tokio::time::Instant::now);
        let started = self.worker(id)?.start(command, token, now, Some(run_ms), false);
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
        acknowledged: u64,
        lease_end: Option<u64>,
    ) -> Option<Result<Listing, Refusal>> {
        let now = self.now();
        let listed = self.worker(id)?.list(token, acknowledged, lease_end, now);
        Some(listed.map(|(listing, acknowledged_ends)| {
            for row in acknowledged_ends.iter().filter(|row| row.kind == EndKind::Done) {
                *self.done.entry(row.task).or_default() += 1;
            }
            listing
        }))
    }

    pub(super) fn registration(&self, key: &str) -> Option<WorkerRegistration> {
        let worker = self.workers.iter().find(|worker| worker.id.0 == key)?;
        Some(worker.registration())
    }

    /// The node with this address.
    pub(super) fn peer(&self, address: &str) -> Option<Rc<Peer>> {
        self.peers.get(address)?.upgrade()
    }

    /// The list of VMs. A new incarnation of the worker starts on VMs whose maintenance is over.
    pub(super) fn vms(&mut self) -> Vec<VmRow> {
        self.end_maintenance();
        let off = &self.maintenance.off;
        let row = |worker: &TaskWorker| {
            let row = worker.vm_row();
            if off.contains_key(&row.vm) {
                return VmRow { state: VmState::Maintenance, worker: None, ..row };
            }
            row
        };
        self.workers.iter().map(row).collect()
    }

    /// Requests a maintenance wave over all VMs, with at most `cap` of them off at once.
    pub(super) fn request_wave(&mut self, cap: u32) {
        let vms = self.workers.iter().map(|worker| worker.vm.clone()).collect();
        self.wave = Some(WaveSpec { number: 1, vms, duration: WAVE_DURATION, cap });
        let record = [(WAVE_KEY.into(), vec![1])];
        self.store.append(Topic::Operator, &record, Guard::None).expect("no condition");
    }

    /// Powers a VM off for its maintenance, unless it was maintained before.
    pub(super) fn maintain(&mut self, vm: &VmId, token: u64) -> Option<VmAnswer> {
        let now = self.now();
        let highest = self.maintenance.tokens.entry(vm.clone()).or_default();
        self.maintenance.stale_commands += usize::from(token < *highest);
        *highest = token.max(*highest);
        if !self.maintenance.maintained.insert(vm.clone()) {
            return Some(VmAnswer::Done);
        }
        let worker = self.workers.iter_mut().find(|worker| worker.vm == *vm)?;
        worker.crash();
        let removal = [(worker.id.0.clone(), Vec::new())];
        self.store.append(Topic::Registry, &removal, Guard::None).expect("no condition");
        let back_at = now + Limits::default().maintenance_time.as_millis() as u64;
        self.maintenance.off.insert(vm.clone(), back_at);
        Some(VmAnswer::Done)
    }

    fn end_maintenance(&mut self) {
        let now = self.now();
        for worker in &mut self.workers {
            if self.maintenance.off.get(&worker.vm).is_none_or(|back_at| *back_at > now) {
                continue;
            }
            self.maintenance.off.remove(&worker.vm);
            self.maintenance.incarnations += 1;
            let id = format!("w-{}", self.maintenance.incarnations);
            let replacement =
                TaskWorker::new(&id, &worker.service, &worker.rack, worker.capacity, now);
            *worker = replacement.with_vm(worker.vm.clone());
            let key = [(id.into(), vec![1])];
            self.store.append(Topic::Registry, &key, Guard::None).expect("no condition");
        }
    }

    /// True when all workers have received a fencing token of at least `token`.
    pub(super) fn all_workers_called(&self, token: u64) -> bool {
        self.workers.iter().all(|worker| worker.newest_token >= token)
    }

    /// Number of tasks of which more than one completed run was acknowledged.
    pub(super) fn doubled(&self) -> usize {
        self.done.values().filter(|ends| **ends > 1).count()
    }

    /// Work of the runs whose lease expired, in core seconds.
    pub(super) fn lapsed_seconds(&self) -> f64 {
        self.lapsed as f64 / 1e6
    }
}

/// An entry node and its network connection.
pub(super) struct Peer {
    pub(super) node: Rc<EntryNode<NodePlatform, NodeClock>>,
    pub(super) link: Rc<Link>,
}

/// A simulated site.
pub(super) struct Site {
    pub(super) fleet: Rc<RefCell<Fleet>>,
    pub(super) peers: Vec<Rc<Peer>>,
    /// Bandwidth of a node's link in Mbit/s; a lower one leads to smaller cells.
    link_mbps: f64,
    /// Jobs that a node accepted.
    accepted: Rc<RefCell<HashSet<JobKey>>>,
    submitted: Cell<u64>,
    rng: RefCell<Pcg64Mcg>,
    base: Instant,
}

impl Site {
    /// A site with workers and no node.
    pub(super) fn new(workers: u32, seed: u64) -> Self {
        Site::with_links(workers, seed, DEFAULT_LINK_MBPS)
    }

    /// A site with workers and no node. Nodes will have links with a bandwidth of `link_mbps` Mbit/s.
    pub(super) fn with_links(workers: u32, seed: u64, link_mbps: f64) -> Self {
        let fleet = Rc::new(RefCell::new(Fleet::new(workers, seed)));
        Site {
            fleet,
            peers: Vec::new(),
            link_mbps,
            accepted: Rc::default(),
            submitted: Cell::new(0),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ 1)),
            base: tokio::time::Instant::now().into_std(),
        }
    }

    /// Starts a node with this processor time.
    pub(super) fn add_node(&mut self, cores: Millicores) {
        let link = Link::new();
        let platform = NodePlatform { fleet: self.fleet.clone(), link: link.clone() };
        let address = format_compact!("node-{}", self.peers.len());
        let settings = EntrySettings {
            node: NodeId::try_from(format!("n{}", self.peers.len()).as_str())
                .expect("the name is valid"),
            peer_address: address.clone(),
            limits: Limits::default(),
            policies: Policies::default(),
            capacity: NodeCapacity { cores, link_mbps: self.link_mbps, max_cells: MAX_CELLS },
            retention: Duration::from_secs(150),
            keys_required: false,
            config_time: Duration::from_secs(3),
            seed: self.rng.borrow_mut().random(),
        };
        let node = EntryNode::new(platform, NodeClock(link.clone(), self.base), settings);
        tokio::task::spawn_local(node.clone().follow());
        tokio::task::spawn_local(owner::run(node.clone()));
        let peer = Rc::new(Peer { node, link });
        self.fleet.borrow_mut().peers.insert(address, Rc::downgrade(&peer));
        self.peers.push(peer);
    }

    /// Index of the first node that owns a cell.
    pub(super) fn owner(&self) -> Option<usize> {
        let owns = |peer: &Rc<Peer>| peer.node.members().iter().any(|member| member.is_owned());
        self.peers.iter().position(owns)
    }

    /// Indexes of the healthy nodes that own a cell.
    pub(super) fn owners(&self) -> Vec<usize> {
        let owns = |number: &usize| {
            let peer = &self.peers[*number];
            let healthy = peer.link.condition.get() == Condition::Healthy;
            healthy && peer.node.members().iter().any(|member| member.is_owned())
        };
        (0..self.peers.len()).filter(owns).collect()
    }

    /// Number of cells that a node which works owns.
    pub(super) fn owned_cells(&self) -> usize {
        let healthy = self.peers.iter().filter(|s| s.link.condition.get() == Condition::Healthy);
        let owned = healthy.flat_map(|peer| peer.node.members()).filter(|member| member.is_owned());
        owned.map(|member| member.id).collect::<HashSet<_>>().len()
    }

    /// Highest fencing token that a node has read.
    pub(super) fn epoch(&self) -> u64 {
        let members = self.peers.iter().flat_map(|peer| peer.node.members());
        members.map(|member| member.job_index.borrow().epoch()).max().unwrap_or_default()
    }

    /// Submits a job of `tasks` tasks that take about `estimate`; its caller tries nodes at random until one accepts it.
    pub(super) fn submit(&self, tasks: u32, estimate: Duration) {
        self.submitted.set(self.submitted.get() + 1);
        let job = JobKey(self.submitted.get());
        let nodes: Vec<_> =
            self.peers.iter().map(|peer| (peer.node.clone(), peer.link.clone())).collect();
        let mut rng = Pcg64Mcg::seed_from_u64(self.rng.borrow_mut().random());
        let accepted = self.accepted.clone();
        let (queue, caller) = (queue(), Caller::default());
        tokio::task::spawn_local(async move {
            loop {
                let (node, link) = &nodes[rng.random_range(0..nodes.len())];
                let runs = !matches!(
                    link.condition.get(),
                    Condition::Killed | Condition::Frozen | Condition::Cut
                );
                if runs {
                    let end = tokio::time::Instant::now() + CALLER_TIMEOUT;
                    let answer =
                        node.submit(&queue, &caller, job, spec(tasks, estimate), end.into_std());
                    let answer = tokio::time::timeout_at(end, answer).await;
                    if answer == Ok(SubmitOutcome::Accepted) {
                        accepted.borrow_mut().insert(job);
                        return;
                    }
                }
                tokio::time::sleep(CALLER_RETRY_DELAY).await;
            }
        });
    }

    /// True when all submitted jobs are accepted.
    pub(super) fn is_accepted(&self) -> bool {
        self.accepted.borrow().len() as u64 == self.submitted.get()
    }

    /// Number of accepted jobs that aren't completed according to the job index of a healthy node.
    pub(super) fn unfinished(&self) -> usize {
        let healthy = |peer: &&Rc<Peer>| peer.link.condition.get() == Condition::Healthy;
        let state_on = |peer: &Rc<Peer>, job: JobKey| {
            let member = peer.node.member_for(job).filter(|member| member.is_followed())?;
            member.job_index.borrow().job(job).map(|entry| entry.state())
        };
        let completed = |job: &JobKey| {
            let state = self.peers.iter().filter(healthy).find_map(|peer| state_on(peer, *job));
            state == Some(JobState::Completed)
        };
        self.accepted.borrow().iter().filter(|job| !completed(job)).count()
    }

    /// Number of calls of all nodes to the store.
    pub(super) fn store_calls(&self) -> u64 {
        self.peers.iter().map(|peer| peer.link.store_calls.get()).sum()
    }
}

fn spec(tasks: u32, estimate: Duration) -> JobSpec {
    let demand = Resources { memory: Mebibytes(500), ..resources(Millicores(1_000)) };
    let step = StepSpec { count: tasks, demand, estimate, ..StepSpec::default() };
    JobSpec { text: String::new(), steps: vec![step], schedule: None }
}
