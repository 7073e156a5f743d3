//! Starts tasks on workers.

use std::{rc::Rc, time::Duration};

use cj_fold::Verdict;
use cj_log::{LogService, ProposalOutcome};
use cj_place::Choice;
use cj_record::{Entry, Outcome};
use cj_types::{Clock, JobId, Token, VmId};

use crate::{
    platform::{StartTask, Started},
    shared::Shared,
};

use super::{finish::finish, lease::Lease};

/// Length of a task's lease. Long enough that a node can be replaced and its successor renews in time.
pub(super) const TASK_LEASE: Duration = Duration::from_secs(30);
/// Limit of the claim's proposal.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);

/// Claims a queued task for a worker and starts it there.
pub(super) async fn start<L, C>(node: &Rc<Shared<L, C>>, id: &JobId)
where
    L: LogService,
    C: Clock + 'static,
{
    let Some((attempt, target)) = place(node, id) else { return };
    let lease = Lease::new(node.now(), TASK_LEASE);
    let entry =
        Entry::Claim { job: id.clone(), attempt, target: target.clone(), lease_ms: lease.millis() };
    let ProposalOutcome::Decided { offset, verdict: Verdict::Accepted { .. } } =
        node.propose(entry, CLAIM_LIMIT).await
    else {
        return;
    };
    let token = Token(offset.0);
    match launch(node, id, &target, token, lease).await {
        Launch::Running => {
            log::info!(target: "decision", "job={id} claim={token} worker={target} result=started")
        }
        Launch::NotRun(reason) => {
            log::info!(target: "decision", "job={id} claim={token} worker={target} result=not-run reason={reason:?}");
            finish(node.clone(), id.clone(), token, Outcome::NotRun { reason: reason.into() })
                .await;
        }
        Launch::Unknown(reason) => {
            log::warn!(target: "decision", "job={id} claim={token} worker={target} result=unknown reason={reason:?}");
        }
    }
}

enum Launch {
    Running,
    NotRun(String),
    Unknown(String),
}

fn place<L, C>(node: &Shared<L, C>, id: &JobId) -> Option<(u32, VmId)>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let job = state.jobs.get(id)?;
    match node.placer.borrow().choose_for(&state, id, job, state.now) {
        Choice::Target { vm, reason, candidates } => {
            log::info!(target: "decision", "job={id} worker={vm} reason={reason:?} candidates={}", candidates.len());
            Some((job.attempts + 1, vm))
        }
        Choice::Wait { reason } => {
            log::debug!(target: "decision", "job={id} waits reason={reason:?}");
            None
        }
        Choice::Impossible { reason } => {
            log::warn!(target: "decision", "job={id} can't be placed reason={reason:?}");
            None
        }
    }
}

async fn launch<L, C>(
    node: &Shared<L, C>,
    id: &JobId,
    target: &VmId,
    token: Token,
    lease: Lease,
) -> Launch
where
    L: LogService,
    C: Clock + 'static,
{
    let Some((address, task)) = start_of(node, id, target, token, lease) else {
        return Launch::NotRun("the job or the worker is gone".into());
    };
    // Checked right before the start: the process may have been paused since the claim was read back.
    if !lease.holds(node.now()) {
        return Launch::NotRun("the lease passed before the start".into());
    }
    match node.workers.start(&address, &task).await {
        Ok(Started::Running) => Launch::Running,
        Ok(Started::Known) => Launch::Unknown("the worker knows this attempt already".into()),
        Ok(Started::NoRoom) => Launch::NotRun("the worker has no room".into()),
        Err(e) => Launch::Unknown(e.to_string()),
    }
}

fn start_of<L, C>(
    node: &Shared<L, C>,
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
        lease_ms: lease.millis(),
        lease_end: node.clock.wall() + TASK_LEASE,
        demand: job.demand,
        run_ms: job.run_ms,
        spec: String::from_utf8_lossy(&job.payload).into_owned(),
    };
    Some((vm.address.clone(), task))
}
