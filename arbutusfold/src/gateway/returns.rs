//! When refused callers are asked to come back, and which callers did.

use std::time as std_time;

use tokio::time;

use crate::suspect;

/// Shortest time to a return. What a refusal rests on is up to some reports old, so an
/// earlier return would find the same.
const MIN_RETURN: std_time::Duration = std_time::Duration::from_millis(500);

/// Callers come back at the stated time only if it is at most this fraction of the
/// time that they have left.
const RETURN_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of the longest time to a return over which callers are spread if all of
/// them would return at its end.
const SPREAD_FRACTION: f64 = 0.25;

/// Time that a store which refuses or ends calls usually stays away, as far as nothing
/// else is known.
const USUAL_OUTAGE: std_time::Duration = std_time::Duration::from_secs(2);

/// Expected rest of an outage relative to the time that it has lasted. Callers come
/// back only once, so most outages should end within it.
const OUTAGE_GROWTH: u32 = 2;

/// Time for which a refused caller is remembered.
const RETURN_MEMORY: std_time::Duration = std_time::Duration::from_secs(8);

/// Largest number of refused callers that a node remembers.
const RETURN_LIMIT: usize = 4_096;

/// Returns the time after which a refused caller should come back.
///
/// `forecast` is the time until it can be served, `left` the time that the caller has,
/// and `draw` a random number from 0 to 1 that spreads callers over as much time again.
pub fn return_time(
    forecast: std_time::Duration,
    left: std_time::Duration,
    draw: f64,
) -> std_time::Duration {
    let earliest = forecast.max(MIN_RETURN);
    let latest = left.mul_f64(RETURN_FRACTION);
    let to = (earliest * 2).min(latest);
    let from = earliest.min(latest.mul_f64(1.0 - SPREAD_FRACTION));
    from + to.saturating_sub(from).mul_f64(draw)
}

/// Returns the time after which a caller should come back whom a node refuses since it
/// has no document yet.
///
/// `silent` is the time for which the node has had no document from the store,
/// `has_failed` tells whether a call to the store failed meanwhile, and `left` is the
/// time that the caller has.
pub fn unready_return(
    silent: std_time::Duration,
    has_failed: bool,
    left: std_time::Duration,
    draw: f64,
) -> std_time::Duration {
    let usual = match has_failed {
        true => USUAL_OUTAGE,
        // The first answer is on its way.
        false => std_time::Duration::ZERO,
    };
    let rest = usual + silent * OUTAGE_GROWTH;
    let latest = left.mul_f64(RETURN_FRACTION);
    let from = rest
        .max(MIN_RETURN)
        .min(latest.mul_f64(1.0 - SPREAD_FRACTION));
    let to = (from.mul_f64(1.0 + SPREAD_FRACTION)).min(latest);
    from + to.saturating_sub(from).mul_f64(draw)
}

/// Callers that this node refused a short time ago, by the fingerprint of their request.
#[derive(Clone, Debug, Default)]
pub struct ReturnTable {
    /// Fingerprints with the time of the refusal, sorted by fingerprint.
    refused: Vec<(suspect::RequestFingerprint, time::Instant)>,
}

impl ReturnTable {
    /// Returns whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.refused.is_empty()
    }

    /// Records that a request was refused.
    pub fn note(&mut self, key: suspect::RequestFingerprint, now: time::Instant) {
        let is_known = |refused_at: time::Instant| now < refused_at + RETURN_MEMORY;
        self.refused.retain(|(_, refused_at)| is_known(*refused_at));
        match self.refused.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(index) => self.refused[index].1 = now,
            Err(index) if self.refused.len() < RETURN_LIMIT => {
                self.refused.insert(index, (key, now));
            }
            Err(_) => {}
        }
    }

    /// Returns whether a request was refused before, and forgets that.
    pub fn take(&mut self, key: &suspect::RequestFingerprint, now: time::Instant) -> bool {
        let found = self.refused.binary_search_by_key(key, |(key, _)| *key);
        found.is_ok_and(|index| {
            let (_, refused_at) = self.refused.remove(index);
            now < refused_at + RETURN_MEMORY
        })
    }
}
