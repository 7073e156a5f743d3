//! Graceful shutdown of a node.

mod common;

use std::time::Duration;

use tokio::net::TcpStream;

use cj_standin::{body_key, expected_answer};
use common::{TestCluster, caller_of, wait_until};

/// Long enough that requests are in flight when the shutdown begins.
const SERVICE_TIME: Duration = Duration::from_millis(1000);

/// Guards against cutting off requests in flight at a graceful stop, and against a node that accepts new ones
/// while it stops.
#[actix_rt::test]
async fn requests_in_flight_are_finished() {
    let mut cluster = TestCluster::start(1, SERVICE_TIME).await;
    let node = cluster.nodes.remove(0);
    let address = node.addresses().caller;
    let bodies: Vec<String> = (0..4).map(|n| format!("body {n}")).collect();
    let submit = |class: &'static str, body: &str| {
        let request = common::submission(class, &body.replace(' ', "-"), body);
        async move { common::exchange(address, request.as_bytes()).await }
    };
    let calls = ["proofs", "readings", "tallies"]
        .into_iter()
        .flat_map(|class| bodies.iter().map(move |body| (class, body)));
    let calls: Vec<_> = calls.collect();
    let answers = futures::future::join_all(calls.iter().map(|(class, body)| submit(class, body)));
    let stop = async {
        // Waits until all of them run, since requests that wait for a slot are in flight as well.
        wait_until("requests in flight", async || cluster.all_runs().len() == calls.len()).await;
        node.stop().await;
        assert!(TcpStream::connect(address).await.is_err(), "a stopped node accepts nothing");
    };
    let (answers, ()) = futures::future::join(answers, stop).await;
    for ((class, body), answer) in calls.iter().zip(answers) {
        let answer = answer.unwrap_or_else(|| panic!("{class} {body} was cut off"));
        let key = format!("{}/{}", caller_of(class), body.replace(' ', "-"));
        let (key, job) = if *class == "proofs" {
            (body_key(body.as_bytes()), "")
        } else {
            (key.clone(), key.as_str())
        };
        assert_eq!(
            answer.body,
            expected_answer(job, body.as_bytes()),
            "{class} {body}: {answer:?}"
        );
        assert_eq!(cluster.runs(&key).starts, 1, "{class} {body}");
    }
    assert_eq!(cluster.platform.observed().abandoned, 0);
}

/// Guards against losing or restarting running tasks when the node that started them stops.
#[actix_rt::test]
async fn tasks_are_taken_over() {
    let mut cluster = TestCluster::start(2, SERVICE_TIME).await;
    let keys: Vec<String> = (0..4).map(|n| format!("task-{n}")).collect();
    let job = |key: &str| format!("{}/{key}", caller_of("separations"));
    for key in &keys {
        let reply = cluster.submit(0, "separations", key, key).await.expect("an answer");
        assert_eq!(reply.outcome(), "pending", "{reply:?}");
    }
    wait_until("the tasks to start", async || {
        keys.iter().all(|k| cluster.runs(&job(k)).starts == 1)
    })
    .await;
    cluster.nodes.remove(0).stop().await;
    for key in &keys {
        let done = cluster.wait_outcome(0, "separations", key, "done").await;
        assert_eq!(done.body, expected_answer(&job(key), key.as_bytes()));
        assert_eq!(cluster.runs(&job(key)).starts, 1, "{key}");
    }
}

/// Guards against queued tasks that never run because the node that accepted them stopped.
#[actix_rt::test]
async fn queued_tasks_are_taken_over() {
    let mut cluster = TestCluster::start(2, SERVICE_TIME).await;
    let keys: Vec<String> = (0..8).map(|n| format!("queued-{n}")).collect();
    for key in &keys {
        let reply = cluster.submit(0, "separations", key, key).await.expect("an answer");
        assert_eq!(reply.outcome(), "pending", "{reply:?}");
    }
    cluster.nodes.remove(0).stop().await;
    for key in &keys {
        cluster.wait_outcome(0, "separations", key, "done").await;
        let job = format!("{}/{key}", caller_of("separations"));
        assert_eq!(cluster.runs(&job).starts, 1, "{key}");
    }
}
