//! Requests for work: routing, recorded work, and the driver of jobs that no connection attends.

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
