//! Waiting requests of one class: weighted fair queueing over teams.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use cj_types::{ClassId, TeamId};

use crate::types::Ticket;

/// Queue delay counts as overload once it has stayed above its target for this long; shorter bursts are normal.
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Removed tickets that a queue may hold beyond the number of waiting ones before it is compacted.
const STALE_TICKET_SLACK: usize = 32;
/// Time constant of the average of slots in use that is compared with the quota. A node has few slots per class, so a
/// limit on the slots in use at one moment would hold a team that is within its quota below its demand.
const QUOTA_WINDOW: Duration = Duration::from_secs(1);
/// Limit of the slots in use at one moment, as a multiple of the quota.
const QUOTA_BURST: f64 = 2.0;

/// Requests of one team in one class.
pub(crate) struct TeamQueue {
    pub(crate) id: TeamId,
    pub(crate) weight: f64,
    /// Largest fraction of the class that the team may use while others wait.
    pub(crate) quota: f64,
    pub(crate) in_use: usize,
    /// Virtual start time of the next request.
    start_tag: f64,
    /// Tickets in the order of service; cancelled ones are removed lazily.
    queue: VecDeque<Ticket>,
    /// Waiting tickets in `queue`.
    waiting: usize,
    /// Expected service time of the waiting tickets in seconds.
    pub(crate) backlog: f64,
    /// Time since which the queue delay has been above the class's target.
    delayed_since: Option<Instant>,
    /// Exponential average of the slots in use, up to `mean_at`.
    mean_use: f64,
    mean_at: Instant,
}

impl TeamQueue {
    /// Exponential average of the slots in use, up to `now`.
    fn mean_use(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.mean_at);
        let decay = (-elapsed.as_secs_f64() / QUOTA_WINDOW.as_secs_f64()).exp();
        self.mean_use * decay + self.in_use as f64 * (1.0 - decay)
    }

    /// True while the team is below its quota of `slots` on average, and below the burst limit at this moment.
    fn is_within_quota(&self, slots: f64, now: Instant) -> bool {
        let quota = self.quota * slots;
        (self.in_use as f64) < (QUOTA_BURST * quota).max(1.0) && self.mean_use(now) < quota
    }

    fn set_in_use(&mut self, in_use: usize, now: Instant) {
        self.mean_use = self.mean_use(now);
        self.mean_at = now;
        self.in_use = in_use;
    }

    pub(crate) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.queue.iter().copied()
    }

    fn overloaded(&self, now: Instant) -> bool {
        self.delayed_since
            .is_some_and(|since| now.saturating_duration_since(since) >= OVERLOAD_INTERVAL)
    }
}

/// One class of a pool.
pub(crate) struct ClassQueue {
    pub(crate) id: ClassId,
    pub(crate) urgency: u32,
    /// False once the pool no longer accepts the class.
    pub(crate) accepted: bool,
    /// Guaranteed fraction of the pool's slots, from 0 to 1.
    pub(crate) share: f64,
    /// Largest fraction of the pool's slots, from 0 to 1.
    pub(crate) cap: f64,
    /// Queue delay above which the class counts as overloaded.
    pub(crate) delay_target: Duration,
    pub(crate) in_use: usize,
    pub(crate) waiting: usize,
    /// Expected service time of all waiting tickets in seconds.
    pub(crate) backlog: f64,
    /// Slots that the class could expect at the last check of the queue.
    pub(crate) checked_slots: f64,
    pub(crate) teams: Vec<TeamQueue>,
    index: HashMap<TeamId, usize>,
    /// Teams with waiting tickets.
    active: Vec<usize>,
    /// Virtual time of fair queueing: highest start tag of the dispatched requests.
    virtual_time: f64,
}

impl ClassQueue {
    pub(crate) fn new(id: ClassId) -> Self {
        ClassQueue {
            id,
            urgency: 0,
            accepted: false,
            share: 0.0,
            cap: 1.0,
            delay_target: Duration::ZERO,
            in_use: 0,
            waiting: 0,
            backlog: 0.0,
            checked_slots: 0.0,
            teams: Vec::new(),
            index: HashMap::new(),
            active: Vec::new(),
            virtual_time: 0.0,
        }
    }

    /// Index of a team. A new team is added with the given weight and quota.
    pub(crate) fn ensure_team<F>(&mut self, id: &TeamId, weight_and_quota: F, now: Instant) -> usize
    where
        F: FnOnce() -> (f64, f64),
    {
        if let Some(&team) = self.index.get(id) {
            return team;
        }
        let (weight, quota) = weight_and_quota();
        self.teams.push(TeamQueue {
            id: id.clone(),
            weight,
            quota,
            in_use: 0,
            start_tag: self.virtual_time,
            queue: VecDeque::new(),
            waiting: 0,
            backlog: 0.0,
            delayed_since: None,
            mean_use: 0.0,
            mean_at: now,
        });
        self.index.insert(id.clone(), self.teams.len() - 1);
        self.teams.len() - 1
    }

    /// Advances the start tag of an idle team to the virtual time, so that it gains no credit while it is idle.
    pub(crate) fn advance_idle_team(&mut self, team: usize) {
        let queue = &mut self.teams[team];
        if queue.waiting == 0 {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
        }
    }

    /// Teams with waiting tickets.
    pub(crate) fn active(&self) -> &[usize] {
        &self.active
    }

    /// Adds a ticket with its expected service time in seconds. A retry goes to the front, since it has waited before.
    pub(crate) fn push(&mut self, team: usize, ticket: Ticket, cost: f64, at_front: bool) {
        let queue = &mut self.teams[team];
        if queue.waiting == 0 {
            self.active.push(team);
        }
        if at_front {
            queue.queue.push_front(ticket);
        } else {
            queue.queue.push_back(ticket);
        }
        queue.waiting += 1;
        queue.backlog += cost;
        self.waiting += 1;
        self.backlog += cost;
    }

    /// Subtracts a waiting ticket from the counters. Its entry in the queue is removed later, so this is O(1)
    /// amortised.
    pub(crate) fn remove_waiting<F>(&mut self, team: usize, cost: f64, is_queued: F)
    where
        F: Fn(Ticket) -> bool,
    {
        let queue = &mut self.teams[team];
        queue.waiting -= 1;
        queue.backlog = (queue.backlog - cost).max(0.0);
        self.waiting -= 1;
        self.backlog = (self.backlog - cost).max(0.0);
        if queue.waiting == 0 {
            queue.queue.clear();
            queue.backlog = 0.0;
            queue.delayed_since = None;
            self.active.retain(|&t| t != team);
        } else if queue.queue.len() > 2 * queue.waiting + STALE_TICKET_SLACK {
            queue.queue.retain(|&t| is_queued(t));
        }
        if self.waiting == 0 {
            self.backlog = 0.0;
        }
    }

    /// Team to dispatch from next: the lowest start tag among the waiting teams within their quota, or among all
    /// waiting teams when none is. `slots` is the number of slots that the class can expect.
    pub(crate) fn next_team(&self, slots: f64, now: Instant) -> Option<usize> {
        let usable = slots.max(self.in_use as f64 + 1.0);
        let within = |t: &TeamQueue| t.is_within_quota(usable, now);
        let best = |only_within: bool| {
            self.active
                .iter()
                .copied()
                .filter(|&t| !only_within || within(&self.teams[t]))
                .min_by(|&a, &b| self.teams[a].start_tag.total_cmp(&self.teams[b].start_tag))
        };
        if self.active.len() == 1 { best(false) } else { best(true).or_else(|| best(false)) }
    }

    /// First waiting ticket of a team. Drops cancelled ones before it.
    pub(crate) fn front<F>(&mut self, team: usize, is_queued: F) -> Option<Ticket>
    where
        F: Fn(Ticket) -> bool,
    {
        let queue = &mut self.teams[team].queue;
        while let Some(&ticket) = queue.front() {
            if is_queued(ticket) {
                return Some(ticket);
            }
            queue.pop_front();
        }
        None
    }

    /// Removes the first waiting ticket, which [`ClassQueue::front`] has returned. If it stayed in the queue while it
    /// runs, a retry would queue it twice.
    pub(crate) fn pop(&mut self, team: usize) {
        self.teams[team].queue.pop_front();
    }

    /// Charges a team the expected service time, in seconds, of a request that is dispatched.
    pub(crate) fn charge(&mut self, team: usize, cost: f64, now: Instant) {
        let queue = &mut self.teams[team];
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += cost / queue.weight;
        queue.set_in_use(queue.in_use + 1, now);
        self.in_use += 1;
    }

    /// Releases a slot and corrects the charge from the expected to the used time, both in seconds.
    pub(crate) fn release(&mut self, team: usize, cost: f64, used: f64, now: Instant) {
        let queue = &mut self.teams[team];
        queue.start_tag += (used - cost) / queue.weight;
        queue.set_in_use(queue.in_use - 1, now);
        self.in_use -= 1;
    }

    /// Records the queue delay of a request that is dispatched for the first time.
    pub(crate) fn record_delay(&mut self, team: usize, delay: Duration, now: Instant) {
        let above = delay > self.delay_target;
        let queue = &mut self.teams[team];
        queue.delayed_since = if above { queue.delayed_since.or(Some(now)) } else { None };
    }

    /// True while the queue delay of a waiting team has been above the target for [`OVERLOAD_INTERVAL`].
    pub(crate) fn overloaded(&self, now: Instant) -> bool {
        self.active.iter().any(|&t| self.teams[t].overloaded(now))
    }

    /// True while the queue delay of this team has been above the target for [`OVERLOAD_INTERVAL`].
    pub(crate) fn team_overloaded(&self, team: usize, now: Instant) -> bool {
        self.teams[team].overloaded(now)
    }

    /// Expected work ahead of a new request of a team in seconds: its own team's backlog scaled by its weight among
    /// the waiting teams, and at most the backlog of the class.
    pub(crate) fn work_ahead(&self, team: usize) -> f64 {
        self.class_work(team, self.teams[team].backlog)
    }

    /// Work of the class, in seconds, that is served while a team gets `team_work` seconds.
    pub(crate) fn class_work(&self, team: usize, team_work: f64) -> f64 {
        let weight = self.teams[team].weight;
        let others: f64 =
            self.active.iter().filter(|&&t| t != team).map(|&t| self.teams[t].weight).sum();
        // Rounding may leave the sums of the teams slightly above the sum of the class.
        let others_work = (self.backlog - self.teams[team].backlog).max(0.0);
        (team_work * (weight + others) / weight).min(others_work + team_work)
    }

    /// Compares the counters with a recount of the queues.
    pub(crate) fn check_invariants<F>(&self, is_queued: F)
    where
        F: Fn(Ticket) -> bool,
    {
        let waiting = |t: &TeamQueue| t.tickets().filter(|&ticket| is_queued(ticket)).count();
        for (index, team) in self.teams.iter().enumerate() {
            assert_eq!(waiting(team), team.waiting, "waiting tickets of {}/{}", self.id, team.id);
            assert_eq!(
                self.active.contains(&index),
                team.waiting > 0,
                "active {}/{}",
                self.id,
                team.id
            );
            assert!(
                team.queue.len() <= 2 * team.waiting + STALE_TICKET_SLACK + 1,
                "stale tickets are bounded"
            );
        }
        assert_eq!(self.waiting, self.teams.iter().map(|t| t.waiting).sum::<usize>());
        assert_eq!(self.in_use, self.teams.iter().map(|t| t.in_use).sum::<usize>());
    }
}
