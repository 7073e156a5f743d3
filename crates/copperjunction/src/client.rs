//! Client of a node's operator address.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use serde_json::Value;

use cj_types::{Error, ErrorKind, Result};

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Runs a future on a runtime of its own.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(future)
}

/// Client of the operator address of one node.
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
    /// A client of the node at `address`.
    pub fn new(address: SocketAddr) -> Self {
        NodeClient { client: Client::builder().timeout(CALL_TIMEOUT).finish(), address }
    }

    /// Reads a JSON document.
    pub async fn get(&self, path: &str) -> Result<(u16, Value)> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        let mut response = request.send().await.map_err(|e| unanswered(self.address, e))?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|e| unanswered(self.address, e))?;
        self.decode(response.status().as_u16(), &body)
    }

    /// Posts bytes and reads the JSON answer.
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
