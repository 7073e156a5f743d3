//! A simulated worker for tests of the scheduler: runs tasks under a lease and keeps their ends until they are
//! acknowledged. It does no I/O, and the current time is a parameter.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use cj_sched::{
    TaskId,
    sched::{
        EndKind, EndRow, Listing, Refusal, RunRow, StartCommand, VmRow, VmState, WorkerId,
        WorkerRegistration,
    },
};
use cj_types::{Resources, ServiceId, VmId};
use compact_str::{CompactString, format_compact};

/// Remaining time that a draining worker reports.
const DRAIN_REMAINING: Duration = Duration::from_secs(3);

/// What the clock of a worker shows at its start, in ms.
const NEW_CLOCK: u64 = 1_000;

/// Longest lease that the worker accepts; a longer one is shortened.
const MAX_LEASE_MS: u64 = 10_000;

/// Number of ends that a listing names at most.
const MAX_LISTED_ENDS: usize = 500;

/// A run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// Run number.
    pub run: u64,
    /// When it started.
    pub started_at: u64,
    /// When it ends by itself; `None` for a long-running task.
    pub ends_at: Option<u64>,
    /// True when its end is a failure.
    pub will_fail: bool,
    /// Resources that it occupies.
    pub demand: Resources,
    /// Work in ms that checkpoints of earlier runs saved; `None` for a task without checkpoints.
    pub saved_ms: Option<u64>,
}

impl Run {
    /// Text of a checkpoint taken at `now`: the work done so far in ms.
    fn checkpoint(&self, now: u64) -> CompactString {
        let work = |saved_ms| format_compact!("{}", saved_ms + now.saturating_sub(self.started_at));
        self.saved_ms.map(work).unwrap_or_default()
    }

    fn percent(&self, now: u64) -> u8 {
        let Some(ends_at) = self.ends_at else { return 100 };
        let saved_ms = self.saved_ms.unwrap_or_default();
        let total = saved_ms + ends_at.saturating_sub(self.started_at);
        (100 * (saved_ms + now - self.started_at) / total.max(1)) as u8
    }
}

/// A worker. All times are in ms of simulated time.
#[derive(Clone, Debug)]
pub struct TaskWorker {
    /// Worker id.
    pub id: WorkerId,
    /// The VM on which it runs.
    pub vm: VmId,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Total resources for tasks.
    pub capacity: Resources,
    /// Rack of its VM.
    pub rack: String,
    /// Kind of its VM, which is a label.
    pub kind: CompactString,
    /// Start of this incarnation.
    pub started_at: u64,
    /// True while the process runs.
    pub alive: bool,
    /// End of a network partition: no message reaches the worker before this time.
    pub unreachable_until: u64,
    /// It reports that it's about to leave.
    pub draining: bool,
    /// Every run fails.
    pub fails_all: bool,
    /// Speed of its clock relative to simulated time.
    pub clock_rate: f64,
    /// What its clock showed when it started, in ms.
    pub clock_base: u64,
    /// Unix time at the start of the simulation, in ms.
    pub unix_base: u64,
    /// Highest fencing token received.
    pub newest_token: u64,
    /// Current runs by task.
    pub runs: BTreeMap<TaskId, Run>,
    /// Ends that the scheduler hasn't acknowledged yet.
    pub ended_runs: Vec<EndRow>,
    /// Number of ends that a listing names at most; the oldest come first.
    pub max_listed_ends: usize,
    last_end: u64,
    /// Highest run number that ended or was stopped, by task.
    settled_runs: HashMap<TaskId, u64>,
    /// Time on the worker's clock at which the lease expires.
    lease_end: Option<u64>,
    /// Highest sequence number of an end before the last lease expiry.
    pub expired_through: u64,
}

impl TaskWorker {
    /// Creates a worker that starts now.
    pub fn new(id: &str, service: &ServiceId, rack: &str, capacity: Resources, now: u64) -> Self {
        TaskWorker {
            id: WorkerId(id.into()),
            vm: VmId::try_from(format!("vm-{id}").as_str()).expect("a worker id is a valid VM id"),
            service: service.clone(),
            capacity,
            rack: rack.to_owned(),
            kind: "a".into(),
            started_at: now,
            alive: true,
            unreachable_until: 0,
            draining: false,
            fails_all: false,
            clock_rate: 1.0,
            clock_base: NEW_CLOCK,
            unix_base: 0,
            newest_token: 0,
            runs: BTreeMap::new(),
            ended_runs: Vec::new(),
            max_listed_ends: MAX_LISTED_ENDS,
            last_end: 0,
            settled_runs: HashMap::new(),
            lease_end: None,
            expired_through: 0,
        }
    }

    /// The registration that it sends.
    pub fn registration(&self) -> WorkerRegistration {
        WorkerRegistration {
            id: self.id.clone(),
            started_at: Some(self.unix_base + self.started_at),
            service: self.service.clone(),
            address: "127.0.0.1:1".into(),
            capacity: self.capacity,
            labels: self.labels(),
            draining: self.draining,
            remaining: self.draining.then_some(DRAIN_REMAINING),
        }
    }

    /// Row of its VM in the VM list.
    pub fn vm_row(&self) -> VmRow {
        VmRow {
            vm: self.vm.clone(),
            pool: self.service.clone(),
            state: if self.alive { VmState::Up } else { VmState::Down },
            labels: self.labels(),
            capacity: self.capacity,
            worker: self.alive.then(|| self.id.clone()),
        }
    }

    fn labels(&self) -> Vec<CompactString> {
        vec![self.kind.clone(), self.rack.as_str().into()]
    }

    /// Moves the worker to another VM.
    pub fn with_vm(self, vm: VmId) -> Self {
        TaskWorker { vm, ..self }
    }

    /// Current time on the worker's clock.
    pub fn clock(&self, now: u64) -> u64 {
        ((now - self.started_at) as f64 * self.clock_rate) as u64 + self.clock_base
    }

    fn end(&mut self, task: TaskId, kind: EndKind, now: u64) {
        let Some(run) = self.runs.remove(&task) else { return };
        let checkpoint =
            if kind == EndKind::Stopped { run.checkpoint(now) } else { Default::default() };
        self.last_end += 1;
        self.settled_runs.insert(task, run.run);
        self.ended_runs.push(EndRow {
            number: self.last_end,
            task,
            run: run.run,
            kind,
            checkpoint,
        });
    }

    /// Applies everything that is due by `now`: ends of runs and the expiry of the lease. Returns the tasks that completed.
    pub fn advance(&mut self, now: u64) -> Vec<TaskId> {
        if !self.alive {
            return Vec::new();
        }
        let mut done = Vec::new();
        let expiry = self.lease_end.map(|lease| {
            let from_start = lease.saturating_sub(self.clock_base) as f64 / self.clock_rate;
            self.started_at + from_start.ceil() as u64
        });
        let mut due: Vec<(u64, TaskId, bool)> = self
            .runs
            .iter()
            .filter_map(|(task, run)| run.ends_at.map(|ends| (ends, *task, run.will_fail)))
            .filter(|(ends, ..)| *ends <= now && expiry.is_none_or(|expiry| *ends <= expiry))
            .collect();
        due.sort();
        for (_, task, fails) in due {
            self.end(task, if fails { EndKind::Failed } else { EndKind::Done }, now);
            if !fails {
                done.push(task);
            }
        }
        if expiry.is_some_and(|expiry| expiry < now) {
            let left: Vec<TaskId> = self.runs.keys().copied().collect();
            self.expired_through = self.last_end;
            for task in left {
                self.end(task, EndKind::LeaseExpired, now);
            }
            self.lease_end = None;
        }
        done
    }

    /// Extends the lease to `deadline`, or to the longest lease that the worker accepts.
    fn renew(&mut self, deadline: u64, now: u64) {
        let deadline = deadline.min(self.clock(now) + MAX_LEASE_MS);
        self.lease_end = Some(self.lease_end.map_or(deadline, |lease| lease.max(deadline)));
    }

    fn check_token(&mut self, token: u64) -> Result<(), Refusal> {
        if token < self.newest_token {
            return Err(Refusal::Fenced);
        }
        self.newest_token = token;
        Ok(())
    }

    /// Resources that the current runs occupy.
    pub fn allocated(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(run.demand))
    }

    /// Starts a run of `run_ms`, or of unlimited duration for a long-running task (`None`). Returns false when this run
    /// is running already.
    ///
    /// # Errors
    ///
    /// The reason for which the worker refuses the command.
    pub fn start(
        &mut self,
        command: &StartCommand,
        token: u64,
        now: u64,
        run_ms: Option<u64>,
        fails: bool,
    ) -> Result<bool, Refusal> {
        self.check_token(token)?;
        if self.runs.get(&command.task).is_some_and(|run| run.run == command.run) {
            return Ok(false);
        }
        if self.settled_runs.get(&command.task).is_some_and(|run| *run >= command.run) {
            return Err(Refusal::StaleRun);
        }
        if command.lease_end <= self.clock(now) {
            return Err(Refusal::LeaseExpired);
        }
        self.renew(command.lease_end, now);
        let step = &command.submission.spec.steps[command.task.step as usize];
        let demand = step.allocation();
        let saved_ms = step.checkpoints.then(|| command.checkpoint.parse().unwrap_or_default());
        let run_ms = run_ms.map(|ms| ms.saturating_sub(saved_ms.unwrap_or_default()).max(1));
        let run = Run {
            run: command.run,
            started_at: now,
            ends_at: run_ms.map(|ms| now + ms),
            will_fail: fails || self.fails_all,
            demand,
            saved_ms,
        };
        self.runs.insert(command.task, run);
        Ok(true)
    }

    /// Stops a run. A start of this run that arrives later is refused.
    ///
    /// # Errors
    ///
    /// The token is outdated.
    pub fn stop(&mut self, task: TaskId, run: u64, token: u64, now: u64) -> Result<(), Refusal> {
        self.check_token(token)?;
        let settled = self.settled_runs.entry(task).or_default();
        *settled = run.max(*settled);
        if self.runs.get(&task).is_some_and(|known| known.run <= run) {
            self.end(task, EndKind::Stopped, now);
        }
        Ok(())
    }

    /// Returns the worker's state and the ends that this call acknowledges: those up to the sequence number `seen`. A
    /// `deadline` renews the lease.
    ///
    /// # Errors
    ///
    /// The token is outdated.
    pub fn list(
        &mut self,
        token: u64,
        seen: u64,
        deadline: Option<u64>,
        now: u64,
    ) -> Result<(Listing, Vec<EndRow>), Refusal> {
        self.check_token(token)?;
        if let Some(deadline) = deadline {
            self.renew(deadline, now);
        }
        let (acknowledged, pending): (Vec<_>, Vec<_>) =
            self.ended_runs.drain(..).partition(|row| row.number <= seen);
        self.ended_runs = pending;
        let row = |(task, run): (&TaskId, &Run)| RunRow {
            task: *task,
            run: run.run,
            checkpoint: Default::default(),
            percent: run.percent(now),
            sample: 0,
        };
        let running = self.runs.iter().map(row).collect();
        let clock = self.clock(now);
        let ended: Vec<_> = self.ended_runs.iter().take(self.max_listed_ends).cloned().collect();
        let listing = Listing {
            started_at: Some(self.unix_base + self.started_at),
            clock,
            running,
            ends_complete: ended.len() == self.ended_runs.len(),
            ended,
        };
        Ok((listing, acknowledged))
    }

    /// Ends this incarnation; `restart` begins another one under the same id.
    pub fn crash(&mut self) {
        self.alive = false;
        self.runs.clear();
    }

    /// Starts a new incarnation under the same id, without the state of the previous one. Its clock begins anew.
    pub fn restart(&mut self, now: u64) {
        let fresh = TaskWorker::new(&self.id.0, &self.service, &self.rack, self.capacity, now);
        *self = TaskWorker {
            clock_rate: self.clock_rate,
            unix_base: self.unix_base,
            kind: self.kind.clone(),
            vm: self.vm.clone(),
            max_listed_ends: self.max_listed_ends,
            ..fresh
        };
    }
}
