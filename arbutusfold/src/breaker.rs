//! Circuit breakers: eject failing upstreams, up to a maximum part of each pool.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Maximum part of a pool that may be ejected at a time, in percent.
pub const EJECTED_PERCENT_MAX: usize = 50;

/// Consecutive failures after which an upstream is ejected.
const FAILURE_THRESHOLD: u32 = 3;

/// Duration of the first ejection; doubles with each failed probe.
const EJECTION_MIN: std_time::Duration = std_time::Duration::from_secs(1);

/// Maximum duration of an ejection.
const EJECTION_MAX: std_time::Duration = std_time::Duration::from_secs(30);

/// Time after which a probe without a result may be repeated.
const PROBE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(10);

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests pass; holds the number of consecutive failures.
    Closed(u32),
    /// No request passes before this time.
    Open(time::Instant),
    /// One probe passes; holds the time at which it began.
    HalfOpen(time::Instant),
}

/// Kind of request that a breaker lets pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerPass {
    /// An ordinary request.
    Normal,
    /// A single request that probes the upstream.
    Probe,
    /// No request.
    Blocked,
}

/// Change of a breaker after the result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// The upstream was neither ejected nor restored.
    Unchanged,
    /// The upstream was ejected.
    Ejected,
    /// The upstream receives requests again.
    Restored,
    /// The upstream was not ejected because the maximum part of its pool already is.
    Capped,
}

#[derive(Clone, Debug)]
struct UpstreamBreaker {
    upstream: id::UpstreamName,
    state: BreakerState,
    /// Duration of the current ejection, or of the next one while closed.
    ejection: std_time::Duration,
}

/// Circuit breakers of one pool of upstreams.
#[derive(Clone, Debug, Default)]
pub struct BreakerPool {
    /// Sorted by upstream.
    breakers: Vec<UpstreamBreaker>,
}

impl BreakerPool {
    /// Sets the upstreams of the pool; upstreams already in it keep their state.
    pub fn set_upstreams(&mut self, upstreams: &[id::UpstreamName]) {
        self.breakers
            .retain(|breaker| upstreams.contains(&breaker.upstream));
        for upstream in upstreams {
            if let Err(index) = self.find(upstream) {
                self.breakers.insert(index, UpstreamBreaker::new(upstream));
            }
        }
    }

    /// Returns the number of upstreams whose breaker is open or half-open.
    pub fn ejected(&self) -> usize {
        self.breakers
            .iter()
            .filter(|breaker| !matches!(breaker.state, BreakerState::Closed(_)))
            .count()
    }

    /// Returns the maximum number of upstreams that may be ejected at a time.
    pub fn ejected_max(&self) -> usize {
        self.breakers.len() * EJECTED_PERCENT_MAX / 100
    }

    /// Asks for permission to send a request.
    ///
    /// After [`BreakerPass::Probe`], the caller must report the result of the call.
    pub fn acquire(&mut self, upstream: &str, now: time::Instant) -> BreakerPass {
        let Ok(index) = self.find(upstream) else {
            return BreakerPass::Normal;
        };
        let breaker = &mut self.breakers[index];
        let begins_probe = match breaker.state {
            BreakerState::Closed(_) => return BreakerPass::Normal,
            BreakerState::Open(until) => now >= until,
            BreakerState::HalfOpen(began) => now.duration_since(began) >= PROBE_TIMEOUT,
        };
        if !begins_probe {
            return BreakerPass::Blocked;
        }
        breaker.state = BreakerState::HalfOpen(now);
        BreakerPass::Probe
    }

    /// Returns whether ordinary requests may be sent; starts no probe.
    pub fn is_closed(&self, upstream: &str) -> bool {
        self.find(upstream).map_or(true, |index| {
            matches!(self.breakers[index].state, BreakerState::Closed(_))
        })
    }

    /// Records a successful call.
    pub fn note_success(&mut self, upstream: &str) -> BreakerChange {
        let Ok(index) = self.find(upstream) else {
            return BreakerChange::Unchanged;
        };
        let breaker = &mut self.breakers[index];
        let restored = matches!(breaker.state, BreakerState::HalfOpen(_));
        if matches!(breaker.state, BreakerState::Open(_)) {
            // The call began before the ejection, so its success says nothing
            // about the current state of the upstream.
            return BreakerChange::Unchanged;
        }
        breaker.state = BreakerState::Closed(0);
        if !restored {
            return BreakerChange::Unchanged;
        }
        breaker.ejection = EJECTION_MIN;
        BreakerChange::Restored
    }

    /// Records a call that failed because of the upstream.
    pub fn note_failure(&mut self, upstream: &str, now: time::Instant) -> BreakerChange {
        let Ok(index) = self.find(upstream) else {
            return BreakerChange::Unchanged;
        };
        let room = self.ejected() < self.ejected_max();
        let breaker = &mut self.breakers[index];
        match breaker.state {
            BreakerState::Open(_) => BreakerChange::Unchanged,
            BreakerState::HalfOpen(_) => {
                breaker.ejection = (breaker.ejection * 2).min(EJECTION_MAX);
                breaker.state = BreakerState::Open(now + breaker.ejection);
                BreakerChange::Ejected
            }
            BreakerState::Closed(failures) if failures + 1 < FAILURE_THRESHOLD => {
                breaker.state = BreakerState::Closed(failures + 1);
                BreakerChange::Unchanged
            }
            BreakerState::Closed(_) if !room => {
                breaker.state = BreakerState::Closed(FAILURE_THRESHOLD);
                BreakerChange::Capped
            }
            BreakerState::Closed(_) => {
                breaker.state = BreakerState::Open(now + breaker.ejection);
                BreakerChange::Ejected
            }
        }
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.breakers
            .binary_search_by(|breaker| breaker.upstream.as_str().cmp(upstream))
    }
}

impl UpstreamBreaker {
    fn new(upstream: &str) -> Self {
        Self {
            upstream: upstream.to_owned(),
            state: BreakerState::Closed(0),
            ejection: EJECTION_MIN,
        }
    }
}
