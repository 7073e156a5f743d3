//! Placement decisions: the worker for a job, and relief for overloaded workers.
//!
//! Callers declare sizes and run times that may be wrong by a factor of 10 in either direction, so decisions are based
//! on usage and run times observed per service and class, and on which jobs failed on which workers.

mod health;
mod placer;
mod profile;
mod relief;
mod table;
mod types;

pub use placer::Placer;
pub use types::*;
