//! The router.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use cj_types::{PoolId, VmId};

use crate::{
    types::{Action, Admission, Completion, Refusal, Request, Ticket},
    view::PoolView,
};

/// Wait that a refused caller is asked for.
const RETRY_AFTER: Duration = Duration::from_millis(500);

struct Entry {
    request: Request,
    upstream: Option<VmId>,
}

/// Admits requests, queues them and chooses their upstreams.
pub struct Router {
    rng: Pcg64Mcg,
    view: PoolView,
    tickets: SlotMap<Ticket, Entry>,
    queues: BTreeMap<PoolId, VecDeque<Ticket>>,
    in_flight: BTreeMap<VmId, usize>,
}

impl Router {
    /// Creates a router that knows no pool yet. `rng` makes its choices reproducible.
    pub fn new(rng: Pcg64Mcg) -> Self {
        Router {
            rng,
            view: PoolView::default(),
            tickets: SlotMap::with_key(),
            queues: BTreeMap::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Replaces the view of the fleet. Leaving upstreams get nothing new from here on.
    pub fn update(&mut self, view: PoolView, _now: Instant) {
        self.view = view;
    }

    /// Admits, queues or refuses a request.
    pub fn offer(&mut self, request: Request, now: Instant) -> Admission {
        let refused = |reason| Admission::Refused { reason, retry_after: RETRY_AFTER };
        let found = self.view.pools.iter().find(|(_, p)| p.services.contains(&request.service));
        let Some((id, pool)) = found else {
            return refused(Refusal::UnknownService);
        };
        if !pool.classes.contains(&request.class) {
            return refused(Refusal::ClassNotAccepted);
        }
        if request.deadline <= now {
            return refused(Refusal::Deadline);
        }
        if pool.upstreams.iter().all(|u| u.leaving) {
            return refused(Refusal::NoUpstream);
        }
        let id = id.clone();
        let waiting = self.queues.get(&id).is_some_and(|q| !q.is_empty());
        let upstream = if waiting { None } else { self.choose(&id) };
        if let Some(vm) = &upstream {
            *self.in_flight.entry(vm.clone()).or_default() += 1;
        }
        let entry = Entry { request, upstream: upstream.clone() };
        let ticket = self.tickets.insert(entry);
        match upstream {
            Some(upstream) => Admission::Dispatch { ticket, upstream },
            None => {
                self.queues.entry(id).or_default().push_back(ticket);
                Admission::Queued { ticket }
            }
        }
    }

    /// Takes the end of an attempt. An unknown ticket has no effect.
    pub fn complete(&mut self, ticket: Ticket, result: Completion, now: Instant) -> Vec<Action> {
        let Some(entry) = self.tickets.remove(ticket) else {
            return Vec::new();
        };
        self.release(&entry);
        let mut actions = Vec::new();
        if !matches!(result, Completion::Done { .. }) {
            actions.push(Action::GiveUp {
                ticket,
                reason: Refusal::Failed,
                may_have_run: result == Completion::Failed,
                retry_after: RETRY_AFTER,
            });
        }
        actions.extend(self.poll(now));
        actions
    }

    /// Ends a ticket at its caller's wish. Its answer, if one comes, is ignored.
    pub fn cancel(&mut self, ticket: Ticket, now: Instant) -> Vec<Action> {
        let Some(entry) = self.tickets.remove(ticket) else {
            return Vec::new();
        };
        self.release(&entry);
        self.poll(now)
    }

    /// Returns everything that is due.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        for pool in pools {
            while let Some(ticket) = self.queues.get(&pool).and_then(|q| q.front().copied()) {
                let Some(entry) = self.tickets.get(ticket) else {
                    self.queues.get_mut(&pool).map(VecDeque::pop_front);
                    continue;
                };
                let remaining = entry.request.deadline.saturating_duration_since(now);
                if remaining.is_zero() {
                    self.tickets.remove(ticket);
                    actions.push(Action::GiveUp {
                        ticket,
                        reason: Refusal::Deadline,
                        may_have_run: false,
                        retry_after: RETRY_AFTER,
                    });
                    continue;
                }
                let Some(upstream) = self.choose(&pool) else { break };
                *self.in_flight.entry(upstream.clone()).or_default() += 1;
                self.tickets[ticket].upstream = Some(upstream.clone());
                self.queues.get_mut(&pool).map(VecDeque::pop_front);
                actions.push(Action::Dispatch { ticket, upstream, remaining });
            }
        }
        actions
    }

    /// Requests of this node that an upstream is working on.
    pub fn in_flight(&self, upstream: &VmId) -> usize {
        self.in_flight.get(upstream).copied().unwrap_or_default()
    }

    /// Next time at which [`Router::poll`] has something to do, if nothing else happens before.
    pub fn next_poll(&self) -> Option<Instant> {
        self.tickets.values().filter(|e| e.upstream.is_none()).map(|e| e.request.deadline).min()
    }

    fn release(&mut self, entry: &Entry) {
        if let Some(vm) = &entry.upstream {
            let left = self.in_flight(vm).saturating_sub(1);
            self.in_flight.insert(vm.clone(), left);
        }
    }

    fn choose(&mut self, pool: &PoolId) -> Option<VmId> {
        let entry = self.view.pools.get(pool)?;
        let free: Vec<&VmId> = entry
            .upstreams
            .iter()
            .filter(|u| !u.leaving && self.in_flight(&u.vm) < entry.slots as usize)
            .map(|u| &u.vm)
            .collect();
        if free.is_empty() {
            return None;
        }
        let a = free[self.rng.random_range(0..free.len())];
        let b = free[self.rng.random_range(0..free.len())];
        Some(if self.in_flight(a) <= self.in_flight(b) { a.clone() } else { b.clone() })
    }
}
