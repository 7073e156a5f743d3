//! Limits of the planner.

use std::time::Duration;

/// The platform's list may lag by this time; a VM that changed more recently isn't judged by the list.
pub(crate) const MAX_LIST_LAG: Duration = Duration::from_secs(60);

/// A failed VM is expected back from a repair in place within this time. A drain of nothing and a reboot take a few
/// minutes; a VM that needs longer is replaced from the spare pool.
pub(crate) const EXPECTED_REPAIR_TIME: Duration = Duration::from_secs(600);

/// Repairs under way at the same time in a region. It bounds the load on the platform when a data centre returns.
pub(crate) const MAX_CONCURRENT_REPAIRS: usize = 64;

/// VMs registered in one plan. The entries have to fit into one batch.
pub(crate) const MAX_REGISTRATIONS: usize = 200;

/// Time between a decision and its record that is kept free before a forbidden window.
pub(crate) const WINDOW_MARGIN: Duration = Duration::from_secs(5);

/// A drain outside a wave is reported when it takes longer than this.
pub(crate) const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// A VM that has been out of service and off the platform's list for this long is taken for removed or replaced.
pub(crate) const REMOVE_AFTER: Duration = Duration::from_secs(24 * 3600);
