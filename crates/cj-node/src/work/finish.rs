//! Records the outcome of an attempt, for as long as it takes.

use std::{rc::Rc, time::Duration};

use cj_fold::{JobPhase, Verdict};
use cj_log::{LogService, ProposalOutcome};
use cj_record::{Entry, Evidence, Outcome};
use cj_types::{Clock, JobId, Token};

use crate::shared::{Shared, sleep};

/// Limit of one proposal; it is repeated until decided.
const FINISH_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a withdrawn proposal.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Status kept for an answer that is too large to keep: 410 Gone.
const ANSWER_GONE: u16 = 410;
/// Largest answer that is kept in the shared state, in bytes.
const MAX_KEPT_ANSWER: usize = 4 * 1024;

/// Records what became of a claim. Returns once the record is read back, or when the claim isn't open any more.
pub(super) async fn finish<L, C>(node: Rc<Shared<L, C>>, job: JobId, token: Token, outcome: Outcome)
where
    L: LogService,
    C: Clock + 'static,
{
    record(&node, &job, token, bounded(outcome)).await;
    node.sent.borrow_mut().remove(&(job, token));
}

async fn record<L, C>(node: &Shared<L, C>, job: &JobId, token: Token, outcome: Outcome)
where
    L: LogService,
    C: Clock + 'static,
{
    loop {
        let Some(entry) = entry(node, job, token, &outcome) else { return };
        match node.propose(entry, FINISH_LIMIT).await {
            ProposalOutcome::Decided { verdict: Verdict::Rejected { reason }, .. } => {
                log::warn!(target: "decision", "job={job} claim={token} outcome rejected reason={reason:?}");
                // A lease that ended in between turns a finish into a resolution; anything else is
                // final.
                if !is_unknown(node, job, token) {
                    return;
                }
            }
            ProposalOutcome::Decided { .. } => return,
            ProposalOutcome::Withdrawn | ProposalOutcome::Pending => sleep(RETRY_PAUSE).await,
        }
    }
}

/// The record that fits the state of the claim; `None` when the claim is settled.
fn entry<L, C>(node: &Shared<L, C>, job: &JobId, token: Token, outcome: &Outcome) -> Option<Entry>
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

fn is_unknown<L, C>(node: &Shared<L, C>, job: &JobId, token: Token) -> bool
where
    L: LogService,
    C: Clock + 'static,
{
    let state = node.replica.state();
    let phase = state.jobs.get(job).map(|j| &j.phase);
    matches!(phase, Some(JobPhase::OutcomeUnknown { claim, .. }) if claim.token == token)
}

fn bounded(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Done { status, answer } if answer.len() > MAX_KEPT_ANSWER => {
            // A cut answer must never pass for the whole one, so the kept status says that the answer is gone.
            let note = format!(
                "ran with status {status}; its answer of {} bytes was not kept",
                answer.len()
            );
            Outcome::Done { status: ANSWER_GONE, answer: note.into_bytes() }
        }
        other => other,
    }
}
