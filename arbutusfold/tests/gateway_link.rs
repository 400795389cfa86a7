//! Narrow links between failure domains that many nodes share.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use std::time as std_time;

use arbutusfold::gateway::{demand, link_budget, path};
use arbutusfold_platform::{document, runner};
use gateway_fixture::{engine, query};
use rand::{RngExt, SeedableRng};
use tokio::time;

const HOSTS: usize = 28;

/// Time between two reports of what the other nodes transfer.
const REPORT: std_time::Duration = std_time::Duration::from_millis(200);

/// Copies of the model in each domain, each split into quarters.
const COPIES: usize = 4;

/// An engine with a link that carries the prompts of a few requests a second.
fn narrow_engine() -> document::EngineSpec {
    document::EngineSpec {
        activation_bytes: 20_000.0,
        link_mbps: Some(4_000.0),
        ..engine()
    }
}

fn candidate(runner: usize, domain: usize, from: u32, to: u32) -> path::StageCandidate {
    path::StageCandidate {
        runner,
        domain,
        layers: runner::LayerSpan { from, to },
        step_factor: 3.0,
        read_factor: 3.0,
        in_flight: 0.0,
        slots: 192.0,
        free_token_layers: f64::MAX,
        unread_token_layers: 0.0,
        penalty_ms: 0.0,
    }
}

/// Copies of all layers in two domains.
fn two_domains() -> Vec<path::StageCandidate> {
    let quarters = (0..2 * 4 * COPIES).map(|runner| {
        let from = (runner % 4 * 20) as u32;
        candidate(runner, runner / (4 * COPIES), from, from + 20)
    });
    quarters.collect()
}

fn timing(links: Vec<f64>, domains: usize) -> path::PathTiming {
    path::PathTiming {
        first_limit_ms: 250.0,
        gap_limit_ms: 250.0,
        domains,
        links,
        alike: 1.0,
    }
}

fn domain_keys(count: usize) -> Vec<demand::DomainKey> {
    (0..count)
        .map(|domain| demand::name_key(&format!("d-{domain}")))
        .collect()
}

fn crossings(
    chosen: &path::ChosenPath,
    candidates: &[path::StageCandidate],
) -> Vec<(usize, usize)> {
    let domain = |stage: &path::PathStage| {
        let mut candidates = candidates.iter();
        let found = candidates.find(|candidate| candidate.runner == stage.runner);
        found.unwrap().domain
    };
    let pairs = chosen.stages.windows(2);
    let hops = pairs.map(|pair| (domain(&pair[0]), domain(&pair[1])));
    hops.filter(|(from, to)| from != to).collect()
}

/// Lets 28 nodes in domain 0 send 200 requests a second for 10 s. Each domain has room,
/// but its runners for one half of the layers are slower by `slowdown`, so that every
/// request is served fastest by both. Returns the largest use of a link in any second
/// after the first.
fn peak_use(slowdown: f64, is_timed: bool, seed: u64) -> f64 {
    let engine = narrow_engine();
    let link_mbps = engine.link_mbps.unwrap();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut candidates = two_domains();
    for candidate in &mut candidates {
        if (candidate.layers.from >= 40) == (candidate.domain == 0) {
            candidate.step_factor *= slowdown;
            candidate.read_factor *= slowdown;
        }
    }
    let keys = domain_keys(2);
    let start = time::Instant::now();
    let mut meters = vec![link_budget::LinkMeter::default(); HOSTS];
    let mut reported: Vec<Vec<demand::LinkUse>> = vec![Vec::new(); HOSTS];
    let mut reported_at = start;
    let mut sent = [[0.0; 2]; 10];
    for turn in 0..2_000_u32 {
        let now = start + std_time::Duration::from_millis(5) * turn;
        if now >= reported_at + REPORT {
            reported_at = now;
            for (list, meter) in reported.iter_mut().zip(&mut meters) {
                *list = meter.rates(now);
            }
        }
        let host = rng.random_range(0..HOSTS);
        let own = meters[host].rates(now);
        let mut others: Vec<demand::LinkUse> = Vec::new();
        for link in reported
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != host)
        {
            for link in link.1 {
                match others
                    .iter_mut()
                    .find(|sum| (sum.from, sum.to) == (link.from, link.to))
                {
                    Some(sum) => sum.bytes_per_second += link.bytes_per_second,
                    None => others.push(*link),
                }
            }
        }
        others.sort_unstable_by_key(|link| (link.from, link.to));
        let traffic = link_budget::FleetTraffic {
            own: &own,
            others: Some(&others),
            nodes: HOSTS,
        };
        let timing = path::PathTiming {
            alike: 1.0 + rng.random::<f64>() * HOSTS as f64,
            ..timing(traffic.uses(&keys, link_mbps), 2)
        };
        let query = path::PathQuery {
            timing: is_timed.then_some(&timing),
            ..query(&engine, 0)
        };
        let chosen = path::choose(&candidates, &query, || 1.0 + 0.1 * rng.random::<f64>());
        let bytes = engine.activation_bytes * (query.prompt + query.answer);
        for (from, to) in crossings(&chosen.unwrap(), &candidates) {
            let link = link_budget::LinkKey {
                from: keys[from],
                to: keys[to],
            };
            meters[host].add(link, bytes, now);
            sent[turn as usize / 200][from] += bytes;
        }
    }
    let busiest = sent
        .iter()
        .skip(1)
        .flatten()
        .fold(0.0, |most: f64, bytes| most.max(*bytes));
    busiest * 8.0 / (link_mbps * 1e6)
}

/// The sum of the nodes' choices must not fill a link while there is room at home.
#[tokio::test(start_paused = true)]
async fn link_stays_under_nine_tenths_while_there_is_room_at_home() {
    for slowdown in [2.0, 6.0, 10.0] {
        for seed in 0..3 {
            let (before, after) = (
                peak_use(slowdown, false, seed),
                peak_use(slowdown, true, seed),
            );
            println!("slowdown {slowdown} seed {seed}: use {before:.2} -> {after:.2}");
            assert!(after < 0.9, "{after} of the link");
        }
    }
}

/// Two domains hold fast copies of every other span, a third one slow copies of all.
#[test]
fn path_with_many_crossings_vanishes_when_one_with_fewer_exists() {
    let engine = document::EngineSpec {
        activation_bytes: 1_000.0,
        ..narrow_engine()
    };
    let spans = 0..8_usize;
    let of_span = spans.flat_map(|span| [(span % 2, span, 1.0), (2, span, 3.0)]);
    let candidates: Vec<_> = of_span
        .enumerate()
        .map(|(runner, (domain, span, slowdown))| {
            let from = (span * 10) as u32;
            let mut held = candidate(runner, domain, from, from + 10);
            held.step_factor *= slowdown;
            held.read_factor *= slowdown;
            held
        })
        .collect();
    let chosen_at = |used: f64| {
        let timing = timing(vec![used; 9], 3);
        let query = path::PathQuery {
            timing: Some(&timing),
            ..query(&engine, 0)
        };
        path::choose(&candidates, &query, || 1.0).unwrap()
    };
    let before = path::choose(&candidates, &query(&engine, 0), || 1.0).unwrap();
    assert_eq!(before.crossings, 7);
    // A calm link costs what it did.
    assert_eq!(chosen_at(0.0).stages, before.stages);
    for used in [0.6, 0.8, 0.95, 3.0] {
        let chosen = chosen_at(used);
        let hops = crossings(&chosen, &candidates);
        assert_eq!(hops.len(), chosen.crossings as usize);
        assert!(hops.len() <= 2, "{hops:?} at a use of {used}");
    }
}

/// A saturated link is used where the layers have no other runner.
#[test]
fn saturated_link_is_the_last_resort() {
    let engine = narrow_engine();
    let mut candidates = two_domains();
    candidates.retain(|candidate| candidate.domain == 1 || candidate.layers.from != 40);
    let timing = timing(vec![0.0, 2.0, 2.0, 0.0], 2);
    let query = path::PathQuery {
        timing: Some(&timing),
        prompt: 20_000.0,
        ..query(&engine, 0)
    };
    let chosen = path::choose(&candidates, &query, || 1.0).unwrap();
    // Its price alone is no reason for a refusal.
    assert!(chosen.penalty_ms < path::MAX_COST_MS);
    // The path begins elsewhere and stays there.
    assert!(crossings(&chosen, &candidates).is_empty());
    candidates.retain(|candidate| candidate.domain == 0 || candidate.layers.from == 40);
    let chosen = path::choose(&candidates, &query, || 1.0).unwrap();
    assert_eq!(crossings(&chosen, &candidates).len(), 2);
    assert!(chosen.penalty_ms < path::MAX_COST_MS);
}

/// 4,000 Mbit/s are 500 MB/s.
#[test]
fn bandwidth_is_in_megabits() {
    let used = link_budget::link_use(250e6, 4_000.0);
    assert!((used - 0.5).abs() < 1e-9);
    assert!((link_budget::free_share(used) - 0.5).abs() < 1e-9);
    assert!(!link_budget::is_saturated(used));
    assert!(link_budget::is_saturated(link_budget::link_use(
        451e6, 4_000.0
    )));
    // 50 MB take a tenth of a second.
    assert!((link_budget::added_use(100.0) - 0.1).abs() < 1e-9);
}

/// Without sums each node takes the others for its like.
#[tokio::test(start_paused = true)]
async fn missing_sums_are_replaced_by_own_traffic_times_nodes() {
    let keys = domain_keys(2);
    let link = link_budget::LinkKey {
        from: keys[0],
        to: keys[1],
    };
    let back = link_budget::LinkKey {
        from: keys[1],
        to: keys[0],
    };
    let mut meter = link_budget::LinkMeter::default();
    let now = time::Instant::now();
    meter.add(link, 1e6, now);
    let own = meter.rates(now);
    let traffic = |others| link_budget::FleetTraffic {
        own: &own,
        others,
        nodes: 10,
    };
    assert!((traffic(None).on(link) - 10e6).abs() < 10.0);
    assert!((traffic(Some(&[])).on(link) - 1e6).abs() < 1.0);
    assert!(traffic(None).on(back).abs() < 1e-9);
    // The average follows a constant rate and forgets a link that is idle.
    for step in 0..100 {
        meter.add(link, 1e5, now + std_time::Duration::from_millis(100) * step);
    }
    let later = now + std_time::Duration::from_millis(9_950);
    let rate = f64::from(meter.rates(later)[0].bytes_per_second);
    assert!((0.9e6..1.1e6).contains(&rate), "{rate}");
    let idle = later + std_time::Duration::from_secs(60);
    assert!(meter.rates(idle).is_empty());
}
