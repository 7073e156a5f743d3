//! Outages of the log, nodes, VMs and the VM list, as listed in section 8 of `docs/design.md`, for every kind of work.

mod common;

use std::time::Duration;

use cj_record::SettingPath;
use cj_standin::{Fault, VmState, body_key, expected_answer};
use cj_types::{ErrorKind, VmId};
use common::{Reply, TestCluster, caller_of, wait_until};

const SHORT_SERVICE_TIME: Duration = Duration::from_millis(10);
/// Long enough to inject a fault while a request runs. Actual service times are between half and one and a half times
/// as long, which is within the deadlines.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(1000);

/// Recorded classes: a non-idempotent request, a must-not-drop request and a task.
const RECORDED_CLASSES: [&str; 3] = ["readings", "tallies", "separations"];

fn job(class: &str, key: &str) -> String {
    format!("{}/{key}", caller_of(class))
}

fn quota_path() -> SettingPath {
    "kartica/team/houses/weight".parse().expect("a path")
}

async fn submit(cluster: &TestCluster, node: usize, class: &str, key: &str) -> Reply {
    let reply = cluster.submit(node, class, key, class).await;
    reply.unwrap_or_else(|| panic!("{class} {key}: no answer"))
}

/// Submits work of every class, waits for its end, and checks that each ran once and was answered whole.
async fn assert_all_run_once(cluster: &TestCluster, node: usize, key: &str) {
    let reply = submit(cluster, node, "proofs", key).await;
    assert_eq!(reply.body, expected_answer("", b"proofs"), "{reply:?}");
    for class in RECORDED_CLASSES {
        let reply = submit(cluster, node, class, key).await;
        assert!(matches!(reply.outcome(), "done" | "pending"), "{class}: {reply:?}");
        let done = cluster.wait_outcome(node, class, key, "done").await;
        assert_eq!(done.body, expected_answer(&job(class, key), class.as_bytes()), "{class}");
        assert_eq!(cluster.runs(&job(class, key)).starts, 1, "{class}");
    }
}

/// While the log is down, guards against refusing idempotent work that does not need the log, against running recorded
/// work that was refused, and against refusals without a retry time.
#[actix_rt::test]
async fn log_down() {
    let cluster = TestCluster::start(1, SHORT_SERVICE_TIME).await;
    cluster.inject(Fault::LogDown { on: true });
    cluster.wait_log(0, false).await;

    let reply = submit(&cluster, 0, "proofs", "down").await;
    assert_eq!(reply.outcome(), "done", "{reply:?}");
    assert_eq!(cluster.runs(&body_key(b"proofs")).starts, 1);

    let published = cluster.publish(0, &quota_path(), "2", 1).await;
    assert!(matches!(published.json()["outcome"].as_str(), Some("not-run" | "unknown")));

    let mut refused = Vec::new();
    for class in RECORDED_CLASSES {
        let reply = submit(&cluster, 0, class, "down").await;
        assert_eq!(reply.status, 503, "{class}: {reply:?}");
        reply.assert_refused(class);
        assert!(reply.json()["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0), "{reply:?}");
        refused.push(job(class, "down"));
    }

    cluster.inject(Fault::LogDown { on: false });
    cluster.wait_log(0, true).await;
    // The log orders later work of a node behind everything that the node proposed before, so refused work would have
    // run by now.
    assert_all_run_once(&cluster, 0, "after").await;
    for job in refused {
        assert_eq!(cluster.runs(&job).starts, 0, "{job} was refused as not run");
    }
    assert_all_run_once(&cluster, 0, "down").await;

    let again = cluster.publish(0, &quota_path(), "2", 1).await;
    assert_eq!(again.status, 202, "{again:?}");
    wait_until("the setting", async || cluster.setting(0, &quota_path()).await == ("2".into(), 2))
        .await;
}

/// Guards against refusing work, or running it twice, because the log is slow.
#[actix_rt::test]
async fn log_slow() {
    let cluster = TestCluster::start(1, SHORT_SERVICE_TIME).await;
    cluster.inject(Fault::LogSlow { delay_ms: 100 });
    assert_all_run_once(&cluster, 0, "slow").await;
    let published = cluster.publish(0, &quota_path(), "2", 1).await;
    assert_eq!(published.status, 202, "{published:?}");
    wait_until("the setting", async || cluster.setting(0, &quota_path()).await == ("2".into(), 2))
        .await;
}

/// Guards against an append that takes effect twice because it is repeated after its answer was lost.
#[actix_rt::test]
async fn append_answers_lost() {
    let cluster = TestCluster::start(1, SHORT_SERVICE_TIME).await;
    cluster.inject(Fault::LostAnswers { percent: 100 });
    assert_all_run_once(&cluster, 0, "lost").await;
    for _ in 0..2 {
        let published = cluster.publish(0, &quota_path(), "2", 1).await;
        assert_eq!(published.json()["outcome"], "unknown", "{published:?}");
    }
    wait_until("the setting", async || cluster.setting(0, &quota_path()).await == ("2".into(), 2))
        .await;
    assert!(cluster.platform.observed().lost_answers > 0);
    assert_all_run_once(&cluster, 0, "later").await;
    assert_eq!(cluster.setting(0, &quota_path()).await, ("2".into(), 2));
}

/// Waits until the work with this key has been started once.
async fn wait_started(cluster: &TestCluster, key: &str) {
    wait_until(&format!("{key} to start"), async || cluster.runs(key).starts == 1).await;
}

/// Guards against running non-idempotent work a second time after its entry node was killed, and against losing
/// must-not-drop work and tasks together with the node.
#[actix_rt::test]
async fn node_killed() {
    let cluster = TestCluster::start(2, LONG_SERVICE_TIME).await;
    for class in RECORDED_CLASSES {
        let first = cluster.submit(0, class, "killed", class);
        let kill = async {
            wait_started(&cluster, &job(class, "killed")).await;
        };
        if class == "separations" {
            assert_eq!(first.await.expect("an answer").outcome(), "pending");
            kill.await;
        } else {
            futures::future::select(Box::pin(first), Box::pin(kill)).await;
        }
    }
    cluster.nodes[0].kill();
    // The address refuses connections once the node's thread has ended.
    wait_until("the node to end", async || {
        tokio::net::TcpStream::connect(cluster.caller_address(0)).await.is_err()
    })
    .await;

    // A caller whose connection was lost retries with the same key at another node.
    let reading = submit(&cluster, 1, "readings", "killed").await;
    assert!(matches!(reading.outcome(), "pending" | "unknown"), "{reading:?}");
    let reading = cluster.wait_outcome(1, "readings", "killed", "unknown").await;
    let again = submit(&cluster, 1, "readings", "killed").await;
    assert_eq!((again.status, &again.body), (reading.status, &reading.body), "recorded state");
    assert_eq!(cluster.runs(&job("readings", "killed")).starts, 1);

    let tally = cluster.wait_outcome(1, "tallies", "killed", "done").await;
    assert_eq!(tally.body, expected_answer(&job("tallies", "killed"), b"tallies"));
    let task = cluster.wait_outcome(1, "separations", "killed", "done").await;
    assert_eq!(task.body, expected_answer(&job("separations", "killed"), b"separations"));
    assert_eq!(cluster.runs(&job("separations", "killed")).starts, 1);
    assert_all_run_once(&cluster, 1, "after").await;
    let published = cluster.publish(1, &quota_path(), "2", 1).await;
    assert_eq!(published.status, 202, "{published:?}");
    wait_until("the setting", async || cluster.setting(1, &quota_path()).await == ("2".into(), 2))
        .await;
}

/// Guards against a second run when a node is paused for longer than its lease while its request runs.
#[actix_rt::test]
async fn node_paused() {
    let cluster = TestCluster::start(2, LONG_SERVICE_TIME).await;
    let first = async {
        let reply = cluster.submit(0, "readings", "paused", "readings").await;
        reply.expect("an answer")
    };
    let pause = async {
        wait_started(&cluster, &job("readings", "paused")).await;
        cluster.nodes[0].pause(Duration::from_secs(12));
        cluster.wait_outcome(1, "readings", "paused", "unknown").await;
    };
    let (reply, ()) = futures::future::join(first, pause).await;
    assert!(matches!(reply.outcome(), "done" | "unknown"), "{reply:?}");
    assert_eq!(cluster.runs(&job("readings", "paused")).starts, 1);
    assert_all_run_once(&cluster, 1, "after").await;
}

/// Guards against a node that keeps refusing a class of work after a pause made one answer arrive late.
#[actix_rt::test]
async fn node_serves_after_a_pause() {
    let cluster = TestCluster::start(1, LONG_SERVICE_TIME).await;
    let first = submit(&cluster, 0, "readings", "late");
    let pause = async {
        wait_started(&cluster, &job("readings", "late")).await;
        cluster.nodes[0].pause(Duration::from_secs(7));
    };
    let (reply, ()) = futures::future::join(first, pause).await;
    assert!(matches!(reply.outcome(), "done" | "unknown"), "{reply:?}");
    wait_until("the node to accept readings", async || {
        submit(&cluster, 0, "readings", "after").await.outcome() == "done"
    })
    .await;
    assert_eq!(cluster.runs(&job("readings", "after")).starts, 1);
}

/// Kills a VM of the pool that has work in flight, and returns its id.
async fn kill_busy_vm(cluster: &TestCluster, pool: &str) -> VmId {
    let address = cluster.platform.vm_address();
    let mut busy = None;
    wait_until("a busy VM", async || {
        for vm in cluster.platform.vms().into_iter().filter(|vm| vm.pool.as_str() == pool) {
            let request =
                format!("GET /v1/vms/{} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n", vm.vm);
            let probe = common::exchange(address, request.as_bytes()).await.expect("a probe");
            if probe.json()["in_flight"].as_u64().is_some_and(|n| n > 0) {
                busy = Some(vm.vm);
            }
        }
        busy.is_some()
    })
    .await;
    let vm = busy.expect("a VM");
    cluster.inject(Fault::Kill { vm: vm.clone() });
    vm
}

/// Guards against starting a task again although its killed worker may have run it, and against losing the task.
#[actix_rt::test]
async fn worker_killed() {
    let cluster = TestCluster::start(1, SHORT_SERVICE_TIME).await;
    let reply = submit(&cluster, 0, "separations", "cut").await;
    assert_eq!(reply.outcome(), "pending", "{reply:?}");
    wait_started(&cluster, &job("separations", "cut")).await;
    let vm = kill_busy_vm(&cluster, "presses").await;
    assert_eq!(cluster.job(0, "separations", "cut").await.outcome(), "pending");
    assert_all_run_once(&cluster, 0, "meanwhile").await;
    cluster.inject(Fault::Restart { vm });
    // The worker's task list is the evidence that the task had an effect.
    let parked = cluster.wait_outcome(0, "separations", "cut", "parked").await;
    assert!(!parked.json()["reason"].as_str().unwrap_or_default().is_empty(), "{parked:?}");
    let again = submit(&cluster, 0, "separations", "cut").await;
    assert_eq!(again.body, parked.body, "recorded state");
    assert_eq!(cluster.runs(&job("separations", "cut")).starts, 1);
}

/// Guards against retrying non-idempotent work after its upstream was killed, and against not retrying idempotent work.
#[actix_rt::test]
async fn upstream_killed() {
    let table = [("proofs", "done", 2), ("readings", "unknown", 1), ("tallies", "done", 2)];
    let cluster = TestCluster::start(1, LONG_SERVICE_TIME).await;
    for (class, outcome, starts) in table {
        let key = if class == "proofs" { body_key(b"proofs") } else { job(class, "cut") };
        let kill = async {
            wait_started(&cluster, &key).await;
            kill_busy_vm(&cluster, class).await
        };
        let (reply, vm) = futures::future::join(submit(&cluster, 0, class, "cut"), kill).await;
        // Must-not-drop work may be answered as pending and is completed later.
        if class == "tallies" && reply.outcome() == "pending" {
            cluster.wait_outcome(0, class, "cut", outcome).await;
        } else {
            assert_eq!(reply.outcome(), outcome, "{class}: {reply:?}");
        }
        assert_eq!(cluster.runs(&key).starts, starts, "{class}");
        cluster.inject(Fault::Restart { vm });
    }
    let again = submit(&cluster, 0, "readings", "cut").await;
    assert_eq!(again.outcome(), "unknown", "{again:?}");
    assert_eq!(cluster.runs(&job("readings", "cut")).starts, 1);
}

/// Guards against taking VMs out of service, or keeping work from running, because the VM list is stale.
#[actix_rt::test]
async fn list_stale() {
    let cluster = TestCluster::start(1, SHORT_SERVICE_TIME).await;
    cluster.inject(Fault::ListStale { lag_ms: 60_000 });
    assert_all_run_once(&cluster, 0, "stale").await;
    assert!(cluster.platform.vms().iter().all(|vm| vm.state == VmState::Live));
}

/// Guards against a new node that serves without records which the log no longer retains.
#[actix_rt::test]
async fn retention_passed() {
    let mut cluster = TestCluster::start(1, SHORT_SERVICE_TIME).await;
    assert_all_run_once(&cluster, 0, "before").await;
    cluster.inject(Fault::LogForgets { keep: 1 });
    // Either a snapshot covers the dropped records, or the new node refuses to start.
    if let Err(e) = cluster.add_node().await {
        assert!(matches!(e.kind, ErrorKind::Gap { .. }), "{e}");
        return assert_all_run_once(&cluster, 0, "after").await;
    }
    for class in RECORDED_CLASSES {
        let reply = submit(&cluster, 1, class, "before").await;
        assert_eq!(reply.outcome(), "done", "{class}: {reply:?}");
        assert_eq!(cluster.runs(&job(class, "before")).starts, 1, "{class}");
    }
}
