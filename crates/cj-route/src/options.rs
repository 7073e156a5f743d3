//! Choices that the routing benchmark compares.

use derive_more::Display;

/// How a node limits and chooses its upstreams. See `docs/decisions/routing.md`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Selection {
    /// Any upstream up to its whole slot count; the less loaded of two random ones by the load reported on answers.
    #[display("two_choices")]
    TwoChoices,
    /// A fixed share of the slots of nearly every upstream.
    #[display("apportioned")]
    Apportioned,
    /// All or most slots of a fixed subset of the upstreams.
    #[display("subset")]
    Subset,
    /// The apportioned share first; beyond it, slots that recent answers report as free.
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
