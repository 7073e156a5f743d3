//! The owner's state of each job: occurrences, steps, tasks and the runs placed on workers.

use std::{rc::Rc, time::Duration, time::Instant};

use cj_types::UnixMillis;
use compact_str::CompactString;
use slotmap::new_key_type;

use crate::{
    job::{JobKey, JobSpec, StepSpec, TaskId},
    record::{CrashedRuns, Failures, Outcome, Progress, StepProgress, Submission},
    sched::{event::Ticket, ledger::AccountSlot, order::OrderGuard, worker::WorkerKey},
};

new_key_type! {
    /// Slot of a job in the scheduler's state.
    pub(super) struct JobSlot;
}

/// Position of a task in the scheduler's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct TaskRef {
    pub(super) job: JobSlot,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) index: u32,
}

/// Stage of a placed run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The start command hasn't been answered.
    Starting,
    /// The worker runs it.
    Running,
    /// It is being stopped.
    Stopping,
}

/// Placement of a task: one run on one worker.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) worker: WorkerKey,
    pub(super) run: u64,
    pub(super) stage: Stage,
    /// The worker is known to have started it.
    pub(super) confirmed: bool,
    /// Keeps the newest order for the run wanted; a newer one replaces it.
    pub(super) order: OrderGuard,
    /// A command for the run is unanswered.
    pub(super) command_pending: bool,
    /// The answer to a start command is outstanding.
    pub(super) start_pending: bool,
    /// The answer to a stop command is outstanding.
    pub(super) stop_pending: bool,
    /// When the last command for the run was sent or answered.
    pub(super) command_at: Instant,
    /// Number of start commands that went unanswered.
    pub(super) unanswered: u8,
    /// The next listing decides about the run, whose start commands went unanswered.
    pub(super) awaits_listing: bool,
    /// It is being stopped only because it isn't listed after unanswered start commands. It is kept if it turns up.
    pub(super) kept_if_listed: bool,
    /// When the run was placed, or adopted from an earlier owner.
    pub(super) started_at: Instant,
    /// The run resumed from a checkpoint or was started by an earlier owner, so its duration isn't that of a whole run.
    pub(super) resumed: bool,
    pub(super) percent: u8,
    /// When `percent` last changed.
    pub(super) progress_at: Instant,
    /// First reported progress in percent and its time: a run that resumes from a checkpoint doesn't begin at 0.
    pub(super) first_progress: Option<(u8, Instant)>,
    pub(super) sample: u32,
    /// Percentage of its speed to which the run is limited.
    pub(super) pace: u8,
    /// The worker listed it long enough after its start that it doesn't count as the cause of a crash.
    pub(super) settled: bool,
    /// The worker crashed under it.
    pub(super) crashed: bool,
}

/// Phase of a task.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    Idle,
    Placed(Placement),
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) phase: Phase,
    /// Numbers of the failed runs.
    pub(super) failed_runs: Vec<u64>,
    /// Numbers of the runs that may have crashed their workers, since the last one that settled.
    pub(super) crashed_runs: Vec<u64>,
    /// Highest run number used so far.
    pub(super) last_run: u64,
    pub(super) checkpoint: CompactString,
    /// When the task last became idle.
    pub(super) idle_since: Instant,
    /// Worker of the last run that failed or hung; others are preferred.
    pub(super) avoid: Option<WorkerKey>,
}

impl Task {
    fn new(now: Instant) -> Self {
        Task {
            phase: Phase::Idle,
            failed_runs: Vec::new(),
            crashed_runs: Vec::new(),
            last_run: 0,
            checkpoint: CompactString::default(),
            idle_since: now,
            avoid: None,
        }
    }

    pub(super) fn placement(&self) -> Option<&Placement> {
        match &self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    pub(super) fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.phase {
            Phase::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    pub(super) fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }
}

/// Tickets of the policy service for a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    pub(super) granted: Vec<Ticket>,
    /// When the tickets expire.
    pub(super) valid_until: Option<Instant>,
    /// Earliest time of the next call to the policy service; until then a call is outstanding or was refused.
    pub(super) retry_at: Option<Instant>,
}

/// A step of an occurrence.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) tasks: Vec<Task>,
    /// Completed runs that took the whole time of a task, without resuming from a checkpoint.
    pub(super) completed_runs: u32,
    /// Total duration of these runs.
    pub(super) total_time: Duration,
    pub(super) tickets: Tickets,
}

impl Step {
    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(Task::is_done)
    }
}

/// An occurrence of a job.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    /// Earliest start; `None` is at once.
    pub(super) due: Option<UnixMillis>,
    pub(super) steps: Vec<Step>,
    pub(super) started: bool,
    pub(super) outcome: Outcome,
    pub(super) decided_at: UnixMillis,
    /// It has changed since it was last written.
    pub(super) dirty: bool,
}

impl Occurrence {
    fn new(spec: &JobSpec, number: u32, progress: Option<&Progress>, now: Instant) -> Self {
        let restore = |(at, step): (usize, &StepSpec)| {
            let recorded = progress.and_then(|progress| progress.steps.get(at));
            restore_step(step, recorded, now)
        };
        let mut steps: Vec<Step> = spec.steps.iter().enumerate().map(restore).collect();
        for crashed in progress.iter().flat_map(|progress| &progress.crashes) {
            let step = steps.get_mut(crashed.step as usize);
            if let Some(task) = step.and_then(|step| step.tasks.get_mut(crashed.index as usize)) {
                task.crashed_runs = crashed.runs.clone();
            }
        }
        Occurrence {
            due: spec.schedule.map(|schedule| schedule.due(number)),
            steps,
            started: progress.is_some_and(|progress| progress.started),
            outcome: progress.map_or(Outcome::Open, |progress| progress.outcome),
            decided_at: progress.map_or(UnixMillis::default(), |progress| progress.decided_at),
            dirty: false,
        }
    }

    /// The record to be stored.
    pub(super) fn progress(&self) -> Progress {
        Progress {
            started: self.started,
            outcome: self.outcome,
            decided_at: self.decided_at,
            steps: self.steps.iter().map(step_progress).collect(),
            crashes: self.crashes(),
        }
    }

    /// The tasks that may have crashed workers.
    fn crashes(&self) -> Vec<CrashedRuns> {
        let mut crashes = Vec::new();
        for (number, step) in self.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                if !task.crashed_runs.is_empty() {
                    let runs = task.crashed_runs.clone();
                    crashes.push(CrashedRuns { step: number as u32, index: index as u32, runs });
                }
            }
        }
        crashes
    }

    /// True when all steps that `step` depends on are done.
    pub(super) fn is_ready(&self, step: &StepSpec) -> bool {
        step.after.iter().all(|&n| self.steps.get(n as usize).is_some_and(Step::is_done))
    }
}

fn restore_step(spec: &StepSpec, recorded: Option<&StepProgress>, now: Instant) -> Step {
    let mut tasks: Vec<Task> = (0..spec.count).map(|_| Task::new(now)).collect();
    let step = |tasks| Step {
        tasks,
        completed_runs: 0,
        total_time: Duration::ZERO,
        tickets: Tickets::default(),
    };
    let Some(recorded) = recorded else { return step(tasks) };
    for (index, task) in tasks.iter_mut().enumerate() {
        if recorded.is_done(index as u32) {
            task.phase = Phase::Done;
        }
    }
    for failed in &recorded.failures {
        if let Some(task) = tasks.get_mut(failed.index as usize) {
            task.failed_runs = failed.runs.clone();
        }
    }
    step(tasks)
}

fn step_progress(step: &Step) -> StepProgress {
    let mut progress = StepProgress::default();
    for (index, task) in step.tasks.iter().enumerate() {
        let index = index as u32;
        if task.is_done() {
            progress.set_done(index);
        }
        if !task.failed_runs.is_empty() {
            progress.failures.push(Failures { index, runs: task.failed_runs.clone() });
        }
    }
    progress
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) key: JobKey,
    pub(super) submission: Rc<Submission>,
    /// No earlier owner can have started a task of the job.
    pub(super) fresh: bool,
    pub(super) occurrences: Vec<Occurrence>,
    pub(super) cancelled: bool,
    /// Number of runs on workers, including those being stopped.
    pub(super) active_runs: u32,
    /// The account that its runs are charged to.
    pub(super) account: Option<AccountSlot>,
    /// The cap of its account has held it back, which was logged.
    pub(super) held: bool,
    /// It was expected to meet its latency objective when it was last ranked.
    pub(super) in_time: bool,
}

impl Job {
    pub(super) fn new<'a, F>(
        key: JobKey,
        submission: Rc<Submission>,
        fresh: bool,
        now: Instant,
        progress: F,
    ) -> Self
    where
        F: Fn(u32) -> Option<&'a Progress>,
    {
        let spec = &submission.spec;
        let occurrences = (0..spec.occurrences())
            .map(|number| Occurrence::new(spec, number, progress(number), now))
            .collect();
        Job {
            key,
            submission,
            fresh,
            occurrences,
            cancelled: false,
            active_runs: 0,
            account: None,
            held: false,
            in_time: true,
        }
    }

    pub(super) fn has_failed(&self) -> bool {
        self.occurrences.iter().any(|occurrence| occurrence.outcome == Outcome::Failed)
    }

    /// True when no more tasks of the job are to be started.
    pub(super) fn is_over(&self) -> bool {
        let completed = |occurrence: &Occurrence| occurrence.outcome == Outcome::Completed;
        self.cancelled || self.has_failed() || self.occurrences.iter().all(completed)
    }

    pub(super) fn step_spec(&self, step: u32) -> &StepSpec {
        &self.submission.spec.steps[step as usize]
    }

    pub(super) fn task(&self, at: TaskRef) -> &Task {
        let occurrence = &self.occurrences[at.occurrence as usize];
        &occurrence.steps[at.step as usize].tasks[at.index as usize]
    }

    pub(super) fn task_mut(&mut self, at: TaskRef) -> &mut Task {
        let occurrence = &mut self.occurrences[at.occurrence as usize];
        &mut occurrence.steps[at.step as usize].tasks[at.index as usize]
    }

    /// Position of a task of this job; `None` if the job has no such task.
    pub(super) fn task_ref(&self, slot: JobSlot, task: &TaskId) -> Option<TaskRef> {
        let occurrence = self.occurrences.get(task.occurrence as usize)?;
        occurrence.steps.get(task.step as usize)?.tasks.get(task.index as usize)?;
        Some(TaskRef { job: slot, occurrence: task.occurrence, step: task.step, index: task.index })
    }

    pub(super) fn task_id(&self, at: TaskRef) -> TaskId {
        TaskId { job: self.key, occurrence: at.occurrence, step: at.step, index: at.index }
    }

    /// Time from which the latency of an occurrence is measured: its due time, but not before the submission.
    pub(super) fn latency_start(&self, occurrence: u32) -> UnixMillis {
        let due = self.occurrences[occurrence as usize].due;
        due.unwrap_or(self.submission.received_at).max(self.submission.received_at)
    }
}
