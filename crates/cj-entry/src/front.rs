//! What callers can ask: submit a job, read its state, cancel it, and count the waiting jobs of a queue.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use cj_sched::{JobKey, JobSpec, JobState, Queue, Record, Submission, codec};
use cj_types::Clock;
use compact_str::{CompactString, ToCompactString};
use log::info;

use crate::{
    admission::{Verdict, admit, backlog_time},
    metrics::AnswerLabels,
    node::EntryNode,
    outbox::Appended,
    platform::Platform,
};

/// Time after which a caller may return when the node can't reach the store.
const STORE_RETRY: Duration = Duration::from_secs(1);

/// A caller whose record the store doesn't answer for is told so after this time: another node may reach the store.
const APPEND_PATIENCE: Duration = Duration::from_millis(1_800);

/// Time between two looks whether a record was read although its append wasn't answered.
const KNOWN_CHECK: Duration = Duration::from_millis(200);

/// Time that an answer takes to reach its caller.
const ANSWER_RESERVE: Duration = Duration::from_millis(150);

/// Longest time that a caller without a deadline waits for.
pub const DEADLINE: Duration = Duration::from_secs(3);

/// Answer to a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Submitted {
    /// The job is durable.
    Accepted,
    /// The job can't be read; nothing was stored.
    Invalid(CompactString),
    /// Not accepted; it never runs. The caller may return after this time.
    Refused(&'static str, Duration),
    /// The store didn't tell whether the job is durable.
    Unknown,
}

/// Answer to a question about a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Looked {
    /// Its state.
    State(JobState),
    /// There is no such job.
    Gone,
    /// The node doesn't know; the caller may return after this time.
    Unavailable(Duration),
}

/// Answer to a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum Cancelled {
    /// The cancellation is durable, or the job was over.
    Done,
    /// There is no such job.
    Gone,
    /// Not cancelled; the caller may return after this time.
    Refused(Duration),
    /// The store didn't tell whether the cancellation is durable.
    Unknown,
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// The queue that a path of a host names, with the rest of the path.
    pub fn queue<'a>(&self, host: &str, path: &'a str) -> Option<(Queue, &'a str)> {
        let config = self.config.borrow().clone()?;
        let queue = config.route(host, path)?.clone();
        let rest = &path[queue.prefix.len()..];
        Some((queue, rest))
    }

    /// Accepts a job, if the store takes it and its pool can do it in time.
    pub async fn submit(
        self: &Rc<Self>,
        queue: &Queue,
        job: JobKey,
        spec: JobSpec,
        deadline: Instant,
    ) -> Submitted {
        let answer = self.decide_submission(queue, job, spec, deadline).await;
        let version =
            self.config.borrow().as_ref().map(|config| config.version).unwrap_or_default();
        let offset = self.jobs.next();
        let (choice, outcome, retry) = match &answer {
            Submitted::Accepted => ("accepted", "accepted", Duration::ZERO),
            Submitted::Invalid(_) => ("invalid", "invalid", Duration::ZERO),
            Submitted::Refused(reason, after) => ("refused", *reason, *after),
            Submitted::Unknown => ("unknown", "unknown", Duration::ZERO),
        };
        info!(
            target: "decision",
            "job={job} request=submit queue={} config={version} offset={offset} choice={choice} reason={outcome} retry_ms={}",
            queue.name, retry.as_millis()
        );
        self.count("submit", outcome);
        answer
    }

    async fn decide_submission(
        self: &Rc<Self>,
        queue: &Queue,
        job: JobKey,
        spec: JobSpec,
        deadline: Instant,
    ) -> Submitted {
        if self.book.borrow().job(job).is_some() {
            return Submitted::Accepted;
        }
        if let Err(error) = spec.check() {
            return Submitted::Invalid(CompactString::from(error.to_string()));
        }
        if !self.reaches_store() {
            self.log_unreachable(job);
            return Submitted::Refused("store_unreachable", STORE_RETRY);
        }
        let objective = spec.chain().mul_f32(queue.stretch.max(1.0)) + queue.target;
        let verdict = {
            let book = self.book.borrow();
            admit(book.owner().map(|owner| &owner.beat), &queue.service, &spec, objective)
        };
        if let Verdict::Refuse(after) = verdict {
            self.log_overload(job, queue, objective);
            return Submitted::Refused("overload", after);
        }
        let submission = Submission {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            attempts: queue.attempts,
            objective,
            at: self.clock.wall(),
            spec,
        };
        let record = Record::Submission(job, Box::new(submission));
        let known = || self.book.borrow().job(job).is_some();
        match self.append(&record, deadline, known).await {
            Appended::Durable => Submitted::Accepted,
            Appended::Refused => Submitted::Refused("store_refused", STORE_RETRY),
            Appended::Unknown => Submitted::Unknown,
        }
    }

    /// Tells what the node knows of the store.
    fn log_unreachable(&self, job: JobKey) {
        let now = self.clock.now();
        let age = self.jobs.age(now).map(|age| age.as_millis().to_compact_string());
        info!(
            target: "decision",
            "job={job} reason=store_unreachable read_age_ms={} reads_answered={} append_stalled={}",
            age.as_deref().unwrap_or("never"), self.jobs.is_answered(), self.outbox.is_stalled(now)
        );
    }

    /// Tells which load decided a refusal, and how old it is.
    fn log_overload(&self, job: JobKey, queue: &Queue, objective: Duration) {
        let book = self.book.borrow();
        let Some(owner) = book.owner() else { return };
        let load = owner.beat.load.iter().find(|(service, _)| *service == queue.service);
        let wait = load.map(|(_, load)| backlog_time(load)).unwrap_or_default();
        let age = self.heard.get().map(|at| self.clock.now().saturating_duration_since(at));
        info!(
            target: "decision",
            "job={job} reason=overload service={} wait_ms={} objective_ms={} epoch={} load_offset={} load_age_ms={}",
            queue.service, wait.as_millis(), objective.as_millis(), owner.beat.epoch, owner.offset,
            age.unwrap_or_default().as_millis()
        );
    }

    /// State of a job.
    pub fn look(&self, job: JobKey) -> Looked {
        let state = self.book.borrow().job(job).map(|entry| entry.state());
        let answer = match state {
            Some(state) => Looked::State(state),
            None if self.knows_all_jobs() => Looked::Gone,
            None => Looked::Unavailable(STORE_RETRY),
        };
        let outcome = match &answer {
            Looked::State(_) => "state",
            Looked::Gone => "gone",
            Looked::Unavailable(_) => "unavailable",
        };
        if !matches!(answer, Looked::State(_)) {
            let (offset, answered) = (self.jobs.next(), self.jobs.is_answered());
            info!(
                target: "decision",
                "job={job} request=status choice={outcome} offset={offset} store_answers={answered}"
            );
        }
        self.count("status", outcome);
        answer
    }

    /// Cancels a job.
    pub async fn cancel(self: &Rc<Self>, job: JobKey, deadline: Instant) -> Cancelled {
        let answer = self.decide_cancel(job, deadline).await;
        let outcome = match &answer {
            Cancelled::Done => "done",
            Cancelled::Gone => "gone",
            Cancelled::Refused(_) => "refused",
            Cancelled::Unknown => "unknown",
        };
        info!(
            target: "decision",
            "job={job} request=cancel offset={} choice={outcome}", self.jobs.next()
        );
        self.count("cancel", outcome);
        answer
    }

    async fn decide_cancel(self: &Rc<Self>, job: JobKey, deadline: Instant) -> Cancelled {
        let known = self.book.borrow().job(job).map(|entry| entry.state());
        match known {
            Some(state) if state.is_final() => return Cancelled::Done,
            Some(_) if !self.reaches_store() => return Cancelled::Refused(STORE_RETRY),
            Some(_) => {}
            None if self.knows_all_jobs() => return Cancelled::Gone,
            None => return Cancelled::Refused(STORE_RETRY),
        }
        let record = Record::Cancel(job, self.clock.wall());
        let seen = || self.book.borrow().job(job).is_some_and(|entry| entry.cancelled.is_some());
        match self.append(&record, deadline, seen).await {
            Appended::Durable => Cancelled::Done,
            Appended::Refused => Cancelled::Refused(STORE_RETRY),
            Appended::Unknown => Cancelled::Unknown,
        }
    }

    /// True while appends have a chance to be answered.
    fn reaches_store(&self) -> bool {
        let now = self.clock.now();
        self.jobs.is_fresh(now) && self.jobs.is_answered() && !self.outbox.is_stalled(now)
    }

    /// Number of jobs of a queue of which no task has begun; `None` while the node doesn't know.
    pub fn waiting(&self, queue: &Queue) -> Option<usize> {
        let fresh = self.knows_all_jobs();
        self.count("waiting", if fresh { "count" } else { "unavailable" });
        fresh.then(|| self.book.borrow().waiting(&queue.name))
    }

    fn count(&self, request: &'static str, outcome: &'static str) {
        self.metrics.answers.get_or_create(&AnswerLabels { request, outcome }).inc();
    }

    /// Appends a record whose repetition changes nothing. Returns when the store has told what became of it, when the record
    /// is read, or when the caller is better served by asking again elsewhere.
    async fn append<F>(&self, record: &Record, deadline: Instant, known: F) -> Appended
    where
        F: Fn() -> bool,
    {
        let mut done = self.outbox.push(codec::entry(record));
        let end = deadline.min(self.clock.now() + APPEND_PATIENCE + ANSWER_RESERVE);
        loop {
            let left = end.saturating_duration_since(self.clock.now() + ANSWER_RESERVE);
            if left.is_zero() {
                return Appended::Unknown;
            }
            match tokio::time::timeout(left.min(KNOWN_CHECK), &mut done).await {
                Ok(outcome) => return outcome.unwrap_or(Appended::Unknown),
                Err(_) if known() => return Appended::Durable,
                Err(_) => {}
            }
        }
    }
}
