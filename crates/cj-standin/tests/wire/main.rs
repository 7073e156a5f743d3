//! Wire contract of the stand-ins (section 9 of `docs/design.md`), their fault switches and their counters.

mod common;
mod log;
mod vms;
mod workers;
