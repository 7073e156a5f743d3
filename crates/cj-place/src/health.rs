//! Distinguishes workers that fail every job from jobs that fail on every worker.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use compact_str::CompactString;

use cj_types::{JobId, UnixMillis, VmId};

/// Different jobs that fail in a row on a worker before it is ejected.
const EJECTION_FAILED_JOBS: usize = 3;
/// Concurrent jobs on a worker without a success yet; limits the work that a faulty worker can lose.
const MAX_TRIAL_TASKS: u32 = 4;
/// Concurrent jobs on a worker whose last job failed, or that returns from an ejection.
const MAX_SUSPECT_TASKS: u32 = 1;
/// Duration of the first ejection; doubles with each further one up to the longest.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(300);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4800);
/// One worker in this many may be ejected per pool, but always at least one.
const EJECTED_DIVISOR: usize = 4;
/// Healthy workers on which a job has to fail before the job counts as the cause.
const MIN_POISON_WORKERS: usize = 3;
/// Time for which a success shows that a worker is healthy.
const SUCCESS_LIFETIME: Duration = Duration::from_secs(3600);

#[derive(Default)]
/// Failures, successes and ejections of one worker.
struct WorkerRecord {
    /// Jobs that failed since the last success.
    failed_jobs: BTreeSet<JobId>,
    last_success: Option<UnixMillis>,
    ejected_until: Option<UnixMillis>,
    ejections: u32,
    /// True from an ejection to the next success; one failure then leads to another ejection.
    probation: bool,
}

/// Failures, successes and ejections of workers.
#[derive(Default)]
pub(crate) struct WorkerHealth {
    workers: BTreeMap<VmId, WorkerRecord>,
}

impl WorkerHealth {
    /// Records a success: a finished job or a task that has run long enough.
    pub(crate) fn record_success(&mut self, vm: &VmId, at: UnixMillis) {
        let record = self.workers.entry(vm.clone()).or_default();
        record.failed_jobs.clear();
        record.last_success = Some(at);
        record.probation = false;
    }

    /// Records a failed attempt of a job, given all failures of the job so far. `pool` is the number of workers among
    /// which ejections are limited, `ejected` how many of them are ejected. Returns true when the worker is ejected.
    pub(crate) fn record_failure(
        &mut self,
        vm: &VmId,
        (job, failures): (&JobId, &[(VmId, CompactString)]),
        now: UnixMillis,
        (ejected, pool): (usize, usize),
    ) -> bool {
        if self.poison_evidence(failures, now).is_some() {
            // The job is the cause; its failures no longer count against the workers.
            for record in self.workers.values_mut() {
                record.failed_jobs.remove(job);
            }
            return false;
        }
        let record = self.workers.entry(vm.clone()).or_default();
        record.failed_jobs.insert(job.clone());
        let faulty = record.failed_jobs.len() >= EJECTION_FAILED_JOBS || record.probation;
        if !faulty || self.is_ejected(vm, now) || ejected >= (pool / EJECTED_DIVISOR).max(1) {
            return false;
        }
        let record = self.workers.entry(vm.clone()).or_default();
        let duration =
            MIN_EJECTION_TIME.saturating_mul(1 << record.ejections.min(4)).min(MAX_EJECTION_TIME);
        record.ejected_until = Some(now + duration);
        record.ejections += 1;
        record.probation = true;
        true
    }

    /// Drops the records of workers that aren't known any more.
    pub(crate) fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&VmId) -> bool,
    {
        self.workers.retain(|vm, _| is_known(vm));
    }

    pub(crate) fn is_ejected(&self, vm: &VmId, now: UnixMillis) -> bool {
        self.workers.get(vm).is_some_and(|r| r.ejected_until.is_some_and(|until| now < until))
    }

    /// Jobs that may run concurrently on a worker, or `None` without a limit.
    pub(crate) fn task_limit(&self, vm: &VmId) -> Option<u32> {
        let Some(record) = self.workers.get(vm) else {
            return Some(MAX_TRIAL_TASKS);
        };
        if record.probation || !record.failed_jobs.is_empty() {
            return Some(MAX_SUSPECT_TASKS);
        }
        record.last_success.is_none().then_some(MAX_TRIAL_TASKS)
    }

    /// True when a worker had a recent success and isn't ejected.
    pub(crate) fn is_proven(&self, vm: &VmId, now: UnixMillis) -> bool {
        let recent = |at: UnixMillis| now.since(at) < SUCCESS_LIFETIME;
        let record = self.workers.get(vm);
        record.is_some_and(|r| r.last_success.is_some_and(recent)) && !self.is_ejected(vm, now)
    }

    /// Number of healthy workers on which a job failed, if it is at least [`MIN_POISON_WORKERS`]: then the job is the
    /// cause.
    pub(crate) fn poison_evidence(
        &self,
        failures: &[(VmId, CompactString)],
        now: UnixMillis,
    ) -> Option<usize> {
        let proven = failures.iter().map(|(vm, _)| vm).filter(|vm| self.is_proven(vm, now));
        let count = proven.collect::<BTreeSet<_>>().len();
        (count >= MIN_POISON_WORKERS).then_some(count)
    }
}
