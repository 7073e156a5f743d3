//! Authentication of calls, and what callers of one account learn about the jobs of another.

use std::{rc::Rc, time::Duration};

use cj_entry::{
    Page,
    access::{AccessError, Caller},
    api::{CancelOutcome, JobStatus, SubmitOutcome},
};
use cj_sched::{
    Access, Account, AccountCap, Accounts, FleetConfig, JobKey, KeyDigest, Queue, Record,
    Submission, Weight, codec,
};
use cj_types::{AccountId, Clock, Version};

use crate::{
    api::{Node, job, node, queue, submission},
    platform::{after, record},
};

fn account_id(name: &str) -> AccountId {
    AccountId::try_from(name).unwrap()
}

fn caller(name: &str) -> Caller {
    Caller { account: Some(account_id(name)), access: Access::Account(account_id(name)) }
}

/// Puts a configuration into force in which each account has one key.
fn set_config(node: &Node, version: u64, keys: Option<&[(&str, &str)]>) {
    let accounts = keys.map(|keys| {
        let mut accounts = Accounts::default();
        for (name, key) in keys {
            let account = Account {
                id: account_id(name),
                weight: Weight::DEFAULT,
                cap: AccountCap::UNLIMITED,
            };
            accounts.add(account, [KeyDigest::of(key.as_bytes())]).unwrap();
        }
        accounts
    });
    let queues = vec![queue()];
    let config = FleetConfig { version: Version(version), queues, accounts, ..Default::default() };
    *node.config.borrow_mut() = Some(Rc::new(config));
}

/// A node whose operator topic was just read.
async fn current_node() -> Node {
    let node = node(Vec::new()).await;
    while node.operator_topic.age(node.clock.now()).is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    node
}

/// Guards against calls that run with a key that no account has, or that are refused although their account has the key.
#[actix_rt::test]
async fn only_keys_of_the_configuration_in_force_open_a_queue() {
    let node = current_node().await;
    let (old, new) = (Some(KeyDigest::of(b"old")), Some(KeyDigest::of(b"new")));
    let unknown = Err(AccessError::UnknownKey);

    set_config(&node, 1, None);
    assert_eq!(node.authenticate(Some(&queue()), None), Ok(Caller::default()), "no accounts");
    set_config(&node, 2, Some(&[("red", "old")]));
    assert_eq!(node.authenticate(Some(&queue()), old), Ok(caller("red")));
    assert_eq!(node.authenticate(Some(&queue()), new), unknown);
    assert_eq!(node.authenticate(Some(&queue()), None), unknown);
    assert_eq!(node.authenticate(None, None), unknown, "a queue that was removed");
    set_config(&node, 3, Some(&[("red", "new"), ("blue", "old")]));
    assert_eq!(node.authenticate(Some(&queue()), new), Ok(caller("red")));
    assert_eq!(node.authenticate(Some(&queue()), old), Ok(caller("blue")), "the key was moved");
    set_config(&node, 4, Some(&[]));
    assert_eq!(node.authenticate(Some(&queue()), old), unknown, "all accounts were removed");

    let public = Queue { public: true, ..queue() };
    let anyone = Caller { account: None, access: Access::PublicQueue("q".into()) };
    assert_eq!(node.authenticate(Some(&public), None), Ok(anyone));
}

/// Guards against a node that serves withdrawn keys, or rejects new ones, because it can't read the configuration.
#[actix_rt::test]
async fn a_node_with_an_old_configuration_neither_serves_nor_rejects_a_key() {
    let node = current_node().await;
    set_config(&node, 1, Some(&[("red", "known")]));
    node.clock.advance(node.settings.config_time);
    for key in [&b"known"[..], b"unknown"] {
        let answer = node.authenticate(Some(&queue()), Some(KeyDigest::of(key)));
        assert_eq!(answer, Err(AccessError::OutdatedConfig));
    }
}

/// Guards against a 404 for a queue that was added, and jobs accepted for one that was moved or removed, at a node that can't
/// read the operator's topic. Without accounts nothing else checks the age of the configuration.
#[actix_rt::test]
async fn a_node_without_accounts_answers_only_by_a_current_configuration() {
    let node = current_node().await;
    assert_eq!(node.require_current_config(), Ok(()));
    assert!(node.is_ready());
    node.clock.advance(node.settings.config_time);
    assert_eq!(node.require_current_config(), Err(AccessError::OutdatedConfig));
    assert!(!node.is_ready(), "callers are sent to a node that refuses them");
}

/// Guards against callers that see, cancel or overwrite jobs of another account, or learn that they exist.
#[actix_rt::test]
async fn jobs_of_other_accounts_do_not_exist_for_a_caller() {
    let node = node(Vec::new()).await;
    let submission = Submission { account: Some(account_id("red")), ..submission() };
    let (key, value) = codec::entry(&Record::Submission(JobKey(1), Box::new(submission)));
    let page = Page { records: vec![record(0, &key, value)], next: 1, end: 1 };
    node.platform.reads.borrow_mut().push_back(after(1, Ok(page)));
    while node.members()[0].job_index.borrow().job(JobKey(1)).is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let deadline = node.clock.now() + Duration::from_secs(3);
    let (red, blue) = (caller("red"), caller("blue"));
    assert!(matches!(node.job_status(JobKey(1), &red.access).await, JobStatus::State(_)));
    assert_eq!(
        node.submit(&queue(), &red, JobKey(1), job(), deadline).await,
        SubmitOutcome::Accepted
    );

    let elsewhere = Access::PublicQueue("a public queue".into());
    for access in [&blue.access, &elsewhere] {
        assert_eq!(node.job_status(JobKey(1), access).await, JobStatus::Gone);
        assert_eq!(node.cancel(JobKey(1), access, deadline).await, CancelOutcome::Gone);
    }
    let reused = node.submit(&queue(), &blue, JobKey(1), job(), deadline).await;
    assert!(matches!(reused, SubmitOutcome::Refused("store_refused", _)), "{reused:?}");
    assert_eq!(node.platform.appended.get(), 0, "nothing is stored");
}
