//! Appends ticks: entries that only advance fold time, needed while nothing else is appended and something depends on
//! time.

use std::time::Duration;

use actix_rt::time::sleep;

use cj_fold::{JobPhase, State};
use cj_record::Entry;
use cj_types::Clock;

use crate::{replica::Replica, service::LogService};

/// Shortest interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a folded record after which a node that isn't the rendezvous owner appends a tick.
const NON_OWNER_TICK_DELAY: Duration = Duration::from_secs(4);
const TICK_KEY: &[u8] = b"tick";
/// Time after its last batch at which a node appends a tick; the fold drops an incarnation after 24 h without a batch.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(8 * 3600);

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Appends ticks when they are due, until the replica stops.
    pub(crate) async fn append_ticks(&self) {
        loop {
            sleep(TICK_INTERVAL).await;
            let now = self.clock.now();
            let progress = self.progress.get();
            let silence = now.saturating_duration_since(progress.last_fold);
            let is_owner = (self.options.is_owner)(TICK_KEY);
            let delay = if is_owner { TICK_INTERVAL } else { NON_OWNER_TICK_DELAY };
            let tick_needed = silence >= delay && needs_ticks(&self.state.borrow());
            let keepalive_due =
                now.saturating_duration_since(progress.last_own) >= KEEPALIVE_INTERVAL;
            if (tick_needed || keepalive_due) && !self.is_stopping() {
                self.propose(Entry::Tick, TICK_INTERVAL * 2).await;
            }
        }
    }
}

/// True when fold time has to advance because a claim, a job with an unknown outcome or a fleet operation depends on
/// it.
pub fn needs_ticks(state: &State) -> bool {
    let operation_open = state.vms.values().any(|vm| vm.phase.op().is_some());
    operation_open
        || state
            .jobs
            .values()
            .any(|job| matches!(job.phase, JobPhase::Claimed(_) | JobPhase::OutcomeUnknown { .. }))
}
