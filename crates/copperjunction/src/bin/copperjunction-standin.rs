//! Daemon that serves the fakes of the platform's log, VM control, workers and minions on loopback ports.

use std::{process::ExitCode, time::Duration};

use compact_str::{CompactString, ToCompactString, format_compact};
use lexopt::prelude::*;

use cj_standin::{LogOptions, Platform, PlatformOptions};
use cj_types::{Error, ErrorKind, Resources, Result};

const HELP: &str = "\
Runs small fakes of the platform's log, VM control, workers and upstreams on loopback ports.

Usage: copperjunction-standin [OPTIONS]

Options:
  --log-port PORT         port of the log [default: 7801]
  --vm-port PORT          port of VM control [default: 7802]
  --control-port PORT     port of POST /v1/faults and GET /v1/observed [default: 7803]
  --minions POOL:SERVICE:COUNT:MIN
                          add a pool of minions that serve SERVICE, with an availability budget of MIN VMs; may be
                          repeated
  --workers POOL:COUNT:MIN:CORES:MEMORY
                          add a pool of workers with an availability budget of MIN VMs (CORES in millicores, MEMORY
                          in MiB); may be repeated
  --zones NAMES           data centres, separated by commas [default: dc-1,dc-2,dc-3]
  --list-lag MS           lag of the VM list [default: 500]
  --service-time MS       mean service time of requests [default: 20]
  --append-rate N         maximum number of appends per second [default: 400]
  --retention N           records retained per stream [default: 100000]
  -h, --help              show this help
  -V, --version           show the version

Port 0 picks a free port. SIGTERM and Ctrl-C stop it. Exit codes: 0 ok, 1 failed, 2 invalid command line.

Example:
  copperjunction-standin --minions proofs:proofs:8:6 --workers presses:8:6:64000:262144
";

const EXIT_USAGE: u8 = 2;

enum Command {
    Run(Box<PlatformOptions>),
    Print(CompactString),
}

enum Pool {
    Minions(String),
    Workers(String),
}

fn usage(problem: impl ToCompactString) -> Error {
    Error::new(ErrorKind::Usage(problem.to_compact_string()), "see --help")
}

fn parse(mut parser: lexopt::Parser) -> Result<Command> {
    let mut options =
        PlatformOptions { log_port: 7801, vm_port: 7802, control_port: 7803, ..Default::default() };
    let mut zones = String::from("dc-1,dc-2,dc-3");
    let mut pools = Vec::new();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Short('h') | Long("help") => return Ok(Command::Print(HELP.into())),
            Short('V') | Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format_compact!("copperjunction-standin {version}\n")));
            }
            Long("log-port") => options.log_port = number(&mut parser)?,
            Long("vm-port") => options.vm_port = number(&mut parser)?,
            Long("control-port") => options.control_port = number(&mut parser)?,
            Long("minions") => pools.push(Pool::Minions(text(&mut parser)?)),
            Long("workers") => pools.push(Pool::Workers(text(&mut parser)?)),
            Long("zones") => zones = text(&mut parser)?,
            Long("list-lag") => options.list_lag = Duration::from_millis(number(&mut parser)?),
            Long("service-time") => {
                options.service_time = Duration::from_millis(number(&mut parser)?);
            }
            Long("append-rate") => options.log.append_rate = number(&mut parser)?,
            Long("retention") => options.log.retention = number(&mut parser)?,
            other => return Err(usage(other.unexpected())),
        }
    }
    let zones: Vec<&str> = zones.split(',').collect();
    let options = pools.iter().try_fold(options, |options, pool| add_pool(options, pool, &zones));
    options.map(|options| Command::Run(Box::new(options)))
}

fn text(parser: &mut lexopt::Parser) -> Result<String> {
    parser.value().and_then(|value| value.string()).map_err(usage)
}

fn number<T>(parser: &mut lexopt::Parser) -> Result<T>
where
    T: std::str::FromStr<Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>>,
{
    parser.value().and_then(|value| value.parse()).map_err(usage)
}

fn field<T>(fields: &[&str], index: usize) -> Result<T>
where
    T: std::str::FromStr,
{
    let parsed = fields.get(index).and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| usage(format_compact!("malformed pool `{}`", fields.join(":"))))
}

fn add_pool(options: PlatformOptions, pool: &Pool, zones: &[&str]) -> Result<PlatformOptions> {
    match pool {
        Pool::Minions(text) => {
            let fields: Vec<&str> = text.split(':').collect();
            let service: String = field(&fields, 1)?;
            let (count, min) = (field(&fields, 2)?, field(&fields, 3)?);
            options.with_minions(fields[0], &service, count, min, zones)
        }
        Pool::Workers(text) => {
            let fields: Vec<&str> = text.split(':').collect();
            let (count, min) = (field(&fields, 1)?, field(&fields, 2)?);
            let (cores, memory) = (field(&fields, 3)?, field(&fields, 4)?);
            let resources = Resources { cores, memory, ..Resources::default() };
            options.with_workers(fields[0], count, min, zones, resources)
        }
    }
}

async fn run(options: PlatformOptions) -> Result<()> {
    let failed = |e: std::io::Error| {
        Error::new(ErrorKind::Io(e.to_compact_string()), "check the resource limits of the process")
    };
    let LogOptions { append_rate, retention, .. } = options.log;
    let kind = tokio::signal::unix::SignalKind::terminate();
    let mut term = tokio::signal::unix::signal(kind).map_err(failed)?;
    let platform = Platform::start(options)?;
    println!("log        http://{}", platform.log_address());
    println!("VM control http://{}", platform.vm_address());
    println!("control    http://{}", platform.control_address());
    let count = platform.vms().len();
    println!("{count} VMs; {append_rate} appends/s; {retention} records retained per stream");
    tokio::select! {
        _ = term.recv() => {}
        result = tokio::signal::ctrl_c() => result.map_err(failed)?,
    }
    let seen = platform.observed();
    platform.stop();
    println!("stopped after {} appends and {} job keys", seen.log_appends, seen.executions.len());
    Ok(())
}

fn init_logs() {
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("cj_standin", log::LevelFilter::Info)
        .format(|out, message, record| {
            let at = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{at} {} {message}", record.level()));
        })
        .chain(std::io::stderr());
    // Setting the logger fails only when one is already set.
    let _ = dispatch.apply();
}

fn main() -> ExitCode {
    let command = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("copperjunction-standin: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match command {
        Command::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Command::Run(options) => {
            init_logs();
            match actix_rt::System::new().block_on(run(*options)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("copperjunction-standin: {error}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}
