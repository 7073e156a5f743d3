//! Idempotent work that may be refused: routed without touching the log.

use std::rc::Rc;

use actix_http::StatusCode;

use cj_log::LogService;
use cj_route::{Completion, Refusal};
use cj_types::Clock;

use crate::{
    http::Answer,
    shared::Shared,
    upstream::{Call, Reply},
};

use super::{dispatcher::Event, intake::Work};

/// Answer for a request that the router refused.
pub(super) fn refusal(reason: Refusal, retry_after: std::time::Duration) -> Answer {
    Answer::refused(&reason.to_string(), retry_after)
}

/// Routes the request, retries included, and returns its final answer.
pub(super) async fn answer<L, C>(node: &Rc<Shared<L, C>>, work: &Work) -> Answer
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let mut admitted = match node.dispatcher.offer(work.route(node)) {
        Ok(admitted) => admitted,
        Err((reason, retry_after)) => return refusal(reason, retry_after),
    };
    while let Some(event) = admitted.next().await {
        let upstream = match event {
            Event::Send(upstream) => upstream,
            Event::GiveUp { reason, may_have_run: false, retry_after } => {
                return refusal(reason, retry_after);
            }
            Event::GiveUp { reason, .. } => return Answer::unknown(&reason.to_string()),
        };
        let reply = match node.address_of(&upstream) {
            Some(address) => node.upstreams.send(&address, &call(node, work)).await,
            None => Reply::NotRun { reason: "the upstream has no address".into(), load: None },
        };
        match reply {
            Reply::Answered { status, body, load } => {
                admitted.complete(Completion::Done { load });
                return Answer::done(StatusCode::from_u16(status).unwrap_or(StatusCode::OK), body);
            }
            Reply::NotRun { reason, load } => {
                log::info!(target: "decision", "request={} upstream={upstream} result=not-run reason={reason:?}", work.id);
                admitted.complete(Completion::NotRun { load });
            }
            Reply::Unknown { reason } => {
                log::info!(target: "decision", "request={} upstream={upstream} result=unknown reason={reason:?}", work.id);
                admitted.complete(Completion::Failed);
            }
        }
    }
    Answer::unknown("the node stopped before the request ended")
}

fn call<L, C>(node: &Shared<L, C>, work: &Work) -> Call
where
    L: LogService,
    C: Clock + 'static,
{
    Call {
        request_id: work.id.clone(),
        service: work.head.service.clone(),
        body: work.body.clone(),
        remaining: work.remaining(node.now()),
        fence: None,
    }
}
