//! Distributed rate limits of organisations over the whole fleet.
//!
//! The first node that an organisation is assigned to allocates the
//! organisation's limit. Nodes report their demand to it, and it grants each
//! node a share of the limit for the time of a lease. The granted shares never
//! add up to more than the limit.

pub mod allocator;
pub mod holder;
pub mod issuer;
pub mod pacer;

use std::time as std_time;

use serde::{Deserialize, Serialize};

use crate::document;
use crate::id;

/// Interval between two demand reports.
pub const DEMAND_PERIOD: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Time for which a share is granted.
pub const SHARE_LEASE: std_time::Duration = std_time::Duration::from_millis(4_000);

/// Part of a limit that its nodes may use without a grant, split evenly, in percent.
pub const FLOOR_PERCENT: u64 = 10;

/// Rate of requests and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRate {
    /// Requests per second.
    pub requests: u64,
    /// Generated tokens per second.
    pub tokens: u64,
}

/// Demand of a node for a share of one organisation's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Organisation.
    pub organisation: id::OrganisationName,
    /// Rate that callers request from the node.
    pub wanted: ShareRate,
    /// Granted share that the node holds, and stops using once its lease expires.
    pub held: ShareRate,
    /// Number of the report that the held share was granted for; 0 for none.
    pub applied: u64,
    /// Whether the node releases its share.
    pub released: bool,
}

/// Demand of a node for the limits that one allocator allocates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Number of the report; increases with each report.
    pub number: u64,
    /// Entries, one per organisation.
    pub entries: Vec<DemandEntry>,
}

/// A granted share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// Organisation.
    pub organisation: id::OrganisationName,
    /// Granted rate.
    pub rate: ShareRate,
}

/// Answer of an allocator to a demand report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// Number of the report that this answers.
    pub number: u64,
    /// Shares, one per organisation.
    pub entries: Vec<GrantEntry>,
}

/// Message between a node and an allocator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// Sent to the allocator.
    Demand(DemandReport),
    /// Sent by the allocator.
    Grant(GrantReport),
}

impl ShareRate {
    /// Returns the limit of an organisation; 0 means unlimited.
    pub fn from_spec(spec: &document::OrganisationSpec) -> Self {
        Self {
            requests: spec.requests_per_second,
            tokens: spec.tokens_per_second,
        }
    }

    /// Returns whether neither requests nor tokens are limited.
    pub fn is_unlimited(self) -> bool {
        self == Self::default()
    }

    /// Combines the fields of two rates.
    pub fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: combine(self.requests, other.requests),
            tokens: combine(self.tokens, other.tokens),
        }
    }

    /// Applies a function to both fields.
    pub fn map(self, change: impl Fn(u64) -> u64) -> Self {
        Self {
            requests: change(self.requests),
            tokens: change(self.tokens),
        }
    }
}

/// Returns the part of a limit that each of `nodes` nodes may use without a grant.
pub fn floor_of(limit: ShareRate, nodes: usize) -> ShareRate {
    match nodes as u64 {
        0 => ShareRate::default(),
        nodes => limit.map(|rate| rate * FLOOR_PERCENT / 100 / nodes),
    }
}

/// Returns the part of a limit that its allocator can grant.
pub fn pool_of(limit: ShareRate, nodes: usize) -> ShareRate {
    let floors = floor_of(limit, nodes).map(|rate| rate * nodes as u64);
    limit.zip(floors, u64::saturating_sub)
}
