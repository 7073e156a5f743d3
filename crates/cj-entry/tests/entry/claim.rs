//! When a node claims a cell whose owner seems to be gone.

use std::time::Duration;

use cj_entry::{Page, RawRecord, Topic, owner};
use cj_sched::{
    Record, codec,
    record::OwnerHeartbeat,
    sched::{WorkerId, WorkerRegistration},
};
use cj_types::{Millicores, NodeId, Resources, ServiceId};

use crate::{
    api::{Node, node},
    platform::{Scripted, after, record},
};

/// Silence after which an owner may be replaced.
const OWNER_SILENCE_MS: u64 = 6_000;

/// A heartbeat in the job log.
fn heartbeat(offset: u64, epoch: u64, node: &str, released: bool) -> RawRecord {
    let heartbeat = OwnerHeartbeat {
        epoch,
        node: NodeId::try_from(node).unwrap(),
        cores: Millicores(1_000),
        released,
        load: Vec::new(),
    };
    let (key, value) = codec::entry(&Record::Owner(heartbeat));
    record(offset, &key, value)
}

/// A node that has read one heartbeat of another owner, and then gets these answers to its reads of the job log.
async fn node_with_owner(reads: Vec<Scripted<Page>>) -> Node {
    let node = node(Vec::new()).await;
    let page = Page { records: vec![heartbeat(0, 1, "other", false)], next: 1, end: 1 };
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page)));
    node.platform.reads.borrow_mut().extend(reads);
    let member = node.members()[0].clone();
    while member.last_heartbeat.get().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    actix_rt::spawn(owner::run(node.clone()));
    node
}

fn claims(node: &Node) -> usize {
    let topics = node.platform.topics.borrow();
    topics.iter().filter(|topic| matches!(topic, Topic::Claims(_))).count()
}

/// Guards against a node that replaces a live owner because its own reads go unanswered.
#[actix_rt::test]
async fn an_owner_is_not_replaced_while_reads_go_unanswered() {
    let node = node_with_owner(Vec::new()).await;
    node.clock.advance(Duration::from_millis(OWNER_SILENCE_MS));
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(claims(&node), 0);
}

/// Guards against an owner that is never replaced although the log was read without a heartbeat.
#[actix_rt::test]
async fn an_owner_without_heartbeats_is_replaced() {
    let empty = Page { records: Vec::new(), next: 1, end: 1 };
    let reads = vec![after(OWNER_SILENCE_MS, Ok(empty.clone())), after(1, Ok(empty))];
    let node = node_with_owner(reads).await;
    while claims(&node) == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Lets the node claim the cell of the other owner, whose last record in the job log, at offset 1, is read only after the claim.
async fn claim_from(node: &Node, last: RawRecord) {
    node.platform.registrations.borrow_mut().push(WorkerRegistration {
        id: WorkerId("w0".into()),
        started_at: Some(1),
        service: ServiceId::try_from("s").unwrap(),
        address: "127.0.0.1:1".into(),
        capacity: Resources::default(),
        labels: Vec::new(),
        draining: false,
        remaining: None,
    });
    node.platform.appends.borrow_mut().extend([after(1, Ok(1)), after(1, Ok(2))]);
    while !node.platform.appends.borrow().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let page = Page { records: vec![last, heartbeat(2, 2, "n1", false)], next: 3, end: 3 };
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page)));
}

/// A node that reads for long enough without a heartbeat of the other owner.
async fn node_with_silent_owner() -> Node {
    let empty = Page { records: Vec::new(), next: 1, end: 1 };
    node_with_owner(vec![after(OWNER_SILENCE_MS, Ok(empty.clone())), after(1, Ok(empty))]).await
}

/// Guards against two owners that act at once: a heartbeat that the store took before the claim lets the earlier owner act as the
/// only one.
#[actix_rt::test]
async fn a_new_owner_waits_after_a_late_heartbeat_of_the_earlier_one() {
    let node = node_with_silent_owner().await;
    claim_from(&node, heartbeat(1, 1, "other", false)).await;
    while node.members()[0].job_log.next() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(60)).await;
        assert_eq!(node.platform.listings.get(), 0);
        node.clock.advance(Duration::from_millis(100));
    }
    while node.platform.listings.get() == 0 {
        node.clock.advance(Duration::from_millis(100));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

/// Guards against a planned handover that waits for an owner which has released the cell.
#[actix_rt::test]
async fn a_new_owner_acts_at_once_after_a_release() {
    let node = node_with_silent_owner().await;
    claim_from(&node, heartbeat(1, 1, "other", true)).await;
    let claimed_at = node.clock.elapsed();
    while node.platform.listings.get() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(node.clock.elapsed() < claimed_at + Duration::from_millis(100));
}
