//! Forecasts the demand of a service whose queues begin to rise.
//!
//! Demand rises to its peak within a few seconds, and a VM needs a second and a half to move to another pool. VMs that are
//! requested for tasks that already wait come that much too late, so a rise is extrapolated linearly to the time at which a
//! VM requested now has arrived.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Window whose arrivals are compared with those of the window before it.
const WINDOW: Duration = Duration::from_millis(800);

/// Fewest arrivals in a window that count as a rise; fewer occur by chance.
const MIN_ARRIVALS: usize = 4;

/// A rise is a window with more than this multiple of the arrivals of the one before.
const RISE_FACTOR: usize = 2;

/// Forecast demand is at most this multiple of the present demand.
const MAX_GROWTH: f32 = 2.5;

/// Time beyond the move of a VM that the forecast covers: its worker has to register and to be listed.
const REGISTRATION_TIME: Duration = Duration::from_millis(500);

/// A forecast holds until the VMs requested for it have arrived and got tasks.
const HOLD_TIME: Duration = Duration::from_millis(1_900);

/// Arrivals of jobs at one service, and the demand forecast from them.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandForecast {
    /// Time of each arrival, and its work in millicores times milliseconds.
    arrivals: VecDeque<(Instant, u64)>,
    /// Forecast demand in millicores, and when it was forecast.
    forecast: Option<(f32, Instant)>,
}

impl DemandForecast {
    /// Records the arrival of a job with its work, in millicores times milliseconds. A VM takes `move_time` to
    /// move.
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

    /// Demand in millicores after `ahead`, if arrivals are rising now.
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

    /// Forecast demand in millicores; 0 if there was no rise recently.
    pub(super) fn demand(&self, now: Instant) -> f32 {
        let held = self.forecast.filter(|(_, at)| now.saturating_duration_since(*at) < HOLD_TIME);
        held.map_or(0.0, |(demand, _)| demand)
    }
}
