//! Tests that the accept backlog holds a burst of connections.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::listen;
use tokio::{net, task};

const BURST_CONNECTIONS: usize = 1_000;

/// Connection timeout, shorter than the second after which a dropped connection
/// is retried.
const WAIT_LIMIT: time::Duration = time::Duration::from_millis(900);

#[tokio::test]
async fn burst_of_connections_waits_to_be_accepted() {
    let listener = listen::open("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let mut attempts = task::JoinSet::new();
    for _ in 0..BURST_CONNECTIONS {
        attempts.spawn(tokio::time::timeout(
            WAIT_LIMIT,
            net::TcpStream::connect(address),
        ));
    }
    let results = attempts.join_all().await;
    let connected = results
        .iter()
        .filter(|result| matches!(result, Ok(Ok(_))))
        .count();
    assert_eq!(connected, BURST_CONNECTIONS);
}
