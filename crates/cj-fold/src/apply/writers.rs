//! Deduplication of batches by writer and sequence number, and the advance of fold time.

use cj_record::BatchHeader;
use cj_types::{NodeIncarnation, Sequence, UnixMillis};

use crate::{
    rules::{JOB_RETENTION, MAX_FORGOTTEN_WRITERS, MAX_TIME_STEP, WRITER_RETENTION},
    state::{State, Writer},
};

const FIRST_SEQUENCE: Sequence = Sequence(1);

/// Interval of fold time in milliseconds at which silent writers are removed. Until then their batches are ignored.
const WRITER_PRUNE_INTERVAL_MS: u64 = 3_600_000;

impl State {
    /// Accepts the next batch of a writer and advances fold time, or returns false if the batch is a duplicate, was
    /// withdrawn, or its writer is unknown. This does not depend on the batch's time, so that one fast clock can't keep
    /// other nodes from joining.
    pub(super) fn accept_batch(&mut self, header: &BatchHeader) -> bool {
        let valid = match self.writers.get(&header.writer) {
            Some(writer) => header.seq > writer.last_seq && !self.is_silent(writer),
            None => header.seq == FIRST_SEQUENCE && !self.forgotten.contains(&header.writer),
        };
        if valid {
            let previous = self.now;
            self.advance_time(header.at);
            debug_assert!(self.now >= previous, "fold time never goes back");
            let writer = Writer { last_seq: header.seq, last_at: self.now };
            self.writers.insert(header.writer.clone(), writer);
        }
        valid
    }

    fn is_silent(&self, writer: &Writer) -> bool {
        writer.last_at + WRITER_RETENTION < self.now
    }

    /// Advances fold time to `at`, by at most [`MAX_TIME_STEP`] except for the first batch, and removes expired jobs
    /// and silent writers.
    fn advance_time(&mut self, at: UnixMillis) {
        let previous = self.now;
        if previous == UnixMillis(0) {
            self.now = at;
        } else if at > previous {
            self.now = at.min(previous + MAX_TIME_STEP);
        }
        self.remove_expired_jobs();
        if previous.0 / WRITER_PRUNE_INTERVAL_MS != self.now.0 / WRITER_PRUNE_INTERVAL_MS {
            self.forget_silent_writers();
        }
    }

    fn forget_silent_writers(&mut self) {
        let silent = self.writers.iter().filter(|(_, writer)| self.is_silent(writer));
        let silent: Vec<NodeIncarnation> = silent.map(|(writer, _)| writer.clone()).collect();
        for writer in silent {
            self.writers.remove(&writer);
            if self.forgotten.len() == MAX_FORGOTTEN_WRITERS {
                self.forgotten.pop_front();
            }
            self.forgotten.push_back(writer);
        }
    }

    fn remove_expired_jobs(&mut self) {
        while let Some((at, _)) = self.index.ended_jobs.front()
            && *at + JOB_RETENTION <= self.now
        {
            if let Some((_, id)) = self.index.ended_jobs.pop_front() {
                self.jobs.remove(&id);
            }
        }
    }
}
