//! Tasks that may crash the workers that start them.
//!
//! When a worker ends unexpectedly, each run that it hadn't listed for long enough may be the cause. The task of such a run
//! starts alone from then on: on a worker that has just answered, whose other runs have all settled, and that gets no new
//! ones meanwhile. If more workers end under it, the job of a finite task fails. A long-running task has to be restarted however
//! it ends: it waits longer after each crash, and starts where it ended last, so that it doesn't take one worker after the
//! other down. A task that runs on loses the suspicion.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use cj_types::VmId;
use log::info;

use crate::sched::{
    scheduler::Scheduler,
    work::TaskRef,
    worker::{Worker, WorkerKey},
};

/// A run that the worker still lists this long after its start has settled: it counts as harmless to the worker.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Crashes after which the job of a task fails that was the only possible cause of the last one. Fewer could be chance, since
/// workers crash for other reasons too.
const PROOF_CRASHES: usize = 3;

/// Crashes after which a finite task isn't started again and its job fails, whatever else may have caused them.
const MAX_CRASHES: usize = 4;

/// As [`SETTLE_TIME`], while workers crash for other causes too: fewer of these crashes fall into a shorter time.
const SHORT_SETTLE_TIME: Duration = Duration::from_millis(250);

/// Crashes of workers without a suspect in [`DOUBT_TIME`] from which on those with one may be chance.
const DOUBTFUL_CRASHES: usize = 3;

/// How long a crash without a suspect casts doubt on others.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// Time that a long-running task waits after [`PROOF_CRASHES`]; it doubles with each further crash.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest such wait: a long-running task has to be back 6 s after its last run.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Crashes that are recorded for a task at most, which bounds its record; more make no difference.
const MAX_RECORDED_CRASHES: usize = 8;

/// How long a task waits after its first crash for a worker where it can start alone, and how long a worker is kept free.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a task waits for such a worker after further crashes, which make it more likely that it is the cause.
const LONG_ISOLATION_TIMEOUT: Duration = Duration::from_secs(6);

/// A worker that hasn't answered for this long may have ended already. It is listed before a task starts alone there.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(200);

/// While no worker without unsettled runs is left, at most one in this many workers of a service, but at least one, is kept
/// free until its runs have settled.
const ISOLATION_DIVISOR: usize = 4;

/// A run that had not settled when its worker ended.
pub(super) struct Suspect {
    at: TaskRef,
    run: u64,
}

/// Times of crashes of workers on which no suspected task was running.
#[derive(Default)]
pub(super) struct UnexplainedCrashes(VecDeque<Instant>);

impl UnexplainedCrashes {
    fn record(&mut self, at: Instant) {
        self.0.retain(|earlier| at < *earlier + DOUBT_TIME);
        self.0.push_back(at);
    }

    /// True if crashes of workers may be chance now.
    fn cast_doubt(&self, now: Instant) -> bool {
        self.0.iter().filter(|at| now < **at + DOUBT_TIME).count() >= DOUBTFUL_CRASHES
    }
}

/// Time that a long-running task waits after this many crashes.
fn retry_delay(crashes: usize) -> Duration {
    match crashes.checked_sub(PROOF_CRASHES) {
        Some(more) => (RETRY_DELAY * (1 << more.min(8))).min(MAX_RETRY_DELAY),
        None => Duration::ZERO,
    }
}

impl Scheduler {
    /// The run of a task, if it may crash its worker.
    pub(super) fn suspect_of(&self, at: TaskRef) -> Option<Suspect> {
        let placement = self.task(at).placement()?;
        (!placement.settled).then_some(Suspect { at, run: placement.run })
    }

    /// True if a suspected task runs on the worker and hasn't settled, so that each listing counts.
    pub(super) fn watches_suspect(&self, worker: &Worker) -> bool {
        let suspected = |at: &TaskRef| !self.task(*at).crashed_runs.is_empty();
        worker.runs.iter().any(|at| suspected(at) && self.suspect_of(*at).is_some())
    }

    /// Records that the worker on a VM crashed while these runs on it hadn't settled. Fails the jobs of finite tasks with too
    /// many crashes.
    pub(super) fn record_crash(&mut self, vm: Option<&VmId>, suspects: &[Suspect]) {
        let is_suspected = |suspect: &Suspect| {
            let known = self.jobs.contains_key(suspect.at.job);
            known && !self.task(suspect.at).crashed_runs.is_empty()
        };
        if !suspects.iter().any(is_suspected) {
            self.unexplained_crashes.record(self.now.mono);
        }
        let limit = if suspects.len() == 1 { PROOF_CRASHES } else { MAX_CRASHES };
        for &Suspect { at, run } in suspects {
            if !self.jobs.contains_key(at.job) || !self.needs_run(at) {
                continue;
            }
            self.task_mut(at).crashed_on = vm.cloned();
            let id = self.jobs[at.job].task_id(at);
            let crashes = self.count_crash(at, run);
            info!(
                target: "decision",
                "task={id} run={run} choice=suspect crashes={crashes} suspects={}", suspects.len()
            );
            // The run stays placed while it may still start in the next incarnation.
            if let Some(placement) = self.task_mut(at).placement_mut() {
                placement.crashed = true;
            }
            if crashes >= limit && !self.is_long_running(at) {
                self.fail_occurrence(at, "crashes", crashes);
            }
        }
    }

    /// Counts a run of a task as one that may have crashed its worker. Returns the number of these runs.
    fn count_crash(&mut self, at: TaskRef, run: u64) -> usize {
        let task = self.task_mut(at);
        if !task.crashed_runs.contains(&run) {
            task.crashed_runs.push(run);
            if task.crashed_runs.len() > MAX_RECORDED_CRASHES {
                task.crashed_runs.remove(0);
            }
            self.mark_changed(at);
        }
        self.task(at).crashed_runs.len()
    }

    /// True if the next run of a task may start as far as crashes are concerned. That of a suspected task counts as a crash until it
    /// has settled or is over, and starts only once this is durable, since this owner may be gone by then. After too many
    /// crashes, the job of a finite task fails instead.
    pub(super) fn may_start(&mut self, at: TaskRef, run: u64) -> bool {
        let task = self.task(at);
        let crashes = task.crashed_runs.len();
        if crashes == 0 {
            return true;
        }
        if task.crashed_runs.contains(&run) {
            return !self.write.has_pending(at.job);
        }
        if crashes >= MAX_CRASHES && !self.is_long_running(at) {
            self.fail_occurrence(at, "crashes", crashes);
        } else {
            self.count_crash(at, run);
            self.write.expedite();
        }
        false
    }

    /// Earliest time at which a suspected long-running task starts again after its crashes.
    fn retry_at(&self, at: TaskRef) -> Instant {
        let delay = if self.is_long_running(at) {
            retry_delay(self.past_crashes(at))
        } else {
            Duration::ZERO
        };
        self.task(at).idle_since + delay
    }

    /// Number of crashes of a task. Its next run is counted before it has started, and isn't one of them.
    fn past_crashes(&self, at: TaskRef) -> usize {
        let next = self.next_run(at);
        self.task(at).crashed_runs.iter().filter(|run| **run != next).count()
    }

    fn is_long_running(&self, at: TaskRef) -> bool {
        self.jobs[at.job].step_spec(at.step).long_running
    }

    /// Marks a run as settled if the worker listed it, in a listing requested at `sent`, long enough after its start.
    pub(super) fn settle(&mut self, at: TaskRef, sent: Instant) {
        let Some(placement) = self.task(at).placement() else { return };
        if placement.settled || sent < placement.started_at + self.settle_time() {
            return;
        }
        let task = self.task_mut(at);
        let Some(placement) = task.placement_mut() else { return };
        placement.settled = true;
        let key = placement.worker;
        if !task.crashed_runs.is_empty() {
            task.crashed_runs.clear();
            self.workers[key].isolated_until = None;
            self.mark_changed(at);
            self.place_due = true;
        }
    }

    fn settle_time(&self) -> Duration {
        let in_doubt = self.unexplained_crashes.cast_doubt(self.now.mono);
        if in_doubt { SHORT_SETTLE_TIME } else { SETTLE_TIME }
    }

    /// True if a task has to start alone.
    pub(super) fn starts_alone(&self, at: TaskRef) -> bool {
        let idle_since = self.task(at).idle_since;
        let waited = self.now.mono.saturating_duration_since(idle_since);
        match self.past_crashes(at) {
            0 => false,
            1 => waited < ISOLATION_TIMEOUT,
            _ => waited < LONG_ISOLATION_TIMEOUT,
        }
    }

    /// Chooses a worker where the task can start alone, and keeps other tasks away from it. If there is none yet, prepares
    /// one and returns `None`.
    pub(super) fn choose_isolated_worker(&mut self, at: TaskRef) -> Option<WorkerKey> {
        let now = self.now.mono;
        if now < self.retry_at(at) {
            return None;
        }
        let demand = self.jobs[at.job].step_spec(at.step).allocation();
        let settled = self.fewest_runs(at, |scheduler, worker| {
            let unsettled = worker.runs.iter().any(|at| scheduler.suspect_of(*at).is_some());
            demand.fits(worker.free()) && !unsettled
        });
        let Some(key) = settled else {
            self.isolate_for(at);
            return None;
        };
        let worker = &mut self.workers[key];
        worker.isolated_until = Some(now + ISOLATION_TIMEOUT);
        let age = worker.last_answer.map(|answered| now.saturating_duration_since(answered));
        if age.is_none_or(|age| age > MAX_ANSWER_AGE) {
            worker.list_by(now);
            return None;
        }
        Some(key)
    }

    /// Keeps a worker free until its runs have settled or ended, unless too many workers of the service are kept free.
    fn isolate_for(&mut self, at: TaskRef) {
        let now = self.now.mono;
        if !self.may_isolate(at) {
            return;
        }
        let Some(key) = self.fewest_runs(at, |_, worker| !worker.is_isolated(now)) else { return };
        let worker = &mut self.workers[key];
        worker.isolated_until = Some(now + ISOLATION_TIMEOUT);
        info!(target: "decision", "worker={} choice=isolate", worker.id);
    }

    /// The worker with the fewest runs of those that may run the task and meet the condition. A long-running task that is
    /// likely to be the cause of crashes goes to the VM of the last one if it can.
    fn fewest_runs<F>(&self, at: TaskRef, condition: F) -> Option<WorkerKey>
    where
        F: Fn(&Scheduler, &Worker) -> bool,
    {
        let view = self.isolated_view(at);
        let stays = self.is_long_running(at) && self.past_crashes(at) >= PROOF_CRASHES;
        let last = self.task(at).crashed_on.as_ref().filter(|_| stays);
        let is_other = |worker: &Worker| last.is_some() && worker.vm.as_ref() != last;
        let eligible = self.workers.iter().filter(|(key, worker)| {
            self.is_eligible(&view, *key, worker) && condition(self, worker)
        });
        let best = eligible.min_by_key(|(_, worker)| (is_other(worker), worker.runs.len()));
        best.map(|(key, _)| key)
    }

    /// True if one more worker of the task's service may be kept free.
    fn may_isolate(&self, at: TaskRef) -> bool {
        let service = self.service_of(&self.jobs[at.job].submission);
        let workers = self.workers.values().filter(|worker| worker.service == *service);
        let isolated = workers.clone().filter(|worker| worker.is_isolated(self.now.mono)).count();
        isolated < (workers.count() / ISOLATION_DIVISOR).max(1)
    }
}
