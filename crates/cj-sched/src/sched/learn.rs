//! Learns run times from the ends of runs, records what was learned, and reports how well predictions hold.
//!
//! A run is judged by what was predicted when it was placed. The speed of a worker is learned apart from the length of tasks, by
//! comparing its runs with those of the same step on other workers.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use log::info;

use crate::{
    codec,
    record::Record,
    run_times::{
        PredictionCounts, RunBasis, RunTimeModel, RunTimes, StepKind, StepTimes, ln_seconds,
    },
    sched::{
        scheduler::Scheduler,
        step::Step,
        work::{Job, Placement, Stage, TaskRef},
        worker::{Worker, WorkerKey},
    },
};

/// Shortest time between two records of run times.
const RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Bytes of these records per second at most: all nodes of the cell read them, and have 12 KB/s for everything.
const RECORD_RATE: u32 = 2_000;

/// Shortest time between two log lines of a queue.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Weight of the average speed in that of a worker, as a number of runs.
const SLOWNESS_PRIOR: f32 = 10.0;

/// About this many of the last runs of a worker count for its speed.
const SLOWNESS_RUNS: f32 = 40.0;

/// A single run counts as at most this deviation of its worker's speed, in natural logarithms: a few tasks are far longer than
/// the others of their step.
const MAX_DEVIATION: f32 = 1.0;

/// Weight of a run in the average speed of all workers.
const AVERAGE_GAIN: f32 = 0.005;

/// By how much the runs of a worker take longer than others of the same steps, in natural logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slowness {
    log: f32,
    /// Number of runs that it rests on, at most [`SLOWNESS_RUNS`].
    runs: f32,
}

impl Slowness {
    /// Learns from a run that took longer than others of its step by `log`, a natural logarithm.
    fn observe(&mut self, log: f32) {
        self.runs = (self.runs + 1.0).min(SLOWNESS_RUNS);
        let deviation = log.clamp(-MAX_DEVIATION, MAX_DEVIATION) - self.log;
        self.log += deviation / (self.runs + SLOWNESS_PRIOR);
    }
}

/// What this owner has learned of run times.
#[derive(Default)]
pub(super) struct Learning {
    pub(super) model: RunTimeModel,
    /// Mean slowness of the workers of recent runs. It isn't 0, since the tasks of a step that end later are longer on average, on
    /// all workers.
    average: f32,
    /// Number of observations in the last record.
    recorded: u64,
    /// Earliest time of the next record.
    record_from: Option<Instant>,
    logged_at: Option<Instant>,
    /// Counts in the last log lines, by queue.
    logged: HashMap<CompactString, PredictionCounts>,
}

impl Learning {
    /// Starts from the recorded run times of an earlier owner, if there are any.
    pub(super) fn restore(state: Option<&RunTimes>) -> Self {
        let model = state.map(RunTimeModel::restore).unwrap_or_default();
        Learning { model, ..Learning::default() }
    }
}

/// What the model is asked about: the tasks of a step, with `state` in one occurrence of the job.
pub(super) fn step_kind<'a>(job: &'a Job, step: u32, state: &Step) -> StepKind<'a> {
    let spec = job.step_spec(step);
    StepKind {
        queue: &job.submission.queue,
        demand: spec.demand,
        estimate: spec.estimate,
        siblings: state.ended,
    }
}

impl Scheduler {
    /// What was learned that concerns a step.
    pub(super) fn step_times(&self, job: &Job, step: u32, state: &Step) -> StepTimes<'_> {
        let kind = step_kind(job, step, state);
        match self.policies.learn {
            true => self.learning.model.step_times(&kind),
            false => self.learning.model.unlearned_times(&kind),
        }
    }

    /// Slowness of a worker beside the others, in natural logarithms.
    pub(super) fn relative_slowness(&self, worker: WorkerKey) -> f32 {
        let worker = self.workers.get(worker).filter(|worker| worker.run_slowness.runs > 0.0);
        worker.map_or(0.0, |worker: &Worker| worker.run_slowness.log - self.learning.average)
    }

    /// What is predicted for a run that starts now on a worker; `None` for a long-running task.
    pub(super) fn predict_run(&self, at: TaskRef, worker: WorkerKey) -> Option<RunBasis> {
        let job = &self.jobs[at.job];
        if job.step_spec(at.step).long_running {
            return None;
        }
        let slowness = self.relative_slowness(worker);
        let times = self.step_times(job, at.step, job.step(at));
        times.predict().on_worker(slowness).basis(slowness)
    }

    /// Learns from a whole run of a finite task.
    pub(super) fn learn_finished(
        &mut self,
        key: WorkerKey,
        at: TaskRef,
        run: &Placement,
        took: Duration,
    ) {
        let slowness = run.basis.map_or(0.0, |basis| basis.slowness);
        let job = &self.jobs[at.job];
        let state = job.step(at);
        let kind = step_kind(job, at.step, state);
        match &run.basis {
            Some(basis) => self.learning.model.observe(&kind, basis, took),
            None => self.learning.model.observe_unpredicted(&kind, took),
        }
        if let Some(others) = state.ended.mean_log() {
            let worker = &mut self.workers[key].run_slowness;
            worker.observe(ln_seconds(took) - others);
            self.learning.average += AVERAGE_GAIN * (worker.log - self.learning.average);
        }
        self.jobs[at.job].step_mut(at).ended.add(took, slowness);
    }

    /// Learns from a run that lasted at least until `until` without completing its finite task: the task would have taken longer. A
    /// run that was stopped because it made no progress says nothing about that.
    pub(super) fn learn_unfinished(&mut self, at: TaskRef, run: &Placement, until: Instant) {
        let elapsed = until.saturating_duration_since(run.started_at);
        let Some(basis) = &run.basis else { return };
        if run.resumed || run.hung || !run.confirmed || elapsed.is_zero() {
            return;
        }
        let job = &self.jobs[at.job];
        let kind = step_kind(job, at.step, job.step(at));
        self.learning.model.observe_unfinished(&kind, basis, elapsed);
    }

    /// Learns from a run whose worker reports that it ended without completing its task.
    pub(super) fn learn_stopped(&mut self, at: TaskRef, run: &Placement) {
        let now = self.now.mono;
        let until = if run.stage == Stage::Stopping { run.command_at.min(now) } else { now };
        self.learn_unfinished(at, run, until);
    }

    /// Learns from a run that was lost: it lasted at least until its worker's last answer.
    pub(super) fn learn_lost(&mut self, at: TaskRef) {
        let Some(run) = self.task(at).placement().cloned() else { return };
        let answered = self.workers.get(run.worker).and_then(|worker| worker.last_answer);
        if let Some(answered) = answered {
            self.learn_unfinished(at, &run, answered);
        }
    }

    /// The record of run times, if there are new observations and the last one is old enough.
    pub(super) fn run_times_record(&mut self) -> Option<Record> {
        let now = self.now.mono;
        let learning = &mut self.learning;
        let observations = learning.model.observations();
        let is_due = learning.record_from.is_none_or(|from| from <= now);
        if !self.policies.learn || !is_due || observations == learning.recorded {
            return None;
        }
        let record = Record::RunTimes(learning.model.state());
        let interval = Duration::from_secs(codec::encode(&record).len() as u64) / RECORD_RATE;
        learning.record_from = Some(now + interval.max(RECORD_INTERVAL));
        learning.recorded = observations;
        Some(record)
    }

    /// Counts of finished runs that ended within and beyond the predicted quantiles, under this owner.
    pub fn run_time_counts(&self) -> PredictionCounts {
        self.learning.model.total_counts()
    }

    /// Logs how well the predictions held since the last lines, for each queue with finished runs.
    pub(super) fn log_run_times(&mut self) {
        let now = self.now.mono;
        let learning = &mut self.learning;
        let is_due = learning.logged_at.is_none_or(|at| at + LOG_INTERVAL <= now);
        if !self.policies.learn || !is_due {
            return;
        }
        learning.logged_at = Some(now);
        let mut logged = HashMap::new();
        for (queue, counts) in learning.model.counts() {
            let earlier = learning.logged.get(queue).copied().unwrap_or_default();
            if let Some([half, most]) = counts.since(&earlier).shares() {
                let runs = counts.since(&earlier).runs();
                info!(
                    target: "decision",
                    "queue={queue} choice=learn runs={runs} within_50={half:.2} within_90={most:.2} epoch={}",
                    self.epoch
                );
            }
            logged.insert(queue.clone(), *counts);
        }
        learning.logged = logged;
    }
}
