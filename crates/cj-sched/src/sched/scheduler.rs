//! The scheduler's state: handles events, runs the periodic checks and returns the actions to carry out.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use cj_types::{Resources, ServiceId, UnixMillis, VmId};
use log::info;
use slotmap::SlotMap;

use crate::{
    config::FleetConfig,
    job::{JobKey, TaskId},
    job_index::JobIndex,
    record::{Outcome, Progress, Submission},
    sched::{
        account_service::AccountService,
        advice::AdviceCalls,
        call_history::DepartedWorkers,
        crash::UnexplainedCrashes,
        event::{Action, Event, VmRow, WorkerId},
        evidence::VmShutdown,
        late_start::UnansweredStart,
        learn::Learning,
        ledger::Ledger,
        ownership::OwnershipLease,
        policy::Policies,
        pool::PoolPlan,
        settings::Limits,
        wave::Wave,
        work::{Job, JobSlot, Phase, Stage, Task, TaskRef},
        worker::{Worker, WorkerKey},
    },
};

/// Interval of the periodic checks, which go over all runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Readings of both clocks at the same moment.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time.
    pub mono: Instant,
    /// Wall-clock time.
    pub wall: UnixMillis,
}

/// Places the tasks of all jobs of a cell on workers, and moves and maintains their VMs. Each ownership of the cell has
/// its own instance.
pub struct Scheduler {
    pub(super) epoch: u64,
    pub(super) limits: Limits,
    pub(super) config: Rc<FleetConfig>,
    pub(super) jobs: SlotMap<JobSlot, Job>,
    pub(super) job_slots: HashMap<JobKey, JobSlot>,
    /// Jobs that ended before or during this ownership, with their submissions if known, kept until this owner has read
    /// all older submissions.
    pub(super) ended_jobs: HashMap<JobKey, Option<Rc<Submission>>>,
    pub(super) workers: SlotMap<WorkerKey, Worker>,
    pub(super) worker_keys: HashMap<WorkerId, WorkerKey>,
    pub(super) departed: DepartedWorkers,
    pub(super) vms: BTreeMap<VmId, VmRow>,
    /// VMs of the list before the current one, if this ownership has read two.
    pub(super) listed_before: Option<BTreeSet<VmId>>,
    /// The list of VMs has been read under this ownership.
    pub(super) vms_known: bool,
    /// When the current list of VMs was requested, or this ownership began.
    pub(super) vms_requested: Instant,
    /// When this ownership began.
    pub(super) owner_since: Instant,
    /// VMs whose move or maintenance was answered as done, until a later list of VMs shows whether it took place.
    pub(super) shutdowns: BTreeMap<VmId, VmShutdown>,
    pub(super) waves: VecDeque<Wave>,
    pub(super) pools: PoolPlan,
    /// Services whose workers have all been listed under this ownership, with the time of that initial reconciliation.
    pub(super) reconciled: HashMap<ServiceId, Instant>,
    /// Time by which the ownership of earlier owners has ended: none of their commands is carried out in time any more.
    pub(super) ownership_horizon: Instant,
    /// Time by which all leases granted by earlier owners have ended, and with them the runs on unresponsive workers.
    pub(super) lease_horizon: Instant,
    pub(super) ownership: OwnershipLease,
    /// When the last acknowledged heartbeat was first sent.
    pub(super) heartbeat_at: Instant,
    /// State of the ownership lease that was last logged.
    pub(super) logged_lease: &'static str,
    pub(super) policies: Policies,
    /// Lost runs whose start command may still reach a later incarnation of the worker.
    pub(super) unanswered_starts: Vec<UnansweredStart>,
    /// What was learned of run times.
    pub(super) learning: Learning,
    /// What each account has running.
    pub(super) ledger: Ledger,
    /// What each account got of each pool of late.
    pub(super) account_service: AccountService,
    /// Most that runs of earlier owners can use on workers that weren't listed yet, at the last placement pass.
    pub(super) unlisted: Resources,
    /// All submissions and cancellations that earlier owners may have acted on have been read.
    pub(super) submissions_read: bool,
    pub(super) write: super::persist::WriteState,
    pub(super) actions: Vec<Action>,
    /// A change may allow tasks to be placed, so a placement pass is due.
    pub(super) place_due: bool,
    /// Time of the last placement pass.
    pub(super) placed_at: Instant,
    pub(super) advice: AdviceCalls,
    pub(super) unexplained_crashes: UnexplainedCrashes,
    /// Number of the last placement pass.
    pub(super) pass_number: u64,
    /// Steps that placement passes examined so far: their work.
    examined_steps: Cell<u64>,
    /// Time of the last periodic checks.
    checked_at: Instant,
    /// Time of the event or poll being handled.
    pub(super) now: Now,
}

impl Scheduler {
    /// A scheduler for the owner with fencing token `epoch`, with all open jobs of the index. The ownership of earlier
    /// owners has ended by `ownership_horizon`.
    ///
    /// Their leases may last longer. A worker that has started again under its id takes in a last command that was meant for its
    /// former clock, and that grants the longest lease.
    pub fn new(
        epoch: u64,
        limits: Limits,
        config: Rc<FleetConfig>,
        index: &JobIndex,
        ownership_horizon: Instant,
        now: Now,
    ) -> Self {
        let lease_horizon = ownership_horizon + limits.longest_lease();
        let mut scheduler = Scheduler {
            epoch,
            limits,
            config,
            jobs: SlotMap::with_key(),
            job_slots: HashMap::new(),
            ended_jobs: HashMap::new(),
            workers: SlotMap::with_key(),
            worker_keys: HashMap::new(),
            departed: DepartedWorkers::default(),
            vms: BTreeMap::new(),
            listed_before: None,
            vms_known: false,
            vms_requested: now.mono,
            owner_since: now.mono,
            shutdowns: BTreeMap::new(),
            waves: VecDeque::new(),
            pools: PoolPlan::default(),
            reconciled: HashMap::new(),
            ownership_horizon,
            lease_horizon,
            ownership: OwnershipLease::expired(now.mono),
            heartbeat_at: now.mono,
            logged_lease: "sole_owner",
            policies: Policies::default(),
            unanswered_starts: Vec::new(),
            learning: Learning::restore(index.run_times()),
            ledger: Ledger::default(),
            account_service: AccountService::default(),
            unlisted: Resources::default(),
            submissions_read: false,
            write: Default::default(),
            actions: Vec::new(),
            place_due: true,
            placed_at: now.mono,
            advice: AdviceCalls::default(),
            unexplained_crashes: UnexplainedCrashes::default(),
            pass_number: 0,
            examined_steps: Cell::new(0),
            checked_at: now.mono,
            now,
        };
        scheduler.ledger.configure(&scheduler.config);
        for (key, entry) in index.jobs().filter(|(_, entry)| entry.state().is_final()) {
            scheduler.add_ended_job(key, entry);
        }
        for (key, entry) in index.open_jobs() {
            let Some(submission) = entry.submission() else { continue };
            let progress = |number| entry.progress(number);
            let job = Job::new(key, submission.clone(), false, now.mono, progress);
            scheduler.insert_job(job);
        }
        scheduler
    }

    /// Sets which policies are on.
    pub fn set_policies(&mut self, policies: Policies) {
        self.policies = policies;
    }

    /// Number of steps that placement passes have examined. It grows with what is started and with the number of jobs, not
    /// with the number of waiting tasks.
    pub fn examined_steps(&self) -> u64 {
        self.examined_steps.get()
    }

    pub(super) fn count_examined(&self, steps: usize) {
        self.examined_steps.set(self.examined_steps.get() + steps as u64);
    }

    /// Handles an event. The actions that follow from it are returned by the next [`Scheduler::poll`].
    pub fn handle(&mut self, event: Event, now: Now) {
        self.now = now;
        match event {
            Event::Submitted { job, submission, fresh, recorded } => {
                self.add_job(job, submission, fresh, &recorded);
            }
            Event::Ended(job) => self.mark_ended(job, None),
            Event::Cancelled(job) => self.cancel(job),
            Event::Config(config) => self.configure(config),
            Event::Registered(registration) => self.register_worker(registration),
            Event::Unregistered(id) => self.unregister_worker(&id),
            Event::VmsListed(sent, rows) => self.update_vms(sent, rows),
            Event::Wave(spec, progress) => self.add_wave(spec, progress),
            Event::Started(worker, task, run, answer) => self.started(&worker, &task, run, answer),
            Event::Stopped(worker, task, run, answer) => self.stopped(&worker, &task, run, answer),
            Event::Paced(worker, task, run, answer) => self.paced(&worker, &task, run, answer),
            Event::Listed(worker, sent, answer) => self.listed(&worker, sent, answer),
            Event::Advised(step, named, answer) => self.advised(step, &named, answer),
            Event::Written(batch) => self.written(batch),
            Event::Moved(vm, pool, answer) => self.moved(&vm, &pool, answer),
            Event::Maintained(vm, wave, answer) => self.maintained(&vm, wave, answer),
        }
    }

    /// Runs what is due and returns the actions to carry out now.
    pub fn poll(&mut self, now: Now) -> Vec<Action> {
        self.now = now;
        self.log_lease_change();
        if now.mono >= self.checked_at + CHECK_INTERVAL {
            self.checked_at = now.mono;
            self.run_checks();
        }
        self.place_tasks();
        self.list_workers();
        self.write_progress();
        std::mem::take(&mut self.actions)
    }

    /// Runs the checks that depend on time; they go over all runs.
    fn run_checks(&mut self) {
        self.expire_leases();
        self.relist_workers();
        self.retry_stops();
        self.check_hangs();
        self.run_waves();
        self.plan_pools();
        self.pace_tasks();
        if !self.is_catching_up() {
            self.ended_jobs = HashMap::new();
        }
        self.refund_late_starts();
        self.log_run_times();
    }

    fn add_job(
        &mut self,
        key: JobKey,
        submission: Rc<Submission>,
        fresh: bool,
        recorded: &[Progress],
    ) {
        // The submission of an ended job may arrive again, when it was read before the records that end the job.
        if self.job_slots.contains_key(&key) || self.ended_jobs.contains_key(&key) {
            return;
        }
        // The same submission may be in an overflow log that an earlier owner has read and this one hasn't.
        let fresh = fresh && self.submissions_read;
        let progress = |number: u32| recorded.get(number as usize);
        let job = Job::new(key, submission, fresh, self.now.mono, progress);
        self.record_arrival(&job);
        self.insert_job(job);
        self.place_due = true;
    }

    fn insert_job(&mut self, mut job: Job) {
        let key = job.key;
        job.account = self.account_of(&job.submission);
        if !job.fresh {
            self.add_unsettled(&job);
        }
        let slot = self.jobs.insert(job);
        self.job_slots.insert(key, slot);
    }

    fn cancel(&mut self, key: JobKey) {
        let Some(&slot) = self.job_slots.get(&key) else { return };
        let job = &mut self.jobs[slot];
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        info!(target: "decision", "job={key} choice=cancel runs={}", job.active_runs);
        self.stop_job(slot);
        self.retire(slot);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, slot: JobSlot) {
        for at in self.placed_tasks(slot) {
            self.stop_run(at);
        }
    }

    /// All placed tasks of a job.
    pub(super) fn placed_tasks(&self, slot: JobSlot) -> Vec<TaskRef> {
        let mut found = Vec::new();
        for (number, occurrence) in self.jobs[slot].occurrences.iter().enumerate() {
            for (step_number, step) in occurrence.steps.iter().enumerate() {
                found.extend(step.placed.iter().map(|index| TaskRef {
                    job: slot,
                    occurrence: number as u32,
                    step: step_number as u32,
                    index: *index,
                }));
            }
        }
        found
    }

    /// Removes a job that is over once its last write is durable and it has no more runs.
    pub(super) fn retire(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.get(slot) else { return };
        let written = job.occurrences.iter().all(|occurrence| !occurrence.dirty);
        if job.is_over() && job.active_runs == 0 && written && !self.write.has_pending(slot) {
            let (key, submission) = (job.key, job.submission.clone());
            self.jobs.remove(slot);
            self.job_slots.remove(&key);
            self.mark_ended(key, Some(submission));
        }
    }

    fn configure(&mut self, config: Rc<FleetConfig>) {
        if config.version >= self.config.version {
            self.ledger.configure(&config);
            self.config = config;
            self.place_due = true;
        }
    }

    /// Service whose workers run a job: that of its queue now, or that at its submission if the queue no longer exists.
    pub(super) fn service_of<'a>(&'a self, submission: &'a Submission) -> &'a ServiceId {
        self.config.queue(&submission.queue).map_or(&submission.service, |queue| &queue.service)
    }

    /// Records the placement of a task on a worker.
    pub(super) fn assign(&mut self, at: TaskRef, placement: super::work::Placement) {
        if let Some(charge) = self.charge_of(at) {
            self.ledger.charge(charge);
            if !placement.confirmed {
                self.ledger.add_unconfirmed(charge.account);
            }
        }
        let demand = self.jobs[at.job].step_spec(at.step).allocation();
        self.extend_busy_time(placement.worker, at);
        let worker = &mut self.workers[placement.worker];
        worker.used = worker.used.plus(demand);
        worker.runs.push(at);
        let job = &mut self.jobs[at.job];
        job.active_runs += 1;
        let task = job.task_mut(at);
        task.last_run = task.last_run.max(placement.run);
        job.set_phase(at, Phase::Placed(placement));
    }

    /// Removes the placement of a task, which becomes idle.
    pub(super) fn release(&mut self, at: TaskRef) {
        let now = self.now.mono;
        let charge = self.charge_of(at);
        let job = &mut self.jobs[at.job];
        let demand = job.step_spec(at.step).allocation();
        if job.task(at).placement().is_none() {
            return;
        }
        let Phase::Placed(placement) = job.set_phase(at, Phase::Idle) else { return };
        let task = job.task_mut(at);
        if let Some(charge) = charge {
            self.ledger.refund(charge);
            if !placement.confirmed {
                self.ledger.confirm(charge.account);
            }
        }
        task.idle_since = now;
        let suspected = !task.crashed_runs.is_empty();
        if suspected && !placement.crashed {
            task.crashed_runs.retain(|run| *run != placement.run);
        }
        job.active_runs -= 1;
        if let Some(worker) = self.workers.get_mut(placement.worker) {
            if suspected {
                worker.isolated_until = None;
            }
            worker.used = worker.used.minus(demand);
            worker.runs.retain(|run| *run != at);
        }
        if suspected {
            self.mark_changed(at);
        }
        self.place_due = true;
    }

    /// Position of a task, if its job is known.
    pub(super) fn find_task(&self, id: &TaskId) -> Option<TaskRef> {
        let slot = *self.job_slots.get(&id.job)?;
        self.jobs[slot].task_ref(slot, id)
    }

    pub(super) fn task(&self, at: TaskRef) -> &Task {
        self.jobs[at.job].task(at)
    }

    pub(super) fn task_mut(&mut self, at: TaskRef) -> &mut Task {
        self.jobs[at.job].task_mut(at)
    }

    /// True when the job still needs this task to run.
    pub(super) fn needs_run(&self, at: TaskRef) -> bool {
        let job = &self.jobs[at.job];
        let open = job.occurrence(at).outcome == Outcome::Open;
        open && !job.is_over() && !job.task(at).is_done()
    }

    /// Stops the other members of a gang after one has ended, since a gang works only as a whole.
    pub(super) fn stop_gang(&mut self, at: TaskRef) {
        if !self.jobs[at.job].step_spec(at.step).gang {
            return;
        }
        let step = self.jobs[at.job].step(at);
        let runs = |index: &&u32| {
            let placement = step.tasks[**index as usize].placement();
            placement.is_some_and(|placement| placement.stage != Stage::Stopping)
        };
        let others: Vec<_> =
            step.placed.iter().filter(runs).map(|index| TaskRef { index: *index, ..at }).collect();
        for other in others {
            self.stop_run(other);
        }
    }
}
