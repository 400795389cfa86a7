//! The granting side of distributed rate limits: divides limits among nodes.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::limit;

/// Time for which a new allocator grants no more than nodes already hold. The
/// shares granted by the previous allocator have expired by then.
const TAKEOVER_PERIOD: std_time::Duration = limit::SHARE_LEASE;

/// Time without a report after which a node counts as silent and its demand may
/// be dropped.
const DEMAND_TTL: std_time::Duration = std_time::Duration::from_millis(3_500);

/// Time for which an allocator that is partitioned from most nodes grants nothing.
const PARTITION_HOLD: std_time::Duration = std_time::Duration::from_secs(75 * 60);

/// Time after which the share of a live but silent node returns to the pool.
const SILENT_HOLD: std_time::Duration = std_time::Duration::from_secs(60);

/// Allocations of the limits that one node is responsible for.
#[derive(Debug, Default)]
pub struct ShareAllocator {
    /// Sorted by organisation.
    allocations: Vec<LimitAllocation>,
}

/// Allocation of one organisation's limit to nodes.
#[derive(Debug)]
struct LimitAllocation {
    organisation: id::OrganisationName,
    /// Time until which another allocator may have granted shares.
    began: time::Instant,
    /// Assigned nodes as of the last time that at least half of the roster was alive.
    roster: Vec<id::HostName>,
    /// Time since which less than half of the roster is alive.
    partitioned: Option<time::Instant>,
    /// Sorted by host.
    holders: Vec<HolderState>,
}

/// Demand and grants of one node.
#[derive(Debug)]
struct HolderState {
    host: id::HostName,
    wanted: limit::ShareRate,
    /// Time of the last report.
    reported: time::Instant,
    grants: Vec<ShareGrant>,
}

/// A granted share that its holder may be using.
#[derive(Clone, Copy, Debug)]
struct ShareGrant {
    /// Number of the report that the share was granted for.
    number: u64,
    rate: limit::ShareRate,
    expires: time::Instant,
}

/// Limit and membership as known to the allocator.
#[derive(Clone, Copy, Debug)]
pub struct AllocatorView<'a> {
    /// Limit of the organisation.
    pub limit: limit::ShareRate,
    /// Nodes that the organisation is assigned to.
    pub assigned: &'a [id::HostName],
    /// Live nodes, sorted by name.
    pub alive: &'a [id::HostName],
    /// Time of the last change of the live nodes.
    pub stable_since: time::Instant,
}

impl ShareAllocator {
    /// Handles one entry of a demand report and returns the granted share.
    pub fn allocate(
        &mut self,
        from: &str,
        number: u64,
        entry: &limit::DemandEntry,
        view: &AllocatorView<'_>,
        now: time::Instant,
    ) -> limit::GrantEntry {
        let allocation = self.allocation(&entry.organisation, view);
        allocation.update_roster(view, now);
        allocation.drop_expired(view, now);
        if entry.released {
            allocation.holders.retain(|holder| holder.host != from);
            return limit::GrantEntry {
                organisation: entry.organisation.clone(),
                rate: limit::ShareRate::default(),
            };
        }
        allocation.record_demand(from, entry, now);
        let rate = allocation.share(from, entry, view, now);
        allocation.record_grant(from, number, rate, now);
        limit::GrantEntry {
            organisation: entry.organisation.clone(),
            rate,
        }
    }

    /// Drops the allocations of organisations that this node no longer allocates.
    pub fn retain(&mut self, allocates: impl Fn(&str) -> bool) {
        self.allocations
            .retain(|allocation| allocates(&allocation.organisation));
    }

    /// Returns the sum of the shares of an organisation's limit that are granted at `now`.
    pub fn granted(&self, organisation: &str, now: time::Instant) -> limit::ShareRate {
        self.allocations
            .iter()
            .filter(|allocation| allocation.organisation == organisation)
            .flat_map(|allocation| &allocation.holders)
            .map(|holder| holder.granted(now))
            .fold(limit::ShareRate::default(), |sum, rate| {
                sum.zip(rate, |sum, rate| sum + rate)
            })
    }

    fn allocation(&mut self, organisation: &str, view: &AllocatorView<'_>) -> &mut LimitAllocation {
        let found = self
            .allocations
            .binary_search_by(|allocation| allocation.organisation.as_str().cmp(organisation));
        let index = found.unwrap_or_else(|index| {
            let allocation = LimitAllocation {
                organisation: organisation.to_owned(),
                began: view.stable_since,
                roster: view.assigned.to_vec(),
                partitioned: None,
                holders: Vec::new(),
            };
            self.allocations.insert(index, allocation);
            index
        });
        &mut self.allocations[index]
    }
}

impl LimitAllocation {
    /// Sets the roster to the assigned nodes while at least half of it is alive, or
    /// once a partition has lasted for [`PARTITION_HOLD`].
    fn update_roster(&mut self, view: &AllocatorView<'_>, now: time::Instant) {
        let alive = self
            .roster
            .iter()
            .filter(|host| view.alive.binary_search(host).is_ok())
            .count();
        // Half is enough, so that one of two nodes continues to serve alone.
        if alive * 2 >= self.roster.len() {
            self.roster = view.assigned.to_vec();
            self.partitioned = None;
            return;
        }
        let since = *self.partitioned.get_or_insert(now);
        if now.duration_since(since) >= PARTITION_HOLD {
            self.roster = view.assigned.to_vec();
            self.partitioned = None;
        }
    }

    /// Drops expired grants, and silent nodes without a grant.
    fn drop_expired(&mut self, view: &AllocatorView<'_>, now: time::Instant) {
        self.holders.retain_mut(|holder| {
            // A node that is alive but silent may be reporting to another
            // allocator, so it keeps its latest share for a while.
            let silence = now.duration_since(holder.reported);
            let silent = silence > DEMAND_TTL;
            let alive = silence < SILENT_HOLD && view.alive.binary_search(&holder.host).is_ok();
            let latest = holder.grants.last().copied();
            holder.grants.retain(|grant| grant.expires > now);
            if holder.grants.is_empty() && alive && silent {
                holder.grants.extend(latest);
            }
            !holder.grants.is_empty() || !silent
        });
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|holder| holder.host.as_str().cmp(host))
    }

    fn record_demand(&mut self, from: &str, entry: &limit::DemandEntry, now: time::Instant) {
        let index = self.find(from).unwrap_or_else(|index| {
            let holder = HolderState {
                host: from.to_owned(),
                wanted: entry.wanted,
                reported: now,
                grants: Vec::new(),
            };
            self.holders.insert(index, holder);
            index
        });
        let holder = &mut self.holders[index];
        holder.wanted = entry.wanted;
        holder.reported = now;
        // The node never goes back to a share older than the applied one.
        holder.grants.retain(|grant| grant.number >= entry.applied);
    }

    /// Returns the share of a node: its fair share, limited to the free part of the pool.
    fn share(
        &self,
        from: &str,
        entry: &limit::DemandEntry,
        view: &AllocatorView<'_>,
        now: time::Instant,
    ) -> limit::ShareRate {
        if self.partitioned.is_some() {
            return limit::ShareRate::default();
        }
        let pool = limit::pool_of(view.limit, view.assigned.len());
        let others = self
            .holders
            .iter()
            .filter(|holder| holder.host != from)
            .map(|holder| holder.granted(now))
            .fold(limit::ShareRate::default(), |sum, rate| {
                sum.zip(rate, |sum, rate| sum + rate)
            });
        let free = pool.zip(others, u64::saturating_sub);
        let fair = self.fair_share(entry.wanted, pool);
        let share = fair.zip(free, u64::min);
        match now.duration_since(self.began) < TAKEOVER_PERIOD {
            true => share.zip(entry.held, u64::min),
            false => share,
        }
    }

    /// Returns a node's fair share of the pool in proportion to its demand.
    fn fair_share(&self, wanted: limit::ShareRate, pool: limit::ShareRate) -> limit::ShareRate {
        let total = self
            .holders
            .iter()
            .map(|holder| holder.wanted)
            .fold(limit::ShareRate::default(), |sum, rate| {
                sum.zip(rate, |sum, rate| sum + rate)
            });
        let count = self.holders.len().max(1) as u64;
        limit::ShareRate {
            requests: fair_part(wanted.requests, total.requests, pool.requests, count),
            tokens: fair_part(wanted.tokens, total.tokens, pool.tokens, count),
        }
    }

    fn record_grant(
        &mut self,
        from: &str,
        number: u64,
        rate: limit::ShareRate,
        now: time::Instant,
    ) {
        if let Ok(index) = self.find(from) {
            self.holders[index].grants.push(ShareGrant {
                number,
                rate,
                expires: now + limit::SHARE_LEASE,
            });
        }
    }
}

impl HolderState {
    /// Returns the maximum rate that the node may be using.
    fn granted(&self, now: time::Instant) -> limit::ShareRate {
        let silent = now.duration_since(self.reported) > DEMAND_TTL;
        self.grants
            .iter()
            .filter(|grant| silent || grant.expires > now)
            .fold(limit::ShareRate::default(), |most, grant| {
                most.zip(grant.rate, u64::max)
            })
    }
}

/// Returns the part of `pool` for a node that demands `wanted` out of `total`.
fn fair_part(wanted: u64, total: u64, pool: u64, holders: u64) -> u64 {
    if total <= pool {
        // The unclaimed rest is split evenly, to leave room for bursts.
        return wanted + (pool - total) / holders;
    }
    match wanted {
        0 => 0,
        _ => (u128::from(pool) * u128::from(wanted) / u128::from(total)).max(1) as u64,
    }
}
