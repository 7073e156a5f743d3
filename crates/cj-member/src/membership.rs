//! Exchanges heartbeats with the peers and relays log records, over tarpc.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use actix_rt::time::{sleep, timeout};
use futures::{
    StreamExt,
    future::{LocalBoxFuture, join_all, select},
    stream::FuturesUnordered,
};
use log::{debug, info, warn};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tarpc::{
    client, context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
};
use tokio::sync::Notify;
use tokio_serde::formats::Bincode;

use cj_log::{RecordSource, RelayPage};
use cj_types::{Clock, Error, ErrorKind, Offset, Result, StreamId};

use crate::{
    report::Report,
    view::{PeerView, Received, ViewOptions},
    wire::{self, Answer, AuthenticatedMessage, MAX_FRAME_BYTES, PeerKey, Request},
};

/// Time limit of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Most connections accepted at a time; every peer opens one.
const MAX_CONNECTIONS: usize = 1024;
/// Intervals are shortened by a random part of up to this fraction, so that nodes that started together spread out.
const JITTER: f64 = 0.1;

#[tarpc::service]
trait PeerService {
    /// Handles one authenticated request.
    async fn call(message: AuthenticatedMessage) -> AuthenticatedMessage;
}

/// Options of the membership of one node.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// First report of the node. Its address is replaced by the bound one, in case its port is 0.
    pub report: Report,
    /// Heartbeat interval and timeouts.
    pub view: ViewOptions,
    /// Key shared by the nodes of the cluster.
    pub key: PeerKey,
    /// Addresses of other nodes from the settings file; these nodes report the addresses of further ones.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random numbers for jitter and nonces.
    pub seed: u64,
}

/// Membership of one node.
pub struct Membership<C> {
    clock: C,
    options: MembershipOptions,
    view: RefCell<PeerView>,
    listener: RefCell<Option<Listener>>,
    clients: RefCell<BTreeMap<SocketAddr, PeerServiceClient>>,
    /// Seeds and addresses reported by peers, with the number of calls in a row that failed. They are called while
    /// their node is not known.
    contacts: RefCell<BTreeMap<SocketAddr, u32>>,
    record_source: RefCell<Option<Rc<dyn RecordSource>>>,
    rng: RefCell<Pcg64Mcg>,
    stopped: Cell<bool>,
    stop: Notify,
}

type Listener = tcp::Incoming<
    tarpc::ClientMessage<PeerServiceRequest>,
    tarpc::Response<PeerServiceResponse>,
    Bincode<tarpc::ClientMessage<PeerServiceRequest>, tarpc::Response<PeerServiceResponse>>,
    fn() -> Bincode<tarpc::ClientMessage<PeerServiceRequest>, tarpc::Response<PeerServiceResponse>>,
>;

/// Number of failed calls in a row after which an address reported by a peer is removed.
const MAX_FAILED_CALLS: u32 = 20;

impl<C> Membership<C>
where
    C: Clock + 'static,
{
    /// Binds the peer address.
    ///
    /// # Errors
    ///
    /// [`cj_types::ErrorKind::Io`] when the address can't be bound.
    pub async fn bind(mut options: MembershipOptions, clock: C) -> Result<Rc<Self>> {
        let address = options.report.address;
        let codec: fn() -> _ = Bincode::default;
        let mut listener = tcp::listen(address, codec).await.map_err(|e| {
            let problem = format!("cannot bind the peer address {address}: {e}");
            Error::new(ErrorKind::Io(problem.into()), "choose a free address of this VM")
        })?;
        listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
        options.report.address = listener.local_addr();
        let seeds = options.seeds.iter().filter(|a| **a != options.report.address);
        Ok(Rc::new(Membership {
            clock,
            view: RefCell::new(PeerView::new(options.report.clone(), options.view)),
            listener: RefCell::new(Some(listener)),
            clients: RefCell::default(),
            contacts: RefCell::new(seeds.map(|a| (*a, 0)).collect()),
            record_source: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(options.seed)),
            stopped: Cell::new(false),
            stop: Notify::new(),
            options,
        }))
    }

    /// The bound peer address.
    pub fn address(&self) -> SocketAddr {
        self.options.report.address
    }

    /// The view of the peers. The borrow must not be held across an await point, because heartbeats update the view.
    pub fn view(&self) -> Ref<'_, PeerView> {
        self.view.borrow()
    }

    /// Changes the report that the next heartbeats carry.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Report),
    {
        change(self.view.borrow_mut().own_mut());
    }

    /// Sets the source of the records that are relayed to peers which are cut off from the log.
    pub fn serve_records(&self, source: Rc<dyn RecordSource>) {
        *self.record_source.borrow_mut() = Some(source);
    }

    /// Sends heartbeats and answers requests of peers until [`Membership::stop`] is called.
    pub async fn run(self: Rc<Self>) {
        let work = futures::future::join(self.clone().accept_connections(), self.send_heartbeats());
        let stopped = async {
            while !self.stopped.get() {
                self.stop.notified().await;
            }
        };
        select(Box::pin(work), Box::pin(stopped)).await;
        self.clients.borrow_mut().clear();
    }

    /// Reports to all peers that this node is leaving, so that they take over without waiting for missed heartbeats.
    pub async fn leave(&self) {
        {
            let mut view = self.view.borrow_mut();
            view.own_mut().leaving = true;
            view.own_mut().counter += 1;
        }
        let known: Vec<SocketAddr> = self.view().known().map(|p| p.report.address).collect();
        join_all(known.into_iter().map(|address| self.exchange_heartbeat(address))).await;
    }

    /// Ends [`Membership::run`].
    pub fn stop(&self) {
        self.stopped.set(true);
        self.stop.notify_one();
    }

    async fn accept_connections(self: Rc<Self>) {
        let Some(listener) = self.listener.borrow_mut().take() else { return };
        let mut listener = listener.take(usize::MAX);
        let mut connections = FuturesUnordered::new();
        loop {
            tokio::select! {
                Some(accepted) = listener.next(), if connections.len() < MAX_CONNECTIONS => {
                    let Ok(transport) = accepted else { continue };
                    let server = Server(self.clone());
                    let channel = BaseChannel::with_defaults(transport);
                    connections.push(channel.execute(server.serve()).for_each(|call| call));
                }
                Some(()) = connections.next(), if !connections.is_empty() => {}
                else => return,
            }
        }
    }

    async fn send_heartbeats(&self) {
        let mut calls = FuturesUnordered::new();
        loop {
            let now = self.clock.now();
            self.view.borrow_mut().tick(now);
            for address in self.heartbeat_targets() {
                calls.push(self.exchange_heartbeat(address));
            }
            let jitter = self.rng.borrow_mut().random_range(1.0 - JITTER..=1.0);
            let interval = sleep(self.options.view.interval.mul_f64(jitter));
            tokio::pin!(interval);
            loop {
                tokio::select! {
                    () = &mut interval => break,
                    Some(()) = calls.next(), if !calls.is_empty() => {}
                }
            }
        }
    }

    /// Addresses due for a heartbeat: those of known peers and contacts whose node is not known.
    fn heartbeat_targets(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let view = self.view();
        let known: BTreeSet<SocketAddr> = view.known().map(|p| p.report.address).collect();
        let contacts = self.contacts.borrow();
        let unknown = contacts.keys().copied().filter(|a| !known.contains(a));
        view.due(now).map(|p| p.report.address).chain(unknown).collect()
    }

    async fn exchange_heartbeat(&self, address: SocketAddr) {
        let request = {
            let view = self.view();
            Request::Heartbeat {
                report: view.own().clone(),
                addresses_hash: hash_addresses(&addresses(&view)),
            }
        };
        match self.call(address, &request).await {
            Ok(Answer::Heartbeat { report, addresses }) => {
                self.receive(report);
                self.add_contacts(address, addresses);
            }
            Ok(answer) => debug!("{address} answered a heartbeat with {answer:?}"),
            Err(error) => {
                debug!("heartbeat to {address} failed: {error}");
                self.record_failed_call(address);
            }
        }
    }

    fn receive(&self, report: Report) {
        let node = report.node.clone();
        let address = report.address;
        let received = self.view.borrow_mut().receive(report, self.clock.now());
        if received == Received::Joined {
            info!("{node} joined at {address}");
        }
    }

    fn add_contacts(&self, from: SocketAddr, addresses: Vec<SocketAddr>) {
        let own = self.address();
        let mut contacts = self.contacts.borrow_mut();
        if let Some(failed) = contacts.get_mut(&from) {
            *failed = 0;
        }
        for address in addresses.into_iter().filter(|a| *a != own) {
            contacts.entry(address).or_insert(0);
        }
    }

    /// Counts a failed call. Addresses reported by peers are removed after too many of them; seeds are kept.
    fn record_failed_call(&self, address: SocketAddr) {
        let mut contacts = self.contacts.borrow_mut();
        let Some(failed) = contacts.get_mut(&address) else { return };
        *failed += 1;
        if *failed >= MAX_FAILED_CALLS && !self.options.seeds.contains(&address) {
            contacts.remove(&address);
        }
    }

    async fn call(&self, address: SocketAddr, request: &Request) -> Result<Answer> {
        let key = &self.options.key;
        let message = wire::authenticate_request(key, request)?;
        let tag = message.tag;
        let called = timeout(CALL_TIMEOUT, async {
            let client = self.client(address).await?;
            let mut context = context::current();
            context.deadline = self.clock.now() + CALL_TIMEOUT;
            client.call(context, message).await.map_err(|e| unanswered(e.to_string()))
        });
        let answer = called.await.unwrap_or_else(|_| Err(unanswered("time-out".into())));
        if answer.is_err() {
            // Drops the connection, so that the next call opens a new one.
            self.clients.borrow_mut().remove(&address);
        }
        wire::verify_answer(key, &tag, &answer?)
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let codec: fn() -> _ = Bincode::default;
        let mut connect = tcp::connect(address, codec);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect.await.map_err(|e| unanswered(e.to_string()))?;
        let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
        self.clients.borrow_mut().insert(address, client.clone());
        Ok(client)
    }

    async fn answer(&self, message: &AuthenticatedMessage) -> Result<Answer> {
        match wire::verify_request(&self.options.key, message)? {
            Request::Heartbeat { report, addresses_hash } => {
                if report.cluster != self.view().own().cluster {
                    return Ok(Answer::Refused);
                }
                self.receive(report);
                let view = self.view();
                let addresses = addresses(&view);
                let same = hash_addresses(&addresses) == addresses_hash;
                let addresses = if same { Vec::new() } else { addresses };
                Ok(Answer::Heartbeat { report: view.own().clone(), addresses })
            }
            Request::Records { stream, from, max_bytes, .. } => {
                let source = self.record_source.borrow().clone();
                let Some(source) = source else { return Ok(Answer::Records(None)) };
                let max_bytes = (max_bytes as usize).min(MAX_FRAME_BYTES / 2);
                Ok(Answer::Records(source.records(&stream, from, max_bytes).await))
            }
        }
    }

    /// Addresses of the live peers that have applied records beyond `from`, the most advanced one first.
    fn peers_ahead(&self, from: Offset) -> Vec<SocketAddr> {
        let view = self.view();
        let mut ahead: Vec<_> = view
            .live(self.clock.now())
            .into_iter()
            .filter(|p| p.report.applied > from)
            .map(|p| (p.report.applied, p.report.address))
            .collect();
        ahead.sort_unstable_by(|a, b| b.cmp(a));
        ahead.into_iter().map(|(_, address)| address).collect()
    }

    async fn fetch_records(
        &self,
        stream: &StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> Option<RelayPage> {
        for address in self.peers_ahead(from) {
            let nonce = self.rng.borrow_mut().random();
            let max_bytes = max_bytes.min(MAX_FRAME_BYTES) as u32;
            let request = Request::Records { nonce, stream: stream.clone(), from, max_bytes };
            match self.call(address, &request).await {
                Ok(Answer::Records(Some(page))) => return Some(page),
                Ok(_) => {}
                Err(error) => warn!("cannot fetch records from {address}: {error}"),
            }
        }
        None
    }
}

impl<C> RecordSource for Membership<C>
where
    C: Clock + 'static,
{
    fn records<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        max_bytes: usize,
    ) -> LocalBoxFuture<'a, Option<RelayPage>> {
        Box::pin(self.fetch_records(stream, from, max_bytes))
    }

    fn applied_offset(&self) -> Offset {
        let now = self.clock.now();
        let view = self.view();
        view.live(now).iter().map(|p| p.report.applied).max().unwrap_or_default()
    }
}

struct Server<C>(Rc<Membership<C>>);

impl<C> Clone for Server<C> {
    fn clone(&self) -> Self {
        Server(self.0.clone())
    }
}

impl<C> PeerService for Server<C>
where
    C: Clock + 'static,
{
    async fn call(
        self,
        _: context::Context,
        message: AuthenticatedMessage,
    ) -> AuthenticatedMessage {
        let answer = self.0.answer(&message).await.unwrap_or_else(|error| {
            warn!("request of a peer refused: {error}");
            Answer::Refused
        });
        let message = wire::authenticate_answer(&self.0.options.key, &message.tag, &answer);
        message.unwrap_or_else(|_| AuthenticatedMessage {
            tag: wire::Tag::default(),
            body: Vec::new(),
        })
    }
}

/// Addresses of all known nodes that are not leaving, this node included, in order.
fn addresses(view: &PeerView) -> Vec<SocketAddr> {
    let staying = view.known().map(|p| &p.report).filter(|r| !r.leaving);
    let mut addresses: Vec<_> = staying.chain([view.own()]).map(|r| r.address).collect();
    addresses.sort_unstable();
    addresses
}

fn hash_addresses(addresses: &[SocketAddr]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for address in addresses {
        hasher.update(address.to_string().as_bytes()).update(b"\n");
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

fn unanswered(reason: String) -> Error {
    let kind = ErrorKind::Unanswered { service: "peer", reason: reason.into() };
    Error::new(kind, "check the peer addresses and the peer key")
}
