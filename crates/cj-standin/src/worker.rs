//! A fake worker: runs simulated tasks under leases and fencing tokens, and serves the worker's HTTP interface.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use actix_http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use cj_types::{Mebibytes, Millicores, Resources, Token, UnixMillis, VmId};

use crate::{
    fleet::VmState,
    http::{Call, Handler, Reply, lock},
    minion::expected_answer,
    observed::Execution,
    options::PlatformOptions,
    platform::Shared,
};

/// Time for which ended tasks stay in the task list.
const TASK_RETENTION: Duration = Duration::from_secs(600);

/// A task whose `spec` starts with this prefix fails at the end of its run.
pub const FAILING_SPEC: &str = "fail:";

/// State of a task in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Accepted but not started. It never starts once its lease has expired.
    NotStarted,
    /// Running.
    Running,
    /// Completed with an answer.
    Done,
    /// Stopped by a command, by the expiry of its lease, or because its VM went down.
    Stopped,
    /// Failed.
    Failed,
}

/// Body of `POST /v1/tasks`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Task name: the job id `CALLER/KEY`, percent-encoded in paths.
    pub task: String,
    /// Fencing token.
    pub token: Token,
    /// Duration of the lease in milliseconds from the arrival of this call.
    pub lease_ms: u64,
    /// Wall-clock time at which the lease expires; a start that arrives later is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_end: Option<UnixMillis>,
    /// Declared processors (thousandths of a core), memory (MiB) and accelerators.
    #[serde(flatten)]
    pub resources: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
    /// What to run; together with the task name it determines the answer.
    #[serde(default)]
    pub spec: String,
}

/// Body of `POST /v1/tasks/{task}/renew|checkpoint|throttle|stop`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCall {
    /// Fencing token; a call with an outdated one is refused.
    pub token: Token,
    /// For `renew`: new duration of the lease in milliseconds from the arrival of this call.
    #[serde(default)]
    pub lease_ms: u64,
}

/// One row of the task list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Task name.
    pub task: String,
    /// Fencing token with which it was accepted.
    pub token: Token,
    /// State.
    pub state: TaskState,
    /// Time in milliseconds until the lease expires; 0 when it has expired.
    pub lease_left_ms: u64,
    /// Time in milliseconds that it ran; 0 means that it had no effect.
    pub ran_ms: u64,
    /// Declared resources.
    #[serde(flatten)]
    pub resources: Resources,
    /// Answer of a completed task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
}

/// Resource usage of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Task name.
    pub task: String,
    /// Used resources.
    #[serde(flatten)]
    pub resources: Resources,
}

/// A usage report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The worker.
    pub vm: VmId,
    /// Time of the report.
    pub at: UnixMillis,
    /// Usage of all tasks together.
    #[serde(flatten)]
    pub resources: Resources,
    /// Usage by task.
    pub tasks: Vec<TaskUsage>,
}

/// A simulated task.
struct Task {
    start: StartTask,
    state: TaskState,
    /// True when it continues from a checkpoint of an earlier run.
    resumed: bool,
    starts_at: Instant,
    ends_at: Instant,
    lease_end: Instant,
    /// Time of its acceptance, or of its end.
    changed_at: Instant,
    /// True when it runs at half speed.
    throttled: bool,
    /// Ratio of its actual to its declared size.
    size_factor: f64,
    /// Progress that checkpoints of earlier runs saved.
    saved_progress: Duration,
}

impl Task {
    fn is_active(&self) -> bool {
        matches!(self.state, TaskState::NotStarted | TaskState::Running)
    }

    fn ran(&self, now: Instant) -> Duration {
        let until = if self.state == TaskState::Running { now } else { self.changed_at };
        match self.state {
            TaskState::NotStarted => Duration::ZERO,
            _ => until.saturating_duration_since(self.starts_at),
        }
    }

    fn end(&mut self, state: TaskState, at: Instant) {
        (self.state, self.changed_at) = (state, at);
    }

    /// Applies the state changes that are due by `now`: the start, the end, and the expiry of the lease.
    fn advance(&mut self, now: Instant, executions: &mut BTreeMap<String, Execution>) {
        let runnable = self.lease_end > self.starts_at && self.starts_at <= now;
        if self.state == TaskState::NotStarted && runnable && !self.is_cancelled() {
            self.state = TaskState::Running;
            let execution = executions.entry(self.start.task.clone()).or_default();
            if self.resumed { execution.resumed += 1 } else { execution.starts += 1 }
        }
        if self.state != TaskState::Running {
            return;
        }
        if self.ends_at <= now.min(self.lease_end) {
            let failed = self.start.spec.starts_with(FAILING_SPEC);
            self.end(if failed { TaskState::Failed } else { TaskState::Done }, self.ends_at);
            executions.entry(self.start.task.clone()).or_default().ends += 1;
        } else if self.lease_end <= now {
            self.end(TaskState::Stopped, self.lease_end);
        }
    }

    /// True when the task must not start any more, which is stored as a lease that expired when it was accepted.
    fn is_cancelled(&self) -> bool {
        self.lease_end <= self.changed_at
    }

    fn cancel(&mut self) {
        self.lease_end = self.changed_at;
    }

    fn row(&self, now: Instant) -> TaskRow {
        let answer = (self.state == TaskState::Done)
            .then(|| expected_answer(&self.start.task, self.start.spec.as_bytes()));
        let lease_left = self.lease_end.saturating_duration_since(now);
        let mut ran_ms = self.ran(now).as_millis() as u64;
        if matches!(self.state, TaskState::Running | TaskState::Done | TaskState::Stopped) {
            ran_ms = ran_ms.max(1);
        }
        TaskRow {
            task: self.start.task.clone(),
            token: self.start.token,
            state: self.state,
            lease_left_ms: lease_left.as_millis() as u64,
            ran_ms,
            resources: self.start.resources,
            answer,
        }
    }

    fn usage(&self) -> TaskUsage {
        let declared = self.start.resources;
        let factor = if self.throttled { self.size_factor / 2.0 } else { self.size_factor };
        let scale = |value: u32| (f64::from(value) * factor) as u32;
        let resources = Resources {
            cores: Millicores(scale(declared.cores.0)),
            memory: Mebibytes((f64::from(declared.memory.0) * self.size_factor) as u32),
            accelerators: declared.accelerators,
        };
        TaskUsage { task: self.start.task.clone(), resources }
    }
}

/// Tasks of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    tasks: BTreeMap<String, Task>,
    /// Highest token received per task; kept after the task is removed from the list.
    newest_tokens: BTreeMap<String, Token>,
    /// Usage samples, oldest first; the first one is served.
    reports: VecDeque<(Instant, UsageReport)>,
}

/// HTTP status and reason of a refused call.
type Refusal = (StatusCode, &'static str);

impl Worker {
    pub(crate) fn advance(&mut self, now: Instant, executions: &mut BTreeMap<String, Execution>) {
        self.tasks.values_mut().for_each(|task| task.advance(now, executions));
        self.tasks.retain(|_, task| {
            let may_run = task.is_active() && task.lease_end > now;
            may_run || now.duration_since(task.changed_at) < TASK_RETENTION
        });
    }

    /// Number of running tasks.
    pub(crate) fn running(&self) -> u32 {
        self.tasks.values().filter(|task| task.state == TaskState::Running).count() as u32
    }

    /// Stops all tasks because the VM goes down; returns how many were running.
    pub(crate) fn stop_all(
        &mut self,
        now: Instant,
        executions: &mut BTreeMap<String, Execution>,
    ) -> u32 {
        self.advance(now, executions);
        let mut stopped = 0;
        for task in self.tasks.values_mut() {
            match task.state {
                TaskState::Running => {
                    task.end(TaskState::Stopped, now);
                    stopped += 1;
                }
                TaskState::NotStarted => task.cancel(),
                _ => {}
            }
        }
        stopped
    }

    fn reserved(&self) -> Resources {
        let active = self.tasks.values().filter(|task| task.is_active() && !task.is_cancelled());
        active.fold(Resources::default(), |sum, task| sum.plus(task.start.resources))
    }

    /// Refuses a token that is older than the highest one received for the task; otherwise stores it.
    fn check_token(&mut self, task: &str, token: Token) -> Result<(), Refusal> {
        let newest = self.newest_tokens.entry(task.to_owned()).or_default();
        if token < *newest {
            return Err((StatusCode::CONFLICT, "older token"));
        }
        *newest = token;
        Ok(())
    }

    fn start(
        &mut self,
        start: StartTask,
        free: Resources,
        fails_at_start: bool,
        saved_progress: Option<Duration>,
        options: &PlatformOptions,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        if self.newest_tokens.get(&start.task).is_some_and(|newest| start.token <= *newest) {
            let known = self.tasks.get(&start.task).map(|task| task.start.token);
            let duplicate = known == Some(start.token);
            return Err((
                StatusCode::CONFLICT,
                if duplicate { "duplicate" } else { "older token" },
            ));
        }
        let wall = UnixMillis::from(SystemTime::now());
        let left = start.lease_end.map(|end| end.since(wall));
        let lease = Duration::from_millis(start.lease_ms).min(left.unwrap_or(Duration::MAX));
        if lease.is_zero() {
            return Err((StatusCode::CONFLICT, "lease ended"));
        }
        let active = self.tasks.get(&start.task).is_some_and(Task::is_active);
        if active && self.tasks[&start.task].lease_end > now {
            return Err((StatusCode::CONFLICT, "active under an older token"));
        }
        if !start.resources.fits(free.minus(self.reserved())) {
            return Err((StatusCode::TOO_MANY_REQUESTS, "no room"));
        }
        self.check_token(&start.task, start.token)?;
        let factor = size_factor(&start.task, options.estimate_error);
        let run = Duration::from_millis(start.run_ms).mul_f64(factor);
        let saved_progress = saved_progress.filter(|progress| *progress < run);
        let starts_at = now + options.start_time;
        let mut task = Task {
            state: TaskState::NotStarted,
            resumed: saved_progress.is_some(),
            starts_at,
            ends_at: starts_at + run - saved_progress.unwrap_or_default(),
            lease_end: now + lease,
            changed_at: now,
            throttled: false,
            size_factor: factor,
            saved_progress: saved_progress.unwrap_or_default(),
            start,
        };
        if fails_at_start {
            task.starts_at = now;
            task.end(TaskState::Failed, now);
        }
        self.tasks.insert(task.start.task.clone(), task);
        Ok(())
    }

    /// Renews, checkpoints, throttles or stops a task. Returns the saved progress for a checkpoint.
    fn call(
        &mut self,
        name: &str,
        verb: &str,
        body: TaskCall,
    ) -> Result<Option<Duration>, Refusal> {
        let now = Instant::now();
        self.check_token(name, body.token)?;
        let task = match self.tasks.get_mut(name) {
            Some(task) => task,
            // The token is stored by now, so that a delayed start is refused.
            None if verb == "stop" => return Ok(None),
            None => return Err((StatusCode::NOT_FOUND, "no such task")),
        };
        if verb == "stop" {
            match task.state {
                TaskState::Running => task.end(TaskState::Stopped, now),
                TaskState::NotStarted => task.cancel(),
                _ => {}
            }
            return Ok(None);
        }
        if task.start.token != body.token {
            return Err((StatusCode::CONFLICT, "the task runs under another token"));
        }
        if !task.is_active() || task.lease_end <= now {
            return Err((StatusCode::CONFLICT, "the task has ended"));
        }
        match verb {
            "renew" => task.lease_end = now + Duration::from_millis(body.lease_ms),
            "throttle" if !task.throttled => {
                task.throttled = true;
                task.ends_at += task.ends_at.saturating_duration_since(now.max(task.starts_at));
            }
            "throttle" => {}
            "checkpoint" => {
                let full_speed = if task.throttled { 2 } else { 1 };
                return Ok(Some(task.saved_progress + task.ran(now) / full_speed));
            }
            _ => return Err((StatusCode::NOT_FOUND, "no such operation")),
        }
        Ok(None)
    }

    /// Takes a usage sample. Drops older samples except the newest one that is at least `lag` old, which is served.
    pub(crate) fn sample(&mut self, vm: &VmId, now: Instant, lag: Duration) {
        let running = self.tasks.values().filter(|task| task.state == TaskState::Running);
        let tasks: Vec<TaskUsage> = running.map(Task::usage).collect();
        let resources =
            tasks.iter().fold(Resources::default(), |sum, task| sum.plus(task.resources));
        let at = SystemTime::now().into();
        self.reports.push_back((now, UsageReport { vm: vm.clone(), at, resources, tasks }));
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
    }
}

/// Ratio of a task's actual to its declared size and run time, between `1 / error` and `error`.
fn size_factor(task: &str, error: f64) -> f64 {
    let unit = xxh3_64_with_seed(task.as_bytes(), 11) % 2001;
    error.max(1.0).powf(unit as f64 / 1000.0 - 1.0)
}

/// HTTP handler of a worker.
pub(crate) fn handler(shared: Arc<Shared>, vm: VmId) -> Handler {
    Arc::new(move |call| {
        let (shared, vm) = (shared.clone(), vm.clone());
        Box::pin(async move { Some(answer(&shared, &vm, &call)) })
    })
}

fn answer(shared: &Shared, vm: &VmId, call: &Call) -> Reply {
    let now = Instant::now();
    let fleet = &mut *lock(&shared.fleet);
    if let Some(vm) = fleet.vms.get_mut(vm) {
        vm.worker.advance(now, &mut fleet.observed.executions);
    }
    let Some(worker) = fleet.vms.get(vm).map(|vm| &vm.worker) else {
        return Reply::error(StatusCode::NOT_FOUND, "no such VM");
    };
    // A task name contains `/`: the verb is the last segment, the name is everything before it.
    let segments = call.segments();
    let path: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (&call.method, &path[..]) {
        (&Method::GET, ["v1", "tasks"]) => {
            let rows: Vec<TaskRow> = worker.tasks.values().map(|task| task.row(now)).collect();
            Reply::json(StatusCode::OK, &rows)
        }
        (&Method::GET, ["v1", "tasks", name @ ..]) => match worker.tasks.get(&name.join("/")) {
            Some(task) => Reply::json(StatusCode::OK, &task.row(now)),
            None => Reply::error(StatusCode::NOT_FOUND, "no such task"),
        },
        (&Method::GET, ["v1", "usage"]) => match worker.reports.front() {
            Some((_, report)) => Reply::json(StatusCode::OK, report),
            None => Reply::error(StatusCode::NOT_FOUND, "no report yet"),
        },
        (&Method::POST, ["v1", "tasks"]) => match serde_json::from_slice(&call.body) {
            Ok(start) => start_task(shared, vm, fleet, start),
            Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::POST, ["v1", "tasks", name @ .., verb]) => {
            match serde_json::from_slice(&call.body) {
                Ok(body) => call_task(vm, fleet, &name.join("/"), verb, body),
                Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        _ => Reply::error(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn start_task(
    shared: &Shared,
    id: &VmId,
    fleet: &mut crate::fleet::Fleet,
    start: StartTask,
) -> Reply {
    let Some(vm) = fleet.vms.get_mut(id) else {
        return Reply::error(StatusCode::NOT_FOUND, "no such VM");
    };
    if vm.is_past_leaving_grace(Instant::now()) {
        fleet.observed.late_to_leaving += 1;
        log::warn!("{id}: task {} arrived after the VM's grace period for leaving", start.task);
    }
    if vm.row.state != VmState::Live {
        fleet.observed.refused_leaving += 1;
        return Reply::error(StatusCode::TOO_MANY_REQUESTS, "the VM is leaving");
    }
    let name = start.task.clone();
    let fails_at_start = shared.faults.read(|active| active.bad_workers.contains(id));
    let saved_progress = fleet.checkpoints.get(&name).copied();
    let free = vm.row.resources;
    let result = vm.worker.start(start, free, fails_at_start, saved_progress, &shared.options);
    match &result {
        Err((StatusCode::CONFLICT, _)) => fleet.observed.fenced += 1,
        Err(_) => fleet.observed.refused_full += 1,
        Ok(()) => {}
    }
    task_reply(&vm.worker, &name, StatusCode::CREATED, result)
}

fn call_task(
    id: &VmId,
    fleet: &mut crate::fleet::Fleet,
    name: &str,
    verb: &str,
    body: TaskCall,
) -> Reply {
    let Some(vm) = fleet.vms.get_mut(id) else {
        return Reply::error(StatusCode::NOT_FOUND, "no such VM");
    };
    let result = vm.worker.call(name, verb, body);
    if let Ok(Some(progress)) = result {
        fleet.checkpoints.insert(name.to_owned(), progress);
    }
    task_reply(&vm.worker, name, StatusCode::OK, result.map(|_| ()))
}

/// Answers with the task's row after the call, and the reason when the call was refused.
fn task_reply(
    worker: &Worker,
    name: &str,
    status: StatusCode,
    result: Result<(), Refusal>,
) -> Reply {
    let row = worker.tasks.get(name).map(|task| task.row(Instant::now()));
    match result {
        Ok(()) => Reply::json(status, &row),
        Err((status, reason)) => {
            Reply::json(status, &serde_json::json!({ "error": reason, "task": row }))
        }
    }
}
