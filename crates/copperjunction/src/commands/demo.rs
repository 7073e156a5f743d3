//! `demo`: runs a demonstration with fakes of the platform and entry nodes in one process.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use lexopt::{Arg, Parser};

use cj_demo::{DemoOptions, FaultKind, NodeHandle, Site, SiteSize};
use cj_node::{NodeThread, logging};
use cj_settings::{
    NodeSettings,
    node::{LogTarget, PeerKey},
};
use cj_standin::Platform;
use cj_types::{Error, ErrorKind, OfficeId, Result};

use crate::{
    client::block_on,
    output::{Exit, ReportFormat, progress, usage_error},
};

use super::{
    bench::next_number,
    check::next_value,
    command::{Command, argument_error},
};

pub(super) const COMMAND: Command = Command { name: "demo", help: HELP, run };

const HELP: &str = "\
Runs the whole system in one process: fakes of the platform, entry nodes on loopback ports, callers and operators of both
organisations, a maintenance wave, and faults. Reports what the callers and the fakes observed.

Usage: copperjunction demo [OPTIONS]

Options:
  --seed N            seed of arrivals, faults and choices [1]
  --duration 20s      time during which work arrives [20s]
  --nodes N           number of entry nodes [3]
  --size small|full   small: 33 VMs; full: the sizes of both organisations [small]
  --faults LIST       all, none, or names separated by commas [none]: log-down, log-slow, lost-answers, node-killed,
                      node-paused, upstream-killed, bad-worker, stale-list, cancel-wave, flood-least, flood-most
  --log LEVEL         log lines of the nodes on standard error [off]
  --report text|json  format of the report [text]; json is the last line of standard output
  -h, --help          show this help

Exits with 1 when an invariant or a target is violated.

Example:
  copperjunction demo --seed 1 --duration 20s --faults all
";

/// Minimum number of entry nodes; with fewer, none would be left to take over from a killed node and to compare with.
const MIN_NODES: usize = 2;

struct Options {
    demo: DemoOptions,
    size: SiteSize,
    level: log::LevelFilter,
    report: ReportFormat,
}

fn run(parser: &mut Parser) -> Result<Exit> {
    let Some(options) = options(parser)? else {
        print!("{HELP}");
        return Ok(Exit::Ok);
    };
    logging::install(options.level, &LogTarget::Stderr)?;
    block_on(run_demo(options))
}

fn options(parser: &mut Parser) -> Result<Option<Options>> {
    let demo = DemoOptions { duration: Duration::from_secs(20), ..DemoOptions::default() };
    let (size, level, report) = (SiteSize::SMALL, log::LevelFilter::Off, ReportFormat::Text);
    let mut options = Options { demo, size, level, report };
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("seed") => options.demo.seed = next_number(parser)?,
            Arg::Long("duration") => options.demo.duration = parse_duration(&next_value(parser)?)?,
            Arg::Long("nodes") => options.demo.nodes = next_number(parser)?,
            Arg::Long("size") => options.size = parse_size(&next_value(parser)?)?,
            Arg::Long("faults") => {
                options.demo.faults = FaultKind::parse_list(&next_value(parser)?)?
            }
            Arg::Long("log") => options.level = parse_level(&next_value(parser)?)?,
            Arg::Long("report") => options.report = next_value(parser)?.parse()?,
            Arg::Short('h') | Arg::Long("help") => return Ok(None),
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    if options.demo.nodes < MIN_NODES {
        return Err(usage_error("too few entry nodes", "use at least 2"));
    }
    Ok(Some(options))
}

fn parse_duration(text: &str) -> Result<Duration> {
    let wrong = |_| usage_error(format!("`{text}` is not a duration"), "use a form such as `20s`");
    humantime::parse_duration(text).map_err(wrong)
}

fn parse_size(text: &str) -> Result<SiteSize> {
    match text {
        "small" => Ok(SiteSize::SMALL),
        "full" => Ok(SiteSize::FULL),
        _ => Err(usage_error(format!("unknown size `{text}`"), "use `small` or `full`")),
    }
}

fn parse_level(text: &str) -> Result<log::LevelFilter> {
    let wrong =
        |_| usage_error(format!("unknown level `{text}`"), "use off, error, warn, info or debug");
    text.parse().map_err(wrong)
}

async fn run_demo(options: Options) -> Result<Exit> {
    let site = Site::new(options.size, options.demo.seed)?;
    let platform = Arc::new(Platform::start(site.platform.clone())?);
    let cluster = Rc::new(Cluster::new(&site, &platform, options.demo.nodes)?);
    let seconds = options.demo.duration.as_secs();
    progress(&format!("{} entry nodes, work for {seconds} s", options.demo.nodes));
    let start = move |index| {
        let cluster = cluster.clone();
        async move { cluster.start(index).await }
    };
    let report = cj_demo::run(site, options.demo, platform.clone(), start).await?;
    platform.stop();
    match options.report {
        ReportFormat::Text => print!("{report}"),
        ReportFormat::Json => {
            let json = serde_json::to_string(&report).map_err(|e| {
                Error::new(ErrorKind::Failed(e.to_string().into()), "report this as a bug")
            })?;
            println!("{json}");
        }
    }
    Ok(if report.ok { Exit::Ok } else { Exit::Failed })
}

/// Settings shared by the entry nodes, and the peer addresses known so far.
struct Cluster {
    log: SocketAddr,
    vm_control: SocketAddr,
    offices: BTreeMap<OfficeId, [u8; 32]>,
    data_centres: Vec<&'static str>,
    /// Peer addresses reserved for the first start of each node. A later start uses a free port and contacts the known
    /// peers.
    first_peers: RefCell<BTreeMap<usize, SocketAddr>>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl Cluster {
    fn new(site: &Site, platform: &Platform, nodes: usize) -> Result<Self> {
        let offices = site.offices.iter().map(|o| (o.id.clone(), o.public_key())).collect();
        let first = free_addresses(nodes)?;
        Ok(Cluster {
            log: platform.log_address(),
            vm_control: platform.vm_address(),
            offices,
            data_centres: vec!["k1", "k2", "k3", "k4"],
            peers: RefCell::new(first.clone()),
            first_peers: RefCell::new(first.into_iter().enumerate().collect()),
        })
    }

    fn settings(&self, index: usize) -> Result<NodeSettings> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Ok(NodeSettings {
            node: format!("node-{}", index + 1).parse()?,
            region: "demo".parse()?,
            centre: self.data_centres[index % self.data_centres.len()].parse()?,
            cluster: "demo".into(),
            caller_address: any,
            peer_address: self.first_peers.borrow_mut().remove(&index).unwrap_or(any),
            operator_address: any,
            metrics_address: any,
            log_address: self.log,
            control_address: self.vm_control,
            peer_addresses: self.peers.borrow().clone(),
            peer_key: PeerKey([7; 32]),
            office_keys: self.offices.clone(),
            log_level: log::LevelFilter::Off,
            log_target: LogTarget::Stderr,
        })
    }

    async fn start(&self, index: usize) -> Result<NodeHandle> {
        let node = NodeThread::start(self.settings(index)?).await?;
        let addresses = node.addresses();
        if !self.peers.borrow().contains(&addresses.peer) {
            self.peers.borrow_mut().push(addresses.peer);
        }
        let node = Rc::new(RefCell::new(Some(node)));
        let (killed, paused, stopped) = (node.clone(), node.clone(), node);
        Ok(NodeHandle {
            callers: addresses.caller,
            operators: addresses.operator,
            kill: Box::new(move || drop(killed.borrow_mut().take())),
            pause: Box::new(move |time| {
                if let Some(node) = &*paused.borrow() {
                    node.pause(time);
                }
            }),
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
}

/// Loopback addresses whose ports are free at the time of the call.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let failed = |e: std::io::Error| {
        Error::new(ErrorKind::Io(e.to_string().into()), "check that loopback ports are free")
    };
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed);
    let listeners = (0..count).map(bind).collect::<Result<Vec<_>>>()?;
    listeners.iter().map(|l| l.local_addr().map_err(failed)).collect()
}
