//! The requests of callers: submit a job, read its state, cancel it, and count the waiting jobs of a queue.

use std::time::{Duration, Instant};

use cj_sched::{
    Access, JobKey, JobSpec, JobState, Queue, Record, Submission, codec, record::OwnerHeartbeat,
};
use cj_types::Clock;
use compact_str::{CompactString, ToCompactString};
use log::info;
use serde::{Deserialize, Serialize};

use crate::{
    access::Caller,
    admission::AdmissionDecision,
    follow::FollowState,
    log_context::{AccountName, LogContext},
    member::CellMember,
    metrics::{AnswerLabels, RefusalLabels},
    node::EntryNode,
    outbox::AppendOutcome,
    peer::{PeerRequest, PeerResponse},
    platform::Platform,
};

/// Reason of a refusal because the pool can't run the job in time.
const OVERLOAD: &str = "overload";

/// When a caller may retry after the node couldn't reach the store.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a caller waits for an append before its result is reported as unknown; another node may reach the store.
const MAX_APPEND_WAIT: Duration = Duration::from_millis(1_800);

/// Time between two checks whether a record was read from the log although its append wasn't answered.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);

/// Time reserved for the response to reach the caller.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Time limit for reading the log up to date before a job is refused. It allows several reads of a busy log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(450);

/// Time between two checks whether the log is up to date.
pub(crate) const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum age of an owner's heartbeat for counting waiting jobs. The count was up to 0.5 s old when the heartbeat was
/// read.
const MAX_WAITING_COUNT_AGE: Duration = Duration::from_millis(1_400);

/// Deadline of a caller that sets none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// Result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The job is durable.
    Accepted,
    /// The job is malformed; nothing was stored.
    Invalid(CompactString),
    /// The job was not accepted and never runs. Holds the reason, and the time after which the caller may retry.
    Refused(&'static str, Duration),
    /// It is unknown whether the job is durable.
    Unknown,
}

/// Result of a lookup of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// The state of the job.
    State(JobState),
    /// There is no such job.
    Gone,
    /// The node can't tell; the caller may retry after this time.
    Unavailable(Duration),
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The cancellation is durable, or the job had already finished.
    Done,
    /// There is no such job.
    Gone,
    /// Not cancelled; the caller may retry after this time.
    Refused(Duration),
    /// It is unknown whether the cancellation is durable.
    Unknown,
}

impl SubmitOutcome {
    /// The answer when the id belongs to a job of another account. It doesn't differ from a passing refusal, so that a
    /// caller learns nothing about the jobs of others.
    const ID_UNAVAILABLE: SubmitOutcome =
        SubmitOutcome::Refused("store_refused", STORE_RETRY_AFTER);
}

/// A job in the job index, as far as a caller may know about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownJob {
    /// The caller may see the job.
    Visible,
    /// The job belongs to another account.
    OfOtherAccount,
}

impl JobStatus {
    /// The answer when the layout, the store or the owner isn't available.
    pub(crate) const UNAVAILABLE: JobStatus = JobStatus::Unavailable(STORE_RETRY_AFTER);
}

impl CancelOutcome {
    /// The answer when the layout, the store or the owner isn't available.
    pub(crate) const UNREACHABLE: CancelOutcome = CancelOutcome::Refused(STORE_RETRY_AFTER);
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// The queue for a host and path, with the rest of the path after the queue's prefix.
    pub fn queue<'a>(&self, host: &str, path: &'a str) -> Option<(Queue, &'a str)> {
        let config = self.config.borrow().clone()?;
        let queue = config.route(host, path)?.clone();
        let rest = &path[queue.prefix.len()..];
        Some((queue, rest))
    }

    /// Submits a job. It is accepted if the store takes it and its pool can run it in time.
    pub async fn submit(
        &self,
        queue: &Queue,
        caller: &Caller,
        job: JobKey,
        spec: JobSpec,
        deadline: Instant,
    ) -> SubmitOutcome {
        let member = self.member_for(job);
        let answer = match &member {
            Some(member) => member.decide_submission(queue, caller, job, spec, deadline).await,
            None => SubmitOutcome::Refused("no_layout", STORE_RETRY_AFTER),
        };
        let (choice, outcome, retry) = match &answer {
            SubmitOutcome::Accepted => ("accepted", "accepted", Duration::ZERO),
            SubmitOutcome::Invalid(_) => ("invalid", "invalid", Duration::ZERO),
            SubmitOutcome::Refused(reason, after) => ("refused", *reason, *after),
            SubmitOutcome::Unknown => ("unknown", "unknown", Duration::ZERO),
        };
        info!(
            target: "decision",
            "job={job} request=submit queue={} account={} {} {} choice={choice} reason={outcome} retry_ms={}",
            queue.name, AccountName(caller.account.as_ref()), self.config_context(),
            LogContext(member.as_deref()), retry.as_millis()
        );
        self.count_answer("submit", outcome);
        if let SubmitOutcome::Refused(reason, _) = answer
            && reason != OVERLOAD
        {
            self.count_refusal(reason);
        }
        answer
    }

    /// The state of a job, if it is visible with this access.
    pub async fn job_status(&self, job: JobKey, access: &Access) -> JobStatus {
        let member = self.member_for(job);
        let answer = match &member {
            Some(member) => member.job_status(job, access).await,
            None => JobStatus::UNAVAILABLE,
        };
        let outcome = match &answer {
            JobStatus::State(_) => "state",
            JobStatus::Gone => "gone",
            JobStatus::Unavailable(_) => "unavailable",
        };
        if !matches!(answer, JobStatus::State(_)) {
            info!(
                target: "decision",
                "job={job} request=status choice={outcome} {}", LogContext(member.as_deref())
            );
        }
        self.count_answer("status", outcome);
        answer
    }

    /// Cancels a job if it is visible with this access; `deadline` limits the wait for the store.
    pub async fn cancel(&self, job: JobKey, access: &Access, deadline: Instant) -> CancelOutcome {
        let member = self.member_for(job);
        let answer = match &member {
            Some(member) => member.cancel(job, access, deadline).await,
            None => CancelOutcome::UNREACHABLE,
        };
        let outcome = match &answer {
            CancelOutcome::Done => "done",
            CancelOutcome::Gone => "gone",
            CancelOutcome::Refused(_) => "refused",
            CancelOutcome::Unknown => "unknown",
        };
        info!(
            target: "decision",
            "job={job} request=cancel {} choice={outcome}", LogContext(member.as_deref())
        );
        self.count_answer("cancel", outcome);
        answer
    }

    /// Number of jobs of a queue without a started task; `None` if the node can't tell.
    pub fn waiting(&self, queue: &Queue) -> Option<usize> {
        let count = if self.has_multiple_cells() {
            let layout = self.layout.borrow().clone()?;
            let now = self.clock.now();
            self.owners.borrow().waiting(&queue.name, layout.cells, now, MAX_WAITING_COUNT_AGE)
        } else {
            let members = self.members();
            let member = members.first().filter(|member| member.is_caught_up());
            member.map(|member| member.job_index.borrow().queued_jobs(&queue.name))
        };
        let outcome = if count.is_some() { "count" } else { "unavailable" };
        info!(
            target: "decision",
            "request=waiting queue={} {} choice={outcome}", queue.name, self.config_context()
        );
        self.count_answer("waiting", outcome);
        count
    }

    /// Counts a refused submission. For an overload, `reason` is the name of the basis of the decision.
    fn count_refusal(&self, reason: &'static str) {
        self.metrics.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    pub(crate) fn count_answer(&self, request: &'static str, outcome: &'static str) {
        self.metrics.answers.get_or_create(&AnswerLabels { request, outcome }).inc();
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
        caller: &Caller,
        job: JobKey,
        spec: JobSpec,
        deadline: Instant,
    ) -> SubmitOutcome {
        match self.known_job(job, &caller.access) {
            Some(KnownJob::Visible) => return SubmitOutcome::Accepted,
            Some(KnownJob::OfOtherAccount) => return SubmitOutcome::ID_UNAVAILABLE,
            None => {}
        }
        if let Err(error) = spec.validate() {
            return SubmitOutcome::Invalid(CompactString::from(error.to_string()));
        }
        if !self.is_store_reachable() {
            self.log_unreachable(job);
            return SubmitOutcome::Refused("store_unreachable", STORE_RETRY_AFTER);
        }
        let objective = queue.objective(&spec);
        let account = caller.account.as_ref();
        let (decision, basis) = self.check_submission(queue, account, job, &spec, objective);
        if let AdmissionDecision::Refuse(after) = decision {
            self.log_overload(job, queue, objective, &basis);
            let outcome = self.refuse_unless_known(job, &caller.access, after).await;
            if matches!(outcome, SubmitOutcome::Refused(OVERLOAD, _)) {
                self.node.count_refusal(basis.name());
            }
            return outcome;
        }
        let submission = Submission {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            priority: queue.priority,
            max_attempts: queue.max_attempts,
            objective,
            received_at: self.node.clock.wall(),
            spec,
            account: caller.account.clone(),
        };
        let record = Record::Submission(job, Box::new(submission));
        let is_read = || self.known_job(job, &caller.access) == Some(KnownJob::Visible);
        match self.append(&record, deadline, is_read).await {
            AppendOutcome::Durable => SubmitOutcome::Accepted,
            AppendOutcome::Refused => SubmitOutcome::Refused("store_refused", STORE_RETRY_AFTER),
            AppendOutcome::Unknown => SubmitOutcome::Unknown,
        }
    }

    /// Refuses a job because of overload, unless it is known. An earlier attempt of the caller may have been accepted
    /// by another node and the answer lost. So a node that follows the cell first reads the log up to date, and any
    /// other node asks the owner.
    async fn refuse_unless_known(
        &self,
        job: JobKey,
        access: &Access,
        after: Duration,
    ) -> SubmitOutcome {
        if self.is_followed() {
            let caught_up = self.catch_up().await;
            return match self.known_job(job, access) {
                Some(KnownJob::Visible) => SubmitOutcome::Accepted,
                Some(KnownJob::OfOtherAccount) => SubmitOutcome::ID_UNAVAILABLE,
                None if caught_up => SubmitOutcome::Refused(OVERLOAD, after),
                None => SubmitOutcome::Unknown,
            };
        }
        match self.job_status(job, access).await {
            JobStatus::State(_) => SubmitOutcome::Accepted,
            JobStatus::Gone => SubmitOutcome::Refused(OVERLOAD, after),
            JobStatus::Unavailable(_) => SubmitOutcome::Unknown,
        }
    }

    /// Waits until the job log is read up to the present. Returns false after [`CATCH_UP_TIMEOUT`].
    async fn catch_up(&self) -> bool {
        let requested_at = self.node.clock.now();
        let read = async {
            while !self.job_log.is_read_until(requested_at) {
                tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(CATCH_UP_TIMEOUT, read).await.is_ok()
    }

    /// What a caller has to know about a job in the job index of this node; `None` if it isn't there.
    pub(crate) fn known_job(&self, job: JobKey, access: &Access) -> Option<KnownJob> {
        let job_index = self.job_index.borrow();
        let visible = job_index.job(job)?.is_visible_to(access);
        Some(if visible { KnownJob::Visible } else { KnownJob::OfOtherAccount })
    }

    /// The last known heartbeat of the owner.
    pub(crate) fn owner_heartbeat(&self) -> Option<OwnerHeartbeat> {
        if self.is_followed() {
            return self.job_index.borrow().owner().map(|owner| owner.heartbeat.clone());
        }
        self.node.owners.borrow().heartbeat(self.id).map(|heartbeat| heartbeat.owner.clone())
    }

    /// Logs why the store counts as unreachable.
    fn log_unreachable(&self, job: JobKey) {
        let now = self.node.clock.now();
        let state = self.follow_state();
        let age = state.age(now).map(|age| age.as_millis().to_compact_string());
        info!(
            target: "decision",
            "job={job} reason=store_unreachable read_age_ms={} reads_answered={} append_stalled={}",
            age.as_deref().unwrap_or("never"), state.is_reachable(), self.outbox.is_stalled(now)
        );
    }

    /// The state of a job: from the job index if the cell is followed, else from the owner.
    async fn job_status(&self, job: JobKey, access: &Access) -> JobStatus {
        if self.is_followed() {
            let status = self.local_job_status(job, access);
            if !matches!(status, JobStatus::Unavailable(_)) || self.is_home {
                return status;
            }
        }
        match self.ask_owner(PeerRequest::JobStatus(job, access.clone())).await {
            Some(PeerResponse::JobStatus(answer)) => answer,
            _ => JobStatus::UNAVAILABLE,
        }
    }

    /// The state of a job in the job index of this node.
    pub(crate) fn local_job_status(&self, job: JobKey, access: &Access) -> JobStatus {
        match self.job_index.borrow().job(job) {
            Some(entry) if entry.is_visible_to(access) => JobStatus::State(entry.state()),
            Some(_) => JobStatus::Gone,
            None if self.is_caught_up() => JobStatus::Gone,
            None => JobStatus::UNAVAILABLE,
        }
    }

    /// The topic whose reads show whether the store is reachable.
    fn follow_state(&self) -> &FollowState {
        if self.is_followed() { &self.job_log } else { &self.node.cells_topic }
    }

    /// True while appends are likely to be answered.
    pub(crate) fn is_store_reachable(&self) -> bool {
        let (now, state) = (self.node.clock.now(), self.follow_state());
        state.is_fresh(now) && state.is_reachable() && !self.outbox.is_stalled(now)
    }

    /// Appends an idempotent record. Returns when the result is known, when the record is read from the log, or when it
    /// is better for the caller to retry elsewhere.
    pub(crate) async fn append<F>(
        &self,
        record: &Record,
        deadline: Instant,
        is_read: F,
    ) -> AppendOutcome
    where
        F: Fn() -> bool,
    {
        let mut done = self.outbox.push(codec::entry(record));
        let end = deadline.min(self.node.clock.now() + MAX_APPEND_WAIT + RESPONSE_MARGIN);
        loop {
            let left = end.saturating_duration_since(self.node.clock.now() + RESPONSE_MARGIN);
            if left.is_zero() {
                return AppendOutcome::Unknown;
            }
            match tokio::time::timeout(left.min(READ_BACK_INTERVAL), &mut done).await {
                Ok(outcome) => return outcome.unwrap_or(AppendOutcome::Unknown),
                Err(_) if is_read() => return AppendOutcome::Durable,
                Err(_) => {}
            }
        }
    }
}
