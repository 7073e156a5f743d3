//! A worker for tests of the scheduler: runs tasks under a lease, and keeps their ends until they are acknowledged. It
//! does no I/O, and time is passed in.

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

/// Time that a draining worker has left, as it says itself.
const DRAIN_REMAINING: Duration = Duration::from_secs(3);

/// A run of a task.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run.
    pub run: u64,
    /// When it began.
    pub started_at: u64,
    /// When it ends by itself; `None` for lasting tasks.
    pub ends_at: Option<u64>,
    /// It ends as failed.
    pub will_fail: bool,
    /// Resources that it takes.
    pub demand: Resources,
    /// Work in ms that earlier runs of the task saved; `None` for a task without checkpoints.
    pub saved_ms: Option<u64>,
}

impl Run {
    /// Work that a checkpoint at this time holds, as the text of the checkpoint.
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

/// A worker; all times in ms of the simulation.
#[derive(Clone, Debug)]
pub struct TaskWorker {
    /// Its id.
    pub id: WorkerId,
    /// The VM on which it runs.
    pub vm: VmId,
    /// Its service.
    pub service: ServiceId,
    /// Its capacity.
    pub capacity: Resources,
    /// Its rack.
    pub rack: String,
    /// When this life began.
    pub started_at: u64,
    /// It runs.
    pub alive: bool,
    /// No message arrives before this time.
    pub unreachable_until: u64,
    /// It leaves soon.
    pub draining: bool,
    /// All tasks fail.
    pub fails_all: bool,
    /// Speed of its clock.
    pub clock_rate: f64,
    /// Highest fencing token that it has seen.
    pub newest_token: u64,
    /// What runs.
    pub runs: BTreeMap<TaskId, Run>,
    /// Ends that aren't acknowledged.
    pub ended_runs: Vec<EndRow>,
    last_end: u64,
    /// Highest run that ended or was stopped, by task.
    settled_runs: HashMap<TaskId, u64>,
    /// End of the lease on its clock.
    lease_end: Option<u64>,
    /// Numbers of ends before the last time that the lease lapsed.
    pub expired_through: u64,
}

impl TaskWorker {
    /// A worker that begins now.
    pub fn new(id: &str, service: &ServiceId, rack: &str, capacity: Resources, now: u64) -> Self {
        TaskWorker {
            id: WorkerId(id.into()),
            vm: VmId::try_from(format!("vm-{id}").as_str()).expect("ids of tests are names"),
            service: service.clone(),
            capacity,
            rack: rack.to_owned(),
            started_at: now,
            alive: true,
            unreachable_until: 0,
            draining: false,
            fails_all: false,
            clock_rate: 1.0,
            newest_token: 0,
            runs: BTreeMap::new(),
            ended_runs: Vec::new(),
            last_end: 0,
            settled_runs: HashMap::new(),
            lease_end: None,
            expired_through: 0,
        }
    }

    /// Its registration.
    pub fn registration(&self) -> WorkerRegistration {
        WorkerRegistration {
            id: self.id.clone(),
            started_at: Some(self.started_at),
            service: self.service.clone(),
            address: "127.0.0.1:1".into(),
            capacity: self.capacity,
            labels: self.labels(),
            draining: self.draining,
            remaining: self.draining.then_some(DRAIN_REMAINING),
        }
    }

    /// Its row in the list of VMs.
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
        vec!["a".into(), self.rack.as_str().into()]
    }

    /// The same worker on another VM.
    pub fn with_vm(self, vm: VmId) -> Self {
        TaskWorker { vm, ..self }
    }

    /// Reading of its clock.
    pub fn clock(&self, now: u64) -> u64 {
        ((now - self.started_at) as f64 * self.clock_rate) as u64 + 1_000
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

    /// Lets time pass: tasks end, and the lease may lapse. Returns the tasks that are done.
    pub fn advance(&mut self, now: u64) -> Vec<TaskId> {
        if !self.alive {
            return Vec::new();
        }
        let mut done = Vec::new();
        let expiry = self.lease_end.map(|lease| {
            self.started_at + ((lease.saturating_sub(1_000)) as f64 / self.clock_rate).ceil() as u64
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

    fn renew(&mut self, deadline: u64) {
        self.lease_end = Some(self.lease_end.map_or(deadline, |lease| lease.max(deadline)));
    }

    fn check_token(&mut self, token: u64) -> Result<(), Refusal> {
        if token < self.newest_token {
            return Err(Refusal::Fenced);
        }
        self.newest_token = token;
        Ok(())
    }

    /// Resources that its runs take.
    pub fn allocated(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(run.demand))
    }

    /// Starts a run. `run_ms` is `None` for a lasting task. Returns whether the run is new.
    ///
    /// # Errors
    ///
    /// Why the worker refuses.
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
        self.renew(command.lease_end);
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

    /// Stops a run, also one that arrives later.
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

    /// Lists the worker. Returns the acknowledged ends too.
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
            self.renew(deadline);
        }
        let (told, kept): (Vec<_>, Vec<_>) =
            self.ended_runs.drain(..).partition(|row| row.number <= seen);
        self.ended_runs = kept;
        let row = |(task, run): (&TaskId, &Run)| RunRow {
            task: *task,
            run: run.run,
            checkpoint: Default::default(),
            percent: run.percent(now),
            sample: 0,
        };
        let running = self.runs.iter().map(row).collect();
        let clock = self.clock(now);
        let listing = Listing {
            started_at: Some(self.started_at),
            clock,
            running,
            ended: self.ended_runs.clone(),
        };
        Ok((listing, told))
    }

    /// Ends this life; another begins when it starts again under the same id.
    pub fn crash(&mut self) {
        self.alive = false;
        self.runs.clear();
    }

    /// Starts again under the same id; nothing of before is known.
    pub fn restart(&mut self, now: u64) {
        let fresh = TaskWorker::new(&self.id.0, &self.service, &self.rack, self.capacity, now);
        *self = TaskWorker { clock_rate: self.clock_rate, vm: self.vm.clone(), ..fresh };
    }
}
