//! Graceful shutdown of a listener: what becomes of connections and requests that are open when it begins.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cj_http::{Listener, Shutdown, read_body};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Notify,
    task::JoinHandle,
};

/// Longer than an idle connection stays open after a shutdown has begun.
const PAST_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Larger than the socket buffers of a loopback connection.
const LARGE_BODY_BYTES: usize = 16 << 20;

const REQUEST: &str = "GET /quick HTTP/1.1\r\nhost: a\r\n\r\n";
const HELD_REQUEST: &str = "GET /held HTTP/1.1\r\nhost: a\r\n\r\n";
const LARGE_REQUEST: &str = "GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
const POST_HEAD: &str = "POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";

/// A listener whose handler holds requests for `/held` until it is released.
struct TestServer {
    address: SocketAddr,
    shutdown: Shutdown,
    server: JoinHandle<()>,
    received: Rc<Notify>,
    release: Rc<Notify>,
}

impl TestServer {
    async fn start(max_connections: usize) -> Self {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let listener = listener.with_max_connections(max_connections);
        let (address, shutdown) = (listener.address(), Shutdown::default());
        let (received, release) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (for_received, for_release) = (received.clone(), release.clone());
        let handler = move |mut request: actix_http::Request| {
            let (received, release) = (for_received.clone(), for_release.clone());
            async move {
                received.notify_one();
                let body = read_body(&mut request, 64).await.unwrap_or_default();
                match request.path() {
                    "/held" => release.notified().await,
                    "/large" => return respond(Bytes::from(vec![b'x'; LARGE_BODY_BYTES])),
                    _ => {}
                }
                respond(body)
            }
        };
        let server = listener.serve(shutdown.clone(), |stream| stream, handler);
        TestServer { address, shutdown, server, received, release }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// A connection that has been answered once and is kept alive.
    async fn connect_idle(&self) -> TcpStream {
        let mut stream = self.connect().await;
        let response = exchange(&mut stream, REQUEST).await;
        assert!(!response.contains("connection: close"), "{response}");
        self.received.notified().await;
        stream
    }

    /// True when the listener and its connections have ended within [`PAST_IDLE_TIME`].
    async fn has_ended(&mut self) -> bool {
        tokio::time::timeout(PAST_IDLE_TIME, &mut self.server).await.is_ok()
    }
}

fn respond(body: Bytes) -> Response<Bytes> {
    Response::with_body(StatusCode::OK, body)
}

/// Sends a request and reads a response without a body.
async fn exchange(stream: &mut TcpStream, request: &str) -> String {
    stream.write_all(request.as_bytes()).await.unwrap();
    read_until(stream, "\r\n\r\n").await
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

/// Guards against a request that arrives on an idle connection during a shutdown and whose answer is cut off.
#[actix_rt::test]
async fn request_read_during_shutdown_is_answered() {
    let mut server = TestServer::start(8).await;
    let mut stream = server.connect_idle().await;
    server.shutdown.begin();
    stream.write_all(HELD_REQUEST.as_bytes()).await.unwrap();
    server.received.notified().await;
    assert!(!server.has_ended().await, "the listener ended before the request was answered");
    server.release.notify_one();
    let response = read_until(&mut stream, "\r\n\r\n").await;
    assert!(response.starts_with("http/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response}");
    assert!(server.has_ended().await);
}

/// Guards against a request that is cut off because only the first part of its head, or only its head, has arrived.
#[actix_rt::test]
async fn request_that_arrives_in_parts_is_answered() {
    let whole = format!("{POST_HEAD}work");
    for split in [3, POST_HEAD.len() / 2, POST_HEAD.len(), POST_HEAD.len() + 2] {
        let mut server = TestServer::start(8).await;
        let mut stream = server.connect_idle().await;
        stream.write_all(&whole.as_bytes()[..split]).await.unwrap();
        server.shutdown.begin();
        assert!(!server.has_ended().await, "ended after {split} bytes of a request");
        stream.write_all(&whole.as_bytes()[split..]).await.unwrap();
        let response = read_until(&mut stream, "work").await;
        assert!(response.starts_with("http/1.1 200"), "after {split} bytes: {response:?}");
        assert!(server.has_ended().await);
    }
}

/// Guards against a response that was complete before the shutdown and is cut off while a slow client reads it.
#[actix_rt::test]
async fn response_in_the_write_buffer_is_sent_whole() {
    let mut server = TestServer::start(8).await;
    let mut stream = server.connect().await;
    stream.write_all(LARGE_REQUEST.as_bytes()).await.unwrap();
    server.received.notified().await;
    server.shutdown.begin();
    assert!(!server.has_ended().await, "ended with a response in the write buffer");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert!(received.len() > LARGE_BODY_BYTES, "{} bytes", received.len());
    assert!(server.has_ended().await);
}

/// Guards against a listener that doesn't end, or accepts connections, while clients keep all of its connections open.
#[actix_rt::test]
async fn idle_connections_end_when_all_slots_are_taken() {
    let mut server = TestServer::start(2).await;
    let mut streams = [server.connect_idle().await, server.connect_idle().await];
    server.shutdown.begin();
    assert!(server.has_ended().await, "the shutdown waits for a free slot");
    for stream in &mut streams {
        assert_eq!(read_until(stream, "\r\n\r\n").await, "");
    }
    assert!(TcpStream::connect(server.address).await.is_err());
}

/// Guards against a connection that is refused although the kernel had accepted it before the shutdown.
#[actix_rt::test]
async fn connection_in_the_accept_queue_is_served() {
    let server = TestServer::start(8).await;
    let address = server.address;
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut stream, REQUEST.as_bytes()).unwrap();
    server.shutdown.begin();
    stream.set_nonblocking(true).unwrap();
    let mut stream = TcpStream::from_std(stream).unwrap();
    let response = read_until(&mut stream, "\r\n\r\n").await;
    assert!(response.starts_with("http/1.1 200"), "{response:?}");
}
