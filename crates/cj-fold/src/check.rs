//! Full check of a state's invariants, for tests and diagnosis.

use cj_types::{Error, ErrorKind, Result};

use crate::{
    index::Index,
    rules::{JOB_RETENTION, MAX_DECISIONS, MAX_PAYLOAD_BYTES, MAX_SETTING_VERDICTS},
    state::{Job, JobPhase, State},
};

impl State {
    /// Checks every invariant that can be checked on one state alone, and returns the first violation as an error. Takes
    /// time proportional to the size of the state.
    pub fn check_invariants(&self) -> Result<()> {
        self.check_index()?;
        self.check_jobs()?;
        self.check_vms()?;
        ensure(self.fleet == self.rebuild_fleet(), || "checked settings differ".into())?;
        ensure(self.history.len() <= MAX_DECISIONS, || "too many decisions kept".into())?;
        ensure(self.verdicts.len() <= MAX_SETTING_VERDICTS, || "too many verdicts kept".into())?;
        ensure(self.settings.values().all(|s| s.offset < self.settings_next), || {
            "a setting comes from an offset that was not copied".into()
        })
    }

    fn check_index(&self) -> Result<()> {
        let rebuilt = Index::build(self);
        ensure(self.index.pools == rebuilt.pools, || "derived pools differ".into())?;
        ensure(self.index.claims == rebuilt.claims, || "derived claims differ".into())?;
        ensure(self.index.open_jobs == rebuilt.open_jobs, || "derived open jobs differ".into())?;
        let pairs = self.index.ended_jobs.iter().zip(self.index.ended_jobs.iter().skip(1));
        ensure(pairs.into_iter().all(|(a, b)| a.0 <= b.0), || "ends are unordered".into())?;
        let mut ended: Vec<_> = self.index.ended_jobs.iter().cloned().collect();
        ended.sort();
        ensure(rebuilt.ended_jobs.iter().eq(&ended), || "derived ended jobs differ".into())
    }

    fn check_jobs(&self) -> Result<()> {
        for (id, job) in &self.jobs {
            ensure(job.payload.len() <= MAX_PAYLOAD_BYTES, || format!("{id}: payload too large"))?;
            ensure(job.submitted <= self.now, || format!("{id}: submitted after fold time"))?;
            if let Some(at) = job.ended_at() {
                ensure(at + JOB_RETENTION > self.now, || format!("{id}: kept for too long"))?;
            }
            self.check_claim(job).map_err(|e| violation(format!("{id}: {}", e.kind)))?;
        }
        Ok(())
    }

    fn check_claim(&self, job: &Job) -> Result<()> {
        let (JobPhase::Claimed(claim) | JobPhase::OutcomeUnknown { claim, .. }) = &job.phase else {
            return Ok(());
        };
        ensure(claim.attempt == job.attempts, || "claim of another attempt".into())?;
        ensure(claim.token.0 < self.next.0, || "token from the future".into())?;
        // A non-idempotent job is parked after its first failure, so a claimed one has none.
        ensure(job.idempotent || job.failures.is_empty(), || "claimed after a failure".into())
    }

    fn check_vms(&self) -> Result<()> {
        for (id, vm) in &self.vms {
            ensure(vm.home.as_ref() != Some(&vm.pool), || format!("{id}: lent to its own pool"))?;
            ensure(vm.moved <= self.now, || format!("{id}: moved after fold time"))?;
            ensure(vm.billed <= self.now, || format!("{id}: billed after fold time"))?;
            if let Some(op) = vm.phase.op() {
                ensure(op.0 < self.next.0, || format!("{id}: operation from the future"))?;
            }
        }
        let indexed: usize = self.index.pools.values().map(|p| p.members.len()).sum();
        ensure(indexed == self.vms.len(), || "a VM is in no pool or in several".into())
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
