//! Cancellations of jobs in a cell.

use std::time::{Duration, Instant};

use cj_sched::{Access, JobKey, Record};
use cj_types::Clock;

use crate::{
    api::{CATCH_UP_POLL_INTERVAL, CancelOutcome, JobStatus, KnownJob, RESPONSE_MARGIN},
    member::CellMember,
    outbox::AppendOutcome,
    peer::{PeerRequest, PeerResponse},
    platform::Platform,
};

/// How long the cancellation of a job that isn't in the job index waits until the logs are read up to its request. It is above the
/// time that a read of an idle log takes (1.5 s) and the pause after it.
const MAX_LOOKUP_WAIT: Duration = Duration::from_millis(1_800);

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Cancels a job: on this node if the cell is followed, else through the owner.
    pub(crate) async fn cancel(
        &self,
        job: JobKey,
        access: &Access,
        deadline: Instant,
    ) -> CancelOutcome {
        if self.is_followed() {
            return self.cancel_locally(job, access, deadline).await;
        }
        match self.ask_owner(PeerRequest::Cancel(job, access.clone())).await {
            Some(PeerResponse::Cancelled(answer @ (CancelOutcome::Done | CancelOutcome::Gone))) => {
                answer
            }
            // If the owner doesn't answer, the cancellation is stored all the same; it takes effect when it is read. That
            // needs access to all jobs, since this node can't tell to which account the job belongs.
            _ if *access == Access::Open && self.is_store_reachable() => {
                self.append_cancel(job, deadline, || false).await
            }
            _ => CancelOutcome::UNREACHABLE,
        }
    }

    /// The state of a job by all records that were appended before this call. A job that was just accepted, by this node or another
    /// one, may not have been read yet, so one that isn't in the index is gone only once the logs are read up to now.
    async fn look_up(&self, job: JobKey, access: &Access, deadline: Instant) -> JobStatus {
        let requested_at = self.node.clock.now();
        let status = || match self.known_job(job, access) {
            Some(KnownJob::Visible) => self.local_job_status(job, access),
            Some(KnownJob::OfOtherAccount) => JobStatus::Gone,
            None if self.is_read_until(requested_at) => JobStatus::Gone,
            None => JobStatus::UNAVAILABLE,
        };
        let search = async {
            loop {
                let status = status();
                if !matches!(status, JobStatus::Unavailable(_)) || !self.is_store_reachable() {
                    return status;
                }
                tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
            }
        };
        let left = deadline.saturating_duration_since(requested_at + RESPONSE_MARGIN);
        let found = tokio::time::timeout(left.min(MAX_LOOKUP_WAIT), search).await;
        found.unwrap_or(JobStatus::UNAVAILABLE)
    }

    /// Cancels a job if it is in the job index of this node.
    pub(crate) async fn cancel_locally(
        &self,
        job: JobKey,
        access: &Access,
        deadline: Instant,
    ) -> CancelOutcome {
        match self.look_up(job, access, deadline).await {
            JobStatus::State(state) if state.is_final() => return CancelOutcome::Done,
            JobStatus::State(_) if self.is_store_reachable() => {}
            JobStatus::Gone => return CancelOutcome::Gone,
            JobStatus::State(_) | JobStatus::Unavailable(_) => return CancelOutcome::UNREACHABLE,
        }
        let is_cancelled =
            || self.job_index.borrow().job(job).is_some_and(|entry| entry.cancelled.is_some());
        self.append_cancel(job, deadline, is_cancelled).await
    }

    async fn append_cancel<F>(&self, job: JobKey, deadline: Instant, is_read: F) -> CancelOutcome
    where
        F: Fn() -> bool,
    {
        let record = Record::Cancel(job, self.node.clock.wall());
        match self.append(&record, deadline, is_read).await {
            AppendOutcome::Durable => CancelOutcome::Done,
            AppendOutcome::Refused => CancelOutcome::UNREACHABLE,
            AppendOutcome::Unknown => CancelOutcome::Unknown,
        }
    }
}
