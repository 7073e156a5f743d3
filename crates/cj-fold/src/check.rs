//! Full check of a state's invariants, for tests and diagnosis.

use cj_types::{Error, ErrorKind, Result};

use crate::{
    index::Index,
    rules::{JOB_RETENTION, MAX_DECISIONS, MAX_PAYLOAD_BYTES, MAX_SETTING_VERDICTS},
    state::{Job, JobPhase, State},
};

impl State {
    /// Checks every invariant that can be checked on one state alone, and returns the first violation as an error.
    /// Takes time proportional to the size of the state.
    pub fn check_invariants(&self) -> Result<()> {
        self.check_index()?;
        self.check_jobs()?;
        self.check_vms()?;
        ensure(self.fleet == self.rebuild_fleet(), || {
            "the typed settings differ from the settings in force".into()
        })?;
        ensure(self.history.len() <= MAX_DECISIONS, || "the history exceeds its limit".into())?;
        ensure(self.verdicts.len() <= MAX_SETTING_VERDICTS, || {
            "the verdicts on settings exceed their limit".into()
        })?;
        ensure(self.settings.values().all(|s| s.offset < self.settings_next), || {
            "a setting has an offset that has not been copied yet".into()
        })
    }

    fn check_index(&self) -> Result<()> {
        let rebuilt = Index::build(self);
        ensure(self.index.pools == rebuilt.pools, || {
            "the index of pools differs from the state".into()
        })?;
        ensure(self.index.claims == rebuilt.claims, || {
            "the index of claims differs from the state".into()
        })?;
        ensure(self.index.open_jobs == rebuilt.open_jobs, || {
            "the index of open jobs differs from the state".into()
        })?;
        let pairs = self.index.ended_jobs.iter().zip(self.index.ended_jobs.iter().skip(1));
        ensure(pairs.into_iter().all(|(a, b)| a.0 <= b.0), || {
            "the index of ended jobs is not ordered by time".into()
        })?;
        let mut ended: Vec<_> = self.index.ended_jobs.iter().cloned().collect();
        ended.sort();
        ensure(rebuilt.ended_jobs.iter().eq(&ended), || {
            "the index of ended jobs differs from the state".into()
        })
    }

    fn check_jobs(&self) -> Result<()> {
        for (id, job) in &self.jobs {
            ensure(job.payload.len() <= MAX_PAYLOAD_BYTES, || {
                format!("{id}: the payload exceeds its limit")
            })?;
            ensure(job.submitted <= self.now, || format!("{id}: submitted after fold time"))?;
            if let Some(at) = job.ended_at() {
                ensure(at + JOB_RETENTION > self.now, || {
                    format!("{id}: kept beyond its retention time")
                })?;
            }
            self.check_claim(job).map_err(|e| violation(format!("{id}: {}", e.kind)))?;
        }
        Ok(())
    }

    fn check_claim(&self, job: &Job) -> Result<()> {
        let (JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. }) = &job.phase else {
            return Ok(());
        };
        ensure(claim.attempt == job.attempts, || "the claim is for another attempt".into())?;
        ensure(claim.token.0 < self.next.0, || "the token is not below the next offset".into())?;
        // A non-idempotent job is parked after its first failure, so a claimed one has none.
        ensure(job.idempotent || job.failures.is_empty(), || {
            "a non-idempotent job is claimed after a failure".into()
        })
    }

    fn check_vms(&self) -> Result<()> {
        for (id, vm) in &self.vms {
            ensure(vm.home.as_ref() != Some(&vm.pool), || format!("{id}: lent to its own pool"))?;
            ensure(vm.moved <= self.now, || format!("{id}: moved after fold time"))?;
            ensure(vm.billed <= self.now, || format!("{id}: billed after fold time"))?;
            if let Some(op) = vm.phase.op() {
                ensure(op.0 < self.next.0, || {
                    format!("{id}: the operation id is not below the next offset")
                })?;
            }
        }
        let indexed: usize = self.index.pools.values().map(|p| p.members.len()).sum();
        ensure(indexed == self.vms.len(), || "the pools don't hold each VM exactly once".into())
    }
}

fn violation(description: String) -> Error {
    let help = "stop deciding and compare state hashes between nodes; this is a programming error";
    Error::new(ErrorKind::Failed(description.into()), help)
}

fn ensure<F>(holds: bool, description: F) -> Result<()>
where
    F: FnOnce() -> String,
{
    if holds { Ok(()) } else { Err(violation(description())) }
}
