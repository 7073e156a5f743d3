//! Tests of the scheduler against a simulated store and simulated workers, in virtual time.

mod account_order;
mod accounts;
mod advice;
mod calls;
mod capacity;
mod crashes;
mod cuts;
mod decisions;
mod evidence;
mod incarnations;
mod isolation;
mod large_jobs;
mod late_calls;
mod learned_times;
mod lease_evidence;
mod listings;
mod load_report;
mod log_lines;
mod logs;
mod network;
mod placement_query;
mod policies;
mod policy_service;
mod pool_sizes;
mod random;
mod regressions;
mod replaced_owner;
mod restarts;
mod review_cases;
mod shapes;
mod store;
mod takeover_evidence;
mod vm_lists;
mod waiting_steps;
mod waves;
mod withdrawals;
mod world;

use std::cell::RefCell;

thread_local! {
    /// Lines that this thread logged since the start of its recording.
    static RECORDED: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

/// Logs the scheduler's decisions to stderr if the environment variable SIM_LOG is set, and to the recordings of tests.
fn init_log() {
    let record = |record: &log::Record<'_>| {
        RECORDED.with_borrow_mut(|lines| {
            if let Some(lines) = lines {
                lines.push(record.args().to_string());
            }
        });
    };
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Info);
    let dispatch = dispatch.chain(fern::Output::call(record));
    let dispatch = match std::env::var_os("SIM_LOG") {
        Some(_) => dispatch.chain(std::io::stderr()),
        None => dispatch,
    };
    // Fails if another test of this process has installed the logger already.
    let _ = dispatch.apply();
}

/// The lines that this thread logs during `act`.
fn record_lines<F>(act: F) -> Vec<String>
where
    F: FnOnce(),
{
    init_log();
    RECORDED.set(Some(Vec::new()));
    act();
    RECORDED.take().unwrap_or_default()
}
