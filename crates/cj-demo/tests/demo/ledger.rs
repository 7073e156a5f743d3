//! Tests of the ledger's comparison with the runs that the fakes observed.

use std::time::Duration;

use cj_demo::{Counts, Ledger, Site, SiteSize, WorkStatus};
use cj_standin::{Execution, Observed, body_key, expected_answer};

const READINGS: usize = 4;
const TALLIES: usize = 2;
const YIELDS: usize = 3;

struct Case {
    name: &'static str,
    workload: usize,
    accepted: bool,
    status: WorkStatus,
    runs: (u32, u32, u32),
    counter: fn(&Counts) -> u64,
    expected: u64,
}

fn check(case: &Case) -> Counts {
    let site = Site::new(SiteSize::SMALL, 1).expect("a site");
    let mut ledger = Ledger::new(site.workloads);
    let (job, body) = ledger.add(case.workload, "key".parse().expect("a key"), Duration::ZERO);
    if case.accepted {
        ledger.record_accepted(&job);
    }
    match case.status {
        WorkStatus::Done => {
            let answer = expected_answer(&job.to_string(), body.as_bytes());
            ledger.record_answer(&job, answer.as_bytes(), Duration::from_millis(5));
        }
        status => ledger.set_status(&job, status),
    }
    let open = ledger.open_jobs().map(|(_, held)| held).collect::<Vec<_>>();
    let expected: &[bool] = match case.status {
        WorkStatus::Sent => &[true],
        WorkStatus::Pending => &[false],
        _ => &[],
    };
    assert_eq!(open, expected, "{}", case.name);
    let (starts, resumed, ends) = case.runs;
    let mut observed = Observed::default();
    observed.executions.insert(job.to_string(), Execution { starts, resumed, ends });
    ledger.compare(&observed).1
}

/// Guards against wrong counts of doubled, lost, refused and unknown work.
#[test]
fn fates_and_runs_are_compared() {
    let case = |name, workload, accepted, status, runs, counter, expected| Case {
        name,
        workload,
        accepted,
        status,
        runs,
        counter,
        expected,
    };
    let table = [
        case("second run", READINGS, true, WorkStatus::Done, (2, 0, 2), |c| c.doubled, 1),
        case(
            "second run, answer unknown",
            READINGS,
            true,
            WorkStatus::Unknown,
            (2, 0, 1),
            |c| c.doubled,
            1,
        ),
        case("run continued", READINGS, true, WorkStatus::Done, (1, 1, 1), |c| c.doubled, 0),
        case("second idempotent run", TALLIES, true, WorkStatus::Done, (2, 0, 2), |c| c.doubled, 0),
        case(
            "accepted, then missing",
            TALLIES,
            true,
            WorkStatus::Missing,
            (0, 0, 0),
            |c| c.lost,
            1,
        ),
        case(
            "accepted, then refused",
            TALLIES,
            true,
            WorkStatus::Refused,
            (0, 0, 0),
            |c| c.lost,
            1,
        ),
        case("never accepted", TALLIES, false, WorkStatus::Missing, (0, 0, 0), |c| c.lost, 0),
        case("never accepted", TALLIES, false, WorkStatus::Missing, (0, 0, 0), |c| c.unknown, 1),
        case("may be dropped", READINGS, true, WorkStatus::Missing, (0, 0, 0), |c| c.lost, 0),
        case("still pending", TALLIES, true, WorkStatus::Pending, (0, 0, 0), |c| c.open, 1),
        case("held without an answer", TALLIES, false, WorkStatus::Sent, (0, 0, 0), |c| c.open, 1),
        case("visibly unknown", TALLIES, true, WorkStatus::Unknown, (1, 0, 0), |c| c.lost, 0),
        case(
            "refused, not run",
            YIELDS,
            false,
            WorkStatus::Refused,
            (0, 0, 0),
            |c| c.false_refusals,
            0,
        ),
        case(
            "refused, but run",
            YIELDS,
            false,
            WorkStatus::Refused,
            (1, 0, 0),
            |c| c.false_refusals,
            1,
        ),
        case(
            "cancelled, but run",
            TALLIES,
            true,
            WorkStatus::Cancelled,
            (1, 0, 1),
            |c| c.false_refusals,
            1,
        ),
        case("answered", TALLIES, true, WorkStatus::Done, (1, 0, 1), |c| c.wrong_answers, 0),
        case(
            "answered without a whole run",
            TALLIES,
            true,
            WorkStatus::Done,
            (1, 0, 0),
            |c| c.wrong_answers,
            1,
        ),
    ];
    for case in &table {
        assert_eq!((case.counter)(&check(case)), case.expected, "{}", case.name);
    }
}

/// Guards against accepting an answer that is truncated, belongs to another request, or lacks the job key of recorded
/// work.
#[test]
fn answers_are_compared_with_the_request() {
    let site = Site::new(SiteSize::SMALL, 1).expect("a site");
    let own = |job: &str, body: &str| expected_answer(job, body.as_bytes());
    let table = [
        ("own", TALLIES, 0),
        ("truncated", TALLIES, 1),
        ("other", TALLIES, 1),
        ("without a key", TALLIES, 1),
        ("without a key", YIELDS, 0),
        ("other", YIELDS, 1),
    ];
    for (kind, workload, expected) in table {
        let mut ledger = Ledger::new(site.workloads.clone());
        let (job, body) = ledger.add(workload, "key".parse().expect("a key"), Duration::ZERO);
        let mut answer = match kind {
            "other" => own(&job.to_string(), "another body"),
            "without a key" => own("", &body),
            _ => own(&job.to_string(), &body),
        };
        if kind == "truncated" {
            answer.pop();
        }
        ledger.record_answer(&job, answer.as_bytes(), Duration::ZERO);
        let run = Execution { starts: 1, resumed: 0, ends: 1 };
        let mut observed = Observed::default();
        observed.executions.insert(body_key(body.as_bytes()), run);
        let (_, total) = ledger.compare(&observed);
        assert_eq!(total.wrong_answers, expected, "{kind} answer of workload {workload}");
    }
}
