//! Advice for queues where a policy service decides which workers may run a step.
//!
//! The policy service handles the calls of a node one after the other, so only a few are outstanding at a time. Those free go
//! by turns to the step of the best rank and to the one that has waited longest. A call names workers that the
//! service hasn't answered for yet, so that all have been named after a few calls.

use std::{
    cmp::Reverse,
    collections::HashMap,
    time::{Duration, Instant},
};

use compact_str::CompactString;

use crate::sched::{
    event::{Action, AdviceAnswer, StepKey, WorkerId},
    scheduler::Scheduler,
    work::TaskRef,
    worker::{Worker, WorkerKey},
};

/// Most workers named in one call; a call takes longer with each.
const MAX_ADVICE_WORKERS: usize = 30;

/// Calls that may be outstanding at a time. More than one, so that the policy service needn't wait for the next.
const MAX_CALLS: usize = 4;

/// Time until advice for a step is requested again after a call without an answer, or while there is nobody to name.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A call that isn't answered within this time is abandoned.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(4);

/// A call without an answer leaves its place to another one this long after the answers to all outstanding calls were due.
const PLACE_SLACK: Duration = Duration::from_millis(300);

/// A call without an answer.
struct Call {
    sent: Instant,
    /// When it stops counting as outstanding.
    place_until: Instant,
}

/// Calls to the policy service.
#[derive(Default)]
pub(super) struct AdviceCalls {
    /// Steps that need a call, in the order in which the present pass came to them.
    wanted: Vec<TaskRef>,
    outstanding: HashMap<StepKey, Call>,
    /// The next call is for the step that has waited longest.
    oldest_next: bool,
}

impl Scheduler {
    pub(super) fn needs_advice(&self, at: TaskRef) -> bool {
        let queue = self.config.queue(&self.jobs[at.job].submission.queue);
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// Workers with valid tickets for the step.
    pub(super) fn ticketed_workers(&self, at: TaskRef) -> Vec<WorkerKey> {
        let (tickets, now) = (&self.jobs[at.job].step(at).tickets, self.now.mono);
        let is_valid = |key: &WorkerKey| {
            let worker = self.workers.get(*key);
            worker.is_some_and(|worker| tickets.valid(*key, worker, now).is_some())
        };
        tickets.allowed().filter(is_valid).collect()
    }

    /// The ticket of the step for a worker.
    pub(super) fn ticket_for(&self, at: TaskRef, key: WorkerKey) -> Option<CompactString> {
        self.jobs[at.job].step(at).tickets.valid(key, &self.workers[key], self.now.mono).cloned()
    }

    /// Forgets a ticket that the worker has refused.
    pub(super) fn drop_ticket(&mut self, at: TaskRef, key: WorkerKey) {
        self.jobs[at.job].step_mut(at).tickets.forget(key);
    }

    /// Requests more tickets for the step, unless a call is outstanding or was just refused.
    pub(super) fn want_advice(&mut self, at: TaskRef) {
        let now = self.now.mono;
        let tickets = &mut self.jobs[at.job].step_mut(at).tickets;
        if tickets.retry_at.is_none_or(|retry_at| retry_at <= now) {
            tickets.wanted_since.get_or_insert(now);
            self.advice.wanted.push(at);
        }
    }

    /// Makes calls for the steps that need one, as far as places are free.
    pub(super) fn request_advice(&mut self) {
        let now = self.now.mono;
        let mut wanted = std::mem::take(&mut self.advice.wanted);
        let outstanding = self.advice.outstanding.values();
        let used = outstanding.filter(|call| now < call.place_until).count();
        let mut free = MAX_CALLS.saturating_sub(used);
        while free > 0 && !wanted.is_empty() {
            let since = |at: &TaskRef| self.jobs[at.job].step(*at).tickets.wanted_since;
            let oldest = (0..wanted.len()).min_by_key(|index| since(&wanted[*index]));
            let at = wanted.remove(oldest.filter(|_| self.advice.oldest_next).unwrap_or(0));
            if self.call_policy(at) {
                self.advice.oldest_next = !self.advice.oldest_next;
                free -= 1;
            }
        }
    }

    /// Makes a call for a step. Returns false if there is nobody to name.
    fn call_policy(&mut self, at: TaskRef) -> bool {
        let now = self.now.mono;
        let workers = self.advice_candidates(at);
        let tickets = &mut self.jobs[at.job].step_mut(at).tickets;
        tickets.wanted_since = None;
        if workers.is_empty() {
            tickets.retry_at = Some(now + ADVICE_RETRY_DELAY);
            return false;
        }
        tickets.retry_at = Some(now + ADVICE_TIMEOUT);
        let job = &self.jobs[at.job];
        let queue = self.config.queue(&job.submission.queue);
        let timing = queue.and_then(|queue| queue.advice);
        let duration = timing
            .map_or(Duration::ZERO, |timing| timing.base + timing.per_vm * workers.len() as u32);
        let place_until = now + duration * MAX_CALLS as u32 + PLACE_SLACK;
        let key = StepKey { job: job.key, occurrence: at.occurrence, step: at.step };
        self.advice.outstanding.insert(key, Call { sent: now, place_until });
        self.actions.push(Action::Advise(key, workers));
        true
    }

    /// Workers to name in a call for a step: those whose tickets have expired, those with room, and those that other
    /// steps of the queue got tickets for come first.
    fn advice_candidates(&self, at: TaskRef) -> Vec<WorkerId> {
        let job = &self.jobs[at.job];
        let (spec, queue) = (job.step_spec(at.step), &job.submission.queue);
        let (service, demand) = (self.service_of(&job.submission), spec.allocation());
        let (tickets, now) = (&self.jobs[at.job].step(at).tickets, self.now.mono);
        let allowed: Vec<WorkerKey> = tickets.allowed().collect();
        let is_candidate = |(key, worker): &(WorkerKey, &Worker)| {
            worker.service == *service
                && worker.accepts_tasks(now)
                && worker.has_label_for(spec)
                && demand.fits(worker.capacity)
                && tickets.lacks_answer(*key, worker, !allowed.is_empty(), now)
        };
        let mut found: Vec<_> = self.workers.iter().filter(is_candidate).collect();
        found.sort_by_key(|(key, worker)| {
            (
                Reverse(allowed.contains(key)),
                Reverse(demand.fits(worker.free())),
                Reverse(worker.allowed_queues.contains(queue)),
                Reverse(worker.free().cores),
            )
        });
        let named = found.into_iter().take(MAX_ADVICE_WORKERS);
        named.map(|(_, worker)| worker.id.clone()).collect()
    }

    /// Handles the answer to an [`Action::Advise`] that named these workers.
    pub(super) fn advised(&mut self, key: StepKey, named: &[WorkerId], answer: AdviceAnswer) {
        let call = self.advice.outstanding.remove(&key);
        self.place_due = true;
        let Some(&slot) = self.job_slots.get(&key.job) else { return };
        let at = TaskRef { job: slot, occurrence: key.occurrence, step: key.step, index: 0 };
        let now = self.now.mono;
        let AdviceAnswer::Granted(granted, validity) = answer else {
            self.jobs[at.job].step_mut(at).tickets.retry_at = Some(now + ADVICE_RETRY_DELAY);
            return;
        };
        let queue = self.jobs[slot].submission.queue.clone();
        let tickets = &mut self.jobs[slot].step_mut(at).tickets;
        tickets.retry_at = None;
        for id in named {
            let Some(&worker_key) = self.worker_keys.get(id) else { continue };
            let worker = &mut self.workers[worker_key];
            // The answer may be for an earlier incarnation.
            if call.as_ref().is_none_or(|call| worker.known_since > call.sent) {
                continue;
            }
            worker.allowed_queues.retain(|allowed| *allowed != queue);
            match granted.iter().find(|ticket| ticket.worker == *id) {
                Some(ticket) => {
                    worker.allowed_queues.push(queue.clone());
                    tickets.allow((worker_key, worker), ticket.ticket.clone(), now + validity);
                }
                None => tickets.refuse((worker_key, worker), now),
            }
        }
    }
}
