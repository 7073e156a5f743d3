//! Foresees the demand of a queue that begins to rise.
//!
//! Answers queues whose demand comes in turns: a turn rises to its peak within a few seconds, and a VM needs a second and a
//! half to change its pool. VMs that are called for by the tasks that already wait come that much too late, so a rise is
//! continued in a straight line until a VM called for now has arrived.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Span of the arrivals that are compared with the ones before them.
const WINDOW: Duration = Duration::from_millis(800);

/// Least arrivals in a window that make a rise; fewer come by chance.
const MIN_ARRIVALS: usize = 4;

/// A rise is a window with at least this multiple of the arrivals of the one before.
const RISE_FACTOR: usize = 2;

/// A foreseen demand is at most this multiple of the present one.
const MAX_GROWTH: f32 = 2.5;

/// Time beyond the move of a VM that is foreseen: its worker has to register and to be listed.
const REGISTRATION_TIME: Duration = Duration::from_millis(500);

/// A foreseen demand holds until the VMs called for have arrived and got tasks.
const HOLD_TIME: Duration = Duration::from_millis(1_900);

/// Arrivals of jobs at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandForecast {
    /// Time, and work in thousandths of a core times milliseconds.
    arrivals: VecDeque<(Instant, u64)>,
    /// Foreseen demand in thousandths of a core, and when it was foreseen.
    forecast: Option<(f32, Instant)>,
}

impl DemandForecast {
    /// Takes note of a job and its work, in thousandths of a core times milliseconds. A VM called for now takes `move_time`.
    pub(super) fn record_arrival(&mut self, work: u64, move_time: Duration, now: Instant) {
        self.arrivals.push_back((now, work));
        let recent = |at: Instant| now.saturating_duration_since(at) <= WINDOW * 2;
        while self.arrivals.front().is_some_and(|(at, _)| !recent(*at)) {
            self.arrivals.pop_front();
        }
        let Some(demand) = self.extrapolate(move_time + REGISTRATION_TIME, now) else { return };
        let held = self.demand(now);
        self.forecast = Some((demand.max(held), now));
    }

    /// Demand after `ahead` when arrivals rise now.
    fn extrapolate(&self, ahead: Duration, now: Instant) -> Option<f32> {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < WINDOW;
        let last = self.arrivals.iter().filter(|(at, _)| recent(at)).count();
        let before = self.arrivals.len() - last;
        if last < MIN_ARRIVALS || last < RISE_FACTOR * before + 1 {
            return None;
        }
        let work = self.arrivals.iter().filter(|(at, _)| recent(at)).map(|(_, work)| *work as f32);
        let present = work.sum::<f32>() / WINDOW.as_millis() as f32;
        let windows = (ahead + WINDOW / 2).as_secs_f32() / WINDOW.as_secs_f32();
        let growth = 1.0 + (last - before) as f32 / last as f32 * windows;
        Some(present * growth.min(MAX_GROWTH))
    }

    /// Demand that is foreseen, in thousandths of a core; 0 when nothing rises.
    pub(super) fn demand(&self, now: Instant) -> f32 {
        let held = self.forecast.filter(|(_, at)| now.saturating_duration_since(*at) < HOLD_TIME);
        held.map_or(0.0, |(demand, _)| demand)
    }
}
