//! Adaptive concurrency limits that follow the observed latency.

use std::time as std_time;

use tokio::time;

/// Minimum limit.
const LIMIT_MIN: f64 = 16.0;

/// Maximum limit.
const LIMIT_MAX: f64 = 4_096.0;

/// Minimum time between two adjustments of a limit.
const ADJUST_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Minimum number of observations for an adjustment.
const ADJUST_SAMPLES_MIN: u32 = 4;

/// Multiple of the baseline latency above which an upstream counts as congested.
const LATENCY_TOLERANCE: f64 = 2.0;

/// Increase over the baseline latency that is never a sign of congestion, in seconds.
const LATENCY_SLACK_SECONDS: f64 = 0.1;

/// Factor by which the limit shrinks on congestion.
const BACKOFF: f64 = 0.85;

/// Fraction of the limit that must be in use for the limit to grow.
const UTILISATION_MIN: f64 = 0.5;

/// Part of the distance to its target that the gradient policy covers per adjustment.
const SMOOTHING: f64 = 0.3;

/// Time after which the baseline latency is measured anew.
const BASELINE_PERIOD: std_time::Duration = std_time::Duration::from_secs(300);

/// Algorithm that adjusts a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPolicy {
    /// Additive increase by one per period, multiplicative decrease on congestion.
    Aimd,
    /// Scales with the ratio of the tolerated to the current latency.
    Gradient,
}

/// Limit of concurrent requests to one upstream or at one node.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    policy: LimitPolicy,
    limit: f64,
    /// Best mean latency of the last baseline period and since, in seconds.
    baseline: Option<f64>,
    /// Best mean latency of the current baseline period; becomes the next baseline.
    next_baseline: Option<f64>,
    baseline_began: time::Instant,
    period_began: time::Instant,
    latency_sum: f64,
    samples: u32,
    in_flight_max: usize,
}

impl ConcurrencyLimit {
    /// Creates a limit with the initial value `start` and no observations.
    pub fn new(policy: LimitPolicy, start: usize, now: time::Instant) -> Self {
        Self {
            policy,
            limit: (start as f64).clamp(LIMIT_MIN, LIMIT_MAX),
            baseline: None,
            next_baseline: None,
            baseline_began: now,
            period_began: now,
            latency_sum: 0.0,
            samples: 0,
            in_flight_max: 0,
        }
    }

    /// Returns the maximum number of requests in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Records the latency of a request that ran while `in_flight` were in flight.
    pub fn observe(&mut self, latency: std_time::Duration, in_flight: usize, now: time::Instant) {
        let seconds = latency.as_secs_f64().max(1e-6);
        self.latency_sum += seconds;
        self.samples += 1;
        self.in_flight_max = self.in_flight_max.max(in_flight);
        let due = now.duration_since(self.period_began) >= ADJUST_PERIOD;
        if due && self.samples >= ADJUST_SAMPLES_MIN {
            self.adjust(now);
        }
    }

    /// Shrinks the limit after the upstream refused a request for lack of capacity.
    pub fn note_overload(&mut self) {
        self.set(self.limit * BACKOFF);
    }

    fn adjust(&mut self, now: time::Instant) {
        let mean = self.latency_sum / f64::from(self.samples);
        let baseline = self.update_baseline(mean, now);
        let busy = self.in_flight_max as f64 >= self.limit * UTILISATION_MIN;
        match self.policy {
            LimitPolicy::Aimd => self.adjust_aimd(mean, baseline, busy),
            LimitPolicy::Gradient => self.adjust_gradient(mean, baseline, busy),
        }
        self.period_began = now;
        self.latency_sum = 0.0;
        self.samples = 0;
        self.in_flight_max = 0;
    }

    /// Returns the best mean latency, which expires after two baseline periods.
    fn update_baseline(&mut self, mean: f64, now: time::Instant) -> f64 {
        self.next_baseline = Some(self.next_baseline.map_or(mean, |best| best.min(mean)));
        if now.duration_since(self.baseline_began) >= BASELINE_PERIOD {
            self.baseline = self.next_baseline.take();
            self.baseline_began = now;
        }
        let baseline = self.baseline.map_or(mean, |best| best.min(mean));
        self.baseline = Some(baseline);
        baseline
    }

    fn adjust_aimd(&mut self, mean: f64, baseline: f64, busy: bool) {
        if mean > congestion_threshold(baseline) {
            self.set(self.limit * BACKOFF);
        } else if busy {
            self.set(self.limit + 1.0);
        }
    }

    fn adjust_gradient(&mut self, mean: f64, baseline: f64, busy: bool) {
        let gradient = (congestion_threshold(baseline) / mean).clamp(0.5, 1.0);
        // The square root allows a short queue, which keeps the upstream busy.
        let target = self.limit * gradient + self.limit.sqrt();
        if gradient < 1.0 || busy {
            self.set(self.limit + (target - self.limit) * SMOOTHING);
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(LIMIT_MIN, LIMIT_MAX);
    }
}

/// Returns the mean latency above which an upstream counts as congested.
fn congestion_threshold(baseline: f64) -> f64 {
    (baseline * LATENCY_TOLERANCE).max(baseline + LATENCY_SLACK_SECONDS)
}
