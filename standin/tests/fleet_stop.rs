//! Planned stops under load: no request in flight is cut.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold_standin::{fault, fleet, load};
use nix::sys::signal;

const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);

async fn start(name: &str, nodes: usize) -> fleet::TestFleet {
    fleet::TestFleet::start_joined(name, nodes).await.unwrap()
}

/// Number of hosts to replace in turn; `make fleet-long` sets all nine.
fn rounds() -> usize {
    let set = std::env::var("ARBUTUSFOLD_FLEET_ROUNDS").ok();
    set.and_then(|set| set.parse().ok()).unwrap_or(3)
}

async fn await_end(node: &mut fleet::FleetNode) -> time::Duration {
    let begun = tokio::time::Instant::now();
    while node.process.ended().is_none() {
        assert!(begun.elapsed() < STOP_LIMIT, "{} does not end", node.name);
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    begun.elapsed()
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_cuts_no_request() {
    let mut fleet = start("rolling", 9).await;
    let load = load::FleetLoad::start(&fleet, 24);
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    for round in 0..rounds() {
        fleet.add_node(9 + round).await.unwrap();
        let mut leaving = fleet.nodes.remove(0);
        leaving.process.signal(signal::Signal::SIGTERM).unwrap();
        let known = fleet
            .await_members(time::Duration::from_secs(1))
            .await
            .unwrap();
        let took = await_end(&mut leaving).await;
        println!(
            "{} left all answers after {known:?}, ended after {took:?}",
            leaving.name
        );
    }
    let single = load.take();
    println!(
        "one at a time: answered {}, cut {}",
        single.answered,
        single.troubles.len()
    );
    assert!(single.troubles.is_empty(), "{:?}", single.troubles);
    assert_eq!(single.wrong, 0);
    // A whole failure domain at once.
    let (mut leaving, staying): (Vec<_>, Vec<_>) = std::mem::take(&mut fleet.nodes)
        .into_iter()
        .partition(|node| node.name[6..].parse::<usize>().unwrap() % 3 == 1);
    fleet.nodes = staying;
    assert_eq!(leaving.len(), 3);
    for node in &leaving {
        node.process.signal(signal::Signal::SIGTERM).unwrap();
    }
    for node in &mut leaving {
        await_end(node).await;
    }
    let domain = load.stop().await;
    println!(
        "a domain at once: answered {}, cut {}",
        domain.answered,
        domain.troubles.len()
    );
    assert!(domain.troubles.is_empty(), "{:?}", domain.troubles);
    assert_eq!(domain.wrong, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_during_a_store_outage_and_a_death_cuts_no_request() {
    let mut fleet = start("overlap", 9).await;
    let outage = fault::FaultPlan {
        outage: true,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(fleet.platform, &outage).await.unwrap();
    let mut leaving = fleet.nodes.remove(0);
    let mut dying = fleet.nodes.remove(3);
    let load = load::FleetLoad::start(&fleet, 24);
    leaving.process.signal(signal::Signal::SIGTERM).unwrap();
    dying.process.kill();
    await_end(&mut leaving).await;
    fleet
        .await_members(time::Duration::from_secs(2))
        .await
        .unwrap();
    let result = load.stop().await;
    println!(
        "overlap: answered {}, troubled {}",
        result.answered,
        result.troubles.len()
    );
    let at_leaving = result.troubles.iter().filter(|trouble| {
        let address = leaving.callers.to_string();
        trouble.causes.iter().any(|cause| cause.contains(&address))
    });
    assert_eq!(at_leaving.count(), 0, "{:?}", result.troubles);
    assert_eq!(result.wrong, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_ends_a_stop_and_names_what_is_cut() {
    let mut fleet = start("second", 3).await;
    let node = fleet.nodes.remove(0);
    let callers = node.callers;
    let slow = tokio::spawn(async move {
        let order = serde_json::json!({
            "model": "assistant", "prompt": "slow", "max_tokens": 20_000,
        });
        fleet::call(
            callers,
            http::Method::POST,
            "/v1/completions",
            fleet::CALLER_KEY,
            &[("x-request-id", "slow-request")],
            order.to_string(),
        )
        .await
    });
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let mut node = node;
    node.process.signal(signal::Signal::SIGTERM).unwrap();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    assert!(node.process.ended().is_none());
    node.process.signal(signal::Signal::SIGTERM).unwrap();
    let begun = tokio::time::Instant::now();
    await_end(&mut node).await;
    println!("ended {:?} after the second signal", begun.elapsed());
    assert!(slow.await.unwrap().is_err());
    let log = std::fs::read_to_string(node.settings.with_extension("log")).unwrap();
    let cut = log.lines().filter(|line| line.contains("StopCut"));
    assert_eq!(cut.filter(|line| line.contains("slow-request")).count(), 1);
}
