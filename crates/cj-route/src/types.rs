//! Interface types of the router: requests, tickets, results of attempts and actions.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use derive_more::Display;

use cj_types::{ClassId, DataCentreId, ServiceId, TeamId, VmId};

slotmap::new_key_type! {
    /// Identifies one admitted request. The key carries a generation, so a late answer is never matched to another
    /// request.
    pub struct Ticket;
}

/// A request as it is offered to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Request id, for the decision log.
    pub id: CompactString,
    /// Service that answers it.
    pub service: ServiceId,
    /// Class of work.
    pub class: ClassId,
    /// Team whose quota it uses.
    pub team: TeamId,
    /// Latest useful time of the answer.
    pub deadline: Instant,
    /// True when it may safely run more than once.
    pub idempotent: bool,
    /// Data centre of the entry node; upstreams in it are preferred at equal load.
    pub centre: DataCentreId,
    /// Upstream that failed an earlier attempt; others are preferred.
    pub avoid: Option<VmId>,
}

/// Decision on an offered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it now.
    Dispatch {
        /// Ticket to complete or cancel.
        ticket: Ticket,
        /// Upstream to send it to.
        upstream: VmId,
    },
    /// It is queued; [`crate::Router::poll`] or another call returns its action later.
    Queued {
        /// Ticket to cancel.
        ticket: Ticket,
    },
    /// Refused; it did not run.
    Refused {
        /// Reason.
        reason: Refusal,
        /// Time after which a retry is useful.
        retry_after: Duration,
    },
}

/// Reason for refusing a request or giving it up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// No pool serves the service.
    #[display("no pool serves this service")]
    UnknownService,
    /// The pool doesn't accept the class.
    #[display("the pool does not accept this class")]
    ClassNotAccepted,
    /// The pool has no upstream that accepts work.
    #[display("no upstream accepts new work")]
    NoUpstream,
    /// The deadline has passed or can't be met.
    #[display("cannot finish before its deadline")]
    Deadline,
    /// Too many requests are queued.
    #[display("too many requests are waiting")]
    QueueFull,
    /// The upstream failed and the request can't be retried.
    #[display("the upstream failed")]
    Failed,
    /// The upstream refused or failed, and the retry budget is used up.
    #[display("the retry budget is used up")]
    RetryBudget,
}

/// Result of an attempt, as observed by the node that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A complete answer.
    Done {
        /// Busy slots of the upstream (`x-load`).
        load: Option<u32>,
    },
    /// The attempt is known not to have run: an explicit refusal, or the connection could not be opened.
    NotRun {
        /// Busy slots of the upstream (`x-load`).
        load: Option<u32>,
    },
    /// The attempt failed and may have run: no answer, an incomplete body or an error answer.
    Failed,
}

/// What the caller of the router has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a queued request for the first time.
    Dispatch {
        /// The request.
        ticket: Ticket,
        /// Upstream to send it to.
        upstream: VmId,
        /// Time left until its deadline, to be passed on to the upstream.
        remaining: Duration,
    },
    /// Send a request again after a failed attempt.
    Retry {
        /// The request.
        ticket: Ticket,
        /// Upstream to send it to.
        upstream: VmId,
        /// Time left until its deadline, to be passed on to the upstream.
        remaining: Duration,
    },
    /// Send the final answer to the caller; the ticket has ended.
    GiveUp {
        /// The request.
        ticket: Ticket,
        /// Reason.
        reason: Refusal,
        /// False when no attempt can have run.
        may_have_run: bool,
        /// Time after which a retry is useful.
        retry_after: Duration,
    },
}

/// Counters of a router since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that were queued on arrival.
    pub queued: u64,
    /// Attempts sent, retries included.
    pub dispatched: u64,
    /// Attempts on borrowed slots, beyond the node's share.
    pub borrowed: u64,
    /// Attempts after the first one.
    pub retries: u64,
    /// Requests with a complete answer.
    pub done: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Admitted requests that were given up.
    pub given_up: u64,
    /// Requests cancelled by their callers.
    pub cancelled: u64,
    /// Attempts that an upstream refused because its slots were busy.
    pub busy_rejections: u64,
    /// Completions of tickets that have ended or have no attempt in flight.
    pub late_completions: u64,
    /// Ejections of upstreams.
    pub ejections: u64,
}
