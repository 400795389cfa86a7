//! Tests of the replication of store rows over narrow links, on a paused clock
//! and a network in memory.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, leader_driver, mirror, replication};
use arbutusfold::{member, peer};
use arbutusfold_platform::store;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

/// Rate of each node's link in bytes per second, 20 Mbit/s as on small hosts.
const LINK_BYTES_PER_S: f64 = 20e6 / 8.0;

/// Delay between two nodes.
const DELAY: std_time::Duration = std_time::Duration::from_millis(1);

/// Time within which a change has to be in force on large deployments.
const APPLY_LIMIT: std_time::Duration = std_time::Duration::from_millis(3_000);

/// Nodes whose links carry one message after another.
struct NarrowNetwork {
    nodes: sync::OnceLock<Vec<sync::Arc<core::GatewayCore>>>,
    links: sync::Mutex<Vec<NodeLink>>,
}

/// Times at which a node's link is free again, and the bytes that it sent.
#[derive(Clone, Copy)]
struct NodeLink {
    out_free: time::Instant,
    in_free: time::Instant,
    sent_bytes: usize,
}

struct NodeTransport {
    network: sync::Arc<NarrowNetwork>,
    from: usize,
}

impl peer::PeerTransport for NodeTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let to = usize::from(to.port());
        let transfer = std_time::Duration::from_secs_f64(message.len() as f64 / LINK_BYTES_PER_S);
        let arrives_at = {
            let mut links = self.network.links.lock().unwrap();
            let link = &mut links[self.from];
            link.out_free = link.out_free.max(time::Instant::now()) + transfer;
            link.sent_bytes += message.len();
            // The transfer occupies both links at the same time.
            let begins_at = link.out_free - transfer;
            let link = &mut links[to];
            link.in_free = link.in_free.max(begins_at) + transfer;
            link.in_free + DELAY
        };
        let (network, message) = (sync::Arc::clone(&self.network), message.to_vec());
        tokio::spawn(async move {
            time::sleep_until(arrives_at).await;
            let node = &network.nodes.get().unwrap()[to];
            node.post.receive(&message).unwrap();
        });
    }
}

fn record(node: usize) -> member::MemberRecord {
    member::MemberRecord {
        domain: "a".to_owned(),
        ..gateway_network::record(node)
    }
}

/// Starts the nodes of one failure domain, which know of each other.
fn start(nodes: usize) -> sync::Arc<NarrowNetwork> {
    let link = NodeLink {
        out_free: time::Instant::now(),
        in_free: time::Instant::now(),
        sent_bytes: 0,
    };
    let network = sync::Arc::new(NarrowNetwork {
        nodes: sync::OnceLock::new(),
        links: sync::Mutex::new(vec![link; nodes]),
    });
    let cores = (0..nodes).map(|node| {
        let core = gateway_network::core_of(&record(node));
        core.post.attach(sync::Arc::new(NodeTransport {
            network: sync::Arc::clone(&network),
            from: node,
        }));
        core.post.register(
            peer::MessageKind::Mirror,
            sync::Arc::new(replication::MirrorHandler::new(sync::Arc::clone(&core))),
        );
        core.post.register(
            peer::MessageKind::Lead,
            sync::Arc::new(leader_driver::LeaderHandler::new(sync::Arc::clone(&core))),
        );
        tokio::spawn(leader_driver::run(sync::Arc::clone(&core)));
        core
    });
    let cores: Vec<_> = cores.collect();
    network.nodes.set(cores).ok().unwrap();
    let nodes = network.nodes.get().unwrap();
    for core in nodes {
        let members = (0..nodes.len()).map(|other| member::MemberRecord {
            incarnation: nodes[other].post.incarnation(),
            ..record(other)
        });
        core.members
            .publish(members.collect(), member::RemoteRegions::default());
    }
    network
}

/// Returns a version of a store that names no era.
fn at(number: u64) -> store::RowVersion {
    store::RowVersion::new(0, number)
}

/// Returns a document with so many routes, with names drawn by its version.
fn document(version: u64, routes: usize) -> mirror::MirrorRow {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(9);
    let mut name = || {
        let letters = (0..7).map(|_| char::from(random.random_range(b'a'..=b'z')));
        letters.collect::<String>()
    };
    let routes = (0..routes).map(|_| {
        format!(
            r#"{{"name":"r-{}","hostname":"ficu95.example","prefix":"/{}/","type":"streaming",
            "timeoutMs":20000,"goalMs":500,"priority":1,"service":"huvo11a","maxAttempts":2,
            "public":false,"sessionAffinity":true,"resumable":true,"gapAimMs":250}}"#,
            name(),
            name()
        )
        .replace([' ', '\n'], "")
    });
    let routes: Vec<_> = routes.collect();
    let text = format!(
        r#"{{"version":{version},"routes":[{}],"services":[]}}"#,
        routes.join(",")
    );
    mirror::MirrorRow {
        key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
        version: at(version),
        value: Some(Bytes::from(text)),
    }
}

/// Records that the store answered the leader.
fn answer_leader(leader: &core::GatewayCore) {
    for table in store::WatchedTable::ALL {
        leader.record_store_call(table, true, time::Instant::now(), "answered");
    }
}

/// Lets the leader receive a row of the operator's table from the store.
fn change(network: &NarrowNetwork, row: mirror::MirrorRow) {
    let table = store::WatchedTable::Operator;
    let nodes = network.nodes.get().unwrap();
    let leader = nodes.iter().find(|core| core.is_leading()).unwrap();
    answer_leader(leader);
    let before = leader.with_mirror(table, mirror::TableMirror::change_version);
    let version = row.version;
    let changed = match before.number {
        0 => leader.replace(table, vec![row], at(1)),
        _ => leader
            .merge_between(table, before, version, vec![row])
            .unwrap(),
    };
    replication::forward_changes(leader, table, before, changed);
}

fn runner_row(version: u64) -> mirror::MirrorRow {
    let entry = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",
        "born":1,"type":"l4","models":[{"name":"m"}]}"#;
    mirror::MirrorRow {
        key: format!("i-{version}"),
        version: at(version),
        value: Some(Bytes::from(entry)),
    }
}

/// Guards against requests to a runner that left while a new leader had not read
/// the table yet: the rows that it forwards contain no removal.
#[tokio::test(start_paused = true)]
async fn nodes_learn_of_a_removal_from_a_leader_that_read_the_table_after_it() {
    let network = start(5);
    time::sleep(500 * MS).await;
    let table = store::WatchedTable::Runners;
    let nodes = network.nodes.get().unwrap();
    for core in nodes.iter().filter(|core| !core.is_leading()) {
        core.replace(table, vec![runner_row(1), runner_row(2)], at(2));
    }
    let leader = nodes.iter().find(|core| core.is_leading()).unwrap();
    answer_leader(leader);
    // The runner of row 1 has left.
    let changed = leader.replace(table, vec![runner_row(2), runner_row(4)], at(4));
    replication::forward_changes(leader, table, at(0), changed);
    time::sleep(1_000 * MS).await;
    for core in nodes {
        let fleet = core.fleet.lock().unwrap();
        let runners: Vec<_> = fleet.runners().iter().collect();
        let ids: Vec<_> = runners.iter().map(|state| &state.record.id).collect();
        assert_eq!(ids, ["i-2", "i-4"], "at {}", core.settings.name);
    }
}

/// Guards against a large document that is late at most nodes of a domain, since
/// its leader sends every copy over one narrow link.
#[tokio::test(start_paused = true)]
async fn changes_of_a_large_document_reach_all_nodes_over_narrow_links_in_time() {
    let network = start(20);
    time::sleep(500 * MS).await;
    change(&network, document(1, 10));
    time::sleep(2_000 * MS).await;
    let nodes = network.nodes.get().unwrap();
    assert!(nodes.iter().all(|core| core.document_version() == 1));
    let mut slowest = std_time::Duration::ZERO;
    for version in 2..8 {
        change(&network, document(version, 2_960));
        let changed_at = time::Instant::now();
        if version < 7 {
            time::sleep(400 * MS).await;
            continue;
        }
        while nodes.iter().any(|core| core.document_version() < version) {
            time::sleep(10 * MS).await;
            slowest = changed_at.elapsed();
            assert!(slowest < 4 * APPLY_LIMIT, "the document does not arrive");
        }
    }
    assert!(
        slowest < APPLY_LIMIT,
        "in force everywhere after {slowest:?}"
    );
}
