//! Bounds how many upstreams a request can crash, by means of permits.
//!
//! A request that was not answered recently runs only under a permit for its
//! fingerprint. The fleet has two permits per fingerprint, issued by two
//! nodes. If an upstream crashes during a run, the run's permit is revoked
//! and not issued again until the request is answered or [`REVOKED_TTL`] has
//! passed. Until then a request, including all its resends, crashes at most
//! two upstreams, no matter which nodes run it and which messages are lost.
//!
//! If a run produced new tokens before its upstream died, the crash is exempt
//! and revokes no permit. This applies at most twice per request and lets
//! streams survive the loss of a host. It raises the bound to three upstreams
//! for a request that always crashes them at the same later token, and to six
//! for a request that crashes them at arbitrary tokens.
//!
//! A suspect is a request during whose runs an upstream crashed.

pub mod claim;
pub mod isolation;
pub mod ledger;
pub mod permit;
pub mod tracker;

use std::time as std_time;

use serde::{Deserialize, Serialize};

use crate::id;

/// Permits per fingerprint in the fleet; bounds the upstreams that a request
/// can crash, not counting exempt crashes.
pub const PERMITS_PER_REQUEST: usize = 2;

/// Maximum number of exemptions of one request, each for a crash after new
/// tokens.
pub const EXEMPTION_LIMIT: u8 = 2;

/// Time for which a revoked permit is remembered after it was last recorded.
pub const REVOKED_TTL: std_time::Duration = std_time::Duration::from_secs(3_600);

/// Time for which an answered request runs without a permit.
pub const ANSWERED_TTL: std_time::Duration = std_time::Duration::from_secs(600);

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of the content of a request, which its resends share, or of a part of
/// the prompt, see [`part_fingerprint`].
pub type RequestFingerprint = [u8; FINGERPRINT_BYTES];

/// Last bytes of the fingerprint of a part of a prompt.
const PART_SUFFIX: [u8; FINGERPRINT_BYTES / 2] = [0xff; FINGERPRINT_BYTES / 2];

/// Number of a run, unique within its node.
pub type RunNumber = u64;

/// Identifies a crash by the upstream process that died.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Upstream that crashed; for a lost run, the node that ran it.
    pub upstream: id::UpstreamName,
    /// Incarnation that died; the run's number if it is unknown.
    pub incarnation: id::IncarnationNumber,
}

/// A permit that was revoked because of a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RevokedPermit {
    /// Node that issued the permit; empty if the run needed none.
    pub issuer: id::HostName,
    /// Crash that revoked the permit.
    pub crash: CrashId,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The answer is complete.
    Answered,
    /// The answer is incomplete, but no upstream died during the run. Also
    /// returns a permit that the run does not use.
    NoCrash,
    /// An upstream died during the run.
    Crashed(CrashId),
}

/// Reply of an issuer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The run may start.
    Granted,
    /// Every permit that this node may issue is held by another run.
    Busy,
    /// This node may not issue a permit for the request.
    NoPermit,
    /// Every permit is revoked.
    Quarantined,
}

/// Message between nodes about permits and the isolation of suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// To an issuer: claims a permit for a run.
    Claim(PermitClaim),
    /// From an issuer: reply to a claim.
    Decision {
        /// Run that claimed the permit.
        run: RunNumber,
        /// Decision on the claim.
        decision: PermitDecision,
        /// Revoked permits of the request that the issuer knows of.
        revoked: Vec<RevokedPermit>,
        /// Issuers of the request according to the sender's member list; empty
        /// if the permit is granted.
        issuers: Vec<id::HostName>,
    },
    /// To an issuer: a run ended.
    End {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Run that ended.
        run: RunNumber,
        /// How the run ended.
        end: RunEnd,
    },
    /// To the nodes of an organisation: a permit was revoked.
    Revoked {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Organisation that sent it.
        organisation: id::OrganisationName,
        /// Run that ended, repeated in the acknowledgement; 0 if the sender
        /// expects none.
        run: RunNumber,
        /// The revoked permit.
        permit: RevokedPermit,
    },
    /// Acknowledges [`Self::End`]; the sender stops resending it.
    EndAck(RunNumber),
    /// Acknowledges [`Self::Revoked`]; the sender stops resending it.
    RevokedAck(RunNumber),
    /// To the nodes of an organisation: the upstream did not crash.
    CrashRetracted {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Crash that was recorded by mistake.
        crash: CrashId,
    },
    /// To the node that isolates suspects.
    IsolationRequest(isolation::IsolationRequest),
    /// From the node that isolates suspects.
    IsolationReply(isolation::IsolationReply),
}

/// Claims a permit for a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitClaim {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Organisation that sent the request.
    pub organisation: id::OrganisationName,
    /// Run that needs the permit.
    pub run: RunNumber,
    /// Maximum duration of the run.
    pub time_limit: std_time::Duration,
    /// Revoked permits of the request that the claiming node knows of.
    pub revoked: Vec<RevokedPermit>,
    /// Crashes of the request that do not count.
    pub exemption: Option<CrashExemption>,
}

/// Crashes that do not count, because the answer got past the tokens at which
/// they happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashExemption {
    /// Ordinal of the exemption of this request, from 1 to [`EXEMPTION_LIMIT`].
    pub ordinal: u8,
    /// Exempt crashes, including those of earlier exemptions.
    pub crashes: Vec<CrashId>,
}

/// Returns the fingerprint of an organisation's request to a model or service.
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

/// Returns the fingerprint of a part of a prompt, which all requests with this part
/// share.
pub fn part_fingerprint(part: &str) -> RequestFingerprint {
    let mut fingerprint = fingerprint("", part, &[]);
    fingerprint[FINGERPRINT_BYTES - PART_SUFFIX.len()..].copy_from_slice(&PART_SUFFIX);
    fingerprint
}

/// Returns whether a fingerprint is that of a part of a prompt.
pub fn is_part(fingerprint: &RequestFingerprint) -> bool {
    fingerprint.ends_with(&PART_SUFFIX)
}

/// Returns a fingerprint in hexadecimal, for logs and keys.
pub fn fingerprint_text(fingerprint: &RequestFingerprint) -> String {
    format!("{:032x}", u128::from_be_bytes(*fingerprint))
}

/// Returns the nodes that issue the permits of a fingerprint, in ranked order.
///
/// A single node issues both permits. Without any node the names are empty.
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
