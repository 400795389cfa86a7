//! State machine of one node: tracks its runs and the permits that it issues.

use std::collections;

use tokio::time;

use crate::id;
use crate::suspect;
use crate::suspect::claim;
use crate::suspect::permit;

/// Looks up the nodes that an organisation is assigned to.
pub trait AssignedNodes {
    /// Returns the assigned nodes; nodes with the same member list get the same
    /// result.
    fn assigned(&self, organisation: &str) -> Vec<id::HostName>;
}

/// Input of [`SuspectTracker`].
#[derive(Clone, Debug)]
pub enum SuspectEvent {
    /// A run begins; its number is from [`SuspectTracker::next_run_number`].
    Begin(suspect::RunNumber, claim::RunRequest),
    /// A run ended.
    End(suspect::RunNumber, suspect::RunEnd),
    /// A message from a node arrived.
    Message(id::HostName, suspect::SuspectMessage),
    /// A node was lost without reporting the end of its runs.
    NodeLost(id::HostName),
    /// An upstream recorded as crashed is alive: the request did not crash it.
    RetractCrash {
        /// Fingerprint of the request.
        fingerprint: suspect::RequestFingerprint,
        /// Organisation that sent it.
        organisation: id::OrganisationName,
        /// Crash that was recorded by mistake.
        crash: suspect::CrashId,
    },
    /// The assignment of organisations to nodes may have changed.
    AssignmentChanged,
    /// Periodic tick: checks timeouts and resends messages.
    Tick,
}

/// The runs of one node and the permits that it issues.
#[derive(Debug)]
pub struct SuspectTracker {
    host: id::HostName,
    registry: claim::RunRegistry,
    issuer: permit::PermitIssuer,
}

impl SuspectTracker {
    /// Creates the tracker of a node that starts.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber) -> Self {
        Self {
            registry: claim::RunRegistry::new(host.clone(), incarnation),
            issuer: permit::PermitIssuer::new(host.clone()),
            host,
        }
    }

    /// Returns the number for a new run.
    pub fn next_run_number(&mut self) -> suspect::RunNumber {
        self.registry.next_run_number()
    }

    /// Exempts a crash after new tokens, unless the request has used up its
    /// exemptions.
    pub fn exempt_crash(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        crash: &suspect::CrashId,
        now: time::Instant,
    ) {
        self.issuer
            .exempt_crash(fingerprint, organisation, crash, now);
    }

    /// Returns whether a request has a revoked permit.
    pub fn is_suspect(&self, fingerprint: &suspect::RequestFingerprint) -> bool {
        !self.issuer.revoked(fingerprint).is_empty()
    }

    /// Handles an event and returns the resulting actions.
    ///
    /// Messages to the local node are handled immediately and not returned.
    pub fn handle(
        &mut self,
        event: SuspectEvent,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
    ) -> Vec<claim::ClaimAction> {
        let mut actions = Vec::new();
        self.apply(event, nodes, now, &mut actions);
        let mut queue: collections::VecDeque<_> = actions.into();
        let mut out = Vec::new();
        while let Some(action) = queue.pop_front() {
            match action {
                claim::ClaimAction::Send(to, message) if to == self.host => {
                    let mut replies = Vec::new();
                    let event = SuspectEvent::Message(to, message);
                    self.apply(event, nodes, now, &mut replies);
                    queue.extend(replies);
                }
                action => out.push(action),
            }
        }
        out
    }

    fn apply(
        &mut self,
        event: SuspectEvent,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
        actions: &mut Vec<claim::ClaimAction>,
    ) {
        match event {
            SuspectEvent::Begin(run, mut request) => {
                request.exemption = self.issuer.exemption(&request.fingerprint).cloned();
                if self.issuer.is_trusted(&request.fingerprint, now) {
                    self.registry.begin_without_permit(run, request, now);
                    actions.push(claim::ClaimAction::Start(run));
                    return;
                }
                let revoked = self.issuer.revoked(&request.fingerprint).to_vec();
                self.registry.begin(run, request, &revoked, now, actions);
            }
            SuspectEvent::End(run, end) => self.end(run, &end, now, actions),
            SuspectEvent::Message(from, message) => {
                self.handle_message(&from, message, nodes, now, actions);
            }
            SuspectEvent::NodeLost(host) => self.issuer.revoke_held_by(&host, now),
            SuspectEvent::RetractCrash {
                fingerprint,
                organisation,
                crash,
            } => {
                self.issuer.retract_crash(&fingerprint, &crash);
                for node in nodes.assigned(&organisation) {
                    let crash = crash.clone();
                    let message = suspect::SuspectMessage::CrashRetracted { fingerprint, crash };
                    actions.push(claim::ClaimAction::Send(node, message));
                }
            }
            SuspectEvent::AssignmentChanged => {
                self.move_to_own_permits(nodes, now, actions);
                self.announce_revoked(nodes, actions);
            }
            SuspectEvent::Tick => {
                self.issuer.tick(now);
                let issuer = &self.issuer;
                let revoked = |fingerprint: &suspect::RequestFingerprint| {
                    issuer.revoked(fingerprint).to_vec()
                };
                self.registry.tick(revoked, now, actions);
            }
        }
    }

    fn end(
        &mut self,
        run: suspect::RunNumber,
        end: &suspect::RunEnd,
        now: time::Instant,
        actions: &mut Vec<claim::ClaimAction>,
    ) {
        let issuer = self.registry.issuer(run).cloned();
        let request = self.registry.request(run).cloned();
        if let Some((request, issuer)) = request.zip(issuer) {
            self.record_end(&request, issuer, end, now);
        }
        self.registry.end(run, end, now, actions);
    }

    fn record_end(
        &mut self,
        request: &claim::RunRequest,
        issuer: id::HostName,
        end: &suspect::RunEnd,
        now: time::Instant,
    ) {
        let fingerprint = &request.fingerprint;
        match end {
            suspect::RunEnd::Answered => self.issuer.record_answered(fingerprint, now),
            suspect::RunEnd::NoCrash => {}
            suspect::RunEnd::Crashed(crash) => {
                let crash = crash.clone();
                let permit = suspect::RevokedPermit { issuer, crash };
                self.issuer
                    .record_revoked(fingerprint, &request.organisation, &permit, now);
            }
        }
    }

    /// Moves active runs to this node's own permits where it became an issuer.
    ///
    /// Otherwise the death of this node would cost the request both permits:
    /// the one that the node issues and the one that its run holds.
    fn move_to_own_permits(
        &mut self,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
        actions: &mut Vec<claim::ClaimAction>,
    ) {
        for claim in self.registry.claims_on_other_nodes() {
            let assigned = nodes.assigned(&claim.organisation);
            let issuers = suspect::issuers(&claim.fingerprint, &assigned);
            if !issuers.contains(&self.host) {
                continue;
            }
            let decision = self.issuer.claim(&self.host, &claim, &issuers, now);
            if decision == suspect::PermitDecision::Granted {
                self.registry.move_run(claim.run, &self.host, now, actions);
            }
        }
    }

    /// Sends every known revoked permit to the nodes of its organisation, some of
    /// which may be newly assigned and not know of it.
    fn announce_revoked(&self, nodes: &dyn AssignedNodes, actions: &mut Vec<claim::ClaimAction>) {
        for (fingerprint, organisation, permit) in self.issuer.all_revoked() {
            for node in nodes.assigned(organisation) {
                let message = suspect::SuspectMessage::Revoked {
                    fingerprint: *fingerprint,
                    organisation: organisation.clone(),
                    run: 0,
                    permit: permit.clone(),
                };
                actions.push(claim::ClaimAction::Send(node, message));
            }
        }
    }

    fn handle_message(
        &mut self,
        from: &str,
        message: suspect::SuspectMessage,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
        actions: &mut Vec<claim::ClaimAction>,
    ) {
        let mut reply = |message| {
            actions.push(claim::ClaimAction::Send(from.to_owned(), message));
        };
        match message {
            suspect::SuspectMessage::Claim(claim) => {
                let assigned = nodes.assigned(&claim.organisation);
                let issuers = suspect::issuers(&claim.fingerprint, &assigned);
                let decision = self.issuer.claim(from, &claim, &issuers, now);
                let issuers = match decision {
                    suspect::PermitDecision::Granted => Vec::new(),
                    _ => issuers.to_vec(),
                };
                reply(suspect::SuspectMessage::Decision {
                    run: claim.run,
                    decision,
                    revoked: self.issuer.revoked(&claim.fingerprint).to_vec(),
                    issuers,
                });
            }
            suspect::SuspectMessage::Decision {
                run,
                decision,
                revoked,
                issuers,
            } => {
                let known = self.merge_revoked(run, &revoked, now);
                self.registry.add_issuers(run, &issuers);
                self.registry
                    .handle_decision(from, run, decision, &known, now, actions);
            }
            suspect::SuspectMessage::End {
                fingerprint,
                run,
                end,
            } => {
                self.issuer.end(from, &fingerprint, run, &end, now);
                reply(suspect::SuspectMessage::EndAck(run));
            }
            suspect::SuspectMessage::Revoked {
                fingerprint,
                organisation,
                run,
                permit,
            } => {
                self.issuer
                    .record_revoked(&fingerprint, &organisation, &permit, now);
                if run != 0 {
                    reply(suspect::SuspectMessage::RevokedAck(run));
                }
            }
            suspect::SuspectMessage::EndAck(run) => self.registry.handle_ack(from, run, false),
            suspect::SuspectMessage::RevokedAck(run) => self.registry.handle_ack(from, run, true),
            suspect::SuspectMessage::CrashRetracted { fingerprint, crash } => {
                self.issuer.retract_crash(&fingerprint, &crash);
            }
            suspect::SuspectMessage::IsolationRequest(_)
            | suspect::SuspectMessage::IsolationReply(_) => {}
        }
    }

    /// Records the revoked permits reported by an issuer; returns all known
    /// ones of the run's request.
    fn merge_revoked(
        &mut self,
        run: suspect::RunNumber,
        revoked: &[suspect::RevokedPermit],
        now: time::Instant,
    ) -> Vec<suspect::RevokedPermit> {
        let Some(request) = self.registry.request(run).cloned() else {
            return Vec::new();
        };
        for permit in revoked {
            self.issuer
                .record_revoked(&request.fingerprint, &request.organisation, permit, now);
        }
        self.issuer.revoked(&request.fingerprint).to_vec()
    }
}
