//! The state machine of membership: events in, actions out.

use std::net;
use std::time as std_time;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time;

use crate::gossip;
use crate::id;
use crate::member;
use crate::member::message::{MemberAct, MemberMessage, MemberPhase, MemberRecord, MemberUpdate};
use crate::member::region;
use crate::member::spread;
use crate::probe;

mod listen;
mod merge;
mod regions;

/// Time between two probes.
const PROBE_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Time between two rounds of gossip while there is news.
const GOSSIP_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Peers that hear one round of gossip.
const GOSSIP_PEERS: usize = 3;

/// Peers that a leaving node tells at once.
const LEAVE_PEERS: usize = 24;

/// Updates that one message carries.
const UPDATES_PER_MESSAGE: usize = 6;

/// Peers that are asked to probe a silent one.
const INDIRECT_PEERS: usize = 3;

/// Time for which an answer outweighs what others say.
const FIRST_HAND: std_time::Duration = std_time::Duration::from_millis(600);

/// Time between two tries to join while nobody is known.
const ALONE_PERIOD: std_time::Duration = std_time::Duration::from_millis(300);

/// Time between two tries to meet a lost host or an unmet seed again.
const REJOIN_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

/// Time between two comparisons of all that is known.
const COMPARE_PERIOD: std_time::Duration = std_time::Duration::from_secs(5);

/// Time for which a dead host is remembered.
const DEAD_MEMORY: std_time::Duration = std_time::Duration::from_secs(3_600 * 2);

/// What happens to the keeper.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Time passed.
    Tick,
    /// A message arrived.
    Heard {
        /// Host that sent it.
        sender: id::HostName,
        /// The message.
        message: Box<MemberMessage>,
    },
    /// This node changed its phase.
    Phase(MemberPhase),
    /// A configuration came into force.
    Version(id::DocumentVersion),
    /// Addresses at which peers may be met, from settings or the host list.
    Seeds(Vec<net::SocketAddr>),
    /// The process ends.
    Left,
}

/// What the keeper wants done.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a message; it may be lost.
    Send {
        /// Address of the receiver.
        to: net::SocketAddr,
        /// Incarnation of the receiver, 0 where it was not met.
        receiver: id::IncarnationNumber,
        /// The message.
        message: Box<MemberMessage>,
    },
    /// A host became known as alive.
    Alive(id::HostName),
    /// A host is suspected.
    Suspected(id::HostName),
    /// A host is dead or gone.
    Gone {
        /// Name of the host.
        name: id::HostName,
        /// Why it counts as gone.
        cause: &'static str,
    },
    /// Another region is heard again or for the first time.
    RegionFound(id::RegionName),
    /// Another region is cut off.
    RegionLost(id::RegionName),
    /// A peer holds a newer configuration.
    Newer {
        /// Its version.
        version: id::DocumentVersion,
        /// The peer.
        from: id::HostName,
    },
    /// This node goes on under another incarnation.
    Raised(id::IncarnationNumber),
    /// Another process has this host's name and a later start.
    Superseded,
}

/// Whether a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It is suspected.
    Suspect,
    /// It is dead or gone.
    Dead,
}

/// What is known of one member.
#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    status: MemberStatus,
    since: time::Instant,
    answered: Option<time::Instant>,
}

/// A probe that is made for another node.
#[derive(Clone, Debug)]
struct RelayedProbe {
    nonce: probe::ProbeNonce,
    asker: id::HostName,
    asker_nonce: probe::ProbeNonce,
    started: time::Instant,
}

/// When periodic duties come next.
#[derive(Clone, Debug)]
struct DutyTimes {
    probe: time::Instant,
    gossip: time::Instant,
    join: time::Instant,
    compare: time::Instant,
    summary: time::Instant,
}

/// Keeps the membership of the own region and summaries of the others.
#[derive(Clone, Debug)]
pub struct MemberKeeper {
    own: MemberRecord,
    seeds: Vec<net::SocketAddr>,
    members: Vec<MemberState>,
    pending_updates: gossip::UpdateQueue<String, MemberUpdate>,
    probes: probe::ProbeSet,
    relayed: Vec<RelayedProbe>,
    targets: Vec<id::HostName>,
    neighbours: Vec<id::HostName>,
    regions: region::RegionBook,
    times: DutyTimes,
    left: bool,
    changes: u64,
}

impl MemberKeeper {
    /// Creates the keeper of a node that knows only itself.
    pub fn new(own: MemberRecord, seeds: Vec<net::SocketAddr>, now: time::Instant) -> Self {
        Self {
            own,
            seeds,
            members: Vec::new(),
            pending_updates: gossip::UpdateQueue::default(),
            probes: probe::ProbeSet::default(),
            relayed: Vec::new(),
            targets: Vec::new(),
            neighbours: Vec::new(),
            regions: region::RegionBook::default(),
            times: DutyTimes {
                probe: now,
                gossip: now,
                join: now,
                compare: now + COMPARE_PERIOD,
                summary: now,
            },
            left: false,
            changes: 0,
        }
    }

    /// Returns the own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns a number that grows whenever what is known changes.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the records of members that count as alive, itself included, by name.
    pub fn alive(&self) -> Vec<MemberRecord> {
        let mut records: Vec<_> = self.living().map(|held| held.record.clone()).collect();
        if !self.left {
            let place = records.partition_point(|record| record.name < self.own.name);
            records.insert(place, self.own.clone());
        }
        records
    }

    /// Returns what is known of other regions.
    pub fn remote(&self) -> member::RemoteRegions {
        let names = self.regions.names();
        let contacts = names
            .iter()
            .filter(|region| self.regions.is_reached(region))
            .flat_map(|region| self.regions.contacts(region))
            .collect();
        let mut domains: Vec<_> = self
            .regions
            .words()
            .flat_map(|word| word.summary.domains.iter().cloned())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let alive = names.iter().map(|region| self.regions.alive(region)).sum();
        member::RemoteRegions {
            contacts,
            domains,
            alive,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(
        &mut self,
        event: MemberEvent,
        now: time::Instant,
        rng: &mut impl Rng,
    ) -> Vec<MemberAction> {
        let mut out = Vec::new();
        self.probes.observe(now);
        match event {
            MemberEvent::Tick => self.tick(now, rng, &mut out),
            MemberEvent::Heard { sender, message } => {
                self.hear(&sender, *message, now, &mut out);
            }
            MemberEvent::Phase(phase) => self.change_phase(phase, rng, &mut out),
            MemberEvent::Version(version) => {
                self.own.version = self.own.version.max(version);
                self.changes += 1;
            }
            MemberEvent::Seeds(mut seeds) => {
                self.seeds.append(&mut seeds);
                self.seeds.sort_unstable();
                self.seeds.dedup();
            }
            MemberEvent::Left => self.leave(rng, &mut out),
        }
        out
    }

    fn living(&self) -> impl Iterator<Item = &MemberState> {
        self.members
            .iter()
            .filter(|held| held.status != MemberStatus::Dead)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|held| held.record.name.as_str().cmp(name))
    }

    fn find_living(&self, name: &str) -> Option<&MemberState> {
        let held = &self.members[self.find(name).ok()?];
        (held.status != MemberStatus::Dead).then_some(held)
    }

    fn tick(&mut self, now: time::Instant, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        if now >= self.times.probe {
            self.times.probe = now + PROBE_PERIOD;
            if let Some(target) = self.next_target(rng) {
                let step = self.probes.begin(&target, now);
                step.into_iter()
                    .for_each(|step| self.carry_out(step, now, rng, out));
            }
        }
        for step in self.probes.due(now) {
            self.carry_out(step, now, rng, out);
        }
        self.report_silent(now, out);
        if now >= self.times.gossip && !self.pending_updates.is_empty() {
            self.times.gossip = now + GOSSIP_PERIOD;
            self.tell(GOSSIP_PEERS, rng, out);
        }
        if now >= self.times.join {
            self.seek(now, rng, out);
        }
        if now >= self.times.compare {
            self.times.compare = now + COMPARE_PERIOD;
            let digest = self.digest();
            if let Some(peer) = self.neighbours.choose(rng).cloned() {
                self.send(&peer, MemberAct::Compare { digest }, out);
            }
            self.members.retain(|held| {
                held.status != MemberStatus::Dead || now.duration_since(held.since) < DEAD_MEMORY
            });
        }
        if now >= self.times.summary {
            self.times.summary = now + region::SUMMARY_PERIOD;
            self.speak_to_regions(now, rng, out);
        }
    }

    /// Returns the next peer to probe: each pass goes over a few peers at
    /// doubling distances on a ring, in random order, so that every node is
    /// probed by as many others as it probes.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<id::HostName> {
        while let Some(target) = self.targets.pop() {
            if self.find_living(&target).is_some() {
                return Some(target);
            }
        }
        let names = self.living().map(|held| held.record.name.as_str());
        let ring = spread::RingView::new(&self.own.name, names);
        let (mut targets, neighbours) = (ring.after(), ring.both());
        targets.shuffle(rng);
        self.targets = targets;
        self.neighbours = neighbours;
        self.targets.pop()
    }

    fn carry_out(
        &mut self,
        step: probe::ProbeStep,
        now: time::Instant,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        match step {
            probe::ProbeStep::Ask { target, nonce } => {
                self.send(&target, MemberAct::Probe { nonce }, out);
            }
            probe::ProbeStep::AskOthers { target, nonce } => {
                self.ask_others(&target, nonce, rng, out);
            }
            probe::ProbeStep::Suspect { target } => {
                let Some(held) = self.find_living(&target) else {
                    return;
                };
                let age = held.record.age();
                self.suspect(&target, age, now, out);
                // The suspect itself hears it first.
                self.send(&target, MemberAct::Gossip, out);
            }
            probe::ProbeStep::Dead { target } => {
                let Some(held) = self.find_living(&target) else {
                    return;
                };
                let age = held.record.age();
                self.bury(&target, age, "silent", now, out);
                self.tell(GOSSIP_PEERS, rng, out);
            }
        }
    }

    fn ask_others(
        &mut self,
        target: &str,
        nonce: probe::ProbeNonce,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        let Some(held) = self.find_living(target) else {
            return;
        };
        let act = MemberAct::ProbeFor {
            nonce,
            target: target.to_owned(),
            address: held.record.peers,
            incarnation: held.record.incarnation,
        };
        let others: Vec<_> = self
            .living()
            .filter(|held| held.record.name != target && held.status == MemberStatus::Alive)
            .map(|held| held.record.name.clone())
            .collect();
        if others.is_empty() {
            self.probes.note_alone(nonce);
        }
        for peer in others.sample(rng, INDIRECT_PEERS) {
            self.send(peer, act.clone(), out);
        }
    }

    /// Tells nodes that asked for a probe which peers did not answer it.
    fn report_silent(&mut self, now: time::Instant, out: &mut Vec<MemberAction>) {
        let (waiting, silent) = std::mem::take(&mut self.relayed)
            .into_iter()
            .partition(|held| now.duration_since(held.started) < probe::RELAY_WAIT);
        self.relayed = waiting;
        let silent: Vec<RelayedProbe> = silent;
        for held in silent {
            let nonce = held.asker_nonce;
            self.send(&held.asker, MemberAct::Silent { nonce }, out);
        }
    }

    /// Tells rumours to a few neighbours.
    fn tell(&mut self, peers: usize, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        if self.neighbours.is_empty() {
            let names = self.living().map(|held| held.record.name.as_str());
            self.neighbours = spread::RingView::new(&self.own.name, names).both();
        }
        let chosen: Vec<_> = self.neighbours.sample(rng, peers).cloned().collect();
        for peer in chosen {
            self.send(&peer, MemberAct::Gossip, out);
        }
    }

    /// Tries to meet a host that was lost or never met.
    fn seek(&mut self, now: time::Instant, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        let alone = self.living().next().is_none();
        self.times.join = now + if alone { ALONE_PERIOD } else { REJOIN_PERIOD };
        let mut unmet: Vec<_> = self
            .members
            .iter()
            .filter(|held| held.status == MemberStatus::Dead)
            .map(|held| held.record.peers)
            .chain(self.seeds.iter().copied())
            .filter(|address| *address != self.own.peers)
            .filter(|address| self.living().all(|held| held.record.peers != *address))
            .collect();
        unmet.sort_unstable();
        unmet.dedup();
        let count = if alone { unmet.len() } else { 1 };
        let chosen: Vec<_> = unmet.sample(rng, count).copied().collect();
        for address in chosen {
            let act = MemberAct::Join(self.own.clone());
            self.send_to(address, 0, act, out);
        }
    }

    fn change_phase(
        &mut self,
        phase: MemberPhase,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        if self.own.phase == phase || self.own.phase == MemberPhase::Leaving {
            return;
        }
        self.own.phase = phase;
        self.renew();
        let peers = match phase {
            MemberPhase::Leaving => LEAVE_PEERS,
            MemberPhase::Joining | MemberPhase::Serving => GOSSIP_PEERS,
        };
        self.tell(peers, rng, out);
    }

    fn leave(&mut self, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        self.left = true;
        self.changes += 1;
        let update = MemberUpdate::Dead {
            name: self.own.name.clone(),
            age: self.own.age(),
        };
        self.pending_updates.put(update.subject(), update);
        self.tell(LEAVE_PEERS, rng, out);
    }

    /// Puts the own record anew under the next revision.
    fn renew(&mut self) {
        self.own.revision += 1;
        self.changes += 1;
        let update = MemberUpdate::Alive(self.own.clone());
        self.pending_updates.put(update.subject(), update);
    }

    /// Returns a digest over the members alive.
    fn digest(&self) -> u64 {
        let own = spread::record_digest(&self.own);
        self.living()
            .fold(own, |all, held| all ^ spread::record_digest(&held.record))
    }

    fn message(&mut self, act: MemberAct) -> MemberMessage {
        let copies = gossip::transmit_limit(self.members.len() + 1);
        MemberMessage {
            from: self.own.peers,
            age: self.own.age(),
            version: self.own.version,
            act,
            updates: self.pending_updates.take(UPDATES_PER_MESSAGE, copies),
        }
    }

    fn send(&mut self, to: &str, act: MemberAct, out: &mut Vec<MemberAction>) {
        let Some(held) = self.find_living(to) else {
            return;
        };
        let (address, incarnation) = (held.record.peers, held.record.incarnation);
        self.send_to(address, incarnation, act, out);
    }

    fn send_to(
        &mut self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        act: MemberAct,
        out: &mut Vec<MemberAction>,
    ) {
        let message = Box::new(self.message(act));
        out.push(MemberAction::Send {
            to,
            receiver,
            message,
        });
    }
}

fn is_first_hand(held: &MemberState, now: time::Instant) -> bool {
    held.answered
        .is_some_and(|answered| now.duration_since(answered) < FIRST_HAND)
}
