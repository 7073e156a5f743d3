//! Lists of VMs that arrive late.

use std::rc::Rc;

use cj_sched::{
    Action, Event, Pool, StepSpec,
    sched::{VmAnswer, VmRow, VmState},
};
use cj_types::VmId;

use crate::{
    decisions::{Harness, config},
    world::{service, step},
};

/// VMs that the scheduler moves within `ms`.
fn moved(harness: &mut Harness, ms: u64) -> Vec<VmId> {
    let mut moved = Vec::new();
    for _ in 0..ms / 100 {
        for action in harness.poll_after(100) {
            if let Action::MoveVm(vm, ..) = action {
                moved.push(vm);
            }
        }
        harness.list_worker(0, Vec::new());
    }
    moved
}

/// A worker and a VM in the spare pool, and steps that need both. Returns the VM, whose move is requested.
fn with_requested_move() -> (Harness, VmId) {
    let mut harness = Harness::new(&["r0"], None);
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(with_spare)));
    let vm = VmId::try_from("vm-spare").unwrap();
    let pool = service("spare");
    let state = VmState::Up;
    let parked = VmRow { vm: vm.clone(), pool, state, worker: None, ..harness.vm_rows[0].clone() };
    harness.vm_rows.push(parked);
    let lasting = StepSpec { long_running: true, ..step(1, 6_000, 0) };
    harness.submit(1, vec![lasting; 2], None);
    harness.handle(Event::VmsListed(harness.now().mono, harness.vm_rows.clone()));
    assert_eq!(moved(&mut harness, 1_000).first(), Some(&vm));
    (harness, vm)
}

/// Guards against a VM that counts as moved, or as refused, by an answer to a command for another destination or to a repeated one.
#[test]
fn only_the_answer_to_the_present_move_counts() {
    let (mut harness, vm) = with_requested_move();
    for answer in [VmAnswer::Done, VmAnswer::NotUp] {
        harness.handle(Event::Moved(vm.clone(), service("blue"), answer));
    }
    assert_eq!(moved(&mut harness, 1_000).first(), Some(&vm), "the command is repeated");
    let requested = harness.now().mono;
    harness.elapsed_ms += 100;
    for answer in [VmAnswer::Done, VmAnswer::NotUp] {
        harness.handle(Event::Moved(vm.clone(), service("red"), answer));
    }
    harness.handle(Event::VmsListed(requested, harness.vm_rows.clone()));
    assert!(moved(&mut harness, 1_000).is_empty(), "the VM moves, and the list is older");
}

/// Guards against a VM that is moved again, and its tasks ended, because a list from before its move shows it in the spare pool.
#[test]
fn a_list_of_vms_from_before_a_move_does_not_move_the_vm_again() {
    let (mut harness, vm) = with_requested_move();
    let requested = harness.now().mono;
    harness.elapsed_ms += 100;
    harness.handle(Event::Moved(vm.clone(), service("red"), VmAnswer::Done));
    assert!(moved(&mut harness, 4_000).is_empty());
    harness.handle(Event::VmsListed(requested, harness.vm_rows.clone()));
    assert!(moved(&mut harness, 1_000).is_empty(), "the list is older than the move");
    harness.handle(Event::VmsListed(harness.now().mono, harness.vm_rows.clone()));
    assert_eq!(moved(&mut harness, 1_000).first(), Some(&vm), "a later list shows it parked");
}
