//! Responses to callers about recorded jobs. Guards against answering "not run" or "cancelled before it ran" for work
//! that may have run.

use std::time::Duration;

use actix_http::StatusCode;
use cj_fold::{Job, JobPhase};
use cj_node::http::{Answer, OutcomeKind};
use cj_types::{Resources, UnixMillis};

const POLL_AFTER: Duration = Duration::from_millis(500);

fn job(phase: JobPhase, failed: bool) -> Job {
    let failure = ("vm-1".parse().unwrap(), "connection lost".into());
    Job {
        service: "tallies".parse().unwrap(),
        class: "urgent".parse().unwrap(),
        team: "pans".parse().unwrap(),
        pool: "tallies".parse().unwrap(),
        body_hash: [0; 32],
        payload: Vec::new(),
        idempotent: true,
        task: false,
        deadline: UnixMillis(0),
        demand: Resources::default(),
        run_ms: 0,
        submitted: UnixMillis(0),
        attempts: 1,
        failures: if failed { vec![failure] } else { Vec::new() },
        phase,
    }
}

#[test]
fn a_cancelled_job_with_a_failed_attempt_may_have_run() {
    let cancelled = || JobPhase::Cancelled { at: UnixMillis(1) };
    let never_sent = Answer::from_job(&job(cancelled(), false), POLL_AFTER);
    assert_eq!(never_sent.outcome, OutcomeKind::Cancelled);
    let sent_before = Answer::from_job(&job(cancelled(), true), POLL_AFTER);
    assert_eq!(sent_before.outcome, OutcomeKind::Unknown);
}

#[test]
fn a_refused_resubmission_says_nothing_about_the_earlier_one() {
    let refused = Answer::refused("too many requests are waiting", POLL_AFTER).for_resubmission();
    assert_eq!((refused.status, refused.outcome), (StatusCode::ACCEPTED, OutcomeKind::Pending));
    assert_eq!(refused.retry_after, Some(POLL_AFTER));
    let bad = Answer::bad_input(StatusCode::BAD_REQUEST, "header").for_resubmission();
    assert_eq!(bad.outcome, OutcomeKind::NotRun, "bad input is never taken in");
}
