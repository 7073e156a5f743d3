//! What nodes know of the owners of cells that they don't follow.

use std::time::{Duration, Instant};

use cj_entry::{
    layout::CellId,
    roster::{CellBeat, CellRecord, Roster},
};
use cj_sched::record::OwnerHeartbeat;
use cj_types::{Millicores, NodeId};

pub(crate) fn beat(epoch: u64, released: bool, waiting: u32) -> CellBeat {
    let owner = OwnerHeartbeat {
        epoch,
        node: NodeId::try_from("n1").unwrap(),
        cores: Millicores(500),
        released,
        load: Vec::new(),
    };
    CellBeat {
        owner,
        address: "10.0.0.1:7060".into(),
        waiting: vec![("q".into(), waiting)],
        waves: vec![3],
    }
}

/// Guards against questions that go to an owner which was replaced, because its last heartbeat was appended late.
#[test]
fn earlier_owners_are_not_heard() {
    let (mut roster, now) = (Roster::default(), Instant::now());
    roster.hear(CellId(0), beat(7, false, 1), now);
    roster.hear(CellId(0), beat(6, true, 1), now + Duration::from_secs(1));
    assert_eq!(roster.beat(CellId(0)).unwrap().owner.epoch, 7);
    let silence = roster.silence(CellId(0), now + Duration::from_secs(2));
    assert_eq!(silence, Some(Duration::from_secs(2)));
    roster.hear(CellId(0), beat(7, true, 1), now);
    assert_eq!(roster.silence(CellId(0), now), None, "it was released");
}

/// Guards against counts of waiting jobs that leave out a cell.
#[test]
fn waiting_jobs_are_known_only_while_all_cells_are() {
    let (mut roster, now, limit) = (Roster::default(), Instant::now(), Duration::from_secs(2));
    roster.hear(CellId(0), beat(1, false, 4), now);
    assert_eq!(roster.waiting("q", 2, now, limit), None);
    roster.hear(CellId(1), beat(1, false, 5), now);
    assert_eq!(roster.waiting("q", 2, now, limit), Some(9));
    assert_eq!(roster.waiting("other", 2, now, limit), Some(0));
    assert_eq!(roster.waiting("q", 2, now + Duration::from_secs(3), limit), None);
    assert_eq!(roster.done_with(3, 3), [true, true, false]);
}

/// Guards against many nodes that read a whole cell at once to take it over.
#[test]
fn a_bid_holds_others_back_for_a_moment() {
    let (mut roster, now) = (Roster::default(), Instant::now());
    let (own, other) = (NodeId::try_from("n1").unwrap(), NodeId::try_from("n2").unwrap());
    roster.note_bid(CellId(1), other.clone(), now);
    assert!(roster.is_bid_for(CellId(1), &own, now + Duration::from_secs(1)));
    assert!(!roster.is_bid_for(CellId(1), &other, now), "its own bid");
    assert!(!roster.is_bid_for(CellId(0), &own, now));
    assert!(!roster.is_bid_for(CellId(1), &own, now + Duration::from_secs(10)), "it failed");
}

/// Guards against a process that ends because of a record that it can't read.
#[test]
fn malformed_records_are_errors() {
    let (key, value) = CellRecord::Beat(CellId(2), beat(1, false, 0)).entry();
    assert!(CellRecord::decode(&key, &value).is_ok());
    for length in 0..value.len() {
        assert!(CellRecord::decode(&key, &value[..length]).is_err(), "{length} bytes");
    }
    for key in ["", "b", "bx", "x1", "b70000", "\u{e9}1"] {
        assert!(CellRecord::decode(key, &value).is_err(), "{key}");
    }
}
