//! Decides whether a cell has room for a submitted job, by what the node has read of the cell's load.

use std::time::Duration;

use cj_sched::{
    JobKey, JobSpec, Queue, Weight,
    load_report::{LoadReport, account_digest},
};
use cj_types::{AccountId, Clock};
use log::info;

use crate::{
    admission::{AdmissionDecision, admit, admit_by_end, backlog_time},
    expected_end::{ExpectedEnd, JobAccount, JobDemand, JobRequest, PoolView},
    load_view::AcceptedJob,
    log_context::LogContext,
    member::CellMember,
    platform::Platform,
};

/// What an admission decision is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Basis {
    /// The whole backlog of the service.
    Backlog,
    /// The expected end of the job, by a load of this age.
    ExpectedEnd(ExpectedEnd, Duration),
}

impl Basis {
    /// Name in log lines and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Basis::Backlog => "backlog",
            Basis::ExpectedEnd(..) => "expected_end",
        }
    }
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Decides whether to accept a job, and counts it for later decisions if it is accepted.
    pub(crate) fn check_submission(
        &self,
        queue: &Queue,
        account: Option<&AccountId>,
        key: JobKey,
        spec: &JobSpec,
        objective: Duration,
    ) -> (AdmissionDecision, Basis) {
        let (choice, basis) = self.decide_admission(queue, account, key, spec, objective);
        if choice == AdmissionDecision::Accept && self.admits_by_end(spec) {
            let now = self.node.clock.now();
            let account = self.sharing_account(account);
            let mut view = self.load_view.borrow_mut();
            let load = view.pool(&queue.service, self.owner_epoch(), now);
            let run_times = load.map(|(load, _)| load.run_times).unwrap_or_default();
            let demand = JobDemand::new(spec, &run_times);
            let job = AcceptedJob { account, work: demand.work, cores: demand.first_cores };
            view.add_accepted(queue.service.clone(), job, now);
        }
        (choice, basis)
    }

    /// Decides whether a job would be accepted. Without a recent load of an established owner, the whole backlog counts.
    pub(crate) fn decide_admission(
        &self,
        queue: &Queue,
        account: Option<&AccountId>,
        key: JobKey,
        spec: &JobSpec,
        objective: Duration,
    ) -> (AdmissionDecision, Basis) {
        let by_backlog = || {
            let heartbeat = self.owner_heartbeat();
            let decision = admit(heartbeat.as_ref(), &queue.service, spec, objective);
            (decision, Basis::Backlog)
        };
        if !self.admits_by_end(spec) {
            return by_backlog();
        }
        let now = self.node.clock.now();
        let view = self.load_view.borrow();
        let Some((load, age)) = view.pool(&queue.service, self.owner_epoch(), now) else {
            return by_backlog();
        };
        let pool = PoolView {
            load,
            age,
            accepted: view.accepted_since(&queue.service, age, now),
            move_time: self.node.settings.limits.move_time,
        };
        let request = JobRequest {
            spec,
            priority: queue.priority,
            stretch: queue.stretch,
            target: queue.target,
            account: self.sharing_account(account),
        };
        let decided = admit_by_end(&pool, key, &request);
        let decision = decided.map(|(choice, end)| (choice, Basis::ExpectedEnd(end, age)));
        decision.unwrap_or_else(by_backlog)
    }

    /// True if the expected end of a job decides on it.
    fn admits_by_end(&self, spec: &JobSpec) -> bool {
        let policies = self.node.settings.policies;
        policies.admit && !spec.is_long_running() && spec.schedule.is_none()
    }

    /// Fencing token in the last heartbeat of the owner; 0 if none is known.
    fn owner_epoch(&self) -> u64 {
        self.owner_heartbeat().map_or(0, |heartbeat| heartbeat.epoch)
    }

    /// The account of a job, if accounts share the pools.
    fn sharing_account(&self, account: Option<&AccountId>) -> Option<JobAccount> {
        let shared = account.filter(|_| self.node.settings.policies.share);
        shared.map(|id| self.job_account(id))
    }

    /// An account with its weight by the configuration.
    fn job_account(&self, id: &AccountId) -> JobAccount {
        let config = self.node.config.borrow();
        let known = config.as_ref().and_then(|config| config.account(id));
        let weight = known.map_or(Weight::DEFAULT, |account| account.weight);
        JobAccount { digest: account_digest(id), weight: f64::from(weight.value()) }
    }

    /// Records a load that the owner published.
    pub(crate) fn record_load(&self, report: LoadReport) {
        self.load_view.borrow_mut().record(report, self.node.clock.now());
    }

    /// The load to publish, if there is a new one, with its age.
    pub(crate) fn take_load_report(&self) -> Option<LoadReport> {
        let (mut report, taken_at) = self.load_report.take()?;
        let age = self.node.clock.now().saturating_duration_since(taken_at);
        report.age_ms = age.as_millis() as u32;
        Some(report)
    }

    /// Logs the load that led to a refusal, and its age.
    pub(crate) fn log_overload(
        &self,
        job: JobKey,
        queue: &Queue,
        objective: Duration,
        basis: &Basis,
    ) {
        let Some(heartbeat) = self.owner_heartbeat() else { return };
        let (service, epoch, name) = (&queue.service, heartbeat.epoch, basis.name());
        let context = LogContext(Some(self));
        match basis {
            Basis::ExpectedEnd(expected, age) => info!(
                target: "decision",
                "job={job} reason=overload basis={name} service={service} wait_ms={} objective_ms={} epoch={epoch} {context} load_age_ms={} max_wait_ms={} end_ms={} likelihood={:.2} ahead_m_s={:.0}",
                expected.wait.as_millis(), expected.objective.as_millis(), age.as_millis(),
                expected.longest_wait.as_millis(), expected.end.as_millis(), expected.likelihood, expected.ahead
            ),
            Basis::Backlog => {
                let load = heartbeat.load.iter().find(|(name, _)| name == service);
                let wait = load.map(|(_, load)| backlog_time(load)).unwrap_or_default();
                let age = self.load_age().unwrap_or_default();
                info!(
                    target: "decision",
                    "job={job} reason=overload basis={name} service={service} wait_ms={} objective_ms={} epoch={epoch} {context} load_age_ms={}",
                    wait.as_millis(), objective.as_millis(), age.as_millis()
                );
            }
        }
    }
}
