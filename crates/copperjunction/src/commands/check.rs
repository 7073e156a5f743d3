//! `check`: validates settings files and reports all errors at once.

use lexopt::{Arg, Parser, ValueExt};

use cj_settings::{FleetFile, read_fleet_files, read_node_ini};
use cj_types::{Error, ErrorKind, OfficeId, Result};

use crate::output::{Exit, ReportFormat, usage_error};

use super::command::{Command, argument_error};

pub(super) const COMMAND: Command = Command { name: "check", help: HELP, run };

const HELP: &str = "\
Validates settings files and reports every error with its file, line and key, and how to correct it.

Usage: copperjunction check [OPTIONS] [--office OFFICE FILE]... [--node FILE]...

Options:
  --office OFFICE FILE  fleet settings of an office; those of several offices are validated together
  --node FILE           settings of an entry node
  --report text|json    format of the report [text]
  -h, --help            show this help

Example:
  copperjunction check --office capacity examples/kartica.ini --node examples/node.ini
";

#[derive(Default)]
struct Files {
    offices: Vec<(OfficeId, String)>,
    nodes: Vec<String>,
}

fn run(parser: &mut Parser) -> Result<Exit> {
    let mut files = Files::default();
    let mut report = ReportFormat::Text;
    while let Some(arg) = parser.next().map_err(|e| argument_error(&e))? {
        match arg {
            Arg::Long("office") => {
                let office = next_value(parser)?.parse()?;
                files.offices.push((office, next_value(parser)?));
            }
            Arg::Long("node") => files.nodes.push(next_value(parser)?),
            Arg::Long("report") => report = next_value(parser)?.parse()?,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(argument_error(&other.unexpected())),
        }
    }
    if files.offices.is_empty() && files.nodes.is_empty() {
        return Err(usage_error("no file given", "name files with `--office` or `--node`"));
    }
    let errors = check(&files)?;
    print(&errors, report);
    Ok(if errors.is_empty() { Exit::Ok } else { Exit::Failed })
}

/// Returns the next argument as text.
pub(super) fn next_value(parser: &mut Parser) -> Result<String> {
    let value = parser.value().map_err(|e| argument_error(&e))?;
    value.string().map_err(|e| argument_error(&e))
}

/// Reads a text file.
pub(super) fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| {
        let problem = format!("cannot read {file}: {e}");
        Error::new(ErrorKind::Io(problem.into()), "check the file name and the permissions")
    })
}

fn check(files: &Files) -> Result<Vec<Error>> {
    let mut texts = Vec::new();
    for (_, file) in &files.offices {
        texts.push(read_file(file)?);
    }
    let named = files.offices.iter().zip(&texts);
    let fleet: Vec<FleetFile<'_>> =
        named.map(|((office, file), text)| FleetFile { office, file, text }).collect();
    let mut errors = read_fleet_files(&fleet).err().unwrap_or_default();
    for file in &files.nodes {
        errors.extend(read_node_ini(file, &read_file(file)?).err().unwrap_or_default());
    }
    Ok(errors)
}

fn print(errors: &[Error], report: ReportFormat) {
    match report {
        ReportFormat::Json => {
            let list: Vec<_> = errors
                .iter()
                .map(|e| serde_json::json!({ "error": e.kind.to_string(), "help": e.help }))
                .collect();
            println!("{}", serde_json::json!({ "ok": errors.is_empty(), "errors": list }));
        }
        ReportFormat::Text => {
            for error in errors {
                println!("{}\n  help: {}", error.kind, error.help);
            }
            match errors.len() {
                0 => println!("ok"),
                n => println!("{n} error{}", if n == 1 { "" } else { "s" }),
            }
        }
    }
}
