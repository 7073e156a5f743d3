//! Responses to callers while the store answers, refuses, or doesn't answer.

use std::{rc::Rc, time::Duration};

use cj_entry::{
    EntryNode, EntrySettings, FIRST_CELL_JOBS, NewestPage, Page, StoreError,
    access::Caller,
    api::{CancelOutcome, JobStatus, SubmitOutcome},
    layout::NodeCapacity,
};
use cj_sched::{
    Access, FleetConfig, JobKey, JobSpec, LoadReport, PoolLoad, Queue, Record, StepSpec,
    Submission, codec,
    load_report::WaitingBand,
    record::ServiceLoad,
    sched::{Limits, Policies},
};
use cj_types::{Clock, ManualClock, Millicores, NodeId, ServiceId, UnixMillis, Version};
use compact_str::CompactString;

use crate::{
    owner_directory::heartbeat,
    platform::{FakePlatform, after, lost, record},
};

pub(crate) type Node = Rc<EntryNode<FakePlatform, ManualClock>>;

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
        public: false,
    }
}

pub(crate) fn job() -> JobSpec {
    let step = StepSpec { count: 1, estimate: Duration::from_millis(500), ..StepSpec::default() };
    JobSpec { text: String::new(), steps: vec![step], schedule: None }
}

/// The stored submission of a job without an account.
pub(crate) fn submission() -> Submission {
    Submission {
        queue: "q".into(),
        service: ServiceId::try_from("s").unwrap(),
        priority: 0,
        max_attempts: 2,
        objective: Duration::from_secs(1),
        received_at: UnixMillis(0),
        spec: job(),
        account: None,
    }
}

/// A node that has read an empty store and is up to date.
pub(crate) async fn node(appends: Vec<crate::platform::Scripted<u64>>) -> Node {
    let platform = FakePlatform::new();
    let clock = platform.clock.clone();
    platform.newest.borrow_mut().push_back(after(1, Ok(NewestPage::default())));
    platform.reads.borrow_mut().push_back(after(1, Ok(Page::default())));
    platform.appends.borrow_mut().extend(appends);
    let settings = EntrySettings {
        node: NodeId::try_from("n1").unwrap(),
        peer_address: "127.0.0.1:1".into(),
        limits: Limits::default(),
        policies: Policies { admit: true, ..Policies::default() },
        capacity: NodeCapacity { cores: Millicores(1_000), link_mbps: 1_000.0, max_cells: 1 },
        retention: Duration::from_secs(150),
        keys_required: false,
        config_time: Duration::from_secs(3),
        seed: 1,
    };
    let node = EntryNode::new(platform, clock, settings);
    let config = FleetConfig { version: Version(1), queues: vec![queue()], ..Default::default() };
    *node.config.borrow_mut() = Some(Rc::new(config));
    actix_rt::spawn(node.clone().follow());
    while !node.is_caught_up() {
        tokio::task::yield_now().await;
    }
    node
}

async fn submit(node: &Node) -> SubmitOutcome {
    let deadline = node.clock.now() + Duration::from_secs(3);
    node.submit(&queue(), &Caller::default(), JobKey(1), job(), deadline).await
}

#[actix_rt::test]
async fn accepts_a_job_that_is_durable() {
    let node = node(vec![after(4, Ok(0))]).await;
    assert_eq!(submit(&node).await, SubmitOutcome::Accepted);
}

/// Guards against reporting a job as refused although its append may have taken effect.
#[actix_rt::test]
async fn reports_a_refusal_only_when_nothing_was_stored() {
    let refused = StoreError::Refused("503".into());
    let node_1 = node(vec![after(4, Err(refused.clone()))]).await;
    assert!(matches!(submit(&node_1).await, SubmitOutcome::Refused("store_refused", _)));

    let silent = StoreError::Unanswered("reset".into());
    let node_2 = node(vec![after(4, Err(silent)), after(2_000, Err(refused))]).await;
    assert_eq!(submit(&node_2).await, SubmitOutcome::Unknown);
}

/// Guards against not retrying an append whose answer was lost until the caller has given up.
#[actix_rt::test]
async fn retries_an_append_whose_answer_is_lost() {
    let node = node(vec![lost(), after(4, Ok(0))]).await;
    assert_eq!(submit(&node).await, SubmitOutcome::Accepted);
    assert_eq!(node.platform.appended.get(), 2);
}

/// Guards against the appends of many nodes queueing in one topic of a slow store until their callers give up.
#[actix_rt::test]
async fn uses_the_overflow_log_while_the_job_log_is_slow() {
    let node =
        node(vec![after(400, Ok(0)), after(100, Ok(0)), after(4, Ok(0)), after(4, Ok(0))]).await;
    let deadline = node.clock.now() + Duration::from_secs(3);
    for key in 1..=4 {
        let answer = node.submit(&queue(), &Caller::default(), JobKey(key), job(), deadline).await;
        assert_eq!(answer, SubmitOutcome::Accepted);
    }
    let topics = node.platform.topics.borrow();
    let direct: Vec<bool> = topics.iter().map(|&topic| topic == FIRST_CELL_JOBS).collect();
    assert_eq!(direct, [true, false, false, true]);
}

/// Guards against telling a caller that its job has not run although another node accepted it just before and the
/// answer was lost.
#[actix_rt::test]
async fn an_overloaded_node_reads_the_log_before_it_refuses() {
    let heartbeat = {
        let mut heartbeat = heartbeat(3, false, 0).owner;
        let load = ServiceLoad { capacity: 1_000, backlog: 100_000_000 };
        heartbeat.load = vec![(ServiceId::try_from("s").unwrap(), load)];
        codec::entry(&Record::Owner(heartbeat))
    };
    let accepted = submission();
    let accepted = codec::entry(&Record::Submission(JobKey(1), Box::new(accepted)));
    let page = |offset, (key, value): &(CompactString, Vec<u8>)| Page {
        records: vec![record(offset, key, value.clone())],
        next: offset + 1,
        end: offset + 1,
    };
    let node = node(Vec::new()).await;
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page(0, &heartbeat))));
    while node.members()[0].job_index.borrow().owner().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    node.clock.advance(Duration::from_millis(50));
    let mut submitted = Box::pin(submit(&node));
    let early = tokio::time::timeout(Duration::from_millis(60), &mut submitted).await;
    assert!(early.is_err(), "records appended meanwhile aren't read yet");
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page(1, &accepted))));
    assert_eq!(submitted.await, SubmitOutcome::Accepted);

    let deadline = node.clock.now() + Duration::from_secs(3);
    let answer = node.submit(&queue(), &Caller::default(), JobKey(2), job(), deadline).await;
    assert_eq!(answer, SubmitOutcome::Unknown, "nothing was read since the request");
}

/// Guards against loads that are published and read but not decided on, and against refusals on one that has become too old.
#[actix_rt::test]
async fn refuses_by_the_load_that_the_owner_published() {
    let band = WaitingBand { priority: 0, latest_start_ms: 100, work: 5_000 };
    let load =
        PoolLoad { capacity: 1_000, asked: 1_000, waiting: vec![band], ..PoolLoad::default() };
    let pools = vec![(ServiceId::try_from("s").unwrap(), load)];
    let report = LoadReport { epoch: 3, owned_ms: 9_000, age_ms: 0, pools };
    let owner = Record::Owner(heartbeat(3, false, 0).owner);
    let entries = [owner, Record::Load(Box::new(report))].map(|record| codec::entry(&record));
    let records = (0..).zip(entries).map(|(offset, (key, value))| record(offset, &key, value));
    let page = Page { records: records.collect(), next: 2, end: 2 };
    let node = node(vec![after(4, Ok(0))]).await;
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page)));
    while node.members()[0].job_index.borrow().owner().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    node.clock.advance(Duration::from_millis(50));
    let mut submitted = Box::pin(submit(&node));
    let early = tokio::time::timeout(Duration::from_millis(60), &mut submitted).await;
    assert!(early.is_err(), "the job may be known to another node");
    let empty = Page { records: Vec::new(), next: 2, end: 2 };
    node.platform.reads.borrow_mut().push_back(after(1, Ok(empty)));
    // 5 s of work go first, and the job can wait for 0.68 s.
    let SubmitOutcome::Refused("overload", retry_after) = submitted.await else {
        panic!("not refused")
    };
    assert!(retry_after > Duration::from_secs(3) && retry_after < Duration::from_secs(6));
    let metrics = node.metrics.render();
    assert!(
        metrics.contains("copperjunction_refusals_total{reason=\"expected_end\"} 1"),
        "{metrics}"
    );

    node.clock.advance(Duration::from_millis(2_100));
    assert_eq!(submit(&node).await, SubmitOutcome::Accepted, "the load is too old");
}

/// Guards against callers waiting for a store that is known to be unreachable.
#[actix_rt::test]
async fn refuses_at_once_when_the_store_is_unreachable() {
    let node = node(Vec::new()).await;
    node.clock.advance(Duration::from_secs(4));
    assert!(matches!(submit(&node).await, SubmitOutcome::Refused("store_unreachable", _)));
    assert_eq!(node.platform.appended.get(), 0);
}

/// Guards against a 410 for a job whose record the node may not have read.
#[actix_rt::test]
async fn reports_a_job_as_gone_only_while_up_to_date() {
    let node = node(Vec::new()).await;
    assert_eq!(node.job_status(JobKey(9), &Access::Open).await, JobStatus::Gone);
    node.clock.advance(Duration::from_secs(4));
    assert!(matches!(node.job_status(JobKey(9), &Access::Open).await, JobStatus::Unavailable(_)));
    let deadline = node.clock.now() + Duration::from_secs(3);
    assert!(matches!(
        node.cancel(JobKey(9), &Access::Open, deadline).await,
        CancelOutcome::Refused(_)
    ));
}

/// Guards against a cancellation that is answered with 410 while the job runs on: it was accepted just before, and the node hasn't read
/// its record.
#[actix_rt::test]
async fn cancels_a_job_that_was_just_accepted() {
    let node = node(vec![after(4, Ok(0)), after(4, Ok(1))]).await;
    assert_eq!(submit(&node).await, SubmitOutcome::Accepted);
    let deadline = node.clock.now() + Duration::from_secs(3);
    let read = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let (key, value) = codec::entry(&Record::Submission(JobKey(1), Box::new(submission())));
        let page = Page { records: vec![record(0, &key, value)], next: 1, end: 1 };
        node.platform.reads.borrow_mut().push_back(after(1, Ok(page)));
    };
    let (answer, ()) = futures::join!(node.cancel(JobKey(1), &Access::Open, deadline), read);
    assert_eq!(answer, CancelOutcome::Done);
    assert_eq!(node.platform.appended.get(), 2, "the cancellation is stored");
}

/// Guards against a cancellation of a job that doesn't exist that is never answered as such.
#[actix_rt::test]
async fn a_job_that_no_log_has_up_to_now_is_gone() {
    let node = node(Vec::new()).await;
    node.clock.advance(Duration::from_millis(10));
    node.platform.answers_overflow.set(true);
    node.platform
        .reads
        .borrow_mut()
        .extend([after(0, Ok(Page::default())), after(0, Ok(Page::default()))]);
    let deadline = node.clock.now() + Duration::from_secs(3);
    assert_eq!(node.cancel(JobKey(9), &Access::Open, deadline).await, CancelOutcome::Gone);
    assert_eq!(node.platform.appended.get(), 0, "nothing is stored");
}

#[actix_rt::test]
async fn refuses_a_job_with_a_step_that_depends_on_itself() {
    let node = node(Vec::new()).await;
    let mut spec = job();
    spec.steps[0].after = vec![0];
    let deadline = node.clock.now() + Duration::from_secs(3);
    let answer = node.submit(&queue(), &Caller::default(), JobKey(1), spec, deadline).await;
    assert!(matches!(answer, SubmitOutcome::Invalid(_)));
}
