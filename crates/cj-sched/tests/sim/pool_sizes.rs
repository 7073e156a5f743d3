//! Pools while demand rises and falls: which VMs are free for the next pool, and when.

use std::{rc::Rc, time::Duration};

use cj_sched::{
    Action, Event, JobKey, Pool, StepSpec, TaskId,
    sched::{Policies, VmAnswer, VmState, WaveSpec, WorkerId},
};
use cj_types::VmId;

use crate::{
    decisions::{Harness, config, starts},
    world::{World, service, step},
};

/// Time that a VM takes to move, as in the limits of the harness.
const MOVE_MS: u64 = 1_500;

fn with_spare_pool(harness: &mut Harness) {
    let mut with_spare = (*config(None)).clone();
    with_spare.pools.insert(service("spare"), Pool { rejects_overload: true, spare: true });
    harness.handle(Event::Config(Rc::new(with_spare)));
}

/// Polls for `ms`, answers moves as done, and returns the VMs that moved to each pool. The list of VMs stays as it is.
fn moves(harness: &mut Harness, ms: u64) -> Vec<(VmId, String)> {
    let mut moved = Vec::new();
    for _ in 0..ms / 50 {
        for action in harness.poll_after(50) {
            if let Action::MoveVm(vm, to, _) = action {
                harness.handle(Event::Moved(vm.clone(), to.clone(), VmAnswer::Done));
                moved.push((vm, to.to_string()));
            }
        }
        for worker in 0..harness.workers.len() {
            harness.list_worker(worker, Vec::new());
        }
    }
    moved
}

/// Moves of VMs within two seconds of a surge that begins once VMs were parked, while the list of VMs still shows the time before.
fn moves_to_surge(policies: Policies) -> usize {
    let mut harness = Harness::new(&["r1", "r2", "r3", "r4", "r5", "r6"], None);
    harness.scheduler.set_policies(policies);
    with_spare_pool(&mut harness);
    let parked = moves(&mut harness, 3_000);
    assert!(parked.len() >= 3 && parked.iter().all(|(_, to)| to == "spare"), "{parked:?}");
    moves(&mut harness, MOVE_MS);
    for key in 0..20 {
        harness.submit(key, vec![step(4, 2_000, 700)], None);
    }
    moves(&mut harness, 2_000).iter().filter(|(_, to)| to == "red").count()
}

/// Guards against a surge that waits for seconds for VMs that this owner has parked, because the list of VMs comes late.
#[test]
fn vms_that_were_just_parked_are_used_before_the_list_shows_them() {
    assert!(moves_to_surge(Policies::default()) >= 3);
    assert_eq!(moves_to_surge("handover".parse().unwrap()), 0);
}

/// Guards against a parked VM that is lost to the fleet because the platform refuses to move it again so soon.
#[test]
fn a_refused_move_of_a_parked_vm_is_tried_again_once_the_list_shows_it() {
    let mut harness = Harness::new(&["r1", "r2", "r3", "r4", "r5", "r6"], None);
    with_spare_pool(&mut harness);
    let parked = moves(&mut harness, 3_000);
    moves(&mut harness, MOVE_MS);
    for key in 0..20 {
        harness.submit(key, vec![step(4, 2_000, 700)], None);
    }
    let mut refused = Vec::new();
    for _ in 0..20 {
        for action in harness.poll_after(50) {
            if let Action::MoveVm(vm, to, _) = action {
                harness.handle(Event::Moved(vm.clone(), to, VmAnswer::NotUp));
                refused.push(vm);
            }
        }
    }
    let count = refused.len();
    refused.sort();
    refused.dedup();
    assert!(count >= 1 && count == refused.len(), "refused once each: {count}");
    let mut rows = harness.vm_rows.clone();
    for row in rows.iter_mut().filter(|row| parked.iter().any(|(vm, _)| *vm == row.vm)) {
        row.pool = service("spare");
        row.worker = None;
    }
    harness.handle(Event::VmsListed(harness.now().mono, rows));
    let moved = moves(&mut harness, 500);
    assert!(moved.iter().any(|(vm, to)| to == "red" && refused.contains(vm)), "{moved:?}");
}

/// VM seconds of a pool in which long tasks and short ones mix while its demand falls.
fn vm_seconds_after_peak(policies: Policies) -> f64 {
    let mut total = 0.0;
    for seed in 0..6 {
        let mut world = World::new(seed);
        world.policies = policies;
        for n in 0..24 {
            world.add_worker(&format!("r{n}"), "red", &format!("rack-{}", n % 4));
        }
        world.add_worker("b0", "blue", "rack-9");
        world.add_worker("s0", "spare", "rack-9");
        world.take_over(false);
        world.run_for(300);
        for key in 0..120 {
            let (tasks, ms) = if key % 4 == 0 { (2, 5_000) } else { (8, 500) };
            for index in 0..tasks {
                let task = TaskId { job: JobKey(key), occurrence: 0, step: 0, index };
                world.run_times.insert(task, ms);
            }
            world.submit(key, "red", vec![step(tasks, 1_500, ms)]);
            world.run_for(20 + key);
        }
        world.run_for(12_000);
        total += world.pool_vm_ms as f64 / 1_000.0;
    }
    total
}

/// Guards against VMs that are each held by one slow task while the demand of their pool falls.
#[test]
fn placement_by_lifetime_frees_vms_sooner() {
    let with = vm_seconds_after_peak(Policies::default());
    let without = vm_seconds_after_peak("lifetime".parse().unwrap());
    assert!(with < without, "VM seconds: {with:.0} with, {without:.0} without");
}

/// Guards against a wave that is late because a single slow task holds a VM until after its end.
#[test]
fn a_draining_vm_goes_into_maintenance_before_the_end_of_its_wave() {
    let mut harness = Harness::new(&["r1", "r2", "r3"], None);
    harness.submit(1, vec![StepSpec { ..step(1, 1_000, 60_000) }], None);
    let actions = harness.poll_after(10);
    let worker = starts(&actions)[0].0.worker.clone();
    let index = harness.workers.iter().position(|id: &WorkerId| *id == worker).unwrap();
    let vm = harness.vm_rows[index].vm.clone();
    assert_eq!(harness.vm_rows[index].state, VmState::Up);
    let duration = Duration::from_secs(6);
    let wave = WaveSpec { number: 1, vms: vec![vm.clone()], duration, cap: 1 };
    harness.handle(Event::Wave(wave, Default::default()));
    let mut begun_ms = None;
    for _ in 0..120 {
        for action in harness.poll_after(50) {
            match action {
                Action::Write(number, _) => harness.handle(Event::Written(number)),
                Action::MaintainVm(maintained, ..) if maintained == vm => {
                    begun_ms.get_or_insert(harness.elapsed_ms);
                }
                _ => {}
            }
        }
        let rows = harness.vm_rows.clone();
        harness.handle(Event::VmsListed(harness.now().mono, rows));
    }
    let begun_ms = begun_ms.expect("the maintenance begins before the end of the wave");
    assert!((4_000..6_000).contains(&begun_ms), "begun after {begun_ms} ms");
}
