//! Expected end of a job that is submitted now, from the load that the owner of its cell published.
//!
//! Only work that goes before the job counts: that of more urgent queues, that which has to start earlier by the order of
//! placement, and of other accounts only as much as goes first while the job's account gets its share of the pool. Capacity
//! counts from when it arrives.

use std::time::Duration;

use cj_sched::{
    JobSpec,
    load_report::{ArrivingCapacity, LATE, PoolLoad, PoolRunTimes},
    sched::TIME_MARGIN,
};

use crate::load_view::AcceptedWork;

/// Time from a submission until the owner has requested a VM for it, and from the start of a VM until it takes tasks.
const REQUEST_TIME: Duration = Duration::from_millis(300);

/// Share of the capacity of a VM that tasks fill in practice, as in the planning of pool sizes.
const USABLE_SHARE: f64 = 0.8;

/// Typical error of an expected wait, as a share of it: run times and the demand for VMs vary.
const WAIT_ERROR: f64 = 0.25;

/// Smallest typical error of an expected wait, in seconds.
const MIN_WAIT_ERROR: f64 = 0.1;

/// Account of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobAccount {
    /// Digest of its name; see [`account_digest`](cj_sched::load_report::account_digest).
    pub digest: u32,
    /// Its weight relative to the others.
    pub weight: f64,
}

/// A job to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct JobRequest<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// Priority of its queue.
    pub priority: u32,
    /// Latency objective, in multiples of the duration of the critical path.
    pub stretch: f32,
    /// Constant added to the latency objective.
    pub target: Duration,
    /// Its account, if accounts share the pool.
    pub account: Option<JobAccount>,
}

/// What a node knows about the load of a pool.
#[derive(Clone, Debug)]
pub struct PoolView<'a> {
    /// The load.
    pub load: &'a PoolLoad,
    /// Time since the load was taken.
    pub age: Duration,
    /// What this node accepted since then.
    pub accepted: AcceptedWork,
    /// Time that a VM takes to move to another pool.
    pub move_time: Duration,
}

/// Expected end of a job, and what it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedEnd {
    /// The pool has free room for the job.
    pub has_room: bool,
    /// Time until its first step has started.
    pub wait: Duration,
    /// The wait up to which its owner counts it as in time.
    pub longest_wait: Duration,
    /// Time until it ends.
    pub end: Duration,
    /// Latency objective by the learned run times.
    pub objective: Duration,
    /// Likelihood that it ends within its objective.
    pub likelihood: f64,
    /// Work that goes before it, in millicores times seconds.
    pub ahead: f64,
}

/// Expected demand of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JobDemand {
    /// Time from its first start to its end, without any waiting.
    pub span: Duration,
    /// Processors of the steps that are ready at once, in millicores.
    pub first_cores: f64,
    /// Work of these steps, in millicores times seconds.
    pub first_work: f64,
    /// Work of all its steps.
    pub work: f64,
}

impl JobDemand {
    /// The demand of a job with these learned run times.
    pub fn new(spec: &JobSpec, run_times: &PoolRunTimes) -> Self {
        let span = spec.critical_path_by(|_, step| run_times.of_step(step.estimate).1);
        let mut demand = JobDemand { span, ..JobDemand::default() };
        for step in &spec.steps {
            let cores = f64::from(step.count) * f64::from(step.allocation().cores.0);
            let work = cores * run_times.of_step(step.estimate).0.as_secs_f64();
            demand.work += work;
            if step.after.is_empty() {
                demand.first_cores += cores;
                demand.first_work += work;
            }
        }
        demand
    }
}

/// The expected end of a job. `None` if the objective doesn't tell jobs apart: it leaves no time for any wait, or the pool is too
/// small for the job, also with all that it could get.
pub fn expected_end(view: &PoolView<'_>, job: &JobRequest<'_>) -> Option<ExpectedEnd> {
    let load = view.load;
    let demand = JobDemand::new(job.spec, &load.run_times);
    let objective = demand.span.mul_f32(job.stretch.max(1.0)) + job.target;
    // The owner places jobs that are no longer in time after all others.
    let longest_wait = objective.checked_sub(demand.span.mul_f32(TIME_MARGIN))?;
    let arriving: f64 = load.arriving.iter().map(|arriving| f64::from(arriving.cores)).sum();
    let most = f64::from(load.capacity) + (arriving + f64::from(load.obtainable)) * USABLE_SHARE;
    if longest_wait.is_zero() || demand.first_work > most * longest_wait.as_secs_f64() {
        return None;
    }
    let ahead = work_ahead(view, job, &demand, objective.saturating_sub(demand.span));
    let mean_task = demand.first_work / demand.first_cores.max(1.0);
    let wait = time_to_start(view, ahead + demand.first_work, mean_task)?;
    let wait = (wait - view.age.as_secs_f64()).max(0.0);
    let error = (wait * WAIT_ERROR).max(MIN_WAIT_ERROR);
    let likelihood = 1.0 / (1.0 + ((wait - longest_wait.as_secs_f64()) / error).exp());
    let wait = Duration::from_secs_f64(wait.min(f64::from(u32::MAX)));
    let taken = view.accepted.cores + accepted_elsewhere(view) / mean_task.max(f64::MIN_POSITIVE);
    let free = f64::from(load.free) - f64::from(load.asked) - taken;
    let has_room = free >= demand.first_cores;
    let end = wait + demand.span;
    Some(ExpectedEnd { has_room, wait, longest_wait, end, objective, likelihood, ahead })
}

/// Work that goes before a job whose latest start is after `slack`, in millicores times seconds.
fn work_ahead(
    view: &PoolView<'_>,
    job: &JobRequest<'_>,
    demand: &JobDemand,
    slack: Duration,
) -> f64 {
    let load = view.load;
    let latest_start = (view.age + slack).as_secs_f64() * 1e3;
    let (mut urgent, mut earlier, mut in_time) = (0.0, 0.0, 0.0);
    let mut from = 0.0;
    for band in &load.waiting {
        let (until, work) = (f64::from(band.latest_start_ms), f64::from(band.work));
        if band.priority < job.priority {
            urgent += work;
        } else if band.priority == job.priority && band.latest_start_ms != LATE {
            let part = if until <= latest_start {
                1.0
            } else {
                ((latest_start - from) / (until - from).max(1.0)).clamp(0.0, 1.0)
            };
            earlier += work * part;
            in_time += work;
            from = until;
        }
    }
    let (accepted, others) = (view.accepted.work, accepted_elsewhere(view));
    let (earlier, all) = (earlier + accepted + others, in_time + accepted + others);
    urgent
        + match job.account {
            Some(account) => earlier_by_share(view, account, demand.work, earlier, all, others),
            None => earlier,
        }
}

/// Work that other nodes are expected to have accepted since the load was taken, in millicores times seconds.
fn accepted_elsewhere(view: &PoolView<'_>) -> f64 {
    let all = f64::from(view.load.arrival_rate) * view.age.as_secs_f64();
    (all - view.accepted.work).max(0.0)
}

/// The part of the work `earlier` by latest start, of `all` that waits, that goes before a job of an account. While the
/// account has no more than its share, others go first only as far as their weights allow. An account that has more waits
/// for the work of the others that is within their shares, whatever its latest start.
fn earlier_by_share(
    view: &PoolView<'_>,
    account: JobAccount,
    job_work: f64,
    earlier: f64,
    all: f64,
    others: f64,
) -> f64 {
    let part_earlier = if all > 0.0 { earlier / all } else { 0.0 };
    let known = f64::max(all - others - view.accepted.work, 1.0);
    // What other nodes accepted is assumed to belong to the listed accounts in proportion to their work.
    let growth = 1.0 + others / known;
    let mut rest = all;
    let (mut own, mut own_waiting, mut weights) = (0.0, 0.0, account.weight);
    let mut competing: Vec<(f64, f64)> = Vec::new();
    for listed in &view.load.accounts {
        let weight = f64::from(listed.weight.max(1)) / 100.0;
        let accepted = view.accepted.of_account(listed.account);
        let waiting = (f64::from(listed.work) * growth + accepted).min(rest);
        rest -= waiting;
        if listed.account == account.digest {
            own_waiting += waiting;
            own += waiting * part_earlier;
        } else {
            weights += weight;
            competing.push((weight, waiting));
        }
    }
    for (&digest, &(weight, work)) in &view.accepted.accounts {
        if view.load.accounts.iter().any(|listed| listed.account == digest) {
            continue;
        }
        let work = work.min(rest);
        rest -= work;
        if digest == account.digest {
            own_waiting += work;
            own += work;
        } else {
            weights += weight;
            competing.push((weight, work));
        }
    }
    let before = own + job_work;
    let share = |(weight, waiting): &(f64, f64)| waiting.min(weight / account.weight * before);
    let by_share = own + competing.iter().map(share).sum::<f64>() + rest * part_earlier;
    // True if the account has more than its share of what waits.
    let is_over = own_waiting > all * account.weight / weights;
    if is_over { by_share } else { by_share.min(earlier) }
}

/// Time, from when the load was taken, until the pool has started this much work, in seconds. Each core that becomes free or
/// arrives starts a task at once, and goes on with the next one when that ends. `None` if it never does.
fn time_to_start(view: &PoolView<'_>, work: f64, mean_task: f64) -> Option<f64> {
    let load = view.load;
    let obtained_at = view.age + REQUEST_TIME + view.move_time;
    let obtained = (obtained_at.as_secs_f64(), f64::from(load.obtainable) * USABLE_SHARE);
    let arrival = |arriving: &ArrivingCapacity| {
        (f64::from(arriving.after_ms) / 1e3, f64::from(arriving.cores) * USABLE_SHARE)
    };
    let mut gains: Vec<(f64, f64)> = load.arriving.iter().map(arrival).collect();
    gains.push(obtained);
    gains.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut rate = f64::from(load.capacity);
    let (mut at, mut started) = (0.0, f64::from(load.free) * mean_task);
    for (gained_at, cores) in gains {
        let until = started + rate * (gained_at - at);
        if until >= work {
            break;
        }
        (at, started) = (gained_at, until + cores * mean_task);
        rate += cores;
    }
    if started >= work {
        return Some(at);
    }
    (rate > 0.0).then(|| at + (work - started) / rate)
}
