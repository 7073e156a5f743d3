//! Commands for single runs, and their answers.

use std::{collections::HashSet, time::Instant};

use log::{info, warn};

use crate::{
    job::TaskId,
    sched::{
        event::{Action, CommandAnswer, Refusal, StartCommand, WorkerId},
        ownership::OwnershipLease,
        scheduler::Scheduler,
        settings::{
            HANG_TIMEOUT, LISTING_INTERVAL, MAX_UNANSWERED_STARTS, STARTUP_INTERVAL,
            STOP_RETRY_INTERVAL, WORKER_PAUSE,
        },
        watch::{CommandGuard, CommandWatch},
        work::{Placement, Stage, TaskRef},
        worker::WorkerKey,
    },
};

/// A finite task counts as hung after this multiple of the median run time of its step at the earliest.
const HANG_FACTOR: u32 = 3;

impl Scheduler {
    /// Places an idle task on a worker and sends the start command.
    pub(super) fn start_run(&mut self, at: TaskRef, worker: WorkerKey, run: u64) {
        let now = self.now.mono;
        let placement = Placement {
            worker,
            run,
            stage: Stage::Starting,
            confirmed: false,
            in_life: false,
            outlived: false,
            guard: CommandGuard::default(),
            command_pending: true,
            start_pending: false,
            start_sent: now,
            start_answered: None,
            stop_pending: false,
            command_at: now,
            unanswered: 0,
            awaits_listing: false,
            kept_if_listed: false,
            started_at: now,
            resumed: self.jobs[at.job].step_spec(at.step).checkpoints
                && !self.task(at).checkpoint.is_empty(),
            percent: 0,
            progress_at: now,
            first_progress: None,
            sample: 0,
            pace: 100,
            settled: false,
            crashed: false,
            hung: false,
            basis: self.predict_run(at, worker),
        };
        self.assign(at, placement);
        self.send_start(at);
    }

    fn send_start(&mut self, at: TaskRef) {
        let (now, limit, max_lease) =
            (self.now.mono, self.ownership.fenced_until, self.limits.max_lease);
        let job = &mut self.jobs[at.job];
        let task = job.task_id(at);
        let submission = job.submission.clone();
        let spec = job.step_spec(at.step);
        let checkpoints = spec.checkpoints;
        let task_state = job.task_mut(at);
        let checkpoint =
            if checkpoints { task_state.checkpoint.clone() } else { Default::default() };
        let Some(placement) = task_state.placement_mut() else { return };
        placement.command_pending = true;
        placement.command_at = now;
        placement.guard = CommandGuard::default();
        let watch = placement.guard.watch();
        let (key, run) = (placement.worker, placement.run);
        let worker = &mut self.workers[key];
        let Some(lease_end) = worker.grant_lease(now, limit, max_lease) else { return };
        let target = worker.target();
        let ticket = self.ticket_for(at, key);
        let command = StartCommand { task, run, submission, lease_end, checkpoint, ticket, watch };
        self.actions.push(Action::Start(target, command));
        if let Some(placement) = self.task_mut(at).placement_mut() {
            placement.start_pending = true;
            placement.start_sent = now;
        }
    }

    /// Stops a run, whatever its stage. Commands for the run that weren't sent yet are withdrawn.
    pub(super) fn stop_run(&mut self, at: TaskRef) {
        let Some(placement) = self.task_mut(at).placement_mut() else { return };
        let stopping = placement.stage == Stage::Stopping;
        let waits = std::mem::take(&mut placement.awaits_listing);
        placement.kept_if_listed = false;
        if stopping && !waits {
            return;
        }
        placement.stage = Stage::Stopping;
        placement.guard = CommandGuard::default();
        self.stop_placed(at);
    }

    /// Stops a run whose start commands went unanswered and may still be carried out: only a stop rules that out. A run
    /// that turns up in a listing before is kept, since it may be at work while others of its step aren't.
    fn stop_unanswered(&mut self, at: TaskRef) {
        let stopping = self.task(at).placement().is_some_and(|p| p.stage == Stage::Stopping);
        if stopping {
            self.stop_placed(at);
        } else {
            self.stop_run(at);
        }
        if let Some(placement) = self.task_mut(at).placement_mut() {
            placement.awaits_listing = false;
            placement.kept_if_listed = true;
        }
    }

    /// Sends a stop for the run of a task.
    fn stop_placed(&mut self, at: TaskRef) {
        let now = self.now.mono;
        let id = self.jobs[at.job].task_id(at);
        let Some(placement) = self.task_mut(at).placement_mut() else { return };
        placement.command_pending = true;
        placement.stop_pending = true;
        placement.command_at = now;
        let (key, run, watch) = (placement.worker, placement.run, placement.guard.watch());
        self.send_stop(key, id, run, watch);
    }

    /// Stops a run that belongs to no task.
    pub(super) fn stop_orphan(&mut self, key: WorkerKey, task: TaskId, run: u64) {
        self.workers[key].orphan_runs += 1;
        let charge = match self.find_task(&task) {
            Some(at) => self.charge_of(at),
            None => self.charge_of_ended(&task),
        };
        self.charge_orphan(key, charge);
        // The run is listed until its stop is carried out; one stop at a time is enough.
        if self.workers[key].orphan_stops.insert((task, run)) {
            self.send_stop(key, task, run, CommandWatch::always());
        }
    }

    fn send_stop(&mut self, key: WorkerKey, task: TaskId, run: u64, watch: CommandWatch) {
        let target = self.workers[key].target();
        info!(target: "decision", "task={task} run={run} worker={} choice=stop epoch={}", target.worker, self.epoch);
        self.actions.push(Action::Stop(target, task, run, watch));
    }

    /// Position of a task, if it is placed on this worker as this run.
    fn current_task(&self, worker: &WorkerId, task: &TaskId, run: u64) -> Option<TaskRef> {
        let key = *self.worker_keys.get(worker)?;
        let at = self.find_task(task)?;
        let placement = self.task(at).placement()?;
        (placement.worker == key && placement.run == run).then_some(at)
    }

    /// Handles the answer to a start command.
    pub(super) fn started(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u64,
        answer: CommandAnswer,
    ) {
        if answer == CommandAnswer::Refused(Refusal::Fenced) {
            return self.step_down(worker);
        }
        let Some(at) = self.current_task(worker, task, run) else { return };
        self.note_answerer(at, answer);
        let now = self.now.mono;
        let placement =
            self.task_mut(at).placement_mut().expect("current_task() found a placement");
        placement.start_pending = false;
        match placement.stage {
            Stage::Starting => {
                placement.command_pending = false;
                placement.command_at = now;
                match answer {
                    CommandAnswer::Done | CommandAnswer::DoneAt(_) => self.mark_running(at),
                    CommandAnswer::Unanswered => self.retry_start(at),
                    CommandAnswer::Refused(reason) => self.start_refused(at, reason),
                    CommandAnswer::NotSent => self.start_refused(at, Refusal::Unhealthy),
                }
            }
            Stage::Running => {}
            Stage::Stopping => match answer {
                CommandAnswer::Unanswered => {
                    placement.unanswered = placement.unanswered.saturating_add(1)
                }
                CommandAnswer::NotSent if placement.unanswered == 0 => self.never_started(at),
                _ => {}
            },
        }
    }

    /// Records which incarnation of the worker answered a start command, or that none did.
    fn note_answerer(&mut self, at: TaskRef, answer: CommandAnswer) {
        let now = self.now.mono;
        let Some(placement) = self.task(at).placement() else { return };
        let (key, sent) = (placement.worker, placement.start_sent);
        let in_life = match answer {
            CommandAnswer::Done => false,
            CommandAnswer::DoneAt(clock) => self.workers[key].has_clock(clock, sent, now),
            CommandAnswer::Unanswered => return self.workers[key].calls.miss_grant(sent),
            _ => return,
        };
        if !in_life {
            self.workers[key].list_by(now);
        }
        if let Some(placement) = self.task_mut(at).placement_mut() {
            placement.start_answered = Some(now);
            placement.in_life |= in_life;
        }
    }

    /// Ends a run that was stopped before its start command was sent: the worker doesn't know it.
    fn never_started(&mut self, at: TaskRef) {
        let id = self.jobs[at.job].task_id(at);
        info!(target: "decision", "task={id} run={} choice=not_started reason=withdrawn", self.task(at).last_run);
        self.release(at);
        self.stop_gang(at);
        self.retire(at.job);
    }

    /// Marks a run as running after the worker has carried out its start command.
    fn mark_running(&mut self, at: TaskRef) {
        let now = self.now.mono;
        self.confirm_start(at);
        let placement = self.task_mut(at).placement_mut().expect("called for a placed task");
        placement.stage = Stage::Running;
        let key = placement.worker;
        self.mark_started(at);
        let long_running = self.jobs[at.job].step_spec(at.step).long_running;
        let interval = if long_running { STARTUP_INTERVAL } else { LISTING_INTERVAL };
        self.workers[key].list_by(now + interval);
    }

    /// Records that a task of the occurrence has started; callers see the job as running once that is written.
    pub(super) fn mark_started(&mut self, at: TaskRef) {
        let occurrence = self.jobs[at.job].occurrence_mut(at);
        if !occurrence.started {
            occurrence.started = true;
            occurrence.dirty = true;
            self.write.schedule(at.job, at.occurrence, self.now.mono, false);
        }
    }

    /// Repeats an unanswered start command. After too many, the next listing decides: the run may be there and at work. So it
    /// does once another node may have taken over, since the worker may have started anew and seen no fencing token.
    fn retry_start(&mut self, at: TaskRef) {
        let placement = self.task_mut(at).placement_mut().expect("called for a placed task");
        placement.unanswered += 1;
        let (unanswered, key) = (placement.unanswered, placement.worker);
        self.pause_worker(key);
        if !self.needs_run(at) {
            return self.stop_run(at);
        }
        if unanswered < MAX_UNANSWERED_STARTS && self.is_sole_owner() {
            return self.send_start(at);
        }
        if let Some(placement) = self.task_mut(at).placement_mut() {
            placement.awaits_listing = true;
        }
    }

    /// Stops the runs that a listing requested at `sent` doesn't name after their start commands went unanswered.
    pub(super) fn stop_unlisted_starts(
        &mut self,
        key: WorkerKey,
        sent: Instant,
        listed: &HashSet<TaskRef>,
    ) {
        let missing = |at: &TaskRef| {
            let placement = self.task(*at).placement();
            let awaited = placement.is_some_and(|p| p.awaits_listing && p.command_at < sent);
            awaited && !listed.contains(at)
        };
        let missing: Vec<_> =
            self.workers[key].runs.iter().copied().filter(|at| missing(at)).collect();
        for at in missing {
            self.stop_unanswered(at);
        }
    }

    /// Handles a refused start command: the task becomes idle, unless the run may still start.
    fn start_refused(&mut self, at: TaskRef, reason: Refusal) {
        let placement = self.task(at).placement().expect("called for a placed task");
        let (key, unanswered) = (placement.worker, placement.unanswered);
        let id = self.jobs[at.job].task_id(at);
        info!(
            target: "decision",
            "task={id} run={} worker={} choice=not_started reason={reason:?}",
            placement.run, self.workers[key].id
        );
        match reason {
            Refusal::InvalidTicket => self.drop_ticket(at, key),
            Refusal::LeaseExpired => self.workers[key].list_by(self.now.mono),
            Refusal::OtherIncarnation => {
                self.workers[key].reconciled_at = None;
                self.workers[key].list_by(self.now.mono);
            }
            _ => {}
        }
        self.pause_worker(key);
        if unanswered > 0 {
            return self.stop_unanswered(at);
        }
        self.release(at);
        self.stop_gang(at);
        self.retire(at.job);
    }

    /// Gives a worker no new tasks for a while, and lists it at once.
    pub(super) fn pause_worker(&mut self, key: WorkerKey) {
        let until = self.now.mono + WORKER_PAUSE;
        let worker = &mut self.workers[key];
        worker.paused_until = Some(until);
        worker.list_by(self.now.mono);
    }

    /// Handles the answer to a stop command.
    pub(super) fn stopped(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u64,
        answer: CommandAnswer,
    ) {
        if answer == CommandAnswer::Refused(Refusal::Fenced) {
            return self.step_down(worker);
        }
        let now = self.now.mono;
        if let Some(&key) = self.worker_keys.get(worker) {
            self.workers[key].list_by(now + LISTING_INTERVAL);
            self.workers[key].orphan_stops.remove(&(*task, run));
        }
        self.late_start_stopped(worker, task, run, answer);
        let Some(at) = self.current_task(worker, task, run) else { return };
        let placement =
            self.task_mut(at).placement_mut().expect("current_task() found a placement");
        if placement.stage != Stage::Stopping {
            return;
        }
        placement.stop_pending = false;
        placement.command_at = now;
        // Any other answer means that the run may still be there, so the command is repeated.
        placement.command_pending = answer != CommandAnswer::Done;
    }

    /// Repeats unanswered stop commands.
    pub(super) fn retry_stops(&mut self) {
        if !self.may_command() {
            return;
        }
        let now = self.now.mono;
        let mut again = Vec::new();
        for worker in self.workers.values() {
            for &at in &worker.runs {
                let Some(placement) = self.task(at).placement() else { continue };
                let waited = now.saturating_duration_since(placement.command_at);
                if placement.stage == Stage::Stopping
                    && placement.command_pending
                    && !placement.stop_pending
                    && !placement.awaits_listing
                    && waited > STOP_RETRY_INTERVAL
                {
                    again.push(at);
                }
            }
        }
        self.send_due_stops();
        for at in again {
            let placement = self.task_mut(at).placement_mut().expect("found above");
            if placement.kept_if_listed {
                placement.awaits_listing = true;
                let key = placement.worker;
                self.workers[key].list_by(now);
            } else {
                self.stop_placed(at);
            }
        }
    }

    /// Stops finite tasks that make no progress, so that they start elsewhere.
    pub(super) fn check_hangs(&mut self) {
        if !self.may_command() {
            return;
        }
        let mut hanging: Vec<(WorkerKey, TaskRef)> = Vec::new();
        for (key, worker) in &self.workers {
            for &at in &worker.runs {
                // A run whose end isn't listed looks like one without progress.
                if worker.missed_listings == 0
                    && !worker.unlisted_ends
                    && worker.last_answer.is_some_and(|answered_at| self.hangs(at, answered_at))
                {
                    hanging.push((key, at));
                }
            }
        }
        for (key, at) in hanging {
            let id = self.jobs[at.job].task_id(at);
            info!(target: "decision", "task={id} worker={} choice=restart reason=hang", self.workers[key].id);
            let task = self.task_mut(at);
            task.avoid = Some(key);
            if let Some(placement) = task.placement_mut() {
                placement.hung = true;
            }
            self.quarantine(key);
            self.stop_run(at);
        }
    }

    /// True when a run made no progress up to the listing that arrived at `answered_at`. Time without a listing doesn't count:
    /// the worker or this owner may only be slow.
    fn hangs(&self, at: TaskRef, answered_at: Instant) -> bool {
        let spec = self.jobs[at.job].step_spec(at.step);
        let Some(placement) = self.task(at).placement() else { return false };
        if spec.long_running || spec.gang || placement.stage != Stage::Running {
            return false;
        }
        let stalled = answered_at.saturating_duration_since(placement.progress_at);
        let job = &self.jobs[at.job];
        let median = || self.run_time_quantile(job, at.step, job.step(at), 0.5);
        stalled > HANG_TIMEOUT && stalled > median() * HANG_FACTOR
    }

    /// Gives up ownership and sends no more commands.
    pub(super) fn step_down_now(&mut self) {
        self.ownership = OwnershipLease::expired(self.now.mono);
        self.actions.push(Action::StepDown);
    }

    /// Gives up ownership after a worker refused a command in favour of a higher fencing token.
    pub(super) fn step_down(&mut self, worker: &WorkerId) {
        warn!(target: "decision", "worker={worker} choice=step_down epoch={} reason=fenced", self.epoch);
        self.step_down_now();
    }
}
