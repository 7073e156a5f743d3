//! The failures of section 8 of `docs/design.md`, for every kind of work.

mod common;

use std::time::Duration;

use cj_record::SettingPath;
use cj_standin::{Fault, VmState, body_key, expected_answer};
use cj_types::{ErrorKind, VmId};
use common::{Reply, World, caller_of, wait};

const FAST: Duration = Duration::from_millis(10);
/// Long enough to injure a request while it runs; half to one and a half of it, within the deadlines.
const SLOW: Duration = Duration::from_millis(1000);

/// Recorded classes: a non-idempotent request, a must-not-drop request and a task.
const RECORDED: [&str; 3] = ["readings", "tallies", "separations"];

fn job(class: &str, key: &str) -> String {
    format!("{}/{key}", caller_of(class))
}

fn quota() -> SettingPath {
    "kartica/team/houses/weight".parse().expect("a path")
}

async fn submit(world: &World, node: usize, class: &str, key: &str) -> Reply {
    let reply = world.submit(node, class, key, class).await;
    reply.unwrap_or_else(|| panic!("{class} {key}: no answer"))
}

/// Submits work of every class, waits for its end, and checks that each ran once and was answered whole.
async fn all_run_once(world: &World, node: usize, key: &str) {
    let reply = submit(world, node, "proofs", key).await;
    assert_eq!(reply.body, expected_answer("", b"proofs"), "{reply:?}");
    for class in RECORDED {
        let reply = submit(world, node, class, key).await;
        assert!(matches!(reply.outcome(), "done" | "pending"), "{class}: {reply:?}");
        let done = world.wait_outcome(node, class, key, "done").await;
        assert_eq!(done.body, expected_answer(&job(class, key), class.as_bytes()), "{class}");
        assert_eq!(world.runs(&job(class, key)).starts, 1, "{class}");
    }
}

/// Guards against idempotent work that stops with the log, against recorded work that is refused and runs all the same,
/// and against refusals without a retry time.
#[actix_rt::test]
async fn log_down() {
    let world = World::start(1, FAST).await;
    world.inject(Fault::LogDown { on: true });
    world.wait_log(0, false).await;

    let reply = submit(&world, 0, "proofs", "down").await;
    assert_eq!(reply.outcome(), "done", "{reply:?}");
    assert_eq!(world.runs(&body_key(b"proofs")).starts, 1);

    let published = world.publish(0, &quota(), "2", 1).await;
    assert!(matches!(published.json()["outcome"].as_str(), Some("not-run" | "unknown")));

    let mut refused = Vec::new();
    for class in RECORDED {
        let reply = submit(&world, 0, class, "down").await;
        assert_eq!(reply.status, 503, "{class}: {reply:?}");
        reply.assert_refused(class);
        assert!(reply.json()["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0), "{reply:?}");
        refused.push(job(class, "down"));
    }

    world.inject(Fault::LogDown { on: false });
    world.wait_log(0, true).await;
    // Later work of the same node is ordered behind everything that it proposed before.
    all_run_once(&world, 0, "after").await;
    for job in refused {
        assert_eq!(world.runs(&job).starts, 0, "{job} was refused as not run");
    }
    all_run_once(&world, 0, "down").await;

    let again = world.publish(0, &quota(), "2", 1).await;
    assert_eq!(again.status, 202, "{again:?}");
    wait("the setting", async || world.setting(0, &quota()).await == ("2".into(), 2)).await;
}

/// Guards against work that is refused or doubled because the log takes its time.
#[actix_rt::test]
async fn log_slow() {
    let world = World::start(1, FAST).await;
    world.inject(Fault::LogSlow { delay_ms: 100 });
    all_run_once(&world, 0, "slow").await;
    let published = world.publish(0, &quota(), "2", 1).await;
    assert_eq!(published.status, 202, "{published:?}");
    wait("the setting", async || world.setting(0, &quota()).await == ("2".into(), 2)).await;
}

/// Guards against an append that is repeated after its answer was lost and takes effect twice.
#[actix_rt::test]
async fn append_answers_lost() {
    let world = World::start(1, FAST).await;
    world.inject(Fault::LostAnswers { percent: 100 });
    all_run_once(&world, 0, "lost").await;
    for _ in 0..2 {
        let published = world.publish(0, &quota(), "2", 1).await;
        assert_eq!(published.json()["outcome"], "unknown", "{published:?}");
    }
    wait("the setting", async || world.setting(0, &quota()).await == ("2".into(), 2)).await;
    assert!(world.platform.observed().lost_answers > 0);
    all_run_once(&world, 0, "later").await;
    assert_eq!(world.setting(0, &quota()).await, ("2".into(), 2));
}

/// Waits until the first run of a key has begun.
async fn wait_started(world: &World, key: &str) {
    wait(&format!("{key} to start"), async || world.runs(key).starts == 1).await;
}

/// Guards against a second run of non-idempotent work whose entry node died, and against must-not-drop work and tasks
/// that die with it.
#[actix_rt::test]
async fn node_killed() {
    let world = World::start(2, SLOW).await;
    for class in RECORDED {
        let first = world.submit(0, class, "killed", class);
        let kill = async {
            wait_started(&world, &job(class, "killed")).await;
        };
        if class == "separations" {
            assert_eq!(first.await.expect("an answer").outcome(), "pending");
            kill.await;
        } else {
            futures::future::select(Box::pin(first), Box::pin(kill)).await;
        }
    }
    world.nodes[0].kill();
    // The address refuses connections once the node's thread has ended.
    wait("the node to end", async || {
        tokio::net::TcpStream::connect(world.callers(0)).await.is_err()
    })
    .await;

    // A caller that lost its answer retries with the same key at another node.
    let reading = submit(&world, 1, "readings", "killed").await;
    assert!(matches!(reading.outcome(), "pending" | "unknown"), "{reading:?}");
    let reading = world.wait_outcome(1, "readings", "killed", "unknown").await;
    let again = submit(&world, 1, "readings", "killed").await;
    assert_eq!((again.status, &again.body), (reading.status, &reading.body), "recorded state");
    assert_eq!(world.runs(&job("readings", "killed")).starts, 1);

    let tally = world.wait_outcome(1, "tallies", "killed", "done").await;
    assert_eq!(tally.body, expected_answer(&job("tallies", "killed"), b"tallies"));
    let task = world.wait_outcome(1, "separations", "killed", "done").await;
    assert_eq!(task.body, expected_answer(&job("separations", "killed"), b"separations"));
    assert_eq!(world.runs(&job("separations", "killed")).starts, 1);
    all_run_once(&world, 1, "after").await;
    let published = world.publish(1, &quota(), "2", 1).await;
    assert_eq!(published.status, 202, "{published:?}");
    wait("the setting", async || world.setting(1, &quota()).await == ("2".into(), 2)).await;
}

/// Guards against a second run by a node that was paused longer than its lease while its request ran.
#[actix_rt::test]
async fn node_paused() {
    let world = World::start(2, SLOW).await;
    let first = async {
        let reply = world.submit(0, "readings", "paused", "readings").await;
        reply.expect("an answer")
    };
    let pause = async {
        wait_started(&world, &job("readings", "paused")).await;
        world.nodes[0].pause(Duration::from_secs(12));
        world.wait_outcome(1, "readings", "paused", "unknown").await;
    };
    let (reply, ()) = futures::future::join(first, pause).await;
    assert!(matches!(reply.outcome(), "done" | "unknown"), "{reply:?}");
    assert_eq!(world.runs(&job("readings", "paused")).starts, 1);
    all_run_once(&world, 1, "after").await;
}

/// Guards against a node that refuses a class of work for good after one answer that came late.
#[actix_rt::test]
async fn node_serves_after_a_pause() {
    let world = World::start(1, SLOW).await;
    let first = submit(&world, 0, "readings", "late");
    let pause = async {
        wait_started(&world, &job("readings", "late")).await;
        world.nodes[0].pause(Duration::from_secs(7));
    };
    let (reply, ()) = futures::future::join(first, pause).await;
    assert!(matches!(reply.outcome(), "done" | "unknown"), "{reply:?}");
    wait("the node to accept readings", async || {
        submit(&world, 0, "readings", "after").await.outcome() == "done"
    })
    .await;
    assert_eq!(world.runs(&job("readings", "after")).starts, 1);
}

/// Kills a VM of the pool that is working on something.
async fn kill_busy(world: &World, pool: &str) -> VmId {
    let address = world.platform.vm_address();
    let mut busy = None;
    wait("a busy VM", async || {
        for vm in world.platform.vms().into_iter().filter(|vm| vm.pool.as_str() == pool) {
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
    world.inject(Fault::Kill { vm: vm.clone() });
    vm
}

/// Guards against a task that is started again although its worker may have run it, and against one that is lost.
#[actix_rt::test]
async fn worker_killed() {
    let world = World::start(1, FAST).await;
    let reply = submit(&world, 0, "separations", "cut").await;
    assert_eq!(reply.outcome(), "pending", "{reply:?}");
    wait_started(&world, &job("separations", "cut")).await;
    let vm = kill_busy(&world, "presses").await;
    assert_eq!(world.job(0, "separations", "cut").await.outcome(), "pending");
    all_run_once(&world, 0, "meanwhile").await;
    world.inject(Fault::Restart { vm });
    // The worker's task list is the evidence that the task had an effect.
    let parked = world.wait_outcome(0, "separations", "cut", "parked").await;
    assert!(!parked.json()["reason"].as_str().unwrap_or_default().is_empty(), "{parked:?}");
    let again = submit(&world, 0, "separations", "cut").await;
    assert_eq!(again.body, parked.body, "recorded state");
    assert_eq!(world.runs(&job("separations", "cut")).starts, 1);
}

/// Guards against non-idempotent work that is repeated after its upstream died, and against idempotent work that isn't.
#[actix_rt::test]
async fn upstream_killed() {
    let table = [("proofs", "done", 2), ("readings", "unknown", 1), ("tallies", "done", 2)];
    let world = World::start(1, SLOW).await;
    for (class, outcome, starts) in table {
        let key = if class == "proofs" { body_key(b"proofs") } else { job(class, "cut") };
        let kill = async {
            wait_started(&world, &key).await;
            kill_busy(&world, class).await
        };
        let (reply, vm) = futures::future::join(submit(&world, 0, class, "cut"), kill).await;
        // Must-not-drop work may be answered as pending and then goes on.
        if class == "tallies" && reply.outcome() == "pending" {
            world.wait_outcome(0, class, "cut", outcome).await;
        } else {
            assert_eq!(reply.outcome(), outcome, "{class}: {reply:?}");
        }
        assert_eq!(world.runs(&key).starts, starts, "{class}");
        world.inject(Fault::Restart { vm });
    }
    let again = submit(&world, 0, "readings", "cut").await;
    assert_eq!(again.outcome(), "unknown", "{again:?}");
    assert_eq!(world.runs(&job("readings", "cut")).starts, 1);
}

/// Guards against a stale VM list that takes VMs out of service, or that keeps work from running.
#[actix_rt::test]
async fn list_stale() {
    let world = World::start(1, FAST).await;
    world.inject(Fault::ListStale { lag_ms: 60_000 });
    all_run_once(&world, 0, "stale").await;
    assert!(world.platform.vms().iter().all(|vm| vm.state == VmState::Live));
}

/// Guards against a new node that serves without the records that the log no longer has.
#[actix_rt::test]
async fn retention_passed() {
    let mut world = World::start(1, FAST).await;
    all_run_once(&world, 0, "before").await;
    world.inject(Fault::LogForgets { keep: 1 });
    // Either a snapshot covers the dropped records, or the new node refuses to start.
    if let Err(e) = world.add_node().await {
        assert!(matches!(e.kind, ErrorKind::Gap { .. }), "{e}");
        return all_run_once(&world, 0, "after").await;
    }
    for class in RECORDED {
        let reply = submit(&world, 1, class, "before").await;
        assert_eq!(reply.outcome(), "done", "{class}: {reply:?}");
        assert_eq!(world.runs(&job(class, "before")).starts, 1, "{class}");
    }
}
