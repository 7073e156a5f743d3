//! Limits that the fold enforces. All nodes of a region must use the same values, since verdicts depend on them.

use std::time::Duration;

/// Largest advance of fold time by one batch. It prevents one wrong clock from ending all leases at once.
pub const MAX_TIME_STEP: Duration = Duration::from_secs(60);

/// Time without a batch after which a writer is removed.
pub const WRITER_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Number of removed writers whose names are kept. At 100 restarts of entry nodes a day this covers more than a month,
/// far longer than the log's retention or the time for which a batch may be resent.
pub const MAX_FORGOTTEN_WRITERS: usize = 4096;

/// Retention time of ended jobs.
pub const JOB_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Largest payload or answer of a job in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024;

/// Number of different targets with failed attempts at which an idempotent job is parked.
pub const MAX_FAILED_TARGETS: usize = 3;

/// Number of failed attempts, on any targets, at which an idempotent job is parked.
pub const MAX_FAILED_ATTEMPTS: usize = 9;

/// Longest reason kept in the state, in bytes. Longer ones are truncated.
pub const MAX_REASON_BYTES: usize = 256;

/// Number of recent decisions kept for `explain`.
pub const MAX_DECISIONS: usize = 4096;

/// Number of recent verdicts on settings records kept, so that publishers can read them.
pub const MAX_SETTING_VERDICTS: usize = 4096;

/// Number of failures within [`FAILURE_WINDOW`] from which a VM may be taken out of rotation.
pub const REPEATED_FAILURES: usize = 3;

/// Time for which a VM's failure counts towards [`REPEATED_FAILURES`].
pub const FAILURE_WINDOW: Duration = Duration::from_secs(24 * 3600);

/// Number of recent failures kept per VM.
pub const MAX_VM_FAILURES: usize = 16;

/// One in this many VMs of a pool may be out of rotation, and always at least one.
pub const OUT_OF_ROTATION_DIVISOR: usize = 4;

/// Time that a reboot may take in a pool that no wave includes.
pub const DEFAULT_REBOOT_LIMIT: Duration = Duration::from_secs(600);

/// Largest record of the `settings` stream in bytes. A larger one may not fit into a batch together with the batch's
/// header, so it is copied as an empty payload and rejected.
pub const MAX_SETTING_BYTES: usize = 16 * 1024;
