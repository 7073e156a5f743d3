//! Helpers shared by the membership tests.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::time::Duration;

use cj_member::Report;
use cj_types::{Incarnation, NodeIncarnation};

pub const SECOND: Duration = Duration::from_secs(1);

pub fn report(name: &str, incarnation: u64, counter: u64) -> Report {
    let node =
        NodeIncarnation { node: name.parse().unwrap(), incarnation: Incarnation(incarnation) };
    let address = "127.0.0.1:0".parse().unwrap();
    Report { counter, ..Report::new("test".into(), node, address, "dc1".parse().unwrap()) }
}
