//! Table tests of the job state machine, one row per transition. Guards against transitions that the design doesn't
//! allow, which could run non-idempotent work twice or lose accepted work.

mod common;

use cj_fold::{JobPhase, State, Verdict};
use cj_record::*;
use cj_types::*;
use common::*;

const JOB: &str = "cook/1";

/// Lease of every claim in milliseconds. `Wait` takes longer.
const LEASE: u32 = 10_000;

#[derive(Clone)]
enum Step {
    Submit(&'static str),
    SubmitClaimed(&'static str, &'static str),
    Claim(u32, &'static str),
    Renew,
    Finish(Outcome),
    FinishAs(&'static str, Outcome),
    Expire,
    Resolve(Evidence, Outcome),
    Cancel,
    Fail(&'static str),
    Wait,
}
use Step::*;

fn done() -> Outcome {
    Outcome::Done { status: 200, answer: vec![1] }
}

fn not_run() -> Outcome {
    Outcome::NotRun { reason: "refused".into() }
}

fn failed() -> Outcome {
    Outcome::Failed { reason: "exit 1".into() }
}

fn unknown() -> Outcome {
    Outcome::Unknown { reason: "reset".into() }
}

fn apply_step(region: &mut TestRegion, step: Step) -> Result<(), String> {
    let job: JobId = id(JOB);
    let token = match region.state.jobs.get(&job).map(|j| &j.phase) {
        Some(JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. }) => claim.token,
        _ => Token(0),
    };
    let submit = |class| submit(JOB, class, "proofs");
    let entry = match step {
        Submit(class) => Entry::Submit(submit(class)),
        SubmitClaimed(class, vm) => {
            Entry::Submit(cj_record::Submit { claim: Some((id(vm), LEASE)), ..submit(class) })
        }
        Claim(attempt, vm) => Entry::Claim { job, attempt, target: id(vm), lease_ms: LEASE },
        Renew => Entry::Renew { job, token, lease_ms: 2 * LEASE },
        Finish(outcome) => Entry::Finish { job, token, outcome },
        FinishAs(node, outcome) => {
            let entry = Entry::Finish { job, token, outcome };
            return region.propose_as(node, entry).map_err(Into::into);
        }
        Expire => Entry::Expire { job, token },
        Resolve(evidence, outcome) => Entry::Resolve { job, token, outcome, evidence },
        Cancel => Entry::Cancel { job },
        Fail(vm) => region.health(vm, false),
        Wait => {
            region.advance_time(20);
            return Ok(());
        }
    };
    region.propose(entry).map_err(Into::into)
}

fn phase(state: &State) -> String {
    let name = match state.jobs.get(&id(JOB)).map(|j| &j.phase) {
        None => "none",
        Some(JobPhase::Queued) => "queued",
        Some(JobPhase::Claimed(claim)) if claim.cancel => "stopping",
        Some(JobPhase::Claimed(_)) => "claimed",
        Some(JobPhase::Done { .. }) => "done",
        Some(JobPhase::Cancelled { .. }) => "cancelled",
        Some(JobPhase::Parked { .. }) => "parked",
        Some(JobPhase::OutcomeUnknown { .. }) => "unknown",
    };
    name.into()
}

/// Preparing steps, the step under test, a part of its expected rejection ("" if it is accepted), and the job's phase
/// after it.
type Row = (Vec<Step>, Step, &'static str, &'static str);

fn check(rows: Vec<Row>) {
    for (number, (before, step, rejection, after)) in rows.into_iter().enumerate() {
        let mut region = TestRegion::new();
        for step in before {
            assert_eq!(apply_step(&mut region, step), Ok(()), "row {number}, preparation");
        }
        let result = apply_step(&mut region, step);
        match rejection {
            "" => assert_eq!(result, Ok(()), "row {number}"),
            part => {
                assert!(result.as_ref().is_err_and(|r| r.contains(part)), "{number} {result:?}")
            }
        }
        assert_eq!(phase(&region.state), after, "row {number}");
        region.state.check_invariants().unwrap();
    }
}

#[test]
fn submissions_and_claims() {
    let b = || Submit("batch");
    check(vec![
        (vec![], b(), "", "queued"),
        (vec![], SubmitClaimed("batch", "p1"), "", "claimed"),
        (vec![], SubmitClaimed("batch", "l1"), "is in pool", "none"),
        (vec![Fail("p1")], SubmitClaimed("batch", "p1"), "not active", "none"),
        (vec![], Submit("nothing"), "does not exist", "none"),
        (vec![b()], b(), "", "queued"),
        (vec![b()], Claim(1, "p1"), "", "claimed"),
        (vec![b()], Claim(2, "p1"), "next attempt is 1", "queued"),
        (vec![b()], Claim(1, "l1"), "is in pool", "queued"),
        (vec![b()], Claim(1, "p9"), "does not exist", "queued"),
        (vec![b(), Fail("p1")], Claim(1, "p1"), "not active", "queued"),
        (vec![b(), Claim(1, "p1")], Claim(2, "p2"), "not queued", "claimed"),
        (vec![], Claim(1, "p1"), "does not exist", "none"),
        (vec![b()], Cancel, "", "cancelled"),
        (vec![b(), Claim(1, "p1")], Cancel, "", "stopping"),
        (vec![b(), Cancel], Cancel, "has ended", "cancelled"),
        (vec![b(), Cancel], Claim(1, "p1"), "not queued", "cancelled"),
    ]);
}

#[test]
fn outcomes() {
    let urgent = || vec![Submit("urgent"), Claim(1, "p1")];
    let batch = || vec![Submit("batch"), Claim(1, "p1")];
    let with = |mut steps: Vec<Step>, more: &[Step]| {
        steps.extend_from_slice(more);
        steps
    };
    let lost = || with(batch(), &[Wait, Expire]);
    let (list, answer) = (Evidence::TaskList, Evidence::UpstreamAnswer);
    let large = Outcome::Done { status: 200, answer: vec![0; 4097] };
    let second = [Finish(failed()), Claim(2, "p2"), Finish(failed()), Claim(3, "p3")];
    let one_target: Vec<Step> = (2..=9).flat_map(|n| [Finish(failed()), Claim(n, "p1")]).collect();
    check(vec![
        (batch(), Finish(done()), "", "done"),
        (batch(), Finish(large), "larger", "claimed"),
        (batch(), FinishAs("n2", done()), "held by", "claimed"),
        (batch(), Finish(not_run()), "", "queued"),
        (with(batch(), &[Finish(not_run())]), Claim(1, "p2"), "next attempt is 2", "queued"),
        (with(batch(), &[Finish(not_run())]), Claim(2, "p2"), "", "claimed"),
        (with(batch(), &[Cancel]), Finish(not_run()), "", "cancelled"),
        (with(batch(), &[Cancel]), Finish(done()), "", "done"),
        (batch(), Finish(failed()), "", "parked"),
        (batch(), Finish(unknown()), "", "unknown"),
        (urgent(), Finish(failed()), "", "queued"),
        (with(urgent(), &second), Finish(failed()), "", "parked"),
        (with(urgent(), &one_target), Finish(failed()), "", "parked"),
        (with(urgent(), &[Cancel]), Finish(failed()), "", "parked"),
        (batch(), Expire, "has not ended", "claimed"),
        (with(batch(), &[Wait]), Expire, "", "unknown"),
        (with(batch(), &[Renew, Wait]), Expire, "", "unknown"),
        (with(batch(), &[Renew]), Expire, "has not ended", "claimed"),
        (lost(), Finish(done()), "not claimed", "unknown"),
        (lost(), Renew, "not claimed", "unknown"),
        (lost(), Claim(2, "p2"), "not queued", "unknown"),
        (lost(), Cancel, "unknown", "unknown"),
        (lost(), Resolve(list.clone(), done()), "", "done"),
        (lost(), Resolve(list.clone(), not_run()), "", "queued"),
        (lost(), Resolve(answer.clone(), failed()), "", "parked"),
        (lost(), Resolve(answer.clone(), unknown()), "settles nothing", "unknown"),
        (with(batch(), &[Finish(unknown())]), Resolve(list, not_run()), "lease", "unknown"),
        (with(batch(), &[Finish(unknown())]), Resolve(answer.clone(), done()), "", "done"),
        (batch(), Resolve(answer, done()), "not unknown", "claimed"),
    ]);
}

#[test]
fn a_job_key_is_accepted_once() {
    let mut region = TestRegion::new();
    region.accept(Entry::Submit(submit(JOB, "batch", "proofs")));
    let again = Entry::Submit(submit(JOB, "batch", "proofs"));
    assert_eq!(region.batch("n1", vec![again]), [Verdict::Existing { job: id(JOB) }]);
    let other = cj_record::Submit { body_hash: [2; 32], ..submit(JOB, "batch", "proofs") };
    assert!(region.propose(Entry::Submit(other)).unwrap_err().contains("conflict"));
    let wrong_class = submit("cook/2", "urgent", "long");
    assert!(region.propose(Entry::Submit(wrong_class)).unwrap_err().contains("does not accept"));
    let declared_idempotent =
        cj_record::Submit { idempotent: true, ..submit("cook/2", "batch", "proofs") };
    assert!(
        region.propose(Entry::Submit(declared_idempotent)).unwrap_err().contains("not idempotent")
    );
    let large = cj_record::Submit { payload: vec![0; 4097], ..submit("cook/2", "batch", "proofs") };
    assert!(region.propose(Entry::Submit(large)).unwrap_err().contains("4 KiB"));
}

/// One batch must not claim a job twice with the same token, because the worker could not distinguish the attempts.
#[test]
fn a_token_is_never_issued_twice() {
    let mut region = TestRegion::new();
    region.accept(Entry::Submit(submit(JOB, "batch", "proofs")));
    let (job, token) = (id::<JobId>(JOB), Token(region.next()));
    let claim =
        |attempt, vm| Entry::Claim { job: id(JOB), attempt, target: id(vm), lease_ms: LEASE };
    let finish = Entry::Finish { job, token, outcome: not_run() };
    let verdicts = region.batch("n1", vec![claim(1, "p1"), finish, claim(2, "p2")]);
    assert!(matches!(verdicts[0], Verdict::Accepted { .. }));
    assert!(matches!(verdicts[1], Verdict::Rejected { .. }));
    assert!(matches!(verdicts[2], Verdict::Rejected { .. }));
}

#[test]
fn ended_jobs_are_kept_for_a_day() {
    let mut region = TestRegion::new();
    region.accept(Entry::Submit(submit(JOB, "batch", "proofs")));
    region.accept(Entry::Submit(submit("cook/2", "batch", "proofs")));
    region.accept(Entry::Cancel { job: id(JOB) });
    assert!(
        region.state.jobs[&id::<JobId>(JOB)].payload.is_empty(),
        "a cancelled job keeps its payload"
    );
    region.advance_time(24 * 3600 - 1);
    assert_eq!(region.state.jobs.len(), 2);
    region.advance_time(1);
    assert_eq!(region.state.jobs.keys().collect::<Vec<_>>(), [&id::<JobId>("cook/2")]);
    region.state.check_invariants().unwrap();
}
