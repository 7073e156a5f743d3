//! A maintenance wave as a node has read it from the operators.

use std::time::Instant;

use cj_sched::sched::WaveSpec;

/// A wave with the time at which this node first read it.
#[derive(Clone, Debug)]
pub struct ReceivedWave {
    pub(crate) spec: WaveSpec,
    received: Instant,
}

impl ReceivedWave {
    pub(crate) fn new(spec: WaveSpec, received: Instant) -> Self {
        ReceivedWave { spec, received }
    }

    /// The wave with the time that is left of it, for an owner that begins with it now.
    pub(crate) fn remaining(&self, now: Instant) -> WaveSpec {
        let passed = now.saturating_duration_since(self.received);
        let duration = self.spec.duration.saturating_sub(passed);
        WaveSpec { duration, ..self.spec.clone() }
    }
}
