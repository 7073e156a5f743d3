//! Another node carries on with the jobs of a node that is gone. Guards against tasks that are stopped only because an
//! entry node was replaced, and against idempotent jobs that stay without an outcome.

mod common;

use cj_fold::{Claim, JobPhase};
use cj_record::*;
use cj_types::*;
use common::*;

const JOB: &str = "cook/1";
const LEASE: u32 = 10_000;

/// Submits and claims a job as `n1`; returns its token.
fn claimed(world: &mut World, class: &str, task: bool) -> Token {
    world.accept(Entry::Submit(Submit { task, ..submit(JOB, class, "proofs") }));
    let token = Token(world.next());
    world.accept(Entry::Claim { job: id(JOB), attempt: 1, target: id("p1"), lease_ms: LEASE });
    token
}

fn claim(world: &World) -> &Claim {
    match &world.state.jobs[&id::<JobId>(JOB)].phase {
        JobPhase::Claimed(claim) => claim,
        other => panic!("not claimed: {other:?}"),
    }
}

#[test]
fn any_node_may_look_after_a_task() {
    let mut world = World::new();
    let token = claimed(&mut world, "batch", true);
    let renew = Entry::Renew { job: id(JOB), token, lease_ms: LEASE };
    world.put_as("n2", renew).unwrap();
    assert_eq!(claim(&world).holder.node, id("n2"));
    assert_eq!(claim(&world).token, token, "the attempt is still the same");
    let outcome = Outcome::Done { status: 200, answer: vec![1] };
    world.put_as("n1", Entry::Finish { job: id(JOB), token, outcome }).unwrap();
    world.state.check_invariants().unwrap();
}

#[test]
fn a_request_is_known_to_its_holder_only() {
    let mut world = World::new();
    let token = claimed(&mut world, "batch", false);
    let renew = Entry::Renew { job: id(JOB), token, lease_ms: LEASE };
    assert!(world.put_as("n2", renew).unwrap_err().contains("held by"));
}

#[test]
fn an_idempotent_job_is_queued_again_when_its_lease_ends() {
    let mut world = World::new();
    let token = claimed(&mut world, "urgent", false);
    world.wait(20);
    world.put_as("n2", Entry::Expire { job: id(JOB), token }).unwrap();
    assert_eq!(world.state.jobs[&id::<JobId>(JOB)].phase, JobPhase::Queued);
    world.state.check_invariants().unwrap();
}

/// A job that stops every node that runs it must not be queued for ever.
#[test]
fn an_idempotent_job_whose_leases_end_on_three_targets_is_parked() {
    let mut world = World::new();
    let mut token = claimed(&mut world, "urgent", false);
    for (attempt, target) in [(2, "p2"), (3, "p3")] {
        world.wait(20);
        world.accept(Entry::Expire { job: id(JOB), token });
        token = Token(world.next());
        world.accept(Entry::Claim { job: id(JOB), attempt, target: id(target), lease_ms: LEASE });
    }
    world.wait(20);
    world.accept(Entry::Expire { job: id(JOB), token });
    let job = &world.state.jobs[&id::<JobId>(JOB)];
    assert!(matches!(job.phase, JobPhase::Parked { .. }), "{:?}", job.phase);
    assert_eq!(job.payload, [7], "an operator needs the payload to submit it again");
}

#[test]
fn a_cancelled_job_does_not_run_again_when_its_lease_ends() {
    let mut world = World::new();
    let token = claimed(&mut world, "urgent", false);
    world.accept(Entry::Cancel { job: id(JOB) });
    world.wait(20);
    world.accept(Entry::Expire { job: id(JOB), token });
    let job = &world.state.jobs[&id::<JobId>(JOB)];
    assert!(matches!(job.phase, JobPhase::Parked { .. }), "{:?}", job.phase);
}
