//! Limits of concurrent requests that follow the latency that is observed.

use std::time as std_time;

use tokio::time;

/// Least limit.
const LIMIT_MIN: f64 = 16.0;

/// Greatest limit.
const LIMIT_MAX: f64 = 4_096.0;

/// Time between two changes of a limit.
const CHANGE_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Observations without which a limit is not changed.
const CHANGE_SAMPLES: u32 = 4;

/// Latency over the best one from which an upstream counts as crowded.
const TOLERANCE: f64 = 2.0;

/// Latency over the best one that is no sign of a crowd, in seconds.
const SLACK_SECONDS: f64 = 0.1;

/// Factor by which a crowded upstream's limit shrinks.
const BACKOFF: f64 = 0.85;

/// Part of the limit that must be in use before it grows.
const USE_PART: f64 = 0.5;

/// Part of a new gradient that enters the limit at once.
const SMOOTHING: f64 = 0.3;

/// Time after which the best latency is looked for anew.
const BASE_LIFE: std_time::Duration = std_time::Duration::from_secs(300);

/// How a limit follows latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPolicy {
    /// Grows by one a period and shrinks by a factor when crowded.
    Aimd,
    /// Follows the ratio of the best latency to the present one.
    Gradient,
}

/// The limit of concurrent requests towards one upstream or of one node.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    limit: f64,
    /// Best latency of this base period, in seconds.
    base: Option<f64>,
    /// Best latency since the base period began, which becomes the next base.
    next_base: Option<f64>,
    base_began: time::Instant,
    period_began: time::Instant,
    sum: f64,
    samples: u32,
    most_in_flight: usize,
}

impl ConcurrencyLimit {
    /// Creates a limit that begins at `start` and has observed nothing.
    pub fn new(policy: LimitPolicy, start: usize, now: time::Instant) -> Self {
        Self {
            policy,
            limit: (start as f64).clamp(LIMIT_MIN, LIMIT_MAX),
            base: None,
            next_base: None,
            base_began: now,
            period_began: now,
            sum: 0.0,
            samples: 0,
            most_in_flight: 0,
        }
    }

    /// Returns how many requests may be in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Notes the latency of one request while `in_flight` were in flight.
    pub fn observe(&mut self, latency: std_time::Duration, in_flight: usize, now: time::Instant) {
        let seconds = latency.as_secs_f64().max(1e-6);
        self.sum += seconds;
        self.samples += 1;
        self.most_in_flight = self.most_in_flight.max(in_flight);
        let due = now.duration_since(self.period_began) >= CHANGE_PERIOD;
        if due && self.samples >= CHANGE_SAMPLES {
            self.change(now);
        }
    }

    /// Notes that a request failed because the upstream had no room.
    pub fn note_overload(&mut self) {
        self.set(self.limit * BACKOFF);
    }

    fn change(&mut self, now: time::Instant) {
        let mean = self.sum / f64::from(self.samples);
        let base = self.renew_base(mean, now);
        let busy = self.most_in_flight as f64 >= self.limit * USE_PART;
        match self.policy {
            LimitPolicy::Aimd => self.change_aimd(mean, base, busy),
            LimitPolicy::Gradient => self.change_gradient(mean, base, busy),
        }
        self.period_began = now;
        self.sum = 0.0;
        self.samples = 0;
        self.most_in_flight = 0;
    }

    /// Returns the best mean latency, which is forgotten after two base periods.
    fn renew_base(&mut self, mean: f64, now: time::Instant) -> f64 {
        self.next_base = Some(self.next_base.map_or(mean, |best| best.min(mean)));
        if now.duration_since(self.base_began) >= BASE_LIFE {
            self.base = self.next_base.take();
            self.base_began = now;
        }
        let base = self.base.map_or(mean, |best| best.min(mean));
        self.base = Some(base);
        base
    }

    fn change_aimd(&mut self, mean: f64, base: f64, busy: bool) {
        if mean > crowded_from(base) {
            self.set(self.limit * BACKOFF);
        } else if busy {
            self.set(self.limit + 1.0);
        }
    }

    fn change_gradient(&mut self, mean: f64, base: f64, busy: bool) {
        let gradient = (crowded_from(base) / mean).clamp(0.5, 1.0);
        // The root leaves room for a queue that keeps the upstream busy.
        let target = self.limit * gradient + self.limit.sqrt();
        if gradient < 1.0 || busy {
            self.set(self.limit + (target - self.limit) * SMOOTHING);
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(LIMIT_MIN, LIMIT_MAX);
    }
}

/// Returns the mean latency from which an upstream counts as crowded.
fn crowded_from(base: f64) -> f64 {
    (base * TOLERANCE).max(base + SLACK_SECONDS)
}
