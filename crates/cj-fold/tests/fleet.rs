//! Preconditions of fleet entries. Guards against planned acts that break a budget, a forbidden window or the
//! failure-domain rule, and against VMs that are lost between pools.

mod common;

use std::time::Duration;

use cj_fold::VmPhase;
use cj_record::*;
use cj_types::*;
use common::*;

fn wave() -> Purpose {
    Purpose::Wave(id("night"))
}

fn to(pool: &str) -> Purpose {
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
fn drain(world: &mut World, vm: &str, purpose: Purpose) -> u64 {
    let (op, entry) = (world.next(), world.drain(vm, purpose));
    world.accept(entry);
    op
}

#[track_caller]
fn refuse(world: &mut World, entry: Entry, part: &str) {
    let before = (world.state.vms.clone(), world.state.lent.clone());
    let reason = world.put(entry).expect_err(part);
    assert!(reason.contains(part), "{reason}");
    assert_eq!((&world.state.vms, &world.state.lent), (&before.0, &before.1));
    world.state.check_invariants().unwrap();
}

#[test]
fn one_vm_through_a_wave() {
    let mut world = World::new();
    let op = drain(&mut world, "p1", wave());
    refuse(&mut world, reboot("p1", op), "not drained");
    refuse(&mut world, drained("p1", op + 1), "not in this operation");
    refuse(&mut world, drained("p2", op), "not in this operation");
    world.accept(drained("p1", op));
    refuse(&mut world, rebooted("p1", op, 2), "not rebooting");
    world.accept(reboot("p1", op));
    let probe = world.health("p1", false);
    refuse(&mut world, probe, "rebooting as planned");
    let undrain = Entry::Undrain { vm: id("p1"), op: OpId(op) };
    refuse(&mut world, undrain, "neither draining nor drained");
    refuse(&mut world, rebooted("p1", op, 1), "boot id has not changed");
    world.accept(rebooted("p1", op, 2));
    assert_eq!(world.vm("p1").phase, VmPhase::Active);
    let again = world.drain("p1", wave());
    refuse(&mut world, again, "done the VM already");
}

#[test]
fn drains_hold_their_preconditions() {
    let mut world = World::new();
    let stale = Entry::Drain { vm: id("p1"), generation: Generation(9), purpose: wave() };
    refuse(&mut world, stale, "at generation 1");
    for (vm, purpose, part) in [
        ("l1", wave(), "does not cover"),
        ("p1", Purpose::Wave(id("none")), "does not exist"),
        ("p1", Purpose::Repair, "only a failed VM"),
        ("p1", to("nowhere"), "no settings"),
        ("p1", to("proofs"), "already"),
    ] {
        let entry = world.drain(vm, purpose);
        refuse(&mut world, entry, part);
    }
    let unknown = Entry::Drain { vm: id("p9"), generation: Generation(1), purpose: wave() };
    refuse(&mut world, unknown, "does not exist");
    world.set("north/wave/night/start", Some("2026-12-01T00:00:00Z"));
    let early = world.drain("p1", wave());
    refuse(&mut world, early, "not started");
    world.accept(facts("x1", "unset", "r1", "d1"));
    let unset = world.drain("x1", to("proofs"));
    refuse(&mut world, unset, "no settings");
}

#[test]
fn budget_counts_planned_and_unplanned_losses() {
    let mut world = World::new();
    let op = drain(&mut world, "p1", wave());
    let failure = world.health("p3", false);
    world.accept(failure);
    let second = world.drain("p2", wave());
    refuse(&mut world, second.clone(), "has 2 active, needs 2");
    world.accept(drained("p1", op));
    let failure = world.health("p4", false);
    world.accept(failure);
    refuse(&mut world, reboot("p1", op), "has 1 active, needs 2");
    world.accept(Entry::Undrain { vm: id("p1"), op: OpId(op) });
    assert_eq!(world.state.active(&id("proofs")).count(), 2);
    refuse(&mut world, second, "has 2 active");
}

#[test]
fn forbidden_windows_hold_for_the_whole_act() {
    let minute = 60_000;
    // The window starts at 18:00; the limits are 5 min for the drain and 10 min for the reboot.
    for (at, allowed) in [(17 * 60 + 44, true), (17 * 60 + 45, false), (18 * 60 + 30, false)] {
        let mut world = World::at(NOON - 12 * 60 * minute + at * minute);
        let entry = world.drain("p1", wave());
        assert_eq!(world.put(entry).is_ok(), allowed, "minute {at}");
    }
    let mut world = World::at(NOON + 5 * 60 * minute + 40 * minute);
    let op = drain(&mut world, "p1", wave());
    world.accept(drained("p1", op));
    world.wait(15 * 60);
    refuse(&mut world, reboot("p1", op), "forbidden window");
    let outside = world.drain("l1", to("proofs"));
    world.accept(outside);
}

/// Fold time lags after an outage; the proposer's own clock then shows that a window is near.
#[test]
fn forbidden_windows_hold_while_fold_time_lags() {
    let mut world = World::new();
    world.now += 6 * 3_600_000;
    let entry = world.drain("p1", wave());
    refuse(&mut world, entry, "forbidden window");
}

#[test]
fn one_failure_domain_at_a_time() {
    let mut world = World::new();
    world.set("north/pool/proofs/min_available", Some("0"));
    drain(&mut world, "p1", wave());
    let other_rack = world.drain("p3", wave());
    refuse(&mut world, other_rack, "another failure domain");
    drain(&mut world, "p2", wave());
    let mut world = World::new();
    world.set("north/wave/night/domain", Some("data-centre"));
    drain(&mut world, "p1", wave());
    let other_centre = world.drain("p4", wave());
    refuse(&mut world, other_centre, "another failure domain");
    drain(&mut world, "p3", wave());
}

#[test]
fn moves_are_one_record_and_lending_is_billed() {
    let mut world = World::new();
    for (vm, pool, part) in [
        ("s1", "long", "does not borrow"),
        ("s1", "nowhere", "no settings"),
        ("s1", "reserve", "already"),
        ("p1", "long", "neither drained"),
    ] {
        let entry = world.move_entry(vm, pool);
        refuse(&mut world, entry, part);
    }
    let wrong =
        Entry::Move { vm: id("s1"), generation: Generation(1), from: id("long"), to: id("proofs") };
    refuse(&mut world, wrong, "is in pool");
    let lend = world.move_entry("s1", "proofs");
    world.accept(lend.clone());
    refuse(&mut world, lend, "generation");
    assert_eq!(
        (world.vm("s1").pool.as_str(), world.vm("s1").home.clone()),
        ("proofs", Some(id("reserve")))
    );
    world.wait(20);
    let early = world.drain("s1", to("reserve"));
    refuse(&mut world, early, "hysteresis");
    world.wait(20);
    world.set("north/pool/proofs/owner", Some("recipes"));
    world.wait(20);
    let op = drain(&mut world, "s1", to("reserve"));
    world.accept(drained("s1", op));
    let elsewhere = world.move_entry("s1", "long");
    refuse(&mut world, elsewhere, "neither drained");
    let back = world.move_entry("s1", "reserve");
    world.accept(back);
    assert_eq!(world.vm("s1").home, None);
    let billed = |team: &str| world.state.lent_total()[&id::<TeamId>(team)];
    assert_eq!(billed("prints"), Duration::from_secs(40));
    assert_eq!(billed("recipes"), Duration::from_secs(20));
    assert_eq!(world.state.lent_moves[&id::<TeamId>("prints")], 1);
    assert_eq!(world.state.lent_moves[&id::<TeamId>("recipes")], 1);
    let again = world.move_entry("s1", "proofs");
    refuse(&mut world, again, "hysteresis");
    for vm in ["s2", "s3"] {
        let entry = world.move_entry(vm, "proofs");
        let result = world.put(entry);
        assert!(result.is_ok(), "{vm}: {result:?}");
    }
    world.wait(60);
    let last = world.move_entry("s1", "proofs");
    refuse(&mut world, last, "has 1 active, needs 1");
}

/// A job that is claimed on a VM must not be cut off by a planned act.
#[test]
fn a_claimed_job_holds_its_vm() {
    let mut world = World::new();
    let job = Submit { claim: Some((id("p1"), 60_000)), ..submit("cook/1", "batch", "proofs") };
    let token = Token(world.next());
    world.accept(Entry::Submit(job));
    let op = drain(&mut world, "p1", wave());
    refuse(&mut world, drained("p1", op), "claimed on the VM");
    let outcome = Outcome::Done { status: 200, answer: vec![] };
    world.accept(Entry::Finish { job: id("cook/1"), token, outcome });
    world.accept(drained("p1", op));
    world.set("north/pool/reserve/classes", Some("batch"));
    let job = Submit { claim: Some((id("s1"), 60_000)), ..submit("cook/2", "batch", "reserve") };
    world.accept(Entry::Submit(job));
    let lend = world.move_entry("s1", "proofs");
    refuse(&mut world, lend, "claimed on the VM");
}

/// One batch must not start two operations of a VM under one id, because the platform takes the id for a repetition.
#[test]
fn an_operation_id_is_never_used_twice() {
    let mut world = World::new();
    let op = world.next();
    let generation = world.vm("p1").generation.next().next();
    let again = Entry::Drain { vm: id("p1"), generation, purpose: wave() };
    let undrain = Entry::Undrain { vm: id("p1"), op: OpId(op) };
    let first = world.drain("p1", wave());
    let verdicts = world.batch("n1", vec![first, undrain, again]);
    let accepted = |v: &cj_fold::Verdict| matches!(v, cj_fold::Verdict::Accepted { .. });
    assert_eq!(verdicts.iter().map(accepted).collect::<Vec<_>>(), [true, false, false]);
}

#[test]
fn failures_and_repairs() {
    let mut world = World::new();
    let healthy = world.health("p1", true);
    refuse(&mut world, healthy, "has not failed");
    let op = drain(&mut world, "p1", wave());
    let failure = world.health("p1", false);
    world.accept(failure);
    refuse(&mut world, drained("p1", op), "not in this operation");
    let failure = world.health("p1", false);
    refuse(&mut world, failure, "known to have failed");
    let op = drain(&mut world, "p1", Purpose::Repair);
    world.accept(Entry::Undrain { vm: id("p1"), op: OpId(op) });
    assert!(matches!(world.vm("p1").phase, VmPhase::Failed { .. }));
    let op = drain(&mut world, "p1", Purpose::Repair);
    world.accept(drained("p1", op));
    world.accept(reboot("p1", op));
    world.accept(rebooted("p1", op, 2));
    assert_eq!(world.vm("p1").phase, VmPhase::Active);
}

/// An old boot id from the lagging VM list would later pass for evidence of a reboot.
#[test]
fn the_vm_list_changes_neither_boot_id_nor_pool() {
    let mut world = World::new();
    let Entry::Register(listed) = facts("p1", "long", "r9", "d1") else { unreachable!() };
    world.accept(Entry::Register(VmFacts { boot: BootId(0), ..listed }));
    let vm = world.vm("p1");
    assert_eq!((vm.boot, vm.pool.as_str(), vm.rack.as_str()), (BootId(1), "proofs", "r9"));
    world.state.check_invariants().unwrap();
}

#[test]
fn repeated_failures_take_a_limited_number_out() {
    let mut world = World::new();
    let take_out = |world: &World, vm: &str| Entry::TakeOut {
        vm: id(vm),
        generation: world.vm(vm).generation,
    };
    for vm in ["p1", "p2"] {
        for round in 0..3 {
            let entry = take_out(&world, vm);
            refuse(&mut world, entry, &format!("failed {round} times"));
            for healthy in [false, true] {
                let entry = world.health(vm, healthy);
                world.accept(entry);
            }
        }
    }
    let entry = take_out(&world, "p1");
    world.accept(entry);
    let entry = take_out(&world, "p2");
    refuse(&mut world, entry, "1 of 4 VMs are out");
    let failure = world.health("p1", false);
    refuse(&mut world, failure, "out of rotation");
    let generation = world.vm("p1").generation;
    world.accept(Entry::PutBack { vm: id("p1"), generation });
    world.wait(24 * 3600);
    let entry = take_out(&world, "p2");
    refuse(&mut world, entry, "failed 0 times");
    let generation = world.vm("p1").generation;
    refuse(&mut world, Entry::Remove { vm: id("p1"), generation }, "in service");
    let failure = world.health("p1", false);
    world.accept(failure);
    let generation = world.vm("p1").generation;
    world.accept(Entry::Remove { vm: id("p1"), generation });
    assert_eq!(world.state.members(&id("proofs")).count(), 3);
}
