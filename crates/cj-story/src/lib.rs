//! Reconstructs from the log lines of entry nodes what happened to a job, task, worker, VM or wave, and names the causes of
//! refusals, failures and delays.

mod cause;
mod line;
mod read;
mod runs;
mod timeline;

pub use cause::causes;
pub use line::Line;
pub use read::read_logs;
pub use timeline::{Relation, Timeline, timeline};
