//! Tests of the assignment of layers to runners.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::layout;
use arbutusfold_platform::runner;
use gateway_fixture::{engine, engine_with_four_cards, small_fleet};

/// Plans a layout and returns the runners with their layers.
fn with_layers(mut runners: Vec<layout::LayoutRunner>) -> Vec<layout::LayoutRunner> {
    let engine = engine();
    for assignment in layout::plan(&engine, &runners) {
        runners[assignment.runner].layers = Some(assignment.layers);
    }
    runners
}

fn of_domain(runners: &[layout::LayoutRunner], domain: &str) -> Vec<layout::LayoutRunner> {
    let own = runners.iter().filter(|runner| runner.domain == domain);
    own.cloned().collect()
}

#[test]
fn every_domain_holds_the_whole_model() {
    let runners = with_layers(small_fleet());
    for domain in ["a", "b", "c"] {
        let copies = layout::copies(&engine(), &of_domain(&runners, domain));
        assert!(
            copies.iter().all(|copies| *copies >= 1),
            "{domain}: {copies:?}"
        );
    }
    let all = layout::copies(&engine(), &runners);
    assert!(all.iter().all(|copies| *copies >= 3), "{all:?}");
}

#[test]
fn no_runner_holds_more_than_its_memory_with_room_for_contexts() {
    let engine = engine();
    for runner in with_layers(small_fleet()) {
        let card = engine
            .cards
            .iter()
            .find(|card| card.name == runner.card)
            .unwrap();
        let used = f64::from(runner.layers.unwrap().len()) * engine.layer_mb;
        assert!(used < 0.9 * card.memory_mb, "{runner:?}");
    }
}

#[test]
fn runner_that_returns_empty_takes_the_span_with_the_fewest_copies() {
    let full = with_layers(small_fleet());
    for lost in 0..full.len() {
        let mut runners = full.clone();
        runners[lost].layers = None;
        let before = layout::copies(&engine(), &of_domain(&runners, &runners[lost].domain));
        let fewest = *before.iter().min().unwrap();
        let assignments = layout::plan(&engine(), &runners);
        assert_eq!(assignments.len(), 1);
        runners[lost].layers = Some(assignments[0].layers);
        let after = layout::copies(&engine(), &of_domain(&runners, &runners[lost].domain));
        let raised = (0..before.len()).any(|unit| before[unit] == fewest && after[unit] > fewest);
        assert!(raised, "runner {lost}: {before:?} to {after:?}");
    }
}

#[test]
fn lost_domain_leaves_whole_models_in_the_others() {
    let runners: Vec<_> = with_layers(small_fleet())
        .into_iter()
        .filter(|runner| runner.domain != "a")
        .collect();
    let copies = layout::copies(&engine(), &runners);
    assert!(copies.iter().all(|copies| *copies >= 2), "{copies:?}");
}

#[test]
fn unknown_card_gets_no_layers() {
    let runners = vec![gateway_fixture::runner("a", "unheard-of")];
    assert!(layout::plan(&engine(), &runners).is_empty());
}

#[test]
fn boundaries_begin_and_end_with_the_model() {
    let bounds = layout::boundaries(&engine());
    assert_eq!((bounds[0], *bounds.last().unwrap()), (0, 80));
    assert!(bounds.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn room_after_a_loss_leaves_out_the_copy_with_the_most() {
    let engine = engine_with_four_cards();
    let holder = |card, layers| layout::LayoutRunner {
        layers: Some(layers),
        ..gateway_fixture::runner("a", card)
    };
    let all = engine.all_layers();
    let half = runner::LayerSpan { from: 0, to: 40 };
    // Memory left besides 25 layers, in contexts of 1,000 tokens of 25 layers.
    let free = (72_000.0 - 25.0 * 1_750.0) / (590.0 * 25.0 / 80.0);
    let first = runner::LayerSpan { from: 0, to: 25 };
    let room = layout::room(&engine, &[holder("large", first), holder("large", first)]);
    assert!((room[0].whole - 2.0 * free).abs() < 1e-6, "{:?}", room[0]);
    assert!((room[0].after_loss - free).abs() < 1e-6, "{:?}", room[0]);
    let full = layout::room(&engine, &[holder("large", all), holder("tiny", half)]);
    assert_eq!(full[0], layout::UnitRoom::default());
}
