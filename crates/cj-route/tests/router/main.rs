//! Tests of the router under a virtual clock.

mod cases;
mod random;
mod support;
