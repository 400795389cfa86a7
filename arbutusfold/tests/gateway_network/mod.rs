//! Test fixture: real nodes on a paused clock and a network in memory.

#![allow(dead_code, clippy::unwrap_used)]

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{core, runner_limit, settings, suspects};
use arbutusfold::{member, peer};
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Failure domains, assigned to nodes in turn.
pub const DOMAINS: usize = 3;
const DELAY: std_time::Duration = std_time::Duration::from_millis(2);

/// Nodes on a network in memory.
pub struct TestNetwork {
    /// The nodes.
    pub nodes: sync::OnceLock<Vec<sync::Arc<core::GatewayCore>>>,
    random: sync::Mutex<rand_chacha::ChaCha8Rng>,
    /// Share of messages that are lost.
    loss: f64,
    /// Domain that no message enters or leaves; `DOMAINS` for none.
    pub cut: atomic::AtomicUsize,
    /// Bytes sent, by node.
    pub sent: Vec<atomic::AtomicU64>,
}

struct NodeTransport {
    network: sync::Arc<TestNetwork>,
    from: usize,
}

impl peer::PeerTransport for NodeTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let network = sync::Arc::clone(&self.network);
        let to = usize::from(to.port());
        network.sent[self.from].fetch_add(message.len() as u64, atomic::Ordering::Relaxed);
        let cut = network.cut.load(atomic::Ordering::Relaxed);
        let crosses = self.from % DOMAINS != to % DOMAINS;
        let is_cut = crosses && [self.from % DOMAINS, to % DOMAINS].contains(&cut);
        if is_cut || network.random.lock().unwrap().random::<f64>() < network.loss {
            return;
        }
        let message = message.to_vec();
        tokio::spawn(async move {
            time::sleep(DELAY).await;
            network.nodes.get().unwrap()[to]
                .post
                .receive(&message)
                .unwrap();
        });
    }
}

/// Returns the record of a node, whose port is its number.
pub fn record(node: usize) -> member::MemberRecord {
    member::MemberRecord {
        name: format!("front-zone-{:04}", node),
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

/// Returns the state of the node with this record.
pub fn core_of(record: &member::MemberRecord) -> sync::Arc<core::GatewayCore> {
    core_with(record, "")
}

/// Returns the state of the node with this record and these further settings.
pub fn core_with(record: &member::MemberRecord, extra: &str) -> sync::Arc<core::GatewayCore> {
    build(
        record,
        net::SocketAddr::from(([10, 0, 0, 1], 60_006)),
        extra,
    )
}

/// Returns the state of the node with this record whose store has this address.
pub fn core_at(
    record: &member::MemberRecord,
    store: net::SocketAddr,
) -> sync::Arc<core::GatewayCore> {
    build(record, store, "")
}

fn build(
    record: &member::MemberRecord,
    store: net::SocketAddr,
    extra: &str,
) -> sync::Arc<core::GatewayCore> {
    let text = format!(
        r#"{{"name": "{}", "region": "r", "domain": "{}", "callers": "10.0.0.1:60001",
        "ready": "10.0.0.1:60002", "directory": "10.0.0.1:60003",
        "peers": "{}", "metrics": "10.0.0.1:60005", "store": "{store}",
        "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"],
        {extra}}}"#,
        record.name, record.domain, record.peers
    );
    let settings = settings::parse_file("node.jsonc", &text).unwrap();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    sync::Arc::new(core::GatewayCore::new(settings, logger))
}

/// Starts nodes that know of each other; `loss` is the share of lost messages.
pub fn start(nodes: usize, loss: f64, seed: u64) -> sync::Arc<TestNetwork> {
    let network = sync::Arc::new(TestNetwork {
        nodes: sync::OnceLock::new(),
        random: sync::Mutex::new(rand_chacha::ChaCha8Rng::seed_from_u64(seed)),
        loss,
        cut: atomic::AtomicUsize::new(DOMAINS),
        sent: (0..nodes).map(|_| atomic::AtomicU64::new(0)).collect(),
    });
    let cores = (0..nodes).map(|node| {
        let core = core_of(&record(node));
        core.post.attach(sync::Arc::new(NodeTransport {
            network: sync::Arc::clone(&network),
            from: node,
        }));
        core.post.register(
            peer::MessageKind::Suspect,
            sync::Arc::new(suspects::LedgerHandler::new(sync::Arc::clone(&core))),
        );
        core.post.register(
            peer::MessageKind::Limit,
            sync::Arc::new(runner_limit::LimitHandler::new(sync::Arc::clone(&core))),
        );
        tokio::spawn(suspects::run(sync::Arc::clone(&core)));
        core
    });
    let cores: Vec<_> = cores.collect();
    network.nodes.set(cores).ok().unwrap();
    publish(&network, |_, _| true);
    network
}

/// Lets each node see the nodes for which `is_seen` holds, and itself.
pub fn publish(network: &TestNetwork, is_seen: impl Fn(usize, usize) -> bool) {
    let nodes = network.nodes.get().unwrap();
    for (own, core) in nodes.iter().enumerate() {
        let seen = (0..nodes.len()).filter(|other| *other == own || is_seen(own, *other));
        let members = seen.map(|other| member::MemberRecord {
            incarnation: nodes[other].post.incarnation(),
            ..record(other)
        });
        core.members
            .publish(members.collect(), member::RemoteRegions::default());
    }
}
