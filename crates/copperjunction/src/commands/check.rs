//! `check`: checks settings files and reports all errors at once.

use lexopt::{Arg, Parser, ValueExt};

use cj_settings::{FleetFile, read_fleet_files, read_node_ini};
use cj_types::{Error, ErrorKind, OfficeId, Result};

use crate::output::{Exit, Report, usage};

use super::command::{Command, wrong_use};

pub(super) const COMMAND: Command = Command { name: "check", help: HELP, run };

const HELP: &str = "\
Checks settings files and reports every error with file, line, key and remedy.

Usage: copperjunction check [OPTIONS] [--office OFFICE FILE]... [--node FILE]...

Options:
  --office OFFICE FILE  fleet settings of an office; several are checked together
  --node FILE           settings of an entry node
  --report text|json    form of the report [text]
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
    let mut report = Report::Text;
    while let Some(arg) = parser.next().map_err(|e| wrong_use(&e))? {
        match arg {
            Arg::Long("office") => {
                let office = text(parser)?.parse()?;
                files.offices.push((office, text(parser)?));
            }
            Arg::Long("node") => files.nodes.push(text(parser)?),
            Arg::Long("report") => report = text(parser)?.parse()?,
            Arg::Short('h') | Arg::Long("help") => {
                print!("{HELP}");
                return Ok(Exit::Ok);
            }
            other => return Err(wrong_use(&other.unexpected())),
        }
    }
    if files.offices.is_empty() && files.nodes.is_empty() {
        return Err(usage("no file given", "name files with `--office` or `--node`"));
    }
    let errors = check(&files)?;
    print(&errors, report);
    Ok(if errors.is_empty() { Exit::Ok } else { Exit::Failed })
}

/// The next word of the command line.
pub(super) fn text(parser: &mut Parser) -> Result<String> {
    let value = parser.value().map_err(|e| wrong_use(&e))?;
    value.string().map_err(|e| wrong_use(&e))
}

/// Reads a file.
pub(super) fn read(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| {
        let problem = format!("cannot read {file}: {e}");
        Error::new(ErrorKind::Io(problem.into()), "check the name and its permissions")
    })
}

fn check(files: &Files) -> Result<Vec<Error>> {
    let mut texts = Vec::new();
    for (_, file) in &files.offices {
        texts.push(read(file)?);
    }
    let named = files.offices.iter().zip(&texts);
    let fleet: Vec<FleetFile<'_>> =
        named.map(|((office, file), text)| FleetFile { office, file, text }).collect();
    let mut errors = read_fleet_files(&fleet).err().unwrap_or_default();
    for file in &files.nodes {
        errors.extend(read_node_ini(file, &read(file)?).err().unwrap_or_default());
    }
    Ok(errors)
}

fn print(errors: &[Error], report: Report) {
    match report {
        Report::Json => {
            let list: Vec<_> = errors
                .iter()
                .map(|e| serde_json::json!({ "error": e.kind.to_string(), "help": e.help }))
                .collect();
            println!("{}", serde_json::json!({ "ok": errors.is_empty(), "errors": list }));
        }
        Report::Text => {
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
