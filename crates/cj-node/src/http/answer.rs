//! Responses to callers. Every response states in machine-readable form whether the request ran.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use compact_str::CompactString;
use derive_more::Display;
use serde::Serialize;

use cj_fold::{Job, JobPhase};

const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Outcome of a request, as in the `x-outcome` header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// It ran; the body is its whole answer.
    #[display("done")]
    Done,
    /// It was accepted and will reach a final state, or the log has not decided yet whether it is accepted.
    #[display("pending")]
    Pending,
    /// It certainly did not run and will not.
    #[display("not-run")]
    NotRun,
    /// It may or may not have run.
    #[display("unknown")]
    Unknown,
    /// It failed permanently, with evidence, and will not be retried.
    #[display("parked")]
    Parked,
    /// It was cancelled before it ran.
    #[display("cancelled")]
    Cancelled,
}

/// A response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Outcome of the request.
    pub outcome: OutcomeKind,
    /// Body of the upstream's response, or a JSON object with the reason.
    pub body: Bytes,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ReasonBody<'a> {
    outcome: OutcomeKind,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Answer {
    /// A response with a JSON object as body that states outcome and reason.
    pub fn with_reason(
        status: StatusCode,
        outcome: OutcomeKind,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Self {
        let retry_after_ms = retry_after.map(|d| d.as_millis() as u64);
        let body =
            serde_json::to_vec(&ReasonBody { outcome, reason, retry_after_ms }).unwrap_or_default();
        Answer { status, outcome, body: body.into(), retry_after }
    }

    /// Refuses invalid input; the request did not run.
    pub fn bad_input(status: StatusCode, reason: &str) -> Self {
        Self::with_reason(status, OutcomeKind::NotRun, reason, None)
    }

    /// Refuses a request for lack of capacity or because the log is unavailable; the request did not run.
    pub fn refused(reason: &str, retry_after: Duration) -> Self {
        Self::with_reason(
            StatusCode::SERVICE_UNAVAILABLE,
            OutcomeKind::NotRun,
            reason,
            Some(retry_after),
        )
    }

    /// The request was accepted, or the log has not decided yet whether it is accepted.
    pub fn pending(reason: &str, retry_after: Duration) -> Self {
        Self::with_reason(StatusCode::ACCEPTED, OutcomeKind::Pending, reason, Some(retry_after))
    }

    /// The request may have run.
    pub fn unknown(reason: &str) -> Self {
        Self::with_reason(StatusCode::BAD_GATEWAY, OutcomeKind::Unknown, reason, None)
    }

    /// The complete response of an upstream.
    pub fn done(status: StatusCode, body: Bytes) -> Self {
        Answer { status, outcome: OutcomeKind::Done, body, retry_after: None }
    }

    /// The response for the recorded state of a job.
    pub fn from_job(job: &Job, poll_after: Duration) -> Self {
        match &job.phase {
            JobPhase::Queued => Self::pending("accepted, not started", poll_after),
            JobPhase::Claimed(_) => Self::pending("accepted, started", poll_after),
            JobPhase::Done { status, answer, .. } => {
                let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::OK);
                Self::done(status, answer.clone().into())
            }
            JobPhase::Cancelled { .. } if !job.failures.is_empty() => {
                Self::unknown("cancelled after a failed attempt, which may have had effect")
            }
            JobPhase::Cancelled { .. } => Self::with_reason(
                StatusCode::GONE,
                OutcomeKind::Cancelled,
                "cancelled before it ran",
                None,
            ),
            JobPhase::Parked { reason, .. } => {
                Self::with_reason(StatusCode::CONFLICT, OutcomeKind::Parked, reason, None)
            }
            JobPhase::OutcomeUnknown { reason, .. } => Self::unknown(reason),
        }
    }

    /// Adapts the response to a request whose key was sent before. A refusal covers this submission only: an earlier
    /// one may still be in transit to the log, or be recorded by a node that has read further, so it is not certain
    /// that the work did not run. Such a refusal is answered as pending.
    pub fn for_resubmission(self) -> Self {
        match (self.outcome, self.retry_after) {
            (OutcomeKind::NotRun, Some(retry_after)) => Self::pending(
                "refused for now; an earlier submission under this key may have been accepted",
                retry_after,
            ),
            _ => self,
        }
    }

    /// Converts to an HTTP response with the given request id.
    pub fn into_response(self, request_id: &CompactString) -> Response<Bytes> {
        let mut response = Response::with_body(self.status, self.body);
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&format!("{}", self.outcome)) {
            headers.insert(OUTCOME, value);
        }
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(REQUEST_ID, value);
        }
        if let Some(wait) = self.retry_after {
            headers
                .insert(actix_http::header::RETRY_AFTER, HeaderValue::from(wait.as_secs().max(1)));
        }
        response
    }
}
