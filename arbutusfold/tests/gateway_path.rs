//! Choice of paths over runners.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::{layout, leader, path};
use arbutusfold_platform::runner;
use gateway_fixture::{engine, query, small_fleet};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Offers of a fleet whose layers are placed.
fn offers() -> Vec<path::StageOffer> {
    let engine = engine();
    let mut slots = small_fleet();
    for choice in layout::plan(&engine, &slots) {
        slots[choice.runner].layers = Some(choice.layers);
    }
    let offer = |(place, slot): (usize, &layout::LayoutRunner)| {
        let card = engine.cards.iter().find(|card| card.name == slot.card);
        let card = card.unwrap();
        let layers = slot.layers.unwrap();
        let free_mb = card.memory_mb - f64::from(layers.len()) * engine.layer_mb;
        path::StageOffer {
            place,
            domain: DOMAINS
                .iter()
                .position(|name| *name == slot.domain)
                .unwrap(),
            layers,
            step_factor: card.step_factor,
            read_factor: card.read_factor,
            streams: 0.0,
            room: free_mb * 1e6 * f64::from(engine.layers) / engine.token_bytes,
            penalty_ms: 0.0,
        }
    };
    slots.iter().enumerate().map(offer).collect()
}

fn choose(offers: &[path::StageOffer], domain: usize) -> Option<path::ChosenPath> {
    let engine = engine();
    path::choose(offers, &query(&engine, domain), || 1.0)
}

fn assert_whole(chosen: &path::ChosenPath, offers: &[path::StageOffer]) {
    let mut reached = 0;
    let mut seen = Vec::new();
    for stage in &chosen.stages {
        assert_eq!(stage.layers.from, reached, "{chosen:?}");
        assert!(
            offers[stage.place].layers.covers(stage.layers),
            "{chosen:?}"
        );
        assert!(!seen.contains(&stage.place), "{chosen:?}");
        seen.push(stage.place);
        reached = stage.layers.to;
    }
    assert_eq!(reached, engine().layers);
}

fn crossings(chosen: &path::ChosenPath, offers: &[path::StageOffer]) -> usize {
    let domain = |stage: &path::PathStage| offers[stage.place].domain;
    let pairs = chosen.stages.windows(2);
    pairs
        .filter(|pair| domain(&pair[0]) != domain(&pair[1]))
        .count()
}

#[test]
fn path_covers_every_layer_once_in_order_inside_its_domain() {
    let offers = offers();
    for domain in 0..DOMAINS.len() {
        let chosen = choose(&offers, domain).unwrap();
        assert_whole(&chosen, &offers);
        assert_eq!(crossings(&chosen, &offers), 0);
    }
}

#[test]
fn any_lost_runner_leaves_a_path_without_it() {
    let all = offers();
    for lost in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(lost);
        let chosen = choose(&rest, all[lost].domain).unwrap();
        assert!(chosen.stages.iter().all(|stage| stage.place != lost));
        assert_whole(&chosen, &all);
    }
}

#[test]
fn layer_without_a_holder_gives_no_path() {
    let mut offers = offers();
    offers.retain(|offer| !offer.layers.covers(runner::LayerSpan { from: 79, to: 80 }));
    assert!(choose(&offers, 0).is_none());
}

#[test]
fn full_and_failing_runners_are_the_last_resort() {
    let mut offers = offers();
    let first = choose(&offers, 0).unwrap();
    let crowded = first.stages[0].place;
    offers[crowded].room = 0.0;
    let second = choose(&offers, 0).unwrap();
    assert!(second.stages.iter().all(|stage| stage.place != crowded));
    let failing = second.stages[0].place;
    offers[failing].penalty_ms = path::AVOIDED_MS;
    let third = choose(&offers, 0).unwrap();
    assert!(third.stages.iter().all(|stage| stage.place != failing));
    offers.iter_mut().for_each(|offer| offer.room = 0.0);
    assert!(choose(&offers, 0).unwrap().cost_ms >= path::CROWDED_MS);
}

/// Spell of slow runners: their stages cost what they take now.
#[test]
fn slow_runner_is_passed_by_while_others_hold_its_layers() {
    let mut offers = offers();
    for _ in 0..4 {
        let chosen = choose(&offers, 0).unwrap();
        let slow = chosen.stages[0].place;
        offers[slow].step_factor *= 12.0;
        offers[slow].read_factor *= 12.0;
        let other = choose(&offers, 0).unwrap();
        assert!(other.stages.iter().all(|stage| stage.place != slow));
    }
}

/// Tokens of context that fit each layer over all runners, at the least layer.
fn memory_bound(offers: &[path::StageOffer]) -> f64 {
    let fits = |layer: u32| {
        let span = runner::LayerSpan {
            from: layer,
            to: layer + 1,
        };
        let holders = offers.iter().filter(|offer| offer.layers.covers(span));
        holders
            .map(|offer| offer.room / f64::from(offer.layers.len()))
            .sum::<f64>()
    };
    (0..engine().layers).map(fits).fold(f64::INFINITY, f64::min)
}

/// Burst: many requests arrive before any of them ends, each placed by its
/// cost and raising the load of its stages.
#[test]
fn burst_fills_the_memory_of_all_runners_before_one_is_refused() {
    let mut offers = offers();
    let tokens = 1_000.0;
    let bound = memory_bound(&offers) / tokens;
    let mut placed = 0;
    loop {
        let chosen = choose(&offers, placed % DOMAINS.len()).unwrap();
        if chosen.cost_ms >= path::CROWDED_MS {
            break;
        }
        placed += 1;
        for stage in &chosen.stages {
            let offer = &mut offers[stage.place];
            offer.streams += 1.0;
            offer.room -= tokens * f64::from(stage.layers.len());
        }
    }
    assert!(placed as f64 >= 0.8 * bound, "{placed} of {bound}");
}

/// Herd after a common start: each node places its requests without a word of
/// what the others place. Returns how many more than fit stand at the fullest
/// runner.
fn excess_after_herd(nodes: usize, each: usize, fleet_size: usize) -> f64 {
    let tokens = 1_000.0;
    let fresh = offers();
    let mut placed = vec![0.0; fresh.len()];
    for node in 0..nodes {
        let book = leader::LoadView::default();
        let mut own = vec![(0.0, 0.0); fresh.len()];
        for _ in 0..each {
            let total: f64 = own.iter().map(|(streams, _)| streams).sum();
            let alike = 1.0 + book.unreported_load(total as u32, fleet_size);
            let mut seen = fresh.clone();
            for (offer, (streams, held)) in seen.iter_mut().zip(&own) {
                offer.streams += alike * streams;
                offer.room -= alike * held;
            }
            let chosen = choose(&seen, node % DOMAINS.len()).unwrap();
            for stage in &chosen.stages {
                own[stage.place].0 += 1.0;
                own[stage.place].1 += tokens * f64::from(stage.layers.len());
            }
        }
        for (sum, (_, held)) in placed.iter_mut().zip(&own) {
            *sum += held;
        }
    }
    let excess = placed.iter().zip(&fresh).map(|(held, offer)| {
        let request = tokens * f64::from(offer.layers.len());
        (held - offer.room) / request
    });
    excess.fold(0.0, f64::max)
}

#[test]
fn herd_after_a_common_start_spreads_over_the_fleet() {
    // A node sees the others through its own requests only, so all of them may
    // place one more than fits.
    let nodes = 20;
    assert!(excess_after_herd(nodes, 12, nodes) <= nodes as f64);
    // Without the others in mind the best runners get several times that.
    assert!(excess_after_herd(nodes, 12, 1) > 3.0 * nodes as f64);
}
