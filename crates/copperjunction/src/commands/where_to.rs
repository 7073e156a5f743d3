//! `where`: asks an entry node whether a job would be accepted now, and where it would run.

use std::{fs::File, io::Read, net::SocketAddr};

use lexopt::{Arg, Parser};
use serde::Serialize;
use serde_json::Value;

use cj_types::{Error, ErrorKind, Result};

use crate::{
    client::{NodeClient, block_on},
    output::{Exit, usage_error},
};

use super::{
    check::next_value,
    command::{Command, argument_error},
    status::parse_address,
    where_report,
};

pub(super) const COMMAND: Command = Command { name: "where", help: HELP, run };

const HELP: &str = "\
Asks an entry node whether a job would be accepted now, by which owner, where it would run, when it would end, and why.
The job isn't submitted, and asking changes nothing.

Usage: copperjunction where --node IP:PORT --queue QUEUE --job FILE [OPTIONS]

Options:
  --node IP:PORT     address of the metrics listener of `copperjunction-entry`
  --queue QUEUE      name of the queue
  --job FILE         body of a submission
  --account ACCOUNT  name of the account that the job would belong to; never one of its keys
  --json             print the answer as one JSON object
  -h, --help         show this help

Exit codes: 0 answered, 1 failed, 2 usage error.

Example:
  copperjunction where --node 10.0.0.7:9464 --queue red --job job.json --account blue
";

/// Maximum size of a job in bytes: that of the body of a submission.
const MAX_JOB_BYTES: u64 = 1 << 20;

/// Parameters of the query.
#[derive(Debug, Default, Serialize)]
struct Parameters {
    queue: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    account: Option<String>,
}

fn run(parser: &mut Parser) -> Result<Exit> {
    let (mut node, mut queue, mut job, mut account) = (None, None, None, None);
    let mut as_json = false;
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("node") => node = Some(parse_address(&next_value(parser)?)?),
            Arg::Long("queue") => queue = Some(next_value(parser)?),
            Arg::Long("job") => job = Some(next_value(parser)?),
            Arg::Long("account") => account = Some(next_value(parser)?),
            Arg::Long("json") => as_json = true,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    let node = node.ok_or_else(|| {
        usage_error("no node given", "name its metrics listener with `--node IP:PORT`")
    })?;
    let queue =
        queue.ok_or_else(|| usage_error("no queue given", "name it with `--queue QUEUE`"))?;
    let job = job.ok_or_else(|| usage_error("no job given", "name its file with `--job FILE`"))?;
    let body = read_job(&job)?;
    let answer = ask(node, &Parameters { queue, account }, body)?;
    if as_json {
        println!("{answer}");
    } else {
        print!("{}", where_report::render(&answer));
    }
    Ok(Exit::Ok)
}

/// Reads the body of a submission from a file.
fn read_job(path: &str) -> Result<Vec<u8>> {
    let failed = |problem: String, help: &str| Error::new(ErrorKind::Io(problem.into()), help);
    let mut body = Vec::new();
    let read =
        File::open(path).and_then(|file| file.take(MAX_JOB_BYTES + 1).read_to_end(&mut body));
    read.map_err(|e| {
        failed(format!("cannot read {path}: {e}"), "check the file name and the permissions")
    })?;
    if body.len() as u64 > MAX_JOB_BYTES {
        let problem = format!("{path} is larger than {MAX_JOB_BYTES} bytes");
        return Err(failed(problem, "a submission may not be larger; split the job"));
    }
    Ok(body)
}

/// Sends the query to a node, and returns its answer.
fn ask(node: SocketAddr, parameters: &Parameters, body: Vec<u8>) -> Result<Value> {
    let failed = |problem: &str, help: &str| Error::new(ErrorKind::Failed(problem.into()), help);
    let query = serde_urlencoded::to_string(parameters).map_err(|_| {
        failed("the names can't be encoded", "use the names of a queue and of an account")
    })?;
    let call = async { NodeClient::new(node).post(&format!("/v1/placement?{query}"), body).await };
    let (status, answer) = block_on(call).map_err(|error| {
        let help = "check that the node runs, that this is its metrics listener (`--metrics-port`), \
                    and that its release answers placement queries";
        Error::new(error.kind, help)
    })?;
    if status == 200 {
        return Ok(answer);
    }
    let problem = answer["error"].as_str().unwrap_or("the node refused the query");
    Err(failed(problem, answer["help"].as_str().unwrap_or("check the job and the names")))
}
