//! What the scheduler hears, and what it orders.

use std::{fmt, rc::Rc, time::Duration, time::Instant};

use cj_types::{Resources, ServiceId, VmId};
use compact_str::CompactString;

use crate::{
    config::FleetConfig,
    job::{JobKey, TaskId},
    job_index::JobIndex,
    record::{Progress, Record, Submission, WaveProgress},
};

/// Id of one life of a worker, as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub CompactString);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a worker says of itself in its registration.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRegistration {
    /// The worker.
    pub id: WorkerId,
    /// Start of its process, Unix time in ms.
    pub started_at: Option<u64>,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Where it takes orders, `ip:port`.
    pub address: CompactString,
    /// Its capacity.
    pub capacity: Resources,
    /// Kind and rack, as labels.
    pub labels: Vec<CompactString>,
    /// It leaves soon and gets no new tasks.
    pub draining: bool,
    /// Least time until it leaves.
    pub remaining: Option<Duration>,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// It runs.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is off for its maintenance.
    Maintenance,
    /// It is down.
    Down,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// Its pool.
    pub pool: ServiceId,
    /// Its state.
    pub state: VmState,
    /// Its rack and kind.
    pub labels: Vec<CompactString>,
    /// Its capacity.
    pub capacity: Resources,
    /// The worker that runs on it.
    pub worker: Option<WorkerId>,
}

/// A maintenance wave that an operator ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveSpec {
    /// Number of the wave.
    pub number: u64,
    /// VMs that are due.
    pub vms: Vec<VmId>,
    /// Time from the order until all are to be done.
    pub duration: Duration,
    /// Most VMs that may be off for it at once.
    pub cap: u32,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another owner with a higher fencing token gave orders.
    Fenced,
    /// The run is not newer than one that was stopped or ended there.
    #[debug("Old")]
    StaleRun,
    /// The lease of the order had ended.
    #[debug("Late")]
    LeaseExpired,
    /// The task doesn't fit.
    #[debug("Room")]
    NoCapacity,
    /// The ticket isn't valid.
    #[debug("Ticket")]
    InvalidTicket,
    /// Another life of the worker answers at the address.
    #[debug("OtherLife")]
    OtherIncarnation,
    /// The worker is unhealthy; it did nothing.
    Unhealthy,
    /// The worker can't read the order.
    Invalid,
}

/// Answer to an order for one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandAnswer {
    /// Carried out.
    Done,
    /// Refused; nothing was done.
    Refused(Refusal),
    /// No answer; it may be carried out, also later.
    Unanswered,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Newest checkpoint; empty when there is none.
    pub checkpoint: CompactString,
    /// Progress of a finite task, or 100 while a lasting one is at work.
    pub percent: u8,
    /// Over the last half second: tail latency in ms of a serving task, processor use in thousandths of a core of others.
    pub sample: u32,
}

/// How a run ended.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    #[debug("Lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[debug("Broken")]
    GangBroken,
    /// The other members of its gang didn't come.
    #[debug("Alone")]
    GangIncomplete,
}

/// An end of a run that is not acknowledged yet.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty when there is none.
    pub checkpoint: CompactString,
}

/// What runs on a worker, and what ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Start of the worker's process, Unix time in ms.
    pub started_at: Option<u64>,
    /// The worker's clock, in ms.
    pub clock: u64,
    /// Running tasks.
    pub running: Vec<RunRow>,
    /// Ends that aren't acknowledged.
    pub ended: Vec<EndRow>,
}

/// Answer to a request for a listing.
#[derive(Clone, Debug, PartialEq)]
pub enum ListAnswer {
    /// The listing.
    Listed(Listing),
    /// The worker refused.
    Refused(Refusal),
    /// No answer.
    Unanswered,
}

/// Answer to an order for a VM.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum VmAnswer {
    /// Carried out, or done already.
    Done,
    /// Another owner with a higher fencing token gave orders.
    Fenced,
    /// The VM isn't up.
    #[debug("Busy")]
    NotUp,
    /// The order isn't valid for this VM.
    Invalid,
    /// Too many calls, or the platform isn't available; nothing was done.
    #[debug("Later")]
    RetryLater,
    /// No answer; it may be carried out, also later.
    Unanswered,
}

/// A worker that may run a step, with the ticket that proves it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// Its ticket.
    pub ticket: CompactString,
}

/// Answer of the policy service.
#[derive(Clone, Debug, PartialEq)]
pub enum AdviceAnswer {
    /// Workers that may run the step, and how long the tickets are valid.
    Granted(Vec<Ticket>, Duration),
    /// No answer, or too many calls wait.
    RetryLater,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was accepted. `fresh` is true when it was accepted after this owner's epoch began, so that no task of it can
    /// have been started before.
    Submitted {
        /// The job.
        job: JobKey,
        /// Its submission.
        submission: Rc<Submission>,
        /// No earlier owner can have started a task of it.
        fresh: bool,
        /// Progress of its occurrences that an earlier owner recorded.
        recorded: Vec<Progress>,
    },
    /// A job was read that is over.
    Ended(JobKey),
    /// The caller cancelled a job.
    Cancelled(JobKey),
    /// The operators' configuration.
    Config(Rc<FleetConfig>),
    /// A worker registered itself or changed its registration.
    Registered(WorkerRegistration),
    /// A registration lapsed or was removed.
    Unregistered(WorkerId),
    /// The platform's list of VMs, with the time at which it was asked for.
    VmsListed(Instant, Vec<VmRow>),
    /// An operator ordered a wave, and how far it is.
    Wave(WaveSpec, WaveProgress),
    /// Answer to [`Action::Start`].
    Started(WorkerId, TaskId, u64, CommandAnswer),
    /// Answer to [`Action::Stop`].
    Stopped(WorkerId, TaskId, u64, CommandAnswer),
    /// Answer to [`Action::Pace`].
    Paced(WorkerId, TaskId, u64, CommandAnswer),
    /// Answer to [`Action::List`], with the time at which it was sent.
    Listed(WorkerId, Instant, ListAnswer),
    /// Answer to [`Action::Advise`].
    Advised(StepKey, AdviceAnswer),
    /// The records of the batch with this number are durable.
    Written(u64),
    /// Answer to [`Action::MoveVm`].
    Moved(VmId, VmAnswer),
    /// Answer to [`Action::MaintainVm`].
    Maintained(VmId, u64, VmAnswer),
}

impl Event {
    /// What the owner hears of a job whose submission was read into its book; `None` when the submission isn't known.
    pub fn for_job(index: &JobIndex, job: JobKey) -> Option<Event> {
        let entry = index.job(job)?;
        if entry.state().is_final() {
            return Some(Event::Ended(job));
        }
        let submission = entry.submission()?.clone();
        let fresh = entry.epoch != 0 && entry.epoch == index.epoch();
        Some(Event::Submitted { job, submission, fresh, recorded: entry.recorded() })
    }
}

/// Names one step of one occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Where an order goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The worker; another life at the address refuses the order.
    pub worker: WorkerId,
    /// Its address, `ip:port`.
    pub address: CompactString,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// The job, whose text the task gets.
    pub submission: Rc<Submission>,
    /// End of the lease on the worker's clock, in ms.
    pub lease_end: u64,
    /// Checkpoint to resume from; empty when there is none.
    pub checkpoint: CompactString,
    /// Ticket of the policy service, where the queue needs one.
    pub ticket: Option<CompactString>,
}

/// Something to be done by the caller of the scheduler.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run.
    Start(Target, StartCommand),
    /// Stop a run.
    Stop(Target, TaskId, u64),
    /// Let a run work at this percentage of its speed.
    Pace(Target, TaskId, u64, u8),
    /// List what runs and ended on a worker, and renew its lease.
    List {
        /// The worker.
        target: Target,
        /// End of the lease on the worker's clock, in ms; `None` leaves it as it is.
        lease_end: Option<u64>,
        /// Ends up to this number are acknowledged.
        acknowledged: u64,
        /// The answer may wait this long for an end.
        wait: Duration,
    },
    /// Ask which workers may run a step.
    Advise(StepKey, Vec<WorkerId>),
    /// Write records; answered by [`Event::Written`] with the number.
    Write(u64, Vec<Record>),
    /// Move a VM to a pool.
    MoveVm(VmId, ServiceId),
    /// Take a VM off for the maintenance of a wave.
    MaintainVm(VmId, u64),
    /// Publish the state of a wave.
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// All its VMs are done.
        completed: bool,
    },
    /// Another owner took over; no more orders may be given.
    StepDown,
}
