//! `explain`: shows the decisions about a job, a VM or a setting, from a node's records or from log files.

use std::path::{Path, PathBuf};

use lexopt::{Arg, Parser, ValueExt};
use serde_json::{Value, json};

use cj_story::{Relation, causes, read_logs, timeline};
use cj_types::{Error, ErrorKind, Result};

use crate::{
    client::{NodeClient, block_on},
    output::{Exit, ReportFormat, usage_error},
};

use super::{
    check::next_value,
    command::{Command, argument_error},
    status::{missing_node, parse_address},
};

pub(super) const COMMAND: Command = Command { name: "explain", help: HELP, run };

const HELP: &str = "\
Explains from recorded decisions what happened to a job, a VM or a setting, and why.

Usage: copperjunction explain --node IP:PORT ID
       copperjunction explain --logs PATH ID

With --node, ID is a VM id, CALLER/KEY of a job, or the path of a setting. With --logs, it is the id of a job, task, worker,
VM or wave, as in the log lines of `copperjunction-entry`.

Options:
  --node IP:PORT      operator address of an entry node
  --logs PATH         file or directory with the log lines of all nodes
  --report text|json  format of the report [text]
  -h, --help          show this help

Example:
  copperjunction explain --node 127.0.0.1:7003 worker-07
  copperjunction explain --logs logs/ 0e5ba474e38ad43a
";

fn run(parser: &mut Parser) -> Result<Exit> {
    let (mut node, mut logs, mut report, mut id) = (None, None, ReportFormat::Text, None);
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("node") => node = Some(parse_address(&next_value(parser)?)?),
            Arg::Long("logs") => logs = Some(PathBuf::from(next_value(parser)?)),
            Arg::Long("report") => report = next_value(parser)?.parse()?,
            Arg::Value(value) if id.is_none() => {
                id = Some(value.string().map_err(|e| argument_error(&e))?);
            }
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    let id =
        id.ok_or_else(|| usage_error("no id given", "name a VM, CALLER/KEY or a settings path"))?;
    if let Some(path) = logs {
        return explain_from_logs(&path, &id, report);
    }
    let node = node.ok_or_else(missing_node)?;
    let (code, answer) = block_on(NodeClient::new(node).get(&format!("/explain/{id}")))?;
    if code != 200 {
        let reason = answer["error"].as_str().unwrap_or("no answer").to_owned();
        let help = answer["help"].as_str().unwrap_or("check the id").to_owned();
        return Err(Error::new(ErrorKind::Failed(reason.into()), help));
    }
    match report {
        ReportFormat::Json => println!("{answer}"),
        ReportFormat::Text => print(&id, &answer),
    }
    Ok(Exit::Ok)
}

/// Prints the timeline of an id and the causes found in it, from log files.
fn explain_from_logs(path: &Path, id: &str, report: ReportFormat) -> Result<Exit> {
    let (lines, unread) = read_logs(path)?;
    let timeline = timeline(&lines, id);
    let Some((_, first)) = timeline.lines.first() else {
        let problem =
            format!("none of the {} lines in {} contains {id}", lines.len(), path.display());
        return Err(Error::new(
            ErrorKind::Failed(problem.into()),
            "give the id of a job, task, worker, VM or wave, and the logs of all nodes",
        ));
    };
    let causes = causes(&timeline);
    if let ReportFormat::Json = report {
        let rows = timeline
            .lines
            .iter()
            .map(|(part, line)| json!({"own": *part == Relation::Own, "line": line.to_string()}));
        let causes = causes.iter().map(|(at, cause)| json!({"at": at, "cause": cause}));
        let (rows, causes) = (rows.collect::<Value>(), causes.collect::<Value>());
        println!("{}", json!({"id": id, "causes": causes, "lines": rows, "unread": unread}));
        return Ok(Exit::Ok);
    }
    println!("{id}, from {} on, ms; `*` marks a line that shows a cause", first.at);
    for (part, line) in &timeline.lines {
        let shows = causes.iter().any(|(at, _)| *at == line.at) && *part == Relation::Own;
        let mark = if shows { "*" } else { " " };
        let indent = if *part == Relation::Own { "" } else { "    " };
        println!("{mark} {:>7} {indent}{line}", line.at - first.at);
    }
    println!("causes:");
    for (at, cause) in &causes {
        println!("  {:>7} {cause}", at - first.at);
    }
    if causes.is_empty() {
        println!("  none: nothing was refused, failed, was lost or waited for long");
    }
    if unread > 0 {
        println!("{unread} lines could not be read");
    }
    Ok(Exit::Ok)
}

fn print(id: &str, answer: &Value) {
    println!("{id}");
    for part in ["job", "vm"] {
        for (key, value) in answer[part].as_object().into_iter().flatten() {
            println!("  {key:<14} {value}");
        }
    }
    println!("decisions, oldest first:");
    for decision in answer["decisions"].as_array().into_iter().flatten() {
        println!(
            "  offset {} at {} ms by {}: {}",
            decision["offset"],
            decision["at_ms"],
            decision["node"].as_str().unwrap_or("?"),
            decision["decision"].as_str().unwrap_or("?"),
        );
    }
}
