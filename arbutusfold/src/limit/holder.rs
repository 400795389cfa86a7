//! A node's shares of the limits of organisations.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::limit;
use crate::limit::pacer;

/// Longest time that a request waits for its organisation's share.
pub const SHARE_PATIENCE: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Shortest time after which a refused caller may come back.
const PAUSE_MIN: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Part of a new observation in the running mean of demand.
const MEAN_GAIN: f64 = 0.5;

/// Periods without demand after which a share is given up.
const IDLE_PERIODS: u32 = 30;

/// Periods in which a node says that it gave a share up.
const RELEASE_PERIODS: u32 = 3;

/// Reports whose time of sending is remembered.
const REMEMBERED_REPORTS: u64 = 8;

/// Whether a request is within its organisation's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// It may go on.
    Pass,
    /// It must ask again after this time.
    Wait(std_time::Duration),
    /// It is refused; the caller may come back after this time.
    Refuse(std_time::Duration),
}

/// The shares that one node holds.
#[derive(Debug, Default)]
pub struct ShareHolder {
    shares: Vec<HeldShare>,
    /// Number of the last report.
    number: u64,
    /// When each of the last reports was sent.
    sent: Vec<(u64, time::Instant)>,
    /// Whether a share was first asked for since the last report.
    fresh: bool,
}

#[derive(Debug)]
struct HeldShare {
    organisation: id::OrganisationName,
    limit: limit::ShareRate,
    floor: limit::ShareRate,
    lent: limit::ShareRate,
    /// Number of the report that the lent share answered.
    applied: u64,
    expires: time::Instant,
    requests: pacer::RatePacer,
    tokens: pacer::RatePacer,
    offered: OfferedDemand,
}

/// What callers asked for since the last report, and the mean before.
#[derive(Debug, Default)]
struct OfferedDemand {
    requests: u64,
    tokens: u64,
    mean_requests: f64,
    mean_tokens: f64,
    idle: u32,
}

/// A request that asks for its organisation's share.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest<'a> {
    /// Organisation.
    pub organisation: &'a str,
    /// Its limit over the fleet.
    pub limit: limit::ShareRate,
    /// Nodes that the organisation is assigned to, 0 when this node is not one.
    pub nodes: usize,
    /// Expected tokens.
    pub tokens: u64,
    /// Time that it has waited already.
    pub waited: std_time::Duration,
}

impl ShareHolder {
    /// Asks whether a request may go on.
    ///
    /// A request told to wait must ask again or be withdrawn.
    pub fn ask(&mut self, request: &ShareRequest<'_>, now: time::Instant) -> ShareVerdict {
        if request.limit.is_unlimited() {
            return ShareVerdict::Pass;
        }
        let first = request.waited.is_zero();
        let share = self.share(request, now);
        if first {
            share.offered.requests += 1;
            share.offered.tokens += request.tokens;
        } else {
            share.withdraw(request.tokens);
        }
        share.apply_expiry(now);
        let Some(wait) = share.wait(first, now) else {
            return ShareVerdict::Refuse(PAUSE_MIN);
        };
        if wait.is_zero() {
            share.take(request.tokens, now);
            return ShareVerdict::Pass;
        }
        if request.waited + wait > SHARE_PATIENCE {
            return ShareVerdict::Refuse(wait.max(PAUSE_MIN));
        }
        share.promise(request.tokens);
        ShareVerdict::Wait(wait)
    }

    /// Notes that a request which was told to wait will not ask again.
    pub fn withdraw(&mut self, organisation: &str, tokens: u64) {
        if let Ok(place) = self.find(organisation) {
            self.shares[place].withdraw(tokens);
        }
    }

    /// Corrects the account once the true number of tokens is known.
    pub fn settle(&mut self, organisation: &str, expected: u64, actual: u64) {
        if let Ok(place) = self.find(organisation) {
            self.shares[place]
                .tokens
                .settle(expected as f64, actual as f64);
        }
    }

    /// Tells whether a report should not wait for the end of the period.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Begins a period: returns its number and what to tell the keepers.
    ///
    /// Every entry must reach the keeper of its organisation under this number.
    pub fn report(&mut self, now: time::Instant) -> limit::DemandReport {
        self.number += 1;
        self.sent.push((self.number, now));
        let oldest = self.number.saturating_sub(REMEMBERED_REPORTS);
        self.sent.retain(|(number, _)| *number > oldest);
        let number = self.number;
        self.fresh = false;
        self.shares.retain_mut(|share| {
            share.apply_expiry(now);
            share.offered.close();
            share.give_up(number, now);
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

    /// Takes a keeper's answer.
    pub fn hear(&mut self, grant: &limit::GrantReport, now: time::Instant) {
        let sent = self
            .sent
            .iter()
            .find(|(number, _)| *number == grant.number)
            .map(|(_, sent)| *sent);
        let Some(sent) = sent else { return };
        // The keeper counts from when the report came, so this is earlier.
        let expires = sent + limit::SHARE_LEASE;
        for entry in &grant.entries {
            if let Ok(place) = self.find(&entry.organisation) {
                self.shares[place].lend(entry.rate, grant.number, expires, now);
            }
        }
    }

    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|share| share.organisation.as_str().cmp(organisation))
    }

    fn share(&mut self, request: &ShareRequest<'_>, now: time::Instant) -> &mut HeldShare {
        let place = match self.find(request.organisation) {
            Ok(place) => place,
            Err(place) => {
                self.fresh = true;
                self.shares
                    .insert(place, HeldShare::new(request.organisation, now));
                place
            }
        };
        let share = &mut self.shares[place];
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
            lent: limit::ShareRate::default(),
            applied: 0,
            expires: now,
            requests: pacer::RatePacer::new(0.0, now),
            tokens: pacer::RatePacer::new(0.0, now),
            offered: OfferedDemand::default(),
        }
    }

    fn lend(
        &mut self,
        rate: limit::ShareRate,
        number: u64,
        expires: time::Instant,
        now: time::Instant,
    ) {
        // An older answer than the one in force was given up by the later one.
        if number <= self.applied || expires <= now {
            return;
        }
        self.lent = rate;
        self.applied = number;
        self.expires = expires;
        self.set_rates(now);
    }

    fn apply_expiry(&mut self, now: time::Instant) {
        if now >= self.expires && self.lent != limit::ShareRate::default() {
            self.lent = limit::ShareRate::default();
            self.set_rates(now);
        }
    }

    /// Gives the share up when it was long without demand.
    fn give_up(&mut self, number: u64, now: time::Instant) {
        if self.is_released() {
            self.lent = limit::ShareRate::default();
            // Answers to this report and earlier ones are passed over.
            self.applied = number;
            self.set_rates(now);
        }
    }

    fn is_released(&self) -> bool {
        self.offered.idle >= IDLE_PERIODS
    }

    fn set_rates(&mut self, now: time::Instant) {
        let rate = self.floor.zip(self.lent, |floor, lent| floor + lent);
        self.requests.set_rate(rate.requests as f64, now);
        self.tokens.set_rate(rate.tokens as f64, now);
    }

    /// Returns the time until a request may pass: behind those that wait when
    /// it is new, else as the first of them.
    fn wait(&mut self, new: bool, now: time::Instant) -> Option<std_time::Duration> {
        let ask = |pacer: &mut pacer::RatePacer| match new {
            true => pacer.wait(now),
            false => pacer.wait_first(now),
        };
        let requests = match self.limit.requests {
            0 => std_time::Duration::ZERO,
            _ => ask(&mut self.requests)?,
        };
        let tokens = match self.limit.tokens {
            0 => std_time::Duration::ZERO,
            _ => ask(&mut self.tokens)?,
        };
        Some(requests.max(tokens))
    }

    fn take(&mut self, tokens: u64, now: time::Instant) {
        self.requests.take(1.0, now);
        self.tokens.take(tokens as f64, now);
    }

    fn promise(&mut self, tokens: u64) {
        self.requests.promise(1.0);
        self.tokens.promise(tokens as f64);
    }

    fn withdraw(&mut self, tokens: u64) {
        self.requests.withdraw(1.0);
        self.tokens.withdraw(tokens as f64);
    }

    fn to_entry(&self, now: time::Instant) -> limit::DemandEntry {
        let held = match now < self.expires {
            true => self.lent,
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
    fn close(&mut self) {
        let period = limit::DEMAND_PERIOD.as_secs_f64();
        let gain = |mean: f64, count: u64| mean + (count as f64 / period - mean) * MEAN_GAIN;
        self.idle = match self.requests {
            0 => self.idle + 1,
            _ => 0,
        };
        self.mean_requests = gain(self.mean_requests, self.requests);
        self.mean_tokens = gain(self.mean_tokens, self.tokens);
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
