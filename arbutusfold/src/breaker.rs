//! Breakers: failing upstreams are ejected, but never too many of a pool.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Greatest part of a pool that may be ejected, in percent.
pub const EJECTED_PERCENT_MAX: usize = 50;

/// Failures in a row after which an upstream is ejected.
const FAILURES_LIMIT: u32 = 3;

/// First time for which an upstream is ejected.
const EJECTION_START: std_time::Duration = std_time::Duration::from_secs(1);

/// Longest time for which an upstream is ejected.
const EJECTION_MAX: std_time::Duration = std_time::Duration::from_secs(30);

/// Time after which a probe that gave no result may be followed by another.
const PROBE_LIFE: std_time::Duration = std_time::Duration::from_secs(10);

/// State of one breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Requests pass; so many failed in a row.
    Closed(u32),
    /// No request passes until then.
    Open(time::Instant),
    /// One probe passes; it began then.
    HalfOpen(time::Instant),
}

/// What a call to an upstream may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerPass {
    /// An ordinary request.
    Normal,
    /// The one request that probes the upstream.
    Probe,
    /// No request.
    Blocked,
}

/// What a result changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// Nothing that concerns others.
    Same,
    /// The upstream was ejected.
    Ejected,
    /// The upstream takes requests again.
    Restored,
    /// It would have been ejected, but too much of its pool already is.
    Capped,
}

#[derive(Clone, Debug)]
struct UpstreamBreaker {
    upstream: id::UpstreamName,
    state: BreakerState,
    ejection: std_time::Duration,
}

/// The breakers of one pool of upstreams.
#[derive(Clone, Debug, Default)]
pub struct BreakerPool {
    breakers: Vec<UpstreamBreaker>,
}

impl BreakerPool {
    /// Sets the upstreams of the pool; those that stay keep their state.
    pub fn set_upstreams(&mut self, upstreams: &[id::UpstreamName]) {
        self.breakers
            .retain(|breaker| upstreams.contains(&breaker.upstream));
        for upstream in upstreams {
            if let Err(place) = self.find(upstream) {
                self.breakers.insert(place, UpstreamBreaker::new(upstream));
            }
        }
    }

    /// Returns the number of upstreams that take no ordinary request.
    pub fn ejected(&self) -> usize {
        self.breakers
            .iter()
            .filter(|breaker| !matches!(breaker.state, BreakerState::Closed(_)))
            .count()
    }

    /// Returns the greatest number of upstreams that may be ejected together.
    pub fn ejected_max(&self) -> usize {
        self.breakers.len() * EJECTED_PERCENT_MAX / 100
    }

    /// Asks to send a request; a probe must be followed by a result.
    pub fn ask(&mut self, upstream: &str, now: time::Instant) -> BreakerPass {
        let Ok(place) = self.find(upstream) else {
            return BreakerPass::Normal;
        };
        let breaker = &mut self.breakers[place];
        let begins_probe = match breaker.state {
            BreakerState::Closed(_) => return BreakerPass::Normal,
            BreakerState::Open(until) => now >= until,
            BreakerState::HalfOpen(began) => now.duration_since(began) >= PROBE_LIFE,
        };
        if !begins_probe {
            return BreakerPass::Blocked;
        }
        breaker.state = BreakerState::HalfOpen(now);
        BreakerPass::Probe
    }

    /// Tells whether an ordinary request may be sent, without asking for a probe.
    pub fn is_closed(&self, upstream: &str) -> bool {
        self.find(upstream).map_or(true, |place| {
            matches!(self.breakers[place].state, BreakerState::Closed(_))
        })
    }

    /// Notes a call that succeeded.
    pub fn note_success(&mut self, upstream: &str) -> BreakerChange {
        let Ok(place) = self.find(upstream) else {
            return BreakerChange::Same;
        };
        let breaker = &mut self.breakers[place];
        let restored = matches!(breaker.state, BreakerState::HalfOpen(_));
        if matches!(breaker.state, BreakerState::Open(_)) {
            // A late answer from before the ejection proves nothing of now.
            return BreakerChange::Same;
        }
        breaker.state = BreakerState::Closed(0);
        if !restored {
            return BreakerChange::Same;
        }
        breaker.ejection = EJECTION_START;
        BreakerChange::Restored
    }

    /// Notes a call that failed for the upstream's own reasons.
    pub fn note_failure(&mut self, upstream: &str, now: time::Instant) -> BreakerChange {
        let Ok(place) = self.find(upstream) else {
            return BreakerChange::Same;
        };
        let room = self.ejected() < self.ejected_max();
        let breaker = &mut self.breakers[place];
        match breaker.state {
            BreakerState::Open(_) => BreakerChange::Same,
            BreakerState::HalfOpen(_) => {
                breaker.ejection = (breaker.ejection * 2).min(EJECTION_MAX);
                breaker.state = BreakerState::Open(now + breaker.ejection);
                BreakerChange::Ejected
            }
            BreakerState::Closed(failures) if failures + 1 < FAILURES_LIMIT => {
                breaker.state = BreakerState::Closed(failures + 1);
                BreakerChange::Same
            }
            BreakerState::Closed(_) if !room => {
                breaker.state = BreakerState::Closed(FAILURES_LIMIT);
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
            ejection: EJECTION_START,
        }
    }
}
