//! Handlers of the caller API: validates requests, passes each to the code for its class, and answers job lookups and
//! cancellations.

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
    context::NodeContext,
    http::{Answer, MAX_RECORDED_BYTES, OutcomeKind, WorkRequest},
};

use super::{recorded, routed};

/// Time after which a caller should query the state of a job again.
pub(super) const POLL_AFTER: Duration = Duration::from_millis(500);
/// Time after which a caller should retry when the log is unreachable.
pub(super) const LOG_RETRY: Duration = Duration::from_secs(2);

/// A validated request with the settings of its class.
#[derive(Clone, Debug)]
pub(super) struct ValidatedRequest {
    /// Id for log lines and the `x-request-id` header.
    pub id: CompactString,
    /// The parsed path and headers.
    pub head: WorkRequest,
    /// The whole body.
    pub body: Bytes,
    /// Settings of its class.
    pub class: ClassSettings,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Time by which the caller needs the answer.
    pub deadline: Instant,
}

impl ValidatedRequest {
    /// Time left until the deadline.
    pub(super) fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Converts to the request type of the router.
    pub(super) fn to_router_request<L, C>(&self, node: &NodeContext<L, C>) -> cj_route::Request {
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
    node: &Rc<NodeContext<L, C>>,
    id: CompactString,
    head: WorkRequest,
    body: Bytes,
) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let request = match validate(node, id, head, body) {
        Ok(request) => request,
        Err(answer) => return answer,
    };
    if !request.class.requires_record() {
        return routed::answer_request(node, &request).await;
    }
    let Some(key) = request.head.key.clone() else {
        let reason = "this class needs the header `idempotency-key`; add one per piece of work";
        return Answer::bad_input(StatusCode::BAD_REQUEST, reason);
    };
    let job = JobId { caller: request.head.caller.clone(), key };
    let resubmit = request.head.resubmit;
    // Runs as a task of its own, because recorded work must be completed even when the caller disconnects.
    let node = node.clone();
    let task = actix_rt::spawn(async move {
        match request.class.task {
            true => recorded::submit_task(&node, &request, job).await,
            false => recorded::answer_request(&node, &request, job).await,
        }
    });
    let node_stopped = |_| Answer::unknown("the node stopped before the request ended");
    let answer = task.await.unwrap_or_else(node_stopped);
    if resubmit { answer.for_resubmission() } else { answer }
}

fn validate<L, C>(
    node: &NodeContext<L, C>,
    id: CompactString,
    head: WorkRequest,
    body: Bytes,
) -> Result<ValidatedRequest, Answer>
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
    Ok(ValidatedRequest { id, head, body, class, pool, deadline: node.now() + limit })
}

/// Answers a lookup of a job from the replicated state.
pub fn answer_job<L, C>(node: &NodeContext<L, C>, job: &JobId) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    match node.replica.state().jobs.get(job) {
        Some(found) => Answer::from_job(found, POLL_AFTER),
        None => {
            let reason = "nothing is recorded under this key; submit it again with the same key to settle it";
            Answer::with_reason(StatusCode::NOT_FOUND, OutcomeKind::Unknown, reason, None)
        }
    }
}

/// Cancels a job on request of its caller.
pub async fn cancel_job<L, C>(node: &NodeContext<L, C>, job: &JobId) -> Answer
where
    L: LogService,
    C: Clock + 'static,
{
    const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
    let entry = Entry::Cancel { job: job.clone() };
    match node.propose(entry, CANCEL_TIMEOUT).await {
        ProposalOutcome::Decided { .. } => answer_job(node, job),
        ProposalOutcome::Withdrawn => Answer::with_reason(
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
