//! HTTP client of the platform's log service.

use std::time::Duration;

use awc::{
    Client, Connector,
    error::{PayloadError, SendRequestError},
    http::{StatusCode, Uri},
};
use serde::Deserialize;

use cj_http::is_unsent;
use cj_types::{Error, ErrorKind, Offset, Result, StreamId};

use crate::{
    memory::gap_error,
    service::{LogService, ReadPage},
};

const SERVICE: &str = "log";
/// Timeout of a call in addition to the wait that it requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes by which a page may exceed the requested maximum: one record, plus offsets and lengths.
const PAGE_OVERHEAD: usize = 128 * 1024;
const MAX_RESPONSE_BYTES: usize = 4 * 1024;

/// Client of the platform's log service over HTTP/1.1.
#[derive(Clone)]
pub struct HttpLog {
    base_url: String,
    client: Client,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

/// Body of the 410 response to a read from an offset that is no longer retained.
#[derive(Deserialize)]
struct GapResponse {
    oldest: Offset,
}

impl HttpLog {
    /// Creates a client for the log at `address` (`ip:port`). Fails on an invalid address.
    pub fn new(address: &str) -> Result<Self> {
        let base_url = format!("http://{address}");
        base_url
            .parse::<Uri>()
            .map_err(|_| Error::invalid("log address", address, "use IP:PORT"))?;
        let connector = Connector::new().timeout(CONNECT_TIMEOUT);
        // A redirected or repeated append would be a second call that the writer isn't aware of.
        let client = Client::builder().connector(connector).disable_redirects().finish();
        Ok(HttpLog { base_url, client })
    }
}

impl LogService for HttpLog {
    async fn append(&self, stream: &StreamId, record: Vec<u8>) -> Result<Offset> {
        let url = format!("{}/v1/streams/{stream}/records", self.base_url);
        let call = self.client.post(url).timeout(CALL_TIMEOUT).send_body(record);
        let mut response = call.await.map_err(|e| send_error(&e))?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response.status()));
        }
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| body_error(&e))?;
        // The append took effect, but its offset isn't known until it is read back.
        let parsed: AppendResponse = serde_json::from_slice(&body)
            .map_err(|e| unanswered(format!("malformed response: {e}")))?;
        Ok(parsed.offset)
    }

    async fn read(
        &self,
        stream: &StreamId,
        from: Offset,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<ReadPage> {
        let url = format!(
            "{}/v1/streams/{stream}/records?from={from}&max_bytes={max_bytes}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        let call = self.client.get(url).timeout(wait + CALL_TIMEOUT).send();
        let mut response = call.await.map_err(|e| send_error(&e))?;
        let status = response.status();
        let limit = max_bytes + PAGE_OVERHEAD;
        if status == StatusCode::GONE {
            let body = response.body().limit(limit).await.unwrap_or_default();
            // Without a readable body, only the lower bound of the oldest offset is known.
            let oldest =
                serde_json::from_slice::<GapResponse>(&body).map_or(from.next(), |gap| gap.oldest);
            return Err(gap_error(stream, from, oldest.max(from.next())));
        }
        if status != StatusCode::OK {
            return Err(status_error(status));
        }
        let body = response.body().limit(limit).await.map_err(|e| body_error(&e))?;
        decode_page(&body)
    }
}

/// Decodes a page of records as sent by the log. Fails on truncated pages and on trailing bytes.
pub fn decode_page(bytes: &[u8]) -> Result<ReadPage> {
    let invalid = |problem: &str| Error::decode("page of records", problem);
    let (page, rest) =
        postcard::take_from_bytes::<ReadPage>(bytes).map_err(|e| invalid(&e.to_string()))?;
    if !rest.is_empty() {
        return Err(invalid("trailing bytes"));
    }
    Ok(page)
}

fn send_error(error: &SendRequestError) -> Error {
    if is_unsent(error) { refused(error.to_string()) } else { unanswered(error.to_string()) }
}

/// The log responds with 4xx before it stores anything, except 408, which leaves that open. A 5xx may come from a proxy
/// that lost the response.
fn status_error(status: StatusCode) -> Error {
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        refused(status.to_string())
    } else {
        unanswered(status.to_string())
    }
}

fn body_error(error: &PayloadError) -> Error {
    unanswered(error.to_string())
}

fn refused(reason: String) -> Error {
    let kind = ErrorKind::Refused { service: SERVICE, reason: reason.into() };
    Error::new(kind, "check the address of the log and its load")
}

fn unanswered(reason: String) -> Error {
    let kind = ErrorKind::Unanswered { service: SERVICE, reason: reason.into() };
    Error::new(kind, "check that the log is reachable")
}
