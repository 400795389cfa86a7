//! Tests of a store that comes back from an older copy: its versions go back, and its
//! era rises.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{
    core, leader, leader_driver, mirror, replication, store_watch, suspect_store, suspects,
    versions,
};
use arbutusfold::peer::{self, MessageHandler};
use arbutusfold::suspect;
use arbutusfold::suspect::ledger;
use arbutusfold_platform::store;
use arbutusfold_platform_standin::server;
use arbutusfold_platform_standin::store as standin;
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

/// Time within which a change that the store confirmed has to be in force.
const APPLY_LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

const OPERATOR: store::WatchedTable = store::WatchedTable::Operator;
const RUNNERS: store::WatchedTable = store::WatchedTable::Runners;

fn at(era: store::StoreEra, number: u64) -> store::RowVersion {
    store::RowVersion::new(era, number)
}

fn document(version: u64) -> Vec<u8> {
    format!(r#"{{"version":{version},"routes":[],"services":[]}}"#).into()
}

fn entry(state: &str) -> Vec<u8> {
    format!(
        r#"{{"service":"s","address":"10.0.0.7:80","zone":"a","slots":4,"state":"{state}",
        "born":1}}"#
    )
    .into()
}

fn document_row(row: store::RowVersion, version: u64) -> mirror::MirrorRow {
    mirror::MirrorRow {
        key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
        version: row,
        value: Some(document(version).into()),
    }
}

fn runner_row(version: store::RowVersion, state: &str) -> mirror::MirrorRow {
    mirror::MirrorRow {
        key: "i-1".to_owned(),
        version,
        value: Some(entry(state).into()),
    }
}

/// A store in its first era and a node that watches it as a leader.
struct WatchedStore {
    store: standin::StoreStandin,
    core: sync::Arc<core::GatewayCore>,
    _server: server::StandinServer,
    watches: Vec<tokio::task::JoinHandle<()>>,
}

impl WatchedStore {
    async fn start() -> Self {
        let store = standin::StoreStandin::default();
        store.set_era(1);
        let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
        let server = store.serve(any_port).await.unwrap();
        let core = gateway_network::core_at(&gateway_network::record(0), server.address());
        core.set_leading(true);
        let watches = store_watch::spawn(&core);
        Self {
            store,
            core,
            _server: server,
            watches,
        }
    }

    fn write_document(&self, version: u64) {
        self.store.put("op", "config", Some(document(version)));
    }

    async fn put_in_force(&self, version: u64) {
        self.write_document(version);
        assert!(self.is_in_force(version).await);
    }

    /// Writes entries of other runners, each of which raises the store's number.
    fn write_entries(&self, count: usize) {
        for number in 0..count {
            let key = format!("other-{number}");
            self.store.put("servers", &key, Some(entry("ready")));
        }
    }

    /// Waits until a document is in force; returns whether it is in time.
    async fn is_in_force(&self, version: u64) -> bool {
        let began_at = time::Instant::now();
        while began_at.elapsed() < APPLY_LIMIT {
            if self.core.document_version() == version {
                return true;
            }
            time::sleep(10 * MS).await;
        }
        false
    }
}

impl Drop for WatchedStore {
    fn drop(&mut self) {
        self.watches.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

/// Guards against a confirmed document that never comes into force, since its row has a
/// lower number than rows that the node read before the store came back from a copy.
#[tokio::test]
async fn document_with_a_lower_row_number_in_a_new_era_comes_into_force() {
    let watched = WatchedStore::start().await;
    watched.put_in_force(10).await;
    let copy = watched.store.copy();
    watched.write_entries(20);
    watched.put_in_force(20).await;
    watched.store.come_back(copy);
    watched.put_in_force(30).await;
    let reread = watched.core.recorder.about("store");
    assert!(reread.iter().any(|record| record.name == "StoreReread"));
}

/// Guards against a confirmed document that is never read: by the time the node calls
/// again, the numbers have passed its position, and the store answers the call.
#[tokio::test]
async fn document_written_before_the_numbers_pass_the_position_comes_into_force() {
    let watched = WatchedStore::start().await;
    watched.put_in_force(10).await;
    let copy = watched.store.copy();
    watched.put_in_force(20).await;
    watched.store.set_fault(standin::StoreFault::Busy);
    time::sleep(1_000 * MS).await;
    watched.store.come_back(copy);
    watched.write_document(30);
    watched.write_entries(30);
    watched.store.set_fault(standin::StoreFault::None);
    assert!(watched.is_in_force(30).await);
}

/// Guards against a confirmed document that is ignored after two returns, of which the
/// node saw only the second.
#[tokio::test]
async fn document_after_two_returns_of_which_one_was_seen_comes_into_force() {
    let watched = WatchedStore::start().await;
    watched.put_in_force(10).await;
    let copy = watched.store.copy();
    watched.write_entries(40);
    watched.put_in_force(20).await;
    watched.store.set_fault(standin::StoreFault::Busy);
    time::sleep(500 * MS).await;
    watched.store.come_back(copy.clone());
    watched.write_document(25);
    watched.store.come_back(copy);
    watched.write_document(30);
    watched.store.set_fault(standin::StoreFault::None);
    assert!(watched.is_in_force(30).await);
    assert_eq!(watched.core.store_era(), 3);
}

/// Guards against a document in force that goes back with the store.
#[tokio::test]
async fn document_in_force_does_not_go_back_with_the_store() {
    let watched = WatchedStore::start().await;
    let empty = watched.store.copy();
    watched.put_in_force(10).await;
    let copy = watched.store.copy();
    watched.put_in_force(20).await;
    for copy in [copy, empty] {
        watched.store.come_back(copy);
        time::sleep(600 * MS).await;
        assert_eq!(watched.core.document_version(), 20);
    }
}

/// Guards against refused requests while live runners write their entries again, which
/// the copy lacks.
#[tokio::test]
async fn entry_that_the_copy_lacks_stays_in_use_until_it_is_written_again() {
    let watched = WatchedStore::start().await;
    let empty = watched.store.copy();
    watched.store.put("servers", "i-1", Some(entry("ready")));
    watched.put_in_force(10).await;
    let is_usable = || {
        let fleet = watched.core.fleet.lock().unwrap();
        let now = time::Instant::now();
        fleet.get("i-1").is_some_and(|state| state.is_usable(now))
    };
    time::sleep(500 * MS).await;
    assert!(is_usable());
    // The node does not notice that the store was away.
    watched.store.come_back(empty);
    time::sleep(1_500 * MS).await;
    assert!(is_usable());
    time::sleep(1_500 * MS).await;
    assert!(!is_usable());
}

/// Guards against records of requests that crash runners that are gone from the store
/// for good: nobody writes them again.
#[tokio::test]
async fn records_of_crashes_that_the_store_lost_are_written_again() {
    let watched = WatchedStore::start().await;
    let core = &watched.core;
    let empty = watched.store.copy();
    watched.put_in_force(10).await;
    let alone = vec![gateway_network::record(0)];
    core.members
        .publish(alone, arbutusfold::member::RemoteRegions::default());
    let keeper = tokio::spawn(suspect_store::run(sync::Arc::clone(core)));
    let crash = |upstream: &str| ledger::CrashRecord {
        crash: suspect::CrashId {
            upstream: upstream.to_owned(),
            incarnation: 1,
        },
        progressed: false,
        repeated: false,
        trial: false,
    };
    suspects::record_crashes(core, &[7; 16], &[crash("i-1"), crash("i-2")]);
    time::sleep(1_200 * MS).await;
    let rows = async || core.store.read("suspects").await.unwrap().rows;
    assert_eq!(rows().await.len(), 1);
    watched.store.come_back(empty);
    assert!(rows().await.is_empty());
    time::sleep(APPLY_LIMIT).await;
    assert_eq!(rows().await.len(), 1);
    keeper.abort();
}

/// Guards against a node that gets rows of the next era from a peer and takes them for
/// old, or goes back to rows that a peer still has of the era before.
#[tokio::test(start_paused = true)]
async fn rows_of_peers_are_ordered_by_era_first() {
    let core = gateway_network::core_of(&gateway_network::record(0));
    core.replace(OPERATOR, vec![document_row(at(1, 22), 20)], at(1, 22));
    let handler = replication::MirrorHandler::new(sync::Arc::clone(&core));
    let receive = |extent, rows| {
        let message = replication::MirrorMessage::Rows {
            table: OPERATOR.index(),
            extent,
            rows,
        };
        handler.handle("front-2", &message.encode().unwrap());
    };
    let changes = replication::RowExtent::After(at(2, 14));
    receive(changes, vec![document_row(at(2, 15), 30)]);
    assert_eq!(
        core.document_version(),
        20,
        "the rows up to 2.14 are missing"
    );
    let whole = replication::RowExtent::Full(at(2, 15));
    receive(whole, vec![document_row(at(2, 15), 30)]);
    assert_eq!(core.document_version(), 30);
    let mut stale = document_row(at(1, 40), 40);
    stale.key = "stale".to_owned();
    receive(replication::RowExtent::Full(at(1, 40)), vec![stale.clone()]);
    receive(replication::RowExtent::After(at(1, 22)), vec![stale]);
    let version = core.with_mirror(OPERATOR, |mirror| {
        assert!(mirror.get("stale").is_none());
        mirror.complete_version()
    });
    assert_eq!((version, core.store_era()), (at(2, 15), 2));
}

/// Guards against runner entries that stay for good at nodes that get changes of the
/// next era only: those that the copy lacks are not among them.
#[test]
fn copy_of_the_era_before_is_sent_the_whole_table() {
    let mut table = mirror::TableMirror::default();
    table.replace(vec![runner_row(at(1, 9), "ready")], at(1, 9));
    table.replace(Vec::new(), at(2, 5));
    assert_eq!(table.rows().count(), 0);
    assert_eq!(table.changes_after(at(1, 9)), None);
    assert_eq!(table.changes_after(at(2, 4)).unwrap().len(), 1);
    assert!(
        table
            .merge_between(at(2, 5), at(3, 7), Vec::new())
            .is_none()
    );
    assert_eq!(table.complete_version(), at(2, 5));
}

/// Guards against requests to a runner that leaves, since the copy is from before it
/// said so.
#[tokio::test(start_paused = true)]
async fn process_that_leaves_does_not_come_back_with_the_copy() {
    let core = gateway_network::core_of(&gateway_network::record(0));
    core.replace(RUNNERS, vec![runner_row(at(1, 9), "draining")], at(1, 9));
    core.replace(RUNNERS, vec![runner_row(at(2, 3), "ready")], at(2, 5));
    let fleet = core.fleet.lock().unwrap();
    assert!(!fleet.get("i-1").unwrap().is_usable(time::Instant::now()));
}

/// Guards against a node that relies on a leader which still has the rows of the era
/// before, or cannot tell eras apart.
#[tokio::test(start_paused = true)]
async fn leader_with_rows_of_the_era_before_does_not_count_as_reaching_the_store() {
    let core = gateway_network::core_of(&gateway_network::record(0));
    let period = 100 * MS;
    core.loads
        .lock()
        .unwrap()
        .expire(period, time::Instant::now());
    core.note_era(2, "store");
    let handler = leader_driver::LeaderHandler::new(sync::Arc::clone(&core));
    let summary = leader::LeaderMessage::FleetSummary(leader::LoadSummary::default());
    for (era, is_trusted) in [(0, false), (1, false), (2, true)] {
        let body = versions::encode(&summary, &vec![at(era, 9), at(era, 8)]).unwrap();
        handler.handle("front-2", &body);
        let trust_left = core.store_trust_left(time::Instant::now());
        assert_eq!(!trust_left.is_zero(), is_trusted, "era {era}");
    }
}

/// Guards against orders that runners refuse until the store's numbers have caught up,
/// and against one fencing token for two leases.
#[test]
fn fencing_tokens_rise_with_the_era() {
    assert!(at(2, 3).ordinal() > at(1, 900_000_000).ordinal());
    assert!(at(2, 4).ordinal() > at(2, 3).ordinal());
    assert_eq!(at(0, 17).ordinal(), 17);
}

/// Guards against versions that lose their era between nodes, or that a release which
/// knows no eras cannot read.
#[test]
fn versions_and_their_eras_are_read_by_both_releases() {
    let named = vec![at(2, 15), at(2, 9)];
    let bytes = versions::encode_versions(&named).unwrap();
    assert_eq!(versions::decode_versions(&bytes).unwrap(), named);
    assert_eq!(postcard::from_bytes::<Vec<u64>>(&bytes).unwrap(), [15, 9]);
    for message in [
        replication::MirrorMessage::Request(named.clone()),
        replication::MirrorMessage::Versions(named.clone()),
        replication::MirrorMessage::Rows {
            table: 0,
            extent: replication::RowExtent::Full(at(2, 15)),
            rows: vec![document_row(at(2, 15), 30)],
        },
    ] {
        let body = message.encode().unwrap();
        let decoded = replication::MirrorMessage::decode(&body).unwrap();
        assert_eq!(decoded, message);
        assert!(postcard::from_bytes::<replication::MirrorMessage>(&body).is_ok());
    }
    // A store that names no era costs no byte.
    let plain = versions::encode_versions(&vec![at(0, 15), at(0, 9)]).unwrap();
    assert_eq!(plain, postcard::to_stdvec(&vec![15_u64, 9]).unwrap());
}

/// Guards against rows of a release that knows no eras: their high numbers hide the rows
/// of a store that names one.
#[tokio::test(start_paused = true)]
async fn rows_without_an_era_do_not_replace_those_with_one() {
    let core = gateway_network::core_of(&gateway_network::record(0));
    core.replace(OPERATOR, vec![document_row(at(2, 15), 30)], at(2, 15));
    let rows = replication::MirrorMessage::Rows {
        table: OPERATOR.index(),
        extent: replication::RowExtent::Full(at(0, 22)),
        rows: vec![document_row(at(0, 22), 20)],
    };
    let handler = replication::MirrorHandler::new(sync::Arc::clone(&core));
    handler.handle("front-2", &rows.encode().unwrap());
    let next = vec![document_row(at(2, 16), 40)];
    assert!(
        core.merge_between(OPERATOR, at(2, 15), at(2, 16), next)
            .is_some()
    );
    assert_eq!(core.document_version(), 40);
}

/// Guards against a confirmed document that is late at a node which reaches only peers of
/// a release that knows no eras, in front of a store that names one.
#[tokio::test(start_paused = true)]
async fn newer_document_of_a_peer_without_eras_comes_into_force() {
    let core = gateway_network::core_of(&gateway_network::record(0));
    core.note_era(1, "store");
    core.replace(OPERATOR, vec![document_row(at(1, 15), 30)], at(1, 15));
    let named = vec![at(0, 16), at(0, 0)];
    let lag = || core.row_lag.lock().unwrap();
    let now = time::Instant::now();
    assert!(lag().note("front-2", named, &core.table_versions(), now));
    let source = lag().next_source(&core.table_versions(), now);
    assert_eq!(source.as_deref(), Some("front-2"));
    let handler = replication::MirrorHandler::new(sync::Arc::clone(&core));
    for (number, version, in_force) in [(16, 40, 40), (22, 20, 40)] {
        let rows = replication::MirrorMessage::Rows {
            table: OPERATOR.index(),
            extent: replication::RowExtent::After(at(0, 15)),
            rows: vec![document_row(at(0, number), version)],
        };
        handler.handle("front-2", &rows.encode().unwrap());
        assert_eq!(core.document_version(), in_force);
    }
    let complete = core.with_mirror(OPERATOR, mirror::TableMirror::complete_version);
    assert_eq!(
        complete,
        at(1, 15),
        "the copy holds rows of the store's era only"
    );
}

/// Guards against callers that a node which starts before the operator has written again
/// serves by the older document of the copy, for example with a key that was taken away.
#[tokio::test(start_paused = true)]
async fn node_that_starts_takes_the_document_that_the_store_lost_from_a_peer() {
    let network = gateway_network::start(2, 0.0, 1);
    let [peer, started] = network.nodes.get().unwrap().as_slice() else {
        unreachable!()
    };
    for core in [peer, started] {
        let handler = replication::MirrorHandler::new(sync::Arc::clone(core));
        core.post
            .register(peer::MessageKind::Mirror, sync::Arc::new(handler));
    }
    peer.replace(OPERATOR, vec![document_row(at(1, 22), 20)], at(1, 22));
    peer.suspects_known.send_replace(true);
    for core in [peer, started] {
        core.replace(OPERATOR, vec![document_row(at(2, 9), 10)], at(2, 14));
    }
    suspects::learn(sync::Arc::clone(started)).await;
    assert_eq!(started.document_version(), 20);
    let complete = started.with_mirror(OPERATOR, mirror::TableMirror::complete_version);
    assert_eq!(complete, at(2, 14), "the copy holds rows of the store only");

    // Once the operator has written it again, nobody sends it any more.
    assert!(peer.unstored_document().is_some());
    peer.merge(OPERATOR, vec![document_row(at(2, 15), 20)]);
    assert!(peer.unstored_document().is_none());
}
