//! Traffic of paths over the links between failure domains.
//!
//! A link is shared by all requests and carries one transfer after another, so the
//! time for a transfer grows without bound as the link fills up.

use std::time as std_time;

use tokio::time;

use crate::gateway::demand;

/// Time constant of the moving average. It covers several reports of other nodes and
/// follows a burst of requests within a second or two.
const AVERAGE_TIME: std_time::Duration = std_time::Duration::from_secs(1);

/// Use of a link from which paths over it are the last resort. Sums of other nodes are
/// late, and the rest takes what they do not show yet.
const USE_LIMIT: f64 = 0.9;

/// Bytes per second on a link of 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Rate below which a link is forgotten, in bytes per second.
const MIN_RATE: f64 = 1.0;

/// A crossing from one failure domain to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkKey {
    /// The domain that sends.
    pub from: demand::DomainKey,
    /// The domain that receives.
    pub to: demand::DomainKey,
}

/// Moving average of the traffic on one link.
#[derive(Clone, Copy, Debug)]
struct LinkRate {
    link: LinkKey,
    bytes_per_second: f64,
    updated_at: time::Instant,
}

impl LinkRate {
    fn at(&self, now: time::Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let periods = age.as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.bytes_per_second * (-periods).exp()
    }
}

/// Traffic that the paths of this node cause.
#[derive(Clone, Debug, Default)]
pub struct LinkMeter {
    /// Rates, sorted by link.
    rates: Vec<LinkRate>,
}

impl LinkMeter {
    /// Adds bytes that pass a link now.
    pub fn add(&mut self, link: LinkKey, bytes: f64, now: time::Instant) {
        let place = self.rates.binary_search_by_key(&link, |rate| rate.link);
        let index = place.unwrap_or_else(|index| {
            let fresh = LinkRate {
                link,
                bytes_per_second: 0.0,
                updated_at: now,
            };
            self.rates.insert(index, fresh);
            index
        });
        let rate = &mut self.rates[index];
        rate.bytes_per_second = rate.at(now) + bytes / AVERAGE_TIME.as_secs_f64();
        rate.updated_at = now;
    }

    /// Returns the traffic now, sorted by link, and forgets links without any.
    pub fn rates(&mut self, now: time::Instant) -> Vec<demand::LinkUse> {
        self.rates.retain(|rate| rate.at(now) >= MIN_RATE);
        let link_use = |rate: &LinkRate| demand::LinkUse {
            from: rate.link.from,
            to: rate.link.to,
            bytes_per_second: rate.at(now) as f32,
        };
        self.rates.iter().map(link_use).collect()
    }
}

/// Returns the use of a link of `link_mbps` Mbit/s that carries `bytes_per_second`, as
/// a fraction of its bandwidth.
pub fn link_use(bytes_per_second: f64, link_mbps: f64) -> f64 {
    bytes_per_second / (link_mbps * BYTES_PER_MEGABIT)
}

/// Returns by how much a transfer of this length raises the use of a link.
pub fn added_use(transfer_ms: f64) -> f64 {
    transfer_ms / (AVERAGE_TIME.as_secs_f64() * 1_000.0)
}

/// Returns the fraction of a link that is free at this use, which is never 0.
pub fn free_share(used: f64) -> f64 {
    1.0 - used.clamp(0.0, USE_LIMIT)
}

/// Returns whether paths over a link are the last resort at this use.
pub fn is_saturated(used: f64) -> bool {
    used >= USE_LIMIT
}

/// Traffic of all nodes.
#[derive(Clone, Copy, Debug)]
pub struct FleetTraffic<'a> {
    /// Traffic of this node, sorted by link.
    pub own: &'a [demand::LinkUse],
    /// Traffic of the other nodes, sorted by link; `None` if it is not known.
    pub others: Option<&'a [demand::LinkUse]>,
    /// Number of nodes, this one included.
    pub nodes: usize,
}

impl FleetTraffic<'_> {
    /// Returns the bytes per second on a link. Other nodes whose traffic is not known
    /// are assumed to have as much as this one.
    pub fn on(&self, link: LinkKey) -> f64 {
        let own = find(self.own, link);
        match self.others {
            Some(others) => own + find(others, link),
            None => own * self.nodes.max(1) as f64,
        }
    }

    /// Returns the use of the link between each two of these domains, at index
    /// `from * domains.len() + to`.
    pub fn uses(&self, domains: &[demand::DomainKey], link_mbps: f64) -> Vec<f64> {
        let pairs = 0..domains.len() * domains.len();
        let link = |pair: usize| LinkKey {
            from: domains[pair / domains.len()],
            to: domains[pair % domains.len()],
        };
        pairs
            .map(|pair| link_use(self.on(link(pair)), link_mbps))
            .collect()
    }
}

fn find(list: &[demand::LinkUse], link: LinkKey) -> f64 {
    let key = |entry: &demand::LinkUse| LinkKey {
        from: entry.from,
        to: entry.to,
    };
    let found = list.binary_search_by_key(&link, key);
    found.map_or(0.0, |index| f64::from(list[index].bytes_per_second))
}
