//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use actix_http::{HttpMessage, Request, StatusCode};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString};
use derive_more::Display;
use futures::StreamExt;

/// Time for a client to send its whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Error while reading a request body.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than this limit in bytes.
    #[display("body is larger than {_0} bytes; send less")]
    TooLarge(usize),
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
            BodyError::Incomplete(_) => StatusCode::BAD_REQUEST,
            BodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads the body of a request, at most `limit` bytes.
///
/// # Errors
///
/// [`BodyError`] when the body is too large, is incomplete, or does not arrive in time.
pub async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let length = request.headers().get("content-length").and_then(|value| value.to_str().ok());
    let declared_length = length.and_then(|text| text.trim().parse::<usize>().ok());
    if declared_length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge(limit));
    }
    let mut payload = request.take_payload();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|e| BodyError::Incomplete(e.to_compact_string()))?;
            if body.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    tokio::time::timeout(BODY_TIMEOUT, read).await.unwrap_or(Err(BodyError::TimedOut))
}
