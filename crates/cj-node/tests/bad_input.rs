//! Invalid requests, sent over plain TCP connections, that a node must refuse without running anything.

mod common;

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream};

use cj_standin::{body_key, expected_answer};
use common::{TestCluster, exchange, read_reply, submission};

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// A request with the given request line and header lines.
fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nhost: n\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
        .into_bytes()
}

const CALLER_HEADERS: &str = "x-caller: c\r\nx-team: pans\r\n";
const KEYED_HEADERS: &str = "x-caller: c\r\nx-team: pans\r\nidempotency-key: refused\r\n";

/// Case name, request bytes and expected status.
fn bad_requests() -> Vec<(&'static str, Vec<u8>, u16)> {
    let post =
        |path: &str, headers: &str, body: &str| request(&format!("POST {path}"), headers, body);
    let large = "b".repeat(65 * 1024);
    let chunked = format!(
        "POST /v1/yields/yields HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n{CALLER_HEADERS}\r\n{:x}\r\n{large}\r\n0\r\n\r\n",
        large.len()
    );
    let declared = format!(
        "POST /v1/yields/yields HTTP/1.1\r\nhost: n\r\n{CALLER_HEADERS}content-length: 10000000\r\n\r\nb"
    );
    let long = format!("{CALLER_HEADERS}x-padding: {}\r\n", "p".repeat(256 * 1024));
    let mut not_text = b"POST /v1/yields/yields HTTP/1.1\r\nhost: n\r\nconnection: close\r\nx-team: pans\r\nx-caller: ".to_vec();
    not_text.extend_from_slice(b"\xff\xfe\r\ncontent-length: 1\r\n\r\nb");
    vec![
        ("oversized headers", post("/v1/yields/yields", &long, "b"), 431),
        ("not HTTP", b"\x16\x03\x01\x02 nonsense\r\n\r\n".to_vec(), 400),
        ("oversized declared body", declared.into_bytes(), 413),
        ("oversized chunked body", chunked.into_bytes(), 413),
        ("wrong method", request("PUT /v1/yields/yields", CALLER_HEADERS, "b"), 405),
        ("wrong method on a job", request("PUT /v1/jobs/c/k", CALLER_HEADERS, "b"), 405),
        ("malformed job id", request("GET /v1/jobs/nokey", "", ""), 400),
        ("unknown path", post("/v2/yields", CALLER_HEADERS, "b"), 404),
        ("unknown service", post("/v1/nothing/yields", CALLER_HEADERS, "b"), 404),
        ("unknown class", post("/v1/yields/nothing", CALLER_HEADERS, "b"), 404),
        ("malformed class", post("/v1/yields/a%20b", CALLER_HEADERS, "b"), 400),
        (
            "class that the pool does not accept",
            post("/v1/yields/readings", KEYED_HEADERS, "b"),
            422,
        ),
        ("missing caller", post("/v1/yields/yields", "x-team: pans\r\n", "b"), 400),
        ("missing team", post("/v1/yields/yields", "x-caller: c\r\n", "b"), 400),
        ("header that is not UTF-8", not_text, 400),
        (
            "deadline that is no number",
            post("/v1/yields/yields", &format!("{CALLER_HEADERS}x-deadline-ms: soon\r\n"), "b"),
            400,
        ),
        (
            "negative deadline",
            post("/v1/yields/yields", &format!("{CALLER_HEADERS}x-deadline-ms: -1\r\n"), "b"),
            400,
        ),
        (
            "largest deadline with an unknown class",
            post(
                "/v1/yields/nothing",
                &format!("{CALLER_HEADERS}x-deadline-ms: 18446744073709551615\r\n"),
                "b",
            ),
            404,
        ),
        ("recorded work without a key", post("/v1/readings/readings", CALLER_HEADERS, "b"), 400),
        ("task without a key", post("/v1/separations/separations", CALLER_HEADERS, "b"), 400),
        (
            "recorded body over 4 KiB",
            post("/v1/readings/readings", KEYED_HEADERS, &"b".repeat(4097)),
            413,
        ),
        (
            "task body over 4 KiB",
            post("/v1/separations/separations", KEYED_HEADERS, &"b".repeat(4097)),
            413,
        ),
        (
            "task that fits no worker",
            post(
                "/v1/separations/separations",
                &format!("{KEYED_HEADERS}x-millicores: 99000000\r\n"),
                "b",
            ),
            422,
        ),
    ]
}

/// Guards against refusals that do not state whether the work ran, against refused work that runs all the same, and
/// against a node that stops serving after invalid input.
#[actix_rt::test]
async fn refusals_are_clear_and_nothing_runs() {
    let cluster = TestCluster::start(1, SERVICE_TIME).await;
    for (case, bytes, status) in bad_requests() {
        let reply = exchange(cluster.caller_address(0), &bytes).await;
        let reply = reply.unwrap_or_else(|| panic!("{case}: no answer"));
        assert_eq!(reply.status, status, "{case}: {reply:?}");
        reply.assert_refused(case);
    }
    let reply = cluster.submit(0, "yields", "k", "after").await.expect("an answer");
    assert_eq!((reply.status, reply.outcome()), (200, "done"), "{reply:?}");
    assert_eq!(reply.body, expected_answer("", b"after"));
    assert_eq!(cluster.all_runs(), [body_key(b"after")], "only the accepted request ran");
}

/// Guards against leaving a client without an answer when it sends the head or the body of its request too slowly.
#[actix_rt::test]
async fn slow_senders_get_an_answer() {
    let cluster = TestCluster::start(1, SERVICE_TIME).await;
    let whole = submission("readings", "slow", "body");
    let table = [("half a head", &whole[..60]), ("half a body", &whole[..whole.len() - 2])];
    for (case, part) in table {
        let mut stream = TcpStream::connect(cluster.caller_address(0)).await.expect("a connection");
        stream.write_all(part.as_bytes()).await.expect("a write");
        let reply = read_reply(&mut stream).await.unwrap_or_else(|| panic!("{case}: no answer"));
        assert_eq!(reply.status, 408, "{case}: {reply:?}");
        reply.assert_refused(case);
    }
    assert!(cluster.all_runs().is_empty());
    let reply = cluster.submit(0, "readings", "slow", "body").await.expect("an answer");
    assert_eq!(reply.outcome(), "done", "{reply:?}");
}

/// Guards against running a request whose sender disconnected before it was complete.
#[actix_rt::test]
async fn half_requests_run_nothing() {
    let cluster = TestCluster::start(1, SERVICE_TIME).await;
    for class in ["yields", "readings", "separations"] {
        let whole = submission(class, "half", "body");
        for end in [10, 60, whole.len() - 4, whole.len() - 1] {
            let mut stream =
                TcpStream::connect(cluster.caller_address(0)).await.expect("a connection");
            stream.write_all(&whole.as_bytes()[..end]).await.expect("a write");
            stream.shutdown().await.expect("a shutdown");
            // If there is an answer, it must not claim that the request ran.
            if let Some(reply) = read_reply(&mut stream).await {
                reply.assert_refused(&format!("{class} cut at {end}"));
            }
        }
    }
    let reply = cluster.submit(0, "readings", "whole", "body").await.expect("an answer");
    assert_eq!(reply.outcome(), "done", "{reply:?}");
    assert_eq!(cluster.all_runs(), ["caller-readings/whole"]);
}

/// Guards against running a second body under an idempotency key, and against running a repeated submission twice.
#[actix_rt::test]
async fn a_key_belongs_to_one_body() {
    let cluster = TestCluster::start(1, SERVICE_TIME).await;
    for (class, outcome) in [("readings", "done"), ("tallies", "done"), ("separations", "pending")]
    {
        let job = format!("{}/once", common::caller_of(class));
        let first = cluster.submit(0, class, "once", "first").await.expect("an answer");
        assert_eq!(first.outcome(), outcome, "{class}: {first:?}");
        let other = cluster.submit(0, class, "once", "second").await.expect("an answer");
        assert_eq!(other.status, 409, "{class}: {other:?}");
        other.assert_refused(class);
        let done = cluster.wait_outcome(0, class, "once", "done").await;
        let again = cluster.submit(0, class, "once", "first").await.expect("an answer");
        assert_eq!(again.body, expected_answer(&job, b"first"), "{class}");
        assert_eq!(done.body, again.body, "{class}");
        assert_eq!(cluster.runs(&job).starts, 1, "{class}");
    }
}
