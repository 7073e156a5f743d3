//! Placement decisions: the worker for a job, and relief for overloaded workers.

mod placer;
mod types;

pub use placer::Placer;
pub use types::*;
