//! What the policy service has answered for a step.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use compact_str::CompactString;

use crate::sched::worker::{Worker, WorkerKey};

/// Tickets are used until this long before they expire, so that the start command arrives in time.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// A worker that was refused is named again after this time if none is allowed: the policy service may have learned of it
/// only later.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(30);

/// The answer for an incarnation of a worker.
#[derive(Clone, Debug)]
struct Answer {
    started_at: Option<u64>,
    verdict: Verdict,
}

#[derive(Clone, Debug)]
enum Verdict {
    /// The worker may run the step. `valid_until` is the end of the ticket's validity.
    Allowed { ticket: CompactString, valid_until: Instant },
    /// It may not, for as long as the incarnation lasts.
    Refused { at: Instant },
}

/// The answers for a step, and when more of them may be requested.
#[derive(Clone, Debug, Default)]
pub(super) struct Tickets {
    answers: HashMap<WorkerKey, Answer>,
    /// Earliest time of the next call; until then a call is outstanding, was refused, or would have nobody to name.
    pub(super) retry_at: Option<Instant>,
    /// Since when the step has been waiting for a call.
    pub(super) wanted_since: Option<Instant>,
}

impl Tickets {
    /// Records that a worker may run the step.
    pub(super) fn allow(
        &mut self,
        (key, worker): (WorkerKey, &Worker),
        ticket: CompactString,
        valid_until: Instant,
    ) {
        let verdict = Verdict::Allowed { ticket, valid_until };
        self.answers.insert(key, Answer { started_at: worker.started_at, verdict });
    }

    /// Records that a worker may not run the step.
    pub(super) fn refuse(&mut self, (key, worker): (WorkerKey, &Worker), at: Instant) {
        let verdict = Verdict::Refused { at };
        self.answers.insert(key, Answer { started_at: worker.started_at, verdict });
    }

    /// Forgets the answer for a worker, which may be named again.
    pub(super) fn forget(&mut self, key: WorkerKey) {
        self.answers.remove(&key);
    }

    /// The answer for the present incarnation of a worker.
    fn verdict(&self, key: WorkerKey, worker: &Worker) -> Option<&Verdict> {
        let answer = self.answers.get(&key)?;
        (answer.started_at == worker.started_at).then_some(&answer.verdict)
    }

    /// The ticket for a worker, if it is valid for long enough.
    pub(super) fn valid(
        &self,
        key: WorkerKey,
        worker: &Worker,
        now: Instant,
    ) -> Option<&CompactString> {
        match self.verdict(key, worker)? {
            Verdict::Allowed { ticket, valid_until } if now + TICKET_MARGIN < *valid_until => {
                Some(ticket)
            }
            _ => None,
        }
    }

    /// Workers that have been allowed, in whatever incarnation and whether or not their tickets are valid.
    pub(super) fn allowed(&self) -> impl Iterator<Item = WorkerKey> {
        let is_allowed = |answer: &Answer| matches!(answer.verdict, Verdict::Allowed { .. });
        self.answers.iter().filter(move |(_, answer)| is_allowed(answer)).map(|(key, _)| *key)
    }

    /// True if a call would tell more about a worker.
    pub(super) fn lacks_answer(
        &self,
        key: WorkerKey,
        worker: &Worker,
        any_allowed: bool,
        now: Instant,
    ) -> bool {
        match self.verdict(key, worker) {
            None => true,
            Some(Verdict::Allowed { .. }) => self.valid(key, worker, now).is_none(),
            Some(Verdict::Refused { at }) => !any_allowed && now >= *at + REFUSAL_LIFETIME,
        }
    }
}
