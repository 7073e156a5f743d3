//! Events that the scheduler receives, and actions that it requests.

use std::{fmt, rc::Rc, time::Duration, time::Instant};

use cj_types::{Resources, ServiceId, VmId};
use compact_str::CompactString;

use crate::{
    config::FleetConfig,
    job::{JobKey, TaskId},
    job_index::JobIndex,
    record::{Progress, Record, Submission, WaveProgress},
    sched::watch::CommandWatch,
};

/// Id under which a worker registers. A later incarnation may use the same id; its start time tells the two apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub CompactString);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Registration of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRegistration {
    /// The worker.
    pub id: WorkerId,
    /// Start of its process, in Unix milliseconds; it identifies the incarnation.
    pub started_at: Option<u64>,
    /// Service whose tasks it runs.
    pub service: ServiceId,
    /// Address at which it accepts commands, `ip:port`.
    pub address: CompactString,
    /// Its capacity.
    pub capacity: Resources,
    /// Labels: kind and rack; the rack is the last one.
    pub labels: Vec<CompactString>,
    /// The worker is about to leave, so it gets no new tasks.
    pub draining: bool,
    /// Minimum time until it leaves.
    pub remaining: Option<Duration>,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Running.
    Up,
    /// Moving to another pool.
    Moving,
    /// Off for maintenance.
    Maintenance,
    /// Down.
    Down,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct VmRow {
    /// The VM.
    pub vm: VmId,
    /// Its pool.
    pub pool: ServiceId,
    /// Its state.
    pub state: VmState,
    /// Its rack and kind, as labels.
    pub labels: Vec<CompactString>,
    /// Its capacity.
    pub capacity: Resources,
    /// The worker that runs on it.
    pub worker: Option<WorkerId>,
}

/// A maintenance wave requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveSpec {
    /// Number of the wave.
    pub number: u64,
    /// VMs to be maintained.
    pub vms: Vec<VmId>,
    /// Time from the request until all VMs are to be done.
    pub duration: Duration,
    /// Maximum number of VMs that may be off for the wave at once.
    pub cap: u32,
}

/// Why a worker refused a command. The `debug` attributes keep the texts that log lines print.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has already stopped or ended this run of the task or a newer one.
    #[debug("Old")]
    StaleRun,
    /// The lease in the command had expired on arrival.
    #[debug("Late")]
    LeaseExpired,
    /// The task doesn't fit in the free capacity.
    #[debug("Room")]
    NoCapacity,
    /// The ticket isn't valid.
    #[debug("Ticket")]
    InvalidTicket,
    /// Another incarnation answers at the worker's address.
    #[debug("OtherLife")]
    OtherIncarnation,
    /// The worker is unhealthy. Nothing was done.
    Unhealthy,
    /// The worker can't read the command.
    Invalid,
}

/// Answer to a command for one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandAnswer {
    /// Carried out.
    Done,
    /// Carried out by the incarnation whose clock showed this many ms then.
    DoneAt(u64),
    /// Refused; nothing was done.
    Refused(Refusal),
    /// It was not sent: it was withdrawn, had waited too long, or could not be sent. Nothing was done.
    NotSent,
    /// No answer. The command may have been carried out, or may still be.
    Unanswered,
}

/// A task that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Latest checkpoint; empty when there is none.
    pub checkpoint: CompactString,
    /// Progress of a finite task in percent; for a long-running task, 100 once it is ready.
    pub percent: u8,
    /// Sample over the last 0.5 s: tail latency of a serving task in ms, or processor use of other tasks in millicores.
    pub sample: u32,
}

/// How a run ended. The `debug` attributes keep the texts that log lines print.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// Stopped by a command.
    Stopped,
    /// The lease expired.
    #[debug("Lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[debug("Broken")]
    GangBroken,
    /// The other members of its gang did not start.
    #[debug("Alone")]
    GangIncomplete,
}

/// An end of a run that has not been acknowledged to the worker yet.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Sequence number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Latest checkpoint; empty when there is none.
    pub checkpoint: CompactString,
}

/// Runs on a worker: those in progress, and those whose end isn't acknowledged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Start of the worker's process, in Unix milliseconds.
    pub started_at: Option<u64>,
    /// The worker's clock, in ms. Lease ends are given on this clock.
    pub clock: u64,
    /// Runs in progress.
    pub running: Vec<RunRow>,
    /// Ends that have not been acknowledged, or only the oldest of them.
    pub ended: Vec<EndRow>,
    /// `ended` names all of them. Otherwise a run that isn't listed may have ended.
    pub ends_complete: bool,
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

/// Answer to a command for a VM. The `debug` attributes keep the texts that log lines print.
#[derive(Clone, Copy, derive_more::Debug, PartialEq, Eq)]
pub enum VmAnswer {
    /// Carried out now, or by an earlier command.
    Done,
    /// The platform has seen a higher fencing token.
    Fenced,
    /// The VM isn't up.
    #[debug("Busy")]
    NotUp,
    /// The VM isn't part of the wave.
    NotInWave,
    /// The command isn't valid for this VM, or was refused for an unknown reason.
    Invalid,
    /// Too many requests, or the platform is unavailable. Nothing was done.
    #[debug("Later")]
    RetryLater,
    /// No answer. The command may have been carried out, or may still be.
    Unanswered,
}

/// Authorisation by the policy service to run a step on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// The ticket, which the worker checks.
    pub ticket: CompactString,
}

/// Answer of the policy service.
#[derive(Clone, Debug, PartialEq)]
pub enum AdviceAnswer {
    /// Tickets for the workers that may run the step, and how long they are valid.
    Granted(Vec<Ticket>, Duration),
    /// No answer, or too many requests are waiting.
    RetryLater,
}

/// An event for the scheduler to handle.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was accepted.
    Submitted {
        /// The job.
        job: JobKey,
        /// Its submission.
        submission: Rc<Submission>,
        /// This submission was accepted after this owner's epoch began. Unless it is in another log as well, no earlier
        /// owner can have started a task of the job.
        fresh: bool,
        /// Progress of its occurrences as recorded by an earlier owner.
        recorded: Vec<Progress>,
    },
    /// A job was read that has ended.
    Ended(JobKey),
    /// The caller cancelled a job.
    Cancelled(JobKey),
    /// A version of the operators' configuration.
    Config(Rc<FleetConfig>),
    /// A worker registered or changed its registration.
    Registered(WorkerRegistration),
    /// A registration expired or was removed.
    Unregistered(WorkerId),
    /// The platform's list of VMs, with the time at which it was requested.
    VmsListed(Instant, Vec<VmRow>),
    /// A maintenance wave requested by an operator, with its recorded progress.
    Wave(WaveSpec, WaveProgress),
    /// Answer to [`Action::Start`].
    Started(WorkerId, TaskId, u64, CommandAnswer),
    /// Answer to [`Action::Stop`].
    Stopped(WorkerId, TaskId, u64, CommandAnswer),
    /// Answer to [`Action::Pace`].
    Paced(WorkerId, TaskId, u64, CommandAnswer),
    /// Answer to [`Action::List`], with the time at which the request was sent.
    Listed(WorkerId, Instant, ListAnswer),
    /// Answer to [`Action::Advise`], with the workers that it named.
    Advised(StepKey, Vec<WorkerId>, AdviceAnswer),
    /// The batch of records with this number is durable.
    Written(u64),
    /// Answer to [`Action::MoveVm`], with the pool that the command named.
    Moved(VmId, ServiceId, VmAnswer),
    /// Answer to [`Action::MaintainVm`].
    Maintained(VmId, u64, VmAnswer),
}

impl Event {
    /// The event for a job in the index: [`Event::Submitted`], or [`Event::Ended`] if its state is final. `None` when
    /// its submission isn't known.
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

/// Identifies one step of one occurrence of a job.
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

/// Destination of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The worker; another incarnation at the address refuses the command.
    pub worker: WorkerId,
    /// Its address, `ip:port`.
    pub address: CompactString,
}

/// Command to start a run.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// The job; its text is passed to the task.
    pub submission: Rc<Submission>,
    /// End of the lease, in ms on the worker's clock.
    pub lease_end: u64,
    /// Checkpoint to resume from; empty when there is none.
    pub checkpoint: CompactString,
    /// Ticket of the policy service, for queues that require one.
    pub ticket: Option<CompactString>,
    /// Whether the start is still wanted.
    pub watch: CommandWatch,
}

/// An action to be carried out by the caller of the scheduler. A command that its [`CommandWatch`] shows as withdrawn must
/// not be sent any more.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run.
    Start(Target, StartCommand),
    /// Stop a run.
    Stop(Target, TaskId, u64, CommandWatch),
    /// Limit a run to this percentage of its speed.
    Pace(Target, TaskId, u64, u8, CommandWatch),
    /// List the runs on a worker, and renew their lease.
    List {
        /// The worker.
        target: Target,
        /// New end of the lease, in ms on the worker's clock; `None` leaves it unchanged.
        lease_end: Option<u64>,
        /// Ends up to this number are acknowledged.
        acknowledged: u64,
        /// The worker may hold the answer back for this long until a run ends.
        wait: Duration,
    },
    /// Ask the policy service which workers may run a step.
    Advise(StepKey, Vec<WorkerId>),
    /// Write a numbered batch of records; answered by [`Event::Written`] with the same number.
    Write(u64, Vec<Record>),
    /// Move a VM to a pool.
    MoveVm(VmId, ServiceId, CommandWatch),
    /// Power a VM off for the maintenance of a wave.
    MaintainVm(VmId, u64, CommandWatch),
    /// Publish the state of a wave.
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// All its VMs have been maintained.
        completed: bool,
    },
    /// Give up ownership: another owner took over, and no more commands may be sent.
    StepDown,
}
