//! Wire contract of the fake workers: leases, fencing tokens, task states and usage.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

use cj_standin::{Fault, Platform, PlatformOptions, expected_answer};

use crate::common::{get, options, post, vm};

fn start(task: &str, token: u64, lease_ms: u64, cores: u32, run_ms: u64) -> Value {
    json!({
        "task": task, "token": token, "lease_ms": lease_ms, "cores": cores, "memory": 16, "accelerators": 0,
        "run_ms": run_ms, "spec": "sheet 1",
    })
}

/// Waits until the task is in the given state.
async fn wait_for_state(address: SocketAddr, task: &str, state: &str) -> Value {
    loop {
        let row = get(address, &format!("/v1/tasks/{task}")).await.json();
        if row["state"] == state {
            return row;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against starts with an outdated token or an expired lease, duplicate starts, and overcommitment.
#[actix_rt::test]
async fn starts_are_fenced() {
    let platform = Platform::start(options()).expect("platform");
    let address = vm(&platform, "w-0").address;
    let ended = |mut body: Value| {
        body["lease_end"] = json!(1);
        body
    };
    let table = [
        ("first start", "/v1/tasks", start("c/a", 5, 60_000, 3000, 60_000), 201),
        ("duplicate", "/v1/tasks", start("c/a", 5, 60_000, 100, 10), 409),
        ("older token", "/v1/tasks", start("c/a", 4, 60_000, 100, 10), 409),
        ("newer token while active", "/v1/tasks", start("c/a", 6, 60_000, 100, 10), 409),
        ("no room", "/v1/tasks", start("c/b", 7, 60_000, 2000, 10), 429),
        ("fits", "/v1/tasks", start("c/b", 7, 60_000, 1000, 60_000), 201),
        ("expired lease", "/v1/tasks", ended(start("c/c", 8, 60_000, 0, 10)), 409),
        ("empty lease", "/v1/tasks", start("c/c", 8, 0, 0, 10), 409),
        ("renew", "/v1/tasks/c%2Fa/renew", json!({ "token": 5, "lease_ms": 60_000 }), 200),
        (
            "renew with an outdated token",
            "/v1/tasks/c/a/renew",
            json!({ "token": 4, "lease_ms": 9 }),
            409,
        ),
        ("stop with an outdated token", "/v1/tasks/c/a/stop", json!({ "token": 4 }), 409),
        ("stop", "/v1/tasks/c/a/stop", json!({ "token": 6 }), 200),
        ("delayed start after a stop", "/v1/tasks", start("c/a", 5, 60_000, 100, 10), 409),
        ("renew after a stop", "/v1/tasks/c/a/renew", json!({ "token": 6, "lease_ms": 9 }), 409),
        ("newer token after a stop", "/v1/tasks", start("c/a", 7, 60_000, 100, 60_000), 201),
        ("stop of an unknown task", "/v1/tasks/c/d/stop", json!({ "token": 9 }), 200),
        ("start fenced by that stop", "/v1/tasks", start("c/d", 9, 60_000, 100, 10), 409),
        ("throttle of an unknown task", "/v1/tasks/c/e/throttle", json!({ "token": 1 }), 404),
        ("malformed", "/v1/tasks", json!({ "task": "c/f" }), 400),
    ];
    for (case, path, body, status) in table {
        let answer = post(address, path, body).await;
        assert_eq!(answer.status, status, "{case}: {}", answer.body);
    }
    platform.stop();
}

/// Guards against tasks that run past their lease, start after it, or have a wrong state or answer at the end.
#[actix_rt::test]
async fn tasks_end_in_the_right_state() {
    let options = PlatformOptions { start_time: Duration::from_millis(30), ..options() };
    let platform = Platform::start(options).expect("platform");
    let address = vm(&platform, "w-0").address;
    post(address, "/v1/tasks", start("c/done", 1, 60_000, 10, 1)).await;
    post(address, "/v1/tasks", start("c/lapsed", 2, 100, 10, 60_000)).await;
    post(address, "/v1/tasks", start("c/late", 3, 10, 10, 1)).await;
    let done = wait_for_state(address, "c/done", "done").await;
    assert_eq!(done["answer"], expected_answer("c/done", b"sheet 1"));
    let lapsed = wait_for_state(address, "c/lapsed", "stopped").await;
    assert!(lapsed["ran_ms"].as_u64() > Some(0), "{lapsed}");
    let late = wait_for_state(address, "c/late", "not_started").await;
    assert_eq!((&late["lease_left_ms"], &late["ran_ms"]), (&json!(0), &json!(0)));
    platform.inject(&Fault::BadWorker { vm: "w-0".parse().expect("a name"), on: true });
    post(address, "/v1/tasks", start("c/bad", 4, 60_000, 10, 1)).await;
    assert_eq!(wait_for_state(address, "c/bad", "failed").await["ran_ms"], 0);
    assert_eq!(get(address, "/v1/tasks").await.json().as_array().map(Vec::len), Some(4));
    let seen = platform.observed().executions;
    let counts: Vec<_> = seen.iter().map(|(key, run)| (&key[..], run.starts, run.ends)).collect();
    assert_eq!(counts, [("c/done", 1, 1), ("c/lapsed", 1, 0)]);
    platform.stop();
}

/// Guards against a second run that isn't counted, and against counting a run resumed from a checkpoint as a second
/// one.
#[actix_rt::test]
async fn second_runs_are_counted() {
    let platform = Platform::start(options()).expect("platform");
    let (first, second) = (vm(&platform, "w-0").address, vm(&platform, "w-1").address);
    for (address, token) in [(first, 1), (second, 2)] {
        post(address, "/v1/tasks", start("c/twice", token, 60_000, 10, 1)).await;
        wait_for_state(address, "c/twice", "done").await;
    }
    post(first, "/v1/tasks", start("c/moved", 3, 60_000, 10, 60_000)).await;
    wait_for_state(first, "c/moved", "running").await;
    let body = json!({ "token": 3 });
    assert_eq!(post(first, "/v1/tasks/c/moved/checkpoint", body.clone()).await.status, 200);
    assert_eq!(post(first, "/v1/tasks/c/moved/throttle", body.clone()).await.status, 200);
    assert_eq!(post(first, "/v1/tasks/c/moved/stop", body).await.status, 200);
    post(second, "/v1/tasks", start("c/moved", 4, 60_000, 10, 60_000)).await;
    wait_for_state(second, "c/moved", "running").await;
    let seen = platform.observed().executions;
    assert_eq!((seen["c/twice"].starts, seen["c/twice"].resumed), (2, 0));
    assert_eq!((seen["c/moved"].starts, seen["c/moved"].resumed), (1, 1));
    platform.stop();
}

/// Guards against usage reports that show the declared sizes although the actual ones differ.
#[actix_rt::test]
async fn usage_differs_from_declared_sizes() {
    let options = PlatformOptions { estimate_error: 10.0, usage_lag: Duration::ZERO, ..options() };
    let platform = Platform::start(options).expect("platform");
    let address = vm(&platform, "w-0").address;
    post(address, "/v1/tasks", start("c/a", 1, 60_000, 1000, 600_000)).await;
    let used = loop {
        let report = get(address, "/v1/usage").await.json();
        if let Some(used) = report["tasks"].get(0).and_then(|task| task["cores"].as_u64()) {
            break used;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert!(used != 1000 && (100..=10_000).contains(&used), "{used}");
    platform.stop();
}
