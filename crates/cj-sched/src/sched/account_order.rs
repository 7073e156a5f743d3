//! Order of the accounts in a full pool: weighted fair queueing by recent service.
//!
//! Steps of the same priority and timeliness are placed in the order of their ranks, except that an account that got more of
//! the pool of late than another one that waits, relative to their weights, lets that one go first. Exceptions:
//!
//! - Jobs of which tasks have run keep their place: finishing them frees their callers and wastes no work.
//! - Differences up to the size of a job don't count, since reordering for them makes jobs late and evens nothing out.
//! - A job that can be in time lets another account go first only if that saves a job of that account from being late.
//! - An account with less than half of its share running keeps its place, whatever it got before, so none starves.

use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    time::Duration,
};

use cj_types::ServiceId;
use log::info;

use crate::sched::{
    ledger::AccountSlot,
    pass::{Pass, Turn},
    place::Candidate,
    scheduler::Scheduler,
    work::TaskRef,
};

/// Lead of an account over another that isn't evened out, in jobs of average size.
const TOLERATED_JOBS: f32 = 1.0;

/// An account with less than this part of its share running keeps its place.
const KEPT_SHARE: f32 = 0.5;

/// A job counts as at risk if the work before it takes longer than the time that it has, divided by this. Estimates are wrong by
/// a factor of two and more, and a job counts as late some time before its latest start. With 2, a tenfold flood made up to a
/// ninth of the jobs of others late.
const RISK_FACTOR: f32 = 4.0;

/// A pool counts as full after this many turns without a start, and the others are looked at in the order of their ranks.
const MAX_TURNS_WITHOUT_START: u32 = 16;

/// Shapes of waiting steps whose work is added up for a candidate. Jobs of more are rare, and each look costs time.
const COUNTED_SHAPES: usize = 4;

/// Candidates of one account in one pool, in the order of their ranks, by index in their group.
struct AccountQueue {
    account: AccountSlot,
    weight: f32,
    /// Recent service by weight.
    level: f32,
    /// Less than [`KEPT_SHARE`] of its share is running.
    keeps_place: bool,
    waiting: VecDeque<usize>,
    /// The last candidate that is late unless other accounts let it go first, and that may be in time if they do.
    last_at_risk: Option<usize>,
    /// Work of its candidates so far, in seconds of the whole pool.
    work: f32,
    /// The present turn of the first candidate.
    turn: Option<Turn>,
}

impl AccountQueue {
    /// True if one of its candidates that rank after the candidate `behind` is at risk.
    fn has_at_risk(&self, behind: usize) -> bool {
        let first = self.waiting.front();
        first.zip(self.last_at_risk).is_some_and(|(first, last)| last >= *first && last > behind)
    }
}

/// Candidates of a group in one pool.
struct PoolQueues<'a> {
    service: &'a ServiceId,
    accounts: Vec<AccountQueue>,
    /// Indices in `accounts`.
    by_account: HashMap<AccountSlot, usize>,
    /// Candidates that keep their places.
    unordered: VecDeque<usize>,
    /// Work of all candidates up to now, with that of earlier groups, in seconds of the whole pool.
    work_ahead: f32,
    /// Mean work of a candidate, in seconds of the whole pool.
    mean_work: f32,
}

/// Queue that has the next turn.
#[derive(Clone, Copy)]
enum Next {
    Unordered,
    Account {
        queue: usize,
        /// The queue that would have had the turn by rank.
        instead_of: Option<usize>,
    },
}

impl PoolQueues<'_> {
    /// The queue whose first candidate is placed next.
    fn next(&self) -> Option<Next> {
        let waiting = || self.accounts.iter().enumerate().filter(|(_, q)| !q.waiting.is_empty());
        let first = |found: &(usize, &AccountQueue)| found.1.waiting.front().copied();
        let by_rank = waiting().min_by_key(first);
        let unordered = self.unordered.front().copied();
        let Some((ahead, queue)) = by_rank else { return unordered.map(|_| Next::Unordered) };
        let index = queue.waiting.front().copied()?;
        if unordered.is_some_and(|unordered| unordered < index) {
            return Some(Next::Unordered);
        }
        let lowest = waiting().map(|(_, q)| q.level).fold(f32::INFINITY, f32::min);
        let tolerated = TOLERATED_JOBS * self.mean_work;
        let is_ahead =
            |q: &AccountQueue| !q.keeps_place && (q.level - lowest) * q.weight > tolerated;
        let in_order = Next::Account { queue: ahead, instead_of: None };
        let helps_other = || waiting().any(|(_, q)| !is_ahead(q) && q.has_at_risk(index));
        if !is_ahead(queue) || !helps_other() {
            return Some(in_order);
        }
        let behind = waiting().filter(|(_, q)| !is_ahead(q)).min_by_key(first);
        let Some((chosen, favoured)) = behind else { return Some(in_order) };
        if unordered.is_some_and(|unordered| Some(unordered) < favoured.waiting.front().copied()) {
            return Some(Next::Unordered);
        }
        Some(Next::Account { queue: chosen, instead_of: Some(ahead) })
    }
}

impl Scheduler {
    /// Number of jobs whose tasks were passed over in favour of another account.
    pub fn account_deferrals(&self) -> u64 {
        self.account_service.deferrals
    }

    /// Places candidates of the same priority and timeliness, those of accounts that got little of late first.
    pub(super) fn place_group_by_account(&mut self, group: &[Candidate], pass: &mut Pass) {
        for pool in self.queues_by_account(group, pass) {
            self.place_pool(group, pool, pass);
        }
    }

    /// The candidates of a group by pool and account, in the order of their ranks.
    fn queues_by_account<'a>(
        &self,
        group: &'a [Candidate],
        pass: &mut Pass,
    ) -> Vec<PoolQueues<'a>> {
        let mut pools: Vec<PoolQueues<'a>> = Vec::new();
        let mut by_service: HashMap<&ServiceId, usize> = HashMap::new();
        for (index, candidate) in group.iter().enumerate() {
            let service = &candidate.service;
            let number = *by_service.entry(service).or_insert_with(|| {
                pools.push(PoolQueues {
                    service,
                    accounts: Vec::new(),
                    by_account: HashMap::new(),
                    unordered: VecDeque::new(),
                    work_ahead: pass.work_ahead.get(service).copied().unwrap_or_default(),
                    mean_work: 0.0,
                });
                pools.len() - 1
            });
            self.add_candidate(&mut pools[number], index, candidate, pass);
        }
        for pool in &mut pools {
            let count: usize = pool.accounts.iter().map(|queue| queue.waiting.len()).sum();
            pool.mean_work /= count.max(1) as f32;
            pass.work_ahead.insert(pool.service.clone(), pool.work_ahead);
        }
        pools
    }

    /// Adds a candidate to the queue of its account, or to those that keep their places.
    fn add_candidate(
        &self,
        pool: &mut PoolQueues<'_>,
        index: usize,
        candidate: &Candidate,
        pass: &Pass,
    ) {
        let work = self.waiting_work(candidate, pass);
        let ahead = pool.work_ahead;
        pool.work_ahead += work;
        let job = &self.jobs[candidate.at.job];
        let keeps_place =
            job.occurrence(candidate.at).started || job.submission.spec.is_long_running();
        let Some(account) = job.account.filter(|_| !keeps_place) else {
            pool.unordered.push_back(index);
            return;
        };
        let number = match pool.by_account.entry(account) {
            Entry::Occupied(known) => *known.get(),
            Entry::Vacant(vacant) => {
                pool.accounts.push(self.account_queue(account));
                *vacant.insert(pool.accounts.len() - 1)
            }
        };
        let queue = &mut pool.accounts[number];
        if is_at_risk(candidate.slack, ahead, queue.work) {
            queue.last_at_risk = Some(index);
        }
        queue.work += work;
        queue.waiting.push_back(index);
        pool.mean_work += work;
    }

    /// A queue without candidates.
    fn account_queue(&self, account: AccountSlot) -> AccountQueue {
        AccountQueue {
            account,
            weight: self.ledger.usage(account).weight.value(),
            level: 0.0,
            keeps_place: false,
            waiting: VecDeque::new(),
            last_at_risk: None,
            work: 0.0,
            turn: None,
        }
    }

    /// Expected work of the ready tasks of a candidate, in seconds of the whole pool.
    fn waiting_work(&self, candidate: &Candidate, pass: &Pass) -> f32 {
        let Some(shares) = pass.pools.get(&candidate.service) else { return 0.0 };
        let job = &self.jobs[candidate.at.job];
        let occurrence = job.occurrence(candidate.at);
        let mut work = 0.0;
        for steps in occurrence.startable.values().take(COUNTED_SHAPES) {
            // Steps of the same shape are about alike.
            let Some(&number) = steps.first() else { continue };
            let (spec, step) =
                (job.step_spec(number), job.step(TaskRef { step: number, ..candidate.at }));
            if spec.long_running {
                continue;
            }
            let time = self.expected_run_time(job, number, step).as_secs_f32();
            let tasks = (step.idle.len() * steps.len()) as f32;
            work += shares.share_of(spec.demand) * tasks * time;
        }
        work
    }

    /// Updates the recent service of an account, and whether it keeps its place.
    fn update_level(&self, queue: &mut AccountQueue, service: &ServiceId, pass: &Pass) {
        let Some(shares) = pass.pools.get(service) else { return };
        queue.level = self.account_service.served(service, shares, queue.account) / queue.weight;
        let kept = shares.entitled_share(queue.weight) * KEPT_SHARE;
        queue.keeps_place = shares.running_share(queue.account) < kept;
    }

    /// Places the candidates of a group in one pool.
    fn place_pool(&mut self, group: &[Candidate], mut pool: PoolQueues<'_>, pass: &mut Pass) {
        for queue in &mut pool.accounts {
            self.update_level(queue, pool.service, pass);
        }
        let mut over_share = Vec::new();
        let mut without_start = 0;
        while without_start < MAX_TURNS_WITHOUT_START && !pass.is_used_up(pool.service) {
            let started = match pool.next() {
                None => break,
                Some(Next::Unordered) => {
                    let Some(index) = pool.unordered.pop_front() else { break };
                    let candidate = &group[index];
                    let is_long_running =
                        self.jobs[candidate.at.job].submission.spec.is_long_running();
                    if is_long_running && self.is_over_share(candidate, pass) {
                        over_share.push(index);
                        continue;
                    }
                    self.place_whole(candidate, pass)
                }
                Some(Next::Account { queue, instead_of }) => {
                    let started = self.place_first(group, &mut pool, queue, pass);
                    if let Some(ahead) = instead_of.filter(|_| started > 0) {
                        self.record_deferral(group, &pool, ahead, queue);
                    }
                    started
                }
            };
            without_start = if started > 0 { 0 } else { without_start + 1 };
        }
        self.place_rest(group, pool, over_share, pass);
    }

    /// Gives a candidate its turn, and returns how many tasks it started.
    fn place_whole(&mut self, candidate: &Candidate, pass: &mut Pass) -> u32 {
        let mut turn = self.begin_turn(candidate);
        let mut sum = 0;
        while let Some(step) = self.next_step(candidate, &mut turn, pass) {
            let started = self.place_next(candidate, step, &mut turn, pass);
            self.add_to_share(candidate, step, started, pass);
            sum += started;
        }
        sum
    }

    /// Places one step of the first candidate of an account, and returns how many tasks it started.
    fn place_first(
        &mut self,
        group: &[Candidate],
        pool: &mut PoolQueues<'_>,
        number: usize,
        pass: &mut Pass,
    ) -> u32 {
        let queue = &mut pool.accounts[number];
        let Some(&index) = queue.waiting.front() else { return 0 };
        let candidate = &group[index];
        let mut turn = queue.turn.take().unwrap_or_else(|| self.begin_turn(candidate));
        let Some(step) = self.next_step(candidate, &mut turn, pass) else {
            queue.waiting.pop_front();
            return 0;
        };
        let started = self.place_next(candidate, step, &mut turn, pass);
        self.add_to_share(candidate, step, started, pass);
        queue.turn = Some(turn);
        if started > 0 {
            self.update_level(queue, pool.service, pass);
        }
        started
    }

    /// Places what is left in the order of rank, and `over_share` after it: the pool is full, or nobody competes for it any more.
    fn place_rest(
        &mut self,
        group: &[Candidate],
        mut pool: PoolQueues<'_>,
        over_share: Vec<usize>,
        pass: &mut Pass,
    ) {
        let mut rest: Vec<(usize, Option<Turn>)> = Vec::new();
        rest.extend(pool.unordered.into_iter().map(|index| (index, None)));
        for queue in &mut pool.accounts {
            let mut turn = queue.turn.take();
            rest.extend(queue.waiting.iter().map(|index| (*index, turn.take())));
        }
        rest.sort_by_key(|(index, _)| *index);
        rest.extend(over_share.into_iter().map(|index| (index, None)));
        for (index, turn) in rest {
            let turn = turn.unwrap_or_else(|| self.begin_turn(&group[index]));
            self.take_turn(&group[index], turn, pass);
        }
    }

    /// Counts and logs that the first job of an account let another account go first.
    fn record_deferral(
        &mut self,
        group: &[Candidate],
        pool: &PoolQueues<'_>,
        ahead: usize,
        favoured: usize,
    ) {
        let (ahead, favoured) = (&pool.accounts[ahead], &pool.accounts[favoured]);
        let Some(&index) = ahead.waiting.front() else { return };
        let job = &mut self.jobs[group[index].at.job];
        if std::mem::replace(&mut job.deferred, true) {
            return;
        }
        let key = job.key;
        self.account_service.deferrals += 1;
        if !self.account_service.begin_log(pool.service, self.now.mono) {
            return;
        }
        info!(
            target: "decision",
            "job={key} account={} choice=defer reason=account_share pool={} served_ms={:.0} weight={} favoured={} favoured_served_ms={:.0} favoured_weight={} deferrals={} config={} epoch={}",
            self.ledger.usage(ahead.account).id, pool.service, ahead.level * ahead.weight * 1e3,
            ahead.weight, self.ledger.usage(favoured.account).id,
            favoured.level * favoured.weight * 1e3, favoured.weight,
            self.account_service.deferrals, self.config.version, self.epoch
        );
    }
}

/// True if a candidate may miss its latency objective when it waits for all work before it, `ahead`, and not when it waits only
/// for that of its own account, `own`, both in seconds of the whole pool. One without an objective, or that is late anyway, has
/// no `slack` and counts as at risk.
fn is_at_risk(slack: Option<Duration>, ahead: f32, own: f32) -> bool {
    let at_risk = |slack: f32| ahead * RISK_FACTOR > slack && own <= slack;
    slack.is_none_or(|slack| at_risk(slack.as_secs_f32()))
}
