//! Writers, their sequence numbers, and fold time.

use cj_record::BatchHeader;
use cj_types::{Sequence, UnixMillis};

use crate::{
    rules::{JOB_RETENTION, MAX_STEP, WRITER_RETENTION},
    state::{State, Writer},
};

const FIRST: Sequence = Sequence(1);

/// Forgotten writers are removed once per this span of fold time; until then they are treated as unknown.
const PRUNE_MILLIS: u64 = 3_600_000;

impl State {
    /// Takes the batch into the order, or returns false when it's a copy or its writer is unknown.
    pub(super) fn admit(&mut self, header: &BatchHeader) -> bool {
        let known = self.writers.get(&header.writer).filter(|w| !self.is_forgotten(w));
        let valid = match known {
            Some(writer) => header.seq > writer.last_seq,
            // A first batch of a forgotten writer is older than the retention and must not count as a new one.
            None => header.seq == FIRST && header.at + WRITER_RETENTION >= self.now,
        };
        if !valid {
            return false;
        }
        let last_at = known.map_or(header.at, |w| w.last_at.max(header.at));
        self.advance(header.at);
        let writer = Writer { last_seq: header.seq, last_at: last_at.max(self.now) };
        self.writers.insert(header.writer.clone(), writer);
        true
    }

    fn is_forgotten(&self, writer: &Writer) -> bool {
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
            let oldest = self.now - WRITER_RETENTION;
            self.writers.retain(|_, writer| writer.last_at >= oldest);
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
