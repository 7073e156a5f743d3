//! Listings of workers: requests them, adopts or stops the runs they name, and processes the ends they report.

use std::{collections::HashSet, time::Instant};

use log::info;

use crate::{
    job::TaskId,
    sched::{
        call_history::ListingRequest,
        event::{Action, ListAnswer, Listing, Refusal, RunRow, WorkerId},
        evidence::{IncarnationEvidence, RunEvidence},
        pace::UNKNOWN_PACE,
        scheduler::Scheduler,
        settings::{
            IDLE_INTERVAL, LISTING_INTERVAL, LISTING_RETRY, LISTING_WAIT, RENEWAL_INTERVAL,
            STARTUP_INTERVAL,
        },
        work::{Phase, Placement, Stage, TaskRef},
        worker::{ClockReading, WorkerKey},
    },
};

impl Scheduler {
    /// Requests the listings that are due.
    pub(super) fn list_workers(&mut self) {
        if !self.may_command() {
            return;
        }
        let (now, limit, max_lease) =
            (self.now.mono, self.ownership.fenced_until, self.limits.max_lease);
        let due: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                worker.listing.is_none() && worker.next_listing.is_some_and(|at| at <= now)
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let finite = self.workers[key].is_reconciled() && self.has_finite_run(key);
            let watched = self.watches_suspect(&self.workers[key]);
            let worker = &mut self.workers[key];
            worker.next_listing = None;
            // An unanswered renewal may be carried out later. An unresponsive worker gets none, so that its leases end.
            let renews =
                worker.is_reconciled() && worker.missed_listings == 0 && !worker.runs.is_empty();
            let lease_end = if renews { worker.grant_lease(now, limit, max_lease) } else { None };
            // Numbers of ends start anew with each incarnation, so each is acknowledged once, to a worker that answers: the next
            // incarnation would take the number for that of an end which this owner hasn't read.
            let acknowledges =
                worker.ends_durable > worker.ends_acknowledged && worker.missed_listings == 0;
            let acknowledged = if acknowledges { worker.ends_durable } else { 0 };
            worker.ends_acknowledged = worker.ends_acknowledged.max(acknowledged);
            worker.listing = Some(ListingRequest { renews: lease_end.is_some(), acknowledges });
            let wait = if finite && !watched { LISTING_WAIT } else { Default::default() };
            self.actions.push(Action::List {
                target: worker.target(),
                lease_end,
                acknowledged,
                wait,
            });
        }
    }

    fn has_finite_run(&self, key: WorkerKey) -> bool {
        let mut runs = self.workers[key].runs.iter();
        runs.any(|at| !self.jobs[at.job].step_spec(at.step).long_running)
    }

    /// Handles the answer to a request for a listing.
    pub(super) fn listed(&mut self, id: &WorkerId, sent: Instant, answer: ListAnswer) {
        let Some(&key) = self.worker_keys.get(id) else { return };
        let now = self.now.mono;
        let request = self.workers[key].listing.take();
        match answer {
            ListAnswer::Listed(listing) => self.read_listing(key, sent, listing),
            ListAnswer::Refused(Refusal::Fenced) => self.step_down(id),
            ListAnswer::Refused(Refusal::OtherIncarnation) => {
                let worker = &mut self.workers[key];
                worker.missed_listings += 1;
                let (known_since, unnamed_lists) = (worker.known_since, worker.unnamed_lists);
                let unseen = worker.started_at.is_none() && !worker.is_reconciled();
                self.end_incarnation(key, None, IncarnationEvidence::OtherIncarnation(sent));
                let worker = &mut self.workers[key];
                worker.next_listing = Some(now + LISTING_RETRY);
                if unseen {
                    // The same answer again shows no new incarnation, which lists of VMs wouldn't name yet.
                    worker.known_since = known_since;
                    worker.unnamed_lists = unnamed_lists;
                }
            }
            ListAnswer::Refused(_) | ListAnswer::Unanswered => {
                let worker = &mut self.workers[key];
                if let Some(request) = request {
                    worker.calls.miss_listing(request, sent);
                }
                // The acknowledgement of the listing may be lost with it.
                worker.ends_acknowledged = 0;
                worker.missed_listings += 1;
                worker.next_listing = Some(now + LISTING_RETRY * worker.missed_listings.min(3));
            }
        }
    }

    /// Processes a listing: first the ends, then the runs in progress, then the runs that are missing.
    fn read_listing(&mut self, key: WorkerKey, sent: Instant, listing: Listing) {
        let now = self.now.mono;
        let known = self.workers[key].started_at;
        if known.is_some() && listing.started_at.is_some() && known != listing.started_at {
            self.end_incarnation(key, listing.started_at, IncarnationEvidence::Listed);
        }
        let worker = &mut self.workers[key];
        worker.started_at = listing.started_at.or(worker.started_at);
        worker.clock = Some(ClockReading { at: now, value: listing.clock });
        worker.last_answer = Some(now);
        worker.missed_listings = 0;
        if worker.reconciled_at.is_none() {
            worker.reconciled_at = Some(now);
            self.place_due = true;
            self.count_earlier_grants(key);
        }
        let mut ended: Vec<_> = listing.ended;
        ended.sort_by_key(|row| row.number);
        let mut unread = None;
        for row in ended {
            if self.is_unread(&row.task) {
                // Neither this end nor later ones may be acknowledged: an acknowledgement covers all ends up to a
                // number.
                unread = Some(row.task);
                break;
            }
            if row.number > self.workers[key].ends_processed {
                self.workers[key].ends_processed = row.number;
                self.read_end(key, row);
            }
        }
        let ends_read = unread.is_none();
        let mut listed_tasks = HashSet::with_capacity(listing.running.len());
        self.workers[key].orphan_runs = 0;
        self.refund_orphans(key);
        for row in listing.running {
            if self.is_unread(&row.task) {
                unread = Some(row.task);
            } else if let Some(at) = self.read_run(key, row) {
                self.settle(at, sent);
                listed_tasks.insert(at);
            }
        }
        self.stop_unlisted_starts(key, sent, &listed_tasks);
        self.set_unread(key, unread);
        self.set_unlisted_ends(key, !listing.ends_complete);
        // A run that is no longer listed may be among the ends that weren't processed or weren't listed.
        if ends_read && listing.ends_complete {
            self.detect_vanished(key, sent, &listed_tasks);
        }
        self.schedule_listing(key, sent);
    }

    /// True when an earlier owner may have read the submission of the task's job but this owner hasn't: the overflow
    /// logs of submissions are read independently of the log of the owner's records.
    fn is_unread(&self, task: &TaskId) -> bool {
        let known =
            self.job_slots.contains_key(&task.job) || self.ended_jobs.contains_key(&task.job);
        !known && self.is_catching_up()
    }

    /// Records whether a listing named a task whose submission is unread, and logs the first such listing.
    fn set_unread(&mut self, key: WorkerKey, task: Option<TaskId>) {
        let worker = &mut self.workers[key];
        let known = std::mem::replace(&mut worker.unread_submission, task.is_some());
        if let (Some(task), false) = (task, known) {
            info!(target: "decision", "task={task} worker={} choice=wait_for_submission", worker.id);
        }
    }

    /// Records whether a listing named only a part of the ends, and logs the first such listing.
    fn set_unlisted_ends(&mut self, key: WorkerKey, unlisted: bool) {
        let worker = &mut self.workers[key];
        let known = std::mem::replace(&mut worker.unlisted_ends, unlisted);
        if unlisted && !known {
            info!(
                target: "decision",
                "worker={} choice=wait_for_ends through={} durable={}",
                worker.id, worker.ends_processed, worker.ends_durable
            );
        }
    }

    /// Schedules the next listing of a worker, according to what runs there.
    fn schedule_listing(&mut self, key: WorkerKey, sent: Instant) {
        let now = self.now.mono;
        let stopping = |at: &TaskRef| {
            self.task(*at).placement().is_some_and(|placement| placement.stage == Stage::Stopping)
        };
        let starting = |at: &TaskRef| {
            self.task(*at).placement().is_some_and(|placement| placement.percent < 100)
        };
        let orphans = self.workers[key].orphan_runs > 0;
        let frequent = orphans
            || self.workers[key].has_unknown_runs()
            || self.watches_suspect(&self.workers[key])
            || self.has_finite_run(key)
            || self.workers[key].runs.iter().any(stopping);
        let starting_up = self.workers[key].runs.iter().any(starting);
        let worker = &mut self.workers[key];
        if frequent {
            worker.list_by((sent + LISTING_INTERVAL).max(now + LISTING_INTERVAL / 3));
        } else if starting_up {
            worker.list_by(now + STARTUP_INTERVAL);
        } else if !worker.runs.is_empty() {
            worker.list_by(now + RENEWAL_INTERVAL);
        } else {
            worker.list_by(now + IDLE_INTERVAL);
        }
        if worker.ends_durable > worker.ends_acknowledged {
            worker.list_by(now + LISTING_INTERVAL);
        }
    }

    /// Processes a listed run. Returns its task when this is the task's current run.
    fn read_run(&mut self, key: WorkerKey, row: RunRow) -> Option<TaskRef> {
        let now = self.now.mono;
        let Some(at) = self.find_task(&row.task) else {
            self.stop_orphan(key, row.task, row.run);
            return None;
        };
        let needed = self.needs_run(at);
        let started = match &mut self.task_mut(at).phase {
            Phase::Placed(placement) if placement.worker == key && placement.run == row.run => {
                if placement.percent != row.percent {
                    placement.percent = row.percent;
                    placement.progress_at = now;
                    placement.first_progress.get_or_insert((row.percent, now));
                }
                placement.sample = row.sample;
                placement.in_life = true;
                placement.outlived = false;
                let kept = placement.stage == Stage::Stopping && placement.kept_if_listed && needed;
                let started = placement.stage == Stage::Starting || kept;
                if started {
                    placement.stage = Stage::Running;
                    placement.guard = Default::default();
                    placement.command_pending = false;
                    placement.awaits_listing = false;
                    placement.kept_if_listed = false;
                }
                Some(started)
            }
            _ => None,
        };
        match started {
            Some(started) => {
                self.confirm_start(at);
                self.task_mut(at).checkpoint = row.checkpoint;
                if started {
                    self.mark_started(at);
                }
                Some(at)
            }
            None if needed && self.task(at).is_idle() && row.run >= self.task(at).last_run => {
                self.adopt(key, at, row);
                Some(at)
            }
            None => {
                self.stop_orphan(key, row.task, row.run);
                None
            }
        }
    }

    /// Adopts a run that an earlier owner started.
    fn adopt(&mut self, key: WorkerKey, at: TaskRef, row: RunRow) {
        let now = self.now.mono;
        info!(
            target: "decision",
            "task={} run={} worker={} choice=adopt epoch={}",
            row.task, row.run, self.workers[key].id, self.epoch
        );
        let placement = Placement {
            worker: key,
            run: row.run,
            stage: Stage::Running,
            confirmed: true,
            in_life: true,
            outlived: false,
            guard: Default::default(),
            command_pending: false,
            start_pending: false,
            start_sent: now,
            start_answered: None,
            stop_pending: false,
            command_at: now,
            unanswered: 0,
            awaits_listing: false,
            kept_if_listed: false,
            started_at: now,
            resumed: true,
            percent: row.percent,
            progress_at: now,
            first_progress: None,
            sample: row.sample,
            pace: UNKNOWN_PACE,
            // It was started before the earlier owner was replaced.
            settled: self.task(at).crashed_runs.is_empty(),
            crashed: false,
            hung: false,
            basis: None,
        };
        self.task_mut(at).checkpoint = row.checkpoint;
        self.assign(at, placement);
        self.mark_started(at);
        // Its lease is unknown, and may have been granted for the clock of another incarnation; the next listing renews it.
        let longest = now + self.limits.longest_lease();
        let worker = &mut self.workers[key];
        worker.list_by(now);
        worker.lease_end = worker.lease_end.max(Some(longest));
    }

    /// Gives up the runs that the worker lists neither as running nor as ended, if the listing was requested after the
    /// last answer to a command for the run.
    fn detect_vanished(&mut self, key: WorkerKey, sent: Instant, listed_tasks: &HashSet<TaskRef>) {
        let missing = |at: &&TaskRef| !listed_tasks.contains(at);
        let absent: Vec<_> = self.workers[key].runs.iter().filter(missing).copied().collect();
        let mut crashed = Vec::new();
        for at in absent {
            let Some(placement) = self.task(at).placement() else { continue };
            let settled = !placement.command_pending && placement.stage != Stage::Starting;
            if settled && placement.command_at < sent {
                crashed.extend(self.suspect_of(at).filter(|_| placement.outlived));
                self.mark_lost(at, RunEvidence::NotListed);
            }
        }
        // They ran in the incarnation before, which has crashed.
        if !crashed.is_empty() {
            let vm = self.workers[key].vm.clone();
            self.record_crash(vm.as_ref(), &crashed);
        }
    }

    /// Handles a worker that began to drain: stops its long-running tasks at once, so that they move elsewhere, and
    /// those finite tasks with checkpoints that can't end before it leaves.
    pub(super) fn stop_for_drain(&mut self, key: WorkerKey) {
        let now = self.now.mono;
        let leaves_at = self.workers[key].leaves_at;
        for at in self.workers[key].runs.clone() {
            let spec = self.jobs[at.job].step_spec(at.step);
            let Some(placement) = self.task(at).placement() else { continue };
            let left =
                spec.estimate.saturating_sub(now.saturating_duration_since(placement.started_at));
            let too_long = leaves_at.is_some_and(|leaves_at| now + left > leaves_at);
            if spec.long_running || (spec.checkpoints && too_long) {
                self.stop_run(at);
            }
        }
    }
}
