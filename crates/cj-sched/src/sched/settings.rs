//! Bounds of the platform that the scheduler keeps, and its own time constants.

use std::time::Duration;

/// Bounds given by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest lease that a VM grants.
    pub max_lease: Duration,
    /// Longest time that a task takes to stop.
    pub stop_time: Duration,
    /// Time for a task to resume from a checkpoint.
    pub restore_time: Duration,
    /// Time that a VM is off while it moves to another pool.
    pub move_time: Duration,
    /// Time that a VM is off for its maintenance.
    pub maintenance_time: Duration,
    /// Calls to move or maintain a VM are refused to an owner with an earlier fencing token.
    pub vm_fencing: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_lease: Duration::from_secs(10),
            stop_time: Duration::from_millis(400),
            restore_time: Duration::from_millis(100),
            move_time: Duration::from_millis(1500),
            maintenance_time: Duration::from_secs(2),
            vm_fencing: false,
        }
    }
}

/// Lease of the tasks on a VM. It outlives a takeover, which takes up to 3.5 s after the last renewal, and bounds how long
/// the tasks of a lost VM wait before they start again.
pub(super) const RUN_LEASE: Duration = Duration::from_millis(5_000);

/// Clocks of VMs run at least this fast.
pub(super) const MIN_CLOCK_RATE: f64 = 0.98;

/// Submissions that an earlier owner read are read by this owner within this time after the last order of that owner.
pub(super) const MAX_READ_LAG: Duration = Duration::from_secs(20);

/// Longest wait of a listing for the end of a task.
pub(super) const LISTING_WAIT: Duration = Duration::from_millis(1_000);

/// Shortest time between two listings of a VM; ends that come together are then read together.
pub(super) const LISTING_INTERVAL: Duration = Duration::from_millis(90);

/// Time between two listings of a VM that runs lasting tasks only.
pub(super) const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two listings of a VM with a lasting task that isn't at work yet: others of its step may be interrupted only
/// once it is.
pub(super) const STARTUP_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two tries to list a VM that doesn't answer.
pub(super) const LISTING_RETRY: Duration = Duration::from_millis(350);

/// A VM that didn't answer, refused for want of room, or is unhealthy gets no new task for this time.
pub(super) const WORKER_PAUSE: Duration = Duration::from_millis(400);

/// A VM that fails all its tasks gets new ones only as the last choice for this time.
pub(super) const QUARANTINE_TIME: Duration = Duration::from_secs(6);

/// Failed runs in a row after which a VM is quarantined.
pub(super) const QUARANTINE_FAILURES: u32 = 2;

/// Orders of a start that may go unanswered before its run is stopped.
pub(super) const MAX_UNANSWERED_STARTS: u8 = 2;

/// Time between two orders to stop the same run.
pub(super) const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// A finite task whose progress stands still for this long, and for several times its estimate, hangs.
pub(super) const HANG_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A lasting task that has found no room for this long makes room by preemption.
pub(super) const PREEMPTION_DELAY: Duration = Duration::from_millis(700);

/// Progress that no acknowledgement waits for is written this late at most.
pub(super) const MAX_WRITE_DELAY: Duration = Duration::from_millis(300);

/// Shortest time between two writes of progress.
pub(super) const WRITE_INTERVAL: Duration = Duration::from_millis(30);

/// Candidates without room after which a pass of placement ends.
pub(super) const MAX_BLOCKED_STEPS: usize = 48;
