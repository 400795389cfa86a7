//! Tests of the versions that nodes tell each other of their copies of the store's
//! tables, on a paused clock and a network in memory.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, leader_driver, mirror, replication};
use arbutusfold::{member, peer};
use arbutusfold_platform::store;
use bytes::Bytes;
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

/// Delay between two nodes.
const DELAY: std_time::Duration = std_time::Duration::from_millis(2);

/// Time within which a node that hears its peers has every change that they have.
const APPLY_LIMIT: std_time::Duration = std_time::Duration::from_secs(1);

type NodeSlots = sync::Arc<sync::OnceLock<Vec<sync::Arc<core::GatewayCore>>>>;

struct SlotTransport {
    nodes: NodeSlots,
}

impl peer::PeerTransport for SlotTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let (nodes, message) = (sync::Arc::clone(&self.nodes), message.to_vec());
        tokio::spawn(async move {
            time::sleep(DELAY).await;
            let node = &nodes.get().unwrap()[usize::from(to.port())];
            node.post.receive(&message).unwrap();
        });
    }
}

/// Starts nodes in `domains` failure domains, which know of each other and exchange
/// rows and summaries but no membership messages.
fn start(nodes: usize, domains: usize) -> Vec<sync::Arc<core::GatewayCore>> {
    let record = |node: usize| member::MemberRecord {
        domain: format!("d-{}", node % domains),
        ..gateway_network::record(node)
    };
    let slots = NodeSlots::default();
    let cores = (0..nodes).map(|node| {
        let core = gateway_network::core_of(&record(node));
        core.post.attach(sync::Arc::new(SlotTransport {
            nodes: sync::Arc::clone(&slots),
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
    for core in &cores {
        let members = (0..nodes).map(|other| member::MemberRecord {
            incarnation: cores[other].post.incarnation(),
            ..record(other)
        });
        core.members
            .publish(members.collect(), member::RemoteRegions::default());
    }
    slots.set(cores.clone()).ok().unwrap();
    cores
}

/// Returns a version of a store that names no era.
fn at(number: u64) -> store::RowVersion {
    store::RowVersion::new(0, number)
}

fn document_row(version: u64) -> mirror::MirrorRow {
    let text = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    mirror::MirrorRow {
        key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
        version: at(version),
        value: Some(Bytes::from(text)),
    }
}

fn runner_row(key: &str, version: u64) -> mirror::MirrorRow {
    let entry = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready"}"#;
    mirror::MirrorRow {
        key: key.to_owned(),
        version: at(version),
        value: Some(Bytes::from(entry)),
    }
}

/// Returns the leader and the other node of a domain with two nodes, which have the
/// first document and two runners.
async fn start_pair() -> [sync::Arc<core::GatewayCore>; 2] {
    let mut nodes = start(2, 1);
    time::sleep(500 * MS).await;
    nodes.sort_by_key(|core| !core.is_leading());
    for core in &nodes {
        core.replace(store::WatchedTable::Operator, vec![document_row(1)], at(3));
        let runners = vec![runner_row("i-1", 2), runner_row("i-2", 3)];
        core.replace(store::WatchedTable::Runners, runners, at(3));
    }
    nodes.try_into().ok().unwrap()
}

/// Records whether the store answered a node for each table.
fn record_answer(core: &core::GatewayCore, answered: bool) {
    for table in store::WatchedTable::ALL {
        core.record_store_call(table, answered, time::Instant::now(), "");
    }
}

/// Lets a node receive the document of a version from the store, which tells nobody
/// else of it, and returns the time until all nodes have it in force.
async fn read_alone(
    nodes: &[sync::Arc<core::GatewayCore>],
    reader: usize,
    version: u64,
) -> std_time::Duration {
    let (reader, table) = (&nodes[reader], store::WatchedTable::Operator);
    record_answer(reader, true);
    let before = reader.with_mirror(table, mirror::TableMirror::change_version);
    let rows = vec![document_row(version)];
    let changed = reader
        .merge_between(table, before, at(version), rows)
        .unwrap();
    replication::share_changes(reader, table, before, changed);
    let read_at = time::Instant::now();
    while nodes.iter().any(|core| core.document_version() < version) {
        time::sleep(5 * MS).await;
        if read_at.elapsed() > 4 * APPLY_LIMIT {
            break;
        }
    }
    read_at.elapsed()
}

/// Guards against a confirmed change that is late at most nodes, since the only one
/// that the store serves does not lead its failure domain and tells nobody.
#[tokio::test(start_paused = true)]
async fn change_that_a_node_without_a_lead_reads_reaches_all_nodes_in_time() {
    for size in [9, 60, 95] {
        let nodes = start(size, 3);
        time::sleep(2_000 * MS).await;
        for core in &nodes {
            core.replace(store::WatchedTable::Operator, vec![document_row(1)], at(1));
            core.replace(store::WatchedTable::Runners, Vec::new(), at(1));
        }
        let reader = nodes.iter().position(|core| !core.is_leading()).unwrap();
        // The others do not know yet that the store does not serve them.
        let took = read_alone(&nodes, reader, 7).await;
        assert!(took < APPLY_LIMIT, "{size} nodes: {took:?}");
        for (index, core) in nodes.iter().enumerate() {
            record_answer(core, index == reader);
        }
        time::sleep(1_000 * MS).await;
        let took = read_alone(&nodes, reader, 9).await;
        assert!(took < APPLY_LIMIT / 2, "{size} nodes: {took:?}");
        // The leaders pass on what they get, so few others request it.
        let requests = nodes.iter().map(|core| core.recorder.about("store"));
        let requests = requests.flatten();
        let requests = requests.filter(|record| record.name == "RowsRequested");
        assert!(requests.count() <= 2 * size, "{size} nodes");
    }
}

/// Guards against a confirmed change that never comes into force at a node whose copy
/// of the other table is newer than its leader's: added up, its versions are higher,
/// and it asks nobody.
#[tokio::test(start_paused = true)]
async fn newer_runner_entries_do_not_hide_a_missing_document() {
    let [leader, follower] = start_pair().await;
    // A whole read of the table after the history was lost: a runner is gone, as of
    // version 60.
    let runners = vec![runner_row("i-1", 2)];
    follower.replace(store::WatchedTable::Runners, runners, at(60));
    // The message with this change is lost.
    leader.merge_between(
        store::WatchedTable::Operator,
        at(3),
        at(20),
        vec![document_row(20)],
    );
    time::sleep(APPLY_LIMIT).await;
    assert_eq!(follower.document_version(), 20);
}

/// Guards against a leader that keeps sending requests to a runner that left, since
/// another node is ahead of it in one table and behind in the other.
#[tokio::test(start_paused = true)]
async fn newer_document_does_not_hide_a_missing_removal() {
    let [leader, follower] = start_pair().await;
    follower.merge_between(
        store::WatchedTable::Operator,
        at(3),
        at(90),
        vec![document_row(90)],
    );
    let runners = vec![runner_row("i-1", 2)];
    leader.replace(store::WatchedTable::Runners, runners, at(10));
    time::sleep(APPLY_LIMIT).await;
    let fleet = follower.fleet.lock().unwrap();
    let ids: Vec<_> = fleet
        .runners()
        .iter()
        .map(|state| &state.record.id)
        .collect();
    assert_eq!(ids, ["i-1"]);
    assert_eq!(leader.document_version(), 90);
}

/// Guards against a change that is missing for good: a page of the store was older than
/// the version that it named, and the node took itself for complete up to there.
#[tokio::test(start_paused = true)]
async fn page_that_names_a_later_version_does_not_hide_a_missing_document() {
    let [leader, follower] = start_pair().await;
    let table = store::WatchedTable::Operator;
    follower.merge_between(table, at(3), at(50), Vec::new());
    leader.merge_between(table, at(3), at(20), vec![document_row(20)]);
    time::sleep(APPLY_LIMIT).await;
    assert_eq!(follower.document_version(), 20);
}
