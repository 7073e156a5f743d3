//! Processing of requests for work: routed requests, requests recorded in the log, and the driver that continues
//! recorded jobs without a caller connection.

mod dispatcher;
mod driver;
mod handlers;
mod job_guard;
mod lease;
mod outcome;
mod recorded;
mod routed;
mod supervise;
mod task;
mod usage;
mod view;

pub use dispatcher::Dispatcher;
pub use driver::drive_jobs;
pub use handlers::{answer_job, answer_work, cancel_job};
pub use usage::watch_usage;
pub use view::pool_view;
