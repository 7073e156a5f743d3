//! HTTP clients of the platform's VM control and of the workers.

use std::time::Duration;

use awc::Client;
use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use cj_log::is_unsent;
use cj_record::{VmFacts, VmKind};
use cj_types::{
    BootId, DataCentreId, Error, ErrorKind, OpId, PoolId, RackId, Resources, Result, Token,
    UnixMillis, VmId,
};

/// Time limit of one HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response body accepted, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
    /// Not running.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// `ip:port` of its service.
    pub address: CompactString,
    /// Pool label.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub zone: DataCentreId,
    /// State.
    pub state: ListedState,
    /// Boot id.
    pub boot: BootId,
    /// Total resources; cores in thousandths.
    #[serde(flatten)]
    pub resources: Resources,
    /// Minion or worker.
    pub kind: ListedKind,
}

/// A VM as reported by a direct probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbedVm {
    /// Current state of the VM.
    #[serde(flatten)]
    pub listed: ListedVm,
    /// Requests or tasks in flight on it.
    pub in_flight: u32,
}

/// Kind of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedKind {
    /// Serves requests.
    Minion,
    /// Runs tasks.
    Worker,
}

impl From<&ListedVm> for VmFacts {
    fn from(listed: &ListedVm) -> Self {
        VmFacts {
            vm: listed.vm.clone(),
            address: listed.address.clone(),
            pool: listed.pool.clone(),
            rack: listed.rack.clone(),
            centre: listed.zone.clone(),
            kind: match listed.kind {
                ListedKind::Minion => VmKind::Minion,
                ListedKind::Worker => VmKind::Worker,
            },
            capacity: listed.resources,
            boot: listed.boot,
        }
    }
}

/// State of a task as its worker lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Accepted, not started.
    NotStarted,
    /// Running under its lease.
    Running,
    /// Ended successfully.
    Done,
    /// Stopped on command, or because its lease expired.
    Stopped,
    /// Ended with an error.
    Failed,
}

/// A task as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTask {
    /// Name of the task: the job id.
    pub task: CompactString,
    /// Fencing token of the attempt.
    pub token: Token,
    /// State.
    pub state: TaskState,
    /// Time until its lease ends, in milliseconds; 0 once it has ended.
    pub lease_left_ms: u64,
    /// Time that it has run, in milliseconds.
    #[serde(default)]
    pub ran_ms: u64,
    /// Result of a task that is done.
    #[serde(default)]
    pub answer: Option<String>,
}

/// Resource usage of one task as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTaskUsage {
    /// Name of the task: the job id.
    pub task: CompactString,
    /// Usage.
    #[serde(flatten)]
    pub used: Resources,
}

/// Resource usage as reported by a worker; the report lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUsage {
    /// Time of the measurement.
    pub at: UnixMillis,
    /// Usage of all tasks together.
    #[serde(flatten)]
    pub used: Resources,
    /// Usage by task.
    pub tasks: Vec<ListedTaskUsage>,
}

/// Request to start a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Name of the task: the job id.
    pub task: CompactString,
    /// Fencing token of the attempt.
    pub token: Token,
    /// Length of the lease in milliseconds.
    pub lease_ms: u32,
    /// End of the lease by the wall clock; the worker refuses a start that arrives later.
    pub lease_end: UnixMillis,
    /// Declared demand.
    #[serde(flatten)]
    pub demand: Resources,
    /// Declared run time in milliseconds.
    pub run_ms: u32,
    /// What to run.
    pub spec: String,
}

/// Client of VM control.
#[derive(Clone)]
pub struct VmControlClient {
    client: Client,
    base_url: CompactString,
}

#[derive(Serialize)]
struct Operation<'a> {
    op: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pool: Option<&'a PoolId>,
}

impl VmControlClient {
    /// A client of the service at `address` (`ip:port`).
    pub fn new(address: &str) -> Self {
        VmControlClient {
            client: platform_client(),
            base_url: format_compact!("http://{address}/v1/vms"),
        }
    }

    /// The platform's list of VMs and its encoded size in bytes. The list lags behind the state of the VMs.
    pub async fn list(&self) -> Result<(Vec<ListedVm>, usize)> {
        get_sized(&self.client, &self.base_url, "VM control").await
    }

    /// Probes the current state of one VM.
    pub async fn probe(&self, vm: &VmId) -> Result<ProbedVm> {
        get(&self.client, &format!("{}/{vm}", self.base_url), "VM control").await
    }

    /// Tells the platform that the VM is draining.
    pub async fn drain(&self, vm: &VmId, op: OpId) -> Result<()> {
        self.send_operation(vm, "drain", &Operation { op: op.0, pool: None }).await
    }

    /// Reboots the VM. Repeated calls with the same `op` reboot it only once.
    pub async fn reboot(&self, vm: &VmId, op: OpId) -> Result<()> {
        self.send_operation(vm, "reboot", &Operation { op: op.0, pool: None }).await
    }

    /// Returns a draining VM to service; `change_number` is the generation of the VM.
    pub async fn undrain(&self, vm: &VmId, change_number: u64) -> Result<()> {
        self.send_operation(vm, "undrain", &Operation { op: change_number, pool: None }).await
    }

    /// Sets the pool label of the VM; `change_number` is the generation of the VM.
    pub async fn assign(&self, vm: &VmId, change_number: u64, pool: &PoolId) -> Result<()> {
        self.send_operation(vm, "assign", &Operation { op: change_number, pool: Some(pool) }).await
    }

    async fn send_operation(&self, vm: &VmId, verb: &str, operation: &Operation<'_>) -> Result<()> {
        post(&self.client, &format!("{}/{vm}/{verb}", self.base_url), operation, "VM control")
            .await
            .map(drop)
    }
}

/// Client of the workers.
#[derive(Clone)]
pub struct WorkerClient {
    client: Client,
}

impl Default for WorkerClient {
    fn default() -> Self {
        WorkerClient { client: platform_client() }
    }
}

/// A worker's response to a start request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task runs.
    Running,
    /// The worker has seen this attempt or a later one already.
    AlreadyStarted,
    /// The worker lacks capacity; the task did not start.
    NoCapacity,
}

impl WorkerClient {
    /// Starts a task.
    pub async fn start(&self, address: &str, task: &StartTask) -> Result<StartOutcome> {
        let status =
            post(&self.client, &format!("http://{address}/v1/tasks"), task, "worker").await;
        match status {
            Ok(_) => Ok(StartOutcome::Running),
            Err(e) => match e.kind {
                ErrorKind::Refused { ref reason, .. } if reason.starts_with("409") => {
                    Ok(StartOutcome::AlreadyStarted)
                }
                ErrorKind::Refused { .. } => Ok(StartOutcome::NoCapacity),
                _ => Err(e),
            },
        }
    }

    /// Lists the tasks of the worker, ended ones included.
    pub async fn tasks(&self, address: &str) -> Result<Vec<ListedTask>> {
        get(&self.client, &format!("http://{address}/v1/tasks"), "worker").await
    }

    /// Usage of the worker.
    pub async fn usage(&self, address: &str) -> Result<ListedUsage> {
        get(&self.client, &format!("http://{address}/v1/usage"), "worker").await
    }

    /// Throttles a task.
    pub async fn throttle(&self, address: &str, task: &str, token: Token) -> Result<()> {
        self.send_command(address, task, "throttle", &serde_json::json!({ "token": token })).await
    }

    /// Makes a task write a checkpoint.
    pub async fn checkpoint(&self, address: &str, task: &str, token: Token) -> Result<()> {
        self.send_command(address, task, "checkpoint", &serde_json::json!({ "token": token })).await
    }

    /// Extends the lease of a task.
    pub async fn renew(
        &self,
        address: &str,
        task: &str,
        token: Token,
        lease_ms: u32,
    ) -> Result<()> {
        let body = serde_json::json!({ "token": token, "lease_ms": lease_ms });
        self.send_command(address, task, "renew", &body).await
    }

    /// Stops a task.
    pub async fn stop(&self, address: &str, task: &str, token: Token) -> Result<()> {
        self.send_command(address, task, "stop", &serde_json::json!({ "token": token })).await
    }

    async fn send_command(
        &self,
        address: &str,
        task: &str,
        verb: &str,
        body: &serde_json::Value,
    ) -> Result<()> {
        let task = task.replace('/', "%2F");
        post(&self.client, &format!("http://{address}/v1/tasks/{task}/{verb}"), body, "worker")
            .await
            .map(drop)
    }
}

fn platform_client() -> Client {
    crate::upstream::client(Duration::from_millis(500))
}

fn unanswered(service: &'static str, reason: impl std::fmt::Display) -> Error {
    let reason = format_compact!("{reason}");
    Error::new(
        ErrorKind::Unanswered { service, reason },
        "check that the service is reachable; the call will be retried",
    )
}

fn refused(service: &'static str, reason: CompactString) -> Error {
    Error::new(ErrorKind::Refused { service, reason }, "see the reason; the call had no effect")
}

async fn get<T>(client: &Client, url: &str, service: &'static str) -> Result<T>
where
    T: serde::de::DeserializeOwned,
{
    get_sized(client, url, service).await.map(|(value, _)| value)
}

async fn get_sized<T>(client: &Client, url: &str, service: &'static str) -> Result<(T, usize)>
where
    T: serde::de::DeserializeOwned,
{
    let call = async {
        let mut response = client.get(url).send().await.map_err(|e| unanswered(service, e))?;
        let body =
            response.body().limit(MAX_LIST_BYTES).await.map_err(|e| unanswered(service, e))?;
        if !response.status().is_success() {
            return Err(refused(service, format_compact!("{}", response.status())));
        }
        let value = serde_json::from_slice(&body).map_err(|e| unanswered(service, e))?;
        Ok((value, body.len()))
    };
    tokio::time::timeout(CALL_TIMEOUT, call).await.map_err(|e| unanswered(service, e))?
}

async fn post<T>(client: &Client, url: &str, body: &T, service: &'static str) -> Result<u16>
where
    T: Serialize,
{
    let call = async {
        let sent = client.post(url).send_json(body).await;
        let mut response = sent.map_err(|e| match is_unsent(&e) {
            true => refused(service, format_compact!("not connected: {e}")),
            false => unanswered(service, e),
        })?;
        let answer =
            response.body().limit(MAX_LIST_BYTES).await.map_err(|e| unanswered(service, e))?;
        let status = response.status();
        if status.is_server_error() {
            return Err(unanswered(service, status));
        }
        if !status.is_success() {
            let reason = format_compact!("{status}: {}", String::from_utf8_lossy(&answer));
            return Err(refused(service, reason));
        }
        Ok(status.as_u16())
    };
    tokio::time::timeout(CALL_TIMEOUT, call).await.map_err(|e| unanswered(service, e))?
}
