//! No message of a peer, however malformed, makes its handler panic.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::sync;
use std::time;

use arbutusfold::gateway::{
    core, leader_driver, mirror, panics, replication, runner_limit, suspects,
};
use arbutusfold::limit::issuer;
use arbutusfold::member;
use arbutusfold::peer::MessageHandler;
use arbutusfold_platform::store;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};

/// Messages for each handler.
const MESSAGES: usize = 50_000;

/// Most bytes of a message, which may hold several records.
const MESSAGE_BYTES: usize = 160;

/// Largest number, as messages encode it.
const LARGEST: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

/// Returns a node that knows one other node.
fn core() -> sync::Arc<core::GatewayCore> {
    let core = gateway_network::core_of(&gateway_network::record(0));
    let others = vec![gateway_network::record(1)];
    core.members
        .publish(others, member::RemoteRegions::default());
    core
}

/// Writes a runner to a node, which messages about `i-1` concern.
fn put_runner(core: &core::GatewayCore) {
    let value = r#"{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,
        "state":"ready","born":7}"#;
    let row = mirror::MirrorRow {
        key: "i-1".to_owned(),
        version: store::RowVersion::new(0, 1),
        value: Some(Bytes::from(value)),
    };
    core.merge(store::WatchedTable::Runners, vec![row]);
}

/// Returns a message of a random kind whose numbers are small, the largest or any,
/// and whose texts are short.
fn random_message(rng: &mut impl RngExt) -> Vec<u8> {
    let mut message = vec![rng.random_range(0..10)];
    while message.len() < MESSAGE_BYTES {
        match rng.random_range(0..6) {
            0 | 1 => message.push(rng.random_range(0..4)),
            2 => message.extend(LARGEST),
            3 => message.extend([3, b'i', b'-', b'1']),
            4 => message.extend(rng.random::<[u8; 8]>()),
            _ => message.push(rng.random()),
        }
    }
    message.truncate(rng.random_range(1..=MESSAGE_BYTES));
    message
}

/// Guards against one message between nodes that ends a task of each receiver.
#[tokio::test(start_paused = true)]
async fn malformed_messages_make_no_handler_panic() {
    let core = core();
    put_runner(&core);
    panics::install(&core.panics);
    let handlers: [(&str, Box<dyn MessageHandler>); 4] = [
        (
            "lead",
            Box::new(leader_driver::LeaderHandler::new(sync::Arc::clone(&core))),
        ),
        (
            "limit",
            Box::new(runner_limit::LimitHandler::new(sync::Arc::clone(&core))),
        ),
        (
            "ledger",
            Box::new(suspects::LedgerHandler::new(sync::Arc::clone(&core))),
        ),
        (
            "mirror",
            Box::new(replication::MirrorHandler::new(sync::Arc::clone(&core))),
        ),
    ];
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(36);
    for (name, handler) in handlers {
        for number in 0..MESSAGES {
            let message = random_message(&mut rng);
            handler.handle("front-2", &message);
            let panics = core.panics.take();
            assert!(panics.is_empty(), "{name} {number} {message:?}: {panics:?}");
            if number % 500 == 0 {
                // The tasks that messages start, and the regular ones, see the state.
                tokio::time::sleep(time::Duration::from_secs(1)).await;
                core.tick(tokio::time::Instant::now());
            }
        }
    }
    assert!(core.panics.take().is_empty());
}

/// Guards against an answer of an issuer that asks for a pause without end, which no
/// clock can hold.
#[tokio::test(start_paused = true)]
async fn endless_pause_of_an_issuer_is_bounded() {
    let core = core();
    put_runner(&core);
    let handler = runner_limit::LimitHandler::new(sync::Arc::clone(&core));
    let tell = |message: &runner_limit::LimitMessage| {
        handler.handle("front-2", &postcard::to_stdvec(message).unwrap());
    };
    tell(&runner_limit::LimitMessage::Changed(
        runner_limit::LimitReport {
            runner: "i-1".to_owned(),
            started_ms: 7,
            rate: Some(0.0),
            age: time::Duration::ZERO,
        },
    ));
    let endless = runner_limit::LimitMessage::Answer {
        claim: 1,
        answer: issuer::ClaimAnswer::Denied(time::Duration::MAX),
    };
    let answer = async { tell(&endless) };
    let (granted, ()) = tokio::join!(runner_limit::claim(&core, "i-1", "request"), answer);
    assert!(!granted);
    let now = tokio::time::Instant::now();
    let left = core
        .fleet
        .lock()
        .unwrap()
        .get("i-1")
        .unwrap()
        .pause_left(now);
    assert!(
        left.is_some_and(|left| left <= time::Duration::from_secs(60)),
        "{left:?}"
    );
}
