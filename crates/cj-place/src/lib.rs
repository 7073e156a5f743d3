//! Placement decisions: the worker for a job, and relief for overloaded workers.
//!
//! Callers declare sizes and run times that may be wrong by 10 times in either direction, so decisions rest on what was
//! observed per service and class, and on what failed where.

mod health;
mod placer;
mod profile;
mod relief;
mod table;
mod types;

pub use placer::Placer;
pub use types::*;
