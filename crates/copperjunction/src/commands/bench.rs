//! `bench`: runs a benchmark.

use std::time::Instant;

use lexopt::{Arg, Parser, ValueExt};
use serde_json::Value;

use cj_bench::{BENCHMARKS, Benchmark, Options};
use cj_types::Result;

use crate::output::{Exit, ReportFormat, progress, usage_error};

use super::{
    check::next_value,
    command::{Command, argument_error},
};

pub(super) const COMMAND: Command = Command { name: "bench", help: HELP, run };

const HELP: &str = "\
Runs a benchmark of the scheduling code and prints its report.

Usage: copperjunction bench NAME [OPTIONS]

Options:
  --seed N            seed of the pseudo-random generator [1]
  --workers N         number of workers, for benchmarks of variable size
  --nodes N           number of entry nodes, for benchmarks of variable size
  --report text|json  format of the report [text]
  --list              list the benchmarks
  -h, --help          show this help

Example:
  copperjunction bench flood --seed 1 --report json
";

fn run(parser: &mut Parser) -> Result<Exit> {
    let mut options = Options { seed: 1, workers: None, nodes: None };
    let (mut report, mut name) = (ReportFormat::Text, None);
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("seed") => options.seed = next_number(parser)?,
            Arg::Long("workers") => options.workers = Some(next_number(parser)?),
            Arg::Long("nodes") => options.nodes = Some(next_number(parser)?),
            Arg::Long("report") => report = next_value(parser)?.parse()?,
            Arg::Long("list") => {
                BENCHMARKS.iter().for_each(|(name, _)| println!("{name}"));
                return Ok(Exit::Ok);
            }
            Arg::Value(value) if name.is_none() => {
                name = Some(value.string().map_err(|e| argument_error(&e))?);
            }
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    let name = name.ok_or_else(|| usage_error("no benchmark given", "see `bench --list`"))?;
    let bench = find(&name)?;
    progress(&format!("running benchmark {name}"));
    let started = Instant::now();
    let result = bench(&options)?;
    progress(&format!("finished after {:.1} s", started.elapsed().as_secs_f64()));
    match report {
        ReportFormat::Json => println!("{result}"),
        ReportFormat::Text => print(&result, ""),
    }
    Ok(Exit::Ok)
}

fn find(name: &str) -> Result<Benchmark> {
    let found = BENCHMARKS.iter().find(|(known, _)| *known == name);
    let unknown = || usage_error(format!("unknown benchmark `{name}`"), "see `bench --list`");
    found.map(|(_, bench)| *bench).ok_or_else(unknown)
}

/// Parses the next argument as a whole number.
pub(super) fn next_number<T>(parser: &mut Parser) -> Result<T>
where
    T: std::str::FromStr,
{
    let value = next_value(parser)?;
    value
        .parse()
        .map_err(|_| usage_error(format!("`{value}` is not a whole number"), "use digits only"))
}

fn print(value: &Value, prefix: &str) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
                print(value, &path);
            }
        }
        Value::Number(n) if n.is_f64() => {
            println!("{prefix:<48} {:>14.4}", n.as_f64().unwrap_or_default());
        }
        other => println!("{prefix:<48} {other:>14}"),
    }
}
