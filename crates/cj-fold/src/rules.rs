//! Limits of the fold. All nodes of a region must use the same values, since verdicts depend on them.

use std::time::Duration;

/// Largest advance of fold time by one batch, so that one bad clock can't end every lease.
pub const MAX_TIME_STEP: Duration = Duration::from_secs(60);

/// Time after which a writer that has been silent is forgotten.
pub const WRITER_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Number of forgotten writers whose names are kept. At 100 restarts of entry nodes a day it covers more than a month,
/// far more than the retention of the log or the life of a resent batch.
pub const MAX_FORGOTTEN_WRITERS: usize = 4096;

/// Time for which ended jobs are kept.
pub const JOB_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Largest payload or answer kept in a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024;

/// Number of different targets on which an idempotent job may fail before it is parked.
pub const MAX_FAILED_TARGETS: usize = 3;

/// Number of failed attempts, on any targets, before an idempotent job is parked.
pub const MAX_FAILED_ATTEMPTS: usize = 9;

/// Longest reason kept in the state, in bytes.
pub const MAX_REASON_BYTES: usize = 256;

/// Number of decisions kept for `explain`.
pub const MAX_DECISIONS: usize = 4096;

/// Number of verdicts on settings kept for their publishers.
pub const MAX_SETTING_VERDICTS: usize = 4096;

/// Failures of a VM within [`FAILURE_WINDOW`] after which it may be taken out.
pub const REPEATED_FAILURES: usize = 3;

/// Time for which a failure of a VM counts.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Number of failures kept per VM.
pub const MAX_VM_FAILURES: usize = 16;

/// One VM in this many may be out of rotation per pool, but always at least one.
pub const OUT_OF_ROTATION_DIVISOR: usize = 4;

/// Time that a reboot may take in a pool that no wave covers.
pub const DEFAULT_REBOOT_LIMIT: Duration = Duration::from_secs(600);

/// Largest record of the `settings` stream in bytes. A larger one could not be copied into a batch together with the
/// batch's header; it is copied as an empty payload and rejected.
pub const MAX_SETTING_BYTES: usize = 16 * 1024;
