//! Tracks the runs of one node: claims a permit before each run, reports its
//! end afterwards.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::suspect;

/// Time to wait for the reply to a claim before resending it or trying the
/// next issuer.
const CLAIM_REPLY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(30);

/// Claims sent to one issuer before the next one is tried.
const CLAIM_ATTEMPTS: u32 = 1;

/// Maximum number of issuers tried for one run: those of two different member
/// lists.
const ISSUER_LIMIT: usize = 2 * suspect::PERMITS_PER_REQUEST;

/// Delay between rounds of claims while no permit is available.
const CLAIM_ROUND_DELAY: std_time::Duration = std_time::Duration::from_millis(100);

/// Time to claim a permit before the run is refused; checked after each round.
const CLAIM_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(5);

/// Interval at which an unacknowledged end of a run is resent.
const REPORT_INTERVAL: std_time::Duration = std_time::Duration::from_millis(250);

/// Times that the end of a run is sent; after that, the permit is left to
/// expire at its issuer.
const REPORT_ATTEMPTS: u32 = 40;

/// Action that the caller of the registry carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Send a message to a node, which may be the local one.
    Send(id::HostName, suspect::SuspectMessage),
    /// Start the run.
    Start(suspect::RunNumber),
    /// Refuse the run.
    Refuse(suspect::RunNumber, RunRefusal),
}

/// Reason for which a run is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    /// Every permit of the request is revoked.
    Quarantined,
    /// Another run of the same request holds the permit.
    Busy,
    /// No issuer granted a permit in time, and none reported it as held.
    NoReply,
}

/// A run to be started.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Fingerprint of the request.
    pub fingerprint: suspect::RequestFingerprint,
    /// Organisation that sent it.
    pub organisation: id::OrganisationName,
    /// Nodes that the organisation is assigned to.
    pub assigned: Vec<id::HostName>,
    /// Maximum duration of the run.
    pub time_limit: std_time::Duration,
    /// Crashes of the request that do not count.
    pub exemption: Option<suspect::CrashExemption>,
}

/// The runs of one node, from the first claim to the last acknowledgement.
#[derive(Debug)]
pub struct RunRegistry {
    host: id::HostName,
    last_run: suspect::RunNumber,
    runs: Vec<RunClaim>,
}

#[derive(Debug)]
struct RunClaim {
    run: suspect::RunNumber,
    request: RunRequest,
    started_at: time::Instant,
    /// Issuers in the order in which they are tried.
    issuers: Vec<id::HostName>,
    /// Issuers that have not answered a claim, or have not acknowledged a
    /// returned permit; the run may still hold a permit of theirs.
    unanswered: Vec<id::HostName>,
    /// Refusal to report if no permit is granted in time.
    timeout_refusal: RunRefusal,
    phase: RunPhase,
}

#[derive(Debug)]
enum RunPhase {
    /// `attempts` claims were sent to the issuer at `index`, the last at
    /// `sent_at`.
    Claiming {
        index: usize,
        attempts: u32,
        sent_at: time::Instant,
    },
    /// Every issuer was tried; the next round begins at this time.
    Waiting(time::Instant),
    /// The run is active under a permit of this issuer; empty if it needs none.
    Running(id::HostName),
    /// The run ended; `pending` holds the messages not acknowledged yet.
    Reporting {
        pending: Vec<(id::HostName, suspect::SuspectMessage)>,
        attempts: u32,
        next_send: time::Instant,
    },
}

impl RunRegistry {
    /// Creates a registry without runs.
    ///
    /// Run numbers start from the incarnation, so that a restarted node does
    /// not reuse them.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber) -> Self {
        Self {
            host,
            last_run: incarnation,
            runs: Vec::new(),
        }
    }

    /// Returns the number of the next run.
    pub fn next_run_number(&mut self) -> suspect::RunNumber {
        self.last_run += 1;
        self.last_run
    }

    /// Begins a run by claiming a permit from its issuers.
    pub fn begin(
        &mut self,
        run: suspect::RunNumber,
        request: RunRequest,
        revoked: &[suspect::RevokedPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let mut issuers = suspect::issuers(&request.fingerprint, &request.assigned).to_vec();
        issuers.dedup();
        // A permit issued by this node needs no network message.
        issuers.sort_by_key(|issuer| *issuer != self.host);
        let mut claim = RunClaim {
            run,
            request,
            started_at: now,
            issuers,
            unanswered: Vec::new(),
            timeout_refusal: RunRefusal::NoReply,
            phase: RunPhase::Waiting(now),
        };
        claim.claim_from(0, revoked, now, actions);
        self.runs.push(claim);
    }

    /// Begins a run that needs no permit.
    pub fn begin_without_permit(
        &mut self,
        run: suspect::RunNumber,
        request: RunRequest,
        now: time::Instant,
    ) {
        self.runs.push(RunClaim {
            run,
            request,
            started_at: now,
            issuers: Vec::new(),
            unanswered: Vec::new(),
            timeout_refusal: RunRefusal::NoReply,
            phase: RunPhase::Running(id::HostName::new()),
        });
    }

    /// Adds the issuers named by another node, to be tried after the known ones.
    ///
    /// While a membership change propagates, nodes disagree on the issuers of
    /// a request.
    pub fn add_issuers(&mut self, run: suspect::RunNumber, issuers: &[id::HostName]) {
        let Some(index) = self.find(run) else { return };
        let known = &mut self.runs[index].issuers;
        for issuer in issuers {
            if known.len() < ISSUER_LIMIT && !known.contains(issuer) {
                known.push(issuer.clone());
            }
        }
    }

    /// Returns the claims of active runs whose permit another node issued.
    pub fn claims_on_other_nodes(&self) -> Vec<suspect::PermitClaim> {
        self.runs
            .iter()
            .filter(|claim| match &claim.phase {
                RunPhase::Running(issuer) => !issuer.is_empty() && *issuer != self.host,
                _ => false,
            })
            .map(|claim| claim.permit_claim(&[]))
            .collect()
    }

    /// Moves a run to the permit of `issuer` and returns its previous permit.
    pub fn move_run(
        &mut self,
        run: suspect::RunNumber,
        issuer: &str,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(index) = self.find(run) else { return };
        let claim = &mut self.runs[index];
        let phase = RunPhase::Running(issuer.to_owned());
        if let RunPhase::Running(previous) = std::mem::replace(&mut claim.phase, phase) {
            claim.return_permit(&previous, suspect::PermitDecision::Granted, now, actions);
        }
    }

    /// Handles the reply of issuer `from` to a claim.
    pub fn handle_decision(
        &mut self,
        from: &str,
        run: suspect::RunNumber,
        decision: suspect::PermitDecision,
        revoked: &[suspect::RevokedPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(index) = self.find(run) else {
            // The run has ended and its fingerprint is no longer known, so
            // the permit cannot be returned.
            return;
        };
        let claim = &mut self.runs[index];
        claim.unanswered.retain(|issuer| issuer != from);
        let current = match claim.phase {
            RunPhase::Claiming { index, .. } => index,
            RunPhase::Waiting(_) => claim.issuers.len(),
            RunPhase::Running(_) | RunPhase::Reporting { .. } => {
                claim.return_permit(from, decision, now, actions);
                return;
            }
        };
        // A late grant is used. If it were returned, a later grant for the
        // same run could not be ordered relative to the return.
        let awaited = claim
            .issuers
            .get(current)
            .is_some_and(|issuer| issuer == from);
        if !awaited && decision != suspect::PermitDecision::Granted {
            return;
        }
        match decision {
            suspect::PermitDecision::Granted => {
                claim.phase = RunPhase::Running(from.to_owned());
                actions.push(ClaimAction::Start(run));
            }
            suspect::PermitDecision::Quarantined => {
                claim.refuse(RunRefusal::Quarantined, now, actions);
            }
            suspect::PermitDecision::Busy => {
                claim.timeout_refusal = RunRefusal::Busy;
                claim.claim_from(current + 1, revoked, now, actions);
            }
            suspect::PermitDecision::NoPermit => {
                claim.claim_from(current + 1, revoked, now, actions)
            }
        }
        self.remove_reported();
    }

    /// Ends a run, also one that has no permit yet.
    pub fn end(
        &mut self,
        run: suspect::RunNumber,
        end: &suspect::RunEnd,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(index) = self.find(run) {
            self.runs[index].end(&self.host, end, now, actions);
            self.remove_reported();
        }
    }

    /// Returns the request of a run.
    pub fn request(&self, run: suspect::RunNumber) -> Option<&RunRequest> {
        Some(&self.runs[self.find(run)?].request)
    }

    /// Returns the issuer of an active run's permit; the name is empty if the
    /// run needs no permit.
    pub fn issuer(&self, run: suspect::RunNumber) -> Option<&id::HostName> {
        match &self.runs[self.find(run)?].phase {
            RunPhase::Running(issuer) => Some(issuer),
            _ => None,
        }
    }

    /// Handles the acknowledgement of a run's end, or of its revoked permit if
    /// `revoked` is set.
    pub fn handle_ack(&mut self, from: &str, run: suspect::RunNumber, revoked: bool) {
        let Some(index) = self.find(run) else { return };
        if let RunPhase::Reporting { pending, .. } = &mut self.runs[index].phase {
            pending.retain(|(host, message)| {
                let is_revoked = matches!(message, suspect::SuspectMessage::Revoked { .. });
                host != from || is_revoked != revoked
            });
        }
        self.remove_reported();
    }

    /// Resends messages that were not answered in time and starts due rounds of
    /// claims.
    pub fn tick(
        &mut self,
        revoked: impl Fn(&suspect::RequestFingerprint) -> Vec<suspect::RevokedPermit>,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        for claim in &mut self.runs {
            let known = revoked(&claim.request.fingerprint);
            claim.tick(&known, now, actions);
        }
        self.remove_reported();
    }

    fn find(&self, run: suspect::RunNumber) -> Option<usize> {
        self.runs.binary_search_by_key(&run, |claim| claim.run).ok()
    }

    fn remove_reported(&mut self) {
        self.runs.retain(|claim| match &claim.phase {
            RunPhase::Reporting {
                pending, attempts, ..
            } => !pending.is_empty() && *attempts < REPORT_ATTEMPTS,
            _ => true,
        });
    }
}

impl RunClaim {
    fn claim_from(
        &mut self,
        index: usize,
        revoked: &[suspect::RevokedPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        if index >= self.issuers.len() {
            if now.duration_since(self.started_at) >= CLAIM_TIMEOUT {
                self.refuse(self.timeout_refusal, now, actions);
            } else {
                self.phase = RunPhase::Waiting(now + CLAIM_ROUND_DELAY);
            }
            return;
        }
        self.phase = RunPhase::Claiming {
            index,
            attempts: 1,
            sent_at: now,
        };
        self.send_claim(index, revoked, actions);
    }

    fn send_claim(
        &mut self,
        index: usize,
        revoked: &[suspect::RevokedPermit],
        actions: &mut Vec<ClaimAction>,
    ) {
        let issuer = self.issuers[index].clone();
        if !self.unanswered.contains(&issuer) {
            self.unanswered.push(issuer.clone());
        }
        let message = suspect::SuspectMessage::Claim(self.permit_claim(revoked));
        actions.push(ClaimAction::Send(issuer, message));
    }

    fn permit_claim(&self, revoked: &[suspect::RevokedPermit]) -> suspect::PermitClaim {
        suspect::PermitClaim {
            fingerprint: self.request.fingerprint,
            organisation: self.request.organisation.clone(),
            run: self.run,
            time_limit: self.request.time_limit,
            revoked: revoked.to_vec(),
            exemption: self.request.exemption.clone(),
        }
    }

    /// Returns a granted permit that the run does not use.
    fn return_permit(
        &mut self,
        from: &str,
        decision: suspect::PermitDecision,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let in_use = matches!(&self.phase, RunPhase::Running(issuer) if issuer == from);
        if decision != suspect::PermitDecision::Granted || in_use {
            return;
        }
        let message = self.end_message(&suspect::RunEnd::NoCrash);
        if let RunPhase::Reporting {
            pending, next_send, ..
        } = &mut self.phase
        {
            // Sent with the other reports, until it is acknowledged.
            if !pending.iter().any(|(host, _)| host == from) {
                pending.push((from.to_owned(), message));
                *next_send = now;
            }
            return;
        }
        // The run uses another permit. If this message is lost, the report of
        // the run's end returns the permit again.
        self.unanswered.push(from.to_owned());
        actions.push(ClaimAction::Send(from.to_owned(), message));
    }

    fn refuse(&mut self, refusal: RunRefusal, now: time::Instant, actions: &mut Vec<ClaimAction>) {
        actions.push(ClaimAction::Refuse(self.run, refusal));
        let pending = self.release_messages();
        self.report(pending, now, actions);
    }

    fn end(
        &mut self,
        host: &str,
        end: &suspect::RunEnd,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let mut pending = self.release_messages();
        if let RunPhase::Running(issuer) = &self.phase {
            pending.retain(|(unanswered, _)| unanswered != issuer);
            if !issuer.is_empty() {
                pending.push((issuer.clone(), self.end_message(end)));
            }
            if let suspect::RunEnd::Crashed(crash) = end {
                let permit = suspect::RevokedPermit {
                    issuer: issuer.clone(),
                    crash: crash.clone(),
                };
                pending.extend(self.revoked_messages(host, &permit));
            }
        }
        self.report(pending, now, actions);
    }

    fn release_messages(&self) -> Vec<(id::HostName, suspect::SuspectMessage)> {
        self.unanswered
            .iter()
            .map(|issuer| (issuer.clone(), self.end_message(&suspect::RunEnd::NoCrash)))
            .collect()
    }

    fn revoked_messages(
        &self,
        host: &str,
        permit: &suspect::RevokedPermit,
    ) -> Vec<(id::HostName, suspect::SuspectMessage)> {
        self.request
            .assigned
            .iter()
            .filter(|node| *node != host)
            .map(|node| {
                let message = suspect::SuspectMessage::Revoked {
                    fingerprint: self.request.fingerprint,
                    organisation: self.request.organisation.clone(),
                    run: self.run,
                    permit: permit.clone(),
                };
                (node.clone(), message)
            })
            .collect()
    }

    fn end_message(&self, end: &suspect::RunEnd) -> suspect::SuspectMessage {
        suspect::SuspectMessage::End {
            fingerprint: self.request.fingerprint,
            run: self.run,
            end: end.clone(),
        }
    }

    fn report(
        &mut self,
        pending: Vec<(id::HostName, suspect::SuspectMessage)>,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        actions.extend(send_all(&pending));
        self.phase = RunPhase::Reporting {
            pending,
            attempts: 1,
            next_send: now + REPORT_INTERVAL,
        };
    }

    fn tick(
        &mut self,
        revoked: &[suspect::RevokedPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        match &mut self.phase {
            RunPhase::Running(_) => {}
            RunPhase::Waiting(until) => {
                if now >= *until {
                    self.claim_from(0, revoked, now, actions);
                }
            }
            RunPhase::Claiming {
                index,
                attempts,
                sent_at,
            } => {
                if now.duration_since(*sent_at) < CLAIM_REPLY_TIMEOUT {
                    return;
                }
                let index = *index;
                if *attempts < CLAIM_ATTEMPTS {
                    *attempts += 1;
                    *sent_at = now;
                    self.send_claim(index, revoked, actions);
                } else {
                    self.claim_from(index + 1, revoked, now, actions);
                }
            }
            RunPhase::Reporting {
                pending,
                attempts,
                next_send,
            } => {
                if now >= *next_send {
                    *attempts += 1;
                    *next_send = now + REPORT_INTERVAL;
                    actions.extend(send_all(pending));
                }
            }
        }
    }
}

fn send_all(
    pending: &[(id::HostName, suspect::SuspectMessage)],
) -> impl Iterator<Item = ClaimAction> + '_ {
    pending
        .iter()
        .map(|(host, message)| ClaimAction::Send(host.clone(), message.clone()))
}
