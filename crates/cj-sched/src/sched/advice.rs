//! Queues whose policy lets only some workers run a step.

use std::time::Duration;

use compact_str::CompactString;

use crate::sched::{
    event::{Action, AdviceAnswer, StepKey, WorkerId},
    scheduler::Scheduler,
    work::{Step, TaskRef, Tickets},
};

/// Workers named in one call; a call takes longer with each.
const ADVICE_WORKERS: usize = 30;

/// Time until a step is asked for again after a call without an answer.
const ADVICE_RETRY: Duration = Duration::from_millis(300);

/// A call that isn't answered within this time is given up.
const ADVICE_LIMIT: Duration = Duration::from_secs(4);

/// Tickets are used up to this long before they end, so that the order arrives in time.
const TICKET_RESERVE: Duration = Duration::from_millis(150);

impl Scheduler {
    pub(super) fn step_mut(&mut self, at: TaskRef) -> &mut Step {
        let occurrence = &mut self.jobs[at.job].occurrences[at.occurrence as usize];
        &mut occurrence.steps[at.step as usize]
    }

    pub(super) fn needs_advice(&self, at: TaskRef) -> bool {
        let queue = self.config.queue(&self.jobs[at.job].submission.queue);
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// True when the step has valid tickets; asks for them otherwise.
    pub(super) fn has_tickets(&mut self, at: TaskRef) -> bool {
        let now = self.now.mono;
        let step = self.step_mut(at);
        if step.tickets.valid_until.is_some_and(|until| now + TICKET_RESERVE < until) {
            return true;
        }
        if step.tickets.retry_at.is_some_and(|ask_at| now < ask_at) {
            return false;
        }
        step.tickets = Tickets { retry_at: Some(now + ADVICE_LIMIT), ..Tickets::default() };
        let workers = self.advice_candidates(at);
        let job = self.jobs[at.job].key;
        let key = StepKey { job, occurrence: at.occurrence, step: at.step };
        self.actions.push(Action::Advise(key, workers));
        false
    }

    /// The workers with most room first.
    fn advice_candidates(&self, at: TaskRef) -> Vec<WorkerId> {
        let job = &self.jobs[at.job];
        let service = self.service_of(&job.submission);
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| worker.service == *service && worker.accepts_tasks(self.now.mono))
            .collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.free().cores));
        workers.into_iter().take(ADVICE_WORKERS).map(|worker| worker.id.clone()).collect()
    }

    pub(super) fn advised(&mut self, key: StepKey, answer: AdviceAnswer) {
        let Some(&slot) = self.job_slots.get(&key.job) else { return };
        let at = TaskRef { job: slot, occurrence: key.occurrence, step: key.step, index: 0 };
        let now = self.now.mono;
        let tickets = &mut self.step_mut(at).tickets;
        match answer {
            AdviceAnswer::Granted(good, valid) => {
                let until = Some(now + valid);
                *tickets = Tickets { granted: good, valid_until: until, retry_at: None };
                self.place_due = true;
            }
            AdviceAnswer::RetryLater => tickets.retry_at = Some(now + ADVICE_RETRY),
        }
    }

    pub(super) fn ticket_for(&self, at: TaskRef, worker: &WorkerId) -> Option<CompactString> {
        let occurrence = &self.jobs[at.job].occurrences[at.occurrence as usize];
        let good = &occurrence.steps[at.step as usize].tickets.granted;
        good.iter().find(|ticket| ticket.worker == *worker).map(|ticket| ticket.ticket.clone())
    }

    pub(super) fn drop_tickets(&mut self, at: TaskRef) {
        self.step_mut(at).tickets = Tickets::default();
    }
}
