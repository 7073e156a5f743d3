//! Demonstration driver: runs callers and operators of both organisations against a set of entry nodes and injects
//! faults.
//!
//! The report is computed from the answers that the callers received and from what the fakes observed, not from the
//! nodes' own counters.

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
