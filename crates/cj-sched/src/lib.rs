//! Jobs, their durable records, and the scheduler that places their tasks on VMs.
//!
//! Nothing in this crate does I/O. On every node, [`JobIndex`] is built from the records in the store and answers
//! queries about jobs. On the node that owns a cell, [`Scheduler`] handles events and returns commands for workers and
//! VMs, and records for the store. The current time is passed in.

pub mod account;
pub mod codec;
pub mod config;
pub mod job;
pub mod job_index;
pub mod load_report;
pub mod record;
pub mod run_times;
pub mod sched;

pub use account::{Access, Account, AccountCap, Accounts, KeyDigest, Weight};
pub use config::{Advice, FleetConfig, Pool, Queue};
pub use job::{Demand, JobKey, JobSpec, Schedule, StepSpec, TaskId};
pub use job_index::{JobEntry, JobIndex, JobState, Log, OVERFLOW_LOGS, Owner};
pub use load_report::{LoadReport, PoolLoad};
pub use record::{Progress, Record, RecordKey, StepProgress, Submission};
pub use sched::{Action, Event, Scheduler};
