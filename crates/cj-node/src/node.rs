//! Startup and graceful shutdown of an entry node, and its listeners.

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
    context::{NodeContext, sleep},
    fleet::run_fleet_planner,
    http::{Answer, ErrorBodyStream, JobPath, Listener, Shutdown, WorkRequest, read_body},
    metrics::{Metrics, RequestLabels},
    operator,
    platform::{VmControlClient, WorkerClient},
    refresh::{refresh_metrics, refresh_report, refresh_view},
    upstream::UpstreamClient,
    work::{self, Dispatcher},
};

/// Time limit of a graceful shutdown for the requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the replica, and for each listener, to stop after that.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses that a node listens on, one for each kind of client.
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
    context: Rc<NodeContext<L, C>>,
    addresses: Addresses,
    membership_task: JoinHandle<()>,
    caller_listener: JoinHandle<()>,
    internal_listeners: [JoinHandle<()>; 2],
    replica_task: JoinHandle<()>,
    internal_shutdown: Shutdown,
}

impl<L, C> Node<L, C>
where
    L: LogService + Clone + 'static,
    C: Clock + Clone + 'static,
{
    /// Starts a node: catches up with the log, joins the peers, then accepts requests.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound, when the log can't be read within the time limit of the start, or when
    /// records that the node needs are no longer retained.
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
        let replica_task = actix_rt::spawn(replica.clone().run());
        peers.serve_records(replica.clone());
        let membership_task = actix_rt::spawn(peers.clone().run());
        if !settings.peer_addresses.is_empty() {
            wait_until_caught_up(&replica).await;
        }

        let context = Rc::new(new_context(settings, clock, replica, peers));
        spawn_background_tasks(&context);
        let internal_shutdown = Shutdown::default();
        let (addresses, caller_listener, internal_listeners) =
            start_listeners(&context, Rc::new(log), &internal_shutdown).await?;
        log::info!(
            "node {node} is ready: callers {} operators {}",
            addresses.caller,
            addresses.operator
        );
        Ok(Node {
            context,
            addresses,
            membership_task,
            caller_listener,
            internal_listeners,
            replica_task,
            internal_shutdown,
        })
    }

    /// Addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The state and components of the node.
    pub fn context(&self) -> &Rc<NodeContext<L, C>> {
        &self.context
    }

    /// Stops gracefully: accepts no new requests, tells the peers that the node is leaving, and finishes what is in
    /// flight.
    pub async fn stop(mut self) {
        log::info!("node {} stops", self.context.id());
        self.context.shutdown.begin();
        self.context.peers.leave().await;
        let idle = async {
            let _ = (&mut self.caller_listener).await;
            while !self.context.active_jobs.borrow().is_empty()
                || !self.context.sent_claims.borrow().is_empty()
            {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if tokio::time::timeout(DRAIN_TIMEOUT, idle).await.is_err() {
            let (active_jobs, sent_claims) =
                (self.context.active_jobs.borrow(), self.context.sent_claims.borrow());
            log::warn!(
                "still in flight after {DRAIN_TIMEOUT:?}: {} requests, jobs {active_jobs:?}, claims {sent_claims:?}",
                self.context.shutdown.in_flight(),
            );
            self.caller_listener.abort();
        }
        self.context.replica.stop();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.replica_task).await;
        self.internal_shutdown.begin();
        for mut listener in self.internal_listeners {
            if tokio::time::timeout(CLOSE_TIMEOUT, &mut listener).await.is_err() {
                listener.abort();
            }
        }
        self.context.peers.stop();
        let _ = self.membership_task.await;
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

fn new_context<L, C>(
    settings: NodeSettings,
    clock: C,
    replica: Rc<Replica<L, C>>,
    peers: Rc<Membership<C>>,
) -> NodeContext<L, C>
where
    L: LogService,
    C: Clock + Clone + 'static,
{
    let Incarnation(seed) = replica.node().incarnation;
    let router = Router::new(Pcg64Mcg::seed_from_u64(seed));
    let now = clock.clone();
    NodeContext {
        vm_control: VmControlClient::new(&settings.control_address.to_string()),
        settings,
        clock,
        replica,
        peers,
        dispatcher: Dispatcher::new(router, move || now.now()),
        placer: RefCell::new(Placer::new()),
        upstreams: UpstreamClient::default(),
        workers: WorkerClient::default(),
        evidence: RefCell::new(Evidence::default()),
        routed_offset: Cell::new(Offset(0)),
        metrics: Metrics::default(),
        shutdown: Shutdown::default(),
        active_jobs: RefCell::new(BTreeSet::new()),
        sent_claims: RefCell::new(BTreeSet::new()),
    }
}

fn spawn_background_tasks<L, C>(context: &Rc<NodeContext<L, C>>)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    actix_rt::spawn(context.dispatcher.clone().run());
    actix_rt::spawn(refresh_view(context.clone()));
    actix_rt::spawn(refresh_report(context.clone()));
    actix_rt::spawn(refresh_metrics(context.clone()));
    actix_rt::spawn(work::drive_jobs(context.clone()));
    actix_rt::spawn(work::watch_usage(context.clone()));
    actix_rt::spawn(run_fleet_planner(context.clone()));
}

/// Waits until this node has applied every record that its live peers had applied, so that settings don't revert to
/// older values on a new node.
async fn wait_until_caught_up<L, C>(replica: &Replica<L, C>)
where
    L: LogService,
    C: Clock + 'static,
{
    // A little over two heartbeat intervals, so that every live peer has reported.
    const HEARTBEAT_WAIT: Duration = Duration::from_millis(1100);
    sleep(HEARTBEAT_WAIT).await;
    while !replica.is_caught_up() {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn start_listeners<L, C>(
    context: &Rc<NodeContext<L, C>>,
    log: Rc<L>,
    internal_shutdown: &Shutdown,
) -> Result<(Addresses, JoinHandle<()>, [JoinHandle<()>; 2])>
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    let peer = context.peers.address();
    let caller = Listener::bind(context.settings.caller_address).await?;
    let operator = Listener::bind(context.settings.operator_address).await?;
    let metrics = Listener::bind(context.settings.metrics_address).await?;
    let addresses = Addresses {
        caller: caller.address(),
        operator: operator.address(),
        metrics: metrics.address(),
        peer,
    };
    let (for_callers, for_operators, for_metrics) =
        (context.clone(), context.clone(), context.clone());
    let request_counter = Rc::new(Cell::new(0u64));
    let caller_listener =
        caller.serve(context.shutdown.clone(), ErrorBodyStream::new, move |request| {
            request_counter.set(request_counter.get() + 1);
            let node = for_callers.clone();
            let id = format_compact!(
                "{}-{:x}-{}",
                node.id(),
                node.replica.node().incarnation.0 & 0xffff,
                request_counter.get()
            );
            answer_caller(node, id, request)
        });
    let internal_listeners = [
        operator.serve(internal_shutdown.clone(), ErrorBodyStream::new, move |request| {
            operator::handle(for_operators.clone(), log.clone(), request)
        }),
        metrics.serve(internal_shutdown.clone(), ErrorBodyStream::new, move |request| {
            let node = for_metrics.clone();
            async move { serve_metrics(&node, &request) }
        }),
    ];
    Ok((addresses, caller_listener, internal_listeners))
}

async fn answer_caller<L, C>(
    node: Rc<NodeContext<L, C>>,
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
    let elapsed_ms = node.now().saturating_duration_since(started).as_millis();
    log::debug!(target: "request", "request={id} answered status={} outcome={} ms={elapsed_ms}", answer.status.as_u16(), answer.outcome);
    record_metrics(&node, class, &answer, started);
    answer.into_response(&id)
}

async fn handle_caller<L, C>(
    node: &Rc<NodeContext<L, C>>,
    id: &CompactString,
    request: &mut Request,
) -> (String, Answer)
where
    L: LogService + 'static,
    C: Clock + 'static,
{
    if let Some(path) = JobPath::parse(request) {
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

fn record_metrics<L, C>(node: &NodeContext<L, C>, class: String, answer: &Answer, started: Instant)
where
    L: LogService,
    C: Clock + 'static,
{
    // Unknown class names come from callers and would make the number of label values unbounded.
    let is_known = node.replica.state().fleet.classes.keys().any(|c| c.as_str() == class);
    let class = if is_known || class == "jobs" { class } else { "invalid".into() };
    let labels = RequestLabels { class, outcome: answer.outcome.to_string() };
    node.metrics.requests.get_or_create(&labels).inc();
    node.metrics
        .request_seconds
        .observe(node.now().saturating_duration_since(started).as_secs_f64());
}

fn serve_metrics<L, C>(node: &NodeContext<L, C>, request: &Request) -> Response<Bytes> {
    if request.path() != "/metrics" {
        return Response::with_body(
            StatusCode::NOT_FOUND,
            Bytes::from_static(b"use GET /metrics\n"),
        );
    }
    let mut response = Response::with_body(StatusCode::OK, Bytes::from(node.metrics.encode()));
    let content_type = header::HeaderValue::from_static(
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    );
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
