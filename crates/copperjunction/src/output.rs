//! What the commands print, and their exit codes.

use std::{
    io::{IsTerminal, stderr},
    process::ExitCode,
    str::FromStr,
};

use cj_types::{Error, ErrorKind};

/// Exit code for a command that failed or found something wrong.
pub const FAILED: u8 = 1;
/// Exit code for wrong use of the command line.
pub const USAGE_ERROR: u8 = 2;

/// Form of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object on the last line of standard output.
    Json,
}

impl FromStr for ReportFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "text" => Ok(ReportFormat::Text),
            "json" => Ok(ReportFormat::Json),
            _ => Err(Error::invalid("report form", text, "use `text` or `json`")),
        }
    }
}

/// An error of wrong use.
pub fn usage_error(problem: impl Into<compact_str::CompactString>, help: &str) -> Error {
    Error::new(ErrorKind::Usage(problem.into()), help)
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        match exit {
            Exit::Ok => ExitCode::SUCCESS,
            Exit::Failed => ExitCode::from(FAILED),
        }
    }
}

/// How a command ended without an error of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// All is well.
    Ok,
    /// The command worked and reports a failure.
    Failed,
}

/// Prints an error and returns the exit code for it.
pub fn report_error(program: &str, error: &Error) -> ExitCode {
    eprintln!("{program}: {}\n  help: {}", error.kind, error.help);
    match error.kind {
        ErrorKind::Usage(_) => ExitCode::from(USAGE_ERROR),
        _ => ExitCode::from(FAILED),
    }
}

/// Shows progress on standard error when it is a terminal.
pub fn progress(text: &str) {
    if stderr().is_terminal() {
        eprintln!("{text}");
    }
}
