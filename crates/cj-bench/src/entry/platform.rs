//! The platform as one node reaches it, with the faults of the node's process and network.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use cj_entry::{
    Guard, NewestPage, OperatorChange, Page, Platform, RegistryChange, SendCheck, StoreError, Topic,
};
use cj_sched::{
    TaskId,
    sched::{
        AdviceAnswer, CommandAnswer, ListAnswer, Refusal, StartCommand, StepKey, Target, VmAnswer,
        VmRow, WorkerId,
    },
};
use cj_types::{Clock, Error, ServiceId, UnixMillis, VmId};
use compact_str::{CompactString, ToCompactString};
use tokio::sync::Notify;

use super::fleet::{Fleet, WAVE_KEY};
use crate::virtual_time::START;

/// Latency of a call to the store.
const STORE_LATENCY: Duration = Duration::from_millis(4);

/// Latency of a call to a worker or to another node.
const WORKER_LATENCY: Duration = Duration::from_millis(3);

/// Time limit of a call without an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time between two checks of a listing request that waits for a run to end.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Condition of a node's process and network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    /// No fault.
    Healthy,
    /// The process has ended.
    Killed,
    /// The process is paused, and continues when the condition changes.
    Frozen,
    /// None of the node's calls is answered.
    Cut,
    /// The store refuses the node's calls.
    Refused,
}

/// A node's process and its network.
pub(super) struct Link {
    pub(super) condition: Cell<Condition>,
    /// Notified when the condition changes.
    changed: Notify,
    /// When the process was frozen; its clock shows this time while it is.
    frozen_at: Cell<Option<Instant>>,
    /// The process freezes after it has decided on the next maintenance command and before it sends it.
    pub(super) freeze_before_send: Cell<bool>,
    /// Number of calls to the store.
    pub(super) store_calls: Cell<u64>,
    /// Number of attempted appends.
    pub(super) appends: Cell<u64>,
}

impl Link {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Link {
            condition: Cell::new(Condition::Healthy),
            changed: Notify::new(),
            frozen_at: Cell::default(),
            freeze_before_send: Cell::default(),
            store_calls: Cell::default(),
            appends: Cell::default(),
        })
    }

    pub(super) fn set(&self, condition: Condition) {
        let frozen = condition == Condition::Frozen;
        self.frozen_at.set(frozen.then(|| tokio::time::Instant::now().into_std()));
        self.condition.set(condition);
        self.changed.notify_waiters();
    }

    /// Waits while the process is killed or frozen.
    async fn wait_until_running(&self) {
        while matches!(self.condition.get(), Condition::Killed | Condition::Frozen) {
            self.changed.notified().await;
        }
    }
}

/// Clock of a node; it stands still while the process is frozen.
#[derive(Clone)]
pub(super) struct NodeClock(pub(super) Rc<Link>, pub(super) Instant);

impl Clock for NodeClock {
    fn now(&self) -> Instant {
        self.0.frozen_at.get().unwrap_or_else(|| tokio::time::Instant::now().into_std())
    }

    fn wall(&self) -> UnixMillis {
        START + self.now().saturating_duration_since(self.1)
    }
}

/// The platform as one node sees it.
pub(super) struct NodePlatform {
    pub(super) fleet: Rc<RefCell<Fleet>>,
    pub(super) link: Rc<Link>,
}

impl NodePlatform {
    async fn store<T, F>(&self, call: F) -> Result<T, StoreError>
    where
        F: FnOnce(&Fleet) -> Result<T, StoreError>,
    {
        self.link.wait_until_running().await;
        self.link.store_calls.set(self.link.store_calls.get() + 1);
        match self.link.condition.get() {
            Condition::Cut => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                return Err(StoreError::Unanswered("cut".into()));
            }
            Condition::Refused => {
                tokio::time::sleep(STORE_LATENCY).await;
                return Err(StoreError::Refused("503".into()));
            }
            _ => tokio::time::sleep(STORE_LATENCY).await,
        }
        self.link.wait_until_running().await;
        let answer = call(&self.fleet.borrow());
        self.link.wait_until_running().await;
        answer
    }

    /// Calls the fleet; `None` if it can't be reached.
    async fn worker<T, F>(&self, call: F) -> Option<T>
    where
        F: FnOnce(&mut Fleet) -> Option<T>,
    {
        self.link.wait_until_running().await;
        self.reach(call).await
    }

    /// Sends a command if the lease check allows it, and returns `refused` if it doesn't; `None` if the receiver can't be
    /// reached.
    async fn command_worker<T, F>(&self, lease: &SendCheck, refused: T, call: F) -> Option<T>
    where
        F: FnOnce(&mut Fleet) -> Option<T>,
    {
        // A process that was frozen between a decision and the sending of the command continues here.
        self.link.wait_until_running().await;
        if !lease.allows_send() {
            return Some(refused);
        }
        self.reach(call).await
    }

    async fn reach<T, F>(&self, call: F) -> Option<T>
    where
        F: FnOnce(&mut Fleet) -> Option<T>,
    {
        if self.link.condition.get() == Condition::Cut {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return None;
        }
        tokio::time::sleep(WORKER_LATENCY).await;
        self.link.wait_until_running().await;
        call(&mut self.fleet.borrow_mut())
    }

    async fn send_command<F>(&self, lease: &SendCheck, call: F) -> CommandAnswer
    where
        F: FnOnce(&mut Fleet) -> Option<Result<(), Refusal>>,
    {
        match self.command_worker(lease, Err(Refusal::Unhealthy), call).await {
            Some(Ok(())) => CommandAnswer::Done,
            Some(Err(refusal)) => CommandAnswer::Refused(refusal),
            None => CommandAnswer::Unanswered,
        }
    }
}

impl Platform for NodePlatform {
    async fn append(
        &self,
        topic: Topic,
        records: &[(CompactString, Vec<u8>)],
        guard: Guard,
    ) -> Result<u64, StoreError> {
        self.link.appends.set(self.link.appends.get() + 1);
        self.store(|fleet| fleet.store.append(topic, records, guard)).await
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError> {
        let end = tokio::time::Instant::now() + wait;
        let store = self.fleet.borrow().store.clone();
        loop {
            let appended = store.appended.notified();
            if store.read(topic, from).end > from {
                break;
            }
            if tokio::time::timeout_at(end, appended).await.is_err() {
                break;
            }
        }
        self.store(|fleet| Ok(fleet.store.read(topic, from))).await
    }

    async fn newest(&self, topic: Topic, after: Option<&str>) -> Result<NewestPage, StoreError> {
        self.store(|fleet| Ok(fleet.store.newest(topic, after))).await
    }

    fn operator_change(&self, key: &str, _: &[u8]) -> cj_types::Result<OperatorChange> {
        let wave = self.fleet.borrow().wave.clone();
        if let Some(wave) = wave.filter(|_| key == WAVE_KEY) {
            return Ok(OperatorChange::Wave(wave));
        }
        Ok(OperatorChange::Config(self.fleet.borrow().config.clone()))
    }

    fn registry_change(&self, key: &str, value: &[u8]) -> cj_types::Result<RegistryChange> {
        if value.is_empty() {
            return Ok(RegistryChange::Removed(WorkerId(key.into())));
        }
        let registration = self.fleet.borrow().registration(key);
        registration
            .map(RegistryChange::Registered)
            .ok_or_else(|| Error::decode("registration", key))
    }

    fn report_wave(&self, _: u64, _: bool) -> impl Future<Output = Result<(), StoreError>> {
        std::future::ready(Ok(()))
    }

    async fn start(
        &self,
        target: &Target,
        command: &StartCommand,
        lease: &SendCheck,
    ) -> CommandAnswer {
        self.send_command(lease, |fleet| fleet.start(&target.worker, command, lease.token)).await
    }

    async fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u64,
        lease: &SendCheck,
    ) -> CommandAnswer {
        self.send_command(lease, |fleet| fleet.stop(&target.worker, *task, run, lease.token)).await
    }

    async fn pace(&self, _: &Target, _: &TaskId, _: u64, _: u8, _: &SendCheck) -> CommandAnswer {
        CommandAnswer::Refused(Refusal::Invalid)
    }

    async fn list(
        &self,
        target: &Target,
        lease_end: Option<u64>,
        acknowledged: u64,
        wait: Duration,
        lease: &SendCheck,
    ) -> ListAnswer {
        let end = tokio::time::Instant::now() + wait;
        loop {
            let list = |fleet: &mut Fleet| {
                fleet.list(&target.worker, lease.token, acknowledged, lease_end)
            };
            match self.command_worker(lease, Err(Refusal::Unhealthy), list).await {
                None => return ListAnswer::Unanswered,
                Some(Err(refusal)) => return ListAnswer::Refused(refusal),
                Some(Ok(listing)) => {
                    let ended = listing.ended.iter().any(|row| row.number > acknowledged);
                    if ended || tokio::time::Instant::now() >= end {
                        return ListAnswer::Listed(listing);
                    }
                }
            }
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
        }
    }

    async fn advise(&self, _: &StepKey, _: &[WorkerId]) -> AdviceAnswer {
        AdviceAnswer::RetryLater
    }

    async fn list_vms(&self) -> Result<Vec<VmRow>, StoreError> {
        let rows = self.worker(|fleet| Some(fleet.vms())).await;
        rows.ok_or_else(|| StoreError::Unanswered("cut".into()))
    }

    async fn maintain_vm(&self, vm: &VmId, _: u64, lease: &SendCheck) -> VmAnswer {
        if self.link.freeze_before_send.take() {
            self.link.set(Condition::Frozen);
        }
        let call = |fleet: &mut Fleet| fleet.maintain(vm, lease.token);
        let answer = self.command_worker(lease, VmAnswer::RetryLater, call).await;
        answer.unwrap_or(VmAnswer::Unanswered)
    }

    async fn move_vm(&self, _: &VmId, _: &ServiceId, _: &SendCheck) -> VmAnswer {
        VmAnswer::RetryLater
    }

    async fn ask(&self, address: &str, request: Vec<u8>) -> Result<Bytes, CompactString> {
        self.link.wait_until_running().await;
        tokio::time::sleep(WORKER_LATENCY).await;
        let peer = self.fleet.borrow().peer(address).ok_or("no node has this address")?;
        peer.link.wait_until_running().await;
        if [&self.link, &peer.link].iter().any(|link| link.condition.get() == Condition::Cut) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err("cut".into());
        }
        let answer = peer.node.handle_peer_request(&request).await;
        self.link.wait_until_running().await;
        answer.map(Bytes::from).map_err(|error| error.to_compact_string())
    }
}
