//! Takeover of the jobs of a stopped node by another node. Guards against tasks that are stopped only because an entry
//! node was replaced, and against idempotent jobs that never get an outcome.

mod common;

use cj_fold::{Claim, JobPhase};
use cj_record::*;
use cj_types::*;
use common::*;

const JOB: &str = "cook/1";
const LEASE: u32 = 10_000;

/// Submits and claims a job as node `n1`; returns the token of the claim.
fn submit_and_claim(region: &mut TestRegion, class: &str, task: bool) -> Token {
    region.accept(Entry::Submit(Submit { task, ..submit(JOB, class, "proofs") }));
    let token = Token(region.next());
    region.accept(Entry::Claim { job: id(JOB), attempt: 1, target: id("p1"), lease_ms: LEASE });
    token
}

fn current_claim(region: &TestRegion) -> &Claim {
    match &region.state.jobs[&id::<JobId>(JOB)].phase {
        JobPhase::Claimed(claim) => claim,
        other => panic!("not claimed: {other:?}"),
    }
}

#[test]
fn any_node_may_take_over_a_task() {
    let mut region = TestRegion::new();
    let token = submit_and_claim(&mut region, "batch", true);
    let renew = Entry::Renew { job: id(JOB), token, lease_ms: LEASE };
    region.propose_as("n2", renew).unwrap();
    assert_eq!(current_claim(&region).holder.node, id("n2"));
    assert_eq!(current_claim(&region).token, token, "the attempt is still the same");
    let outcome = Outcome::Done { status: 200, answer: vec![1] };
    region.propose_as("n1", Entry::Finish { job: id(JOB), token, outcome }).unwrap();
    region.state.check_invariants().unwrap();
}

#[test]
fn only_the_holder_may_renew_a_request() {
    let mut region = TestRegion::new();
    let token = submit_and_claim(&mut region, "batch", false);
    let renew = Entry::Renew { job: id(JOB), token, lease_ms: LEASE };
    assert!(region.propose_as("n2", renew).unwrap_err().contains("held by"));
}

#[test]
fn an_idempotent_job_is_queued_again_when_its_lease_ends() {
    let mut region = TestRegion::new();
    let token = submit_and_claim(&mut region, "urgent", false);
    region.advance_time(20);
    region.propose_as("n2", Entry::Expire { job: id(JOB), token }).unwrap();
    assert_eq!(region.state.jobs[&id::<JobId>(JOB)].phase, JobPhase::Queued);
    region.state.check_invariants().unwrap();
}

/// A job that crashes every node that runs it must not be queued again indefinitely.
#[test]
fn an_idempotent_job_whose_leases_end_on_three_targets_is_parked() {
    let mut region = TestRegion::new();
    let mut token = submit_and_claim(&mut region, "urgent", false);
    for (attempt, target) in [(2, "p2"), (3, "p3")] {
        region.advance_time(20);
        region.accept(Entry::Expire { job: id(JOB), token });
        token = Token(region.next());
        region.accept(Entry::Claim { job: id(JOB), attempt, target: id(target), lease_ms: LEASE });
    }
    region.advance_time(20);
    region.accept(Entry::Expire { job: id(JOB), token });
    let job = &region.state.jobs[&id::<JobId>(JOB)];
    assert!(matches!(job.phase, JobPhase::Parked { .. }), "{:?}", job.phase);
    assert_eq!(job.payload, [7], "an operator needs the payload to submit it again");
}

#[test]
fn a_cancelled_job_does_not_run_again_when_its_lease_ends() {
    let mut region = TestRegion::new();
    let token = submit_and_claim(&mut region, "urgent", false);
    region.accept(Entry::Cancel { job: id(JOB) });
    region.advance_time(20);
    region.accept(Entry::Expire { job: id(JOB), token });
    let job = &region.state.jobs[&id::<JobId>(JOB)];
    assert!(matches!(job.phase, JobPhase::Parked { .. }), "{:?}", job.phase);
}
