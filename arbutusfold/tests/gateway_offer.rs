//! Selection of paths: missing, full and failing runners.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::{fleet, leader, mirror, path, selector};
use arbutusfold_platform::store;
use bytes::Bytes;
use gateway_fixture::{engine, query};
use tokio::time;

/// Three large runners, each holding a third of the layers.
fn thirds() -> fleet::RunnerFleet {
    let mut fleet = fleet::RunnerFleet::default();
    for (number, (from, to)) in [(0, 27), (27, 54), (54, 80)].into_iter().enumerate() {
        let entry = format!(
            r#"{{"service":"s","address":"10.0.0.{number}:80","zone":"a","slots":4,"state":"ready",
            "born":1,"type":"large","models":[{{"name":"m","layers":{{"from":{from},"target":{to}}}}}]}}"#
        );
        let row = mirror::MirrorRow {
            key: format!("i-{number}"),
            version: store::RowVersion::new(0, 1),
            value: Some(Bytes::from(entry)),
        };
        fleet.update(&row, None);
    }
    fleet
}

fn choose(
    fleet: &fleet::RunnerFleet,
    unreported: f64,
    now: time::Instant,
) -> Result<path::ChosenPath, selector::PathError> {
    let engine = engine();
    let selector = selector::PathSelector {
        engine: &engine,
        leads: &leader::LoadView::default(),
        unreported,
        unread: [&[], &[]],
        now,
    };
    let states: Vec<_> = fleet.runners().iter().collect();
    selector.choose(&states, &["a"], &query(&engine, 0))
}

#[tokio::test(start_paused = true)]
async fn refusal_tells_whether_runners_are_missing_full_or_failing() {
    let now = time::Instant::now();
    let fleet = thirds();
    assert_eq!(choose(&fleet, 0.0, now).unwrap().stages.len(), 3);

    let mut full = fleet.clone();
    full.begin("i-1", 10_000_000);
    assert_eq!(
        choose(&full, 0.0, now),
        Err(selector::PathError::NoCapacity)
    );

    let mut failing = fleet.clone();
    for id in ["i-0", "i-1", "i-2"] {
        failing.note_failure(id, now);
    }
    assert_eq!(
        choose(&failing, 0.0, now),
        Err(selector::PathError::Failing)
    );

    let mut missing = fleet.clone();
    missing.note_missing_layers("i-2");
    assert_eq!(
        choose(&missing, 0.0, now),
        Err(selector::PathError::NoRunner)
    );
}

/// Nodes that start together do not know each other's load yet, so each one
/// assumes that all others have as much as itself.
#[tokio::test(start_paused = true)]
async fn unreported_load_is_assumed_for_every_other_node() {
    let now = time::Instant::now();
    let mut fleet = thirds();
    let free_mb = 72_000.0 - 27.0 * 1_750.0;
    let fits = free_mb * 1e6 / (900_000.0 / 80.0);
    fleet.begin("i-0", (fits / 50.0) as u64);
    assert!(choose(&fleet, 0.0, now).is_ok());
    assert_eq!(
        choose(&fleet, 49.0, now),
        Err(selector::PathError::NoCapacity)
    );
}
