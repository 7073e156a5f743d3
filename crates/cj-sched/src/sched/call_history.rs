//! Calls to a worker that one of its later incarnations may carry out.
//!
//! A call that goes unanswered may be carried out seconds later. A worker that has started again under its id takes it then,
//! although it was meant for the incarnation before: its lease ends far ahead on a clock that has begun anew, and the ends that it
//! acknowledges are others.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::sched::{event::WorkerId, late_start::COMMAND_LIFETIME};

/// What a request for a listing does besides.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListingRequest {
    /// It renews leases.
    pub(super) renews: bool,
    /// It acknowledges ends.
    pub(super) acknowledges: bool,
}

/// The last calls of this owner to a worker id, by what they may do to a later incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct CallHistory {
    /// When the last call with a lease was sent.
    granted_at: Option<Instant>,
    /// When the last of these was sent that went unanswered.
    unanswered_grant: Option<Instant>,
    /// When the last call with an acknowledgement was sent that went unanswered.
    unanswered_ack: Option<Instant>,
}

impl CallHistory {
    /// Records that a call with a lease is sent.
    pub(super) fn grant(&mut self, now: Instant) {
        self.granted_at = Some(now);
    }

    /// Records that a call with a lease, sent at this time, went unanswered.
    pub(super) fn miss_grant(&mut self, sent: Instant) {
        self.unanswered_grant = self.unanswered_grant.max(Some(sent));
    }

    /// Records that a request for a listing, sent at this time or before, went unanswered.
    pub(super) fn miss_listing(&mut self, request: ListingRequest, sent: Instant) {
        if request.renews {
            self.miss_grant(sent);
        }
        if request.acknowledges {
            self.unanswered_ack = self.unanswered_ack.max(Some(sent));
        }
    }

    /// Time by which the leases have ended that an incarnation known since `now` may hold by calls meant for another one. On its
    /// clock their ends may lie far ahead, so each lasts for `longest` from when it is carried out.
    pub(super) fn foreign_lease_end(&self, now: Instant, longest: Duration) -> Option<Instant> {
        let granted = self.granted_at?;
        let late = self.unanswered_grant.map_or(now, |sent| now.max(sent + COMMAND_LIFETIME));
        Some(late.min(granted + COMMAND_LIFETIME) + longest)
    }

    /// Time by which all leases have ended that were granted so far, if they are carried out within `delay`.
    pub(super) fn last_lease_end(&self, delay: Duration, longest: Duration) -> Option<Instant> {
        self.granted_at.map(|granted| granted + delay + longest)
    }

    /// Until then, an acknowledgement that was meant for another incarnation may be carried out.
    pub(super) fn late_ack_until(&self) -> Option<Instant> {
        self.unanswered_ack.map(|sent| sent + COMMAND_LIFETIME)
    }

    /// True if none of the calls can have an effect any more.
    fn is_over(&self, now: Instant, longest: Duration) -> bool {
        let last = self.granted_at.max(self.unanswered_ack);
        last.is_none_or(|at| at + COMMAND_LIFETIME + longest < now)
    }
}

/// Histories of workers that are no longer known, and that may come back under their ids.
#[derive(Debug, Default)]
pub(super) struct DepartedWorkers(HashMap<WorkerId, CallHistory>);

impl DepartedWorkers {
    /// Keeps the history of a worker that is forgotten.
    pub(super) fn insert(
        &mut self,
        id: WorkerId,
        calls: CallHistory,
        now: Instant,
        longest: Duration,
    ) {
        self.0.retain(|_, calls| !calls.is_over(now, longest));
        self.0.insert(id, calls);
    }

    /// The history of a worker that is back.
    pub(super) fn take(&mut self, id: &WorkerId) -> CallHistory {
        self.0.remove(id).unwrap_or_default()
    }
}
