//! Decision whether a request is sent now, waits for room or is refused.
//!
//! Each node decides for its own requests, from sums over all nodes that are late by
//! a few reports. Two rules keep these decisions together within the room: a rank
//! leaves a reserve to the ranks above it, and a node takes at most its part of what
//! is left to the rank.

use std::time as std_time;

use crate::gateway::demand;

/// Standard deviations of the arrivals that a reserve covers beyond their mean.
const RESERVE_DEVIATIONS: f64 = 3.0;

/// Part of a rank's share of all arrivals that it keeps of the room under any demand of
/// higher ranks, so that none is locked out.
const FLOOR_SHARE: f64 = 0.25;

/// Standard deviations of the own arrivals for which room must be left for a request to
/// be sent without regard to the part of the node.
const SEND_DEVIATIONS: f64 = 1.0;

/// Longest time that a forecast states; what is further ahead depends on requests
/// that have not arrived yet.
const FORECAST_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Requests of one rank for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankCount {
    /// The rank.
    pub rank: demand::RequestRank,
    /// Waiting requests of this node.
    pub own_waiting: f64,
    /// Waiting requests of all nodes.
    pub waiting: f64,
    /// Requests that arrive at all nodes in a second.
    pub arrivals: f64,
    /// Requests that this node sent within the horizon.
    pub recent: f64,
}

impl RankCount {
    /// Adds what the other nodes tell to the count of this node.
    pub fn with_others(self, others: &demand::RankDemand) -> Self {
        Self {
            waiting: self.waiting + f64::from(others.waiting),
            arrivals: self.arrivals + f64::from(others.arrivals_per_second),
            ..self
        }
    }

    /// Adds a request that has just arrived at this node.
    pub fn with_arriving(self) -> Self {
        Self {
            own_waiting: self.own_waiting + 1.0,
            waiting: self.waiting + 1.0,
            ..self
        }
    }
}

/// Demand and room of one service as one node sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IntakeView {
    /// Requests of mean size that still fit, after this node's own sends.
    pub free: f64,
    /// Running requests that end in a second, on all nodes.
    pub ends: f64,
    /// Time until a send shows up in the sums of the other nodes.
    pub horizon: std_time::Duration,
    /// Demand by rank, sorted by rank.
    pub ranks: Vec<RankCount>,
}

/// The request that is decided on. It counts among the waiting ones of its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IntakeQuery {
    /// Its rank.
    pub rank: demand::RequestRank,
    /// Requests of its rank that wait at this node and come before it.
    pub own_before: f64,
    /// Requests of its rank that wait at any node and come before it.
    pub before: f64,
    /// Longest time that it may wait.
    pub patience: std_time::Duration,
    /// Random number from 0 to 1 that rounds the node's part of the room. It stays
    /// the same within a horizon, so that repeated decisions do not add up.
    pub draw: f64,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntakeVerdict {
    /// It is sent now.
    Send,
    /// It waits; room is expected after this time.
    Wait(std_time::Duration),
    /// It is refused; room is expected after this time.
    Refuse(std_time::Duration),
}

impl IntakeView {
    /// Returns the demand of a rank.
    pub fn rank(&self, rank: demand::RequestRank) -> RankCount {
        let found = self.ranks.binary_search_by_key(&rank, |count| count.rank);
        found.map_or_else(
            |_| RankCount {
                rank,
                ..RankCount::default()
            },
            |index| self.ranks[index],
        )
    }

    /// Returns the room that a rank leaves to the ranks above it: what waits there,
    /// and what may arrive before a send of this rank shows up in their sums.
    pub fn reserve(&self, rank: demand::RequestRank) -> f64 {
        let (waiting, arrivals) = self.above(rank);
        waiting + self.expected(arrivals)
    }

    /// Returns how many requests may come within the horizon.
    fn expected(&self, arrivals: f64) -> f64 {
        let mean = arrivals * self.horizon.as_secs_f64();
        mean + RESERVE_DEVIATIONS * mean.sqrt()
    }

    /// Returns the waiting requests and the arrivals of the ranks above one.
    fn above(&self, rank: demand::RequestRank) -> (f64, f64) {
        let above = self.ranks.iter().take_while(|count| count.rank < rank);
        above.fold((0.0, 0.0), |(waiting, arrivals), count| {
            (waiting + count.waiting, arrivals + count.arrivals)
        })
    }

    /// Returns the room for a rank within the horizon, with what ends meanwhile. The
    /// ranks above it leave it a part, however much they demand.
    fn available(&self, rank: demand::RequestRank) -> f64 {
        let ending = self.ends * self.horizon.as_secs_f64();
        let room = self.free + ending;
        (room - self.reserve(rank)).max(self.floor(rank) * room)
    }

    /// Returns the part of the room that a rank has in any case.
    fn floor(&self, rank: demand::RequestRank) -> f64 {
        let arrivals: f64 = self.ranks.iter().map(|count| count.arrivals).sum();
        match arrivals > 0.0 {
            true => FLOOR_SHARE * self.rank(rank).arrivals / arrivals,
            false => 0.0,
        }
    }

    /// Returns when room appears for a request of a rank behind `before` others of
    /// its rank.
    pub fn forecast(&self, rank: demand::RequestRank, before: f64) -> std_time::Duration {
        let (waiting, arrivals) = self.above(rank);
        let missing = waiting + before + 1.0 - self.free;
        let rate = (self.ends - arrivals).max(self.floor(rank) * self.ends);
        match missing > 0.0 {
            true if rate > 0.0 => {
                let limit = FORECAST_LIMIT.as_secs_f64();
                std_time::Duration::from_secs_f64((missing / rate).min(limit))
            }
            true => FORECAST_LIMIT,
            false => std_time::Duration::ZERO,
        }
    }

    /// Decides what happens to a request now.
    pub fn decide(&self, query: &IntakeQuery) -> IntakeVerdict {
        if self.may_send(query) {
            return IntakeVerdict::Send;
        }
        let forecast = self.forecast(query.rank, query.before);
        match forecast > query.patience {
            true => IntakeVerdict::Refuse(forecast),
            false => IntakeVerdict::Wait(forecast),
        }
    }

    fn may_send(&self, query: &IntakeQuery) -> bool {
        let count = self.rank(query.rank);
        let available = self.available(query.rank);
        let waiting = count.waiting.max(1.0);
        // Requests that arrive at other nodes meanwhile compete for the same room.
        let arriving = count.arrivals * self.horizon.as_secs_f64();
        let competing = waiting + arriving;
        if self.free >= 1.0 && available >= competing + SEND_DEVIATIONS * arriving.sqrt() {
            return true;
        }
        let part = count.own_waiting.max(1.0) / competing.max(count.own_waiting);
        let allowed = part * (available + count.recent) - count.recent - query.own_before;
        allowed > 0.0 && allowed + query.draw >= 1.0
    }
}
