//! Orders to engines that check the fencing number and to engines that do not.

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

fn engine(name: &str, checks_fencing: bool) -> order::ReportedUpstream {
    order::ReportedUpstream {
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
    let mut tracker = order::OrderTracker::default();
    assert!(
        tracker
            .due_orders(held(since, 7), &engines, since)
            .is_empty()
    );
    tracker.set_target("checks", target(4));
    tracker.set_target("ignores", target(4));
    let first = tracker.due_orders(held(since, 7), &engines, since);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].upstream, "checks");
    assert!(!first[0].recheck_lease);
    let later = since + order::ORDER_LIFETIME;
    let second = tracker.due_orders(held(since, 7), &engines[1..], later);
    assert_eq!(second.len(), 1);
    assert!(second[0].recheck_lease);
    assert_eq!(second[0].order.fencing, 7);
}

#[tokio::test(start_paused = true)]
async fn an_order_without_an_outcome_stays_the_only_one_for_its_life() {
    let since = time::Instant::now();
    let engines = [engine("ignores", false)];
    let mut tracker = order::OrderTracker::default();
    tracker.due_orders(held(since, 7), &engines, since);
    tracker.set_target("ignores", target(4));
    let sent_at = since + order::ORDER_LIFETIME;
    let sent = tracker.due_orders(held(since, 7), &engines, sent_at);
    tracker.record_outcome(&sent[0], order::OrderOutcome::Unknown, sent_at);
    // A new target is not ordered while the earlier order may still arrive.
    tracker.set_target("ignores", target(6));
    let before_expiry = sent_at + order::ORDER_LIFETIME - std_time::Duration::from_millis(1);
    assert!(
        tracker
            .due_orders(held(since, 7), &engines, before_expiry)
            .is_empty()
    );
    let after = tracker.due_orders(held(since, 7), &engines, sent_at + order::ORDER_LIFETIME);
    assert_eq!(after[0].order.target, target(6));
}

#[tokio::test(start_paused = true)]
async fn a_reached_target_is_left_alone_and_a_lost_one_is_ordered_again() {
    let since = time::Instant::now();
    let mut engines = [engine("checks", true)];
    let mut tracker = order::OrderTracker::default();
    tracker.due_orders(held(since, 7), &engines, since);
    tracker.set_target("checks", target(4));
    let sent = tracker.due_orders(held(since, 7), &engines, since);
    tracker.record_outcome(&sent[0], order::OrderOutcome::Accepted, since);
    engines[0].held = target(4).held;
    let later = since + std_time::Duration::from_secs(61);
    assert!(
        tracker
            .due_orders(held(since, 7), &engines, later)
            .is_empty()
    );
    assert!(tracker.pending_target("checks").is_none());
    engines[0].held.clear();
    assert_eq!(tracker.due_orders(held(since, 7), &engines, later).len(), 1);
}
