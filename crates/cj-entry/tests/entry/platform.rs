//! A platform whose store answers as a script says.

use std::{
    cell::{Cell, RefCell},
    collections::{HashSet, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use cj_entry::{
    Guard, JOBS, Newest, OperatorChange, Page, Permit, Platform, RawRecord, RegistryChange,
    StoreError, Topic, layout::Layout, roster::CellRecord,
};
use cj_sched::{
    TaskId,
    sched::{
        AdviceAnswer, CommandAnswer, ListAnswer, StartCommand, StepKey, Target, VmAnswer, VmRow,
        WorkerId,
    },
};
use cj_types::{Error, ManualClock, Millicores, ServiceId, UnixMillis, VmId};
use compact_str::CompactString;

/// An answer of the store, and how long it takes.
pub(crate) struct Scripted<T> {
    pub(crate) took: Duration,
    pub(crate) answer: Result<T, StoreError>,
}

/// The answer is lost.
const NEVER: Duration = Duration::MAX;

pub(crate) fn lost<T>() -> Scripted<T> {
    Scripted { took: NEVER, answer: Err(StoreError::Unanswered("lost".into())) }
}

pub(crate) fn after<T>(ms: u64, answer: Result<T, StoreError>) -> Scripted<T> {
    Scripted { took: Duration::from_millis(ms), answer }
}

/// The platform. A call without a scripted answer never returns.
pub(crate) struct FakePlatform {
    pub(crate) clock: ManualClock,
    pub(crate) reads: RefCell<VecDeque<Scripted<Page>>>,
    pub(crate) newest: RefCell<VecDeque<Scripted<Newest>>>,
    pub(crate) appends: RefCell<VecDeque<Scripted<u64>>>,
    pub(crate) appended: Cell<usize>,
    /// Topics of the appends.
    pub(crate) topics: RefCell<Vec<Topic>>,
    /// The first record of the topic of the cells, and the ones that follow.
    pub(crate) layout: RefCell<Layout>,
    pub(crate) beats: RefCell<Vec<RawRecord>>,
    /// Answers of other nodes, and what they were asked.
    pub(crate) answers: RefCell<VecDeque<Result<Bytes, CompactString>>>,
    pub(crate) asked: RefCell<Vec<(CompactString, Vec<u8>)>>,
    /// Overflow logs that were read; they are empty, and answer one read each.
    overflows_read: RefCell<HashSet<Topic>>,
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
            beats: RefCell::default(),
            answers: RefCell::default(),
            asked: RefCell::default(),
            overflows_read: RefCell::default(),
        }
    }

    async fn next<T>(&self, script: &RefCell<VecDeque<Scripted<T>>>) -> Result<T, StoreError> {
        let next = script.borrow_mut().pop_front();
        match next {
            Some(Scripted { took: NEVER, .. }) => std::future::pending().await,
            Some(Scripted { took, answer }) => {
                self.clock.advance(took);
                answer
            }
            None => std::future::pending().await,
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
            JOBS => self.next(&self.reads).await,
            Topic::Cells if !self.beats.borrow().is_empty() => {
                let records = self.beats.take();
                let next = 1 + records.len() as u64;
                Ok(Page { records, next, end: next })
            }
            Topic::Jobs(..) if self.overflows_read.borrow_mut().insert(topic) => {
                Ok(Page::default())
            }
            _ => std::future::pending().await,
        }
    }

    async fn newest(&self, topic: Topic, _: Option<&str>) -> Result<Newest, StoreError> {
        match topic {
            JOBS => self.next(&self.newest).await,
            Topic::Jobs(..) => Ok(Newest::default()),
            Topic::Cells => {
                let (key, value) = CellRecord::Layout(self.layout.borrow().clone()).entry();
                Ok(Newest { records: vec![record(0, &key, value)], after: None, end: 1 })
            }
            _ => std::future::pending().await,
        }
    }

    fn operator_change(&self, _: &str, _: &[u8]) -> cj_types::Result<OperatorChange> {
        Ok(OperatorChange::Other)
    }

    fn registry_change(&self, key: &str, _: &[u8]) -> cj_types::Result<RegistryChange> {
        Err(Error::decode("registration", key))
    }

    async fn report_wave(&self, _: u64, _: bool) -> Result<(), StoreError> {
        Ok(())
    }

    async fn start(&self, _: &Target, _: &StartCommand, _: &Permit) -> CommandAnswer {
        CommandAnswer::Unanswered
    }

    async fn stop(&self, _: &Target, _: &TaskId, _: u64, _: &Permit) -> CommandAnswer {
        CommandAnswer::Unanswered
    }

    async fn pace(&self, _: &Target, _: &TaskId, _: u64, _: u8, _: &Permit) -> CommandAnswer {
        CommandAnswer::Unanswered
    }

    async fn list(
        &self,
        _: &Target,
        _: Option<u64>,
        _: u64,
        _: Duration,
        _: &Permit,
    ) -> ListAnswer {
        ListAnswer::Unanswered
    }

    async fn advise(&self, _: &StepKey, _: &[WorkerId]) -> AdviceAnswer {
        AdviceAnswer::RetryLater
    }

    async fn vms(&self) -> Result<Vec<VmRow>, StoreError> {
        Ok(Vec::new())
    }

    async fn maintain_vm(&self, _: &VmId, _: u64, _: &Permit) -> VmAnswer {
        VmAnswer::RetryLater
    }

    async fn move_vm(&self, _: &VmId, _: &ServiceId, _: &Permit) -> VmAnswer {
        VmAnswer::RetryLater
    }

    async fn ask(&self, address: &str, question: Vec<u8>) -> Result<Bytes, CompactString> {
        self.asked.borrow_mut().push((address.into(), question));
        let answer = self.answers.borrow_mut().pop_front();
        answer.unwrap_or_else(|| Err("no other node".into()))
    }
}
