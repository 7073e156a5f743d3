//! Tests of the report's checks, its JSON keys, and the schedule of faults.

use std::time::Duration;

use cj_demo::{
    FaultKind, Ledger, Report, Site, SiteSize, faults::schedule, publisher::Publications,
    report::Evidence,
};
use cj_standin::{Breach, Observed, body_key, expected_answer};

/// Data of a correct run with one answered request.
fn evidence() -> Evidence {
    let site = Site::new(SiteSize::SMALL, 1).expect("a site");
    let mut ledger = Ledger::new(site.workloads);
    let (job, body) = ledger.add(0, "key".parse().expect("a key"), Duration::ZERO);
    let answer = expected_answer("", body.as_bytes());
    ledger.record_answer(&job, answer.as_bytes(), Duration::from_millis(5));
    let mut observed = Observed::default();
    let run = observed.executions.entry(body_key(body.as_bytes())).or_default();
    (run.starts, run.ends) = (1, 1);
    Evidence { ledger, observed, duration: Duration::from_secs(2), ..Evidence::default() }
}

fn breach(unnoticed_failure: bool) -> Breach {
    let (pool, vm) = ("p".parse().expect("a name"), "p-0".parse().expect("a name"));
    Breach { at_ms: 1, pool, vm, available: 0, unnoticed_failure }
}

/// Guards against a report that is ok although an invariant or a target is violated.
#[test]
fn each_broken_check_fails_the_report() {
    type Change = fn(&mut Evidence);
    let table: [(&str, Change, bool); 11] = [
        ("nothing wrong", |_| {}, true),
        ("breach", |e| e.observed.breaches.push(breach(false)), false),
        ("breach that no planner can know", |e| e.observed.breaches.push(breach(true)), true),
        ("two pools", |e| e.observed.vm_in_two_pools = 1, false),
        ("cut off", |e| e.observed.cut_off_in_flight = 1, false),
        ("late work", |e| e.observed.late_to_leaving = 1, false),
        ("reverted", |e| e.publications.reverted = 1, false),
        ("late settings", |e| e.publications.late = 1, false),
        ("slow settings", |e| e.publications.times.push(Duration::from_secs(3)), false),
        ("shutdown without end", |e| e.not_stopped = 1, false),
        ("no answers", |e| e.ledger = Ledger::default(), false),
    ];
    for (name, change, ok) in table {
        let mut evidence = evidence();
        change(&mut evidence);
        let report = Report::new(evidence);
        assert_eq!(report.ok, ok, "{name}: {:?}", report.problems);
        let verdict = if ok { "ok: " } else { "FAILED: " };
        assert!(report.to_string().contains(verdict), "{name}");
    }
}

/// Guards against removed or renamed keys of the JSON report.
#[test]
fn json_has_the_promised_keys() {
    let mut evidence = evidence();
    evidence.publications =
        Publications { times: vec![Duration::from_millis(40)], ..Default::default() };
    let report = serde_json::to_value(Report::new(evidence)).expect("JSON");
    let keys = [
        "accepted",
        "done",
        "refused",
        "unknown",
        "lost",
        "doubled",
        "false_refusals",
        "wrong_answers",
        "budget_breaches",
        "vm_in_two_pools",
        "cut_off_in_flight",
        "late_to_leaving",
        "settings_reverted",
        "settings_p99_ms",
        "moves",
        "faults_injected",
        "log_appends",
        "ok",
        "workloads",
    ];
    for key in keys {
        assert!(report.get(key).is_some(), "{key}");
    }
    assert_eq!((&report["done"], &report["settings_p99_ms"]), (&1.into(), &40.into()));
}

/// Guards against faults that aren't scheduled or end after the demonstration, and names that can't be parsed.
#[test]
fn every_kind_is_planned_twice_within_the_time() {
    let kinds = FaultKind::parse_list("all").expect("names");
    let total = Duration::from_secs(60);
    let planned = schedule(&kinds, total, 3);
    for kind in &kinds {
        assert_eq!(planned.iter().filter(|fault| fault.kind == *kind).count(), 2, "{kind}");
        assert_eq!(kind.to_string().parse::<FaultKind>().as_ref(), Ok(kind));
    }
    assert!(planned.iter().all(|fault| fault.at + fault.length <= total));
    assert_eq!(planned, schedule(&kinds, total, 3));
    assert!(schedule(&[], total, 3).is_empty());
    assert!(FaultKind::parse_list("log-down,nonsense").is_err());
    assert_eq!(FaultKind::parse_list("none"), Ok(Vec::new()));
}
