//! Layouts of layers over runners.

#![allow(clippy::unwrap_used)]

mod gateway_world;

use arbutusfold::gateway::layout;
use gateway_world::{engine, slot, small_fleet};

/// Places all runners and returns them with their layers.
fn placed(mut slots: Vec<layout::LayoutSlot>) -> Vec<layout::LayoutSlot> {
    let engine = engine();
    for choice in layout::plan(&engine, &slots) {
        slots[choice.slot].layers = Some(choice.layers);
    }
    slots
}

fn of_domain(slots: &[layout::LayoutSlot], domain: &str) -> Vec<layout::LayoutSlot> {
    let own = slots.iter().filter(|slot| slot.domain == domain);
    own.cloned().collect()
}

#[test]
fn every_domain_holds_the_whole_model() {
    let slots = placed(small_fleet());
    for domain in ["a", "b", "c"] {
        let copies = layout::copies(&engine(), &of_domain(&slots, domain));
        assert!(
            copies.iter().all(|copies| *copies >= 1),
            "{domain}: {copies:?}"
        );
    }
    let all = layout::copies(&engine(), &slots);
    assert!(all.iter().all(|copies| *copies >= 3), "{all:?}");
}

#[test]
fn no_runner_holds_more_than_its_memory_with_room_for_contexts() {
    let engine = engine();
    for slot in placed(small_fleet()) {
        let card = engine
            .cards
            .iter()
            .find(|card| card.name == slot.card)
            .unwrap();
        let used = f64::from(slot.layers.unwrap().len()) * engine.layer_mb;
        assert!(used < 0.9 * card.memory_mb, "{slot:?}");
    }
}

#[test]
fn runner_that_returns_empty_takes_the_span_with_the_fewest_copies() {
    let full = placed(small_fleet());
    for lost in 0..full.len() {
        let mut slots = full.clone();
        slots[lost].layers = None;
        let before = layout::copies(&engine(), &of_domain(&slots, &slots[lost].domain));
        let fewest = *before.iter().min().unwrap();
        let choices = layout::plan(&engine(), &slots);
        assert_eq!(choices.len(), 1);
        slots[lost].layers = Some(choices[0].layers);
        let after = layout::copies(&engine(), &of_domain(&slots, &slots[lost].domain));
        let raised = (0..before.len()).any(|unit| before[unit] == fewest && after[unit] > fewest);
        assert!(raised, "runner {lost}: {before:?} to {after:?}");
    }
}

#[test]
fn lost_domain_leaves_whole_models_in_the_others() {
    let slots: Vec<_> = placed(small_fleet())
        .into_iter()
        .filter(|slot| slot.domain != "a")
        .collect();
    let copies = layout::copies(&engine(), &slots);
    assert!(copies.iter().all(|copies| *copies >= 2), "{copies:?}");
}

#[test]
fn unknown_card_gets_no_layers() {
    let slots = vec![slot("a", "unheard-of")];
    assert!(layout::plan(&engine(), &slots).is_empty());
}

#[test]
fn boundaries_begin_and_end_with_the_model() {
    let cuts = layout::boundaries(&engine());
    assert_eq!((cuts[0], *cuts.last().unwrap()), (0, 80));
    assert!(cuts.windows(2).all(|pair| pair[0] < pair[1]));
}
