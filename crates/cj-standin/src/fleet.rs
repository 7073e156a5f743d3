//! A fake VM control: the state of all VMs, the operations on them, and the HTTP interface.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cj_types::{BootId, DataCentreId, PoolId, RackId, Resources, ServiceId, VmId};

use crate::{
    http::{Call, Handler, Reply, lock},
    observed::{Breach, Observed, PoolAvailability},
    options::{PlatformOptions, VmKind, VmOptions},
    platform::Shared,
    worker::Worker,
};

/// Grace period after the start of a drain; a leaving VM must not receive new work after it.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// Draining or drained.
    Leaving,
    /// Rebooting or failed.
    Down,
}

/// One row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRow {
    /// Id.
    pub vm: VmId,
    /// Address of the HTTP interface of its minion or worker.
    pub address: SocketAddr,
    /// Pool.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub zone: DataCentreId,
    /// State.
    pub state: VmState,
    /// Boot id; changes with every boot.
    pub boot: BootId,
    /// Processors in thousandths of a core, memory in MiB, accelerators.
    #[serde(flatten)]
    pub resources: Resources,
    /// What it runs.
    pub kind: VmKind,
    /// Service that a minion answers.
    pub service: Option<ServiceId>,
}

/// Answer to a direct probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmProbe {
    /// Current row, without the lag of the list.
    #[serde(flatten)]
    pub row: VmRow,
    /// Number of requests and tasks in flight.
    pub in_flight: u32,
    /// True when the VM is leaving, its drain time has passed and nothing is in flight.
    pub drained: bool,
}

/// Operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Stops accepting new work.
    Drain,
    /// Accepts new work again.
    Undrain,
    /// Reboots at once.
    Reboot,
    /// Changes the pool; a leaving VM returns to service.
    Assign,
}

/// Idempotency key of an operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum OpKey {
    /// A number.
    Number(u64),
    /// A text such as `assign-17`.
    Text(CompactString),
}

impl OpKey {
    /// The number, or the digits at the end of the text. An assignment with a lower one than the last is refused.
    fn sequence_number(&self) -> u64 {
        match self {
            OpKey::Number(number) => *number,
            OpKey::Text(text) => {
                let start = text.trim_end_matches(|c: char| c.is_ascii_digit()).len();
                text[start..].parse().unwrap_or_default()
            }
        }
    }
}

/// Body of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Idempotency key, a text or a number; a repetition for the same VM and action returns the stored result.
    pub op: OpKey,
    /// Target pool of an assignment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationResult {
    /// The VM.
    pub vm: VmId,
    /// The action.
    pub action: Action,
    /// Idempotency key.
    pub op: OpKey,
    /// Boot id before the operation.
    pub boot: BootId,
    /// Pool after the operation.
    pub pool: PoolId,
}

pub(crate) struct Vm {
    pub(crate) row: VmRow,
    pub(crate) failed: bool,
    pub(crate) rebooting: bool,
    pub(crate) in_flight: u32,
    pub(crate) worker: Worker,
    pub(crate) leaving_since: Option<Instant>,
    /// Past rows with the time of the change, oldest first.
    history: VecDeque<(Instant, VmRow)>,
    /// Sequence number and time of the last assignment.
    last_assignment: Option<(u64, Instant)>,
}

impl Vm {
    fn new(options: &VmOptions, address: SocketAddr, service: Option<ServiceId>) -> Self {
        let row = VmRow {
            vm: options.vm.clone(),
            address,
            pool: options.pool.clone(),
            rack: options.rack.clone(),
            zone: options.zone.clone(),
            state: VmState::Live,
            boot: BootId(1),
            resources: options.resources,
            kind: options.kind,
            service: service.filter(|_| options.kind == VmKind::Minion),
        };
        Vm {
            history: VecDeque::from([(Instant::now(), row.clone())]),
            row,
            failed: false,
            rebooting: false,
            in_flight: 0,
            worker: Worker::default(),
            leaving_since: None,
            last_assignment: None,
        }
    }

    fn is_available(&self) -> bool {
        self.row.state == VmState::Live
    }

    /// Row as of `at`, or the oldest one kept.
    fn row_at(&self, at: Instant) -> &VmRow {
        let past = self.history.iter().rev().find(|(changed, _)| *changed <= at);
        past.or(self.history.front()).map_or(&self.row, |(_, row)| row)
    }

    /// True when the VM has been leaving for longer than the grace period, so that no new work may arrive.
    pub(crate) fn is_past_leaving_grace(&self, now: Instant) -> bool {
        self.leaving_since.is_some_and(|since| now.duration_since(since) > LEAVING_GRACE)
    }

    /// True when the last assignment was longer than the grace period ago, so that no work of another service may
    /// arrive.
    pub(crate) fn is_past_assign_grace(&self, now: Instant) -> bool {
        self.last_assignment.is_some_and(|(_, at)| now.duration_since(at) > LEAVING_GRACE)
    }

    fn running(&self) -> u32 {
        self.in_flight + self.worker.running()
    }
}

/// State of all VMs and what was recorded about them.
pub(crate) struct Fleet {
    pub(crate) started: Instant,
    pub(crate) vms: BTreeMap<VmId, Vm>,
    pub(crate) observed: Observed,
    /// Progress saved by checkpoints, by task.
    pub(crate) checkpoints: BTreeMap<String, Duration>,
    /// Results of completed operations, returned when an operation is repeated.
    operation_results: BTreeMap<(VmId, Action, OpKey), OperationResult>,
    /// Time of the last unplanned failure, by pool.
    last_failures: BTreeMap<PoolId, Instant>,
}

impl Fleet {
    pub(crate) fn new(options: &PlatformOptions) -> Self {
        let observed = Observed {
            pools: options
                .pools
                .iter()
                .map(|(id, pool)| {
                    let availability = PoolAvailability {
                        min_available: pool.min_available,
                        ..PoolAvailability::default()
                    };
                    (id.clone(), availability)
                })
                .collect(),
            ..Observed::default()
        };
        Fleet {
            started: Instant::now(),
            vms: BTreeMap::new(),
            observed,
            checkpoints: BTreeMap::new(),
            operation_results: BTreeMap::new(),
            last_failures: BTreeMap::new(),
        }
    }

    pub(crate) fn add(
        &mut self,
        options: &VmOptions,
        address: SocketAddr,
        platform: &PlatformOptions,
    ) {
        let service = platform.pools.get(&options.pool).and_then(|pool| pool.service.clone());
        self.vms.insert(options.vm.clone(), Vm::new(options, address, service));
    }

    pub(crate) fn set_budget(&mut self, pool: &PoolId, min_available: u32) {
        self.observed.pools.entry(pool.clone()).or_default().min_available = min_available;
    }

    /// Appends a VM's current row to its history and updates the recorded availability of all pools.
    fn record_change(&mut self, vm: &VmId) {
        let now = Instant::now();
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.history.push_back((now, vm.row.clone()));
        }
        self.count_available();
    }

    pub(crate) fn count_available(&mut self) {
        let at_ms = self.started.elapsed().as_millis() as u64;
        for (pool, availability) in &mut self.observed.pools {
            let in_pool = |vm: &&Vm| vm.row.pool == *pool && vm.is_available();
            let count = self.vms.values().filter(in_pool).count() as u32;
            if availability.available.last().is_none_or(|(_, last)| *last != count) {
                let lowest = if availability.available.is_empty() {
                    count
                } else {
                    availability.lowest.min(count)
                };
                availability.lowest = lowest;
                availability.available.push((at_ms, count));
            }
        }
    }

    /// Drops history that is older than any possible lag of the list.
    pub(crate) fn prune(&mut self, oldest: Instant) {
        for vm in self.vms.values_mut() {
            while vm.history.len() > 1 && vm.history[1].0 < oldest {
                vm.history.pop_front();
            }
        }
    }

    pub(crate) fn list(&self, lag: Duration) -> Vec<VmRow> {
        let now = Instant::now();
        let at = now.checked_sub(lag).unwrap_or(now);
        self.vms.values().map(|vm| vm.row_at(at).clone()).collect()
    }

    fn probe(&self, vm: &VmId, drain_time: Duration) -> Option<VmProbe> {
        let vm = self.vms.get(vm)?;
        let in_flight = vm.running();
        let waited = vm.leaving_since.is_some_and(|since| since.elapsed() >= drain_time);
        let drained = vm.row.state == VmState::Leaving && waited && in_flight == 0;
        Some(VmProbe { row: vm.row.clone(), in_flight, drained })
    }

    /// Records a breach when a planned action left the pool below its availability budget.
    fn record_budget_breach(&mut self, pool: &PoolId, vm: &VmId, failure_notice: Duration) {
        let in_pool = |other: &&Vm| other.row.pool == *pool && other.is_available();
        let available = self.vms.values().filter(in_pool).count() as u32;
        let budget =
            self.observed.pools.get(pool).map_or(0, |availability| availability.min_available);
        if available < budget {
            let at_ms = self.started.elapsed().as_millis() as u64;
            let failed = self.last_failures.get(pool);
            let unnoticed_failure = failed.is_some_and(|at| at.elapsed() < failure_notice);
            log::warn!("{pool}: {available} of {budget} VMs left after a planned action on {vm}");
            let (pool, vm) = (pool.clone(), vm.clone());
            self.observed.breaches.push(Breach { at_ms, pool, vm, available, unnoticed_failure });
        }
    }

    /// Stops everything on a VM, for a reboot (`planned`) or a failure.
    pub(crate) fn take_down(&mut self, id: &VmId, planned: bool) {
        let Some(vm) = self.vms.get_mut(id) else { return };
        let stopped = u64::from(vm.worker.stop_all(Instant::now(), &mut self.observed.executions));
        vm.row.state = VmState::Down;
        vm.leaving_since = None;
        if planned {
            vm.rebooting = true;
            self.observed.cut_off_in_flight += stopped;
        } else {
            vm.failed = true;
            self.last_failures.insert(vm.row.pool.clone(), Instant::now());
            self.observed.cut_by_failure += stopped;
        }
        self.record_change(id);
    }

    /// Returns a VM that is down to service with the next boot id, after a reboot (`planned`) or a failure. Returns false
    /// when it isn't down, or when it failed during the reboot.
    pub(crate) fn bring_up(&mut self, id: &VmId, planned: bool) -> bool {
        let Some(vm) = self.vms.get_mut(id) else { return false };
        if planned {
            vm.rebooting = false;
            if vm.failed {
                return false;
            }
        }
        if vm.row.state != VmState::Down {
            return false;
        }
        (vm.failed, vm.rebooting) = (false, false);
        vm.row.state = VmState::Live;
        vm.row.boot = vm.row.boot.next();
        self.record_change(id);
        true
    }

    fn operate(
        &mut self,
        id: &VmId,
        action: Action,
        operation: &Operation,
        options: &PlatformOptions,
    ) -> Result<OperationResult, (StatusCode, &'static str)> {
        let key = (id.clone(), action, operation.op.clone());
        if let Some(result) = self.operation_results.get(&key) {
            self.observed.repeated_ops += 1;
            return Ok(result.clone());
        }
        let vm = self.vms.get(id).ok_or((StatusCode::NOT_FOUND, "no such VM"))?;
        let (boot, from, was_available) = (vm.row.boot, vm.row.pool.clone(), vm.is_available());
        match action {
            Action::Drain => self.drain(id)?,
            Action::Undrain => self.undrain(id)?,
            Action::Reboot if vm.rebooting => {
                return Err((StatusCode::CONFLICT, "another reboot is running"));
            }
            Action::Reboot => {
                self.observed.reboots += 1;
                self.take_down(id, true);
            }
            Action::Assign => self.assign(id, operation, options)?,
        }
        let pool = self.vms[id].row.pool.clone();
        if was_available && (action != Action::Assign || pool != from) && action != Action::Undrain
        {
            self.record_budget_breach(&from, id, options.failure_notice);
        }
        let result =
            OperationResult { vm: id.clone(), action, op: operation.op.clone(), boot, pool };
        self.operation_results.insert(key, result.clone());
        Ok(result)
    }

    fn drain(&mut self, id: &VmId) -> Result<(), (StatusCode, &'static str)> {
        let Some(vm) = self.vms.get_mut(id) else { return Ok(()) };
        if vm.row.state == VmState::Down {
            return Err((StatusCode::CONFLICT, "the VM is down"));
        }
        vm.row.state = VmState::Leaving;
        vm.leaving_since.get_or_insert_with(Instant::now);
        self.observed.drains += 1;
        self.record_change(id);
        Ok(())
    }

    fn undrain(&mut self, id: &VmId) -> Result<(), (StatusCode, &'static str)> {
        let Some(vm) = self.vms.get_mut(id) else { return Ok(()) };
        if vm.row.state != VmState::Leaving {
            return Err((StatusCode::CONFLICT, "the VM isn't leaving"));
        }
        vm.row.state = VmState::Live;
        vm.leaving_since = None;
        self.observed.undrains += 1;
        self.record_change(id);
        Ok(())
    }

    fn assign(
        &mut self,
        id: &VmId,
        operation: &Operation,
        options: &PlatformOptions,
    ) -> Result<(), (StatusCode, &'static str)> {
        let (Some(vm), Some(pool)) = (self.vms.get_mut(id), operation.pool.as_ref()) else {
            return Err((StatusCode::BAD_REQUEST, "an assignment needs a pool"));
        };
        let target = options.pools.get(pool).ok_or((StatusCode::NOT_FOUND, "no such pool"))?;
        if target.service.is_some() != (vm.row.kind == VmKind::Minion) {
            return Err((StatusCode::CONFLICT, "the pool is for another kind of VM"));
        }
        if let Some((last, at)) = vm.last_assignment {
            if operation.op.sequence_number() < last {
                return Err((StatusCode::CONFLICT, "a later assignment was made"));
            }
            if at.elapsed() < options.assign_time && vm.row.pool != *pool {
                self.observed.vm_in_two_pools += 1;
            }
        }
        if vm.row.pool != *pool {
            self.observed.moves += 1;
        }
        vm.last_assignment = Some((operation.op.sequence_number(), Instant::now()));
        vm.row.pool = pool.clone();
        vm.row.service = target.service.clone();
        if vm.row.state == VmState::Leaving {
            vm.row.state = VmState::Live;
            vm.leaving_since = None;
        }
        self.record_change(id);
        Ok(())
    }
}

/// HTTP handler of VM control.
pub(crate) fn handler(shared: Arc<Shared>) -> Handler {
    Arc::new(move |call| {
        let shared = shared.clone();
        Box::pin(async move { answer(&shared, &call) })
    })
}

fn answer(shared: &Arc<Shared>, call: &Call) -> Option<Reply> {
    let segments = call.segments();
    let path: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (&call.method, &path[..]) {
        (&Method::GET, ["v1", "vms"]) => {
            let lag = shared.faults.read(|active| active.list_lag);
            let lag = lag.unwrap_or(shared.options.list_lag);
            Some(Reply::json(StatusCode::OK, &lock(&shared.fleet).list(lag)))
        }
        (&Method::GET, ["v1", "vms", vm]) => {
            let vm = VmId::try_from(*vm).ok();
            let drain_time = shared.options.drain_time;
            let probe = vm.and_then(|vm| lock(&shared.fleet).probe(&vm, drain_time));
            Some(match probe {
                Some(probe) => Reply::json(StatusCode::OK, &probe),
                None => Reply::error(StatusCode::NOT_FOUND, "no such VM"),
            })
        }
        (&Method::POST, ["v1", "vms", vm, action]) => operate(shared, vm, action, &call.body),
        _ => Some(Reply::error(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn operate(shared: &Arc<Shared>, vm: &str, action: &str, body: &[u8]) -> Option<Reply> {
    let action = match action {
        "drain" => Action::Drain,
        "undrain" => Action::Undrain,
        "reboot" => Action::Reboot,
        "assign" => Action::Assign,
        _ => return Some(Reply::error(StatusCode::NOT_FOUND, "no such operation")),
    };
    let (vm, operation) = match (VmId::try_from(vm), serde_json::from_slice(body)) {
        (Ok(vm), Ok(operation)) => (vm, operation),
        _ => return Some(Reply::error(StatusCode::BAD_REQUEST, "needs a VM and {\"op\": key}")),
    };
    let operation: Operation = operation;
    let (result, reboots) = {
        let mut fleet = lock(&shared.fleet);
        let before = fleet.observed.reboots;
        let result = fleet.operate(&vm, action, &operation, &shared.options);
        (result, fleet.observed.reboots > before)
    };
    if reboots {
        shared.reboot(vm);
    }
    match result {
        Ok(_) if action == Action::Reboot && shared.faults.read(|s| s.lost_reboots) => None,
        Ok(result) => Some(Reply::json(StatusCode::OK, &result)),
        Err((status, reason)) => Some(Reply::error(status, reason)),
    }
}
