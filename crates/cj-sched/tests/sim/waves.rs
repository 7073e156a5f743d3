//! Maintenance waves that name the same VMs, under takeovers and lost, late and refused commands.

use cj_types::VmId;
use rand::Rng;

use crate::world::{Faults, World, step};

/// Delays of the list of VMs, in ms, of which each seed has one.
const LIST_DELAYS_MS: [u64; 3] = [5, 600, 2_000];

/// Time by which all waves of a seed are completed, in ms.
const MAX_MS: u64 = 100_000;

/// VMs in a pool and in the spare pool, under an owner that has just taken over.
fn world(seed: u64) -> World {
    let mut world = World::new(seed);
    for n in 0..4 {
        world.add_worker(&format!("r{n}"), "red", &format!("rack-{n}"));
        world.add_worker(&format!("s{n}"), "spare", &format!("rack-{n}"));
    }
    world.refuses_repeats = seed % 2 == 1;
    world.vm_list_ms = LIST_DELAYS_MS[seed as usize % LIST_DELAYS_MS.len()];
    world.take_over(false);
    world.run_for(1_500);
    world
}

/// All VMs, or each of them with a probability of one half.
fn draw_vms(world: &mut World) -> Vec<VmId> {
    let mut vms: Vec<_> = world.workers.iter().map(|worker| worker.vm.clone()).collect();
    if world.rng.random_bool(0.5) {
        vms.retain(|_| world.rng.random_bool(0.5));
    }
    vms
}

/// Guards against a wave that is reported as completed although the maintenance of one of its VMs was for another wave. The world
/// checks each report.
#[test]
fn overlapping_waves_each_have_their_own_maintenance() {
    for seed in 0..60 {
        let mut world = world(seed);
        if seed % 4 != 0 {
            world.faults = Faults { lost_answer: 0.1, ..Faults::few() };
        }
        let mut requested = Vec::new();
        for job in 0..6 {
            world.submit(job, "red", vec![step(6, 2_000, 800)]);
            let vms = draw_vms(&mut world);
            requested.push(world.start_wave_of(vms, 4));
            let pause = world.rng.random_range(100..1_200);
            world.run_for(pause);
            if seed % 3 == 2 && job % 2 == 1 {
                let graceful = world.rng.random_bool(0.5);
                world.take_over(graceful);
            }
        }
        world.faults = Faults::default();
        let is_over = |world: &World| world.completed_waves.iter().eq(&requested);
        while !is_over(&world) {
            world.run_for(1_000);
            assert!(world.now < MAX_MS, "seed {seed}: {:?} are completed", world.completed_waves);
        }
    }
}
