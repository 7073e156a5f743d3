//! Time limits and batch sizes of the planner.

use std::time::Duration;

/// Maximum lag of the platform's list. The list is not used for VMs that changed more recently than this.
pub(crate) const MAX_LIST_LAG: Duration = Duration::from_secs(60);

/// Time within which a repair in place is expected to return a failed VM. Draining an idle VM and rebooting it takes a
/// few minutes; a VM that needs longer is replaced from the spare pool.
pub(crate) const EXPECTED_REPAIR_TIME: Duration = Duration::from_secs(600);

/// Maximum number of concurrent repairs in a region. It limits the load on the platform when a data centre comes back.
pub(crate) const MAX_CONCURRENT_REPAIRS: usize = 64;

/// Maximum number of VMs registered by one plan, so that the entries fit into one batch.
pub(crate) const MAX_REGISTRATIONS: usize = 200;

/// Margin before a forbidden window for the time between the decision and its record in the log.
pub(crate) const WINDOW_MARGIN: Duration = Duration::from_secs(5);

/// Time after which a drain that belongs to no wave is reported as too slow.
pub(crate) const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// Time after which a VM that is out of service and not listed by the platform is considered removed or replaced.
pub(crate) const REMOVE_AFTER: Duration = Duration::from_secs(24 * 3600);
