//! What a node knows about the load of a cell: the last load that its owner published, and the jobs that this node accepted
//! since.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use cj_sched::load_report::{LoadReport, PoolLoad};
use cj_types::ServiceId;

use crate::expected_end::JobAccount;

/// A load that is older than this isn't used.
const MAX_AGE: Duration = Duration::from_secs(2);

/// The load of an owner isn't used before its ownership has lasted this long: it may not have read all jobs, and doesn't know
/// yet how long tasks run.
const MIN_OWNERSHIP: Duration = Duration::from_secs(2);

/// Time from when the owner publishes a load until a node reads it, on average.
const READ_TIME: Duration = Duration::from_millis(100);

/// Time from the acceptance of a job until the owner has read it.
const SUBMISSION_TIME: Duration = Duration::from_millis(100);

/// Most accepted jobs that are kept. At more, the oldest are dropped.
const MAX_ACCEPTED: usize = 4_096;

/// A job that this node accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceptedJob {
    /// Its account.
    pub account: Option<JobAccount>,
    /// Its work, in millicores times seconds.
    pub work: f64,
    /// Processors that it asks for at first, in millicores.
    pub cores: f64,
}

/// What was accepted since a load was taken.
#[derive(Clone, Debug, Default)]
pub struct AcceptedWork {
    /// Work of the jobs, in millicores times seconds.
    pub work: f64,
    /// Processors that the jobs ask for at first, in millicores.
    pub cores: f64,
    /// Weights and work of their accounts, by digest.
    pub accounts: BTreeMap<u32, (f64, f64)>,
}

impl AcceptedWork {
    /// Adds a job.
    pub fn add(&mut self, job: &AcceptedJob) {
        self.work += job.work;
        self.cores += job.cores;
        if let Some(account) = job.account {
            self.accounts.entry(account.digest).or_insert((account.weight, 0.0)).1 += job.work;
        }
    }

    /// Work of the jobs of an account, in millicores times seconds.
    pub fn of_account(&self, digest: u32) -> f64 {
        self.accounts.get(&digest).map_or(0.0, |(_, work)| *work)
    }
}

/// What a node knows about the load of a cell.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// The last load, and when it was taken by the clock of this node.
    last: Option<(LoadReport, Instant)>,
    /// Jobs that this node accepted of late, the oldest first.
    accepted: VecDeque<(Instant, ServiceId, AcceptedJob)>,
}

impl LoadView {
    /// Records a load that was read now, unless one of a later owner is known.
    pub fn record(&mut self, report: LoadReport, now: Instant) {
        if self.last.as_ref().is_some_and(|(known, _)| known.epoch > report.epoch) {
            return;
        }
        let age = Duration::from_millis(u64::from(report.age_ms)) + READ_TIME;
        let taken_at = now.checked_sub(age).unwrap_or(now);
        self.last = Some((report, taken_at));
    }

    /// Records that this node accepted a job.
    pub fn add_accepted(&mut self, service: ServiceId, job: AcceptedJob, now: Instant) {
        let outdated = |at: Instant| now.saturating_duration_since(at) > MAX_AGE + SUBMISSION_TIME;
        while self.accepted.len() >= MAX_ACCEPTED
            || self.accepted.front().is_some_and(|(at, ..)| outdated(*at))
        {
            self.accepted.pop_front();
        }
        self.accepted.push_back((now, service, job));
    }

    /// The load of a service with its age, unless it is too old or missing, or comes from an owner that is new, or one before
    /// the owner with fencing token `epoch`.
    pub fn pool(
        &self,
        service: &ServiceId,
        epoch: u64,
        now: Instant,
    ) -> Option<(&PoolLoad, Duration)> {
        let (report, taken_at) = self.last.as_ref()?;
        let age = now.saturating_duration_since(*taken_at);
        let owned = Duration::from_millis(u64::from(report.owned_ms));
        if report.epoch < epoch || age > MAX_AGE || owned < MIN_OWNERSHIP {
            return None;
        }
        let (_, load) = report.pools.iter().find(|(name, _)| name == service)?;
        Some((load, age))
    }

    /// The jobs of a service that this node accepted since the load was taken, or too shortly before for the owner to know.
    pub fn accepted_since(&self, service: &ServiceId, age: Duration, now: Instant) -> AcceptedWork {
        let recent = self.accepted.iter().rev();
        let recent = recent
            .take_while(|(at, ..)| now.saturating_duration_since(*at) < age + SUBMISSION_TIME);
        let mut accepted = AcceptedWork::default();
        for (_, _, job) in recent.filter(|(_, name, _)| name == service) {
            accepted.add(job);
        }
        accepted
    }
}
