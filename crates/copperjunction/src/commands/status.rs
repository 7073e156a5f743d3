//! `status`: shows the state of the fleet as one node knows it.

use std::net::SocketAddr;

use lexopt::{Arg, Parser};
use serde_json::Value;

use cj_types::{Error, Result};

use crate::{
    client::{NodeClient, block_on},
    output::{Exit, ReportFormat, usage_error},
};

use super::{
    check::next_value,
    command::{Command, argument_error},
};

pub(super) const COMMAND: Command = Command { name: "status", help: HELP, run };

const HELP: &str = "\
Shows the state of the fleet as one node knows it: log, settings, peers, pools, jobs, use of the spare pool.
Exits with 1 when an availability budget is not met or the node reports a fault.

Usage: copperjunction status --node IP:PORT [OPTIONS]

Options:
  --node IP:PORT      operator address of an entry node
  --report text|json  format of the report [text]
  -h, --help          show this help

Example:
  copperjunction status --node 127.0.0.1:7003
";

fn run(parser: &mut Parser) -> Result<Exit> {
    let (mut node, mut report) = (None, ReportFormat::Text);
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("node") => node = Some(parse_address(&next_value(parser)?)?),
            Arg::Long("report") => report = next_value(parser)?.parse()?,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    let node = node.ok_or_else(missing_node)?;
    let (_, status) = block_on(NodeClient::new(node).get("/status"))?;
    match report {
        ReportFormat::Json => println!("{status}"),
        ReportFormat::Text => print(&status),
    }
    Ok(if healthy(&status) { Exit::Ok } else { Exit::Failed })
}

/// Error for a missing `--node` option.
pub(super) fn missing_node() -> Error {
    usage_error("no node given", "name its operator address with `--node IP:PORT`")
}

/// Parses an address of the form `IP:PORT`.
pub(super) fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| usage_error(format!("`{text}` is not an address"), "use IP:PORT"))
}

fn healthy(status: &Value) -> bool {
    let met = |pool: &Value| pool["budget_met"].as_bool().unwrap_or(false);
    let pools = status["pools"].as_object();
    status["fault"].is_null() && pools.is_none_or(|p| p.values().all(met))
}

fn print(status: &Value) {
    let plain = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    for key in ["node", "version", "applied", "settings_offset", "log_reachable", "fault"] {
        println!("{key:<16} {}", plain(&status[key]));
    }
    println!(
        "\n{:<24} {:>7} {:>7} {:>9} {:>7} {:>7}  met",
        "pool", "active", "total", "borrowed", "min", "target"
    );
    for (name, pool) in status["pools"].as_object().into_iter().flatten() {
        println!(
            "{name:<24} {:>7} {:>7} {:>9} {:>7} {:>7}  {}",
            plain(&pool["active"]),
            plain(&pool["total"]),
            plain(&pool["borrowed"]),
            plain(&pool["min_available"]),
            plain(&pool["target"]),
            plain(&pool["budget_met"]),
        );
    }
    println!("\n{:<24} {:>9} {:>9}", "peer", "applied", "settings");
    for peer in status["peers"].as_array().into_iter().flatten() {
        let (applied, settings) = (plain(&peer["applied"]), plain(&peer["settings_offset"]));
        println!("{:<24} {applied:>9} {settings:>9}", plain(&peer["node"]));
    }
    table("job phase", &status["jobs"]);
    table("spare VM seconds", &status["lent_seconds"]);
}

fn table(title: &str, values: &Value) {
    let Some(values) = values.as_object().filter(|v| !v.is_empty()) else { return };
    println!("\n{title}");
    for (name, value) in values {
        println!("  {name:<22} {value:>9}");
    }
}
