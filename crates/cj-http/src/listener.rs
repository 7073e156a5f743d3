//! A single-threaded HTTP listener on top of `actix-http`, with graceful shutdown.

use std::{convert::Infallible, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{ConnectionType, HttpService, KeepAlive, Payload, Protocol, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use cj_types::{Error, ErrorKind, Result};

use crate::{
    body_budget::BodyBudget,
    connection::{Activity, TrackedStream},
    connections::Connections,
    shutdown::Shutdown,
};

/// Time for a client to send a complete request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a client to close its side of a finished connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a kept-alive connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time after the start of a shutdown in which connections are still accepted, for those that the kernel has completed.
const ACCEPT_DRAIN_TIME: Duration = Duration::from_millis(20);
/// Time after the start of a shutdown in which idle connections stay open for requests that are on their way.
const IDLE_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Answers that are collected before they are written.
const WRITE_BUFFER_BYTES: usize = 8 << 10;
/// Connection limit of a listener unless another one is set.
const DEFAULT_MAX_CONNECTIONS: usize = 4096;

/// A bound listener.
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    /// Maximum number of open connections. For a further one, the one that has been idle for the longest time is closed.
    max_connections: usize,
    /// Budget for the bodies of requests.
    budget: BodyBudget,
}

impl Listener {
    /// Binds to `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Io`] when the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let help = "choose another address in the node's settings";
        let failed = |e: std::io::Error| {
            Error::new(ErrorKind::Io(format!("cannot bind {address}: {e}").into()), help)
        };
        let socket = TcpListener::bind(address).await.map_err(failed)?;
        let address = socket.local_addr().map_err(failed)?;
        let budget = BodyBudget::default();
        Ok(Listener { socket, address, max_connections: DEFAULT_MAX_CONNECTIONS, budget })
    }

    /// Sets the maximum number of open connections.
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Listener { max_connections, ..self }
    }

    /// Sets the budget for the bodies of requests, which several listeners can share. Without one they are limited only in
    /// size.
    pub fn with_budget(self, budget: BodyBudget) -> Self {
        Listener { budget, ..self }
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the shutdown begins. Connections run on the current thread; each is passed through `wrap`.
    ///
    /// The returned task ends when all connections have ended: a connection with a request, of which a part may still be
    /// missing, after its response, and an idle one [`IDLE_DRAIN_TIME`] after the start of the shutdown. Callers limit
    /// the time that they wait for clients that send or read slowly.
    pub fn serve<W, S, F, R>(self, shutdown: Shutdown, wrap: W, handler: F) -> JoinHandle<()>
    where
        W: Fn(TcpStream) -> S + 'static,
        S: AsyncRead + AsyncWrite + Unpin + 'static,
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response<Bytes>> + 'static,
    {
        actix_rt::spawn(self.accept(shutdown, wrap, Rc::new(handler)))
    }

    async fn accept<W, S, F, R>(self, shutdown: Shutdown, wrap: W, handler: Rc<F>)
    where
        W: Fn(TcpStream) -> S + 'static,
        S: AsyncRead + AsyncWrite + Unpin + 'static,
        F: Fn(Request) -> R + 'static,
        R: Future<Output = Response<Bytes>> + 'static,
    {
        let (shutdown_flag, budget) = (shutdown.clone(), self.budget.clone());
        let factory = HttpService::build()
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .h1_write_buffer_size(WRITE_BUFFER_BYTES)
            .on_connect_ext(move |stream: &TrackedStream<S>, data| {
                data.insert(stream.activity().clone());
                data.insert(budget.clone());
            })
            .finish(fn_service(move |mut request: Request| {
                let (handler, shutdown_flag) = (handler.clone(), shutdown_flag.clone());
                async move {
                    let activity = request.conn_data::<Rc<Activity>>().cloned().unwrap_or_default();
                    let has_body = !matches!(request.payload(), Payload::None);
                    activity.begin_request().await;
                    let guard = shutdown_flag.track_request();
                    let mut response = handler(request).await;
                    drop(guard);
                    let has_unread = activity.finish_request(has_body);
                    if has_unread || shutdown_flag.begun() {
                        response.head_mut().set_connection_type(ConnectionType::Close);
                    }
                    Ok::<_, Infallible>(response)
                }
            }));
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        let connections = Connections::new(self.max_connections);
        let mut tasks = JoinSet::new();
        let stop = async {
            shutdown.wait_begun().await;
            tokio::time::sleep(ACCEPT_DRAIN_TIME).await;
        };
        tokio::pin!(stop);
        loop {
            let next = async {
                let accepted = self.socket.accept().await;
                (connections.acquire_slot().await, accepted)
            };
            let (slot, accepted) = tokio::select! {
                next = next => next,
                () = &mut stop => break,
            };
            while tasks.try_join_next().is_some() {}
            let (Some(slot), Ok((stream, peer))) = (slot, accepted) else { continue };
            let _ = stream.set_nodelay(true);
            let stream = TrackedStream::new(wrap(stream));
            let open = connections.insert(stream.activity().clone(), slot);
            let connection = serve_connection(service.clone(), stream, peer, shutdown.clone());
            tasks.spawn_local(async move {
                connection.await;
                drop(open);
            });
        }
        drop(self.socket);
        while tasks.join_next().await.is_some() {}
    }
}

/// Serves a connection until it ends. During a shutdown it ends once it has no request.
async fn serve_connection<V, S>(
    service: Rc<V>,
    stream: TrackedStream<S>,
    peer: SocketAddr,
    shutdown: Shutdown,
) where
    V: Service<(TrackedStream<S>, Protocol, Option<SocketAddr>)>,
    V::Error: std::fmt::Display,
{
    let activity = stream.activity().clone();
    let drain = async {
        shutdown.wait_begun().await;
        tokio::time::sleep(IDLE_DRAIN_TIME).await;
        activity.end_when_idle();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        ended = service.call((stream, Protocol::Http1, Some(peer))) => {
            if let Err(e) = ended {
                log::debug!(target: "http", "connection from {peer} ended: {e}");
            }
        }
        () = drain => {}
        () = activity.wait_closed() => {
            log::debug!(target: "http", "connection from {peer} closed in favour of a new one");
        }
        () = activity.wait_lingered(DISCONNECT_TIMEOUT) => {}
    }
}
