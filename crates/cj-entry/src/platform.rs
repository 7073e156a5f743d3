//! The interface to the platform that the entry node runs on. An adapter implements it; it only translates and makes no
//! decisions.

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

use crate::{layout::CellId, lease::SendCheck};

/// The job log of the first cell.
pub const FIRST_CELL_JOBS: Topic = Topic::Jobs(CellId(0), Log::Jobs);

/// A topic of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The layout, the heartbeats of the cells' owners, and candidacies for cells, by key.
    #[display("cells")]
    Cells,
    /// A log of the jobs and the owner of a cell, by key.
    #[display("{_1}@{_0}")]
    Jobs(CellId, Log),
    /// Claims of the ownership of a cell; the offset of a claim determines its fencing token.
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
    /// Offset in the topic.
    pub offset: u64,
    /// Key of the record.
    pub key: CompactString,
    /// The value; empty when the key was dropped.
    pub value: Bytes,
}

/// Consecutive records from an offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records in order.
    pub records: Vec<RawRecord>,
    /// Offset of the next read.
    pub next: u64,
    /// End offset of the topic; larger than `next` when there are more records to read.
    pub end: u64,
}

/// A page of the newest records of all keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, ordered by key.
    pub records: Vec<RawRecord>,
    /// Key after which the next page begins; `None` after the last page.
    pub after: Option<CompactString>,
    /// End offset of the topic.
    pub end: u64,
}

/// Condition of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// No condition; a repeated append writes the records twice.
    None,
    /// The topic ends at this offset.
    End(u64),
    /// No later owner has written, and the append has the expected number. A repeated append with the same number
    /// writes the records once.
    Owner {
        /// Fencing token of the owner.
        epoch: u64,
        /// Number of the owner's append, from 0.
        sequence: u64,
    },
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done.
    #[display("refused: {_0}")]
    Refused(CompactString),
    /// The topic ends at this other offset; nothing was done.
    #[display("the topic ends at {_0}")]
    Moved(u64),
    /// A later owner has written; nothing was done.
    #[display("fenced by a later owner")]
    Fenced,
    /// The store expects this other append number; nothing was done.
    #[display("append {_0} is expected")]
    Sequence(u64),
    /// The requested records are no longer retained; holds the first retained offset.
    #[display("records before {_0} are gone")]
    Gap(u64),
    /// No answer; the call may have been carried out, or still be.
    #[display("no answer: {_0}")]
    Unanswered(CompactString),
}

/// A record of the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A configuration.
    Config(FleetConfig),
    /// A maintenance wave.
    Wave(WaveSpec),
    /// A record of no interest to the entry node.
    Other,
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// A worker registered itself or changed its registration.
    Registered(WorkerRegistration),
    /// The registration was removed.
    Removed(WorkerId),
}

/// The platform: its store, workers, VMs and policy service.
pub trait Platform: 'static {
    /// Appends records. Returns the offset of the first one.
    fn append(
        &self,
        topic: Topic,
        records: &[(CompactString, Vec<u8>)],
        guard: Guard,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads records from an offset on, and waits up to `wait` for the first one.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Reads a page of the newest records of all keys, after the key `after`.
    fn newest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<NewestPage, StoreError>>;

    /// Decodes a record of [`Topic::Operator`].
    ///
    /// # Errors
    ///
    /// A malformed record; callers skip it.
    fn operator_change(&self, key: &str, value: &[u8]) -> cj_types::Result<OperatorChange>;

    /// Decodes a record of [`Topic::Registry`].
    ///
    /// # Errors
    ///
    /// A malformed record. It says nothing about a worker, so callers skip it.
    fn registry_change(&self, key: &str, value: &[u8]) -> cj_types::Result<RegistryChange>;

    /// Publishes the state of a wave.
    fn report_wave(
        &self,
        wave: u64,
        completed: bool,
    ) -> impl Future<Output = Result<(), StoreError>>;

    /// Starts a task on a worker. Like all commands, it is sent only if its lease check still allows that right before.
    fn start(
        &self,
        target: &Target,
        command: &StartCommand,
        check: &SendCheck,
    ) -> impl Future<Output = CommandAnswer>;

    /// Stops a run.
    fn stop(
        &self,
        target: &Target,
        task: &TaskId,
        run: u64,
        check: &SendCheck,
    ) -> impl Future<Output = CommandAnswer>;

    /// Sets the speed of a run to `percent` of its full speed.
    fn pace(
        &self,
        target: &Target,
        task: &TaskId,
        run: u64,
        percent: u8,
        check: &SendCheck,
    ) -> impl Future<Output = CommandAnswer>;

    /// Lists the runs on a worker, acknowledges ends up to the number `acknowledged`, and waits up to `wait` for the next
    /// end. Renews the lease until `lease_end`, in ms on the worker's clock, if that is given.
    fn list(
        &self,
        target: &Target,
        lease_end: Option<u64>,
        acknowledged: u64,
        wait: Duration,
        check: &SendCheck,
    ) -> impl Future<Output = ListAnswer>;

    /// Asks the policy service which of the workers may run a step.
    fn advise(&self, step: &StepKey, workers: &[WorkerId]) -> impl Future<Output = AdviceAnswer>;

    /// Lists all VMs.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmRow>, StoreError>>;

    /// Powers a VM off for the maintenance of a wave.
    fn maintain_vm(
        &self,
        vm: &VmId,
        wave: u64,
        check: &SendCheck,
    ) -> impl Future<Output = VmAnswer>;

    /// Moves a VM to a pool.
    fn move_vm(
        &self,
        vm: &VmId,
        pool: &ServiceId,
        check: &SendCheck,
    ) -> impl Future<Output = VmAnswer>;

    /// Sends a request to another entry node. Fails with a cause when no answer arrives.
    fn ask(
        &self,
        address: &str,
        request: Vec<u8>,
    ) -> impl Future<Output = Result<Bytes, CompactString>>;
}
