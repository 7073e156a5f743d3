//! Drives the recorded jobs that this node owns by rendezvous hashing: starts tasks, reruns queued requests whose
//! caller connection is gone, and expires claims whose lease has ended.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use compact_str::CompactString;

use cj_fold::{Job, JobPhase, State};
use cj_log::LogService;
use cj_record::{Entry, Outcome};
use cj_types::{Clock, JobId, Token, UnixMillis, VmId};

use crate::{
    context::{NodeContext, sleep},
    http::WorkRequest,
};

use super::{
    handlers::ValidatedRequest, job_guard::JobGuard, outcome::record_outcome, recorded, supervise,
    task,
};

/// Shortest pause between two scans of the replicated state.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after a scan is at least this many times the scan's duration, so that scanning takes at most about 2% of a
/// core however many jobs are open.
const SCAN_PAUSE_FACTOR: u32 = 50;
/// Age at which the driver takes over a queued request that no connection is processing.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(1);
/// Most tasks started per scan, so that a long queue doesn't block the node.
const MAX_STARTS_PER_SCAN: usize = 64;
/// Time limit of one proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Action of the driver on one job.
#[derive(Clone, Debug, PartialEq)]
enum JobAction {
    StartTask,
    RerunRequest,
    Cancel,
    Expire(Token),
    RecordNotSent(Token),
}

/// Drives jobs until the node stops.
pub async fn drive_jobs<L, C>(node: Rc<NodeContext<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut pause = MIN_SCAN_INTERVAL;
    loop {
        sleep(pause).await;
        if node.shutdown.begun() || !node.replica.lag().reachable {
            continue;
        }
        let started = node.now();
        let (actions, jobs_by_worker) = scan_jobs(&node);
        let elapsed = node.now().saturating_duration_since(started);
        pause = MIN_SCAN_INTERVAL.max(elapsed * SCAN_PAUSE_FACTOR);
        for (job, action) in actions {
            execute(&node, job, action);
        }
        for (worker, jobs) in jobs_by_worker {
            supervise::supervise_worker(&node, worker, jobs);
        }
    }
}

type JobActions = Vec<(JobId, JobAction)>;
type JobsByWorker = BTreeMap<VmId, Vec<JobId>>;

/// Collects the actions that are due, and by worker the claimed tasks to supervise.
fn scan_jobs<L, C>(node: &Rc<NodeContext<L, C>>) -> (JobActions, JobsByWorker)
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let owned = node.owned_buckets();
    let active = node.active_jobs.borrow();
    let mut actions = JobActions::new();
    let mut jobs_by_worker = JobsByWorker::new();
    let mut starts = 0;
    for (id, job) in state.open_jobs().filter(|(id, _)| !active.contains(id)) {
        if let Some(token) = unsent_claim(node, id, job) {
            actions.push((id.clone(), JobAction::RecordNotSent(token)));
            continue;
        }
        if !owned[id.bucket()] {
            continue;
        }
        if let Some(worker) = claimed_worker(job) {
            jobs_by_worker.entry(worker.clone()).or_default().push(id.clone());
        }
        let Some(action) = next_action(&state, job, node.clock.wall()) else { continue };
        if action == JobAction::StartTask {
            starts += 1;
        }
        if starts <= MAX_STARTS_PER_SCAN || action != JobAction::StartTask {
            actions.push((id.clone(), action));
        }
    }
    (actions, jobs_by_worker)
}

/// The token of a request that this process claimed but never sent.
fn unsent_claim<L, C>(node: &NodeContext<L, C>, id: &JobId, job: &Job) -> Option<Token>
where
    L: LogService,
    C: Clock + 'static,
{
    let JobPhase::Claimed(claim) = &job.phase else { return None };
    let is_own = !job.task && claim.holder == node.replica.node();
    let sent = node.sent_claims.borrow().contains(&(id.clone(), claim.token));
    (is_own && !sent).then_some(claim.token)
}

fn claimed_worker(job: &Job) -> Option<&VmId> {
    match &job.phase {
        JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. } if job.task => {
            Some(&claim.target)
        }
        _ => None,
    }
}

fn next_action(state: &State, job: &Job, now: UnixMillis) -> Option<JobAction> {
    match &job.phase {
        JobPhase::Queued if job.task => Some(JobAction::StartTask),
        JobPhase::Queued if now.since(job.submitted) < ORPHAN_TIMEOUT => None,
        JobPhase::Queued => {
            let must_not_drop = state.fleet.classes.get(&job.class).is_none_or(|c| c.must_not_drop);
            Some(if must_not_drop { JobAction::RerunRequest } else { JobAction::Cancel })
        }
        JobPhase::Claimed(claim) if state.now > claim.until => Some(JobAction::Expire(claim.token)),
        _ => None,
    }
}

fn execute<L, C>(node: &Rc<NodeContext<L, C>>, job: JobId, action: JobAction)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let node = node.clone();
    let guard = JobGuard::new(node.clone(), job.clone());
    actix_rt::spawn(async move {
        match action {
            JobAction::StartTask => task::start_task(&node, &job).await,
            JobAction::RerunRequest => rerun(&node, &job).await,
            JobAction::Cancel => drop(node.propose(Entry::Cancel { job }, PROPOSAL_TIMEOUT).await),
            JobAction::Expire(token) => {
                drop(node.propose(Entry::Expire { job, token }, PROPOSAL_TIMEOUT).await)
            }
            JobAction::RecordNotSent(token) => {
                let outcome = Outcome::NotRun { reason: "the holder never sent it".into() };
                record_outcome(node.clone(), job, token, outcome).await;
            }
        }
        drop(guard);
    });
}

async fn rerun<L, C>(node: &Rc<NodeContext<L, C>>, id: &JobId)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let Some(request) = request_from_job(node, id) else { return };
    log::info!(target: "decision", "job={id} rerun reason=\"queued without a connection\"");
    recorded::rerun(node, &request, id.clone()).await;
}

/// Rebuilds the request of a recorded job, with a new deadline of full length.
fn request_from_job<L, C>(node: &NodeContext<L, C>, id: &JobId) -> Option<ValidatedRequest>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let job = state.jobs.get(id)?;
    let class = state.fleet.classes.get(&job.class)?.clone();
    let deadline = node.now() + class.deadline;
    let head = WorkRequest {
        service: job.service.clone(),
        class: job.class.clone(),
        caller: id.caller.clone(),
        team: job.team.clone(),
        key: Some(id.key.clone()),
        deadline: None,
        resubmit: false,
        run_ms: None,
        millicores: None,
        memory_mib: None,
        accelerators: None,
    };
    let id = CompactString::from(format!("rerun-{id}"));
    Some(ValidatedRequest {
        id,
        head,
        body: job.payload.clone().into(),
        class,
        pool: job.pool.clone(),
        deadline,
    })
}
