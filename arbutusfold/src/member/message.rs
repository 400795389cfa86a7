//! Messages of the membership protocol.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::probe;

/// Revision of a member record within one incarnation.
pub type RecordRevision = u32;

/// Phase of a node, which decides whether its address is given to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberPhase {
    /// The node has no configuration or no upstream state yet.
    Joining,
    /// The node's address may be given to callers.
    Serving,
    /// The node serves only callers that already have its address.
    Leaving,
}

/// State of a node that it publishes to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub name: id::HostName,
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Revision of the record; it grows with each change and each refutation.
    pub revision: RecordRevision,
    /// Region of the host.
    pub region: id::RegionName,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Address on which it serves callers.
    pub callers: net::SocketAddr,
    /// Address on which it receives messages of peers.
    pub peers: net::SocketAddr,
    /// Version of the configuration in force on the node, by its last message.
    pub version: id::DocumentVersion,
    /// Phase of the node.
    pub phase: MemberPhase,
}

impl MemberRecord {
    /// Returns the version of the record, which orders the records of one host.
    pub fn record_version(&self) -> RecordVersion {
        RecordVersion {
            incarnation: self.incarnation,
            revision: self.revision,
        }
    }
}

/// Version of a record; the records of one host compare oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Revision of the record within that incarnation.
    pub revision: RecordRevision,
}

/// A node of another region, as listed in the summary of that region.
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
    /// Address on which it receives messages of peers.
    pub peers: net::SocketAddr,
}

/// Summary of a region that its relays send to other regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Name of the region.
    pub region: id::RegionName,
    /// Number of nodes alive.
    pub alive: u32,
    /// A few serving nodes, spread over the failure domains.
    pub contacts: Vec<RegionContact>,
    /// Failure domains with a node alive.
    pub domains: Vec<id::DomainName>,
}

/// Report of a relay to its own region about another region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionReport {
    /// Host that received the summary.
    pub relay: id::HostName,
    /// Incarnation of that host and revision of its report.
    pub version: RecordVersion,
    /// Last summary received.
    pub summary: RegionSummary,
    /// Whether the relay recently received a message from the region.
    pub reachable: bool,
}

/// A membership update, spread by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberUpdate {
    /// A node is alive with this record.
    Alive(MemberRecord),
    /// A node does not answer probes.
    Suspect {
        /// Name of the host.
        name: id::HostName,
        /// Version of the record under which it is suspected.
        record_version: RecordVersion,
    },
    /// A node is dead or has left.
    Dead {
        /// Name of the host.
        name: id::HostName,
        /// Version of the record under which it died or left.
        record_version: RecordVersion,
    },
    /// A report about another region.
    Region(RegionReport),
}

impl MemberUpdate {
    /// Returns the key under which a newer update replaces this one.
    pub(crate) fn key(&self) -> String {
        match self {
            MemberUpdate::Alive(record) => record.name.clone(),
            MemberUpdate::Suspect { name, .. } | MemberUpdate::Dead { name, .. } => name.clone(),
            MemberUpdate::Region(report) => format!("{}\0{}", report.summary.region, report.relay),
        }
    }
}

/// Request or reply that a membership message carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Direct probe; the receiver replies with [`MessageBody::Ack`].
    Probe {
        /// Nonce of the probe.
        nonce: probe::ProbeNonce,
    },
    /// Reply to a probe, direct or relayed.
    Ack {
        /// Nonce of the probe.
        nonce: probe::ProbeNonce,
    },
    /// Request to probe another node on behalf of the sender.
    IndirectProbe {
        /// Nonce of the sender's probe.
        nonce: probe::ProbeNonce,
        /// Host to probe.
        target: id::HostName,
        /// Address on which it receives messages of peers.
        address: net::SocketAddr,
        /// Incarnation of its process.
        incarnation: id::IncarnationNumber,
    },
    /// The node that was probed on behalf of the receiver did not answer.
    Nack {
        /// Nonce of the receiver's probe.
        nonce: probe::ProbeNonce,
    },
    /// No request; the message only carries updates.
    Gossip,
    /// Request to add the sender as a member and to reply with the full state. A
    /// node of another region replies with a summary of its region.
    Join(MemberRecord),
    /// The updates hold the full state of the sender.
    Sync {
        /// Whether the receiver should reply with its own full state.
        reply_wanted: bool,
    },
    /// Comparison of state digests; the receiver replies with its full state if
    /// its own digest differs.
    Compare {
        /// Digest of the records of the live members.
        digest: u64,
    },
    /// The sender does not know the receiver and asks it to join.
    RequestJoin,
    /// A summary of the sender's region.
    Region(RegionSummary),
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMessage {
    /// Address on which the sender receives messages of peers.
    pub from: net::SocketAddr,
    /// Version of the sender's own record.
    pub record_version: RecordVersion,
    /// Version of the configuration in force at the sender.
    pub config_version: id::DocumentVersion,
    /// Request or reply.
    pub body: MessageBody,
    /// Updates that are piggybacked on the message.
    pub updates: Vec<MemberUpdate>,
}
