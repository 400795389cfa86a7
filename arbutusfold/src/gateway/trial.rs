//! Trials of requests that may crash runners.
//!
//! A request under which too many runners died runs only under a permit, so
//! that one run at a time in the fleet shows whether it is the cause. All nodes
//! choose the same node as the issuer of its permits.

use std::sync;
use std::time as std_time;

use tokio::time;

use crate::event;
use crate::gateway::claim;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::suspects;
use crate::id;
use crate::suspect;
use crate::suspect::ledger;

/// Time that a request waits for a permit or for the end of another trial.
pub const CLAIM_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

/// Time from the issue of a permit to the next one for the same request, if the
/// first was not returned. Most runs end within it.
const PERMIT_PERIOD: std_time::Duration = std_time::Duration::from_secs(5);

/// Permits that this node issued, and its own claims.
#[derive(Debug, Default)]
pub struct TrialState {
    issued: Vec<IssuedPermit>,
    /// Claims of this node at other issuers.
    pub claims: claim::PendingClaims<()>,
}

/// Permit that is not issued again before its end, whatever becomes of the node
/// that holds it.
#[derive(Debug)]
struct IssuedPermit {
    fingerprint: suspect::RequestFingerprint,
    ends_at: time::Instant,
    /// Whether the node that holds it has recorded what became of it.
    ended: bool,
}

/// What became of a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitState {
    /// The request was not sent to a runner.
    Unused,
    /// It was sent and may have run.
    Sent,
    /// The runner rejected it and did not run it.
    Rejected,
    /// The runner ran it and did not die.
    Survived,
}

/// Permit for one run of a request. It is returned at its end, unless it may
/// have been used in vain: the next one is not issued before a delay.
pub struct TrialPermit {
    core: sync::Arc<core::GatewayCore>,
    /// Fingerprint of the request, or of the part of its prompt, that is tried.
    pub fingerprint: suspect::RequestFingerprint,
    issuer: id::HostName,
    /// What became of it so far.
    pub state: PermitState,
}

impl TrialPermit {
    /// Records that the request is sent to runners.
    pub fn begin_run(&mut self) {
        self.state = PermitState::Sent;
        let subject = suspect::fingerprint_text(&self.fingerprint);
        let detail = format!("trial begins issuer={}", self.issuer);
        self.core
            .note(event::EventCode::SuspectRecorded, &subject, detail);
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        let is_own = self.issuer == self.core.settings.name;
        let message = match self.state {
            PermitState::Sent | PermitState::Rejected if is_own => {
                return end(&self.core, &self.fingerprint);
            }
            PermitState::Unused | PermitState::Survived if is_own => {
                return take_back(&self.core, &self.fingerprint);
            }
            PermitState::Sent | PermitState::Rejected => {
                suspects::LedgerMessage::Ended(self.fingerprint)
            }
            PermitState::Unused | PermitState::Survived => {
                suspects::LedgerMessage::Returned(self.fingerprint)
            }
        };
        suspects::send(&self.core, &self.issuer, &message);
    }
}

/// Claims the permit for a trial of a request from its issuer.
///
/// Returns `None` if the issuer does not grant it within [`CLAIM_TIMEOUT`].
pub async fn claim(
    core: &sync::Arc<core::GatewayCore>,
    fingerprint: &suspect::RequestFingerprint,
) -> Option<TrialPermit> {
    let issuer = core.issuer(fingerprint);
    let is_granted = match issuer == core.settings.name {
        true => issue(core, fingerprint),
        false => ask(core, &issuer, fingerprint).await,
    };
    is_granted.then(|| TrialPermit {
        core: sync::Arc::clone(core),
        fingerprint: *fingerprint,
        issuer,
        state: PermitState::Unused,
    })
}

/// Issues a permit, unless the request is quarantined as far as this node knows
/// or an earlier permit has not ended.
pub fn issue(core: &core::GatewayCore, fingerprint: &suspect::RequestFingerprint) -> bool {
    let now = time::Instant::now();
    drop_ended(core, now);
    let standing = lock(&core.suspects).standing(fingerprint, &[], now);
    if matches!(standing, ledger::RequestStanding::Quarantined(_)) {
        return false;
    }
    let mut trials = lock(&core.trials);
    let mut issued = trials.issued.iter();
    if issued.any(|permit| permit.fingerprint == *fingerprint) {
        return false;
    }
    trials.issued.push(IssuedPermit {
        fingerprint: *fingerprint,
        ends_at: now + PERMIT_PERIOD,
        ended: false,
    });
    true
}

/// Drops the permits that have ended. Records the trials of which nothing was
/// heard: the node that held the permit may have died during the run.
fn drop_ended(core: &core::GatewayCore, now: time::Instant) {
    let lost = {
        let mut trials = lock(&core.trials);
        let is_live = |permit: &IssuedPermit| permit.ends_at > now;
        let ended = trials.issued.iter().filter(|permit| !is_live(permit));
        let lost = ended.filter(|permit| !permit.ended);
        let lost: Vec<_> = lost.map(|permit| permit.fingerprint).collect();
        trials.issued.retain(is_live);
        lost
    };
    for fingerprint in lost {
        let number = id::new_incarnation();
        let record = ledger::CrashRecord::unanswered_trial(&core.settings.name, number);
        suspects::record_crashes(core, &fingerprint, &[record]);
    }
}

/// Notes that the node that holds a permit has recorded what became of it.
pub fn end(core: &core::GatewayCore, fingerprint: &suspect::RequestFingerprint) {
    let mut trials = lock(&core.trials);
    let issued = trials.issued.iter_mut();
    issued
        .filter(|permit| permit.fingerprint == *fingerprint)
        .for_each(|permit| permit.ended = true);
}

/// Ends a permit that was returned, or that is not needed after an answer.
pub fn take_back(core: &core::GatewayCore, fingerprint: &suspect::RequestFingerprint) {
    let mut trials = lock(&core.trials);
    trials
        .issued
        .retain(|permit| permit.fingerprint != *fingerprint);
}

async fn ask(
    core: &core::GatewayCore,
    issuer: &str,
    fingerprint: &suspect::RequestFingerprint,
) -> bool {
    let (claim, granted) = lock(&core.trials).claims.add();
    let message = suspects::LedgerMessage::Claim {
        fingerprint: *fingerprint,
        claim,
    };
    suspects::send(core, issuer, &message);
    matches!(time::timeout(CLAIM_TIMEOUT, granted).await, Ok(Ok(())))
}
