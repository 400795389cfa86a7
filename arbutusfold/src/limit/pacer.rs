//! Paces work at a rate, with a burst too small to matter over a second.

use std::time as std_time;

use tokio::time;

/// Time whose work may be done at once, at rates where this is a whole unit.
const BURST: std_time::Duration = std_time::Duration::from_millis(50);

/// Rate from which a burst is allowed, in units a second.
const BURST_RATE: f64 = 20.0;

/// Lets work pass at a rate that may change.
///
/// Over any second, at most the rate, one twentieth more, and the last piece
/// of work pass; below [`BURST_RATE`] whole units at most the rate pass.
#[derive(Clone, Debug)]
pub struct RatePacer {
    /// Units a second.
    rate: f64,
    /// Units that may pass at once; what passed too early when negative.
    level: f64,
    refilled: time::Instant,
    /// Units that wait for their turn.
    promised: f64,
}

impl RatePacer {
    /// Creates a pacer that has let nothing pass.
    pub fn new(rate: f64, now: time::Instant) -> Self {
        Self {
            rate,
            level: 0.0,
            refilled: now,
            promised: 0.0,
        }
    }

    /// Changes the rate; what passed before stays counted.
    pub fn set_rate(&mut self, rate: f64, now: time::Instant) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst());
    }

    /// Returns the time until work may pass behind all that waits; `None` for never.
    pub fn wait(&mut self, now: time::Instant) -> Option<std_time::Duration> {
        self.wait_behind(self.promised, now)
    }

    /// Returns the time until work that has waited its turn may pass.
    pub fn wait_first(&mut self, now: time::Instant) -> Option<std_time::Duration> {
        self.wait_behind(0.0, now)
    }

    fn wait_behind(&mut self, ahead: f64, now: time::Instant) -> Option<std_time::Duration> {
        self.refill(now);
        let missing = ahead - self.level;
        if missing <= f64::EPSILON && self.rate > 0.0 {
            return Some(std_time::Duration::ZERO);
        }
        let seconds = missing / self.rate;
        std_time::Duration::try_from_secs_f64(seconds).ok()
    }

    /// Lets work pass.
    pub fn take(&mut self, cost: f64, now: time::Instant) {
        self.refill(now);
        self.level -= cost;
    }

    /// Gives back work that was not done, or takes what was done beside it.
    pub fn settle(&mut self, expected: f64, actual: f64) {
        self.level = (self.level + expected - actual).min(self.burst());
    }

    /// Notes work that waits for its turn.
    pub fn promise(&mut self, cost: f64) {
        self.promised += cost;
    }

    /// Notes that such work waits no longer.
    pub fn withdraw(&mut self, cost: f64) {
        self.promised = (self.promised - cost).max(0.0);
    }

    fn refill(&mut self, now: time::Instant) {
        let since = now.saturating_duration_since(self.refilled);
        self.level = (self.level + self.rate * since.as_secs_f64()).min(self.burst());
        self.refilled = now;
    }

    fn burst(&self) -> f64 {
        match self.rate >= BURST_RATE {
            true => self.rate * BURST.as_secs_f64(),
            false => 0.0,
        }
    }
}
