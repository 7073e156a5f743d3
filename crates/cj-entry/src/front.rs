//! What callers can ask: submit a job, read its state, cancel it, and count the waiting jobs of a queue.

use std::{
    fmt,
    time::{Duration, Instant},
};

use cj_sched::{
    JobKey, JobSpec, JobState, Queue, Record, Submission, codec, record::OwnerHeartbeat,
};
use cj_types::Clock;
use compact_str::{CompactString, ToCompactString};
use log::info;
use serde::{Deserialize, Serialize};

use crate::{
    admission::{Verdict, admit, backlog_time},
    follow::Link,
    member::CellMember,
    metrics::AnswerLabels,
    node::EntryNode,
    outbox::Appended,
    peer::{Answer, Question},
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

/// Longest wait for the records before a refusal; a busy log is read several times in it.
const READ_LIMIT: Duration = Duration::from_millis(450);

/// Time between two looks whether they were read.
const READ_CHECK: Duration = Duration::from_millis(10);

/// An owner whose last heartbeat was read longer ago than this may have other waiting jobs; what it said was up to 0.5 s old then.
const WAITING_AGE: Duration = Duration::from_millis(1_400);

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Looked {
    /// Its state.
    State(JobState),
    /// There is no such job.
    Gone,
    /// The node doesn't know; the caller may return after this time.
    Unavailable(Duration),
}

/// Answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

impl Looked {
    /// The answer of a node that can't reach what it needs.
    pub(crate) const UNAVAILABLE: Looked = Looked::Unavailable(STORE_RETRY);
}

impl Cancelled {
    /// The answer of a node that can't reach what it needs.
    pub(crate) const UNREACHABLE: Cancelled = Cancelled::Refused(STORE_RETRY);
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
        &self,
        queue: &Queue,
        job: JobKey,
        spec: JobSpec,
        deadline: Instant,
    ) -> Submitted {
        let member = self.member_for(job);
        let answer = match &member {
            Some(member) => member.decide_submission(queue, job, spec, deadline).await,
            None => Submitted::Refused("no_layout", STORE_RETRY),
        };
        let version =
            self.config.borrow().as_ref().map(|config| config.version).unwrap_or_default();
        let (choice, outcome, retry) = match &answer {
            Submitted::Accepted => ("accepted", "accepted", Duration::ZERO),
            Submitted::Invalid(_) => ("invalid", "invalid", Duration::ZERO),
            Submitted::Refused(reason, after) => ("refused", *reason, *after),
            Submitted::Unknown => ("unknown", "unknown", Duration::ZERO),
        };
        info!(
            target: "decision",
            "job={job} request=submit queue={} config={version} {} choice={choice} reason={outcome} retry_ms={}",
            queue.name, Position(member.as_deref()), retry.as_millis()
        );
        self.count("submit", outcome);
        answer
    }

    /// State of a job.
    pub async fn look(&self, job: JobKey) -> Looked {
        let member = self.member_for(job);
        let answer = match &member {
            Some(member) => member.look(job).await,
            None => Looked::UNAVAILABLE,
        };
        let outcome = match &answer {
            Looked::State(_) => "state",
            Looked::Gone => "gone",
            Looked::Unavailable(_) => "unavailable",
        };
        if !matches!(answer, Looked::State(_)) {
            info!(
                target: "decision",
                "job={job} request=status choice={outcome} {}", Position(member.as_deref())
            );
        }
        self.count("status", outcome);
        answer
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: JobKey, deadline: Instant) -> Cancelled {
        let member = self.member_for(job);
        let answer = match &member {
            Some(member) => member.cancel(job, deadline).await,
            None => Cancelled::UNREACHABLE,
        };
        let outcome = match &answer {
            Cancelled::Done => "done",
            Cancelled::Gone => "gone",
            Cancelled::Refused(_) => "refused",
            Cancelled::Unknown => "unknown",
        };
        info!(
            target: "decision",
            "job={job} request=cancel {} choice={outcome}", Position(member.as_deref())
        );
        self.count("cancel", outcome);
        answer
    }

    /// Number of jobs of a queue of which no task has begun; `None` while the node doesn't know.
    pub fn waiting(&self, queue: &Queue) -> Option<usize> {
        let known = if self.has_cells() {
            let layout = self.layout.borrow().clone()?;
            let now = self.clock.now();
            self.roster.borrow().waiting(&queue.name, layout.cells, now, WAITING_AGE)
        } else {
            let members = self.members();
            let member = members.first().filter(|member| member.knows_all_jobs());
            member.map(|member| member.book.borrow().queued_jobs(&queue.name))
        };
        self.count("waiting", if known.is_some() { "count" } else { "unavailable" });
        known
    }

    fn count(&self, request: &'static str, outcome: &'static str) {
        self.metrics.answers.get_or_create(&AnswerLabels { request, outcome }).inc();
    }
}

/// For log lines: the cell of a job, and up to where the node has read it.
struct Position<'a, P, C>(Option<&'a CellMember<P, C>>);

impl<P, C> fmt::Display for Position<'_, P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(member) = self.0 else { return f.write_str("cell=none") };
        if !member.is_followed() {
            let silence = member.node.roster.borrow().silence(member.id, member.node.clock.now());
            let age = silence.map_or(-1, |silence| silence.as_millis() as i64);
            return write!(f, "cell={} owner_age_ms={age}", member.id);
        }
        let (offset, answered) = (member.jobs.next(), member.jobs.is_answered());
        write!(f, "cell={} offset={offset} store_answers={answered}", member.id)
    }
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    async fn decide_submission(
        &self,
        queue: &Queue,
        job: JobKey,
        spec: JobSpec,
        deadline: Instant,
    ) -> Submitted {
        if self.is_known(job) {
            return Submitted::Accepted;
        }
        if let Err(error) = spec.validate() {
            return Submitted::Invalid(CompactString::from(error.to_string()));
        }
        if !self.reaches_store() {
            self.log_unreachable(job);
            return Submitted::Refused("store_unreachable", STORE_RETRY);
        }
        let objective = spec.critical_path().mul_f32(queue.stretch.max(1.0)) + queue.target;
        let verdict = admit(self.owner_beat().as_ref(), &queue.service, &spec, objective);
        if let Verdict::Refuse(after) = verdict {
            self.log_overload(job, queue, objective);
            return self.refuse_unless_known(job, after).await;
        }
        let submission = Submission {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            objective,
            received_at: self.node.clock.wall(),
            spec,
        };
        let record = Record::Submission(job, Box::new(submission));
        match self.append(&record, deadline, || self.is_known(job)).await {
            Appended::Durable => Submitted::Accepted,
            Appended::Refused => Submitted::Refused("store_refused", STORE_RETRY),
            Appended::Unknown => Submitted::Unknown,
        }
    }

    /// Refuses a job for overload. An earlier try of its caller may have been accepted by another node, and its answer lost: a
    /// node that follows the cell reads on first, another one asks the owner.
    async fn refuse_unless_known(&self, job: JobKey, after: Duration) -> Submitted {
        if self.is_followed() {
            return match self.read_on().await {
                _ if self.is_known(job) => Submitted::Accepted,
                true => Submitted::Refused("overload", after),
                false => Submitted::Unknown,
            };
        }
        match self.look(job).await {
            Looked::State(_) => Submitted::Accepted,
            Looked::Gone => Submitted::Refused("overload", after),
            Looked::Unavailable(_) => Submitted::Unknown,
        }
    }

    /// Waits until the log of jobs is read up to now. Returns false when that takes too long.
    async fn read_on(&self) -> bool {
        let asked = self.node.clock.now();
        let read = async {
            while !self.jobs.is_read_past(asked) {
                tokio::time::sleep(READ_CHECK).await;
            }
        };
        tokio::time::timeout(READ_LIMIT, read).await.is_ok()
    }

    fn is_known(&self, job: JobKey) -> bool {
        self.book.borrow().job(job).is_some()
    }

    /// The last heartbeat of the owner that the node knows.
    fn owner_beat(&self) -> Option<OwnerHeartbeat> {
        if self.is_followed() {
            return self.book.borrow().owner().map(|owner| owner.heartbeat.clone());
        }
        self.node.roster.borrow().beat(self.id).map(|beat| beat.owner.clone())
    }

    /// Tells what the node knows of the store.
    fn log_unreachable(&self, job: JobKey) {
        let now = self.node.clock.now();
        let link = self.link();
        let age = link.age(now).map(|age| age.as_millis().to_compact_string());
        info!(
            target: "decision",
            "job={job} reason=store_unreachable read_age_ms={} reads_answered={} append_stalled={}",
            age.as_deref().unwrap_or("never"), link.is_answered(), self.outbox.is_stalled(now)
        );
    }

    /// Tells which load decided a refusal, and how old it is.
    fn log_overload(&self, job: JobKey, queue: &Queue, objective: Duration) {
        let Some(beat) = self.owner_beat() else { return };
        let load = beat.load.iter().find(|(service, _)| *service == queue.service);
        let wait = load.map(|(_, load)| backlog_time(load)).unwrap_or_default();
        let now = self.node.clock.now();
        let age = if self.is_followed() {
            self.heard.get().map(|at| now.saturating_duration_since(at))
        } else {
            self.node.roster.borrow().silence(self.id, now)
        };
        info!(
            target: "decision",
            "job={job} reason=overload service={} wait_ms={} objective_ms={} epoch={} {} load_age_ms={}",
            queue.service, wait.as_millis(), objective.as_millis(), beat.epoch, Position(Some(self)),
            age.unwrap_or_default().as_millis()
        );
    }

    /// State of a job: from the book where the cell is followed, else from the owner.
    async fn look(&self, job: JobKey) -> Looked {
        if self.is_followed() {
            let known = self.look_here(job);
            if !matches!(known, Looked::Unavailable(_)) || self.is_home {
                return known;
            }
        }
        match self.ask(Question::Look(job)).await {
            Some(Answer::Looked(answer)) => answer,
            _ => Looked::UNAVAILABLE,
        }
    }

    /// State of a job as the book of this node has it.
    pub(crate) fn look_here(&self, job: JobKey) -> Looked {
        match self.book.borrow().job(job).map(|entry| entry.state()) {
            Some(state) => Looked::State(state),
            None if self.knows_all_jobs() => Looked::Gone,
            None => Looked::UNAVAILABLE,
        }
    }

    /// Cancels a job: here where the cell is followed, else through the owner.
    async fn cancel(&self, job: JobKey, deadline: Instant) -> Cancelled {
        if self.is_followed() {
            return self.cancel_here(job, deadline).await;
        }
        match self.ask(Question::Cancel(job)).await {
            Some(Answer::Cancelled(answer @ (Cancelled::Done | Cancelled::Gone))) => answer,
            // Without an owner the cancellation is stored all the same; it holds once the job is read.
            _ if self.reaches_store() => self.append_cancel(job, deadline, || false).await,
            _ => Cancelled::UNREACHABLE,
        }
    }

    /// Cancels a job of which the book of this node tells whether it exists.
    pub(crate) async fn cancel_here(&self, job: JobKey, deadline: Instant) -> Cancelled {
        let known = self.book.borrow().job(job).map(|entry| entry.state());
        match known {
            Some(state) if state.is_final() => return Cancelled::Done,
            Some(_) if !self.reaches_store() => return Cancelled::UNREACHABLE,
            Some(_) => {}
            None if self.knows_all_jobs() => return Cancelled::Gone,
            None => return Cancelled::UNREACHABLE,
        }
        let seen = || self.book.borrow().job(job).is_some_and(|entry| entry.cancelled.is_some());
        self.append_cancel(job, deadline, seen).await
    }

    async fn append_cancel<F>(&self, job: JobKey, deadline: Instant, seen: F) -> Cancelled
    where
        F: Fn() -> bool,
    {
        let record = Record::Cancel(job, self.node.clock.wall());
        match self.append(&record, deadline, seen).await {
            Appended::Durable => Cancelled::Done,
            Appended::Refused => Cancelled::UNREACHABLE,
            Appended::Unknown => Cancelled::Unknown,
        }
    }

    /// The topic whose reads tell whether the node reaches the store.
    fn link(&self) -> &Link {
        if self.is_followed() { &self.jobs } else { &self.node.cells }
    }

    /// True while appends have a chance to be answered.
    fn reaches_store(&self) -> bool {
        let (now, link) = (self.node.clock.now(), self.link());
        link.is_fresh(now) && link.is_answered() && !self.outbox.is_stalled(now)
    }

    /// Appends a record whose repetition changes nothing. Returns when the store has told what became of it, when the record
    /// is read, or when the caller is better served by asking again elsewhere.
    async fn append<F>(&self, record: &Record, deadline: Instant, known: F) -> Appended
    where
        F: Fn() -> bool,
    {
        let mut done = self.outbox.push(codec::entry(record));
        let end = deadline.min(self.node.clock.now() + APPEND_PATIENCE + ANSWER_RESERVE);
        loop {
            let left = end.saturating_duration_since(self.node.clock.now() + ANSWER_RESERVE);
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
