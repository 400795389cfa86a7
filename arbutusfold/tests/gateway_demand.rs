//! Tests of the exchange of demand.

#![allow(clippy::unwrap_used)]

mod demand_network;

use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{demand, leader, leader_driver, panics};
use arbutusfold::peer::MessageHandler;
use rand::{RngExt, SeedableRng};
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

fn rank(service: u32, rank: u8, waiting: u32, arrivals: f32) -> demand::RankDemand {
    demand::RankDemand {
        service,
        rank,
        waiting,
        arrivals_per_second: arrivals,
    }
}

fn organisation(key: u32, in_flight: u32) -> demand::OrganisationUse {
    demand::OrganisationUse {
        service: 1,
        organisation: key,
        in_flight,
        waiting: 0,
    }
}

fn failed(runner: u32, incarnation: u64, age_ms: u32) -> demand::FailedRunner {
    demand::FailedRunner {
        runner,
        incarnation,
        age_ms,
    }
}

fn node(ranks: Vec<demand::RankDemand>) -> leader::LeaderMessage {
    leader::LeaderMessage::NodeDemand(demand::DemandSummary {
        ranks,
        ..demand::DemandSummary::default()
    })
}

/// Returns the summaries of a leader whose domain found no failed runners.
fn summaries(view: &mut demand::DemandView, now: time::Instant) -> demand::LeaderSummaries {
    view.leader_summaries(Vec::new(), demand::SendCause::Period, now)
}

#[tokio::test(start_paused = true)]
async fn sums_of_nodes_and_domains_add_up_without_the_own() {
    let now = time::Instant::now();
    let mut view = demand::DemandView::default();
    assert_eq!(view.others(now), None);
    view.set_ranks(vec![rank(1, 0, 2, 1.0)]);
    view.receive("n2", node(vec![rank(1, 2, 9, 0.5)]), now);
    // The next message of a sender replaces the one before.
    view.receive(
        "n2",
        node(vec![rank(1, 0, 3, 0.5), rank(1, 2, 4, 0.0)]),
        now,
    );
    let other = demand::DemandSummary {
        ranks: vec![rank(1, 0, 5, 2.0), rank(2, 0, 1, 0.0)],
        failed: vec![failed(8, 7, 20)],
        age_ms: 100,
        ..demand::DemandSummary::default()
    };
    let message = leader::LeaderMessage::DomainDemand(other);
    view.receive("m1", message, now);
    let later = now + 30 * MS;
    let sent = summaries(&mut view, later);
    let domain = sent.domain.unwrap();
    assert_eq!(domain.ranks, [rank(1, 0, 5, 1.5), rank(1, 2, 4, 0.0)]);
    assert_eq!(domain.age_ms, 30);
    let fleet = sent.fleet.unwrap();
    let sums = [rank(1, 0, 10, 3.5), rank(1, 2, 4, 0.0), rank(2, 0, 1, 0.0)];
    assert_eq!(fleet.ranks, sums);
    assert_eq!(fleet.failed, [failed(8, 7, 50)]);
    let message = leader::LeaderMessage::FleetDemand(fleet);
    view.receive("n1", message, later);
    let others = view.others(later + 10 * MS).unwrap();
    assert_eq!(others.age, 140 * MS);
    assert_eq!(others.value.ranks[0], rank(1, 0, 8, 2.5));
    assert_eq!(others.value.failed, [failed(8, 7, 50)]);
}

#[tokio::test(start_paused = true)]
async fn what_is_received_expires_and_an_end_of_demand_is_told_once() {
    let now = time::Instant::now();
    let period = leader::report_period(7);
    let expiry = period * leader::EXPIRY_PERIODS;
    let mut view = demand::DemandView::default();
    assert_eq!(
        summaries(&mut view, now),
        demand::LeaderSummaries::default()
    );
    view.receive("n2", node(vec![rank(1, 0, 3, 0.0)]), now);
    view.expire(expiry, now + period * 4);
    let told = summaries(&mut view, now + period * 4);
    let message = leader::LeaderMessage::FleetDemand(told.fleet.unwrap());
    view.receive("n1", message, now + period * 4);
    view.expire(expiry, now + period * 6);
    let ended = summaries(&mut view, now + period * 6);
    assert!(ended.fleet.unwrap().is_empty() && ended.domain.unwrap().is_empty());
    let silent = summaries(&mut view, now + period * 7);
    assert_eq!(silent, demand::LeaderSummaries::default());
    assert!(view.others(now + period * 8).is_some());
    view.expire(expiry, now + period * 9);
    assert_eq!(view.others(now + period * 9), None);
}

/// Guards against a former leader whose sums count beside those of the next one.
#[tokio::test(start_paused = true)]
async fn sums_of_a_former_leader_end_and_its_failures_stay_for_a_while() {
    let now = time::Instant::now();
    let mut view = demand::DemandView::default();
    for host in ["m1", "m2"] {
        let summary = demand::DemandSummary {
            ranks: vec![rank(1, 0, 5, 2.0)],
            failed: vec![failed(8, 7, 0)],
            ..demand::DemandSummary::default()
        };
        view.receive(host, leader::LeaderMessage::DomainDemand(summary), now);
    }
    view.retain_domains(&["m2"]);
    let fleet = summaries(&mut view, now).fleet.unwrap();
    assert_eq!(fleet.ranks, [rank(1, 0, 5, 2.0)]);
    view.retain_domains(&[]);
    let fleet = summaries(&mut view, now).fleet.unwrap();
    assert!(fleet.ranks.is_empty());
    assert_eq!(fleet.failed, [failed(8, 7, 0)]);
    view.expire(500 * MS, now + demand::FAILED_HOLD);
    assert!(summaries(&mut view, now).fleet.unwrap().is_empty());
}

/// Guards against ranks of organisations times routes that one node tells and another one
/// never hears of, so that it neither leaves them room nor shares theirs.
#[tokio::test(start_paused = true)]
async fn ranks_of_four_organisations_and_four_routes_are_told_in_few_bytes() {
    let now = time::Instant::now();
    let service = demand::name_key("s");
    let numbers =
        (0..4).flat_map(|organisation| (0..4).map(move |route| 16 * organisation + route));
    let ranks: Vec<_> = numbers
        .map(|number| rank(service, number, 3, 1.5))
        .collect();
    let mut view = demand::DemandView::default();
    view.set_ranks(ranks.clone());
    assert_eq!(view.node_summary(now).unwrap().ranks, ranks);
    let message = leader::LeaderMessage::DomainDemand(demand::DemandSummary {
        ranks: ranks.clone(),
        ..demand::DemandSummary::default()
    });
    let length = postcard::to_stdvec(&message).unwrap().len();
    println!("ranks={} bytes={length}", ranks.len());
    assert!(length <= 16 * 15, "{length}");
    let mut other = demand::DemandView::default();
    other.receive("m1", message, now);
    assert_eq!(summaries(&mut other, now).fleet.unwrap().ranks, ranks);
}

/// Guards against a message with impossible numbers or lists that ends or confuses a
/// node.
#[tokio::test(start_paused = true)]
async fn lists_and_numbers_are_bounded() {
    let now = time::Instant::now();
    let mut view = demand::DemandView::default();
    let huge = demand::DemandSummary {
        ranks: (0..200)
            .rev()
            .map(|number| rank(1, number, u32::MAX, f32::NAN))
            .chain([rank(2, 0, 0, f32::INFINITY), rank(3, 0, 0, f32::MAX)])
            .collect(),
        organisations: (0..1_000).map(|key| organisation(key, key)).collect(),
        prompts: vec![
            demand::PromptBacklog {
                runner: 4,
                token_layers: u64::MAX,
            };
            2
        ],
        links: vec![demand::LinkUse::default(); 3],
        failed: (0..1_000)
            .map(|runner| failed(runner, 1, u32::MAX))
            .collect(),
        age_ms: u32::MAX,
    };
    for host in ["n2", "n3"] {
        view.receive(host, leader::LeaderMessage::NodeDemand(huge.clone()), now);
    }
    view.receive("m1", leader::LeaderMessage::DomainDemand(huge), now);
    let fleet = summaries(&mut view, now + 5 * MS).fleet.unwrap();
    assert_eq!(fleet.ranks.len(), 17);
    assert!((0..16).all(|index| fleet.ranks[index] == rank(1, index as u8, u32::MAX, 0.0)));
    assert_eq!(fleet.ranks[16], rank(3, 0, 0, f32::MAX));
    assert_eq!(fleet.organisations.len(), 64);
    assert_eq!(fleet.organisations[63], organisation(999, 3 * 999));
    assert_eq!(fleet.prompts[0].token_layers, u64::MAX);
    assert!(fleet.links.is_empty());
    assert_eq!((fleet.failed.len(), fleet.age_ms), (64, u32::MAX));
}

#[tokio::test(start_paused = true)]
async fn latest_process_and_latest_failure_of_a_runner_count() {
    let now = time::Instant::now();
    let mut view = demand::DemandView::default();
    assert!(view.note_failed(8, 6));
    assert!(!view.note_failed(8, 6));
    for (host, failed) in [("n2", failed(8, 7, 90)), ("n3", failed(8, 7, 40))] {
        let summary = demand::DemandSummary {
            failed: vec![failed],
            ..demand::DemandSummary::default()
        };
        assert!(view.receive(host, leader::LeaderMessage::NodeDemand(summary), now));
    }
    assert_eq!(view.suspicions(now), [failed(8, 7, 40)]);
    assert!(view.note_failed(8, 9));
    // A node repeats for a while what it saw.
    view.expire(500 * MS, now + 900 * MS);
    assert_eq!(
        view.node_summary(now + 900 * MS).unwrap().failed,
        [failed(8, 9, 900)]
    );
    view.expire(500 * MS, now + 1_100 * MS);
    assert!(view.node_summary(now).unwrap().is_empty());
    assert_eq!(view.node_summary(now), None);
}

/// The exchange may cost a node 7 KB a second at most, as all control traffic, and
/// depends on ranks, organisations and runners, not on requests.
#[tokio::test(start_paused = true)]
async fn exchange_costs_little_at_any_size() {
    for nodes in [7, 60, 300] {
        let mut costs = Vec::new();
        let network = demand_network::start(nodes, 98, true).await;
        for load in [1, 1_000] {
            for node in 0..nodes as u32 {
                let mut view = network.node(node as usize).demand.lock().unwrap();
                let service = demand::name_key("s");
                view.set_ranks(
                    (0..4)
                        .map(|number| rank(service, number, load, 1.5))
                        .collect(),
                );
                let organisations = (0..12).map(|index| (index * 37 + node) % 40);
                let mut organisations: Vec<_> = organisations
                    .map(|key| demand::OrganisationUse {
                        service,
                        ..organisation(demand::name_key(&key.to_string()), load)
                    })
                    .collect();
                organisations.sort_by_key(|organisation| organisation.organisation);
                view.set_organisations(organisations);
                view.set_prompts(
                    (0..3)
                        .map(|index| demand::PromptBacklog {
                            runner: leader::runner_key(&format!("i-{}", (node + index * 31) % 98)),
                            token_layers: u64::from(load) * 10_000,
                        })
                        .collect(),
                );
            }
            let (_, before) = network.sent_by_all();
            let measured = std_time::Duration::from_secs(4);
            time::sleep(measured).await;
            let (_, after) = network.sent_by_all();
            let per_node = (after - before) as f64 / measured.as_secs_f64() / nodes as f64;
            println!("nodes={nodes} load={load} bytes_per_second_and_node={per_node:.0}");
            assert!(per_node <= 7_000.0, "{nodes} {per_node}");
            costs.push(per_node);
        }
        // Larger numbers take a few bytes more, never more entries.
        assert!(costs[1] <= 1.5 * costs[0], "{costs:?}");
    }
}

/// Guards against one message between nodes that ends a task of its receiver.
#[tokio::test(start_paused = true)]
async fn malformed_messages_make_no_node_panic() {
    let network = demand_network::start(3, 3, true).await;
    let core = network.node(0);
    panics::install(&core.panics);
    let handler = leader_driver::LeaderHandler::new(sync::Arc::clone(core));
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(36);
    let known = leader::runner_key("i-1").to_le_bytes();
    for number in 0..20_000 {
        // The variants about demand begin at 3.
        let mut message = vec![random.random_range(3..8)];
        while message.len() < 120 {
            match random.random_range(0..6) {
                0 | 1 => message.push(random.random_range(0..4)),
                2 => message.extend([0xff, 0xff, 0xff, 0xff, 0x0f]),
                3 => message.extend(known),
                4 => message.extend(random.random::<[u8; 4]>()),
                _ => message.push(random.random()),
            }
        }
        message.truncate(random.random_range(1..=120));
        handler.handle("front-zone-0001", &message);
        if number % 200 == 0 {
            time::sleep(300 * MS).await;
        }
        let panics = core.panics.take();
        assert!(panics.is_empty(), "{number} {message:?}: {panics:?}");
    }
}
