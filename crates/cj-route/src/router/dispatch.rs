//! Dispatches queued requests to upstreams, and gives up or refuses requests.

use super::*;

impl Router {
    pub(super) fn is_queued(&self, ticket: Ticket) -> bool {
        self.tickets.get(ticket).is_some_and(|e| e.stage == Stage::Waiting)
    }

    /// A random time between half and one and a half of `mean`.
    pub(super) fn jitter(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Slots that a class can expect: its guaranteed share, or its slots in use when they are more, up to its cap.
    pub(super) fn expected_slots(&self, pool: usize, class: usize) -> f64 {
        let pool = &self.pools[pool];
        let queue = &pool.classes[class];
        let capacity = pool.upstreams.capacity() as f64;
        (queue.share * capacity).max(queue.in_use as f64).min(queue.cap * capacity).max(1.0)
    }

    /// True while a class may start another request within its cap.
    pub(super) fn is_below_cap(&self, pool: usize, class: usize) -> bool {
        let pool = &self.pools[pool];
        let queue = &pool.classes[class];
        (queue.in_use as f64) < (queue.cap * pool.upstreams.capacity() as f64).floor().max(1.0)
    }

    /// Class to dispatch from next. Classes below their guaranteed share come first, the one furthest below it before
    /// the others. Remaining slots go to the most urgent class that isn't overloaded, since an overloaded class would
    /// take all slots from the others. Overloaded classes share the rest in proportion to their guaranteed shares.
    pub(super) fn next_class(&self, pool: usize, now: Instant) -> Option<usize> {
        let capacity = self.pools[pool].upstreams.capacity() as f64;
        let classes = &self.pools[pool].classes;
        let rank = |index: usize| {
            let class = &classes[index];
            let guaranteed = class.share * capacity;
            let used = class.in_use as f64;
            let usage = if guaranteed > 0.0 { used / guaranteed } else { f64::INFINITY };
            if used < guaranteed {
                return (0, usage, class.urgency, index);
            }
            match class.overloaded(now) {
                false => (1, 0.0, class.urgency, index),
                true => (2, usage, class.urgency, index),
            }
        };
        let waiting = (0..classes.len()).filter(|&c| classes[c].waiting > 0);
        let ranks = waiting.filter(|&c| self.is_below_cap(pool, c)).map(rank);
        ranks.min_by(|a, b| a.partial_cmp(b).expect("ranks are comparable")).map(|r| r.3)
    }

    /// Dispatches queued requests while upstreams have free slots.
    pub(super) fn dispatch(&mut self, pool: usize, now: Instant, actions: &mut Vec<Action>) {
        while let Some(class) = self.next_class(pool, now) {
            let slots = self.expected_slots(pool, class);
            let tickets = &self.tickets;
            let is_queued = |t| tickets.get(t).is_some_and(|e| e.stage == Stage::Waiting);
            let queue = &mut self.pools[pool].classes[class];
            let team = queue.next_team(slots, now).expect("a waiting class has a waiting team");
            let ticket = queue.front(team, is_queued).expect("a waiting team has a ticket");
            let entry = &self.tickets[ticket];
            let remaining = entry.request.deadline.saturating_duration_since(now);
            let p50 = self.services[entry.service].times(class).p50;
            if remaining.is_zero() || remaining < p50 {
                actions.extend(self.give_up_waiting(ticket, Refusal::Deadline, MIN_RETRY_AFTER));
                continue;
            }
            let criteria = criteria(entry);
            let Some(chosen) = self.pools[pool].upstreams.choose(&criteria, &mut self.rng, now)
            else {
                return;
            };
            let delay = now.saturating_duration_since(entry.queued_at);
            let is_retry = entry.attempts > 0;
            self.pools[pool].classes[class].pop(team);
            self.leave_queue(ticket);
            if !is_retry {
                self.pools[pool].classes[class].record_delay(team, delay, now);
            }
            let reason = if is_retry { "retry" } else { "queued" };
            let upstream = self.start(ticket, &chosen, reason, now);
            actions.push(if is_retry {
                self.counters.retries += 1;
                Action::Retry { ticket, upstream, remaining }
            } else {
                Action::Dispatch { ticket, upstream, remaining }
            });
        }
    }

    /// Counts an attempt that is being sent and logs the decision.
    pub(super) fn start(
        &mut self,
        ticket: Ticket,
        chosen: &Chosen,
        reason: &str,
        now: Instant,
    ) -> VmId {
        let entry = &mut self.tickets[ticket];
        entry.attempts += 1;
        entry.stage =
            Stage::Running { upstream: chosen.key, started_at: now, borrowed: chosen.borrowed };
        entry.timer = None;
        let pool = &mut self.pools[entry.pool];
        pool.upstreams.start(chosen.key);
        pool.classes[entry.class].charge(entry.team, entry.cost, now);
        self.counters.dispatched += 1;
        self.counters.borrowed += u64::from(chosen.borrowed);
        let name = |key| pool.upstreams.get(key).expect("candidates are kept").vm.clone();
        let upstream = name(chosen.key);
        if log::log_enabled!(target: "decision", log::Level::Info) {
            let reason = if chosen.borrowed { "borrowed slot" } else { reason };
            let candidates = CommaSeparated(chosen.candidates.iter().map(|&k| name(k)).collect());
            let (id, attempt) = (&entry.request.id, entry.attempts);
            log::info!(target: "decision", "request={id} choice={upstream} attempt={attempt} reason=\"{reason}\" candidates={candidates}");
        }
        upstream
    }

    /// Counts the end of an attempt and releases its slot.
    pub(super) fn release(
        &mut self,
        ticket: Ticket,
        upstream: UpstreamKey,
        started_at: Instant,
        now: Instant,
    ) {
        let used = now.saturating_duration_since(started_at).as_secs_f64();
        let entry = &self.tickets[ticket];
        let pool = &mut self.pools[entry.pool];
        pool.upstreams.finish(upstream);
        pool.classes[entry.class].release(entry.team, entry.cost, used, now);
    }

    /// Removes a ticket from its queue or its backoff.
    pub(super) fn leave_queue(&mut self, ticket: Ticket) {
        let entry = &mut self.tickets[ticket];
        let was_queued = entry.stage == Stage::Waiting;
        // The queue skips a ticket that is no longer waiting when it reaches the front.
        entry.stage = Stage::Backoff;
        entry.timer = None;
        let (pool, class, team, cost) = (entry.pool, entry.class, entry.team, entry.cost);
        self.waiting -= 1;
        if was_queued {
            let tickets = &self.tickets;
            let is_queued = |t| tickets.get(t).is_some_and(|e| e.stage == Stage::Waiting);
            self.pools[pool].classes[class].remove_waiting(team, cost, is_queued);
        }
        self.compact_timers();
    }

    /// Gives up a ticket that waits in a queue or for a retry.
    pub(super) fn give_up_waiting(
        &mut self,
        ticket: Ticket,
        reason: Refusal,
        retry_after: Duration,
    ) -> Option<Action> {
        self.leave_queue(ticket);
        self.give_up(ticket, reason, retry_after)
    }

    /// Ends a ticket that is in no queue and returns the action that tells the caller.
    pub(super) fn give_up(
        &mut self,
        ticket: Ticket,
        reason: Refusal,
        retry_after: Duration,
    ) -> Option<Action> {
        let entry = self.tickets.remove(ticket)?;
        self.counters.given_up += 1;
        let id = &entry.request.id;
        log::info!(target: "decision", "request={id} choice=give-up reason=\"{reason}\" retry_after_ms={}", retry_after.as_millis());
        let may_have_run = entry.may_have_run;
        Some(Action::GiveUp { ticket, reason, may_have_run, retry_after })
    }

    pub(super) fn refuse(
        &mut self,
        request: &Request,
        reason: Refusal,
        retry_after: Duration,
    ) -> Admission {
        self.counters.refused += 1;
        let id: &CompactString = &request.id;
        log::info!(target: "decision", "request={id} choice=refuse reason=\"{reason}\" retry_after_ms={}", retry_after.as_millis());
        Admission::Refused { reason, retry_after }
    }
}
