//! Writes progress to the store in batches.
//!
//! The end of a run is acknowledged to its worker once its effect on the job is durable. Otherwise a later owner would
//! start a task again that is done.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    sched::{
        event::Action,
        scheduler::Scheduler,
        settings::{LISTING_INTERVAL, MAX_WRITE_DELAY, WRITE_INTERVAL},
        work::JobSlot,
        worker::WorkerKey,
    },
};

/// Time between two writes for each task and step in the first of them: a record of progress names them all, and its size is
/// a burden on the store and on all nodes that read it.
const WRITE_REST_PER_TASK: Duration = Duration::from_micros(5);

/// A batch of records that is being written.
#[derive(Debug)]
struct Batch {
    number: u64,
    occurrences: Vec<(JobSlot, u32)>,
    /// Highest end of each worker that the batch covers, with the start of the worker's incarnation.
    ends: Vec<(WorkerKey, Option<u64>, u64)>,
}

/// Changes to be written, and the batch in flight.
#[derive(Debug, Default)]
pub(super) struct WriteState {
    /// Occurrences with unwritten changes.
    dirty: BTreeSet<(JobSlot, u32)>,
    /// Other records to be written.
    extra: Vec<Record>,
    due: Option<Instant>,
    /// Time of the last write.
    last: Option<Instant>,
    /// Shortest time until the next one.
    rest: Duration,
    /// The next write is due regardless of `due`.
    expedited: bool,
    in_flight: Option<Batch>,
    /// Number of the last batch.
    number: u64,
    /// Number of the last durable batch.
    durable: u64,
}

impl WriteState {
    /// Schedules the write of a changed occurrence, soon if it is `urgent`: an acknowledgement waits for it.
    pub(super) fn schedule(&mut self, job: JobSlot, occurrence: u32, now: Instant, urgent: bool) {
        self.dirty.insert((job, occurrence));
        let at = if urgent { now + WRITE_INTERVAL } else { now + MAX_WRITE_DELAY };
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Adds another record to the next batch. Returns the batch's number.
    pub(super) fn add(&mut self, record: Record, now: Instant) -> u64 {
        self.extra.push(record);
        self.due = Some(now);
        self.number + 1
    }

    /// True when the batch is durable.
    pub(super) fn is_durable(&self, number: u64) -> bool {
        self.durable >= number
    }

    /// Makes the next write due now, because a caller waits for it.
    pub(super) fn expedite(&mut self) {
        self.expedited = true;
    }

    /// True when the job has changes that aren't durable.
    pub(super) fn has_pending(&self, slot: JobSlot) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|batch| batch.occurrences.iter().any(|(job, _)| *job == slot))
            || self.dirty.iter().any(|(job, _)| *job == slot)
    }

    fn is_due(&self, now: Instant) -> bool {
        let rested = self.last.is_none_or(|last| last + self.rest <= now);
        let due = self.expedited || self.due.is_some_and(|due| due <= now);
        self.in_flight.is_none() && rested && due
    }
}

impl Scheduler {
    /// Writes the pending changes as one batch, if a write is due and none is in flight.
    pub(super) fn write_progress(&mut self) {
        let now = self.now.mono;
        if self.write.dirty.is_empty()
            && self.write.extra.is_empty()
            && self.write.in_flight.is_none()
        {
            self.mark_ends_durable();
        }
        if !self.write.is_due(now) {
            return;
        }
        let mut records = std::mem::take(&mut self.write.extra);
        let mut occurrences = Vec::new();
        let mut size = 0;
        for (slot, number) in std::mem::take(&mut self.write.dirty) {
            let Some(job) = self.jobs.get_mut(slot) else { continue };
            let occurrence = &mut job.occurrences[number as usize];
            occurrence.dirty = false;
            size += occurrence.size();
            records.push(Record::Progress(job.key, number, occurrence.progress()));
            occurrences.push((slot, number));
        }
        self.write.due = None;
        self.write.expedited = false;
        self.write.last = Some(now);
        self.write.rest = WRITE_INTERVAL.max(WRITE_REST_PER_TASK * size as u32);
        if records.is_empty() {
            return;
        }
        records.extend(self.run_times_record());
        self.write.number += 1;
        let covered = |(key, worker): (WorkerKey, &super::worker::Worker)| {
            (worker.ends_processed > worker.ends_durable).then_some((
                key,
                worker.started_at,
                worker.ends_processed,
            ))
        };
        let ends = self.workers.iter().filter_map(covered).collect();
        let number = self.write.number;
        self.write.in_flight = Some(Batch { number, occurrences, ends });
        self.actions.push(Action::Write(number, records));
    }

    /// Handles a durable batch: its ends may be acknowledged, and ended jobs removed.
    pub(super) fn written(&mut self, number: u64) {
        let now = self.now.mono;
        let Some(batch) = self.write.in_flight.take_if(|batch| batch.number == number) else {
            return;
        };
        self.write.durable = number;
        for (key, started_at, end) in batch.ends {
            let Some(worker) =
                self.workers.get_mut(key).filter(|worker| worker.started_at == started_at)
            else {
                continue;
            };
            worker.ends_durable = worker.ends_durable.max(end);
            worker.list_by(now + LISTING_INTERVAL);
        }
        for (slot, _) in batch.occurrences {
            self.retire(slot);
        }
    }

    /// Marks all processed ends as durable. With no unwritten changes, their effects are.
    fn mark_ends_durable(&mut self) {
        let at = self.now.mono + LISTING_INTERVAL * 2;
        for worker in self.workers.values_mut() {
            if worker.ends_processed > worker.ends_durable {
                worker.ends_durable = worker.ends_processed;
                worker.list_by(at);
            }
        }
    }
}
