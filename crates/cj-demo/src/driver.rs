//! Runs a demonstration, from the start of the nodes to the report.

use std::{
    cell::Cell,
    future::Future,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use cj_record::SettingPath;
use cj_standin::Platform;
use cj_types::Result;

use crate::{
    callers::Callers,
    faults::{FaultKind, Injector, PlannedFault, schedule},
    nodes::{NodeHandle, Nodes},
    publisher::Publisher,
    report::{Evidence, Report},
    site::Site,
};

/// Time within which all nodes must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The maintenance wave is published after this share of the demonstration's duration.
const WAVE_START_SHARE: f64 = 0.1;

/// Time within which a node must shut down gracefully; by then nearly all work has ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the driver checks whether all work has ended.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of a demonstration.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Number of entry nodes.
    pub nodes: usize,
    /// Time during which work arrives.
    pub duration: Duration,
    /// Maximum time after that for work in flight to end.
    pub settle_timeout: Duration,
    /// Time between the publication of the settings and the first arrival, during which the nodes register the VMs.
    pub warm_up: Duration,
    /// Faults; each is injected twice.
    pub faults: Vec<FaultKind>,
    /// Duration of the burst that each workload has in turn; zero for an even load.
    pub burst_duration: Duration,
    /// Interval of publications per office.
    pub publish_interval: Duration,
    /// Whether a maintenance wave over all pools runs.
    pub wave: bool,
    /// Seed of arrivals, faults and choices.
    pub seed: u64,
}

impl Default for DemoOptions {
    fn default() -> Self {
        DemoOptions {
            nodes: 3,
            duration: Duration::from_secs(60),
            settle_timeout: Duration::from_secs(60),
            warm_up: Duration::from_secs(3),
            faults: Vec::new(),
            burst_duration: Duration::from_secs(3),
            publish_interval: Duration::from_secs(1),
            wave: true,
            seed: 1,
        }
    }
}

/// Runs a demonstration on a started platform. `start_node` starts the entry node with the given index, also again after
/// it was killed. The nodes are stopped at the end, the platform isn't. Violated invariants are no errors but are listed
/// in the report.
///
/// # Errors
///
/// A node doesn't start or become ready, or the settings of the site are rejected.
pub async fn run<F, R>(
    site: Site,
    options: DemoOptions,
    platform: Arc<Platform>,
    start_node: F,
) -> Result<Report>
where
    F: Fn(usize) -> R + 'static,
    R: Future<Output = Result<NodeHandle>> + 'static,
{
    let start_node = Rc::new(move |index| {
        let started: futures::future::LocalBoxFuture<'static, _> = Box::pin(start_node(index));
        started
    });
    let nodes = Nodes::start(options.nodes, start_node).await?;
    let publisher = Publisher::new(nodes.clone(), site.offices.clone(), options.seed);
    publisher.wait_ready(READY_TIMEOUT).await?;
    publisher.publish_all(&site.settings).await?;
    tokio::time::sleep(options.warm_up).await;

    let callers =
        Callers::new(site.workloads.clone(), nodes.clone(), options.burst_duration, options.seed);
    let started = Instant::now();
    callers.start();
    start_operators(&site, &options, &publisher);
    let planned = schedule(&options.faults, options.duration, options.seed);
    let (seed, driver_faults) = (options.seed, Rc::new(Cell::new(0)));
    let injector = Rc::new(Injector {
        platform: platform.clone(),
        nodes: nodes.clone(),
        callers: callers.clone(),
        seed,
    });
    let faults = planned.iter().map(|fault| {
        actix_rt::spawn(inject(
            *fault,
            started,
            injector.clone(),
            publisher.clone(),
            driver_faults.clone(),
        ))
    });
    let faults: Vec<_> = faults.collect();
    tokio::time::sleep_until((started + options.duration).into()).await;
    callers.stop();
    let duration = started.elapsed();
    log::info!("arrivals stopped; {} work items in flight", callers.in_flight());
    // All faults end before the remaining work is given time to end.
    futures::future::join_all(faults).await;
    log::info!("all faults ended");
    let settled = Instant::now();
    while callers.in_flight() > 0 && settled.elapsed() < options.settle_timeout {
        tokio::time::sleep(SETTLE_POLL_INTERVAL).await;
    }
    log::info!("stopping the nodes; {} work items in flight", callers.in_flight());
    publisher.stop();
    let not_stopped = nodes.stop(STOP_TIMEOUT).await;
    log::info!("nodes stopped; {not_stopped} did not stop in time");
    let evidence = Evidence {
        ledger: callers.ledger.borrow().clone(),
        observed: platform.observed(),
        publications: publisher.results(),
        faults: planned,
        driver_faults: driver_faults.get(),
        skipped: callers.skipped(),
        not_stopped,
        duration,
    };
    Ok(Report::new(evidence))
}

fn start_operators(site: &Site, options: &DemoOptions, publisher: &Rc<Publisher>) {
    actix_rt::spawn(publisher.clone().watch_versions());
    let weights =
        site.settings.iter().filter(|(path, _)| path.kind == "team" && path.key == "weight");
    for (path, _) in weights {
        let path: SettingPath = path.clone();
        actix_rt::spawn(publisher.clone().publish_weights(path, options.publish_interval));
    }
    if options.wave {
        let (wave, publisher) = (site.wave_settings.clone(), publisher.clone());
        let delay = options.duration.mul_f64(WAVE_START_SHARE);
        actix_rt::spawn(async move {
            tokio::time::sleep(delay).await;
            if let Err(error) = publisher.publish_all(&wave).await {
                log::error!("the maintenance wave was not published: {error}");
            }
        });
    }
}

async fn inject(
    fault: PlannedFault,
    started: Instant,
    injector: Rc<Injector>,
    publisher: Rc<Publisher>,
    driver_faults: Rc<Cell<u64>>,
) {
    tokio::time::sleep_until((started + fault.at).into()).await;
    let by_driver = matches!(
        fault.kind,
        FaultKind::NodeKilled
            | FaultKind::NodePaused
            | FaultKind::CancelWave
            | FaultKind::FloodLeast
            | FaultKind::FloodMost
    );
    driver_faults.set(driver_faults.get() + u64::from(by_driver));
    let is_outage = fault.kind == FaultKind::LogDown;
    if is_outage {
        publisher.set_log_down(true);
    }
    injector.inject(fault).await;
    if is_outage {
        publisher.set_log_down(false);
    }
}
