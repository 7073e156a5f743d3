//! Listings of workers: what runs, what ended.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use cj_types::ServiceId;
use log::info;

use crate::{
    job::TaskId,
    record::Outcome,
    sched::{
        event::{
            Action, EndKind, EndRow, ListAnswer, Listing, Refusal, RunRow, VmRow, VmState, WorkerId,
        },
        evidence::{LifeEvidence, RunEvidence},
        scheduler::Scheduler,
        settings::{
            LISTING_GAP, LISTING_RETRY, LISTING_WAIT, QUARANTINE, QUARANTINE_FAILURES, RENEWAL_GAP,
            STARTUP_GAP,
        },
        work::{Phase, Placed, Stage, TaskRef},
        worker::{ClockReading, Worker, WorkerKey},
    },
};

impl Scheduler {
    /// Asks the workers whose listing is due.
    pub(super) fn list_workers(&mut self) {
        if !self.may_order() {
            return;
        }
        let (now, tenure, longest) = (self.now.mono, self.permission.fenced, self.limits.lease_max);
        let due: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.listing && worker.list_at.is_some_and(|at| at <= now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let finite = self.workers[key].swept && self.has_finite_run(key);
            let worker = &mut self.workers[key];
            worker.listing = true;
            worker.list_at = None;
            // A renewal that isn't answered may be carried out later, so a silent worker gets none: its leases have to end.
            let holds = worker.swept && worker.misses == 0 && !worker.runs.is_empty();
            let deadline = if holds { worker.grant(now, tenure, longest) } else { None };
            worker.ended_told = worker.ended_durable;
            let wait = if finite { LISTING_WAIT } else { Default::default() };
            let seen = worker.ended_durable;
            self.actions.push(Action::List { target: worker.target(), deadline, seen, wait });
        }
    }

    fn has_finite_run(&self, key: WorkerKey) -> bool {
        let mut runs = self.workers[key].runs.iter();
        runs.any(|at| !self.jobs[at.job].step_spec(at.step).lasting)
    }

    pub(super) fn listed(&mut self, id: &WorkerId, sent: Instant, answer: ListAnswer) {
        let Some(&key) = self.worker_index.get(id) else { return };
        let now = self.now.mono;
        self.workers[key].listing = false;
        match answer {
            ListAnswer::Listed(listing) => self.read_listing(key, sent, listing),
            ListAnswer::Refused(Refusal::Fenced) => self.step_down(id),
            ListAnswer::Refused(Refusal::OtherLife) => {
                self.workers[key].misses += 1;
                self.end_life(key, None, LifeEvidence::OtherLife);
                self.workers[key].list_at = Some(now + LISTING_RETRY);
            }
            ListAnswer::Refused(_) | ListAnswer::Unanswered => {
                let worker = &mut self.workers[key];
                worker.misses += 1;
                worker.list_at = Some(now + LISTING_RETRY * worker.misses.min(3));
            }
        }
    }

    fn read_listing(&mut self, key: WorkerKey, sent: Instant, listing: Listing) {
        let now = self.now.mono;
        let known = self.workers[key].born;
        if known.is_some() && listing.born.is_some() && known != listing.born {
            self.end_life(key, listing.born, LifeEvidence::Listed);
        }
        let worker = &mut self.workers[key];
        worker.born = listing.born.or(worker.born);
        worker.clock = Some(ClockReading { at: now, value: listing.clock });
        worker.answered = Some(now);
        worker.misses = 0;
        if !worker.swept {
            worker.swept = true;
            self.place_due = true;
        }
        let mut ended: Vec<_> = listing.ended;
        ended.sort_by_key(|row| row.number);
        let mut unread = None;
        for row in ended {
            if self.is_unread(&row.task) {
                // It must not be acknowledged, nor any later end: acknowledgements take in all ends up to a number.
                unread = Some(row.task);
                break;
            }
            if row.number > self.workers[key].ended_seen {
                self.workers[key].ended_seen = row.number;
                self.read_end(key, row);
            }
        }
        let ends_read = unread.is_none();
        let mut seen = HashSet::with_capacity(listing.running.len());
        self.workers[key].strays = 0;
        for row in listing.running {
            if self.is_unread(&row.task) {
                unread = Some(row.task);
            } else if let Some(at) = self.read_run(key, row) {
                seen.insert(at);
            }
        }
        self.note_unread(key, unread);
        // A run that isn't listed any more may be among the ends that weren't read.
        if ends_read {
            self.find_vanished(key, sent, &seen);
        }
        self.schedule_listing(key, sent);
    }

    /// True when an earlier owner may have read the submission of this job, and this one not yet: the logs of submissions
    /// are read apart from the log of the owner's records.
    fn is_unread(&self, task: &TaskId) -> bool {
        let known = self.job_index.contains_key(&task.job) || self.closed.contains(&task.job);
        !known && self.is_catching_up()
    }

    fn note_unread(&mut self, key: WorkerKey, task: Option<TaskId>) {
        let worker = &mut self.workers[key];
        let known = std::mem::replace(&mut worker.unread, task.is_some());
        if let (Some(task), false) = (task, known) {
            info!(target: "decision", "task={task} worker={} choice=wait_for_submission", worker.id);
        }
    }

    fn schedule_listing(&mut self, key: WorkerKey, sent: Instant) {
        let now = self.now.mono;
        let stopping = |at: &TaskRef| {
            self.task(*at).placed().is_some_and(|placed| placed.stage == Stage::Stopping)
        };
        let starting =
            |at: &TaskRef| self.task(*at).placed().is_some_and(|placed| placed.percent < 100);
        let strays = self.workers[key].strays > 0;
        let unread = self.workers[key].unread;
        let eager = strays
            || unread
            || self.has_finite_run(key)
            || self.workers[key].runs.iter().any(stopping);
        let starts_up = self.workers[key].runs.iter().any(starting);
        let worker = &mut self.workers[key];
        if eager {
            worker.list_by((sent + LISTING_GAP).max(now + LISTING_GAP / 3));
        } else if starts_up {
            worker.list_by(now + STARTUP_GAP);
        } else if !worker.runs.is_empty() {
            worker.list_by(now + RENEWAL_GAP);
        }
        if worker.ended_durable > worker.ended_told {
            worker.list_by(now + LISTING_GAP);
        }
    }

    /// Reads a running task. Returns the task when this is its current run.
    fn read_run(&mut self, key: WorkerKey, row: RunRow) -> Option<TaskRef> {
        let now = self.now.mono;
        let Some(at) = self.find(&row.task) else {
            self.stop_stray(key, row.task, row.run);
            return None;
        };
        let wanted = self.is_wanted(at);
        let started = match &mut self.task_mut(at).phase {
            Phase::Placed(placed) if placed.worker == key && placed.run == row.run => {
                if placed.percent != row.percent {
                    placed.percent = row.percent;
                    placed.moved = now;
                    placed.first.get_or_insert((row.percent, now));
                }
                placed.sample = row.sample;
                let started = placed.stage == Stage::Starting;
                if started {
                    placed.stage = Stage::Running;
                    placed.ordering = false;
                }
                Some(started)
            }
            _ => None,
        };
        match started {
            Some(started) => {
                self.task_mut(at).saved = row.saved;
                if started {
                    self.note_started(at);
                }
                Some(at)
            }
            None if wanted && self.task(at).is_idle() && row.run >= self.task(at).run => {
                self.adopt(key, at, row);
                Some(at)
            }
            None => {
                self.stop_stray(key, row.task, row.run);
                None
            }
        }
    }

    /// Takes over a run that an earlier owner started.
    fn adopt(&mut self, key: WorkerKey, at: TaskRef, row: RunRow) {
        let now = self.now.mono;
        info!(
            target: "decision",
            "task={} run={} worker={} choice=adopt epoch={}",
            row.task, row.run, self.workers[key].id, self.epoch
        );
        let placed = Placed {
            worker: key,
            run: row.run,
            stage: Stage::Running,
            ordering: false,
            touched: now,
            tries: 0,
            since: now,
            resumed: true,
            percent: row.percent,
            moved: now,
            first: None,
            sample: row.sample,
            pace: 100,
        };
        self.task_mut(at).saved = row.saved;
        self.assign(at, placed);
        self.note_started(at);
        // The lease that the earlier owner gave is unknown; the next listing renews it.
        self.workers[key].list_by(now);
        if self.workers[key].lease_end.is_none() {
            self.workers[key].lease_end = Some(self.horizon);
        }
    }

    fn read_end(&mut self, key: WorkerKey, row: EndRow) {
        let Some(at) = self.find(&row.task) else { return };
        info!(
            target: "decision",
            "task={} run={} worker={} end={:?} number={}",
            row.task, row.run, self.workers[key].id, row.how, row.number
        );
        let current =
            self.task(at).placed().filter(|p| p.worker == key && p.run == row.run).cloned();
        if let Some(placed) = &current {
            self.learn(key, at, placed, row.how);
            self.release(at);
        }
        if !row.saved.is_empty() {
            self.task_mut(at).saved = row.saved.clone();
        }
        let task = self.task_mut(at);
        task.run = task.run.max(row.run);
        match row.how {
            EndKind::Done => self.finish_task(at),
            EndKind::Failed => self.fail_task(at, row.run, key),
            _ => {}
        }
        if row.how != EndKind::Done && current.is_some() {
            self.break_gang(at);
        }
        self.retire(at.job);
    }

    /// Learns how fast the worker and the queue are.
    fn learn(&mut self, key: WorkerKey, at: TaskRef, placed: &Placed, how: EndKind) {
        let job = &self.jobs[at.job];
        let spec = job.step_spec(at.step);
        if spec.lasting {
            return;
        }
        match how {
            EndKind::Done => {
                self.workers[key].failures = 0;
                if !placed.resumed {
                    self.learn_time(key, at, self.now.mono.saturating_duration_since(placed.since));
                }
            }
            EndKind::Failed => {
                self.workers[key].failures += 1;
                if self.workers[key].failures >= QUARANTINE_FAILURES {
                    self.quarantine(key);
                }
            }
            _ => {}
        }
    }

    /// Learns from a whole run of a task.
    fn learn_time(&mut self, key: WorkerKey, at: TaskRef, took: Duration) {
        let job = &self.jobs[at.job];
        let (queue, estimate) = (job.submission.queue.clone(), job.step_spec(at.step).estimate);
        let step = &job.occurrences[at.occurrence as usize].steps[at.step as usize];
        let expected = self.expected_run_time(job, at.step, step);
        self.workers[key].observe(took, expected);
        self.estimators.entry(queue).or_default().observe(estimate, took);
        let step = self.step_mut(at);
        step.ended += 1;
        step.took += took;
    }

    pub(super) fn quarantine(&mut self, key: WorkerKey) {
        if !self.policies.quarantine {
            return;
        }
        let now = self.now.mono;
        let worker = &mut self.workers[key];
        let known = worker.quarantined.is_some_and(|until| now < until);
        worker.quarantined = Some(now + QUARANTINE);
        if !known {
            info!(target: "decision", "worker={} choice=quarantine failures={}", worker.id, worker.failures);
        }
    }

    fn finish_task(&mut self, at: TaskRef) {
        let spec = self.jobs[at.job].step_spec(at.step);
        if spec.lasting || self.task(at).is_done() {
            return;
        }
        // The end of one member stands for the whole gang.
        let members = if spec.gang { 0..spec.count } else { at.index..at.index + 1 };
        for index in members {
            self.mark_done(TaskRef { index, ..at });
        }
        self.mark_changed(at);
        let occurrence = &mut self.jobs[at.job].occurrences[at.occurrence as usize];
        if occurrence.outcome == Outcome::Open && occurrence.steps.iter().all(|s| s.is_done()) {
            occurrence.outcome = Outcome::Completed;
            occurrence.at = self.now.wall;
            let job = self.jobs[at.job].key;
            info!(target: "decision", "job={job} occurrence={} choice=completed", at.occurrence);
            self.write.hurry();
        }
        self.place_due = true;
    }

    fn mark_done(&mut self, at: TaskRef) {
        if let Some(placed) = self.task(at).placed().cloned() {
            let id = self.jobs[at.job].task_id(at);
            self.release(at);
            // Members of a gang end together; another run of a single task is not needed any more.
            if !self.jobs[at.job].step_spec(at.step).gang {
                self.stop_stray(placed.worker, id, placed.run);
            }
        }
        self.task_mut(at).phase = Phase::Done;
    }

    fn fail_task(&mut self, at: TaskRef, run: u64, key: WorkerKey) {
        let attempts = self.jobs[at.job].submission.attempts;
        let lasting = self.jobs[at.job].step_spec(at.step).lasting;
        let task = self.task_mut(at);
        task.avoid = Some(key);
        if lasting || task.is_done() || task.failed.contains(&run) {
            return;
        }
        task.failed.push(run);
        let failures = task.failed.len() as u32;
        self.mark_changed(at);
        let occurrence = &mut self.jobs[at.job].occurrences[at.occurrence as usize];
        if failures >= attempts && occurrence.outcome == Outcome::Open {
            occurrence.outcome = Outcome::Failed;
            occurrence.at = self.now.wall;
            let job = self.jobs[at.job].key;
            info!(target: "decision", "job={job} choice=failed attempts={failures}");
            self.write.hurry();
            self.stop_job(at.job);
        }
    }

    /// The occurrence changed, and an acknowledgement waits until that is written.
    fn mark_changed(&mut self, at: TaskRef) {
        let occurrence = &mut self.jobs[at.job].occurrences[at.occurrence as usize];
        occurrence.dirty = true;
        self.write.wants(at.job, at.occurrence, self.now.mono, true);
    }

    /// Runs that the worker neither lists nor ended are gone, if the listing was asked for after the last answer about them.
    fn find_vanished(&mut self, key: WorkerKey, sent: Instant, seen: &HashSet<TaskRef>) {
        let missing = |at: &&TaskRef| !seen.contains(at);
        let absent: Vec<_> = self.workers[key].runs.iter().filter(missing).copied().collect();
        for at in absent {
            let Some(placed) = self.task(at).placed() else { continue };
            let settled = !placed.ordering && placed.stage != Stage::Starting;
            if settled && placed.touched < sent {
                self.lose(at, RunEvidence::Unlisted);
            }
        }
    }

    /// A worker began to drain: lasting tasks move away at once, finite ones that can't end in time are saved.
    pub(super) fn leave_draining(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let leaves = self.workers[key].leaves;
        for at in self.workers[key].runs.clone() {
            let spec = self.jobs[at.job].step_spec(at.step);
            let Some(placed) = self.task(at).placed() else { continue };
            let left = spec.estimate.saturating_sub(now.saturating_duration_since(placed.since));
            let too_long = leaves.is_some_and(|leaves| now + left > leaves);
            if spec.lasting || (spec.checkpoints && too_long) {
                self.stop_run(at);
            }
        }
    }

    /// True when no worker of the service can run unseen tasks of earlier owners.
    pub(super) fn is_swept(&mut self, service: &ServiceId) -> bool {
        if self.swept.contains_key(service) {
            return true;
        }
        let unswept = |worker: &Worker| worker.service == *service && !worker.is_known();
        let hidden = |row: &VmRow| {
            let runs = row.pool == *service && row.state == VmState::Up;
            let worker = row.worker.as_ref().filter(|_| runs);
            worker.is_some_and(|id| !self.worker_index.contains_key(id))
        };
        let seen =
            self.vms_known && !self.workers.values().any(unswept) && !self.vms.values().any(hidden);
        let unread = |worker: &Worker| worker.service == *service && worker.unread;
        let swept = seen || (self.now.mono > self.horizon && !self.workers.values().any(unread));
        if swept {
            self.swept.insert(service.clone(), self.now.mono);
        }
        swept
    }
}
