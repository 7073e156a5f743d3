//! Tests of the entry node with a scripted platform and a clock that the tests control.

mod access;
mod admission;
mod api;
mod cells;
mod claim;
mod command_slots;
mod follow;
mod layout;
mod logging;
mod owner_directory;
mod placement_query;
mod platform;
