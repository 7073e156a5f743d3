//! `explain`: tells why a job, a VM or a setting was treated as it was.

use lexopt::{Arg, Parser, ValueExt};
use serde_json::Value;

use cj_types::{Error, ErrorKind, Result};

use crate::{
    client::{Operator, block_on},
    output::{Exit, Report, usage},
};

use super::{
    check::text,
    command::{Command, wrong_use},
    status::{address, no_node},
};

pub(super) const COMMAND: Command = Command { name: "explain", help: HELP, run };

const HELP: &str = "\
Tells from the recorded decisions why a job, a VM or a setting was treated as it was.

Usage: copperjunction explain --node IP:PORT ID

ID is a VM id, CALLER/KEY of a job, or the path of a setting.

Options:
  --node IP:PORT      operator address of an entry node
  --report text|json  form of the report [text]
  -h, --help          show this help

Example:
  copperjunction explain --node 127.0.0.1:7003 worker-07
";

fn run(parser: &mut Parser) -> Result<Exit> {
    let (mut node, mut report, mut id) = (None, Report::Text, None);
    while let Some(arg) = parser.next().map_err(|e| wrong_use(&e))? {
        match arg {
            Arg::Long("node") => node = Some(address(&text(parser)?)?),
            Arg::Long("report") => report = text(parser)?.parse()?,
            Arg::Value(value) if id.is_none() => {
                id = Some(value.string().map_err(|e| wrong_use(&e))?);
            }
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(wrong_use(&other.unexpected())),
        }
    }
    let node = node.ok_or_else(no_node)?;
    let id = id.ok_or_else(|| usage("no id given", "name a VM, CALLER/KEY or a settings path"))?;
    let (code, answer) = block_on(Operator::new(node).get(&format!("/explain/{id}")))?;
    if code != 200 {
        let reason = answer["error"].as_str().unwrap_or("no answer").to_owned();
        let help = answer["help"].as_str().unwrap_or("check the id").to_owned();
        return Err(Error::new(ErrorKind::Failed(reason.into()), help));
    }
    match report {
        Report::Json => println!("{answer}"),
        Report::Text => print(&id, &answer),
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
