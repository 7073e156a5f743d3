//! A platform whose store answers according to a script.

use std::{
    cell::{Cell, RefCell},
    collections::{HashSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use cj_entry::{
    FIRST_CELL_JOBS, Guard, NewestPage, OperatorChange, Page, Platform, RawRecord, RegistryChange,
    SendCheck, StoreError, Topic, layout::Layout, owner_directory::CellRecord,
};
use cj_sched::{
    TaskId,
    sched::{
        AdviceAnswer, CommandAnswer, ListAnswer, StartCommand, StepKey, Target, VmAnswer, VmRow,
        WorkerId, WorkerRegistration,
    },
};
use cj_types::{Error, ManualClock, Millicores, ServiceId, UnixMillis, VmId};
use compact_str::CompactString;

/// A scripted answer of the store, and how long it takes.
pub(crate) struct Scripted<T> {
    pub(crate) delay: Duration,
    pub(crate) answer: Result<T, StoreError>,
}

/// How often a call without a scripted answer looks for one.
const SCRIPT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Duration of a call whose answer is lost.
const NEVER: Duration = Duration::MAX;

pub(crate) fn lost<T>() -> Scripted<T> {
    Scripted { delay: NEVER, answer: Err(StoreError::Unanswered("lost".into())) }
}

pub(crate) fn after<T>(ms: u64, answer: Result<T, StoreError>) -> Scripted<T> {
    Scripted { delay: Duration::from_millis(ms), answer }
}

/// A platform for tests. A call without a scripted answer returns once there is one.
pub(crate) struct FakePlatform {
    pub(crate) clock: ManualClock,
    pub(crate) reads: RefCell<VecDeque<Scripted<Page>>>,
    pub(crate) newest: RefCell<VecDeque<Scripted<NewestPage>>>,
    pub(crate) appends: RefCell<VecDeque<Scripted<u64>>>,
    pub(crate) appended: Cell<usize>,
    /// Topics of the appends so far.
    pub(crate) topics: RefCell<Vec<Topic>>,
    /// The layout is the first record of the cells topic; the heartbeats follow.
    pub(crate) layout: RefCell<Layout>,
    pub(crate) heartbeats: RefCell<Vec<RawRecord>>,
    /// Scripted responses of other nodes, and the requests to them so far.
    pub(crate) peer_responses: RefCell<VecDeque<Result<Bytes, CompactString>>>,
    pub(crate) peer_requests: RefCell<Vec<(CompactString, Vec<u8>)>>,
    /// The workers in the registry.
    pub(crate) registrations: RefCell<Vec<WorkerRegistration>>,
    /// Number of listings that were requested from workers.
    pub(crate) listings: Cell<usize>,
    /// Overflow logs answer each read.
    pub(crate) answers_overflow: Cell<bool>,
    /// Overflow logs and the operator's topic, if they were read; they are empty, and answer one read each.
    empty_topics_read: RefCell<HashSet<Topic>>,
}

impl FakePlatform {
    pub(crate) fn new() -> Self {
        FakePlatform {
            clock: ManualClock::new(UnixMillis(1_700_000_000_000)),
            reads: RefCell::default(),
            newest: RefCell::default(),
            appends: RefCell::default(),
            appended: Cell::new(0),
            topics: RefCell::default(),
            layout: RefCell::new(Layout::single(Millicores(1_000))),
            heartbeats: RefCell::default(),
            peer_responses: RefCell::default(),
            peer_requests: RefCell::default(),
            registrations: RefCell::default(),
            listings: Cell::default(),
            answers_overflow: Cell::default(),
            empty_topics_read: RefCell::default(),
        }
    }

    async fn next<T>(&self, script: &RefCell<VecDeque<Scripted<T>>>) -> Result<T, StoreError> {
        loop {
            let next = script.borrow_mut().pop_front();
            match next {
                Some(Scripted { delay: NEVER, .. }) => std::future::pending().await,
                Some(Scripted { delay, answer }) => {
                    self.clock.advance(delay);
                    return answer;
                }
                None => tokio::time::sleep(SCRIPT_POLL_INTERVAL).await,
            }
        }
    }
}

pub(crate) fn record(offset: u64, key: &str, value: Vec<u8>) -> RawRecord {
    RawRecord { offset, key: key.into(), value: value.into() }
}

impl Platform for FakePlatform {
    async fn append(
        &self,
        topic: Topic,
        records: &[(CompactString, Vec<u8>)],
        _: Guard,
    ) -> Result<u64, StoreError> {
        self.appended.set(self.appended.get() + records.len());
        self.topics.borrow_mut().push(topic);
        self.next(&self.appends).await
    }

    async fn read(&self, topic: Topic, _: u64, _: Duration) -> Result<Page, StoreError> {
        match topic {
            FIRST_CELL_JOBS => self.next(&self.reads).await,
            Topic::Cells if !self.heartbeats.borrow().is_empty() => {
                let records = self.heartbeats.take();
                let next = 1 + records.len() as u64;
                Ok(Page { records, next, end: next })
            }
            Topic::Jobs(..) | Topic::Operator
                if self.empty_topics_read.borrow_mut().insert(topic) =>
            {
                Ok(Page::default())
            }
            Topic::Jobs(..) => {
                while !self.answers_overflow.get() {
                    tokio::time::sleep(SCRIPT_POLL_INTERVAL).await;
                }
                Ok(Page::default())
            }
            _ => std::future::pending().await,
        }
    }

    async fn newest(&self, topic: Topic, _: Option<&str>) -> Result<NewestPage, StoreError> {
        match topic {
            FIRST_CELL_JOBS => self.next(&self.newest).await,
            Topic::Jobs(..) | Topic::Operator => Ok(NewestPage::default()),
            Topic::Cells => {
                let (key, value) = CellRecord::Layout(self.layout.borrow().clone()).entry();
                Ok(NewestPage { records: vec![record(0, &key, value)], after: None, end: 1 })
            }
            Topic::Registry if !self.registrations.borrow().is_empty() => {
                let registrations = self.registrations.borrow();
                let records = registrations
                    .iter()
                    .map(|worker| record(0, &worker.id.0, Vec::new()))
                    .collect();
                Ok(NewestPage { records, after: None, end: 1 })
            }
            _ => std::future::pending().await,
        }
    }

    fn operator_change(&self, _: &str, _: &[u8]) -> cj_types::Result<OperatorChange> {
        Ok(OperatorChange::Other)
    }

    fn registry_change(&self, key: &str, _: &[u8]) -> cj_types::Result<RegistryChange> {
        let registrations = self.registrations.borrow();
        let worker = registrations.iter().find(|worker| worker.id.0 == key);
        worker
            .map(|worker| RegistryChange::Registered(worker.clone()))
            .ok_or_else(|| Error::decode("registration", key))
    }

    async fn report_wave(&self, _: u64, _: bool) -> Result<(), StoreError> {
        Ok(())
    }

    async fn start(&self, _: &Target, _: &StartCommand, _: &SendCheck) -> CommandAnswer {
        CommandAnswer::Unanswered
    }

    async fn stop(&self, _: &Target, _: &TaskId, _: u64, _: &SendCheck) -> CommandAnswer {
        CommandAnswer::Unanswered
    }

    async fn pace(&self, _: &Target, _: &TaskId, _: u64, _: u8, _: &SendCheck) -> CommandAnswer {
        CommandAnswer::Unanswered
    }

    async fn list(
        &self,
        _: &Target,
        _: Option<u64>,
        _: u64,
        _: Duration,
        _: &SendCheck,
    ) -> ListAnswer {
        self.listings.set(self.listings.get() + 1);
        ListAnswer::Unanswered
    }

    async fn advise(&self, _: &StepKey, _: &[WorkerId]) -> AdviceAnswer {
        AdviceAnswer::RetryLater
    }

    async fn list_vms(&self) -> Result<Vec<VmRow>, StoreError> {
        Ok(Vec::new())
    }

    async fn maintain_vm(&self, _: &VmId, _: u64, _: &SendCheck) -> VmAnswer {
        VmAnswer::RetryLater
    }

    async fn move_vm(&self, _: &VmId, _: &ServiceId, _: &SendCheck) -> VmAnswer {
        VmAnswer::RetryLater
    }

    async fn ask(&self, address: &str, request: Vec<u8>) -> Result<Bytes, CompactString> {
        self.peer_requests.borrow_mut().push((address.into(), request));
        let answer = self.peer_responses.borrow_mut().pop_front();
        answer.unwrap_or_else(|| Err("no other node".into()))
    }
}
