//! A platform whose store answers as a script says.

use std::{
    cell::{Cell, RefCell},
    collections::{HashSet, VecDeque},
    time::Duration,
};

use cj_entry::{
    Guard, JOBS, Newest, OperatorChange, Page, Platform, RawRecord, RegistryChange, StoreError,
    Topic,
};
use cj_sched::{
    TaskId,
    sched::{
        AdviceAnswer, ListAnswer, OrderAnswer, StartOrder, StepKey, Target, VmAnswer, VmRow,
        WorkerId,
    },
};
use cj_types::{Error, ManualClock, ServiceId, UnixMillis, VmId};
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
            Topic::Jobs(_) if self.overflows_read.borrow_mut().insert(topic) => Ok(Page::default()),
            _ => std::future::pending().await,
        }
    }

    async fn newest(&self, topic: Topic, _: Option<&str>) -> Result<Newest, StoreError> {
        match topic {
            JOBS => self.next(&self.newest).await,
            Topic::Jobs(_) => Ok(Newest::default()),
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

    async fn start(&self, _: &Target, _: &StartOrder, _: u64) -> OrderAnswer {
        OrderAnswer::Unanswered
    }

    async fn stop(&self, _: &Target, _: &TaskId, _: u64, _: u64) -> OrderAnswer {
        OrderAnswer::Unanswered
    }

    async fn pace(&self, _: &Target, _: &TaskId, _: u64, _: u8, _: u64) -> OrderAnswer {
        OrderAnswer::Unanswered
    }

    async fn list(&self, _: &Target, _: Option<u64>, _: u64, _: Duration, _: u64) -> ListAnswer {
        ListAnswer::Unanswered
    }

    async fn advise(&self, _: &StepKey, _: &[WorkerId]) -> AdviceAnswer {
        AdviceAnswer::Later
    }

    async fn vms(&self) -> Result<Vec<VmRow>, StoreError> {
        Ok(Vec::new())
    }

    async fn maintain_vm(&self, _: &VmId, _: u64, _: u64) -> VmAnswer {
        VmAnswer::Later
    }

    async fn move_vm(&self, _: &VmId, _: &ServiceId, _: u64) -> VmAnswer {
        VmAnswer::Later
    }
}
