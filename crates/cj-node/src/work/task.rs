//! Claims queued tasks and starts them on workers.

use std::{rc::Rc, time::Duration};

use cj_fold::Verdict;
use cj_log::{LogService, ProposalOutcome};
use cj_place::Choice;
use cj_record::{Entry, Outcome};
use cj_types::{Clock, JobId, Token, VmId};

use crate::{
    context::NodeContext,
    platform::{StartOutcome, StartTask},
};

use super::{lease::Lease, outcome::record_outcome};

/// Duration of a task's lease. It is long enough for another node to take over from a failed one and renew in time.
pub(super) const TASK_LEASE: Duration = Duration::from_secs(30);
/// Time limit for proposing a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Chooses a worker for a queued task, records the claim and starts the task there.
pub(super) async fn start_task<L, C>(node: &Rc<NodeContext<L, C>>, id: &JobId)
where
    L: LogService,
    C: Clock + 'static,
{
    let Some((attempt, target)) = choose_worker(node, id) else { return };
    let lease = Lease::new(node.now(), TASK_LEASE);
    let entry = Entry::Claim {
        job: id.clone(),
        attempt,
        target: target.clone(),
        lease_ms: lease.duration_ms(),
    };
    let ProposalOutcome::Decided { offset, verdict: Verdict::Accepted { .. } } =
        node.propose(entry, CLAIM_TIMEOUT).await
    else {
        return;
    };
    let token = Token(offset.0);
    match start_on_worker(node, id, &target, token, lease).await {
        StartResult::Running => {
            log::info!(target: "decision", "job={id} claim={token} worker={target} result=started")
        }
        StartResult::NotRun(reason) => {
            log::info!(target: "decision", "job={id} claim={token} worker={target} result=not-run reason={reason:?}");
            record_outcome(
                node.clone(),
                id.clone(),
                token,
                Outcome::NotRun { reason: reason.into() },
            )
            .await;
        }
        StartResult::Unknown(reason) => {
            log::warn!(target: "decision", "job={id} claim={token} worker={target} result=unknown reason={reason:?}");
        }
    }
}

/// Result of starting a claimed task on its worker.
enum StartResult {
    Running,
    NotRun(String),
    Unknown(String),
}

fn choose_worker<L, C>(node: &NodeContext<L, C>, id: &JobId) -> Option<(u32, VmId)>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let job = state.jobs.get(id)?;
    match node.placer.borrow().choose_and_reserve(&state, id, job, state.now) {
        Choice::Target { vm, reason, candidates } => {
            log::info!(target: "decision", "job={id} worker={vm} reason={reason:?} candidates={}", candidates.len());
            Some((job.attempts + 1, vm))
        }
        Choice::Wait { reason } => {
            log::debug!(target: "decision", "job={id} waits reason={reason:?}");
            None
        }
        Choice::Unplaceable { reason } => {
            log::warn!(target: "decision", "job={id} can't be placed reason={reason:?}");
            None
        }
    }
}

async fn start_on_worker<L, C>(
    node: &NodeContext<L, C>,
    id: &JobId,
    target: &VmId,
    token: Token,
    lease: Lease,
) -> StartResult
where
    L: LogService,
    C: Clock + 'static,
{
    let Some((address, task)) = start_request(node, id, target, token, lease) else {
        return StartResult::NotRun("the job or the worker is gone".into());
    };
    // The process may have been paused since the claim was read back from the log, so the lease is checked again right
    // before the start.
    if !lease.is_valid(node.now()) {
        return StartResult::NotRun("the lease passed before the start".into());
    }
    match node.workers.start(&address, &task).await {
        Ok(StartOutcome::Running) => StartResult::Running,
        Ok(StartOutcome::AlreadyStarted) => {
            StartResult::Unknown("the worker knows this attempt already".into())
        }
        Ok(StartOutcome::NoCapacity) => StartResult::NotRun("the worker has no room".into()),
        Err(e) => StartResult::Unknown(e.to_string()),
    }
}

fn start_request<L, C>(
    node: &NodeContext<L, C>,
    id: &JobId,
    target: &VmId,
    token: Token,
    lease: Lease,
) -> Option<(compact_str::CompactString, StartTask)>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let (job, vm) = (state.jobs.get(id)?, state.vms.get(target)?);
    let task = StartTask {
        task: compact_str::format_compact!("{id}"),
        token,
        lease_ms: lease.duration_ms(),
        lease_end: node.clock.wall() + TASK_LEASE,
        demand: job.demand,
        run_ms: job.run_ms,
        spec: String::from_utf8_lossy(&job.payload).into_owned(),
    };
    Some((vm.address.clone(), task))
}
