//! Tests of the leaders of failure domains and of their load summaries.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use std::time as std_time;

use arbutusfold::gateway::leader;
use arbutusfold::member;
use gateway_fixture::record;
use tokio::time;

const STORE_AGE_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_000);

fn load(runner: leader::RunnerKey, in_flight: u32) -> leader::RunnerLoad {
    leader::RunnerLoad {
        runner,
        in_flight,
        token_layers: u64::from(in_flight) * 100,
    }
}

fn summary(loads: Vec<leader::RunnerLoad>, store_age_ms: u32) -> leader::LoadSummary {
    leader::LoadSummary {
        loads,
        slow: Vec::new(),
        store_age_ms,
        store_version: 7,
    }
}

#[test]
fn each_domain_has_one_leader_and_a_leaving_node_is_replaced() {
    let names = ["n1", "n2", "n3", "n4", "n5", "n6"];
    let mut members: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let domain = ["a", "b"][index % 2];
            record(name, domain, member::MemberPhase::Serving)
        })
        .collect();
    let leaders: Vec<_> = leader::leaders(&members).into_iter().cloned().collect();
    let domains: Vec<_> = leaders
        .iter()
        .map(|record| record.domain.as_str())
        .collect();
    assert_eq!(domains, ["a", "b"]);
    let first = members
        .iter()
        .position(|record| record.name == leaders[0].name);
    members[first.unwrap()].phase = member::MemberPhase::Leaving;
    let after = leader::leaders(&members);
    assert_ne!(after[0].name, leaders[0].name);
    assert_eq!(after[1].name, leaders[1].name);
}

#[tokio::test(start_paused = true)]
async fn loads_of_nodes_and_domains_add_up_without_the_own() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    view.receive(
        "n2",
        leader::LeaderMessage::NodeLoads(vec![load(1, 2), load(3, 1)]),
        now,
    );
    view.receive(
        "m1",
        leader::LeaderMessage::DomainSummary(summary(vec![load(3, 10)], 50)),
        now,
    );
    let own = vec![load(1, 4)];
    let domain = view.domain_summary(summary(own.clone(), 80));
    assert_eq!(domain.loads, [load(1, 6), load(3, 1)]);
    let fleet = view.fleet_summary(&domain, now);
    assert_eq!(fleet.loads, [load(1, 6), load(3, 11)]);
    assert_eq!(fleet.store_age_ms, 50);
    view.set_sent(own);
    view.receive("n1", leader::LeaderMessage::FleetSummary(fleet), now);
    assert_eq!(view.peer_load(1).in_flight, 2);
    assert_eq!(view.peer_load(3).in_flight, 11);
    assert_eq!(view.peer_load(9).in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn silent_nodes_are_forgotten() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    view.receive(
        "n2",
        leader::LeaderMessage::NodeLoads(vec![load(1, 2)]),
        now,
    );
    let period = leader::report_period(3);
    view.expire(period, now + period * 2);
    assert_eq!(view.domain_summary(summary(Vec::new(), 0)).loads.len(), 1);
    view.expire(period, now + period * 6);
    assert!(view.domain_summary(summary(Vec::new(), 0)).loads.is_empty());
}

#[tokio::test(start_paused = true)]
async fn node_watches_the_store_when_no_leader_reaches_it() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    assert!(!view.leader_reaches_store(STORE_AGE_LIMIT, now));
    view.receive(
        "n1",
        leader::LeaderMessage::FleetSummary(summary(Vec::new(), 300)),
        now,
    );
    assert!(view.leader_reaches_store(STORE_AGE_LIMIT, now));
    assert!(!view.leader_reaches_store(STORE_AGE_LIMIT, now + STORE_AGE_LIMIT));
    view.receive(
        "n1",
        leader::LeaderMessage::FleetSummary(summary(Vec::new(), 5_000)),
        now,
    );
    assert!(!view.leader_reaches_store(STORE_AGE_LIMIT, now));
}

#[tokio::test(start_paused = true)]
async fn slow_runners_of_all_domains_are_sent_to_all_nodes() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    let mut other = summary(Vec::new(), 10);
    other.slow = vec![leader::SlowRunner::new(2, 12.0)];
    view.receive("m1", leader::LeaderMessage::DomainSummary(other), now);
    view.set_slow_runners(vec![leader::SlowRunner::new(7, 3.0)]);
    let domain = view.domain_summary(summary(Vec::new(), 10));
    let fleet = view.fleet_summary(&domain, now);
    view.receive("n1", leader::LeaderMessage::FleetSummary(fleet), now);
    assert_eq!(view.slowness(2), 12.0);
    assert_eq!(view.slowness(7), 3.0);
    assert_eq!(view.slowness(1), 1.0);
}

#[test]
fn message_rate_of_a_leader_does_not_grow_with_its_domain() {
    let messages = |nodes: usize| 2.0 * nodes as f64 / leader::report_period(nodes).as_secs_f64();
    assert!(
        messages(300) <= 1.01 * messages(20),
        "{} {}",
        messages(300),
        messages(20)
    );
}

#[test]
fn message_of_a_leader_fits_the_control_traffic_budget() {
    // Assumes 20 nodes in a domain and 86 runners under load; the budget is 7 KB
    // per second.
    let loads = (0..86_u32)
        .map(|runner| leader::RunnerLoad {
            runner: runner.wrapping_mul(0x9e37_79b9),
            in_flight: 60,
            token_layers: 1_000_000,
        })
        .collect();
    let message = leader::LeaderMessage::FleetSummary(summary(loads, 500));
    let bytes = postcard::to_stdvec(&message).unwrap().len();
    let per_second = bytes as f64 / leader::report_period(20).as_secs_f64();
    assert!(
        per_second <= 7_000.0,
        "{bytes} bytes, {per_second} bytes per second"
    );
}

/// All nodes start at the same time, and no summary counts any request yet.
/// Without the estimate they would all choose the same idle runners.
#[tokio::test(start_paused = true)]
async fn node_without_a_summary_assumes_equal_load_on_its_peers() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    assert_eq!(view.unreported_load(0, 60), 0.0);
    assert_eq!(view.unreported_load(8, 60), 59.0);
    // A fleet of one node has no peers.
    assert_eq!(view.unreported_load(8, 1), 0.0);
    // The summary counts the loads that were sent; few requests came since.
    view.set_sent(vec![load(1, 8)]);
    let fleet = summary(vec![load(1, 480)], 0);
    view.receive("leader", leader::LeaderMessage::FleetSummary(fleet), now);
    assert_eq!(view.unreported_load(9, 60), 0.0);
}

/// In a burst the own load doubles before the next summary arrives.
#[tokio::test(start_paused = true)]
async fn growth_beyond_noise_is_assumed_for_all_nodes() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    view.set_sent(vec![load(1, 100)]);
    let fleet = summary(vec![load(1, 6_000)], 0);
    view.receive("leader", leader::LeaderMessage::FleetSummary(fleet), now);
    assert_eq!(view.unreported_load(130, 60), 0.0);
    let unreported = view.unreported_load(200, 60);
    assert!((15.0..30.0).contains(&unreported), "{unreported}");
}

/// Only one node starts, and the summary already counts the load of its peers.
#[tokio::test(start_paused = true)]
async fn node_that_starts_alone_assumes_no_growth_of_its_peers() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    let fleet = summary(vec![load(1, 6_000)], 0);
    view.receive("leader", leader::LeaderMessage::FleetSummary(fleet), now);
    assert_eq!(view.unreported_load(90, 60), 0.0);
}

/// Guards against a node that a message with impossible loads ends or confuses.
#[test]
fn loads_beyond_any_number_add_up_to_the_largest_one() {
    let now = time::Instant::now();
    let mut view = leader::LoadView::default();
    let huge = leader::RunnerLoad {
        runner: 1,
        in_flight: u32::MAX,
        token_layers: u64::MAX,
    };
    for host in ["n1", "n2"] {
        let loads = vec![huge, leader::RunnerLoad { runner: 2, ..huge }];
        view.receive(host, leader::LeaderMessage::NodeLoads(loads), now);
    }
    let domain = view.domain_summary(summary(vec![load(1, 1)], 0));
    assert_eq!(domain.loads[0], huge);
    let fleet = view.fleet_summary(&domain, now);
    view.receive("n1", leader::LeaderMessage::FleetSummary(fleet), now);
    assert_eq!(view.peer_load(1).in_flight, u32::MAX);
    assert!(view.unreported_load(5, 3) >= 0.0);
}
