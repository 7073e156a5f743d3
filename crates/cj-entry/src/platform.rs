//! What the entry node needs from the platform it runs on. An adapter implements it and translates; it decides nothing.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use cj_sched::{
    FleetConfig, Log, TaskId,
    sched::{
        AdviceAnswer, CommandAnswer, ListAnswer, StartCommand, StepKey, Target, VmAnswer, VmRow,
        WaveSpec, WorkerId, WorkerRegistration,
    },
};
use cj_types::{ServiceId, VmId};
use compact_str::CompactString;
use derive_more::Display;

use crate::{layout::CellId, permit::Permit};

/// The log that holds the records of the owner of the first cell.
pub const JOBS: Topic = Topic::Jobs(CellId(0), Log::Jobs);

/// A topic of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The layout of the cells and the heartbeats of their owners, by key.
    #[display("cells")]
    Cells,
    /// A log of jobs and of the owner of a cell, by key.
    #[display("{_1}@{_0}")]
    Jobs(CellId, Log),
    /// Claims of the ownership of a cell; the offset of a claim makes its fencing token.
    #[display("claims@{_0}")]
    Claims(CellId),
    /// What the operator publishes, by key.
    #[display("operator")]
    Operator,
    /// Registrations of workers, by key.
    #[display("registry")]
    Registry,
}

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Its place in the topic.
    pub offset: u64,
    /// Its key.
    pub key: CompactString,
    /// Its value; empty when the key was dropped.
    pub value: Bytes,
}

/// Records that follow an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records in order.
    pub records: Vec<RawRecord>,
    /// Offset to read from next.
    pub next: u64,
    /// Offset of the next record of the topic; larger than `next` when more records wait to be read.
    pub end: u64,
}

/// Newest records of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Newest {
    /// The records, ordered by key.
    pub records: Vec<RawRecord>,
    /// Key after which the next page begins; `None` after the last page.
    pub after: Option<CompactString>,
    /// Offset of the next record of the topic.
    pub end: u64,
}

/// Condition of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// None; a repeated append writes twice.
    None,
    /// The topic ends at this offset.
    End(u64),
    /// The writer is the owner with this fencing token, and this is its append with this number.
    Owner {
        /// Fencing token.
        epoch: u64,
        /// Number of the append, from 0.
        sequence: u64,
    },
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done.
    #[display("refused: {_0}")]
    Refused(CompactString),
    /// The topic ends elsewhere; nothing was done.
    #[display("the topic ends at {_0}")]
    Moved(u64),
    /// A later owner has written; nothing was done.
    #[display("fenced by a later owner")]
    Fenced,
    /// Another number is expected; nothing was done.
    #[display("append {_0} is expected")]
    Sequence(u64),
    /// The records asked for are gone; the first retained offset.
    #[display("records before {_0} are gone")]
    Gap(u64),
    /// No answer; the call may be carried out, also later.
    #[display("no answer: {_0}")]
    Unanswered(CompactString),
}

/// Something that the operator published.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// The configuration.
    Config(FleetConfig),
    /// A maintenance wave.
    Wave(WaveSpec),
    /// Something else.
    Other,
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// A worker registered itself or changed its registration.
    Reported(WorkerRegistration),
    /// The registration is gone.
    Removed(WorkerId),
}

/// The platform: its store, its workers, its VMs, and the policy service.
pub trait Platform: 'static {
    /// Appends records; returns the offset of the first.
    fn append(
        &self,
        topic: Topic,
        records: &[(CompactString, Vec<u8>)],
        guard: Guard,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads records from an offset on, and waits for one up to `wait`.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Reads the newest records of keys, after the key `after`.
    fn newest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Newest, StoreError>>;

    /// Decodes a record of [`Topic::Operator`].
    ///
    /// # Errors
    ///
    /// A record that can't be read; it is to be ignored.
    fn operator_change(&self, key: &str, value: &[u8]) -> cj_types::Result<OperatorChange>;

    /// Decodes a record of [`Topic::Registry`].
    ///
    /// # Errors
    ///
    /// A record that can't be read; it names no worker.
    fn registry_change(&self, key: &str, value: &[u8]) -> cj_types::Result<RegistryChange>;

    /// Publishes the state of a wave.
    fn report_wave(
        &self,
        wave: u64,
        completed: bool,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Orders a start. Like all orders, it is not sent when its permit doesn't hold any more right before that.
    fn start(
        &self,
        target: &Target,
        order: &StartCommand,
        permit: &Permit,
    ) -> impl Future<Output = CommandAnswer>;

    /// Orders a stop.
    fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u64,
        permit: &Permit,
    ) -> impl Future<Output = CommandAnswer>;

    /// Lets a run work at `percent` of its speed.
    fn pace(
        &self,
        target: &Target,
        task: &TaskId,
        run: u64,
        percent: u8,
        permit: &Permit,
    ) -> impl Future<Output = CommandAnswer>;

    /// Lists a worker, acknowledges ends up to `seen`, renews the lease, and waits for an end up to `wait`.
    fn list(
        &self,
        target: &Target,
        deadline: Option<u64>,
        seen: u64,
        wait: Duration,
        permit: &Permit,
    ) -> impl Future<Output = ListAnswer>;

    /// Asks which of the workers may run a step.
    fn advise(&self, step: &StepKey, workers: &[WorkerId]) -> impl Future<Output = AdviceAnswer>;

    /// Lists all VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmRow>, StoreError>>;

    /// Takes a VM off for the maintenance of a wave.
    fn maintain_vm(&self, vm: &VmId, wave: u64, permit: &Permit) -> impl Future<Output = VmAnswer>;

    /// Moves a VM to a pool.
    fn move_vm(
        &self,
        vm: &VmId,
        pool: &ServiceId,
        permit: &Permit,
    ) -> impl Future<Output = VmAnswer>;

    /// Asks another entry node. Fails with a cause when no answer comes.
    fn ask(
        &self,
        address: &str,
        question: Vec<u8>,
    ) -> impl Future<Output = Result<Bytes, CompactString>>;
}
