//! Recorded work, which is non-idempotent or must not be dropped: it is submitted and claimed through the log before it
//! runs.

use std::{convert::Infallible, rc::Rc, time::Duration};

use actix_http::StatusCode;
use compact_str::CompactString;

use cj_fold::{Job, JobPhase, Verdict};
use cj_log::{LogService, ProposalOutcome};
use cj_place::Choice;
use cj_record::{Entry, Outcome, Submit};
use cj_route::Completion;
use cj_types::{Accelerators, Clock, JobId, Mebibytes, Millicores, Resources, Token, VmId};

use crate::{
    context::{NodeContext, sleep},
    http::Answer,
    upstream::{Call, Reply},
};

use super::{
    dispatcher::{Admitted, RouterDecision},
    handlers::{LOG_RETRY, POLL_AFTER, ValidatedRequest},
    job_guard::JobGuard,
    lease::Lease,
    outcome::record_outcome,
    routed::refusal,
};

/// Duration of a request's lease, which its holder renews. It is short so that another node can resolve the job soon
/// after the holder failed.
const REQUEST_LEASE: Duration = Duration::from_secs(10);
/// Most queued jobs of one class; further tasks are refused, so that a flood of submissions can't fill the replicated
/// state.
const MAX_QUEUED_PER_CLASS: usize = 20_000;
/// Resource demand of a task that declares none.
const DEFAULT_DEMAND: Resources =
    Resources { cores: Millicores(1000), memory: Mebibytes(1024), accelerators: Accelerators(0) };
/// Run time assumed for a task that declares none, in milliseconds.
const DEFAULT_RUN_MS: u32 = 60_000;

/// Result of submitting or claiming a job for a caller connection.
enum ClaimResult {
    /// The claim is recorded and belongs to this connection.
    Claimed(Token),
    /// The job is recorded already, and its recorded state is the answer.
    AlreadyRecorded,
    /// The chosen upstream left the pool or service meanwhile; nothing is recorded.
    UpstreamUnavailable,
    /// Final answer for the caller.
    Answer(Answer),
}

/// Records a request, runs it and returns its answer.
pub(super) async fn answer_request<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: JobId,
) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    if let Some(answer) = existing_answer(node, request, &job).await {
        return answer;
    }
    if let Some(refusal) = refuse_without_log(node) {
        return refusal;
    }
    run(node, request, job, false).await
}

/// Runs a job that is recorded as queued but no longer has a caller connection.
pub(super) async fn rerun<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: JobId,
) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    run(node, request, job, true).await
}

async fn run<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: JobId,
    mut submitted: bool,
) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut admitted = match node.dispatcher.offer(request.to_router_request(node)) {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => return refusal(reason, retry_after),
    };
    let _guard = JobGuard::new(node.clone(), job.clone());
    while let Some(decision) = admitted.next_decision().await {
        let upstream = match decision {
            RouterDecision::Send(upstream) => upstream,
            RouterDecision::GiveUp { reason, retry_after, .. } if !submitted => {
                return refusal(reason, retry_after);
            }
            RouterDecision::GiveUp { reason, retry_after, .. } => {
                return answer_after_give_up(node, request, &job, &reason.to_string(), retry_after)
                    .await;
            }
        };
        let lease = Lease::new(node.now(), REQUEST_LEASE);
        let claim_result = if submitted {
            claim_queued(node, request, &job, &upstream, lease).await
        } else {
            submit_with_claim(node, request, &job, &upstream, lease).await
        };
        let token = match claim_result {
            ClaimResult::Claimed(token) => token,
            ClaimResult::AlreadyRecorded => {
                drop(admitted);
                return wait_for_end(node, request, &job).await;
            }
            ClaimResult::UpstreamUnavailable => {
                admitted.complete(Completion::NotRun { load: None });
                continue;
            }
            ClaimResult::Answer(answer) => return answer,
        };
        submitted = true;
        if let Some(answer) =
            run_attempt(node, request, &job, &upstream, token, lease, &admitted).await
        {
            return answer;
        }
    }
    Answer::unknown("the node stopped before the request ended")
}

/// Answers from the recorded state if a job with this key exists.
async fn existing_answer<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
) -> Option<Answer>
where
    L: LogService,
    C: Clock + 'static,
{
    let hash = body_hash(request);
    let same_body = node.replica.state().jobs.get(job).map(|j| j.body_hash == hash)?;
    if same_body { Some(wait_for_end(node, request, job).await) } else { Some(key_conflict()) }
}

/// Refuses new recorded work while the log is unreachable. The outcome of a proposal would be unknown until the log
/// answers again, whereas work that was never proposed certainly does not run.
fn refuse_without_log<L, C>(node: &NodeContext<L, C>) -> Option<Answer>
where
    L: LogService,
    C: Clock + 'static,
{
    let refused = || Answer::refused("the log is not reachable", LOG_RETRY);
    (!node.replica.lag().reachable).then(refused)
}

fn key_conflict() -> Answer {
    let reason = "this idempotency key was used with another body; use a new key";
    Answer::bad_input(StatusCode::CONFLICT, reason)
}

fn body_hash(request: &ValidatedRequest) -> [u8; 32] {
    *blake3::hash(&request.body).as_bytes()
}

fn submission<L, C>(node: &NodeContext<L, C>, request: &ValidatedRequest, job: &JobId) -> Submit
where
    L: LogService,
    C: Clock + 'static,
{
    let head = &request.head;
    let declared_or = |value: Option<u32>, default: u32| value.unwrap_or(default);
    Submit {
        job: job.clone(),
        service: head.service.clone(),
        class: head.class.clone(),
        team: head.team.clone(),
        pool: request.pool.clone(),
        body_hash: body_hash(request),
        payload: request.body.to_vec(),
        idempotent: request.class.idempotent,
        task: request.class.task,
        deadline: node.clock.wall() + request.remaining(node.now()),
        demand: Resources {
            cores: Millicores(declared_or(head.millicores, DEFAULT_DEMAND.cores.0)),
            memory: Mebibytes(declared_or(head.memory_mib, DEFAULT_DEMAND.memory.0)),
            accelerators: Accelerators(declared_or(
                head.accelerators,
                DEFAULT_DEMAND.accelerators.0,
            )),
        },
        run_ms: declared_or(head.run_ms, DEFAULT_RUN_MS),
        claim: None,
    }
}

async fn submit_with_claim<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
    upstream: &VmId,
    lease: Lease,
) -> ClaimResult
where
    L: LogService,
    C: Clock + 'static,
{
    let mut submit = submission(node, request, job);
    submit.claim = Some((upstream.clone(), lease.duration_ms()));
    let proposed = node.propose(Entry::Submit(submit), proposal_timeout(node, request)).await;
    match proposed {
        ProposalOutcome::Decided { offset, verdict: Verdict::Accepted { .. } } => {
            log::info!(target: "decision", "job={job} request={} claim={offset} upstream={upstream}", request.id);
            ClaimResult::Claimed(Token(offset.0))
        }
        ProposalOutcome::Decided { verdict: Verdict::Existing { .. }, .. } => {
            ClaimResult::AlreadyRecorded
        }
        ProposalOutcome::Decided { verdict: Verdict::Rejected { .. }, .. }
            if is_upstream_unavailable(node, request, upstream) =>
        {
            ClaimResult::UpstreamUnavailable
        }
        ProposalOutcome::Decided { verdict: Verdict::Rejected { reason }, .. } => {
            ClaimResult::Answer(rejected(node, request, job, &reason))
        }
        ProposalOutcome::Withdrawn => {
            ClaimResult::Answer(Answer::refused("the log does not accept records now", LOG_RETRY))
        }
        ProposalOutcome::Pending => {
            ClaimResult::Answer(Answer::pending("the acceptance is not decided yet", LOG_RETRY))
        }
    }
}

/// True when the upstream no longer accepts work of the pool, because it began to drain after the router chose it.
fn is_upstream_unavailable<L, C>(
    node: &NodeContext<L, C>,
    request: &ValidatedRequest,
    upstream: &VmId,
) -> bool
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    state.vms.get(upstream).is_none_or(|vm| vm.pool != request.pool || !vm.phase.is_active())
}

fn rejected<L, C>(
    node: &NodeContext<L, C>,
    request: &ValidatedRequest,
    job: &JobId,
    reason: &str,
) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    let is_other_body =
        node.replica.state().jobs.get(job).is_some_and(|j| j.body_hash != body_hash(request));
    if is_other_body { key_conflict() } else { Answer::refused(reason, POLL_AFTER) }
}

async fn claim_queued<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
    upstream: &VmId,
    lease: Lease,
) -> ClaimResult
where
    L: LogService,
    C: Clock + 'static,
{
    let attempts = node.replica.state().jobs.get(job).map(|j| j.attempts);
    let Some(attempts) = attempts else { return ClaimResult::AlreadyRecorded };
    let entry = Entry::Claim {
        job: job.clone(),
        attempt: attempts + 1,
        target: upstream.clone(),
        lease_ms: lease.duration_ms(),
    };
    match node.propose(entry, proposal_timeout(node, request)).await {
        ProposalOutcome::Decided { offset, verdict: Verdict::Accepted { .. } } => {
            log::info!(target: "decision", "job={job} request={} claim={offset} upstream={upstream} attempt={}", request.id, attempts + 1);
            ClaimResult::Claimed(Token(offset.0))
        }
        // The job is recorded, whatever the result of this claim, so its recorded state is the answer.
        _ => ClaimResult::AlreadyRecorded,
    }
}

/// Runs one attempt under a claim. Returns the final answer, or `None` when the router decides how to continue.
async fn run_attempt<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
    upstream: &VmId,
    token: Token,
    lease: Lease,
    admitted: &Admitted,
) -> Option<Answer>
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let reply = send_with_renewal(node, request, job, upstream, token, lease).await;
    log::info!(target: "decision", "job={job} claim={token} upstream={upstream} reply={}", reply_summary(&reply));
    match reply {
        Reply::Answered { status, body, load } => {
            admitted.complete(Completion::Done { load });
            let outcome = Outcome::Done { status, answer: body.to_vec() };
            // The caller need not wait for the outcome to be recorded: the work has run, and only the holder of the
            // claim may report it.
            actix_rt::spawn(record_outcome(node.clone(), job.clone(), token, outcome));
            Some(Answer::done(StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body))
        }
        Reply::NotRun { reason, load } => {
            let recorded =
                record_attempt_end(node, request, job, token, Outcome::NotRun { reason }).await;
            admitted.complete(Completion::NotRun { load });
            recorded
        }
        Reply::Unknown { reason } if request.class.idempotent => {
            let recorded =
                record_attempt_end(node, request, job, token, Outcome::Failed { reason }).await;
            admitted.complete(Completion::Failed);
            recorded
        }
        Reply::Unknown { reason } => {
            admitted.complete(Completion::Failed);
            let answer = Answer::unknown(&reason);
            actix_rt::spawn(record_outcome(
                node.clone(),
                job.clone(),
                token,
                Outcome::Unknown { reason },
            ));
            Some(answer)
        }
    }
}

/// Records how an attempt ended, which has to happen before the job can be claimed again. If the log takes too long,
/// the caller gets a pending answer and recording continues in the background.
async fn record_attempt_end<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
    token: Token,
    outcome: Outcome,
) -> Option<Answer>
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let recording = actix_rt::spawn(record_outcome(node.clone(), job.clone(), token, outcome));
    let late = tokio::time::timeout(proposal_timeout(node, request), recording).await.is_err();
    late.then(|| Answer::pending("the end of the attempt is not recorded yet", LOG_RETRY))
}

fn reply_summary(reply: &Reply) -> CompactString {
    match reply {
        Reply::Answered { status, .. } => compact_str::format_compact!("answered status={status}"),
        Reply::NotRun { reason, .. } => compact_str::format_compact!("not-run reason={reason:?}"),
        Reply::Unknown { reason } => compact_str::format_compact!("unknown reason={reason:?}"),
    }
}

async fn send_with_renewal<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
    upstream: &VmId,
    token: Token,
    lease: Lease,
) -> Reply
where
    L: LogService,
    C: Clock + 'static,
{
    let Some(address) = node.address_of(upstream) else {
        return Reply::NotRun { reason: "the upstream has no address".into(), load: None };
    };
    let now = node.now();
    let remaining = request.remaining(now);
    // The process may have been paused since the claim was read back from the log, so the lease is checked again right
    // before the request is sent.
    if !lease.is_valid(now) || remaining.is_zero() {
        return Reply::NotRun {
            reason: "the lease or the deadline passed before the send".into(),
            load: None,
        };
    }
    let call = Call {
        request_id: request.id.clone(),
        service: request.head.service.clone(),
        body: request.body.clone(),
        remaining,
        fence: Some((job.clone(), token)),
    };
    node.sent_claims.borrow_mut().insert((job.clone(), token));
    tokio::select! {
        reply = node.upstreams.send(&address, &call) => reply,
        never = renew_periodically(node, job, token) => match never {},
    }
}

/// Renews the lease of a request while its answer is awaited. Never returns: a request that was sent can't be taken
/// back when its lease can't be renewed, so the node waits for the answer all the same.
async fn renew_periodically<L, C>(node: &NodeContext<L, C>, job: &JobId, token: Token) -> Infallible
where
    L: LogService,
    C: Clock + 'static,
{
    loop {
        sleep(REQUEST_LEASE / 3).await;
        let lease_ms = REQUEST_LEASE.as_millis() as u32;
        let entry = Entry::Renew { job: job.clone(), token, lease_ms };
        node.propose(entry, REQUEST_LEASE / 3).await;
    }
}

/// Time limit of one proposal. Callers are refused soon after the log became unreachable instead of near their
/// deadline, and there is time left to find out the result of a proposal whose answer was lost.
fn proposal_timeout<L, C>(node: &NodeContext<L, C>, request: &ValidatedRequest) -> Duration
where
    L: LogService,
    C: Clock + 'static,
{
    const MAX_PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);
    request.remaining(node.now()).min(MAX_PROPOSAL_TIMEOUT)
}

/// Answers the caller of a job that is queued again after the router gave up on it: the job stays queued if its class
/// must not be dropped, and is cancelled otherwise.
async fn answer_after_give_up<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
    reason: &str,
    retry_after: Duration,
) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    if request.class.must_not_drop {
        return Answer::pending("accepted; it will be tried again", POLL_AFTER);
    }
    let cancel = Entry::Cancel { job: job.clone() };
    match node.propose(cancel, LOG_RETRY).await {
        ProposalOutcome::Decided { verdict: Verdict::Accepted { .. }, .. }
            if !has_failed_attempt(node, job) =>
        {
            Answer::refused(reason, retry_after)
        }
        _ => super::answer_job(node, job),
    }
}

/// True when an attempt failed, in which case it may have had an effect.
fn has_failed_attempt<L, C>(node: &NodeContext<L, C>, job: &JobId) -> bool
where
    L: LogService,
    C: Clock + 'static,
{
    node.replica.state().jobs.get(job).is_none_or(|j| !j.failures.is_empty())
}

/// Waits until the recorded job ends or its outcome is unknown, at most until the deadline of the request, and answers
/// from its state. Tasks are answered at once.
async fn wait_for_end<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: &JobId,
) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    let settled =
        |job: &Job| job.is_ended() || matches!(job.phase, JobPhase::OutcomeUnknown { .. });
    loop {
        let changed = node.replica.changed();
        let done = node.replica.state().jobs.get(job).is_none_or(|job| settled(job));
        let remaining = request.remaining(node.now());
        if done || remaining.is_zero() || request.class.task {
            return super::answer_job(node, job);
        }
        let _ = tokio::time::timeout(remaining, changed).await;
    }
}

/// Records a task, which a worker runs later.
pub(super) async fn submit_task<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
    job: JobId,
) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    if let Some(answer) = existing_answer(node, request, &job).await {
        return answer;
    }
    if let Some(refusal) = refuse_without_log(node) {
        return refusal;
    }
    let submit = submission(node, request, &job);
    if let Some(answer) = task_refusal(node, request, &job, &submit) {
        return answer;
    }
    match node.propose(Entry::Submit(submit), proposal_timeout(node, request)).await {
        ProposalOutcome::Decided { verdict: Verdict::Rejected { reason }, .. } => {
            rejected(node, request, &job, &reason)
        }
        ProposalOutcome::Decided { offset, .. } => {
            log::info!(target: "decision", "job={job} request={} accepted={offset}", request.id);
            super::answer_job(node, &job)
        }
        ProposalOutcome::Withdrawn => {
            Answer::refused("the log does not accept records now", LOG_RETRY)
        }
        ProposalOutcome::Pending => Answer::pending("the acceptance is not decided yet", LOG_RETRY),
    }
}

/// Refuses a task that fits on no worker, or whose class has too many queued jobs.
fn task_refusal<L, C>(
    node: &NodeContext<L, C>,
    request: &ValidatedRequest,
    job: &JobId,
    submit: &Submit,
) -> Option<Answer>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let candidate = Job {
        service: submit.service.clone(),
        class: submit.class.clone(),
        team: submit.team.clone(),
        pool: submit.pool.clone(),
        body_hash: submit.body_hash,
        payload: Vec::new(),
        idempotent: submit.idempotent,
        task: true,
        deadline: submit.deadline,
        demand: submit.demand,
        run_ms: submit.run_ms,
        submitted: state.now,
        attempts: 0,
        failures: Vec::new(),
        phase: JobPhase::Queued,
    };
    if let Choice::Unplaceable { reason } =
        node.placer.borrow().choose(&state, &candidate, state.now)
    {
        log::info!(target: "decision", "job={job} request={} refused reason={reason:?}", request.id);
        return Some(Answer::bad_input(StatusCode::UNPROCESSABLE_ENTITY, &reason));
    }
    let queued =
        |(_, j): &(_, &Job)| j.class == submit.class && matches!(j.phase, JobPhase::Queued);
    if state.open_jobs().filter(queued).count() >= MAX_QUEUED_PER_CLASS {
        return Some(Answer::refused(
            "too many jobs of this class are waiting",
            Duration::from_secs(30),
        ));
    }
    None
}
