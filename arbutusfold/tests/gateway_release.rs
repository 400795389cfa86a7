//! Messages between nodes of this release and of the one before it (d22bdac).

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, demand, leader, leader_driver, mirror, replication, versions};
use arbutusfold::member::{self, message};
use arbutusfold::peer::MessageHandler;
use arbutusfold_platform::store;
use bytes::Bytes;
use tokio::time;

/// Messages as the release before writes them.
const DOMAIN_SUMMARY: &str = "01010702ac020109192821";
const FLEET_SUMMARY: &str = "02010702ac020109192821";
const NODE_LOADS: &str = "00010702ac02";
const ROW_REQUEST: &str = "00020304";
const ROWS: &str = "010000140106636f6e6669671401287b2276657273696f6e223a32302c22726f75746573223a5b\
    5d2c227365727669636573223a5b5d7d";
const RELAY: &str = "023d37000000f028010001030106636f6e6669671401287b2276657273696f6e223a32302c22\
    726f75746573223a5b5d2c227365727669636573223a5b5d7d010766726f6e742d390105";
const PROBE: &str = "000a00000101050221000000";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<_> = hex.chars().filter_map(|digit| digit.to_digit(16)).collect();
    let pairs = digits.chunks(2);
    pairs.map(|pair| (pair[0] * 16 + pair[1]) as u8).collect()
}

fn summary() -> leader::LoadSummary {
    leader::LoadSummary {
        loads: vec![leader::RunnerLoad {
            runner: 7,
            in_flight: 2,
            token_layers: 300,
        }],
        slow: vec![leader::SlowRunner {
            runner: 9,
            factor_tenths: 25,
        }],
        store_age_ms: 40,
        store_version: 33,
    }
}

/// Returns a version of a store that names no era.
fn at(number: u64) -> store::RowVersion {
    store::RowVersion::new(0, number)
}

fn row() -> mirror::MirrorRow {
    let text = r#"{"version":20,"routes":[],"services":[]}"#;
    mirror::MirrorRow {
        key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
        version: at(20),
        value: Some(Bytes::from(text)),
    }
}

fn probe() -> message::MemberMessage {
    message::MemberMessage {
        from: "10.0.0.1:1".parse().unwrap(),
        record_version: message::RecordVersion {
            incarnation: 5,
            revision: 2,
        },
        config_version: 33,
        body: message::MessageBody::Probe { nonce: 0 },
        updates: Vec::new(),
    }
}

/// Guards against messages of the release before that this one does not read.
#[test]
fn messages_of_the_release_before_are_read() {
    let lead = |hex| versions::decode::<leader::LeaderMessage>(&bytes(hex)).unwrap();
    let domain = leader::LeaderMessage::DomainSummary(summary());
    assert_eq!(lead(DOMAIN_SUMMARY), (domain, None));
    let fleet = leader::LeaderMessage::FleetSummary(summary());
    assert_eq!(lead(FLEET_SUMMARY), (fleet, None));
    let loads = leader::LeaderMessage::NodeLoads(summary().loads);
    assert_eq!(lead(NODE_LOADS), (loads, None));
    let rows = |hex| postcard::from_bytes::<replication::MirrorMessage>(&bytes(hex)).unwrap();
    let request = replication::MirrorMessage::Request(vec![at(3), at(4)]);
    assert_eq!(rows(ROW_REQUEST), request);
    let full = replication::MirrorMessage::Rows {
        table: 0,
        extent: replication::RowExtent::Full(at(20)),
        rows: vec![row()],
    };
    assert_eq!(rows(ROWS), full);
    let body = bytes(PROBE);
    let (member, rest) = postcard::take_from_bytes::<message::MemberMessage>(&body).unwrap();
    assert_eq!((member, rest.len()), (probe(), 0));
}

/// Messages of nodes and leaders that the release before knows.
#[derive(Debug, serde::Deserialize)]
#[allow(dead_code)]
enum FormerMessage {
    NodeLoads(Vec<leader::RunnerLoad>),
    DomainSummary(leader::LoadSummary),
    FleetSummary(leader::LoadSummary),
}

/// Guards against a message that the release before takes for another one.
#[test]
fn messages_about_demand_are_dropped_by_the_release_before() {
    let summary = demand::DemandSummary {
        failed: vec![demand::FailedRunner {
            runner: 7,
            incarnation: 2,
            age_ms: 300,
        }],
        ..demand::DemandSummary::default()
    };
    let messages = [
        leader::LeaderMessage::NodeDemand(summary.clone()),
        leader::LeaderMessage::DomainDemand(summary.clone()),
        leader::LeaderMessage::FleetDemand(summary),
        leader::LeaderMessage::RetryClaim {
            claim: 1,
            service: "s".to_owned(),
            wanted: 3,
        },
        leader::LeaderMessage::RetryLoan { claim: 1, count: 3 },
    ];
    for message in messages {
        let body = postcard::to_stdvec(&message).unwrap();
        assert!(postcard::take_from_bytes::<FormerMessage>(&body).is_err());
        let decoded = versions::decode::<leader::LeaderMessage>(&body).unwrap();
        assert_eq!(decoded, (message, None));
    }
    for hex in [DOMAIN_SUMMARY, FLEET_SUMMARY, NODE_LOADS] {
        assert!(postcard::from_bytes::<FormerMessage>(&bytes(hex)).is_ok());
    }
}

/// Guards against messages that the release before drops: it decodes a message and
/// ignores what follows.
#[test]
fn messages_of_this_release_are_read_by_the_one_before() {
    let message = leader::LeaderMessage::FleetSummary(summary());
    let body = versions::encode(&message, &vec![at(20), at(31)]).unwrap();
    assert!(body.starts_with(&bytes(FLEET_SUMMARY)));
    assert_eq!(
        postcard::from_bytes::<leader::LeaderMessage>(&body).unwrap(),
        message
    );
    let mut body = postcard::to_stdvec(&probe()).unwrap();
    assert_eq!(body, bytes(PROBE));
    body.extend(postcard::to_stdvec(&vec![20_u64, 31]).unwrap());
    assert_eq!(
        postcard::from_bytes::<message::MemberMessage>(&body).unwrap(),
        probe()
    );
    let request = replication::MirrorMessage::Request(vec![at(3), at(4)]);
    assert_eq!(postcard::to_stdvec(&request).unwrap(), bytes(ROW_REQUEST));
}

fn node() -> sync::Arc<core::GatewayCore> {
    let core = gateway_network::core_of(&gateway_network::record(0));
    let peers = vec![gateway_network::record(1)];
    core.members
        .publish(peers, member::RemoteRegions::default());
    core
}

/// Guards against a change that a leader of the release before passes on and this one
/// does not put in force.
#[tokio::test(start_paused = true)]
async fn document_from_a_leader_of_the_release_before_comes_into_force() {
    let core = node();
    let handler = replication::MirrorHandler::new(sync::Arc::clone(&core));
    core.replace(store::WatchedTable::Operator, Vec::new(), at(3));
    handler.handle("front-zone-0001", &bytes(RELAY));
    assert_eq!(core.document_version(), 20);
}

/// Guards against a node that takes itself for current beside a leader of the release
/// before, which names only a sum of versions.
#[tokio::test(start_paused = true)]
async fn rows_are_requested_from_a_leader_of_the_release_before() {
    let core = node();
    let handler = leader_driver::LeaderHandler::new(sync::Arc::clone(&core));
    handler.handle("front-zone-0001", &bytes(FLEET_SUMMARY));
    time::sleep(std_time::Duration::from_millis(400)).await;
    assert!(!core.may_request_rows(std_time::Duration::from_millis(500)));
}
