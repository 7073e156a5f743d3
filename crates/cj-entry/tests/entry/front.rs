//! Answers to callers while the store answers, refuses, or is silent.

use std::{rc::Rc, time::Duration};

use cj_entry::{
    EntryNode, EntrySettings, JOBS, Newest, Page, StoreError,
    front::{Cancelled, Looked, Submitted},
    layout::NodeSize,
};
use cj_sched::{
    FleetConfig, JobKey, JobSpec, Queue, Record, StepSpec, Submission, codec,
    record::ServiceLoad,
    sched::{Limits, Policies},
};
use cj_types::{Clock, ManualClock, Millicores, NodeId, ServiceId, UnixMillis, Version};
use compact_str::CompactString;

use crate::{
    platform::{FakePlatform, after, lost, record},
    roster::beat,
};

type Node = Rc<EntryNode<FakePlatform, ManualClock>>;

pub(crate) fn queue() -> Queue {
    Queue {
        name: "q".into(),
        host: "host".into(),
        prefix: "/q/".into(),
        service: ServiceId::try_from("s").unwrap(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target: Duration::from_millis(600),
        advice: None,
    }
}

pub(crate) fn job() -> JobSpec {
    let step = StepSpec { count: 1, estimate: Duration::from_millis(500), ..StepSpec::default() };
    JobSpec { text: String::new(), steps: vec![step], schedule: None }
}

/// A node that has read an empty store and is up to date.
async fn node(appends: Vec<crate::platform::Scripted<u64>>) -> Node {
    let platform = FakePlatform::new();
    let clock = platform.clock.clone();
    platform.newest.borrow_mut().push_back(after(1, Ok(Newest::default())));
    platform.reads.borrow_mut().push_back(after(1, Ok(Page::default())));
    platform.appends.borrow_mut().extend(appends);
    let settings = EntrySettings {
        node: NodeId::try_from("n1").unwrap(),
        peer: "127.0.0.1:1".into(),
        limits: Limits::default(),
        policies: Policies::default(),
        size: NodeSize { cores: Millicores(1_000), link: 1_000.0, cells: 1 },
        retention: Duration::from_secs(150),
        seed: 1,
    };
    let node = EntryNode::new(platform, clock, settings);
    let config = FleetConfig { version: Version(1), queues: vec![queue()], ..Default::default() };
    *node.config.borrow_mut() = Some(Rc::new(config));
    actix_rt::spawn(node.clone().follow());
    while !node.knows_all_jobs() {
        tokio::task::yield_now().await;
    }
    node
}

async fn submit(node: &Node) -> Submitted {
    let deadline = node.clock.now() + Duration::from_secs(3);
    node.submit(&queue(), JobKey(1), job(), deadline).await
}

#[actix_rt::test]
async fn accepts_a_job_that_is_durable() {
    let node = node(vec![after(4, Ok(0))]).await;
    assert_eq!(submit(&node).await, Submitted::Accepted);
}

/// Guards against a job that is called not accepted although its append may have taken effect.
#[actix_rt::test]
async fn says_refused_only_when_nothing_was_stored() {
    let refused = StoreError::Refused("503".into());
    let node_1 = node(vec![after(4, Err(refused.clone()))]).await;
    assert!(matches!(submit(&node_1).await, Submitted::Refused("store_refused", _)));

    let silent = StoreError::Unanswered("reset".into());
    let node_2 = node(vec![after(4, Err(silent)), after(2_000, Err(refused))]).await;
    assert_eq!(submit(&node_2).await, Submitted::Unknown);
}

/// Guards against an append whose answer was lost and which nobody repeats until its caller has given up.
#[actix_rt::test]
async fn repeats_an_append_whose_answer_is_lost() {
    let node = node(vec![lost(), after(4, Ok(0))]).await;
    assert_eq!(submit(&node).await, Submitted::Accepted);
    assert_eq!(node.platform.appended.get(), 2);
}

/// Guards against many nodes whose appends queue in one topic of a slow store until their callers give up.
#[actix_rt::test]
async fn appends_elsewhere_while_the_log_of_jobs_is_slow() {
    let node =
        node(vec![after(400, Ok(0)), after(100, Ok(0)), after(4, Ok(0)), after(4, Ok(0))]).await;
    let deadline = node.clock.now() + Duration::from_secs(3);
    for key in 1..=4 {
        let answer = node.submit(&queue(), JobKey(key), job(), deadline).await;
        assert_eq!(answer, Submitted::Accepted);
    }
    let topics = node.platform.topics.borrow();
    let direct: Vec<bool> = topics.iter().map(|&topic| topic == JOBS).collect();
    assert_eq!(direct, [true, false, false, true]);
}

/// Guards against a caller who hears that its job hasn't run, although another node accepted it a moment before and the answer was
/// lost.
#[actix_rt::test]
async fn an_overloaded_node_reads_on_before_it_refuses() {
    let beat = {
        let mut beat = beat(3, false, 0).owner;
        let load = ServiceLoad { capacity: 1_000, backlog: 100_000_000 };
        beat.load = vec![(ServiceId::try_from("s").unwrap(), load)];
        codec::entry(&Record::Owner(beat))
    };
    let accepted = Submission {
        queue: "q".into(),
        service: ServiceId::try_from("s").unwrap(),
        priority: 0,
        max_attempts: 2,
        objective: Duration::from_secs(1),
        received_at: UnixMillis(0),
        spec: job(),
    };
    let accepted = codec::entry(&Record::Submission(JobKey(1), Box::new(accepted)));
    let page = |offset, (key, value): &(CompactString, Vec<u8>)| Page {
        records: vec![record(offset, key, value.clone())],
        next: offset + 1,
        end: offset + 1,
    };
    let node = node(Vec::new()).await;
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page(0, &beat))));
    while node.members()[0].book.borrow().owner().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    node.clock.advance(Duration::from_millis(50));
    let mut submitted = Box::pin(submit(&node));
    let early = tokio::time::timeout(Duration::from_millis(60), &mut submitted).await;
    assert!(early.is_err(), "what came meanwhile isn't read yet");
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page(1, &accepted))));
    assert_eq!(submitted.await, Submitted::Accepted);

    let deadline = node.clock.now() + Duration::from_secs(3);
    let answer = node.submit(&queue(), JobKey(2), job(), deadline).await;
    assert_eq!(answer, Submitted::Unknown, "nothing was read since it asked");
}

/// Guards against callers that wait for a store which is known to be out of reach.
#[actix_rt::test]
async fn refuses_at_once_when_the_store_is_out_of_reach() {
    let node = node(Vec::new()).await;
    node.clock.advance(Duration::from_secs(4));
    assert!(matches!(submit(&node).await, Submitted::Refused("store_unreachable", _)));
    assert_eq!(node.platform.appended.get(), 0);
}

/// Guards against a 410 for a job that the node may not have heard of.
#[actix_rt::test]
async fn knows_no_job_only_while_it_is_up_to_date() {
    let node = node(Vec::new()).await;
    assert_eq!(node.look(JobKey(9)).await, Looked::Gone);
    node.clock.advance(Duration::from_secs(4));
    assert!(matches!(node.look(JobKey(9)).await, Looked::Unavailable(_)));
    let deadline = node.clock.now() + Duration::from_secs(3);
    assert!(matches!(node.cancel(JobKey(9), deadline).await, Cancelled::Refused(_)));
}

#[actix_rt::test]
async fn refuses_a_job_that_waits_for_itself() {
    let node = node(Vec::new()).await;
    let mut spec = job();
    spec.steps[0].after = vec![0];
    let deadline = node.clock.now() + Duration::from_secs(3);
    let answer = node.submit(&queue(), JobKey(1), spec, deadline).await;
    assert!(matches!(answer, Submitted::Invalid(_)));
}
