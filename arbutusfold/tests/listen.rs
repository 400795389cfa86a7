//! A burst of callers finds room to wait.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::listen;
use tokio::{net, task};

const BURST: usize = 1_000;

/// A connection that was turned away is tried again after a second.
const WAIT_LIMIT: time::Duration = time::Duration::from_millis(900);

#[tokio::test]
async fn burst_of_connections_waits_to_be_accepted() {
    let listener = listen::open("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let mut dials = task::JoinSet::new();
    for _ in 0..BURST {
        dials.spawn(tokio::time::timeout(
            WAIT_LIMIT,
            net::TcpStream::connect(address),
        ));
    }
    let dialled = dials.join_all().await;
    let made = dialled
        .iter()
        .filter(|dial| matches!(dial, Ok(Ok(_))))
        .count();
    assert_eq!(made, BURST);
}
