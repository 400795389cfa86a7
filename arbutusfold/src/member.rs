//! Which nodes are alive, and which of them serve an organisation or a caller.

use std::net;
use std::sync;
use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::document;
use crate::id;

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Silence after which a peer counts as dead.
const SILENCE_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Fewest nodes that an organisation is assigned to, where there are as many.
const ASSIGNED_NODES: usize = 3;

/// What a node tells its peers of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Name of the host.
    pub name: id::HostName,
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Region of the host.
    pub region: id::RegionName,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Address on which it serves callers.
    pub callers: net::SocketAddr,
    /// Address on which it hears peers.
    pub peers: net::SocketAddr,
    /// Version of the configuration in force.
    pub version: id::DocumentVersion,
    /// Whether it may be named to callers.
    pub serving: bool,
}

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerContact {
    /// Name of the host.
    pub host: id::HostName,
    /// Address on which it hears peers.
    pub address: net::SocketAddr,
    /// Incarnation of its process.
    pub incarnation: id::IncarnationNumber,
}

/// Share of an organisation in the weight of all.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightShare {
    /// Name of the organisation.
    pub organisation: id::OrganisationName,
    /// Its part of the weight of all organisations, from 0 to 1.
    pub share: f64,
}

/// Returns the shares of a document's organisations.
pub fn shares(document: &document::ConfigDocument) -> Vec<WeightShare> {
    let organisations = &document.organisations;
    let total: f64 = organisations
        .iter()
        .map(|spec| f64::from(spec.weight))
        .sum();
    organisations
        .iter()
        .map(|spec| WeightShare {
            organisation: spec.name.clone(),
            share: f64::from(spec.weight) / total.max(1.0),
        })
        .collect()
}

/// What a node knows of its peers, itself included.
#[derive(Debug, Default)]
pub struct MemberView {
    members: sync::Mutex<Vec<(PeerHeartbeat, time::Instant)>>,
    shares: sync::Mutex<Vec<WeightShare>>,
}

impl MemberView {
    /// Takes a heartbeat and tells whether the peer is new or started anew.
    pub fn hear(&self, heartbeat: PeerHeartbeat, now: time::Instant) -> bool {
        let mut members = self.lock();
        match members.binary_search_by(|(known, _)| known.name.cmp(&heartbeat.name)) {
            Ok(place) if members[place].0.incarnation > heartbeat.incarnation => false,
            Ok(place) => {
                let fresh = members[place].0.incarnation < heartbeat.incarnation;
                members[place] = (heartbeat, now);
                fresh
            }
            Err(place) => {
                members.insert(place, (heartbeat, now));
                true
            }
        }
    }

    /// Removes peers that were silent too long and returns their names.
    pub fn expire(&self, now: time::Instant) -> Vec<id::HostName> {
        let mut members = self.lock();
        let (kept, gone) = std::mem::take(&mut *members)
            .into_iter()
            .partition(|(_, heard)| now.duration_since(*heard) <= SILENCE_LIMIT);
        *members = kept;
        let gone: Vec<(PeerHeartbeat, time::Instant)> = gone;
        gone.into_iter().map(|(known, _)| known.name).collect()
    }

    /// Returns the members alive, by name.
    pub fn alive(&self) -> Vec<PeerHeartbeat> {
        self.lock().iter().map(|(known, _)| known.clone()).collect()
    }

    /// Returns where every member alive is reached, by name.
    pub fn contacts(&self) -> Vec<PeerContact> {
        self.lock()
            .iter()
            .map(|(known, _)| contact_of(known))
            .collect()
    }

    /// Returns where a member is reached, if it is alive.
    pub fn contact(&self, host: &str) -> Option<PeerContact> {
        let members = self.lock();
        let place = members
            .binary_search_by(|(known, _)| known.name.as_str().cmp(host))
            .ok()?;
        Some(contact_of(&members[place].0))
    }

    /// Sets the shares of organisations, which decide how many nodes each gets.
    pub fn set_shares(&self, mut shares: Vec<WeightShare>) {
        shares.sort_by(|left, right| left.organisation.cmp(&right.organisation));
        *self
            .shares
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = shares;
    }

    /// Returns the few serving nodes that an organisation is assigned to, best first.
    ///
    /// Every node that sees the same members returns the same list. It holds
    /// one node of each failure domain, up to three, and more in turn over
    /// the domains as the organisation's share needs. A lost node moves only
    /// the organisations that it had.
    pub fn nodes_for(&self, organisation: &str) -> Vec<id::HostName> {
        let members = self.alive();
        let serving: Vec<_> = members.iter().filter(|known| known.serving).collect();
        let count = assigned_count(self.share(organisation), serving.len());
        let mut ranked: Vec<_> = serving
            .iter()
            .map(|known| (rank(organisation, &known.name), *known))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        let ordered = ranked.into_iter().map(|(_, known)| known).collect();
        over_domains(ordered)
            .into_iter()
            .take(count)
            .map(|known| known.name.clone())
            .collect()
    }

    /// Returns the addresses to give to a caller, best first.
    ///
    /// Hosts are ordered by a hash of caller and host, so that each caller
    /// has its own order and a change of one host moves few of them.
    pub fn answer(&self, caller: &str) -> Vec<net::SocketAddr> {
        let mut ranked: Vec<_> = self
            .lock()
            .iter()
            .filter(|(known, _)| known.serving)
            .map(|(known, _)| (rank(caller, &known.name), known.callers))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    fn share(&self, organisation: &str) -> f64 {
        let shares = self
            .shares
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        shares
            .binary_search_by(|held| held.organisation.as_str().cmp(organisation))
            .map_or(0.0, |place| shares[place].share)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<(PeerHeartbeat, time::Instant)>> {
        self.members
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn contact_of(known: &PeerHeartbeat) -> PeerContact {
    PeerContact {
        host: known.name.clone(),
        address: known.peers,
        incarnation: known.incarnation,
    }
}

/// Returns the number of nodes for an organisation of that share.
fn assigned_count(share: f64, nodes: usize) -> usize {
    let needed = (share * nodes as f64).ceil() as usize;
    needed.max(ASSIGNED_NODES).min(nodes)
}

/// Orders members so that each failure domain comes once before any comes twice.
fn over_domains(ordered: Vec<&PeerHeartbeat>) -> Vec<&PeerHeartbeat> {
    let mut counts: Vec<(&str, usize)> = Vec::new();
    let mut placed: Vec<_> = ordered
        .into_iter()
        .map(|known| (turn_of(&mut counts, &known.domain), known))
        .collect();
    placed.sort_by_key(|(turn, _)| *turn);
    placed.into_iter().map(|(_, known)| known).collect()
}

fn turn_of<'a>(counts: &mut Vec<(&'a str, usize)>, domain: &'a str) -> usize {
    match counts.iter_mut().find(|(held, _)| *held == domain) {
        Some((_, count)) => {
            *count += 1;
            *count
        }
        None => {
            counts.push((domain, 0));
            0
        }
    }
}

fn rank(caller: &str, host: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_bytes());
    *hasher.finalize().as_bytes()
}
