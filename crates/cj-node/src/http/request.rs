//! Parses and validates the HTTP requests of callers.

use std::time::Duration;

use actix_http::{HttpMessage, Method, Request, StatusCode, header::HeaderMap};
use bytes::Bytes;

use cj_types::{CallerId, ClassId, IdempotencyKey, JobId, ServiceId, TeamId};

use super::Answer;

/// Largest accepted request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest body of recorded work in bytes; it has to fit into a log entry.
pub const MAX_RECORDED_BYTES: usize = 4 * 1024;

/// The parsed path and headers of a request for work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkRequest {
    /// Requested service.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Team whose quota the request counts against.
    pub team: TeamId,
    /// Idempotency key of the caller, required for recorded work.
    pub key: Option<IdempotencyKey>,
    /// Time limit set by the caller; the deadline of the class applies if it is shorter.
    pub deadline: Option<Duration>,
    /// True when the caller sent the same key before and got no final answer.
    pub resubmit: bool,
    /// Declared run time of a task in milliseconds.
    pub run_ms: Option<u32>,
    /// Declared cores of a task, in thousandths.
    pub millicores: Option<u32>,
    /// Declared memory of a task in mebibytes.
    pub memory_mib: Option<u32>,
    /// Declared accelerators of a task.
    pub accelerators: Option<u32>,
}

/// Path of one job in the caller API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPath(pub JobId);

fn bad_request(reason: String) -> Answer {
    Answer::bad_input(StatusCode::BAD_REQUEST, &reason)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Answer> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value =
        value.to_str().map_err(|_| bad_request(format!("header `{name}` is not plain text")))?;
    Ok(Some(value.trim()))
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Answer>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = header_text(headers, name)? else { return Ok(None) };
    value.parse().map(Some).map_err(|e| bad_request(format!("header `{name}`: {e}")))
}

fn require_header<T>(headers: &HeaderMap, name: &str) -> Result<T, Answer>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    parse_header(headers, name)?
        .ok_or_else(|| bad_request(format!("header `{name}` is missing; add it")))
}

impl TryFrom<&Request> for WorkRequest {
    type Error = Answer;

    fn try_from(request: &Request) -> Result<Self, Answer> {
        let path = request.path();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let ["v1", service, class] = parts[..] else {
            let reason = "unknown path; use POST /v1/SERVICE/CLASS or GET /v1/jobs/CALLER/KEY";
            return Err(Answer::bad_input(StatusCode::NOT_FOUND, reason));
        };
        if request.method() != Method::POST {
            return Err(Answer::bad_input(
                StatusCode::METHOD_NOT_ALLOWED,
                "use POST to ask for work",
            ));
        }
        let headers = request.headers();
        let deadline: Option<u64> = parse_header(headers, "x-deadline-ms")?;
        Ok(WorkRequest {
            service: service.parse().map_err(|e| bad_request(format!("{e}")))?,
            class: class.parse().map_err(|e| bad_request(format!("{e}")))?,
            caller: require_header(headers, "x-caller")?,
            team: require_header(headers, "x-team")?,
            key: parse_header(headers, "idempotency-key")?,
            deadline: deadline.map(Duration::from_millis),
            resubmit: header_text(headers, "x-resubmit")?.is_some_and(|v| v != "0"),
            run_ms: parse_header(headers, "x-run-ms")?,
            millicores: parse_header(headers, "x-millicores")?,
            memory_mib: parse_header(headers, "x-memory-mib")?,
            accelerators: parse_header(headers, "x-accelerators")?,
        })
    }
}

impl JobPath {
    /// Parses `/v1/jobs/CALLER/KEY`; `None` for any other path.
    pub fn parse(request: &Request) -> Option<Result<Self, Answer>> {
        let rest = request.path().strip_prefix("/v1/jobs/")?;
        Some(rest.parse().map(JobPath).map_err(|e| bad_request(format!("{e}"))))
    }
}

/// Reads the whole body, within [`MAX_BODY_BYTES`] and the time limit.
pub async fn read_body(request: &mut Request) -> Result<Bytes, Answer> {
    let read = cj_http::read_body(request, MAX_BODY_BYTES).await;
    read.map_err(|e| Answer::bad_input(e.status(), &e.to_string()))
}
