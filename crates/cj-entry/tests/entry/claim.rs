//! When a node claims a cell whose owner seems to be gone.

use std::time::Duration;

use cj_entry::{Page, Topic, owner};
use cj_sched::{Record, codec, record::OwnerHeartbeat};
use cj_types::{Millicores, NodeId};

use crate::{
    api::{Node, node},
    platform::{Scripted, after, record},
};

/// Silence after which an owner may be replaced.
const OWNER_SILENCE_MS: u64 = 6_000;

/// A node that has read one heartbeat of another owner, and then gets these answers to its reads of the job log.
async fn node_with_owner(reads: Vec<Scripted<Page>>) -> Node {
    let node = node(Vec::new()).await;
    let heartbeat = OwnerHeartbeat {
        epoch: 1,
        node: NodeId::try_from("other").unwrap(),
        cores: Millicores(1_000),
        released: false,
        load: Vec::new(),
    };
    let (key, value) = codec::entry(&Record::Owner(heartbeat));
    let page = Page { records: vec![record(0, &key, value)], next: 1, end: 1 };
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
