//! Takes requests of callers in and sends each to the part that handles its class.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;

use cj_log::{LogService, ProposalOutcome};
use cj_record::Entry;
use cj_settings::ClassSettings;
use cj_types::{Clock, JobId, PoolId};

use crate::{
    http::{Answer, MAX_RECORDED_BYTES, OutcomeKind, WorkRequest},
    shared::Shared,
};

use super::{recorded, routed};

/// Time after which a caller may ask again for the state of a job.
pub(super) const POLL_AFTER: Duration = Duration::from_millis(500);
/// Time after which a caller may ask again when the log is not reachable.
pub(super) const LOG_RETRY: Duration = Duration::from_secs(2);

/// A request with everything that its class says about it.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// Id for log lines and the `x-request-id` header.
    pub id: CompactString,
    /// The checked head.
    pub head: WorkRequest,
    /// The whole body.
    pub body: Bytes,
    /// Settings of its class.
    pub class: ClassSettings,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Latest useful time of the answer.
    pub deadline: Instant,
}

impl Work {
    /// Time left until the deadline.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The request as the router takes it.
    pub(super) fn route<L, C>(&self, node: &Shared<L, C>) -> cj_route::Request {
        cj_route::Request {
            id: self.id.clone(),
            service: self.head.service.clone(),
            class: self.head.class.clone(),
            team: self.head.team.clone(),
            deadline: self.deadline,
            idempotent: self.class.idempotent,
            centre: node.settings.centre.clone(),
            avoid: None,
        }
    }
}

/// Answers a request for work.
pub async fn answer_work<L, C>(
    node: &Rc<Shared<L, C>>,
    id: CompactString,
    head: WorkRequest,
    body: Bytes,
) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let work = match check(node, id, head, body) {
        Ok(work) => work,
        Err(answer) => return answer,
    };
    if !work.class.requires_record() {
        return routed::answer(node, &work).await;
    }
    let Some(key) = work.head.key.clone() else {
        let reason = "this class needs the header `idempotency-key`; add one per piece of work";
        return Answer::bad_input(StatusCode::BAD_REQUEST, reason);
    };
    let job = JobId { caller: work.head.caller.clone(), key };
    let resubmit = work.head.resubmit;
    // Runs on its own: recorded work must be followed to its end even when the caller hangs up.
    let node = node.clone();
    let run = actix_rt::spawn(async move {
        match work.class.task {
            true => recorded::submit_task(&node, &work, job).await,
            false => recorded::answer(&node, &work, job).await,
        }
    });
    let stopped = |_| Answer::unknown("the node stopped before the request ended");
    let answer = run.await.unwrap_or_else(stopped);
    if resubmit { answer.of_resubmission() } else { answer }
}

fn check<L, C>(
    node: &Shared<L, C>,
    id: CompactString,
    head: WorkRequest,
    body: Bytes,
) -> Result<Work, Answer>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let fleet = &state.fleet;
    let not_found = |reason: String| Answer::bad_input(StatusCode::NOT_FOUND, &reason);
    let service = fleet.services.get(&head.service);
    let service =
        service.ok_or_else(|| not_found(format!("unknown service `{}`", head.service)))?;
    let class = fleet.classes.get(&head.class);
    let class = class.ok_or_else(|| not_found(format!("unknown class `{}`", head.class)))?;
    let pool = fleet.pools.get(&service.pool).filter(|p| p.classes.contains(&head.class));
    if pool.is_none() {
        let reason = format!("pool `{}` does not accept class `{}`", service.pool, head.class);
        return Err(Answer::bad_input(StatusCode::UNPROCESSABLE_ENTITY, &reason));
    }
    if class.requires_record() && body.len() > MAX_RECORDED_BYTES {
        let reason = "bodies of this class may have 4 KiB; send a reference instead";
        return Err(Answer::bad_input(StatusCode::PAYLOAD_TOO_LARGE, reason));
    }
    let limit = head.deadline.map_or(class.deadline, |d| d.min(class.deadline));
    let (class, pool) = (class.clone(), service.pool.clone());
    Ok(Work { id, head, body, class, pool, deadline: node.now() + limit })
}

/// Answers a question about a job.
pub fn answer_job<L, C>(node: &Shared<L, C>, job: &JobId) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    match node.replica.state().jobs.get(job) {
        Some(found) => Answer::of_job(found, POLL_AFTER),
        None => {
            let reason = "nothing is recorded under this key; submit it again with the same key to settle it";
            Answer::explain(StatusCode::NOT_FOUND, OutcomeKind::Unknown, reason, None)
        }
    }
}

/// Cancels a job at its caller's wish.
pub async fn cancel_job<L, C>(node: &Shared<L, C>, job: &JobId) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    const CANCEL_LIMIT: Duration = Duration::from_secs(5);
    let entry = Entry::Cancel { job: job.clone() };
    match node.propose(entry, CANCEL_LIMIT).await {
        ProposalOutcome::Decided { .. } => answer_job(node, job),
        ProposalOutcome::Withdrawn => Answer::explain(
            StatusCode::SERVICE_UNAVAILABLE,
            OutcomeKind::Pending,
            "the cancellation was not recorded; the job goes on",
            Some(LOG_RETRY),
        ),
        ProposalOutcome::Pending => {
            Answer::pending("the cancellation is not decided yet", LOG_RETRY)
        }
    }
}
