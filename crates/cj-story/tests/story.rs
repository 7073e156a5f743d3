//! Parsing of log lines, and the causes that a timeline shows.

use cj_story::{Line, Relation, causes, timeline};

const JOB: &str = "0e5ba474e38ad43a";

fn lines(rows: &[&str]) -> Vec<Line> {
    rows.iter().map(|row| Line::parse(row).unwrap_or_else(|| panic!("not parsed: {row}"))).collect()
}

fn cause_texts(rows: &[&str], id: &str) -> Vec<String> {
    let lines = lines(rows);
    causes(&timeline(&lines, id)).into_iter().map(|(_, cause)| cause).collect()
}

/// Guards against log lines that the explain command can't parse, also when a log collector has put its own text before them.
#[test]
fn parsed_lines_format_unchanged() {
    let rows = [
        "at=17 level=INFO node=n1 kind=decision job=0e5ba474e38ad43a request=submit queue=q config=6 offset=9 choice=accepted reason=accepted retry_ms=0",
        "at=18 level=WARN node=n1 kind=link topic=jobs choice=lost next=4 cause=\"no answer: Timeout while waiting\"",
        "at=19 level=INFO node=n1 kind=decision task=0e5ba474e38ad43a.0.1.2 run=1048576 worker=w choice=start epoch=1 config=6 free=4700m,31312MiB,0acc listing_age_ms=0",
    ];
    for row in rows {
        assert_eq!(Line::parse(row).unwrap().to_string(), row);
        let collected = format!("   9.0502 front-1 {row}");
        assert_eq!(Line::parse(&collected).unwrap().to_string(), row);
    }
    assert_eq!(Line::parse("stack backtrace:"), None);
    assert_eq!(Line::parse("at=1 level=INFO node"), None);
    assert_eq!(Line::parse("at=1 cause=\"cut"), None);
}

/// Guards against a refusal that is explained without the load on which it was decided.
#[test]
fn names_the_load_behind_a_refusal() {
    let causes = cause_texts(
        &[
            "at=100 node=n1 kind=decision job=0e5ba474e38ad43a reason=overload service=s wait_ms=9000 objective_ms=800 epoch=1 load_offset=3 load_age_ms=20",
            "at=101 node=n1 kind=decision job=0e5ba474e38ad43a request=submit queue=q choice=refused reason=overload retry_ms=2600",
        ],
        JOB,
    );
    assert_eq!(causes.len(), 1);
    assert!(
        causes[0].contains("s has 9000 ms") && causes[0].contains("after 2600 ms"),
        "{causes:?}"
    );
}

/// Guards against a delay whose cause, a lost worker or a takeover, is missing from the explanation.
#[test]
fn names_the_lost_worker_and_the_takeover() {
    let rows = [
        "at=100 node=n1 kind=decision job=0e5ba474e38ad43a request=submit queue=q choice=accepted reason=accepted retry_ms=0",
        "at=1900 node=n2 kind=decision choice=own epoch=2 offset=8",
        "at=2000 node=n2 kind=decision task=0e5ba474e38ad43a.0.0.0 run=7 worker=w1 choice=start epoch=2",
        "at=2500 node=n2 kind=decision worker=w1 choice=end_life runs=1 cause=\"no running VM names it\" epoch=2 heartbeat_age_ms=5900 missed_listings=3 vms_age_ms=40",
        "at=2500 node=n2 kind=decision task=0e5ba474e38ad43a.0.0.0 run=7 worker=w1 choice=lose cause=life_over epoch=2 heartbeat_age_ms=5900",
        "at=2600 node=n2 kind=decision task=0e5ba474e38ad43a.0.0.0 run=8 worker=w2 choice=start epoch=2",
        "at=3100 node=n2 kind=decision task=0e5ba474e38ad43a.0.0.0 run=8 worker=w2 end=Done number=1",
        "at=3100 node=n2 kind=decision job=0e5ba474e38ad43a occurrence=0 choice=completed",
        "at=3200 node=n2 kind=decision worker=w9 choice=end_life runs=0 cause=\"registered again\"",
    ];
    let causes = cause_texts(&rows, JOB);
    assert!(causes.iter().any(|cause| cause.contains("n2 took over the fleet 1800 ms after")));
    assert!(causes.iter().any(|cause| cause.contains("lost with w1: no running VM names it")));
    assert!(causes.iter().any(|cause| cause.contains("heartbeat of its owner was 5900 ms old")));
    let lines = lines(&rows);
    let timeline = timeline(&lines, JOB);
    assert!(
        timeline.context_lines().all(|line| line.get("worker") != Some("w9")),
        "another worker"
    );
    assert_eq!(timeline.lines.iter().filter(|(relation, _)| *relation == Relation::Own).count(), 6);
}

/// Guards against a delay that is attributed to the owner or the pool of another cell.
#[test]
fn lines_of_other_cells_are_excluded() {
    let rows = [
        "at=100 node=n1 kind=decision job=0e5ba474e38ad43a request=submit queue=q cell=2 owner_age_ms=300 choice=accepted reason=accepted retry_ms=0",
        "at=700 node=n3 kind=decision cell=1 choice=own epoch=2 offset=8",
        "at=800 node=n3 kind=decision worker=w1 choice=add service=s",
        "at=850 node=n4 kind=decision pool=s vms=1 target=9 parked=0 epoch=2",
        "at=900 node=n3 kind=decision pool=s vms=7 target=7 parked=4 epoch=2",
        "at=1900 node=n3 kind=decision task=0e5ba474e38ad43a.0.0.0 run=7 worker=w1 choice=start epoch=2",
    ];
    let causes = cause_texts(&rows, JOB);
    assert_eq!(causes.len(), 1, "{causes:?}");
    assert!(causes[0].contains("waited 1800 ms for room: pool s has 7 VMs"), "{causes:?}");
}

/// Guards against lines of another job whose id begins with the requested id.
#[test]
fn an_id_does_not_match_a_longer_id() {
    let rows = ["at=1 node=n1 kind=decision task=0e5ba474e38ad43ab.0.0.0 choice=start"];
    assert!(timeline(&lines(&rows), JOB).lines.is_empty());
}
