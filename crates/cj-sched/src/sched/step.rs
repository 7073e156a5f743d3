//! The owner's state of one step of an occurrence.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    job::StepSpec,
    record::{Failures, StepProgress},
    run_times::Siblings,
    sched::{
        tickets::Tickets,
        work::{Phase, Task},
    },
};

/// A step of an occurrence.
#[derive(Clone, Debug)]
pub(super) struct Step {
    /// Their phases are changed by [`Step::set_phase`] only.
    pub(super) tasks: Vec<Task>,
    /// Indexes of the idle tasks.
    pub(super) idle: BTreeSet<u32>,
    /// Indexes of the placed tasks.
    pub(super) placed: BTreeSet<u32>,
    /// Completed runs of whole tasks, which didn't resume from a checkpoint.
    pub(super) ended: Siblings,
    /// Total duration of these runs.
    pub(super) total_time: Duration,
    pub(super) tickets: Tickets,
}

impl Step {
    /// The step as an earlier owner recorded it.
    pub(super) fn restore(spec: &StepSpec, recorded: Option<&StepProgress>, now: Instant) -> Self {
        let mut step = Step {
            tasks: (0..spec.count).map(|_| Task::new(now)).collect(),
            idle: (0..spec.count).collect(),
            placed: BTreeSet::new(),
            ended: Siblings::default(),
            total_time: Duration::ZERO,
            tickets: Tickets::default(),
        };
        let Some(recorded) = recorded else { return step };
        for index in (0..spec.count).filter(|index| recorded.is_done(*index)) {
            step.set_phase(index, Phase::Done);
        }
        for failed in &recorded.failures {
            if let Some(task) = step.tasks.get_mut(failed.index as usize) {
                task.failed_runs = failed.runs.clone();
            }
        }
        step
    }

    /// Changes the phase of a task and returns the earlier one.
    pub(super) fn set_phase(&mut self, index: u32, phase: Phase) -> Phase {
        self.idle.remove(&index);
        self.placed.remove(&index);
        match phase {
            Phase::Idle => self.idle.insert(index),
            Phase::Placed(_) => self.placed.insert(index),
            Phase::Done => false,
        };
        std::mem::replace(&mut self.tasks[index as usize].phase, phase)
    }

    /// Number of tasks that aren't done.
    pub(super) fn open_tasks(&self) -> usize {
        self.idle.len() + self.placed.len()
    }

    pub(super) fn is_done(&self) -> bool {
        self.open_tasks() == 0
    }

    /// Number of runs in which at least one task failed. The members of a gang share their run numbers.
    pub(super) fn failed_runs(&self) -> usize {
        let runs = self.tasks.iter().flat_map(|task| &task.failed_runs);
        runs.collect::<BTreeSet<_>>().len()
    }

    /// The placed tasks.
    pub(super) fn placed_tasks(&self) -> impl Iterator<Item = &Task> {
        self.placed.iter().map(|index| &self.tasks[*index as usize])
    }

    /// The record to be stored.
    pub(super) fn progress(&self) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in self.tasks.iter().enumerate() {
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
}
