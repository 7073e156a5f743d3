//! Limits on what connections hold: the budget for bodies, what is read ahead, and the number of connections.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cj_http::{BodyBudget, Listener, Shutdown, read_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
};

/// Budget of the listeners.
const BUDGET_BYTES: usize = 400 << 10;

/// Size limit of a body.
const MAX_BODY_BYTES: usize = 300 << 10;

/// Time between two looks at the state of a listener.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A listener that answers with the length of the body. Requests for `/held` wait until they are released.
struct TestServer {
    address: SocketAddr,
    budget: BodyBudget,
    shutdown: Shutdown,
    received: Rc<Notify>,
    release: Rc<Notify>,
}

impl TestServer {
    async fn start(max_connections: usize) -> Self {
        let (budget, shutdown) = (BodyBudget::new(BUDGET_BYTES), Shutdown::default());
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let listener = listener.with_max_connections(max_connections).with_budget(budget.clone());
        let address = listener.address();
        let (received, release) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (for_received, for_release) = (received.clone(), release.clone());
        let handler = move |mut request: actix_http::Request| {
            let (received, release) = (for_received.clone(), for_release.clone());
            async move {
                if request.path() == "/ignored" {
                    return respond(StatusCode::NOT_FOUND, "ignored");
                }
                let body = match read_body(&mut request, MAX_BODY_BYTES).await {
                    Ok(body) => body,
                    Err(e) => return respond(e.status(), "refused"),
                };
                if request.path() == "/held" {
                    received.notify_one();
                    release.notified().await;
                }
                respond(StatusCode::OK, &format!("[{}]", body.len()))
            }
        };
        listener.serve(shutdown.clone(), |stream| stream, handler);
        TestServer { address, budget, shutdown, received, release }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// A connection on which a body of `length` bytes without its last byte has arrived.
    async fn connect_incomplete(&self, path: &str, length: usize) -> TcpStream {
        let before = self.budget.used();
        let mut stream = self.connect().await;
        stream.write_all(head(path, length).as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; length - 1]).await.unwrap();
        while self.budget.used() < before + length - 1 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        stream
    }

    /// Waits until the budget is free again.
    async fn wait_unused(&self) {
        while self.budget.used() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn respond(status: StatusCode, text: &str) -> Response<Bytes> {
    Response::with_body(status, Bytes::from(text.to_owned()))
}

fn head(path: &str, length: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n")
}

/// Reads until `end` arrives or the connection ends.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 1_024];
    while !text.ends_with(end) {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => text += std::str::from_utf8(&buffer[..count]).unwrap(),
            _ => break,
        }
    }
    text.to_lowercase()
}

/// Sends a complete request and reads its answer, which ends with the length of the body.
async fn post(stream: &mut TcpStream, path: &str, length: usize) -> String {
    stream.write_all(head(path, length).as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; length]).await.unwrap();
    read_until(stream, &format!("[{length}]")).await
}

/// Guards against incomplete bodies that use up the budget and keep smaller ones out.
#[actix_rt::test]
async fn largest_incomplete_body_is_refused_first() {
    let server = TestServer::start(8).await;
    let mut largest = server.connect_incomplete("/", 200 << 10).await;
    let mut large = server.connect_incomplete("/", 80 << 10).await;
    let answer = post(&mut server.connect().await, "/", 100 << 10).await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    let refusal = read_until(&mut largest, "refused").await;
    assert!(refusal.starts_with("http/1.1 503"), "{refusal}");
    assert!(refusal.contains("connection: close"), "{refusal}");
    large.write_all(b"x").await.unwrap();
    let answer = read_until(&mut large, "]").await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    assert_eq!(server.budget.refused(), 1);
    server.wait_unused().await;
}

/// Guards against a body that is refused although it is complete and its request is being carried out.
#[actix_rt::test]
async fn complete_body_is_not_refused() {
    let server = TestServer::start(8).await;
    let mut held = server.connect_incomplete("/held", 250 << 10).await;
    held.write_all(b"x").await.unwrap();
    server.received.notified().await;
    let answer = post(&mut server.connect().await, "/", 100 << 10).await;
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    let answer = post(&mut server.connect().await, "/", 60 << 10).await;
    assert!(
        answer.starts_with("http/1.1 200"),
        "part of the budget is kept for small bodies: {answer}"
    );
    server.release.notify_one();
    let answer = read_until(&mut held, "]").await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    server.wait_unused().await;
}

/// Guards against bytes that stay charged after a request has ended without an answer or with an error.
#[actix_rt::test]
async fn budget_is_given_back_whatever_way_a_request_ends() {
    let server = TestServer::start(8).await;
    drop(server.connect_incomplete("/", 100 << 10).await);
    server.wait_unused().await;
    let mut malformed = server.connect().await;
    let start =
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n4\r\nwork\r\nno chunk\r\n";
    malformed.write_all(start.as_bytes()).await.unwrap();
    let answer = read_until(&mut malformed, "refused").await;
    assert!(answer.starts_with("http/1.1 400"), "{answer}");
    server.wait_unused().await;
    let mut slow = server.connect_incomplete("/", 100 << 10).await;
    let answer = read_until(&mut slow, "refused").await;
    assert!(answer.starts_with("http/1.1 408"), "{answer}");
    server.wait_unused().await;
    let mut last = server.connect_incomplete("/", 100 << 10).await;
    server.shutdown.begin();
    last.write_all(b"x").await.unwrap();
    let answer = read_until(&mut last, "]").await;
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    server.wait_unused().await;
}

/// Guards against a connection that stays open, with a client that goes on sending, after a body was refused or ignored.
#[actix_rt::test]
async fn connection_with_an_unread_body_is_closed() {
    let server = TestServer::start(8).await;
    for (path, status) in [("/ignored", 404), ("/", 413)] {
        for framing in ["transfer-encoding: chunked", "content-length: 900000000"] {
            let mut stream = server.connect().await;
            let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\n{framing}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            let chunk = [b"4000\r\n".to_vec(), vec![b'x'; 0x4000], b"\r\n".to_vec()].concat();
            let (mut reader, mut writer) = stream.into_split();
            let sender =
                actix_rt::spawn(async move { while writer.write_all(&chunk).await.is_ok() {} });
            let mut answer = Vec::new();
            let _ = reader.read_to_end(&mut answer).await;
            let answer = String::from_utf8(answer).unwrap().to_lowercase();
            assert!(
                answer.starts_with(&format!("http/1.1 {status}")),
                "{path} {framing}: {answer}"
            );
            assert!(answer.contains("connection: close"), "{path} {framing}: {answer}");
            sender.await.unwrap();
        }
    }
}

/// Guards against a head that is too large and gets no answer.
#[actix_rt::test]
async fn head_without_an_end_is_answered() {
    let server = TestServer::start(8).await;
    let mut stream = server.connect().await;
    let start = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {}", "x".repeat(100_000));
    stream.write_all(start.as_bytes()).await.unwrap();
    let answer = read_until(&mut stream, "\r\n\r\n").await;
    assert!(answer.starts_with("http/1.1 431"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against limits on reading that stop a connection whose requests arrive in one piece, in many, or pipelined.
#[actix_rt::test]
async fn requests_of_any_form_are_answered_on_one_connection() {
    const PIPELINED: usize = 2_000;
    let server = TestServer::start(8).await;
    let mut stream = server.connect().await;
    for length in [0, 1, 900, 1_024, 8_192, MAX_BODY_BYTES] {
        let answer = post(&mut stream, "/", length).await;
        assert!(answer.starts_with("http/1.1 200"), "{length} bytes: {answer}");
    }
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = "1\r\nx\r\n".repeat(5_000);
    stream.write_all(format!("{chunked}{chunks}0\r\n\r\n").as_bytes()).await.unwrap();
    let answer = read_until(&mut stream, "]").await;
    assert!(answer.ends_with("[5000]"), "{answer}");
    for byte in head("/", 2).bytes().chain(*b"ab") {
        stream.write_all(&[byte]).await.unwrap();
    }
    assert!(read_until(&mut stream, "]").await.ends_with("[2]"));
    let long_head = format!("GET / HTTP/1.1\r\nhost: a\r\nx-long: {}\r\n\r\n", "x".repeat(12_000));
    stream.write_all(long_head.as_bytes()).await.unwrap();
    assert!(read_until(&mut stream, "]").await.ends_with("[0]"));
    let requests: String =
        (0..PIPELINED).map(|n| format!("{}{}", head("/", n % 7), &"abcdefg"[..n % 7])).collect();
    let (mut reader, mut writer) = stream.into_split();
    let sender = actix_rt::spawn(async move {
        writer.write_all(requests.as_bytes()).await.unwrap();
        writer
    });
    let mut answers = String::new();
    while answers.matches("HTTP/1.1 200").count() < PIPELINED || !answers.ends_with(']') {
        let mut buffer = [0; 4_096];
        let count = reader.read(&mut buffer).await.unwrap();
        assert!(count > 0, "the connection ended early");
        answers += std::str::from_utf8(&buffer[..count]).unwrap();
    }
    let lengths: Vec<&str> =
        answers.match_indices('[').map(|(at, _)| &answers[at + 1..at + 2]).collect();
    let expected: Vec<String> = (0..PIPELINED).map(|n| (n % 7).to_string()).collect();
    assert_eq!(lengths, expected);
    drop(sender.await.unwrap());
}

/// Guards against a listener that closes a connection at work, or one that was idle for a shorter time, for a new one.
#[actix_rt::test]
async fn longest_idle_connection_makes_room_for_a_new_one() {
    let server = TestServer::start(3).await;
    let mut held = server.connect_incomplete("/held", 10).await;
    held.write_all(b"x").await.unwrap();
    server.received.notified().await;
    let mut oldest = server.connect().await;
    assert!(post(&mut oldest, "/", 1).await.starts_with("http/1.1 200"));
    let mut younger = server.connect().await;
    assert!(post(&mut younger, "/", 1).await.starts_with("http/1.1 200"));
    let mut newest = server.connect().await;
    assert!(post(&mut newest, "/", 1).await.starts_with("http/1.1 200"));
    assert_eq!(read_until(&mut oldest, "]").await, "", "the longest idle connection is closed");
    assert!(post(&mut younger, "/", 1).await.starts_with("http/1.1 200"));
    server.release.notify_one();
    assert!(read_until(&mut held, "]").await.starts_with("http/1.1 200"));
}
