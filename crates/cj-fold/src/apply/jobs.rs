//! State machine of jobs: submission, claims, outcomes and cancellation.

use std::{collections::BTreeSet, time::Duration};

use compact_str::{CompactString, format_compact};

use cj_record::{Evidence, Outcome, Submit};
use cj_types::{JobId, PoolId, Token, VmId};

use super::{EntryResult, EntrySource, reject, truncate_reason};
use crate::{
    rules::{MAX_FAILED_ATTEMPTS, MAX_FAILED_TARGETS, MAX_PAYLOAD_BYTES},
    state::{Claim, Job, JobPhase, State, Verdict},
};

impl State {
    pub(super) fn submit(&mut self, source: EntrySource<'_>, submit: Submit) -> EntryResult {
        if let Some(job) = self.jobs.get(&submit.job) {
            if job.body_hash != submit.body_hash {
                return reject("conflict: the key was used with another body");
            }
            return Ok(Verdict::Existing { job: submit.job });
        }
        self.check_submit(&submit)?;
        let phase = match &submit.claim {
            Some((target, lease_ms)) => {
                self.check_target(target, &submit.pool)?;
                JobPhase::Claimed(self.new_claim(source, 1, target.clone(), *lease_ms))
            }
            None => JobPhase::Queued,
        };
        self.index.add_claim(&phase);
        self.index.open_jobs.insert(submit.job.clone());
        let text = match &phase {
            JobPhase::Claimed(claim) => format_compact!("submitted, claimed on {}", claim.target),
            _ => "submitted".into(),
        };
        self.record_decision(source, &submit.job, text);
        let job = Job {
            service: submit.service,
            class: submit.class,
            team: submit.team,
            pool: submit.pool,
            body_hash: submit.body_hash,
            payload: submit.payload,
            idempotent: submit.idempotent,
            task: submit.task,
            deadline: submit.deadline,
            demand: submit.demand,
            run_ms: submit.run_ms,
            submitted: self.now,
            attempts: u32::from(submit.claim.is_some()),
            failures: Vec::new(),
            phase,
        };
        self.jobs.insert(submit.job, Box::new(job));
        source.accepted()
    }

    fn check_submit(&self, submit: &Submit) -> Result<(), CompactString> {
        let Some(class) = self.fleet.classes.get(&submit.class) else {
            return reject(format_compact!("class `{}` does not exist", submit.class));
        };
        let pool = self.fleet.pools.get(&submit.pool);
        if !pool.is_some_and(|p| p.classes.contains(&submit.class)) {
            let (pool, class) = (&submit.pool, &submit.class);
            return reject(format_compact!("pool `{pool}` does not accept class `{class}`"));
        }
        if submit.idempotent && !class.idempotent {
            return reject(format_compact!("class `{}` is not idempotent", submit.class));
        }
        if submit.payload.len() > MAX_PAYLOAD_BYTES {
            return reject("the payload is larger than 4 KiB");
        }
        Ok(())
    }

    /// Checks that the target is an active VM of the job's pool. A draining VM gets no new work.
    fn check_target(&self, target: &VmId, pool: &PoolId) -> Result<(), CompactString> {
        let Some(vm) = self.vms.get(target) else {
            return reject(format_compact!("VM `{target}` does not exist"));
        };
        if vm.pool != *pool {
            return reject(format_compact!("VM `{target}` is in pool `{}`", vm.pool));
        }
        if !vm.phase.is_active() {
            return reject(format_compact!("VM `{target}` is not active"));
        }
        Ok(())
    }

    fn new_claim(
        &self,
        source: EntrySource<'_>,
        attempt: u32,
        target: VmId,
        lease_ms: u32,
    ) -> Claim {
        Claim {
            holder: source.writer.clone(),
            token: Token(source.offset.0),
            attempt,
            target,
            until: self.now + Duration::from_millis(lease_ms.into()),
            cancel: false,
        }
    }

    pub(super) fn claim(
        &mut self,
        source: EntrySource<'_>,
        id: JobId,
        attempt: u32,
        target: VmId,
        lease_ms: u32,
    ) -> EntryResult {
        let job = self.job(&id)?;
        if job.phase != JobPhase::Queued {
            return reject("the job is not queued");
        }
        let next = job.attempts.saturating_add(1);
        if attempt != next {
            return reject(format_compact!("the next attempt is {next}"));
        }
        self.check_target(&target, &job.pool)?;
        let text = format_compact!("attempt {attempt} claimed on {target}");
        let claim = self.new_claim(source, attempt, target, lease_ms);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.attempts = attempt;
        }
        self.set_phase(&id, JobPhase::Claimed(claim));
        self.record_decision(source, &id, text);
        source.accepted()
    }

    pub(super) fn renew(
        &mut self,
        source: EntrySource<'_>,
        id: &JobId,
        token: Token,
        lease_ms: u32,
    ) -> EntryResult {
        self.held_claim(source, id, token)?;
        let until = self.now + Duration::from_millis(lease_ms.into());
        if let Some(JobPhase::Claimed(claim)) = self.jobs.get_mut(id).map(|job| &mut job.phase) {
            claim.until = claim.until.max(until);
            claim.holder = source.writer.clone();
        }
        source.accepted()
    }

    pub(super) fn finish(
        &mut self,
        source: EntrySource<'_>,
        id: &JobId,
        token: Token,
        outcome: Outcome,
    ) -> EntryResult {
        let claim = self.held_claim(source, id, token)?.clone();
        self.end_attempt(source, id, claim, outcome)
    }

    pub(super) fn expire(
        &mut self,
        source: EntrySource<'_>,
        id: &JobId,
        token: Token,
    ) -> EntryResult {
        let claim = self.current_claim(source, id, token)?.clone();
        if claim.until > self.now {
            return reject("the lease has not ended");
        }
        if self.job(id)?.idempotent {
            // An idempotent job can safely run again, and nothing else would resolve its unknown outcome. The attempt
            // counts as failed, so that a job that crashes its holders is parked eventually, and a cancelled one does
            // not run again.
            let reason = "the lease ended".into();
            return self.end_attempt(source, id, claim, Outcome::Failed { reason });
        }
        let reason = CompactString::from("the lease ended without an outcome");
        self.record_decision(source, id, "outcome unknown: the lease ended".into());
        self.set_phase(id, JobPhase::OutcomeUnknown { claim, reason });
        source.accepted()
    }

    pub(super) fn resolve(
        &mut self,
        source: EntrySource<'_>,
        id: &JobId,
        token: Token,
        outcome: Outcome,
        evidence: &Evidence,
    ) -> EntryResult {
        let claim = match &self.job(id)?.phase {
            JobPhase::OutcomeUnknown { claim, .. } if claim.token == token => claim.clone(),
            JobPhase::OutcomeUnknown { .. } => return reject("the token is of another claim"),
            _ => return reject("the outcome of the job is not unknown"),
        };
        match (evidence, &outcome) {
            (_, Outcome::Unknown { .. }) => reject("the evidence settles nothing"),
            (Evidence::TaskList, _) if claim.until > self.now => {
                reject("the task list counts only after the lease has ended")
            }
            _ => self.end_attempt(source, id, claim, outcome),
        }
    }

    pub(super) fn cancel(&mut self, source: EntrySource<'_>, id: &JobId) -> EntryResult {
        self.job(id)?;
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return reject("the job does not exist");
        };
        match &mut job.phase {
            JobPhase::Queued => {
                let text = match job.failures.is_empty() {
                    true => "cancelled, not run",
                    false => "cancelled after a failed attempt, which may have had effect",
                };
                self.set_phase(id, JobPhase::Cancelled { at: now });
                self.record_decision(source, id, text.into());
                source.accepted()
            }
            JobPhase::Claimed(claim) => {
                claim.cancel = true;
                self.record_decision(source, id, "stop requested".into());
                source.accepted()
            }
            JobPhase::OutcomeUnknown { .. } => reject("the outcome of the job is unknown"),
            _ => reject("the job has ended"),
        }
    }

    /// Ends an attempt with the given outcome, which may be unknown.
    fn end_attempt(
        &mut self,
        source: EntrySource<'_>,
        id: &JobId,
        claim: Claim,
        outcome: Outcome,
    ) -> EntryResult {
        let at = self.now;
        let (phase, text) = match outcome {
            Outcome::Done { answer, .. } if answer.len() > MAX_PAYLOAD_BYTES => {
                return reject("the answer is larger than 4 KiB");
            }
            Outcome::Done { status, answer } => {
                (JobPhase::Done { at, status, answer }, format_compact!("done, status {status}"))
            }
            Outcome::NotRun { reason } if claim.cancel => {
                (JobPhase::Cancelled { at }, format_compact!("cancelled, not run: {reason}"))
            }
            Outcome::NotRun { reason } => {
                (JobPhase::Queued, format_compact!("queued again, not run: {reason}"))
            }
            Outcome::Failed { reason } => self.fail_attempt(id, &claim, truncate_reason(reason)),
            Outcome::Unknown { reason } => {
                let text = format_compact!("outcome unknown: {reason}");
                (JobPhase::OutcomeUnknown { claim, reason: truncate_reason(reason) }, text)
            }
        };
        self.set_phase(id, phase);
        self.record_decision(source, id, truncate_reason(text));
        source.accepted()
    }

    /// Records a failed attempt. Returns the job's next phase, queued or parked, and the text of the decision.
    fn fail_attempt(
        &mut self,
        id: &JobId,
        claim: &Claim,
        reason: CompactString,
    ) -> (JobPhase, CompactString) {
        let at = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            return (JobPhase::Parked { at, reason: reason.clone() }, reason);
        };
        job.failures.push((claim.target.clone(), reason.clone()));
        let targets: BTreeSet<&VmId> = job.failures.iter().map(|(target, _)| target).collect();
        let park_reason = if !job.idempotent {
            Some("it may have had effect")
        } else if claim.cancel {
            Some("a stop was requested")
        } else if targets.len() >= MAX_FAILED_TARGETS {
            Some("it failed on several targets")
        } else if job.failures.len() >= MAX_FAILED_ATTEMPTS {
            Some("it failed in many attempts")
        } else {
            None
        };
        match park_reason {
            Some(why) => {
                let reason = truncate_reason(format_compact!("{why}: {reason}"));
                let text = format_compact!("parked: {reason}");
                (JobPhase::Parked { at, reason }, text)
            }
            None => (JobPhase::Queued, format_compact!("queued again, failed on {}", claim.target)),
        }
    }

    fn job(&self, id: &JobId) -> Result<&Job, CompactString> {
        self.jobs.get(id).map(|job| &**job).ok_or_else(|| "the job does not exist".into())
    }

    /// Returns the claim of a claimed job if it has this token.
    fn current_claim(
        &self,
        source: EntrySource<'_>,
        id: &JobId,
        token: Token,
    ) -> Result<&Claim, CompactString> {
        let JobPhase::Claimed(claim) = &self.job(id)?.phase else {
            return reject("the job is not claimed");
        };
        if claim.token != token {
            return reject("the token is of another claim");
        }
        // The token is the offset of the batch that claimed the job. Without this check one batch could claim a job
        // twice with the same token.
        if token.0 == source.offset.0 {
            return reject("the claim has not been read back yet");
        }
        Ok(claim)
    }

    /// Returns the claim of a claimed job if it has this token and the writer may act on it.
    fn held_claim(
        &self,
        source: EntrySource<'_>,
        id: &JobId,
        token: Token,
    ) -> Result<&Claim, CompactString> {
        let claim = self.current_claim(source, id, token)?;
        // A worker starts a task once per token and reports its state to every node, so any node may take over a task
        // whose holder has stopped. Only the holder of a request knows its state.
        if claim.holder != *source.writer && !self.job(id)?.task {
            return reject(format_compact!("the claim is held by {}", claim.holder));
        }
        Ok(claim)
    }

    fn set_phase(&mut self, id: &JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        debug_assert!(!job.is_ended(), "an ended job must not change");
        self.index.remove_claim(&job.phase);
        self.index.add_claim(&phase);
        job.phase = phase;
        if matches!(job.phase, JobPhase::Done { .. } | JobPhase::Cancelled { .. }) {
            // The job won't run again, and the body hash is enough to detect a repeated submission.
            job.payload = Vec::new();
        }
        if let Some(at) = job.ended_at() {
            self.index.open_jobs.remove(id);
            self.index.ended_jobs.push_back((at, id.clone()));
        }
    }
}
