//! Tests of the entry node against a scripted platform, with a clock that only moves when told to.

mod admission;
mod api;
mod cells;
mod follow;
mod layout;
mod logging;
mod owner_directory;
mod platform;
