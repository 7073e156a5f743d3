//! Requests of idempotent classes that may be refused: they are routed without being recorded in the log.

use std::rc::Rc;

use actix_http::StatusCode;

use cj_log::LogService;
use cj_route::{Completion, Refusal};
use cj_types::Clock;

use crate::{
    context::NodeContext,
    http::Answer,
    upstream::{Call, Reply},
};

use super::{dispatcher::RouterDecision, handlers::ValidatedRequest};

/// Answer to a request that the router refused.
pub(super) fn refusal(reason: Refusal, retry_after: std::time::Duration) -> Answer {
    Answer::refused(&reason.to_string(), retry_after)
}

/// Routes a request, including its retries, and returns the final answer.
pub(super) async fn answer_request<L, C>(
    node: &Rc<NodeContext<L, C>>,
    request: &ValidatedRequest,
) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut admitted = match node.dispatcher.offer(request.to_router_request(node)) {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => return refusal(reason, retry_after),
    };
    while let Some(decision) = admitted.next_decision().await {
        let upstream = match decision {
            RouterDecision::Send(upstream) => upstream,
            RouterDecision::GiveUp { reason, may_have_run: false, retry_after } => {
                return refusal(reason, retry_after);
            }
            RouterDecision::GiveUp { reason, .. } => return Answer::unknown(&reason.to_string()),
        };
        let reply = match node.address_of(&upstream) {
            Some(address) => node.upstreams.send(&address, &upstream_call(node, request)).await,
            None => Reply::NotRun { reason: "the upstream has no address".into(), load: None },
        };
        match reply {
            Reply::Answered { status, body, load } => {
                admitted.complete(Completion::Done { load });
                return Answer::done(StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body);
            }
            Reply::NotRun { reason, load } => {
                log::info!(target: "decision", "request={} upstream={upstream} result=not-run reason={reason:?}", request.id);
                admitted.complete(Completion::NotRun { load });
            }
            Reply::Unknown { reason } => {
                log::info!(target: "decision", "request={} upstream={upstream} result=unknown reason={reason:?}", request.id);
                admitted.complete(Completion::Failed);
            }
        }
    }
    Answer::unknown("the node stopped before the request ended")
}

fn upstream_call<L, C>(node: &NodeContext<L, C>, request: &ValidatedRequest) -> Call
where
    L: LogService,
    C: Clock + 'static,
{
    Call {
        request_id: request.id.clone(),
        service: request.head.service.clone(),
        body: request.body.clone(),
        remaining: request.remaining(node.now()),
        fence: None,
    }
}
