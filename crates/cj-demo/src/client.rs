//! HTTP client for entry nodes: sends calls and interprets the answers.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use serde::de::DeserializeOwned;

use cj_log::is_unsent;

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Answer of an entry node about one work item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It completed; the body is its answer.
    Done(Bytes),
    /// It's queued or running.
    Pending {
        /// True when the node says that the work is recorded.
        accepted: bool,
    },
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The node gave it up, with evidence.
    Parked,
    /// It was cancelled before it ran.
    Cancelled,
    /// The node doesn't know the job.
    Missing,
    /// The connection was lost, the call timed out, or the answer doesn't follow the contract.
    NoAnswer,
    /// No connection was opened, so nothing was sent.
    NotConnected,
}

/// Creates a client that only limits the time of connecting; every call has its own timeout.
pub fn client() -> Client {
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).limit(0);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Sends one request about a work item and interprets the answer. `limit` is the timeout.
pub async fn call(
    client: &Client,
    method: Method,
    url: &str,
    headers: &[(&'static str, String)],
    body: Bytes,
    limit: Duration,
) -> Reply {
    let is_get = method == Method::GET;
    let mut request = client.request(method, url);
    for (name, value) in headers {
        request = request.insert_header((*name, value.as_str()));
    }
    let exchange = async {
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(e) if is_unsent(&e) => return Reply::NotConnected,
            Err(_) => return Reply::NoAnswer,
        };
        let status = response.status();
        let outcome = response.headers().get("x-outcome").and_then(|v| v.to_str().ok());
        let outcome = outcome.unwrap_or_default().to_owned();
        match response.body().limit(MAX_ANSWER_BYTES).await {
            Ok(body) => parse_reply(status, &outcome, body, is_get),
            Err(_) => Reply::NoAnswer,
        }
    };
    tokio::time::timeout(limit, exchange).await.unwrap_or(Reply::NoAnswer)
}

fn parse_reply(status: StatusCode, outcome: &str, body: Bytes, is_get: bool) -> Reply {
    match outcome {
        "done" => Reply::Done(body),
        "pending" => {
            let explanation: Option<serde_json::Value> = serde_json::from_slice(&body).ok();
            let reason = explanation.as_ref().and_then(|value| value["reason"].as_str());
            Reply::Pending { accepted: reason.is_some_and(|r| r.starts_with("accepted")) }
        }
        _ if is_get && status == StatusCode::NOT_FOUND => Reply::Missing,
        "not-run" => Reply::NotRun,
        "unknown" => Reply::Unknown,
        "parked" => Reply::Parked,
        "cancelled" => Reply::Cancelled,
        _ => Reply::NoAnswer,
    }
}

/// Reads a JSON document from an operator address. Returns `None` on any failure, and after the timeout `limit`.
pub async fn get_json<T>(
    client: &Client,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Option<T>
where
    T: DeserializeOwned,
{
    let exchange = async {
        let mut response = client.get(format!("http://{address}{path}")).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}
