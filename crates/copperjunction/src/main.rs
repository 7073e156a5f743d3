//! Operator command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    copperjunction::commands::run(lexopt::Parser::from_env())
}
