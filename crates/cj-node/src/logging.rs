//! Setup of the process-wide logger with `log` and `fern`.

use cj_settings::node::LogTarget;
use cj_types::{Clock, Error, ErrorKind, Result, SystemClock};
use log::LevelFilter;

/// Installs the process-wide logger.
///
/// # Errors
///
/// Fails when a logger is installed already or the log file can't be opened.
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
        LogTarget::File(file) => dispatch.chain(fern::log_file(file.as_str()).map_err(|e| {
            Error::new(
                ErrorKind::Io(format!("cannot open {file}: {e}").into()),
                "set `target` in `[logging]` to a writable file",
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
