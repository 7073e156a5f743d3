//! Expiry of requests, delayed retries, and the check of queued requests after a loss of slots.

use super::*;

impl Router {
    /// Sets the timer for the time from which a waiting ticket can't finish before its deadline.
    pub(super) fn arm_expiry(&mut self, ticket: Ticket) {
        let entry = &self.tickets[ticket];
        let p50 = self.services[entry.service].times(entry.class).p50;
        let at = entry.request.deadline.checked_sub(p50).unwrap_or(entry.queued_at);
        self.arm(ticket, at);
    }

    pub(super) fn arm(&mut self, ticket: Ticket, at: Instant) {
        self.tickets[ticket].timer = Some(at);
        self.timers.push(Reverse((at, ticket)));
        self.compact_timers();
    }

    /// Drops outdated timers once they outnumber the waiting tickets.
    pub(super) fn compact_timers(&mut self) {
        if self.timers.len() > 2 * self.waiting + STALE_TIMER_SLACK {
            let tickets = &self.tickets;
            let is_current =
                |at, t| tickets.get(t).is_some_and(|e: &TicketEntry| e.timer == Some(at));
            self.timers.retain(|Reverse((at, ticket))| is_current(*at, *ticket));
        }
    }

    pub(super) fn fire_timers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(&Reverse((at, ticket))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            let current = self.tickets.get(ticket).filter(|e| e.timer == Some(at));
            match current.map(|e| e.stage) {
                Some(Stage::Waiting) => {
                    actions.extend(self.give_up_waiting(
                        ticket,
                        Refusal::Deadline,
                        MIN_RETRY_AFTER,
                    ));
                }
                Some(Stage::Backoff) => self.requeue(ticket, now, actions),
                Some(Stage::Running { .. }) | None => {}
            }
        }
    }

    /// Puts a ticket that was sent before at the front of its team's queue.
    pub(super) fn requeue(&mut self, ticket: Ticket, now: Instant, actions: &mut Vec<Action>) {
        let entry = &mut self.tickets[ticket];
        let (pool, class, team, cost) = (entry.pool, entry.class, entry.team, entry.cost);
        entry.stage = Stage::Waiting;
        entry.queued_at = now;
        self.pools[pool].classes[class].push(team, ticket, cost, true);
        if self.pools[pool].classes[class].accepted && self.pools[pool].upstreams.has_members() {
            self.arm_expiry(ticket);
        } else {
            actions.extend(self.give_up_waiting(ticket, Refusal::NoUpstream, FLEET_RETRY_AFTER));
        }
    }

    /// Gives up requests that can't finish before their deadline because their class has lost slots.
    pub(super) fn recheck_queues(&mut self, pool: usize, now: Instant, actions: &mut Vec<Action>) {
        for class in 0..self.pools[pool].classes.len() {
            let slots = self.expected_slots(pool, class);
            let queue = &mut self.pools[pool].classes[class];
            let lost_slots = slots < queue.checked_slots * (1.0 - SLOT_LOSS_THRESHOLD);
            if lost_slots || slots > queue.checked_slots || queue.waiting == 0 {
                queue.checked_slots = slots;
            }
            if !lost_slots || queue.waiting == 0 {
                continue;
            }
            for (ticket, wait) in self.infeasible_tickets(pool, class, slots, now) {
                let retry_after = self.jitter(wait.max(MIN_RETRY_AFTER));
                actions.extend(self.give_up_waiting(ticket, Refusal::Deadline, retry_after));
            }
        }
    }

    /// Queued tickets of a class that would miss their deadline after the expected wait and the median service time,
    /// each with its wait.
    pub(super) fn infeasible_tickets(
        &self,
        pool: usize,
        class: usize,
        slots: f64,
        now: Instant,
    ) -> Vec<(Ticket, Duration)> {
        let queue = &self.pools[pool].classes[class];
        let mut found = Vec::new();
        for &team in queue.active() {
            let mut team_work = 0.0;
            for ticket in queue.teams[team].tickets().filter(|&t| self.is_queued(t)) {
                let entry = &self.tickets[ticket];
                let wait = Duration::from_secs_f64(queue.class_work(team, team_work) / slots);
                let times = self.services[entry.service].times.get(class);
                let p50 = times.map(|t| t.p50).unwrap_or_default();
                if now + wait + p50 > entry.request.deadline {
                    found.push((ticket, wait));
                } else {
                    team_work += entry.cost;
                }
            }
        }
        found
    }
}
