//! Reads request bodies with a size limit, a timeout and a budget.

use std::{
    future::poll_fn,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{BoxedPayloadStream, HttpMessage, Payload, Request, StatusCode};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use derive_more::Display;
use futures::StreamExt;

use crate::{
    body_budget::{BodyBudget, ChargedBody, OverBudget},
    connection::Activity,
};

/// Time for a client to send its whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Error while reading a request body.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than this limit in bytes.
    #[display("body is larger than {_0} bytes; send less")]
    TooLarge(usize),
    /// The memory for the bodies of all requests is used up.
    #[display("no memory for the body; not run, try again later")]
    OverBudget,
    /// The body ended early.
    #[display("body is incomplete: {_0}")]
    Incomplete(CompactString),
    /// The body did not arrive in time.
    #[display("body did not arrive within 5 s")]
    TimedOut,
}

impl BodyError {
    /// HTTP status for the response.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::OverBudget => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Incomplete(_) => StatusCode::BAD_REQUEST,
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

impl From<OverBudget> for BodyError {
    fn from(_: OverBudget) -> Self {
        BodyError::OverBudget
    }
}

/// Reads the body of a request, at most `limit` bytes. It counts toward the budget of its listener until the request ends.
///
/// # Errors
///
/// [`BodyError`] when the body is too large, is incomplete, does not arrive in time, or there is no memory for it.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let length = request.headers().get("content-length").and_then(|value| value.to_str().ok());
    let declared_length = length.and_then(|text| text.trim().parse::<usize>().ok());
    if declared_length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge(limit));
    }
    let activity = request.conn_data::<Rc<Activity>>().cloned().unwrap_or_default();
    let budget = request.conn_data::<BodyBudget>().cloned().unwrap_or_default();
    let body = activity.start_body(&budget);
    let mut reader = BodyReader {
        payload: request.take_payload(),
        activity: activity.clone(),
        body,
        declared_length,
        length: 0,
        limit,
    };
    let result = tokio::time::timeout(BODY_TIMEOUT, reader.read()).await;
    let result = result.unwrap_or(Err(BodyError::TimedOut));
    activity.end_body(result.is_ok());
    result
}

/// Charges the budget of a request's listener with `bytes` that the request takes beside its body, which has been read. They are
/// given back when the request ends.
///
/// # Errors
///
/// [`BodyError::OverBudget`] when there is no memory for them.
pub fn charge_request(request: &Request, bytes: usize) -> Result<(), BodyError> {
    let activity = request.conn_data::<Rc<Activity>>();
    let body = activity.and_then(|activity| activity.body());
    body.map_or(Ok(()), |body| body.add(bytes)).map_err(BodyError::from)
}

/// A body that is being received.
struct BodyReader {
    payload: Payload<BoxedPayloadStream>,
    activity: Rc<Activity>,
    body: Rc<ChargedBody>,
    declared_length: Option<usize>,
    /// Number of bytes received so far.
    length: usize,
    limit: usize,
}

impl BodyReader {
    async fn read(&mut self) -> Result<Bytes, BodyError> {
        while let Some(chunk) = poll_fn(|cx| self.poll_chunk(cx)).await? {
            self.length += chunk.len();
            if self.length > self.limit {
                return Err(BodyError::TooLarge(self.limit));
            }
            self.body.append(&chunk, self.declared_length.unwrap_or(self.limit))?;
        }
        Ok(self.body.complete().into())
    }

    /// The next part of the body. The connection reads more only when all that it has read has been taken.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyError>> {
        if self.body.is_refused() {
            return Poll::Ready(Err(BodyError::OverBudget));
        }
        let Poll::Ready(chunk) = self.payload.poll_next_unpin(cx) else {
            self.body.set_reader(cx.waker());
            self.activity.read_body_bytes(self.declared_length.map(|length| length - self.length));
            return Poll::Pending;
        };
        let incomplete =
            |e: actix_http::error::PayloadError| BodyError::Incomplete(e.to_compact_string());
        Poll::Ready(chunk.transpose().map_err(incomplete))
    }
}
