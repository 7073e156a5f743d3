//! Tests of the driver's checks: each must fail with the fault that it detects and pass without it.

mod driver;
mod fake;
mod ledger;
mod report;
