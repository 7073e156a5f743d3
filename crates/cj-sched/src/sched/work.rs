//! The owner's state of each job: occurrences, tasks and the runs placed on workers.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Instant,
};

use cj_types::{UnixMillis, VmId};
use compact_str::CompactString;
use slotmap::new_key_type;

use crate::{
    job::{JobKey, JobSpec, StepSpec, TaskId},
    record::{CrashedRuns, Outcome, Progress, Submission},
    run_times::RunBasis,
    sched::{
        estimate::TimeEstimate,
        ledger::AccountSlot,
        pass::LastTurn,
        shape::{ShapeId, Shapes},
        step::Step,
        tickets::Tickets,
        watch::CommandGuard,
        worker::WorkerKey,
    },
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
    /// The present incarnation of the worker is known to have started it: it lists the run, or its clock is in the answer.
    pub(super) in_life: bool,
    /// It was answered before an incarnation ended that isn't known to have started it, so it may run in the next one.
    pub(super) outlived: bool,
    /// Keeps the newest command for the run wanted; a newer one replaces it.
    pub(super) guard: CommandGuard,
    /// A command for the run is unanswered.
    pub(super) command_pending: bool,
    /// The answer to a start command is outstanding.
    pub(super) start_pending: bool,
    /// When the last start command was sent.
    pub(super) start_sent: Instant,
    /// When a start command was last answered as carried out.
    pub(super) start_answered: Option<Instant>,
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
    /// It was stopped because it made no progress.
    pub(super) hung: bool,
    /// What was predicted for it when it was placed; `None` for long-running tasks, and where that isn't known.
    pub(super) basis: Option<RunBasis>,
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
    /// VM of the worker that last crashed under it.
    pub(super) crashed_on: Option<VmId>,
    /// Highest run number used so far.
    pub(super) last_run: u64,
    pub(super) checkpoint: CompactString,
    /// When the task last became idle.
    pub(super) idle_since: Instant,
    /// When a run was last given up without a listed end, so that another owner may know how it ended.
    pub(super) lost_at: Option<Instant>,
    /// Worker of the last run that failed or hung; others are preferred.
    pub(super) avoid: Option<WorkerKey>,
}

impl Task {
    pub(super) fn new(now: Instant) -> Self {
        Task {
            phase: Phase::Idle,
            failed_runs: Vec::new(),
            crashed_runs: Vec::new(),
            crashed_on: None,
            last_run: 0,
            checkpoint: CompactString::default(),
            idle_since: now,
            lost_at: None,
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
    /// Number of steps that aren't done.
    open_steps: usize,
    /// By step, the number of steps that it depends on and that aren't done.
    unmet: Vec<u32>,
    /// Steps that are ready and have idle tasks, by shape.
    pub(super) startable: BTreeMap<ShapeId, BTreeSet<u32>>,
    pub(super) last_turn: LastTurn,
    /// The last estimate of its times, with the time at which it was made.
    pub(super) estimate: Cell<Option<(Instant, TimeEstimate)>>,
}

impl Occurrence {
    /// True if it is neither over nor due later than `now`.
    pub(super) fn is_open_and_due(&self, now: UnixMillis) -> bool {
        self.outcome == Outcome::Open && self.due.is_none_or(|due| due <= now)
    }

    fn new(
        spec: &JobSpec,
        shapes: &Shapes,
        number: u32,
        progress: Option<&Progress>,
        now: Instant,
    ) -> Self {
        let restore = |(at, step): (usize, &StepSpec)| {
            let recorded = progress.and_then(|progress| progress.steps.get(at));
            Step::restore(step, recorded, now)
        };
        let mut steps: Vec<Step> = spec.steps.iter().enumerate().map(restore).collect();
        for crashed in progress.iter().flat_map(|progress| &progress.crashes) {
            let step = steps.get_mut(crashed.step as usize);
            if let Some(task) = step.and_then(|step| step.tasks.get_mut(crashed.index as usize)) {
                task.crashed_runs = crashed.runs.clone();
            }
        }
        let is_open = |n: &&u32| steps.get(**n as usize).is_none_or(|step| !step.is_done());
        let unmet = |step: &StepSpec| step.after.iter().filter(is_open).count() as u32;
        let mut occurrence = Occurrence {
            unmet: spec.steps.iter().map(unmet).collect(),
            open_steps: steps.iter().filter(|step| !step.is_done()).count(),
            startable: BTreeMap::new(),
            last_turn: LastTurn::default(),
            estimate: Cell::new(None),
            due: spec.schedule.map(|schedule| schedule.due(number)),
            steps,
            started: progress.is_some_and(|progress| progress.started),
            outcome: progress.map_or(Outcome::Open, |progress| progress.outcome),
            decided_at: progress.map_or(UnixMillis::default(), |progress| progress.decided_at),
            dirty: false,
        };
        for step in 0..occurrence.steps.len() as u32 {
            occurrence.update_startable(shapes, step);
        }
        occurrence
    }

    /// True when all steps are done.
    pub(super) fn is_done(&self) -> bool {
        self.open_steps == 0
    }

    /// Number of tasks and steps, which the time for going over all of them depends on.
    pub(super) fn size(&self) -> usize {
        self.steps.iter().map(|step| step.tasks.len()).sum::<usize>() + self.steps.len()
    }

    /// Lists a step as startable if it is ready and has idle tasks.
    fn update_startable(&mut self, shapes: &Shapes, step: u32) {
        let index = step as usize;
        let startable = self.unmet[index] == 0 && !self.steps[index].idle.is_empty();
        let shape = shapes.of(step);
        if startable {
            self.startable.entry(shape).or_default().insert(step);
        } else if let Some(steps) = self.startable.get_mut(&shape) {
            steps.remove(&step);
            if steps.is_empty() {
                self.startable.remove(&shape);
            }
        }
    }

    /// Changes the phase of a task and returns the earlier one.
    fn set_phase(&mut self, shapes: &Shapes, step: u32, index: u32, phase: Phase) -> Phase {
        let was_open = !self.steps[step as usize].is_done();
        let earlier = self.steps[step as usize].set_phase(index, phase);
        self.update_startable(shapes, step);
        if was_open && self.steps[step as usize].is_done() {
            self.open_steps -= 1;
            // They name up to all workers of the service.
            self.steps[step as usize].tickets = Tickets::default();
            for &dependent in shapes.dependents(step) {
                self.unmet[dependent as usize] -= 1;
                self.update_startable(shapes, dependent);
            }
        }
        earlier
    }

    /// The record to be stored.
    pub(super) fn progress(&self) -> Progress {
        Progress {
            started: self.started,
            outcome: self.outcome,
            decided_at: self.decided_at,
            steps: self.steps.iter().map(Step::progress).collect(),
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

    /// True when all steps that a step depends on are done.
    pub(super) fn is_ready(&self, step: u32) -> bool {
        self.unmet[step as usize] == 0
    }
}

/// A job.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) key: JobKey,
    pub(super) submission: Rc<Submission>,
    /// No earlier owner can have started a task of the job.
    pub(super) fresh: bool,
    pub(super) occurrences: Vec<Occurrence>,
    /// What the steps have in common, and which depend on which.
    shapes: Shapes,
    pub(super) cancelled: bool,
    /// Number of runs on workers, including those being stopped.
    pub(super) active_runs: u32,
    /// The account that its runs are charged to.
    pub(super) account: Option<AccountSlot>,
    /// The cap of its account has held it back, which was logged.
    pub(super) held: bool,
    /// Its tasks were passed over in favour of another account, which was counted.
    pub(super) deferred: bool,
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
        let shapes = Shapes::new(spec);
        let occurrences = (0..spec.occurrences())
            .map(|number| Occurrence::new(spec, &shapes, number, progress(number), now))
            .collect();
        Job {
            key,
            submission,
            fresh,
            occurrences,
            shapes,
            cancelled: false,
            active_runs: 0,
            account: None,
            held: false,
            deferred: false,
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

    /// The shape of a step.
    pub(super) fn shape_of(&self, step: u32) -> ShapeId {
        self.shapes.of(step)
    }

    pub(super) fn occurrence(&self, at: TaskRef) -> &Occurrence {
        &self.occurrences[at.occurrence as usize]
    }

    pub(super) fn occurrence_mut(&mut self, at: TaskRef) -> &mut Occurrence {
        &mut self.occurrences[at.occurrence as usize]
    }

    pub(super) fn step(&self, at: TaskRef) -> &Step {
        &self.occurrence(at).steps[at.step as usize]
    }

    pub(super) fn step_mut(&mut self, at: TaskRef) -> &mut Step {
        &mut self.occurrence_mut(at).steps[at.step as usize]
    }

    pub(super) fn task(&self, at: TaskRef) -> &Task {
        &self.step(at).tasks[at.index as usize]
    }

    pub(super) fn task_mut(&mut self, at: TaskRef) -> &mut Task {
        &mut self.step_mut(at).tasks[at.index as usize]
    }

    /// Changes the phase of a task and returns the earlier one.
    pub(super) fn set_phase(&mut self, at: TaskRef, phase: Phase) -> Phase {
        let occurrence = &mut self.occurrences[at.occurrence as usize];
        occurrence.set_phase(&self.shapes, at.step, at.index, phase)
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
