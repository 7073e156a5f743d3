//! Tests of the fakes: their wire contract (section 9 of `docs/design.md`), fault injection and counters.

mod common;
mod log;
mod vms;
mod workers;
