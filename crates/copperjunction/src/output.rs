//! Report formats, exit codes and error output of the commands.

use std::{
    io::{IsTerminal, stderr},
    process::ExitCode,
    str::FromStr,
};

use cj_types::{Error, ErrorKind};

/// Exit code of a command that failed or that reports a failure.
pub const FAILED: u8 = 1;
/// Exit code of an invalid command line.
pub const USAGE_ERROR: u8 = 2;

/// Output format of a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object, on the last line of standard output.
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

/// An error for an invalid command line; the process exits with [`USAGE_ERROR`].
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

/// Result of a command that ran without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Ok,
    /// The command ran, but what it checked or carried out failed.
    Failed,
}

/// Prints an error to standard error and returns its exit code.
pub fn report_error(program: &str, error: &Error) -> ExitCode {
    eprintln!("{program}: {}\n  help: {}", error.kind, error.help);
    match error.kind {
        ErrorKind::Usage(_) => ExitCode::from(USAGE_ERROR),
        _ => ExitCode::from(FAILED),
    }
}

/// Prints progress to standard error when it is a terminal.
pub fn progress(text: &str) {
    if stderr().is_terminal() {
        eprintln!("{text}");
    }
}
