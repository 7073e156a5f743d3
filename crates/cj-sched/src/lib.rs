//! Jobs of steps, their durable records, and the scheduler that places their tasks on VMs.
//!
//! Nothing in this crate does I/O. [`Book`] folds the records of the store on every node and answers questions about
//! jobs. [`Scheduler`] runs on the node that owns a cell: it takes events, and returns orders for VMs and records for
//! the store. Time is passed in.

pub mod codec;
pub mod config;
pub mod job;
pub mod job_index;
pub mod record;
pub mod sched;

pub use config::{Advice, FleetConfig, Pool, Queue};
pub use job::{Demand, JobKey, JobSpec, Schedule, StepSpec, TaskId};
pub use job_index::{JobEntry, JobIndex, JobState, Log, OVERFLOW_LOGS, Owner};
pub use record::{Progress, Record, RecordKey, StepProgress, Submission};
pub use sched::{Action, Event, Scheduler};
