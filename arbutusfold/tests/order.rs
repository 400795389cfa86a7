//! Orders to engines that check the fencing number and to those that do not.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::{lease, order, upstream};
use tokio::time;

fn held(since: time::Instant, fencing: u64) -> lease::HeldLease {
    lease::HeldLease {
        fencing,
        since,
        until: since + std_time::Duration::from_secs(3_600),
    }
}

fn engine(name: &str, checks_fencing: bool) -> order::OrderedUpstream {
    order::OrderedUpstream {
        name: name.to_owned(),
        checks_fencing,
        held: Vec::new(),
    }
}

fn target(to: u32) -> order::EngineTarget {
    order::EngineTarget {
        held: vec![upstream::HeldLayers {
            model: "assistant".to_owned(),
            version: "1".to_owned(),
            layers: upstream::LayerRange { from: 0, to },
        }],
        role: order::EngineRole::Mixed,
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_holder_waits_before_it_orders_an_engine_that_does_not_check() {
    let since = time::Instant::now();
    let engines = [engine("checks", true), engine("ignores", false)];
    let mut keeper = order::OrderKeeper::default();
    assert!(keeper.due(held(since, 7), &engines, since).is_empty());
    keeper.intend("checks", target(4));
    keeper.intend("ignores", target(4));
    let first = keeper.due(held(since, 7), &engines, since);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].upstream, "checks");
    assert!(!first[0].reread);
    let later = since + order::ORDER_LIFE;
    let second = keeper.due(held(since, 7), &engines[1..], later);
    assert_eq!(second.len(), 1);
    assert!(second[0].reread);
    assert_eq!(second[0].order.fencing, 7);
}

#[tokio::test(start_paused = true)]
async fn an_order_without_an_outcome_stays_the_only_one_for_its_life() {
    let since = time::Instant::now();
    let engines = [engine("ignores", false)];
    let mut keeper = order::OrderKeeper::default();
    keeper.due(held(since, 7), &engines, since);
    keeper.intend("ignores", target(4));
    let begun = since + order::ORDER_LIFE;
    let sent = keeper.due(held(since, 7), &engines, begun);
    keeper.note(&sent[0], order::OrderOutcome::Unknown, begun);
    // Another target does not overtake it.
    keeper.intend("ignores", target(6));
    let almost = begun + order::ORDER_LIFE - std_time::Duration::from_millis(1);
    assert!(keeper.due(held(since, 7), &engines, almost).is_empty());
    let after = keeper.due(held(since, 7), &engines, begun + order::ORDER_LIFE);
    assert_eq!(after[0].order.target, target(6));
}

#[tokio::test(start_paused = true)]
async fn a_reached_target_is_left_alone_and_a_lost_one_is_ordered_again() {
    let since = time::Instant::now();
    let mut engines = [engine("checks", true)];
    let mut keeper = order::OrderKeeper::default();
    keeper.due(held(since, 7), &engines, since);
    keeper.intend("checks", target(4));
    let sent = keeper.due(held(since, 7), &engines, since);
    keeper.note(&sent[0], order::OrderOutcome::Taken, since);
    engines[0].held = target(4).held;
    let minute = since + std_time::Duration::from_secs(61);
    assert!(keeper.due(held(since, 7), &engines, minute).is_empty());
    assert!(keeper.pending("checks").is_none());
    engines[0].held.clear();
    assert_eq!(keeper.due(held(since, 7), &engines, minute).len(), 1);
}
