//! Test fixture: nodes that exchange demand on a paused clock, over a network in
//! memory and with runners that are only addresses.

#![allow(dead_code, clippy::unwrap_used)]

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{
    core, demand_driver, dial, leader, leader_driver, mirror, settings, versions,
};
use arbutusfold::{member, peer, suspect};
use arbutusfold_platform::store;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Failure domains, assigned to nodes and runners in turn.
pub const DOMAINS: usize = 3;

/// Time that a message takes.
pub const DELAY: std_time::Duration = std_time::Duration::from_millis(3);

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// How a network treats messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageFate {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub doubled: f64,
    /// Longest additional delay.
    pub late: std_time::Duration,
}

/// Nodes and the network between them.
pub struct DemandNetwork {
    /// The nodes.
    pub nodes: sync::OnceLock<Vec<sync::Arc<core::GatewayCore>>>,
    /// Runners whose process does not exist, by address.
    pub dead: sync::Mutex<Vec<net::SocketAddr>>,
    /// Nodes that reach no runner.
    pub cut_from_runners: sync::Mutex<Vec<usize>>,
    /// Nodes that send and receive no message.
    pub cut_from_nodes: sync::Mutex<Vec<usize>>,
    /// Messages about demand and their bytes, by sender.
    pub sent: Vec<(atomic::AtomicU64, atomic::AtomicU64)>,
    /// Connections opened to runners, by node.
    pub opened: Vec<atomic::AtomicU64>,
    fate: sync::Mutex<MessageFate>,
    random: sync::Mutex<rand_chacha::ChaCha8Rng>,
    signer: peer::MessageSigner,
}

struct NodeTransport {
    network: sync::Arc<DemandNetwork>,
    from: usize,
}

impl peer::PeerTransport for NodeTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let network = sync::Arc::clone(&self.network);
        let receiver = usize::from(to.port());
        let envelope = network.signer.verify(to, message).unwrap();
        let lead = versions::decode::<leader::LeaderMessage>(&envelope.body);
        if envelope.kind == peer::MessageKind::Lead.number() && lead.unwrap().0.is_demand() {
            let (messages, bytes) = &network.sent[self.from];
            messages.fetch_add(1, atomic::Ordering::Relaxed);
            bytes.fetch_add(message.len() as u64, atomic::Ordering::Relaxed);
        }
        let cut = network.cut_from_nodes.lock().unwrap();
        if cut.contains(&self.from) || cut.contains(&receiver) {
            return;
        }
        drop(cut);
        let fate = *network.fate.lock().unwrap();
        let mut random = network.random.lock().unwrap();
        if random.random::<f64>() < fate.loss {
            return;
        }
        let copies = if random.random::<f64>() < fate.doubled {
            2
        } else {
            1
        };
        let delays: Vec<_> = (0..copies)
            .map(|_| DELAY + fate.late.mul_f64(random.random::<f64>()))
            .collect();
        drop(random);
        for delay in delays {
            let network = sync::Arc::clone(&network);
            let message = message.to_vec();
            tokio::spawn(async move {
                time::sleep(delay).await;
                // Copies and overtaken messages are rejected.
                let _ = network.nodes.get().unwrap()[receiver]
                    .post
                    .receive(&message);
            });
        }
    }
}

struct AddressDialer {
    network: sync::Arc<DemandNetwork>,
    node: usize,
}

#[async_trait::async_trait]
impl dial::RunnerDialer for AddressDialer {
    async fn open(
        &self,
        address: net::SocketAddr,
        _limit: std_time::Duration,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        let network = &self.network;
        network.opened[self.node].fetch_add(1, atomic::Ordering::Relaxed);
        time::sleep(DELAY).await;
        let is_cut = network
            .cut_from_runners
            .lock()
            .unwrap()
            .contains(&self.node);
        let is_dead = network.dead.lock().unwrap().contains(&address);
        if is_cut || is_dead {
            return Err(dial::DialError {
                address,
                is_refused: true,
                // The worst case: a node that takes its own cut for a failure.
                is_confirmed: true,
                reason: "refused".to_owned(),
            });
        }
        let (bytes, _) = tokio::io::duplex(1);
        Ok(dial::RunnerConnection {
            bytes: Box::new(bytes),
            via: None,
        })
    }

    async fn reaches_other(&self, _: net::SocketAddr, _: std_time::Duration) -> bool {
        !self
            .network
            .cut_from_runners
            .lock()
            .unwrap()
            .contains(&self.node)
    }
}

/// Returns the record of a node, whose port is its number.
pub fn record(node: usize) -> member::MemberRecord {
    member::MemberRecord {
        name: format!("front-zone-{node:04}"),
        incarnation: 1,
        revision: 1,
        region: "r".to_owned(),
        domain: format!("d-{}", node % DOMAINS),
        callers: "10.0.0.1:1".parse().unwrap(),
        peers: net::SocketAddr::from(([10, 0, 0, 1], node as u16)),
        version: 0,
        phase: member::MemberPhase::Serving,
    }
}

/// Returns the process of a runner.
pub fn process(runner: usize, born: u64) -> suspect::CrashId {
    suspect::CrashId {
        upstream: format!("i-{runner}"),
        incarnation: born,
    }
}

/// Returns the address of a runner.
pub fn address(runner: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 1, 1], 1_000 + runner as u16))
}

fn core_of(node: usize, is_shared: bool) -> core::GatewayCore {
    let record = record(node);
    let text = format!(
        r#"{{"name": "{}", "region": "r", "domain": "{}", "callers": "10.0.0.1:60001",
        "ready": "10.0.0.1:60002", "directory": "10.0.0.1:60003",
        "peers": "{}", "metrics": "10.0.0.1:60005", "store": "10.0.0.1:60006",
        "peer_keys": ["{KEY}"], "share_demand": {is_shared}}}"#,
        record.name, record.domain, record.peers
    );
    let settings = settings::parse_file("node.jsonc", &text).unwrap();
    core::GatewayCore::new(settings, slog::Logger::root(slog::Discard, slog::o!()))
}

/// Starts nodes and runners that all nodes know; `is_shared` is the setting of the
/// exchange.
pub async fn start(nodes: usize, runners: usize, is_shared: bool) -> sync::Arc<DemandNetwork> {
    let counts = || (0..nodes).map(|_| atomic::AtomicU64::new(0));
    let network = sync::Arc::new(DemandNetwork {
        nodes: sync::OnceLock::new(),
        dead: sync::Mutex::default(),
        cut_from_runners: sync::Mutex::default(),
        cut_from_nodes: sync::Mutex::default(),
        sent: counts().zip(counts()).collect(),
        opened: counts().collect(),
        fate: sync::Mutex::default(),
        random: sync::Mutex::new(rand_chacha::ChaCha8Rng::seed_from_u64(5)),
        signer: arbutusfold::settings::peer_signer(&[KEY.to_owned()]),
    });
    let cores = (0..nodes).map(|node| {
        let mut core = core_of(node, is_shared);
        core.dialer = sync::Arc::new(AddressDialer {
            network: sync::Arc::clone(&network),
            node,
        });
        let core = sync::Arc::new(core);
        core.post.attach(sync::Arc::new(NodeTransport {
            network: sync::Arc::clone(&network),
            from: node,
        }));
        core.post.register(
            peer::MessageKind::Lead,
            sync::Arc::new(leader_driver::LeaderHandler::new(sync::Arc::clone(&core))),
        );
        core
    });
    let cores: Vec<_> = cores.collect();
    network.nodes.set(cores).ok().unwrap();
    network.publish(|_| true);
    for runner in 0..runners {
        network.put_runner(runner, 1, 7);
    }
    for core in network.nodes.get().unwrap() {
        tokio::spawn(leader_driver::run(sync::Arc::clone(core)));
        tokio::spawn(demand_driver::run(sync::Arc::clone(core)));
    }
    // Nodes know their leaders after a few periods.
    time::sleep(leader::report_period(nodes) * 3).await;
    network
}

impl DemandNetwork {
    /// Returns a node.
    pub fn node(&self, node: usize) -> &sync::Arc<core::GatewayCore> {
        &self.nodes.get().unwrap()[node]
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.get().unwrap().len()
    }

    /// Lets all nodes see the nodes for which `is_seen` holds.
    pub fn publish(&self, is_seen: impl Fn(usize) -> bool) {
        let nodes = self.nodes.get().unwrap();
        let members = (0..nodes.len()).filter(|node| is_seen(*node));
        let members: Vec<_> = members
            .map(|node| member::MemberRecord {
                incarnation: nodes[node].post.incarnation(),
                ..record(node)
            })
            .collect();
        for core in nodes {
            core.members
                .publish(members.clone(), member::RemoteRegions::default());
        }
    }

    /// Returns the leader of a domain among all nodes.
    pub fn leader(&self, domain: usize) -> usize {
        let members: Vec<_> = (0..self.len()).map(record).collect();
        let leaders = leader::leaders(&members);
        usize::from(leaders[domain].peers.port())
    }

    /// Writes the entry of a runner to all nodes.
    pub fn put_runner(&self, runner: usize, version: u64, born: u64) {
        let value = format!(
            r#"{{"service":"s","address":"{}","zone":"d-{}","slots":4,"state":"ready",
            "born":{born},"models":[]}}"#,
            address(runner),
            runner % DOMAINS
        );
        for core in self.nodes.get().unwrap() {
            let row = mirror::MirrorRow {
                key: format!("i-{runner}"),
                version: store::RowVersion::new(0, version * 1_000 + runner as u64),
                value: Some(Bytes::from(value.clone())),
            };
            core.merge(store::WatchedTable::Runners, vec![row]);
        }
    }

    /// Sets how messages are treated from now on.
    pub fn set_fate(&self, fate: MessageFate) {
        *self.fate.lock().unwrap() = fate;
    }

    /// Ends the process of a runner.
    pub fn kill(&self, runner: usize) {
        self.dead.lock().unwrap().push(address(runner));
    }

    /// Starts a process at the address of a runner again.
    pub fn revive(&self, runner: usize) {
        let address = address(runner);
        self.dead.lock().unwrap().retain(|dead| *dead != address);
    }

    /// Returns the number of nodes that send nothing to a runner.
    pub fn avoiding(&self, runner: usize) -> usize {
        let now = time::Instant::now();
        let id = format!("i-{runner}");
        let nodes = self.nodes.get().unwrap().iter();
        nodes
            .filter(|core| {
                let fleet = core.fleet.lock().unwrap();
                fleet.get(&id).unwrap().is_unreachable(now)
            })
            .count()
    }

    /// Waits until `is_done` holds and returns the time that it took, or `limit`.
    pub async fn wait(
        &self,
        limit: std_time::Duration,
        is_done: impl Fn() -> bool,
    ) -> std_time::Duration {
        let began_at = time::Instant::now();
        while !is_done() && began_at.elapsed() < limit {
            time::sleep(std_time::Duration::from_millis(1)).await;
        }
        began_at.elapsed().min(limit)
    }

    /// Returns the messages about demand and their bytes of all nodes.
    pub fn sent_by_all(&self) -> (u64, u64) {
        let read = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        let sums = self.sent.iter();
        sums.fold((0, 0), |sum, (messages, bytes)| {
            (sum.0 + read(messages), sum.1 + read(bytes))
        })
    }
}
