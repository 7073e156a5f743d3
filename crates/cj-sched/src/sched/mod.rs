//! The scheduler of a cell, which runs on the node that owns the cell.

mod advice;
mod balance;
mod commands;
mod compact;
mod crash;
mod demand;
mod ended_jobs;
mod estimate;
mod event;
mod evidence;
mod forecast;
mod late_start;
mod ledger;
mod listing;
mod load;
mod outcome;
mod ownership;
mod pace;
mod persist;
mod place;
mod policy;
mod pool;
mod preempt;
mod rank;
mod reclaim;
mod scheduler;
mod settings;
mod share;
mod wave;
mod work;
mod worker;

pub use event::*;
pub use ownership::{OWNER_TIMEOUT, OWNERSHIP_LEASE, OwnershipLease};
pub use policy::Policies;
pub use scheduler::{Now, Scheduler};
pub use settings::Limits;
