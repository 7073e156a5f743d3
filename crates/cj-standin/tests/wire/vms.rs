//! Wire contract of the fake VM control and the fake minions.

use std::time::Duration;

use actix_http::Method;
use serde_json::json;

use cj_standin::{Fault, LEAVING_GRACE, Platform, PlatformOptions, VmState, expected_answer};
use cj_types::PoolId;

use crate::common::{call, get, options, post, rebooted, vm};

/// Guards against a VM list without lag, a probe with lag, and rows in another format than clients read.
#[actix_rt::test]
async fn list_lags_and_probe_does_not() {
    let platform = Platform::start(options()).expect("platform");
    let address = platform.vm_address();
    post(address, "/v1/vms/p-0/drain", json!({ "op": 7 })).await;
    let list = get(address, "/v1/vms").await.json();
    let row = list.as_array().and_then(|rows| rows.iter().find(|row| row["vm"] == "p-0"));
    let expected = json!({
        "vm": "p-0", "address": vm(&platform, "p-0").address, "pool": "p", "rack": "dc-1-p-r0", "zone": "dc-1",
        "state": "live", "boot": 1, "cores": 0, "memory": 0, "accelerators": 0, "kind": "minion",
        "service": "proofs",
    });
    assert_eq!(row, Some(&expected));
    let worker = list.as_array().and_then(|rows| rows.iter().find(|row| row["vm"] == "w-0"));
    let capacity = worker.map(|row| (&row["cores"], &row["memory"], &row["service"]));
    assert_eq!(capacity, Some((&json!(4000), &json!(4096), &json!(null))));
    let probe = get(address, "/v1/vms/p-0").await.json();
    assert_eq!((&probe["state"], &probe["drained"]), (&json!("leaving"), &json!(true)));
    assert_eq!(get(address, "/v1/vms/none").await.status, 404);
    platform.stop();
}

/// Guards against operations that are carried out twice, out of order, or on unknown VMs and pools.
#[actix_rt::test]
async fn operations_are_idempotent_by_op() {
    let platform = Platform::start(options()).expect("platform");
    let address = platform.vm_address();
    let table = [
        ("/v1/vms/p-0/drain", json!({ "op": 7 }), 200),
        ("/v1/vms/p-0/drain", json!({ "op": 7 }), 200),
        ("/v1/vms/p-0/undrain", json!({ "op": 7 }), 200),
        ("/v1/vms/p-0/undrain", json!({ "op": 8 }), 409),
        ("/v1/vms/p-0/assign", json!({ "op": 9, "pool": "m" }), 200),
        ("/v1/vms/p-0/assign", json!({ "op": 9, "pool": "m" }), 200),
        ("/v1/vms/p-0/assign", json!({ "op": 8, "pool": "p" }), 409),
        ("/v1/vms/p-0/assign", json!({ "op": "assign-8", "pool": "p" }), 409),
        ("/v1/vms/p-0/assign", json!({ "op": 10, "pool": "none" }), 404),
        ("/v1/vms/p-0/assign", json!({ "op": 10, "pool": "w" }), 409),
        ("/v1/vms/p-0/assign", json!({ "op": 10 }), 400),
        ("/v1/vms/none/drain", json!({ "op": 1 }), 404),
        ("/v1/vms/p-0/explode", json!({ "op": 1 }), 404),
    ];
    for (path, body, status) in table {
        assert_eq!(post(address, path, body.clone()).await.status, status, "{path} {body}");
    }
    let seen = platform.observed();
    assert_eq!((seen.drains, seen.undrains, seen.moves, seen.repeated_ops), (1, 1, 1, 2));
    assert_eq!(vm(&platform, "p-0").service.map(|s| s.to_string()), Some("menus".into()));
    platform.stop();
}

/// Guards against a reboot that is carried out twice, keeps the boot id, or isn't carried out when its answer is lost.
#[actix_rt::test]
async fn reboots_change_the_boot_id_once_per_op() {
    let platform = Platform::start(options()).expect("platform");
    let address = platform.vm_address();
    platform.inject(&Fault::LostReboots { on: true });
    let body = json!({ "op": 3 }).to_string();
    let lost = call(Method::POST, address, "/v1/vms/p-0/reboot", &[], body).await;
    assert!(lost.is_err());
    rebooted(&platform, "p-0", 1).await;
    platform.inject(&Fault::LostReboots { on: false });
    let repeated = post(address, "/v1/vms/p-0/reboot", json!({ "op": 3 })).await.json();
    assert_eq!(repeated["boot"], 1);
    assert_eq!((vm(&platform, "p-0").boot.0, platform.observed().reboots), (2, 1));
    platform.stop();
}

/// Guards against budget breaches and overlapping pool assignments that aren't counted.
#[actix_rt::test]
async fn breaches_and_double_assignments_are_counted() {
    let platform = Platform::start(options()).expect("platform");
    let address = platform.vm_address();
    post(address, "/v1/vms/p-0/drain", json!({ "op": 1 })).await;
    assert_eq!(platform.observed().budget_breaches(), 0);
    post(address, "/v1/vms/p-1/assign", json!({ "op": 2, "pool": "m" })).await;
    assert_eq!(platform.observed().budget_breaches(), 1);
    post(address, "/v1/vms/p-1/assign", json!({ "op": 3, "pool": "p" })).await;
    let pool: PoolId = "p".parse().expect("a name");
    let seen = platform.observed();
    assert_eq!((seen.vm_in_two_pools, seen.pools[&pool].lowest), (1, 0));
    // A breach soon after a failure doesn't count, since the planner can't have detected the failure yet.
    platform.inject(&Fault::Kill { vm: "w-0".parse().expect("a name") });
    post(address, "/v1/vms/w-1/drain", json!({ "op": 4 })).await;
    let seen = platform.observed();
    assert_eq!((seen.budget_breaches(), seen.breaches.len()), (1, 2));
    platform.stop();
}

/// Guards against refusals without `x-not-run`, answers that belong to another request, and runs that aren't recorded.
#[actix_rt::test]
async fn minions_answer_or_refuse() {
    let options = PlatformOptions { service_time: Duration::from_millis(300), ..options() };
    let platform = Platform::start(options).expect("platform");
    let address = vm(&platform, "p-0").address;
    let send = |key: &'static str, service: &'static str| async move {
        let body = format!("body of {key}");
        call(Method::POST, address, service, &[("x-job-key", key)], body).await.expect("an answer")
    };
    let later = async {
        while platform.observed().executions.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        send("c/2", "/proofs").await
    };
    let (answer, full) = futures::join!(send("c/1", "/proofs"), later);
    assert_eq!((answer.status, answer.header("x-load")), (200, Some("0")));
    assert_eq!(answer.body, expected_answer("c/1", b"body of c/1"));
    assert_ne!(answer.body, expected_answer("c/2", b"body of c/1"));
    assert_eq!(
        (full.status, full.header("x-not-run"), full.header("x-load")),
        (503, Some("1"), Some("1"))
    );
    let foreign = send("c/3", "/menus").await;
    assert_eq!((foreign.status, foreign.header("x-not-run")), (503, Some("1")));
    post(platform.vm_address(), "/v1/vms/p-0/drain", json!({ "op": 1 })).await;
    let leaving = send("c/4", "/proofs").await;
    assert_eq!((leaving.status, leaving.header("x-not-run")), (503, Some("1")));
    let seen = platform.observed();
    assert_eq!(seen.executions.keys().collect::<Vec<_>>(), ["c/1"]);
    assert_eq!((seen.executions["c/1"].starts, seen.executions["c/1"].ends), (1, 1));
    assert_eq!((seen.refused_full, seen.refused_leaving, seen.late_to_leaving), (1, 1, 0));
    tokio::time::sleep(LEAVING_GRACE).await;
    send("c/5", "/proofs").await;
    assert_eq!(platform.observed().late_to_leaving, 1);
    platform.stop();
}

/// Guards against requests aborted by a reboot that aren't counted, and against counting a failure as a reboot.
#[actix_rt::test]
async fn cut_requests_are_counted_by_cause() {
    let options = PlatformOptions { service_time: Duration::from_secs(60), ..options() };
    let platform = Platform::start(options).expect("platform");
    for (name, reboot) in [("p-0", true), ("p-1", false)] {
        let row = vm(&platform, name);
        let headers = [("x-job-key", name)];
        let request = call(Method::POST, row.address, "/proofs", &headers, "b".into());
        let stop = async {
            while !platform.observed().executions.contains_key(name) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            if reboot {
                let path = format!("/v1/vms/{name}/reboot");
                post(platform.vm_address(), &path, json!({ "op": 1 })).await;
            } else {
                platform.inject(&Fault::Kill { vm: row.vm.clone() });
            }
        };
        assert!(futures::join!(request, stop).0.is_err());
    }
    rebooted(&platform, "p-0", 1).await;
    let seen = platform.observed();
    assert_eq!((seen.cut_off_in_flight, seen.cut_by_failure), (1, 1));
    let row = vm(&platform, "p-1");
    assert_eq!(row.state, VmState::Down);
    let dead = call(Method::POST, row.address, "/proofs", &[], "b".into()).await;
    assert!(matches!(dead, Err(awc::error::SendRequestError::Connect(_))));
    platform.inject(&Fault::Restart { vm: row.vm });
    assert_eq!(vm(&platform, "p-1").boot.0, 2);
    while call(Method::POST, row.address, "/menus", &[], String::new()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    platform.stop();
}
