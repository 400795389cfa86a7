//! Demand for scarce room: what this node asks for and holds, and the sums of all
//! nodes as far as its leader has reported them.
//!
//! The own part is exact. The part of the other nodes is late by two report
//! periods, and empty without a leader: every decision then rests on the own part.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::gateway::leader;
use crate::id;

/// Hash of a service's name that identifies it in messages between nodes.
pub type ServiceKey = u32;

/// Hash of an organisation's name that identifies it in messages between nodes.
pub type OrganisationKey = u32;

/// Hash of a failure domain's name that identifies it in messages between nodes.
pub type DomainKey = u32;

/// Rank of a request; 0 is the highest.
pub type RequestRank = u8;

/// Demand of one rank for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankDemand {
    /// The service.
    pub service: ServiceKey,
    /// The rank.
    pub rank: RequestRank,
    /// Requests that wait for room.
    pub waiting: u32,
    /// Requests that arrived in a second, as a moving average.
    pub arrivals_per_second: f32,
}

/// What one organisation holds of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// The service.
    pub service: ServiceKey,
    /// The organisation.
    pub organisation: OrganisationKey,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait for room.
    pub waiting: u32,
}

/// Prompt tokens that requests in flight have sent to a runner and that it has not
/// read yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptBacklog {
    /// The runner.
    pub runner: leader::RunnerKey,
    /// Tokens, each multiplied by the number of layers that read it there.
    pub token_layers: u64,
}

/// Traffic from one failure domain to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinkUse {
    /// The domain that sends.
    pub from: DomainKey,
    /// The domain that receives.
    pub to: DomainKey,
    /// Bytes in a second, as a moving average.
    pub bytes_per_second: f32,
}

/// A runner whose process does not exist or does not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRunner {
    /// The runner.
    pub runner: leader::RunnerKey,
    /// Start of the process that failed, in milliseconds since the Unix epoch.
    pub incarnation: id::IncarnationNumber,
    /// Milliseconds since a node last saw it fail.
    pub age_ms: u32,
}

/// Demand summed over a node, a failure domain or the fleet. Lists are sorted by
/// their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandSummary {
    /// Demand by service and rank.
    pub ranks: Vec<RankDemand>,
    /// Use by service and organisation.
    pub organisations: Vec<OrganisationUse>,
    /// Prompts to be read, by runner.
    pub prompts: Vec<PromptBacklog>,
    /// Traffic between failure domains.
    pub links: Vec<LinkUse>,
    /// Runners that failed, by runner.
    pub failed: Vec<FailedRunner>,
}

/// Returns the key of a name in messages between nodes.
pub fn name_key(name: &str) -> u32 {
    leader::runner_key(name)
}

/// A received value with its age at the time of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgedValue<T> {
    /// The value.
    pub value: T,
    /// Time since the facts behind it were true.
    pub age: std_time::Duration,
}

/// The demand of this node and, as far as its leader has told, of all others.
#[derive(Clone, Debug, Default)]
pub struct DemandView {
    /// Facts of this node.
    own: DemandSummary,
}

impl DemandView {
    /// Returns the facts of this node.
    pub fn own(&self) -> &DemandSummary {
        &self.own
    }

    /// Replaces the demand of this node by rank; called by admission.
    pub fn set_ranks(&mut self, ranks: Vec<RankDemand>) {
        self.own.ranks = ranks;
    }

    /// Replaces the use of this node by organisation; called by admission.
    pub fn set_organisations(&mut self, organisations: Vec<OrganisationUse>) {
        self.own.organisations = organisations;
    }

    /// Replaces the prompts that this node's requests still have to be read.
    pub fn set_prompts(&mut self, prompts: Vec<PromptBacklog>) {
        self.own.prompts = prompts;
    }

    /// Replaces the traffic of this node's requests between failure domains.
    pub fn set_links(&mut self, links: Vec<LinkUse>) {
        self.own.links = links;
    }

    /// Records that this node saw a runner's process fail; returns whether that is
    /// news to be told at once.
    pub fn note_failed(
        &mut self,
        runner: leader::RunnerKey,
        incarnation: id::IncarnationNumber,
    ) -> bool {
        let place = self
            .own
            .failed
            .binary_search_by_key(&runner, |failed| failed.runner);
        let failed = FailedRunner {
            runner,
            incarnation,
            age_ms: 0,
        };
        match place {
            Ok(index) => {
                let is_new = self.own.failed[index].incarnation != incarnation;
                self.own.failed[index] = failed;
                is_new
            }
            Err(index) => {
                self.own.failed.insert(index, failed);
                true
            }
        }
    }

    /// Returns the demand of all other nodes, or `None` without a summary that is
    /// recent enough.
    pub fn others(&self, _now: time::Instant) -> Option<AgedValue<&DemandSummary>> {
        None
    }
}
