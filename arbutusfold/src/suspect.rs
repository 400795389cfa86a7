//! Requests that crash upstreams: permits bound how many one request can crash.
//!
//! A request that has not been answered before runs only under a permit for
//! its fingerprint. Two permits exist in the fleet, kept by two nodes; a
//! crash burns the permit of the run for good. So one request with all its
//! resends crashes at most two upstreams, whichever nodes run it and whatever
//! messages are lost.
//!
//! A run that gave new tokens before its upstream died is pardoned twice, so
//! that streams outlive hosts: three is the bound of a request that crashes
//! its upstreams at one later token, six of one that does so at any places.

pub mod claim;
pub mod isolation;
pub mod permit;
pub mod tracker;

use std::time as std_time;

use serde::{Deserialize, Serialize};

use crate::id;

/// Permits for one fingerprint in the fleet: the most upstreams it can crash.
pub const PERMITS_PER_REQUEST: usize = 2;

/// Pardons of one request: crashes after new tokens that do not count.
pub const EXEMPTION_LIMIT: u8 = 2;

/// Time for which a burnt permit is remembered after its last use.
pub const REVOKED_TTL: std_time::Duration = std_time::Duration::from_secs(3_600);

/// Time for which a request that was answered needs no permit.
pub const ANSWERED_TTL: std_time::Duration = std_time::Duration::from_secs(600);

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of what a request asks, the same for each of its resends.
pub type RequestFingerprint = [u8; FINGERPRINT_BYTES];

/// Number of a run inside its node.
pub type RunNumber = u64;

/// An upstream's process that died.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Upstream.
    pub upstream: id::UpstreamName,
    /// Incarnation that died.
    pub incarnation: id::IncarnationNumber,
}

/// A permit that a crash used up.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RevokedPermit {
    /// Node that kept the permit; empty for a run that needed none.
    pub issuer: id::HostName,
    /// What the run crashed.
    pub crash: CrashId,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// Its answer is complete.
    Answered,
    /// It ended otherwise, and no upstream died under it.
    NoCrash,
    /// An upstream died under it.
    Crashed(CrashId),
}

/// A keeper's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The run may start.
    Granted,
    /// Another run holds the permit.
    Busy,
    /// This node has no permit to give for the request.
    NoPermit,
    /// Every permit is burnt.
    Quarantined,
}

/// Message between nodes about permits and suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// To a keeper: a run asks for a permit.
    Claim(PermitClaim),
    /// From a keeper.
    Decision {
        /// Run that asked.
        run: RunNumber,
        /// Answer.
        decision: PermitDecision,
        /// Burnt permits that the keeper knows of.
        revoked: Vec<RevokedPermit>,
        /// Keepers of the request by the keeper's view of the members, unless
        /// it granted one.
        issuers: Vec<id::HostName>,
    },
    /// To a keeper: a run ended.
    End {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Run that ended.
        run: RunNumber,
        /// How.
        end: RunEnd,
    },
    /// To the nodes of an organisation: a permit was burnt.
    Revoked {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Organisation that sent it.
        organisation: id::OrganisationName,
        /// Run that ended, for the answer; 0 when none is awaited.
        run: RunNumber,
        /// The permit.
        permit: RevokedPermit,
    },
    /// Answer to an end, which need not be sent again.
    EndAck(RunNumber),
    /// Answer to a burnt permit, which need not be sent again.
    RevokedAck(RunNumber),
    /// To the nodes of an organisation: the upstream had not died after all.
    CrashRetracted {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// What was thought to have died.
        crash: CrashId,
    },
    /// To the node that isolates suspects.
    IsolationRequest(isolation::IsolationRequest),
    /// From the node that isolates suspects.
    IsolationReply(isolation::IsolationReply),
}

/// A run that asks for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitClaim {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Organisation that sent the request.
    pub organisation: id::OrganisationName,
    /// Run that asks.
    pub run: RunNumber,
    /// Longest time that the run can last.
    pub time_limit: std_time::Duration,
    /// Burnt permits that the asking node knows of.
    pub revoked: Vec<RevokedPermit>,
    /// Crashes that no longer count.
    pub exemption: Option<CrashExemption>,
}

/// Crashes that no longer count, since the answer got past their places.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashExemption {
    /// Ordinal of the exemption of this request, from 1 to [`EXEMPTION_LIMIT`].
    pub ordinal: u8,
    /// The crashes.
    pub crashes: Vec<CrashId>,
}

/// Returns the fingerprint of a request to a model or service.
pub fn fingerprint(organisation: &str, target: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [organisation.as_bytes(), target.as_bytes()] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    let mut fingerprint = RequestFingerprint::default();
    hasher.finalize_xof().fill(&mut fingerprint);
    fingerprint
}

/// Returns the nodes that keep the permits of a fingerprint, first one first.
///
/// A lone node keeps both.
pub fn issuers(
    fingerprint: &RequestFingerprint,
    assigned: &[id::HostName],
) -> [id::HostName; PERMITS_PER_REQUEST] {
    let mut ranked: Vec<_> = assigned
        .iter()
        .map(|host| (rank(fingerprint, host), host))
        .collect();
    ranked.sort_unstable();
    let issuer = |index: usize| {
        ranked
            .get(index)
            .or(ranked.first())
            .map_or_else(id::HostName::new, |(_, host)| (*host).clone())
    };
    [issuer(0), issuer(1)]
}

fn rank(fingerprint: &RequestFingerprint, host: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(fingerprint);
    hasher.update(host.as_bytes());
    *hasher.finalize().as_bytes()
}
