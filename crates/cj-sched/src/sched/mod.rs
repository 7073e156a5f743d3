//! The scheduler of a cell, run by the node that owns it.

mod advice;
mod compact;
mod demand;
mod estimate;
mod event;
mod evidence;
mod forecast;
mod listing;
mod load;
mod orders;
mod pace;
mod permission;
mod persist;
mod place;
mod policy;
mod pool;
mod rank;
mod reclaim;
mod scheduler;
mod settings;
mod wave;
mod work;
mod worker;

pub use event::*;
pub use permission::{OWNER_SILENCE, Permission, TENURE};
pub use policy::Policies;
pub use scheduler::{Now, Scheduler};
pub use settings::Limits;
