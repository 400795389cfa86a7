//! Nodes that die or freeze under load: who knows it, and how callers go on.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold_standin::{fleet, load};
use nix::sys::signal;

const KNOWN_LIMIT: time::Duration = time::Duration::from_secs(2);
const BACK_LIMIT: time::Duration = time::Duration::from_secs(1);

async fn start(name: &str) -> fleet::TestFleet {
    fleet::TestFleet::start_joined(name, 9).await.unwrap()
}

/// Number of hosts to fail in turn; `make fleet-long` sets all nine.
fn rounds() -> usize {
    let set = std::env::var("ARBUTUSFOLD_FLEET_ROUNDS").ok();
    set.and_then(|set| set.parse().ok()).unwrap_or(3)
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_host_is_known_to_all_and_its_callers_go_on() {
    let mut fleet = start("kill").await;
    let load = load::FleetLoad::start(&fleet, 24);
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let calm = load.take();
    assert!(calm.troubles.is_empty(), "{:?}", calm.troubles);
    let mut known = Vec::new();
    for round in 0..rounds() {
        let mut victim = fleet.nodes.remove(0);
        victim.process.kill();
        known.push(fleet.await_members(KNOWN_LIMIT).await.unwrap());
        fleet.add_node(9 + round).await.unwrap();
    }
    let result = load.stop().await;
    println!("killed {} of 9: known to all after {known:?}", rounds());
    println!(
        "answered {}, troubled {}, back at p99 after {:?}",
        result.answered,
        result.troubles.len(),
        result.recovery(0.99)
    );
    assert_eq!(result.wrong, 0);
    assert!(!result.troubles.is_empty(), "no caller noticed a kill");
    assert!(result.recovery(0.99) <= BACK_LIMIT, "{:?}", result.troubles);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_host_is_known_to_all_and_blames_nobody_when_it_returns() {
    let mut fleet = start("freeze").await;
    let load = load::FleetLoad::start(&fleet, 24);
    let mut known = Vec::new();
    for _ in 0..rounds() {
        let victim = fleet.nodes.remove(0);
        victim.process.signal(signal::Signal::SIGSTOP).unwrap();
        known.push(fleet.await_members(KNOWN_LIMIT).await.unwrap());
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let others = fleet.nodes.len();
        victim.process.signal(signal::Signal::SIGCONT).unwrap();
        fleet.nodes.push(victim);
        let back = fleet.await_members(time::Duration::from_secs(4)).await;
        back.unwrap();
        assert_eq!(others, 8);
    }
    let result = load.stop().await;
    println!("froze {} of 9: known to all after {known:?}", rounds());
    println!(
        "answered {}, troubled {}, back at p99 after {:?}",
        result.answered,
        result.troubles.len(),
        result.recovery(0.99)
    );
    assert_eq!(result.wrong, 0);
    assert!(result.recovery(0.99) <= BACK_LIMIT, "{:?}", result.troubles);
    // The ones that came back counted nobody as dead.
    for node in &fleet.nodes {
        let log = std::fs::read_to_string(node.settings.with_extension("log")).unwrap();
        let frozen = (0..rounds()).map(|index| format!("entry-{index}"));
        let frozen: Vec<_> = frozen.collect();
        for line in log.lines().filter(|line| line.contains("PeerGone")) {
            assert!(
                frozen
                    .iter()
                    .any(|name| line.contains(&format!("\"{name}\""))),
                "{}: {line}",
                node.name
            );
        }
    }
}
