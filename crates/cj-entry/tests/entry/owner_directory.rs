//! What nodes record about the owners of cells that they don't follow.

use std::time::{Duration, Instant};

use cj_entry::{
    layout::CellId,
    owner_directory::{CellHeartbeat, CellRecord, OwnerDirectory},
};
use cj_sched::{LoadReport, PoolLoad, record::OwnerHeartbeat};
use cj_types::{Millicores, NodeId, ServiceId};

pub(crate) fn heartbeat(epoch: u64, released: bool, waiting: u32) -> CellHeartbeat {
    let owner = OwnerHeartbeat {
        epoch,
        node: NodeId::try_from("n1").unwrap(),
        cores: Millicores(500),
        released,
        load: Vec::new(),
    };
    CellHeartbeat {
        owner,
        address: "10.0.0.1:7060".into(),
        waiting: vec![("q".into(), waiting)],
        completed_waves: vec![3],
    }
}

/// Guards against sending requests to a replaced owner because its last heartbeat was appended late.
#[test]
fn heartbeats_of_earlier_owners_are_ignored() {
    let (mut owners, now) = (OwnerDirectory::default(), Instant::now());
    owners.record_heartbeat(CellId(0), heartbeat(7, false, 1), now);
    owners.record_heartbeat(CellId(0), heartbeat(6, true, 1), now + Duration::from_secs(1));
    assert_eq!(owners.heartbeat(CellId(0)).unwrap().owner.epoch, 7);
    let age = owners.heartbeat_age(CellId(0), now + Duration::from_secs(2));
    assert_eq!(age, Some(Duration::from_secs(2)));
    owners.record_heartbeat(CellId(0), heartbeat(7, true, 1), now);
    assert_eq!(owners.heartbeat_age(CellId(0), now), None, "it was released");
}

/// Guards against counting waiting jobs without the jobs of some cell.
#[test]
fn waiting_jobs_are_known_only_while_all_cells_are() {
    let (mut owners, now, limit) =
        (OwnerDirectory::default(), Instant::now(), Duration::from_secs(2));
    owners.record_heartbeat(CellId(0), heartbeat(1, false, 4), now);
    assert_eq!(owners.waiting("q", 2, now, limit), None);
    owners.record_heartbeat(CellId(1), heartbeat(1, false, 5), now);
    assert_eq!(owners.waiting("q", 2, now, limit), Some(9));
    assert_eq!(owners.waiting("other", 2, now, limit), Some(0));
    assert_eq!(owners.waiting("q", 2, now + Duration::from_secs(3), limit), None);
    assert_eq!(owners.cells_completed(3, 3), [true, true, false]);
}

/// Guards against many nodes reading a whole cell at once in order to take it over.
#[test]
fn a_candidacy_holds_others_back_until_it_expires() {
    let (mut owners, now) = (OwnerDirectory::default(), Instant::now());
    let (own, other) = (NodeId::try_from("n1").unwrap(), NodeId::try_from("n2").unwrap());
    owners.record_candidacy(CellId(1), other.clone(), now);
    assert!(owners.has_other_candidate(CellId(1), &own, now + Duration::from_secs(1)));
    assert!(!owners.has_other_candidate(CellId(1), &other, now), "its own candidacy");
    assert!(!owners.has_other_candidate(CellId(0), &own, now));
    assert!(
        !owners.has_other_candidate(CellId(1), &own, now + Duration::from_secs(10)),
        "it has expired"
    );
}

/// Guards against a process that ends because of a record that it can't decode.
#[test]
fn malformed_records_are_errors() {
    let (key, value) = CellRecord::Heartbeat(CellId(2), heartbeat(1, false, 0)).entry();
    assert!(CellRecord::decode(&key, &value).is_ok());
    for length in 0..value.len() {
        assert!(CellRecord::decode(&key, &value[..length]).is_err(), "{length} bytes");
    }
    for key in ["", "b", "bx", "x1", "b70000", "\u{e9}1"] {
        assert!(CellRecord::decode(key, &value).is_err(), "{key}");
    }
}

/// Guards against a load of a cell that is taken for that of another, and a process that ends because of a malformed one.
#[test]
fn loads_of_cells_round_trip() {
    let pools =
        vec![(ServiceId::try_from("s").unwrap(), PoolLoad { capacity: 9, ..PoolLoad::default() })];
    let record =
        CellRecord::Load(CellId(3), LoadReport { epoch: 4, owned_ms: 5, age_ms: 6, pools });
    let (key, value) = record.entry();
    assert_eq!(CellRecord::decode(&key, &value).unwrap(), record);
    for length in 0..value.len() {
        assert!(CellRecord::decode(&key, &value[..length]).is_err(), "{length} bytes");
    }
}
