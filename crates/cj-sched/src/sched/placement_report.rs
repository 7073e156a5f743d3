//! What the owner of a cell tells about the placement of a job that was not submitted.
//!
//! Times are in milliseconds and processors in millicores, as the names of the fields say, since the report is printed as
//! JSON.

use std::collections::BTreeMap;

use cj_types::{Resources, ServiceId, Version};
use compact_str::CompactString;
use serde::Serialize;

/// Why a worker gets none of the tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// It belongs to another pool.
    WrongService,
    /// It is no longer registered.
    Unregistered,
    /// It hasn't answered a listing of this owner.
    NotListed,
    /// Runs on it, or their ends, aren't known completely.
    UnknownRuns,
    /// It or its VM is draining.
    Draining,
    /// It left the last request for a listing unanswered.
    Unresponsive,
    /// It gets no tasks for a moment, after a start that it refused or left unanswered.
    Paused,
    /// Another owner may have taken over and may not know the worker.
    UnknownToSuccessor,
    /// It is kept free for a task that may have crashed workers.
    Isolated,
    /// It lacks the label that the step requires.
    LabelMissing,
    /// An earlier acknowledgement may still reach it, and make it forget the end of a finite task.
    LateAcknowledgement,
    /// It is reserved for a long-running task.
    Reserved,
    /// It has no room for a task.
    NoRoom,
    /// It has failed tasks, and others have room.
    Quarantined,
    /// Others are preferred.
    NotNeeded,
    /// It isn't eligible for another reason.
    Other,
}

/// What holds back the tasks of a step that have room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hold {
    /// This owner may have been replaced, so it starts nothing at present.
    OwnershipUnconfirmed,
    /// The job is scheduled for later.
    NotDue,
    /// The policy service has to name the workers first.
    Advice,
    /// The account may not have more running.
    AccountCap,
    /// The members of a gang start together, and there isn't room for all of them.
    Gang,
}

/// Tasks of a step on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WorkerShare {
    /// Id of the worker.
    pub worker: CompactString,
    /// Number of tasks.
    pub tasks: u32,
}

/// Where the tasks of a step would start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepPlacement {
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of its tasks.
    pub tasks: u32,
    /// Number of tasks that would start now. For long-running steps of thousands of tasks it may be too low.
    pub starting: u32,
    /// Why fewer than all tasks would start, other than for want of room.
    pub hold: Option<Hold>,
    /// The workers that would get the tasks, or will when the hold ends, in the order of choice; the first
    /// [`MAX_NAMED_WORKERS`].
    pub workers: Vec<WorkerShare>,
    /// Number of workers that would get tasks.
    pub chosen_workers: usize,
    /// Number of the other workers of the cell, by the first condition that they don't meet.
    pub others: BTreeMap<Obstacle, usize>,
    /// Number of workers of the pool that could hold a task if nothing else ran there.
    pub able_workers: usize,
    /// Number of VMs, in all pools, that could hold a task if nothing else ran there.
    pub able_vms: usize,
    /// Expected run time of a task.
    pub expected_run_ms: u64,
}

/// Maximum number of workers that are named for a step.
pub const MAX_NAMED_WORKERS: usize = 16;

/// Expected work of the pool that comes before the job, in millicores times milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WorkAhead {
    /// Rest of the finite runs.
    pub running: u64,
    /// Waiting finite tasks of jobs that go first: those of higher priority, and those of the same priority that are
    /// expected to be in time.
    pub waiting: u64,
    /// Number of jobs with such tasks.
    pub jobs: usize,
    /// Waiting finite tasks of the other jobs, which go later.
    pub behind: u64,
}

/// What the pool has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PoolState {
    /// Number of registered workers.
    pub workers: usize,
    /// Number of workers that accept tasks.
    pub accepting: usize,
    /// Processors of the workers that accept tasks.
    pub capacity_m: u64,
    /// Processors there that aren't in use.
    pub free_m: u64,
    /// Processors there that long-running tasks use.
    pub long_running_m: u64,
    /// Number of VMs that are up, according to the list of VMs.
    pub vms: usize,
    /// Number of VMs that are moving to the pool and whose workers haven't registered.
    pub arriving: usize,
    /// Processors of these VMs.
    pub arriving_m: u64,
    /// Time until the first VM arrives that this owner has sent there.
    pub next_arrival_ms: Option<u64>,
    /// Number of VMs in the spare pool that could be moved.
    pub spare: usize,
}

/// When the job would start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ExpectedTimes {
    /// Time until its first steps would have started.
    pub wait_ms: u64,
    /// Time from then on to its end.
    pub run_ms: u64,
    /// Time until its end.
    pub end_ms: u64,
    /// Its latency objective, from the expected run times.
    pub objective_ms: u64,
    /// It would end within its objective.
    pub in_time: bool,
}

/// Why there are no expected times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NoTimes {
    /// The job runs until it is cancelled.
    LongRunning,
    /// No worker or VM could ever hold a task of some step.
    TooLarge,
    /// The pool has no workers, none are on their way, and the spare pool has none.
    NoWorkers,
}

/// Ages of what the report rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Ages {
    /// Time since the current list of VMs was requested; `None` if there is none.
    pub vm_list_ms: Option<u64>,
    /// Time since the owner's last acknowledged heartbeat was sent.
    pub heartbeat_ms: u64,
    /// Time since the last placement pass.
    pub placement_pass_ms: u64,
    /// Shortest time since an answer of a worker of the pool.
    pub newest_listing_ms: Option<u64>,
    /// Longest time since the last answer of a worker of the pool.
    pub oldest_listing_ms: Option<u64>,
}

/// Where the tasks of a job would run, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlacementReport {
    /// The pool.
    pub service: ServiceId,
    /// Version of the owner's configuration.
    pub config: Version,
    /// The steps that don't depend on others; the first [`MAX_NAMED_STEPS`].
    pub steps: Vec<StepPlacement>,
    /// Number of further steps that don't depend on others.
    pub unnamed_steps: usize,
    /// Number of steps that depend on others.
    pub later_steps: usize,
    /// Work before the job.
    pub ahead: WorkAhead,
    /// What the pool has.
    pub pool: PoolState,
    /// What the account may still start in this cell; `None` if it has no cap.
    pub cap_room: Option<Resources>,
    /// When the job would start and end.
    pub expected: Option<ExpectedTimes>,
    /// Why `expected` is missing.
    pub no_times: Option<NoTimes>,
    /// Ages of the values.
    pub ages: Ages,
}

/// Maximum number of steps whose placement is reported.
pub const MAX_NAMED_STEPS: usize = 16;
