//! Limits of the platform that the scheduler observes, and its own constants.

use std::time::Duration;

/// Limits given by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest lease that a worker accepts.
    pub max_lease: Duration,
    /// Maximum time that a task takes to stop.
    pub stop_time: Duration,
    /// Time that a task takes to resume from a checkpoint.
    pub restore_time: Duration,
    /// Time that a VM is off while it moves to another pool.
    pub move_time: Duration,
    /// Time that a VM is off for its maintenance.
    pub maintenance_time: Duration,
}

impl Limits {
    /// Longest time from when a worker accepts a lease until it ends, whatever clock it was granted for.
    pub(super) fn longest_lease(&self) -> Duration {
        self.max_lease.div_f64(MIN_CLOCK_RATE)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_lease: Duration::from_secs(10),
            stop_time: Duration::from_millis(400),
            restore_time: Duration::from_millis(100),
            move_time: Duration::from_millis(1500),
            maintenance_time: Duration::from_secs(2),
        }
    }
}

/// Lease of the runs on a worker. It outlasts a takeover, which takes up to 3.5 s after the last renewal, and bounds
/// the time until the tasks of a lost worker are restarted.
pub(super) const RUN_LEASE: Duration = Duration::from_millis(5_000);

/// Lowest rate of a worker's clock, relative to the owner's. A lease on a slow clock lasts that much longer.
pub(super) const MIN_CLOCK_RATE: f64 = 0.98;

/// This owner reads all submissions that an earlier owner read within this time after that owner's last command.
pub(super) const MAX_READ_LAG: Duration = Duration::from_secs(20);

/// Maximum time that a worker may hold back its listing until a run ends.
pub(super) const LISTING_WAIT: Duration = Duration::from_millis(1_000);

/// Minimum interval between listings of a worker, so that ends close together are read together.
pub(super) const LISTING_INTERVAL: Duration = Duration::from_millis(90);

/// Interval between listings of a worker that runs only long-running tasks.
pub(super) const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between listings of a worker with a long-running task that isn't ready yet. It is shorter because other
/// tasks of the step may be interrupted only once that task is ready.
pub(super) const STARTUP_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between listings of a worker without runs. They read its clock: the longer ago that was, the shorter is a lease that
/// surely ends in time.
pub(super) const IDLE_INTERVAL: Duration = Duration::from_secs(30);

/// Delay before a listing is requested again from a worker that didn't answer.
pub(super) const LISTING_RETRY: Duration = Duration::from_millis(350);

/// Time for which a worker gets no new task after it left a start command unanswered or refused it, for example for
/// lack of capacity or because it is unhealthy.
pub(super) const WORKER_PAUSE: Duration = Duration::from_millis(400);

/// Time for which a worker that fails its tasks gets new ones only when no other worker can take them.
pub(super) const QUARANTINE_TIME: Duration = Duration::from_secs(6);

/// Consecutive failed runs after which a worker is quarantined.
pub(super) const QUARANTINE_FAILURES: u32 = 2;

/// Unanswered start commands after which a run is stopped.
pub(super) const MAX_UNANSWERED_STARTS: u8 = 2;

/// Interval between stop commands for the same run.
pub(super) const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// A finite task hangs if it makes no progress for this long, and for several times its estimate.
pub(super) const HANG_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a long-running task stays unplaced before finite tasks are preempted for it.
pub(super) const PREEMPTION_DELAY: Duration = Duration::from_millis(700);

/// Maximum delay of a write that no acknowledgement waits for.
pub(super) const MAX_WRITE_DELAY: Duration = Duration::from_millis(300);

/// Minimum interval between writes of progress.
pub(super) const WRITE_INTERVAL: Duration = Duration::from_millis(30);
