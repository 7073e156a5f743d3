//! Tests of the scheduler against a simulated store and simulated workers, in virtual time.

mod accounts;
mod calls;
mod capacity;
mod crashes;
mod cuts;
mod decisions;
mod evidence;
mod large_jobs;
mod listings;
mod logs;
mod network;
mod policies;
mod random;
mod regressions;
mod store;
mod withdrawals;
mod world;

/// Logs the scheduler's decisions to stderr if the environment variable SIM_LOG is set.
fn init_log() {
    if std::env::var_os("SIM_LOG").is_some() {
        let dispatch = fern::Dispatch::new().level(log::LevelFilter::Info).chain(std::io::stderr());
        // Fails if another test of this process has installed the logger already.
        let _ = dispatch.apply();
    }
}
