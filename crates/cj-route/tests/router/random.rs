//! Randomised runs that check the invariants of the router.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use cj_route::{Action, Admission, Completion, PoolView, Router, Selection, Ticket};
use cj_types::VmId;
use quickcheck::{QuickCheck, TestResult};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use crate::support::{SLOTS, pool, request, router, view};

const STEPS: usize = 2000;

struct Simulation {
    router: Router,
    rng: Pcg64Mcg,
    now: Instant,
    view: PoolView,
    /// Open tickets with the upstream of their attempt in flight, if any, and whether they are idempotent.
    open: BTreeMap<Ticket, (Option<VmId>, bool)>,
    ended: BTreeSet<Ticket>,
}

impl Simulation {
    fn new(selection: Selection, seed: u64) -> Self {
        let mut simulation = Simulation {
            router: router(selection, seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::now(),
            view: PoolView { node_count: 2, ..view(9) },
            open: BTreeMap::new(),
            ended: BTreeSet::new(),
        };
        simulation.router.update(simulation.view.clone(), simulation.now);
        simulation
    }

    fn check_sent(&mut self, ticket: Ticket, upstream: &VmId, retry: bool) {
        let entry = &self.view.pools[&pool()];
        let listed = entry.upstreams.iter().find(|u| u.vm == *upstream);
        assert!(listed.is_some_and(|u| !u.leaving), "{upstream} is leaving and gets new work");
        assert!(
            self.router.in_flight(upstream) <= SLOTS as usize,
            "more attempts in flight than slots of {upstream}"
        );
        let old = self.open.get_mut(&ticket).expect("only open tickets are sent");
        assert!(old.0.replace(upstream.clone()).is_none(), "two attempts in flight at once");
        assert!(!retry || !self.ended.contains(&ticket));
    }

    fn end(&mut self, ticket: Ticket) {
        assert!(self.open.remove(&ticket).is_some(), "a ticket ends that isn't open");
        assert!(self.ended.insert(ticket), "a ticket ends twice");
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { ticket, upstream, remaining } => {
                    assert!(!remaining.is_zero());
                    self.check_sent(ticket, &upstream, false);
                }
                Action::Retry { ticket, upstream, .. } => self.check_sent(ticket, &upstream, true),
                Action::GiveUp { ticket, .. } => self.end(ticket),
            }
        }
    }

    fn offer(&mut self) {
        let class = *["urgent", "bulk"].choose(&mut self.rng).unwrap();
        let team = *["a", "b", "heavy", "capped"].choose(&mut self.rng).unwrap();
        let deadline = self.now + Duration::from_millis(self.rng.random_range(0..4000));
        let idempotent = self.rng.random_bool(0.7);
        let offered = cj_route::Request { idempotent, ..request(class, team, deadline) };
        match self.router.offer(offered, self.now) {
            Admission::Dispatch { ticket, upstream } => {
                self.open.insert(ticket, (None, idempotent));
                self.check_sent(ticket, &upstream, false);
            }
            Admission::Queued { ticket } => {
                self.open.insert(ticket, (None, idempotent));
            }
            Admission::Refused { retry_after, .. } => assert!(!retry_after.is_zero()),
        }
    }

    /// Completes a random ticket, which may have no attempt in flight.
    fn complete(&mut self) {
        let Some(index) = self.open.len().checked_sub(1) else { return };
        let index = self.rng.random_range(0..=index);
        let (ticket, (upstream, idempotent)) = self.open.iter().nth(index).unwrap();
        let (ticket, running, idempotent) = (*ticket, upstream.is_some(), *idempotent);
        let load = self.rng.random_bool(0.5).then(|| self.rng.random_range(0..=SLOTS));
        let result = match self.rng.random_range(0..10) {
            0 => Completion::NotRun { load },
            1 | 2 => Completion::Failed,
            _ => Completion::Done { load },
        };
        let actions = self.router.complete(ticket, result, self.now);
        if !running {
            assert!(actions.is_empty(), "completing a ticket without an attempt has no effect");
            return;
        }
        self.open.get_mut(&ticket).unwrap().0 = None;
        let ended =
            actions.iter().any(|a| matches!(a, Action::GiveUp { ticket: t, .. } if *t == ticket));
        match result {
            Completion::Done { .. } => self.end(ticket),
            Completion::Failed => {
                assert!(idempotent || ended, "retry of a request that isn't idempotent")
            }
            Completion::NotRun { .. } => {}
        }
        self.apply(actions);
    }

    fn cancel(&mut self) {
        let tickets: Vec<_> = self.open.keys().copied().collect();
        if let Some(&ticket) = tickets.choose(&mut self.rng) {
            let actions = self.router.cancel(ticket, self.now);
            self.end(ticket);
            self.apply(actions);
        }
    }

    fn change_view(&mut self) {
        let entry = self.view.pools.get_mut(&pool()).unwrap();
        let index = self.rng.random_range(0..9);
        if let Some(upstream) = entry.upstreams.get_mut(index) {
            upstream.leaving = !upstream.leaving;
        } else {
            entry.upstreams = view(9).pools.remove(&pool()).unwrap().upstreams;
        }
        if self.rng.random_bool(0.1) {
            entry.upstreams.truncate(index);
        }
        self.view.node_index = self.rng.random_range(0..2);
        self.router.update(self.view.clone(), self.now);
        let actions = self.router.poll(self.now);
        self.apply(actions);
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..20));
        match self.rng.random_range(0..100) {
            0..45 => self.offer(),
            45..85 => self.complete(),
            85..93 => self.cancel(),
            93..94 => self.change_view(),
            _ => {
                let actions = self.router.poll(self.now);
                self.apply(actions);
            }
        }
        assert_eq!(self.router.open_tickets(), self.open.len(), "tickets are lost or leaked");
    }
}

/// Guards against tickets that are leaked or end twice, in any order of offers, completions, cancellations and changes
/// of the fleet.
#[test]
fn random_operations_keep_the_invariants() {
    fn check_seed(seed: u64) -> TestResult {
        let selections = [
            Selection::TwoChoices,
            Selection::Apportioned,
            Selection::Subset,
            Selection::Borrowing,
        ];
        let mut simulation = Simulation::new(selections[seed as usize % selections.len()], seed);
        for step in 0..STEPS {
            simulation.step();
            if step % 50 == 0 {
                simulation.router.check_invariants();
            }
        }
        while let Some(&ticket) = simulation.open.keys().next() {
            let actions = simulation.router.cancel(ticket, simulation.now);
            simulation.end(ticket);
            simulation.apply(actions);
        }
        simulation.router.check_invariants();
        assert_eq!((simulation.router.open_tickets(), simulation.router.waiting_tickets()), (0, 0));
        let entry = &simulation.view.pools[&pool()];
        TestResult::from_bool(
            entry.upstreams.iter().all(|u| simulation.router.in_flight(&u.vm) == 0),
        )
    }
    for seed in 0..40 {
        assert!(!check_seed(seed).is_failure());
    }
    QuickCheck::new().tests(20).quickcheck(check_seed as fn(u64) -> TestResult);
}
