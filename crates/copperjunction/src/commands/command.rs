//! Parses the name of a command and runs it.

use std::process::ExitCode;

use lexopt::{Arg, Parser, ValueExt};

use cj_types::{Error, Result};

use crate::output::{Exit, report_error, usage_error};

use super::{bench, check, demo, explain, keygen, publish, status, where_to};

const PROGRAM: &str = "copperjunction";

const HELP: &str = "\
Operator command line of copperjunction, a fleet capacity and maintenance manager.

Usage: copperjunction COMMAND [OPTIONS]

Commands:
  check     check settings files and report all errors
  keygen    generate the key pair of an office
  publish   publish settings of an office
  status    show the state of the fleet as a node sees it
  explain   explain what happened to a job, a VM or a setting, and why
  where     ask an entry node where a job would run, without submitting it
  demo      run a demonstration with fakes and entry nodes in one process
  bench     run a benchmark

Options:
  -h, --help     show help; also after a command
  -V, --version  show the version

Exit codes: 0 ok, 1 failed, 2 invalid command line.

Example:
  copperjunction demo --seed 1 --duration 20s
";

/// A command of the command line.
pub struct Command {
    /// Name, the first argument.
    pub name: &'static str,
    /// Text of `--help`, with an example.
    pub help: &'static str,
    /// Runs the command with the remaining arguments.
    pub run: fn(&mut Parser) -> Result<Exit>,
}

const COMMANDS: &[Command] = &[
    check::COMMAND,
    keygen::COMMAND,
    publish::COMMAND,
    status::COMMAND,
    explain::COMMAND,
    where_to::COMMAND,
    demo::COMMAND,
    bench::COMMAND,
];

/// Runs the command line and returns its exit code.
pub fn run(mut parser: Parser) -> ExitCode {
    match dispatch(&mut parser) {
        Ok(exit) => exit.into(),
        Err(error) => report_error(PROGRAM, &error),
    }
}

fn dispatch(parser: &mut Parser) -> Result<Exit> {
    let help = "see `copperjunction --help`";
    match parser.next().map_err(|e| argument_error(&e))? {
        None => Err(usage_error("no command given", help)),
        Some(Arg::Short('h') | Arg::Long("help")) => {
            print!("{HELP}");
            Ok(Exit::Ok)
        }
        Some(Arg::Short('V') | Arg::Long("version")) => {
            println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Ok)
        }
        Some(Arg::Value(name)) => {
            let name = name.string().map_err(|e| argument_error(&e))?;
            let command = COMMANDS.iter().find(|c| c.name == name);
            let command =
                command.ok_or_else(|| usage_error(format!("unknown command `{name}`"), help))?;
            (command.run)(parser)
        }
        Some(other) => Err(argument_error(&other.unexpected())),
    }
}

/// Converts a parse error of the command line to a usage error.
pub(super) fn argument_error(problem: &lexopt::Error) -> Error {
    usage_error(problem.to_string(), "see `--help` of the command")
}
