//! Workers that start again under their ids around a takeover, and that no owner reaches for a while soon after.

use std::ops::Range;

use rand::{Rng, seq::IndexedRandom};

use crate::{
    network::{Lost, Peer},
    restarts::{Conditions, Restarts},
};

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..24;

/// Number of takeovers per seed.
const TAKEOVERS: u64 = 10;

/// Time for which no owner reaches a worker, in ms. It may outlast the leases of earlier owners.
const ISOLATION_MS: Range<u64> = 3_000..40_000;

/// Least number of workers that are isolated per seed over all seeds of CI, so that the test covers enough.
const MIN_ISOLATED: u64 = 8;

struct Isolation {
    restarts: Restarts,
    isolated: u64,
}

impl Isolation {
    fn simulate(seed: u64, late_calls: bool) -> Self {
        let conditions = Conditions { late_calls, late_starts: false, takeovers: true };
        let restarts = Restarts::start(seed, &conditions);
        let mut isolation = Isolation { restarts, isolated: 0 };
        for _ in 0..TAKEOVERS {
            isolation.restarts.submit_some(3);
            isolation.take_over();
        }
        isolation.restarts.settle();
        isolation.restarts.assert_jobs_ended(seed);
        isolation
    }

    fn pause(&mut self, ms: Range<u64>) {
        let pause = self.restarts.world.rng.random_range(ms);
        self.restarts.world.run_for(pause);
    }

    /// Ends the current owner, or cuts it off from parts of the store.
    fn fail_owner(&mut self) {
        let world = &mut self.restarts.world;
        let owner = world.owners.len() - 1;
        if world.rng.random_bool(0.5) {
            world.owners[owner].active = false;
            return;
        }
        let until = world.now + world.rng.random_range(1_500..14_000);
        world.network.cut(owner, Peer::Appends, Lost::Calls, until);
        for peer in [Peer::JobReads, Peer::Registrations, Peer::VmList] {
            if world.rng.random_bool(0.7) {
                world.network.cut(owner, peer, Lost::Calls, until);
            }
        }
    }

    /// Cuts a worker off from everything for a while, in four of five cases; its registration may expire.
    fn isolate(&mut self, worker: usize) {
        let world = &mut self.restarts.world;
        if world.rng.random_bool(0.2) {
            return;
        }
        let until = world.now + world.rng.random_range(ISOLATION_MS);
        world.network.isolate(Peer::Worker(worker), until);
        if world.rng.random_bool(0.5) {
            world.expire_registration(worker);
        }
        self.isolated += 1;
    }

    /// Restarts some of the workers while jobs come and the owner fails, isolates some of them soon after, and lets another node
    /// take over.
    fn take_over(&mut self) {
        let fails_first = self.restarts.world.rng.random_bool(0.5);
        if fails_first {
            self.fail_owner();
            self.pause(0..1_500);
        }
        let workers = self.some_workers();
        workers.iter().for_each(|worker| self.restarts.restart(*worker));
        for _ in 0..3 {
            self.pause(5..500);
            self.restarts.submit_some(3);
        }
        if !fails_first {
            self.fail_owner();
            self.pause(0..500);
        }
        let (before, after): (Vec<_>, Vec<_>) =
            workers.into_iter().partition(|_| self.restarts.world.rng.random_bool(0.7));
        before.into_iter().for_each(|worker| self.isolate(worker));
        let claim_at = self.restarts.world.claimable_at();
        self.restarts.world.run_for(claim_at.saturating_sub(self.restarts.world.now));
        self.pause(0..1_500);
        self.restarts.world.take_over(false);
        for worker in after {
            self.pause(0..1_000);
            self.restarts.restart(worker);
            self.pause(0..1_500);
            self.isolate(worker);
        }
        self.pause(500..30_000);
    }

    fn some_workers(&mut self) -> Vec<usize> {
        let rng = &mut self.restarts.world.rng;
        let count = rng.random_range(1..4);
        (0..6).collect::<Vec<usize>>().choose_multiple(rng, count).copied().collect()
    }
}

/// Guards against a task that a new owner starts again although a worker that nobody reaches still runs it, under a lease that was
/// meant for its former incarnation.
#[test]
fn keeps_guarantees_while_restarted_workers_are_isolated_during_takeovers() {
    let isolated: u64 = SEEDS.map(|seed| Isolation::simulate(seed, false).isolated).sum();
    let least = MIN_ISOLATED * (SEEDS.end - SEEDS.start);
    assert!(isolated >= least, "{isolated} workers were isolated");
}

/// Runs the seeds of the environment variable SIM_SEEDS, given as FROM..TO, for longer searches by hand; does nothing without it.
/// With SIM_LATE_CALLS, some calls but no starts are carried out seconds later.
#[test]
fn keeps_guarantees_while_workers_are_isolated_for_chosen_seeds() {
    let Ok(range) = std::env::var("SIM_SEEDS") else { return };
    let (from, to) = range.split_once("..").expect("SIM_SEEDS is FROM..TO");
    let late_calls = std::env::var_os("SIM_LATE_CALLS").is_some();
    let mut failed = Vec::new();
    for seed in from.parse::<u64>().unwrap()..to.parse::<u64>().unwrap() {
        if std::panic::catch_unwind(|| Isolation::simulate(seed, late_calls)).is_err() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{} seeds failed: {failed:?}", failed.len());
}
