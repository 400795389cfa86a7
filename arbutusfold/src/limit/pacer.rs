//! Token bucket with a burst that is small compared to one second of work.

use std::time as std_time;

use tokio::time;

/// Size of the burst as time at the full rate: 50 ms are one unit at
/// [`BURST_RATE_MIN`].
const BURST_TIME: std_time::Duration = std_time::Duration::from_millis(50);

/// Minimum rate that allows a burst, in units per second.
const BURST_RATE_MIN: f64 = 20.0;

/// Paces work at a variable rate.
///
/// In any second, at most 1.05 times the rate plus the last piece of work pass.
/// Below `BURST_RATE_MIN`, at most the rate passes if work comes in whole units.
#[derive(Clone, Debug)]
pub struct RatePacer {
    /// Units per second.
    rate: f64,
    /// Units that may pass immediately; negative after work was charged in advance.
    level: f64,
    refilled: time::Instant,
    /// Units reserved by waiting work.
    reserved: f64,
}

impl RatePacer {
    /// Creates a pacer with an empty bucket.
    pub fn new(rate: f64, now: time::Instant) -> Self {
        Self {
            rate,
            level: 0.0,
            refilled: now,
            reserved: 0.0,
        }
    }

    /// Changes the rate; work that already passed stays charged.
    pub fn set_rate(&mut self, rate: f64, now: time::Instant) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst());
    }

    /// Returns the delay until new work may pass, behind all reserved work; `None`
    /// if it never may.
    pub fn delay(&mut self, now: time::Instant) -> Option<std_time::Duration> {
        self.delay_behind(self.reserved, now)
    }

    /// Returns the delay until work that has waited its turn may pass; `None` if it
    /// never may.
    pub fn delay_first(&mut self, now: time::Instant) -> Option<std_time::Duration> {
        self.delay_behind(0.0, now)
    }

    fn delay_behind(&mut self, ahead: f64, now: time::Instant) -> Option<std_time::Duration> {
        self.refill(now);
        let missing = ahead - self.level;
        if missing <= f64::EPSILON && self.rate > 0.0 {
            return Some(std_time::Duration::ZERO);
        }
        let seconds = missing / self.rate;
        std_time::Duration::try_from_secs_f64(seconds).ok()
    }

    /// Charges work that passes.
    pub fn take(&mut self, cost: f64, now: time::Instant) {
        self.refill(now);
        self.level -= cost;
    }

    /// Charges the actual instead of the expected work.
    pub fn reconcile(&mut self, expected: f64, actual: f64) {
        self.level = (self.level + expected - actual).min(self.burst());
    }

    /// Reserves units for work that waits for its turn.
    pub fn reserve(&mut self, cost: f64) {
        self.reserved += cost;
    }

    /// Cancels a reservation.
    pub fn cancel(&mut self, cost: f64) {
        self.reserved = (self.reserved - cost).max(0.0);
    }

    fn refill(&mut self, now: time::Instant) {
        let since = now.saturating_duration_since(self.refilled);
        self.level = (self.level + self.rate * since.as_secs_f64()).min(self.burst());
        self.refilled = now;
    }

    fn burst(&self) -> f64 {
        match self.rate >= BURST_RATE_MIN {
            true => self.rate * BURST_TIME.as_secs_f64(),
            false => 0.0,
        }
    }
}
