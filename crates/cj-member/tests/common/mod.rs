//! Helpers shared by the membership tests.

#![allow(dead_code, missing_docs, unreachable_pub)]

use std::{collections::BTreeMap, time::Duration};

use cj_member::{PROTOCOL_VERSION, Report};
use cj_types::{Incarnation, NodeIncarnation, Offset};

pub const SECOND: Duration = Duration::from_secs(1);

pub fn report(name: &str, incarnation: u64, counter: u64) -> Report {
    Report {
        protocol: PROTOCOL_VERSION,
        cluster: "test".into(),
        node: NodeIncarnation {
            node: name.parse().unwrap(),
            incarnation: Incarnation(incarnation),
        },
        counter,
        address: "127.0.0.1:0".parse().unwrap(),
        centre: "dc1".parse().unwrap(),
        applied: Offset(0),
        settings: Offset(0),
        hash_at: Offset(0),
        hash: [0; 32],
        in_flight: BTreeMap::new(),
        leaving: false,
        deciding: true,
    }
}
