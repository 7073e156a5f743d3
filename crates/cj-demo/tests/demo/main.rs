//! The driver's checks: each of them must fail when its fault is present, and hold when it isn't.

mod driver;
mod fake;
mod ledger;
mod report;
