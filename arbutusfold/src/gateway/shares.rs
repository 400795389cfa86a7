//! Fair shares of organisations in scarce room.
//!
//! A share is the max-min fair part of the room: an organisation that asks for less
//! than an even part gets what it asks for, and the others divide the rest evenly.

use crate::gateway::demand;

/// Returns the largest amount that one of `demands` may hold so that all together
/// stay within `capacity`, or infinity if all of them fit.
pub fn fair_level(capacity: f64, demands: &[f64]) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    for (index, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *demand > level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}

/// Shares of the organisations that hold or wait for room of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationShares {
    /// Most requests in flight of an organisation within its share.
    level: f64,
    /// Requests in flight, sorted by organisation.
    in_flight: Vec<(demand::OrganisationKey, f64)>,
    /// Waiting requests of the organisations within their share.
    waiting_within: f64,
}

impl OrganisationShares {
    /// Computes the shares in room for `capacity` requests; `uses` may name an
    /// organisation several times.
    pub fn new(capacity: f64, uses: &[demand::OrganisationUse]) -> Self {
        let mut sums: Vec<_> = uses
            .iter()
            .map(|held| {
                let (in_flight, waiting) = (f64::from(held.in_flight), f64::from(held.waiting));
                (held.organisation, in_flight, waiting)
            })
            .collect();
        sums.sort_unstable_by_key(|(organisation, ..)| *organisation);
        sums.dedup_by(|next, sum| {
            let is_same = next.0 == sum.0;
            if is_same {
                sum.1 += next.1;
                sum.2 += next.2;
            }
            is_same
        });
        let demands: Vec<_> = sums
            .iter()
            .map(|(_, held, waiting)| held + waiting)
            .collect();
        let level = match sums.len() {
            // One organisation competes with nobody.
            0 | 1 => f64::INFINITY,
            _ => fair_level(capacity, &demands),
        };
        let within = sums.iter().filter(|(_, held, _)| *held < level);
        Self {
            level,
            waiting_within: within.map(|(.., waiting)| waiting).sum(),
            in_flight: sums.iter().map(|(key, held, _)| (*key, *held)).collect(),
        }
    }

    /// Returns whether an organisation holds its share or more.
    pub fn is_above(&self, organisation: demand::OrganisationKey) -> bool {
        let found = self
            .in_flight
            .binary_search_by_key(&organisation, |(key, _)| *key);
        found.is_ok_and(|index| self.in_flight[index].1 >= self.level)
    }

    /// Returns the waiting requests of the organisations that hold less than their
    /// share.
    pub fn waiting_within(&self) -> f64 {
        self.waiting_within
    }
}
