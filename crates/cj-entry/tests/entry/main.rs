//! Tests of the entry node against a scripted platform, with a clock that only moves when told to.

mod admission;
mod cells;
mod follow;
mod front;
mod layout;
mod logging;
mod platform;
mod roster;
