//! Virtual-clock runs of the planner and the fold against small fakes of the platform.

mod audit;
mod layout;
mod platform;
mod run;

pub use audit::Audit;
pub use layout::{Layout, PoolLayout};
pub use platform::{Faults, Platform};
pub use run::{Planner, Run};
