//! Limits of organisations over the whole fleet, enforced by shares.
//!
//! One node keeps the limit of each organisation: the first node that the
//! organisation is assigned to. Nodes tell it their demand; it lends each a
//! share for a time. The shares lent never add up to more than the limit.

pub mod holder;
pub mod keeper;
pub mod pacer;

use std::time as std_time;

use serde::{Deserialize, Serialize};

use crate::document;
use crate::id;

/// Time between two reports of demand.
pub const DEMAND_PERIOD: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Time for which a share is lent.
pub const SHARE_LEASE: std_time::Duration = std_time::Duration::from_millis(4_000);

/// Part of a limit that its nodes hold without being lent it, in percent.
pub const FLOOR_PERCENT: u64 = 10;

/// Requests and tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRate {
    /// Requests a second.
    pub requests: u64,
    /// Generated tokens a second.
    pub tokens: u64,
}

/// What a node wants of one organisation's limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandEntry {
    /// Organisation.
    pub organisation: id::OrganisationName,
    /// What its callers ask of the node.
    pub wanted: ShareRate,
    /// Share that the node holds and will not use beyond its lease.
    pub held: ShareRate,
    /// Number of the report that the held share answered, 0 for none.
    pub applied: u64,
    /// Whether the node gives its share up.
    pub released: bool,
}

/// What a node wants of the limits that one keeper keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Number of the report, which grows.
    pub number: u64,
    /// Entries, one an organisation.
    pub entries: Vec<DemandEntry>,
}

/// A share lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// Organisation.
    pub organisation: id::OrganisationName,
    /// Share.
    pub rate: ShareRate,
}

/// A keeper's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReport {
    /// Number of the report that is answered.
    pub number: u64,
    /// Shares, one an organisation.
    pub entries: Vec<GrantEntry>,
}

/// Message between a node and a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// To the keeper.
    Demand(DemandReport),
    /// From the keeper.
    Grant(GrantReport),
}

impl ShareRate {
    /// Returns the limit of an organisation; 0 stands for none.
    pub fn of(spec: &document::OrganisationSpec) -> Self {
        Self {
            requests: spec.requests_per_second,
            tokens: spec.tokens_per_second,
        }
    }

    /// Tells whether nothing is limited.
    pub fn is_unlimited(self) -> bool {
        self == Self::default()
    }

    /// Combines two rates part by part.
    pub fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: combine(self.requests, other.requests),
            tokens: combine(self.tokens, other.tokens),
        }
    }

    /// Changes both parts.
    pub fn map(self, change: impl Fn(u64) -> u64) -> Self {
        Self {
            requests: change(self.requests),
            tokens: change(self.tokens),
        }
    }
}

/// Returns the part of a limit that one of `nodes` nodes holds without a loan.
pub fn floor_of(limit: ShareRate, nodes: usize) -> ShareRate {
    match nodes as u64 {
        0 => ShareRate::default(),
        nodes => limit.map(|rate| rate * FLOOR_PERCENT / 100 / nodes),
    }
}

/// Returns the part of a limit that its keeper lends.
pub fn pool_of(limit: ShareRate, nodes: usize) -> ShareRate {
    let floors = floor_of(limit, nodes).map(|rate| rate * nodes as u64);
    limit.zip(floors, u64::saturating_sub)
}
