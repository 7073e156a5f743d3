//! Follows tasks on workers: renews their leases, stops cancelled ones and records outcomes by evidence.

use std::rc::Rc;

use cj_fold::{Claim, JobPhase, Verdict};
use cj_log::{LogService, ProposalOutcome};
use cj_record::{Entry, Evidence, Outcome};
use cj_types::{Clock, JobId, VmId};

use crate::{
    platform::{ListedTask, TaskState},
    shared::Shared,
};

use super::{attended::Attended, task::TASK_LEASE};

/// Age of a lapsed lease up to which the absence of a task proves that it did not run. Workers keep
/// ended tasks in their lists for a limited time.
const EVIDENCE_AGE: std::time::Duration = std::time::Duration::from_secs(300);
/// Limit of one proposal.
const PROPOSE_LIMIT: std::time::Duration = std::time::Duration::from_secs(5);

/// Looks after the given jobs on one worker, in a task of its own.
pub(super) fn supervise<L, C>(node: &Rc<Shared<L, C>>, worker: VmId, jobs: Vec<JobId>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let guards: Vec<_> = jobs.iter().map(|j| Attended::new(node.clone(), j.clone())).collect();
    let node = node.clone();
    actix_rt::spawn(async move {
        let Some(address) = node.address_of(&worker) else { return };
        match node.workers.tasks(&address).await {
            Ok(tasks) => {
                for job in &jobs {
                    follow(&node, &address, job, &tasks).await;
                }
            }
            Err(e) => log::debug!(target: "decision", "worker={worker} tasks unknown: {e}"),
        }
        drop(guards);
    });
}

/// A claim with what the job's caller and the fold say about it.
struct Followed {
    claim: Claim,
    lapsed: bool,
    renew: bool,
}

fn followed<L, C>(node: &Shared<L, C>, job: &JobId) -> Option<Followed>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    match &state.jobs.get(job)?.phase {
        JobPhase::Claimed(claim) => {
            let renew = claim.until.since(state.now) < TASK_LEASE / 2 && state.now <= claim.until;
            Some(Followed { claim: claim.clone(), lapsed: false, renew })
        }
        JobPhase::OutcomeUnknown { claim, .. } => {
            Some(Followed { claim: claim.clone(), lapsed: true, renew: false })
        }
        _ => None,
    }
}

async fn follow<L, C>(node: &Rc<Shared<L, C>>, address: &str, job: &JobId, tasks: &[ListedTask])
where
    L: LogService,
    C: Clock + 'static,
{
    let Some(Followed { claim, lapsed, renew }) = followed(node, job) else { return };
    let name = job.to_string();
    let listed = tasks.iter().find(|t| t.task == name && t.token == claim.token);
    let outcome = match listed.map(|t| t.state) {
        Some(TaskState::Done) => {
            let answer = listed.and_then(|t| t.answer.clone()).unwrap_or_default();
            Outcome::Done { status: 200, answer: answer.into_bytes() }
        }
        Some(TaskState::NotStarted) if listed.is_some_and(|t| t.lease_left_ms == 0) => {
            Outcome::NotRun { reason: "not started within its lease".into() }
        }
        Some(TaskState::Failed) => {
            Outcome::Failed { reason: "the task failed on the worker".into() }
        }
        Some(TaskState::Stopped) if claim.cancel => {
            Outcome::Failed { reason: "stopped on cancellation".into() }
        }
        Some(TaskState::Stopped) => Outcome::Failed { reason: "stopped before its end".into() },
        Some(TaskState::NotStarted | TaskState::Running) => {
            look_after(node, address, job, &claim, renew).await;
            return;
        }
        None if lapsed => match fence(node, address, &name, &claim).await {
            Some(outcome) => outcome,
            None => return,
        },
        None => return,
    };
    record(node, job, &claim, lapsed, outcome).await;
}

async fn look_after<L, C>(
    node: &Shared<L, C>,
    address: &str,
    job: &JobId,
    claim: &Claim,
    renew: bool,
) where
    L: LogService,
    C: Clock + 'static,
{
    let name = job.to_string();
    if claim.cancel {
        if let Err(e) = node.workers.stop(address, &name, claim.token).await {
            log::info!(target: "decision", "job={job} stop not confirmed: {e}");
        }
        return;
    }
    if !renew {
        return;
    }
    let lease_ms = TASK_LEASE.as_millis() as u32;
    let entry = Entry::Renew { job: job.clone(), token: claim.token, lease_ms };
    let renewed = node.propose(entry, PROPOSE_LIMIT).await;
    if matches!(renewed, ProposalOutcome::Decided { verdict: Verdict::Accepted { .. }, .. })
        && let Err(e) = node.workers.renew(address, &name, claim.token, lease_ms).await
    {
        log::info!(target: "decision", "job={job} renewal not confirmed: {e}");
    }
}

/// Makes sure that a start which is still on its way is refused. The stop leaves a mark under the token; only then does
/// the absence of the task prove that it did not run.
async fn fence<L, C>(
    node: &Shared<L, C>,
    address: &str,
    name: &str,
    claim: &Claim,
) -> Option<Outcome>
where
    L: LogService,
    C: Clock + 'static,
{
    if node.replica.state().now.since(claim.until) > EVIDENCE_AGE {
        return None;
    }
    node.workers.stop(address, name, claim.token).await.ok()?;
    let tasks = node.workers.tasks(address).await.ok()?;
    let listed = tasks.iter().any(|t| t.task == name && t.token == claim.token);
    (!listed).then(|| Outcome::NotRun { reason: "the worker never took it".into() })
}

async fn record<L, C>(
    node: &Rc<Shared<L, C>>,
    job: &JobId,
    claim: &Claim,
    lapsed: bool,
    outcome: Outcome,
) where
    L: LogService,
    C: Clock + 'static,
{
    let (job, token) = (job.clone(), claim.token);
    log::info!(target: "decision", "job={job} claim={token} worker={} outcome={outcome:?}", claim.target);
    let entry = if lapsed {
        Entry::Resolve { job, token, outcome, evidence: Evidence::TaskList }
    } else {
        Entry::Finish { job, token, outcome }
    };
    node.propose(entry, PROPOSE_LIMIT).await;
}
