//! The ledger's comparison with the runs that the stand-ins saw.

use std::time::Duration;

use cj_demo::{Counts, Fate, Ledger, Site, SiteSize};
use cj_standin::{Execution, Observed, body_key, expected_answer};

const READINGS: usize = 4;
const TALLIES: usize = 2;
const YIELDS: usize = 3;

struct Case {
    name: &'static str,
    workload: usize,
    accepted: bool,
    fate: Fate,
    runs: (u32, u32, u32),
    counter: fn(&Counts) -> u64,
    expected: u64,
}

fn check(case: &Case) -> Counts {
    let site = Site::new(SiteSize::SMALL, 1).expect("a site");
    let mut ledger = Ledger::new(site.workloads);
    let (job, body) = ledger.open(case.workload, "key".parse().expect("a key"), Duration::ZERO);
    if case.accepted {
        ledger.accept(&job);
    }
    match case.fate {
        Fate::Done => {
            let answer = expected_answer(&job.to_string(), body.as_bytes());
            ledger.answer(&job, answer.as_bytes(), Duration::from_millis(5));
        }
        fate => ledger.note(&job, fate),
    }
    let open = ledger.open_jobs().map(|(_, held)| held).collect::<Vec<_>>();
    let expected: &[bool] = match case.fate {
        Fate::Sent => &[true],
        Fate::Pending => &[false],
        _ => &[],
    };
    assert_eq!(open, expected, "{}", case.name);
    let (starts, resumed, ends) = case.runs;
    let mut observed = Observed::default();
    observed.executions.insert(job.to_string(), Execution { starts, resumed, ends });
    ledger.check(&observed).1
}

/// Guards against wrong counting of doubled, lost, refused and unknown work.
#[test]
fn fates_and_runs_are_compared() {
    let case = |name, workload, accepted, fate, runs, counter, expected| Case {
        name,
        workload,
        accepted,
        fate,
        runs,
        counter,
        expected,
    };
    let table = [
        case("second run", READINGS, true, Fate::Done, (2, 0, 2), |c| c.doubled, 1),
        case(
            "second run, answer unknown",
            READINGS,
            true,
            Fate::Unknown,
            (2, 0, 1),
            |c| c.doubled,
            1,
        ),
        case("run continued", READINGS, true, Fate::Done, (1, 1, 1), |c| c.doubled, 0),
        case("second idempotent run", TALLIES, true, Fate::Done, (2, 0, 2), |c| c.doubled, 0),
        case("accepted, then missing", TALLIES, true, Fate::Missing, (0, 0, 0), |c| c.lost, 1),
        case("accepted, then refused", TALLIES, true, Fate::Refused, (0, 0, 0), |c| c.lost, 1),
        case("never accepted", TALLIES, false, Fate::Missing, (0, 0, 0), |c| c.lost, 0),
        case("never accepted", TALLIES, false, Fate::Missing, (0, 0, 0), |c| c.unknown, 1),
        case("may be dropped", READINGS, true, Fate::Missing, (0, 0, 0), |c| c.lost, 0),
        case("still pending", TALLIES, true, Fate::Pending, (0, 0, 0), |c| c.open, 1),
        case("held without an answer", TALLIES, false, Fate::Sent, (0, 0, 0), |c| c.open, 1),
        case("visibly unknown", TALLIES, true, Fate::Unknown, (1, 0, 0), |c| c.lost, 0),
        case("refused, not run", YIELDS, false, Fate::Refused, (0, 0, 0), |c| c.false_refusals, 0),
        case("refused, but run", YIELDS, false, Fate::Refused, (1, 0, 0), |c| c.false_refusals, 1),
        case(
            "cancelled, but run",
            TALLIES,
            true,
            Fate::Cancelled,
            (1, 0, 1),
            |c| c.false_refusals,
            1,
        ),
        case("answered", TALLIES, true, Fate::Done, (1, 0, 1), |c| c.wrong_answers, 0),
        case(
            "answered without a whole run",
            TALLIES,
            true,
            Fate::Done,
            (1, 0, 0),
            |c| c.wrong_answers,
            1,
        ),
    ];
    for case in &table {
        assert_eq!((case.counter)(&check(case)), case.expected, "{}", case.name);
    }
}

/// Guards against accepting an answer that is cut, of another request, or without the job key of recorded work.
#[test]
fn answers_are_compared_with_the_request() {
    let site = Site::new(SiteSize::SMALL, 1).expect("a site");
    let own = |job: &str, body: &str| expected_answer(job, body.as_bytes());
    let table = [
        ("own", TALLIES, 0),
        ("cut", TALLIES, 1),
        ("foreign", TALLIES, 1),
        ("keyless", TALLIES, 1),
        ("keyless", YIELDS, 0),
        ("foreign", YIELDS, 1),
    ];
    for (kind, workload, expected) in table {
        let mut ledger = Ledger::new(site.workloads.clone());
        let (job, body) = ledger.open(workload, "key".parse().expect("a key"), Duration::ZERO);
        let mut answer = match kind {
            "foreign" => own(&job.to_string(), "another body"),
            "keyless" => own("", &body),
            _ => own(&job.to_string(), &body),
        };
        if kind == "cut" {
            answer.pop();
        }
        ledger.answer(&job, answer.as_bytes(), Duration::ZERO);
        let run = Execution { starts: 1, resumed: 0, ends: 1 };
        let mut observed = Observed::default();
        observed.executions.insert(body_key(body.as_bytes()), run);
        let (_, total) = ledger.check(&observed);
        assert_eq!(total.wrong_answers, expected, "{kind} answer of workload {workload}");
    }
}
