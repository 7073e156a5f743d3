//! Tells from the log lines of entry nodes what became of a request, and why.

mod cause;
mod line;
mod read;
mod runs;
mod timeline;

pub use cause::causes;
pub use line::Line;
pub use read::read_logs;
pub use timeline::{Relation, Timeline, timeline};
