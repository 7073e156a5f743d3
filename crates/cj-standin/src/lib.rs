//! Small fakes of the systems outside copperjunction: the append-only log, VM control, workers and upstreams.
//!
//! They implement the wire contract of section 9 of `docs/design.md`, inject faults on request, and count what they
//! observe.

pub mod faults;
pub mod fleet;
pub mod http;
pub mod log;
pub mod minion;
pub mod observed;
pub mod options;
pub mod platform;
pub mod task_checks;
pub mod task_worker;
pub mod worker;

pub use faults::{Fault, Faults};
pub use fleet::{
    Action, LEAVING_GRACE, OpKey, Operation, OperationResult, VmProbe, VmRow, VmState,
};
pub use log::{LogOptions, ReadPage};
pub use minion::{body_key, expected_answer};
pub use observed::{Breach, Execution, Observed, PoolAvailability};
pub use options::{PlatformOptions, PoolOptions, VmKind, VmOptions};
pub use platform::Platform;
pub use worker::{FAILING_SPEC, StartTask, TaskCall, TaskRow, TaskState, UsageReport};
