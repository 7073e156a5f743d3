//! The entry point of the planner.

use compact_str::CompactString;

use cj_fold::State;
use cj_record::Entry;
use cj_types::UnixMillis;

use crate::{Evidence, view, wave};

/// An entry to propose, with the reason in words.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The entry.
    pub entry: Entry,
    /// Why, for logs and `explain`.
    pub reason: CompactString,
}

impl Proposal {
    pub(crate) fn new(entry: Entry, reason: impl Into<CompactString>) -> Self {
        Proposal { entry, reason: reason.into() }
    }
}

/// Plans the next acts for the fleet. The result depends only on the arguments.
pub fn plan(state: &State, evidence: &Evidence, now: UnixMillis) -> Vec<Proposal> {
    if state.behind {
        return Vec::new();
    }
    let pools = view::pools(state);
    let mut proposals = wave::continue_ops(state, evidence, now);
    proposals.extend(wave::start_drains(state, &pools, now));
    proposals
}
