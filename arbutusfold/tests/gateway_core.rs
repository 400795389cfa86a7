//! Tests of the state that the modules of a gateway share.

#![allow(clippy::unwrap_used)]

use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, leader, leader_driver, mirror, replication, settings};
use arbutusfold::peer::MessageHandler;
use arbutusfold_platform::store;
use bytes::Bytes;
use tokio::time;

fn core() -> core::GatewayCore {
    let text = r#"{"name": "front-1", "region": "r", "domain": "a",
        "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "directory": "10.0.0.1:3",
        "peers": "10.0.0.1:4", "metrics": "10.0.0.1:5", "store": "10.0.0.1:6",
        "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]}"#;
    let settings = settings::parse_file("node.jsonc", text).unwrap();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    core::GatewayCore::new(settings, logger)
}

fn document_row(row_version: u64, version: u64) -> mirror::MirrorRow {
    let text = format!(r#"{{"version": {version}, "routes": [], "services": []}}"#);
    mirror::MirrorRow {
        key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
        version: store::RowVersion::new(0, row_version),
        value: Some(Bytes::from(text)),
    }
}

/// Guards against a node that follows the store back to an older document.
#[tokio::test]
async fn document_of_a_lower_version_never_comes_into_force() {
    let core = core();
    core.merge(store::WatchedTable::Operator, vec![document_row(10, 6)]);
    assert_eq!(core.document_version(), 6);
    core.merge(store::WatchedTable::Operator, vec![document_row(11, 3)]);
    core.replace(
        store::WatchedTable::Operator,
        vec![document_row(12, 4)],
        store::RowVersion::new(0, 12),
    );
    assert_eq!(core.document_version(), 6);
    core.merge(store::WatchedTable::Operator, vec![document_row(13, 9)]);
    assert_eq!(core.document_version(), 9);
}

const MS: std_time::Duration = std_time::Duration::from_millis(1);

fn runner_row(version: u64, is_present: bool) -> mirror::MirrorRow {
    let entry = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",
        "born":1,"type":"l4","models":[{"name":"m"}]}"#;
    mirror::MirrorRow {
        key: "i-1".to_owned(),
        version: store::RowVersion::new(0, version),
        value: is_present.then(|| Bytes::from(entry)),
    }
}

/// Records a call to the store that failed.
fn lose_store(core: &core::GatewayCore) {
    let table = store::WatchedTable::Runners;
    core.record_store_call(table, false, time::Instant::now(), "no answer in time");
}

/// Passes on the summary of a leader that got an answer from the store
/// `store_age_ms` before.
fn receive_summary(core: &sync::Arc<core::GatewayCore>, store_age_ms: u32) {
    let summary = leader::LeaderMessage::FleetSummary(leader::LoadSummary {
        store_age_ms,
        ..leader::LoadSummary::default()
    });
    let body = postcard::to_stdvec(&summary).unwrap();
    leader_driver::LeaderHandler::new(sync::Arc::clone(core)).handle("front-2", &body);
}

/// Guards against requests to a runner that left, sent by a node that lost the
/// store once and has followed its leader since.
#[tokio::test(start_paused = true)]
async fn removal_long_after_an_outage_takes_effect_at_once_at_a_follower() {
    let core = sync::Arc::new(core());
    core.merge(store::WatchedTable::Runners, vec![runner_row(1, true)]);
    lose_store(&core);
    for _ in 0..100 {
        time::advance(100 * MS).await;
        receive_summary(&core, 50);
    }
    core.merge_after(
        store::WatchedTable::Runners,
        store::RowVersion::new(0, 1),
        vec![runner_row(2, false)],
    );
    let now = time::Instant::now();
    let fleet = core.fleet.lock().unwrap();
    assert!(fleet.get("i-1").is_none_or(|state| !state.is_usable(now)));
}

/// An outage removes the entries of live runners, also at nodes whose own calls
/// to the store are far apart.
#[tokio::test(start_paused = true)]
async fn removal_right_after_an_outage_is_held_at_a_follower() {
    let core = sync::Arc::new(core());
    core.merge(store::WatchedTable::Runners, vec![runner_row(1, true)]);
    lose_store(&core);
    for age_ms in (1_400..4_400).step_by(100) {
        time::advance(100 * MS).await;
        receive_summary(&core, age_ms);
    }
    let rows = replication::MirrorMessage::Rows {
        table: store::WatchedTable::Runners.index(),
        extent: replication::RowExtent::After(store::RowVersion::new(0, 1)),
        rows: vec![runner_row(2, false)],
    };
    let plain = postcard::to_stdvec(&rows).unwrap();
    let message = replication::MirrorMessage::Relay {
        packed: lz4_flex::compress_prepend_size(&plain).into(),
        receivers: Vec::new(),
        failed_ms: Some(200),
    };
    let body = postcard::to_stdvec(&message).unwrap();
    replication::MirrorHandler::new(sync::Arc::clone(&core)).handle("front-2", &body);
    let is_usable = |core: &core::GatewayCore| {
        let fleet = core.fleet.lock().unwrap();
        let now = time::Instant::now();
        fleet.get("i-1").is_some_and(|state| state.is_usable(now))
    };
    time::advance(2_000 * MS).await;
    assert!(is_usable(&core));
    time::advance(500 * MS).await;
    assert!(!is_usable(&core));
}

/// Guards against nodes that follow a leader which gets changes of the document but
/// none of the runners, because the answer to one of its calls never comes.
#[tokio::test(start_paused = true)]
async fn leader_whose_feed_of_one_table_hangs_does_not_count_as_reaching_the_store() {
    let core = core();
    let answer = |table| core.record_store_call(table, true, time::Instant::now(), "answered");
    assert_eq!(core.store_age_ms(time::Instant::now()), u32::MAX);
    answer(store::WatchedTable::Operator);
    assert_eq!(core.store_age_ms(time::Instant::now()), u32::MAX);
    answer(store::WatchedTable::Runners);
    for _ in 0..4 {
        time::advance(500 * MS).await;
        answer(store::WatchedTable::Operator);
    }
    assert_eq!(core.store_age_ms(time::Instant::now()), 2_000);
}
