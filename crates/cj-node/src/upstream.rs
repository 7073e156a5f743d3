//! HTTP client of the upstreams (minions). It distinguishes answered requests, those that certainly did not run, and
//! those with an unknown outcome.

use std::time::Duration;

use awc::Client;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};

use cj_log::is_unsent;
use cj_types::{JobId, ServiceId, Token};

/// Largest response body that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One call to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id, for log lines and the `x-request-id` header.
    pub request_id: CompactString,
    /// Requested service.
    pub service: ServiceId,
    /// Body of the request.
    pub body: Bytes,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Job and fencing token, for recorded work.
    pub fence: Option<(JobId, Token)>,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The upstream sent a complete response.
    Answered {
        /// HTTP status.
        status: u16,
        /// The complete body.
        body: Bytes,
        /// Busy slots of the upstream, if it reported them.
        load: Option<u32>,
    },
    /// The upstream was not reached, or reported that it did not run the request.
    NotRun {
        /// Reason, for log lines and the recorded outcome.
        reason: CompactString,
        /// Busy slots of the upstream, if it answered and reported them.
        load: Option<u32>,
    },
    /// The request may have run.
    Unknown {
        /// Reason, for log lines and the recorded outcome.
        reason: CompactString,
    },
}

/// HTTP client of the upstreams.
#[derive(Clone)]
pub struct UpstreamClient {
    client: Client,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        UpstreamClient { client: client(CONNECT_TIMEOUT) }
    }
}

/// An HTTP client with the given time limit for opening connections and no limit for the whole request.
pub(crate) fn client(connect_timeout: Duration) -> Client {
    let connector = awc::Connector::new().timeout(connect_timeout).limit(0);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

impl UpstreamClient {
    /// Sends a call and waits for the complete response, at most until the deadline.
    pub async fn send(&self, address: &str, call: &Call) -> Reply {
        match tokio::time::timeout(call.remaining, self.exchange(address, call)).await {
            Ok(reply) => reply,
            Err(_) => Reply::Unknown { reason: "no answer within the deadline".into() },
        }
    }

    async fn exchange(&self, address: &str, call: &Call) -> Reply {
        let mut request = self
            .client
            .post(format!("http://{address}/{}", call.service))
            .insert_header(("x-request-id", call.request_id.as_str()))
            .insert_header(("x-deadline-ms", call.remaining.as_millis().to_string()));
        if let Some((job, token)) = &call.fence {
            request = request
                .insert_header(("x-job-key", job.to_string()))
                .insert_header(("x-fencing-token", token.to_string()));
        }
        let mut response = match request.send_body(call.body.clone()).await {
            Ok(response) => response,
            Err(e) if is_unsent(&e) => {
                return Reply::NotRun { reason: format_compact!("not connected: {e}"), load: None };
            }
            Err(e) => return Reply::Unknown { reason: format_compact!("connection lost: {e}") },
        };
        let header = |name: &str| {
            response.headers().get(name).and_then(|v| v.to_str().ok()).map(CompactString::from)
        };
        let load = header("x-load").and_then(|v| v.parse().ok());
        let refused = header("x-not-run").is_some();
        let length: Option<usize> = header("content-length").and_then(|v| v.parse().ok());
        let status = response.status().as_u16();
        match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(_) if refused => Reply::NotRun {
                reason: format_compact!("upstream refused with status {status}"),
                load,
            },
            Ok(body) if length.is_some_and(|n| n != body.len()) => {
                Reply::Unknown { reason: "answer is shorter than announced".into() }
            }
            Ok(body) => Reply::Answered { status, body, load },
            Err(e) => Reply::Unknown { reason: format_compact!("answer is incomplete: {e}") },
        }
    }
}
