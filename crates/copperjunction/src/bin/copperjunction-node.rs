//! The entry daemon: runs one entry node until SIGTERM or SIGINT.

use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

use cj_log::HttpLog;
use cj_node::{Node, logging};
use cj_settings::{NodeSettings, read_node_ini};
use cj_types::{Error, ErrorKind, Result, SystemClock};
use copperjunction::output::{report_error, usage_error};
use tokio::signal::unix::{SignalKind, signal};

const PROGRAM: &str = "copperjunction-node";

const HELP: &str = "\
Entry daemon of copperjunction. SIGTERM and SIGINT stop it gracefully.

Usage: copperjunction-node --settings FILE

Options:
  --settings FILE  settings file of this node (INI)
  -h, --help       show this help
  -V, --version    show the version

Exit codes: 0 ok, 1 failed, 2 invalid command line.

Example:
  copperjunction-node --settings examples/node.ini
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(PROGRAM, &error),
    }
}

fn run() -> Result<()> {
    let Some(settings) = settings()? else { return Ok(()) };
    logging::install(settings.log_level, &settings.log_target)?;
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> Result<()> {
    let failed = |e: std::io::Error| {
        Error::new(ErrorKind::Io(e.to_string().into()), "check the resource limits of the process")
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let log = HttpLog::new(&settings.log_address.to_string())?;
    let node = Node::start(settings, log, SystemClock).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop().await;
    Ok(())
}

fn settings() -> Result<Option<NodeSettings>> {
    let mut parser = Parser::from_env();
    let wrong = |e: lexopt::Error| usage_error(e.to_string(), "see `copperjunction-node --help`");
    let mut file = None;
    while let Some(arg) = parser.next().map_err(wrong)? {
        match arg {
            Arg::Long("settings") => {
                file = Some(parser.value().and_then(ValueExt::string).map_err(wrong)?);
            }
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Arg::Short('V') | Arg::Long("version") => {
                println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(wrong(other.unexpected())),
        }
    }
    let file =
        file.ok_or_else(|| usage_error("no settings file given", "name it with `--settings`"))?;
    let text = std::fs::read_to_string(&file).map_err(|e| {
        let problem = format!("cannot read {file}: {e}").into();
        Error::new(ErrorKind::Io(problem), "check the file name and the permissions")
    })?;
    read_node_ini(&file, &text).map(Some).map_err(|errors| {
        let list: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Error::new(ErrorKind::Failed(list.join("\n").into()), "correct the file and start again")
    })
}
