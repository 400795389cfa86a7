//! The node that lends the shares of an organisation's limit.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::limit;

/// Time for which a new keeper lends no more than nodes already hold: an
/// earlier keeper's shares have run out by then.
const TAKEOVER: std_time::Duration = limit::SHARE_LEASE;

/// Time after which a node's demand no longer counts.
const DEMAND_LIFE: std_time::Duration = std_time::Duration::from_millis(3_500);

/// Time for which a keeper that lost sight of most nodes lends nothing.
const SEPARATION_HOLD: std_time::Duration = std_time::Duration::from_secs(75 * 60);

/// Time after which the share of a live but silent node returns to the pool.
const STRAY_HOLD: std_time::Duration = std_time::Duration::from_secs(60);

/// The limits that one node keeps for others.
#[derive(Debug, Default)]
pub struct ShareKeeper {
    ledgers: Vec<LimitLedger>,
}

/// What one organisation's limit is lent to.
#[derive(Debug)]
struct LimitLedger {
    organisation: id::OrganisationName,
    /// Time from which another keeper may still have been lending.
    began: time::Instant,
    /// Nodes that the organisation was assigned to when most were last seen.
    roster: Vec<id::HostName>,
    /// When most of the roster was lost from sight.
    separated: Option<time::Instant>,
    accounts: Vec<HolderAccount>,
}

#[derive(Debug)]
struct HolderAccount {
    host: id::HostName,
    wanted: limit::ShareRate,
    heard: time::Instant,
    loans: Vec<ShareLoan>,
}

/// A share that its holder may be using.
#[derive(Clone, Copy, Debug)]
struct ShareLoan {
    number: u64,
    rate: limit::ShareRate,
    expires: time::Instant,
}

/// What a keeper must know beside a report.
#[derive(Clone, Copy, Debug)]
pub struct KeeperView<'a> {
    /// Limit of the organisation.
    pub limit: limit::ShareRate,
    /// Nodes that the organisation is assigned to now.
    pub assigned: &'a [id::HostName],
    /// Nodes alive now, by name.
    pub alive: &'a [id::HostName],
    /// When the view of live nodes last changed.
    pub settled: time::Instant,
}

impl ShareKeeper {
    /// Takes one entry of a report and returns the share lent.
    pub fn hear(
        &mut self,
        from: &str,
        number: u64,
        entry: &limit::DemandEntry,
        view: &KeeperView<'_>,
        now: time::Instant,
    ) -> limit::GrantEntry {
        let ledger = self.ledger(&entry.organisation, view);
        ledger.watch(view, now);
        ledger.forget(view, now);
        if entry.released {
            ledger.accounts.retain(|account| account.host != from);
            return limit::GrantEntry {
                organisation: entry.organisation.clone(),
                rate: limit::ShareRate::default(),
            };
        }
        ledger.note(from, entry, now);
        let rate = ledger.share(from, entry, view, now);
        ledger.lend(from, number, rate, now);
        limit::GrantEntry {
            organisation: entry.organisation.clone(),
            rate,
        }
    }

    /// Drops what is kept for organisations that this node no longer keeps.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.ledgers.retain(|ledger| keeps(&ledger.organisation));
    }

    /// Returns what is lent of an organisation's limit now.
    pub fn lent(&self, organisation: &str, now: time::Instant) -> limit::ShareRate {
        self.ledgers
            .iter()
            .filter(|ledger| ledger.organisation == organisation)
            .flat_map(|ledger| &ledger.accounts)
            .map(|account| account.lent(now))
            .fold(limit::ShareRate::default(), |sum, rate| {
                sum.zip(rate, |sum, rate| sum + rate)
            })
    }

    fn ledger(&mut self, organisation: &str, view: &KeeperView<'_>) -> &mut LimitLedger {
        let found = self
            .ledgers
            .binary_search_by(|ledger| ledger.organisation.as_str().cmp(organisation));
        let place = found.unwrap_or_else(|place| {
            let ledger = LimitLedger {
                organisation: organisation.to_owned(),
                began: view.settled,
                roster: view.assigned.to_vec(),
                separated: None,
                accounts: Vec::new(),
            };
            self.ledgers.insert(place, ledger);
            place
        });
        &mut self.ledgers[place]
    }
}

impl LimitLedger {
    /// Follows the assigned nodes while most of them stay in sight.
    fn watch(&mut self, view: &KeeperView<'_>, now: time::Instant) {
        let seen = self
            .roster
            .iter()
            .filter(|host| view.alive.binary_search(host).is_ok())
            .count();
        // Half is enough, so that one of two nodes serves on alone.
        if seen * 2 >= self.roster.len() {
            self.roster = view.assigned.to_vec();
            self.separated = None;
            return;
        }
        let since = *self.separated.get_or_insert(now);
        if now.duration_since(since) >= SEPARATION_HOLD {
            self.roster = view.assigned.to_vec();
            self.separated = None;
        }
    }

    /// Drops loans that ran out and nodes that are gone.
    fn forget(&mut self, view: &KeeperView<'_>, now: time::Instant) {
        self.accounts.retain_mut(|account| {
            // A node that lives but is silent may be asking another keeper:
            // its share stays with it.
            let silence = now.duration_since(account.heard);
            let silent = silence > DEMAND_LIFE;
            let alive = silence < STRAY_HOLD && view.alive.binary_search(&account.host).is_ok();
            let latest = account.loans.last().copied();
            account.loans.retain(|loan| loan.expires > now);
            if account.loans.is_empty() && alive && silent {
                account.loans.extend(latest);
            }
            !account.loans.is_empty() || !silent
        });
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.accounts
            .binary_search_by(|account| account.host.as_str().cmp(host))
    }

    fn note(&mut self, from: &str, entry: &limit::DemandEntry, now: time::Instant) {
        let place = self.find(from).unwrap_or_else(|place| {
            let account = HolderAccount {
                host: from.to_owned(),
                wanted: entry.wanted,
                heard: now,
                loans: Vec::new(),
            };
            self.accounts.insert(place, account);
            place
        });
        let account = &mut self.accounts[place];
        account.wanted = entry.wanted;
        account.heard = now;
        // The node never returns to a share older than the one it applied.
        account.loans.retain(|loan| loan.number >= entry.applied);
    }

    /// Returns the share for a node: what is fair, within what is free.
    fn share(
        &self,
        from: &str,
        entry: &limit::DemandEntry,
        view: &KeeperView<'_>,
        now: time::Instant,
    ) -> limit::ShareRate {
        if self.separated.is_some() {
            return limit::ShareRate::default();
        }
        let pool = limit::pool_of(view.limit, view.assigned.len());
        let others = self
            .accounts
            .iter()
            .filter(|account| account.host != from)
            .map(|account| account.lent(now))
            .fold(limit::ShareRate::default(), |sum, rate| {
                sum.zip(rate, |sum, rate| sum + rate)
            });
        let free = pool.zip(others, u64::saturating_sub);
        let fair = self.fair(entry.wanted, pool);
        let share = fair.zip(free, u64::min);
        match now.duration_since(self.began) < TAKEOVER {
            true => share.zip(entry.held, u64::min),
            false => share,
        }
    }

    /// Returns a node's part of the pool by its demand.
    fn fair(&self, wanted: limit::ShareRate, pool: limit::ShareRate) -> limit::ShareRate {
        let total = self
            .accounts
            .iter()
            .map(|account| account.wanted)
            .fold(limit::ShareRate::default(), |sum, rate| {
                sum.zip(rate, |sum, rate| sum + rate)
            });
        let holders = self.accounts.len().max(1) as u64;
        limit::ShareRate {
            requests: fair_part(wanted.requests, total.requests, pool.requests, holders),
            tokens: fair_part(wanted.tokens, total.tokens, pool.tokens, holders),
        }
    }

    fn lend(&mut self, from: &str, number: u64, rate: limit::ShareRate, now: time::Instant) {
        if let Ok(place) = self.find(from) {
            self.accounts[place].loans.push(ShareLoan {
                number,
                rate,
                expires: now + limit::SHARE_LEASE,
            });
        }
    }
}

impl HolderAccount {
    /// Returns the most that the node may be using.
    fn lent(&self, now: time::Instant) -> limit::ShareRate {
        let silent = now.duration_since(self.heard) > DEMAND_LIFE;
        self.loans
            .iter()
            .filter(|loan| silent || loan.expires > now)
            .fold(limit::ShareRate::default(), |most, loan| {
                most.zip(loan.rate, u64::max)
            })
    }
}

/// Returns the part of `pool` for a node that wants `wanted` of `total`.
fn fair_part(wanted: u64, total: u64, pool: u64, holders: u64) -> u64 {
    if total <= pool {
        // What nobody wants is spread evenly, so that a burst finds room.
        return wanted + (pool - total) / holders;
    }
    match wanted {
        0 => 0,
        _ => (u128::from(pool) * u128::from(wanted) / u128::from(total)).max(1) as u64,
    }
}
