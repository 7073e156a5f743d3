//! Responses of a node to callers about jobs of cells that it doesn't follow.

use std::{rc::Rc, time::Duration};

use cj_entry::{
    EntryNode, EntrySettings,
    access::Caller,
    api::{CancelOutcome, JobStatus, SubmitOutcome},
    layout::{CellId, NodeCapacity},
    owner_directory::CellRecord,
    peer::{PeerRequest, PeerResponse},
};
use cj_sched::{
    Access, FleetConfig, JobKey, JobState, codec,
    record::ServiceLoad,
    sched::{Limits, Policies},
};
use cj_types::{Clock, ManualClock, Millicores, NodeId, ServiceId, Version};

use crate::{
    api::{job, queue},
    owner_directory::heartbeat,
    platform::{FakePlatform, Scripted, after, record},
};

pub(crate) type Node = Rc<EntryNode<FakePlatform, ManualClock>>;

/// A weak node of a fleet with two cells, after a heartbeat of each owner was read. `backlog_s` is the backlog of each
/// cell in seconds.
pub(crate) async fn node(
    backlog_s: u64,
    appends: Vec<Scripted<u64>>,
    responses: Vec<PeerResponse>,
) -> Node {
    let platform = FakePlatform::new();
    platform.layout.borrow_mut().cells = 2;
    platform.layout.borrow_mut().cores = Millicores(500);
    let records = (0..2).map(|cell| {
        let mut heartbeat = heartbeat(4, false, 1);
        let load = ServiceLoad { capacity: 1_000, backlog: backlog_s * 1_000_000 };
        heartbeat.owner.load = vec![(ServiceId::try_from("s").unwrap(), load)];
        let (key, value) = CellRecord::Heartbeat(CellId(cell), heartbeat).entry();
        record(1 + u64::from(cell), &key, value)
    });
    *platform.heartbeats.borrow_mut() = records.collect();
    platform.appends.borrow_mut().extend(appends);
    let encoded = responses.iter().map(|answer| Ok(codec::to_bytes(answer).into()));
    platform.peer_responses.borrow_mut().extend(encoded);
    let clock = platform.clock.clone();
    let settings = EntrySettings {
        node: NodeId::try_from("weak").unwrap(),
        peer_address: "127.0.0.1:1".into(),
        limits: Limits::default(),
        policies: Policies::default(),
        capacity: NodeCapacity { cores: Millicores(120), link_mbps: 20.0, max_cells: 24 },
        retention: Duration::from_secs(150),
        keys_required: false,
        config_time: Duration::from_secs(3),
        seed: 1,
    };
    let node = EntryNode::new(platform, clock, settings);
    let config = FleetConfig { version: Version(1), queues: vec![queue()], ..Default::default() };
    *node.config.borrow_mut() = Some(Rc::new(config));
    actix_rt::spawn(node.clone().follow());
    while !node.is_ready() {
        tokio::task::yield_now().await;
    }
    node
}

async fn submit(node: &Node) -> SubmitOutcome {
    let deadline = node.clock.now() + Duration::from_secs(3);
    node.submit(&queue(), &Caller::default(), JobKey(1), job(), deadline).await
}

fn peer_requests(node: &Node) -> Vec<PeerRequest> {
    let requests = node.platform.peer_requests.borrow();
    requests.iter().map(|(_, request)| codec::from_bytes(request).unwrap()).collect()
}

/// Guards against submissions that need the owner: they have to be stored while it is being replaced.
#[actix_rt::test]
async fn jobs_are_accepted_without_asking_the_owner() {
    let node = node(0, vec![after(4, Ok(0))], Vec::new()).await;
    assert_eq!(submit(&node).await, SubmitOutcome::Accepted);
    assert!(peer_requests(&node).is_empty());
    assert_eq!(node.waiting(&queue()), Some(2), "one in each cell");
}

/// Guards against a 410 or an outdated state from a node that doesn't follow the job's cell.
#[actix_rt::test]
async fn states_come_from_the_owner() {
    let answers =
        [JobStatus::State(JobState::Running), JobStatus::Gone].map(PeerResponse::JobStatus);
    let node = node(0, Vec::new(), answers.to_vec()).await;
    assert_eq!(
        node.job_status(JobKey(1), &Access::Open).await,
        JobStatus::State(JobState::Running)
    );
    assert_eq!(node.job_status(JobKey(1), &Access::Open).await, JobStatus::Gone);
    let unanswered = node.job_status(JobKey(1), &Access::Open).await;
    assert!(matches!(unanswered, JobStatus::Unavailable(_)), "the owner didn't answer");
    assert_eq!(peer_requests(&node), vec![PeerRequest::JobStatus(JobKey(1), Access::Open); 3]);
}

/// Guards against telling a caller that its job has not run although another node accepted an earlier attempt.
#[actix_rt::test]
async fn an_overloaded_cell_refuses_only_jobs_unknown_to_its_owner() {
    let known =
        node(100, Vec::new(), vec![PeerResponse::JobStatus(JobStatus::State(JobState::Queued))])
            .await;
    assert_eq!(submit(&known).await, SubmitOutcome::Accepted);
    let new = node(100, Vec::new(), vec![PeerResponse::JobStatus(JobStatus::Gone)]).await;
    assert!(matches!(submit(&new).await, SubmitOutcome::Refused("overload", _)));
    let silent = node(100, Vec::new(), Vec::new()).await;
    assert_eq!(submit(&silent).await, SubmitOutcome::Unknown, "the owner didn't answer");
}

/// Guards against refusing cancellations while an owner is being replaced.
#[actix_rt::test]
async fn cancellations_are_stored_when_the_owner_does_not_answer() {
    let gone = node(0, Vec::new(), vec![PeerResponse::Cancelled(CancelOutcome::Gone)]).await;
    let deadline = gone.clock.now() + Duration::from_secs(3);
    assert_eq!(gone.cancel(JobKey(1), &Access::Open, deadline).await, CancelOutcome::Gone);
    let silent = node(0, vec![after(4, Ok(0))], Vec::new()).await;
    let deadline = silent.clock.now() + Duration::from_secs(3);
    assert_eq!(silent.cancel(JobKey(1), &Access::Open, deadline).await, CancelOutcome::Done);
}

/// Guards against a node answering requests about a cell that it doesn't follow, and against failing on malformed
/// requests.
#[actix_rt::test]
async fn only_followers_answer_peer_requests() {
    let node = node(0, Vec::new(), Vec::new()).await;
    let answer = node
        .handle_peer_request(&codec::to_bytes(&PeerRequest::JobStatus(JobKey(1), Access::Open)))
        .await
        .unwrap();
    let answer: PeerResponse = codec::from_bytes(&answer).unwrap();
    assert!(matches!(answer, PeerResponse::JobStatus(JobStatus::Unavailable(_))));
    let answer = node
        .handle_peer_request(&codec::to_bytes(&PeerRequest::Cancel(JobKey(1), Access::Open)))
        .await
        .unwrap();
    let answer: PeerResponse = codec::from_bytes(&answer).unwrap();
    assert!(matches!(answer, PeerResponse::Cancelled(CancelOutcome::Refused(_))));
    for malformed in [&b""[..], b"\x01", b"\x01\x09\x01", b"\xff\xff"] {
        assert!(node.handle_peer_request(malformed).await.is_err());
    }
}
