//! Options of the router: the selection of upstreams and the ratio of retries.

use derive_more::Display;

/// How a node limits and chooses its upstreams. See `docs/decisions/routing.md`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Selection {
    /// Power of two choices: any upstream up to its whole slot count, and of two random ones the one with the lower
    /// load reported on answers.
    #[display("two_choices")]
    TwoChoices,
    /// Each node owns a fixed share of the slots of nearly every upstream.
    #[display("apportioned")]
    Apportioned,
    /// Each node owns all or most slots of a fixed subset of the upstreams.
    #[display("subset")]
    Subset,
    /// The node's share as in `Apportioned`; when it is in use, also slots that recent answers report as free.
    #[display("borrowing")]
    Borrowing,
}

/// Options of a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// How upstreams are limited and chosen.
    pub selection: Selection,
    /// Retries allowed per fresh request; `None` allows every retry, for comparison only.
    pub retry_ratio: Option<f64>,
}

impl Default for Options {
    fn default() -> Self {
        Options { selection: Selection::Borrowing, retry_ratio: Some(0.1) }
    }
}
