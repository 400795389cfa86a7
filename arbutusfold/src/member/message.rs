//! What nodes tell each other of membership.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::probe;

/// Number of a record among those of one incarnation.
pub type RecordRevision = u32;

/// Whether a node may be named to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberPhase {
    /// It has no configuration or upstream state yet.
    Joining,
    /// It may be named to callers.
    Serving,
    /// It serves only callers who were given its address before.
    Leaving,
}

/// What a node tells its peers of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub name: id::HostName,
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Number of the record; it grows with each change and each refutation.
    pub revision: RecordRevision,
    /// Region of the host.
    pub region: id::RegionName,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Address on which it serves callers.
    pub callers: net::SocketAddr,
    /// Address on which it hears peers.
    pub peers: net::SocketAddr,
    /// Version of the configuration in force there, when last heard.
    pub version: id::DocumentVersion,
    /// Whether it may be named to callers.
    pub phase: MemberPhase,
}

impl MemberRecord {
    /// Returns what orders the records of one host.
    pub fn age(&self) -> RecordAge {
        RecordAge {
            incarnation: self.incarnation,
            revision: self.revision,
        }
    }
}

/// Orders the records of one host, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordAge {
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Number of the record.
    pub revision: RecordRevision,
}

/// A node of another region, as its region's summary names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionContact {
    /// Name of the host.
    pub name: id::HostName,
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Address on which it serves callers.
    pub callers: net::SocketAddr,
    /// Address on which it hears peers.
    pub peers: net::SocketAddr,
}

/// What one region tells another of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Name of the region.
    pub region: id::RegionName,
    /// Nodes alive.
    pub alive: u32,
    /// A few serving nodes over the failure domains.
    pub contacts: Vec<RegionContact>,
    /// Failure domains with a node alive.
    pub domains: Vec<id::DomainName>,
}

/// What a node that speaks with another region tells its own region of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionWord {
    /// Host that heard the summary.
    pub relay: id::HostName,
    /// Incarnation of that host and number of its word.
    pub age: RecordAge,
    /// Last summary heard.
    pub summary: RegionSummary,
    /// Whether the region was heard of late.
    pub reached: bool,
}

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// A node is alive with this record.
    Alive(MemberRecord),
    /// A node does not answer.
    Suspect {
        /// Name of the host.
        name: id::HostName,
        /// Record that it is suspected under.
        age: RecordAge,
    },
    /// A node is dead or gone.
    Dead {
        /// Name of the host.
        name: id::HostName,
        /// Record that it died under.
        age: RecordAge,
    },
    /// News of another region.
    Region(RegionWord),
}

impl MemberUpdate {
    /// Returns what the update is about, so that a newer one replaces it.
    pub(crate) fn subject(&self) -> String {
        match self {
            MemberUpdate::Alive(record) => record.name.clone(),
            MemberUpdate::Suspect { name, .. } | MemberUpdate::Dead { name, .. } => name.clone(),
            MemberUpdate::Region(word) => format!("{}\0{}", word.summary.region, word.relay),
        }
    }
}

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberAct {
    /// Answer at once.
    Probe {
        /// Number of the probe.
        nonce: probe::ProbeNonce,
    },
    /// A probe was answered.
    Answer {
        /// Number of the probe.
        nonce: probe::ProbeNonce,
    },
    /// Probe another node and tell of its answer.
    ProbeFor {
        /// Number of the sender's probe.
        nonce: probe::ProbeNonce,
        /// Host to probe.
        target: id::HostName,
        /// Where it hears peers.
        address: net::SocketAddr,
        /// Incarnation of its process.
        incarnation: id::IncarnationNumber,
    },
    /// The node that was probed for the receiver is silent.
    Silent {
        /// Number of the receiver's probe.
        nonce: probe::ProbeNonce,
    },
    /// Only the updates matter.
    Gossip,
    /// Take the sender as a member and tell it all.
    Join(MemberRecord),
    /// All that the sender knows is in the updates.
    Sync {
        /// Whether the sender wants the same in return.
        back: bool,
    },
    /// Compare what both know.
    Compare {
        /// Digest over the members alive.
        digest: u64,
    },
    /// The sender does not know the receiver, which should join.
    Meet,
    /// A summary of the sender's region.
    Region(RegionSummary),
}

/// A message about membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Where the sender hears peers.
    pub from: net::SocketAddr,
    /// Record that the sender is under.
    pub age: RecordAge,
    /// Version of the configuration in force at the sender.
    pub version: id::DocumentVersion,
    /// What it asks or answers.
    pub act: MemberAct,
    /// Changes that it carries besides.
    pub updates: Vec<MemberUpdate>,
}
