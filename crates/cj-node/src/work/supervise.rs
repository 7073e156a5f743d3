//! Supervises tasks on workers: renews their leases, stops cancelled tasks and records outcomes from the workers' task
//! lists.

use std::rc::Rc;

use cj_fold::{Claim, JobPhase, Verdict};
use cj_log::{LogService, ProposalOutcome};
use cj_record::{Entry, Evidence, Outcome};
use cj_types::{Clock, JobId, VmId};

use crate::{
    context::NodeContext,
    platform::{ListedTask, TaskState},
};

use super::{job_guard::JobGuard, task::TASK_LEASE};

/// Time after the end of a lease within which the absence of a task from the list proves that it did not run. Workers
/// keep ended tasks in their lists for a limited time only.
const MAX_EVIDENCE_AGE: std::time::Duration = std::time::Duration::from_secs(300);
/// Time limit of one proposal.
const PROPOSAL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Spawns an async task that reads the task list of a worker and supervises the given jobs on it.
pub(super) fn supervise_worker<L, C>(node: &Rc<NodeContext<L, C>>, worker: VmId, jobs: Vec<JobId>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let guards: Vec<_> = jobs.iter().map(|j| JobGuard::new(node.clone(), j.clone())).collect();
    let node = node.clone();
    actix_rt::spawn(async move {
        let Some(address) = node.address_of(&worker) else { return };
        match node.workers.tasks(&address).await {
            Ok(tasks) => {
                for job in &jobs {
                    supervise_task(&node, &address, job, &tasks).await;
                }
            }
            Err(e) => {
                log::debug!(target: "decision", "worker={worker} task list not available: {e}")
            }
        }
        drop(guards);
    });
}

/// A claim of a task with the state of its lease.
struct SupervisedClaim {
    claim: Claim,
    /// The claim was expired in the log, so the outcome has to be recorded as a resolution.
    outcome_unknown: bool,
    /// Less than half of the lease is left.
    renewal_due: bool,
}

fn supervised_claim<L, C>(node: &NodeContext<L, C>, job: &JobId) -> Option<SupervisedClaim>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    match &state.jobs.get(job)?.phase {
        JobPhase::Claimed(claim) => {
            let renewal_due =
                claim.until.since(state.now) < TASK_LEASE / 2 && state.now <= claim.until;
            Some(SupervisedClaim { claim: claim.clone(), outcome_unknown: false, renewal_due })
        }
        JobPhase::OutcomeUnknown { claim, .. } => Some(SupervisedClaim {
            claim: claim.clone(),
            outcome_unknown: true,
            renewal_due: false,
        }),
        _ => None,
    }
}

/// Records the outcome of a task if its worker's list shows one, or proves that it never ran; otherwise renews its
/// lease or stops it.
async fn supervise_task<L, C>(
    node: &Rc<NodeContext<L, C>>,
    address: &str,
    job: &JobId,
    tasks: &[ListedTask],
) where
    L: LogService,
    C: Clock + 'static,
{
    let Some(SupervisedClaim { claim, outcome_unknown, renewal_due }) = supervised_claim(node, job)
    else {
        return;
    };
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
            renew_or_stop(node, address, job, &claim, renewal_due).await;
            return;
        }
        None if outcome_unknown => match prove_not_run(node, address, &name, &claim).await {
            Some(outcome) => outcome,
            None => return,
        },
        None => return,
    };
    propose_outcome(node, job, &claim, outcome_unknown, outcome).await;
}

/// Stops a cancelled task, or renews the lease of a running one in the log and then on the worker.
async fn renew_or_stop<L, C>(
    node: &NodeContext<L, C>,
    address: &str,
    job: &JobId,
    claim: &Claim,
    renewal_due: bool,
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
    if !renewal_due {
        return;
    }
    let lease_ms = TASK_LEASE.as_millis() as u32;
    let entry = Entry::Renew { job: job.clone(), token: claim.token, lease_ms };
    let renewed = node.propose(entry, PROPOSAL_TIMEOUT).await;
    if matches!(renewed, ProposalOutcome::Decided { verdict: Verdict::Accepted { .. }, .. })
        && let Err(e) = node.workers.renew(address, &name, claim.token, lease_ms).await
    {
        log::info!(target: "decision", "job={job} renewal not confirmed: {e}");
    }
}

/// Tries to prove that a task which is not in the list never ran. A stop is sent first, because the worker remembers
/// its token and then refuses a start that is still in transit; only after that does the absence of the task prove that
/// it did not run.
async fn prove_not_run<L, C>(
    node: &NodeContext<L, C>,
    address: &str,
    name: &str,
    claim: &Claim,
) -> Option<Outcome>
where
    L: LogService,
    C: Clock + 'static,
{
    if node.replica.state().now.since(claim.until) > MAX_EVIDENCE_AGE {
        return None;
    }
    node.workers.stop(address, name, claim.token).await.ok()?;
    let tasks = node.workers.tasks(address).await.ok()?;
    let listed = tasks.iter().any(|t| t.task == name && t.token == claim.token);
    (!listed).then(|| Outcome::NotRun { reason: "the worker never took it".into() })
}

async fn propose_outcome<L, C>(
    node: &Rc<NodeContext<L, C>>,
    job: &JobId,
    claim: &Claim,
    outcome_unknown: bool,
    outcome: Outcome,
) where
    L: LogService,
    C: Clock + 'static,
{
    let (job, token) = (job.clone(), claim.token);
    log::info!(target: "decision", "job={job} claim={token} worker={} outcome={outcome:?}", claim.target);
    let entry = if outcome_unknown {
        Entry::Resolve { job, token, outcome, evidence: Evidence::TaskList }
    } else {
        Entry::Finish { job, token, outcome }
    };
    node.propose(entry, PROPOSAL_TIMEOUT).await;
}
