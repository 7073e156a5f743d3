//! Questions that entry nodes ask each other.
//!
//! A node that doesn't follow a cell hands what callers ask about its jobs to the cell's owner.

use std::time::Duration;

use cj_sched::{JobKey, codec};
use cj_types::{Clock, Result};
use log::warn;
use serde::{Deserialize, Serialize};

use crate::{
    front::{Cancelled, Looked},
    member::CellMember,
    node::EntryNode,
    platform::Platform,
};

/// Time for the answer of another node.
const ASK_LIMIT: Duration = Duration::from_millis(900);

/// Time that a node which was asked to cancel a job waits for the store; its answer has to reach the asking node in time.
const CANCEL_LIMIT: Duration = Duration::from_millis(850);

/// A question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// What is the state of the job?
    Look(JobKey),
    /// Cancel the job.
    Cancel(JobKey),
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Look`].
    Looked(Looked),
    /// To [`Question::Cancel`].
    Cancelled(Cancelled),
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Answers the question of another node from what this node follows itself.
    ///
    /// # Errors
    ///
    /// A question that can't be read.
    pub async fn answer_peer(&self, question: &[u8]) -> Result<Vec<u8>> {
        let answer = match codec::from_bytes(question)? {
            Question::Look(job) => {
                let member = self.member_for(job);
                Answer::Looked(member.map_or(Looked::UNAVAILABLE, |member| member.look_here(job)))
            }
            Question::Cancel(job) => {
                let followed = self.member_for(job).filter(|member| member.is_followed());
                Answer::Cancelled(match followed {
                    Some(member) => member.cancel_here(job, self.clock.now() + CANCEL_LIMIT).await,
                    None => Cancelled::UNREACHABLE,
                })
            }
        };
        Ok(codec::to_bytes(&answer))
    }
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Asks the owner of the cell. `None` when it isn't known or doesn't answer.
    pub(crate) async fn ask(&self, question: Question) -> Option<Answer> {
        let node = &self.node;
        let address = node.roster.borrow().beat(self.id).map(|beat| beat.address.clone())?;
        let asked = node.platform.ask(&address, codec::to_bytes(&question));
        let cause = match tokio::time::timeout(ASK_LIMIT, asked).await {
            Ok(Ok(answer)) => match codec::from_bytes(&answer) {
                Ok(answer) => return Some(answer),
                Err(error) => error.to_string(),
            },
            Ok(Err(cause)) => cause.into(),
            Err(_) => "time limit".to_owned(),
        };
        let silence = node.roster.borrow().silence(self.id, node.clock.now()).unwrap_or_default();
        warn!(
            target: "link",
            "cell={} peer={address} question=\"{question:?}\" choice=no_answer beat_age_ms={} cause=\"{cause}\"",
            self.id, silence.as_millis()
        );
        None
    }
}
