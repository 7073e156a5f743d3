//! Paces best-effort tasks (`fills`) so that the serving tasks on the same worker stay below their latency targets.
//!
//! The disturbance by neighbours changes within seconds, so the pace of best-effort tasks is halved as soon as the tail
//! latency of a serving task comes near its target, and raised slowly while there is room.

use std::time::{Duration, Instant};

use log::info;

use crate::{
    job::TaskId,
    sched::{
        event::{Action, CommandAnswer, Refusal, WorkerId},
        scheduler::Scheduler,
        watch::CommandGuard,
        work::{Stage, TaskRef},
        worker::WorkerKey,
    },
};

/// Tail latency in percent of the target above which best-effort tasks are slowed down.
const SLOW_DOWN_ABOVE: u32 = 90;

/// Tail latency in percent of the target below which best-effort tasks are sped up.
const SPEED_UP_BELOW: u32 = 65;

/// Percentage points by which best-effort tasks are sped up.
const SPEED_UP_STEP: u8 = 20;

/// A pace below this percentage becomes 0.
const MIN_PACE: u8 = 10;

/// Time from a change to the next decrease: only then the samples, which cover half a second, show the change.
const SLOW_DOWN_INTERVAL: Duration = Duration::from_millis(800);

/// Time from a change to the next increase.
const SPEED_UP_INTERVAL: Duration = Duration::from_millis(1_600);

/// Marks a run whose pace isn't known because its pace command went unanswered, or because an earlier owner set it.
pub(super) const UNKNOWN_PACE: u8 = u8::MAX;

/// First pace of adopted tasks beside serving ones: the earlier owner may have slowed them down.
const ADOPTED_PACE: u8 = 50;

impl Scheduler {
    /// Updates the pace of each worker with best-effort tasks, and sends changed paces to their runs.
    pub(super) fn pace_tasks(&mut self) {
        if !self.may_command() {
            return;
        }
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let (best_effort, worst) = self.neighbours(key);
            if best_effort.is_empty() {
                continue;
            }
            if worst.is_some() {
                self.slow_down_adopted(key, &best_effort);
            }
            self.update_pace(key, worst);
            self.send_pace(key, &best_effort);
        }
    }

    /// The running best-effort tasks, and the highest tail latency of a serving task in percent of its target.
    fn neighbours(&self, key: WorkerKey) -> (Vec<TaskRef>, Option<u32>) {
        let mut best_effort = Vec::new();
        let mut worst = None;
        for &at in &self.workers[key].runs {
            let spec = self.jobs[at.job].step_spec(at.step);
            let Some(placed) = self.task(at).placement().filter(|p| p.stage == Stage::Running)
            else {
                continue;
            };
            if spec.best_effort {
                best_effort.push(at);
            } else if let Some(target) = spec.target.filter(|_| spec.long_running) {
                let percent = placed.sample * 100 / (target.as_millis() as u32).max(1);
                worst = worst.max(Some(percent));
            }
        }
        (best_effort, worst)
    }

    /// Sets the first pace of a worker with adopted best-effort tasks.
    fn slow_down_adopted(&mut self, key: WorkerKey, best_effort: &[TaskRef]) {
        let is_unknown =
            |at: &TaskRef| self.task(*at).placement().is_some_and(|p| p.pace == UNKNOWN_PACE);
        if self.workers[key].pace_changed.is_none() && best_effort.iter().any(is_unknown) {
            self.workers[key].pace = ADOPTED_PACE;
            self.workers[key].pace_changed = Some(self.now.mono);
        }
    }

    fn update_pace(&mut self, key: WorkerKey, worst: Option<u32>) {
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        let waited = |interval: Duration, changed: Option<Instant>| {
            changed.is_none_or(|changed| now.saturating_duration_since(changed) >= interval)
        };
        let percent = worst.unwrap_or(0);
        let next = if percent > SLOW_DOWN_ABOVE && waited(SLOW_DOWN_INTERVAL, worker.pace_changed) {
            let half = worker.pace / 2;
            if half < MIN_PACE { 0 } else { half }
        } else if percent < SPEED_UP_BELOW && waited(SPEED_UP_INTERVAL, worker.pace_changed) {
            worker.pace.saturating_add(SPEED_UP_STEP).min(100)
        } else {
            return;
        };
        if next != worker.pace {
            info!(
                target: "decision",
                "worker={} choice=pace from={} to={next} tail_percent={percent}",
                worker.id, worker.pace
            );
            worker.pace = next;
            worker.pace_changed = Some(now);
        }
    }

    fn send_pace(&mut self, key: WorkerKey, best_effort: &[TaskRef]) {
        let pace = self.workers[key].pace;
        let target = self.workers[key].target();
        for &at in best_effort {
            let id = self.jobs[at.job].task_id(at);
            let Some(placed) = self.task_mut(at).placement_mut() else { continue };
            if placed.pace != pace {
                placed.pace = pace;
                placed.guard = CommandGuard::default();
                let (run, watch) = (placed.run, placed.guard.watch());
                self.actions.push(Action::Pace(target.clone(), id, run, pace, watch));
            }
        }
    }

    /// Handles the answer to [`Action::Pace`].
    pub(super) fn paced(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u64,
        answer: CommandAnswer,
    ) {
        match answer {
            CommandAnswer::Refused(Refusal::Fenced) => self.step_down(worker),
            CommandAnswer::Unanswered | CommandAnswer::NotSent => {
                let Some(at) = self.find_task(task) else { return };
                if let Some(placed) = self.task_mut(at).placement_mut().filter(|p| p.run == run) {
                    placed.pace = UNKNOWN_PACE;
                }
            }
            // A refused command concerns a run that has ended; its end will be listed.
            _ => {}
        }
    }
}
