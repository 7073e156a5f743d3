//! Demonstration driver: callers and operators of both organisations against a set of entry nodes, with faults.
//!
//! Everything in the report is counted from what the callers were told and from what the stand-ins saw.

pub mod callers;
pub mod client;
pub mod driver;
pub mod faults;
pub mod ledger;
pub mod nodes;
pub mod publisher;
pub mod report;
pub mod site;
pub mod workload;

pub use driver::{DemoOptions, run};
pub use faults::FaultKind;
pub use ledger::{Counts, Ledger, WorkStatus};
pub use nodes::{NodeHandle, Nodes};
pub use report::Report;
pub use site::{Office, Site, SiteSize};
pub use workload::{WorkKind, Workload};
