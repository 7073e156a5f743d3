//! Placement: assigns ready tasks to workers.
//!
//! When a queue asks for more than its pool holds, steps are placed in the order of their [`Rank`]. The work of a [`Pass`] is
//! limited, and what it leaves out comes first in the next one. A long-running task that finds no room first gets a worker
//! reserved; if it keeps waiting, finite tasks there are preempted.

use std::{collections::HashMap, time::Duration};

use cj_types::ServiceId;
use log::info;

use crate::sched::{
    ledger::Charge,
    pass::{Pass, Turn},
    rank::{Rank, Timeliness, rank, submission_rank},
    scheduler::Scheduler,
    settings::PREEMPTION_DELAY,
    work::{Job, JobSlot, TaskRef},
    worker::WorkerKey,
};

/// Longest time between two placement passes: one runs after this time even if no event requested it.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two placement passes.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);

/// Run numbers of an owner start at its epoch shifted left by this many bits, above those of all earlier owners.
const RUN_NUMBER_BITS: u32 = 20;

/// An occurrence with idle tasks that are ready to start.
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) at: TaskRef,
    pub(super) service: ServiceId,
    /// Time until the remaining work has to start; `None` without a latency objective.
    pub(super) slack: Option<Duration>,
}

/// What became of the idle tasks of a step in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placed {
    /// All started, but for those that wait for something of their own.
    All,
    /// They are held back: by the cap of their account, for advice, or for other members of the gang.
    Held,
    /// One of them found no worker in a search.
    NoRoom,
    /// One of them asks for no less than a step that found no worker before in this pass.
    NoRoomAsBefore,
}

impl Scheduler {
    /// Runs a placement pass if one is due: starts the ready tasks that fit, in rank order.
    pub(super) fn place_tasks(&mut self) {
        let now = self.now.mono;
        let waited = now.saturating_duration_since(self.placed_at);
        let due = self.place_due && waited >= MIN_PASS_INTERVAL || waited >= MAX_PASS_INTERVAL;
        if !due || !self.may_command() {
            return;
        }
        self.place_due = false;
        self.placed_at = now;
        self.unlisted = self.unlisted_capacity();
        self.pass_number += 1;
        let mut candidates = self.candidates();
        candidates.sort_by_key(|candidate| candidate.rank);
        for candidate in &candidates {
            self.jobs[candidate.at.job].in_time = candidate.rank.timeliness == Timeliness::InTime;
        }
        let shared = self.policies.share && !self.ledger.is_empty();
        let pools = if shared { self.pool_shares() } else { HashMap::new() };
        let fair = shared && self.policies.fair;
        if fair {
            self.account_service.update(now, &pools);
        }
        let mut pass = Pass::new(self.pass_number, pools);
        for candidate in &candidates {
            let pool = pass.pools.get_mut(&candidate.service);
            if let (Some(pool), Some(account)) = (pool, self.jobs[candidate.at.job].account) {
                pool.add_account(&self.ledger, account);
            }
        }
        for group in candidates.chunk_by(|a, b| a.rank.group() == b.rank.group()) {
            match fair {
                true => self.place_group_by_account(group, &mut pass),
                false => self.place_group(group, &mut pass),
            }
        }
        self.place_left_out(&candidates, &mut pass);
        self.request_advice();
    }

    /// Places occurrences of the same importance, the steps of accounts above their share of the pool after the others.
    fn place_group(&mut self, group: &[Candidate], pass: &mut Pass) {
        let mut deferred = Vec::new();
        for candidate in group {
            let mut turn = self.begin_turn(candidate);
            while !self.is_over_share(candidate, pass) {
                let Some(step) = self.next_step(candidate, &mut turn, pass) else { break };
                let started = self.place_next(candidate, step, &mut turn, pass);
                self.add_to_share(candidate, step, started, pass);
            }
            if self.is_over_share(candidate, pass) {
                deferred.push((candidate, turn));
            }
        }
        for (candidate, turn) in deferred {
            self.take_turn(candidate, turn, pass);
        }
    }

    /// True if the account of an occurrence has more than its share of the pool.
    pub(super) fn is_over_share(&self, candidate: &Candidate, pass: &Pass) -> bool {
        let account = self.jobs[candidate.at.job].account;
        let pool = pass.pools.get(&candidate.service);
        pool.zip(account).is_some_and(|(pool, account)| pool.is_over(&self.ledger, account))
    }

    /// Counts started tasks of a step for the share of their account.
    pub(super) fn add_to_share(
        &self,
        candidate: &Candidate,
        step: u32,
        started: u32,
        pass: &mut Pass,
    ) {
        let charge = self.charge_of(TaskRef { step, ..candidate.at });
        let pool = pass.pools.get_mut(&candidate.service);
        if let Some((pool, charge)) = pool.zip(charge) {
            let demand = charge.demand.times(started);
            let is_finite = !self.jobs[candidate.at.job].step_spec(step).long_running;
            pool.add_run(&self.ledger, Charge { demand, ..charge }, is_finite);
        }
    }

    /// Gives a turn to the occurrences that got none in the order of rank, the one whose last turn is longest ago first.
    fn place_left_out(&mut self, candidates: &[Candidate], pass: &mut Pass) {
        pass.begin_second_part();
        let last_pass = |candidate: &&Candidate| {
            self.jobs[candidate.at.job].occurrence(candidate.at).last_turn.pass
        };
        let mut left_out: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| last_pass(candidate) < Some(pass.number))
            .collect();
        left_out.sort_by_key(last_pass);
        for candidate in left_out {
            let turn = self.begin_turn(candidate);
            self.take_turn(candidate, turn, pass);
        }
    }

    pub(super) fn begin_turn(&self, candidate: &Candidate) -> Turn {
        Turn::begin(self.jobs[candidate.at.job].occurrence(candidate.at))
    }

    pub(super) fn take_turn(&mut self, candidate: &Candidate, mut turn: Turn, pass: &mut Pass) {
        while let Some(step) = self.next_step(candidate, &mut turn, pass) {
            self.place_next(candidate, step, &mut turn, pass);
        }
    }

    /// The step of an occurrence to place next. `None` at the end of its turn, which is recorded then. A turn that the
    /// work of its service cuts short goes on later, but doesn't count.
    pub(super) fn next_step(
        &mut self,
        candidate: &Candidate,
        turn: &mut Turn,
        pass: &Pass,
    ) -> Option<u32> {
        let at = candidate.at;
        let is_cut = pass.is_used_up(&candidate.service);
        let occurrence = self.jobs[at.job].occurrence_mut(at);
        if is_cut || turn.is_over() {
            let last_pass = if is_cut { occurrence.last_turn.pass } else { Some(pass.number) };
            occurrence.last_turn = turn.last_turn(false, last_pass);
            return None;
        }
        let step = turn.next_step(occurrence);
        if step.is_none() {
            occurrence.last_turn = turn.last_turn(true, Some(pass.number));
        }
        step
    }

    /// Starts the tasks of a step that fit, and moves on to the next one. Returns how many it started.
    pub(super) fn place_next(
        &mut self,
        candidate: &Candidate,
        step: u32,
        turn: &mut Turn,
        pass: &mut Pass,
    ) -> u32 {
        self.count_examined(1);
        let at = TaskRef { step, ..candidate.at };
        let job = &self.jobs[at.job];
        let (shape, before) = (job.shape_of(step), job.active_runs);
        turn.advance(shape, step);
        let placed = self.place_step(at, &candidate.service, pass);
        let lacks_room = matches!(placed, Placed::NoRoom | Placed::NoRoomAsBefore);
        // The other steps of this shape find no room either, unless each has advice of its own.
        match self.needs_advice(at) {
            true if lacks_room => self.want_advice(at),
            false if lacks_room => turn.skip_shape(shape),
            _ => {}
        }
        pass.count(&candidate.service, turn, placed == Placed::NoRoom);
        self.jobs[at.job].active_runs.saturating_sub(before)
    }

    fn candidates(&mut self) -> Vec<Candidate> {
        let slots: Vec<JobSlot> = self.jobs.keys().collect();
        let mut fleet_reconciled = None;
        let mut found = Vec::new();
        for slot in slots {
            let job = &self.jobs[slot];
            if job.is_over() {
                continue;
            }
            let service = self.service_of(&job.submission).clone();
            let (fresh, moved) = (job.fresh, service != job.submission.service);
            // An earlier owner may have cancelled an older job, and acknowledged the ends of its runs.
            if !fresh && (self.may_lack_records() || !self.is_reconciled(&service)) {
                continue;
            }
            // Runs of a queue that has changed its service may be on the workers of any service that it had.
            if !fresh
                && moved
                && !*fleet_reconciled.get_or_insert_with(|| self.is_fleet_reconciled())
            {
                continue;
            }
            for number in 0..self.jobs[slot].occurrences.len() {
                let occurrence = &mut self.jobs[slot].occurrences[number];
                if !occurrence.is_open_and_due(self.now.wall) || occurrence.startable.is_empty() {
                    continue;
                }
                occurrence.last_turn.pass.get_or_insert(self.pass_number - 1);
                let job = &self.jobs[slot];
                let at = TaskRef { job: slot, occurrence: number as u32, step: 0, index: 0 };
                let (rank, slack) = self.rank_of(job, at.occurrence);
                found.push(Candidate { rank, at, service: service.clone(), slack });
            }
        }
        found
    }

    /// Rank of an occurrence, and the time until its remaining work has to start.
    pub(super) fn rank_of(&self, job: &Job, occurrence: u32) -> (Rank, Option<Duration>) {
        if !self.policies.rank {
            return (submission_rank(job), None);
        }
        let estimate = self.estimate_occurrence(job, occurrence);
        let rank = rank(job, occurrence, estimate, self.now.wall);
        let has_slack = rank.timeliness == Timeliness::InTime;
        let slack = estimate.deadline.since(self.now.wall + estimate.remaining);
        (rank, has_slack.then_some(slack))
    }

    /// Starts the idle tasks of a step that the cap of the account allows.
    fn place_step(&mut self, at: TaskRef, service: &ServiceId, pass: &mut Pass) -> Placed {
        if self.needs_advice(at) && self.ticketed_workers(at).is_empty() {
            self.want_advice(at);
            return Placed::Held;
        }
        if self.jobs[at.job].step_spec(at.step).gang {
            return self.place_gang(at);
        }
        let mut next = self.idle_from(at, 0);
        while let Some(index) = next {
            next = self.idle_from(at, index + 1);
            let at = TaskRef { index, ..at };
            if !self.cap_allows(at, 1) {
                return Placed::Held;
            }
            let run = self.next_run(at);
            if !self.is_loss_final(self.task(at)) || !self.may_start(at, run) {
                continue;
            }
            let alone = self.starts_alone(at);
            let lacks_room =
                !alone && pass.lacks_room(service, self.jobs[at.job].step_spec(at.step));
            let chosen = match alone {
                true => self.choose_isolated_worker(at),
                false if lacks_room => None,
                false => self.choose_worker(at),
            };
            let Some(key) = chosen else {
                if alone {
                    continue;
                }
                if !lacks_room {
                    self.record_no_room(at, service, pass);
                }
                self.seek_room(at, service, !lacks_room, pass);
                return if lacks_room { Placed::NoRoomAsBefore } else { Placed::NoRoom };
            };
            self.log_start(at, key, run);
            self.start_run(at, key, run);
        }
        Placed::All
    }

    /// Records that no worker has room for a task of the step, unless that depends on the step itself: on its tickets, or
    /// on where its other tasks run.
    fn record_no_room(&self, at: TaskRef, service: &ServiceId, pass: &mut Pass) {
        let spec = self.jobs[at.job].step_spec(at.step);
        if spec.spread.is_none() && !self.needs_advice(at) {
            pass.record_no_room(service, spec);
        }
    }

    /// Makes room for a long-running task. Where a step that asks for no more has found none in this pass, that is done
    /// already, unless that step hadn't waited for long enough yet.
    fn seek_room(&mut self, at: TaskRef, service: &ServiceId, is_first: bool, pass: &mut Pass) {
        let spec = self.jobs[at.job].step_spec(at.step);
        if !spec.long_running {
            return;
        }
        let waited = self.now.mono.saturating_duration_since(self.task(at).idle_since);
        let preempts = waited >= PREEMPTION_DELAY && pass.begin_preemption(service, spec);
        if is_first || preempts {
            self.make_room(at);
        }
    }

    /// The first idle task of a step with this index or a higher one.
    fn idle_from(&self, at: TaskRef, from: u32) -> Option<u32> {
        let occurrence = self.jobs[at.job].occurrence(at);
        occurrence.steps[at.step as usize].idle.range(from..).next().copied()
    }

    fn log_start(&self, at: TaskRef, key: WorkerKey, run: u64) {
        let job = &self.jobs[at.job];
        let worker = &self.workers[key];
        let free = worker.free();
        let age = worker.last_answer.map(|at| self.now.mono.saturating_duration_since(at));
        info!(
            target: "decision",
            "task={} run={run} worker={} choice=start epoch={} heartbeat_age_ms={} config={} free={},{},{} listing_age_ms={}",
            job.task_id(at), worker.id, self.epoch, self.heartbeat_age(), self.config.version,
            free.cores, free.memory, free.accelerators, age.unwrap_or_default().as_millis()
        );
    }

    pub(super) fn next_run(&self, at: TaskRef) -> u64 {
        (self.task(at).last_run + 1).max(self.epoch << RUN_NUMBER_BITS)
    }

    /// Starts all tasks of a gang or none; their runs share one run number.
    fn place_gang(&mut self, at: TaskRef) -> Placed {
        let count = self.jobs[at.job].step_spec(at.step).count;
        let occurrence = self.jobs[at.job].occurrence(at);
        let idle = occurrence.steps[at.step as usize].idle.len();
        if idle < count as usize || !self.cap_allows(at, count) {
            return Placed::Held;
        }
        let members = || (0..count).map(|index| TaskRef { index, ..at });
        let run = members().map(|member| self.next_run(member)).max().unwrap_or_default();
        let is_final = members().all(|member| self.is_loss_final(self.task(member)));
        let held_back = members().filter(|member| !self.may_start(*member, run)).count();
        if !is_final || held_back > 0 {
            return Placed::Held;
        }
        let Some(chosen) = self.choose_gang(at, count) else { return Placed::NoRoom };
        for (member, key) in members().zip(chosen) {
            self.log_start(member, key, run);
            self.start_run(member, key, run);
        }
        Placed::All
    }
}
