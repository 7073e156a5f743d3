//! Structured log lines by `log` and `fern`.

use std::{fmt, str::FromStr};

use cj_types::{Clock, Error, ErrorKind, Result, SystemClock};
use log::LevelFilter;

/// Where log lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
    /// A file, appended to.
    File(String),
}

impl FromStr for LogTarget {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "stderr" => Ok(LogTarget::Stderr),
            "stdout" => Ok(LogTarget::Stdout),
            "" => Err(Error::invalid("log target", text, "use `stderr`, `stdout` or a file name")),
            file => Ok(LogTarget::File(file.into())),
        }
    }
}

impl fmt::Display for LogTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogTarget::Stderr => f.write_str("stderr"),
            LogTarget::Stdout => f.write_str("stdout"),
            LogTarget::File(file) => f.write_str(file),
        }
    }
}

/// Installs the process-wide logger. Fails when a logger is installed already or the file can't be opened.
pub fn install(level: LevelFilter, target: &LogTarget) -> Result<()> {
    let dispatch = fern::Dispatch::new().level(level).level_for("tarpc", LevelFilter::Warn).format(
        |out, message, record| {
            let at = humantime::format_rfc3339_millis(
                std::time::UNIX_EPOCH + SystemClock.wall().since(Default::default()),
            );
            out.finish(format_args!("{at} {} {} {message}", record.level(), record.target()));
        },
    );
    let dispatch = match target {
        LogTarget::Stderr => dispatch.chain(std::io::stderr()),
        LogTarget::Stdout => dispatch.chain(std::io::stdout()),
        LogTarget::File(file) => dispatch.chain(fern::log_file(file).map_err(|e| {
            Error::new(
                ErrorKind::Io(format!("cannot open {file}: {e}").into()),
                "set `log_target` to a writable file",
            )
        })?),
    };
    dispatch.apply().map_err(|e| {
        Error::new(
            ErrorKind::Failed(format!("cannot install the logger: {e}").into()),
            "install it only once",
        )
    })
}
