//! Tests of placement on states built by `cj_fold`.

mod cases;
mod support;
