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

/// Guards against a VM that is moved again, and its tasks ended, because a list from before its move shows it in the spare pool.
#[test]
fn a_list_of_vms_from_before_a_move_does_not_move_the_vm_again() {
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
    let requested = harness.now().mono;
    harness.elapsed_ms += 100;
    harness.handle(Event::Moved(vm.clone(), VmAnswer::Done));
    assert!(moved(&mut harness, 4_000).is_empty());
    harness.handle(Event::VmsListed(requested, harness.vm_rows.clone()));
    assert!(moved(&mut harness, 1_000).is_empty(), "the list is older than the move");
    harness.handle(Event::VmsListed(harness.now().mono, harness.vm_rows.clone()));
    assert_eq!(moved(&mut harness, 1_000).first(), Some(&vm), "a later list shows it parked");
}
