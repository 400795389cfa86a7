//! Compares planned routes with a minimum cut found by exhaustive search.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::{document, plan, upstream};
use proptest::prelude::*;
use proptest::test_runner;

const LAYERS: u32 = 6;

fn offer(slot: usize, domain: &str, from: u32, to: u32, rate: u64) -> plan::StageOffer {
    plan::StageOffer {
        slot,
        domain: domain.to_owned(),
        layers: upstream::LayerRange { from, to },
        tokens_per_second: rate,
    }
}

fn link(from: &str, to: &str, delay_us: u64, bytes_per_second: u64) -> document::LinkSpec {
    document::LinkSpec {
        from: from.to_owned(),
        to: to.to_owned(),
        delay_us: time::Duration::from_micros(delay_us),
        bytes_per_second,
    }
}

fn table(links: &[document::LinkSpec]) -> plan::LinkTable {
    plan::LinkTable::new(links)
}

/// Returns whether the offers outside the bit set `cut` cover every layer.
fn covers(offers: &[plan::StageOffer], cut: u32) -> bool {
    let mut reached = 0;
    loop {
        let next = offers
            .iter()
            .enumerate()
            .filter(|(index, offer)| cut & (1 << index) == 0 && offer.layers.from <= reached)
            .map(|(_, offer)| offer.layers.to)
            .max()
            .unwrap_or(0);
        if next <= reached {
            return reached >= LAYERS;
        }
        reached = next;
    }
}

/// Returns the smallest total rate of a set of offers whose loss leaves a layer
/// without an upstream.
fn minimum_cut(offers: &[plan::StageOffer]) -> u64 {
    (0..1_u32 << offers.len())
        .filter(|cut| !covers(offers, *cut))
        .map(|cut| {
            offers
                .iter()
                .enumerate()
                .filter(|(index, _)| cut & (1 << index) != 0)
                .map(|(_, offer)| offer.tokens_per_second)
                .sum()
        })
        .min()
        .unwrap_or(0)
}

/// Asserts that each route covers every layer once in order and that no offer
/// exceeds its rate.
fn assert_feasible(offers: &[plan::StageOffer], plan: &plan::RoutePlan) {
    for route in &plan.routes {
        let mut next = 0;
        for stage in &route.stages {
            let offer = &offers[stage.slot];
            assert_eq!(stage.layers.from, next, "{route:?}");
            assert!(stage.layers.from < stage.layers.to, "{route:?}");
            assert!(offer.layers.from <= stage.layers.from && stage.layers.to <= offer.layers.to);
            next = stage.layers.to;
        }
        assert_eq!(next, LAYERS, "{route:?}");
    }
    for offer in offers {
        let sent: u64 = plan
            .routes
            .iter()
            .filter(|route| route.stages.iter().any(|stage| stage.slot == offer.slot))
            .map(|route| route.tokens_per_second)
            .sum();
        assert!(sent <= offer.tokens_per_second, "{offer:?} gets {sent}");
    }
}

fn proptest_runner(cases: u32) -> test_runner::TestRunner {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(cases);
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let algorithm = test_runner::RngAlgorithm::ChaCha;
    let rng = test_runner::TestRng::from_seed(algorithm, &[7; 32]);
    test_runner::TestRunner::new_with_rng(config, rng)
}

#[test]
fn bound_is_the_minimum_cut_and_routes_reach_it() {
    let range = (0..LAYERS).prop_flat_map(|from| (Just(from), from + 1..=LAYERS));
    let offer_values = (range, 1..1_000_u64, 0..3_usize);
    let offer_lists = proptest::collection::vec(offer_values, 1..10);
    proptest_runner(600)
        .run(&offer_lists, |values| {
            let offers: Vec<_> = values
                .iter()
                .enumerate()
                .map(|(slot, ((from, to), rate, domain))| {
                    offer(slot, ["a", "b", "c"][*domain], *from, *to, *rate)
                })
                .collect();
            let links = table(&[link("a", "b", 100, 0), link("b", "c", 10_000, 0)]);
            let plan = plan::plan(LAYERS, &offers, &links, plan::ROUTE_LIMIT);
            prop_assert_eq!(plan.bound, minimum_cut(&offers));
            assert_feasible(&offers, &plan);
            prop_assert!(
                plan.throughput() * 100 >= plan.bound * 95,
                "{} planned of {}",
                plan.throughput(),
                plan.bound
            );
            Ok(())
        })
        .unwrap();
}

#[test]
fn routes_stay_inside_a_domain_while_they_fit() {
    let offers = [
        offer(0, "a", 0, 3, 100),
        offer(1, "a", 3, 6, 100),
        offer(2, "b", 0, 3, 100),
        offer(3, "b", 3, 6, 100),
    ];
    let links = table(&[link("a", "b", 30_000, 0)]);
    let plan = plan::plan(LAYERS, &offers, &links, plan::ROUTE_LIMIT);
    assert_eq!(plan.bound, 200);
    assert!(plan.routes.iter().all(|route| route.delay.is_zero()));
}

#[test]
fn narrow_link_bounds_the_flow() {
    let offers = [offer(0, "a", 0, 3, 100), offer(1, "b", 3, 6, 100)];
    let capacity = 40 * 16 * 1_024;
    let links = table(&[link("b", "a", 1_000, capacity)]);
    let plan = plan::plan(LAYERS, &offers, &links, plan::ROUTE_LIMIT);
    assert_eq!((plan.bound, plan.throughput()), (40, 40));
}

#[test]
fn link_that_two_boundaries_share_is_not_filled_twice() {
    let offers = [
        offer(0, "a", 0, 2, 100),
        offer(1, "b", 2, 4, 100),
        offer(2, "a", 4, 6, 100),
        offer(3, "a", 0, 4, 100),
        offer(4, "b", 4, 6, 100),
    ];
    let capacity = 50 * 16 * 1_024;
    let links = table(&[link("a", "b", 1_000, capacity)]);
    let plan = plan::plan(LAYERS, &offers, &links, plan::ROUTE_LIMIT);
    let mut forward = 0;
    for route in &plan.routes {
        let crossings = route
            .stages
            .windows(2)
            .filter(|pair| offers[pair[0].slot].domain == "a" && offers[pair[1].slot].domain == "b")
            .count() as u64;
        forward += crossings * route.tokens_per_second;
    }
    assert!(forward <= 50, "{forward} cross");
}

#[test]
fn few_routes_carry_most_of_the_flow() {
    let offers: Vec<_> = (0..30)
        .map(|slot| {
            let third = (slot % 3) as u32 * 2;
            let rate = 500 + 137 * (slot as u64 % 7);
            offer(slot, ["a", "b", "c"][slot / 10], third, third + 2, rate)
        })
        .collect();
    let links = table(&[link("a", "b", 200, 0), link("a", "c", 200, 0)]);
    let whole = plan::plan(LAYERS, &offers, &links, plan::ROUTE_LIMIT);
    let few = plan::plan(LAYERS, &offers, &links, 30);
    assert_eq!(whole.throughput(), whole.bound);
    assert!(
        few.throughput() * 100 >= few.bound * 90,
        "{}",
        few.throughput()
    );
}
