//! The scheduler of the node that owns the fleet.

mod advice;
mod event;
mod listing;
mod load;
mod orders;
mod pace;
mod persist;
mod place;
mod pool;
mod rank;
mod reclaim;
mod scheduler;
mod settings;
mod trend;
mod wave;
mod work;
mod worker;

pub use event::*;
pub use scheduler::{Now, Scheduler};
pub use settings::{Limits, TENURE};
