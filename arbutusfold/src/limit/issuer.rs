//! Permits for single requests under a limit that all nodes share.
//!
//! One node issues the permits of a limit, so that the sum over all nodes keeps
//! to it also if it is far below one request a second and node. Nodes that get
//! no permit are told when to claim again; the more of them claim, the later.

use std::time as std_time;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time;

/// Unused permits of an idle limit that are kept, as time at its full rate.
const BURST_TIME: std_time::Duration = std_time::Duration::from_millis(250);

/// Least number of permits that are kept. With fewer, the gaps between requests
/// leave a part of a small limit unused.
const BURST_MIN: f64 = 3.0;

/// Smallest rate in permits per second. A limit of zero would never be seen to
/// be lifted if no request were sent.
const RATE_MIN: f64 = 0.1;

/// Claims per permit at which the pause of those without one stays as it is. With
/// fewer, permits would wait for claims.
const CLAIMS_PER_PERMIT: f64 = 3.0;

/// Interval between two changes of the pause.
const PAUSE_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Shortest and longest mean pause of a node that got no permit.
const PAUSE_MIN: std_time::Duration = std_time::Duration::from_millis(20);
const PAUSE_MAX: std_time::Duration = std_time::Duration::from_secs(5);

/// Time after the latest claim after which a limit is forgotten.
const LIMIT_TTL: std_time::Duration = std_time::Duration::from_secs(60);

/// Answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// One request may be sent.
    Granted,
    /// None may be sent; a claim makes sense after this time.
    Denied(std_time::Duration),
}

/// Permits of the limits that one node is responsible for.
#[derive(Debug, Default)]
pub struct LimitIssuer {
    /// Sorted by key.
    limits: Vec<IssuedLimit>,
}

#[derive(Debug)]
struct IssuedLimit {
    key: String,
    /// Permits per second.
    rate: f64,
    /// Permits that may be issued now.
    level: f64,
    refilled_at: time::Instant,
    pause: std_time::Duration,
    /// Start of the period in which `claims` are counted.
    period_at: time::Instant,
    claims: u32,
}

impl LimitIssuer {
    /// Answers a claim for one request under the limit `key`, which is `rate`
    /// requests per second now. A limit that was not claimed before begins
    /// without permits, since another node may have issued them until now.
    pub fn claim(&mut self, key: &str, rate: f64, now: time::Instant) -> ClaimAnswer {
        self.limits
            .retain(|limit| now.saturating_duration_since(limit.refilled_at) < LIMIT_TTL);
        let found = self
            .limits
            .binary_search_by(|limit| limit.key.as_str().cmp(key));
        let index = found.unwrap_or_else(|index| {
            self.limits.insert(index, IssuedLimit::new(key, now));
            index
        });
        self.limits[index].claim(rate.max(RATE_MIN), now)
    }
}

impl IssuedLimit {
    fn new(key: &str, now: time::Instant) -> Self {
        Self {
            key: key.to_owned(),
            rate: 0.0,
            level: 0.0,
            refilled_at: now,
            pause: PAUSE_MIN,
            period_at: now,
            claims: 0,
        }
    }

    fn claim(&mut self, rate: f64, now: time::Instant) -> ClaimAnswer {
        self.refill(rate, now);
        self.adapt_pause(now);
        self.claims += 1;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return ClaimAnswer::Granted;
        }
        let seconds = (1.0 - self.level) / self.rate;
        // The smallest rate keeps this far below the limit of the type.
        let next = std_time::Duration::from_secs_f64(seconds);
        let pause = self.pause.mul_f64(0.5 + rand::rng().random::<f64>());
        ClaimAnswer::Denied(next.max(pause))
    }

    fn refill(&mut self, rate: f64, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let burst = BURST_MIN.max(rate * BURST_TIME.as_secs_f64());
        self.level = (self.level + self.rate * elapsed.as_secs_f64()).min(burst);
        self.rate = rate;
        self.refilled_at = now;
    }

    /// Lengthens or shortens the pause so that [`CLAIMS_PER_PERMIT`] claims come.
    fn adapt_pause(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.period_at);
        if elapsed < PAUSE_PERIOD {
            return;
        }
        let claim_rate = f64::from(self.claims) / elapsed.as_secs_f64();
        let change = (claim_rate / (CLAIMS_PER_PERMIT * self.rate)).clamp(0.5, 2.0);
        self.pause = self.pause.mul_f64(change).clamp(PAUSE_MIN, PAUSE_MAX);
        self.period_at = now;
        self.claims = 0;
    }
}
