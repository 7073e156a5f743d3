//! Tests of the entry node against a scripted platform, with a clock that only moves when told to.

mod admission;
mod follow;
mod front;
mod logging;
mod platform;
