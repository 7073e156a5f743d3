//! Placement queries of operators: would a job be accepted now, by which owner, and where would it run? Asking stores
//! nothing and starts nothing.
//!
//! Any node tells what it knows from the owners' heartbeats. For the cells that the node owns itself, the scheduler also
//! tells the workers. A job belongs to a cell by its id, which its caller chooses, so the answer has a part for each cell.

use std::time::Duration;

use cj_sched::{
    JobKey, JobSpec, Queue, Scheduler,
    sched::{MAX_QUERY_STEPS, PlacementQuery, PlacementReport},
};
use cj_types::{AccountId, Clock, Error, NodeId, ServiceId, Version};
use compact_str::CompactString;
use derive_more::Display;
use log::info;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::{
    admission::{AdmissionDecision, backlog_time},
    api::STORE_RETRY_AFTER,
    member::CellMember,
    node::EntryNode,
    platform::Platform,
};

/// Maximum number of cells in an answer.
const MAX_CELLS: usize = 64;

/// Maximum number of cells in an answer for which the scheduler is asked: each answer names workers.
const MAX_REPORTS: usize = 4;

/// Maximum number of queries that wait for a scheduler.
pub(crate) const MAX_WAITING_QUERIES: usize = 4;

/// Time limit for the answer of a scheduler of this node, which may be busy with a placement pass.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a placement query isn't answered. The texts never repeat what the query says: an operator may have pasted a key
/// where a name belongs.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PlacementError {
    /// The node has read no configuration.
    #[display("the node has no configuration yet")]
    NoConfig,
    /// The configuration has no such queue.
    #[display("no such queue")]
    UnknownQueue,
    /// The configuration has no such account.
    #[display("no such account")]
    UnknownAccount,
    /// The queue serves accounts only.
    #[display("the queue takes jobs of accounts only")]
    AccountRequired,
    /// The job isn't valid.
    #[display("{}", _0.kind)]
    InvalidJob(Error),
    /// The job has too many steps to be asked about.
    #[display("the job has more than {MAX_QUERY_STEPS} steps")]
    TooManySteps,
    /// The node doesn't know yet how the fleet is divided into cells.
    #[display("the node doesn't know the cells of the fleet yet")]
    NoLayout,
}

impl PlacementError {
    /// How to resolve the error.
    pub fn help(&self) -> CompactString {
        match self {
            PlacementError::NoConfig | PlacementError::NoLayout => {
                "ask again in a few seconds, or ask another node".into()
            }
            PlacementError::UnknownQueue => "use the name of a queue of the configuration".into(),
            PlacementError::UnknownAccount => {
                "use the name of an account of the configuration, not one of its keys".into()
            }
            PlacementError::AccountRequired => "name the account with `--account`".into(),
            PlacementError::InvalidJob(error) => error.help.clone(),
            PlacementError::TooManySteps => "ask about a job with fewer steps".into(),
        }
    }

    /// Name in log lines and metrics.
    fn label(&self) -> &'static str {
        match self {
            PlacementError::NoConfig => "no_config",
            PlacementError::UnknownQueue => "no_queue",
            PlacementError::UnknownAccount => "no_account",
            PlacementError::AccountRequired => "account_required",
            PlacementError::InvalidJob(_) => "invalid",
            PlacementError::TooManySteps => "too_many_steps",
            PlacementError::NoLayout => "no_layout",
        }
    }
}

/// Whether a job would be accepted, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AdmissionAnswer {
    /// It would be accepted.
    pub accepted: bool,
    /// The reason, as in the log lines of submissions.
    pub reason: &'static str,
    /// When a refused caller may retry.
    pub retry_after_ms: Option<u64>,
}

/// The owner of a cell, according to its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OwnerAnswer {
    /// Its node.
    pub node: NodeId,
    /// Address for requests of other nodes, if it is known.
    pub address: Option<CompactString>,
    /// Fencing token of the ownership.
    pub epoch: u64,
    /// It has given up the ownership.
    pub released: bool,
    /// It is the node that answers.
    pub this_node: bool,
    /// Time since its last heartbeat was read.
    pub heartbeat_age_ms: Option<u64>,
}

/// The published load of the pool, on which admission rests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LoadAnswer {
    /// Processors of the workers that take tasks.
    pub capacity_m: u64,
    /// Work that waits or runs, in millicores times milliseconds.
    pub backlog: u64,
    /// Time that the pool needs for the whole backlog.
    pub backlog_ms: u64,
    /// Time since the load was read.
    pub age_ms: Option<u64>,
}

/// What would become of a job in one cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CellAnswer {
    /// Number of the cell.
    pub cell: u16,
    /// Whether this node would accept the job.
    pub admission: AdmissionAnswer,
    /// The owner of the cell; `None` if no heartbeat is known.
    pub owner: Option<OwnerAnswer>,
    /// The published load of the pool; `None` if the owner has published none.
    pub load: Option<LoadAnswer>,
    /// Where the job would run; only if this node owns the cell.
    pub placement: Option<PlacementReport>,
    /// Why `placement` is missing.
    pub no_placement: Option<&'static str>,
}

/// Answer to a placement query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlacementAnswer {
    /// The node that answers.
    pub node: NodeId,
    /// Name of the queue.
    pub queue: CompactString,
    /// Name of the account.
    pub account: Option<AccountId>,
    /// The pool.
    pub service: ServiceId,
    /// Version of the node's configuration.
    pub config: Version,
    /// Time since the operator's topic was last read completely; `None` if it never was.
    pub config_age_ms: Option<u64>,
    /// Latency objective, from the caller's estimates.
    pub objective_ms: u64,
    /// One part for each cell, of the first [`MAX_CELLS`].
    pub cells: Vec<CellAnswer>,
    /// Number of further cells.
    pub further_cells: usize,
}

/// A query for the scheduler of a cell.
pub(crate) struct SchedulerQuery {
    query: PlacementQuery,
    reply: oneshot::Sender<Option<PlacementReport>>,
}

impl SchedulerQuery {
    /// Answers the query. Nobody may be waiting any more.
    pub(crate) fn answer(self, scheduler: &Scheduler) {
        let _ = self.reply.send(scheduler.explain_placement(&self.query));
    }
}

/// Sender of queries to the scheduler of a cell.
pub(crate) type QuerySender = mpsc::Sender<SchedulerQuery>;

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl<P, C> EntryNode<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// Tells what would become of a job if this node received it now.
    ///
    /// # Errors
    ///
    /// [`PlacementError`] for a job that could not be submitted like this.
    pub async fn query_placement(
        &self,
        queue: &str,
        account: Option<&str>,
        spec: JobSpec,
    ) -> Result<PlacementAnswer, PlacementError> {
        let result = self.try_query(queue, account, spec).await;
        let outcome = result.as_ref().map_or_else(PlacementError::label, |_| "answer");
        info!(
            target: "decision",
            "request=placement queue={} {} choice={outcome}",
            result.as_ref().map_or("none", |answer| &answer.queue), self.config_context()
        );
        self.count_answer("placement", outcome);
        result
    }

    /// As [`Self::query_placement`], without the log line and the count.
    async fn try_query(
        &self,
        queue: &str,
        account: Option<&str>,
        spec: JobSpec,
    ) -> Result<PlacementAnswer, PlacementError> {
        let config = self.config.borrow().clone().ok_or(PlacementError::NoConfig)?;
        let queue = config.queue(queue).ok_or(PlacementError::UnknownQueue)?;
        let account = match account {
            Some(name) => {
                let id = AccountId::try_from(name).map_err(|_| PlacementError::UnknownAccount)?;
                Some(config.account(&id).ok_or(PlacementError::UnknownAccount)?.id.clone())
            }
            None => None,
        };
        let keyed = config.accounts.is_some() || self.settings.keys_required;
        if account.is_none() && keyed && !queue.public {
            return Err(PlacementError::AccountRequired);
        }
        spec.validate().map_err(PlacementError::InvalidJob)?;
        if spec.steps.len() > MAX_QUERY_STEPS {
            return Err(PlacementError::TooManySteps);
        }
        let members = self.members();
        if members.is_empty() {
            return Err(PlacementError::NoLayout);
        }
        let objective = queue.objective(&spec);
        let query = PlacementQuery { queue: queue.name.clone(), account: account.clone(), spec };
        let mut cells = Vec::new();
        let mut reports = 0;
        for member in members.iter().take(MAX_CELLS) {
            let asks = member.is_owned() && reports < MAX_REPORTS;
            reports += usize::from(asks);
            cells.push(member.answer_query(queue, &query, objective, asks).await);
        }
        Ok(PlacementAnswer {
            node: self.settings.node.clone(),
            queue: queue.name.clone(),
            account,
            service: queue.service.clone(),
            config: config.version,
            config_age_ms: self.config_context().age.map(ms),
            objective_ms: ms(objective),
            cells,
            further_cells: members.len().saturating_sub(MAX_CELLS),
        })
    }
}

impl<P, C> CellMember<P, C>
where
    P: Platform,
    C: Clock + 'static,
{
    /// The part of an answer for this cell. The scheduler is asked only if `asks_scheduler`.
    async fn answer_query(
        &self,
        queue: &Queue,
        query: &PlacementQuery,
        objective: Duration,
        asks_scheduler: bool,
    ) -> CellAnswer {
        let report = match asks_scheduler {
            true => self.ask_scheduler(query).await,
            false if self.is_owned() => Err("too many cells of this node"),
            false => Err("this node doesn't own the cell"),
        };
        let heartbeat = self.owner_heartbeat();
        let age_ms = self.load_age().map(ms);
        let address =
            self.node.owners.borrow().heartbeat(self.id).map(|known| known.address.clone());
        let load = heartbeat.as_ref().and_then(|heartbeat| {
            let (_, load) = heartbeat.load.iter().find(|(name, _)| *name == queue.service)?;
            let backlog_ms = ms(backlog_time(load));
            let (capacity_m, backlog) = (load.capacity, load.backlog);
            Some(LoadAnswer { capacity_m, backlog, backlog_ms, age_ms })
        });
        CellAnswer {
            cell: self.id.0,
            admission: self.would_admit(queue, query, objective),
            owner: heartbeat.map(|heartbeat| OwnerAnswer {
                this_node: self.is_owned() && heartbeat.node == self.node.settings.node,
                address,
                node: heartbeat.node,
                epoch: heartbeat.epoch,
                released: heartbeat.released,
                heartbeat_age_ms: age_ms,
            }),
            load,
            no_placement: report.as_ref().err().copied(),
            placement: report.ok(),
        }
    }

    /// The decision on a submission, in the order in which a submission is checked.
    fn would_admit(
        &self,
        queue: &Queue,
        query: &PlacementQuery,
        objective: Duration,
    ) -> AdmissionAnswer {
        let refused = |reason, after: Duration| AdmissionAnswer {
            accepted: false,
            reason,
            retry_after_ms: Some(ms(after)),
        };
        if !self.node.is_config_current() {
            return refused("outdated_config", STORE_RETRY_AFTER);
        }
        if !self.is_store_reachable() {
            return refused("store_unreachable", STORE_RETRY_AFTER);
        }
        // A job has no id before it is submitted; the id only varies the Retry-After of a refusal.
        let (account, spec) = (query.account.as_ref(), &query.spec);
        let (decision, _) = self.decide_admission(queue, account, JobKey(0), spec, objective);
        match decision {
            AdmissionDecision::Accept => {
                AdmissionAnswer { accepted: true, reason: "accepted", retry_after_ms: None }
            }
            AdmissionDecision::Refuse(after) => refused("overload", after),
        }
    }

    /// Asks the scheduler of this node.
    async fn ask_scheduler(&self, query: &PlacementQuery) -> Result<PlacementReport, &'static str> {
        let Some(sender) = self.queries.borrow().clone() else {
            return Err("this node has just lost the cell");
        };
        let (reply, answer) = oneshot::channel();
        let query = SchedulerQuery { query: query.clone(), reply };
        sender.try_send(query).map_err(|_| "other queries wait for the scheduler; ask again")?;
        match tokio::time::timeout(REPORT_TIMEOUT, answer).await {
            Ok(Ok(Some(report))) => Ok(report),
            Ok(Ok(None)) => Err("the scheduler's configuration has no such queue yet; ask again"),
            Ok(Err(_)) => Err("this node has just lost the cell"),
            Err(_) => Err("the scheduler is busy; ask again"),
        }
    }
}
