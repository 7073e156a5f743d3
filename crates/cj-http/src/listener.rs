//! A single-threaded HTTP listener on top of `actix-http`, with graceful shutdown.

use std::{
    cell::Cell, convert::Infallible, future::Future, net::SocketAddr, rc::Rc, sync::Arc,
    time::Duration,
};

use actix_http::{HttpService, KeepAlive, Protocol, Request, Response};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore},
    task::{JoinHandle, JoinSet},
};

use cj_types::{Error, ErrorKind, Result};

/// Time for a client to send a complete request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a client to close its side of a finished connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a kept-alive connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time for the last responses to leave the write buffers during shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Connection limit of a listener unless another one is set.
const DEFAULT_MAX_CONNECTIONS: usize = 4096;

/// Shared shutdown flag and count of requests in flight.
#[derive(Clone, Default)]
pub struct Shutdown {
    inner: Rc<ShutdownInner>,
}

#[derive(Default)]
struct ShutdownInner {
    stopping: Cell<bool>,
    in_flight: Cell<usize>,
    changed: Notify,
}

struct InFlightGuard(Rc<ShutdownInner>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.changed.notify_waiters();
    }
}

impl Shutdown {
    /// Starts the shutdown: listeners stop accepting.
    pub fn begin(&self) {
        self.inner.stopping.set(true);
        self.inner.changed.notify_waiters();
    }

    /// True once the shutdown has begun.
    pub fn begun(&self) -> bool {
        self.inner.stopping.get()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight.get()
    }

    /// Resolves once the shutdown has begun.
    pub async fn wait_begun(&self) {
        self.wait_until(|inner| inner.stopping.get()).await;
    }

    /// Resolves once no request is in flight.
    pub async fn wait_idle(&self) {
        self.wait_until(|inner| inner.in_flight.get() == 0).await;
    }

    async fn wait_until<F>(&self, done: F)
    where
        F: Fn(&ShutdownInner) -> bool,
    {
        loop {
            let changed = self.inner.changed.notified();
            if done(&self.inner) {
                return;
            }
            changed.await;
        }
    }

    fn track_request(&self) -> InFlightGuard {
        self.inner.in_flight.set(self.inner.in_flight.get() + 1);
        InFlightGuard(self.inner.clone())
    }
}

/// A bound listener.
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    /// Maximum number of open connections; further ones wait in the kernel's accept queue.
    max_connections: usize,
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
        Ok(Listener { socket, address, max_connections: DEFAULT_MAX_CONNECTIONS })
    }

    /// Sets the maximum number of open connections.
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Listener { max_connections, ..self }
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the shutdown begins. Connections run on the current thread; each is passed through `wrap`.
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
        let shutdown_flag = shutdown.clone();
        let factory = HttpService::build()
            .client_request_timeout(HEAD_TIMEOUT)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
            .finish(fn_service(move |request: Request| {
                let (handler, shutdown_flag) = (handler.clone(), shutdown_flag.clone());
                async move {
                    let guard = shutdown_flag.track_request();
                    let mut response = handler(request).await;
                    if shutdown_flag.begun() {
                        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
                    }
                    drop(guard);
                    Ok::<_, Infallible>(response)
                }
            }));
        let Ok(service) = factory.new_service(()).await else { return };
        let service = Rc::new(service);
        let slots = Arc::new(Semaphore::new(self.max_connections));
        let mut tasks = JoinSet::new();
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            while tasks.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = shutdown.wait_begun() => break,
            };
            let Ok((stream, peer)) = accepted else { continue };
            let _ = stream.set_nodelay(true);
            let (service, stream) = (service.clone(), wrap(stream));
            tasks.spawn_local(async move {
                if let Err(e) = service.call((stream, Protocol::Http1, Some(peer))).await {
                    log::debug!(target: "http", "connection from {peer} ended: {e}");
                }
                drop(slot);
            });
        }
        drop(self.socket);
        shutdown.wait_idle().await;
        // After the handlers have returned, the last responses may still be in the write buffers of their connections.
        let flushed = async { while tasks.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, flushed).await;
    }
}
