//! Preconditions of fleet entries. Guards against planned operations that break an availability budget, a forbidden
//! window or the failure-domain rule, and against VMs that end up in no pool.

mod common;

use std::time::Duration;

use cj_fold::VmPhase;
use cj_record::*;
use cj_types::*;
use common::*;

fn night_wave() -> Purpose {
    Purpose::Wave(id("night"))
}

fn move_to(pool: &str) -> Purpose {
    Purpose::Move(id(pool))
}

fn drained(vm: &str, op: u64) -> Entry {
    Entry::Drained { vm: id(vm), op: OpId(op) }
}

fn reboot(vm: &str, op: u64) -> Entry {
    Entry::Reboot { vm: id(vm), op: OpId(op) }
}

fn rebooted(vm: &str, op: u64, boot: u64) -> Entry {
    Entry::Rebooted { vm: id(vm), op: OpId(op), boot: BootId(boot) }
}

/// Drains a VM and returns the operation.
fn drain(region: &mut TestRegion, vm: &str, purpose: Purpose) -> u64 {
    let (op, entry) = (region.next(), region.drain(vm, purpose));
    region.accept(entry);
    op
}

#[track_caller]
fn assert_rejected(region: &mut TestRegion, entry: Entry, part: &str) {
    let before = (region.state.vms.clone(), region.state.lent.clone());
    let reason = region.propose(entry).expect_err(part);
    assert!(reason.contains(part), "{reason}");
    assert_eq!((&region.state.vms, &region.state.lent), (&before.0, &before.1));
    region.state.check_invariants().unwrap();
}

#[test]
fn a_wave_drains_and_reboots_a_vm_once() {
    let mut region = TestRegion::new();
    let op = drain(&mut region, "p1", night_wave());
    assert_rejected(&mut region, reboot("p1", op), "not drained");
    assert_rejected(&mut region, drained("p1", op + 1), "not in this operation");
    assert_rejected(&mut region, drained("p2", op), "not in this operation");
    region.accept(drained("p1", op));
    assert_rejected(&mut region, rebooted("p1", op, 2), "not rebooting");
    region.accept(reboot("p1", op));
    let probe = region.health("p1", false);
    assert_rejected(&mut region, probe, "rebooting as planned");
    let undrain = Entry::Undrain { vm: id("p1"), op: OpId(op) };
    assert_rejected(&mut region, undrain, "neither draining nor drained");
    assert_rejected(&mut region, rebooted("p1", op, 1), "boot id has not changed");
    region.accept(rebooted("p1", op, 2));
    assert_eq!(region.vm("p1").phase, VmPhase::Active);
    let again = region.drain("p1", night_wave());
    assert_rejected(&mut region, again, "done the VM already");
}

#[test]
fn drains_check_their_preconditions() {
    let mut region = TestRegion::new();
    let stale = Entry::Drain { vm: id("p1"), generation: Generation(9), purpose: night_wave() };
    assert_rejected(&mut region, stale, "at generation 1");
    for (vm, purpose, part) in [
        ("l1", night_wave(), "does not cover"),
        ("p1", Purpose::Wave(id("none")), "does not exist"),
        ("p1", Purpose::Repair, "only a failed VM"),
        ("p1", move_to("nowhere"), "no settings"),
        ("p1", move_to("proofs"), "already"),
    ] {
        let entry = region.drain(vm, purpose);
        assert_rejected(&mut region, entry, part);
    }
    let unknown = Entry::Drain { vm: id("p9"), generation: Generation(1), purpose: night_wave() };
    assert_rejected(&mut region, unknown, "does not exist");
    region.publish("north/wave/night/start", Some("2026-12-01T00:00:00Z"));
    let early = region.drain("p1", night_wave());
    assert_rejected(&mut region, early, "not started");
    region.accept(facts("x1", "unset", "r1", "d1"));
    let unset = region.drain("x1", move_to("proofs"));
    assert_rejected(&mut region, unset, "no settings");
}

#[test]
fn budget_counts_planned_and_unplanned_losses() {
    let mut region = TestRegion::new();
    let op = drain(&mut region, "p1", night_wave());
    let failure = region.health("p3", false);
    region.accept(failure);
    let second = region.drain("p2", night_wave());
    assert_rejected(&mut region, second.clone(), "has 2 active, needs 2");
    region.accept(drained("p1", op));
    let failure = region.health("p4", false);
    region.accept(failure);
    assert_rejected(&mut region, reboot("p1", op), "has 1 active, needs 2");
    region.accept(Entry::Undrain { vm: id("p1"), op: OpId(op) });
    assert_eq!(region.state.active_vms(&id("proofs")).count(), 2);
    assert_rejected(&mut region, second, "has 2 active");
}

#[test]
fn forbidden_windows_hold_for_the_whole_operation() {
    let minute = 60_000;
    // The window starts at 18:00; the limits are 5 min for the drain and 10 min for the reboot.
    for (at, allowed) in [(17 * 60 + 44, true), (17 * 60 + 45, false), (18 * 60 + 30, false)] {
        let mut region = TestRegion::at(NOON - 12 * 60 * minute + at * minute);
        let entry = region.drain("p1", night_wave());
        assert_eq!(region.propose(entry).is_ok(), allowed, "minute {at}");
    }
    let mut region = TestRegion::at(NOON + 5 * 60 * minute + 40 * minute);
    let op = drain(&mut region, "p1", night_wave());
    region.accept(drained("p1", op));
    region.advance_time(15 * 60);
    assert_rejected(&mut region, reboot("p1", op), "forbidden window");
    let outside = region.drain("l1", move_to("proofs"));
    region.accept(outside);
}

/// After an outage fold time lags, and only the proposer's clock shows that a forbidden window is near.
#[test]
fn forbidden_windows_hold_while_fold_time_lags() {
    let mut region = TestRegion::new();
    region.now += 6 * 3_600_000;
    let entry = region.drain("p1", night_wave());
    assert_rejected(&mut region, entry, "forbidden window");
}

#[test]
fn drains_share_one_failure_domain() {
    let mut region = TestRegion::new();
    region.publish("north/pool/proofs/min_available", Some("0"));
    drain(&mut region, "p1", night_wave());
    let other_rack = region.drain("p3", night_wave());
    assert_rejected(&mut region, other_rack, "another failure domain");
    drain(&mut region, "p2", night_wave());
    let mut region = TestRegion::new();
    region.publish("north/wave/night/domain", Some("data-centre"));
    drain(&mut region, "p1", night_wave());
    let other_centre = region.drain("p4", night_wave());
    assert_rejected(&mut region, other_centre, "another failure domain");
    drain(&mut region, "p3", night_wave());
}

#[test]
fn moves_are_atomic_and_loans_are_billed() {
    let mut region = TestRegion::new();
    for (vm, pool, part) in [
        ("s1", "long", "does not borrow"),
        ("s1", "nowhere", "no settings"),
        ("s1", "reserve", "already"),
        ("p1", "long", "neither drained"),
    ] {
        let entry = region.move_entry(vm, pool);
        assert_rejected(&mut region, entry, part);
    }
    let wrong =
        Entry::Move { vm: id("s1"), generation: Generation(1), from: id("long"), to: id("proofs") };
    assert_rejected(&mut region, wrong, "is in pool");
    let lend = region.move_entry("s1", "proofs");
    region.accept(lend.clone());
    assert_rejected(&mut region, lend, "generation");
    assert_eq!(
        (region.vm("s1").pool.as_str(), region.vm("s1").home.clone()),
        ("proofs", Some(id("reserve")))
    );
    region.advance_time(20);
    let early = region.drain("s1", move_to("reserve"));
    assert_rejected(&mut region, early, "hysteresis");
    region.advance_time(20);
    region.publish("north/pool/proofs/owner", Some("recipes"));
    region.advance_time(20);
    let op = drain(&mut region, "s1", move_to("reserve"));
    region.accept(drained("s1", op));
    let elsewhere = region.move_entry("s1", "long");
    assert_rejected(&mut region, elsewhere, "neither drained");
    let back = region.move_entry("s1", "reserve");
    region.accept(back);
    assert_eq!(region.vm("s1").home, None);
    let billed = |team: &str| region.state.lent_total()[&id::<TeamId>(team)];
    assert_eq!(billed("prints"), Duration::from_secs(40));
    assert_eq!(billed("recipes"), Duration::from_secs(20));
    assert_eq!(region.state.lent_moves[&id::<TeamId>("prints")], 1);
    assert_eq!(region.state.lent_moves[&id::<TeamId>("recipes")], 1);
    let again = region.move_entry("s1", "proofs");
    assert_rejected(&mut region, again, "hysteresis");
    for vm in ["s2", "s3"] {
        let entry = region.move_entry(vm, "proofs");
        let result = region.propose(entry);
        assert!(result.is_ok(), "{vm}: {result:?}");
    }
    region.advance_time(60);
    let last = region.move_entry("s1", "proofs");
    assert_rejected(&mut region, last, "has 1 active, needs 1");
}

/// A planned operation must not interrupt a job that is claimed on the VM.
#[test]
fn a_claimed_job_blocks_the_drain_and_move_of_its_vm() {
    let mut region = TestRegion::new();
    let job = Submit { claim: Some((id("p1"), 60_000)), ..submit("cook/1", "batch", "proofs") };
    let token = Token(region.next());
    region.accept(Entry::Submit(job));
    let op = drain(&mut region, "p1", night_wave());
    assert_rejected(&mut region, drained("p1", op), "claimed on the VM");
    let outcome = Outcome::Done { status: 200, answer: vec![] };
    region.accept(Entry::Finish { job: id("cook/1"), token, outcome });
    region.accept(drained("p1", op));
    region.publish("north/pool/reserve/classes", Some("batch"));
    let job = Submit { claim: Some((id("s1"), 60_000)), ..submit("cook/2", "batch", "reserve") };
    region.accept(Entry::Submit(job));
    let lend = region.move_entry("s1", "proofs");
    assert_rejected(&mut region, lend, "claimed on the VM");
}

/// One batch must not start two operations of a VM with the same id, because the platform would treat the second one as
/// a repetition of the first.
#[test]
fn an_operation_id_is_never_used_twice() {
    let mut region = TestRegion::new();
    let op = region.next();
    let generation = region.vm("p1").generation.next().next();
    let again = Entry::Drain { vm: id("p1"), generation, purpose: night_wave() };
    let undrain = Entry::Undrain { vm: id("p1"), op: OpId(op) };
    let first = region.drain("p1", night_wave());
    let verdicts = region.batch("n1", vec![first, undrain, again]);
    let accepted = |v: &cj_fold::Verdict| matches!(v, cj_fold::Verdict::Accepted { .. });
    assert_eq!(verdicts.iter().map(accepted).collect::<Vec<_>>(), [true, false, false]);
}

#[test]
fn failures_and_repairs() {
    let mut region = TestRegion::new();
    let healthy = region.health("p1", true);
    assert_rejected(&mut region, healthy, "has not failed");
    let op = drain(&mut region, "p1", night_wave());
    let failure = region.health("p1", false);
    region.accept(failure);
    assert_rejected(&mut region, drained("p1", op), "not in this operation");
    let failure = region.health("p1", false);
    assert_rejected(&mut region, failure, "known to have failed");
    let op = drain(&mut region, "p1", Purpose::Repair);
    region.accept(Entry::Undrain { vm: id("p1"), op: OpId(op) });
    assert!(matches!(region.vm("p1").phase, VmPhase::Failed { .. }));
    let op = drain(&mut region, "p1", Purpose::Repair);
    region.accept(drained("p1", op));
    region.accept(reboot("p1", op));
    region.accept(rebooted("p1", op, 2));
    assert_eq!(region.vm("p1").phase, VmPhase::Active);
}

/// The platform's list lags; an outdated boot id from it would later be taken as evidence of a reboot.
#[test]
fn the_vm_list_changes_neither_boot_id_nor_pool() {
    let mut region = TestRegion::new();
    let Entry::Register(listed) = facts("p1", "long", "r9", "d1") else { unreachable!() };
    region.accept(Entry::Register(VmFacts { boot: BootId(0), ..listed }));
    let vm = region.vm("p1");
    assert_eq!((vm.boot, vm.pool.as_str(), vm.rack.as_str()), (BootId(1), "proofs", "r9"));
    region.state.check_invariants().unwrap();
}

#[test]
fn repeated_failures_take_a_limited_number_of_vms_out() {
    let mut region = TestRegion::new();
    let take_out = |region: &TestRegion, vm: &str| Entry::TakeOut {
        vm: id(vm),
        generation: region.vm(vm).generation,
    };
    for vm in ["p1", "p2"] {
        for round in 0..3 {
            let entry = take_out(&region, vm);
            assert_rejected(&mut region, entry, &format!("failed {round} times"));
            for healthy in [false, true] {
                let entry = region.health(vm, healthy);
                region.accept(entry);
            }
        }
    }
    let entry = take_out(&region, "p1");
    region.accept(entry);
    let entry = take_out(&region, "p2");
    assert_rejected(&mut region, entry, "1 of 4 VMs are out");
    let failure = region.health("p1", false);
    assert_rejected(&mut region, failure, "out of rotation");
    let generation = region.vm("p1").generation;
    region.accept(Entry::PutBack { vm: id("p1"), generation });
    region.advance_time(24 * 3600);
    let entry = take_out(&region, "p2");
    assert_rejected(&mut region, entry, "failed 0 times");
    let generation = region.vm("p1").generation;
    assert_rejected(&mut region, Entry::Remove { vm: id("p1"), generation }, "in service");
    let failure = region.health("p1", false);
    region.accept(failure);
    let generation = region.vm("p1").generation;
    region.accept(Entry::Remove { vm: id("p1"), generation });
    assert_eq!(region.state.members(&id("proofs")).count(), 3);
}
