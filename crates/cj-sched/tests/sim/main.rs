//! Tests of the scheduler against simulated workers, in virtual time.

mod decisions;
mod evidence;
mod logs;
mod policies;
mod random;
mod regressions;
mod world;

/// Prints the scheduler's decisions when SIM_LOG is set.
fn init_log() {
    if std::env::var_os("SIM_LOG").is_some() {
        let dispatch = fern::Dispatch::new().level(log::LevelFilter::Info).chain(std::io::stderr());
        // Another test of this run may have installed the logger.
        let _ = dispatch.apply();
    }
}
