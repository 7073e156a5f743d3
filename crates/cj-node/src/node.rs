//! Starts and stops an entry node.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::task::JoinHandle;

use cj_fleet::Evidence;
use cj_log::{LogService, Replica, ReplicaOptions};
use cj_member::{Membership, MembershipOptions, Report, ViewOptions};
use cj_place::Placer;
use cj_route::Router;
use cj_settings::NodeSettings;
use cj_types::{Clock, Incarnation, NodeIncarnation, Offset, Result};

use crate::{
    fleet::run_fleet,
    http::{Answer, Explained, JobPath, Listener, Shutdown, WorkRequest, read_body},
    metrics::{Metrics, RequestLabels},
    operator,
    platform::{VmControl, Workers},
    refresh::{refresh_metrics, refresh_report, refresh_view},
    shared::{Shared, sleep},
    upstream::Upstreams,
    work::{self, Dispatcher},
};

/// Longest time that a graceful shutdown waits for requests in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Longest time that a listener takes to close after that.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
}

/// A running entry node.
pub struct Node<L, C> {
    shared: Rc<Shared<L, C>>,
    addresses: Addresses,
    membership: JoinHandle<()>,
    listeners: Vec<JoinHandle<()>>,
    replica: JoinHandle<()>,
    internal: Shutdown,
}

impl<L, C> Node<L, C>
where
    L: LogService + Clone + 'static,
    C: Clock + Clone + 'static,
{
    /// Starts a node: catches up with the log, joins its peers, then listens for callers.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, when the log can't be read within the start limit, or when records that the
    /// node needs are no longer retained.
    pub async fn start(settings: NodeSettings, log: L, clock: C) -> Result<Self> {
        let node = NodeIncarnation {
            node: settings.node.clone(),
            incarnation: Incarnation(rand::rng().random()),
        };
        let peers = Membership::bind(membership_options(&settings, &node), clock.clone()).await?;
        let mut options = ReplicaOptions::new(node.clone(), settings.region.clone());
        options.office_keys =
            settings.office_keys.iter().map(|(o, k)| (o.clone(), vec![*k])).collect();
        let (members, now) = (peers.clone(), clock.clone());
        let id = settings.node.clone();
        options.is_owner = Rc::new(move |key| members.view().owner(key, now.now()) == id);
        options.peer_source = Some(peers.clone());
        let replica = Replica::start(log.clone(), clock.clone(), options).await?;
        let running = actix_rt::spawn(replica.clone().run());
        peers.serve_records(replica.clone());
        let membership = actix_rt::spawn(peers.clone().run());
        if !settings.peer_addresses.is_empty() {
            catch_up(&replica).await;
        }

        let shared = Rc::new(shared(settings, clock, replica, peers));
        work_on(&shared);
        let internal = Shutdown::default();
        let (addresses, listeners) = listen(&shared, Rc::new(log), &internal).await?;
        log::info!(
            "node {node} is ready: callers {} operators {}",
            addresses.caller,
            addresses.operator
        );
        Ok(Node { shared, addresses, membership, listeners, replica: running, internal })
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// State and parts of the node.
    pub fn shared(&self) -> &Rc<Shared<L, C>> {
        &self.shared
    }

    /// Stops gracefully: accepts nothing new, finishes what is in flight, withdraws from the peers.
    pub async fn stop(self) {
        log::info!("node {} stops", self.shared.id());
        self.shared.shutdown.begin();
        self.shared.peers.leave().await;
        let idle = async {
            self.shared.shutdown.wait_idle().await;
            while !self.shared.attended.borrow().is_empty() || !self.shared.sent.borrow().is_empty()
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if tokio::time::timeout(DRAIN_LIMIT, idle).await.is_err() {
            let (attended, sent) = (self.shared.attended.borrow(), self.shared.sent.borrow());
            log::warn!(
                "still in flight after {DRAIN_LIMIT:?}: {} requests, jobs {attended:?}, claims {sent:?}",
                self.shared.shutdown.in_flight(),
            );
        }
        self.shared.replica.stop();
        let _ = tokio::time::timeout(CLOSE_LIMIT, self.replica).await;
        self.internal.begin();
        for mut listener in self.listeners {
            if tokio::time::timeout(CLOSE_LIMIT, &mut listener).await.is_err() {
                listener.abort();
            }
        }
        self.shared.peers.stop();
        let _ = self.membership.await;
    }
}

fn membership_options(settings: &NodeSettings, node: &NodeIncarnation) -> MembershipOptions {
    let (cluster, centre) = (settings.cluster.clone(), settings.centre.clone());
    let report = Report::new(cluster, node.clone(), settings.peer_address, centre);
    let seeds = settings.peer_addresses.clone();
    let Incarnation(seed) = node.incarnation;
    MembershipOptions {
        report,
        view: ViewOptions::default(),
        key: settings.peer_key.0,
        seeds,
        seed,
    }
}

fn shared<L, C>(
    settings: NodeSettings,
    clock: C,
    replica: Rc<Replica<L, C>>,
    peers: Rc<Membership<C>>,
) -> Shared<L, C>
where
    L: LogService,
    C: Clock + Clone + 'static,
{
    let Incarnation(seed) = replica.node().incarnation;
    let router = Router::new(Pcg64Mcg::seed_from_u64(seed));
    let now = clock.clone();
    Shared {
        control: VmControl::new(&settings.control_address.to_string()),
        settings,
        clock,
        replica,
        peers,
        dispatcher: Dispatcher::new(router, move || now.now()),
        placer: RefCell::new(Placer::new()),
        upstreams: Upstreams::default(),
        workers: Workers::default(),
        evidence: RefCell::new(Evidence::default()),
        routed: Cell::new(Offset(0)),
        metrics: Metrics::default(),
        shutdown: Shutdown::default(),
        attended: RefCell::new(BTreeSet::new()),
        sent: RefCell::new(BTreeSet::new()),
    }
}

fn work_on<L, C>(shared: &Rc<Shared<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    actix_rt::spawn(shared.dispatcher.clone().run());
    actix_rt::spawn(refresh_view(shared.clone()));
    actix_rt::spawn(refresh_report(shared.clone()));
    actix_rt::spawn(refresh_metrics(shared.clone()));
    actix_rt::spawn(work::drive_jobs(shared.clone()));
    actix_rt::spawn(work::watch_usage(shared.clone()));
    actix_rt::spawn(run_fleet(shared.clone()));
}

/// Waits until this node has folded what its live peers had folded, so that no setting goes back through a new node.
async fn catch_up<L, C>(replica: &Replica<L, C>)
where
    L: LogService,
    C: Clock + 'static,
{
    // Two heartbeats, so that every live peer has reported.
    const HEAR_PEERS: Duration = Duration::from_millis(1100);
    sleep(HEAR_PEERS).await;
    while !replica.is_caught_up() {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn listen<L, C>(
    shared: &Rc<Shared<L, C>>,
    log: Rc<L>,
    internal: &Shutdown,
) -> Result<(Addresses, Vec<JoinHandle<()>>)>
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let peer = shared.peers.address();
    let caller = Listener::bind(shared.settings.caller_address).await?;
    let operator = Listener::bind(shared.settings.operator_address).await?;
    let metrics = Listener::bind(shared.settings.metrics_address).await?;
    let addresses = Addresses {
        caller: caller.address(),
        operator: operator.address(),
        metrics: metrics.address(),
        peer,
    };
    let (for_callers, for_operators, for_metrics) =
        (shared.clone(), shared.clone(), shared.clone());
    let counter = Rc::new(Cell::new(0u64));
    let listeners = vec![
        caller.serve(shared.shutdown.clone(), Explained::new, move |request| {
            counter.set(counter.get() + 1);
            let node = for_callers.clone();
            let id = format_compact!(
                "{}-{:x}-{}",
                node.id(),
                node.replica.node().incarnation.0 & 0xffff,
                counter.get()
            );
            answer_caller(node, id, request)
        }),
        operator.serve(internal.clone(), Explained::new, move |request| {
            operator::handle(for_operators.clone(), log.clone(), request)
        }),
        metrics.serve(internal.clone(), Explained::new, move |request| {
            let node = for_metrics.clone();
            async move { expose(&node, &request) }
        }),
    ];
    Ok((addresses, listeners))
}

async fn answer_caller<L, C>(
    node: Rc<Shared<L, C>>,
    id: CompactString,
    mut request: Request,
) -> Response<Bytes>
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let started = node.now();
    log::debug!(target: "request", "request={id} received {} {}", request.method(), request.path());
    let (class, answer) = handle_caller(&node, &id, &mut request).await;
    let took = node.now().saturating_duration_since(started).as_millis();
    log::debug!(target: "request", "request={id} answered status={} outcome={} ms={took}", answer.status.as_u16(), answer.outcome);
    record(&node, class, &answer, started);
    answer.into_response(&id)
}

async fn handle_caller<L, C>(
    node: &Rc<Shared<L, C>>,
    id: &CompactString,
    request: &mut Request,
) -> (String, Answer)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    if let Some(path) = JobPath::of(request) {
        let answer = match (path, request.method()) {
            (Err(answer), _) => answer,
            (Ok(JobPath(job)), &Method::GET) => work::answer_job(node, &job),
            (Ok(JobPath(job)), &Method::DELETE) => work::cancel_job(node, &job).await,
            _ => Answer::bad_input(StatusCode::METHOD_NOT_ALLOWED, "use GET or DELETE on a job"),
        };
        return ("jobs".into(), answer);
    }
    let head = match WorkRequest::try_from(&*request) {
        Ok(head) => head,
        Err(answer) => return ("invalid".into(), answer),
    };
    let class = head.class.to_string();
    match read_body(request).await {
        Ok(body) => (class, work::answer_work(node, id.clone(), head, body).await),
        Err(answer) => (class, answer),
    }
}

fn record<L, C>(node: &Shared<L, C>, class: String, answer: &Answer, started: Instant)
where
    L: LogService,
    C: Clock + 'static,
{
    // Unknown class names come from callers; as label values they would grow without bound.
    let known = node.replica.state().fleet.classes.keys().any(|c| c.as_str() == class);
    let class = if known || class == "jobs" { class } else { "invalid".into() };
    let labels = RequestLabels { class, outcome: answer.outcome.to_string() };
    node.metrics.requests.get_or_create(&labels).inc();
    node.metrics.latency.observe(node.now().saturating_duration_since(started).as_secs_f64());
}

fn expose<L, C>(node: &Shared<L, C>, request: &Request) -> Response<Bytes> {
    if request.path() != "/metrics" {
        return Response::with_body(
            StatusCode::NOT_FOUND,
            Bytes::from_static(b"use GET /metrics\n"),
        );
    }
    let mut response = Response::with_body(StatusCode::OK, Bytes::from(node.metrics.encode()));
    let kind = header::HeaderValue::from_static(
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    );
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
