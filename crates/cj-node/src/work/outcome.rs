//! Records the outcome of an attempt in the log, retrying until the log has decided.

use std::{rc::Rc, time::Duration};

use cj_fold::{JobPhase, Verdict};
use cj_log::{LogService, ProposalOutcome};
use cj_record::{Entry, Evidence, Outcome};
use cj_types::{Clock, JobId, Token};

use crate::context::{NodeContext, sleep};

/// Time limit of one proposal; proposals are repeated until the log decides.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before an undecided proposal is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// HTTP status recorded when the answer is too large to keep: 410 Gone.
const STATUS_GONE: u16 = 410;
/// Largest answer that is kept in the replicated state, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Records the outcome of a claim. Returns once the record is read back from the log, or when the claim is no longer
/// open.
pub(super) async fn record_outcome<L, C>(
    node: Rc<NodeContext<L, C>>,
    job: JobId,
    token: Token,
    outcome: Outcome,
) where
    L: LogService,
    C: Clock + 'static,
{
    propose_until_decided(&node, &job, token, limit_answer(outcome)).await;
    node.sent_claims.borrow_mut().remove(&(job, token));
}

async fn propose_until_decided<L, C>(
    node: &NodeContext<L, C>,
    job: &JobId,
    token: Token,
    outcome: Outcome,
) where
    L: LogService,
    C: Clock + 'static,
{
    loop {
        let Some(entry) = outcome_entry(node, job, token, &outcome) else { return };
        match node.propose(entry, PROPOSAL_TIMEOUT).await {
            ProposalOutcome::Decided { verdict: Verdict::Rejected { reason }, .. } => {
                log::warn!(target: "decision", "job={job} claim={token} outcome rejected reason={reason:?}");
                // If the lease expired meanwhile, the outcome has to be recorded as a resolution; any other rejection
                // is final.
                if !is_outcome_unknown(node, job, token) {
                    return;
                }
            }
            ProposalOutcome::Decided { .. } => return,
            ProposalOutcome::Withdrawn | ProposalOutcome::Pending => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The log entry that records the outcome in the current state of the claim; `None` when nothing is left to record.
fn outcome_entry<L, C>(
    node: &NodeContext<L, C>,
    job: &JobId,
    token: Token,
    outcome: &Outcome,
) -> Option<Entry>
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let (job, outcome) = (job.clone(), outcome.clone());
    match &state.jobs.get(&job)?.phase {
        JobPhase::Claimed(claim) if claim.token == token => {
            Some(Entry::Finish { job, token, outcome })
        }
        JobPhase::OutcomeUnknown { claim, .. } if claim.token == token => match outcome {
            Outcome::Unknown { .. } => None,
            _ => Some(Entry::Resolve { job, token, outcome, evidence: Evidence::UpstreamAnswer }),
        },
        _ => None,
    }
}

fn is_outcome_unknown<L, C>(node: &NodeContext<L, C>, job: &JobId, token: Token) -> bool
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let phase = state.jobs.get(job).map(|j| &j.phase);
    matches!(phase, Some(JobPhase::OutcomeUnknown { claim, .. }) if claim.token == token)
}

/// Replaces an answer that is too large to keep.
fn limit_answer(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Done { status, answer } if answer.len() > MAX_ANSWER_BYTES => {
            // A truncated answer must not be taken for the whole one, so the recorded status says that the answer is
            // gone.
            let note = format!(
                "ran with status {status}; its answer of {} bytes was not kept",
                answer.len()
            );
            Outcome::Done { status: STATUS_GONE, answer: note.into_bytes() }
        }
        other => other,
    }
}
