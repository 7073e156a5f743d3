//! Paces tasks that fill, so that the serving tasks beside them stay below their targets.
//!
//! Answers neighbours whose disturbance changes within seconds: the share of the tasks that fill is halved as soon as a
//! serving task comes near its target, and raised slowly while there is room.

use std::time::{Duration, Instant};

use log::info;

use crate::{
    job::TaskId,
    sched::{
        event::{Action, CommandAnswer, Refusal, WorkerId},
        scheduler::Scheduler,
        work::{Stage, TaskRef},
        worker::WorkerKey,
    },
};

/// Tail in hundredths of the target above which the tasks that fill are slowed.
const SLOW_ABOVE: u32 = 90;

/// Tail in hundredths of the target below which they are sped up.
const SPEED_BELOW: u32 = 65;

/// Percentage points by which they are sped up.
const SPEED_STEP: u8 = 20;

/// Shares below this are taken as 0.
const LEAST_PACE: u8 = 10;

/// A change shows in the samples, which cover half a second, after this time.
const SLOW_GAP: Duration = Duration::from_millis(800);

/// Time between two increases.
const SPEED_GAP: Duration = Duration::from_millis(1_600);

/// Marks a run whose pace isn't known because its order went unanswered.
const UNKNOWN_PACE: u8 = u8::MAX;

impl Scheduler {
    pub(super) fn pace_tasks(&mut self) {
        if !self.may_command() {
            return;
        }
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let (fills, worst) = self.neighbours(key);
            if fills.is_empty() {
                continue;
            }
            self.choose_pace(key, worst);
            self.order_pace(key, &fills);
        }
    }

    /// The running tasks that fill, and the highest tail of a serving task in hundredths of its target.
    fn neighbours(&self, key: WorkerKey) -> (Vec<TaskRef>, Option<u32>) {
        let mut fills = Vec::new();
        let mut worst = None;
        for &at in &self.workers[key].runs {
            let spec = self.jobs[at.job].step_spec(at.step);
            let Some(placed) = self.task(at).placement().filter(|p| p.stage == Stage::Running)
            else {
                continue;
            };
            if spec.best_effort {
                fills.push(at);
            } else if let Some(target) = spec.target.filter(|_| spec.long_running) {
                let share = placed.sample * 100 / (target.as_millis() as u32).max(1);
                worst = worst.max(Some(share));
            }
        }
        (fills, worst)
    }

    fn choose_pace(&mut self, key: WorkerKey, worst: Option<u32>) {
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        let waited = |gap: Duration, changed: Option<Instant>| {
            changed.is_none_or(|changed| now.saturating_duration_since(changed) >= gap)
        };
        let share = worst.unwrap_or(0);
        let next = if share > SLOW_ABOVE && waited(SLOW_GAP, worker.pace_changed) {
            let half = worker.pace / 2;
            if half < LEAST_PACE { 0 } else { half }
        } else if share < SPEED_BELOW && waited(SPEED_GAP, worker.pace_changed) {
            worker.pace.saturating_add(SPEED_STEP).min(100)
        } else {
            return;
        };
        if next != worker.pace {
            info!(
                target: "decision",
                "worker={} choice=pace from={} to={next} tail_percent={share}",
                worker.id, worker.pace
            );
            worker.pace = next;
            worker.pace_changed = Some(now);
        }
    }

    fn order_pace(&mut self, key: WorkerKey, fills: &[TaskRef]) {
        let pace = self.workers[key].pace;
        let target = self.workers[key].target();
        for &at in fills {
            let id = self.jobs[at.job].task_id(at);
            let Some(placed) = self.task_mut(at).placement_mut() else { continue };
            if placed.pace != pace {
                placed.pace = pace;
                let run = placed.run;
                self.actions.push(Action::Pace(target.clone(), id, run, pace));
            }
        }
    }

    pub(super) fn paced(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        run: u64,
        answer: CommandAnswer,
    ) {
        match answer {
            CommandAnswer::Refused(Refusal::Fenced) => self.step_down(worker),
            CommandAnswer::Unanswered => {
                let Some(at) = self.find_task(task) else { return };
                if let Some(placed) = self.task_mut(at).placement_mut().filter(|p| p.run == run) {
                    placed.pace = UNKNOWN_PACE;
                }
            }
            // A refused order concerns a run that has ended; its end will be listed.
            _ => {}
        }
    }
}
