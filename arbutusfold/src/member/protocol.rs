//! State machine of the membership protocol: it turns events into actions.

use std::net;
use std::time as std_time;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time;

use crate::gossip;
use crate::id;
use crate::member;
use crate::member::message::{MemberMessage, MemberPhase, MemberRecord, MemberUpdate, MessageBody};
use crate::member::placement;
use crate::member::region;
use crate::probe;

mod merge;
mod receive;
mod regions;

/// Interval between two probes.
const PROBE_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Interval between two rounds of gossip while updates are pending.
const GOSSIP_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Number of peers that receive one round of gossip.
const GOSSIP_FANOUT: usize = 3;

/// Number of peers to which a leaving node sends its update at once.
const LEAVE_FANOUT: usize = 24;

/// Maximum number of updates piggybacked on one message.
const UPDATES_PER_MESSAGE: usize = 6;

/// Number of peers that are asked to probe a peer that does not answer.
const INDIRECT_FANOUT: usize = 3;

/// Time after an ack during which it has precedence over reports of other nodes
/// that the peer is suspected or dead.
const ACK_PRECEDENCE: std_time::Duration = std_time::Duration::from_millis(600);

/// Interval between two attempts to join while no live peer is known.
const ISOLATED_JOIN_PERIOD: std_time::Duration = std_time::Duration::from_millis(300);

/// Interval between two attempts to contact a dead host or a seed that is not a member.
const REJOIN_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

/// Interval between two comparisons of the state digest with a peer.
const COMPARE_PERIOD: std_time::Duration = std_time::Duration::from_secs(5);

/// Time for which the record of a dead host is kept.
const DEAD_RETENTION: std_time::Duration = std_time::Duration::from_secs(3_600 * 2);

/// An input to [`MemberProtocol`].
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Timers may be due.
    Tick,
    /// A message arrived.
    Received {
        /// Host that sent it.
        sender: id::HostName,
        /// The message.
        message: Box<MemberMessage>,
    },
    /// The phase of this node changed.
    Phase(MemberPhase),
    /// A configuration of this version came into force.
    Version(id::DocumentVersion),
    /// Addresses through which to join, from the settings or the host list.
    Seeds(Vec<net::SocketAddr>),
    /// The process is about to exit.
    Left,
}

/// An operation or notification that [`MemberProtocol`] returns to its caller.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a message. Delivery is not required.
    Send {
        /// Address of the receiver.
        to: net::SocketAddr,
        /// Incarnation of the receiver; 0 if it is unknown.
        receiver: id::IncarnationNumber,
        /// The message.
        message: Box<MemberMessage>,
    },
    /// A host joined or returned.
    Alive(id::HostName),
    /// A host is suspected of being dead.
    Suspected(id::HostName),
    /// A host is dead or has left.
    Gone {
        /// Name of the host.
        name: id::HostName,
        /// Cause that is logged.
        cause: &'static str,
    },
    /// Another region became reachable.
    RegionFound(id::RegionName),
    /// Another region became unreachable.
    RegionLost(id::RegionName),
    /// A peer has a newer configuration.
    NewerConfig {
        /// Version of that configuration.
        version: id::DocumentVersion,
        /// The peer.
        from: id::HostName,
    },
    /// This node raised its incarnation.
    IncarnationRaised(id::IncarnationNumber),
    /// Another process has this host's name and started later.
    Superseded,
}

/// Liveness of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// The member is suspected of being dead.
    Suspect,
    /// The member is dead or has left.
    Dead,
}

/// State of one member of the own region.
#[derive(Clone, Debug)]
struct MemberState {
    record: MemberRecord,
    status: MemberStatus,
    status_since: time::Instant,
    last_ack: Option<time::Instant>,
}

/// A probe on behalf of another node.
#[derive(Clone, Debug)]
struct RelayedProbe {
    nonce: probe::ProbeNonce,
    requester: id::HostName,
    requester_nonce: probe::ProbeNonce,
    started: time::Instant,
}

/// Due times of the periodic tasks.
#[derive(Clone, Debug)]
struct TaskTimes {
    probe: time::Instant,
    gossip: time::Instant,
    join: time::Instant,
    compare: time::Instant,
    summary: time::Instant,
}

/// Membership of the own region, and summaries of the other regions.
///
/// Failures are detected by direct and indirect probes; updates spread by
/// gossip, and a periodic comparison of digests repairs what gossip missed.
#[derive(Clone, Debug)]
pub struct MemberProtocol {
    own: MemberRecord,
    seeds: Vec<net::SocketAddr>,
    members: Vec<MemberState>,
    pending_updates: gossip::UpdateQueue<String, MemberUpdate>,
    probes: probe::ProbeSet,
    relayed: Vec<RelayedProbe>,
    targets: Vec<id::HostName>,
    neighbours: Vec<id::HostName>,
    regions: region::RegionTable,
    times: TaskTimes,
    left: bool,
    generation: u64,
}

impl MemberProtocol {
    /// Creates the protocol state of a node that knows only itself.
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
            regions: region::RegionTable::default(),
            times: TaskTimes {
                probe: now,
                gossip: now,
                join: now,
                compare: now + COMPARE_PERIOD,
                summary: now,
            },
            left: false,
            generation: 0,
        }
    }

    /// Returns the own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns a number that grows with each change of the membership.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the records of the live members including this node, sorted by name.
    pub fn alive(&self) -> Vec<MemberRecord> {
        let mut records: Vec<_> = self
            .live_members()
            .map(|member| member.record.clone())
            .collect();
        if !self.left {
            let index = records.partition_point(|record| record.name < self.own.name);
            records.insert(index, self.own.clone());
        }
        records
    }

    /// Returns the state of the other regions.
    pub fn remote_regions(&self) -> member::RemoteRegions {
        let names = self.regions.names();
        let contacts = names
            .iter()
            .filter(|region| self.regions.is_reachable(region))
            .flat_map(|region| self.regions.contacts(region))
            .collect();
        let mut domains: Vec<_> = self
            .regions
            .reports()
            .flat_map(|report| report.summary.domains.iter().cloned())
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

    /// Processes an event and returns the resulting actions.
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
            MemberEvent::Received { sender, message } => {
                self.receive(&sender, *message, now, &mut out);
            }
            MemberEvent::Phase(phase) => self.change_phase(phase, rng, &mut out),
            MemberEvent::Version(version) => {
                self.own.version = self.own.version.max(version);
                self.generation += 1;
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

    fn live_members(&self) -> impl Iterator<Item = &MemberState> {
        self.members
            .iter()
            .filter(|member| member.status != MemberStatus::Dead)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.record.name.as_str().cmp(name))
    }

    fn find_live(&self, name: &str) -> Option<&MemberState> {
        let member = &self.members[self.find(name).ok()?];
        (member.status != MemberStatus::Dead).then_some(member)
    }

    fn tick(&mut self, now: time::Instant, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        if now >= self.times.probe {
            self.times.probe = now + PROBE_PERIOD;
            if let Some(target) = self.next_target(rng) {
                let step = self.probes.begin(&target, now);
                step.into_iter()
                    .for_each(|step| self.run_probe_step(step, now, rng, out));
            }
        }
        for step in self.probes.due(now) {
            self.run_probe_step(step, now, rng, out);
        }
        self.send_nacks(now, out);
        if now >= self.times.gossip && !self.pending_updates.is_empty() {
            self.times.gossip = now + GOSSIP_PERIOD;
            self.send_gossip(GOSSIP_FANOUT, rng, out);
        }
        if now >= self.times.join {
            self.send_joins(now, rng, out);
        }
        if now >= self.times.compare {
            self.times.compare = now + COMPARE_PERIOD;
            let digest = self.digest();
            if let Some(peer) = self.neighbours.choose(rng).cloned() {
                self.send(&peer, MessageBody::Compare { digest }, out);
            }
            self.members.retain(|member| {
                member.status != MemberStatus::Dead
                    || now.duration_since(member.status_since) < DEAD_RETENTION
            });
        }
        if now >= self.times.summary {
            self.times.summary = now + region::SUMMARY_PERIOD;
            self.exchange_summaries(now, rng, out);
        }
    }

    /// Returns the next peer to probe. Each pass covers the peers at doubling
    /// distances on the ring in random order, so that every node is probed by
    /// as many nodes as it probes.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<id::HostName> {
        while let Some(target) = self.targets.pop() {
            if self.find_live(&target).is_some() {
                return Some(target);
            }
        }
        let names = self
            .live_members()
            .map(|member| member.record.name.as_str());
        let ring = placement::RingView::new(&self.own.name, names);
        let (mut targets, neighbours) = (ring.successors(), ring.neighbours());
        targets.shuffle(rng);
        self.targets = targets;
        self.neighbours = neighbours;
        self.targets.pop()
    }

    fn run_probe_step(
        &mut self,
        step: probe::ProbeStep,
        now: time::Instant,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        match step {
            probe::ProbeStep::Send { target, nonce } => {
                self.send(&target, MessageBody::Probe { nonce }, out);
            }
            probe::ProbeStep::SendIndirect { target, nonce } => {
                self.request_indirect_probes(&target, nonce, rng, out);
            }
            probe::ProbeStep::Suspect { target } => {
                let Some(member) = self.find_live(&target) else {
                    return;
                };
                let record_version = member.record.record_version();
                self.suspect(&target, record_version, now, out);
                // Notify the suspect first, so that it can refute.
                self.send(&target, MessageBody::Gossip, out);
            }
            probe::ProbeStep::Dead { target } => {
                let Some(member) = self.find_live(&target) else {
                    return;
                };
                let record_version = member.record.record_version();
                self.declare_dead(&target, record_version, "silent", now, out);
                self.send_gossip(GOSSIP_FANOUT, rng, out);
            }
        }
    }

    fn request_indirect_probes(
        &mut self,
        target: &str,
        nonce: probe::ProbeNonce,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        let Some(member) = self.find_live(target) else {
            return;
        };
        let body = MessageBody::IndirectProbe {
            nonce,
            target: target.to_owned(),
            address: member.record.peers,
            incarnation: member.record.incarnation,
        };
        let others: Vec<_> = self
            .live_members()
            .filter(|member| member.record.name != target && member.status == MemberStatus::Alive)
            .map(|member| member.record.name.clone())
            .collect();
        if others.is_empty() {
            self.probes.note_no_relays(nonce);
        }
        for peer in others.sample(rng, INDIRECT_FANOUT) {
            self.send(peer, body.clone(), out);
        }
    }

    /// Replies to the requesters of relayed probes that were not answered.
    fn send_nacks(&mut self, now: time::Instant, out: &mut Vec<MemberAction>) {
        let (waiting, expired) = std::mem::take(&mut self.relayed)
            .into_iter()
            .partition(|relayed| now.duration_since(relayed.started) < probe::RELAY_TIMEOUT);
        self.relayed = waiting;
        let expired: Vec<RelayedProbe> = expired;
        for relayed in expired {
            let nonce = relayed.requester_nonce;
            self.send(&relayed.requester, MessageBody::Nack { nonce }, out);
        }
    }

    /// Sends pending updates to a few random neighbours.
    fn send_gossip(&mut self, fanout: usize, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        if self.neighbours.is_empty() {
            let names = self
                .live_members()
                .map(|member| member.record.name.as_str());
            self.neighbours = placement::RingView::new(&self.own.name, names).neighbours();
        }
        let chosen: Vec<_> = self.neighbours.sample(rng, fanout).cloned().collect();
        for peer in chosen {
            self.send(&peer, MessageBody::Gossip, out);
        }
    }

    /// Sends a join request to one dead host or seed that is not a member, or to
    /// all of them while no live member is known.
    fn send_joins(&mut self, now: time::Instant, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        let isolated = self.live_members().next().is_none();
        self.times.join = now
            + if isolated {
                ISOLATED_JOIN_PERIOD
            } else {
                REJOIN_PERIOD
            };
        let mut candidates: Vec<_> = self
            .members
            .iter()
            .filter(|member| member.status == MemberStatus::Dead)
            .map(|member| member.record.peers)
            .chain(self.seeds.iter().copied())
            .filter(|address| *address != self.own.peers)
            .filter(|address| {
                self.live_members()
                    .all(|member| member.record.peers != *address)
            })
            .collect();
        candidates.sort_unstable();
        candidates.dedup();
        let count = if isolated { candidates.len() } else { 1 };
        let chosen: Vec<_> = candidates.sample(rng, count).copied().collect();
        for address in chosen {
            let body = MessageBody::Join(self.own.clone());
            self.send_to(address, 0, body, out);
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
        self.publish_own_record();
        let fanout = match phase {
            MemberPhase::Leaving => LEAVE_FANOUT,
            MemberPhase::Joining | MemberPhase::Serving => GOSSIP_FANOUT,
        };
        self.send_gossip(fanout, rng, out);
    }

    fn leave(&mut self, rng: &mut impl Rng, out: &mut Vec<MemberAction>) {
        self.left = true;
        self.generation += 1;
        let update = MemberUpdate::Dead {
            name: self.own.name.clone(),
            record_version: self.own.record_version(),
        };
        self.pending_updates.put(update.key(), update);
        self.send_gossip(LEAVE_FANOUT, rng, out);
    }

    /// Publishes the own record under the next revision.
    fn publish_own_record(&mut self) {
        self.own.revision += 1;
        self.generation += 1;
        let update = MemberUpdate::Alive(self.own.clone());
        self.pending_updates.put(update.key(), update);
    }

    /// Returns a digest of the records of the live members, this node included.
    fn digest(&self) -> u64 {
        let own = placement::record_digest(&self.own);
        self.live_members().fold(own, |digest, member| {
            digest ^ placement::record_digest(&member.record)
        })
    }

    fn message(&mut self, body: MessageBody) -> MemberMessage {
        let transmit_limit = gossip::transmit_limit(self.members.len() + 1);
        MemberMessage {
            from: self.own.peers,
            record_version: self.own.record_version(),
            config_version: self.own.version,
            body,
            updates: self
                .pending_updates
                .take(UPDATES_PER_MESSAGE, transmit_limit),
        }
    }

    fn send(&mut self, to: &str, body: MessageBody, out: &mut Vec<MemberAction>) {
        let Some(member) = self.find_live(to) else {
            return;
        };
        let (address, incarnation) = (member.record.peers, member.record.incarnation);
        self.send_to(address, incarnation, body, out);
    }

    fn send_to(
        &mut self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        body: MessageBody,
        out: &mut Vec<MemberAction>,
    ) {
        let message = Box::new(self.message(body));
        out.push(MemberAction::Send {
            to,
            receiver,
            message,
        });
    }
}

fn is_recently_acked(member: &MemberState, now: time::Instant) -> bool {
    member
        .last_ack
        .is_some_and(|acked| now.duration_since(acked) < ACK_PRECEDENCE)
}
