//! Tests of placement on states built by the fold.

mod cases;
mod support;
