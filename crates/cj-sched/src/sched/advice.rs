//! Advice for queues where a policy service decides which workers may run a step.

use std::time::Duration;

use compact_str::CompactString;

use crate::sched::{
    event::{Action, AdviceAnswer, StepKey, WorkerId},
    scheduler::Scheduler,
    step::{Step, Tickets},
    work::TaskRef,
};

/// Most workers named in one call; a call takes longer with each.
const MAX_ADVICE_WORKERS: usize = 30;

/// Time until advice for a step is requested again after a call without an answer.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A call that isn't answered within this time is abandoned.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(4);

/// Tickets are used until this long before they expire, so that the start command arrives in time.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

impl Scheduler {
    pub(super) fn step_mut(&mut self, at: TaskRef) -> &mut Step {
        let occurrence = &mut self.jobs[at.job].occurrences[at.occurrence as usize];
        &mut occurrence.steps[at.step as usize]
    }

    pub(super) fn needs_advice(&self, at: TaskRef) -> bool {
        let queue = self.config.queue(&self.jobs[at.job].submission.queue);
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// True if the step has valid tickets; requests them otherwise.
    pub(super) fn ensure_tickets(&mut self, at: TaskRef) -> bool {
        let now = self.now.mono;
        let step = self.step_mut(at);
        if step.tickets.valid_until.is_some_and(|until| now + TICKET_MARGIN < until) {
            return true;
        }
        if step.tickets.retry_at.is_some_and(|retry_at| now < retry_at) {
            return false;
        }
        step.tickets = Tickets { retry_at: Some(now + ADVICE_TIMEOUT), ..Tickets::default() };
        let workers = self.advice_candidates(at);
        let job = self.jobs[at.job].key;
        let key = StepKey { job, occurrence: at.occurrence, step: at.step };
        self.actions.push(Action::Advise(key, workers));
        false
    }

    /// Workers to name in a call, those with the most free processors first.
    fn advice_candidates(&self, at: TaskRef) -> Vec<WorkerId> {
        let job = &self.jobs[at.job];
        let service = self.service_of(&job.submission);
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|worker| worker.service == *service && worker.accepts_tasks(self.now.mono))
            .collect();
        workers.sort_by_key(|worker| std::cmp::Reverse(worker.free().cores));
        workers.into_iter().take(MAX_ADVICE_WORKERS).map(|worker| worker.id.clone()).collect()
    }

    /// Handles the answer to [`Action::Advise`].
    pub(super) fn advised(&mut self, key: StepKey, answer: AdviceAnswer) {
        let Some(&slot) = self.job_slots.get(&key.job) else { return };
        let at = TaskRef { job: slot, occurrence: key.occurrence, step: key.step, index: 0 };
        let now = self.now.mono;
        let tickets = &mut self.step_mut(at).tickets;
        match answer {
            AdviceAnswer::Granted(granted, validity) => {
                let valid_until = Some(now + validity);
                *tickets = Tickets { granted, valid_until, retry_at: None };
                self.place_due = true;
            }
            AdviceAnswer::RetryLater => tickets.retry_at = Some(now + ADVICE_RETRY_DELAY),
        }
    }

    pub(super) fn ticket_for(&self, at: TaskRef, worker: &WorkerId) -> Option<CompactString> {
        let occurrence = &self.jobs[at.job].occurrences[at.occurrence as usize];
        let granted = &occurrence.steps[at.step as usize].tickets.granted;
        granted.iter().find(|ticket| ticket.worker == *worker).map(|ticket| ticket.ticket.clone())
    }

    pub(super) fn drop_tickets(&mut self, at: TaskRef) {
        self.step_mut(at).tickets = Tickets::default();
    }
}
