//! Which nodes are alive, and the addresses that callers are given.

use std::net;
use std::sync;
use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Silence after which a peer counts as dead.
const SILENCE_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_500);

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

/// What a node knows of its peers, itself included.
#[derive(Debug, Default)]
pub struct MemberView {
    members: sync::Mutex<Vec<(PeerHeartbeat, time::Instant)>>,
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

    fn lock(&self) -> sync::MutexGuard<'_, Vec<(PeerHeartbeat, time::Instant)>> {
        self.members
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn rank(caller: &str, host: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(caller.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_bytes());
    *hasher.finalize().as_bytes()
}
