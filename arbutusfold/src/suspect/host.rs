//! One node's part in the permits: its runs and the permits that it keeps.

use std::collections;

use tokio::time;

use crate::id;
use crate::suspect;
use crate::suspect::claim;
use crate::suspect::permit;

/// Looks up the nodes that an organisation is assigned to.
pub trait AssignedNodes {
    /// Returns the nodes, the same ones on every node that sees the same members.
    fn assigned(&self, organisation: &str) -> Vec<id::HostName>;
}

/// What happens at a node.
#[derive(Clone, Debug)]
pub enum SuspectEvent {
    /// A run begins under a number from [`SuspectHost::number`].
    Begin(suspect::RunNumber, claim::RunRequest),
    /// A run ended.
    End(suspect::RunNumber, suspect::RunEnd),
    /// A message came from a node.
    Hear(id::HostName, suspect::SuspectMessage),
    /// A node is gone without having ended its runs.
    Gone(id::HostName),
    /// What was thought to have died lives: the request did not crash it.
    Withdraw {
        /// Fingerprint of the request.
        fingerprint: suspect::RequestFingerprint,
        /// Organisation that sent it.
        organisation: id::OrganisationName,
        /// What was thought to have died.
        mark: suspect::CrashMark,
    },
    /// Organisations may be assigned to other nodes than before.
    Moved,
    /// Time passed.
    Tick,
}

/// One node's runs and the permits that it keeps.
#[derive(Debug)]
pub struct SuspectHost {
    host: id::HostName,
    desk: claim::ClaimDesk,
    keeper: permit::PermitKeeper,
}

impl SuspectHost {
    /// Creates the state of a node that starts.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber) -> Self {
        Self {
            desk: claim::ClaimDesk::new(host.clone(), incarnation),
            keeper: permit::PermitKeeper::new(host.clone()),
            host,
        }
    }

    /// Returns a number for a run.
    pub fn number(&mut self) -> suspect::RunNumber {
        self.desk.number()
    }

    /// Pardons a crash after new tokens, if the request may be pardoned.
    pub fn pardon(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        organisation: &str,
        mark: &suspect::CrashMark,
        now: time::Instant,
    ) {
        self.keeper.pardon(fingerprint, organisation, mark, now);
    }

    /// Tells whether a crash is known under a request.
    pub fn is_suspect(&self, fingerprint: &suspect::RequestFingerprint) -> bool {
        !self.keeper.burnt(fingerprint).is_empty()
    }

    /// Takes an event and returns what follows; messages to this node itself
    /// are taken at once.
    pub fn handle(
        &mut self,
        event: SuspectEvent,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
    ) -> Vec<claim::ClaimAction> {
        let mut actions = Vec::new();
        self.take(event, nodes, now, &mut actions);
        let mut queue: collections::VecDeque<_> = actions.into();
        let mut out = Vec::new();
        while let Some(action) = queue.pop_front() {
            match action {
                claim::ClaimAction::Send(to, message) if to == self.host => {
                    let mut more = Vec::new();
                    let event = SuspectEvent::Hear(to, message);
                    self.take(event, nodes, now, &mut more);
                    queue.extend(more);
                }
                action => out.push(action),
            }
        }
        out
    }

    fn take(
        &mut self,
        event: SuspectEvent,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
        actions: &mut Vec<claim::ClaimAction>,
    ) {
        match event {
            SuspectEvent::Begin(run, mut request) => {
                request.pardon = self.keeper.pardon_of(&request.fingerprint).cloned();
                if self.keeper.is_proven(&request.fingerprint, now) {
                    self.desk.begin_free(run, request, now);
                    actions.push(claim::ClaimAction::Start(run));
                    return;
                }
                let burnt = self.keeper.burnt(&request.fingerprint).to_vec();
                self.desk.begin(run, request, &burnt, now, actions);
            }
            SuspectEvent::End(run, end) => self.end(run, &end, now, actions),
            SuspectEvent::Hear(from, message) => {
                self.hear(&from, message, nodes, now, actions);
            }
            SuspectEvent::Gone(host) => self.keeper.note_gone(&host, now),
            SuspectEvent::Withdraw {
                fingerprint,
                organisation,
                mark,
            } => {
                self.keeper.withdraw(&fingerprint, &mark);
                for node in nodes.assigned(&organisation) {
                    let mark = mark.clone();
                    let message = suspect::SuspectMessage::Withdrawn { fingerprint, mark };
                    actions.push(claim::ClaimAction::Send(node, message));
                }
            }
            SuspectEvent::Moved => {
                self.take_own_permits(nodes, now, actions);
                self.tell_burnt(nodes, actions);
            }
            SuspectEvent::Tick => {
                self.keeper.tick(now);
                let keeper = &self.keeper;
                let burnt =
                    |fingerprint: &suspect::RequestFingerprint| keeper.burnt(fingerprint).to_vec();
                self.desk.tick(burnt, now, actions);
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
        let keeper = self.desk.keeper_of(run).cloned();
        let request = self.desk.request_of(run).cloned();
        if let Some((request, keeper)) = request.zip(keeper) {
            self.note_end(&request, keeper, end, now);
        }
        self.desk.end(run, end, now, actions);
    }

    fn note_end(
        &mut self,
        request: &claim::RunRequest,
        keeper: id::HostName,
        end: &suspect::RunEnd,
        now: time::Instant,
    ) {
        let fingerprint = &request.fingerprint;
        match end {
            suspect::RunEnd::Answered => self.keeper.note_answered(fingerprint, now),
            suspect::RunEnd::Harmless => {}
            suspect::RunEnd::Crashed(mark) => {
                let mark = mark.clone();
                let permit = suspect::BurntPermit { keeper, mark };
                self.keeper
                    .note_burnt(fingerprint, &request.organisation, &permit, now);
            }
        }
    }

    /// Moves runs to permits that this node has come to keep.
    ///
    /// Else this node's death would take both permits of such a run: the one
    /// that it keeps and the one that it holds.
    fn take_own_permits(
        &mut self,
        nodes: &dyn AssignedNodes,
        now: time::Instant,
        actions: &mut Vec<claim::ClaimAction>,
    ) {
        for claim in self.desk.claims_elsewhere() {
            let assigned = nodes.assigned(&claim.organisation);
            let keepers = suspect::keepers(&claim.fingerprint, &assigned);
            if !keepers.contains(&self.host) {
                continue;
            }
            let verdict = self.keeper.claim(&self.host, &claim, &keepers, now);
            if verdict == suspect::PermitVerdict::Granted {
                self.desk.move_run(claim.run, &self.host, now, actions);
            }
        }
    }

    /// Tells the nodes of each suspect's organisation what is known of it.
    fn tell_burnt(&self, nodes: &dyn AssignedNodes, actions: &mut Vec<claim::ClaimAction>) {
        for (fingerprint, organisation, permit) in self.keeper.all_burnt() {
            for node in nodes.assigned(organisation) {
                let message = suspect::SuspectMessage::Burnt {
                    fingerprint: *fingerprint,
                    organisation: organisation.clone(),
                    run: 0,
                    permit: permit.clone(),
                };
                actions.push(claim::ClaimAction::Send(node, message));
            }
        }
    }

    fn hear(
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
                let keepers = suspect::keepers(&claim.fingerprint, &assigned);
                let verdict = self.keeper.claim(from, &claim, &keepers, now);
                let keepers = match verdict {
                    suspect::PermitVerdict::Granted => Vec::new(),
                    _ => keepers.to_vec(),
                };
                reply(suspect::SuspectMessage::Verdict {
                    run: claim.run,
                    verdict,
                    burnt: self.keeper.burnt(&claim.fingerprint).to_vec(),
                    keepers,
                });
            }
            suspect::SuspectMessage::Verdict {
                run,
                verdict,
                burnt,
                keepers,
            } => {
                let known = self.merge(run, &burnt, now);
                self.desk.note_keepers(run, &keepers);
                self.desk.hear(from, run, verdict, &known, now, actions);
            }
            suspect::SuspectMessage::End {
                fingerprint,
                run,
                end,
            } => {
                self.keeper.end(from, &fingerprint, run, &end, now);
                reply(suspect::SuspectMessage::Noted(run));
            }
            suspect::SuspectMessage::Burnt {
                fingerprint,
                organisation,
                run,
                permit,
            } => {
                self.keeper
                    .note_burnt(&fingerprint, &organisation, &permit, now);
                if run != 0 {
                    reply(suspect::SuspectMessage::BurntNoted(run));
                }
            }
            suspect::SuspectMessage::Noted(run) => self.desk.hear_noted(from, run, false),
            suspect::SuspectMessage::BurntNoted(run) => self.desk.hear_noted(from, run, true),
            suspect::SuspectMessage::Withdrawn { fingerprint, mark } => {
                self.keeper.withdraw(&fingerprint, &mark);
            }
            suspect::SuspectMessage::Isolate(_) | suspect::SuspectMessage::Isolated(_) => {}
        }
    }

    /// Takes in what a keeper knows of a run's request; returns all that is known.
    fn merge(
        &mut self,
        run: suspect::RunNumber,
        burnt: &[suspect::BurntPermit],
        now: time::Instant,
    ) -> Vec<suspect::BurntPermit> {
        let Some(request) = self.desk.request_of(run).cloned() else {
            return Vec::new();
        };
        for permit in burnt {
            self.keeper
                .note_burnt(&request.fingerprint, &request.organisation, permit, now);
        }
        self.keeper.burnt(&request.fingerprint).to_vec()
    }
}
