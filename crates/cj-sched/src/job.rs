//! Jobs as callers submit them, and the ids of their tasks.

use std::{fmt, str::FromStr, time::Duration};

use cj_types::{Error, Resources, Result, UnixMillis};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job, over all steps and occurrences.
pub const MAX_JOB_TASKS: u32 = 100_000;

/// Id of a job: 16 hexadecimal digits chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey(pub u64);

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let help = "use 16 lower-case hexadecimal digits";
        if text.len() != 16 || !digits {
            return Err(Error::invalid("job id", text, help));
        }
        let parsed = u64::from_str_radix(text, 16).map(JobKey);
        parsed.map_err(|_| Error::invalid("job id", text, help))
    }
}

/// Identifies one task: job, occurrence, step, and index within the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Index within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::invalid("task id", text, "use JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(invalid);
        let job = part()?.parse()?;
        let mut number = || part()?.parse::<u32>().map_err(|_| invalid());
        let task = TaskId { job, occurrence: number()?, step: number()?, index: number()? };
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(task)
    }
}

/// Resources that one task needs.
pub type Demand = Resources;

/// One step: tasks that may run in parallel once the steps they depend on are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub demand: Demand,
    /// Rough estimate of a task's run time.
    pub estimate: Duration,
    /// Numbers of the earlier steps that this step depends on.
    pub after: Vec<u32>,
    /// The tasks save checkpoints and can resume from them.
    pub checkpoints: bool,
    /// The tasks work only together: all of them run, or none.
    pub gang: bool,
    /// The tasks slow down when they run on more than one rack.
    pub colocated: bool,
    /// Label that a VM must have to run the tasks.
    pub requires: Option<CompactString>,
    /// Rack that holds the data of the tasks, preferred for them.
    pub affinity: Option<CompactString>,
    /// Maximum number of tasks of the step on one VM; `None` is unlimited.
    pub spread: Option<u32>,
    /// Copies of a task may run at the same time; the first to finish counts.
    pub speculative: bool,
    /// The tasks run until the job is cancelled, and are restarted however they end.
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: CompactString,
    /// Upper bound on the tail latency of a serving task.
    pub target: Option<Duration>,
    /// The tasks use the processor time that other tasks leave idle; their own demand for cores isn't reserved.
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that may be unavailable because of commands of the scheduler.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Resources that a task reserves of a VM's capacity.
    pub fn allocation(&self) -> Demand {
        let mut demand = self.demand;
        if self.best_effort {
            demand.cores = Default::default();
        }
        demand
    }
}

/// When the occurrences of a repeated job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// Due time of occurrence 0.
    pub start: UnixMillis,
    /// Time between two occurrences.
    pub interval: Duration,
}

impl Schedule {
    /// Due time of occurrence `number`.
    pub fn due(&self, number: u32) -> UnixMillis {
        self.start + self.interval * number
    }
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub text: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Schedule of the occurrences; `None` runs the steps once, immediately.
    pub schedule: Option<Schedule>,
}

impl JobSpec {
    /// Number of occurrences, at least 1.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Checks the steps.
    ///
    /// # Errors
    ///
    /// Fails for a job without tasks, with a step without tasks, with more than [`MAX_JOB_TASKS`] tasks, or with a step
    /// that depends on itself or a later one.
    pub fn validate(&self) -> Result<()> {
        let invalid = |value: String, help: &str| Err(Error::invalid("job", value, help));
        let per_occurrence: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = per_occurrence.saturating_mul(u64::from(self.occurrences()));
        if self.steps.iter().any(|step| step.count == 0) || tasks == 0 {
            return invalid(format!("{tasks} tasks"), "give each step a count of at least 1");
        }
        if tasks > u64::from(MAX_JOB_TASKS) {
            return invalid(
                format!("{tasks} tasks"),
                "split the job: a job has at most 100,000 tasks",
            );
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|&earlier| earlier as usize >= number) {
                return invalid(format!("step {number}"), "list only earlier steps in `after`");
            }
        }
        Ok(())
    }

    /// Sum of the estimates along the critical path, which is the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        self.critical_path_by(|_, step| step.estimate)
    }

    /// Sum of `span`, called with the number of a step and the step, along the critical path.
    pub fn critical_path_by<F>(&self, span: F) -> Duration
    where
        F: Fn(usize, &StepSpec) -> Duration,
    {
        let [path] = self.critical_paths_by(|number, step| [span(number, step)]);
        path
    }

    /// As [`Self::critical_path_by`] for several spans of each step, each with a critical path of its own.
    pub fn critical_paths_by<F, const N: usize>(&self, spans: F) -> [Duration; N]
    where
        F: Fn(usize, &StepSpec) -> [Duration; N],
    {
        let longer = |a: [Duration; N], b: &[Duration; N]| std::array::from_fn(|n| a[n].max(b[n]));
        let none = [Duration::ZERO; N];
        let mut ends: Vec<[Duration; N]> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let ready = step.after.iter().filter_map(|&n| ends.get(n as usize)).fold(none, longer);
            let spans = spans(number, step);
            ends.push(std::array::from_fn(|n| ready[n] + spans[n]));
        }
        ends.iter().fold(none, longer)
    }

    /// True when a step is long-running, so that the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
