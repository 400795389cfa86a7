//! What nodes tell each other of their load on runners.
//!
//! Runners report their load late and for a price; the nodes that send it
//! know it at once. Nodes use the runners of their own failure domain first,
//! so in a large fleet they tell the nodes of that domain only.

use std::sync;
use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::gateway::core;
use crate::gateway::core::lock;
use crate::id;
use crate::peer;

/// Time between two tellings for each node that is told, so that the cost of
/// a node does not grow with their number.
const PERIOD_PER_NODE: std_time::Duration = std_time::Duration::from_millis(40);

/// Shortest time between two tellings.
const PERIOD_LEAST: std_time::Duration = std_time::Duration::from_millis(100);

/// Periods after which what a silent node told is forgotten.
const MEMORY_PERIODS: u32 = 5;

/// Largest fleet in which nodes tell all others.
const SMALL_FLEET_NODES: usize = 16;

/// Load of one node on one runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// Id of the runner.
    pub runner: id::UpstreamName,
    /// Requests under way there.
    pub in_flight: u32,
    /// Tokens of context of these, times the layers that they pass there.
    pub token_layers: u64,
}

/// What one peer told last.
#[derive(Clone, Debug)]
struct PeerLoad {
    host: id::HostName,
    heard: time::Instant,
    loads: Vec<RunnerLoad>,
}

/// Load of the peers, as they told it last.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    /// Peers by name.
    peers: Vec<PeerLoad>,
}

impl LoadBook {
    /// Takes what a peer tells; `loads` is sorted by runner.
    pub fn hear(&mut self, host: &str, loads: Vec<RunnerLoad>, now: time::Instant) {
        let fresh = PeerLoad {
            host: host.to_owned(),
            heard: now,
            loads,
        };
        let found = self
            .peers
            .binary_search_by(|peer| peer.host.as_str().cmp(host));
        match found {
            Ok(place) => self.peers[place] = fresh,
            Err(place) => self.peers.insert(place, fresh),
        }
    }

    /// Forgets peers that were not heard for long.
    pub fn forget(&mut self, period: std_time::Duration, now: time::Instant) {
        self.peers
            .retain(|peer| now.saturating_duration_since(peer.heard) < period * MEMORY_PERIODS);
    }

    /// Returns the requests and the tokens times layers of all peers at a runner.
    pub fn of(&self, runner: &str) -> (u32, u64) {
        let loads = self.peers.iter().filter_map(|peer| {
            let found = peer
                .loads
                .binary_search_by(|load| load.runner.as_str().cmp(runner));
            found.ok().map(|place| &peer.loads[place])
        });
        loads.fold((0, 0), |(in_flight, token_layers), load| {
            (in_flight + load.in_flight, token_layers + load.token_layers)
        })
    }
}

/// Returns the time between two tellings to so many nodes.
pub fn period(nodes: usize) -> std_time::Duration {
    (PERIOD_PER_NODE * nodes as u32).max(PERIOD_LEAST)
}

/// Tells the nodes that use the same runners what this node has under way.
pub async fn keep(core: sync::Arc<core::GatewayCore>) {
    let mut idle = false;
    loop {
        let members = core.members.alive();
        let small = members.len() <= SMALL_FLEET_NODES;
        let told: Vec<_> = members
            .iter()
            .filter(|record| small || record.domain == core.settings.domain)
            .filter(|record| record.name != core.settings.name)
            .collect();
        let period = period(told.len());
        time::sleep(period).await;
        let loads = own_loads(&core);
        lock(&core.loads).forget(period, time::Instant::now());
        // An empty load is told once; after that silence says the same.
        if idle && loads.is_empty() {
            continue;
        }
        idle = loads.is_empty();
        if let Ok(body) = postcard::to_stdvec(&loads) {
            told.iter().for_each(|record| {
                core.post
                    .post(&record.name, peer::MessageKind::RunnerLoad, &body);
            });
        }
    }
}

fn own_loads(core: &core::GatewayCore) -> Vec<RunnerLoad> {
    let fleet = lock(&core.fleet);
    let busy = fleet.runners().iter().filter(|state| state.in_flight > 0);
    busy.map(|state| RunnerLoad {
        runner: state.record.id.clone(),
        in_flight: state.in_flight,
        token_layers: state.token_layers,
    })
    .collect()
}

/// Takes what peers tell of their load.
pub struct LoadHandler {
    core: sync::Arc<core::GatewayCore>,
}

impl LoadHandler {
    /// Creates the handler of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl peer::MessageHandler for LoadHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        // What a later release added is not understood and dropped.
        if let Ok(loads) = postcard::from_bytes::<Vec<RunnerLoad>>(body) {
            lock(&self.core.loads).hear(sender, loads, time::Instant::now());
        }
    }
}
