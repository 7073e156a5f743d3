//! Tests of the rules of placement, and of its reaction to faulty workers and jobs.

use std::collections::{BTreeMap, BTreeSet};

use cj_place::{Choice, Placer, ReliefStep};
use cj_record::Entry;
use cj_types::{JobId, Resources, VmId};
use quickcheck::{QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::{TestRegion, id, size};

fn target(choice: Choice) -> VmId {
    match choice {
        Choice::Target { vm, candidates, .. } => {
            assert_eq!(candidates[0], vm, "the chosen worker is the first candidate");
            vm
        }
        other => panic!("no target: {other:?}"),
    }
}

fn choose(region: &TestRegion, placer: &Placer, job: &str) -> Choice {
    placer.choose_and_reserve(&region.state, &id::<JobId>(job), region.job(job), region.now)
}

/// Runs a job to its end on the chosen worker.
fn run(
    region: &mut TestRegion,
    placer: &Placer,
    job: &str,
    succeeds: impl Fn(&VmId) -> bool,
) -> VmId {
    let vm = target(choose(region, placer, job));
    let token = region.claim(job, &vm);
    region.advance(1);
    // Lets a scan see the claim before the job ends.
    placer.choose(&region.state, region.job(job), region.now);
    region.finish(job, token, succeeds(&vm));
    region.advance(1);
    vm
}

/// Runs jobs on all workers at once, so that each has a success.
fn run_on_all_workers(region: &mut TestRegion, placer: &Placer, demand: Resources) {
    let count = region.state.vms.len() * 2;
    let jobs: Vec<String> = (0..count).map(|n| format!("prove/{n}")).collect();
    let mut running = Vec::new();
    for name in &jobs {
        region.submit(name, demand);
        let vm = target(choose(region, placer, name));
        running.push((name, region.claim(name, &vm), vm));
    }
    let used: BTreeSet<&VmId> = running.iter().map(|r| &r.2).collect();
    assert_eq!(used.len(), region.state.vms.len(), "the load is spread over all workers");
    region.advance(1);
    placer.choose(&region.state, region.job(jobs[0].as_str()), region.now);
    for (name, token, _) in running {
        region.finish(name, token, true);
    }
    region.advance(1);
}

/// A placer that has observed that printing uses 2 cores and 4 GiB, whatever is declared.
fn trained_placer(region: &mut TestRegion) -> Placer {
    let mut placer = Placer::new();
    for n in 0..10 {
        let job = format!("teacher/{n}");
        region.submit(&job, size(1, 1, 0));
        placer.observe(&region.report("w0", &[(&job, size(2, 4, 0))]));
        region.put(Entry::Cancel { job: id(&job) });
        region.advance(1);
    }
    placer.observe(&region.report("w0", &[]));
    placer
}

/// Guards against a job that waits forever because no worker could ever hold it, and against the refusal of one that
/// fits by its observed usage.
#[test]
fn unplaceable_needs_evidence() {
    let cases = [
        (size(16, 64, 0), false, false),
        (size(17, 1, 0), false, true),
        (size(1, 65, 0), false, true),
        (size(1, 1, 1), false, true),
        (size(160, 640, 0), true, false),
        (size(1, 1, 1), true, true),
    ];
    for (demand, trained, unplaceable) in cases {
        let mut region = TestRegion::new(4);
        let placer = if trained { trained_placer(&mut region) } else { Placer::new() };
        region.submit("a/1", demand);
        let choice = choose(&region, &placer, "a/1");
        assert_eq!(
            matches!(choice, Choice::Unplaceable { .. }),
            unplaceable,
            "{demand}: {choice:?}"
        );
    }
}

/// Guards against overcommitment caused by declared sizes that are too small, and idle workers caused by ones that are
/// too large.
#[test]
fn observed_usage_overrules_declared_sizes() {
    for declared in
        [Resources { cores: cj_types::Millicores(200), ..size(0, 1, 0) }, size(16, 40, 0)]
    {
        let mut region = TestRegion::new(2);
        let placer = trained_placer(&mut region);
        // Once every worker has a success, only the expected load limits it.
        run_on_all_workers(&mut region, &placer, declared);
        let mut placed: BTreeMap<VmId, u32> = BTreeMap::new();
        for n in 0..40 {
            let job = format!("a/{n}");
            region.submit(&job, declared);
            if let Choice::Target { vm, .. } = choose(&region, &placer, &job) {
                *placed.entry(vm).or_default() += 1;
            }
        }
        assert_eq!(placed.len(), 2);
        // 16 cores hold 8 jobs of 2 cores; the histogram rounds by up to 1%.
        assert!(placed.values().all(|n| (7..=8).contains(n)), "{declared}: {placed:?}");
    }
}

/// Guards against decisions that all choose the same worker before the first claim appears in the state.
#[test]
fn reservations_count_before_their_claims() {
    let mut region = TestRegion::new(2);
    let placer = Placer::new();
    let mut chosen = Vec::new();
    for n in 0..3 {
        let job = format!("a/{n}");
        region.submit(&job, size(5, 1, 0));
        chosen.push(choose(&region, &placer, &job));
    }
    assert!(matches!(chosen[2], Choice::Wait { .. }), "{chosen:?}");
    assert_ne!(target(chosen.remove(0)), target(chosen.remove(0)));
}

/// Guards against jobs on unhealthy workers, and against jobs without accelerators on workers that have them.
#[test]
fn unfit_workers_get_nothing() {
    let mut region = TestRegion::new(2);
    region.add_worker(2, size(16, 64, 4));
    let placer = Placer::new();
    region.submit("a/1", size(1, 1, 0));
    assert_ne!(target(choose(&region, &placer, "a/1")), id("w2"), "accelerators are kept free");
    region.submit("a/2", size(1, 1, 2));
    assert_eq!(target(choose(&region, &placer, "a/2")), id("w2"));
    let generation = region.state.vms[&id::<VmId>("w0")].generation;
    region.put(Entry::Health { vm: id("w0"), generation, healthy: false, boot: None });
    // No scan has run since the failure; the phase in the state takes effect at once.
    for n in 0..6 {
        let job = format!("b/{n}");
        region.submit(&job, size(1, 1, 0));
        if let Choice::Target { vm, .. } = choose(&region, &placer, &job) {
            assert_ne!(vm, id("w0"));
        }
    }
}

/// Guards against a service whose tasks all run in one rack.
#[test]
fn services_spread_over_racks() {
    let mut region = TestRegion::new(8);
    let placer = Placer::new();
    let mut racks = BTreeSet::new();
    for n in 0..4 {
        let job = format!("a/{n}");
        region.submit(&job, size(1, 1, 0));
        let vm = target(choose(&region, &placer, &job));
        racks.insert(region.state.vms[&vm].rack.clone());
    }
    assert_eq!(racks.len(), 4);
}

/// Guards against a worker that fails every job and, because it is idle, attracts all jobs; and against the ejection of
/// more than a quarter of a pool.
#[test]
fn failing_workers_are_ejected_up_to_a_limit() {
    for bad in [1, 8] {
        let mut region = TestRegion::new(8);
        let placer = Placer::new();
        let is_bad = |vm: &VmId| vm.as_str() < format!("w{bad}").as_str();
        let mut lost = 0;
        for n in 0..60 {
            let job = format!("a/{n}");
            region.submit(&job, size(1, 1, 0));
            for _ in 0..3 {
                if !is_bad(&run(&mut region, &placer, &job, |vm| !is_bad(vm))) {
                    break;
                }
                lost += 1;
            }
        }
        let workers: Vec<VmId> = region.state.vms.keys().cloned().collect();
        let ejected = workers.iter().filter(|vm| placer.is_ejected(vm, region.now)).count();
        if bad == 1 {
            assert_eq!(ejected, 1);
            assert!(lost <= 3, "{lost} attempts lost");
        } else {
            assert_eq!(ejected, 2);
        }
    }
}

/// Guards against the ejection of healthy workers because of jobs that fail on every worker.
#[test]
fn poison_jobs_are_distinguished_from_faulty_workers() {
    let mut region = TestRegion::new(8);
    let placer = Placer::new();
    run_on_all_workers(&mut region, &placer, size(2, 1, 0));
    for n in 0..12 {
        let job = format!("poison/{n}");
        region.submit(&job, size(4, 1, 0));
        for _ in 0..3 {
            run(&mut region, &placer, &job, |_| false);
        }
        assert!(matches!(choose(&region, &placer, &job), Choice::Unplaceable { .. }));
        let mut workers = region.state.vms.keys();
        assert!(workers.all(|vm| !placer.is_ejected(vm, region.now)), "poison/{n} ejects a worker");
    }
}

/// Guards against relief that starts with urgent tasks, skips a step, or stops a task that must not run twice.
#[test]
fn relief_goes_from_throttle_to_stop_by_urgency() {
    let mut region = TestRegion::new(2);
    region.submit_as("a/urgent", "urgent", "printing", size(8, 30, 0));
    region.submit_as("a/batch", "batch", "printing", size(8, 40, 0));
    let placer = Placer::new();
    placer.choose(&region.state, region.job("a/urgent"), region.now);
    let (low, high) = (size(8, 30, 0), size(8, 40, 0));
    let normal = region.report("w0", &[("a/urgent", low), ("a/batch", size(8, 20, 0))]);
    assert!(placer.relieve(&[normal]).is_empty());
    let steps =
        [None, Some(ReliefStep::Throttle), Some(ReliefStep::Checkpoint), Some(ReliefStep::Stop)];
    for (index, relieved) in steps.into_iter().enumerate() {
        let mut report = region.report("w0", &[("a/urgent", low), ("a/batch", high)]);
        report.tasks[1].last_relief = relieved;
        let relief = placer.relieve(std::slice::from_ref(&report));
        let found: Vec<_> = relief.iter().map(|r| (r.job.to_string(), r.step)).collect();
        let expected = match index {
            0 => ("a/batch", ReliefStep::Throttle),
            1 => ("a/batch", ReliefStep::Checkpoint),
            // The batch must not run twice, so the urgent task is next.
            _ => ("a/urgent", ReliefStep::Throttle),
        };
        assert_eq!(found, [(expected.0.to_string(), expected.1)]);
        report.tasks[1].idempotent = true;
        let stop = placer.relieve(&[report])[0].step == ReliefStep::Stop;
        assert_eq!(stop, relieved == Some(ReliefStep::Checkpoint));
    }
}

/// Guards against overcommitment in any order of submissions, claims, ends and reports, also by reservations that are
/// lost.
#[test]
fn random_operations_keep_expected_load_within_capacity() {
    fn check_seed(seed: u64) -> TestResult {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut region = TestRegion::new(4);
        let mut placer = Placer::new();
        let mut running: Vec<(String, VmId, cj_types::Token)> = Vec::new();
        for n in 0..300 {
            let job = format!("a/{n}");
            let declared = size(rng.random_range(1..6), rng.random_range(1..30), 0);
            region.submit(&job, declared);
            if let Choice::Target { vm, .. } = choose(&region, &placer, &job) {
                let load = running.iter().filter(|r| r.1 == vm);
                let load = load.fold(placer.expected_demand(region.job(&job)), |sum, r| {
                    sum.plus(placer.expected_demand(region.job(&r.0)))
                });
                let alone = running.iter().all(|r| r.1 != vm);
                if !alone && !load.fits(size(16, 64, 0)) {
                    return TestResult::error(format!(
                        "seed {seed}: {vm} is overcommitted: {load}"
                    ));
                }
                let token = region.claim(&job, &vm);
                running.push((job, vm, token));
            }
            if rng.random_bool(0.6) && !running.is_empty() {
                let (job, _, token) = running.swap_remove(rng.random_range(0..running.len()));
                region.finish(&job, token, true);
            }
            region.advance(rng.random_range(1..3));
            if let Some((job, vm, _)) = running.first()
                && n < 5
            {
                placer.observe(&region.report(vm.as_str(), &[(job, size(2, 4, 0))]));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(10).quickcheck(check_seed as fn(u64) -> TestResult);
}
