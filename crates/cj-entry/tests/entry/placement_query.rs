//! Placement queries at nodes that don't own the cell, and what they leave unchanged.

use std::rc::Rc;

use cj_entry::{
    Page,
    placement_query::{PlacementAnswer, PlacementError},
};
use cj_sched::{
    Account, AccountCap, Accounts, FleetConfig, JobSpec, KeyDigest, Queue, Record, StepSpec,
    Weight, codec, record::ServiceLoad, sched::MAX_QUERY_STEPS,
};
use cj_types::{AccountId, Clock, ServiceId, Version};

use crate::{
    api::{Node, job, node, queue},
    cells,
    owner_directory::heartbeat,
    platform::{after, record},
};

/// A node that follows the only cell, after it has read a heartbeat with a backlog of this many seconds.
async fn follower(backlog_s: u64) -> Node {
    let node = node(Vec::new()).await;
    let mut owner = heartbeat(4, false, 1).owner;
    let load = ServiceLoad { capacity: 1_000, backlog: backlog_s * 1_000_000 };
    owner.load = vec![(ServiceId::try_from("s").unwrap(), load)];
    let (key, value) = codec::entry(&Record::Owner(owner));
    let page = Page { records: vec![record(0, &key, value)], next: 1, end: 1 };
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page)));
    while node.members()[0].job_index.borrow().owner().is_none()
        || node.operator_topic.age(node.clock.now()).is_none()
    {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    node
}

async fn ask(node: &Node) -> PlacementAnswer {
    node.query_placement("q", None, job()).await.unwrap()
}

/// Guards against an answer that doesn't name the owner, differs from the decision on a submission, or names workers that
/// only the owner knows.
#[actix_rt::test]
async fn other_nodes_answer_from_the_heartbeats() {
    let free = follower(0).await;
    let answer = ask(&free).await;
    let cell = &answer.cells[0];
    let owner = cell.owner.as_ref().unwrap();
    assert_eq!((owner.node.as_str(), owner.epoch, owner.this_node), ("n1", 4, false));
    assert!(cell.admission.accepted && cell.placement.is_none() && cell.no_placement.is_some());
    assert_eq!(cell.load.as_ref().unwrap().backlog_ms, 0);

    let busy = follower(100).await;
    let answer = ask(&busy).await;
    let admission = &answer.cells[0].admission;
    assert_eq!((admission.accepted, admission.reason), (false, "overload"));
    assert_eq!(admission.retry_after_ms, Some(10_000));
    assert_eq!(answer.cells[0].load.as_ref().unwrap().backlog_ms, 100_000);
    let lasting = StepSpec { long_running: true, ..job().steps[0].clone() };
    let lasting = JobSpec { steps: vec![lasting], ..job() };
    let answer = busy.query_placement("q", None, lasting).await.unwrap();
    assert!(answer.cells[0].admission.accepted, "as a submission");

    let far = cells::node(0, Vec::new(), Vec::new()).await;
    let answer = ask(&far).await;
    assert_eq!(answer.cells.len(), 2);
    for cell in &answer.cells {
        let address = cell.owner.as_ref().unwrap().address.as_deref();
        assert_eq!(address, Some("10.0.0.1:7060"));
    }
    assert!(far.platform.peer_requests.borrow().is_empty(), "no other node is asked");
}

/// Guards against a query that stores a record, changes the index of jobs, or makes later submissions fare otherwise.
#[actix_rt::test]
async fn asking_stores_nothing() {
    let node = follower(0).await;
    let state = || {
        let members = node.members();
        let index = members[0].job_index.borrow();
        let jobs: Vec<_> = index.jobs().map(|(key, entry)| (key, entry.state())).collect();
        (jobs, index.owner().cloned(), index.last_epoch())
    };
    let before = state();
    let first = ask(&node).await;
    for _ in 0..50 {
        assert_eq!(ask(&node).await.cells[0].admission, first.cells[0].admission);
        let _ = node.query_placement("none", None, job()).await;
    }
    assert_eq!(state(), before);
    assert_eq!(node.platform.appended.get(), 0);
    assert!(node.platform.peer_requests.borrow().is_empty());
}

/// Guards against a key in an answer or an error, also where somebody wrote it instead of a name, and against answers for
/// names and jobs that can't be submitted.
#[actix_rt::test]
async fn wrong_names_and_jobs_are_errors_without_keys() {
    const KEY: &str = "kkkkkkkkkkkkkkkkkkkk";
    let node = follower(0).await;
    let mut accounts = Accounts::default();
    let red = AccountId::try_from("red").unwrap();
    let account = Account { id: red, weight: Weight::DEFAULT, cap: AccountCap::UNLIMITED };
    accounts.add(account, [KeyDigest::of(KEY.as_bytes())]).unwrap();
    let open = Queue { name: "open".into(), public: true, ..queue() };
    let (queues, accounts) = (vec![queue(), open], Some(accounts));
    let config = FleetConfig { version: Version(2), queues, accounts, ..Default::default() };
    *node.config.borrow_mut() = Some(Rc::new(config));
    let query = async |queue: &str, account: Option<&str>, spec| {
        let result = node.query_placement(queue, account, spec).await;
        assert!(!format!("{result:?}").contains(KEY));
        if let Err(error) = &result {
            assert!(!error.to_string().contains(KEY) && !error.help().is_empty());
        }
        result
    };
    assert_eq!(query("q", Some("red"), job()).await.unwrap().account.unwrap().as_str(), "red");
    assert_eq!(query("open", None, job()).await.unwrap().account, None);
    assert_eq!(query("q", None, job()).await, Err(PlacementError::AccountRequired));
    for account in ["blue", KEY, "", "two words", "\u{0}"] {
        let answer = query("q", Some(account), job()).await;
        assert_eq!(answer, Err(PlacementError::UnknownAccount), "{account:?}");
    }
    for queue in ["", KEY, "Q", "q/"] {
        assert_eq!(query(queue, Some("red"), job()).await, Err(PlacementError::UnknownQueue));
    }
    let steps = |count, steps| JobSpec {
        steps: vec![StepSpec { count, ..StepSpec::default() }; steps],
        ..JobSpec::default()
    };
    for malformed in [steps(1, 0), steps(0, 1), steps(u32::MAX, 2)] {
        let answer = query("q", Some("red"), malformed).await;
        assert!(matches!(answer, Err(PlacementError::InvalidJob(_))), "{answer:?}");
    }
    let many = query("q", Some("red"), steps(1, MAX_QUERY_STEPS + 1)).await;
    assert_eq!(many, Err(PlacementError::TooManySteps));
    *node.config.borrow_mut() = None;
    assert_eq!(query("q", None, job()).await, Err(PlacementError::NoConfig));
}

/// Guards against an answer that accepts a job which a submission would be refused for an old configuration or a store that
/// can't be reached.
#[actix_rt::test]
async fn a_cut_off_node_says_that_it_would_refuse() {
    let node = follower(0).await;
    node.clock.advance(node.settings.config_time);
    let admission = ask(&node).await.cells[0].admission.clone();
    assert_eq!((admission.accepted, admission.reason), (false, "outdated_config"));
}
