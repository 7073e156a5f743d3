//! Answers to callers. Every answer says in a machine-readable way whether the request ran.

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

/// What became of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// It ran; the body is its whole answer.
    #[display("done")]
    Done,
    /// It is accepted and will end in a final state, or its acceptance isn't decided yet.
    #[display("pending")]
    Pending,
    /// It certainly did not run and won't.
    #[display("not-run")]
    NotRun,
    /// It may or may not have run.
    #[display("unknown")]
    Unknown,
    /// It was given up with evidence.
    #[display("parked")]
    Parked,
    /// It was cancelled before it ran.
    #[display("cancelled")]
    Cancelled,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: OutcomeKind,
    /// Body of the upstream's answer, or a JSON explanation.
    pub body: Bytes,
    /// When it makes sense to try again.
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
    /// An answer with a JSON explanation as body.
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

    /// A refusal of bad input; the request did not run.
    pub fn bad_input(status: StatusCode, reason: &str) -> Self {
        Self::with_reason(status, OutcomeKind::NotRun, reason, None)
    }

    /// A refusal for lack of capacity or of the log; the request did not run.
    pub fn refused(reason: &str, retry_after: Duration) -> Self {
        Self::with_reason(
            StatusCode::SERVICE_UNAVAILABLE,
            OutcomeKind::NotRun,
            reason,
            Some(retry_after),
        )
    }

    /// The request is accepted, or its acceptance isn't decided yet.
    pub fn pending(reason: &str, retry_after: Duration) -> Self {
        Self::with_reason(StatusCode::ACCEPTED, OutcomeKind::Pending, reason, Some(retry_after))
    }

    /// The request may have run.
    pub fn unknown(reason: &str) -> Self {
        Self::with_reason(StatusCode::BAD_GATEWAY, OutcomeKind::Unknown, reason, None)
    }

    /// The whole answer of an upstream.
    pub fn done(status: StatusCode, body: Bytes) -> Self {
        Answer { status, outcome: OutcomeKind::Done, body, retry_after: None }
    }

    /// The answer that the recorded state of a job gives.
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

    /// The answer to a request whose key was sent before. A refusal covers this submission only: an earlier one may be on
    /// its way through the log or recorded by a node that is ahead, so it's not known that the work did not run.
    pub fn for_resubmission(self) -> Self {
        match (self.outcome, self.retry_after) {
            (OutcomeKind::NotRun, Some(retry_after)) => Self::pending(
                "refused for now; an earlier submission under this key may have been accepted",
                retry_after,
            ),
            _ => self,
        }
    }

    /// Turns the answer into an HTTP response for the request with the given id.
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
