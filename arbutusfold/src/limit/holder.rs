//! The requesting side of distributed rate limits: the shares that a node holds.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::limit;
use crate::limit::pacer;

/// Maximum time for which a request waits for its organisation's share.
pub const SHARE_WAIT_MAX: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Minimum delay before a refused caller may retry.
const RETRY_AFTER_MIN: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Weight of a new observation in the exponential moving average of demand.
const MEAN_GAIN: f64 = 0.5;

/// Periods without demand after which a share is released.
const IDLE_PERIODS: u32 = 30;

/// Periods in which a node reports that it released a share.
const RELEASE_PERIODS: u32 = 3;

/// Number of recent reports whose send time is kept.
const SENT_REPORTS_MAX: u64 = 8;

/// Whether a request is within its organisation's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// The request may proceed.
    Pass,
    /// The request must ask again after this time.
    Wait(std_time::Duration),
    /// The request is refused; the caller may retry after this time.
    Refuse(std_time::Duration),
}

/// Shares of organisation limits that one node holds.
#[derive(Debug, Default)]
pub struct ShareHolder {
    /// Sorted by organisation.
    shares: Vec<HeldShare>,
    /// Number of the last report.
    number: u64,
    /// Number and send time of recent reports.
    sent: Vec<(u64, time::Instant)>,
    /// Whether a share was added since the last report.
    has_new_share: bool,
}

#[derive(Debug)]
struct HeldShare {
    organisation: id::OrganisationName,
    limit: limit::ShareRate,
    floor: limit::ShareRate,
    granted: limit::ShareRate,
    /// Number of the report that the share was granted for.
    applied: u64,
    expires: time::Instant,
    requests: pacer::RatePacer,
    tokens: pacer::RatePacer,
    offered: OfferedDemand,
}

/// Demand of callers since the last report, and its moving average.
#[derive(Debug, Default)]
struct OfferedDemand {
    requests: u64,
    tokens: u64,
    mean_requests: f64,
    mean_tokens: f64,
    /// Consecutive periods without demand.
    idle: u32,
}

/// A request that asks to use its organisation's share.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest<'a> {
    /// Organisation.
    pub organisation: &'a str,
    /// Limit of the organisation over the whole fleet.
    pub limit: limit::ShareRate,
    /// Number of nodes that the organisation is assigned to; 0 if this node is not
    /// one of them.
    pub nodes: usize,
    /// Expected number of generated tokens.
    pub tokens: u64,
    /// Time that the request has already waited.
    pub waited: std_time::Duration,
}

impl ShareHolder {
    /// Decides whether a request may proceed, and charges it if so.
    ///
    /// A request that got [`ShareVerdict::Wait`] holds a reservation: it must ask
    /// again or be cancelled.
    pub fn acquire(&mut self, request: &ShareRequest<'_>, now: time::Instant) -> ShareVerdict {
        if request.limit.is_unlimited() {
            return ShareVerdict::Pass;
        }
        let first = request.waited.is_zero();
        let share = self.share(request, now);
        if first {
            share.offered.requests += 1;
            share.offered.tokens += request.tokens;
        } else {
            share.cancel(request.tokens);
        }
        share.apply_expiry(now);
        let Some(delay) = share.delay(first, now) else {
            return ShareVerdict::Refuse(RETRY_AFTER_MIN);
        };
        if delay.is_zero() {
            share.take(request.tokens, now);
            return ShareVerdict::Pass;
        }
        if request.waited + delay > SHARE_WAIT_MAX {
            return ShareVerdict::Refuse(delay.max(RETRY_AFTER_MIN));
        }
        share.reserve(request.tokens);
        ShareVerdict::Wait(delay)
    }

    /// Cancels the reservation of a request that will not ask again.
    pub fn cancel(&mut self, organisation: &str, tokens: u64) {
        if let Ok(index) = self.find(organisation) {
            self.shares[index].cancel(tokens);
        }
    }

    /// Charges the actual instead of the expected number of tokens.
    pub fn reconcile(&mut self, organisation: &str, expected: u64, actual: u64) {
        if let Ok(index) = self.find(organisation) {
            self.shares[index]
                .tokens
                .reconcile(expected as f64, actual as f64);
        }
    }

    /// Returns whether a report is needed before the end of the period.
    pub fn needs_report(&self) -> bool {
        self.has_new_share
    }

    /// Starts a new period and returns the demand report for all organisations.
    ///
    /// The caller must send each entry to the allocator of its organisation under
    /// the number of this report.
    pub fn report(&mut self, now: time::Instant) -> limit::DemandReport {
        self.number += 1;
        self.sent.push((self.number, now));
        let oldest = self.number.saturating_sub(SENT_REPORTS_MAX);
        self.sent.retain(|(number, _)| *number > oldest);
        let number = self.number;
        self.has_new_share = false;
        self.shares.retain_mut(|share| {
            share.apply_expiry(now);
            share.offered.end_period();
            share.release_if_idle(number, now);
            share.offered.idle < IDLE_PERIODS + RELEASE_PERIODS
        });
        limit::DemandReport {
            number: self.number,
            entries: self
                .shares
                .iter()
                .map(|share| share.to_entry(now))
                .collect(),
        }
    }

    /// Applies the answer of an allocator to a report.
    pub fn apply_grant(&mut self, grant: &limit::GrantReport, now: time::Instant) {
        let sent = self
            .sent
            .iter()
            .find(|(number, _)| *number == grant.number)
            .map(|(_, sent)| *sent);
        let Some(sent) = sent else { return };
        // The allocator counts from the receipt of the report, so the share
        // expires here first.
        let expires = sent + limit::SHARE_LEASE;
        for entry in &grant.entries {
            if let Ok(index) = self.find(&entry.organisation) {
                self.shares[index].set_granted(entry.rate, grant.number, expires, now);
            }
        }
    }

    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|share| share.organisation.as_str().cmp(organisation))
    }

    fn share(&mut self, request: &ShareRequest<'_>, now: time::Instant) -> &mut HeldShare {
        let index = match self.find(request.organisation) {
            Ok(index) => index,
            Err(index) => {
                self.has_new_share = true;
                self.shares
                    .insert(index, HeldShare::new(request.organisation, now));
                index
            }
        };
        let share = &mut self.shares[index];
        let floor = limit::floor_of(request.limit, request.nodes);
        if share.limit != request.limit || share.floor != floor {
            share.limit = request.limit;
            share.floor = floor;
            share.set_rates(now);
        }
        share
    }
}

impl HeldShare {
    fn new(organisation: &str, now: time::Instant) -> Self {
        Self {
            organisation: organisation.to_owned(),
            limit: limit::ShareRate::default(),
            floor: limit::ShareRate::default(),
            granted: limit::ShareRate::default(),
            applied: 0,
            expires: now,
            requests: pacer::RatePacer::new(0.0, now),
            tokens: pacer::RatePacer::new(0.0, now),
            offered: OfferedDemand::default(),
        }
    }

    fn set_granted(
        &mut self,
        rate: limit::ShareRate,
        number: u64,
        expires: time::Instant,
        now: time::Instant,
    ) {
        // Applying a share releases those granted for earlier reports.
        if number <= self.applied || expires <= now {
            return;
        }
        self.granted = rate;
        self.applied = number;
        self.expires = expires;
        self.set_rates(now);
    }

    fn apply_expiry(&mut self, now: time::Instant) {
        if now >= self.expires && self.granted != limit::ShareRate::default() {
            self.granted = limit::ShareRate::default();
            self.set_rates(now);
        }
    }

    /// Releases the share if there was no demand for a long time.
    fn release_if_idle(&mut self, number: u64, now: time::Instant) {
        if self.is_released() {
            self.granted = limit::ShareRate::default();
            // Ignores answers to this report and to earlier ones.
            self.applied = number;
            self.set_rates(now);
        }
    }

    fn is_released(&self) -> bool {
        self.offered.idle >= IDLE_PERIODS
    }

    fn set_rates(&mut self, now: time::Instant) {
        let rate = self
            .floor
            .zip(self.granted, |floor, granted| floor + granted);
        self.requests.set_rate(rate.requests as f64, now);
        self.tokens.set_rate(rate.tokens as f64, now);
    }

    /// Returns the delay until a request may pass; `None` if it never may.
    ///
    /// A new request queues behind all waiting requests; one that has waited its
    /// turn goes first.
    fn delay(&mut self, new: bool, now: time::Instant) -> Option<std_time::Duration> {
        let delay = |pacer: &mut pacer::RatePacer| match new {
            true => pacer.delay(now),
            false => pacer.delay_first(now),
        };
        let requests = match self.limit.requests {
            0 => std_time::Duration::ZERO,
            _ => delay(&mut self.requests)?,
        };
        let tokens = match self.limit.tokens {
            0 => std_time::Duration::ZERO,
            _ => delay(&mut self.tokens)?,
        };
        Some(requests.max(tokens))
    }

    fn take(&mut self, tokens: u64, now: time::Instant) {
        self.requests.take(1.0, now);
        self.tokens.take(tokens as f64, now);
    }

    fn reserve(&mut self, tokens: u64) {
        self.requests.reserve(1.0);
        self.tokens.reserve(tokens as f64);
    }

    fn cancel(&mut self, tokens: u64) {
        self.requests.cancel(1.0);
        self.tokens.cancel(tokens as f64);
    }

    fn to_entry(&self, now: time::Instant) -> limit::DemandEntry {
        let held = match now < self.expires {
            true => self.granted,
            false => limit::ShareRate::default(),
        };
        limit::DemandEntry {
            organisation: self.organisation.clone(),
            wanted: self.offered.to_rate(),
            held,
            applied: self.applied,
            released: self.is_released(),
        }
    }
}

impl OfferedDemand {
    fn end_period(&mut self) {
        let period = limit::DEMAND_PERIOD.as_secs_f64();
        let smoothed = |mean: f64, count: u64| mean + (count as f64 / period - mean) * MEAN_GAIN;
        self.idle = match self.requests {
            0 => self.idle + 1,
            _ => 0,
        };
        self.mean_requests = smoothed(self.mean_requests, self.requests);
        self.mean_tokens = smoothed(self.mean_tokens, self.tokens);
        self.requests = 0;
        self.tokens = 0;
    }

    fn to_rate(&self) -> limit::ShareRate {
        limit::ShareRate {
            requests: self.mean_requests.ceil() as u64,
            tokens: self.mean_tokens.ceil() as u64,
        }
    }
}
