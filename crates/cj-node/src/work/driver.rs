//! Drives the recorded jobs that this node owns by rendezvous hashing: starts tasks, reruns queued requests whose
//! connection is gone, and ends claims whose lease has passed.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use compact_str::CompactString;

use cj_fold::{Job, JobPhase, State};
use cj_log::LogService;
use cj_record::{Entry, Outcome};
use cj_types::{Clock, JobId, Token, UnixMillis, VmId};

use crate::{
    http::WorkRequest,
    shared::{Shared, sleep},
};

use super::{attended::Attended, finish::finish, intake::Work, recorded, supervise, task};

/// Pause between two looks at the shared state.
const INTERVAL: Duration = Duration::from_millis(200);
/// Least part of the time between two looks that one look takes: 1 / 50, or 2% of a core, however many jobs are open.
const LOOK_SHARE: u32 = 50;
/// Time that the connection of a queued request has to go on with it before the driver does.
const ORPHAN_AGE: Duration = Duration::from_secs(1);
/// Starts per look, so that a long queue doesn't hold up the node.
const MAX_STARTS: usize = 64;
/// Limit of one proposal.
const PROPOSE_LIMIT: Duration = Duration::from_secs(5);

/// What the driver does about one job.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    StartTask,
    Rerun,
    Cancel,
    Expire(Token),
    NotSent(Token),
}

/// Drives jobs until the node stops.
pub async fn drive_jobs<L, C>(node: Rc<Shared<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut pause = INTERVAL;
    loop {
        sleep(pause).await;
        if node.shutdown.begun() || !node.replica.lag().reachable {
            continue;
        }
        let started = node.now();
        let (steps, claimed) = look(&node);
        let took = node.now().saturating_duration_since(started);
        pause = INTERVAL.max(took * LOOK_SHARE);
        for (job, step) in steps {
            carry_out(&node, job, step);
        }
        for (worker, jobs) in claimed {
            supervise::supervise(&node, worker, jobs);
        }
    }
}

type Steps = Vec<(JobId, Step)>;
type ByWorker = BTreeMap<VmId, Vec<JobId>>;

fn look<L, C>(node: &Rc<Shared<L, C>>) -> (Steps, ByWorker)
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let owned = node.owned_buckets();
    let attended = node.attended.borrow();
    let mut steps = Steps::new();
    let mut by_worker = ByWorker::new();
    let mut starts = 0;
    for (id, job) in state.open_jobs().filter(|(id, _)| !attended.contains(id)) {
        if let Some(token) = not_sent(node, id, job) {
            steps.push((id.clone(), Step::NotSent(token)));
            continue;
        }
        if !owned[id.bucket()] {
            continue;
        }
        if let Some(worker) = supervised_on(job) {
            by_worker.entry(worker.clone()).or_default().push(id.clone());
        }
        let Some(step) = step(&state, job, node.clock.wall()) else { continue };
        if step == Step::StartTask {
            starts += 1;
        }
        if starts <= MAX_STARTS || step != Step::StartTask {
            steps.push((id.clone(), step));
        }
    }
    (steps, by_worker)
}

/// The claim of this process under which no request was sent, when its connection is gone.
fn not_sent<L, C>(node: &Shared<L, C>, id: &JobId, job: &Job) -> Option<Token>
where
    L: LogService,
    C: Clock + 'static,
{
    let JobPhase::Claimed(claim) = &job.phase else { return None };
    let mine = !job.task && claim.holder == node.replica.node();
    let sent = node.sent.borrow().contains(&(id.clone(), claim.token));
    (mine && !sent).then_some(claim.token)
}

fn supervised_on(job: &Job) -> Option<&VmId> {
    match &job.phase {
        JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. } if job.task => {
            Some(&claim.target)
        }
        _ => None,
    }
}

fn step(state: &State, job: &Job, wall: UnixMillis) -> Option<Step> {
    match &job.phase {
        JobPhase::Queued if job.task => Some(Step::StartTask),
        JobPhase::Queued if wall.since(job.submitted) < ORPHAN_AGE => None,
        JobPhase::Queued => {
            let must_run = state.fleet.classes.get(&job.class).is_none_or(|c| c.must_not_drop);
            Some(if must_run { Step::Rerun } else { Step::Cancel })
        }
        JobPhase::Claimed(claim) if state.now > claim.until => Some(Step::Expire(claim.token)),
        _ => None,
    }
}

fn carry_out<L, C>(node: &Rc<Shared<L, C>>, job: JobId, step: Step)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let node = node.clone();
    let guard = Attended::new(node.clone(), job.clone());
    actix_rt::spawn(async move {
        match step {
            Step::StartTask => task::start(&node, &job).await,
            Step::Rerun => rerun(&node, &job).await,
            Step::Cancel => drop(node.propose(Entry::Cancel { job }, PROPOSE_LIMIT).await),
            Step::Expire(token) => {
                drop(node.propose(Entry::Expire { job, token }, PROPOSE_LIMIT).await)
            }
            Step::NotSent(token) => {
                let outcome = Outcome::NotRun { reason: "the holder never sent it".into() };
                finish(node.clone(), job, token, outcome).await;
            }
        }
        drop(guard);
    });
}

async fn rerun<L, C>(node: &Rc<Shared<L, C>>, id: &JobId)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let Some(work) = work_of(node, id) else { return };
    log::info!(target: "decision", "job={id} rerun reason=\"queued without a connection\"");
    recorded::rerun(node, &work, id.clone()).await;
}

/// The recorded job as a request with a fresh deadline.
fn work_of<L, C>(node: &Shared<L, C>, id: &JobId) -> Option<Work>
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
    Some(Work {
        id,
        head,
        body: job.payload.clone().into(),
        class,
        pool: job.pool.clone(),
        deadline,
    })
}
