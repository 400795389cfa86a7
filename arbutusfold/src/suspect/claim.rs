//! The runs of one node: claims for permits before, reports after.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::suspect;

/// Time after which an unanswered claim is sent again or elsewhere.
const ANSWER_PATIENCE: std_time::Duration = std_time::Duration::from_millis(30);

/// Times that one keeper is asked before the other is.
const TRIES: u32 = 1;

/// Keepers that one run asks at most: those of two views of the members.
const KEEPER_LIMIT: usize = 2 * suspect::PERMITS;

/// Time between two rounds of claims while the permits are in use.
const ROUND_PAUSE: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest time that a run waits for a permit.
const CLAIM_PATIENCE: std_time::Duration = std_time::Duration::from_secs(5);

/// Time between two tellings of the same end.
const TELL_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Times that an end is told before it is left to run out.
const TELL_TRIES: u32 = 40;

/// What the runs of a node cause.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// A message goes to a node, which may be this one.
    Send(id::HostName, suspect::SuspectMessage),
    /// A run may start.
    Start(suspect::RunNumber),
    /// A run does not start.
    Refuse(suspect::RunNumber, RunRefusal),
}

/// Why a run does not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    /// The request crashed as many upstreams as it may.
    Quarantined,
    /// The same request runs elsewhere.
    Busy,
    /// No keeper of permits answered.
    Silent,
}

/// A run that begins.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// Fingerprint of the request.
    pub fingerprint: suspect::RequestFingerprint,
    /// Organisation that sent it.
    pub organisation: id::OrganisationName,
    /// Nodes that the organisation is assigned to.
    pub assigned: Vec<id::HostName>,
    /// Longest time that the run can last.
    pub lasts: std_time::Duration,
    /// Crashes that no longer count.
    pub pardon: Option<suspect::RequestPardon>,
}

/// The runs of one node.
#[derive(Debug)]
pub struct ClaimDesk {
    host: id::HostName,
    next: suspect::RunNumber,
    runs: Vec<ClaimRun>,
}

#[derive(Debug)]
struct ClaimRun {
    run: suspect::RunNumber,
    request: RunRequest,
    began: time::Instant,
    /// Keepers in the order of asking.
    keepers: Vec<id::HostName>,
    /// Keepers that were asked and may have given a permit unheard.
    unheard: Vec<id::HostName>,
    /// Best answer of this round.
    best: RunRefusal,
    phase: RunPhase,
}

#[derive(Debug)]
enum RunPhase {
    /// Keeper `place` was asked `tries` times, last at `since`.
    Asking {
        place: usize,
        tries: u32,
        since: time::Instant,
    },
    /// Every keeper was asked; the next round begins then.
    Pausing(time::Instant),
    /// The run goes on under the permit of this keeper.
    Running(id::HostName),
    /// The end is told to these nodes.
    Telling {
        left: Vec<(id::HostName, suspect::SuspectMessage)>,
        tries: u32,
        next: time::Instant,
    },
}

impl ClaimDesk {
    /// Creates the desk of a node that has no run.
    ///
    /// Runs are numbered from the incarnation, so that no number is used
    /// again after a restart.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber) -> Self {
        Self {
            host,
            next: incarnation,
            runs: Vec::new(),
        }
    }

    /// Returns the number of the next run.
    pub fn number(&mut self) -> suspect::RunNumber {
        self.next += 1;
        self.next
    }

    /// Begins a run: its keepers are asked for a permit.
    pub fn begin(
        &mut self,
        run: suspect::RunNumber,
        request: RunRequest,
        burnt: &[suspect::BurntPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let mut keepers = suspect::keepers(&request.fingerprint, &request.assigned).to_vec();
        keepers.dedup();
        // A permit of this node's own costs no message.
        keepers.sort_by_key(|keeper| *keeper != self.host);
        let mut claim = ClaimRun {
            run,
            request,
            began: now,
            keepers,
            unheard: Vec::new(),
            best: RunRefusal::Silent,
            phase: RunPhase::Pausing(now),
        };
        claim.ask(0, burnt, now, actions);
        self.runs.push(claim);
    }

    /// Begins a run that needs no permit.
    pub fn begin_free(&mut self, run: suspect::RunNumber, request: RunRequest, now: time::Instant) {
        self.runs.push(ClaimRun {
            run,
            request,
            began: now,
            keepers: Vec::new(),
            unheard: Vec::new(),
            best: RunRefusal::Silent,
            phase: RunPhase::Running(id::HostName::new()),
        });
    }

    /// Adds the keepers that another node names, to be asked last.
    ///
    /// While news of a member spreads, nodes differ in who keeps a permit.
    pub fn note_keepers(&mut self, run: suspect::RunNumber, keepers: &[id::HostName]) {
        let Some(place) = self.find(run) else { return };
        let known = &mut self.runs[place].keepers;
        for keeper in keepers {
            if known.len() < KEEPER_LIMIT && !known.contains(keeper) {
                known.push(keeper.clone());
            }
        }
    }

    /// Returns the claims of the runs that go on under other nodes' permits.
    pub fn claims_elsewhere(&self) -> Vec<suspect::PermitClaim> {
        self.runs
            .iter()
            .filter(|claim| match &claim.phase {
                RunPhase::Running(keeper) => !keeper.is_empty() && *keeper != self.host,
                _ => false,
            })
            .map(|claim| claim.claim(&[]))
            .collect()
    }

    /// Puts a run under the permit of `keeper` and gives its former one back.
    pub fn move_run(
        &mut self,
        run: suspect::RunNumber,
        keeper: &str,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(place) = self.find(run) else { return };
        let claim = &mut self.runs[place];
        let phase = RunPhase::Running(keeper.to_owned());
        if let RunPhase::Running(former) = std::mem::replace(&mut claim.phase, phase) {
            claim.give_back(&former, suspect::PermitVerdict::Granted, now, actions);
        }
    }

    /// Takes a keeper's answer.
    pub fn hear(
        &mut self,
        from: &str,
        run: suspect::RunNumber,
        verdict: suspect::PermitVerdict,
        burnt: &[suspect::BurntPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(place) = self.find(run) else {
            // The run is over; its fingerprint is not known here any more.
            return;
        };
        let claim = &mut self.runs[place];
        claim.unheard.retain(|keeper| keeper != from);
        let asked = match claim.phase {
            RunPhase::Asking { place, .. } => place,
            RunPhase::Pausing(_) => claim.keepers.len(),
            RunPhase::Running(_) | RunPhase::Telling { .. } => {
                claim.give_back(from, verdict, now, actions);
                return;
            }
        };
        // A late permit is taken: once given back, it could not be told
        // whether a later one for the same run came before or after that.
        let awaited = claim
            .keepers
            .get(asked)
            .is_some_and(|keeper| keeper == from);
        if !awaited && verdict != suspect::PermitVerdict::Granted {
            return;
        }
        match verdict {
            suspect::PermitVerdict::Granted => {
                claim.phase = RunPhase::Running(from.to_owned());
                actions.push(ClaimAction::Start(run));
            }
            suspect::PermitVerdict::Quarantined => {
                claim.refuse(RunRefusal::Quarantined, now, actions);
            }
            suspect::PermitVerdict::Busy => {
                claim.best = RunRefusal::Busy;
                claim.ask(asked + 1, burnt, now, actions);
            }
            suspect::PermitVerdict::Elsewhere => claim.ask(asked + 1, burnt, now, actions),
        }
        self.drop_told();
    }

    /// Ends a run, whether it started or not.
    pub fn end(
        &mut self,
        run: suspect::RunNumber,
        end: &suspect::RunEnd,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(place) = self.find(run) {
            self.runs[place].end(&self.host, end, now, actions);
            self.drop_told();
        }
    }

    /// Returns what a run asked to run.
    pub fn request_of(&self, run: suspect::RunNumber) -> Option<&RunRequest> {
        Some(&self.runs[self.find(run)?].request)
    }

    /// Returns the keeper of a run's permit; empty when it needed none.
    pub fn keeper_of(&self, run: suspect::RunNumber) -> Option<&id::HostName> {
        match &self.runs[self.find(run)?].phase {
            RunPhase::Running(keeper) => Some(keeper),
            _ => None,
        }
    }

    /// Notes that a node heard of a run's end, or of its burnt permit.
    pub fn hear_noted(&mut self, from: &str, run: suspect::RunNumber, burnt: bool) {
        let Some(place) = self.find(run) else { return };
        if let RunPhase::Telling { left, .. } = &mut self.runs[place].phase {
            left.retain(|(host, message)| {
                let is_burnt = matches!(message, suspect::SuspectMessage::Burnt { .. });
                host != from || is_burnt != burnt
            });
        }
        self.drop_told();
    }

    /// Repeats what was not answered in time.
    pub fn tick(
        &mut self,
        burnt: impl Fn(&suspect::RequestFingerprint) -> Vec<suspect::BurntPermit>,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        for claim in &mut self.runs {
            let known = burnt(&claim.request.fingerprint);
            claim.tick(&known, now, actions);
        }
        self.drop_told();
    }

    fn find(&self, run: suspect::RunNumber) -> Option<usize> {
        self.runs.binary_search_by_key(&run, |claim| claim.run).ok()
    }

    fn drop_told(&mut self) {
        self.runs.retain(|claim| match &claim.phase {
            RunPhase::Telling { left, tries, .. } => !left.is_empty() && *tries < TELL_TRIES,
            _ => true,
        });
    }
}

impl ClaimRun {
    fn ask(
        &mut self,
        place: usize,
        burnt: &[suspect::BurntPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        if place >= self.keepers.len() {
            if now.duration_since(self.began) >= CLAIM_PATIENCE {
                self.refuse(self.best, now, actions);
            } else {
                self.phase = RunPhase::Pausing(now + ROUND_PAUSE);
            }
            return;
        }
        self.phase = RunPhase::Asking {
            place,
            tries: 1,
            since: now,
        };
        self.send_claim(place, burnt, actions);
    }

    fn send_claim(
        &mut self,
        place: usize,
        burnt: &[suspect::BurntPermit],
        actions: &mut Vec<ClaimAction>,
    ) {
        let keeper = self.keepers[place].clone();
        if !self.unheard.contains(&keeper) {
            self.unheard.push(keeper.clone());
        }
        let message = suspect::SuspectMessage::Claim(self.claim(burnt));
        actions.push(ClaimAction::Send(keeper, message));
    }

    fn claim(&self, burnt: &[suspect::BurntPermit]) -> suspect::PermitClaim {
        suspect::PermitClaim {
            fingerprint: self.request.fingerprint,
            organisation: self.request.organisation.clone(),
            run: self.run,
            lasts: self.request.lasts,
            burnt: burnt.to_vec(),
            pardon: self.request.pardon.clone(),
        }
    }

    /// Returns a permit that came too late to be used.
    fn give_back(
        &mut self,
        from: &str,
        verdict: suspect::PermitVerdict,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let in_use = matches!(&self.phase, RunPhase::Running(keeper) if keeper == from);
        if verdict != suspect::PermitVerdict::Granted || in_use {
            return;
        }
        let message = self.end_message(&suspect::RunEnd::Harmless);
        if let RunPhase::Telling { left, next, .. } = &mut self.phase {
            // It is told with the rest, and until it is noted.
            if !left.iter().any(|(host, _)| host == from) {
                left.push((from.to_owned(), message));
                *next = now;
            }
            return;
        }
        // The run goes on elsewhere; should this be lost, the end tells it again.
        self.unheard.push(from.to_owned());
        actions.push(ClaimAction::Send(from.to_owned(), message));
    }

    fn refuse(&mut self, refusal: RunRefusal, now: time::Instant, actions: &mut Vec<ClaimAction>) {
        actions.push(ClaimAction::Refuse(self.run, refusal));
        let left = self.unheard_ends();
        self.tell(left, now, actions);
    }

    fn end(
        &mut self,
        host: &str,
        end: &suspect::RunEnd,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let mut left = self.unheard_ends();
        if let RunPhase::Running(keeper) = &self.phase {
            left.retain(|(unheard, _)| unheard != keeper);
            if !keeper.is_empty() {
                left.push((keeper.clone(), self.end_message(end)));
            }
            if let suspect::RunEnd::Crashed(mark) = end {
                let permit = suspect::BurntPermit {
                    keeper: keeper.clone(),
                    mark: mark.clone(),
                };
                left.extend(self.burnt_messages(host, &permit));
            }
        }
        self.tell(left, now, actions);
    }

    fn unheard_ends(&self) -> Vec<(id::HostName, suspect::SuspectMessage)> {
        self.unheard
            .iter()
            .map(|keeper| (keeper.clone(), self.end_message(&suspect::RunEnd::Harmless)))
            .collect()
    }

    fn burnt_messages(
        &self,
        host: &str,
        permit: &suspect::BurntPermit,
    ) -> Vec<(id::HostName, suspect::SuspectMessage)> {
        self.request
            .assigned
            .iter()
            .filter(|node| *node != host)
            .map(|node| {
                let message = suspect::SuspectMessage::Burnt {
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

    fn tell(
        &mut self,
        left: Vec<(id::HostName, suspect::SuspectMessage)>,
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        actions.extend(send_all(&left));
        self.phase = RunPhase::Telling {
            left,
            tries: 1,
            next: now + TELL_PERIOD,
        };
    }

    fn tick(
        &mut self,
        burnt: &[suspect::BurntPermit],
        now: time::Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        match &mut self.phase {
            RunPhase::Running(_) => {}
            RunPhase::Pausing(until) => {
                if now >= *until {
                    self.ask(0, burnt, now, actions);
                }
            }
            RunPhase::Asking {
                place,
                tries,
                since,
            } => {
                if now.duration_since(*since) < ANSWER_PATIENCE {
                    return;
                }
                let place = *place;
                if *tries < TRIES {
                    *tries += 1;
                    *since = now;
                    self.send_claim(place, burnt, actions);
                } else {
                    self.ask(place + 1, burnt, now, actions);
                }
            }
            RunPhase::Telling { left, tries, next } => {
                if now >= *next {
                    *tries += 1;
                    *next = now + TELL_PERIOD;
                    actions.extend(send_all(left));
                }
            }
        }
    }
}

fn send_all(
    left: &[(id::HostName, suspect::SuspectMessage)],
) -> impl Iterator<Item = ClaimAction> + '_ {
    left.iter()
        .map(|(host, message)| ClaimAction::Send(host.clone(), message.clone()))
}
