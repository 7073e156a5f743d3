//! Ticks: records that carry time when nothing else is appended and something waits on time.

use std::time::Duration;

use actix_rt::time::sleep;

use cj_fold::{JobPhase, State};
use cj_record::Entry;
use cj_types::Clock;

use crate::{replica::Replica, service::LogService};

/// Shortest time between two ticks.
const TICK: Duration = Duration::from_secs(1);
/// Silence after which a node that isn't the owner appends a tick.
const TICK_FALLBACK: Duration = Duration::from_secs(4);
const TICK_KEY: &[u8] = b"tick";
/// Silence of a node after which it appends a tick, so that the fold doesn't drop its incarnation (after 24 h).
const KEEP_KNOWN: Duration = Duration::from_secs(8 * 3600);

impl<L, C> Replica<L, C>
where
    L: LogService,
    C: Clock,
{
    /// Appends ticks until the replica stops.
    pub(crate) async fn tick(&self) {
        loop {
            sleep(TICK).await;
            let now = self.clock.now();
            let progress = self.progress.get();
            let silence = now.saturating_duration_since(progress.folded);
            let owner = (self.options.owner)(TICK_KEY);
            let due = if owner { TICK } else { TICK_FALLBACK };
            let waits = silence >= due && waits_on_time(&self.state.borrow());
            let unknown = now.saturating_duration_since(progress.own) >= KEEP_KNOWN;
            if (waits || unknown) && !self.is_stopping() {
                self.propose(Entry::Tick, TICK * 2).await;
            }
        }
    }
}

/// True when fold time has to advance: a lease, a fleet operation or an unfinished job depends on it.
pub fn waits_on_time(state: &State) -> bool {
    let operation = state.vms.values().any(|vm| vm.phase.op().is_some());
    operation
        || state
            .jobs
            .values()
            .any(|job| matches!(job.phase, JobPhase::Claimed(_) | JobPhase::OutcomeUnknown { .. }))
}
