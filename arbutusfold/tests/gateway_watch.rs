//! When a node watches the store, and how soon it does.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, leader, leader_driver, settings, store_watch};
use arbutusfold::peer::MessageHandler;
use arbutusfold_platform::store;
use arbutusfold_platform_standin::store as standin;
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

/// Period of summaries in a small failure domain.
const PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Passes on what a leader says of the store to a node that follows it.
fn tell(leader: &core::GatewayCore, follower: &sync::Arc<core::GatewayCore>) {
    let now = time::Instant::now();
    follower.loads.lock().unwrap().expire(PERIOD, now);
    let summary = leader::LeaderMessage::FleetSummary(leader::LoadSummary {
        store_age_ms: leader.store_age_ms(now),
        ..leader::LoadSummary::default()
    });
    let body = postcard::to_stdvec(&summary).unwrap();
    leader_driver::LeaderHandler::new(sync::Arc::clone(follower)).handle("front-2", &body);
}

/// Returns a leader and a node that follows it.
fn pair() -> (sync::Arc<core::GatewayCore>, sync::Arc<core::GatewayCore>) {
    let core = |node| gateway_network::core_of(&gateway_network::record(node));
    (core(0), core(1))
}

/// Guards against a confirmed change that is late at nodes that reach the store, since
/// they rely on leaders whose calls it leaves unanswered.
#[tokio::test(start_paused = true)]
async fn nodes_watch_the_store_within_a_second_once_it_answers_no_leader() {
    let (leader, follower) = pair();
    // The answers to the latest calls have just come.
    for table in store::WatchedTable::ALL {
        leader.record_store_call(table, true, time::Instant::now(), "answered");
    }
    let silent_from = time::Instant::now();
    while silent_from.elapsed() < 1_000 * MS {
        tell(&leader, &follower);
        time::sleep(PERIOD).await;
    }
    assert!(follower.store_trust_left(time::Instant::now()).is_zero());
}

/// Guards against a whole fleet that calls a store which answers each call of the
/// leaders, only somewhat late.
#[tokio::test(start_paused = true)]
async fn nodes_rely_on_a_leader_whose_calls_are_answered_late() {
    let (leader, follower) = pair();
    for table in store::WatchedTable::ALL {
        let leader = sync::Arc::clone(&leader);
        tokio::spawn(async move {
            let wait = store_watch::poll_wait(table, leader.settings.contact_ms);
            loop {
                leader.record_store_call(table, true, time::Instant::now(), "answered");
                time::sleep(wait + 60 * MS + 200 * MS).await;
            }
        });
    }
    time::sleep(10 * MS).await;
    for _ in 0..100 {
        tell(&leader, &follower);
        time::sleep(PERIOD - MS).await;
        assert!(!follower.store_trust_left(time::Instant::now()).is_zero());
    }
}

/// Guards against a confirmed change that is late in a whole domain, since its new
/// leader still waits, as a node that does not lead does after failed calls.
#[tokio::test]
async fn node_that_comes_to_lead_calls_the_store_at_once() {
    let store = standin::StoreStandin::default();
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let server = store.serve(any_port).await.unwrap();
    store.put(
        "op",
        "config",
        Some(br#"{"version":3,"routes":[],"services":[]}"#.to_vec()),
    );
    store.set_fault(standin::StoreFault::Busy);
    let text = format!(
        r#"{{"name": "front-1", "region": "r", "domain": "a", "callers": "10.0.0.1:1",
        "ready": "10.0.0.1:2", "directory": "10.0.0.1:3", "peers": "10.0.0.1:4",
        "metrics": "10.0.0.1:5", "store": "{}",
        "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]}}"#,
        server.address()
    );
    let settings = settings::parse_file("node.jsonc", &text).unwrap();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let core = sync::Arc::new(core::GatewayCore::new(settings, logger));
    let watches = store_watch::spawn(&core);
    // Pauses of 0.1 to 1.6 s are over, and a longer one has begun.
    time::sleep(3_500 * MS).await;
    store.set_fault(standin::StoreFault::None);
    core.set_leading(true);
    time::sleep(800 * MS).await;
    assert_eq!(core.document_version(), 3);
    watches.iter().for_each(tokio::task::JoinHandle::abort);
}
