//! Requests between entry nodes.
//!
//! A node that doesn't follow a cell forwards callers' requests about its jobs to the cell's owner.

use std::time::Duration;

use cj_sched::{Access, JobKey, codec};
use cj_types::{Clock, Result};
use log::warn;
use serde::{Deserialize, Serialize};

use crate::{
    api::{CancelOutcome, JobStatus},
    member::CellMember,
    node::EntryNode,
    platform::Platform,
};

/// Time limit for the response of another node.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time limit for a cancellation on behalf of another node; it is below [`PEER_TIMEOUT`] so that the response arrives
/// in time.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(850);

/// A request to another entry node. Log lines print it with `Debug`.
#[derive(Clone, derive_more::Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Return the state of the job to a caller with this access. Printed as `Look`, the name in log lines.
    #[debug("Look({_0:?})")]
    JobStatus(JobKey, Access),
    /// Cancel the job for a caller with this access.
    #[debug("Cancel({_0:?})")]
    Cancel(JobKey, Access),
}

/// A response to another entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// To [`PeerRequest::JobStatus`].
    JobStatus(JobStatus),
    /// To [`PeerRequest::Cancel`].
    Cancelled(CancelOutcome),
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Answers a request of another node, for the cells that this node follows itself.
    ///
    /// # Errors
    ///
    /// A malformed request.
    pub async fn handle_peer_request(&self, request: &[u8]) -> Result<Vec<u8>> {
        let response = match codec::from_bytes(request)? {
            PeerRequest::JobStatus(job, access) => {
                let member = self.member_for(job);
                PeerResponse::JobStatus(
                    member.map_or(JobStatus::UNAVAILABLE, |member| {
                        member.local_job_status(job, &access)
                    }),
                )
            }
            PeerRequest::Cancel(job, access) => {
                let followed = self.member_for(job).filter(|member| member.is_followed());
                PeerResponse::Cancelled(match followed {
                    Some(member) => {
                        member.cancel_locally(job, &access, self.clock.now() + CANCEL_TIMEOUT).await
                    }
                    None => CancelOutcome::UNREACHABLE,
                })
            }
        };
        Ok(codec::to_bytes(&response))
    }
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Sends a request to the owner of the cell. `None` when the owner isn't known or doesn't answer.
    pub(crate) async fn ask_owner(&self, request: PeerRequest) -> Option<PeerResponse> {
        let node = &self.node;
        let address =
            node.owners.borrow().heartbeat(self.id).map(|heartbeat| heartbeat.address.clone())?;
        let call = node.platform.ask(&address, codec::to_bytes(&request));
        let cause = match tokio::time::timeout(PEER_TIMEOUT, call).await {
            Ok(Ok(response)) => match codec::from_bytes(&response) {
                Ok(response) => return Some(response),
                Err(error) => error.to_string(),
            },
            Ok(Err(cause)) => cause.into(),
            Err(_) => "time limit".to_owned(),
        };
        let age = node.owners.borrow().heartbeat_age(self.id, node.clock.now()).unwrap_or_default();
        warn!(
            target: "link",
            "cell={} peer={address} question=\"{request:?}\" choice=no_answer beat_age_ms={} cause=\"{cause}\"",
            self.id, age.as_millis()
        );
        None
    }
}
