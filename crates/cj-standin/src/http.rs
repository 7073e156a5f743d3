//! A small HTTP/1.1 server on one loopback port that can close its connections at any time, to simulate crashes.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use actix_http::{
    HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::{ArbiterHandle, net::TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures::{StreamExt, future::LocalBoxFuture};
use serde::Serialize;
use tokio::{net::TcpSocket, sync::watch, task::AbortHandle};

use cj_types::{Error, ErrorKind, Result};

/// Time for which idle connections stay open. Closing them early would race with clients that reuse a pooled connection.
const KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Maximum size of a request body in bytes; a larger body is truncated here and then refused by the handler.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Delay before a failed socket call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Locks a mutex. Ignores poisoning, since the counters and maps stay usable when a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request with its complete body.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters in order; values are percent-decoded.
    pub query: Vec<(String, String)>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// First value of a query parameter as a number, or the default when it's missing or malformed.
    pub fn number(&self, name: &str, default: u64) -> u64 {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.and_then(|(_, value)| value.parse().ok()).unwrap_or(default)
    }

    /// Value of a header; `None` when it's missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Path segments, percent-decoded.
    pub fn segments(&self) -> Vec<String> {
        self.path.split('/').skip(1).map(decode_segment).collect()
    }
}

fn decode_segment(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok()))
            .flatten();
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// An answer to a request.
#[derive(Debug)]
pub struct Reply {
    status: StatusCode,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Reply {
    /// An answer with a binary or text body.
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Reply { status, headers: Vec::new(), body: body.into() }
    }

    /// An answer with a JSON body.
    pub fn json<T>(status: StatusCode, value: &T) -> Self
    where
        T: Serialize + ?Sized,
    {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Reply::new(status, body).with("content-type", "application/json")
    }

    /// A JSON error `{"error": reason}`.
    pub fn error(status: StatusCode, reason: &str) -> Self {
        Reply::json(status, &serde_json::json!({ "error": reason }))
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    fn into_response(self) -> Response<Bytes> {
        let mut response = Response::with_body(self.status, self.body);
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
        response
    }
}

/// Handles requests; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Call) -> LocalBoxFuture<'static, Option<Reply>> + Send + Sync>;

/// Open connections by peer address. The number distinguishes successive connections from the same address.
type Connections = Arc<Mutex<HashMap<SocketAddr, (u64, AbortHandle)>>>;

/// An HTTP server. It serves on the thread of the given arbiter; the handle can be used from any thread.
pub struct Server {
    address: SocketAddr,
    down: watch::Sender<bool>,
    connections: Connections,
}

impl Server {
    /// Binds to the given loopback port, or to a free one for port 0, and starts serving.
    ///
    /// # Errors
    ///
    /// The port can't be bound.
    pub fn start(arbiter: &ArbiterHandle, port: u16, handler: Handler) -> Result<Self> {
        let listener =
            TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))).map_err(io_error)?;
        listener.set_nonblocking(true).map_err(io_error)?;
        let address = listener.local_addr().map_err(io_error)?;
        let down = watch::Sender::new(false);
        let server = Server { address, down, connections: Connections::default() };
        let (down, connections) = (server.down.subscribe(), server.connections.clone());
        arbiter.spawn_fn(move || {
            actix_rt::spawn(accept_loop(listener, address, handler, connections, down));
        });
        Ok(server)
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and refuses new ones, as after a crash.
    pub fn kill(&self) {
        self.down.send_replace(true);
        lock(&self.connections).drain().for_each(|(_, (_, task))| task.abort());
    }

    /// Accepts connections again after [`Server::kill`].
    pub fn restart(&self) {
        self.down.send_replace(false);
    }
}

fn io_error(error: std::io::Error) -> Error {
    let help =
        "check that the loopback port is free and that the limit on open files is sufficient";
    Error::new(ErrorKind::Io(error.to_string().into()), help)
}

async fn accept_loop(
    listener: TcpListener,
    address: SocketAddr,
    handler: Handler,
    connections: Connections,
    mut down: watch::Receiver<bool>,
) {
    let service = service(handler, connections.clone());
    let (Ok(service), Ok(mut listener)) =
        (service.await, tokio::net::TcpListener::from_std(listener))
    else {
        log::error!("the server on {address} could not start");
        return;
    };
    let service = Rc::new(service);
    loop {
        tokio::select! {
            () = accept(&listener, &service, &connections, down.clone()) => {}
            closed = wait_for(&mut down, true) => if closed { return },
        }
        drop(listener);
        let reserved = reserve(address).await;
        if wait_for(&mut down, false).await {
            return;
        }
        match reserved.listen(BACKLOG) {
            Ok(listening) => listener = listening,
            Err(error) => {
                log::error!(
                    "the server on {address} could not listen again after a restart: {error}"
                );
                return;
            }
        }
    }
}

/// Waits until `down` has the given value; true when the server was dropped.
async fn wait_for(down: &mut watch::Receiver<bool>, wanted: bool) -> bool {
    down.wait_for(|down| *down == wanted).await.is_err()
}

/// Accepts connections until the server is down.
async fn accept<S>(
    listener: &tokio::net::TcpListener,
    service: &Rc<S>,
    connections: &Connections,
    down: watch::Receiver<bool>,
) where
    S: Service<TcpStream> + 'static,
{
    for number in 0.. {
        let Ok((stream, peer)) = listener.accept().await else {
            // Accepting fails at the limit on open files; retries, since other connections end meanwhile.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        if *down.borrow() {
            return;
        }
        serve(service, stream, peer, number, connections);
        // Another thread may have called `kill` between the check and the insertion.
        if *down.borrow() {
            lock(connections).drain().for_each(|(_, (_, task))| task.abort());
            return;
        }
    }
}

/// Binds a socket that doesn't listen, so that connections are refused and no other process takes the port.
async fn reserve(address: SocketAddr) -> TcpSocket {
    loop {
        let bound = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            Ok(socket)
        });
        match bound {
            Ok(socket) => return socket,
            Err(error) => log::warn!("cannot bind {address} to reserve the port: {error}"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn serve<S>(
    service: &Rc<S>,
    stream: TcpStream,
    peer: SocketAddr,
    number: u64,
    connections: &Connections,
) where
    S: Service<TcpStream> + 'static,
{
    let _ = stream.set_nodelay(true);
    let (service, ended) = (service.clone(), connections.clone());
    let connection = actix_rt::spawn(async move {
        let _ = service.call(stream).await;
        let mut open = lock(&ended);
        if open.get(&peer).is_some_and(|(other, _)| *other == number) {
            open.remove(&peer);
        }
    });
    lock(connections).insert(peer, (number, connection.abort_handle()));
}

async fn service(
    handler: Handler,
    connections: Connections,
) -> Result<impl Service<TcpStream, Response = (), Error = actix_http::error::DispatchError>, ()> {
    HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(Duration::ZERO)
        .finish(fn_service(move |request: Request| {
            let (handler, connections) = (handler.clone(), connections.clone());
            async move {
                let peer = request.peer_addr();
                let reply = handler(read_call(request).await).await;
                let Some(reply) = reply else {
                    return Ok::<_, Infallible>(close(peer, &connections).await);
                };
                Ok(reply.into_response())
            }
        }))
        .tcp()
        .new_service(())
        .await
}

async fn read_call(mut request: Request) -> Call {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(Ok(chunk)) = payload.next().await {
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            break;
        }
        body.extend_from_slice(&chunk);
    }
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Call {
        method: request.method().clone(),
        path: request.path().to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), decode_segment(value))).collect(),
        headers: request.headers().clone(),
        body: body.freeze(),
    }
}

/// Aborts the connection's own task, so that the connection closes without an answer. Never returns.
async fn close(peer: Option<SocketAddr>, connections: &Connections) -> Response<Bytes> {
    let task = peer.and_then(|peer| lock(connections).remove(&peer));
    if let Some((_, task)) = task {
        task.abort();
    }
    futures::future::pending().await
}
