//! HTTP client for the operator address of a node.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde_json::Value;

use cj_types::{Error, ErrorKind, Result};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Runs a future to completion on a new runtime.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(future)
}

/// Client for the operator address of one node.
pub struct NodeClient {
    client: Client,
    address: SocketAddr,
}

fn unanswered(address: SocketAddr, reason: impl std::fmt::Display) -> Error {
    let reason = format!("{address}: {reason}").into();
    let help = "check that the node runs and that this is its operator address";
    Error::new(ErrorKind::Unanswered { service: "node", reason }, help)
}

impl NodeClient {
    /// Creates a client for the node whose operator address is `address`.
    pub fn new(address: SocketAddr) -> Self {
        NodeClient { client: Client::builder().timeout(CALL_TIMEOUT).finish(), address }
    }

    /// Sends a GET request; returns the HTTP status and the JSON answer.
    ///
    /// # Errors
    ///
    /// The node doesn't answer, or the answer isn't JSON.
    pub async fn get(&self, path: &str) -> Result<(u16, Value)> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        let mut response = request.send().await.map_err(|e| unanswered(self.address, e))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| unanswered(self.address, e))?;
        self.decode(response.status().as_u16(), &body)
    }

    /// Sends a POST request; returns the HTTP status and the JSON answer.
    ///
    /// # Errors
    ///
    /// The node doesn't answer, or the answer isn't JSON.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> Result<(u16, Value)> {
        let request = self.client.post(format!("http://{}{path}", self.address));
        let sent = request.send_body(body).await;
        let mut response = sent.map_err(|e| unanswered(self.address, e))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| unanswered(self.address, e))?;
        self.decode(response.status().as_u16(), &body)
    }

    fn decode(&self, status: u16, body: &[u8]) -> Result<(u16, Value)> {
        let value = serde_json::from_slice(body).map_err(|e| unanswered(self.address, e))?;
        Ok((status, value))
    }
}
