//! Forecasts the demand of a service at the time when a VM requested now takes its first task.
//!
//! The processors that the jobs of a service use are the rate at which jobs arrive, times the work of a job, for the jobs that
//! arrive about half their stay earlier. So the forecast for long jobs rests on arrivals that are known already, and the one for
//! short jobs extrapolates the rate of arrivals. The number of arrivals varies less than their work, so the work of a job is
//! averaged over many. Of the difference between two windows only the part counts that chance doesn't explain.
//!
//! Each forecast is compared with the demand that came. The part of it beyond the demand that was known counts as far as
//! earlier ones came true, so a forecast that errs has no effect after a while.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Shortest and longest window whose arrivals are compared with those of the window before it.
const WINDOWS: (Duration, Duration) = (Duration::from_millis(800), Duration::from_millis(1_600));

/// Fewest arrivals in a window for a forecast; fewer occur by chance.
const MIN_ARRIVALS: usize = 4;

/// Time beyond the move of a VM that the forecast covers: its worker has to register and to be listed.
const REGISTRATION_TIME: Duration = Duration::from_millis(500);

/// Arrivals over which the work and the stay of a job are averaged.
const MEAN_JOBS: f32 = 64.0;

/// Shortest time between two forecasts that are compared with what came.
const SCORE_INTERVAL: Duration = Duration::from_millis(200);

/// Weight of a new comparison: about the last twenty count, which cover four seconds.
const SCORE_GAIN: f32 = 0.05;

/// A new forecast counts with this weight as one that came true, beside the averages of the earlier ones.
const PRIOR_WEIGHT: f32 = 0.3;

/// A forecast that hasn't been compared yet: when it is due, the demand that was known when it was made, and the demand that it
/// expects, in millicores.
#[derive(Clone, Copy, Debug)]
struct Pending {
    due: Instant,
    known: f32,
    demand: f32,
}

/// Arrivals of jobs at one service, and how far earlier forecasts came true.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandForecast {
    /// Time of each recent arrival, and its work in millicores times milliseconds.
    arrivals: VecDeque<(Instant, f32)>,
    /// Number of jobs that the means rest on, at most [`MEAN_JOBS`].
    jobs: f32,
    /// Mean work of a job in millicores times milliseconds.
    mean_work: f32,
    /// Mean time from the arrival of a job to its end without any waiting, in seconds.
    mean_stay: f32,
    /// Forecasts that aren't due yet, the earliest first.
    pending: VecDeque<Pending>,
    /// Moving average of the increases of demand that were forecast, in millicores.
    forecast_rise: f32,
    /// Moving average of the part of them that came.
    actual_rise: f32,
}

impl DemandForecast {
    /// Records the arrival of a job with its work, in millicores times milliseconds, and its time without any waiting.
    pub(super) fn record_arrival(&mut self, work: u64, stay: Duration, now: Instant) {
        self.jobs = (self.jobs + 1.0).min(MEAN_JOBS);
        self.mean_work += (work as f32 - self.mean_work) / self.jobs;
        self.mean_stay += (stay.as_secs_f32() - self.mean_stay) / self.jobs;
        self.arrivals.push_back((now, work as f32));
        self.forget_old_arrivals(WINDOWS.1, now);
    }

    /// Demand of finite tasks in millicores when a VM that is requested now has arrived; 0 without a forecast. `known` is the
    /// demand of the tasks that run or wait now. A VM takes `move_time` to move.
    pub(super) fn demand(&mut self, known: f32, move_time: Duration, now: Instant) -> f32 {
        self.score(known, now);
        let ahead = move_time + REGISTRATION_TIME;
        let Some(demand) = self.extrapolate(ahead, now) else { return 0.0 };
        if self.pending.back().is_none_or(|last| now + ahead >= last.due + SCORE_INTERVAL) {
            self.pending.push_back(Pending { due: now + ahead, known, demand });
        }
        known + (demand - known) * self.trust((demand - known).max(0.0))
    }

    /// Forgets the arrivals before the last two windows.
    fn forget_old_arrivals(&mut self, window: Duration, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > window * 2;
        while self.arrivals.pop_front_if(|(at, _)| is_old(*at)).is_some() {}
    }

    /// Share of the forecast increases that came, for a forecast of `rise`: earlier ones that were small beside it say little
    /// about it.
    fn trust(&self, rise: f32) -> f32 {
        let prior = rise * PRIOR_WEIGHT;
        if self.forecast_rise + prior <= 0.0 {
            return 1.0;
        }
        (self.actual_rise + prior) / (self.forecast_rise + prior)
    }

    /// Compares the forecasts that are due with the demand that is known now.
    fn score(&mut self, known: f32, now: Instant) {
        while let Some(pending) = self.pending.pop_front_if(|pending| pending.due <= now) {
            let rise = (pending.demand - pending.known).max(0.0);
            let came = (known - pending.known).clamp(0.0, rise);
            self.forecast_rise += SCORE_GAIN * (rise - self.forecast_rise);
            self.actual_rise += SCORE_GAIN * (came - self.actual_rise);
        }
    }

    /// Demand in millicores after `ahead`, by the rate of arrivals and its trend.
    fn extrapolate(&mut self, ahead: Duration, now: Instant) -> Option<f32> {
        let (shortest, longest) = WINDOWS;
        let half_stay = Duration::from_secs_f32(self.mean_stay / 2.0);
        let window = half_stay.clamp(shortest, longest);
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.forget_old_arrivals(window, now);
        let recent = self.arrivals.iter().filter(|(at, _)| age(at) < window);
        let (count, work) = recent.fold((0, 0.0), |(n, sum), (_, work)| (n + 1, sum + work));
        if count < MIN_ARRIVALS {
            return None;
        }
        let before = (self.arrivals.len() - count) as f32;
        let last = count as f32;
        let difference = last - before;
        // The variance of a difference of random counts is their sum. A difference of one standard deviation counts half.
        let explained = 1.0 - (last + before) / (difference * difference + last + before);
        let seconds = window.as_secs_f32();
        // The jobs that run then arrive this much later than those of the last window did on average.
        let later = ahead.as_secs_f32() - half_stay.as_secs_f32() + seconds / 2.0;
        let trend = difference * explained * (later / seconds).max(0.0) * self.mean_work;
        // Jobs that have just arrived and are larger than usual count with their own work.
        let level = work.max(last * self.mean_work);
        Some((level + trend).max(0.0) / seconds / 1_000.0)
    }
}
