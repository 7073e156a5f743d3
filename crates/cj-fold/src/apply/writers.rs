//! Writers, their sequence numbers, and fold time.

use cj_record::BatchHeader;
use cj_types::{NodeIncarnation, Sequence, UnixMillis};

use crate::{
    rules::{JOB_RETENTION, MAX_FORGOTTEN, MAX_STEP, WRITER_RETENTION},
    state::{State, Writer},
};

const FIRST: Sequence = Sequence(1);

/// Silent writers are removed once per this span of fold time; until then their batches are ignored.
const PRUNE_MILLIS: u64 = 3_600_000;

impl State {
    /// Takes the batch into the order, or returns false when it's a copy or its writer is unknown. The time of the batch
    /// does not decide this, so that one fast clock can't keep other nodes from joining.
    pub(super) fn admit(&mut self, header: &BatchHeader) -> bool {
        let valid = match self.writers.get(&header.writer) {
            Some(writer) => header.seq > writer.last_seq && !self.is_silent(writer),
            None => header.seq == FIRST && !self.forgotten.contains(&header.writer),
        };
        if valid {
            let before = self.now;
            self.advance(header.at);
            debug_assert!(self.now >= before, "fold time never goes back");
            let writer = Writer { last_seq: header.seq, last_at: self.now };
            self.writers.insert(header.writer.clone(), writer);
        }
        valid
    }

    fn is_silent(&self, writer: &Writer) -> bool {
        writer.last_at + WRITER_RETENTION < self.now
    }

    /// Moves fold time forward to `at`, by at most [`MAX_STEP`] once it has started.
    fn advance(&mut self, at: UnixMillis) {
        let before = self.now;
        if before == UnixMillis(0) {
            self.now = at;
        } else if at > before {
            self.now = at.min(before + MAX_STEP);
        }
        self.drop_ended();
        if before.0 / PRUNE_MILLIS != self.now.0 / PRUNE_MILLIS {
            self.forget_silent();
        }
    }

    fn forget_silent(&mut self) {
        let silent = self.writers.iter().filter(|(_, writer)| self.is_silent(writer));
        let silent: Vec<NodeIncarnation> = silent.map(|(writer, _)| writer.clone()).collect();
        for writer in silent {
            self.writers.remove(&writer);
            if self.forgotten.len() == MAX_FORGOTTEN {
                self.forgotten.pop_front();
            }
            self.forgotten.push_back(writer);
        }
    }

    fn drop_ended(&mut self) {
        while let Some((at, _)) = self.index.ended.front()
            && *at + JOB_RETENTION <= self.now
        {
            if let Some((_, id)) = self.index.ended.pop_front() {
                self.jobs.remove(&id);
            }
        }
    }
}
