//! Latency that the entry daemon adds to a request: the same requests through a real daemon over loopback and straight to
//! the stand-in, in turn.

use std::{
    cell::RefCell,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use awc::Client;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use cj_demo::{Nodes, Site, SiteSize, publisher::Publisher};
use cj_node::NodeThread;
use cj_settings::{
    NodeSettings,
    node::{LogTarget, PeerKey},
};
use cj_standin::Platform;
use cj_types::{Error, ErrorKind, Result};

use crate::Options;

/// Requests of each way.
const REQUESTS: usize = 2_000;
/// Service time of the minions; short, so that the added time shows.
const SERVICE_TIME: Duration = Duration::from_millis(1);
/// Longest wait for the node and its first answer.
const READY_LIMIT: Duration = Duration::from_secs(20);
const SERVICE: &str = "proofs";

/// Measures both ways in turn, so that the load of the machine falls on both alike.
pub fn run(options: &Options) -> Result<Value> {
    actix_rt::System::new().block_on(compare(options.seed))
}

fn failed(problem: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Failed(problem.to_string().into()), "run it again on an idle machine")
}

async fn compare(seed: u64) -> Result<Value> {
    let mut site = Site::new(SiteSize::SMALL, seed)?;
    site.platform.service_times.insert(SERVICE.parse()?, SERVICE_TIME);
    let platform = Platform::start(site.platform.clone())?;
    let settings = settings(&site, &platform)?;
    let nodes = Nodes::start(1, Rc::new(move |_| Box::pin(start(settings.clone())))).await?;
    let publisher = Publisher::new(nodes.clone(), site.offices.clone(), seed);
    publisher.wait_ready(READY_LIMIT).await?;
    publisher.publish_all(&site.settings).await?;
    let caller = nodes.running().first().map(|n| n.callers).ok_or_else(|| failed("no node"))?;
    let minions = platform.vms();
    let minion =
        minions.iter().find(|row| row.service.as_ref().is_some_and(|s| s.as_str() == SERVICE));
    let minion = minion.map(|row| row.address).ok_or_else(|| failed("no minion"))?;
    let client = Client::default();
    let (through, direct) =
        (format!("http://{caller}/v1/{SERVICE}/{SERVICE}"), format!("http://{minion}/{SERVICE}"));
    wait_served(&client, &through).await?;
    let mut direct_us = histogram();
    let mut through_us = histogram();
    for number in 0..REQUESTS {
        let body = format!("request {number}");
        direct_us.saturating_record(timed(&client, &direct, &body).await?);
        through_us.saturating_record(timed(&client, &through, &body).await?);
    }
    nodes.stop(READY_LIMIT).await;
    platform.stop();
    let at = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q);
    let added = |q| at(&through_us, q).saturating_sub(at(&direct_us, q));
    Ok(json!({
        "benchmark": "added",
        "seed": seed,
        "requests": REQUESTS,
        "direct_p50_us": at(&direct_us, 0.5),
        "direct_p99_us": at(&direct_us, 0.99),
        "through_p50_us": at(&through_us, 0.5),
        "through_p99_us": at(&through_us, 0.99),
        "added_p50_us": added(0.5),
        "added_p99_us": added(0.99),
    }))
}

fn histogram() -> Histogram<u64> {
    const MAX_MICROS: u64 = 60_000_000;
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("constant bounds")
}

async fn timed(client: &Client, url: &str, body: &str) -> Result<u64> {
    let started = Instant::now();
    let request =
        client.post(url).insert_header(("x-caller", "bench")).insert_header(("x-team", "houses"));
    let mut response = request.send_body(body.to_owned()).await.map_err(failed)?;
    response.body().await.map_err(failed)?;
    if !response.status().is_success() {
        return Err(failed(format!("status {}", response.status())));
    }
    Ok(started.elapsed().as_micros() as u64)
}

async fn wait_served(client: &Client, url: &str) -> Result<()> {
    let started = Instant::now();
    while timed(client, url, "warm-up").await.is_err() {
        if started.elapsed() > READY_LIMIT {
            return Err(failed("the node did not serve within 20 s"));
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

fn settings(site: &Site, platform: &Platform) -> Result<NodeSettings> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(NodeSettings {
        node: "node-1".parse()?,
        region: "bench".parse()?,
        centre: "k1".parse()?,
        cluster: "bench".into(),
        caller_address: any,
        peer_address: any,
        operator_address: any,
        metrics_address: any,
        log_address: platform.log_address(),
        control_address: platform.vm_address(),
        peer_addresses: Vec::new(),
        peer_key: PeerKey([7; 32]),
        office_keys: site.offices.iter().map(|o| (o.id.clone(), o.public_key())).collect(),
        log_level: log::LevelFilter::Off,
        log_target: LogTarget::Stderr,
    })
}

async fn start(settings: NodeSettings) -> Result<cj_demo::NodeHandle> {
    let node = NodeThread::start(settings).await?;
    let addresses = node.addresses();
    let node = Rc::new(RefCell::new(Some(node)));
    let (killed, stopped) = (node.clone(), node);
    Ok(cj_demo::NodeHandle {
        callers: addresses.caller,
        operators: addresses.operator,
        kill: Box::new(move || drop(killed.borrow_mut().take())),
        pause: Box::new(|_| {}),
        stop: Box::new(move || {
            Box::pin(async move {
                let node = stopped.borrow_mut().take();
                if let Some(node) = node {
                    node.stop().await;
                }
            })
        }),
    })
}
