//! Recorded work: non-idempotent or must-not-drop. It's submitted and claimed through the log before it runs.

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
    http::Answer,
    shared::{Shared, sleep},
    upstream::{Call, Reply},
};

use super::{
    attended::Attended,
    dispatcher::{Admitted, Event},
    finish::finish,
    intake::{LOG_RETRY, POLL_AFTER, Work},
    lease::Lease,
    routed::refusal,
};

/// Length of a request's lease; its holder renews it. Short, so that another node can settle the job
/// soon after its holder died.
const REQUEST_LEASE: Duration = Duration::from_secs(10);
/// Jobs of one class that may wait in the log; more are refused, so that a flood can't fill the shared state.
const MAX_QUEUED_PER_CLASS: usize = 20_000;
/// Demand of a task that declares none.
const DEFAULT_DEMAND: Resources =
    Resources { cores: Millicores(1000), memory: Mebibytes(1024), accelerators: Accelerators(0) };
/// Run time of a task that declares none, in milliseconds.
const DEFAULT_RUN_MS: u32 = 60_000;

/// Whether the job can be claimed by this connection.
enum Step {
    /// This connection holds the claim.
    Holds(Token),
    /// The job exists; its recorded state is the answer.
    Recorded,
    /// The upstream left the pool or its service in the meantime; nothing is recorded.
    Elsewhere,
    /// Final answer for the caller.
    Answer(Answer),
}

/// Runs a request that is recorded, and returns its answer.
pub(super) async fn answer<L, C>(node: &Rc<Shared<L, C>>, work: &Work, job: JobId) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    if let Some(answer) = known(node, work, &job).await {
        return answer;
    }
    if let Some(refusal) = without_log(node) {
        return refusal;
    }
    run(node, work, job, false).await
}

/// Runs a job that is recorded as queued and has no connection any more.
pub(super) async fn rerun<L, C>(node: &Rc<Shared<L, C>>, work: &Work, job: JobId) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    run(node, work, job, true).await
}

async fn run<L, C>(node: &Rc<Shared<L, C>>, work: &Work, job: JobId, mut submitted: bool) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut admitted = match node.dispatcher.offer(work.route(node)) {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => return refusal(reason, retry_after),
    };
    let _attended = Attended::new(node.clone(), job.clone());
    while let Some(event) = admitted.next().await {
        let upstream = match event {
            Event::Send(upstream) => upstream,
            Event::GiveUp { reason, retry_after, .. } if !submitted => {
                return refusal(reason, retry_after);
            }
            Event::GiveUp { reason, retry_after, .. } => {
                return give_up(node, work, &job, &reason.to_string(), retry_after).await;
            }
        };
        let lease = Lease::new(node.now(), REQUEST_LEASE);
        let step = if submitted {
            claim_again(node, work, &job, &upstream, lease).await
        } else {
            submit(node, work, &job, &upstream, lease).await
        };
        let token = match step {
            Step::Holds(token) => token,
            Step::Recorded => {
                drop(admitted);
                return wait_for_end(node, work, &job).await;
            }
            Step::Elsewhere => {
                admitted.complete(Completion::NotRun { load: None });
                continue;
            }
            Step::Answer(answer) => return answer,
        };
        submitted = true;
        if let Some(answer) = attempt(node, work, &job, &upstream, token, lease, &admitted).await {
            return answer;
        }
    }
    Answer::unknown("the node stopped before the request ended")
}

/// Answers from the recorded state when the key is already known.
async fn known<L, C>(node: &Rc<Shared<L, C>>, work: &Work, job: &JobId) -> Option<Answer>
where
    L: LogService,
    C: Clock + 'static,
{
    let hash = body_hash(work);
    let same = node.replica.state().jobs.get(job).map(|j| j.body_hash == hash)?;
    if same { Some(wait_for_end(node, work, job).await) } else { Some(conflict()) }
}

/// Refuses new recorded work while the log is not reachable. A proposal would leave its order unknown until the log
/// answers again; one that is never made certainly doesn't run.
fn without_log<L, C>(node: &Shared<L, C>) -> Option<Answer>
where
    L: LogService,
    C: Clock + 'static,
{
    let refused = || Answer::refused("the log is not reachable", LOG_RETRY);
    (!node.replica.lag().reachable).then(refused)
}

fn conflict() -> Answer {
    let reason = "this idempotency key was used with another body; use a new key";
    Answer::bad_input(StatusCode::CONFLICT, reason)
}

fn body_hash(work: &Work) -> [u8; 32] {
    *blake3::hash(&work.body).as_bytes()
}

fn submission<L, C>(node: &Shared<L, C>, work: &Work, job: &JobId) -> Submit
where
    L: LogService,
    C: Clock + 'static,
{
    let head = &work.head;
    let or = |declared: Option<u32>, default: u32| declared.unwrap_or(default);
    Submit {
        job: job.clone(),
        service: head.service.clone(),
        class: head.class.clone(),
        team: head.team.clone(),
        pool: work.pool.clone(),
        body_hash: body_hash(work),
        payload: work.body.to_vec(),
        idempotent: work.class.idempotent,
        task: work.class.task,
        deadline: node.clock.wall() + work.remaining(node.now()),
        demand: Resources {
            cores: Millicores(or(head.millicores, DEFAULT_DEMAND.cores.0)),
            memory: Mebibytes(or(head.memory_mib, DEFAULT_DEMAND.memory.0)),
            accelerators: Accelerators(or(head.accelerators, DEFAULT_DEMAND.accelerators.0)),
        },
        run_ms: or(head.run_ms, DEFAULT_RUN_MS),
        claim: None,
    }
}

async fn submit<L, C>(
    node: &Rc<Shared<L, C>>,
    work: &Work,
    job: &JobId,
    upstream: &VmId,
    lease: Lease,
) -> Step
where
    L: LogService,
    C: Clock + 'static,
{
    let mut submit = submission(node, work, job);
    submit.claim = Some((upstream.clone(), lease.millis()));
    let proposed = node.propose(Entry::Submit(submit), decide_within(node, work)).await;
    match proposed {
        ProposalOutcome::Decided { offset, verdict: Verdict::Accepted { .. } } => {
            log::info!(target: "decision", "job={job} request={} claim={offset} upstream={upstream}", work.id);
            Step::Holds(Token(offset.0))
        }
        ProposalOutcome::Decided { verdict: Verdict::Existing { .. }, .. } => Step::Recorded,
        ProposalOutcome::Decided { verdict: Verdict::Rejected { .. }, .. }
            if is_gone(node, work, upstream) =>
        {
            Step::Elsewhere
        }
        ProposalOutcome::Decided { verdict: Verdict::Rejected { reason }, .. } => {
            Step::Answer(rejected(node, work, job, &reason))
        }
        ProposalOutcome::Withdrawn => {
            Step::Answer(Answer::refused("the log does not accept records now", LOG_RETRY))
        }
        ProposalOutcome::Pending => {
            Step::Answer(Answer::pending("the acceptance is not decided yet", LOG_RETRY))
        }
    }
}

/// True when the upstream takes no work of the pool any more: it began to drain after the router chose it.
fn is_gone<L, C>(node: &Shared<L, C>, work: &Work, upstream: &VmId) -> bool
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    state.vms.get(upstream).is_none_or(|vm| vm.pool != work.pool || !vm.phase.is_active())
}

fn rejected<L, C>(node: &Shared<L, C>, work: &Work, job: &JobId, reason: &str) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    let other_body =
        node.replica.state().jobs.get(job).is_some_and(|j| j.body_hash != body_hash(work));
    if other_body { conflict() } else { Answer::refused(reason, POLL_AFTER) }
}

async fn claim_again<L, C>(
    node: &Rc<Shared<L, C>>,
    work: &Work,
    job: &JobId,
    upstream: &VmId,
    lease: Lease,
) -> Step
where
    L: LogService,
    C: Clock + 'static,
{
    let attempts = node.replica.state().jobs.get(job).map(|j| j.attempts);
    let Some(attempts) = attempts else { return Step::Recorded };
    let entry = Entry::Claim {
        job: job.clone(),
        attempt: attempts + 1,
        target: upstream.clone(),
        lease_ms: lease.millis(),
    };
    match node.propose(entry, decide_within(node, work)).await {
        ProposalOutcome::Decided { offset, verdict: Verdict::Accepted { .. } } => {
            log::info!(target: "decision", "job={job} request={} claim={offset} upstream={upstream} attempt={}", work.id, attempts + 1);
            Step::Holds(Token(offset.0))
        }
        // The job exists, whatever became of this claim: its record is the answer.
        _ => Step::Recorded,
    }
}

/// Runs one attempt under a claim. Returns the final answer, or `None` when the router decides what comes next.
async fn attempt<L, C>(
    node: &Rc<Shared<L, C>>,
    work: &Work,
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
    let reply = send(node, work, job, upstream, token, lease).await;
    log::info!(target: "decision", "job={job} claim={token} upstream={upstream} reply={}", summary(&reply));
    match reply {
        Reply::Answered { status, body, load } => {
            admitted.complete(Completion::Done { load });
            let outcome = Outcome::Done { status, answer: body.to_vec() };
            // The caller needn't wait for the record: the work has run, and only the holder may report it.
            actix_rt::spawn(finish(node.clone(), job.clone(), token, outcome));
            Some(Answer::done(StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body))
        }
        Reply::NotRun { reason, load } => {
            let recorded = settle(node, work, job, token, Outcome::NotRun { reason }).await;
            admitted.complete(Completion::NotRun { load });
            recorded
        }
        Reply::Unknown { reason } if work.class.idempotent => {
            let recorded = settle(node, work, job, token, Outcome::Failed { reason }).await;
            admitted.complete(Completion::Failed);
            recorded
        }
        Reply::Unknown { reason } => {
            admitted.complete(Completion::Failed);
            let answer = Answer::unknown(&reason);
            actix_rt::spawn(finish(node.clone(), job.clone(), token, Outcome::Unknown { reason }));
            Some(answer)
        }
    }
}

/// Records how an attempt ended. The job can't be claimed again before that; when the log takes too long the caller gets
/// an answer at once, and the record follows.
async fn settle<L, C>(
    node: &Rc<Shared<L, C>>,
    work: &Work,
    job: &JobId,
    token: Token,
    outcome: Outcome,
) -> Option<Answer>
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let recording = actix_rt::spawn(finish(node.clone(), job.clone(), token, outcome));
    let late = tokio::time::timeout(decide_within(node, work), recording).await.is_err();
    late.then(|| Answer::pending("the end of the attempt is not recorded yet", LOG_RETRY))
}

fn summary(reply: &Reply) -> CompactString {
    match reply {
        Reply::Answered { status, .. } => compact_str::format_compact!("answered status={status}"),
        Reply::NotRun { reason, .. } => compact_str::format_compact!("not-run reason={reason:?}"),
        Reply::Unknown { reason } => compact_str::format_compact!("unknown reason={reason:?}"),
    }
}

async fn send<L, C>(
    node: &Rc<Shared<L, C>>,
    work: &Work,
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
    let remaining = work.remaining(now);
    // Checked right before the send: the process may have been paused since the claim was read back.
    if !lease.holds(now) || remaining.is_zero() {
        return Reply::NotRun {
            reason: "the lease or the deadline passed before the send".into(),
            load: None,
        };
    }
    let call = Call {
        request_id: work.id.clone(),
        service: work.head.service.clone(),
        body: work.body.clone(),
        remaining,
        fence: Some((job.clone(), token)),
    };
    node.sent.borrow_mut().insert((job.clone(), token));
    tokio::select! {
        reply = node.upstreams.send(&address, &call) => reply,
        never = renew(node, job, token) => match never {},
    }
}

/// Renews the lease of a request while it is being sent. Never returns: a lease that can't be renewed
/// doesn't take back what was sent, so the answer is awaited all the same.
async fn renew<L, C>(node: &Shared<L, C>, job: &JobId, token: Token) -> Infallible
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

/// Longest wait for the log's decision: a caller gets its refusal soon after the log went down instead of near its
/// deadline, and a lost answer still has time to be settled.
fn decide_within<L, C>(node: &Shared<L, C>, work: &Work) -> Duration
where
    L: LogService,
    C: Clock + 'static,
{
    const DECIDE_LIMIT: Duration = Duration::from_secs(4);
    work.remaining(node.now()).min(DECIDE_LIMIT)
}

/// Ends the caller's wait for a job that was submitted and is queued again.
async fn give_up<L, C>(
    node: &Rc<Shared<L, C>>,
    work: &Work,
    job: &JobId,
    reason: &str,
    retry_after: Duration,
) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    if work.class.must_not_drop {
        return Answer::pending("accepted; it will be tried again", POLL_AFTER);
    }
    let cancel = Entry::Cancel { job: job.clone() };
    match node.propose(cancel, LOG_RETRY).await {
        ProposalOutcome::Decided { verdict: Verdict::Accepted { .. }, .. }
            if !has_failed(node, job) =>
        {
            Answer::refused(reason, retry_after)
        }
        _ => super::answer_job(node, job),
    }
}

/// True when an attempt failed; it may have had effect.
fn has_failed<L, C>(node: &Shared<L, C>, job: &JobId) -> bool
where
    L: LogService,
    C: Clock + 'static,
{
    node.replica.state().jobs.get(job).is_none_or(|j| !j.failures.is_empty())
}

/// Waits until the recorded job ends, at most until the deadline of the request.
async fn wait_for_end<L, C>(node: &Rc<Shared<L, C>>, work: &Work, job: &JobId) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    let settled =
        |job: &Job| job.is_ended() || matches!(job.phase, JobPhase::OutcomeUnknown { .. });
    loop {
        let changed = node.replica.changed();
        let done = node.replica.state().jobs.get(job).is_none_or(|job| settled(job));
        let remaining = work.remaining(node.now());
        if done || remaining.is_zero() || work.class.task {
            return super::answer_job(node, job);
        }
        let _ = tokio::time::timeout(remaining, changed).await;
    }
}

/// Submits a task; a worker runs it later.
pub(super) async fn submit_task<L, C>(node: &Rc<Shared<L, C>>, work: &Work, job: JobId) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    if let Some(answer) = known(node, work, &job).await {
        return answer;
    }
    if let Some(refusal) = without_log(node) {
        return refusal;
    }
    let submit = submission(node, work, &job);
    if let Some(answer) = refuse_task(node, work, &job, &submit) {
        return answer;
    }
    match node.propose(Entry::Submit(submit), decide_within(node, work)).await {
        ProposalOutcome::Decided { verdict: Verdict::Rejected { reason }, .. } => {
            rejected(node, work, &job, &reason)
        }
        ProposalOutcome::Decided { offset, .. } => {
            log::info!(target: "decision", "job={job} request={} accepted={offset}", work.id);
            super::answer_job(node, &job)
        }
        ProposalOutcome::Withdrawn => {
            Answer::refused("the log does not accept records now", LOG_RETRY)
        }
        ProposalOutcome::Pending => Answer::pending("the acceptance is not decided yet", LOG_RETRY),
    }
}

/// Refuses a task that could never run, or one more than may wait.
fn refuse_task<L, C>(
    node: &Shared<L, C>,
    work: &Work,
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
    if let Choice::Impossible { reason } =
        node.placer.borrow().choose(&state, &candidate, state.now)
    {
        log::info!(target: "decision", "job={job} request={} refused reason={reason:?}", work.id);
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
